//! Dispatches a call to a host, relays the answer and retries at other hosts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{
    extend_digest, Blob, CallFrame, CallRequest, Load, Name, PeerReply, PeerRequest,
};
use rw_routing::{HostQuery, HostSelection};

use super::dispatcher::{
    AttemptKind, DispatchOutcome, DispatchReport, DispatcherMessage, SelectionRequest,
    SelectionResult,
};
use super::request::CallerRequest;
use super::respond::CallOutcome;
use super::Entry;
use rw_peer::{Error as PeerError, FrameRx};

/// Maximum attempts for one call, each at another host, including those that the
/// host refuses.
const MAX_ATTEMPTS: usize = 6;
const STATUS_UNAVAILABLE: u32 = 503;
const STATUS_TOO_MANY_REQUESTS: u32 = 429;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after a call's deadline during which its last frame may still arrive.
const LAST_FRAME_GRACE: Duration = Duration::from_millis(250);

/// Receiver of an answer's parts.
pub trait AnswerSink {
    /// Takes the next part; returns false once the caller has disconnected.
    fn send_part(&mut self, body: Blob) -> impl std::future::Future<Output = bool> + Send;
    /// Whether any part has reached the caller.
    fn has_sent(&self) -> bool;
    /// Removes and returns the parts of an attempt that have not reached the caller.
    fn take(&mut self) -> Vec<u8>;
}

/// Buffers the answer, so that the caller gets either the complete answer or
/// none of it.
#[derive(Default)]
pub struct BufferSink(Vec<u8>);

impl AnswerSink for BufferSink {
    async fn send_part(&mut self, body: Blob) -> bool {
        self.0.extend_from_slice(body.as_ref());
        true
    }

    fn has_sent(&self) -> bool {
        false
    }

    fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.0)
    }
}

// How one attempt at a host ended.
enum Attempt {
    Answered(u32),
    NotRun {
        reason: String,
        retry_after: Duration,
        leaving: bool,
    },
    Failed(String),
    CallerGone,
}

/// Dispatches a call, with retries, until its outcome is final. The parts of
/// the answer go to `sink`; those that it still holds are part of the outcome.
pub async fn run_call<S: AnswerSink>(
    entry: &Arc<Entry>,
    call: &CallerRequest,
    sink: &mut S,
) -> CallOutcome {
    let cx = &entry.cx;
    let expires_at = cx.now() + call.timeout;
    let mut exclude: Vec<Name> = Vec::new();
    // Outcome of the last attempt that may have run.
    let mut failure: Option<CallOutcome> = None;
    let mut kind = AttemptKind::First;
    for _ in 0..MAX_ATTEMPTS {
        let selection = match select_host(entry, call, &exclude, kind, expires_at).await {
            Ok(selection) => selection,
            Err(refusal) => return failure.unwrap_or(refusal),
        };
        match dispatch(entry, call, &selection, expires_at, sink).await {
            // A plain service may have run the call in spite of a busy status, so
            // only idempotent calls are retried at another host.
            Attempt::Answered(status @ (STATUS_UNAVAILABLE | STATUS_TOO_MANY_REQUESTS))
                if call.idempotent && !sink.has_sent() =>
            {
                failure = Some(CallOutcome::Answered(status, sink.take()));
                kind = AttemptKind::Retry;
            }
            Attempt::Answered(status) => return CallOutcome::Answered(status, sink.take()),
            Attempt::CallerGone => return CallOutcome::Unknown("the caller went away".to_string()),
            Attempt::NotRun {
                reason,
                retry_after,
                ..
            } => {
                if cx.now() + retry_after >= expires_at {
                    return failure.unwrap_or(CallOutcome::NotRun(reason, retry_after));
                }
                kind = AttemptKind::Reoffer;
            }
            Attempt::Failed(reason) => {
                if !call.idempotent || sink.has_sent() || cx.now() >= expires_at {
                    return CallOutcome::Unknown(reason);
                }
                sink.take();
                failure = Some(CallOutcome::Unknown(reason));
                kind = AttemptKind::Retry;
            }
        }
        exclude.push(selection.host);
    }
    failure.unwrap_or_else(|| {
        CallOutcome::NotRun("every host that was asked refused".to_string(), RETRY_AFTER)
    })
}

