use std::collections::VecDeque;
use std::time::Duration;

/// Requests per window of an entry without a position among the others.
const UNLISTED_QUOTA: u32 = 1;

/// Requests that one entry may send to a cold server in 1.25 seconds. The server tolerates
/// `requests_per_s` times `overrun` from all entries together. `position` is the place of
/// this entry among `entries`. It is `None` if the entry is not among them, or has started
/// within the last [`ColdShare::WINDOW`] and does not know what it sent before.
///
/// ```
/// use rw_routing::cold_quota;
/// let quotas: Vec<u32> = (0..13).map(|at| cold_quota(32.0, 1.5, Some(at), 13)).collect();
/// assert_eq!(quotas.iter().sum::<u32>(), 48);
/// assert_eq!((quotas[0], quotas[12]), (4, 3));
/// assert_eq!(cold_quota(32.0, 1.5, None, 13), 1);
/// ```
pub fn cold_quota(
    requests_per_s: f64,
    overrun: f64,
    position: Option<usize>,
    entries: usize,
) -> u32 {
    let total = (requests_per_s * overrun.max(1.0)) as usize;
    let Some(position) = position else {
        return UNLISTED_QUOTA;
    };
    let entries = entries.max(1);
    (total / entries + usize::from(position < total % entries)) as u32
}

/// Requests that one entry has sent to a server of which it may send a fixed share while the
/// server is cold. The share needs no message, so that it holds between entries that cannot
/// reach each other.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::ColdShare;
/// let (mut share, ms) = (ColdShare::default(), Duration::from_millis);
/// share.record(ms(0));
/// assert!(share.time_to_send(2, ms(100)).is_zero());
/// share.record(ms(100));
/// assert_eq!(share.time_to_send(2, ms(200)), ms(1050));
/// assert!(share.time_to_send(2, ms(1250)).is_zero());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: VecDeque<Duration>,
}

impl ColdShare {
    /// Window in which an entry sends its quota to a cold server. What exceeds a second is
    /// for requests that take longer than others on the way.
    pub const WINDOW: Duration = Duration::from_millis(1250);

    /// Records a request, also one to a server that is not cold yet.
    pub fn record(&mut self, now: Duration) {
        while self
            .sent
            .front()
            .is_some_and(|at| *at + Self::WINDOW <= now)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Time until another request may be sent to the server while it is cold.
    pub fn time_to_send(&self, quota: u32, now: Duration) -> Duration {
        let Some(oldest) = self.sent.len().checked_sub(quota as usize) else {
            return Duration::ZERO;
        };
        let freed_at = self.sent.get(oldest).map_or(now, |at| *at);
        (freed_at + Self::WINDOW).saturating_sub(now)
    }
}
