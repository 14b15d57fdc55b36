//! Streaming calls: forwards a server's events and resumes broken streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Either;
use rw_observe::Event;
use rw_protocol::Name;
use tokio::time::{timeout, timeout_at, Instant};

use super::attempt::{self, Failure};
use super::poison_guard::RUN_TIME;
use super::response::{caller_headers, event_body, EventSender, ResponseBody};
use super::stream_attempt::{next_events, Opened, OpenedStream};
use super::stream_opener::{StreamOpener, MIN_ATTEMPT_TIME};
use super::{Call, Entry, Refusal};
use crate::PlatformCodec;

/// Multiple of the route's maximum event gap after which another server is asked to go on
/// with a stream. Its own server may be sound and go on first.
const STALL_GAP_FACTOR: u32 = 3;
/// Shortest such silence, for routes that state no gap.
const MIN_STALL: Duration = Duration::from_millis(100);

/// Opens the stream of a call and forwards it to the caller in a task.
pub async fn run<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    call: &Arc<Call>,
) -> std::result::Result<Response<ResponseBody>, Refusal> {
    let is_trial = entry.take_trial(call).await;
    let mut opener = StreamOpener {
        entry,
        call,
        tried_servers: Vec::new(),
        sent_attempts: 0,
        not_run_attempts: 0,
        is_trial,
        weights_version: None,
        stream_is_open: false,
        until: call.next_event_limit(call.received_at),
    };
    let stream = match opener.open(call.last_event_id).await? {
        Opened::Complete(res) => return Ok(*res),
        Opened::Stream(stream) => stream,
    };
    let mut res = Response::new(());
    *res.headers_mut() = caller_headers(&stream.head, entry.cx.codec.headers());
    let (tx, body) = event_body(call.memory.clone());
    let (tried_servers, sent_attempts) = (opener.tried_servers, opener.sent_attempts);
    let relay = Relay {
        entry: entry.clone(),
        call: call.clone(),
        tx,
        tried_servers,
        sent_attempts,
        is_trial,
        weights_version: stream.weights_version,
        first_event_latency: call.age(),
        longest_event_gap: Duration::ZERO,
        last_event_at: Instant::now(),
        silent_since: Instant::now(),
        selection_detail: stream.selection_detail.clone(),
    };
    tokio::spawn(relay.run(stream));
    Ok(res.map(|()| Either::Right(body)))
}

/// Forwards a stream to the caller and resumes it on another server when its
/// server fails.
struct Relay<D> {
    entry: Arc<Entry<D>>,
    call: Arc<Call>,
    tx: EventSender,
    tried_servers: Vec<Name>,
    // Attempts that a server may have executed, with the one that is forwarded.
    sent_attempts: u32,
    // Whether the call was let through although it is quarantined.
    is_trial: bool,
    // Version of the weights on which the stream began.
    weights_version: Option<u64>,
    // For the log.
    first_event_latency: Duration,
    longest_event_gap: Duration,
    last_event_at: Instant,
    // When the caller was sent the last event.
    silent_since: Instant,
    // Forecast and known load when the first server was selected, for the log.
    selection_detail: String,
}

enum RelayEnd {
    Complete,
    Disconnected,
    // The caller left no room for more events until its deadline.
    Unread,
    Resumed(Box<OpenedStream>),
    Failed(Failure),
}

/// What comes next in a stream.
enum Next {
    Events(attempt::Result<Option<Bytes>>),
    // Another server goes on; the failure is that of the server before, if it is known.
    Resumed(Box<OpenedStream>, Option<Failure>),
    Disconnected,
}

/// Why a stream is not resumed.
type ResumeResult<T> = std::result::Result<T, &'static str>;

