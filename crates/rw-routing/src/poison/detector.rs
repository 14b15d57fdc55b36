use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rw_protocol::Name;

use super::survivals::Survivals;
use super::{CrashedServer, PoisonReport, SuspectedCrash};

/// Requests under which servers have to end, with none that ran in between, until a part
/// is quarantined.
const CRASH_THRESHOLD: usize = 3;
/// The same for a part with which requests have run lately: many of them are usually in
/// progress when a server ends for another reason.
const ESTABLISHED_CRASH_THRESHOLD: usize = 6;
/// Requests without such a part that have to run in the meantime; while no server answers,
/// nothing can run that would clear the part.
const ESTABLISHED_RUNS: usize = 50;
/// Ends after which a request is not sent to a further server within one call.
const REPEAT_THRESHOLD: usize = 2;
/// Time for which a request that ran keeps its parts established.
const ESTABLISHED_TTL: Duration = Duration::from_secs(120);
/// Time for which the end of a server counts.
const CRASH_TTL: Duration = Duration::from_secs(180);
/// Time after which the end of a server counts, in which it may prove to live and other
/// entries may report that requests with the part run.
const EXONERATION_TIME: Duration = Duration::from_millis(400);
/// Servers that end within this time end for a common reason, such as a loss of power,
/// and count as one.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(30);
/// Time after its supposed end at which an event proves that a server lives.
const ALIVE_MARGIN: Duration = Duration::from_millis(200);
/// Bound of the delay of a report, by which times of different entries may differ.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time from the start of a quarantine until one request with its parts is let through,
/// and from each such request to the next.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(10);
const TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Requests that are let through in all; each may end a server.
const MAX_TRIALS: u32 = 2;
/// Maximum number of suspicions that an entry keeps and reports.
const MAX_CRASHES: usize = 256;
const MAX_QUARANTINES: usize = 64;
const MAX_CLEARED: usize = 256;
const MAX_PEERS: usize = 4096;

/// Requests that hold all of `parts` are not sent to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Quarantine {
    /// Parts of a prompt. More than one if it is not known yet which of them is at fault.
    pub parts: Vec<Name>,
    /// When the quarantine began.
    pub since: Duration,
    /// Servers that have ended; 0 if another entry or the store reported the quarantine.
    pub crashes: usize,
    // When the next request is let through, and how many have been.
    next_trial: Duration,
    trials: u32,
}

