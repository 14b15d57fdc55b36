//! Selects a backend server for a streaming call and opens the event stream
//! there, with retries on other servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use rw_protocol::Name;
use rw_routing::{EngineSelection, RequestRequirements};
use tokio::time::{timeout_at, Instant};

use super::attempt::{self, AttemptOptions, Failure};
use super::limited_selection::{LimitedSelection, LIMIT_REASON};
use super::response::ResponseBody;
use super::{response, Call, Entry, EventReader, Refusal, SlotPermit};
use crate::connect::{read_response, Connection};
use crate::limit_exchange::SendPermit;
use crate::read_budget::BudgetedBody;
use crate::{BackendServer, Engine, PlatformCodec};

/// Largest non-streaming response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Attempts that may fail without being executed, because the server is
/// unreachable or full, before the call is refused.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;
/// Maximum time that a call waits for a free slot, as a share of the route's
/// latency objective.
const SLOT_WAIT_SHARE: f64 = 0.12;
/// Maximum time that a retry waits for a free slot; each engine frees one within
/// that time.
const RETRY_SLOT_WAIT: Duration = Duration::from_millis(500);
/// Time limit for the first event of a stream that can be retried on another
/// server; most callers disconnect after twice that time.
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

/// `Retry-After` of a request with a quarantined part: until an operator or new weights
/// end the quarantine, it is refused again.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);
const QUARANTINE_REASON: &str = "a part of the prompt crashes backend servers";

/// A stream whose first events have been received.
pub(super) struct OpenedStream {
    pub(super) permit: SlotPermit,
    // Dropping the connection would close the stream.
    _conn: Connection,
    pub(super) body: BudgetedBody,
    pub(super) head: HeaderMap,
    pub(super) weights_version: Option<u64>,
    pub(super) reader: EventReader,
    pub(super) first_events: Bytes,
    pub(super) is_complete: bool,
    pub(super) selection_detail: String,
}

pub(super) enum Opened {
    Stream(Box<OpenedStream>),
    Complete(Box<Response<ResponseBody>>),
}

/// Opens a stream, or resumes it, on a backend server.
pub(super) struct StreamOpener<'a, D> {
    pub(super) entry: &'a Arc<Entry<D>>,
    pub(super) call: &'a Arc<Call>,
    pub(super) tried_servers: Vec<Name>,
    // Attempts that a server may have executed.
    pub(super) sent_attempts: u32,
    pub(super) not_run_attempts: u32,
    // Whether the call is let through although a part of its prompt is quarantined.
    pub(super) is_trial: bool,
    // Version of the weights that a resumed stream requires; `None` for a new
    // stream.
    pub(super) weights_version: Option<u64>,
}

