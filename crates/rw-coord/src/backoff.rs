use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Exponential backoff with jitter: each delay is drawn at random from the
/// upper half of the current limit.
///
/// ```
/// use std::time::Duration;
/// let mut backoff = rw_coord::Backoff::new(Duration::from_millis(10), Duration::from_secs(1), 7);
/// assert!(backoff.next_delay() <= Duration::from_millis(10));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    attempt: u32,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff whose limit starts at `base` and doubles up to `cap`.
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Backoff {
            base,
            cap,
            attempt: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.attempt).unwrap_or(u32::MAX);
        let limit = self.base.saturating_mul(factor).min(self.cap);
        self.attempt = self.attempt.saturating_add(1).min(16);
        limit.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Starts again from the base delay, after a successful attempt.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
