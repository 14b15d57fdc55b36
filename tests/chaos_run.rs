//! A seeded mix of faults and the check of every promise after it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rw_protocol::{Claim, EventRecord, Name};
use rw_settings::DaemonRole;
use rw_standins::caller::{call_plain_service, Outcome};
use rw_standins::client::{get, wait_for};
use rw_standins::cluster::Cluster;
use rw_standins::engine::Records;
use rw_standins::layout::{intent, Layout};
use rw_standins::model::model_hash;
use rw_standins::plain::CallRecord;
use rw_standins::platform::PlatformFaults;
use rw_standins::proxy::LinkFault;

use crate::{serve_v1, Load, CHUNK_BYTES, MODEL_BYTES};

const ENGINES: usize = 6;
const CALLERS: usize = 10;
/// Events of the time line that a report shows.
const TIMELINE_EVENTS: usize = 60;
const SHORTEST_FAULT_MS: u64 = 200;
const LONGEST_FAULT_MS: u64 = 3_000;

/// What to run.
pub struct Options {
    /// Seed of every choice.
    pub seed: u64,
    /// Time for which faults come.
    pub seconds: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Report {
    /// Calls made.
    pub calls: usize,
    /// Faults injected.
    pub faults: Vec<String>,
    /// Calls answered.
    pub answered: usize,
    /// Calls that did not run.
    pub not_run: usize,
    /// Calls with an unknown end, cut streams included.
    pub unknown: usize,
    /// Promises that broke.
    pub problems: Vec<String>,
    /// Last events, when a promise broke.
    pub timeline: Vec<String>,
}

impl Report {
    /// One line of figures.
    pub fn line(&self, seed: u64) -> String {
        format!(
            "seed {seed}: {} calls, {} faults, {} answered, {} not run, {} unknown or cut, {} problems",
            self.calls,
            self.faults.len(),
            self.answered,
            self.not_run,
            self.unknown,
            self.problems.len()
        )
    }
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Kill,
    Stop,
    Freeze,
    Cut,
    OneWay,
    Slow,
    Corrupt,
    TableDown,
    TableSlow,
    AnswersLost,
    ObjectsDown,
    OriginDown,
    ListLags,
    NewVersion,
    Race,
}

const KINDS: [Kind; 15] = [
    Kind::Kill,
    Kind::Stop,
    Kind::Freeze,
    Kind::Cut,
    Kind::OneWay,
    Kind::Slow,
    Kind::Corrupt,
    Kind::TableDown,
    Kind::TableSlow,
    Kind::AnswersLost,
    Kind::ObjectsDown,
    Kind::OriginDown,
    Kind::ListLags,
    Kind::NewVersion,
    Kind::Race,
];

struct Chaos {
    cluster: Cluster,
    rng: StdRng,
    platform: PlatformFaults,
    // What to undo and when.
    active: Vec<(Instant, Kind, String)>,
    versions: u64,
    report: Report,
}

/// Runs a deployment through a mix of faults.
pub fn run(options: &Options) -> Report {
    let layout = Layout {
        entries: 3,
        engines: ENGINES,
        plain: 2,
        regions: 3,
        proxied: true,
        extra_settings: "[control]\nlease_ms = 2000\nsuspect_ms = 1000\n[weights]\nchunk_timeout_ms = 500\nwave_timeout_ms = 2000"
            .into(),
        ..Layout::default()
    };
    let cluster = layout.start(&format!("chaos-{}", options.seed));
    serve_v1(&cluster, ENGINES - 1, 3);
    let load = Load::start(&cluster, CALLERS);
    let mut chaos = Chaos {
        cluster,
        rng: StdRng::seed_from_u64(options.seed),
        platform: PlatformFaults::default(),
        active: Vec::new(),
        versions: 1,
        report: Report::default(),
    };
    let end = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < end {
        chaos.step();
    }
    chaos.heal();
    chaos.settle();
    let outcomes = load.stop();
    chaos.check(&outcomes);
    chaos.report
}

impl Chaos {
    // Up to two faults meet at any time.
    fn step(&mut self) {
        self.undo_due(Instant::now());
        if self.active.len() < 2 {
            let kind = *KINDS.choose(&mut self.rng).expect("there are kinds");
            let names: Vec<Name> = self.cluster.deployment.daemons.keys().cloned().collect();
            let name = names
                .choose(&mut self.rng)
                .expect("there are daemons")
                .to_string();
            let ms = self.rng.random_range(SHORTEST_FAULT_MS..LONGEST_FAULT_MS);
            let busy = self.active.iter().any(|(_, _, n)| *n == name);
            if !busy {
                self.apply(kind, &name);
                self.report.faults.push(format!("{kind:?} {name} {ms} ms"));
                self.active
                    .push((Instant::now() + Duration::from_millis(ms), kind, name));
            }
        }
        let pause = self.rng.random_range(50..400);
        std::thread::sleep(Duration::from_millis(pause));
    }