impl<D: PlatformCodec> Relay<D> {
    async fn run(mut self, stream: Box<OpenedStream>) {
        let mut current = stream;
        loop {
            let backend = current.permit.server.clone();
            let server = backend.id.clone();
            let first_event_at = Instant::now();
            self.last_event_at = first_event_at;
            let end = self.forward(&mut current, first_event_at).await;
            let last_id = current.reader.last_id();
            let silent_ms = self.last_event_at.elapsed().as_millis();
            let was_silent = current.is_silent;
            drop(current);
            let failure = match end {
                RelayEnd::Complete => {
                    self.entry.load_tracker.on_success(&server);
                    self.record(Event::CallAnswered, &server, "");
                    return self.tx.finish();
                }
                RelayEnd::Unread => {
                    let detail =
                        format!("failure=\"the caller did not read in time\" after={last_id}");
                    return self.record(Event::StreamBrokenOff, &server, &detail);
                }
                RelayEnd::Disconnected => return self.record(Event::CallCancelled, &server, ""),
                RelayEnd::Resumed(next) => {
                    self.record(Event::StreamResumed, &server, &format!("after={last_id}"));
                    current = next;
                    continue;
                }
                RelayEnd::Failed(failure) => failure,
            };
            let result: attempt::Result<()> = Err(failure.clone());
            match was_silent {
                // The failure was counted when the server became silent.
                true => self.entry.log_failure(&self.call, &server, &failure),
                false => self.entry.record_attempt(&self.call, &server, &result),
            }
            if first_event_at.elapsed() < RUN_TIME {
                let (guard, is_repeat) = (&self.entry.poison_guard, self.sent_attempts > 1);
                guard.on_attempt(&self.call, &backend, is_repeat, &result);
            }
            match self.resume(last_id).await {
                Ok(next) => {
                    self.record(Event::StreamResumed, &server, &format!("after={last_id}"));
                    current = next;
                }
                Err(_) if self.tx.is_disconnected() => {
                    return self.record(Event::CallCancelled, &server, &format!("after={last_id}"));
                }
                Err(reason) => {
                    let detail = format!(
                        "failure={failure:?} left_ms={} silent_ms={silent_ms} after={last_id} \
                         not_resumed={reason:?}",
                        self.call.time_left().as_millis()
                    );
                    return self.record(Event::StreamBrokenOff, &server, &detail);
                }
            }
        }
    }

    async fn forward(&mut self, current: &mut OpenedStream, first_event_at: Instant) -> RelayEnd {
        let mut has_run = false;
        let first_events = std::mem::take(&mut current.first_events);
        if !first_events.is_empty() && !self.tx.send(first_events).await {
            return RelayEnd::Disconnected;
        }
        self.silent_since = Instant::now();
        if current.is_complete {
            self.entry.poison_guard.on_run(&self.call);
            return RelayEnd::Complete;
        }
        loop {
            let events = match self.next(current).await {
                Next::Events(Ok(Some(events))) => events,
                Next::Events(Ok(None)) => {
                    self.entry.poison_guard.on_run(&self.call);
                    return RelayEnd::Complete;
                }
                Next::Events(Err(failure)) => return RelayEnd::Failed(failure),
                Next::Resumed(next, failure) => {
                    if let Some(failure) = failure {
                        let server = &current.permit.server.id;
                        self.entry.log_failure(&self.call, server, &failure);
                    }
                    return RelayEnd::Resumed(next);
                }
                Next::Disconnected => return RelayEnd::Disconnected,
            };
            self.longest_event_gap = self.longest_event_gap.max(self.last_event_at.elapsed());
            self.last_event_at = Instant::now();
            current.is_silent = false;
            current.permit.on_event();
            let guard = &self.entry.poison_guard;
            guard.on_event(&current.permit.server);
            if !has_run && first_event_at.elapsed() >= RUN_TIME {
                has_run = true;
                guard.on_run(&self.call);
            }
            let sent = timeout(self.call.time_left(), self.tx.send(events)).await;
            match sent {
                Ok(true) => self.silent_since = Instant::now(),
                Ok(false) => return RelayEnd::Disconnected,
                Err(_) => return RelayEnd::Unread,
            }
        }
    }

