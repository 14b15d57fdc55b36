//! What a backend server's report of its own load says about the next request there.

use std::time::Duration;

/// Time in which what a report says about the pace of a server loses most of its meaning.
/// The pace of a shared machine changes many times a second.
const PACE_DECAY: Duration = Duration::from_millis(150);
/// The same for the requests that wait at a server.
const QUEUE_DECAY: Duration = Duration::from_millis(400);
/// Meaning below which a report counts for nothing. Otherwise its last trace would decide
/// between servers that are equal in all else, and keep requests from one of them.
const MIN_MEANING: f64 = 0.05;
/// Bounds of the pace, so that one report neither rules a server out nor draws all requests.
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 4.0;

/// Load of a server as it reported it in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadNotice {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that run at most.
    pub slots: u32,
    /// Time that work takes at this moment, relative to the usual; 1 if not reported.
    pub pace: f64,
}

/// Forecast for the next request at a server, from its last report. The default is that of
/// a server without a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerOutlook {
    /// Factor by which the server takes longer than usual.
    pub pace: f64,
    /// Requests there that no entry has told of.
    pub unknown_requests: f64,
}

impl Default for ServerOutlook {
    fn default() -> Self {
        ServerOutlook {
            pace: 1.0,
            unknown_requests: 0.0,
        }
    }
}

impl ServerOutlook {
    /// Forecast from a report of an age. `known` is the number of requests that the entries
    /// knew of at the server when it reported.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_routing::{LoadNotice, ServerOutlook};
    /// let notice = LoadNotice { running: 4, waiting: 2, slots: 4, pace: 2.5 };
    /// let fresh = ServerOutlook::new(&notice, 5, Duration::ZERO);
    /// assert_eq!((fresh.pace, fresh.unknown_requests), (2.5, 1.0));
    /// let stale = ServerOutlook::new(&notice, 5, Duration::from_secs(9));
    /// assert_eq!(stale, ServerOutlook::default());
    /// ```
    pub fn new(notice: &LoadNotice, known: u32, age: Duration) -> Self {
        let kept = |decay: Duration| {
            let meaning = (-age.as_secs_f64() / decay.as_secs_f64()).exp();
            if meaning < MIN_MEANING {
                0.0
            } else {
                meaning
            }
        };
        let pace = notice.pace.clamp(MIN_PACE, MAX_PACE);
        let present = notice.running.saturating_add(notice.waiting);
        ServerOutlook {
            pace: 1.0 + (pace - 1.0) * kept(PACE_DECAY),
            unknown_requests: f64::from(present.saturating_sub(known)) * kept(QUEUE_DECAY),
        }
    }

    /// Expected wait at a server without an engine profile, in units of a usual request.
    ///
    /// ```
    /// use rw_routing::ServerOutlook;
    /// let outlook = ServerOutlook { pace: 2.0, unknown_requests: 1.0 };
    /// assert_eq!(outlook.expected_wait(2, 4), 2.0);
    /// assert_eq!(ServerOutlook::default().expected_wait(3, 4), 1.0);
    /// ```
    pub fn expected_wait(&self, running: u32, slots: u32) -> f64 {
        let requests = f64::from(running) + self.unknown_requests + 1.0;
        self.pace * requests / f64::from(slots.max(1))
    }
}
