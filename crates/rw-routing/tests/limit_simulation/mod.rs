//! Simulation of entries that share the limits of servers over a network that delays,
//! loses and repeats messages, with entries that die, freeze, restart and are cut off.
#![allow(dead_code, unused_imports)]

mod checks;
mod entry;
mod outcome;
mod requests;
mod setup;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use entry::SimEntry;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rw_protocol::Name;
use rw_routing::{
    LimitNews, LimitObservation, PermitAsk, PermitRefusal, PermitReply, ServerLifetime,
};

pub use checks::{assert_limit_kept, assert_limit_used, seeds, KNOWN_AFTER, NAMED_AT};
pub use outcome::{allowed, Outcome};
pub use setup::{Demand, Fault, Setup};

pub const MS: u64 = 1000;
pub const SECOND: u64 = 1000 * MS;
/// Window over which arrivals are counted.
const WINDOW: u64 = 4 * SECOND;
/// Time after which a granted permit is not used any more.
const PERMIT_VALIDITY: u64 = 150 * MS;
/// Time for which an entry waits for a reply beyond the patience of its request.
const ASK_TIMEOUT: u64 = 300 * MS;
/// Time after a cut in which an entry does not count as in touch yet.
pub const CONTACT_WINDOW: u64 = 3 * SECOND;
const TICK: u64 = 100 * MS;
/// Ticks after which an entry polls its permits if nobody waits for one.
const TICKS_PER_POLL: u64 = 10;
const REPORT_INTERVAL: u64 = 500 * MS;

// What happens next; the first number is that of the entry to which it happens.
#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Report(usize),
    Caller,
    // A request for a permit: the call, and the entries that the reply has to pass.
    Ask(usize, u64, PermitAsk, Vec<usize>),
    // Its reply: the call, and how long the request waited.
    Reply(usize, u64, PermitReply, u64),
    AskTimeout(usize, u64),
    News(usize, Name, LimitNews),
    // A request from the entry at a server, and when it was sent.
    Arrival(usize, usize, u64),
    // Its response, and the limit that it names.
    Response(usize, usize, u64, Option<f64>),
    Poll(usize),
    Fault(usize, Fault),
    Thaw(usize),
}

pub struct Simulation {
    setup: Setup,
    rng: StdRng,
    now: u64,
    next_id: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued: HashMap<u64, Event>,
    entries: Vec<SimEntry>,
    // Pairs of entries without a link, the lower one first.
    cut_links: BTreeSet<(usize, usize)>,
    out: Outcome,
}

pub fn entry_name(entry: usize) -> Name {
    Name::from(format!("entry-{entry}"))
}

fn server_life(server: usize) -> ServerLifetime {
    ServerLifetime {
        id: Name::from(format!("server-{server}")),
        started_ms: 1,
    }
}

impl Simulation {
    pub fn run(setup: Setup, seed: u64) -> Outcome {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries = (0..setup.entries)
            .map(|entry| SimEntry::new(entry, &mut rng))
            .collect();
        let mut sim = Simulation {
            out: Outcome {
                arrivals: vec![Vec::new(); setup.servers.len()],
                in_touch: vec![Vec::new(); setup.servers.len()],
                told_at: vec![None; setup.servers.len()],
                ..Outcome::default()
            },
            rng,
            now: 0,
            next_id: 0,
            events: BinaryHeap::new(),
            queued: HashMap::new(),
            entries,
            cut_links: BTreeSet::new(),
            setup,
        };
        for entry in 0..sim.setup.entries {
            sim.begin(entry);
        }
        sim.at(0, Event::Caller);
        for (at, entry, fault) in sim.setup.faults.clone() {
            sim.at(at, Event::Fault(entry, fault));
        }
        let end = sim.setup.seconds * SECOND;
        while let Some(Reverse((at, id))) = sim.events.pop() {
            if at >= end {
                break;
            }
            sim.now = at;
            let event = sim.queued.remove(&id).expect("queued once");
            sim.handle(event);
        }
        sim.out
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_id += 1;
        self.queued.insert(self.next_id, event);
        self.events.push(Reverse((at, self.next_id)));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    // Timers of an entry start at different moments.
    fn begin(&mut self, entry: usize) {
        let delay = self.rng.random_range(0..TICK);
        self.after(delay, Event::Tick(entry));
        let delay = self.rng.random_range(0..REPORT_INTERVAL);
        self.after(delay, Event::Report(entry));
    }

    fn local(&self, entry: usize) -> Duration {
        self.entries[entry].local(self.now)
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let is_cut_off = self.entries[a].cut_off || self.entries[b].cut_off;
        !is_cut_off && !self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    // Sends a message from one entry to another; it may be lost, late or repeated.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if !self.is_linked(from, to) {
            return;
        }
        if self.rng.random_bool(self.setup.loss) {
            return;
        }
        let delay = self.rng.random_range(MS..=self.setup.max_delay);
        if self.rng.random_bool(self.setup.loss) {
            let delay = self.rng.random_range(MS..=10 * self.setup.max_delay);
            self.after(delay, event.clone());
        }
        self.after(delay, event);
    }

