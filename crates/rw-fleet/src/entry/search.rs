//! Looks for a backend server that starts a stream, or continues it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rw_protocol::Name;
use rw_routing::{Demand, Placed};
use tokio::time::{timeout_at, Instant};

use super::answer::AnswerBody;
use super::attempt::{self, Failure, Try};
use super::{answer, Call, Entry, EventReader, Refusal, Ticket};
use crate::connect::{read_response, Connection};
use crate::{BackendServer, Engine, PlatformCodec};

/// Largest failure in one piece, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Backend servers that may turn out unreachable or full before a call is
/// refused.
const MAX_NOT_RUN: u32 = 4;
/// Share of the objective for which a call waits for a place here.
const HOLD_SHARE: f64 = 0.12;
/// Time for which a call that goes on elsewhere waits for a place: each engine
/// frees one in less.
const GOES_ON_WAIT: Duration = Duration::from_millis(500);
/// Time within which a server has to send the first event of a stream that
/// may go on elsewhere; most callers leave after twice of it.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1500);
/// Remaining time below which another try is not worth its cost.
pub(super) const MIN_LEFT: Duration = Duration::from_millis(500);
/// Pause for callers when no backend server serves the model; bringing weights
/// back takes some seconds, and most callers come back only once.
const NO_SERVER_RETRY: Duration = Duration::from_secs(2);
/// Pause for callers that were refused for want of a place. Those that come
/// back sooner only take the places of others, whose answers could be on time.
const FULL_RETRY: Duration = Duration::from_secs(2);
/// Pause for callers whose request met an unlucky choice of servers.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// A stream whose first event is here.
pub(super) struct Started {
    pub(super) ticket: Ticket,
    // Open for as long as the stream runs.
    _conn: Connection,
    pub(super) body: Incoming,
    pub(super) head: HeaderMap,
    pub(super) weights: Option<u64>,
    pub(super) reader: EventReader,
    pub(super) first: Bytes,
    pub(super) ended: bool,
    pub(super) placed: String,
}

pub(super) enum Opened {
    Stream(Box<Started>),
    Whole(Box<Response<AnswerBody>>),
}

/// Looks for a backend server that starts, or continues, a stream.
pub(super) struct Search<'a, D> {
    pub(super) entry: &'a Arc<Entry<D>>,
    pub(super) call: &'a Arc<Call>,
    pub(super) tried: Vec<Name>,
    // Tries that may have run.
    pub(super) sent: u32,
    pub(super) not_run: u32,
    // Version of the weights that a continued stream keeps.
    pub(super) weights: Option<u64>,
}

