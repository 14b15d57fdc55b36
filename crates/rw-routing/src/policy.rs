//! Load-balancing policies, which choose a host among those with free capacity.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rw_protocol::{rendezvous_rank, Name};

/// Utilization relative to the mean at which a host no longer gets the requests
/// that prefer it (consistent hashing with bounded loads).
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Utilization up to which a host gets the requests that prefer it regardless of
/// the mean.
const AFFINITY_MIN_UTILIZATION: f64 = 0.75;

/// A host that a request could be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct HostCandidate {
    /// Name of the host.
    pub host: Name,
    /// Requests in flight at the host, as far as this entry knows.
    pub load: u32,
    /// Limit of requests in flight; greater than `load`.
    pub limit: u32,
    /// Whether the host is in the entry's own availability zone.
    pub same_zone: bool,
}

impl HostCandidate {
    fn utilization(&self) -> f64 {
        f64::from(self.load) / f64::from(self.limit.max(1))
    }
}

/// Chooses among hosts that all have free capacity.
pub trait LoadBalancingPolicy {
    /// Returns the index of the chosen candidate. `prefix` is equal for requests
    /// that share a prompt prefix; `candidates` is not empty.
    fn choose(&mut self, candidates: &[HostCandidate], prefix: &str) -> usize;

    /// Whether a request should wait for a host that has its prefix cached.
    fn is_prefix_aware(&self) -> bool {
        false
    }
}

/// Prefers the host that has the prompt prefix cached, by rendezvous hashing of
/// the prefix. A host loaded above the bound is skipped for the next one in the
/// prefix's hash order.
#[derive(Clone, Debug, Default)]
pub struct Affinity;

impl LoadBalancingPolicy for Affinity {
    fn choose(&mut self, candidates: &[HostCandidate], prefix: &str) -> usize {
        if prefix.is_empty() {
            return least_loaded(candidates);
        }
        let total_load: u32 = candidates.iter().map(|c| c.load).sum();
        let total_limit: u32 = candidates.iter().map(|c| c.limit).sum();
        let mean_utilization = f64::from(total_load + 1) / f64::from(total_limit.max(1));
        let utilization = (mean_utilization * AFFINITY_LOAD_FACTOR).max(AFFINITY_MIN_UTILIZATION);
        let max_load = |c: &HostCandidate| (utilization * f64::from(c.limit)).ceil();
        let is_below_bound =
            |at: &usize| f64::from(candidates[*at].load) < max_load(&candidates[*at]);
        let preferred = (0..candidates.len())
            .filter(is_below_bound)
            .max_by_key(|at| rendezvous_rank(prefix, &candidates[*at].host));
        preferred.unwrap_or_else(|| least_loaded(candidates))
    }

    fn is_prefix_aware(&self) -> bool {
        true
    }
}

/// Chooses the least utilized host; among equals, one of the entry's own zone.
#[derive(Clone, Debug, Default)]
pub struct LeastLoaded;

impl LoadBalancingPolicy for LeastLoaded {
    fn choose(&mut self, candidates: &[HostCandidate], _prefix: &str) -> usize {
        least_loaded(candidates)
    }
}

fn least_loaded(candidates: &[HostCandidate]) -> usize {
    let compare = |a: &usize, b: &usize| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        a.utilization()
            .total_cmp(&b.utilization())
            .then(b.same_zone.cmp(&a.same_zone))
    };
    (0..candidates.len()).min_by(compare).unwrap_or(0)
}

/// Chooses each host in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin(usize);

impl LoadBalancingPolicy for RoundRobin {
    fn choose(&mut self, candidates: &[HostCandidate], _prefix: &str) -> usize {
        self.0 = self.0.wrapping_add(1);
        self.0 % candidates.len()
    }
}

/// Chooses a random host.
#[derive(Clone, Debug)]
pub struct Random(SmallRng);

impl Random {
    /// Creates a policy with a seeded generator.
    pub fn new(seed: u64) -> Self {
        Random(SmallRng::seed_from_u64(seed))
    }
}

impl LoadBalancingPolicy for Random {
    fn choose(&mut self, candidates: &[HostCandidate], _prefix: &str) -> usize {
        self.0.random_range(0..candidates.len())
    }
}

/// The policy selected in the settings.
#[derive(Clone, Debug)]
pub enum AnyPolicy {
    /// See [`Affinity`].
    Affinity(Affinity),
    /// See [`LeastLoaded`].
    LeastLoaded(LeastLoaded),
    /// See [`RoundRobin`].
    RoundRobin(RoundRobin),
    /// See [`Random`].
    Random(Random),
}

impl LoadBalancingPolicy for AnyPolicy {
    fn choose(&mut self, candidates: &[HostCandidate], prefix: &str) -> usize {
        match self {
            AnyPolicy::Affinity(p) => p.choose(candidates, prefix),
            AnyPolicy::LeastLoaded(p) => p.choose(candidates, prefix),
            AnyPolicy::RoundRobin(p) => p.choose(candidates, prefix),
            AnyPolicy::Random(p) => p.choose(candidates, prefix),
        }
    }

    fn is_prefix_aware(&self) -> bool {
        matches!(self, AnyPolicy::Affinity(_))
    }
}
