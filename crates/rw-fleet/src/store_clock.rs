//! Estimate of the store's steady clock, and times on it.

use std::time::Duration;

use rw_protocol::StoreClockReading;

/// Difference up to which clocks of two eras count as the same.
const MAX_SKEW_MS: i64 = 1000;
/// Rate at which the store's clock and the uptime of this machine may drift apart, in parts
/// per million.
const MAX_DRIFT_PPM: u64 = 200;

/// Time of the store's steady clock within which something happened, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan {
    /// Earliest possible time.
    pub earliest_ms: u64,
    /// Latest possible time.
    pub latest_ms: u64,
}

impl TimeSpan {
    /// Span of an exact time.
    pub fn at(time_ms: u64) -> Self {
        TimeSpan {
            earliest_ms: time_ms,
            latest_ms: time_ms,
        }
    }

    /// The span on a clock that shows `shift_ms` more; `None` if that clock cannot express
    /// it.
    ///
    /// ```
    /// use rw_fleet::TimeSpan;
    /// assert_eq!(TimeSpan::at(50).shift(-20), Some(TimeSpan::at(30)));
    /// assert_eq!(TimeSpan::at(50).shift(-60), None);
    /// ```
    pub fn shift(self, shift_ms: i64) -> Option<TimeSpan> {
        Some(TimeSpan {
            earliest_ms: self.earliest_ms.checked_add_signed(shift_ms)?,
            latest_ms: self.latest_ms.checked_add_signed(shift_ms)?,
        })
    }

    /// Combines what two daemons know of when something happened. Spans that exclude each
    /// other show that one daemon learned of it late, so the earlier one counts.
    ///
    /// ```
    /// use rw_fleet::TimeSpan;
    /// let span = |earliest_ms, latest_ms| TimeSpan { earliest_ms, latest_ms };
    /// assert_eq!(span(10, 30).combine(span(20, 40)), span(20, 30));
    /// assert_eq!(span(50, 60).combine(span(10, 30)), span(10, 30));
    /// ```
    pub fn combine(self, other: TimeSpan) -> TimeSpan {
        let common = TimeSpan {
            earliest_ms: self.earliest_ms.max(other.earliest_ms),
            latest_ms: self.latest_ms.min(other.latest_ms),
        };
        if common.earliest_ms <= common.latest_ms {
            common
        } else if self.earliest_ms <= other.earliest_ms {
            self
        } else {
            other
        }
    }
}

/// What the clock of one era of the store shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Era of the store.
    pub era: u32,
    /// Bounds of the time that the clock shows.
    pub time: TimeSpan,
}

impl ClockReading {
    /// Reading that another daemon sent; `None` if it had none.
    pub(crate) fn from_message(msg: &StoreClockReading) -> Option<Self> {
        let time = TimeSpan {
            earliest_ms: msg.earliest_ms,
            latest_ms: msg.latest_ms,
        };
        (time.latest_ms > 0).then_some(ClockReading { era: msg.era, time })
    }

    /// Message that tells another daemon this reading; `None` if there is none.
    pub(crate) fn to_message(reading: Option<Self>) -> StoreClockReading {
        StoreClockReading {
            era: reading.map_or(0, |reading| reading.era),
            earliest_ms: reading.map_or(0, |reading| reading.time.earliest_ms),
            latest_ms: reading.map_or(0, |reading| reading.time.latest_ms),
        }
    }
}

/// Estimate of the store's steady clock: bounds of what it shows. A response may take any
/// time to arrive, so each reading says what the clock showed between the call and the
/// response.
///
/// ```
/// use std::time::Duration;
/// use rw_fleet::{ClockReading, StoreClock, TimeSpan};
/// let mut clock = StoreClock::default();
/// let reading = ClockReading { era: 0, time: TimeSpan::at(5000) };
/// clock.observe(reading, Duration::from_secs(1), Duration::from_secs(3));
/// let now = clock.read(Duration::from_secs(4)).unwrap();
/// assert_eq!((now.time.earliest_ms, now.time.latest_ms), (6000, 8000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreClock {
    last: Option<Offsets>,
}

// Bounds of the difference between the store's clock and the uptime of this machine, as
// they were at an uptime.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Offsets {
    era: u32,
    earliest_ms: i64,
    latest_ms: i64,
    known_at: Duration,
}

impl Offsets {
    // Bounds at a later uptime, after which both clocks may have drifted.
    fn at(self, uptime: Duration) -> Self {
        let elapsed_us = uptime.saturating_sub(self.known_at).as_micros() as u64;
        let drift_ms = (elapsed_us / 1_000_000 * MAX_DRIFT_PPM / 1000) as i64;
        if drift_ms == 0 {
            return self;
        }
        Offsets {
            era: self.era,
            earliest_ms: self.earliest_ms - drift_ms,
            latest_ms: self.latest_ms + drift_ms,
            known_at: uptime,
        }
    }
}

impl StoreClock {
    /// Takes a reading from the response to a call; both times are uptimes. Returns by how
    /// many milliseconds times of the clock have to be shifted, because the store came back
    /// with another clock.
    pub fn observe(
        &mut self,
        reading: ClockReading,
        called_at: Duration,
        received_at: Duration,
    ) -> Option<i64> {
        let new = Offsets {
            era: reading.era,
            earliest_ms: reading.time.earliest_ms as i64 - millis_up(received_at),
            latest_ms: reading.time.latest_ms as i64 - millis(called_at),
            known_at: received_at,
        };
        let Some(last) = self.last else {
            self.last = Some(new);
            return None;
        };
        let last = last.at(received_at);
        if new.era != last.era {
            if new.era < last.era {
                return None;
            }
            self.last = Some(new);
            let shift_ms = new.earliest_ms - last.earliest_ms;
            return (shift_ms.abs() > MAX_SKEW_MS).then_some(shift_ms);
        }
        // A reading behind the known bounds is from a copy that lags; one that is ahead of
        // them shows that an earlier one was.
        if new.earliest_ms > last.latest_ms {
            self.last = Some(new);
        } else if new.latest_ms >= last.earliest_ms {
            self.last = Some(Offsets {
                earliest_ms: last.earliest_ms.max(new.earliest_ms),
                latest_ms: last.latest_ms.min(new.latest_ms),
                ..last
            });
        }
        None
    }

    /// What the clock shows at an uptime; `None` before the first reading.
    pub fn read(&self, uptime: Duration) -> Option<ClockReading> {
        let last = self.last?.at(uptime);
        let at = |uptime_ms: i64, offset_ms: i64| (uptime_ms + offset_ms).max(0) as u64;
        Some(ClockReading {
            era: last.era,
            time: TimeSpan {
                earliest_ms: at(millis(uptime), last.earliest_ms),
                latest_ms: at(millis_up(uptime), last.latest_ms),
            },
        })
    }

    /// Width of the bounds at an uptime in milliseconds; `None` before the first reading.
    pub fn uncertainty_ms(&self, uptime: Duration) -> Option<u64> {
        let time = self.read(uptime)?.time;
        Some(time.latest_ms - time.earliest_ms)
    }

    /// Era of the store whose clock this is; `None` before the first reading.
    pub fn era(&self) -> Option<u32> {
        self.last.map(|last| last.era)
    }
}

fn millis(time: Duration) -> i64 {
    time.as_millis() as i64
}

// Rounded up, so that the bounds stay bounds.
fn millis_up(time: Duration) -> i64 {
    time.as_micros().div_ceil(1000) as i64
}
