//! Parts of prompts that end servers, beside sound requests and ordinary trouble: seeded
//! simulations of entries that exchange what they know over lossy links. Each checks both
//! sides: how many crashing requests reach servers, and how many sound ones are held back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rw_protocol::Name;
use rw_routing::{CrashedServer, PoisonDetector};

/// Step of the simulation.
const STEP_MS: u64 = 10;
/// Interval at which entries weigh and exchange what they know.
const EXCHANGE_MS: u64 = 100;
/// Time from its first event after which a request counts as running well.
const RUN_MS: u64 = 1000;
/// Time from the fifth end of a server until the part has to be known.
const CONTACT_WINDOW_MS: u64 = 3000;
const MAX_LATER: u32 = 3;
/// The target: sound requests held back at their first attempt, in a hundred.
const MAX_SOUND_HELD_PERCENT: u32 = 10;
const RESTART_MS: u64 = 4000;
const FIRST_EVENT_MS: u64 = 100;

#[derive(Clone, Debug)]
struct Setup {
    entries: usize,
    servers: usize,
    seconds: u64,
    sound_per_s: f64,
    /// Crashing parts, and requests a second with each.
    poison_per_s: Vec<f64>,
    /// When crashing requests begin.
    poison_from_ms: u64,
    /// Position of the crashing part: 0 for the first, otherwise in the middle.
    poison_position: usize,
    /// Share of messages between entries that are lost, late or repeated.
    loss: f64,
    /// Servers that end by themselves, spread over five seconds from 10 s on.
    ordinary_crashes: usize,
    /// Servers that all end at 10 s.
    power_loss: usize,
    /// Share of requests that servers break off although they live on.
    grey: f64,
    /// When each entry restarts with nothing but the store's record.
    restart_ms: Option<u64>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            entries: 3,
            servers: 12,
            seconds: 40,
            sound_per_s: 60.0,
            poison_per_s: vec![3.0],
            poison_from_ms: 6000,
            poison_position: 1,
            loss: 0.0,
            ordinary_crashes: 0,
            power_loss: 0,
            grey: 0.0,
            restart_ms: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Admission {
    Sent,
    Trial,
    Held,
}

#[derive(Clone, Debug)]
struct Running {
    entry: usize,
    parts: Vec<Name>,
    poison: Option<usize>,
    first_event_at: u64,
    ends_at: u64,
    has_run: bool,
    breaks_off: bool,
    is_repeat: bool,
    is_trial: bool,
}

#[derive(Clone, Debug, Default)]
struct Server {
    started: u64,
    down_until: u64,
    running: Vec<Running>,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<Vec<u64>>,
    arrivals: Vec<Vec<u64>>,
    sound_sent: u32,
    sound_held: u32,
    sound_held_late: u32,
    sound_sent_late: u32,
    sound_quarantines: BTreeSet<String>,
}

impl Outcome {
    // Crashing requests that reached servers after the part had to be known.
    fn later_arrivals(&self, part: usize) -> u32 {
        let Some(fifth) = self.crashes[part].get(4) else {
            return 0;
        };
        let known_at = fifth + CONTACT_WINDOW_MS;
        let later = self.arrivals[part].iter().filter(|at| **at > known_at);
        later.count() as u32
    }
}

struct Simulation {
    setup: Setup,
    rng: StdRng,
    detectors: Vec<PoisonDetector>,
    servers: Vec<Server>,
    // Reports on their way: arrival, sender, receiver, report.
    mail: Vec<(u64, usize, usize, rw_routing::PoisonReport)>,
    // The store's record of quarantines.
    record: BTreeSet<Vec<Name>>,
    out: Outcome,
}

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn poison(part: usize) -> Name {
    Name::from(format!("bad{part}"))
}

impl Simulation {
    fn new(setup: Setup, seed: u64) -> Self {
        Simulation {
            detectors: (0..setup.entries)
                .map(|_| PoisonDetector::default())
                .collect(),
            servers: vec![Server::default(); setup.servers],
            out: Outcome {
                crashes: vec![Vec::new(); setup.poison_per_s.len()],
                arrivals: vec![Vec::new(); setup.poison_per_s.len()],
                ..Outcome::default()
            },
            rng: StdRng::seed_from_u64(seed),
            mail: Vec::new(),
            record: BTreeSet::new(),
            setup,
        }
    }

