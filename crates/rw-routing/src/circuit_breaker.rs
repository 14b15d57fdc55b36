use std::time::Duration;

const FAILURE_THRESHOLD: u32 = 3;
/// Time after its last failure for which a server's failures are reported to
/// other entries and added to theirs. A request to an unresponsive server times
/// out after half of this.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// How long a success of this entry outweighs failures that only other entries
/// see: a few times the usual response time.
const SUCCESS_TTL: Duration = Duration::from_secs(1);
const MIN_OPEN_DURATION: Duration = Duration::from_millis(500);
const MAX_OPEN_DURATION: Duration = Duration::from_secs(8);
/// Time over which a recovered server is ramped up to its full limit.
const SLOW_START_WINDOW: Duration = Duration::from_secs(5);
/// Share of the limit at which the ramp starts.
const SLOW_START_MIN_SHARE: f64 = 0.2;

/// Circuit breaker of one server, with slow start after recovery.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_duration: Duration,
    open_until: Option<Duration>,
    last_failure: Duration,
    last_success: Option<Duration>,
    recovering_since: Option<Duration>,
}

impl CircuitBreaker {
    /// Records a successful request and closes the breaker if it was open.
    pub fn on_success(&mut self, now: Duration) {
        self.failures = 0;
        self.last_success = Some(now);
        if self.open_until.take().is_some() {
            self.recovering_since = Some(now);
        }
        let recovered = self
            .recovering_since
            .is_some_and(|since| now >= since + SLOW_START_WINDOW);
        if recovered {
            self.recovering_since = None;
            self.open_duration = Duration::ZERO;
        }
    }

    /// Records a failed request. Returns whether this opened the breaker.
    pub fn on_failure(&mut self, now: Duration) -> bool {
        self.failures += 1;
        self.last_failure = now;
        let probing = self.open_until.is_some_and(|until| now >= until);
        let opens = probing || (self.open_until.is_none() && self.failures >= FAILURE_THRESHOLD);
        if opens {
            self.open_duration =
                (self.open_duration * 2).clamp(MIN_OPEN_DURATION, MAX_OPEN_DURATION);
            self.open_until = Some(now + self.open_duration);
            self.recovering_since = None;
        }
        opens
    }

    /// Consecutive failures; zero if the last one is older than `FAILURE_TTL`.
    pub fn recent_failures(&self, now: Duration) -> u32 {
        match now < self.last_failure + FAILURE_TTL {
            true => self.failures,
            false => 0,
        }
    }

    /// Like [`effective_limit`](Self::effective_limit), but also counts failures
    /// reported by other entries, since each entry alone sees only a few at an
    /// unresponsive server. A server that fails for some entries only stays
    /// available to those that it answers.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (mut breaker, now) = (rw_routing::CircuitBreaker::default(), Duration::from_secs(1));
    /// assert_eq!(breaker.effective_limit_with_peers(10, 9, now), 1);
    /// assert_eq!(breaker.effective_limit_with_peers(10, 0, now), 10);
    /// breaker.on_success(now);
    /// assert_eq!(breaker.effective_limit_with_peers(10, 9, now), 10);
    /// breaker.on_failure(now);
    /// assert_eq!(breaker.effective_limit_with_peers(10, 2, now), 1);
    /// ```
    pub fn effective_limit_with_peers(&self, limit: u32, peer_failures: u32, now: Duration) -> u32 {
        let own = self.recent_failures(now);
        let answered = self.last_success.is_some_and(|at| now < at + SUCCESS_TTL);
        let suspect = (own > 0 || !answered) && own + peer_failures >= FAILURE_THRESHOLD;
        match suspect {
            true => self.effective_limit(limit, now).min(1),
            false => self.effective_limit(limit, now),
        }
    }

    /// Requests that the server may hold now, out of its concurrency limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut breaker = rw_routing::CircuitBreaker::default();
    /// assert_eq!(breaker.effective_limit(10, Duration::ZERO), 10);
    /// for _ in 0..3 { breaker.on_failure(Duration::ZERO); }
    /// assert_eq!(breaker.effective_limit(10, Duration::ZERO), 0);
    /// assert_eq!(breaker.effective_limit(10, Duration::from_secs(1)), 1);
    /// ```
    pub fn effective_limit(&self, limit: u32, now: Duration) -> u32 {
        if let Some(until) = self.open_until {
            return u32::from(now >= until);
        }
        let Some(since) = self.recovering_since else {
            return limit;
        };
        let share = now.saturating_sub(since).as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
        let share = share.clamp(SLOW_START_MIN_SHARE, 1.0);
        ((f64::from(limit) * share) as u32).max(1)
    }
}
