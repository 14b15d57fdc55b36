//! State shared by all requests at an entry.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::Name;
use rw_routing::ExtraRetries;
use tokio::time::Instant;

use super::attempt::{self, Failure};
use super::cold_guard::ColdGuard;
use super::prompt_reuse::PromptReuse;
use super::weights_guard::WeightsGuard;
use super::{Call, CallerConnections, LoadTracker, OutdatedWeights, PoisonGuard};
use crate::{BackendServer, Cx, Engine, PlatformCodec, Snapshot};

/// State shared by all requests at an entry.
pub struct Entry<D> {
    /// Shared state of the daemon.
    pub cx: Arc<Cx<D>>,
    /// Load on backend servers.
    pub load_tracker: Arc<LoadTracker>,
    /// Requests, and parts of prompts, that crash backend servers.
    pub poison_guard: Arc<PoisonGuard>,
    /// Open caller connections.
    pub connections: Arc<CallerConnections>,
    // Set when the caller port closes.
    requests_end: OnceLock<Instant>,
    extra_retries: ExtraRetries,
    // Version that requests required last, by model.
    required_weights: Mutex<BTreeMap<Name, u64>>,
    pub(super) weights_guard: WeightsGuard,
    pub(super) cold_guard: ColdGuard,
    pub(super) prompt_reuse: PromptReuse,
}

impl<D: PlatformCodec> Entry<D> {
    /// Creates an entry without open connections.
    pub fn new(
        cx: Arc<Cx<D>>,
        load_tracker: Arc<LoadTracker>,
        poison_guard: Arc<PoisonGuard>,
    ) -> Arc<Self> {
        let bounds = &cx.settings.bounds;
        let extra_retries = match cx.settings.first_start {
            true => ExtraRetries::at_first_start(bounds.retry_extra),
            false => ExtraRetries::after_restart(bounds.retry_extra, bounds.retry_window),
        };
        Arc::new(Entry {
            cx,
            load_tracker,
            poison_guard,
            connections: Arc::default(),
            requests_end: OnceLock::new(),
            extra_retries,
            required_weights: Mutex::default(),
            weights_guard: WeightsGuard::default(),
            cold_guard: ColdGuard::default(),
            prompt_reuse: PromptReuse::default(),
        })
    }

    /// From now on, refuses calls that may still run at `requests_end`.
    pub fn refuse_calls_beyond(&self, requests_end: Instant) {
        // An entry stops once.
        let _ = self.requests_end.set(requests_end);
    }

    /// Whether the process may end before the call's deadline, and accepts no such calls.
    pub fn may_outlive_process(&self, call: &Call) -> bool {
        self.requests_end
            .get()
            .is_some_and(|end| call.deadline > *end)
    }

    /// Number of entries that share the retry budget; `None` until this entry is listed
    /// among them.
    pub fn entry_count(&self) -> Option<usize> {
        let snapshot = self.cx.cluster.snapshot();
        let is_listed = snapshot.daemons.contains_key(&self.cx.settings.name);
        is_listed.then(|| snapshot.daemons.len())
    }

    /// Whether the load balancer may send callers to this entry.
    pub fn is_ready(&self) -> bool {
        let snapshot = self.cx.cluster.snapshot();
        !self.cx.is_shutting_down() && snapshot.cfg.is_some() && !snapshot.servers.is_empty()
    }

    /// Minimum version of a model's weights on which a request may start.
    pub fn min_weights_version(&self, snapshot: &Snapshot, engine: &Engine) -> u64 {
        let uptime = rw_coord::uptime();
        let version = snapshot.min_version(&engine.model, &self.cx.settings.bounds, uptime);
        let mut required = self
            .required_weights
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if required.get(&engine.model).copied().unwrap_or(1) != version {
            required.insert(engine.model.clone(), version);
            let age = snapshot.requested_age(&engine.model, version, uptime);
            let age = age.map_or("unknown".into(), |age| age.as_millis().to_string());
            let detail = format!("model={} version={version} age_ms={age}", engine.model);
            self.cx.recorder.emit(Event::WeightsRequired, &detail);
        }
        version
    }

    /// Emits an event about a call.
    pub fn record_call(&self, call: &Call, event: Event, extra: &str) {
        let detail = format!(
            "request={} route={} service={} age_ms={} configuration={} {extra}",
            call.id,
            call.route.name,
            call.service,
            call.age().as_millis(),
            call.cfg.version
        );
        self.cx.recorder.emit(event, detail.trim_end());
    }

