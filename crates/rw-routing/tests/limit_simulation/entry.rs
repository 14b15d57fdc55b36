//! An entry of the simulation, and the conversion of times that it sends.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rw_routing::{LimitCoordinator, LimitNews, LimitObservation, PermitAsk};

use super::{entry_name, Event, SECOND};

pub struct SimEntry {
    // What its clock shows at the start of the simulation, in microseconds.
    pub offset: u64,
    pub coordinator: LimitCoordinator,
    pub alive: bool,
    pub leaving: bool,
    pub cut_off: bool,
    pub excused_until: u64,
    pub frozen_until: u64,
    pub held_back: Vec<Event>,
    // Calls that wait for a permit: the server, the servers to try next, and when they asked.
    pub calls: HashMap<u64, (usize, Vec<usize>, u64)>,
    pub ticks: u64,
    pub poll_at: u64,
    // Requests that wait here: the call, the path of the reply, and when they arrived.
    pub waiting: HashMap<u64, (u64, Vec<usize>, u64)>,
}

impl SimEntry {
    // Clocks differ by minutes.
    pub fn new(entry: usize, rng: &mut StdRng) -> Self {
        SimEntry::started(entry, rng.random_range(100 * SECOND..1000 * SECOND))
    }

    pub fn started(entry: usize, offset: u64) -> Self {
        SimEntry {
            offset,
            coordinator: LimitCoordinator::new(entry_name(entry)),
            alive: true,
            leaving: false,
            cut_off: false,
            excused_until: 0,
            frozen_until: 0,
            held_back: Vec::new(),
            calls: HashMap::new(),
            ticks: 0,
            poll_at: 0,
            waiting: HashMap::new(),
        }
    }

    pub fn local(&self, at: u64) -> Duration {
        Duration::from_micros(self.offset + at)
    }
}

fn observation_to_ages(observation: LimitObservation, now: Duration) -> LimitObservation {
    LimitObservation {
        limit: observation.limit,
        sent_at: now.saturating_sub(observation.sent_at),
        received_at: now.saturating_sub(observation.received_at),
    }
}

// The same computation turns ages into times.
fn observation_to_local(observation: LimitObservation, now: Duration) -> LimitObservation {
    observation_to_ages(observation, now)
}

pub fn news_to_ages(mut news: LimitNews, now: Duration) -> LimitNews {
    for (_, observation) in &mut news.limits {
        *observation = observation_to_ages(*observation, now);
    }
    news
}

pub fn news_to_local(news: LimitNews, now: Duration) -> LimitNews {
    news_to_ages(news, now)
}

pub fn ask_to_ages(mut ask: PermitAsk, now: Duration) -> PermitAsk {
    ask.observation = ask.observation.map(|o| observation_to_ages(o, now));
    ask
}

pub fn ask_to_local(mut ask: PermitAsk, now: Duration) -> PermitAsk {
    ask.observation = ask.observation.map(|o| observation_to_local(o, now));
    ask
}
