//! Brings one call to a host and its answer back.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{digest, Blob, CallFrame, CallRequest, Load, Name, PeerReply, PeerRequest};
use rw_routing::{HostQuery, HostSelection};

use super::dispatcher::{Ended, Grant, Message, Submit, Verdict};
use super::request::CallerRequest;
use super::respond::Outcome;
use super::Entry;
use rw_peer::{Error as PeerError, FrameRx};

/// Hosts that one call is offered to, refusals included.
const MAX_OFFERS: usize = 6;
const BUSY: u32 = 503;
const TOO_MANY: u32 = 429;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time beyond its deadline for which a call's last frame is awaited.
const LAST_FRAME_GRACE: Duration = Duration::from_millis(250);

/// Where the parts of an answer go.
pub trait Sink {
    /// Takes the next part; false once the caller is gone.
    fn part(&mut self, body: Blob) -> impl std::future::Future<Output = bool> + Send;
    /// Whether any part has reached the caller.
    fn has_sent(&self) -> bool;
    /// Forgets the parts of a dispatch that failed.
    fn restart(&mut self);
}

/// Collects the answer, so that the caller gets all of it or none.
#[derive(Default)]
pub struct Collect(pub Vec<u8>);

impl Sink for Collect {
    async fn part(&mut self, body: Blob) -> bool {
        self.0.extend_from_slice(body.as_ref());
        true
    }

    fn has_sent(&self) -> bool {
        false
    }

    fn restart(&mut self) {
        self.0.clear();
    }
}

// How one dispatch ended.
enum Dispatched {
    Answered(u32),
    NotRun {
        reason: String,
        after: Duration,
        leaving: bool,
    },
    Failed(String),
    Abandoned,
}

/// Runs a call to its final outcome. The answer's parts go to `sink`.
pub async fn run<S: Sink>(entry: &Arc<Entry>, call: &CallerRequest, sink: &mut S) -> Outcome {
    let cx = &entry.cx;
    let until = cx.now() + call.deadline;
    let mut exclude: Vec<Name> = Vec::new();
    let mut is_retry = false;
    for _ in 0..MAX_OFFERS {
        let pick = match grant(entry, call, &exclude, is_retry, until).await {
            Ok(pick) => pick,
            Err(outcome) => return outcome,
        };
        match dispatch(entry, call, &pick, until, sink).await {
            // A plain service that says it is busy may have run the call all the
            // same: only idempotent calls go on to another host.
            Dispatched::Answered(BUSY | TOO_MANY) if call.idempotent && !sink.has_sent() => {
                sink.restart();
                is_retry = true;
            }
            Dispatched::Answered(status) => return Outcome::Answered(status, Vec::new()),
            Dispatched::Abandoned => return Outcome::Unknown("the caller went away".to_string()),
            Dispatched::NotRun { reason, after, .. } => {
                if cx.now() + after >= until {
                    return Outcome::NotRun(reason, after);
                }
            }
            Dispatched::Failed(reason) => {
                if !call.idempotent || sink.has_sent() || cx.now() >= until {
                    return Outcome::Unknown(reason);
                }
                sink.restart();
                is_retry = true;
            }
        }
        exclude.push(pick.host);
    }
    Outcome::NotRun("every host that was asked refused".to_string(), RETRY_AFTER)
}

async fn grant(
    entry: &Entry,
    call: &CallerRequest,
    exclude: &[Name],
    is_retry: bool,
    until: Duration,
) -> Result<HostSelection, Outcome> {
    let mut want = HostQuery {
        service: call.service.clone(),
        manifests: Vec::new(),
        prefix: call.prefix.clone(),
        exclude: exclude.to_vec(),
    };
    if call.is_draft() {
        want.manifests = entry
            .cx
            .shared
            .read()
            .cfg
            .manifests(&call.service, &call.team);
        if want.manifests.is_empty() {
            let reason = format!(
                "no confirmed intent serves {} to team {}",
                call.service, call.team
            );
            return Err(Outcome::NotRun(reason, RETRY_AFTER));
        }
    }
    let (tx, rx) = flume::bounded(1);
    entry.dispatcher.tell(Message::Submit(Submit {
        want,
        team: call.team.clone(),
        priority: call.priority,
        deadline: until,
        since: entry.cx.now(),
        is_retry,
        grant: tx,
    }));
    match rx.recv_async().await {
        Ok(Grant::Go(pick)) => Ok(pick),
        Ok(Grant::Refused(refusal)) => Err(Outcome::NotRun(
            refusal.reason.to_string(),
            refusal.retry_after,
        )),
        Err(_) => Err(Outcome::NotRun(
            "the entry is stopping".to_string(),
            RETRY_AFTER,
        )),
    }
}

// Reports the end of a dispatch even when the caller's task is cancelled.
struct Report<'a> {
    entry: &'a Entry,
    ended: Option<Ended>,
    start: Duration,
}

impl Drop for Report<'_> {
    fn drop(&mut self) {
        if let Some(mut ended) = self.ended.take() {
            ended.took = self.entry.cx.now().saturating_sub(self.start);
            self.entry.dispatcher.tell(Message::Ended(ended));
        }
    }
}