    fn run(mut self) -> Outcome {
        let steps = self.setup.seconds * 1000 / STEP_MS;
        for now in (0..steps).map(|step| step * STEP_MS) {
            self.restart_entries(now);
            self.end_servers_of_ordinary_trouble(now);
            self.send_requests(now);
            self.advance_servers(now);
            if now.is_multiple_of(EXCHANGE_MS) {
                self.exchange(now);
            }
        }
        self.out
    }

    fn restart_entries(&mut self, now: u64) {
        if self.setup.restart_ms != Some(now) {
            return;
        }
        for detector in &mut self.detectors {
            *detector = PoisonDetector::default();
            for parts in &self.record {
                detector.adopt(parts, ms(now));
            }
        }
    }

    fn end_servers_of_ordinary_trouble(&mut self, now: u64) {
        for n in 0..self.setup.power_loss {
            if now == 10_000 {
                self.end_server(n, now);
            }
        }
        let crashes = self.setup.ordinary_crashes as u64;
        if crashes > 0 && (10_000..15_000).contains(&now) && now.is_multiple_of(5000 / crashes) {
            let server = self.rng.random_range(0..self.servers.len());
            self.end_server(server, now);
        }
    }

    // Parts that a route, a team and a session share, then one of the request's own,
    // which entries leave out.
    fn sound_parts(&mut self) -> Vec<Name> {
        let route = self.rng.random_range(0..3);
        let team = self.rng.random_range(0..10);
        let session = self.rng.random_range(0..400);
        let parts = [
            format!("r{route}"),
            format!("t{team}"),
            format!("s{session}"),
        ];
        parts.into_iter().map(Name::from).collect()
    }

    fn send_requests(&mut self, now: u64) {
        let share = STEP_MS as f64 / 1000.0;
        if self.rng.random::<f64>() < self.setup.sound_per_s * share {
            let parts = self.sound_parts();
            let entry = self.rng.random_range(0..self.setup.entries);
            let held_by = self.detectors[entry].quarantine_of(&parts);
            let held_by = held_by.map(|q| q.parts.join(","));
            let admission = self.admission(entry, &parts, now);
            let is_held = admission == Admission::Held;
            self.out.sound_sent += 1;
            self.out.sound_held += u32::from(is_held);
            self.out.sound_quarantines.extend(held_by);
            let fifth = self.out.crashes.iter().filter_map(|c| c.get(4)).min();
            if fifth.is_some_and(|at| now > at + 2 * CONTACT_WINDOW_MS) {
                self.out.sound_sent_late += 1;
                self.out.sound_held_late += u32::from(is_held);
            }
            if !is_held {
                self.send(
                    entry,
                    parts,
                    None,
                    false,
                    admission == Admission::Trial,
                    now,
                );
            }
        }
        for part in 0..self.setup.poison_per_s.len() {
            let rate = self.setup.poison_per_s[part];
            if now < self.setup.poison_from_ms || self.rng.random::<f64>() >= rate * share {
                continue;
            }
            let mut parts = self.sound_parts();
            let at = self.setup.poison_position.min(parts.len());
            parts.insert(at, poison(part));
            let entry = self.rng.random_range(0..self.setup.entries);
            let admission = self.admission(entry, &parts, now);
            if admission != Admission::Held {
                let is_trial = admission == Admission::Trial;
                self.send(entry, parts, Some(part), false, is_trial, now);
            }
        }
    }

