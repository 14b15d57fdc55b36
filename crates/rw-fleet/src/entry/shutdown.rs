use std::time::Duration;

use tokio::time::Instant;

/// Time from the stop signal until no new connections are accepted: the load
/// balancer polls readiness once a second and needs two failures.
const UNREADY_DELAY: Duration = Duration::from_millis(2600);
/// Maximum share of the grace period that passes until no new connections are accepted.
const MAX_UNREADY_SHARE: f64 = 0.65;
/// Part of the grace period reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time to send the answers to requests that the end of the process interrupts.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// When the stages of an entry's shutdown begin.
///
/// ```
/// # use std::time::Duration;
/// # use tokio::time::Instant;
/// let now = Instant::now();
/// let stages = rw_fleet::Stages::new(now, Duration::from_secs(8));
/// assert_eq!(stages.port_closes - now, Duration::from_millis(2600));
/// assert!(stages.requests_end < stages.exit && stages.exit - now < Duration::from_secs(8));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stages {
    /// No new connections are accepted, and no requests that may take too long.
    pub port_closes: Instant,
    /// Requests that are not answered get a refusal or a failure.
    pub requests_end: Instant,
    /// The process ends.
    pub exit: Instant,
}

impl Stages {
    /// Stages after a signal to stop, with the time from that signal until the process is
    /// killed.
    pub fn new(signalled: Instant, grace: Duration) -> Self {
        let exit = grace.saturating_sub(EXIT_MARGIN);
        Stages {
            port_closes: signalled + UNREADY_DELAY.min(grace.mul_f64(MAX_UNREADY_SHARE)),
            requests_end: signalled + exit.saturating_sub(LAST_ANSWERS_TIME),
            exit: signalled + exit,
        }
    }
}

/// Progress of an entry's shutdown, as its connections and requests see it. The channels
/// carry no messages; each is closed when its stage begins.
#[derive(Clone)]
pub struct Shutdown {
    /// Closed when the caller port closes.
    pub port_closed: flume::Receiver<()>,
    /// Closed when requests have to end.
    pub requests_end: flume::Receiver<()>,
}
