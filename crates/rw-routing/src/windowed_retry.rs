use std::collections::VecDeque;
use std::time::Duration;

/// Buckets of a window; the counts of a bucket expire together.
const BUCKETS_PER_WINDOW: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Limits retries within any window to a share of the requests in it plus a
/// constant. If every daemon stays within its limit, all of them together stay within
/// the sum of the limits, where a request pays for retries up to a window after it.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::WindowedRetryBudget;
/// let mut budget = WindowedRetryBudget::new(Duration::from_secs(10), 0.5, 1.0);
/// let now = Duration::from_secs(100);
/// assert!(budget.take(now));
/// assert!(!budget.take(now));
/// budget.on_request(now);
/// budget.on_request(now);
/// assert!(budget.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    bucket_length: Duration,
    ratio: f64,
    extra_retries: f64,
    buckets: VecDeque<Bucket>,
}

impl WindowedRetryBudget {
    /// Creates a budget of `ratio` retries per request plus `extra_retries`.
    pub fn new(window: Duration, ratio: f64, extra_retries: f64) -> Self {
        WindowedRetryBudget {
            bucket_length: (window / BUCKETS_PER_WINDOW).max(Duration::from_millis(1)),
            ratio,
            extra_retries,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the constant part, for example when the number of daemons changes.
    pub fn set_extra_retries(&mut self, extra_retries: f64) {
        self.extra_retries = extra_retries;
    }

    fn current(&mut self, now: Duration) -> &mut Bucket {
        let index = (now.as_nanos() / self.bucket_length.as_nanos()) as u64;
        // Keep one bucket more than the window, to cover windows that start within
        // a bucket.
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + u64::from(BUCKETS_PER_WINDOW) < index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index != index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request on its first arrival.
    pub fn on_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.current(now);
        // Requests are counted over one bucket less than the window and retries
        // over one more: the limit has to hold for windows that start anywhere.
        let newest = self.buckets.back().map_or(0, |bucket| bucket.index);
        let inside = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index + u64::from(BUCKETS_PER_WINDOW) > newest);
        let requests: u32 = inside.map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let limit = f64::from(requests) * self.ratio + self.extra_retries;
        let is_available = f64::from(retries) + 1.0 <= limit;
        if is_available {
            self.current(now).retries += 1;
        }
        is_available
    }
}

/// Retries that all entries together may send in a window beyond the ratio. Each entry
/// may send an equal share.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::ExtraRetries;
/// let extra = ExtraRetries::after_restart(100.0, Duration::from_secs(10));
/// assert_eq!(extra.share(Some(4), Duration::from_secs(9)), 0.0);
/// assert_eq!(extra.share(Some(4), Duration::from_secs(10)), 25.0);
/// assert_eq!(extra.share(None, Duration::from_secs(10)), 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ExtraRetries {
    total: f64,
    withheld_until: Duration,
}

impl ExtraRetries {
    /// For a process that no other has preceded.
    pub fn at_first_start(total: f64) -> Self {
        ExtraRetries {
            total,
            withheld_until: Duration::ZERO,
        }
    }

    /// For a process whose predecessor may have sent the whole share just before its
    /// end. Nothing is available in the first window.
    pub fn after_restart(total: f64, window: Duration) -> Self {
        ExtraRetries {
            total,
            withheld_until: window,
        }
    }

    /// Share of this entry, `uptime` after its process started. `entry_count` is the
    /// number of entries that share the retries; `None` while it is not known.
    pub fn share(&self, entry_count: Option<usize>, uptime: Duration) -> f64 {
        match entry_count {
            Some(count) if uptime >= self.withheld_until => self.total / count.max(1) as f64,
            _ => 0.0,
        }
    }
}
