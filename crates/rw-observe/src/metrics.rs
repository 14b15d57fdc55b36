use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

use crate::Event;

type LabelSet = [(&'static str, &'static str); 1];

/// Prometheus metrics of one daemon.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    events: Family<LabelSet, Counter>,
    /// Requests by outcome: `answered`, `not_run`, `unknown` or `refused`.
    calls: Family<LabelSet, Counter>,
    weight_bytes: Family<LabelSet, Counter>,
    /// Permits to send requests to servers with a limit, by outcome: `granted`, `refused`,
    /// `failed`, or `cold` if this entry's share of a cold server was used up.
    permits: Family<LabelSet, Counter>,
    /// Requests refused because of where they may be served, by reason: `region` or `zone`.
    placement_refusals: Family<LabelSet, Counter>,
    /// Requests whose prompt their engine was expected to hold in part, and these tokens, by
    /// outcome: `kept` or `missed`.
    prompt_reuses: Family<LabelSet, Counter>,
    reused_tokens: Family<LabelSet, Counter>,
    /// Seconds until the first frame of an answer.
    pub first_token_seconds: Histogram,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Requests that wait in the queue.
    pub queued: Gauge,
    /// Configuration generation in effect.
    pub generation: Gauge,
    /// Daemons that this daemon knows of.
    pub daemons_listed: Gauge,
    /// Intents that are not fulfilled.
    pub intents_unfulfilled: Gauge,
    /// Claims of idempotency keys whose outcome is unknown.
    pub claims_unresolved: Gauge,
    /// Quarantined parts of prompts.
    pub prompt_parts_quarantined: Gauge,
    /// Quarantined requests.
    pub requests_quarantined: Gauge,
    /// Backend servers that name a limit on their requests.
    pub servers_limited: Gauge,
    /// Availability zones that operators evacuate.
    pub zones_evacuated: Gauge,
    /// Milliseconds from the request for the newest downloaded weights until this host held
    /// them all.
    pub weights_whole_ms: Gauge,
    /// The same until its server had loaded them.
    pub weights_loaded_ms: Gauge,
    /// Bytes of bodies, answers and events that are held for callers.
    pub caller_bytes: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates a registry with every metric.
    ///
    /// ```
    /// let metrics = rw_observe::Metrics::new();
    /// metrics.count_call("answered");
    /// assert!(metrics.render().contains("ragworttack_calls_total{outcome=\"answered\"} 1"));
    /// ```
    pub fn new() -> Self {
        let mut reg = Registry::with_prefix("ragworttack");
        let events = Family::default();
        reg.register("events", "Events by name", events.clone());
        let calls = Family::default();
        reg.register("calls", "Calls by outcome", calls.clone());
        let weight_bytes = Family::default();
        reg.register(
            "weight_bytes",
            "Weight bytes by direction and peer",
            weight_bytes.clone(),
        );
        let permits = Family::default();
        reg.register(
            "permits",
            "Permits for servers with a limit, by outcome",
            permits.clone(),
        );
        let placement_refusals = Family::default();
        reg.register(
            "placement_refusals",
            "Calls refused for lack of a server that may serve them, by reason",
            placement_refusals.clone(),
        );
        let prompt_reuses = Family::default();
        reg.register(
            "prompt_reuses",
            "Calls to engines that were expected to hold a part of the prompt, by outcome",
            prompt_reuses.clone(),
        );
        let reused_tokens = Family::default();
        reg.register(
            "reused_tokens",
            "Prompt tokens that engines were expected to hold, by outcome",
            reused_tokens.clone(),
        );
        let first_token_seconds = Histogram::new(exponential_buckets(0.001, 2.0, 16));
        reg.register(
            "first_token_seconds",
            "Time to the first frame",
            first_token_seconds.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge: Gauge = Gauge::default();
            reg.register(name, help, gauge.clone());
            gauge
        };
        let in_flight = gauge("in_flight", "Calls in progress");
        let queued = gauge("queued", "Calls that wait");
        let generation = gauge("generation", "Generation in force");
        let daemons_listed = gauge("daemons_listed", "Daemons known here");
        let intents_unfulfilled = gauge("intents_unfulfilled", "Intents not fulfilled");
        let claims_unresolved = gauge("claims_unresolved", "Claims with an unknown end");
        let prompt_parts_quarantined =
            gauge("prompt_parts_quarantined", "Quarantined parts of prompts");
        let requests_quarantined = gauge("requests_quarantined", "Quarantined requests");
        let servers_limited = gauge("servers_limited", "Backend servers that name a limit");
        let zones_evacuated = gauge("zones_evacuated", "Evacuated availability zones");
        let weights_whole_ms = gauge(
            "weights_whole_ms",
            "Time from the request for weights until the host held them",
        );
        let weights_loaded_ms = gauge(
            "weights_loaded_ms",
            "Time from the request for weights until the server had loaded them",
        );
        let caller_bytes = gauge("caller_bytes", "Bytes held for callers");
        Metrics {
            registry: Arc::new(reg),
            events,
            calls,
            weight_bytes,
            permits,
            placement_refusals,
            prompt_reuses,
            reused_tokens,
            first_token_seconds,
            in_flight,
            queued,
            generation,
            daemons_listed,
            intents_unfulfilled,
            claims_unresolved,
            prompt_parts_quarantined,
            requests_quarantined,
            servers_limited,
            zones_evacuated,
            weights_whole_ms,
            weights_loaded_ms,
            caller_bytes,
        }
    }

    /// Counts an event by its name.
    pub fn count_event(&self, event: Event) {
        self.events.get_or_create(&[("event", event.name())]).inc();
    }

    /// Counts a request by its outcome.
    pub fn count_call(&self, outcome: &'static str) {
        self.calls.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Counts a permit by its outcome: `granted`, `refused`, `failed` or `cold`.
    pub fn count_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Counts a request whose prompt its engine was expected to hold in part, and the tokens;
    /// a miss if its first event came no earlier than without them.
    pub fn count_prompt_reuse(&self, is_missed: bool, tokens: u32) {
        let outcome = if is_missed { "missed" } else { "kept" };
        let labels = [("outcome", outcome)];
        self.prompt_reuses.get_or_create(&labels).inc();
        let tokens = u64::from(tokens);
        self.reused_tokens.get_or_create(&labels).inc_by(tokens);
    }

    /// Counts a request that no server may serve where it may be served; `reason` is
    /// `region` or `zone`.
    pub fn count_placement_refusal(&self, reason: &'static str) {
        self.placement_refusals
            .get_or_create(&[("reason", reason)])
            .inc();
    }

    /// Counts transferred weight bytes; `flow` is `sent`, `from_zone`, `from_region`,
    /// `from_other_region` or `from_origin`.
    pub fn count_weight_bytes(&self, flow: &'static str, bytes: u64) {
        self.weight_bytes
            .get_or_create(&[("flow", flow)])
            .inc_by(bytes);
    }

    /// Renders the metrics in the text exposition format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut out, &self.registry);
        out
    }
}