async fn select_host(
    entry: &Entry,
    call: &CallerRequest,
    exclude: &[Name],
    attempt: AttemptKind,
    expires_at: Duration,
) -> Result<HostSelection, CallOutcome> {
    let mut query = HostQuery {
        service: call.service.clone(),
        manifests: Vec::new(),
        prefix: call.prefix.clone(),
        exclude: exclude.to_vec(),
    };
    if call.is_engine_call() {
        query.manifests = entry
            .cx
            .view
            .read()
            .cfg
            .manifests_for(&call.service, &call.team);
        if query.manifests.is_empty() {
            let reason = format!(
                "no confirmed intent serves {} to team {}",
                call.service, call.team
            );
            return Err(CallOutcome::NotRun(reason, RETRY_AFTER));
        }
    }
    let (tx, rx) = flume::bounded(1);
    entry
        .dispatcher
        .send(DispatcherMessage::Select(SelectionRequest {
            query,
            team: call.team.clone(),
            priority: call.priority,
            deadline: expires_at,
            submitted_at: entry.cx.now(),
            attempt,
            selection_tx: tx,
        }));
    match rx.recv_async().await {
        Ok(SelectionResult::Host(selection)) => Ok(selection),
        Ok(SelectionResult::Refused(refusal)) => Err(CallOutcome::NotRun(
            refusal.reason.to_string(),
            refusal.retry_after,
        )),
        Err(_) => Err(CallOutcome::NotRun(
            "the entry is stopping".to_string(),
            RETRY_AFTER,
        )),
    }
}

// Reports the end of a dispatch when dropped, which includes the cancellation of
// the caller's task.
struct ReportOnDrop<'a> {
    entry: &'a Entry,
    report: Option<DispatchReport>,
    start: Duration,
}

impl Drop for ReportOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(mut report) = self.report.take() {
            report.elapsed = self.entry.cx.now().saturating_sub(self.start);
            self.entry
                .dispatcher
                .send(DispatcherMessage::DispatchEnded(report));
        }
    }
}

async fn dispatch<S: AnswerSink>(
    entry: &Entry,
    call: &CallerRequest,
    selection: &HostSelection,
    expires_at: Duration,
    sink: &mut S,
) -> Attempt {
    let start = entry.cx.now();
    let mut guard = ReportOnDrop {
        entry,
        start,
        report: Some(DispatchReport {
            host: selection.host.clone(),
            team: call.team.clone(),
            reported_load: None,
            outcome: DispatchOutcome::CallerGone,
            leaving: false,
            elapsed: Duration::ZERO,
        }),
    };
    let mut load = None;
    let time_left = expires_at.saturating_sub(start);
    let exchange = exchange(entry, call, selection, time_left, sink, &mut load);
    let result = tokio::time::timeout(time_left + LAST_FRAME_GRACE, exchange).await;
    let result = result.unwrap_or_else(|_| Attempt::Failed("the deadline passed".to_string()));
    if let Some(report) = &mut guard.report {
        report.reported_load = load.map(|l: Load| l.running + l.queued);
        report.outcome = match &result {
            Attempt::Answered(_) => DispatchOutcome::Answered,
            Attempt::NotRun { .. } => DispatchOutcome::NotRun,
            Attempt::Failed(_) => DispatchOutcome::Failed,
            Attempt::CallerGone => DispatchOutcome::CallerGone,
        };
        report.leaving = matches!(&result, Attempt::NotRun { leaving: true, .. });
    }
    result
}

