use std::cmp::Ordering;
use std::time::Duration;

use rw_protocol::Name;

/// One lifetime of a backend server, which may start again under its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerLifetime {
    /// Identity of the server.
    pub id: Name,
    /// When it started, in Unix milliseconds by its own clock.
    pub started_ms: u64,
}

/// What a response said about the limit of its server. Times are on the clock of the
/// entry that holds the observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests per second from all entries together; `None` for no limit.
    pub limit: Option<f64>,
    /// When the request was sent; the server responded later.
    pub sent_at: Duration,
    /// When the head of the response arrived; the server responded earlier.
    pub received_at: Duration,
}

impl LimitObservation {
    /// Combines two observations of a server. Responses overtake each other: one is later
    /// than the other only if its request was sent after the other had arrived. Of two
    /// whose order is open, the lower limit holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_routing::LimitObservation;
    /// let observation = |limit, sent_ms, received_ms| LimitObservation {
    ///     limit,
    ///     sent_at: Duration::from_millis(sent_ms),
    ///     received_at: Duration::from_millis(received_ms),
    /// };
    /// let named = observation(Some(2.0), 0, 100);
    /// assert_eq!(named.merge(observation(None, 50, 150)).limit, Some(2.0));
    /// assert_eq!(named.merge(observation(None, 100, 150)).limit, None);
    /// ```
    pub fn merge(self, other: LimitObservation) -> LimitObservation {
        if self.limit == other.limit {
            return LimitObservation {
                limit: self.limit,
                sent_at: self.sent_at.max(other.sent_at),
                received_at: self.received_at.max(other.received_at),
            };
        }
        if other.sent_at >= self.received_at {
            return other;
        }
        if self.sent_at >= other.received_at {
            return self;
        }
        let value = |o: &LimitObservation| o.limit.unwrap_or(f64::INFINITY);
        match value(&self).total_cmp(&value(&other)) {
            Ordering::Greater => other,
            _ => self,
        }
    }
}
