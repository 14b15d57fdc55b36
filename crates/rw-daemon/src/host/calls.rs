//! Runs calls at the backend server and reports truthfully how they ended.

use std::sync::Arc;
use std::time::Duration;

use rw_engine::{Backend, Error as BackendError, ResponsePart, StreamCall};
use rw_observe::Event;
use rw_protocol::{
    extend_digest, CallFrame, CallRequest, Data, End, Failed, Load, Name, NotRun, PeerReply,
    Started,
};
use tokio::time::{timeout_at, Instant};

use super::{Refused, Slot};
use crate::handler::HostParts;
use crate::Context;
use rw_peer::{FrameTx, Result};

/// Parts of an answer that wait for a slow entry.
const BACKLOG: usize = 64;
const LATE: Refused = Refused {
    reason: "the deadline passed in the host's queue",
    retry_after_ms: 100,
};
const RETRY_BACKEND_MS: u64 = 200;
/// Time beyond its deadline for which a call keeps its slot.
const LAST_ANSWER_GRACE: Duration = Duration::from_secs(1);
const HTTP_TOO_MANY: u16 = 429;
const HTTP_SERVER_ERROR: u16 = 500;

type Ended = std::result::Result<u32, BackendError>;

struct Call<'a> {
    cx: &'a Context,
    parts: &'a HostParts,
    attempt: u64,
    request_id: Name,
    tx: &'a mut FrameTx,
    frames: u32,
    digest: u64,
    started: bool,
}

/// Runs one call.
pub async fn run_call(
    cx: &Arc<Context>,
    parts: &HostParts,
    req: CallRequest,
    tx: &mut FrameTx,
) -> Result<()> {
    let until = Instant::now() + Duration::from_millis(req.deadline_ms);
    let mut call = Call {
        cx,
        parts,
        attempt: req.attempt,
        request_id: req.request_id.clone(),
        tx,
        frames: 0,
        digest: 0,
        started: false,
    };
    let limit = Duration::from_millis(req.deadline_ms);
    let entered = parts
        .admission
        .enter(&req.service, &req.manifest, req.priority, limit);
    let slot = tokio::select! {
        entered = entered => entered,
        () = call.tx.closed() => return Ok(()),
    };
    match slot {
        Err(refused) => call.not_run(refused).await,
        // After a pause of this process the queue may have moved too late.
        Ok(_) if Instant::now() >= until => call.not_run(LATE).await,
        Ok(slot) => call.dispatch(req, slot, until).await,
    }
}

