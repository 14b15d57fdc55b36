//! Share of its usual requests that an availability zone gets while operators evacuate it.

use std::time::Duration;

/// Share of the bound after which an evacuated zone gets no more requests. The rest is for
/// entries that learn of the evacuation late, and for requests on their way.
const DRAIN_SHARE: f64 = 0.5;
/// Share of the bound in which the requests of a zone come back after an evacuation.
const RETURN_SHARE: f64 = 1.0;

/// Share of its usual requests, from 0 to 1, that a zone gets at an age of its evacuation.
/// A zone whose evacuation has no known age gets none. `bound` is the time after which it
/// must get none.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::evacuation_share;
/// let bound = Duration::from_secs(5);
/// assert_eq!(evacuation_share(Some(Duration::ZERO), bound), 1.0);
/// assert_eq!(evacuation_share(Some(Duration::from_millis(1250)), bound), 0.5);
/// assert_eq!(evacuation_share(Some(Duration::from_millis(2500)), bound), 0.0);
/// assert_eq!(evacuation_share(None, bound), 0.0);
/// ```
pub fn evacuation_share(age: Option<Duration>, bound: Duration) -> f64 {
    let drain = bound.mul_f64(DRAIN_SHARE);
    match age {
        Some(age) if age < drain => 1.0 - age.as_secs_f64() / drain.as_secs_f64(),
        _ => 0.0,
    }
}

/// Share of its usual requests that a zone gets at a time after its evacuation ended, when
/// it got the share `from`.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::return_share;
/// let bound = Duration::from_secs(5);
/// assert_eq!(return_share(0.0, Duration::from_secs(1), bound), 0.2);
/// assert_eq!(return_share(0.5, Duration::from_secs(1), bound), 0.7);
/// assert_eq!(return_share(0.0, Duration::from_secs(9), bound), 1.0);
/// ```
pub fn return_share(from: f64, since_end: Duration, bound: Duration) -> f64 {
    let ramp = bound.mul_f64(RETURN_SHARE);
    match since_end < ramp {
        true => (from + since_end.as_secs_f64() / ramp.as_secs_f64()).min(1.0),
        false => 1.0,
    }
}

/// Whether a request is among the share of a zone's requests that still go there. `rank` is
/// a fixed, evenly distributed property of the request, so that a request that is looked at
/// several times gets the same answer.
///
/// ```
/// use rw_routing::is_within_share;
/// assert!(is_within_share(u64::MAX, 1.0));
/// assert!(is_within_share(u64::MAX / 4, 0.5));
/// assert!(!is_within_share(u64::MAX / 4 * 3, 0.5));
/// assert!(!is_within_share(0, 0.0));
/// ```
pub fn is_within_share(rank: u64, share: f64) -> bool {
    share >= 1.0 || (rank as f64) < share * u64::MAX as f64
}
