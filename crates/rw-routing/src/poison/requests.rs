//! Weighs the evidence against whole requests. Unlike a part of a prompt, which is found by
//! what different requests have in common, a request is known again by its name, so a few
//! crashes are enough.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use rw_protocol::Name;

use super::evaluation::count_causes;
use super::request_name::is_request;
use super::{CrashedServer, PoisonDetector, Quarantine};

/// Servers that have to crash under a request, with no run of it in between, until it is
/// quarantined.
const CRASH_THRESHOLD: usize = 3;
/// Crashes after which a request is not sent to the last server of a service, nor to a further
/// server without its caller.
const SUSPICION_THRESHOLD: usize = 2;
/// Time after which the only server that is listed is the only one of its service: those
/// that crashed with others are back by then.
const SINGLE_SERVER_WAIT: Duration = Duration::from_secs(10);
/// Time from the last crash under a request for which it is kept from the last server of a
/// service; the others are about to be back then.
const LAST_SERVER_TIME: Duration = Duration::from_secs(3);
const MAX_RELEASED: usize = 256;

/// Numbers of servers of a service, as an entry knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceServers {
    /// Servers that are listed in any state.
    pub listed: usize,
    /// Ready ones that are not believed to have crashed.
    pub sound: usize,
}

// When servers crashed, by suspected request.
type Crashes = BTreeMap<Name, BTreeMap<CrashedServer, Duration>>;

impl PoisonDetector {
    /// Whether any request is suspected, so that calls have to be named.
    pub fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Whether a request is suspected whose name begins with `prefix`.
    pub fn knows_request(&self, prefix: &str) -> bool {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let mut names = self.requests.range::<str, _>(from);
        names.next().is_some_and(|name| name.starts_with(prefix))
    }

    /// Whether several servers crashed under a request, and it has not run since.
    pub fn is_suspected_request(&self, request: &str) -> bool {
        self.crashes_of(request) >= SUSPICION_THRESHOLD
    }

    /// Whether a request with this name among its parts might take a service its last server,
    /// after all the others.
    pub fn endangers_last(&self, parts: &[Name], servers: ServiceServers, now: Duration) -> bool {
        let lost = servers.listed.saturating_sub(servers.sound);
        let mut requests = parts.iter().filter(|part| is_request(part));
        servers.listed > 1
            && servers.sound <= 1
            && requests.any(|request| {
                let crashes = self.suspicions().filter(|c| c.part == *request);
                let last = crashes.map(|crash| crash.at).max();
                last.is_some_and(|at| now < at + LAST_SERVER_TIME)
                    && self.crashes_of(request) >= lost.max(SUSPICION_THRESHOLD)
            })
    }

    // Whether a service can spare the server on which a quarantined request is tried.
    pub(super) fn spares_server(
        &self,
        quarantine: &Quarantine,
        servers: ServiceServers,
        now: Duration,
    ) -> bool {
        let has_lasted = now >= quarantine.since + SINGLE_SERVER_WAIT;
        let is_single = servers.listed == 1 && servers.sound == 1;
        servers.sound > 1 || (is_single && has_lasted)
    }

    /// Whether a server is believed to have crashed, under whatever.
    pub fn has_crashed(&self, server: &str, started_ms: u64) -> bool {
        self.suspicions()
            .any(|c| *c.server.id == *server && c.server.started_ms == started_ms && self.counts(c))
    }

    // Number of servers that crashed under a request since it last ran.
    pub(super) fn crashes_of(&self, request: &str) -> usize {
        let crashes = self.suspicions().filter(|c| *c.part == *request);
        let servers: BTreeSet<&CrashedServer> = crashes
            .filter(|crash| self.counts(crash))
            .map(|crash| &crash.server)
            .collect();
        servers.len()
    }

    // A request that an operator released has had its trial.
    pub(super) fn threshold(&self, request: &str) -> usize {
        match self.released.iter().any(|name| **name == *request) {
            true => 1,
            false => CRASH_THRESHOLD,
        }
    }

