//! State of the load tracker: this entry's requests at each server, and the load
//! that other entries reported.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::{
    CircuitBreaker, EngineLoad, EntryPosition, FirstEventTracker, LoadNotice, ServerOutlook,
    SlotRotation, WindowedRetryBudget,
};

use crate::{BackendServer, Bounds};

/// Age at which a load report of another entry expires.
pub(super) const REPORT_TTL: Duration = Duration::from_secs(1);
/// Time without any event after which a server with running requests gets no
/// new ones; longer than the usual pauses of engines between events.
const EVENT_TIMEOUT: Duration = Duration::from_millis(600);
/// Requests that an engine may queue beyond its slots. Queued requests fill a
/// freed slot without waiting for the next request; 0 queues none.
pub(super) const MAX_QUEUED_PER_ENGINE: u32 = 0;

#[derive(Default)]
pub(super) struct ServerState {
    pub(super) own_load: EngineLoad,
    pub(super) slot_rotation: SlotRotation,
    pub(super) breaker: CircuitBreaker,
    pub(super) first_events: FirstEventTracker,
    // Time of the last event, or of the first request to an idle server.
    pub(super) last_event_at: Option<Duration>,
    pub(super) backoff_until: Duration,
    // Load that the server reported last, when, and the requests that were known there.
    pub(super) notice: Option<(LoadNotice, Duration, u32)>,
}

impl ServerState {
    // Whether the server has running requests but sends no events; a working
    // engine sends events to all of its requests in turn.
    pub(super) fn is_stalled(&self, now: Duration) -> bool {
        let last = self.last_event_at.filter(|_| self.own_load.running > 0);
        last.is_some_and(|at| now > at + EVENT_TIMEOUT)
    }

    // A stall counts as a failure until the stalled requests fail.
    pub(super) fn failures(&self, now: Duration) -> u32 {
        let failures = self.breaker.recent_failures(now);
        failures.max(u32::from(self.is_stalled(now)))
    }
}

// Load that another entry reported for a server.
pub(super) struct ReportedLoad {
    pub(super) load: EngineLoad,
    pub(super) failures: u32,
    pub(super) first_event_ratio: Option<f64>,
}

#[derive(Default)]
pub(super) struct LoadState {
    pub(super) servers: HashMap<Name, ServerState>,
    pub(super) reports: BTreeMap<Name, (Duration, HashMap<Name, ReportedLoad>)>,
    pub(super) retry_budgets: HashMap<Name, WindowedRetryBudget>,
}

// Wall-clock time, which is roughly the same on all entries.
pub(super) fn unix_time() -> Duration {
    Duration::from_millis(rw_coord::unix_ms())
}

impl LoadState {
    pub(super) fn on_engine_selected(&mut self, server: &Name, now: Duration) {
        let server_state = self.servers.entry(server.clone()).or_default();
        if server_state.own_load.running == 0 {
            server_state.last_event_at = Some(now);
        }
    }

    // Position of this entry, by name, among itself and the entries with a
    // recent report.
    pub(super) fn entry_position(&self, own_name: &Name, now: Duration) -> EntryPosition {
        let recent = self
            .reports
            .iter()
            .filter(|(_, (at, _))| now < *at + REPORT_TTL);
        let names = recent.map(|(name, _)| name);
        EntryPosition {
            index: names.clone().filter(|name| *name < own_name).count(),
            count: names.count() + 1,
        }
    }

    // Maximum number of concurrent requests at an engine. While another entry
    // may take the next slot, this is at most the number of running requests.
    pub(super) fn effective_limit_in_rotation(
        &self,
        server: &BackendServer,
        own_name: &Name,
        now: Duration,
    ) -> u32 {
        let limit = self.effective_limit(&server.id, server.slots, now);
        let running = self.load(&server.id, now).running;
        let free = limit.saturating_sub(running);
        let server_state = self.servers.get(&server.id);
        let slot_rotation =
            server_state.map_or_else(SlotRotation::default, |s| s.slot_rotation.clone());
        match slot_rotation.may_acquire(
            &server.id,
            free,
            self.entry_position(own_name, now),
            unix_time(),
            now,
        ) {
            true => limit,
            false => running.min(limit),
        }
    }

    pub(super) fn load(&self, server: &Name, now: Duration) -> EngineLoad {
        let own = self
            .servers
            .get(server)
            .map_or_else(EngineLoad::default, |s| s.own_load);
        let others = self.reported_loads(server, now);
        others.fold(own, |sum, reported| sum.plus(reported.load))
    }

    pub(super) fn on_load_notice(&mut self, server: &Name, notice: LoadNotice, now: Duration) {
        let known = self.load(server, now).running;
        let server_state = self.servers.entry(server.clone()).or_default();
        server_state.notice = Some((notice, now, known));
    }

    // Forecast from the last report of a server; `None` without one.
    pub(super) fn outlook(&self, server: &Name, now: Duration) -> Option<ServerOutlook> {
        let (notice, at, known) = self.servers.get(server)?.notice.as_ref()?;
        let age = now.saturating_sub(*at);
        Some(ServerOutlook::new(notice, *known, age))
    }

    // Load at a server from recent reports of other entries.
    pub(super) fn reported_loads<'a>(
        &'a self,
        server: &'a Name,
        now: Duration,
    ) -> impl Iterator<Item = &'a ReportedLoad> {
        let recent = self
            .reports
            .values()
            .filter(move |(at, _)| now < *at + REPORT_TTL);
        recent.filter_map(move |(_, loads)| loads.get(server))
    }

    // Time to first events over its forecast: mean over all entries that
    // recently received first events from the server.
    pub(super) fn first_event_ratio(&self, server: &Name, now: Duration) -> Option<f64> {
        let own = self.servers.get(server);
        let own = own.and_then(|s| s.first_events.ratio(now));
        let others = self
            .reported_loads(server, now)
            .filter_map(|r| r.first_event_ratio);
        let all: Vec<f64> = own.into_iter().chain(others).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    }

    // Maximum number of concurrent requests at a server, after stalls, refusals
    // and its circuit breaker; 0 if it gets no new requests.
    pub(super) fn effective_limit(&self, server: &Name, limit: u32, now: Duration) -> u32 {
        let failures = || self.reported_loads(server, now).map(|r| r.failures).sum();
        match self.servers.get(server) {
            Some(server_state)
                if now < server_state.backoff_until || server_state.is_stalled(now) =>
            {
                0
            }
            Some(server_state) => server_state.breaker.effective_limit_with_peers(
                limit + MAX_QUEUED_PER_ENGINE,
                failures(),
                now,
            ),
            None => limit + MAX_QUEUED_PER_ENGINE,
        }
    }

    pub(super) fn retry_budget(
        &mut self,
        service: &Name,
        bounds: &Bounds,
    ) -> &mut WindowedRetryBudget {
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| {
                WindowedRetryBudget::new(bounds.retry_window, bounds.retry_ratio, 0.0)
            })
    }
}