impl<D: PlatformCodec> StreamOpener<'_, D> {
    pub(super) async fn open(
        &mut self,
        last_event_id: u64,
    ) -> std::result::Result<Opened, Refusal> {
        let mut fallback = None;
        loop {
            if self.call.time_left().is_zero() {
                return Err(self.deadline_refusal(fallback, Refusal::Timeout));
            }
            if !self.tried_servers.is_empty() && !self.entry.try_acquire_retry(self.call) {
                let refusal = self.not_run_refusal("retry budget spent", MIN_RETRY_AFTER);
                return Err(fallback.unwrap_or(refusal));
            }
            if self.is_quarantined() {
                return Err(self.quarantine_refusal());
            }
            let (permit, send_permit) = match self.select_server().await {
                Ok(selected) => selected,
                Err(refusal) => return Err(fallback.unwrap_or(refusal)),
            };
            let backend = permit.server.clone();
            let server = backend.id.clone();
            let guard = &self.entry.poison_guard;
            // The part may have become known while the call waited for a slot.
            if self.is_quarantined() {
                return Err(self.quarantine_refusal());
            }
            let result = tokio::select! {
                result = self.start_stream(permit, send_permit, last_event_id) => result,
                // The server may not have begun to answer yet, and then keeps running.
                () = guard.quarantined(self.call), if !self.is_trial => {
                    self.sent_attempts += 1;
                    return Err(self.quarantine_refusal());
                }
            };
            self.entry.record_attempt(self.call, &server, &result);
            let is_repeat = self.sent_attempts > 0;
            guard.on_attempt(self.call, &backend, is_repeat, &result);
            self.tried_servers.push(server);
            match result {
                Ok(opened) => return Ok(opened),
                Err(Failure::NotSent(_) | Failure::NotRun(_) | Failure::PermitExpired) => {
                    self.not_run_attempts += 1;
                }
                Err(Failure::Timeout) => {
                    self.sent_attempts += 1;
                    fallback = Some(Refusal::Timeout);
                }
                Err(Failure::Unknown(_)) => {
                    self.sent_attempts += 1;
                    fallback = Some(Refusal::Failed("the backend server broke off"));
                }
            }
            if !self.can_retry() {
                let pause = self.entry.pause_of_all(&self.call.service);
                let retry_after = pause.unwrap_or(MIN_RETRY_AFTER);
                let refusal = self.not_run_refusal("backend servers are full", retry_after);
                return Err(fallback.unwrap_or(refusal));
            }
        }
    }

    fn deadline_refusal(&self, fallback: Option<Refusal>, if_sent: Refusal) -> Refusal {
        if self.sent_attempts > 0 {
            return fallback.unwrap_or(if_sent);
        }
        self.not_run_refusal("no time left", MIN_RETRY_AFTER)
    }

    fn not_run_refusal(&self, reason: &'static str, retry_after: Duration) -> Refusal {
        let service = self.call.cfg.service(&self.call.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        let servers = match engine {
            Some(engine) => self.eligible_servers(engine),
            None => self.entry.ready_servers(&self.call.service),
        };
        Refusal::NotRun {
            reason,
            retry_after,
            known_load: self.entry.load_tracker.summary(&servers),
        }
    }

    fn is_quarantined(&self) -> bool {
        !self.is_trial && self.entry.poison_guard.is_quarantined(self.call)
    }

    fn quarantine_refusal(&self) -> Refusal {
        match self.sent_attempts {
            0 => self.not_run_refusal(QUARANTINE_REASON, QUARANTINE_RETRY_AFTER),
            _ => Refusal::Failed(QUARANTINE_REASON),
        }
    }

    fn no_server_refusal(&self, limits: &LimitedSelection<'_, D>) -> Refusal {
        if let Some(retry_after) = limits.retry_after() {
            return self.not_run_refusal(LIMIT_REASON, retry_after);
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
                && self.call.time_left() > MIN_ATTEMPT_TIME
                && !self.is_trial
                && self.entry.poison_guard.may_repeat(self.call));
        has_attempt_left && may_run_again && self.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
    }

    // If every engine is full, waits a limited time for a free slot.
    async fn select_server(&self) -> std::result::Result<(SlotPermit, SendPermit), Refusal> {
        let (entry, call) = (self.entry, self.call);
        let mut limits = LimitedSelection::new(entry, call);
        let service = call.cfg.service(&call.service);
        let Some(engine) = service.and_then(|s| s.engine.clone()) else {
            let servers = || entry.admitted_servers(&call.service);
            let selected = limits.select_least_loaded(servers).await;
            return selected.ok_or_else(|| self.no_server_refusal(&limits));
        };
        let until = match self.tried_servers.is_empty() {
            true => call.received_at + call.route.objective.mul_f64(SLOT_WAIT_SHARE),
            false => Instant::now() + RETRY_SLOT_WAIT.min(call.time_left() / 3),
        };
        let load_changed = entry.load_tracker.subscribe();
        loop {
            let servers = limits.admit(self.eligible_servers(&engine));
            let settings = &entry.cx.settings;
            let is_remote = |s: &BackendServer| settings.region_of(&s.zone) != settings.region;
            let selected = entry.load_tracker.select_engine(
                &engine,
                &servers,
                &self.requirements(),
                is_remote,
                |server| entry.cx.limit_guard.is_limited(server),
            );
            let is_full = match selected {
                Ok(permit) => match limits.acquire(&permit.server).await {
                    Some(send_permit) => return Ok((permit, send_permit)),
                    None => continue,
                },
                Err(selection) => matches!(selection, EngineSelection::Full(_)),
            };
            if is_full && timeout_at(until, load_changed.recv_async()).await.is_ok() {
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
                true => call.time_left(),
                false => call.route.objective.saturating_sub(call.age()),
            },
            max_event_gap: call.route.max_event_gap,
            late: late && !is_retry,
        }
    }

    fn eligible_servers(&self, engine: &Engine) -> Vec<Arc<BackendServer>> {
        let snapshot = self.entry.cx.cluster.snapshot();
        let min_version = self.entry.min_weights_version(&snapshot, engine);
        let mut servers = self.entry.ready_servers(&self.call.service);
        servers.retain(|s| {
            let loaded_version = snapshot.loaded_version(s);
            // A stream goes on only on the weights on which it began.
            let has_version = self
                .weights_version
                .is_none_or(|version| loaded_version == version);
            has_version
                && loaded_version >= min_version
                && snapshot.has_trusted_weights(s)
                && !snapshot.is_paused(&s.id, rw_coord::uptime())
        });
        servers = self.entry.load_tracker.admitted(servers);
        let is_untried = |s: &Arc<BackendServer>| !self.tried_servers.contains(&s.id);
        if servers.iter().any(is_untried) {
            servers.retain(is_untried);
        }
        servers
    }

    // Sends the call and waits for its first events.
    async fn start_stream(
        &self,
        mut permit: SlotPermit,
        send_permit: SendPermit,
        last_event_id: u64,
    ) -> attempt::Result<Opened> {
        let (call, names) = (self.call, self.entry.cx.codec.headers());
        let has_retry_left =
            call.is_retryable() && self.sent_attempts + 1 < call.route.max_attempts;
        let limit = if has_retry_left {
            FIRST_EVENT_TIMEOUT.min(call.time_left())
        } else {
            call.time_left()
        };
        let until = Instant::now() + limit;
        let selection_detail = format!(
            "placed_ms={} patience_ms={} forecast_ms={} running={} unread={} prompt={}",
            call.age().as_millis(),
            (call.age() + call.time_left()).as_millis(),
            permit.forecast.as_millis(),
            permit.load.running,
            permit.load.unread_tokens,
            call.prompt_tokens
        );
        let options = AttemptOptions {
            last_event_id,
            weights_version: self.weights_version,
        };
        let (conn, res) = attempt::send(
            self.entry,
            call,
            &permit.server,
            &options,
            send_permit,
            limit,
        )
        .await?;
        if !is_event_stream(&res) {
            let response = timeout_at(until, read_response(res, MAX_RESPONSE_BYTES)).await;
            let response = response.map_err(|_| Failure::Timeout)??;
            if must_not_relay(response.status, call) {
                return Err(Failure::Unknown(format!("status {}", response.status)));
            }
            return Ok(Opened::Complete(Box::new(response::complete(
                response, names,
            ))));
        }
        let (head, mut body) = res.into_parts();
        let weights_version = head.headers.get(&names.weights);
        let weights_version = weights_version.and_then(|v| v.to_str().ok()?.parse().ok());
        let mut reader = EventReader::after(last_event_id);
        let first_events = timeout_at(until, next_events(&mut body, &mut reader)).await;
        let first_events = first_events.map_err(|_| Failure::Timeout)??;
        permit.on_first_event();
        let is_complete = first_events.is_none();
        Ok(Opened::Stream(Box::new(OpenedStream {
            permit,
            _conn: conn,
            body,
            head: head.headers,
            weights_version,
            reader,
            first_events: first_events.unwrap_or_default(),
            is_complete,
            selection_detail,
        })))
    }
}

// 503 and 429 tell a caller that its request was not executed, which is not
// certain here. Other server errors of a retryable call lead to a retry.
fn must_not_relay(status: StatusCode, call: &Call) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
        || (status.is_server_error() && call.is_retryable())
}

fn is_event_stream(res: &Response<BudgetedBody>) -> bool {
    let kind = res.headers().get(CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    res.status() == StatusCode::OK && kind.starts_with("text/event-stream")
}

/// Reads the next complete events; `None` at the end of the stream.
pub(super) async fn next_events(
    body: &mut BudgetedBody,
    reader: &mut EventReader,
) -> attempt::Result<Option<Bytes>> {
    loop {
        let Some(frame) = body.frame().await else {
            return match reader.is_at_boundary() {
                true => Ok(None),
                false => Err(Failure::Unknown("stream ended inside an event".to_string())),
            };
        };
        let frame = frame.map_err(|err| Failure::Unknown(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = reader.push(&data);
        if reader.is_overlong() {
            return Err(Failure::Unknown("event exceeds the size limit".to_string()));
        }
        if !events.is_empty() {
            return Ok(Some(events));
        }
    }
}
