use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Random number generator of a daemon, shared by its tasks.
///
/// ```
/// use rand::Rng;
/// let draw = || rw_fleet::SharedRng::new(Some(7)).lock().random::<u32>();
/// assert_eq!(draw(), draw());
/// ```
#[derive(Debug)]
pub struct SharedRng(Mutex<SmallRng>);

impl SharedRng {
    /// Creates a generator. With a seed its numbers are reproducible.
    pub fn new(seed: Option<u64>) -> Self {
        let rng = seed.map_or_else(SmallRng::from_os_rng, SmallRng::seed_from_u64);
        SharedRng(Mutex::new(rng))
    }

    /// Locks the generator.
    pub fn lock(&self) -> MutexGuard<'_, SmallRng> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
