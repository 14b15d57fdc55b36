//! What an entry has under way at each server, and what others said they have.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::{
    CircuitBreaker, EngineLoad, EntryPosition, FirstEventTracker, SlotRotation, WindowedRetryBudget,
};

use crate::{BackendServer, Bounds};

/// Age at which another entry's news no longer count.
pub(super) const NEWS_LIFE: Duration = Duration::from_secs(1);
/// Time without any event after which a server that has requests gets no more;
/// longer than the pauses that engines keep between events.
const SILENCE: Duration = Duration::from_millis(600);
/// Requests beyond its slots that an engine may hold, so that a slot that
/// frees up is filled without waiting for the next request.
pub(super) const EXTRA_PER_ENGINE: u32 = 0;

#[derive(Default)]
pub(super) struct Known {
    pub(super) own: EngineLoad,
    pub(super) turns: SlotRotation,
    pub(super) circuit: CircuitBreaker,
    pub(super) first_events: FirstEventTracker,
    // When an engine last sent an event, or got a request while it had none.
    pub(super) last_event: Option<Duration>,
    pub(super) closed_until: Duration,
}

impl Known {
    // It has requests and sends nothing, though its engine writes to all of
    // them in turn.
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        let last = self.last_event.filter(|_| self.own.running > 0);
        last.is_some_and(|at| now > at + SILENCE)
    }

    // Silence counts like a failure until its requests fail.
    pub(super) fn failures(&self, now: Duration) -> u32 {
        let failures = self.circuit.recent_failures(now);
        failures.max(u32::from(self.is_silent(now)))
    }
}

// What another entry says of a server.
pub(super) struct Told {
    pub(super) load: EngineLoad,
    pub(super) failures: u32,
    pub(super) first_events: Option<f64>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) servers: HashMap<Name, Known>,
    pub(super) news: BTreeMap<Name, (Duration, HashMap<Name, Told>)>,
    pub(super) budgets: HashMap<Name, WindowedRetryBudget>,
}

// Time of day, which entries roughly share.
pub(super) fn clock() -> Duration {
    Duration::from_millis(rw_coord::unix_ms())
}

impl State {
    pub(super) fn on_engine_taken(&mut self, server: &Name, now: Duration) {
        let known = self.servers.entry(server.clone()).or_default();
        if known.own.running == 0 {
            known.last_event = Some(now);
        }
    }

    // This entry's place among those whose news are fresh.
    pub(super) fn sharer(&self, own: &Name, now: Duration) -> EntryPosition {
        let fresh = self
            .news
            .iter()
            .filter(|(_, (at, _))| now < *at + NEWS_LIFE);
        let names = fresh.map(|(name, _)| name);
        EntryPosition {
            index: names.clone().filter(|name| *name < own).count(),
            count: names.count() + 1,
        }
    }

    // Requests that an engine may hold, if it is this entry's turn to send one.
    pub(super) fn allowed_in_turn(&self, server: &BackendServer, own: &Name, now: Duration) -> u32 {
        let allowed = self.allowed(&server.id, server.slots, now);
        let running = self.load(&server.id, now).running;
        let free = allowed.saturating_sub(running);
        let known = self.servers.get(&server.id);
        let turns = known.map_or_else(SlotRotation::default, |k| k.turns.clone());
        match turns.may_acquire(&server.id, free, self.sharer(own, now), clock(), now) {
            true => allowed,
            false => running.min(allowed),
        }
    }

    pub(super) fn load(&self, server: &Name, now: Duration) -> EngineLoad {
        let own = self
            .servers
            .get(server)
            .map_or_else(EngineLoad::default, |k| k.own);
        let others = self.told(server, now);
        others.fold(own, |sum, told| sum.plus(told.load))
    }

    // What other entries said lately of a server.
    pub(super) fn told<'a>(
        &'a self,
        server: &'a Name,
        now: Duration,
    ) -> impl Iterator<Item = &'a Told> {
        let fresh = self
            .news
            .values()
            .filter(move |(at, _)| now < *at + NEWS_LIFE);
        fresh.filter_map(move |(_, told)| told.get(server))
    }

    // Mean over all entries that saw first events of a server lately.
    pub(super) fn first_events(&self, server: &Name, now: Duration) -> Option<f64> {
        let own = self.servers.get(server);
        let own = own.and_then(|k| k.first_events.ratio(now));
        let others = self.told(server, now).filter_map(|t| t.first_events);
        let all: Vec<f64> = own.into_iter().chain(others).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    }

    pub(super) fn allowed(&self, server: &Name, limit: u32, now: Duration) -> u32 {
        let failures = || self.told(server, now).map(|t| t.failures).sum();
        match self.servers.get(server) {
            Some(known) if now < known.closed_until || known.is_silent(now) => 0,
            Some(known) => {
                known
                    .circuit
                    .effective_limit_with_peers(limit + EXTRA_PER_ENGINE, failures(), now)
            }
            None => limit + EXTRA_PER_ENGINE,
        }
    }

    pub(super) fn budget(
        &mut self,
        service: &Name,
        bounds: &Bounds,
        entries: usize,
    ) -> &mut WindowedRetryBudget {
        let extra = bounds.retry_extra / entries.max(1) as f64;
        let budget = self.budgets.entry(service.clone()).or_insert_with(|| {
            WindowedRetryBudget::new(bounds.retry_window, bounds.retry_ratio, extra)
        });
        budget.set_extra_retries(extra);
        budget
    }
}
