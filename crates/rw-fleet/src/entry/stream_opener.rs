//! Selects a backend server for a streaming call and opens the event stream
//! there, with retries on other servers.

use std::sync::Arc;
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::{EngineSelection, RequestRequirements};
use tokio::time::{sleep_until, timeout_at, Instant};

use super::attempt::{self, AttemptOptions, Failure, TimeLimit, NO_MEMORY_REASON};
use super::limited_selection::{LimitedSelection, LIMIT_REASON};
use super::open_attempts::OpenAttempts;
use super::stream_attempt::{start_stream, Opened};
use super::weights_guard::WEIGHTS_EXPIRED_REASON;
use super::{Call, Entry, Refusal, SlotPermit};
use crate::limit_exchange::SendPermit;
use crate::{BackendServer, PlatformCodec};

/// Attempts that may fail without being executed, because the server is
/// unreachable or full, before the call is refused.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;
/// Maximum time that a call waits for a free slot, as a share of the route's
/// latency objective.
const SLOT_WAIT_SHARE: f64 = 0.12;
/// Maximum time that a retry waits for a free slot; each engine frees one within
/// that time.
const RETRY_SLOT_WAIT: Duration = Duration::from_millis(500);
/// Time without a first event after which the call is sent to another server as well;
/// most callers disconnect after twice that time.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Remaining time below which another attempt is not worth its cost.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(500);
/// `Retry-After` when no backend server serves the model: restoring weights
/// takes some seconds, and most callers retry only once.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` when no slot is free. Callers that retry sooner only take slots
/// from other callers, whose responses could still meet their objective.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` when the servers that were tried did not execute the request;
/// others may.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Opens a stream, or resumes it, on a backend server.
pub(super) struct StreamOpener<'a, D> {
    pub(super) entry: &'a Arc<Entry<D>>,
    pub(super) call: &'a Arc<Call>,
    pub(super) tried_servers: Vec<Name>,
    // Attempts that a server may have executed, or executes.
    pub(super) sent_attempts: u32,
    pub(super) not_run_attempts: u32,
    // Whether the call is let through although it is quarantined.
    pub(super) is_trial: bool,
    // Version of the weights that a resumed stream requires; `None` for a new
    // stream.
    pub(super) weights_version: Option<u64>,
    // Whether the stream is still open at a server that is silent.
    pub(super) stream_is_open: bool,
    // Latest time for the first event.
    pub(super) until: Instant,
}

/// What the opener does next.
enum Step {
    Ended(EndedAttempt),
    Selected(std::result::Result<(SlotPermit, SendPermit), Refusal>),
    Silent,
    Held,
}

struct EndedAttempt {
    backend: Arc<BackendServer>,
    is_repeat: bool,
    result: attempt::Result<Opened>,
}

