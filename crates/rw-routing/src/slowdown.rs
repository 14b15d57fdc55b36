use std::time::Duration;

/// Weight of the newest observation in the mean.
const EWMA_WEIGHT: f64 = 0.3;
/// Time for which observations count; a server that was passed over as slow is
/// tried again after it.
const OBSERVATION_TTL: Duration = Duration::from_secs(3);
/// Times as slow as the middle one that a server has to be to count as slow;
/// below it lie the errors of forecasts.
const OUTLIER_THRESHOLD: f64 = 2.0;
/// Shortest forecast that is compared; below it the network's delay counts for
/// more than the engine's work.
const MIN_FORECAST: Duration = Duration::from_millis(20);

/// Times to first events at one server, compared with their forecasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventTracker {
    mean: f64,
    updated_at: Duration,
}

impl FirstEventTracker {
    /// A first event arrived, or is overdue by so much already.
    pub fn record(&mut self, forecast: Duration, observed: Duration, now: Duration) {
        let forecast = forecast.max(MIN_FORECAST);
        let ratio = observed.as_secs_f64() / forecast.as_secs_f64();
        self.mean = match self.ratio(now) {
            Some(mean) => mean + EWMA_WEIGHT * (ratio - mean),
            None => ratio,
        };
        self.updated_at = now;
    }

    /// Mean of the observed times over the forecast ones; `None` without any
    /// recent observation.
    pub fn ratio(&self, now: Duration) -> Option<f64> {
        (self.mean > 0.0 && now < self.updated_at + OBSERVATION_TTL).then_some(self.mean)
    }
}

/// The middle one of the servers' ratios, in any order.
///
/// ```
/// assert_eq!(rw_routing::median(&mut [1.5, 6.0, 1.4]), Some(1.5));
/// assert_eq!(rw_routing::median(&mut []), None);
/// ```
pub fn median(ratios: &mut [f64]) -> Option<f64> {
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied()
}

/// Times as long as forecast that a server takes beyond what the middle one
/// does; 1 unless it is clearly slow.
///
/// ```
/// assert_eq!(rw_routing::slowdown(Some(1.6), Some(1.5)), 1.0);
/// assert_eq!(rw_routing::slowdown(Some(6.0), Some(1.5)), 4.0);
/// assert_eq!(rw_routing::slowdown(None, None), 1.0);
/// ```
pub fn slowdown(ratio: Option<f64>, median: Option<f64>) -> f64 {
    let Some((ratio, median)) = ratio.zip(median) else {
        return 1.0;
    };
    let relative = ratio / median.max(1.0);
    match relative >= OUTLIER_THRESHOLD {
        true => relative,
        false => 1.0,
    }
}
