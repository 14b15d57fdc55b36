use std::collections::VecDeque;
use std::time::Duration;

/// Parts into which a window is divided; news of a part expire together.
const PARTS: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Bounds repeats within any window to a share of the requests in it plus a
/// constant. Several daemons that each keep to a share keep to it together.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::WindowBudget;
/// let mut budget = WindowBudget::new(Duration::from_secs(10), 0.5, 1.0);
/// let now = Duration::from_secs(100);
/// assert!(budget.take(now));
/// assert!(!budget.take(now));
/// budget.on_request(now);
/// budget.on_request(now);
/// assert!(budget.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct WindowBudget {
    part: Duration,
    ratio: f64,
    extra: f64,
    parts: VecDeque<Part>,
}

impl WindowBudget {
    /// At most `ratio` repeats for each request, and `extra` more.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        WindowBudget {
            part: (window / PARTS).max(Duration::from_millis(1)),
            ratio,
            extra,
            parts: VecDeque::new(),
        }
    }

    /// Changes the constant, as when the number of daemons changes.
    pub fn set_extra(&mut self, extra: f64) {
        self.extra = extra;
    }

    fn current(&mut self, now: Duration) -> &mut Part {
        let index = (now.as_nanos() / self.part.as_nanos()) as u64;
        // One part more than the window, so that any window of it is covered.
        while self
            .parts
            .front()
            .is_some_and(|p| p.index + u64::from(PARTS) < index)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.index != index) {
            self.parts.push_back(Part {
                index,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
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
        let newest = self.parts.back().map_or(0, |p| p.index);
        let inside = self
            .parts
            .iter()
            .filter(|p| p.index + u64::from(PARTS) > newest);
        let requests: u32 = inside.map(|p| p.requests).sum();
        let repeats: u32 = self.parts.iter().map(|p| p.repeats).sum();
        let limit = f64::from(requests) * self.ratio + self.extra;
        let left = f64::from(repeats) + 1.0 <= limit;
        if left {
            self.current(now).repeats += 1;
        }
        left
    }
}