    // Waits for the server's next events. If the server is silent, another one is asked to
    // go on, and the first of the two to send an event serves the stream.
    async fn next(&mut self, current: &mut OpenedStream) -> Next {
        let stall = (self.call.route.max_event_gap * STALL_GAP_FACTOR).max(MIN_STALL);
        let until = self.until();
        let disconnected = self.tx.disconnected.clone();
        loop {
            let limit = until.min(Instant::now() + stall);
            let own = next_events(&mut current.body, &mut current.reader);
            let events = tokio::select! {
                events = timeout_at(limit, own) => events,
                _ = disconnected.recv_async() => return Next::Disconnected,
            };
            match events {
                Ok(events) => return Next::Events(events),
                Err(_) if limit == until => {
                    return Next::Events(Err(attempt::timed_out(&self.call)));
                }
                Err(_) if self.can_resume().is_err() => continue,
                Err(_) => {}
            }
            if !std::mem::replace(&mut current.is_silent, true) {
                let server = &current.permit.server.id;
                self.entry.record_silence(&self.call, server, stall);
            }
            let (last_id, mut failure) = (current.reader.last_id(), None);
            let (entry, call) = (self.entry.clone(), self.call.clone());
            let mut opener = self.opener(&entry, &call);
            opener.stream_is_open = true;
            let next = {
                let search = opener.open(last_id);
                tokio::pin!(search);
                loop {
                    let own = next_events(&mut current.body, &mut current.reader);
                    tokio::select! {
                        biased;
                        events = own, if failure.is_none() => match events {
                            Err(err) => failure = Some(err),
                            events => break Some(Next::Events(events)),
                        },
                        opened = &mut search => break match opened {
                            Ok(Opened::Stream(next)) => Some(Next::Resumed(next, failure.take())),
                            _ => failure.take().map(|failure| Next::Events(Err(failure))),
                        },
                        _ = disconnected.recv_async() => break Some(Next::Disconnected),
                    }
                }
            };
            (self.tried_servers, self.sent_attempts) = (opener.tried_servers, opener.sent_attempts);
            if let Some(next) = next {
                return next;
            }
        }
    }

    fn opener<'a>(&self, entry: &'a Arc<Entry<D>>, call: &'a Arc<Call>) -> StreamOpener<'a, D> {
        StreamOpener {
            entry,
            call,
            tried_servers: self.tried_servers.clone(),
            sent_attempts: self.sent_attempts,
            not_run_attempts: 0,
            is_trial: false,
            weights_version: self.weights_version,
            stream_is_open: false,
            until: self.until(),
        }
    }

    // Latest time for the next event.
    fn until(&self) -> Instant {
        self.call.next_event_limit(self.silent_since)
    }

    fn can_resume(&self) -> ResumeResult<()> {
        let reason = if !self.call.is_retryable() {
            "route without resumption"
        } else if self.sent_attempts >= self.call.route.max_attempts {
            "no attempt left"
        } else if self.until() <= Instant::now() + MIN_ATTEMPT_TIME {
            "no time left"
        } else if self.is_trial || !self.entry.poison_guard.may_repeat(&self.call) {
            "backend servers crash under the request"
        } else {
            return Ok(());
        };
        Err(reason)
    }

    async fn resume(&mut self, last_event_id: u64) -> ResumeResult<Box<OpenedStream>> {
        self.can_resume()?;
        let (entry, call) = (self.entry.clone(), self.call.clone());
        let mut opener = self.opener(&entry, &call);
        let opened = tokio::select! {
            opened = opener.open(last_event_id) => opened,
            _ = self.tx.disconnected.recv_async() => return Err("the caller disconnected"),
        };
        (self.tried_servers, self.sent_attempts) = (opener.tried_servers, opener.sent_attempts);
        match opened {
            Ok(Opened::Stream(stream)) => Ok(stream),
            Ok(Opened::Complete(_)) => Err("the next server sent no stream"),
            Err(refusal) => Err(refusal.reason()),
        }
    }

    fn record(&self, event: Event, server: &Name, extra: &str) {
        let (first_ms, gap_ms) = (
            self.first_event_latency.as_millis(),
            self.longest_event_gap.as_millis(),
        );
        let detail = format!(
            "server={server} first_ms={first_ms} pause_ms={gap_ms} {} {extra}",
            self.selection_detail
        );
        self.entry.record_call(&self.call, event, &detail);
    }
}
