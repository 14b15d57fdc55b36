use std::time::Duration;

const NANOS_PER_MILLI: u128 = 1_000_000;

/// Rounds a delay up to whole milliseconds: one that is cut to 0 reads as no delay at all.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(rw_fleet::whole_millis(Duration::from_micros(1200)), 2);
/// assert_eq!(rw_fleet::whole_millis(Duration::ZERO), 0);
/// ```
pub fn whole_millis(delay: Duration) -> u64 {
    let millis = delay.as_nanos().div_ceil(NANOS_PER_MILLI);
    u64::try_from(millis).unwrap_or(u64::MAX)
}