impl<D: PlatformCodec> StreamOpener<'_, D> {
    /// Sends the call to a server, and to others after failures. If a server is silent,
    /// the call is sent to another one as well, and the first to send an event serves it.
    pub(super) async fn open(
        &mut self,
        last_event_id: u64,
    ) -> std::result::Result<Opened, Refusal> {
        let (entry, call, is_trial, until) = (self.entry, self.call, self.is_trial, self.until);
        let options = AttemptOptions {
            last_event_id,
            weights_version: self.weights_version,
            is_trial,
        };
        let mut fallback = None;
        let mut attempts = OpenAttempts::default();
        let mut silent_servers: Vec<Name> = Vec::new();
        // The last attempt, until its server sends something or counts as silent.
        let mut newest: Option<(Arc<BackendServer>, bool)> = None;
        let mut is_searching = true;
        let mut silent_at = Instant::now();
        loop {
            let is_open = !attempts.is_empty();
            let step = tokio::select! {
                biased;
                ended = attempts.next() => Step::Ended(ended),
                // A server may not have begun to answer yet, and then keeps running.
                () = entry.poison_guard.quarantined(call), if is_open && !is_trial => Step::Held,
                selected = self.find_server(is_open), if is_searching => Step::Selected(selected),
                () = sleep_until(silent_at), if is_open && !is_searching => Step::Silent,
            };
            match step {
                Step::Selected(Ok((permit, send_permit))) => {
                    let backend = permit.server.clone();
                    let is_repeat = self.sent_attempts > 0;
                    self.tried_servers.push(backend.id.clone());
                    self.sent_attempts += 1;
                    newest = Some((backend.clone(), is_repeat));
                    (is_searching, silent_at) = (false, Instant::now() + FIRST_EVENT_TIMEOUT);
                    let options = &options;
                    attempts.push(async move {
                        let result =
                            start_stream(entry, call, permit, send_permit, options, until).await;
                        EndedAttempt {
                            backend,
                            is_repeat,
                            result,
                        }
                    });
                }
                // A quarantine explains more than the failure that led to it.
                Step::Selected(Err(refusal @ Refusal::Failed(_))) if !is_open => {
                    return Err(refusal);
                }
                Step::Selected(Err(refusal)) if !is_open => return Err(fallback.unwrap_or(refusal)),
                Step::Selected(Err(_)) => {
                    (is_searching, silent_at) = (false, Instant::now() + FIRST_EVENT_TIMEOUT);
                }
                Step::Held => self.check_hold()?,
                Step::Silent => {
                    is_searching = self.can_retry();
                    silent_at = Instant::now() + FIRST_EVENT_TIMEOUT;
                    if let Some((backend, is_repeat)) = newest.take_if(|_| is_searching) {
                        entry.record_silence(call, &backend.id, FIRST_EVENT_TIMEOUT);
                        let failure = Err(Failure::Timeout(TimeLimit::Attempt));
                        let guard = &entry.poison_guard;
                        guard.on_attempt::<()>(call, &backend, is_repeat, &failure);
                        silent_servers.push(backend.id.clone());
                    }
                }
                Step::Ended(ended) => {
                    let was_silent = silent_servers.contains(&ended.backend.id);
                    self.record(&ended, was_silent);
                    match ended.result {
                        Ok(opened) => return Ok(opened),
                        Err(failure) => fallback = self.on_failure(failure).or(fallback),
                    }
                    is_searching = self.can_retry();
                    if !is_searching && attempts.is_empty() {
                        let pause = entry.pause_of_all(&call.service);
                        let retry_after = pause.unwrap_or(MIN_RETRY_AFTER);
                        let refusal = self.not_run_refusal("backend servers are full", retry_after);
                        return Err(fallback.unwrap_or(refusal));
                    }
                }
            }
        }
    }

    fn record(&self, ended: &EndedAttempt, was_silent: bool) {
        let (entry, call, backend) = (self.entry, self.call, &ended.backend);
        match &ended.result {
            // The failure was counted when the server became silent.
            Err(failure) if was_silent => entry.log_failure(call, &backend.id, failure),
            result => {
                entry.record_attempt(call, &backend.id, result);
                let guard = &entry.poison_guard;
                guard.on_attempt(call, backend, ended.is_repeat, result);
            }
        }
    }

    // Returns what the caller is told if no other attempt succeeds.
    fn on_failure(&mut self, failure: Failure) -> Option<Refusal> {
        match failure {
            Failure::NotSent(_)
            | Failure::NotRun(_)
            | Failure::PermitExpired
            | Failure::Quarantined
            | Failure::RegionNotAllowed
            | Failure::ZoneEvacuated
            | Failure::WeightsOutdated(_) => {
                self.sent_attempts -= 1;
                self.not_run_attempts += 1;
                None
            }
            Failure::Timeout(_) => Some(Refusal::Timeout),
            Failure::WeightsExpired(_) => Some(Refusal::Failed(WEIGHTS_EXPIRED_REASON)),
            Failure::NoMemory => Some(Refusal::Failed(NO_MEMORY_REASON)),
            Failure::ServerError(_) => Some(Refusal::Failed("the backend server failed")),
            Failure::Unknown(_) => Some(Refusal::Failed("the backend server broke off")),
        }
    }

    // Finds a server for the next attempt. While another attempt is open, a search that
    // finds none takes no retry from the budget.
    async fn find_server(
        &self,
        is_open: bool,
    ) -> std::result::Result<(SlotPermit, SendPermit), Refusal> {
        let is_open = is_open || self.stream_is_open;
        if self.time_left().is_zero() {
            return Err(self.deadline_refusal());
        }
        self.check_hold()?;
        if !is_open && !self.tried_servers.is_empty() {
            self.take_retry()?;
        }
        let selected = self.select_server(is_open).await?;
        // What crashes servers may have become known while the call waited for a slot.
        self.check_hold()?;
        if is_open {
            self.take_retry()?;
        }
        Ok(selected)
    }

    fn take_retry(&self) -> std::result::Result<(), Refusal> {
        match self.entry.try_acquire_retry(self.call) {
            true => Ok(()),
            false => Err(self.not_run_refusal("retry budget spent", MIN_RETRY_AFTER)),
        }
    }

    // Time until the first event is due.
    fn time_left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    fn deadline_refusal(&self) -> Refusal {
        match self.sent_attempts {
            0 => self.not_run_refusal("no time left", MIN_RETRY_AFTER),
            _ => Refusal::Timeout,
        }
    }

    fn not_run_refusal(&self, reason: &'static str, retry_after: Duration) -> Refusal {
        let servers = match self.call.engine() {
            Some(_) => self.eligible_servers(false),
            None => self.entry.ready_servers(&self.call.service),
        };
        Refusal::NotRun {
            reason,
            retry_after,
            known_load: self.entry.load_tracker.summary(&servers),
        }
    }

    fn check_hold(&self) -> std::result::Result<(), Refusal> {
        match self.entry.hold(self.call).filter(|_| !self.is_trial) {
            Some(hold) => Err(hold.refusal(self.call, self.sent_attempts)),
            None => Ok(()),
        }
    }

    fn no_server_refusal(&self, limits: &LimitedSelection<'_, D>) -> Refusal {
        if let Some(retry_after) = limits.retry_after() {
            return self.not_run_refusal(LIMIT_REASON, retry_after);
        }
        if let Some(reason) = self.entry.placement_refusal(self.call) {
            return self.not_run_refusal(reason, NO_SERVER_RETRY_AFTER);
        }
        match self.entry.pause_of_all(&self.call.service) {
            Some(pause) => self.not_run_refusal("every backend server asked for a pause", pause),
            None => self.not_run_refusal("no backend server", NO_SERVER_RETRY_AFTER),
        }
    }

    fn can_retry(&self) -> bool {
        let has_attempt_left = self.sent_attempts < self.call.route.max_attempts;
        let may_run_again = self.sent_attempts == 0
            || (self.call.is_retryable()
                && self.time_left() > MIN_ATTEMPT_TIME
                && !self.is_trial
                && self.entry.poison_guard.may_repeat(self.call));
        has_attempt_left && may_run_again && self.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
    }

    // If every engine is full, waits a limited time for a free slot.
    async fn select_server(
        &self,
        is_open: bool,
    ) -> std::result::Result<(SlotPermit, SendPermit), Refusal> {
        let (entry, call) = (self.entry, self.call);
        let mut limits = LimitedSelection::new(entry, call);
        let Some(engine) = call.engine() else {
            let servers = || {
                let mut servers = entry.admitted_servers(call);
                servers.retain(|s| !is_open || !self.tried_servers.contains(&s.id));
                servers
            };
            let selected = limits.select_least_loaded(servers).await;
            return selected.ok_or_else(|| self.no_server_refusal(&limits));
        };
        let until = match self.tried_servers.is_empty() {
            true => call.received_at + call.route.objective.mul_f64(SLOT_WAIT_SHARE),
            false => Instant::now() + RETRY_SLOT_WAIT.min(self.time_left() / 3),
        };
        let load_changed = entry.load_tracker.subscribe();
        loop {
            let servers = limits.admit(self.eligible_servers(is_open));
            let settings = &entry.cx.settings;
            let is_remote = |s: &BackendServer| settings.region_of(&s.zone) != settings.region;
            let selected = entry.load_tracker.select_engine(
                engine,
                &servers,
                &self.requirements(),
                is_remote,
                |server| entry.cx.limit_guard.is_limited(server),
                |server| entry.prompt_reuse.expected_tokens(call, engine, server),
            );
            let is_full = match selected {
                Ok(permit) => match limits.acquire(&permit.server).await {
                    Some(send_permit) => return Ok((permit, send_permit)),
                    None => continue,
                },
                Err(selection) => matches!(selection, EngineSelection::Full(_)),
            };
            let may_wait = is_full || limits.awaits_cold_server();
            if may_wait && timeout_at(until, load_changed.recv_async()).await.is_ok() {
                continue;
            }
            if limits.fall_back_to_limited() {
                continue;
            }
            return Err(match is_full {
                true => self.not_run_refusal("every engine is full", FULL_RETRY_AFTER),
                false => self.no_server_refusal(&limits),
            });
        }
    }

    fn requirements(&self) -> RequestRequirements {
        let call = self.call;
        let late = call.is_late_retry() || call.age() > call.route.objective;
        // Retries never count as late: when a stream resumes, its caller already
        // has a part of the response.
        let is_retry = !self.tried_servers.is_empty();
        RequestRequirements {
            prompt_tokens: call.prompt_tokens,
            first_event_budget: match is_retry {
                true => self.time_left(),
                false => call.route.objective.saturating_sub(call.age()),
            },
            max_event_gap: call.route.max_event_gap,
            late: late && !is_retry,
        }
    }

    // With `only_untried`, a server that the call was sent to is left out although no other
    // one is there, because it may still answer.
    fn eligible_servers(&self, only_untried: bool) -> Vec<Arc<BackendServer>> {
        let mut servers = self.entry.admitted_servers(self.call);
        // A stream goes on only on the weights on which it began.
        if let Some(version) = self.weights_version {
            let snapshot = self.entry.cx.cluster.snapshot();
            servers.retain(|s| snapshot.loaded_version(s) == version);
        }
        let is_untried = |s: &Arc<BackendServer>| !self.tried_servers.contains(&s.id);
        if only_untried || servers.iter().any(is_untried) {
            servers.retain(is_untried);
        }
        servers
    }
}
