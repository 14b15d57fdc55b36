use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use rw_protocol::Name;
use tokio::time::Instant;

use crate::{Configuration, Route};

/// Share of a route's time limit below which what a caller has left says that
/// it was refused before.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;

/// A checked request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity of the caller's try.
    pub id: Name,
    /// Route that it takes.
    pub route: Arc<Route>,
    /// Configuration by which it is handled.
    pub cfg: Arc<Configuration>,
    /// Service that answers it.
    pub service: Name,
    /// Team of the caller; `None` on public routes.
    pub team: Option<Name>,
    /// Method of the request.
    pub method: Method,
    /// Path and query as sent.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its head arrived.
    pub received_at: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// Tokens of its prompt; 0 when it says none.
    pub prompt_tokens: u32,
    /// Last event of the stream that the caller has seen; 0 is none.
    pub last_event: u64,
}

impl Call {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time since it arrived.
    pub fn age(&self) -> Duration {
        self.received_at.elapsed()
    }

    /// Whether its caller seems to have been waiting before this try, so that
    /// its answer is late in any case. Callers name what is left of their time,
    /// which is close to the route's limit on their first try.
    pub fn is_late_retry(&self) -> bool {
        let limit = self.route.timeout;
        let time_budget = self.deadline.saturating_duration_since(self.received_at);
        time_budget < limit.mul_f64(FIRST_ATTEMPT_SHARE)
            && limit.saturating_sub(time_budget) > self.route.objective
    }

    /// Whether it may run more than once.
    pub fn is_retryable(&self) -> bool {
        match self.route.kind {
            crate::CallKind::Idempotent => true,
            crate::CallKind::NonIdempotent => false,
            crate::CallKind::Streaming => self.route.resumable,
        }
    }
}
