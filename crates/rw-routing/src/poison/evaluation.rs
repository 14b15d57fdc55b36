//! Weighs the evidence against parts of prompts.

use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::Name;

use super::detector::{MAX_CRASHES, MAX_QUARANTINES};
use super::request_name::is_request;
use super::{CrashedServer, PoisonDetector, Quarantine, SuspectedCrash};

/// Requests under which servers have to crash, with none that ran in between, until a
/// part is quarantined.
const CRASH_THRESHOLD: usize = 3;
/// The same at an entry that has seen fewer requests run than `MIN_RUNS`, and so does not
/// know yet which parts are sound.
const COLD_CRASH_THRESHOLD: usize = 5;
const MIN_RUNS: usize = 10;
/// Time from the first crash to a quarantine at such an entry, which needs the evidence of
/// the others to tell parts apart.
const COLD_WAIT: Duration = Duration::from_millis(1500);
/// The same for a part with which requests have run lately: many of them are usually in
/// progress when a server crashes for another reason.
const ESTABLISHED_CRASH_THRESHOLD: usize = 6;
/// Requests without such a part that have to run in the meantime; while no server answers,
/// none can run that would clear it.
const ESTABLISHED_RUNS: usize = 50;
/// Time for which a request that ran keeps its parts established.
const ESTABLISHED_TTL: Duration = Duration::from_secs(120);
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(180);
/// Time after which a crash counts. In it, the server may prove to be alive, and other
/// entries may report that requests with the part run.
const EXONERATION_TIME: Duration = Duration::from_millis(600);
/// Servers that crash within this time have a common cause, such as a loss of power, and
/// count as one.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(30);
/// Time after its supposed crash at which an event proves that a server is alive.
const ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Crashes after which a call is not retried at a further server.
const REPEAT_THRESHOLD: usize = 2;

// Crashed servers by suspected part.
type Crashes = BTreeMap<Name, BTreeMap<CrashedServer, Crash>>;

#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Duration,
    is_repeat: bool,
}

