//! Runs calls at the backend server and reports their outcome to the entry.

use std::sync::Arc;
use std::time::Duration;

use rw_engine::{Backend, Error as BackendError, ResponsePart, StreamCall};
use rw_observe::Event;
use rw_protocol::{
    extend_digest, CallFrame, CallRequest, Data, End, Failed, Load, Name, NotRun, PeerReply,
    Started,
};
use tokio::time::{timeout_at, Instant};

use super::{Rejection, Slot};
use crate::handler::HostComponents;
use crate::Context;
use rw_peer::{FrameTx, Result};

/// Parts of a response that are buffered for a slow entry.
const RESPONSE_BUFFER_PARTS: usize = 64;
const DEADLINE_PASSED: Rejection = Rejection {
    reason: "the deadline passed in the host's queue",
    retry_after_ms: 100,
};
const RETRY_AFTER_BACKEND_MS: u64 = 200;
/// Maximum time after its deadline for which a call keeps its slot.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
const HTTP_TOO_MANY_REQUESTS: u16 = 429;
const HTTP_SERVER_ERROR: u16 = 500;
const HTTP_UNAVAILABLE: u16 = 503;

type BackendResult = std::result::Result<u32, BackendError>;

struct RunningCall<'a> {
    cx: &'a Context,
    host: &'a HostComponents,
    attempt: u64,
    request_id: Name,
    tx: &'a mut FrameTx,
    frames: u32,
    digest: u64,
    started: bool,
}

/// Runs a call of an entry and streams the response back.
pub async fn serve_call(
    cx: &Arc<Context>,
    host: &HostComponents,
    req: CallRequest,
    tx: &mut FrameTx,
) -> Result<()> {
    let deadline = Instant::now() + Duration::from_millis(req.deadline_ms);
    let mut call = RunningCall {
        cx,
        host,
        attempt: req.attempt,
        request_id: req.request_id.clone(),
        tx,
        frames: 0,
        digest: 0,
        started: false,
    };
    let timeout = Duration::from_millis(req.deadline_ms);
    let admitted = host
        .admission
        .acquire_slot(&req.service, &req.manifest, req.priority, timeout);
    let slot = tokio::select! {
        admitted = admitted => admitted,
        () = call.tx.closed() => return Ok(()),
    };
    match slot {
        Err(rejection) => call.send_not_run(rejection).await,
        // If this process was paused, the slot may come after the deadline.
        Ok(_) if Instant::now() >= deadline => call.send_not_run(DEADLINE_PASSED).await,
        Ok(slot) => call.run_at_backend(req, slot, deadline).await,
    }
}