    fn handle(&mut self, event: Event) {
        let owner = match &event {
            Event::Tick(entry)
            | Event::Report(entry)
            | Event::Ask(entry, ..)
            | Event::Reply(entry, ..)
            | Event::AskTimeout(entry, _)
            | Event::News(entry, ..)
            | Event::Response(entry, ..)
            | Event::Poll(entry) => Some(*entry),
            _ => None,
        };
        if let Some(entry) = owner {
            let sim_entry = &mut self.entries[entry];
            if !sim_entry.alive {
                return;
            }
            if self.now < sim_entry.frozen_until {
                sim_entry.held_back.push(event);
                return;
            }
        }
        match event {
            Event::Tick(entry) => self.on_tick(entry),
            Event::Report(entry) => self.on_report(entry),
            Event::Caller => self.on_caller(),
            Event::Ask(entry, call, ask, path) => self.on_ask(entry, call, ask, path),
            Event::Reply(entry, call, reply, waited) => self.on_reply(entry, call, reply, waited),
            Event::AskTimeout(entry, call) => {
                let refused = PermitReply::Refused(PermitRefusal::after(ms(200)));
                self.on_reply(entry, call, refused, 0);
            }
            Event::News(entry, from, news) => {
                let now = self.local(entry);
                let news = entry::news_to_local(news, now);
                self.entries[entry].coordinator.on_news(&from, news, now);
            }
            Event::Arrival(entry, server, epoch) => self.on_arrival(entry, server, epoch),
            Event::Response(entry, server, sent_at, limit) => {
                if limit.is_some() {
                    self.out.told_at[server].get_or_insert(self.now);
                }
                let received_at = self.local(entry);
                let observation = LimitObservation {
                    limit,
                    sent_at: self.entries[entry].local(sent_at),
                    received_at,
                };
                let coordinator = &mut self.entries[entry].coordinator;
                coordinator.on_response(&server_life(server), observation, received_at);
            }
            Event::Poll(entry) => self.poll(entry),
            Event::Fault(entry, fault) => self.on_fault(entry, fault),
            Event::Thaw(entry) => {
                for event in std::mem::take(&mut self.entries[entry].held_back) {
                    self.handle(event);
                }
            }
        }
    }

    fn on_tick(&mut self, entry: usize) {
        let now = self.local(entry);
        let coordinator = &mut self.entries[entry].coordinator;
        coordinator.membership.evaluate(now);
        let news = coordinator.news(now);
        self.entries[entry].ticks += 1;
        if self.entries[entry].ticks.is_multiple_of(TICKS_PER_POLL) {
            self.poll(entry);
        }
        if self.entries[entry].leaving {
            self.say_leaving(entry);
        }
        if let Some(news) = news {
            let news = entry::news_to_ages(news, now);
            for other in (0..self.entries.len()).filter(|other| *other != entry) {
                let event = Event::News(other, entry_name(entry), news.clone());
                self.send(entry, other, event);
            }
        }
        self.after(TICK, Event::Tick(entry));
    }

    fn say_leaving(&mut self, entry: usize) {
        let (name, at) = (entry_name(entry), self.now);
        for other in self.entries.iter_mut() {
            let now = other.local(at);
            other.coordinator.membership.on_leaving(&name, now);
        }
    }

    // Reports are frequent, so they take no events of their own.
    fn on_report(&mut self, entry: usize) {
        self.after(REPORT_INTERVAL, Event::Report(entry));
        for other in (0..self.entries.len()).filter(|other| *other != entry) {
            if !self.is_linked(entry, other) || self.rng.random_bool(self.setup.loss) {
                continue;
            }
            let (now, at) = (self.local(other), self.now);
            let other = &mut self.entries[other];
            if other.alive && at >= other.frozen_until {
                let membership = &mut other.coordinator.membership;
                membership.on_heard(&entry_name(entry), now);
            }
        }
    }

    // An entry that starts asks the others for what they know.
    fn take_over(&mut self, entry: usize) {
        let (now, at) = (self.local(entry), self.now);
        let is_up = |e: &&SimEntry| e.alive && !e.cut_off && at >= e.frozen_until;
        let others = self.entries.iter().enumerate();
        let mut others = others.filter(|(other, e)| *other != entry && is_up(e));
        let Some((other, source)) = others.next() else {
            return;
        };
        let news = entry::news_to_ages(source.coordinator.all_limits(), source.local(at));
        let news = entry::news_to_local(news, now);
        let coordinator = &mut self.entries[entry].coordinator;
        coordinator.on_news(&entry_name(other), news, now);
    }

    fn on_fault(&mut self, entry: usize, fault: Fault) {
        match fault {
            Fault::Kill => self.entries[entry].alive = false,
            Fault::Start => {
                let offset = self.entries[entry].offset;
                self.entries[entry] = SimEntry::started(entry, offset);
                self.begin(entry);
                self.take_over(entry);
            }
            Fault::Leave => {
                self.entries[entry].leaving = true;
                self.entries[entry].coordinator.membership.leave();
            }
            Fault::FreezeFor(time) => {
                self.entries[entry].frozen_until = self.now + time;
                self.after(time, Event::Thaw(entry));
            }
            Fault::CutLinkTo(other) => {
                self.cut_links.insert((entry.min(other), entry.max(other)));
            }
            Fault::HealLinkTo(other) => {
                self.cut_links.remove(&(entry.min(other), entry.max(other)));
            }
            Fault::CutOff => {
                self.entries[entry].cut_off = true;
                self.entries[entry].excused_until = u64::MAX;
            }
            Fault::Heal => {
                self.entries[entry].cut_off = false;
                self.entries[entry].excused_until = self.now + CONTACT_WINDOW;
            }
        }
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
