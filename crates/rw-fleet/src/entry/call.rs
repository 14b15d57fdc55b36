use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use rw_protocol::Name;
use rw_routing::PromptChain;
use tokio::time::Instant;

use crate::memory_guard::MemoryShare;
use crate::{CallKind, Configuration, Engine, Route};

/// Minimum share of a route's time limit that a caller states on its first
/// attempt; a caller that states less has probably been refused before.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;

/// Share of the silence that a caller bears after which a stream ends. It would otherwise
/// leave without knowing what became of its request, and the server would work on if the
/// end of the connection reaches it late.
const SILENCE_SHARE: f64 = 0.9;

/// Rank of the most urgent requests that are no payments or the like.
const REPEATABLE_RANK: u32 = 100;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the caller's attempt, which identifies the call in logs.
    pub id: Name,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Configuration under which it is handled.
    pub cfg: Arc<Configuration>,
    /// Service that handles it.
    pub service: Name,
    /// Team of the caller; `None` on public routes.
    pub team: Option<Name>,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Memory that its caller's connection holds.
    pub memory: Arc<MemoryShare>,
    /// When the request head was received.
    pub received_at: Instant,
    /// Deadline of the caller or the route, whichever is earlier.
    pub deadline: Instant,
    /// Tokens of the prompt; 0 if the caller did not state them.
    pub prompt_tokens: u32,
    /// Parts of the prompt that other requests may share, in order.
    pub prompt_parts: Vec<Name>,
    /// Beginnings of the prompt; empty unless its engines keep prompts.
    pub prompt_chain: PromptChain,
    /// Id of the last event that the caller has received; 0 if none.
    pub last_event_id: u64,
    /// Priority of the team or the route; 0 goes first.
    pub priority: u32,
    /// Set before the call is sent to a backend server for the first time.
    pub sent: Arc<AtomicBool>,
    /// Name of the request by its content, once it has been computed.
    pub(super) request_name: OnceLock<Name>,
}

impl Call {
    /// Engine of the service that handles it; `None` for services without a model.
    pub fn engine(&self) -> Option<&Arc<Engine>> {
        self.cfg.service(&self.service)?.engine.as_ref()
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Latest time for the next event of a stream whose caller has received nothing since
    /// `since`.
    pub fn next_event_limit(&self, since: Instant) -> Instant {
        let silence = self.route.caller_patience().mul_f64(SILENCE_SHARE);
        self.deadline.min(since + silence)
    }

    /// Whether a backend server may have received the call.
    pub fn was_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }

    /// Time since the request head was received.
    pub fn age(&self) -> Duration {
        self.received_at.elapsed()
    }

    /// Whether this seems to be a caller's retry that has already missed the
    /// route's latency objective. Callers state their remaining time, which is
    /// close to the route's limit on their first attempt.
    pub fn is_late_retry(&self) -> bool {
        let limit = self.route.timeout;
        let time_budget = self.deadline.saturating_duration_since(self.received_at);
        time_budget < limit.mul_f64(FIRST_ATTEMPT_SHARE)
            && limit.saturating_sub(time_budget) > self.route.objective
    }

    /// Rank among requests that wait for the same server; lower ranks go first. Actions
    /// that may not be repeated, such as payments, go before all others.
    pub fn rank(&self) -> u32 {
        let class = match self.route.kind {
            CallKind::NonIdempotent => 0,
            CallKind::Idempotent | CallKind::Streaming => REPEATABLE_RANK,
        };
        class + self.priority.min(REPEATABLE_RANK - 1)
    }

    /// Whether it may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        match self.route.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Streaming => self.route.resumable,
        }
    }
}
