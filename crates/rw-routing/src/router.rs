use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::{rank, HostStatus, Name};

use crate::{Candidate, Circuit, Policy};

/// Time for which a call waits for a host that should hold its prefix.
const SPILL_AFTER: Duration = Duration::from_millis(150);
/// Hosts that should hold one prefix.
const PREFERRED: usize = 2;

/// What a call needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Want {
    /// Service to reach.
    pub service: Name,
    /// Manifests that may answer; empty for a plain service.
    pub manifests: Vec<Name>,
    /// Equal for calls that share a prompt prefix.
    pub prefix: Name,
    /// Hosts that were tried already.
    pub exclude: Vec<Name>,
}

/// A host chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The host.
    pub host: Name,
    /// The manifest that the call is pinned to; empty for a plain service.
    pub manifest: Name,
}

struct Host {
    status: HostStatus,
    near: bool,
    // Calls that this entry has at the host.
    own: u32,
    // Calls that the host reported beyond this entry's own.
    others: u32,
    circuit: Circuit,
}

impl Host {
    fn load(&self) -> u32 {
        self.own + self.others
    }

    fn allowed(&self, now: Duration) -> u32 {
        self.circuit.allowed(self.status.load.limit, now)
    }

    // The first acceptable manifest that the host serves; the caller lists
    // the newest first.
    fn manifest(&self, want: &Want) -> Option<Name> {
        let mut serving = self
            .status
            .serving
            .iter()
            .filter(|s| s.service == want.service);
        if want.manifests.is_empty() {
            return serving.next().map(|s| s.manifest.clone());
        }
        let served: Vec<&Name> = serving.map(|s| &s.manifest).collect();
        want.manifests.iter().find(|m| served.contains(m)).cloned()
    }
}

/// What an entry knows of its hosts.
pub struct Router<P> {
    hosts: BTreeMap<Name, Host>,
    policy: P,
}

impl<P: Policy> Router<P> {
    /// A router without hosts.
    pub fn new(policy: P) -> Self {
        Router {
            hosts: BTreeMap::new(),
            policy,
        }
    }

    /// A host reported its state.
    pub fn on_status(&mut self, status: HostStatus, near: bool) {
        let host = self
            .hosts
            .entry(status.host.clone())
            .or_insert_with(|| Host {
                status: status.clone(),
                near,
                own: 0,
                others: 0,
                circuit: Circuit::default(),
            });
        let held = status.load.running + status.load.queued;
        host.others = held.saturating_sub(host.own);
        host.status = status;
    }

    /// A host is gone or unreachable.
    pub fn on_lost(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.status.serving.clear();
            host.others = 0;
        }
    }

    /// A host refuses new work.
    pub fn on_leaving(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.status.leaving = true;
        }
    }

    /// A call was sent to the host.
    pub fn on_start(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.own += 1;
        }
    }

    /// A call at the host ended; `held` is the load that came with its answer.
    pub fn on_end(&mut self, host: &str, held: Option<u32>) {
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        host.own = host.own.saturating_sub(1);
        if let Some(held) = held {
            host.others = held.saturating_sub(host.own);
        }
    }

    /// A call to the host succeeded.
    pub fn on_success(&mut self, host: &str, now: Duration) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.circuit.on_success(now);
        }
    }

    /// A call to the host failed; says whether its circuit opened just now.
    pub fn on_failure(&mut self, host: &str, now: Duration) -> bool {
        let host = self.hosts.get_mut(host);
        host.is_some_and(|host| host.circuit.on_failure(now))
    }

    /// Whether any host serves what the call needs, busy or not.
    pub fn is_served(&self, want: &Want) -> bool {
        self.usable(want).next().is_some()
    }

    /// Whether a host that should hold the call's prefix has room.
    pub fn has_preferred_room(&self, want: &Want, now: Duration) -> bool {
        if !self.policy.keeps_prefixes() || want.prefix.is_empty() {
            return self.has_room(want, now);
        }
        let mut hosts: Vec<&Host> = self.usable(want).map(|(host, _)| host).collect();
        hosts.sort_by_cached_key(|host| Reverse(rank(&want.prefix, &host.status.host)));
        let mut preferred = hosts.into_iter().take(PREFERRED);
        preferred.any(|host| host.load() < host.allowed(now))
    }

    /// Whether the call may go to any host with room: it has waited for one
    /// that should hold its prefix. Under load, calls that go anywhere push each
    /// other's prefixes out of every cache.
    pub fn may_spill(&self, want: &Want, waited: Duration, now: Duration) -> bool {
        waited >= SPILL_AFTER && self.has_room(want, now)
    }

    /// Whether some host has room for the call.
    pub fn has_room(&self, want: &Want, now: Duration) -> bool {
        self.usable(want)
            .any(|(host, _)| host.load() < host.allowed(now))
    }

    fn usable<'a>(&'a self, want: &'a Want) -> impl Iterator<Item = (&'a Host, Name)> + 'a {
        self.hosts
            .values()
            .filter(|host| !host.status.leaving)
            .filter(|host| !want.exclude.contains(&host.status.host))
            .filter_map(|host| Some((host, host.manifest(want)?)))
    }

    /// Chooses a host with room for the call. The entry's subset prefers its own
    /// zone; within it a cached prefix is worth more than a near host.
    pub fn pick(&mut self, want: &Want, now: Duration) -> Option<Pick> {
        let mut found: Vec<(Candidate, Name)> = self
            .usable(want)
            .filter(|(host, _)| host.load() < host.allowed(now))
            .map(|(host, manifest)| (candidate(host, now), manifest))
            .collect();
        if found.is_empty() {
            return None;
        }
        let candidates: Vec<Candidate> = found.iter().map(|(c, _)| c.clone()).collect();
        let at = self.policy.choose(&candidates, &want.prefix);
        let (chosen, manifest) = found.swap_remove(at);
        Some(Pick {
            host: chosen.host,
            manifest,
        })
    }
}

fn candidate(host: &Host, now: Duration) -> Candidate {
    Candidate {
        host: host.status.host.clone(),
        load: host.load(),
        limit: host.allowed(now),
        near: host.near,
    }
}
