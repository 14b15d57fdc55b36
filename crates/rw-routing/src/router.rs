use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::{rendezvous_rank, HostStatus, Name};

use crate::{CircuitBreaker, HostCandidate, LoadBalancingPolicy};

/// How long a request waits for one of the preferred hosts of its prefix.
const SPILLOVER_DELAY: Duration = Duration::from_millis(150);
/// Hosts that are expected to have a given prefix cached.
const PREFERRED_HOSTS: usize = 2;

/// Criteria by which a host is selected for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostQuery {
    /// Requested service.
    pub service: Name,
    /// Acceptable manifests, newest first; empty for a service without one.
    pub manifests: Vec<Name>,
    /// Equal for requests that share a prompt prefix.
    pub prefix: Name,
    /// Hosts that earlier attempts were sent to.
    pub exclude: Vec<Name>,
}

/// The host selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSelection {
    /// The host.
    pub host: Name,
    /// Manifest that the request is pinned to; empty for a service without one.
    pub manifest: Name,
}

struct Host {
    status: HostStatus,
    same_zone: bool,
    // Requests of this entry.
    own_in_flight: u32,
    // Requests that the host reported beyond those of this entry.
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

    // Returns the first acceptable manifest that the host serves.
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

/// Tracks the state of an entry's hosts and selects one for each request.
pub struct Router<P> {
    hosts: BTreeMap<Name, Host>,
    policy: P,
}

impl<P: LoadBalancingPolicy> Router<P> {
    /// Creates a router without hosts.
    pub fn new(policy: P) -> Self {
        Router {
            hosts: BTreeMap::new(),
            policy,
        }
    }

    /// Applies the status that a host reported.
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

    /// Records that a host is gone or unreachable.
    pub fn on_unreachable(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.status.serving.clear();
            host.other_in_flight = 0;
        }
    }

    /// Records that a host is draining and refuses new requests.
    pub fn on_draining(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.status.leaving = true;
        }
    }

    /// Records that a request was sent to the host.
    pub fn on_request_start(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.own_in_flight += 1;
        }
    }

    /// Records the end of a request; `reported_load` is the load that the host
    /// sent with its response.
    pub fn on_request_end(&mut self, host: &str, reported_load: Option<u32>) {
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        host.own_in_flight = host.own_in_flight.saturating_sub(1);
        if let Some(reported_load) = reported_load {
            host.other_in_flight = reported_load.saturating_sub(host.own_in_flight);
        }
    }

    /// Records a successful request in the host's circuit breaker.
    pub fn on_success(&mut self, host: &str, now: Duration) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.breaker.on_success(now);
        }
    }

    /// Records a failed request. Returns whether the host's circuit breaker opened.
    pub fn on_failure(&mut self, host: &str, now: Duration) -> bool {
        let host = self.hosts.get_mut(host);
        host.is_some_and(|host| host.breaker.on_failure(now))
    }

    /// Whether any host matches the query, with or without free capacity.
    pub fn is_served(&self, query: &HostQuery) -> bool {
        self.eligible(query).next().is_some()
    }

    /// Whether a preferred host of the prefix has free capacity.
    pub fn has_preferred_capacity(&self, query: &HostQuery, now: Duration) -> bool {
        if !self.policy.is_prefix_aware() || query.prefix.is_empty() {
            return self.has_capacity(query, now);
        }
        let mut hosts: Vec<&Host> = self.eligible(query).map(|(host, _)| host).collect();
        hosts.sort_by_cached_key(|host| Reverse(rendezvous_rank(&query.prefix, &host.status.host)));
        let mut preferred = hosts.into_iter().take(PREFERRED_HOSTS);
        preferred.any(|host| host.load() < host.effective_limit(now))
    }

    /// Whether the request may be sent to any host with free capacity, after it
    /// has waited for a preferred one. Under load, requests that spill over too
    /// early evict each other's prefixes from every cache.
    pub fn may_spill_over(&self, query: &HostQuery, waited: Duration, now: Duration) -> bool {
        waited >= SPILLOVER_DELAY && self.has_capacity(query, now)
    }

    /// Whether any matching host has free capacity.
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

    /// Selects a host with free capacity. The entry's subset of hosts already
    /// favors its own zone; within the subset, a cached prefix takes precedence
    /// over a host of the same zone.
    pub fn select(&mut self, query: &HostQuery, now: Duration) -> Option<HostSelection> {
        let mut eligible_hosts: Vec<(HostCandidate, Name)> = self
            .eligible(query)
            .filter(|(host, _)| host.load() < host.effective_limit(now))
            .map(|(host, manifest)| (candidate(host, now), manifest))
            .collect();
        if eligible_hosts.is_empty() {
            return None;
        }
        let candidates: Vec<HostCandidate> =
            eligible_hosts.iter().map(|(c, _)| c.clone()).collect();
        let index = self.policy.choose(&candidates, &query.prefix);
        let (chosen, manifest) = eligible_hosts.swap_remove(index);
        Some(HostSelection {
            host: chosen.host,
            manifest,
        })
    }
}

fn candidate(host: &Host, now: Duration) -> HostCandidate {
    HostCandidate {
        host: host.status.host.clone(),
        load: host.load(),
        limit: host.effective_limit(now),
        same_zone: host.same_zone,
    }
}