async fn dispatch<S: Sink>(
    entry: &Entry,
    call: &CallerRequest,
    pick: &HostSelection,
    until: Duration,
    sink: &mut S,
) -> Dispatched {
    let start = entry.cx.now();
    let mut report = Report {
        entry,
        start,
        ended: Some(Ended {
            host: pick.host.clone(),
            team: call.team.clone(),
            held: None,
            verdict: Verdict::Abandoned,
            leaving: false,
            took: Duration::ZERO,
        }),
    };
    let mut load = None;
    let left = until.saturating_sub(start);
    let exchange = exchange(entry, call, pick, left, sink, &mut load);
    let done = tokio::time::timeout(left + LAST_FRAME_GRACE, exchange).await;
    let done = done.unwrap_or_else(|_| Dispatched::Failed("the deadline passed".to_string()));
    if let Some(ended) = &mut report.ended {
        ended.held = load.map(|l: Load| l.running + l.queued);
        ended.verdict = match &done {
            Dispatched::Answered(_) => Verdict::Answered,
            Dispatched::NotRun { .. } => Verdict::NotRun,
            Dispatched::Failed(_) => Verdict::Failed,
            Dispatched::Abandoned => Verdict::Abandoned,
        };
        ended.leaving = matches!(&done, Dispatched::NotRun { leaving: true, .. });
    }
    done
}

async fn exchange<S: Sink>(
    entry: &Entry,
    call: &CallerRequest,
    pick: &HostSelection,
    left: Duration,
    sink: &mut S,
    load: &mut Option<Load>,
) -> Dispatched {
    let attempt: u64 = rand::random();
    let req = PeerRequest::Call(CallRequest {
        attempt,
        request_id: call.request_id.clone(),
        team: call.team.clone(),
        service: call.service.clone(),
        operation: call.operation.clone(),
        manifest: pick.manifest.clone(),
        deadline_ms: left.as_millis() as u64,
        priority: call.priority,
        key: call.key.clone(),
        body: Blob::from(call.body.clone()),
    });
    let Some(addr) = entry.cx.shared.read().addr(&pick.host) else {
        return unreachable("the host is gone");
    };
    let mut rx = match entry.cx.pool.open(&addr, &req).await {
        Ok(rx) => rx,
        Err(PeerError::Unreachable(msg)) => {
            entry.dispatcher.tell(Message::Lost(pick.host.clone()));
            return unreachable(&msg);
        }
        Err(err) => return Dispatched::Failed(err.to_string()),
    };
    let mut answer = Answer {
        entry,
        attempt,
        frames: 0,
        digest: 0,
        seen: BTreeSet::new(),
    };
    answer.receive(&mut rx, sink, load).await
}

// Nothing was sent, so the call certainly did not run.
fn unreachable(reason: &str) -> Dispatched {
    Dispatched::NotRun {
        reason: reason.to_string(),
        after: Duration::ZERO,
        leaving: false,
    }
}

struct Answer<'a> {
    entry: &'a Entry,
    attempt: u64,
    frames: u32,
    digest: u64,
    seen: BTreeSet<u64>,
}

impl Answer<'_> {
    async fn receive<S: Sink>(
        &mut self,
        rx: &mut FrameRx,
        sink: &mut S,
        load: &mut Option<Load>,
    ) -> Dispatched {
        loop {
            let frame = match rx.next().await {
                Ok(Some(PeerReply::Call(frame))) => frame,
                Ok(Some(_)) => {
                    return Dispatched::Failed(
                        "the host sent an answer of the wrong kind".to_string(),
                    )
                }
                Ok(None) => return Dispatched::Failed("the answer has no end".to_string()),
                Err(err) => return Dispatched::Failed(err.to_string()),
            };
            if self.is_stray(&frame) {
                continue;
            }
            match frame {
                CallFrame::Started(started) => *load = Some(started.load),
                CallFrame::Data(data) => {
                    if data.seq != self.frames {
                        return Dispatched::Failed("a part of the answer is missing".to_string());
                    }
                    self.frames += 1;
                    self.digest = digest(self.digest, data.body.as_ref());
                    if !sink.part(data.body).await {
                        return Dispatched::Abandoned;
                    }
                }
                CallFrame::End(end) => {
                    *load = Some(end.load);
                    if end.frames != self.frames || end.digest != self.digest {
                        return Dispatched::Failed("the answer is not whole".to_string());
                    }
                    return Dispatched::Answered(end.status);
                }
                CallFrame::NotRun(not_run) => {
                    *load = Some(not_run.load);
                    return Dispatched::NotRun {
                        leaving: not_run.reason == "leaving",
                        reason: not_run.reason,
                        after: Duration::from_millis(not_run.retry_after_ms),
                    };
                }
                CallFrame::Failed(failed) => {
                    *load = Some(failed.load);
                    return Dispatched::Failed(failed.reason);
                }
            }
        }
    }

    // Frames of another dispatch are dropped and counted.
    fn is_stray(&mut self, frame: &CallFrame) -> bool {
        let attempt = match frame {
            CallFrame::Started(f) => f.attempt,
            CallFrame::Data(f) => f.attempt,
            CallFrame::End(f) => f.attempt,
            CallFrame::NotRun(f) => f.attempt,
            CallFrame::Failed(f) => f.attempt,
        };
        let stray = attempt != self.attempt;
        if stray && self.seen.insert(attempt) {
            let detail = format!("attempt={:016x} got={attempt:016x}", self.attempt);
            self.entry.cx.recorder.emit(Event::StrayFrame, &detail);
        }
        stray
    }
}
