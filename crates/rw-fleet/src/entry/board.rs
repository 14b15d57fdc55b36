//! What an entry knows of the load on backend servers, and what it has under
//! way there itself.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;
use rw_coord::Signal;
use rw_protocol::{LoadNews, Name, ServerLoad};
use rw_routing::{
    median, select_engine, slowdown, EngineCandidate, EngineLoad, EngineSelection,
    RequestRequirements,
};
use tokio::time::Instant;

use super::loads::{clock, Known, State, Told, EXTRA_PER_ENGINE, NEWS_LIFE};
use super::Ticket;
use crate::{BackendServer, Bounds, Engine, Snapshot};

/// Time for which a server that refused a request gets no other.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// Requests beyond its slots that a plain server may hold, per slot.
const PLAIN_QUEUE_PER_SLOT: u32 = 2;

/// Load on backend servers as far as one entry knows it.
pub struct Board {
    // Name of this entry.
    name: Name,
    started: Instant,
    state: Mutex<State>,
    bounds: Bounds,
    freed: Signal,
}

impl Board {
    /// An empty board.
    pub fn new(name: Name, bounds: Bounds) -> Arc<Self> {
        Arc::new(Board {
            name,
            started: Instant::now(),
            state: Mutex::default(),
            bounds,
            freed: Signal::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Receives a signal when a place frees up.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.freed.subscribe()
    }

    /// Places a generation request at one of the servers.
    pub fn place(
        self: &Arc<Self>,
        engine: &Engine,
        servers: &[Arc<BackendServer>],
        demand: &RequestRequirements,
        is_remote: impl Fn(&BackendServer) -> bool,
    ) -> std::result::Result<Ticket, EngineSelection> {
        let now = self.now();
        let mut state = self.state();
        let loads: Vec<(EngineLoad, u32)> = servers
            .iter()
            .map(|s| {
                (
                    state.load(&s.id, now),
                    state.allowed_in_turn(s, &self.name, now),
                )
            })
            .collect();
        let ratios: Vec<Option<f64>> = servers
            .iter()
            .map(|s| state.first_events(&s.id, now))
            .collect();
        let mut known: Vec<f64> = ratios.iter().copied().flatten().collect();
        let median = median(&mut known);
        let mut candidates: Vec<EngineCandidate<'_>> = servers
            .iter()
            .zip(loads.iter().zip(&ratios))
            .map(|(server, ((load, allowed), ratio))| EngineCandidate {
                server: &server.id,
                profile: &engine.profile,
                load: *load,
                slowdown: slowdown(*ratio, median),
                remote: is_remote(server),
                max_running: *allowed,
            })
            .collect();
        candidates.shuffle(&mut rand::rng());
        match select_engine(demand, &candidates, EXTRA_PER_ENGINE) {
            EngineSelection::Selected(id, forecast) => match servers.iter().find(|s| s.id == id) {
                Some(server) => {
                    let load = state.load(&server.id, now);
                    state.on_engine_taken(&server.id, now);
                    let mut ticket = self.ticket(&mut state, server, demand.prompt_tokens);
                    ticket.load = load;
                    ticket.forecast = forecast;
                    Ok(ticket)
                }
                None => Err(EngineSelection::Unavailable),
            },
            other => Err(other),
        }
    }

    /// Takes a plain server with few requests under way.
    pub fn place_plain(self: &Arc<Self>, servers: &[Arc<BackendServer>]) -> Option<Ticket> {
        let now = self.now();
        let mut state = self.state();
        let mut rng = rand::rng();
        let best = servers
            .iter()
            .filter_map(|s| {
                let limit = s.slots.max(1) * (1 + PLAIN_QUEUE_PER_SLOT);
                let running = state.load(&s.id, now).running;
                let open = running < state.allowed(&s.id, limit, now);
                let share = f64::from(running) / f64::from(s.slots.max(1));
                open.then(|| (share, rng.random::<u32>(), s))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, _, server) = best?;
        Some(self.ticket(&mut state, server, 0))
    }

    fn ticket(
        self: &Arc<Self>,
        state: &mut State,
        server: &Arc<BackendServer>,
        unread: u32,
    ) -> Ticket {
        let known = state.servers.entry(server.id.clone()).or_default();
        known.own.running += 1;
        known.own.unread_tokens += unread;
        known.turns.on_acquired(clock(), self.now());
        Ticket::new(self.clone(), server.clone(), unread, self.now())
    }

    /// A server sent an event.
    pub(super) fn on_event(&self, server: &Name) {
        let now = self.now();
        if let Some(known) = self.state().servers.get_mut(server) {
            known.last_event = Some(now);
        }
    }

    /// The first event of a request came, so that its prompt is read.
    pub(super) fn on_first_event(&self, ticket: &Ticket) {
        let now = self.now();
        let took = now.saturating_sub(ticket.since);
        if let Some(known) = self.state().servers.get_mut(&ticket.server.id) {
            known.first_events.record(ticket.forecast, took, now);
        }
    }

    /// A server has read so many tokens, or never will.
    pub(super) fn on_prompt_read(&self, server: &Name, tokens: u32) {
        if let Some(known) = self.state().servers.get_mut(server) {
            known.own.unread_tokens = known.own.unread_tokens.saturating_sub(tokens);
        }
    }

    /// A request left its place.
    pub(super) fn on_left(&self, server: &Name) {
        let now = self.now();
        if let Some(known) = self.state().servers.get_mut(server) {
            known.own.running = known.own.running.saturating_sub(1);
            known.turns.on_released(now);
        }
        self.freed.notify();
    }

    /// What is believed of some servers, for the log: how many there are, their
    /// requests and slots, how many take none now, and the age of the oldest
    /// news that counts.
    pub fn summary(&self, servers: &[Arc<BackendServer>]) -> String {
        let now = self.now();
        let state = self.state();
        let running: u32 = servers.iter().map(|s| state.load(&s.id, now).running).sum();
        let slots: u32 = servers.iter().map(|s| s.slots).sum();
        let closed = servers
            .iter()
            .filter(|s| state.allowed(&s.id, s.slots, now) == 0);
        let ages = state.news.values().map(|(at, _)| now.saturating_sub(*at));
        let oldest = ages
            .filter(|age| *age < NEWS_LIFE)
            .max()
            .unwrap_or_default();
        format!(
            "servers={} running={running} slots={slots} closed={} news_ms={}",
            servers.len(),
            closed.count(),
            oldest.as_millis()
        )
    }

    /// Counts a request of a service for its retry budget.
    pub fn count_request(&self, service: &Name, entries: usize) {
        let now = self.now();
        self.state()
            .budget(service, &self.bounds, entries)
            .on_request(now);
    }

    /// Takes one repeat out of a service's retry budget.
    pub fn take_repeat(&self, service: &Name, entries: usize) -> bool {
        let now = self.now();
        self.state()
            .budget(service, &self.bounds, entries)
            .take(now)
    }

    /// A server answered as it should.
    pub fn on_success(&self, server: &Name) {
        let now = self.now();
        if let Some(known) = self.state().servers.get_mut(server) {
            known.circuit.on_success(now);
        }
    }

    /// A server failed a request; says whether its circuit opened just now.
    pub fn on_failure(&self, server: &Name) -> bool {
        let now = self.now();
        self.change(server, |known| known.circuit.on_failure(now))
    }

    /// A server said that it takes no request now.
    pub fn on_refused(&self, server: &Name) {
        let until = self.now() + REFUSED_PAUSE;
        self.change(server, |known| known.closed_until = until);
    }

    fn change<T>(&self, server: &Name, change: impl FnOnce(&mut Known) -> T) -> T {
        let mut state = self.state();
        change(state.servers.entry(server.clone()).or_default())
    }

    /// Takes in what another entry has under way.
    pub fn on_news(&self, news: LoadNews) {
        let now = self.now();
        let loads = news.loads.into_iter().map(|l| {
            let load = EngineLoad {
                running: l.running,
                unread_tokens: l.unread_tokens,
            };
            let ratio = f64::from(l.slowness_percent) / 100.0;
            let told = Told {
                load,
                failures: l.failures,
                first_events: (ratio > 0.0).then_some(ratio),
            };
            (l.server, told)
        });
        self.state().news.insert(news.entry, (now, loads.collect()));
        self.freed.notify();
    }

    /// What this entry has under way.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        let now = self.now();
        let state = self.state();
        let loads = state.servers.iter().map(|(server, known)| ServerLoad {
            server: server.clone(),
            running: known.own.running,
            unread_tokens: known.own.unread_tokens,
            failures: known.failures(now),
            slowness_percent: known
                .first_events
                .ratio(now)
                .map_or(0, |ratio| (ratio * 100.0) as u32),
        });
        loads
            .filter(|l| l.running > 0 || l.failures > 0 || l.slowness_percent > 0)
            .collect()
    }

    /// Forgets servers that are gone and have nothing under way.
    pub fn retain(&self, view: &Snapshot) {
        let mut state = self.state();
        state
            .servers
            .retain(|id, k| k.own.running > 0 || view.servers.contains_key(id));
    }
}
