use std::time::Duration;

/// Weight of the newest observation in the moving average.
const EWMA_WEIGHT: f64 = 0.3;
/// How long observations count. A server that was avoided as slow gets requests
/// again afterwards.
const OBSERVATION_TTL: Duration = Duration::from_secs(3);
/// Factor over the median from which a server counts as slow; smaller deviations
/// are within the forecast error.
const OUTLIER_THRESHOLD: f64 = 2.0;
/// Lower bound of the forecast used in comparisons; below it, network latency
/// dominates the engine's processing time.
const MIN_FORECAST: Duration = Duration::from_millis(20);

/// Compares the times to first events of one server with their forecasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventTracker {
    mean: f64,
    updated_at: Duration,
}

impl FirstEventTracker {
    /// Records the time to a first event, or the time waited so far for one that
    /// is overdue.
    pub fn record(&mut self, forecast: Duration, observed: Duration, now: Duration) {
        let forecast = forecast.max(MIN_FORECAST);
        let ratio = observed.as_secs_f64() / forecast.as_secs_f64();
        self.mean = match self.ratio(now) {
            Some(mean) => mean + EWMA_WEIGHT * (ratio - mean),
            None => ratio,
        };
        self.updated_at = now;
    }

    /// Moving average of observed over forecast times; `None` without recent
    /// observations.
    pub fn ratio(&self, now: Duration) -> Option<f64> {
        (self.mean > 0.0 && now < self.updated_at + OBSERVATION_TTL).then_some(self.mean)
    }
}

/// Median of the servers' ratios, which need not be sorted.
///
/// ```
/// assert_eq!(rw_routing::median(&mut [1.5, 6.0, 1.4]), Some(1.5));
/// assert_eq!(rw_routing::median(&mut []), None);
/// ```
pub fn median(ratios: &mut [f64]) -> Option<f64> {
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied()
}

/// Slowdown factor of a server relative to the median; 1 below the outlier
/// threshold.
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
