use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::{rank, HostStatus, Name};

use crate::{Candidate, CircuitBreaker, Policy};

/// Time for which a call waits for a host that should hold its prefix.
const SPILLOVER_DELAY: Duration = Duration::from_millis(150);
/// Hosts that should hold one prefix.
const PREFERRED_HOSTS: usize = 2;

/// What a call needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostQuery {
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
pub struct HostSelection {
    /// The host.
    pub host: Name,
    /// The manifest that the call is pinned to; empty for a plain service.
    pub manifest: Name,
}

struct Host {
    status: HostStatus,
    same_zone: bool,
    // Calls that this entry has at the host.
    own_in_flight: u32,
    // Calls that the host reported beyond this entry's own.
    other_in_flight: u32,
    breaker: CircuitBreaker,
}

impl Host {
    fn load(&self) -> u32 {
        self.own_in_flight + self.other_in_flight
    }

    fn effective_limit(&self, now: Duration) -> u32 {
        self.breaker.effective_limit(self.status.load.limit, now)
    }

    // The first acceptable manifest that the host serves; the caller lists
    // the newest first.
    fn manifest(&self, query: &HostQuery) -> Option<Name> {
        let mut serving = self
            .status
            .serving
            .iter()
            .filter(|s| s.service == query.service);
        if query.manifests.is_empty() {
            return serving.next().map(|s| s.manifest.clone());
        }
        let served: Vec<&Name> = serving.map(|s| &s.manifest).collect();
        query.manifests.iter().find(|m| served.contains(m)).cloned()
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
    pub fn on_status(&mut self, status: HostStatus, same_zone: bool) {
        let host = self
            .hosts
            .entry(status.host.clone())
            .or_insert_with(|| Host {
                status: status.clone(),
                same_zone,
                own_in_flight: 0,
                other_in_flight: 0,
                breaker: CircuitBreaker::default(),
            });
        let reported_load = status.load.running + status.load.queued;
        host.other_in_flight = reported_load.saturating_sub(host.own_in_flight);
        host.status = status;
    }

    /// A host is gone or unreachable.
    pub fn on_unreachable(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.status.serving.clear();
            host.other_in_flight = 0;
        }
    }

    /// A host refuses new work.
    pub fn on_draining(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.status.leaving = true;
        }
    }

    /// A call was sent to the host.
    pub fn on_request_start(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.own_in_flight += 1;
        }
    }

    /// A call at the host ended; `held` is the load that came with its answer.
    pub fn on_request_end(&mut self, host: &str, reported_load: Option<u32>) {
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        host.own_in_flight = host.own_in_flight.saturating_sub(1);
        if let Some(reported_load) = reported_load {
            host.other_in_flight = reported_load.saturating_sub(host.own_in_flight);
        }
    }

    /// A call to the host succeeded.
    pub fn on_success(&mut self, host: &str, now: Duration) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.breaker.on_success(now);
        }
    }

    /// A call to the host failed; says whether its circuit opened just now.
    pub fn on_failure(&mut self, host: &str, now: Duration) -> bool {
        let host = self.hosts.get_mut(host);
        host.is_some_and(|host| host.breaker.on_failure(now))
    }

    /// Whether any host serves what the call needs, busy or not.
    pub fn is_served(&self, query: &HostQuery) -> bool {
        self.eligible(query).next().is_some()
    }

    /// Whether a host that should hold the call's prefix has room.
    pub fn has_preferred_capacity(&self, query: &HostQuery, now: Duration) -> bool {
        if !self.policy.is_prefix_aware() || query.prefix.is_empty() {
            return self.has_capacity(query, now);
        }
        let mut hosts: Vec<&Host> = self.eligible(query).map(|(host, _)| host).collect();
        hosts.sort_by_cached_key(|host| Reverse(rank(&query.prefix, &host.status.host)));
        let mut preferred = hosts.into_iter().take(PREFERRED_HOSTS);
        preferred.any(|host| host.load() < host.effective_limit(now))
    }

    /// Whether the call may go to any host with room: it has waited for one
    /// that should hold its prefix. Under load, calls that go anywhere push each
    /// other's prefixes out of every cache.
    pub fn may_spill_over(&self, query: &HostQuery, waited: Duration, now: Duration) -> bool {
        waited >= SPILLOVER_DELAY && self.has_capacity(query, now)
    }

    /// Whether some host has room for the call.
    pub fn has_capacity(&self, query: &HostQuery, now: Duration) -> bool {
        self.eligible(query)
            .any(|(host, _)| host.load() < host.effective_limit(now))
    }

    fn eligible<'a>(&'a self, query: &'a HostQuery) -> impl Iterator<Item = (&'a Host, Name)> + 'a {
        self.hosts
            .values()
            .filter(|host| !host.status.leaving)
            .filter(|host| !query.exclude.contains(&host.status.host))
            .filter_map(|host| Some((host, host.manifest(query)?)))
    }

    /// Chooses a host with room for the call. The entry's subset prefers its own
    /// zone; within it a cached prefix is worth more than a near host.
    pub fn select(&mut self, query: &HostQuery, now: Duration) -> Option<HostSelection> {
        let mut eligible_hosts: Vec<(Candidate, Name)> = self
            .eligible(query)
            .filter(|(host, _)| host.load() < host.effective_limit(now))
            .map(|(host, manifest)| (candidate(host, now), manifest))
            .collect();
        if eligible_hosts.is_empty() {
            return None;
        }
        let candidates: Vec<Candidate> = eligible_hosts.iter().map(|(c, _)| c.clone()).collect();
        let index = self.policy.choose(&candidates, &query.prefix);
        let (chosen, manifest) = eligible_hosts.swap_remove(index);
        Some(HostSelection {
            host: chosen.host,
            manifest,
        })
    }
}

fn candidate(host: &Host, now: Duration) -> Candidate {
    Candidate {
        host: host.status.host.clone(),
        load: host.load(),
        limit: host.effective_limit(now),
        same_zone: host.same_zone,
    }
}
