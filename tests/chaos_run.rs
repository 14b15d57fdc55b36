//! Runs a deployment under a seeded mix of faults and checks every guarantee
//! afterwards.

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

use crate::{deploy_v1, LoadGenerator, CHUNK_BYTES, MODEL_BYTES};

const ENGINES: usize = 6;
const CALLERS: usize = 10;
/// Latest timeline events that a report shows.
const REPORTED_EVENTS: usize = 60;
const MIN_FAULT_MS: u64 = 200;
const MAX_FAULT_MS: u64 = 3_000;

/// Parameters of a chaos run.
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which faults are injected.
    pub seconds: u64,
}

/// Result of a chaos run.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests sent.
    pub calls: usize,
    /// Faults injected.
    pub faults: Vec<String>,
    /// Requests answered.
    pub answered: usize,
    /// Requests that were reported as not run.
    pub not_run: usize,
    /// Requests with an unknown outcome, interrupted streams included.
    pub unknown: usize,
    /// Violated guarantees.
    pub problems: Vec<String>,
    /// Latest events, if a guarantee was violated.
    pub timeline: Vec<String>,
}

impl Report {
    /// Formats the counts as one line.
    pub fn summary(&self, seed: u64) -> String {
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
enum FaultKind {
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

const FAULT_KINDS: [FaultKind; 15] = [
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Freeze,
    FaultKind::Cut,
    FaultKind::OneWay,
    FaultKind::Slow,
    FaultKind::Corrupt,
    FaultKind::TableDown,
    FaultKind::TableSlow,
    FaultKind::AnswersLost,
    FaultKind::ObjectsDown,
    FaultKind::OriginDown,
    FaultKind::ListLags,
    FaultKind::NewVersion,
    FaultKind::Race,
];

struct ChaosRun {
    cluster: Cluster,
    rng: StdRng,
    platform: PlatformFaults,
    // Faults in effect, each with the time at which it ends.
    active_faults: Vec<(Instant, FaultKind, String)>,
    version_count: u64,
    report: Report,
}

/// Runs a deployment under a mix of faults.
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
    deploy_v1(&cluster, ENGINES - 1, 3);
    let load = LoadGenerator::start(&cluster, CALLERS);
    let mut chaos_run = ChaosRun {
        cluster,
        rng: StdRng::seed_from_u64(options.seed),
        platform: PlatformFaults::default(),
        active_faults: Vec::new(),
        version_count: 1,
        report: Report::default(),
    };
    let end = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < end {
        chaos_run.step();
    }
    chaos_run.clear_all_faults();
    chaos_run.wait_until_converged();
    let outcomes = load.stop();
    chaos_run.check_outcomes(&outcomes);
    chaos_run.report
}

impl ChaosRun {
    // Ends the faults that are due and injects a new one, with at most two in
    // effect at a time.
    fn step(&mut self) {
        self.clear_expired_faults(Instant::now());
        if self.active_faults.len() < 2 {
            let kind = *FAULT_KINDS.choose(&mut self.rng).expect("there are kinds");
            let names: Vec<Name> = self.cluster.deployment.daemons.keys().cloned().collect();
            let name = names
                .choose(&mut self.rng)
                .expect("there are daemons")
                .to_string();
            let ms = self.rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
            let already_faulty = self.active_faults.iter().any(|(_, _, n)| *n == name);
            if !already_faulty {
                self.inject(kind, &name);
                self.report.faults.push(format!("{kind:?} {name} {ms} ms"));
                self.active_faults
                    .push((Instant::now() + Duration::from_millis(ms), kind, name));
            }
        }
        let pause = self.rng.random_range(50..400);
        std::thread::sleep(Duration::from_millis(pause));
    }

    fn inject(&mut self, kind: FaultKind, name: &str) {
        match kind {
            FaultKind::Kill => self.cluster.kill(name),
            FaultKind::Stop => self.cluster.signal(name, "TERM"),
            FaultKind::Freeze => self.cluster.signal(name, "STOP"),
            FaultKind::Cut => self.set_link_fault(
                name,
                LinkFault {
                    cut: true,
                    ..LinkFault::default()
                },
            ),
            FaultKind::OneWay => self.set_link_fault(
                name,
                LinkFault {
                    stall_down: true,
                    ..LinkFault::default()
                },
            ),
            FaultKind::Slow => self.set_link_fault(
                name,
                LinkFault {
                    bytes_per_s: 200_000,
                    ..LinkFault::default()
                },
            ),
            FaultKind::Corrupt => self.set_link_fault(
                name,
                LinkFault {
                    corrupt_every: 30,
                    ..LinkFault::default()
                },
            ),
            FaultKind::NewVersion => self.change_version("entry-0"),
            FaultKind::Race => {
                self.change_version("entry-1");
                self.change_version("entry-2");
            }
            _ => {
                self.set_platform_fault(kind, true);
                self.cluster.set_platform_faults(&self.platform);
            }
        }
    }

    fn set_link_fault(&self, name: &str, fault: LinkFault) {
        self.cluster.set_link_fault(name, fault);
    }

    fn set_platform_fault(&mut self, kind: FaultKind, on: bool) {
        match kind {
            FaultKind::TableDown => self.platform.table_down = on,
            FaultKind::TableSlow => self.platform.table_delay_ms = if on { 300 } else { 0 },
            FaultKind::AnswersLost => self.platform.lose_every = if on { 3 } else { 0 },
            FaultKind::ObjectsDown => self.platform.objects_down = on,
            FaultKind::OriginDown => self.platform.origin_down = on,
            FaultKind::ListLags => self.platform.list_lag_ms = if on { 2_000 } else { 0 },
            _ => {}
        }
    }

    // Plans and confirms the other version. Both steps may fail.
    fn change_version(&mut self, daemon: &str) {
        self.version_count += 1;
        let version = if self.version_count.is_multiple_of(2) {
            "v2"
        } else {
            "v1"
        };
        let (status, plan) = self.cluster.plan(daemon, &intent(version, ENGINES - 1, 3));
        if let (200, Some(id)) = (status, plan["id"].as_str()) {
            self.cluster.confirm(daemon, id);
        }
    }

    fn clear_expired_faults(&mut self, now: Instant) {
        let (expired, remaining) = std::mem::take(&mut self.active_faults)
            .into_iter()
            .partition(|(ends_at, ..)| *ends_at <= now);
        self.active_faults = remaining;
        let expired: Vec<(Instant, FaultKind, String)> = expired;
        for (_, kind, name) in expired {
            self.clear_fault(kind, &name);
        }
    }

    fn clear_fault(&mut self, kind: FaultKind, name: &str) {
        match kind {
            FaultKind::Kill => self.cluster.start_daemon(name),
            FaultKind::Stop => {
                let code = self.cluster.wait_exit(name);
                if code != Some(0) {
                    self.report
                        .problems
                        .push(format!("{name} stopped with {code:?}"));
                }
                self.cluster.start_daemon(name);
            }
            FaultKind::Freeze => self.cluster.signal(name, "CONT"),
            FaultKind::Cut | FaultKind::OneWay | FaultKind::Slow | FaultKind::Corrupt => {
                self.set_link_fault(name, LinkFault::default())
            }
            FaultKind::NewVersion | FaultKind::Race => {}
            _ => {
                self.set_platform_fault(kind, false);
                self.cluster.set_platform_faults(&self.platform);
            }
        }
    }

    fn clear_all_faults(&mut self) {
        for (_, kind, name) in std::mem::take(&mut self.active_faults) {
            self.clear_fault(kind, &name);
        }
        let names: Vec<Name> = self.cluster.deployment.daemons.keys().cloned().collect();
        self.cluster.wait_ready(&names);
    }

    // Without faults, a last version must take effect everywhere.
    fn wait_until_converged(&mut self) {
        self.cluster.apply("entry-0", &intent("v2", ENGINES - 1, 3));
        self.cluster.wait_fulfilled("entry-0", "cuts", "v2");
        wait_for("one generation everywhere", || {
            let status = self.cluster.status("entry-1")?;
            (status.head == status.lowest_head && status.unreachable.is_empty()).then_some(())
        });
    }

    fn check_outcomes(&mut self, outcomes: &[(String, Outcome)]) {
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
            self.report.timeline = self.latest_events();
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
        let unresolved: Vec<Claim> = wait_for("unresolved claims", || get(&url));
        let unresolved: BTreeSet<&str> = unresolved.iter().map(|c| &*c.key).collect();
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
                    .push(format!("{id} was reported as not run but ran")),
                Outcome::Unknown | Outcome::Cut(_) | Outcome::InProgress if count > 0 => {
                    // It ran: its answer must be recorded, or operators must see its claim.
                    let retried = call_plain_service(&entry, "penal", "charge", id, id);
                    let accounted_for =
                        matches!(retried, Outcome::Answered(_)) || unresolved.contains(id.as_str());
                    if !accounted_for {
                        self.report.problems.push(format!(
                            "{id} ran, but its outcome is neither recorded nor listed: {retried:?}"
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    fn check_engines(&mut self) {
        let hashes = ["v1", "v2"].map(|v| model_hash("cutlist", v, MODEL_BYTES, CHUNK_BYTES));
        for index in 0..ENGINES {
            let records: Records = self.cluster.records(&format!("engine-{index}"));
            for load in records.loads.iter().filter(|l| !hashes.contains(&l.hash)) {
                self.report
                    .problems
                    .push(format!("engine-{index} loaded a wrong model: {load:?}"));
            }
        }
    }

    fn latest_events(&self) -> Vec<String> {
        let url = format!("{}/timeline", self.cluster.operator_url("entry-0"));
        let events: Vec<EventRecord> = get(&url).unwrap_or_default();
        let start = events.len().saturating_sub(REPORTED_EVENTS);
        let format_event =
            |e: &EventRecord| format!("{} {} {} {}", e.stamp >> 16, e.daemon, e.event, e.detail);
        events[start..].iter().map(format_event).collect()
    }
}
