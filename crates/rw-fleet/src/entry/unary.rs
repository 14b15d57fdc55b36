//! Unary calls: one request, one complete response.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rw_protocol::Name;
use tokio::time::{sleep_until, Instant};

use super::attempt::{self, AttemptOptions, Failure, NO_MEMORY_REASON};
use super::limited_selection::{LimitedSelection, LIMIT_REASON};
use super::open_attempts::OpenAttempts;
use super::quarantine::Hold;
use super::weights_guard::WEIGHTS_EXPIRED_REASON;
use super::{Call, Entry, Refusal, SlotPermit};
use crate::connect::{read_caller_response, CompleteResponse};
use crate::limit_exchange::SendPermit;
use crate::{BackendServer, PlatformCodec};

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Backend servers that may be unreachable before a call is refused.
const MAX_UNREACHABLE_SERVERS: u32 = 4;
/// Share of the remaining time after which a call without a response is sent to another
/// server as well.
const PATIENCE_SHARE: f64 = 0.4;
/// Shortest such time, for routes that state no objective.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// `Retry-After` when no backend server accepts the call; about the time until a
/// replaced server is detected.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Sends a call to backend servers, with retries, until there is a response for
/// the caller.
pub async fn run<D: PlatformCodec>(
    entry: &Entry<D>,
    call: &Call,
) -> std::result::Result<CompleteResponse, Refusal> {
    let is_trial = entry.take_trial(call).await;
    let mut unary_call = UnaryCall {
        entry,
        call,
        is_trial,
        tried_servers: Vec::new(),
        sent_attempts: 0,
        unreachable_servers: 0,
    };
    unary_call.run().await
}

struct UnaryCall<'a, D> {
    entry: &'a Entry<D>,
    call: &'a Call,
    // Whether the call is let through although it is quarantined.
    is_trial: bool,
    tried_servers: Vec<Name>,
    // Attempts that a server may have executed, or executes.
    sent_attempts: u32,
    unreachable_servers: u32,
}

/// What a call does next.
enum Step {
    Ended(EndedAttempt),
    Selected(std::result::Result<(SlotPermit, SendPermit), Missing>),
    Silent,
}

struct EndedAttempt {
    server: Arc<BackendServer>,
    is_repeat: bool,
    result: attempt::Result<CompleteResponse>,
}

/// What another attempt lacks.
enum Missing {
    Time,
    // The end of a hold on the call.
    Release(Hold),
    Retry,
    // With the time after which servers at their limits take requests again.
    Server(Option<Duration>),
}

