use std::time::Duration;

/// Token bucket in bytes, driven by a caller's clock.
///
/// ```
/// use std::time::Duration;
/// let mut bucket = rw_coord::TokenBucket::new(1000, 100);
/// assert_eq!(bucket.take(100, Duration::ZERO), Duration::ZERO);
/// assert_eq!(bucket.take(100, Duration::ZERO), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: u64,
    burst: Duration,
    free_at: Duration,
}

impl TokenBucket {
    /// `rate` bytes a second after a burst of `burst` bytes; rate 0 is unlimited.
    pub fn new(rate: u64, burst: u64) -> Self {
        TokenBucket {
            rate,
            burst: span(burst, rate),
            free_at: Duration::ZERO,
        }
    }

    /// Takes `bytes` at time `now` and says how long to wait before using them.
    pub fn take(&mut self, bytes: u64, now: Duration) -> Duration {
        if self.rate == 0 {
            return Duration::ZERO;
        }
        // Virtual time runs ahead by one burst, so that it never goes below zero.
        let start = self.free_at.max(now);
        self.free_at = start + span(bytes, self.rate);
        self.free_at.saturating_sub(now + self.burst)
    }
}

fn span(bytes: u64, rate: u64) -> Duration {
    if rate == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(bytes as f64 / rate as f64)
}
