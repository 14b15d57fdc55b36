//! Weights that an operator requested, and when.

use std::time::Duration;

use crate::{Bounds, StoreClock, TimeSpan};

/// Time before the rollout deadline from which callers' requests require new
/// weights: a request may wait that long in a server's queue before it starts.
pub(crate) const ENFORCEMENT_MARGIN: Duration = Duration::from_millis(1300);
/// Requested versions kept per model; older ones have long been rolled out.
pub(crate) const MAX_REQUESTED_VERSIONS: usize = 8;

/// Weights that an operator requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedWeights {
    /// Requested version.
    pub version: u64,
    /// When the version was requested, on the store's steady clock; `None` if that is not
    /// known.
    pub requested: Option<TimeSpan>,
    /// Uptime of the machine when this daemon started, from which the settling time counts.
    pub started_at: Duration,
}

impl RequestedWeights {
    /// Greatest possible time since the request; `None` if it is not known, or was made on
    /// another clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_fleet::{ClockReading, RequestedWeights, StoreClock, TimeSpan};
    /// let mut clock = StoreClock::default();
    /// let reading = ClockReading { era: 0, time: TimeSpan::at(70_000) };
    /// clock.observe(reading, Duration::from_secs(1), Duration::from_secs(1));
    /// let requested = RequestedWeights {
    ///     version: 2,
    ///     requested: Some(TimeSpan { earliest_ms: 10_000, latest_ms: 11_000 }),
    ///     started_at: Duration::ZERO,
    /// };
    /// let age = requested.age(&clock, Duration::from_secs(5));
    /// assert_eq!(age, Some(Duration::from_secs(64)));
    /// ```
    pub fn age(&self, clock: &StoreClock, uptime: Duration) -> Option<Duration> {
        let now_ms = clock.read(uptime)?.time.latest_ms;
        let age_ms = now_ms.checked_sub(self.requested?.earliest_ms)?;
        Some(Duration::from_millis(age_ms))
    }

    /// Whether callers' requests require this version: its rollout deadline, less the
    /// enforcement margin, has passed. Without a known age, the deadline is the end of
    /// the daemon's settling time.
    pub(crate) fn is_enforced(
        &self,
        bounds: &Bounds,
        clock: &StoreClock,
        uptime: Duration,
    ) -> bool {
        match self.age(clock, uptime) {
            Some(age) => age >= enforced_after(bounds),
            None => {
                let deadline = bounds.rollout_deadline.min(bounds.settling);
                let running = uptime.saturating_sub(self.started_at);
                running >= deadline.saturating_sub(ENFORCEMENT_MARGIN)
            }
        }
    }
}

/// Age of requested weights from which callers' requests require them.
pub(crate) fn enforced_after(bounds: &Bounds) -> Duration {
    bounds.rollout_deadline.saturating_sub(ENFORCEMENT_MARGIN)
}

/// Adds a requested version that is newer than all others.
pub(crate) fn push_requested(versions: &mut Vec<RequestedWeights>, requested: RequestedWeights) {
    versions.push(requested);
    if versions.len() > MAX_REQUESTED_VERSIONS {
        versions.remove(0);
    }
}

/// Merges what another daemon or the record knows of when a version was requested, `None`
/// if it knows only that. A version newer than the last one is ignored: it arrives with
/// its own row.
pub(crate) fn merge_time(
    versions: &mut Vec<RequestedWeights>,
    version: u64,
    time: Option<TimeSpan>,
) {
    let Some(at) = versions.iter().position(|known| known.version >= version) else {
        return;
    };
    let known = versions[at];
    if known.version == version {
        versions[at].requested = match (known.requested, time) {
            (Some(known), Some(time)) => Some(known.combine(time)),
            (known, time) => known.or(time),
        };
    } else if versions.len() < MAX_REQUESTED_VERSIONS {
        let requested = RequestedWeights {
            version,
            requested: time,
            ..known
        };
        versions.insert(at, requested);
    }
}