    /// Quarantines requests under which enough servers crashed, and releases those whose
    /// servers prove to be alive.
    pub(super) fn weigh_requests(&mut self, now: Duration) {
        let by_request = self.unexplained_requests();
        self.release_refuted(now);
        for (request, crashes) in &by_request {
            let threshold = self.threshold(request);
            let parts = std::slice::from_ref(request);
            let is_held = self.quarantines.iter().any(|q| q.parts == parts);
            if crashes.len() < threshold && !is_held {
                continue;
            }
            if !is_held {
                self.push_quarantine(parts.to_vec(), now, crashes.len());
            }
            let is_released = threshold < CRASH_THRESHOLD;
            let is_ambiguous = !is_released && is_ambiguous(request, crashes, &by_request);
            let held = self.quarantines.iter_mut().find(|q| q.parts == parts);
            if let Some(quarantine) = held {
                quarantine.add_evidence(crashes, is_ambiguous);
                if is_released {
                    quarantine.end_trials();
                }
            }
        }
        let quarantined = self.quarantines.iter().filter(|q| q.is_request());
        let quarantined = quarantined.flat_map(|q| &q.parts);
        let requests = by_request.keys().chain(quarantined).cloned().collect();
        self.requests = requests;
    }

    // Crashes by request, without those that a quarantined part of their prompts explains.
    fn unexplained_requests(&self) -> Crashes {
        let quarantined: BTreeSet<&Name> = self
            .quarantines
            .iter()
            .filter_map(|q| match &q.parts[..] {
                [part] if !is_request(part) => Some(part),
                _ => None,
            })
            .collect();
        let by_part = self
            .suspicions()
            .filter(|crash| quarantined.contains(&crash.part));
        let explained: BTreeSet<&CrashedServer> = by_part.map(|crash| &crash.server).collect();
        let mut by_request = Crashes::new();
        for crash in self.suspicions() {
            if !is_request(&crash.part) || explained.contains(&crash.server) || !self.counts(crash)
            {
                continue;
            }
            let crashes = by_request.entry(crash.part.clone()).or_default();
            let at = crashes.entry(crash.server.clone()).or_insert(crash.at);
            *at = crash.at.min(*at);
        }
        by_request
    }

    // What is recorded of them may arrive later, and no longer counts.
    fn release_refuted(&mut self, now: Duration) {
        let quarantines = std::mem::take(&mut self.quarantines);
        let is_refuted = |q: &Quarantine| q.is_request() && self.is_refuted(q);
        let (refuted, kept): (Vec<_>, Vec<_>) = quarantines.into_iter().partition(is_refuted);
        self.quarantines = kept;
        let requests = refuted.into_iter().flat_map(|q| q.parts);
        self.refuted.extend(requests.map(|request| (request, now)));
    }

    // Whether so many of the servers have proved to be alive that the others are too few. Of
    // a quarantine that was adopted, not all servers may be known here.
    fn is_refuted(&self, quarantine: &Quarantine) -> bool {
        let servers = &quarantine.servers;
        let crashed = servers
            .iter()
            .filter(|(s, at)| !self.is_alive_after(s, **at));
        let request = quarantine.parts.first().map_or("", |name| name);
        let threshold = self.threshold(request);
        servers.len() >= threshold && crashed.count() < threshold
    }

    /// Ends a quarantine of a request on behalf of an operator; the next crash under it counts
    /// as the proof that it still crashes servers.
    pub(super) fn note_release(&mut self, parts: &[Name]) {
        for request in parts.iter().filter(|part| is_request(part)) {
            if !self.released.contains(request) {
                self.released.push_back(request.clone());
            }
        }
        while self.released.len() > MAX_RELEASED {
            self.released.pop_front();
        }
    }
}

// Whether the servers may have crashed for another reason: another request was at all of them,
// or they crashed at the same moment.
fn is_ambiguous(
    request: &Name,
    crashes: &BTreeMap<CrashedServer, Duration>,
    by_request: &Crashes,
) -> bool {
    let is_at_all = |other: &BTreeMap<CrashedServer, Duration>| {
        crashes.keys().all(|server| other.contains_key(server))
    };
    let mut others = by_request.iter().filter(|(name, _)| *name != request);
    others.any(|(_, other)| is_at_all(other))
        || count_causes(crashes.values().copied()) < CRASH_THRESHOLD
}