    fn apply(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Kill => self.cluster.kill(name),
            Kind::Stop => self.cluster.signal(name, "TERM"),
            Kind::Freeze => self.cluster.signal(name, "STOP"),
            Kind::Cut => self.link(
                name,
                LinkFault {
                    cut: true,
                    ..LinkFault::default()
                },
            ),
            Kind::OneWay => self.link(
                name,
                LinkFault {
                    stall_down: true,
                    ..LinkFault::default()
                },
            ),
            Kind::Slow => self.link(
                name,
                LinkFault {
                    bytes_per_s: 200_000,
                    ..LinkFault::default()
                },
            ),
            Kind::Corrupt => self.link(
                name,
                LinkFault {
                    corrupt_every: 30,
                    ..LinkFault::default()
                },
            ),
            Kind::NewVersion => self.new_version("entry-0"),
            Kind::Race => {
                self.new_version("entry-1");
                self.new_version("entry-2");
            }
            _ => {
                self.set(kind, true);
                self.cluster.set_platform_faults(&self.platform);
            }
        }
    }

    fn link(&self, name: &str, fault: LinkFault) {
        self.cluster.set_link_fault(name, fault);
    }

    fn set(&mut self, kind: Kind, on: bool) {
        match kind {
            Kind::TableDown => self.platform.table_down = on,
            Kind::TableSlow => self.platform.table_delay_ms = if on { 300 } else { 0 },
            Kind::AnswersLost => self.platform.lose_every = if on { 3 } else { 0 },
            Kind::ObjectsDown => self.platform.objects_down = on,
            Kind::OriginDown => self.platform.origin_down = on,
            Kind::ListLags => self.platform.list_lag_ms = if on { 2_000 } else { 0 },
            _ => {}
        }
    }

    // A plan and its confirmation, each of which may fail.
    fn new_version(&mut self, daemon: &str) {
        self.versions += 1;
        let version = if self.versions.is_multiple_of(2) {
            "v2"
        } else {
            "v1"
        };
        let (status, plan) = self.cluster.plan(daemon, &intent(version, ENGINES - 1, 3));
        if let (200, Some(id)) = (status, plan["id"].as_str()) {
            self.cluster.confirm(daemon, id);
        }
    }

    fn undo_due(&mut self, now: Instant) {
        let (due, rest) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.active = rest;
        let due: Vec<(Instant, Kind, String)> = due;
        for (_, kind, name) in due {
            self.undo(kind, &name);
        }
    }