impl RunningCall<'_> {
    fn load(&self) -> Load {
        self.host.admission.load()
    }

    async fn send(&mut self, frame: CallFrame) -> Result<()> {
        self.tx.send(&PeerReply::Call(frame)).await
    }

    async fn send_not_run(&mut self, rejection: Rejection) -> Result<()> {
        let frame = CallFrame::NotRun(NotRun {
            attempt: self.attempt,
            reason: rejection.reason.to_string(),
            retry_after_ms: rejection.retry_after_ms,
            load: self.load(),
        });
        self.send(frame).await
    }

    async fn send_failed(&mut self, reason: &str) -> Result<()> {
        let frame = CallFrame::Failed(Failed {
            attempt: self.attempt,
            reason: reason.to_string(),
            load: self.load(),
        });
        self.send(frame).await
    }

    async fn run_at_backend(
        &mut self,
        req: CallRequest,
        slot: Slot,
        deadline: Instant,
    ) -> Result<()> {
        let (tx, rx) = flume::bounded(RESPONSE_BUFFER_PARTS);
        let (result_tx, result_rx) = flume::bounded(1);
        let call = StreamCall {
            request_id: req.request_id,
            operation: req.operation,
            key: req.key,
            priority: req.priority,
            body: req.body.0,
        };
        let pinned = pinned_version(&slot);
        let backend = self.host.backend.clone();
        // The slot is held while the backend server works on the call, even if the
        // caller has disconnected.
        tokio::spawn(async move {
            let result = timeout_at(deadline + DEADLINE_GRACE, backend.stream(call, tx)).await;
            drop(slot);
            let result = result
                .unwrap_or_else(|_| Err(BackendError::Broken("no answer in time".to_string())));
            // Fails if the call was aborted, which dropped the receiver.
            let _ = result_tx.send(result);
        });
        let outcome = self.forward_response(rx, &pinned, deadline).await;
        match outcome {
            Ok(ForwardOutcome::Complete) => match result_rx.recv_async().await {
                Ok(result) => self.finish(result).await,
                Err(_) => self.send_failed("the call's task ended").await,
            },
            Ok(ForwardOutcome::Aborted(reason)) => {
                self.cancel_at_backend();
                self.send_failed(reason).await
            }
            Err(err) => {
                self.cancel_at_backend();
                Err(err)
            }
        }
    }

    fn cancel_at_backend(&self) {
        let (backend, id) = (self.host.backend.clone(), self.request_id.clone());
        // The backend server also notices the closed connection, but later.
        tokio::spawn(async move { backend.cancel(&id).await });
    }

    async fn forward_response(
        &mut self,
        parts: flume::Receiver<ResponsePart>,
        pinned: &str,
        deadline: Instant,
    ) -> Result<ForwardOutcome> {
        loop {
            let next = tokio::select! {
                next = timeout_at(deadline, parts.recv_async()) => next,
                () = self.tx.closed() => return Ok(ForwardOutcome::Aborted("the caller is gone")),
            };
            match next {
                Err(_) => return Ok(ForwardOutcome::Aborted("the deadline passed")),
                Ok(Err(_)) => return Ok(ForwardOutcome::Complete),
                Ok(Ok(ResponsePart::Body(body))) => self.send_data(body).await?,
                Ok(Ok(ResponsePart::Version(version))) => {
                    if !pinned.is_empty() && *version != *pinned {
                        let detail =
                            format!("request={} pinned={pinned} got={version}", self.request_id);
                        self.cx.recorder.emit(Event::VersionMismatch, &detail);
                        return Ok(ForwardOutcome::Aborted(
                            "the engine answered from another version",
                        ));
                    }
                    self.send_started(version).await?;
                }
            }
        }
    }

    async fn send_started(&mut self, version: Name) -> Result<()> {
        self.started = true;
        let frame = CallFrame::Started(Started {
            attempt: self.attempt,
            version,
            load: self.load(),
        });
        self.send(frame).await
    }

    async fn send_data(&mut self, body: bytes::Bytes) -> Result<()> {
        self.digest = extend_digest(self.digest, &body);
        let frame = CallFrame::Data(Data {
            attempt: self.attempt,
            seq: self.frames,
            body: body.into(),
        });
        self.frames += 1;
        self.send(frame).await
    }

    async fn finish(&mut self, result: BackendResult) -> Result<()> {
        match result {
            Ok(status) => self.send_end(status).await,
            Err(BackendError::Refused(status, _)) if is_refusal(status) && !self.started => {
                self.reject("the backend server refused").await
            }
            Err(BackendError::Refused(status, _))
                if status < HTTP_SERVER_ERROR && !self.started =>
            {
                self.send_end(u32::from(status)).await
            }
            Err(BackendError::Unreachable(_)) => {
                self.cx.recorder.emit(
                    Event::BackendUnreachable,
                    &format!("request={}", self.request_id),
                );
                self.reject("the backend server cannot be reached").await
            }
            Err(err) => self.send_failed(&err.to_string()).await,
        }
    }

    async fn reject(&mut self, reason: &'static str) -> Result<()> {
        self.send_not_run(Rejection {
            reason,
            retry_after_ms: RETRY_AFTER_BACKEND_MS,
        })
        .await
    }

    async fn send_end(&mut self, status: u32) -> Result<()> {
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

enum ForwardOutcome {
    Complete,
    Aborted(&'static str),
}

// After these statuses the entry offers the call to another host as not run. Other
// client errors are passed on to the caller; an engine that answers with another
// server error may have run the call.
fn is_refusal(status: u16) -> bool {
    matches!(status, HTTP_TOO_MANY_REQUESTS | HTTP_UNAVAILABLE)
}

// Engines report the version that served a request as `MODEL@VERSION`.
fn pinned_version(slot: &Slot) -> String {
    if slot.serving.manifest.is_empty() {
        return String::new();
    }
    format!("{}@{}", slot.serving.model, slot.serving.version)
}