    // Whether the entry holds a request with these parts back, or lets it through as a
    // trial.
    fn admission(&mut self, entry: usize, parts: &[Name], now: u64) -> Admission {
        let Some(quarantine) = self.detectors[entry].quarantine_of(parts) else {
            return Admission::Sent;
        };
        let owner = quarantine.parts[0].bytes().map(usize::from).sum::<usize>();
        let is_owner = owner % self.setup.entries == entry;
        match is_owner && self.detectors[entry].take_trial(parts, ms(now)) {
            true => Admission::Trial,
            false => Admission::Held,
        }
    }

    fn send(
        &mut self,
        entry: usize,
        parts: Vec<Name>,
        poison: Option<usize>,
        is_repeat: bool,
        is_trial: bool,
        now: u64,
    ) {
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|n| self.servers[*n].down_until <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        if let Some(part) = poison {
            self.out.arrivals[part].push(now);
        }
        let first_event_at = now + FIRST_EVENT_MS + self.rng.random_range(0..200);
        self.servers[server].running.push(Running {
            entry,
            parts,
            poison,
            first_event_at,
            ends_at: first_event_at + self.rng.random_range(600..3000),
            has_run: false,
            breaks_off: self.rng.random::<f64>() < self.setup.grey,
            is_repeat,
            is_trial,
        });
    }

    fn crashed(&self, server: usize) -> CrashedServer {
        CrashedServer {
            id: format!("srv-{server}").into(),
            started_ms: self.servers[server].started,
        }
    }

    fn end_server(&mut self, server: usize, now: u64) {
        let crashed = self.crashed(server);
        let running = std::mem::take(&mut self.servers[server].running);
        self.servers[server].down_until = now + RESTART_MS;
        self.servers[server].started = now + RESTART_MS;
        for req in running {
            if now < req.first_event_at + RUN_MS {
                let detector = &mut self.detectors[req.entry];
                detector.on_crash(&crashed, &req.parts, req.is_repeat, ms(now));
            }
            // Entries send a request to one more server, if they may.
            if !req.is_repeat
                && self.detectors[req.entry].may_repeat(&req.parts)
                && self.detectors[req.entry]
                    .quarantine_of(&req.parts)
                    .is_none()
                && self.rng.random::<f64>() < 0.5
            {
                self.send(req.entry, req.parts, req.poison, true, false, now);
            }
        }
    }

    fn advance_servers(&mut self, now: u64) {
        for n in 0..self.servers.len() {
            let crashed = self.crashed(n);
            let begins = |req: &&Running| req.poison.is_some() && now >= req.first_event_at;
            if let Some(part) = self.servers[n]
                .running
                .iter()
                .find(begins)
                .map(|r| r.poison)
            {
                self.out.crashes[part.expect("crashes")].push(now);
                self.end_server(n, now);
                continue;
            }
            let mut kept = Vec::new();
            for mut req in std::mem::take(&mut self.servers[n].running) {
                let detector = &mut self.detectors[req.entry];
                let is_quarantined = detector.quarantine_of(&req.parts).is_some();
                if is_quarantined && !req.is_trial && now < req.first_event_at {
                    continue; // Taken back before it begins.
                }
                if req.breaks_off && now >= req.first_event_at {
                    detector.on_crash(&crashed, &req.parts, req.is_repeat, ms(now));
                    continue;
                }
                if now >= req.first_event_at {
                    detector.on_event(&crashed.id, crashed.started_ms, ms(now));
                }
                let ended = now >= req.ends_at;
                if !req.has_run && (ended || now >= req.first_event_at + RUN_MS) {
                    req.has_run = true;
                    detector.on_run(&req.parts, ms(now));
                }
                if !ended {
                    kept.push(req);
                }
            }
            self.servers[n].running = kept;
        }
    }