    fn undo(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Kill => self.cluster.start_daemon(name),
            Kind::Stop => {
                let code = self.cluster.wait_exit(name);
                if code != Some(0) {
                    self.report
                        .problems
                        .push(format!("{name} stopped with {code:?}"));
                }
                self.cluster.start_daemon(name);
            }
            Kind::Freeze => self.cluster.signal(name, "CONT"),
            Kind::Cut | Kind::OneWay | Kind::Slow | Kind::Corrupt => {
                self.link(name, LinkFault::default())
            }
            Kind::NewVersion | Kind::Race => {}
            _ => {
                self.set(kind, false);
                self.cluster.set_platform_faults(&self.platform);
            }
        }
    }

    fn heal(&mut self) {
        for (_, kind, name) in std::mem::take(&mut self.active) {
            self.undo(kind, &name);
        }
        let names: Vec<Name> = self.cluster.deployment.daemons.keys().cloned().collect();
        self.cluster.wait_ready(&names);
    }

    // Once everything is well, a last version must come into force everywhere.
    fn settle(&mut self) {
        self.cluster.apply("entry-0", &intent("v2", ENGINES - 1, 3));
        self.cluster.wait_fulfilled("entry-0", "cuts", "v2");
        wait_for("one generation everywhere", || {
            let status = self.cluster.status("entry-1")?;
            (status.head == status.lowest_head && status.unreachable.is_empty()).then_some(())
        });
    }

    fn check(&mut self, outcomes: &[(String, Outcome)]) {
        let report = &mut self.report;
        report.calls = outcomes.len();
        for (id, outcome) in outcomes {
            match outcome {
                Outcome::Answered(_) => report.answered += 1,
                Outcome::NotRun(_) => report.not_run += 1,
                Outcome::Wrong(text) => report
                    .problems
                    .push(format!("{id} got a wrong answer: {text}")),
                Outcome::Refused(status) => report
                    .problems
                    .push(format!("{id} was refused with {status}")),
                Outcome::InProgress | Outcome::Unknown | Outcome::Cut(_) => report.unknown += 1,
            }
        }
        self.check_charges(outcomes);
        self.check_engines();
        if !self.report.problems.is_empty() {
            self.report.timeline = self.timeline();
        }
    }

    fn check_charges(&mut self, outcomes: &[(String, Outcome)]) {
        let ran: Vec<CallRecord> = self.cluster.records("plain-0");
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for call in ran.iter().filter(|c| c.operation == "charge") {
            *counts.entry(&call.key).or_default() += 1;
        }
        let url = format!(
            "{}/unresolved?older_ms=0",
            self.cluster.operator_url("entry-0")
        );
        let open: Vec<Claim> = wait_for("unresolved claims", || get(&url));
        let open: BTreeSet<&str> = open.iter().map(|c| &*c.key).collect();
        let entry = self
            .cluster
            .entry_url(&self.cluster.names(DaemonRole::Entry)[0]);
        for (key, count) in &counts {
            if *count > 1 {
                self.report
                    .problems
                    .push(format!("{key} ran {count} times"));
            }
        }
        for (id, outcome) in outcomes {
            let count = counts.get(id.as_str()).copied().unwrap_or(0);
            match outcome {
                Outcome::NotRun(_) if count > 0 => self
                    .report
                    .problems
                    .push(format!("{id} was not run but ran")),
                Outcome::Unknown | Outcome::Cut(_) | Outcome::InProgress if count > 0 => {
                    // It ran: its answer is on record, or operators see it.
                    let again = call_plain_service(&entry, "penal", "charge", id, id);
                    let known = matches!(again, Outcome::Answered(_)) || open.contains(id.as_str());
                    if !known {
                        self.report
                            .problems
                            .push(format!("{id} ran and was lost unnoticed: {again:?}"));
                    }
                }
                _ => {}
            }
        }
    }

    fn check_engines(&mut self) {
        let hashes = ["v1", "v2"].map(|v| model_hash("cutlist", v, MODEL_BYTES, CHUNK_BYTES));
        for at in 0..ENGINES {
            let records: Records = self.cluster.records(&format!("engine-{at}"));
            for load in records.loads.iter().filter(|l| !hashes.contains(&l.hash)) {
                self.report
                    .problems
                    .push(format!("engine-{at} loaded a wrong model: {load:?}"));
            }
        }
    }

    fn timeline(&self) -> Vec<String> {
        let url = format!("{}/timeline", self.cluster.operator_url("entry-0"));
        let events: Vec<EventRecord> = get(&url).unwrap_or_default();
        let from = events.len().saturating_sub(TIMELINE_EVENTS);
        let line =
            |e: &EventRecord| format!("{} {} {} {}", e.stamp >> 16, e.daemon, e.event, e.detail);
        events[from..].iter().map(line).collect()
    }
}
