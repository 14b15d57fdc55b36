//! Weighs the evidence against parts of prompts.

use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::Name;

use super::detector::{MAX_CRASHES, MAX_QUARANTINES};
use super::{CrashedServer, PoisonDetector, Quarantine, SuspectedCrash};

/// Requests under which servers have to end, with none that ran in between, until a part
/// is quarantined.
const CRASH_THRESHOLD: usize = 3;
/// The same at an entry that has seen fewer requests run than `MIN_RUNS`, and so does not
/// know yet which parts are sound.
const COLD_CRASH_THRESHOLD: usize = 5;
const MIN_RUNS: usize = 10;
/// Time from the first end to a quarantine at such an entry, which needs the evidence of
/// the others to tell parts apart.
const COLD_WAIT: Duration = Duration::from_millis(1500);
/// The same for a part with which requests have run lately: many of them are usually in
/// progress when a server ends for another reason.
const ESTABLISHED_CRASH_THRESHOLD: usize = 6;
/// Requests without such a part that have to run in the meantime; while no server answers,
/// none can run that would clear it.
const ESTABLISHED_RUNS: usize = 50;
/// Time for which a request that ran keeps its parts established.
const ESTABLISHED_TTL: Duration = Duration::from_secs(120);
/// Time for which the end of a server counts.
const CRASH_TTL: Duration = Duration::from_secs(180);
/// Time after which the end of a server counts, in which it may prove to live and other
/// entries may report that requests with the part run.
const EXONERATION_TIME: Duration = Duration::from_millis(600);
/// Servers that end within this time end for a common reason, such as a loss of power,
/// and count as one.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(30);
/// Time after its supposed end at which an event proves that a server lives.
const ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Ends after which a request is not sent to a further server within one call.
const REPEAT_THRESHOLD: usize = 2;

// Ends of servers by suspected part.
type Ends = BTreeMap<Name, BTreeMap<CrashedServer, End>>;

#[derive(Clone, Copy, Debug)]
struct End {
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
            // Ends of parts that cannot be told apart stay unexplained.
            if !self.quarantines.iter().any(|q| q.parts == parts) {
                self.push_quarantine(parts, now, ends.len());
            }
            self.explain(&mut crashes, &ends, now);
        }
        let is_new = |q: &&Quarantine| !before.iter().any(|old| old.parts == q.parts);
        self.quarantines.iter().filter(is_new).cloned().collect()
    }

    pub(super) fn push_quarantine(&mut self, parts: Vec<Name>, since: Duration, crashes: usize) {
        if self.quarantines.len() >= MAX_QUARANTINES {
            self.quarantines.remove(0);
        }
        self.quarantines
            .push(Quarantine::new(parts, since, crashes));
    }

    // Parts whose ends of servers are the same cannot be told apart, and are quarantined
    // only where they come together.
    fn most_suspect(&self, crashes: &Ends, now: Duration) -> Option<Vec<Name>> {
        let first = crashes.values().map(first_end).min();
        let cold_until = first.unwrap_or_default().saturating_add(COLD_WAIT);
        let is_candidate = |part: &Name, ends: &BTreeMap<CrashedServer, End>| {
            let requests = count(ends.values().filter(|end| !end.is_repeat));
            if self.is_established(part, now) {
                return requests >= ESTABLISHED_CRASH_THRESHOLD
                    && self.runs_since(ends) >= ESTABLISHED_RUNS;
            }
            match self.last_runs.len() < MIN_RUNS {
                true => requests >= COLD_CRASH_THRESHOLD && now >= cold_until,
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

    // Requests that ran here since the first of the ends; no more than are remembered.
    fn runs_since(&self, ends: &BTreeMap<CrashedServer, End>) -> usize {
        let first = first_end(ends);
        self.last_runs.iter().filter(|at| **at > first).count()
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
    pub(super) fn counts(&self, crash: &SuspectedCrash) -> bool {
        let reported = self.reported_alive.get(&crash.server);
        let last_event = self.alive.get(&crash.server).max(reported);
        let cleared = self.cleared.get(&crash.part).copied();
        last_event.is_none_or(|at| *at <= crash.at + ALIVE_MARGIN)
            && self.last_run(&crash.part).max(cleared) < Some(crash.at)
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
    fn release_survivors(&mut self) {
        let mut quarantines = std::mem::take(&mut self.quarantines);
        let ran = |q: &Quarantine| q.parts.iter().any(|p| self.last_run(p) > Some(q.since));
        quarantines.retain(|quarantine| !ran(quarantine));
        self.quarantines = quarantines;
    }

    fn prune(&mut self, now: Duration) {
        let is_recent = |at: Duration| now <= at + CRASH_TTL;
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| is_recent(crash.at) && self.counts(crash));
        self.crashes = crashes;
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

fn first_end(ends: &BTreeMap<CrashedServer, End>) -> Duration {
    let times = ends.values().map(|end| end.at);
    times.min().unwrap_or(Duration::MAX)
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
