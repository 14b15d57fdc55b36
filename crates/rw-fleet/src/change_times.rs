//! When the changes were made that a table's feed delivers, on the store's steady clock.

use std::time::Duration;

use rw_platform::Error;

use crate::TimeSpan;

/// Time after which a call has reached the store, also over a new connection.
pub const ARRIVAL_TIME: Duration = Duration::from_secs(1);
/// Delay up to which a timer counts as on time; one that is later shows that this daemon
/// did not run.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Time after which a call that is refused has not reached the store.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Number of calls in succession that fail before failures of connections count as an
/// outage.
const OUTAGE_FAILURES: u32 = 4;
/// Longest pause between two calls in succession; after a longer one, this daemon did not
/// run.
const MAX_CALL_PAUSE: Duration = Duration::from_millis(2500);

/// When a call to the store was made and ended.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// Uptime at the call.
    pub called_at: Duration,
    /// Uptime at its end.
    pub ended_at: Duration,
    /// Time after which the call is given up.
    pub limit: Duration,
}

/// Whether a call waits at the store: it has had no response at `checked_at`, when a timer
/// of [`ARRIVAL_TIME`] ended. A daemon that did not run meanwhile may have sent it late.
///
/// ```
/// use std::time::Duration;
/// let check = |ms| rw_fleet::waits_at_store(Duration::ZERO, Duration::from_millis(ms));
/// assert!(check(301) && !check(2000));
/// ```
pub fn waits_at_store(called_at: Duration, checked_at: Duration) -> bool {
    checked_at.saturating_sub(called_at) < ARRIVAL_TIME + MAX_TIMER_DELAY
}

/// When the changes of a table were made that its feed delivers.
///
/// ```
/// use rw_fleet::{ChangeTimes, TimeSpan};
/// let mut times = ChangeTimes::default();
/// times.on_changes(Some(1000));
/// let was_waiting = times.of_changes(9000, true, None);
/// assert_eq!(was_waiting, Some(TimeSpan::at(9000)));
/// let was_late = times.of_changes(9000, false, None);
/// assert_eq!(was_late, Some(TimeSpan { earliest_ms: 1000, latest_ms: 9000 }));
/// ```
#[derive(Debug, Default)]
pub struct ChangeTimes {
    // Time of the store's clock up to which all changes have been delivered.
    covered_until_ms: Option<u64>,
    // Number of calls that have failed in succession, and uptime at the end of the last.
    failures: u32,
    failed_at: Duration,
}

impl ChangeTimes {
    /// When changes were made that a response delivers; `None` if that is not known.
    /// `clock_ms` is the time of the response, `outage_end_ms` that of the last call in an
    /// outage. A call that was waiting at the store is answered as soon as there are
    /// changes.
    pub fn of_changes(
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

    /// All changes up to a time of the store's clock have been delivered.
    pub fn on_changes(&mut self, clock_ms: Option<u64>) {
        *self = ChangeTimes {
            covered_until_ms: clock_ms,
            ..ChangeTimes::default()
        };
    }

    /// A complete table was read. The read may lag by as much as `max_lag`, so changes of
    /// that time may follow.
    pub fn on_table_read(&mut self, clock_ms: Option<u64>, max_lag: Duration) {
        let lag_ms = max_lag.as_millis() as u64;
        let covered = clock_ms.map(|clock_ms| clock_ms.saturating_sub(lag_ms));
        self.covered_until_ms = self.covered_until_ms.max(covered);
        self.failures = 0;
    }

    /// Whether the last call failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// A call failed. Returns whether it shows that the store was away, and acknowledged
    /// nothing: the store refused it, or one more call in succession hung or ended with
    /// its connection. One alone may hang on a silent connection.
    pub fn on_failure(&mut self, err: &Error, call: CallTimes) -> bool {
        let pause = call.called_at.saturating_sub(self.failed_at);
        let took = call.ended_at.saturating_sub(call.called_at);
        let did_not_run = took >= call.limit + MAX_TIMER_DELAY;
        if pause > MAX_CALL_PAUSE || did_not_run {
            self.failures = 0;
        }
        self.failures += 1;
        self.failed_at = call.ended_at;
        let is_refused = matches!(err, Error::Refused(_));
        match err {
            Error::Limited(_) => false,
            _ if is_refused && took < CONNECT_TIME => true,
            // A connection may not open because of lost packets.
            _ if is_refused || took >= call.limit => self.failures > 1 && !did_not_run,
            _ => self.failures >= OUTAGE_FAILURES,
        }
    }
}
