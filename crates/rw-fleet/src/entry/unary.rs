//! Unary calls: one request, one complete response.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rw_protocol::Name;

use super::attempt::{self, AttemptOptions, Failure};
use super::limited_selection::{LimitedSelection, LIMIT_REASON};
use super::{Call, Entry, Refusal, SlotPermit};
use crate::connect::{read_response, CompleteResponse};
use crate::limit_exchange::SendPermit;
use crate::{BackendServer, PlatformCodec};

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Backend servers that may be unreachable before a call is refused.
const MAX_UNREACHABLE_SERVERS: u32 = 4;
/// Share of the remaining time that an attempt may use if it can be retried.
const RETRYABLE_ATTEMPT_SHARE: f64 = 0.4;
/// `Retry-After` when no backend server accepts the call; about the time until a
/// replaced server is detected.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Sends a call to backend servers, with retries, until there is a response for
/// the caller.
pub async fn run<D: PlatformCodec>(
    entry: &Entry<D>,
    call: &Call,
) -> std::result::Result<CompleteResponse, Refusal> {
    let mut unary_call = UnaryCall {
        entry,
        call,
        tried_servers: Vec::new(),
        sent_attempts: 0,
        unreachable_servers: 0,
    };
    unary_call.run().await
}

struct UnaryCall<'a, D> {
    entry: &'a Entry<D>,
    call: &'a Call,
    tried_servers: Vec<Name>,
    // Attempts that a server may have executed.
    sent_attempts: u32,
    unreachable_servers: u32,
}

impl<D: PlatformCodec> UnaryCall<'_, D> {
    async fn run(&mut self) -> std::result::Result<CompleteResponse, Refusal> {
        let mut fallback = Refusal::NotRun {
            reason: "no backend server",
            retry_after: self.retry_after(),
            known_load: self.entry.load_tracker.summary(&self.servers()),
        };
        let mut error_response = None;
        loop {
            if self.call.time_left().is_zero() {
                return error_response.ok_or(if self.sent_attempts > 0 {
                    Refusal::Timeout
                } else {
                    fallback
                });
            }
            let is_retry = !self.tried_servers.is_empty();
            if is_retry && !self.entry.try_acquire_retry(self.call) {
                if let Refusal::NotRun { reason, .. } = &mut fallback {
                    *reason = "retry budget spent";
                }
                return error_response.ok_or(fallback);
            }
            let mut limits = LimitedSelection::new(self.entry, self.call);
            let selected = limits.select_least_loaded(|| self.servers()).await;
            let Some((permit, send_permit)) = selected else {
                return match limits.retry_after() {
                    Some(retry_after) if self.sent_attempts == 0 => {
                        Err(self.limit_refusal(retry_after))
                    }
                    _ => error_response.ok_or(fallback),
                };
            };
            let result = self.attempt(&permit, send_permit).await;
            self.entry
                .record_attempt(self.call, &permit.server.id, &result);
            self.tried_servers.push(permit.server.id.clone());
            match result {
                Ok(response) if self.is_final(&response) => return Ok(response),
                Ok(response) => {
                    self.sent_attempts += 1;
                    // A response must not imply that the call was not executed.
                    let may_return = self.call.is_retryable() || !implies_not_run(response.status);
                    error_response = may_return.then_some(response);
                    fallback = Refusal::Failed("the backend server failed");
                }
                Err(Failure::NotSent(_) | Failure::PermitExpired) => self.unreachable_servers += 1,
                Err(Failure::NotRun(_)) => {
                    if let Refusal::NotRun { retry_after, .. } = &mut fallback {
                        *retry_after = self.retry_after();
                    }
                }
                Err(Failure::Timeout(_)) => {
                    self.sent_attempts += 1;
                    fallback = Refusal::Timeout;
                }
                Err(Failure::Unknown(_)) => {
                    self.sent_attempts += 1;
                    fallback = Refusal::Failed("the backend server broke off");
                }
            }
            if !self.can_retry() {
                return error_response.ok_or(fallback);
            }
        }
    }

    fn retry_after(&self) -> Duration {
        let pause = self.entry.pause_of_all(&self.call.service);
        pause.unwrap_or(NO_SERVER_RETRY_AFTER)
    }

    fn can_retry(&self) -> bool {
        let has_attempt_left = self.sent_attempts < self.call.route.max_attempts;
        let may_run_again = self.sent_attempts == 0 || self.call.is_retryable();
        has_attempt_left && may_run_again && self.unreachable_servers < MAX_UNREACHABLE_SERVERS
    }

    // Server errors of retryable calls are retried.
    fn is_final(&self, response: &CompleteResponse) -> bool {
        !(response.status.is_server_error() && self.call.is_retryable())
            && (self.call.is_retryable() || !implies_not_run(response.status))
    }

    fn servers(&self) -> Vec<Arc<BackendServer>> {
        let ready = self.entry.admitted_servers(&self.call.service);
        let untried: Vec<_> = ready
            .iter()
            .filter(|s| !self.tried_servers.contains(&s.id))
            .cloned()
            .collect();
        if untried.is_empty() && self.sent_attempts == 0 {
            return ready;
        }
        untried
    }

    fn limit_refusal(&self, retry_after: Duration) -> Refusal {
        Refusal::NotRun {
            reason: LIMIT_REASON,
            retry_after,
            known_load: self.entry.load_tracker.summary(&self.servers()),
        }
    }

    async fn attempt(
        &self,
        permit: &SlotPermit,
        send_permit: SendPermit,
    ) -> attempt::Result<CompleteResponse> {
        let call = self.call;
        let has_retry_left =
            call.is_retryable() && self.sent_attempts + 1 < call.route.max_attempts;
        let limit = match has_retry_left {
            true => call
                .time_left()
                .mul_f64(RETRYABLE_ATTEMPT_SHARE)
                .max(call.route.objective * 2),
            false => call.time_left(),
        };
        let limit = limit.min(call.time_left());
        let exchange = async {
            let options = AttemptOptions::default();
            let (_conn, res) = attempt::send(
                self.entry,
                call,
                &permit.server,
                &options,
                send_permit,
                limit,
            )
            .await?;
            Ok(read_response(res, MAX_RESPONSE_BYTES).await?)
        };
        let result = tokio::time::timeout(limit, exchange).await;
        result.unwrap_or_else(|_| Err(attempt::timed_out(call)))
    }
}

// Statuses that tell a caller that its request was not executed.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