impl Call<'_> {
    fn load(&self) -> Load {
        self.parts.admission.load()
    }

    async fn send(&mut self, frame: CallFrame) -> Result<()> {
        self.tx.send(&PeerReply::Call(frame)).await
    }

    async fn not_run(&mut self, refused: Refused) -> Result<()> {
        let frame = CallFrame::NotRun(NotRun {
            attempt: self.attempt,
            reason: refused.reason.to_string(),
            retry_after_ms: refused.retry_after_ms,
            load: self.load(),
        });
        self.send(frame).await
    }

    async fn failed(&mut self, reason: &str) -> Result<()> {
        let frame = CallFrame::Failed(Failed {
            attempt: self.attempt,
            reason: reason.to_string(),
            load: self.load(),
        });
        self.send(frame).await
    }

    async fn dispatch(&mut self, req: CallRequest, slot: Slot, until: Instant) -> Result<()> {
        let (tx, rx) = flume::bounded(BACKLOG);
        let (done_tx, done) = flume::bounded(1);
        let call = StreamCall {
            request_id: req.request_id,
            operation: req.operation,
            key: req.key,
            priority: req.priority,
            body: req.body.0,
        };
        let pinned = pinned_version(&slot);
        let backend = self.parts.backend.clone();
        // The slot goes with the server's work: it is free once the server is
        // done with the call, whatever became of the caller.
        tokio::spawn(async move {
            let ended = timeout_at(until + LAST_ANSWER_GRACE, backend.stream(call, tx)).await;
            drop(slot);
            let ended = ended
                .unwrap_or_else(|_| Err(BackendError::Broken("no answer in time".to_string())));
            // The receiver is gone when the call was given up.
            let _ = done_tx.send(ended);
        });
        let forwarded = self.forward(rx, &pinned, until).await;
        match forwarded {
            Ok(Forwarded::Whole) => match done.recv_async().await {
                Ok(ended) => self.finish(ended).await,
                Err(_) => self.failed("the call's task ended").await,
            },
            Ok(Forwarded::Stopped(reason)) => {
                self.cancel();
                self.failed(reason).await
            }
            Err(err) => {
                self.cancel();
                Err(err)
            }
        }
    }

    fn cancel(&self) {
        let (backend, id) = (self.parts.backend.clone(), self.request_id.clone());
        // The server also notices the closed connection; this is sooner.
        tokio::spawn(async move { backend.cancel(&id).await });
    }

    async fn forward(
        &mut self,
        rx: flume::Receiver<ResponsePart>,
        pinned: &str,
        until: Instant,
    ) -> Result<Forwarded> {
        loop {
            let next = tokio::select! {
                next = timeout_at(until, rx.recv_async()) => next,
                () = self.tx.closed() => return Ok(Forwarded::Stopped("the caller is gone")),
            };
            match next {
                Err(_) => return Ok(Forwarded::Stopped("the deadline passed")),
                Ok(Err(_)) => return Ok(Forwarded::Whole),
                Ok(Ok(ResponsePart::Body(body))) => self.data(body).await?,
                Ok(Ok(ResponsePart::Version(version))) => {
                    if !pinned.is_empty() && *version != *pinned {
                        let detail =
                            format!("request={} pinned={pinned} got={version}", self.request_id);
                        self.cx.recorder.emit(Event::VersionMismatch, &detail);
                        return Ok(Forwarded::Stopped(
                            "the engine answered from another version",
                        ));
                    }
                    self.start(version).await?;
                }
            }
        }
    }

    async fn start(&mut self, version: Name) -> Result<()> {
        self.started = true;
        let frame = CallFrame::Started(Started {
            attempt: self.attempt,
            version,
            load: self.load(),
        });
        self.send(frame).await
    }

    async fn data(&mut self, body: bytes::Bytes) -> Result<()> {
        self.digest = extend_digest(self.digest, &body);
        let frame = CallFrame::Data(Data {
            attempt: self.attempt,
            seq: self.frames,
            body: body.into(),
        });
        self.frames += 1;
        self.send(frame).await
    }

    async fn finish(&mut self, ended: Ended) -> Result<()> {
        match ended {
            Ok(status) => self.end(status).await,
            Err(BackendError::Refused(status, _)) if is_answer(status) && !self.started => {
                self.end(u32::from(status)).await
            }
            Err(BackendError::Refused(..)) if !self.started => {
                self.refused("the backend server refused").await
            }
            Err(BackendError::Unreachable(_)) => {
                self.cx.recorder.emit(
                    Event::BackendUnreachable,
                    &format!("request={}", self.request_id),
                );
                self.refused("the backend server cannot be reached").await
            }
            Err(err) => self.failed(&err.to_string()).await,
        }
    }

    async fn refused(&mut self, reason: &'static str) -> Result<()> {
        self.not_run(Refused {
            reason,
            retry_after_ms: RETRY_BACKEND_MS,
        })
        .await
    }

    async fn end(&mut self, status: u32) -> Result<()> {
        let frame = CallFrame::End(End {
            attempt: self.attempt,
            frames: self.frames,
            digest: self.digest,
            status,
            load: self.load(),
        });
        self.send(frame).await
    }
}

enum Forwarded {
    Whole,
    Stopped(&'static str),
}

// A client error is the server's answer; other refusals may go elsewhere.
fn is_answer(status: u16) -> bool {
    status < HTTP_SERVER_ERROR && status != HTTP_TOO_MANY
}

// Engines name what they answer from as `MODEL@VERSION`.
fn pinned_version(slot: &Slot) -> String {
    if slot.serving.manifest.is_empty() {
        return String::new();
    }
    format!("{}@{}", slot.serving.model, slot.serving.version)
}
