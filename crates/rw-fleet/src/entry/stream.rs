//! Calls that are answered by a stream of events.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http_body_util::Either;
use rw_observe::Event;
use rw_protocol::Name;
use tokio::time::{timeout, timeout_at, Instant};

use super::answer::{event_body, head_for_caller, AnswerBody, EventTx};
use super::attempt::Failure;
use super::search::{next_events, Opened, Search, Started, MIN_LEFT};
use super::{Call, Entry, Refusal};
use crate::PlatformCodec;

/// Pauses, in times of the longest one on time, after which a stream that may
/// go on elsewhere does.
const STALL_PAUSES: u32 = 3;

/// Answers a streaming call.
pub async fn run<D: PlatformCodec>(
    entry: &Arc<Entry<D>>,
    call: &Arc<Call>,
) -> std::result::Result<Response<AnswerBody>, Refusal> {
    let mut search = Search {
        entry,
        call,
        tried: Vec::new(),
        sent: 0,
        not_run: 0,
        weights: None,
    };
    let started = match search.open(call.last_event).await? {
        Opened::Whole(res) => return Ok(*res),
        Opened::Stream(started) => started,
    };
    let mut res = Response::new(());
    *res.headers_mut() = head_for_caller(&started.head, entry.cx.codec.headers());
    let (tx, body) = event_body();
    let (tried, sent) = (search.tried, search.sent);
    let relay = Relay {
        entry: entry.clone(),
        call: call.clone(),
        tx,
        tried,
        sent,
        first_event: call.age(),
        longest_pause: Duration::ZERO,
        placed: started.placed.clone(),
    };
    tokio::spawn(relay.run(started));
    Ok(res.map(|()| Either::Right(body)))
}

/// Passes a stream on and continues it elsewhere when its server fails.
struct Relay<D> {
    entry: Arc<Entry<D>>,
    call: Arc<Call>,
    tx: EventTx,
    tried: Vec<Name>,
    sent: u32,
    // Time to the first event, and the longest pause between two.
    first_event: Duration,
    longest_pause: Duration,
    // What was believed when the first server was chosen.
    placed: String,
}

enum Ended {
    Whole,
    CallerLeft,
    Failed(Failure),
}

impl<D: PlatformCodec> Relay<D> {
    async fn run(mut self, started: Box<Started>) {
        let mut current = started;
        let weights = current.weights;
        loop {
            let server = current.ticket.server.id.clone();
            let ended = self.pass_on(&mut current).await;
            let last = current.reader.last();
            drop(current);
            let failure = match ended {
                Ended::Whole => {
                    self.entry.board.on_success(&server);
                    return self.note(Event::CallAnswered, &server, "");
                }
                Ended::CallerLeft => return self.note(Event::CallCancelled, &server, ""),
                Ended::Failed(failure) => failure,
            };
            self.entry
                .note_attempt::<()>(&self.call, &server, &Err(failure.clone()));
            self.tried.push(server.clone());
            self.sent += 1;
            match self.resume(last, weights).await {
                Some(next) => {
                    self.note(Event::StreamResumed, &server, &format!("after={last}"));
                    current = next;
                }
                None => {
                    self.note(
                        Event::StreamBrokenOff,
                        &server,
                        &format!("failure={failure:?}"),
                    );
                    return self.tx.break_off().await;
                }
            }
        }
    }

    async fn pass_on(&mut self, current: &mut Started) -> Ended {
        let first = std::mem::take(&mut current.first);
        if !first.is_empty() && !self.tx.send(first).await {
            return Ended::CallerLeft;
        }
        if current.ended {
            return Ended::Whole;
        }
        let stall = self.call.route.max_pause * STALL_PAUSES;
        let deadline = self.call.deadline;
        let mut last = Instant::now();
        loop {
            let limit = match self.may_resume() {
                true => (Instant::now() + stall).min(deadline),
                false => deadline,
            };
            let events = timeout_at(limit, next_events(&mut current.body, &mut current.reader));
            let events = tokio::select! {
                events = events => events,
                _ = self.tx.gone.recv_async() => return Ended::CallerLeft,
            };
            match events {
                Err(_) => return Ended::Failed(Failure::Timeout),
                Ok(Err(failure)) => return Ended::Failed(failure),
                Ok(Ok(None)) => return Ended::Whole,
                Ok(Ok(Some(events))) => {
                    self.longest_pause = self.longest_pause.max(last.elapsed());
                    last = Instant::now();
                    current.ticket.on_event();
                    let sent = timeout(self.call.left(), self.tx.send(events)).await;
                    if sent != Ok(true) {
                        return Ended::CallerLeft;
                    }
                }
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.call.may_repeat()
            && self.sent < self.call.route.max_attempts
            && self.call.left() > MIN_LEFT
    }

    async fn resume(&self, last_event: u64, weights: Option<u64>) -> Option<Box<Started>> {
        if !self.may_resume() {
            return None;
        }
        let mut search = Search {
            entry: &self.entry,
            call: &self.call,
            tried: self.tried.clone(),
            sent: self.sent,
            not_run: 0,
            weights,
        };
        let opened = tokio::select! {
            opened = search.open(last_event) => opened,
            _ = self.tx.gone.recv_async() => return None,
        };
        match opened {
            Ok(Opened::Stream(started)) => Some(started),
            _ => None,
        }
    }

    fn note(&self, event: Event, server: &Name, more: &str) {
        let (first, pause) = (self.first_event.as_millis(), self.longest_pause.as_millis());
        let detail = format!(
            "server={server} first_ms={first} pause_ms={pause} {} {more}",
            self.placed
        );
        self.entry.note_call(&self.call, event, &detail);
    }
}
