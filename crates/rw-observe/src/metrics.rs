use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

use crate::Event;

type Label = [(&'static str, &'static str); 1];

/// Metrics of one daemon.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    events: Family<Label, Counter>,
    /// Calls by outcome: `answered`, `not_run`, `unknown` or `refused`.
    calls: Family<Label, Counter>,
    bytes: Family<Label, Counter>,
    /// Seconds to the first frame of an answer.
    pub first_token: Histogram,
    /// Calls in progress.
    pub in_flight: Gauge,
    /// Calls that wait.
    pub queued: Gauge,
    /// Generation in force.
    pub head: Gauge,
    /// Daemons that are known here.
    pub listed: Gauge,
    /// Intents that are not fulfilled.
    pub unfulfilled: Gauge,
    /// Claims whose end is not known.
    pub unresolved: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers every metric.
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
        let bytes = Family::default();
        reg.register(
            "weight_bytes",
            "Weight bytes by direction and peer",
            bytes.clone(),
        );
        let first_token = Histogram::new(exponential_buckets(0.001, 2.0, 16));
        reg.register(
            "first_token_seconds",
            "Time to the first frame",
            first_token.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge: Gauge = Gauge::default();
            reg.register(name, help, gauge.clone());
            gauge
        };
        let in_flight = gauge("in_flight", "Calls in progress");
        let queued = gauge("queued", "Calls that wait");
        let head = gauge("generation", "Generation in force");
        let listed = gauge("daemons_listed", "Daemons known here");
        let unfulfilled = gauge("intents_unfulfilled", "Intents not fulfilled");
        let unresolved = gauge("claims_unresolved", "Claims with an unknown end");
        Metrics {
            registry: Arc::new(reg),
            events,
            calls,
            bytes,
            first_token,
            in_flight,
            queued,
            head,
            listed,
            unfulfilled,
            unresolved,
        }
    }

    /// Counts an event.
    pub fn count_event(&self, event: Event) {
        self.events.get_or_create(&[("event", event.name())]).inc();
    }

    /// Counts a call's outcome.
    pub fn count_call(&self, outcome: &'static str) {
        self.calls.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Counts weight bytes; `flow` is `sent`, `from_zone`, `from_region`,
    /// `from_other_region` or `from_origin`.
    pub fn count_bytes(&self, flow: &'static str, bytes: u64) {
        self.bytes.get_or_create(&[("flow", flow)]).inc_by(bytes);
    }

    /// Text exposition.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut out, &self.registry);
        out
    }
}
