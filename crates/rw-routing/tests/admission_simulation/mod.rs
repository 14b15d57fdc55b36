use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rw_protocol::Name;
use rw_routing::{AdmissionQueue, AdmissionRequest, ServiceRoom, Ticket, Verdict};

const REPORT_INTERVAL_US: u64 = 100_000;
const MEAN_RUN_US: u64 = 1_560_000;
const TIMEOUT_US: u64 = 9_000_000;
const MAX_HOPS: u32 = 3;

/// Requests of one route.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub rank: u32,
    pub objective_ms: u64,
    pub per_s: f64,
    /// Multiple of the rate during bursts: 5 s of every 20 s.
    pub burst: f64,
    /// Whether refused callers repeat at once until their time is over.
    pub repeats: bool,
    pub team: &'static str,
}

impl Route {
    pub const fn new(rank: u32, objective_ms: u64, per_s: f64) -> Self {
        Route {
            rank,
            objective_ms,
            per_s,
            burst: 1.0,
            repeats: false,
            team: "a",
        }
    }
}

/// Offered load and capacity.
#[derive(Clone, Debug)]
pub struct Load {
    pub routes: Vec<Route>,
    pub slots: u32,
    /// Share of the callers at each entry.
    pub entries: Vec<f64>,
    pub duration_s: u64,
}

/// Requests of a route by outcome, as callers see them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub offered: u32,
    pub at_once: u32,
    pub on_return: u32,
    pub returns: u32,
    pub long_offered: u32,
    pub long_served: u32,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub routes: Vec<Counts>,
    pub refused_with_room: u32,
    pub entries: Vec<(u32, u32)>,
}