impl PoisonDetector {
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
            // A request is weighed by its crashes as long as any entry knows them.
            let knows_crash = |part: &Name| self.suspicions().any(|crash| crash.part == *part);
            if !parts
                .iter()
                .any(|part| is_request(part) && knows_crash(part))
            {
                self.adopt(&parts, since);
            }
        }
        self.release_survivors();
        self.weigh_requests(now);
        let mut by_part = self.unexplained_crashes(now);
        let of_requests = self.suspicions().filter(|crash| is_request(&crash.part));
        let servers = by_part.values().flat_map(BTreeMap::keys);
        let servers = servers.chain(of_requests.map(|crash| &crash.server));
        self.suspected_servers = servers.map(|s| (s.id.clone(), s.clone())).collect();
        let suspects = by_part.iter().filter(|(part, crashes)| {
            !self.is_established(part, now) && count(crashes.values()) >= REPEAT_THRESHOLD
        });
        self.suspects = suspects.map(|(part, _)| part.clone()).collect();
        for crashes in by_part.values_mut() {
            crashes.retain(|_, crash| now >= crash.at + EXONERATION_TIME);
        }
        while let Some(parts) = self.most_suspect(&by_part, now) {
            let crashes = by_part.get(&parts[0]).cloned().unwrap_or_default();
            // Parts that cannot be told apart are suspected until one of them is cleared.
            if !self.quarantines.iter().any(|q| q.parts == parts) {
                self.push_quarantine(parts, now, crashes.len());
            }
            self.explain(&mut by_part, &crashes, now);
        }
        let is_new = |q: &&Quarantine| !before.iter().any(|old| old.parts == q.parts);
        self.quarantines.iter().filter(is_new).cloned().collect()
    }

    pub(super) fn push_quarantine(&mut self, parts: Vec<Name>, since: Duration, crashes: usize) {
        let quarantine = Quarantine::new(parts, since, crashes);
        let is_same_kind = |q: &Quarantine| q.is_request() == quarantine.is_request();
        let of_kind = || self.quarantines.iter().filter(|q| is_same_kind(q)).count();
        if of_kind() >= MAX_QUARANTINES {
            if let Some(oldest) = self.quarantines.iter().position(is_same_kind) {
                self.quarantines.remove(oldest);
            }
        }
        self.quarantines.push(quarantine);
    }

    // Parts that are suspected of the same crashes cannot be told apart, and are quarantined
    // only where they come together.
    fn most_suspect(&self, by_part: &Crashes, now: Duration) -> Option<Vec<Name>> {
        let first = by_part.values().map(first_crash).min();
        let cold_until = first.unwrap_or_default().saturating_add(COLD_WAIT);
        let is_candidate = |part: &Name, crashes: &BTreeMap<CrashedServer, Crash>| {
            let requests = count(crashes.values().filter(|crash| !crash.is_repeat));
            if self.is_established(part, now) {
                return requests >= ESTABLISHED_CRASH_THRESHOLD
                    && self.runs_since(crashes) >= ESTABLISHED_RUNS;
            }
            match self.last_runs.len() < MIN_RUNS {
                true => requests >= COLD_CRASH_THRESHOLD && now >= cold_until,
                false => requests >= CRASH_THRESHOLD,
            }
        };
        let candidates = by_part
            .iter()
            .filter(|(part, crashes)| is_candidate(part, crashes));
        let (_, crashes) = candidates.max_by_key(|(part, crashes)| {
            (
                !self.is_established(part, now),
                count(crashes.values()),
                crashes.len(),
            )
        })?;
        let same = by_part
            .iter()
            .filter(|(_, other)| other.keys().eq(crashes.keys()));
        Some(same.map(|(part, _)| part.clone()).collect())
    }

    // Requests that ran here since the first of the crashes; no more than are remembered.
    fn runs_since(&self, crashes: &BTreeMap<CrashedServer, Crash>) -> usize {
        let first = first_crash(crashes);
        self.last_runs.iter().filter(|at| **at > first).count()
    }

    // Crashes by suspected part, without those that a quarantined part explains.
    fn unexplained_crashes(&self, now: Duration) -> Crashes {
        let mut by_part: Crashes = BTreeMap::new();
        let suspected = self.suspicions().filter(|c| !is_request(&c.part));
        for suspected in suspected.filter(|crash| self.counts(crash)) {
            let crashes = by_part.entry(suspected.part.clone()).or_default();
            let crash = crashes.entry(suspected.server.clone()).or_insert(Crash {
                at: suspected.at,
                is_repeat: suspected.is_repeat,
            });
            crash.at = suspected.at.min(crash.at);
            crash.is_repeat &= suspected.is_repeat;
        }
        for quarantine in &self.quarantines {
            let explained = match &quarantine.parts[..] {
                [_] if quarantine.is_request() => crashes_under(quarantine),
                [part] => by_part.remove(part).unwrap_or_default(),
                _ => BTreeMap::new(),
            };
            self.explain(&mut by_part, &explained, now);
        }
        by_part
    }

    // Removes crashes that a quarantine explains. A part that is not established and has
    // further crashes may be the true cause, and keeps all of them.
    fn explain(
        &self,
        crashes: &mut Crashes,
        explained: &BTreeMap<CrashedServer, Crash>,
        now: Duration,
    ) {
        for (part, of_part) in crashes {
            let is_explained = of_part.keys().all(|server| explained.contains_key(server));
            if is_explained || self.is_established(part, now) {
                of_part.retain(|server, _| !explained.contains_key(server));
            }
        }
    }

    // Whether neither the server is alive, nor a request with the part ran since.
    pub(super) fn counts(&self, crash: &SuspectedCrash) -> bool {
        let cleared = self.cleared.get(&crash.part).copied();
        !self.is_alive_after(&crash.server, crash.at)
            && self.last_run(&crash.part).max(cleared) < Some(crash.at)
    }

    // Whether a server has sent an event after its supposed crash.
    pub(super) fn is_alive_after(&self, server: &CrashedServer, crashed_at: Duration) -> bool {
        let reported = self.reported_alive.get(server);
        let last_event = self.alive.get(server).max(reported);
        last_event.is_some_and(|at| *at > crashed_at + ALIVE_MARGIN)
    }

    // All suspicions, of this entry and of others.
    pub(super) fn suspicions(&self) -> impl Iterator<Item = &SuspectedCrash> {
        self.crashes.iter().chain(self.reported_crashes())
    }

    pub(super) fn reported_crashes(&self) -> impl Iterator<Item = &SuspectedCrash> {
        self.peers.values().flat_map(|(_, report)| &report.crashes)
    }

    // When a request with the part last ran, here or at another entry.
    pub(super) fn last_run(&self, part: &str) -> Option<Duration> {
        let reported = self.reported_survivals.last(part);
        self.survivals.last(part).max(reported)
    }

    fn is_established(&self, part: &str, now: Duration) -> bool {
        let last = self.last_run(part);
        last.is_some_and(|at| now < at + ESTABLISHED_TTL)
    }

    // A quarantine ends when a request with one of its parts ran; what still speaks
    // against the others is weighed anew.
    pub(super) fn release_survivors(&mut self) {
        let mut quarantines = std::mem::take(&mut self.quarantines);
        let ran = |q: &Quarantine| q.parts.iter().any(|p| self.last_run(p) > Some(q.since));
        quarantines.retain(|quarantine| !ran(quarantine));
        self.quarantines = quarantines;
    }

    fn prune(&mut self, now: Duration) {
        let is_recent = |at: Duration| now <= at + CRASH_TTL;
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| is_recent(crash.at) && self.counts(crash));
        for of_requests in [false, true] {
            let is_kind = |crash: &SuspectedCrash| is_request(&crash.part) == of_requests;
            let kept = crashes.iter().filter(|crash| is_kind(crash)).count();
            let mut excess = kept.saturating_sub(MAX_CRASHES);
            crashes.retain(|crash| {
                let is_excess = excess > 0 && is_kind(crash);
                excess -= usize::from(is_excess);
                !is_excess
            });
        }
        self.crashes = crashes;
        self.alive.retain(|_, at| is_recent(*at));
        self.refuted.retain(|_, at| is_recent(*at));
        self.reported_alive.retain(|_, at| is_recent(*at));
        self.peers.retain(|_, (arrived, _)| is_recent(*arrived));
        for (_, report) in self.peers.values_mut() {
            report.crashes.retain(|crash| is_recent(crash.at));
        }
    }
}

fn first_crash(crashes: &BTreeMap<CrashedServer, Crash>) -> Duration {
    let times = crashes.values().map(|crash| crash.at);
    times.min().unwrap_or(Duration::MAX)
}

// The crashes under a quarantined request.
fn crashes_under(quarantine: &Quarantine) -> BTreeMap<CrashedServer, Crash> {
    let crash = |at| Crash {
        at,
        is_repeat: false,
    };
    let servers = quarantine.servers.iter();
    servers
        .map(|(server, at)| (server.clone(), crash(*at)))
        .collect()
}

// Number of crashes that have no common cause.
fn count<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    count_causes(crashes.map(|crash| crash.at))
}

/// Number of crashes at these times that have no common cause.
pub(super) fn count_causes(times: impl Iterator<Item = Duration>) -> usize {
    let mut times: Vec<Duration> = times.collect();
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
