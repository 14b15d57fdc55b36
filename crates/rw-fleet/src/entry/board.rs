//! What an entry knows of the load on backend servers, and what it has under
//! way there itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;
use rw_coord::Signal;
use rw_protocol::{LoadNews, Name, ServerLoad};
use rw_routing::{
    place, slowness, Circuit, Demand, EngineCandidate, EngineLoad, FirstEvents, Placed, Sharer,
    SlotTurns, WindowBudget,
};
use tokio::time::Instant;

use crate::{BackendServer, Bounds, Engine, Snapshot};

/// Age at which another entry's news no longer count.
const NEWS_LIFE: Duration = Duration::from_secs(1);
/// Time for which a server that refused a request gets no other.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// Requests beyond its slots that an engine may hold, so that a slot that
/// frees up is filled without waiting for the next request.
const EXTRA_PER_ENGINE: u32 = 0;
/// Requests beyond its slots that a plain server may hold, per slot.
const PLAIN_QUEUE_PER_SLOT: u32 = 2;

/// Late calls that may wait at an entry, per slot of its part of the engines; a
/// full engine ends a request in each slot within about two seconds.
const LATE_WAITING_SHARE: f64 = 0.25;

#[derive(Default)]
struct Known {
    own: EngineLoad,
    turns: SlotTurns,
    circuit: Circuit,
    first_events: FirstEvents,
    closed_until: Duration,
}

// What another entry says of a server.
struct Told {
    load: EngineLoad,
    failures: u32,
    first_events: Option<f64>,
}

#[derive(Default)]
struct State {
    servers: HashMap<Name, Known>,
    news: BTreeMap<Name, (Duration, HashMap<Name, Told>)>,
    budgets: HashMap<Name, WindowBudget>,
}