async fn exchange<S: AnswerSink>(
    entry: &Entry,
    call: &CallerRequest,
    selection: &HostSelection,
    time_left: Duration,
    sink: &mut S,
    load: &mut Option<Load>,
) -> Attempt {
    let attempt: u64 = rand::random();
    let req = PeerRequest::Call(CallRequest {
        attempt,
        request_id: call.request_id.clone(),
        team: call.team.clone(),
        service: call.service.clone(),
        operation: call.operation.clone(),
        manifest: selection.manifest.clone(),
        deadline_ms: time_left.as_millis() as u64,
        priority: call.priority,
        key: call.idempotency_key.clone(),
        body: Blob::from(call.body.clone()),
    });
    let Some(addr) = entry.cx.view.read().addr(&selection.host) else {
        return not_dispatched("the host is gone");
    };
    let mut rx = match entry.cx.pool.open(&addr, &req).await {
        Ok(rx) => rx,
        Err(PeerError::Unreachable(msg)) => {
            entry
                .dispatcher
                .send(DispatcherMessage::Unreachable(selection.host.clone()));
            return not_dispatched(&msg);
        }
        Err(err) => return Attempt::Failed(err.to_string()),
    };
    let mut reader = AnswerReader {
        entry,
        attempt,
        frames: 0,
        digest: 0,
        stray_attempts: BTreeSet::new(),
    };
    reader.read_to_end(&mut rx, sink, load).await
}

// The request was never sent, so the call cannot have run.
fn not_dispatched(reason: &str) -> Attempt {
    Attempt::NotRun {
        reason: reason.to_string(),
        retry_after: Duration::ZERO,
        leaving: false,
    }
}

struct AnswerReader<'a> {
    entry: &'a Entry,
    attempt: u64,
    frames: u32,
    digest: u64,
    stray_attempts: BTreeSet<u64>,
}

impl AnswerReader<'_> {
    async fn read_to_end<S: AnswerSink>(
        &mut self,
        rx: &mut FrameRx,
        sink: &mut S,
        load: &mut Option<Load>,
    ) -> Attempt {
        loop {
            let frame = match rx.next().await {
                Ok(Some(PeerReply::Call(frame))) => frame,
                Ok(Some(_)) => {
                    return Attempt::Failed("the host sent an answer of the wrong kind".to_string())
                }
                Ok(None) => return Attempt::Failed("the answer has no end".to_string()),
                Err(err) => return Attempt::Failed(err.to_string()),
            };
            if self.is_stray(&frame) {
                continue;
            }
            match frame {
                CallFrame::Started(started) => *load = Some(started.load),
                CallFrame::Data(data) => {
                    if data.seq != self.frames {
                        return Attempt::Failed("a part of the answer is missing".to_string());
                    }
                    self.frames += 1;
                    self.digest = extend_digest(self.digest, data.body.as_ref());
                    if !sink.send_part(data.body).await {
                        return Attempt::CallerGone;
                    }
                }
                CallFrame::End(end) => {
                    *load = Some(end.load);
                    if end.frames != self.frames || end.digest != self.digest {
                        return Attempt::Failed("the answer is not whole".to_string());
                    }
                    return Attempt::Answered(end.status);
                }
                CallFrame::NotRun(not_run) => {
                    *load = Some(not_run.load);
                    return Attempt::NotRun {
                        leaving: not_run.reason == "leaving",
                        reason: not_run.reason,
                        retry_after: Duration::from_millis(not_run.retry_after_ms),
                    };
                }
                CallFrame::Failed(failed) => {
                    *load = Some(failed.load);
                    return Attempt::Failed(failed.reason);
                }
            }
        }
    }

    // Frames of another attempt are dropped; each such attempt is recorded once.
    fn is_stray(&mut self, frame: &CallFrame) -> bool {
        let attempt = match frame {
            CallFrame::Started(f) => f.attempt,
            CallFrame::Data(f) => f.attempt,
            CallFrame::End(f) => f.attempt,
            CallFrame::NotRun(f) => f.attempt,
            CallFrame::Failed(f) => f.attempt,
        };
        let stray = attempt != self.attempt;
        if stray && self.stray_attempts.insert(attempt) {
            let detail = format!("attempt={:016x} got={attempt:016x}", self.attempt);
            self.entry.cx.recorder.emit(Event::StrayFrame, &detail);
        }
        stray
    }
}