impl Quarantine {
    fn holds(&self, parts: &[Name]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

/// Finds parts of prompts that end servers. Performs no I/O; all times are those of one
/// steady clock of the entry.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{CrashedServer, PoisonDetector};
/// let mut detector = PoisonDetector::default();
/// let parts = ["shared".into(), "poison".into()];
/// for n in 1..=3 {
///     let at = Duration::from_millis(n * 200);
///     let server = CrashedServer { id: format!("s-{n}").into(), started_ms: 0 };
///     detector.on_crash(&server, &parts, false, at);
///     detector.on_run(&parts[..1], at + Duration::from_millis(100));
/// }
/// let new = detector.evaluate(Duration::from_secs(1));
/// assert_eq!(new[0].parts, ["poison".into()]);
/// assert!(detector.quarantine_of(&parts).is_some());
/// assert!(detector.quarantine_of(&parts[..1]).is_none());
/// ```
#[derive(Debug, Default)]
pub struct PoisonDetector {
    crashes: Vec<SuspectedCrash>,
    survivals: Survivals,
    // Times of the last requests that ran here.
    last_runs: VecDeque<Duration>,
    alive: BTreeMap<CrashedServer, Duration>,
    // Parts that an operator released, and when.
    cleared: BTreeMap<Name, Duration>,
    // Last report of each other entry, and when it arrived.
    peers: BTreeMap<Name, (Duration, PoisonReport)>,
    reported_survivals: Survivals,
    reported_alive: BTreeMap<CrashedServer, Duration>,
    quarantines: Vec<Quarantine>,
    suspects: BTreeSet<Name>,
    // Servers that are believed to have ended.
    suspected_servers: BTreeMap<Name, CrashedServer>,
}

impl PoisonDetector {
    /// Records that a server ended under a request that had not run for a while, and
    /// whether another had ended under the same request before.
    pub fn on_crash(
        &mut self,
        server: &CrashedServer,
        parts: &[Name],
        is_repeat: bool,
        now: Duration,
    ) {
        for part in parts {
            let is_known = |c: &SuspectedCrash| c.part == *part && c.server == *server;
            if !self.crashes.iter().any(is_known) {
                self.crashes.push(SuspectedCrash {
                    part: part.clone(),
                    server: server.clone(),
                    at: now,
                    is_repeat,
                });
            }
        }
    }

    /// Records that a request ran for a while, or to its end.
    pub fn on_run(&mut self, parts: &[Name], now: Duration) {
        for part in parts {
            self.survivals.record(part, now);
        }
        self.last_runs.push_back(now);
        if self.last_runs.len() > ESTABLISHED_RUNS {
            self.last_runs.pop_front();
        }
    }

    /// Records an event of a server, which proves that it lives.
    pub fn on_event(&mut self, server: &str, started_ms: u64, now: Duration) {
        let suspected = self.suspected_servers.get(server);
        if let Some(server) = suspected.filter(|server| server.started_ms == started_ms) {
            self.alive.insert(server.clone(), now);
        }
    }

    /// Replaces the report of another entry.
    pub fn on_report(&mut self, entry: Name, report: &PoisonReport, now: Duration) {
        if report.is_empty() {
            self.peers.remove(&entry);
            return;
        }
        let mut report = report.relative_to(now);
        report.crashes.truncate(MAX_CRASHES);
        report.quarantines.truncate(MAX_QUARANTINES);
        for (part, at) in report.survivals.drain(..).take(MAX_CRASHES) {
            self.reported_survivals.record(&part, at);
        }
        for (server, at) in report.alive.drain(..).take(MAX_CRASHES) {
            let last = self.reported_alive.entry(server).or_insert(at);
            *last = at.max(*last);
        }
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&entry) {
            self.peers.insert(entry, (now, report));
        }
    }

    /// What other entries have to know. What refutes a suspicion of theirs is part of it
    /// until they no longer report the suspicion.
    pub fn report(&self, now: Duration) -> PoisonReport {
        let mut survivals: BTreeMap<&Name, Duration> = BTreeMap::new();
        let mut alive: BTreeMap<&CrashedServer, Duration> = BTreeMap::new();
        for crash in self.reported_crashes() {
            if let Some(at) = self
                .survivals
                .last(&crash.part)
                .filter(|at| *at >= crash.at)
            {
                survivals.insert(&crash.part, at);
            }
            if let Some(at) = self.alive.get(&crash.server) {
                alive.insert(&crash.server, *at);
            }
        }
        let claimed = self
            .peers
            .values()
            .flat_map(|(_, report)| &report.quarantines);
        for part in claimed.flat_map(|(parts, _)| parts) {
            if let Some(at) = self.survivals.last(part) {
                survivals.insert(part, at);
            }
        }
        let live = self.crashes.iter().filter(|crash| self.counts(crash));
        let report = PoisonReport {
            crashes: live.cloned().collect(),
            survivals: survivals
                .into_iter()
                .map(|(p, at)| (p.clone(), at))
                .collect(),
            alive: alive.into_iter().map(|(s, at)| (s.clone(), at)).collect(),
            quarantines: self
                .quarantines
                .iter()
                .map(|q| (q.parts.clone(), q.since))
                .collect(),
        };
        report.relative_to(now)
    }

    /// The quarantine that holds back a request with these parts.
    pub fn quarantine_of(&self, parts: &[Name]) -> Option<&Quarantine> {
        self.quarantines.iter().find(|q| q.holds(parts))
    }

    /// Whether a request with these parts is let through to find out whether it still ends
    /// servers. The caller makes sure that only one entry asks for a quarantine.
    pub fn take_trial(&mut self, parts: &[Name], now: Duration) -> bool {
        let holding = |q: &&mut Quarantine| q.holds(parts);
        let is_due = |q: &Quarantine| q.trials < MAX_TRIALS && now >= q.next_trial;
        let mut quarantines: Vec<&mut Quarantine> =
            self.quarantines.iter_mut().filter(holding).collect();
        if quarantines.is_empty() || !quarantines.iter().all(|q| is_due(q)) {
            return false;
        }
        for quarantine in &mut quarantines {
            quarantine.trials += 1;
            quarantine.next_trial = now + TRIAL_INTERVAL;
        }
        true
    }

    /// Whether a request with these parts may be sent to a further server after the first
    /// one ended.
    pub fn may_repeat(&self, parts: &[Name]) -> bool {
        !parts.iter().any(|part| self.suspects.contains(part))
    }

    /// All quarantines.
    pub fn quarantines(&self) -> &[Quarantine] {
        &self.quarantines
    }

    /// Takes over a quarantine from the store or another entry. Returns whether it is new
    /// here.
    pub fn adopt(&mut self, parts: &[Name], since: Duration) -> bool {
        let is_known = self.quarantines.iter().any(|q| q.parts == parts);
        let ran = |part: &Name| self.last_run(part).max(self.cleared.get(part).copied());
        let is_outdated = |part| ran(part).is_some_and(|at| at + REPORT_DELAY >= since);
        if is_known || parts.is_empty() || parts.iter().any(is_outdated) {
            return false;
        }
        self.push_quarantine(parts.to_vec(), since, 0);
        true
    }

    /// Ends a quarantine; what is known against its parts no longer counts.
    pub fn release(&mut self, parts: &[Name], now: Duration) {
        for part in parts {
            self.cleared.insert(part.clone(), now);
            self.survivals.forget(part);
            self.reported_survivals.forget(part);
        }
        if self.cleared.len() > MAX_CLEARED {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
            if let Some(part) = oldest.map(|(part, _)| part.clone()) {
                self.cleared.remove(&part);
            }
        }
        self.quarantines.retain(|q| q.parts != parts);
    }

    /// Number of parts and suspicions that are kept.
    pub fn size(&self) -> usize {
        self.survivals.len() + self.crashes.len()
    }

    /// Weighs what is known; returns the new quarantines. To be called regularly.
    pub fn evaluate(&mut self, now: Duration) -> Vec<Quarantine> {
        self.prune(now);
        let before = self.quarantines.clone();
        let claims = self
            .peers
            .values()
            .flat_map(|(_, report)| &report.quarantines);
        let claims: Vec<(Vec<Name>, Duration)> = claims.cloned().collect();
        for (parts, since) in claims {
            self.adopt(&parts, since);
        }
        self.release_survivors();
        let mut crashes = self.unexplained_crashes(now);
        let servers = crashes.values().flat_map(BTreeMap::keys);
        self.suspected_servers = servers.map(|s| (s.id.clone(), s.clone())).collect();
        let suspects = crashes.iter().filter(|(part, ends)| {
            !self.is_established(part, now) && count(ends.values()) >= REPEAT_THRESHOLD
        });
        self.suspects = suspects.map(|(part, _)| part.clone()).collect();
        for ends in crashes.values_mut() {
            ends.retain(|_, end| now >= end.at + EXONERATION_TIME);
        }
        while let Some(parts) = self.most_suspect(&crashes, now) {
            let ends = crashes.get(&parts[0]).cloned().unwrap_or_default();
            self.push_quarantine(parts, now, ends.len());
            self.explain(&mut crashes, &ends, now);
        }
        let is_new = |q: &&Quarantine| !before.iter().any(|old| old.parts == q.parts);
        self.quarantines.iter().filter(is_new).cloned().collect()
    }

    fn push_quarantine(&mut self, parts: Vec<Name>, since: Duration, crashes: usize) {
        if self.quarantines.len() >= MAX_QUARANTINES {
            self.quarantines.remove(0);
        }
        self.quarantines.push(Quarantine {
            parts,
            since,
            crashes,
            next_trial: since + FIRST_TRIAL_DELAY,
            trials: 0,
        });
    }

    // Parts whose ends of servers are the same cannot be told apart, and are quarantined
    // only where they come together.
    fn most_suspect(&self, crashes: &Ends, now: Duration) -> Option<Vec<Name>> {
        let is_candidate = |part: &Name, ends: &BTreeMap<CrashedServer, End>| {
            let requests = count(ends.values().filter(|end| !end.is_repeat));
            match self.is_established(part, now) {
                true => requests >= ESTABLISHED_CRASH_THRESHOLD && self.others_ran_since(ends),
                false => requests >= CRASH_THRESHOLD,
            }
        };
        let candidates = crashes
            .iter()
            .filter(|(part, ends)| is_candidate(part, ends));
        let (_, ends) = candidates.max_by_key(|(part, ends)| {
            (
                !self.is_established(part, now),
                count(ends.values()),
                ends.len(),
            )
        })?;
        let same = crashes
            .iter()
            .filter(|(_, other)| other.keys().eq(ends.keys()));
        Some(same.map(|(part, _)| part.clone()).collect())
    }

    // Whether many requests ran since the first of the ends.
    fn others_ran_since(&self, ends: &BTreeMap<CrashedServer, End>) -> bool {
        let first = ends.values().map(|end| end.at).min();
        self.last_runs.len() >= ESTABLISHED_RUNS && self.last_runs.front().copied() > first
    }

    // Ends of servers by suspected part, without those that a quarantined part explains.
    fn unexplained_crashes(&self, now: Duration) -> Ends {
        let mut ends: Ends = BTreeMap::new();
        let crashes = self.crashes.iter().chain(self.reported_crashes());
        for crash in crashes.filter(|crash| self.counts(crash)) {
            let of_part = ends.entry(crash.part.clone()).or_default();
            let end = of_part.entry(crash.server.clone()).or_insert(End {
                at: crash.at,
                is_repeat: crash.is_repeat,
            });
            end.at = crash.at.min(end.at);
            end.is_repeat &= crash.is_repeat;
        }
        for quarantine in &self.quarantines {
            let explained = match &quarantine.parts[..] {
                [part] => ends.remove(part).unwrap_or_default(),
                _ => BTreeMap::new(),
            };
            self.explain(&mut ends, &explained, now);
        }
        ends
    }

    // Removes ends that a quarantine explains. A part that is not established and has
    // further ends may be the true cause, and keeps all of them.
    fn explain(&self, ends: &mut Ends, explained: &BTreeMap<CrashedServer, End>, now: Duration) {
        for (part, of_part) in ends {
            let is_explained = of_part.keys().all(|server| explained.contains_key(server));
            if is_explained || self.is_established(part, now) {
                of_part.retain(|server, _| !explained.contains_key(server));
            }
        }
    }

    // Whether neither the server lives on, nor a request with the part ran since.
    fn counts(&self, crash: &SuspectedCrash) -> bool {
        let reported = self.reported_alive.get(&crash.server);
        let last_event = self.alive.get(&crash.server).max(reported);
        let cleared = self.cleared.get(&crash.part).copied();
        last_event.is_none_or(|at| *at <= crash.at + ALIVE_MARGIN)
            && self.last_run(&crash.part).max(cleared) < Some(crash.at)
    }

    fn reported_crashes(&self) -> impl Iterator<Item = &SuspectedCrash> {
        self.peers.values().flat_map(|(_, report)| &report.crashes)
    }

    // When a request with the part last ran, here or at another entry.
    fn last_run(&self, part: &str) -> Option<Duration> {
        let reported = self.reported_survivals.last(part);
        self.survivals.last(part).max(reported)
    }

    fn is_established(&self, part: &str, now: Duration) -> bool {
        let last = self.last_run(part);
        last.is_some_and(|at| now < at + ESTABLISHED_TTL)
    }

    // A quarantine ends when a request with one of its parts ran; what still speaks
    // against the others is weighed anew.
    fn release_survivors(&mut self) {
        let mut quarantines = std::mem::take(&mut self.quarantines);
        let ran = |q: &Quarantine| q.parts.iter().any(|p| self.last_run(p) > Some(q.since));
        quarantines.retain(|quarantine| !ran(quarantine));
        self.quarantines = quarantines;
    }

    fn prune(&mut self, now: Duration) {
        let is_recent = |at: Duration| now <= at + CRASH_TTL;
        self.crashes.retain(|crash| is_recent(crash.at));
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.alive.retain(|_, at| is_recent(*at));
        self.reported_alive.retain(|_, at| is_recent(*at));
        self.peers.retain(|_, (arrived, _)| is_recent(*arrived));
        for (_, report) in self.peers.values_mut() {
            report.crashes.retain(|crash| is_recent(crash.at));
        }
    }
}

// Ends of servers by suspected part.
type Ends = BTreeMap<Name, BTreeMap<CrashedServer, End>>;

#[derive(Clone, Copy, Debug)]
struct End {
    at: Duration,
    is_repeat: bool,
}

// Number of ends that have no common cause.
fn count<'a>(ends: impl Iterator<Item = &'a End>) -> usize {
    let mut times: Vec<Duration> = ends.map(|end| end.at).collect();
    times.sort_unstable();
    let mut last: Option<Duration> = None;
    let mut count = 0;
    for at in times {
        if last.is_none_or(|last| at > last + COMMON_CAUSE_WINDOW) {
            count += 1;
            last = Some(at);
        }
    }
    count
}
