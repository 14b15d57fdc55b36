use std::time::Duration;

/// Weight of the newest observation in the mean.
const NEWEST_SHARE: f64 = 0.3;
/// Time for which observations count; a server that was passed over as slow is
/// tried again after it.
const LIFE: Duration = Duration::from_secs(3);
/// Times as slow as the middle one that a server has to be to count as slow;
/// below it lie the errors of forecasts.
const CLEARLY_SLOW: f64 = 2.0;
/// Shortest forecast that is compared; below it the network's delay counts for
/// more than the engine's work.
const SHORTEST_FORECAST: Duration = Duration::from_millis(20);

/// Times to first events at one server, compared with their forecasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEvents {
    mean: f64,
    at: Duration,
}

impl FirstEvents {
    /// A first event arrived, or is overdue by so much already.
    pub fn on_first_event(&mut self, forecast: Duration, took: Duration, now: Duration) {
        let forecast = forecast.max(SHORTEST_FORECAST);
        let ratio = took.as_secs_f64() / forecast.as_secs_f64();
        self.mean = match self.ratio(now) {
            Some(mean) => mean + NEWEST_SHARE * (ratio - mean),
            None => ratio,
        };
        self.at = now;
    }

    /// Mean of the observed times over the forecast ones; `None` without any
    /// recent observation.
    pub fn ratio(&self, now: Duration) -> Option<f64> {
        (self.mean > 0.0 && now < self.at + LIFE).then_some(self.mean)
    }
}

/// The middle one of the servers' ratios, in any order.
///
/// ```
/// assert_eq!(rw_routing::middle(&mut [1.5, 6.0, 1.4]), Some(1.5));
/// assert_eq!(rw_routing::middle(&mut []), None);
/// ```
pub fn middle(ratios: &mut [f64]) -> Option<f64> {
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied()
}

/// Times as long as forecast that a server takes beyond what the middle one
/// does; 1 unless it is clearly slow.
///
/// ```
/// assert_eq!(rw_routing::slowness(Some(1.6), Some(1.5)), 1.0);
/// assert_eq!(rw_routing::slowness(Some(6.0), Some(1.5)), 4.0);
/// assert_eq!(rw_routing::slowness(None, None), 1.0);
/// ```
pub fn slowness(ratio: Option<f64>, middle: Option<f64>) -> f64 {
    let Some((ratio, middle)) = ratio.zip(middle) else {
        return 1.0;
    };
    let relative = ratio / middle.max(1.0);
    match relative >= CLEARLY_SLOW {
        true => relative,
        false => 1.0,
    }
}
