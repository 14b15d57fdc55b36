use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rw_protocol::Name;

use super::request_name::is_request;
use super::survivals::Survivals;
use super::{CrashedServer, PoisonReport, Quarantine, ServiceServers, SuspectedCrash};

/// Number of requests that ran last whose times are remembered.
const REMEMBERED_RUNS: usize = 50;
/// Bound of the delay of a report, by which times of different entries may differ.
pub(super) const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Bound of the delay of a record in the store.
const RECORD_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of suspicions that an entry keeps and reports, of parts and of requests each.
pub(super) const MAX_CRASHES: usize = 256;
pub(super) const MAX_QUARANTINES: usize = 64;
const MAX_CLEARED: usize = 256;
const MAX_PEERS: usize = 4096;

/// Finds parts of prompts, and requests, that crash servers. Performs no I/O; all times are those of one
/// steady clock of the entry.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{CrashedServer, PoisonDetector};
/// let mut detector = PoisonDetector::default();
/// let parts = ["shared".into(), "poison".into()];
/// for n in 1..=10 {
///     detector.on_run(&parts[..1], Duration::from_millis(n * 200));
/// }
/// for n in 11..=13 {
///     let at = Duration::from_millis(n * 200);
///     let server = CrashedServer { id: format!("s-{n}").into(), started_ms: 0 };
///     detector.on_crash(&server, &parts, false, at);
///     detector.on_run(&parts[..1], at + Duration::from_millis(100));
/// }
/// let new = detector.evaluate(Duration::from_secs(4));
/// assert_eq!(new[0].parts, ["poison".into()]);
/// assert!(detector.quarantine_of(&parts).is_some());
/// assert!(detector.quarantine_of(&parts[..1]).is_none());
/// ```
#[derive(Debug, Default)]
pub struct PoisonDetector {
    pub(super) crashes: Vec<SuspectedCrash>,
    pub(super) survivals: Survivals,
    // Times of the last requests that ran here.
    pub(super) last_runs: VecDeque<Duration>,
    pub(super) alive: BTreeMap<CrashedServer, Duration>,
    // Parts that an operator released, and when.
    pub(super) cleared: BTreeMap<Name, Duration>,
    // Last report of each other entry, and when it arrived.
    pub(super) peers: BTreeMap<Name, (Duration, PoisonReport)>,
    pub(super) reported_survivals: Survivals,
    pub(super) reported_alive: BTreeMap<CrashedServer, Duration>,
    pub(super) quarantines: Vec<Quarantine>,
    pub(super) suspects: BTreeSet<Name>,
    // Requests that are suspected or quarantined.
    pub(super) requests: BTreeSet<Name>,
    // Requests whose servers proved to be alive, and when that ended a quarantine.
    pub(super) refuted: BTreeMap<Name, Duration>,
    // Requests that an operator released last.
    pub(super) released: VecDeque<Name>,
    // Servers that are believed to have crashed.
    pub(super) suspected_servers: BTreeMap<Name, CrashedServer>,
}

impl PoisonDetector {
    /// Records that a server crashed under a request that had not run for a while, and
    /// whether another had crashed under the same call before. `parts` are those of its
    /// prompt, and its name.
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
        if let Some(request) = parts.iter().find(|part| is_request(part)) {
            self.requests.insert(request.clone());
            if self.crashes_of(request) >= self.threshold(request) {
                self.weigh_requests(now);
            }
        }
    }

    /// Records that a request ran for a while, or to its end.
    pub fn on_run(&mut self, parts: &[Name], now: Duration) {
        for part in parts {
            self.survivals.record(part, now);
        }
        if parts.iter().any(|part| self.requests.contains(part)) {
            self.release_survivors();
        }
        self.last_runs.push_back(now);
        if self.last_runs.len() > REMEMBERED_RUNS {
            self.last_runs.pop_front();
        }
    }

    /// Records an event of a server, which proves that it is alive.
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
        report.crashes.truncate(2 * MAX_CRASHES);
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

    /// The quarantines that hold back a request with these parts, if it may be let through
    /// to one of these servers, to find out whether it still crashes them; otherwise none.
    pub fn due_trials(
        &self,
        parts: &[Name],
        servers: ServiceServers,
        now: Duration,
    ) -> Vec<Quarantine> {
        let holding = self.quarantines.iter().filter(|q| q.holds(parts));
        let holding: Vec<Quarantine> = holding.cloned().collect();
        let is_due = |q: &Quarantine| q.is_trial_due(now) && self.spares_server(q, servers, now);
        match holding.iter().all(is_due) {
            true => holding,
            false => Vec::new(),
        }
    }

    /// Whether a request with these parts is let through to find out whether it still crashes
    /// one of these servers. The caller makes sure that only one entry asks for a quarantine.
    pub fn take_trial(&mut self, parts: &[Name], servers: ServiceServers, now: Duration) -> bool {
        if self.due_trials(parts, servers, now).is_empty() {
            return false;
        }
        let holding = self.quarantines.iter_mut().filter(|q| q.holds(parts));
        holding.for_each(|quarantine| quarantine.on_trial(now));
        true
    }

    /// Takes over how many requests of a quarantine all entries together have let through.
    pub fn raise_trials(&mut self, parts: &[Name], trials: u32, now: Duration) {
        let mut quarantines = self.quarantines.iter_mut();
        if let Some(quarantine) = quarantines.find(|q| q.parts == parts) {
            quarantine.raise_trials(trials, now);
        }
    }

    /// Whether a request with these parts may be sent to a further server after the first
    /// one crashed.
    pub fn may_repeat(&self, parts: &[Name]) -> bool {
        !parts.iter().any(|part| match is_request(part) {
            true => self.is_suspected_request(part),
            false => self.suspects.contains(part),
        })
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
        let is_outdated = |part| {
            let is_refuted = |at: &Duration| *at + RECORD_DELAY >= since;
            ran(part).is_some_and(|at| at + REPORT_DELAY >= since)
                || self.refuted.get(part).is_some_and(is_refuted)
        };
        if is_known || parts.is_empty() || parts.iter().any(is_outdated) {
            return false;
        }
        self.push_quarantine(parts.to_vec(), since, 0);
        let requests = parts.iter().filter(|part| is_request(part));
        self.requests.extend(requests.cloned());
        true
    }

    /// Ends a quarantine on behalf of an operator; a request that still crashes servers is
    /// known by the first of them.
    pub fn release_by_operator(&mut self, parts: &[Name], now: Duration) {
        self.note_release(parts);
        self.release(parts, now);
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
}
