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

/// Times as long as forecast that a server takes beyond what all of them do;
/// 1 unless it is clearly slow. `all` are the ratios of all servers.
///
/// ```
/// assert_eq!(rw_routing::slowness(Some(1.6), &[1.5, 1.6, 1.4]), 1.0);
/// assert_eq!(rw_routing::slowness(Some(6.0), &[1.5, 6.0, 1.4]), 4.0);
/// assert_eq!(rw_routing::slowness(None, &[]), 1.0);
/// ```
pub fn slowness(ratio: Option<f64>, all: &[f64]) -> f64 {
    let mut all = all.to_vec();
    all.sort_by(f64::total_cmp);
    let Some((ratio, middle)) = ratio.zip(all.get(all.len() / 2)) else {
        return 1.0;
    };
    let relative = ratio / middle.max(1.0);
    match relative >= CLEARLY_SLOW {
        true => relative,
        false => 1.0,
    }
}