/// Load on backend servers as far as one entry knows it.
pub struct Board {
    // Name of this entry.
    name: Name,
    started: Instant,
    state: Mutex<State>,
    bounds: Bounds,
    freed: Signal,
    late: AtomicUsize,
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
            late: AtomicUsize::new(0),
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
        demand: &Demand,
        is_remote: impl Fn(&BackendServer) -> bool,
    ) -> std::result::Result<Ticket, Placed> {
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
        let known: Vec<f64> = ratios.iter().copied().flatten().collect();
        let mut candidates: Vec<EngineCandidate<'_>> = servers
            .iter()
            .zip(loads.iter().zip(&ratios))
            .map(|(server, ((load, allowed), ratio))| EngineCandidate {
                server: &server.id,
                profile: &engine.profile,
                load: *load,
                slowness: slowness(*ratio, &known),
                remote: is_remote(server),
                allowed: *allowed,
            })
            .collect();
        candidates.shuffle(&mut rand::rng());
        match place(demand, &candidates, EXTRA_PER_ENGINE) {
            Placed::At(id, forecast) => match servers.iter().find(|s| s.id == id) {
                Some(server) => {
                    let load = state.load(&server.id, now);
                    let mut ticket = self.ticket(&mut state, server, demand.prompt_tokens);
                    ticket.load = load;
                    ticket.forecast = forecast;
                    Ok(ticket)
                }
                None => Err(Placed::Nowhere),
            },
            other => Err(other),
        }
    }

    /// Lets a call that is late already wait for a place, unless so many wait
    /// that little would be left for it.
    pub fn wait_late(
        self: &Arc<Self>,
        servers: &[Arc<BackendServer>],
        entries: usize,
    ) -> Option<LateWait> {
        let slots: u32 = servers.iter().map(|s| s.slots).sum();
        let own = f64::from(slots) / entries.max(1) as f64;
        let most = (own * LATE_WAITING_SHARE) as usize;
        let waiting = LateWait(self.clone());
        (self.late.fetch_add(1, Ordering::Relaxed) < most).then_some(waiting)
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
        known.turns.on_taken(clock(), self.now());
        Ticket {
            board: self.clone(),
            server: server.clone(),
            load: EngineLoad::default(),
            forecast: Duration::ZERO,
            since: self.now(),
            unread,
        }
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
        let mut state = self.state();
        state
            .servers
            .entry(server.clone())
            .or_default()
            .circuit
            .on_failure(now)
    }

    /// A server said that it takes no request now.
    pub fn on_refused(&self, server: &Name) {
        let now = self.now();
        let mut state = self.state();
        state
            .servers
            .entry(server.clone())
            .or_default()
            .closed_until = now + REFUSED_PAUSE;
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
            failures: known.circuit.recent_failures(now),
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

// Time of day, which entries roughly share.
fn clock() -> Duration {
    Duration::from_millis(rw_coord::unix_ms())
}

impl State {
    // This entry's place among those whose news are fresh.
    fn sharer(&self, own: &Name, now: Duration) -> Sharer {
        let fresh = self
            .news
            .iter()
            .filter(|(_, (at, _))| now < *at + NEWS_LIFE);
        let names = fresh.map(|(name, _)| name);
        Sharer {
            index: names.clone().filter(|name| *name < own).count(),
            count: names.count() + 1,
        }
    }

    // Requests that an engine may hold, if it is this entry's turn to send one.
    fn allowed_in_turn(&self, server: &BackendServer, own: &Name, now: Duration) -> u32 {
        let allowed = self.allowed(&server.id, server.slots, now);
        let running = self.load(&server.id, now).running;
        let free = allowed.saturating_sub(running);
        let known = self.servers.get(&server.id);
        let turns = known.map_or_else(SlotTurns::default, |k| k.turns.clone());
        match turns.may_take(&server.id, free, self.sharer(own, now), clock(), now) {
            true => allowed,
            false => running.min(allowed),
        }
    }

    fn load(&self, server: &Name, now: Duration) -> EngineLoad {
        let own = self
            .servers
            .get(server)
            .map_or_else(EngineLoad::default, |k| k.own);
        let others = self.told(server, now);
        others.fold(own, |sum, told| sum.plus(told.load))
    }

    // What other entries said lately of a server.
    fn told<'a>(&'a self, server: &'a Name, now: Duration) -> impl Iterator<Item = &'a Told> {
        let fresh = self
            .news
            .values()
            .filter(move |(at, _)| now < *at + NEWS_LIFE);
        fresh.filter_map(move |(_, told)| told.get(server))
    }

    // Mean over all entries that saw first events of a server lately.
    fn first_events(&self, server: &Name, now: Duration) -> Option<f64> {
        let own = self.servers.get(server);
        let own = own.and_then(|k| k.first_events.ratio(now));
        let others = self.told(server, now).filter_map(|t| t.first_events);
        let all: Vec<f64> = own.into_iter().chain(others).collect();
        (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
    }

    fn allowed(&self, server: &Name, limit: u32, now: Duration) -> u32 {
        let failures = || self.told(server, now).map(|t| t.failures).sum();
        match self.servers.get(server) {
            Some(known) if now < known.closed_until => 0,
            Some(known) => known
                .circuit
                .allowed_among(limit + EXTRA_PER_ENGINE, failures(), now),
            None => limit + EXTRA_PER_ENGINE,
        }
    }

    fn budget(&mut self, service: &Name, bounds: &Bounds, entries: usize) -> &mut WindowBudget {
        let extra = bounds.retry_extra / entries.max(1) as f64;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(bounds.retry_window, bounds.retry_ratio, extra));
        budget.set_extra(extra);
        budget
    }
}

/// A late call that waits for a place; dropping it ends the wait.
pub struct LateWait(Arc<Board>);

impl Drop for LateWait {
    fn drop(&mut self) {
        self.0.late.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A place at a backend server; dropping it frees the place.
pub struct Ticket {
    board: Arc<Board>,
    /// The server.
    pub server: Arc<BackendServer>,
    /// Load of the server as it was known when the place was taken.
    pub load: EngineLoad,
    /// Time to the first event that was forecast then.
    pub forecast: Duration,
    since: Duration,
    unread: u32,
}

impl Ticket {
    /// The first event is here.
    pub fn on_first_event(&mut self) {
        let now = self.board.now();
        let took = now.saturating_sub(self.since);
        if let Some(known) = self.board.state().servers.get_mut(&self.server.id) {
            known.first_events.on_first_event(self.forecast, took, now);
        }
        self.prompt_read();
    }

    // The server has read the prompt.
    fn prompt_read(&mut self) {
        let mut state = self.board.state();
        if let Some(known) = state.servers.get_mut(&self.server.id) {
            known.own.unread_tokens = known.own.unread_tokens.saturating_sub(self.unread);
        }
        self.unread = 0;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.prompt_read();
        let mut state = self.board.state();
        if let Some(known) = state.servers.get_mut(&self.server.id) {
            known.own.running = known.own.running.saturating_sub(1);
            known.turns.on_left(self.board.now());
        }
        drop(state);
        self.board.freed.notify();
    }
}
