use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the machine booted, including time while it was suspended.
///
/// ```
/// let earlier = rw_coord::uptime();
/// assert!(rw_coord::uptime() >= earlier);
/// ```
pub fn uptime() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Low bits of a timestamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// The clocks of a machine, for types whose tests step them.
pub trait Clock: Send + Sync + 'static {
    /// Unix time in milliseconds. Machines disagree about it, and it may step.
    fn unix_ms(&self) -> u64;

    /// Time since the machine booted, including time while it was suspended.
    fn uptime(&self) -> Duration;
}

/// The clocks of the operating system.
///
/// ```
/// use rw_coord::{Clock, SystemClock};
/// let earlier = SystemClock.uptime();
/// assert!(SystemClock.uptime() >= earlier);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn unix_ms(&self) -> u64 {
        unix_ms()
    }

    fn uptime(&self) -> Duration {
        uptime()
    }
}

/// Hybrid logical clock. A timestamp has the Unix time in milliseconds above
/// 16 counter bits.
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
    /// Returns a timestamp above every timestamp issued or observed before.
    pub fn now(&self) -> u64 {
        self.advance(unix_ms() << COUNTER_BITS)
    }

    /// Advances the clock to a timestamp received from another process.
    pub fn observe(&self, timestamp: u64) {
        self.0.fetch_max(timestamp, Ordering::Relaxed);
    }

    fn advance(&self, wall_time: u64) -> u64 {
        let mut last = self.0.load(Ordering::Relaxed);
        loop {
            let next = wall_time.max(last + 1);
            match self
                .0
                .compare_exchange_weak(last, next, Ordering::Relaxed, Ordering::Relaxed)
            {
                Ok(_) => return next,
                Err(current) => last = current,
            }
        }
    }
}
