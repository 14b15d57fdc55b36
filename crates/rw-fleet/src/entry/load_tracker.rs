//! Load on backend servers, from this entry's requests and the load reports of
//! other entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;
use rw_coord::ChangeNotifier;
use rw_observe::{Event, Recorder};
use rw_protocol::{LoadReport, Name, ServerLoad};
use rw_routing::{
    median, select_engine, slowdown, EngineCandidate, EngineLoad, EngineSelection,
    RequestRequirements, ServiceRoom,
};
use tokio::time::Instant;

use super::load_state::{
    unix_time, LoadState, ReportedLoad, ServerState, MAX_QUEUED_PER_ENGINE, REPORT_TTL,
};
use super::notice_log::NoticeLog;
use super::{ServerNotice, SlotPermit};
use crate::{BackendServer, Bounds, Engine, SharedRng, Snapshot};

/// Time during which a server that refused a request gets no new ones.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// Requests that a server without an engine profile may queue, per slot.
const MAX_QUEUED_PER_SLOT: u32 = 2;

/// Tracks the load on backend servers, selects servers and hands out their
/// slots.
pub struct LoadTracker {
    // Name of this entry.
    name: Name,
    started: Instant,
    state: Mutex<LoadState>,
    notices: Mutex<NoticeLog>,
    rng: Arc<SharedRng>,
    bounds: Bounds,
    recorder: Recorder,
    load_changed: ChangeNotifier,
}

