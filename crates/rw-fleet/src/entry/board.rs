//! What an entry knows of the load on backend servers, and what it has under
//! way there itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;
use rw_coord::Signal;
use rw_protocol::{LoadNews, Name, ServerLoad};
use rw_routing::{
    place, Circuit, Demand, EngineCandidate, EngineLoad, Placed, Sharer, SlotTurns, WindowBudget,
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

#[derive(Default)]
struct Known {
    own: EngineLoad,
    turns: SlotTurns,
    circuit: Circuit,
    closed_until: Duration,
}

#[derive(Default)]
struct State {
    servers: HashMap<Name, Known>,
    news: BTreeMap<Name, (Duration, HashMap<Name, EngineLoad>)>,
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
        let mut candidates: Vec<EngineCandidate<'_>> = servers
            .iter()
            .zip(&loads)
            .map(|(server, (load, allowed))| EngineCandidate {
                server: &server.id,
                profile: &engine.profile,
                load: *load,
                slowness: 1.0,
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
            (l.server, load)
        });
        self.state().news.insert(news.entry, (now, loads.collect()));
        self.freed.notify();
    }

    /// What this entry has under way.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        let state = self.state();
        let busy = state.servers.iter().filter(|(_, k)| k.own.running > 0);
        busy.map(|(server, known)| ServerLoad {
            server: server.clone(),
            running: known.own.running,
            unread_tokens: known.own.unread_tokens,
        })
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
        let fresh = self.news.values().filter(|(at, _)| now < *at + NEWS_LIFE);
        let others = fresh.filter_map(|(_, loads)| loads.get(server));
        others.fold(own, |sum, load| sum.plus(*load))
    }

    fn allowed(&self, server: &Name, limit: u32, now: Duration) -> u32 {
        match self.servers.get(server) {
            Some(known) if now < known.closed_until => 0,
            Some(known) => known.circuit.allowed(limit + EXTRA_PER_ENGINE, now),
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

/// A place at a backend server; dropping it frees the place.
pub struct Ticket {
    board: Arc<Board>,
    /// The server.
    pub server: Arc<BackendServer>,
    /// Load of the server as it was known when the place was taken.
    pub load: EngineLoad,
    /// Time to the first event that was forecast then.
    pub forecast: Duration,
    unread: u32,
}

impl Ticket {
    /// The server has read the prompt.
    pub fn prompt_read(&mut self) {
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
