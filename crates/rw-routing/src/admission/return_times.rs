use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the started requests that callers who return may use.
const RETURN_SHARE: f64 = 0.25;
/// Lowest pace at which callers are told to return.
const MIN_RETURNS_PER_S: f64 = 1.0;
/// Earliest time to return. Bursts last 3 s and longer, so that an earlier return is
/// refused again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Spread of the times of callers that would be told to return later than they do, as a
/// share of the latest time.
const LATE_SPREAD: f64 = 0.4;

/// Times at which refused callers were told to return, by rank.
#[derive(Debug, Default)]
pub(super) struct ReturnTimes {
    // Time of the next return.
    next: BTreeMap<u32, Duration>,
}

impl ReturnTimes {
    /// Time after which a refused caller should return, at most `max`. Callers of more
    /// urgent ranks return first. `spread` is random in 0..1.
    pub(super) fn assign(
        &mut self,
        rank: u32,
        starts_per_s: f64,
        max: Duration,
        spread: f64,
        now: Duration,
    ) -> Duration {
        let interval_s = 1.0 / (starts_per_s * RETURN_SHARE).max(MIN_RETURNS_PER_S);
        let earliest = now + MIN_RETRY_AFTER.min(max.mul_f64(1.0 - LATE_SPREAD));
        let urgent = self.next.range(..=rank).map(|(_, at)| *at).max();
        let start = urgent.unwrap_or_default().max(earliest);
        let delay = start.saturating_sub(now) + Duration::from_secs_f64(interval_s * spread);
        // The times up to the latest one are taken; the backlog shrinks while none is added.
        if delay > max {
            return max.mul_f64(1.0 - LATE_SPREAD * spread);
        }
        self.next
            .insert(rank, start + Duration::from_secs_f64(interval_s));
        delay
    }
}
