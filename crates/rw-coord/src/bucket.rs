use std::time::Duration;

/// Token bucket that limits a byte rate. The caller supplies the current time.
///
/// ```
/// use std::time::Duration;
/// let mut bucket = rw_coord::TokenBucket::new(1000, 100);
/// assert_eq!(bucket.take(100, Duration::ZERO), Duration::ZERO);
/// assert_eq!(bucket.take(100, Duration::ZERO), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_s: u64,
    burst: Duration,
    next_free: Duration,
}

impl TokenBucket {
    /// Allows `bytes_per_s` bytes per second after a burst of `burst_bytes` bytes.
    /// A rate of 0 means unlimited.
    pub fn new(bytes_per_s: u64, burst_bytes: u64) -> Self {
        TokenBucket {
            bytes_per_s,
            burst: transfer_time(burst_bytes, bytes_per_s),
            next_free: Duration::ZERO,
        }
    }

    /// Takes `bytes` at time `now` and returns how long to wait before sending
    /// them.
    pub fn take(&mut self, bytes: u64, now: Duration) -> Duration {
        if self.bytes_per_s == 0 {
            return Duration::ZERO;
        }
        // The burst is subtracted from the wait rather than from `next_free`,
        // which would otherwise have to go below zero.
        let start = self.next_free.max(now);
        self.next_free = start + transfer_time(bytes, self.bytes_per_s);
        self.next_free.saturating_sub(now + self.burst)
    }
}

fn transfer_time(bytes: u64, bytes_per_s: u64) -> Duration {
    if bytes_per_s == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64)
}