    /// Time until the first server of a service wants requests again, if all of them
    /// asked for a pause.
    pub fn pause_of_all(&self, service: &str) -> Option<Duration> {
        let snapshot = self.cx.cluster.snapshot();
        let ready = snapshot
            .servers
            .values()
            .filter(|s| *s.service == *service && s.ready);
        self.load_tracker.shortest_pause(ready)
    }

    /// Servers of a service that are registered as ready.
    pub fn ready_servers(&self, service: &str) -> Vec<Arc<BackendServer>> {
        let snapshot = self.cx.cluster.snapshot();
        let ready = snapshot
            .servers
            .values()
            .filter(|s| *s.service == *service && s.ready);
        ready.cloned().collect()
    }

    /// The ready servers that may serve a call with their weights, and want requests by
    /// what they said about themselves.
    pub fn admitted_servers(&self, call: &Call) -> Vec<Arc<BackendServer>> {
        let mut servers = self.ready_servers(&call.service);
        self.retain_allowed_regions(call, &mut servers);
        if let Some(engine) = call.engine() {
            self.retain_valid_weights(engine, &mut servers);
        }
        let mut servers = self.load_tracker.admitted(servers);
        self.retain_open_zones(call, &mut servers);
        servers
    }

    /// Takes a retry from the retry budget of the call's service; false if it is
    /// spent.
    pub fn try_acquire_retry(&self, call: &Call) -> bool {
        let extra = self.extra_retries.share(self.entry_count(), self.cx.now());
        self.load_tracker.try_acquire_retry(&call.service, extra)
    }

    /// Updates the server's circuit breaker, or its backoff, with the result of an
    /// attempt, and emits an event if it failed.
    pub fn record_attempt<T>(&self, call: &Call, server: &Name, result: &attempt::Result<T>) {
        let circuit_opened = match result {
            Ok(_) => {
                self.load_tracker.on_success(server);
                return;
            }
            Err(Failure::NotRun(_)) => {
                self.load_tracker.on_refused(server);
                false
            }
            Err(
                Failure::PermitExpired
                | Failure::RegionNotAllowed
                | Failure::ZoneEvacuated
                | Failure::WeightsOutdated(_)
                | Failure::WeightsExpired(_)
                | Failure::Quarantined
                // The server is sound.
                | Failure::NoMemory,
            ) => false,
            Err(_) => self.load_tracker.on_failure(server),
        };
        if let Err(failure) = result {
            self.log_failure(call, server, failure);
        }
        self.log_circuit(server, circuit_opened);
    }

    /// Counts a failure of a server that has sent nothing for a time, although it may go on,
    /// so that others are preferred.
    pub fn record_silence(&self, call: &Call, server: &Name, silence: Duration) {
        let detail = format!(
            "request={} server={server} silent_ms={} age_ms={} left_ms={}",
            call.id,
            silence.as_millis(),
            call.age().as_millis(),
            call.time_left().as_millis()
        );
        self.cx.recorder.emit(Event::ServerSilent, &detail);
        self.log_circuit(server, self.load_tracker.on_failure(server));
    }

    /// Emits an event about a failed attempt.
    pub fn log_failure(&self, call: &Call, server: &Name, failure: &Failure) {
        match failure {
            Failure::WeightsOutdated(weights) => self.log_outdated(call, server, weights, false),
            Failure::WeightsExpired(weights) => self.log_outdated(call, server, weights, true),
            failure => self.log_failed_attempt(call, server, failure),
        }
    }

    fn log_outdated(&self, call: &Call, server: &Name, weights: &OutdatedWeights, sent: bool) {
        let detail = format!(
            "request={} server={server} held={} required={} sent={sent} age_ms={} left_ms={}",
            call.id,
            weights.held,
            weights.required,
            call.age().as_millis(),
            call.time_left().as_millis()
        );
        self.cx.recorder.emit(Event::WeightsOutdated, &detail);
    }

    fn log_failed_attempt(&self, call: &Call, server: &Name, failure: &Failure) {
        let content = match failure {
            Failure::Unknown(_) | Failure::Timeout(_) => call.request_name(),
            _ => "",
        };
        let detail = format!(
            "request={} server={server} failure={failure:?} age_ms={} left_ms={} prompt_parts={} \
             content={content}",
            call.id,
            call.age().as_millis(),
            call.time_left().as_millis(),
            call.prompt_parts.join(",")
        );
        self.cx.recorder.emit(Event::AttemptFailed, &detail);
    }

    fn log_circuit(&self, server: &Name, has_opened: bool) {
        if has_opened {
            let detail = format!("host={server}");
            self.cx.recorder.emit(Event::HostCircuitOpen, &detail);
        }
    }
}