fn ratio(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

impl Outcome {
    pub fn served(&self, route: usize) -> f64 {
        let counts = self.routes[route];
        ratio(counts.at_once + counts.on_return, counts.offered)
    }

    pub fn served_of_all(&self) -> f64 {
        let served = self.routes.iter().map(|c| c.at_once + c.on_return).sum();
        ratio(served, self.routes.iter().map(|c| c.offered).sum())
    }

    pub fn worth(&self) -> f64 {
        let worth: f64 = self
            .routes
            .iter()
            .map(|c| f64::from(c.at_once) + 0.45 * f64::from(c.on_return))
            .sum();
        worth / f64::from(self.routes.iter().map(|c| c.offered).sum::<u32>())
    }

    pub fn at_once(&self, route: usize) -> f64 {
        ratio(self.routes[route].at_once, self.routes[route].offered)
    }

    pub fn returns_served(&self, route: usize) -> f64 {
        ratio(self.routes[route].on_return, self.routes[route].returns)
    }

    pub fn entry_served(&self, entry: usize) -> f64 {
        ratio(self.entries[entry].0, self.entries[entry].1)
    }

    pub fn long_served(&self, route: usize) -> f64 {
        ratio(
            self.routes[route].long_served,
            self.routes[route].long_offered,
        )
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for route in 0..self.routes.len() {
            write!(
                f,
                "[at_once={:.2} served={:.2} returns={} served={:.2} long={:.2}] ",
                self.at_once(route),
                self.served(route),
                self.routes[route].returns,
                self.returns_served(route),
                self.long_served(route)
            )?;
        }
        write!(
            f,
            "all={:.2} worth={:.3} with_room={}",
            self.served_of_all(),
            self.worth(),
            self.refused_with_room
        )?;
        let entries = self.entries.iter();
        let shares: Vec<f64> = entries.map(|(part, whole)| ratio(*part, *whole)).collect();
        write!(f, " entries={shares:.2?}")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive { route: usize },
    Attempt { request: usize, entry: usize },
    WaitEnds { entry: usize, ticket: Ticket },
    Release { entry: usize },
    Report,
}

#[derive(Clone, Copy)]
struct Request {
    route: usize,
    first_us: u64,
    attempts: u32,
    tokens: u32,
    is_long: bool,
}

#[derive(Default)]
struct EntryState {
    queue: AdmissionQueue,
    running: u32,
    reported: u32,
    waiting: BTreeMap<Ticket, usize>,
}

struct Simulation<'a> {
    load: &'a Load,
    rng: SmallRng,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    count: u64,
    now_us: u64,
    running: u32,
    entries: Vec<EntryState>,
    requests: Vec<Request>,
    outcome: Outcome,
}

impl Load {
    pub fn new(routes: Vec<Route>) -> Self {
        Load {
            routes,
            slots: 408,
            entries: vec![1.0; 13],
            duration_s: 60,
        }
    }

    pub fn run(&self, seed: u64) -> Outcome {
        let mut simulation = Simulation {
            load: self,
            rng: SmallRng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            count: 0,
            now_us: 0,
            running: 0,
            entries: self.entries.iter().map(|_| EntryState::default()).collect(),
            requests: Vec::new(),
            outcome: Outcome {
                routes: vec![Counts::default(); self.routes.len()],
                entries: vec![(0, 0); self.entries.len()],
                ..Outcome::default()
            },
        };
        simulation.run();
        simulation.outcome
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        for route in 0..self.load.routes.len() {
            self.push(0, Step::Arrive { route });
        }
        self.push(0, Step::Report);
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now_us = at;
            if at > (self.load.duration_s + 10) * 1_000_000 {
                break;
            }
            match step {
                Step::Arrive { route } => self.on_arrival(route),
                Step::Attempt { request, entry } => self.attempt(request, entry),
                Step::WaitEnds { entry, ticket } => {
                    if let Some(request) = self.entries[entry].waiting.remove(&ticket) {
                        self.entries[entry].queue.leave(ticket);
                        self.refuse(request, entry);
                        self.take_turns(entry);
                    }
                }
                Step::Release { entry } => {
                    self.running -= 1;
                    self.entries[entry].running -= 1;
                    self.take_turns(entry);
                }
                Step::Report => {
                    for entry in &mut self.entries {
                        entry.reported = entry.running;
                    }
                    for entry in 0..self.entries.len() {
                        self.take_turns(entry);
                    }
                    self.push(REPORT_INTERVAL_US, Step::Report);
                }
            }
        }
    }

    fn push(&mut self, after_us: u64, step: Step) {
        self.count += 1;
        let at = self.now_us + after_us;
        self.steps.push(Reverse((at, self.count, step)));
    }

    fn now(&self) -> Duration {
        Duration::from_micros(self.now_us)
    }

    fn random_entry(&mut self) -> usize {
        let total: f64 = self.load.entries.iter().sum();
        let mut draw = self.rng.random_range(0.0..total);
        for (at, share) in self.load.entries.iter().enumerate() {
            if draw < *share {
                return at;
            }
            draw -= share;
        }
        0
    }

    fn on_arrival(&mut self, route: usize) {
        let params = self.load.routes[route];
        let in_burst = self.now_us / 1_000_000 % 20 >= 15;
        let per_s = params.per_s * if in_burst { params.burst } else { 1.0 };
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
        if self.now_us < self.load.duration_s * 1_000_000 {
            self.push((gap_s * 1e6) as u64, Step::Arrive { route });
        }
        let is_long = self.rng.random_bool(0.1);
        self.requests.push(Request {
            route,
            first_us: self.now_us,
            attempts: 0,
            tokens: self.rng.random_range(500..1500) * if is_long { 4 } else { 1 },
            is_long,
        });
        self.outcome.routes[route].offered += 1;
        self.outcome.routes[route].long_offered += u32::from(is_long);
        let entry = self.random_entry();
        self.outcome.entries[entry].1 += 1;
        self.attempt(self.requests.len() - 1, entry);
    }

    fn room(&self, entry: usize) -> ServiceRoom {
        let own = self.entries[entry].running;
        let others = self.entries.iter().map(|e| e.reported).sum::<u32>();
        let running = own + others - self.entries[entry].reported;
        ServiceRoom {
            slots: self.load.slots,
            free: self.load.slots.saturating_sub(running),
            running,
            own_running: own,
        }
    }

    fn attempt(&mut self, at: usize, entry: usize) {
        self.requests[at].attempts += 1;
        let request = self.requests[at];
        let route = self.load.routes[request.route];
        let objective_us = route.objective_ms * 1000;
        // What an entry can tell from the time that the caller has left.
        let returning = self.now_us - request.first_us > objective_us.max(TIMEOUT_US / 5);
        let patience_percent = match (route.rank, returning) {
            (0, _) => 33,
            (_, true) => 25,
            (_, false) => 12,
        };
        let patience_us = objective_us * patience_percent / 100;
        let admission = AdmissionRequest {
            rank: route.rank,
            team: Name::from(route.team),
            returning,
            prompt_tokens: request.tokens,
            patience: Duration::from_micros(patience_us),
        };
        let (room, now) = (self.room(entry), self.now());
        let decision = self.entries[entry].queue.arrive(&admission, room, now);
        let ticket = decision.ticket;
        match decision.verdict {
            Verdict::Try | Verdict::Wait => {
                self.entries[entry].waiting.insert(ticket, at);
                if decision.verdict == Verdict::Wait || !self.try_start(entry, ticket) {
                    self.push(patience_us, Step::WaitEnds { entry, ticket });
                }
            }
            _ => self.refuse(at, entry),
        }
    }

    fn try_start(&mut self, entry: usize, ticket: Ticket) -> bool {
        let (room, now) = (self.room(entry), self.now());
        let state = &mut self.entries[entry];
        if self.running >= self.load.slots || !state.queue.may_start(ticket, room, now) {
            return false;
        }
        let Some(request) = state.waiting.remove(&ticket) else {
            return false;
        };
        state.queue.on_start(ticket, now);
        state.running += 1;
        self.running += 1;
        let request = self.requests[request];
        let counts = &mut self.outcome.routes[request.route];
        match request.attempts {
            1 => counts.at_once += 1,
            _ => counts.on_return += 1,
        }
        counts.long_served += u32::from(request.is_long);
        self.outcome.entries[entry].0 += 1;
        let run_us = MEAN_RUN_US as f64 * self.rng.random_range(0.3..1.7);
        self.push(run_us as u64, Step::Release { entry });
        true
    }

    fn take_turns(&mut self, entry: usize) {
        let mut next = self.entries[entry].queue.first();
        let mut hops = 0;
        while let Some(ticket) = next.filter(|_| hops <= MAX_HOPS) {
            next = self.entries[entry].queue.after(ticket);
            match self.try_start(entry, ticket) {
                true => next = self.entries[entry].queue.first(),
                false => hops += 1,
            }
        }
    }

    fn refuse(&mut self, at: usize, entry: usize) {
        let request = self.requests[at];
        let route = self.load.routes[request.route];
        let elapsed_us = self.now_us - request.first_us;
        let max = Duration::from_micros(TIMEOUT_US.saturating_sub(elapsed_us) / 3);
        let (now, spread) = (self.now(), self.rng.random());
        let queue = &mut self.entries[entry].queue;
        let delay = queue.retry_after(route.rank, max, spread, now);
        if f64::from(self.running) < 0.5 * f64::from(self.load.slots) {
            self.outcome.refused_with_room += 1;
        }
        let delay_us = match route.repeats {
            true if elapsed_us < TIMEOUT_US / 2 => 20_000,
            false if request.attempts == 1 => delay.as_micros() as u64,
            _ => return,
        };
        if request.attempts == 1 {
            self.outcome.routes[request.route].returns += 1;
        }
        let entry = self.random_entry();
        self.push(delay_us, Step::Attempt { request: at, entry });
    }
}
