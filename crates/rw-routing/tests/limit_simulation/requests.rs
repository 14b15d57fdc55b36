//! Requests of callers, the permits that entries ask for, and what reaches the servers.

use rand::Rng;
use rw_protocol::Name;
use rw_routing::{AskOutcome, PermitAsk, PermitReply, PermitRequest, PermitTarget};

use super::{
    entry, entry_name, server_life, Demand, Event, Simulation, ASK_TIMEOUT, MS, PERMIT_VALIDITY,
    SECOND,
};

impl Simulation {
    pub(super) fn on_caller(&mut self) {
        let delay = -f64::ln(self.rng.random_range(1e-9..1.0)) / self.setup.per_s;
        self.after((delay * SECOND as f64) as u64 + 1, Event::Caller);
        let count = self.entries.len();
        let entry = match self.setup.demand {
            Demand::OneEntry => 0,
            Demand::Bursts if self.now % (10 * SECOND) >= SECOND => return,
            Demand::AllAlike | Demand::Bursts => self.rng.random_range(0..count),
            Demand::MovingAbout => (self.now / (5 * SECOND)) as usize % count,
        };
        let sim_entry = &self.entries[entry];
        if !sim_entry.alive || self.now < sim_entry.frozen_until {
            return;
        }
        let mut servers: Vec<usize> = (0..self.setup.servers.len()).collect();
        let first = self.rng.random_range(0..servers.len());
        servers.rotate_left(first);
        self.select(entry, servers);
    }

    // Sends the call to the first of the servers that takes it.
    fn select(&mut self, entry: usize, mut servers: Vec<usize>) {
        let (now, patience) = (self.local(entry), self.setup.patience);
        let spread = self.rng.random();
        while let Some(server) = servers.pop() {
            let life = server_life(server);
            let coordinator = &mut self.entries[entry].coordinator;
            if coordinator.refusal(&life, patience, spread, now).is_some() {
                continue;
            }
            let target = coordinator.target(&life);
            if target == PermitTarget::None {
                return self.send_to_server(entry, server);
            }
            let ask = PermitAsk {
                observation: coordinator.observation(&life),
                server: life,
                request: PermitRequest {
                    id: 0,
                    entry: entry_name(entry),
                    rank: 0,
                    patience,
                },
                hops: 0,
            };
            self.next_id += 1;
            let call = self.next_id;
            self.out.asks += 1;
            let pending = (server, servers, self.now);
            self.entries[entry].calls.insert(call, pending);
            match target {
                PermitTarget::Entry(name) => {
                    let to = self.index(&name);
                    let ask = entry::ask_to_ages(ask, now);
                    self.send(entry, to, Event::Ask(to, call, ask, vec![entry]));
                }
                _ => {
                    let ask = entry::ask_to_ages(ask, now);
                    self.on_ask(entry, call, ask, vec![entry]);
                }
            }
            let timeout = patience.as_micros() as u64 + ASK_TIMEOUT;
            return self.after(timeout, Event::AskTimeout(entry, call));
        }
        self.out.refused += 1;
    }

    fn index(&self, name: &Name) -> usize {
        let found = (0..self.entries.len()).find(|entry| entry_name(*entry) == *name);
        found.expect("an entry of the simulation")
    }

    // `path` lists the entries that the reply has to pass, the asking one first.
    pub(super) fn on_ask(&mut self, entry: usize, call: u64, ask: PermitAsk, path: Vec<usize>) {
        let now = self.local(entry);
        self.next_id += 1;
        let id = self.next_id;
        let mut local_ask = entry::ask_to_local(ask, now);
        local_ask.request.id = id;
        let coordinator = &mut self.entries[entry].coordinator;
        let (outcome, displaced, _) = coordinator.on_ask(local_ask.clone(), now);
        self.entries[entry]
            .waiting
            .insert(id, (call, path.clone(), self.now));
        match outcome {
            AskOutcome::Reply(reply) => self.reply(entry, id, reply),
            AskOutcome::Queued => {}
            AskOutcome::Forward(name) => {
                self.entries[entry].waiting.remove(&id);
                let to = self.index(&name);
                let mut path = path;
                path.push(entry);
                local_ask.hops += 1;
                let ask = entry::ask_to_ages(local_ask, now);
                self.send(entry, to, Event::Ask(to, call, ask, path));
            }
        }
        for (id, reply) in displaced {
            self.reply(entry, id, reply);
        }
        self.schedule_poll(entry);
    }

    fn reply(&mut self, entry: usize, id: u64, reply: PermitReply) {
        let Some((call, path, asked_at)) = self.entries[entry].waiting.remove(&id) else {
            return;
        };
        let (asking, waited) = (path[0], self.now - asked_at);
        let event = Event::Reply(asking, call, reply, waited);
        match asking == entry {
            true => self.handle(event),
            // Relays add their delay.
            false => {
                let first_hop = *path.last().expect("has the asking entry");
                self.send(entry, first_hop, event);
            }
        }
    }

    pub(super) fn poll(&mut self, entry: usize) {
        let now = self.local(entry);
        for (id, reply) in self.entries[entry].coordinator.poll(now) {
            self.reply(entry, id, reply);
        }
        self.schedule_poll(entry);
    }

    fn schedule_poll(&mut self, entry: usize) {
        let now = self.local(entry);
        if let Some(at) = self.entries[entry].coordinator.next_poll() {
            let delay = at.saturating_sub(now).as_micros() as u64;
            let poll_at = self.now + delay.max(MS / 2);
            let scheduled = self.entries[entry].poll_at;
            if scheduled <= self.now || poll_at < scheduled {
                self.entries[entry].poll_at = poll_at;
                self.at(poll_at, Event::Poll(entry));
            }
        }
    }

    pub(super) fn on_reply(&mut self, entry: usize, call: u64, reply: PermitReply, waited: u64) {
        let Some((server, rest, asked_at)) = self.entries[entry].calls.remove(&call) else {
            return;
        };
        let now = self.local(entry);
        let coordinator = &mut self.entries[entry].coordinator;
        coordinator.on_reply(&server_life(server), &reply, now);
        match reply {
            PermitReply::Refused(_) => self.select(entry, rest),
            _ if self.now > asked_at + waited + PERMIT_VALIDITY => self.select(entry, rest),
            _ => self.send_to_server(entry, server),
        }
    }

    fn send_to_server(&mut self, entry: usize, server: usize) {
        let delay = self.rng.random_range(MS..5 * MS);
        self.after(delay, Event::Arrival(entry, server, self.now));
    }

    pub(super) fn on_arrival(&mut self, entry: usize, server: usize, sent_at: u64) {
        self.out.arrivals[server].push(self.now);
        if self.now >= self.entries[entry].excused_until {
            self.out.in_touch[server].push(self.now);
        }
        let changes = self.setup.servers[server].iter();
        let limit = changes.rev().find(|(at, _)| *at <= self.now);
        let limit = limit.and_then(|(_, limit)| *limit);
        let delay = self.rng.random_range(20 * MS..self.setup.max_response_time);
        self.after(delay, Event::Response(entry, server, sent_at, limit));
    }
}
