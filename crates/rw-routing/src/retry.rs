/// Retries that a burst may use before first tries earn more.
const BURST: f64 = 10.0;

/// Bounds retries to a share of first tries, so that they cannot pile up.
///
/// ```
/// let mut budget = rw_routing::RetryBudget::new(0.5);
/// for _ in 0..10 { assert!(budget.take()); }
/// assert!(!budget.take());
/// budget.on_first_try();
/// budget.on_first_try();
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// `ratio` retries for each first try.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio,
            tokens: BURST,
        }
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(BURST);
    }

    /// Takes one retry, if any is left.
    pub fn take(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
