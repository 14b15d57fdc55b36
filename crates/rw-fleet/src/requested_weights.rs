//! Weights that an operator requested, and when.

use std::time::Duration;

use crate::Bounds;

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
    /// Uptime of the machine when the age was observed, or when this daemon started
    /// if the age is not known.
    pub observed_at: Duration,
    /// Time since the request when it was observed; `None` if it was made at an
    /// unknown time before this daemon started. It may exceed the uptime.
    pub observed_age: Option<Duration>,
}

impl RequestedWeights {
    /// Time since the request; `None` if it is not known.
    ///
    /// ```
    /// use std::time::Duration;
    /// let requested = rw_fleet::RequestedWeights {
    ///     version: 2,
    ///     observed_at: Duration::from_secs(1),
    ///     observed_age: Some(Duration::from_secs(60)),
    /// };
    /// let age = requested.age(Duration::from_secs(5));
    /// assert_eq!(age, Some(Duration::from_secs(64)));
    /// ```
    pub fn age(&self, uptime: Duration) -> Option<Duration> {
        self.observed_age
            .map(|age| age + uptime.saturating_sub(self.observed_at))
    }

    /// Whether callers' requests require this version: its rollout deadline, less the
    /// enforcement margin, has passed. Without a known age, the deadline is the end of
    /// the daemon's settling time.
    pub(crate) fn is_enforced(&self, bounds: &Bounds, uptime: Duration) -> bool {
        match self.age(uptime) {
            Some(age) => age >= enforced_after(bounds),
            None => {
                let deadline = bounds.rollout_deadline.min(bounds.settling);
                self.time_since_observed(uptime) >= deadline.saturating_sub(ENFORCEMENT_MARGIN)
            }
        }
    }

    fn time_since_observed(&self, uptime: Duration) -> Duration {
        uptime.saturating_sub(self.observed_at)
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

/// Merges the age of a version. The oldest age wins, since a daemon may have learned
/// of the request late. A version newer than the last one is ignored: it arrives with
/// its own row.
pub(crate) fn merge_age(
    versions: &mut Vec<RequestedWeights>,
    version: u64,
    age: Duration,
    uptime: Duration,
) {
    let requested = RequestedWeights {
        version,
        observed_at: uptime,
        observed_age: Some(age),
    };
    let Some(at) = versions.iter().position(|known| known.version >= version) else {
        return;
    };
    let known = versions[at];
    if known.version > version {
        if versions.len() < MAX_REQUESTED_VERSIONS {
            versions.insert(at, requested);
        }
    } else if known.age(uptime).is_none_or(|known| known < age) {
        versions[at] = requested;
    }
}