impl<D: PlatformCodec> Search<'_, D> {
    pub(super) async fn open(&mut self, last_event: u64) -> std::result::Result<Opened, Refusal> {
        let mut fallback = None;
        loop {
            if self.call.left().is_zero() {
                return Err(self.given_up(fallback, Refusal::Timeout));
            }
            if !self.tried.is_empty() && !self.entry.take_repeat(self.call) {
                let refusal = self.not_run("retry budget spent", MIN_RETRY);
                return Err(fallback.unwrap_or(refusal));
            }
            let ticket = match self.place().await {
                Ok(ticket) => ticket,
                Err(refusal) => return Err(fallback.unwrap_or(refusal)),
            };
            let server = ticket.server.id.clone();
            let done = self.start(ticket, last_event).await;
            self.entry.note_attempt(self.call, &server, &done);
            self.tried.push(server);
            match done {
                Ok(opened) => return Ok(opened),
                Err(Failure::NotSent(_) | Failure::NotRun(_)) => self.not_run += 1,
                Err(Failure::Timeout) => {
                    self.sent += 1;
                    fallback = Some(Refusal::Timeout);
                }
                Err(Failure::Unknown(_)) => {
                    self.sent += 1;
                    fallback = Some(Refusal::Failed("the backend server broke off"));
                }
            }
            if !self.may_go_on() {
                let refusal = self.not_run("backend servers are full", MIN_RETRY);
                return Err(fallback.unwrap_or(refusal));
            }
        }
    }

    fn given_up(&self, fallback: Option<Refusal>, sent: Refusal) -> Refusal {
        if self.sent > 0 {
            return fallback.unwrap_or(sent);
        }
        self.not_run("no time left", MIN_RETRY)
    }

    fn not_run(&self, reason: &'static str, retry_after: Duration) -> Refusal {
        let service = self.call.cfg.service(&self.call.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        let servers = match engine {
            Some(engine) => self.servers(engine),
            None => self.entry.servers(&self.call.service),
        };
        Refusal::NotRun {
            reason,
            retry_after,
            believed: self.entry.board.summary(&servers),
        }
    }

    fn may_go_on(&self) -> bool {
        let may_send = self.sent < self.call.route.max_attempts;
        let may_repeat = self.sent == 0 || (self.call.may_repeat() && self.call.left() > MIN_LEFT);
        may_send && may_repeat && self.not_run < MAX_NOT_RUN
    }

    // Waits a little for a place when every engine is full.
    async fn place(&self) -> std::result::Result<Ticket, Refusal> {
        let (entry, call) = (self.entry, self.call);
        let service = call.cfg.service(&call.service);
        let Some(engine) = service.and_then(|s| s.engine.clone()) else {
            let ticket = entry.board.place_plain(&entry.servers(&call.service));
            return ticket.ok_or(self.not_run("no backend server", NO_SERVER_RETRY));
        };
        let until = match self.tried.is_empty() {
            true => call.arrived + call.route.objective.mul_f64(HOLD_SHARE),
            false => Instant::now() + GOES_ON_WAIT.min(call.left() / 3),
        };
        let freed = entry.board.subscribe();
        loop {
            let servers = self.servers(&engine);
            let site = &entry.cx.settings;
            let is_remote = |s: &BackendServer| site.region_of(&s.zone) != site.region;
            let placed = entry
                .board
                .place(&engine, &servers, &self.demand(), is_remote);
            match placed {
                Ok(ticket) => return Ok(ticket),
                Err(Placed::Full(_)) => {}
                Err(_) => return Err(self.not_run("no backend server", NO_SERVER_RETRY)),
            }
            if timeout_at(until, freed.recv_async()).await.is_err() {
                return Err(self.not_run("every engine is full", FULL_RETRY));
            }
        }
    }

    fn demand(&self) -> Demand {
        let call = self.call;
        let late = call.has_waited() || call.age() > call.route.objective;
        // Part of an answer that goes on elsewhere is with the caller already.
        let goes_on = !self.tried.is_empty();
        Demand {
            prompt_tokens: call.prompt_tokens,
            first_event: match goes_on {
                true => call.left(),
                false => call.route.objective.saturating_sub(call.age()),
            },
            pause: call.route.max_pause,
            late: late && !goes_on,
        }
    }

    fn servers(&self, engine: &Engine) -> Vec<Arc<BackendServer>> {
        let view = self.entry.cx.cluster.snapshot();
        let wanted = self.entry.oldest_weights(&view, engine);
        let mut servers = self.entry.servers(&self.call.service);
        servers.retain(|s| {
            let loaded = view.loaded_version(s);
            let right = match self.weights {
                Some(version) => loaded == version,
                None => loaded >= wanted,
            };
            right && !view.is_paused(&s.id, rw_coord::uptime())
        });
        let fresh = |s: &Arc<BackendServer>| !self.tried.contains(&s.id);
        if servers.iter().any(fresh) {
            servers.retain(fresh);
        }
        servers
    }

    // Sends the call and waits for its first event.
    async fn start(&self, mut ticket: Ticket, last_event: u64) -> attempt::Result<Opened> {
        let (call, names) = (self.call, self.entry.cx.codec.headers());
        let can_repeat = call.may_repeat() && self.sent + 1 < call.route.max_attempts;
        let limit = if can_repeat {
            FIRST_EVENT_LIMIT.min(call.left())
        } else {
            call.left()
        };
        let until = Instant::now() + limit;
        let placed = format!(
            "placed_ms={} patience_ms={} forecast_ms={} running={} unread={} prompt={}",
            call.age().as_millis(),
            (call.age() + call.left()).as_millis(),
            ticket.forecast.as_millis(),
            ticket.load.running,
            ticket.load.unread_tokens,
            call.prompt_tokens
        );
        let particular = Try {
            last_event,
            weights: self.weights,
        };
        let (conn, res) = attempt::send(call, &ticket.server, names, &particular, limit).await?;
        if !is_event_stream(&res) {
            let whole = timeout_at(until, read_response(res, MAX_ANSWER)).await;
            let whole = whole.map_err(|_| Failure::Timeout)??;
            if promises_too_much(whole.status, call) {
                return Err(Failure::Unknown(format!("status {}", whole.status)));
            }
            return Ok(Opened::Whole(Box::new(answer::whole(whole, names))));
        }
        let (head, mut body) = res.into_parts();
        let weights = head.headers.get(&names.weights);
        let weights = weights.and_then(|v| v.to_str().ok()?.parse().ok());
        let mut reader = EventReader::after(last_event);
        let first = timeout_at(until, next_events(&mut body, &mut reader)).await;
        let first = first.map_err(|_| Failure::Timeout)??;
        ticket.on_first_event();
        let ended = first.is_none();
        Ok(Opened::Stream(Box::new(Started {
            ticket,
            _conn: conn,
            body,
            head: head.headers,
            weights,
            reader,
            first: first.unwrap_or_default(),
            ended,
            placed,
        })))
    }
}

fn promises_too_much(status: StatusCode, call: &Call) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
        || (status.is_server_error() && call.may_repeat())
}

fn is_event_stream(res: &Response<Incoming>) -> bool {
    let kind = res.headers().get(CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    res.status() == StatusCode::OK && kind.starts_with("text/event-stream")
}

/// The next whole events; `None` at the end of the stream.
pub(super) async fn next_events(
    body: &mut Incoming,
    reader: &mut EventReader,
) -> attempt::Result<Option<Bytes>> {
    loop {
        let Some(frame) = body.frame().await else {
            return match reader.is_at_boundary() {
                true => Ok(None),
                false => Err(Failure::Unknown("stream ends inside an event".to_string())),
            };
        };
        let frame = frame.map_err(|err| Failure::Unknown(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = reader.push(&data);
        if reader.is_overlong() {
            return Err(Failure::Unknown("event too long".to_string()));
        }
        if !events.is_empty() {
            return Ok(Some(events));
        }
    }
}