    fn exchange(&mut self, now: u64) {
        for from in 0..self.setup.entries {
            for quarantine in self.detectors[from].evaluate(ms(now)) {
                self.record.insert(quarantine.parts);
            }
            let report = self.detectors[from].report(ms(now));
            for to in (0..self.setup.entries).filter(|to| *to != from) {
                if self.rng.random::<f64>() < self.setup.loss {
                    continue;
                }
                let copies = 1 + usize::from(self.rng.random::<f64>() < self.setup.loss);
                for _ in 0..copies {
                    let late = self.rng.random::<f64>() < self.setup.loss;
                    let delay = self.rng.random_range(2..20) + u64::from(late) * 400;
                    self.mail.push((now + delay, from, to, report.clone()));
                }
            }
        }
        let mail = std::mem::take(&mut self.mail);
        let (due, later): (Vec<_>, Vec<_>) = mail.into_iter().partition(|m| m.0 <= now);
        self.mail = later;
        for (_, from, to, report) in due {
            let name = Name::from(format!("e-{from}"));
            self.detectors[to].on_report(name, &report, ms(now));
        }
    }
}

/// Seeds of each case; more of them are tried by hand with `POISON_SEEDS`.
fn seeds() -> u64 {
    let seeds = std::env::var("POISON_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(20)
}

fn check_seeds(setup: &Setup, seeds: std::ops::Range<u64>) {
    let mut failures = BTreeMap::new();
    for seed in seeds {
        let out = Simulation::new(setup.clone(), seed).run();
        let later: Vec<u32> = (0..setup.poison_per_s.len())
            .map(|part| out.later_arrivals(part))
            .collect();
        let holds_sound = out.sound_held_late * 100 > out.sound_sent_late * MAX_SOUND_HELD_PERCENT
            || out.sound_held * 100 > out.sound_sent * MAX_SOUND_HELD_PERCENT;
        if holds_sound || later.iter().any(|later| *later > MAX_LATER) {
            let held = (out.sound_held, out.sound_sent, out.sound_quarantines);
            failures.insert(seed, (later, held));
        }
    }
    assert!(failures.is_empty(), "by seed: {failures:?}");
}

/// Guards against sending crashing requests on, and against holding back sound ones that
/// share their other parts (incident inc1 of Lavaclick).
#[rstest]
#[case::first_part(Setup { poison_position: 0, ..Setup::default() })]
#[case::part_in_the_middle(Setup::default())]
#[case::often(Setup { poison_per_s: vec![12.0], ..Setup::default() })]
#[case::rarely(Setup { poison_per_s: vec![0.1], seconds: 90, ..Setup::default() })]
#[case::from_the_first_request_on(Setup { poison_from_ms: 0, ..Setup::default() })]
#[case::three_parts_at_once(Setup { poison_per_s: vec![2.0, 2.0, 2.0], ..Setup::default() })]
#[case::many_requests_at_each_server(Setup { servers: 4, sound_per_s: 40.0, ..Setup::default() })]
#[case::lost_late_and_repeated_reports(Setup { loss: 0.3, ..Setup::default() })]
#[case::many_entries(Setup { entries: 12, servers: 30, sound_per_s: 95.0, ..Setup::default() })]
#[case::all_entries_restart(Setup { restart_ms: Some(16_000), ..Setup::default() })]
#[case::beside_ordinary_crashes(Setup { ordinary_crashes: 3, poison_from_ms: 10_000, ..Setup::default() })]
#[case::beside_a_loss_of_power(Setup { power_loss: 4, poison_from_ms: 10_000, ..Setup::default() })]
#[case::beside_grey_servers(Setup { grey: 0.06, ..Setup::default() })]
fn crashing_part_is_held_back_and_sound_requests_go_on(#[case] setup: Setup) {
    check_seeds(&setup, 0..seeds());
}

/// Guards against a quarantine where no part is at fault.
#[rstest]
#[case::servers_that_crash(Setup { ordinary_crashes: 3, ..Setup::default() })]
#[case::many_servers_that_crash(Setup { ordinary_crashes: 10, ..Setup::default() })]
#[case::zone_without_power(Setup { power_loss: 4, ..Setup::default() })]
#[case::all_servers_without_power(Setup { power_loss: 12, ..Setup::default() })]
#[case::grey_servers(Setup { grey: 0.06, ..Setup::default() })]
#[case::grey_servers_and_lost_reports(Setup { grey: 0.06, loss: 0.3, ..Setup::default() })]
fn ordinary_trouble_holds_nothing_back(#[case] setup: Setup) {
    for seed in 0..seeds() {
        let calm = Setup {
            poison_per_s: Vec::new(),
            ..setup.clone()
        };
        let out = Simulation::new(calm, seed).run();
        assert_eq!(
            out.sound_held, 0,
            "seed {seed}: {:?}",
            out.sound_quarantines
        );
    }
}

/// Seeds on which the simulations above failed when more of them were tried by hand. All
/// servers end within 1.3 s of the first request: the routes' parts are held for 10 s.
#[test]
fn found_by_hand_routes_are_held_when_all_servers_end_at_once_seed_47() {
    let setup = Setup {
        poison_from_ms: 0,
        ..Setup::default()
    };
    check_seeds(&setup, 47..48);
}

/// Ten of twelve servers end by themselves within 5 s: a session's part is held for two
/// requests.
#[test]
fn found_by_hand_session_is_held_when_most_servers_crash_seed_46() {
    let setup = Setup {
        ordinary_crashes: 10,
        poison_per_s: Vec::new(),
        ..Setup::default()
    };
    let out = Simulation::new(setup, 46).run();
    assert_eq!(out.sound_held, 0, "{:?}", out.sound_quarantines);
}

/// Guards against a quarantine that outlives its cause, and against one that returns
/// from reports of entries that have not heard of its end.
#[test]
fn released_part_is_not_quarantined_again_by_old_reports() {
    let parts = [Name::from("bad0")];
    let mut first = PoisonDetector::default();
    let mut second = PoisonDetector::default();
    assert!(first.adopt(&parts, ms(1000)));
    let stale = first.report(ms(2000));
    second.on_report("e-1".into(), &stale, ms(2000));
    assert_eq!(second.evaluate(ms(2000)).len(), 1);
    second.release(&parts, ms(5000));
    second.on_report("e-1".into(), &first.report(ms(5100)), ms(5200));
    assert!(second.evaluate(ms(5200)).is_empty());
    assert!(second.quarantine_of(&parts).is_none());
}

/// Guards against a combination that is quarantined again each time it is weighed.
#[test]
fn parts_that_cannot_be_told_apart_are_quarantined_once() {
    let parts = [Name::from("a"), Name::from("b")];
    let mut detector = PoisonDetector::default();
    for n in 0..5 {
        let server = CrashedServer {
            id: format!("s-{n}").into(),
            started_ms: 0,
        };
        detector.on_crash(&server, &parts, false, ms(n * 300));
    }
    for round in 0..10 {
        detector.evaluate(ms(3000 + round * 100));
    }
    assert_eq!(detector.quarantines().len(), 1);
    assert!(detector.quarantine_of(&parts).is_some());
    assert!(detector.quarantine_of(&parts[..1]).is_none());
}

/// Guards against memory that grows with the number of parts.
#[test]
fn memory_is_bounded_over_hundreds_of_thousands_of_parts() {
    let mut detector = PoisonDetector::default();
    for n in 0..300_000u64 {
        let parts = [Name::from(format!("p{n}"))];
        detector.on_run(&parts, ms(n / 5));
        if n % 100 == 0 {
            let server = CrashedServer {
                id: format!("s-{n}").into(),
                started_ms: 0,
            };
            detector.on_crash(&server, &parts, false, ms(n / 5 + 1));
            detector.evaluate(ms(n / 5 + 1));
        }
    }
    assert!(detector.size() < 20_000, "{}", detector.size());
}
