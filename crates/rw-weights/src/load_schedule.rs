use std::time::Duration;

/// Delay before the host at `index` of `hosts` lets its server load new weights,
/// with `remaining` time until all of them have to be loading. A server accepts no
/// requests while it loads, so the loads are spread evenly over that time.
///
/// ```
/// use std::time::Duration;
/// let remaining = Duration::from_secs(6);
/// assert_eq!(rw_weights::load_delay(0, 3, remaining), Duration::ZERO);
/// assert_eq!(rw_weights::load_delay(2, 3, remaining), Duration::from_secs(4));
/// ```
pub fn load_delay(index: usize, hosts: usize, remaining: Duration) -> Duration {
    remaining.mul_f64(index.min(hosts) as f64 / hosts.max(1) as f64)
}
