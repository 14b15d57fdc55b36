/// Capacity of the bucket, which is full at the start.
const BURST_RETRIES: f64 = 10.0;

/// Token bucket that limits retries to a share of first attempts, which prevents
/// retry storms.
///
/// ```
/// let mut budget = rw_routing::RetryBudget::new(0.5);
/// for _ in 0..10 { assert!(budget.take()); }
/// assert!(!budget.take());
/// budget.on_first_attempt();
/// budget.on_first_attempt();
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget in which each first attempt earns `ratio` retries.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio,
            tokens: BURST_RETRIES,
        }
    }

    /// Records a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(BURST_RETRIES);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn take(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
