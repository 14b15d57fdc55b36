use std::time::Duration;

/// Wait before the host at `place` among `hosts` has its server load new
/// weights, when `left` remains until all of them have to be loading. A server
/// takes no requests while it loads, so loads are spread evenly.
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
