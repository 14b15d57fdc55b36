//! When the changes were made that a table's feed delivers, on the store's steady clock.

use std::time::Duration;

use rw_platform::Error;

use crate::TimeSpan;

/// Time after which a call has reached the store.
pub(crate) const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// When a call for changes was made and ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollTimes {
    /// Uptime at the call.
    pub called_at: Duration,
    /// Uptime at its end.
    pub ended_at: Duration,
}

/// Bounds of when the next changes of a table are made that the feed delivers.
#[derive(Debug, Default)]
pub(crate) struct ChangeTimes {
    // Time of the store's clock up to which all changes have been delivered.
    covered_until_ms: Option<u64>,
    // Uptime at the last call in an outage, in which the store acknowledges nothing.
    outage_until: Option<Duration>,
    has_failed: bool,
}

impl ChangeTimes {
    /// When changes were made that a response delivers; `None` if that is not known.
    /// `clock_ms` is the time of the response, `outage_end_ms` that of the last call in an
    /// outage. A call that was waiting at the store is answered as soon as there are
    /// changes.
    pub(crate) fn of_changes(
        &self,
        clock_ms: u64,
        was_waiting: bool,
        outage_end_ms: Option<u64>,
    ) -> Option<TimeSpan> {
        let earliest_ms = match was_waiting {
            true => Some(clock_ms),
            false => self.covered_until_ms.max(outage_end_ms),
        };
        Some(TimeSpan {
            earliest_ms: earliest_ms?.min(clock_ms),
            latest_ms: clock_ms,
        })
    }

    /// Uptime at the last call in an outage since the last response.
    pub(crate) fn outage_until(&self) -> Option<Duration> {
        self.outage_until
    }

    /// All changes up to a time of the store's clock have been delivered.
    pub(crate) fn on_changes(&mut self, clock_ms: Option<u64>) {
        *self = ChangeTimes {
            covered_until_ms: clock_ms,
            ..ChangeTimes::default()
        };
    }

    /// A complete table was read. The read may lag by as much as `max_lag`, so changes of
    /// that time may follow.
    pub(crate) fn on_table_read(&mut self, clock_ms: Option<u64>, max_lag: Duration) {
        let lag_ms = max_lag.as_millis() as u64;
        let covered = clock_ms.map(|clock_ms| clock_ms.saturating_sub(lag_ms));
        self.covered_until_ms = self.covered_until_ms.max(covered);
        self.has_failed = false;
    }

    /// A call failed. The store is away if it refuses the call, or leaves two calls in
    /// succession without a response; one may hang on a silent connection.
    pub(crate) fn on_failure(&mut self, err: &Error, times: PollTimes) {
        let hung = times.ended_at.saturating_sub(times.called_at) >= ARRIVAL_TIME;
        let is_away = match err {
            Error::Refused(_) => true,
            _ => hung && self.has_failed,
        };
        if is_away {
            self.outage_until = Some(times.called_at);
        }
        self.has_failed = true;
    }
}
