use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the machine started, including time for which it was suspended.
///
/// ```
/// let earlier = rw_coord::uptime();
/// assert!(rw_coord::uptime() >= earlier);
/// ```
pub fn uptime() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

const COUNTER_BITS: u32 = 16;

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Hybrid logical clock: milliseconds above 16 counter bits.
///
/// ```
/// let clock = rw_coord::HybridClock::default();
/// let a = clock.now();
/// clock.observe(a + (1 << 40));
/// assert!(clock.now() > a + (1 << 40));
/// ```
#[derive(Debug, Default)]
pub struct HybridClock(AtomicU64);

impl HybridClock {
    /// A stamp above every stamp given or observed before.
    pub fn now(&self) -> u64 {
        self.advance(unix_ms() << COUNTER_BITS)
    }

    /// Takes over a stamp that another process sent.
    pub fn observe(&self, stamp: u64) {
        self.0.fetch_max(stamp, Ordering::Relaxed);
    }

    fn advance(&self, wall: u64) -> u64 {
        let mut last = self.0.load(Ordering::Relaxed);
        loop {
            let next = wall.max(last + 1);
            match self
                .0
                .compare_exchange_weak(last, next, Ordering::Relaxed, Ordering::Relaxed)
            {
                Ok(_) => return next,
                Err(seen) => last = seen,
            }
        }
    }
}
