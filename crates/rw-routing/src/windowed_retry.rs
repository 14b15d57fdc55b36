use std::collections::VecDeque;
use std::time::Duration;

/// Parts into which a window is divided; news of a part expire together.
const BUCKETS: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Bounds repeats within any window to a share of the requests in it plus a
/// constant. Several daemons that each keep to a share keep to it together.
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
    bucket: Duration,
    ratio: f64,
    extra_retries: f64,
    buckets: VecDeque<Bucket>,
}

impl WindowedRetryBudget {
    /// At most `ratio` repeats for each request, and `extra` more.
    pub fn new(window: Duration, ratio: f64, extra_retries: f64) -> Self {
        WindowedRetryBudget {
            bucket: (window / BUCKETS).max(Duration::from_millis(1)),
            ratio,
            extra_retries,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the constant, as when the number of daemons changes.
    pub fn set_extra_retries(&mut self, extra_retries: f64) {
        self.extra_retries = extra_retries;
    }

    fn current(&mut self, now: Duration) -> &mut Bucket {
        let index = (now.as_nanos() / self.bucket.as_nanos()) as u64;
        // One part more than the window, so that any window of it is covered.
        while self
            .buckets
            .front()
            .is_some_and(|p| p.index + u64::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|p| p.index != index) {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request's first arrival.
    pub fn on_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Takes one repeat, if the window has any left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.current(now);
        // Requests of one part less than the window, repeats of one more: what
        // is counted elsewhere may start at any moment.
        let newest = self.buckets.back().map_or(0, |p| p.index);
        let inside = self
            .buckets
            .iter()
            .filter(|p| p.index + u64::from(BUCKETS) > newest);
        let requests: u32 = inside.map(|p| p.requests).sum();
        let retries: u32 = self.buckets.iter().map(|p| p.retries).sum();
        let limit = f64::from(requests) * self.ratio + self.extra_retries;
        let is_available = f64::from(retries) + 1.0 <= limit;
        if is_available {
            self.current(now).retries += 1;
        }
        is_available
    }
}
