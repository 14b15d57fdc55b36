use std::time::Duration;

/// Count in which older samples weigh exponentially less.
#[derive(Clone, Debug)]
pub(super) struct DecayingCount {
    value: f64,
    updated_at: Duration,
    window: Duration,
}

impl DecayingCount {
    pub(super) fn new(window: Duration) -> Self {
        DecayingCount {
            value: 0.0,
            updated_at: Duration::ZERO,
            window,
        }
    }

    pub(super) fn add(&mut self, now: Duration) {
        self.value = self.value(now) + 1.0;
        self.updated_at = now;
    }

    pub(super) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.value * (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    pub(super) fn per_s(&self, now: Duration) -> f64 {
        self.value(now) / self.window.as_secs_f64()
    }

    pub(super) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.updated_at)
    }
}

/// Running estimate of a quantile.
#[derive(Clone, Debug, Default)]
pub(super) struct QuantileEstimate(f64);

impl QuantileEstimate {
    /// Adds a sample; returns whether it lies in the share `above` of the largest ones.
    pub(super) fn add(&mut self, sample: f64, above: f64) -> bool {
        if self.0 == 0.0 {
            self.0 = sample;
            return false;
        }
        let is_above = sample > self.0;
        // At the quantile, steps up and down balance.
        let step = self.0 * STEP;
        self.0 += match is_above {
            true => step * (1.0 - above),
            false => -step * above,
        };
        is_above
    }
}

/// Change of a quantile estimate by one sample, as a share of the estimate.
const STEP: f64 = 0.05;
