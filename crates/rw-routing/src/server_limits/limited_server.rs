use std::time::Duration;

use super::issuer::LimitIssuer;
use super::observation::LimitObservation;

/// What one entry knows of a server that names, or has named, a limit.
pub(super) struct LimitedServer {
    pub(super) started_ms: u64,
    pub(super) observation: LimitObservation,
    // When the limit was first known; later changes of its value do not count.
    pub(super) known_since: Duration,
    // Until when the owner has no permits for requests that do not wait.
    pub(super) refused_until: Duration,
    // When the last refused caller was told to come back.
    pub(super) return_at: Duration,
    pub(super) issuer: Option<LimitIssuer>,
    pub(super) is_news: bool,
}

impl LimitedServer {
    pub(super) fn new(started_ms: u64, observation: LimitObservation, now: Duration) -> Self {
        LimitedServer {
            started_ms,
            observation,
            known_since: now,
            refused_until: Duration::ZERO,
            return_at: Duration::ZERO,
            issuer: None,
            is_news: false,
        }
    }
}
