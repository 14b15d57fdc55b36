use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rw_protocol::{rank, Name};

/// Load over the mean at which a call leaves its preferred host.
const AFFINITY_BOUND: f64 = 1.25;
/// Share of its limit up to which a host keeps its prefixes whatever the mean.
const AFFINITY_FLOOR: f64 = 0.75;

/// One host that could take a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub host: Name,
    /// Calls that the host holds, as far as known.
    pub load: u32,
    /// Calls that the host may hold; above `load`.
    pub limit: u32,
    /// Whether the host is in the entry's own availability zone.
    pub near: bool,
}

impl Candidate {
    fn share(&self) -> f64 {
        f64::from(self.load) / f64::from(self.limit.max(1))
    }
}

/// Chooses among hosts that all have room.
pub trait Policy {
    /// Index of the chosen candidate; `key` is equal for calls that share a
    /// prompt prefix. `candidates` is not empty.
    fn choose(&mut self, candidates: &[Candidate], key: &str) -> usize;

    /// Whether it is worth waiting for a host that holds a call's prefix.
    fn keeps_prefixes(&self) -> bool {
        false
    }
}

/// Prefers the host whose cache holds the prefix, unless it is loaded above
/// the mean; then the next in the prefix's own order.
#[derive(Clone, Debug, Default)]
pub struct Affinity;

impl Policy for Affinity {
    fn choose(&mut self, candidates: &[Candidate], key: &str) -> usize {
        if key.is_empty() {
            return least_loaded(candidates);
        }
        let held: u32 = candidates.iter().map(|c| c.load).sum();
        let room: u32 = candidates.iter().map(|c| c.limit).sum();
        let mean = f64::from(held + 1) / f64::from(room.max(1));
        let share = (mean * AFFINITY_BOUND).max(AFFINITY_FLOOR);
        let bound = |c: &Candidate| (share * f64::from(c.limit)).ceil();
        let fits = |at: &usize| f64::from(candidates[*at].load) < bound(&candidates[*at]);
        let preferred = (0..candidates.len())
            .filter(fits)
            .max_by_key(|at| rank(key, &candidates[*at].host));
        preferred.unwrap_or_else(|| least_loaded(candidates))
    }

    fn keeps_prefixes(&self) -> bool {
        true
    }
}

/// The least loaded host, own zone first among equals.
#[derive(Clone, Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&mut self, candidates: &[Candidate], _key: &str) -> usize {
        least_loaded(candidates)
    }
}

fn least_loaded(candidates: &[Candidate]) -> usize {
    let better = |a: &usize, b: &usize| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        a.share().total_cmp(&b.share()).then(b.near.cmp(&a.near))
    };
    (0..candidates.len()).min_by(better).unwrap_or(0)
}

/// Each host in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin(usize);

impl Policy for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _key: &str) -> usize {
        self.0 = self.0.wrapping_add(1);
        self.0 % candidates.len()
    }
}

/// Any host.
#[derive(Clone, Debug)]
pub struct Random(SmallRng);

impl Random {
    /// A seeded policy.
    pub fn new(seed: u64) -> Self {
        Random(SmallRng::seed_from_u64(seed))
    }
}

impl Policy for Random {
    fn choose(&mut self, candidates: &[Candidate], _key: &str) -> usize {
        self.0.random_range(0..candidates.len())
    }
}

/// The policy that the settings name.
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

impl Policy for AnyPolicy {
    fn choose(&mut self, candidates: &[Candidate], key: &str) -> usize {
        match self {
            AnyPolicy::Affinity(p) => p.choose(candidates, key),
            AnyPolicy::LeastLoaded(p) => p.choose(candidates, key),
            AnyPolicy::RoundRobin(p) => p.choose(candidates, key),
            AnyPolicy::Random(p) => p.choose(candidates, key),
        }
    }

    fn keeps_prefixes(&self) -> bool {
        matches!(self, AnyPolicy::Affinity(_))
    }
}