impl LoadTracker {
    /// Creates a tracker without any load.
    pub fn new(name: Name, bounds: Bounds, rng: Arc<SharedRng>, recorder: Recorder) -> Arc<Self> {
        Arc::new(LoadTracker {
            name,
            started: Instant::now(),
            state: Mutex::default(),
            notices: Mutex::default(),
            rng,
            bounds,
            recorder,
            load_changed: ChangeNotifier::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, LoadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn notices(&self) -> MutexGuard<'_, NoticeLog> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is signalled when a slot is freed or a load report
    /// arrives.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.load_changed.subscribe()
    }

    /// Selects an engine for a generation request and takes a slot there.
    pub fn select_engine(
        self: &Arc<Self>,
        engine: &Engine,
        servers: &[Arc<BackendServer>],
        requirements: &RequestRequirements,
        is_remote: impl Fn(&BackendServer) -> bool,
        is_limited: impl Fn(&BackendServer) -> bool,
    ) -> std::result::Result<SlotPermit, EngineSelection> {
        let now = self.now();
        let mut state = self.state();
        let loads: Vec<(EngineLoad, u32)> = servers
            .iter()
            .map(|s| {
                // Permits already keep entries from filling the same slot.
                let limit = match is_limited(s) {
                    true => state.effective_limit(&s.id, s.slots, now),
                    false => state.effective_limit_in_rotation(s, &self.name, now),
                };
                (state.load(&s.id, now), limit)
            })
            .collect();
        let ratios: Vec<Option<f64>> = servers
            .iter()
            .map(|s| state.first_event_ratio(&s.id, now))
            .collect();
        let mut known_ratios: Vec<f64> = ratios.iter().copied().flatten().collect();
        let median = median(&mut known_ratios);
        let mut candidates: Vec<EngineCandidate<'_>> = servers
            .iter()
            .zip(loads.iter().zip(&ratios))
            .map(|(server, ((load, limit), ratio))| EngineCandidate {
                server: &server.id,
                profile: &engine.profile,
                load: *load,
                slowdown: slowdown(*ratio, median),
                remote: is_remote(server),
                max_running: *limit,
            })
            .collect();
        candidates.shuffle(&mut *self.rng.lock());
        match select_engine(requirements, &candidates, MAX_QUEUED_PER_ENGINE) {
            EngineSelection::Selected(id, forecast) => match servers.iter().find(|s| s.id == id) {
                Some(server) => {
                    let load = state.load(&server.id, now);
                    state.on_engine_selected(&server.id, now);
                    let mut permit =
                        self.acquire_slot(&mut state, server, requirements.prompt_tokens);
                    permit.load = load;
                    permit.forecast = forecast;
                    Ok(permit)
                }
                None => Err(EngineSelection::Unavailable),
            },
            other => Err(other),
        }
    }

    /// Takes a slot of the server with the fewest running requests per slot; for
    /// servers without an engine profile.
    pub fn select_least_loaded(
        self: &Arc<Self>,
        servers: &[Arc<BackendServer>],
    ) -> Option<SlotPermit> {
        let now = self.now();
        let mut state = self.state();
        let mut rng = self.rng.lock();
        let best = servers
            .iter()
            .filter_map(|s| {
                let limit = s.slots.max(1) * (1 + MAX_QUEUED_PER_SLOT);
                let running = state.load(&s.id, now).running;
                let accepts = running < state.effective_limit(&s.id, limit, now);
                let utilization = f64::from(running) / f64::from(s.slots.max(1));
                accepts.then(|| (utilization, rng.random::<u32>(), s))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, _, server) = best?;
        Some(self.acquire_slot(&mut state, server, 0))
    }

    fn acquire_slot(
        self: &Arc<Self>,
        state: &mut LoadState,
        server: &Arc<BackendServer>,
        unread_tokens: u32,
    ) -> SlotPermit {
        let server_state = state.servers.entry(server.id.clone()).or_default();
        server_state.own_load.running += 1;
        server_state.own_load.unread_tokens += unread_tokens;
        server_state
            .slot_rotation
            .on_acquired(unix_time(), self.now());
        SlotPermit::new(self.clone(), server.clone(), unread_tokens, self.now())
    }

    /// Records that a server sent an event.
    pub(super) fn on_event(&self, server: &Name) {
        let now = self.now();
        if let Some(server_state) = self.state().servers.get_mut(server) {
            server_state.last_event_at = Some(now);
        }
    }

    /// Records how long the first event of a request took, against its forecast.
    pub(super) fn on_first_event(&self, permit: &SlotPermit) {
        let now = self.now();
        let latency = now.saturating_sub(permit.taken_at);
        if let Some(server_state) = self.state().servers.get_mut(&permit.server.id) {
            server_state
                .first_events
                .record(permit.forecast, latency, now);
        }
    }

    /// Subtracts prompt tokens that no longer await prefill at a server.
    pub(super) fn on_prompt_read(&self, server: &Name, tokens: u32) {
        if let Some(server_state) = self.state().servers.get_mut(server) {
            server_state.own_load.unread_tokens =
                server_state.own_load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Records the end of a request and signals the free slot.
    pub(super) fn on_slot_released(&self, server: &Name) {
        let now = self.now();
        if let Some(server_state) = self.state().servers.get_mut(server) {
            server_state.own_load.running = server_state.own_load.running.saturating_sub(1);
            server_state.slot_rotation.on_released(now);
        }
        self.load_changed.notify();
    }

    /// Known load of some servers, for the log: their number, their requests and
    /// slots, how many of them get no new requests, and the age of the oldest
    /// load report in use.
    pub fn summary(&self, servers: &[Arc<BackendServer>]) -> String {
        let now = self.now();
        let state = self.state();
        let running: u32 = servers.iter().map(|s| state.load(&s.id, now).running).sum();
        let slots: u32 = servers.iter().map(|s| s.slots).sum();
        let unavailable = servers
            .iter()
            .filter(|s| state.effective_limit(&s.id, s.slots, now) == 0);
        let ages = state
            .reports
            .values()
            .map(|(at, _)| now.saturating_sub(*at));
        let oldest = ages
            .filter(|age| *age < REPORT_TTL)
            .max()
            .unwrap_or_default();
        format!(
            "servers={} running={running} slots={slots} closed={} news_ms={}",
            servers.len(),
            unavailable.count(),
            oldest.as_millis()
        )
    }

    /// Slots of the servers that accept requests, and how many are in use.
    pub(super) fn room(&self, servers: &[Arc<BackendServer>]) -> ServiceRoom {
        let now = self.now();
        let state = self.state();
        let mut room = ServiceRoom::default();
        for server in servers {
            let limit = state.effective_limit(&server.id, server.slots, now);
            let running = state.load(&server.id, now).running;
            let own = state.servers.get(&server.id);
            room.slots += limit;
            room.free += limit.saturating_sub(running);
            room.running += running;
            room.own_running += own.map_or(0, |s| s.own_load.running);
        }
        room
    }

    /// Counts a request towards the retry budget of its service.
    pub fn count_request(&self, service: &Name) {
        let now = self.now();
        self.state()
            .retry_budget(service, &self.bounds)
            .on_request(now);
    }

    /// Takes one retry from the retry budget of a service, which allows `extra_retries`
    /// beyond the ratio; false if it is spent.
    pub fn try_acquire_retry(&self, service: &Name, extra_retries: f64) -> bool {
        let now = self.now();
        let mut state = self.state();
        let budget = state.retry_budget(service, &self.bounds);
        budget.set_extra_retries(extra_retries);
        budget.take(now)
    }

    /// Records a successful response.
    pub fn on_success(&self, server: &Name) {
        let now = self.now();
        if let Some(server_state) = self.state().servers.get_mut(server) {
            server_state.breaker.on_success(now);
        }
    }

    /// Records a failed request; returns whether this opened the circuit breaker.
    pub fn on_failure(&self, server: &Name) -> bool {
        let now = self.now();
        self.update(server, |server_state| server_state.breaker.on_failure(now))
    }

    /// Records what a server said about itself in a response, and emits an event unless
    /// it said before that it is leaving.
    pub(super) fn on_notice(&self, server: &BackendServer, notice: &ServerNotice) {
        if *notice == ServerNotice::default() {
            return;
        }
        let is_first = self.notices().record(server, notice, self.now());
        if is_first || notice.retry_after.is_some() {
            let detail = format!(
                "server={} started_ms={} leaving={} pause_ms={}",
                server.id,
                server.started_ms,
                notice.leaving,
                notice.retry_after.unwrap_or_default().as_millis()
            );
            self.recorder.emit(Event::ServerNotice, &detail);
        }
    }

    /// The servers that want requests, by what they said about themselves.
    pub(super) fn admitted(&self, servers: Vec<Arc<BackendServer>>) -> Vec<Arc<BackendServer>> {
        self.notices()
            .admitted(servers, self.bounds.drain, self.now())
    }

    /// Time until the first of the servers wants requests again, if all asked for a
    /// pause.
    pub(super) fn shortest_pause<'a>(
        &self,
        servers: impl Iterator<Item = &'a Arc<BackendServer>>,
    ) -> Option<Duration> {
        self.notices().shortest_pause(servers, self.now())
    }

    /// Records that a server refused a request; it gets no new ones for a while.
    pub fn on_refused(&self, server: &Name) {
        let until = self.now() + REFUSAL_BACKOFF;
        self.update(server, |server_state| server_state.backoff_until = until);
    }

    fn update<T>(&self, server: &Name, update: impl FnOnce(&mut ServerState) -> T) -> T {
        let mut state = self.state();
        update(state.servers.entry(server.clone()).or_default())
    }

    /// Stores the load report of another entry.
    pub fn on_load_report(&self, report: LoadReport) {
        let now = self.now();
        let loads = report.loads.into_iter().map(|l| {
            let load = EngineLoad {
                running: l.running,
                unread_tokens: l.unread_tokens,
            };
            let ratio = f64::from(l.slowness_percent) / 100.0;
            let reported = ReportedLoad {
                load,
                failures: l.failures,
                first_event_ratio: (ratio > 0.0).then_some(ratio),
            };
            (l.server, reported)
        });
        self.state()
            .reports
            .insert(report.entry, (now, loads.collect()));
        self.load_changed.notify();
    }

    /// Load of this entry's requests and its recent failures, for the report to
    /// other entries.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        let now = self.now();
        let state = self.state();
        let loads = state
            .servers
            .iter()
            .map(|(server, server_state)| ServerLoad {
                server: server.clone(),
                running: server_state.own_load.running,
                unread_tokens: server_state.own_load.unread_tokens,
                failures: server_state.failures(now),
                slowness_percent: server_state
                    .first_events
                    .ratio(now)
                    .map_or(0, |ratio| (ratio * 100.0) as u32),
            });
        loads
            .filter(|l| l.running > 0 || l.failures > 0 || l.slowness_percent > 0)
            .collect()
    }

    /// Removes servers that are gone and have no running requests.
    pub fn prune_servers(&self, snapshot: &Snapshot) {
        let mut state = self.state();
        state
            .servers
            .retain(|id, s| s.own_load.running > 0 || snapshot.servers.contains_key(id));
    }
}
