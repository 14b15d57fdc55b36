use std::time::Duration;

/// Share of the drain timeout during which a leaving server still gets requests that
/// no other server can take. The rest of it is for requests on their way.
const LAST_RESORT_SHARE: f64 = 0.5;

/// Which requests a server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAdmission {
    /// Any request.
    Open,
    /// Only requests that no other server can take.
    LastResort,
    /// None.
    Closed,
}

/// What a server said about itself in its answers: that it is leaving, or that it
/// wants no requests for some time. Holds for one lifetime of the server.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{ServerAdmission, ServerNotices};
/// let (mut notices, drain) = (ServerNotices::default(), Duration::from_secs(2));
/// notices.on_retry_after(Duration::from_secs(1), Duration::ZERO);
/// let at = |ms| notices.admission(drain, Duration::from_millis(ms));
/// assert_eq!(at(999), ServerAdmission::Closed);
/// assert_eq!(at(1000), ServerAdmission::Open);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerNotices {
    leaving_since: Option<Duration>,
    paused_until: Duration,
}

impl ServerNotices {
    /// Records that the server is leaving. Later repetitions change nothing.
    pub fn on_leaving(&mut self, now: Duration) {
        self.leaving_since.get_or_insert(now);
    }

    /// Records that the server wants no requests for some time.
    pub fn on_retry_after(&mut self, delay: Duration, now: Duration) {
        self.paused_until = self.paused_until.max(now.saturating_add(delay));
    }

    /// Which requests the server may get now. `drain` is the time after which a
    /// leaving server must not get any.
    pub fn admission(&self, drain: Duration, now: Duration) -> ServerAdmission {
        let is_drained = |since| now >= since + drain.mul_f64(LAST_RESORT_SHARE);
        match self.leaving_since {
            _ if now < self.paused_until => ServerAdmission::Closed,
            None => ServerAdmission::Open,
            Some(since) if is_drained(since) => ServerAdmission::Closed,
            Some(_) => ServerAdmission::LastResort,
        }
    }

    /// Time until the server wants requests again; zero if it does now, `None` if it
    /// is leaving.
    pub fn remaining_pause(&self, now: Duration) -> Option<Duration> {
        match self.leaving_since {
            Some(_) => None,
            None => Some(self.paused_until.saturating_sub(now)),
        }
    }

    /// When the server first said that it is leaving.
    pub fn leaving_since(&self) -> Option<Duration> {
        self.leaving_since
    }
}
