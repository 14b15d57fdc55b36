use std::borrow::Cow;
use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

use crate::Event;

type LabelSet = [(&'static str, &'static str); 1];
type AdmissionLabels = [(&'static str, Cow<'static, str>); 2];

/// Prometheus metrics of one daemon.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    events: Family<LabelSet, Counter>,
    /// Requests by outcome: `answered`, `not_run`, `unknown` or `refused`.
    calls: Family<LabelSet, Counter>,
    weight_bytes: Family<LabelSet, Counter>,
    /// Permits to send requests to servers with a limit, by outcome: `granted`, `refused`
    /// or `failed`.
    permits: Family<LabelSet, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
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
    /// Backend servers that name a limit on their requests.
    pub servers_limited: Gauge,
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
        let admissions = Family::default();
        reg.register(
            "admissions",
            "Admission of streaming calls, by rank and outcome",
            admissions.clone(),
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
        let servers_limited = gauge("servers_limited", "Backend servers that name a limit");
        Metrics {
            registry: Arc::new(reg),
            events,
            calls,
            weight_bytes,
            permits,
            admissions,
            first_token_seconds,
            in_flight,
            queued,
            generation,
            daemons_listed,
            intents_unfulfilled,
            claims_unresolved,
            prompt_parts_quarantined,
            servers_limited,
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

    /// Counts a permit by its outcome: `granted`, `refused` or `failed`.
    pub fn count_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Counts a decision about the admission of a request of a rank: `admitted`, `waited`
    /// (admitted after a wait), `refused`, `return_admitted` or `return_refused`.
    pub fn count_admission(&self, rank: u32, outcome: &'static str) {
        let labels = [
            ("rank", Cow::Owned(rank.to_string())),
            ("outcome", Cow::Borrowed(outcome)),
        ];
        self.admissions.get_or_create(&labels).inc();
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
