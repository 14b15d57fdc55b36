use std::time::Duration;

/// Wait before the host at `place` among `hosts` has its server load new
/// weights, when `left` remains until all of them have to be loading. A server
/// takes no requests while it loads, so loads are spread evenly.
///
/// ```
/// use std::time::Duration;
/// let left = Duration::from_secs(6);
/// assert_eq!(rw_weights::load_wait(0, 3, left), Duration::ZERO);
/// assert_eq!(rw_weights::load_wait(2, 3, left), Duration::from_secs(4));
/// ```
pub fn load_wait(place: usize, hosts: usize, left: Duration) -> Duration {
    left.mul_f64(place.min(hosts) as f64 / hosts.max(1) as f64)
}
