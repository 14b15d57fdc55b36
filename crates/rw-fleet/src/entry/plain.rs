//! Calls that are answered in one piece.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rw_protocol::Name;

use super::attempt::{self, Failure, Try};
use super::{Call, Entry, Refusal, Ticket};
use crate::connect::{read_response, CompleteResponse};
use crate::{BackendServer, PlatformCodec};

/// Largest answer in one piece, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Backend servers that may turn out unreachable before a call is refused.
const MAX_UNREACHABLE: u32 = 4;
/// Share of the remaining time that a first try of a repeatable call may use.
const FIRST_TRY_SHARE: f64 = 0.4;
/// Pause for callers when no backend server takes their call; about the time
/// in which a replaced server is found out.
const NO_SERVER_RETRY: Duration = Duration::from_millis(300);

/// Runs a call until there is an answer for the caller.
pub async fn run<D: PlatformCodec>(
    entry: &Entry<D>,
    call: &Call,
) -> std::result::Result<CompleteResponse, Refusal> {
    let mut run = Run {
        entry,
        call,
        tried: Vec::new(),
        sent: 0,
        unreachable: 0,
    };
    run.run().await
}

struct Run<'a, D> {
    entry: &'a Entry<D>,
    call: &'a Call,
    tried: Vec<Name>,
    // Tries that may have run.
    sent: u32,
    unreachable: u32,
}

impl<D: PlatformCodec> Run<'_, D> {
    async fn run(&mut self) -> std::result::Result<CompleteResponse, Refusal> {
        let mut fallback = Refusal::NotRun {
            reason: "no backend server",
            retry_after: NO_SERVER_RETRY,
            believed: self.entry.board.summary(&self.servers()),
        };
        let mut failed_answer = None;
        loop {
            if self.call.left().is_zero() {
                return failed_answer.ok_or(if self.sent > 0 {
                    Refusal::Timeout
                } else {
                    fallback
                });
            }
            let repeats = !self.tried.is_empty();
            if repeats && !self.entry.take_repeat(self.call) {
                return failed_answer.ok_or(fallback);
            }
            let Some(ticket) = self.entry.board.place_plain(&self.servers()) else {
                return failed_answer.ok_or(fallback);
            };
            let done = self.attempt(&ticket).await;
            self.entry.note_attempt(self.call, &ticket.server.id, &done);
            self.tried.push(ticket.server.id.clone());
            match done {
                Ok(answer) if self.is_final(&answer) => return Ok(answer),
                Ok(answer) => {
                    self.sent += 1;
                    // "Not run" would not be true of a call that ran.
                    let allowed = self.call.may_repeat() || !promises_not_run(answer.status);
                    failed_answer = allowed.then_some(answer);
                    fallback = Refusal::Failed("the backend server failed");
                }
                Err(Failure::NotSent(_)) => self.unreachable += 1,
                Err(Failure::NotRun(_)) => {}
                Err(Failure::Timeout) => {
                    self.sent += 1;
                    fallback = Refusal::Timeout;
                }
                Err(Failure::Unknown(_)) => {
                    self.sent += 1;
                    fallback = Refusal::Failed("the backend server broke off");
                }
            }
            if !self.may_go_on() {
                return failed_answer.ok_or(fallback);
            }
        }
    }

    fn may_go_on(&self) -> bool {
        let may_send = self.sent < self.call.route.max_attempts;
        let may_repeat = self.sent == 0 || self.call.may_repeat();
        may_send && may_repeat && self.unreachable < MAX_UNREACHABLE
    }

    // A failure of a repeatable call is worth another try.
    fn is_final(&self, answer: &CompleteResponse) -> bool {
        !(answer.status.is_server_error() && self.call.may_repeat())
            && (self.call.may_repeat() || !promises_not_run(answer.status))
    }

    fn servers(&self) -> Vec<Arc<BackendServer>> {
        let ready = self.entry.servers(&self.call.service);
        let fresh: Vec<_> = ready
            .iter()
            .filter(|s| !self.tried.contains(&s.id))
            .cloned()
            .collect();
        if fresh.is_empty() && self.sent == 0 {
            return ready;
        }
        fresh
    }

    async fn attempt(&self, ticket: &Ticket) -> attempt::Result<CompleteResponse> {
        let names = self.entry.cx.codec.headers();
        let call = self.call;
        let can_repeat = call.may_repeat() && self.sent + 1 < call.route.max_attempts;
        let limit = match can_repeat {
            true => call
                .left()
                .mul_f64(FIRST_TRY_SHARE)
                .max(call.route.objective * 2),
            false => call.left(),
        };
        let limit = limit.min(call.left());
        let exchange = async {
            let particular = Try::default();
            let (_conn, res) =
                attempt::send(call, &ticket.server, names, &particular, limit).await?;
            Ok(read_response(res, MAX_ANSWER).await?)
        };
        let done = tokio::time::timeout(limit, exchange).await;
        done.unwrap_or(Err(Failure::Timeout))
    }
}

// Statuses that promise a caller that its request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