impl<D: PlatformCodec> UnaryCall<'_, D> {
    // Sends the call to a server, and to others after failures. If a server takes long, the
    // call is sent to another one as well, and the first response counts.
    async fn run(&mut self) -> std::result::Result<CompleteResponse, Refusal> {
        let (entry, call) = (self.entry, self.call);
        let mut fallback = Refusal::NotRun {
            reason: "no backend server",
            retry_after: self.retry_after(),
            known_load: entry.load_tracker.summary(&self.servers()),
        };
        let mut error_response = None;
        let mut attempts = OpenAttempts::default();
        let mut silent_servers: Vec<Name> = Vec::new();
        // The last attempt, until it ends or its server counts as silent.
        let mut newest: Option<(Name, Instant)> = None;
        let (mut is_searching, mut silent_at) = (true, Instant::now());
        loop {
            let is_open = !attempts.is_empty();
            let step = tokio::select! {
                biased;
                ended = attempts.next() => Step::Ended(ended),
                selected = self.find_server(is_open), if is_searching => Step::Selected(selected),
                () = sleep_until(silent_at), if is_open && !is_searching => Step::Silent,
            };
            match step {
                Step::Selected(Ok((permit, send_permit))) => {
                    let server = permit.server.clone();
                    let (is_repeat, is_trial) = (self.sent_attempts > 0, self.is_trial);
                    self.tried_servers.push(server.id.clone());
                    self.sent_attempts += 1;
                    newest = Some((server.id.clone(), Instant::now()));
                    (is_searching, silent_at) = (false, Instant::now() + self.patience());
                    attempts.push(async move {
                        let result = exchange(entry, call, &permit, send_permit, is_trial).await;
                        EndedAttempt {
                            server,
                            is_repeat,
                            result,
                        }
                    });
                }
                Step::Selected(Err(_)) if is_open => {
                    (is_searching, silent_at) = (false, Instant::now() + self.patience());
                }
                Step::Selected(Err(missing)) => {
                    match missing {
                        // A hold explains more than the failure that led to it.
                        Missing::Release(hold) => {
                            return Err(hold.refusal(call, self.sent_attempts));
                        }
                        Missing::Time if self.sent_attempts > 0 => fallback = Refusal::Timeout,
                        Missing::Server(Some(retry_after)) if self.sent_attempts == 0 => {
                            return Err(self.limit_refusal(retry_after));
                        }
                        Missing::Server(None) => {
                            if let Refusal::NotRun { reason, .. } = &mut fallback {
                                *reason = entry.placement_refusal(call).unwrap_or(*reason);
                            }
                        }
                        Missing::Time | Missing::Server(_) => {}
                        Missing::Retry => {
                            if let Refusal::NotRun { reason, .. } = &mut fallback {
                                *reason = "retry budget spent";
                            }
                        }
                    }
                    return error_response.ok_or(fallback);
                }
                Step::Silent => {
                    is_searching = self.can_retry();
                    silent_at = Instant::now() + self.patience();
                    if let Some((server, started_at)) = newest.take_if(|_| is_searching) {
                        entry.record_silence(call, &server, started_at.elapsed());
                        silent_servers.push(server);
                    }
                }
                Step::Ended(ended) => {
                    self.record(&ended, silent_servers.contains(&ended.server.id));
                    match ended.result {
                        Ok(response) if self.is_final(&response) => return Ok(response),
                        Ok(response) => {
                            // A response must not imply that the call was not executed.
                            let may_return =
                                call.is_retryable() || !implies_not_run(response.status);
                            error_response = may_return.then_some(response);
                            fallback = Refusal::Failed("the backend server failed");
                        }
                        Err(failure) => self.on_failure(failure, &mut fallback),
                    }
                    is_searching = self.can_retry();
                    if !is_searching && attempts.is_empty() {
                        return error_response.ok_or(fallback);
                    }
                }
            }
        }
    }

    fn record(&self, ended: &EndedAttempt, was_silent: bool) {
        let (entry, call, server) = (self.entry, self.call, &ended.server);
        match &ended.result {
            // The failure was counted when the server became silent.
            Err(failure) if was_silent => entry.log_failure(call, &server.id, failure),
            result => entry.record_attempt(call, &server.id, result),
        }
        let guard = &entry.poison_guard;
        guard.on_attempt(call, server, ended.is_repeat, &ended.result);
        if ended.result.is_ok() {
            guard.on_run(call);
            guard.on_event(server);
        }
    }

    fn on_failure(&mut self, failure: Failure, fallback: &mut Refusal) {
        match failure {
            Failure::NotSent(_)
            | Failure::PermitExpired
            | Failure::Quarantined
            | Failure::RegionNotAllowed
            | Failure::ZoneEvacuated
            | Failure::WeightsOutdated(_) => {
                self.sent_attempts -= 1;
                self.unreachable_servers += 1;
            }
            Failure::NotRun(_) => {
                self.sent_attempts -= 1;
                if let Refusal::NotRun { retry_after, .. } = fallback {
                    *retry_after = self.retry_after();
                }
            }
            Failure::Timeout(_) => *fallback = Refusal::Timeout,
            Failure::WeightsExpired(_) => *fallback = Refusal::Failed(WEIGHTS_EXPIRED_REASON),
            Failure::NoMemory => *fallback = Refusal::Failed(NO_MEMORY_REASON),
            Failure::ServerError(_) => *fallback = Refusal::Failed("the backend server failed"),
            Failure::Unknown(_) => *fallback = Refusal::Failed("the backend server broke off"),
        }
    }

    // Finds a server for the next attempt. While another attempt is open, a search that
    // finds none takes no retry from the budget.
    async fn find_server(
        &self,
        is_open: bool,
    ) -> std::result::Result<(SlotPermit, SendPermit), Missing> {
        if self.call.time_left().is_zero() {
            return Err(Missing::Time);
        }
        self.check_hold()?;
        let take_retry = || match self.entry.try_acquire_retry(self.call) {
            true => Ok(()),
            false => Err(Missing::Retry),
        };
        if !is_open && !self.tried_servers.is_empty() {
            take_retry()?;
        }
        let mut limits = LimitedSelection::new(self.entry, self.call);
        let selected = limits.select_least_loaded(|| self.servers()).await;
        let selected = selected.ok_or(Missing::Server(limits.retry_after()))?;
        // What crashes servers may have become known while the call waited for a permit.
        self.check_hold()?;
        if is_open {
            take_retry()?;
        }
        Ok(selected)
    }

    fn check_hold(&self) -> std::result::Result<(), Missing> {
        match self.entry.hold(self.call).filter(|_| !self.is_trial) {
            Some(hold) => Err(Missing::Release(hold)),
            None => Ok(()),
        }
    }

    // Time after which another server is asked as well.
    fn patience(&self) -> Duration {
        let share = self.call.time_left().mul_f64(PATIENCE_SHARE);
        share.max(self.call.route.objective * 2).max(MIN_PATIENCE)
    }

    fn retry_after(&self) -> Duration {
        let pause = self.entry.pause_of_all(&self.call.service);
        pause.unwrap_or(NO_SERVER_RETRY_AFTER)
    }

    fn can_retry(&self) -> bool {
        let has_attempt_left = self.sent_attempts < self.call.route.max_attempts;
        let may_run_again = self.sent_attempts == 0
            || (self.call.is_retryable()
                && !self.is_trial
                && self.entry.poison_guard.may_repeat(self.call));
        has_attempt_left && may_run_again && self.unreachable_servers < MAX_UNREACHABLE_SERVERS
    }

    // Server errors of retryable calls are retried.
    fn is_final(&self, response: &CompleteResponse) -> bool {
        !(response.status.is_server_error() && self.call.is_retryable())
            && (self.call.is_retryable() || !implies_not_run(response.status))
    }

    fn servers(&self) -> Vec<Arc<BackendServer>> {
        let ready = self.entry.admitted_servers(self.call);
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
}

// Sends the call to a server and reads the response until the deadline.
async fn exchange<D: PlatformCodec>(
    entry: &Entry<D>,
    call: &Call,
    permit: &SlotPermit,
    send_permit: SendPermit,
    is_trial: bool,
) -> attempt::Result<CompleteResponse> {
    let limit = call.time_left();
    let options = AttemptOptions {
        is_trial,
        ..AttemptOptions::default()
    };
    let exchange = async {
        let (_conn, res) =
            attempt::send(entry, call, &permit.server, &options, send_permit, limit).await?;
        Ok(read_caller_response(res, MAX_RESPONSE_BYTES, &call.memory).await?)
    };
    let result = tokio::time::timeout(limit, exchange).await;
    result.unwrap_or_else(|_| Err(attempt::timed_out(call)))
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
