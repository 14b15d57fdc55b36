use std::sync::Arc;
use std::time::Duration;

use rw_engine::HttpBackend;
use rw_protocol::{Missing, PeerReply, PeerRequest};

use super::{calls, Admission, StatusBoard, Weights};
use crate::control::{answer_sync, receive_push};
use crate::peer::{FrameTx, Handler, Result};
use crate::Context;

/// Time between two reports of an unchanged status.
const STATUS_HEARTBEAT: Duration = Duration::from_secs(5);

/// What a host's daemon has beyond the common parts.
pub struct HostParts {
    pub(super) admission: Arc<Admission>,
    pub(super) backend: HttpBackend,
    pub(super) weights: Arc<Weights>,
}

/// Answers other daemons; entries have no host parts.
pub struct HostHandler {
    pub(super) cx: Arc<Context>,
    pub(super) board: Arc<StatusBoard>,
    pub(super) parts: Option<HostParts>,
}

impl HostHandler {
    /// A handler for an entry.
    pub fn entry(cx: Arc<Context>, board: Arc<StatusBoard>) -> Self {
        HostHandler {
            cx,
            board,
            parts: None,
        }
    }

    /// A handler for a host.
    pub fn host(
        cx: Arc<Context>,
        board: Arc<StatusBoard>,
        admission: Arc<Admission>,
        backend: HttpBackend,
        weights: Arc<Weights>,
    ) -> Self {
        let parts = Some(HostParts {
            admission,
            backend,
            weights,
        });
        HostHandler { cx, board, parts }
    }

    async fn answer(&self, req: PeerRequest, tx: &mut FrameTx) -> Result<()> {
        match (req, &self.parts) {
            (PeerRequest::Sync(req), _) => tx.send(&answer_sync(&self.cx, &req)).await?,
            (PeerRequest::Push(req), _) => tx.send(&receive_push(&self.cx, req)).await?,
            (PeerRequest::Watch(_), _) => self.report(tx).await?,
            (PeerRequest::Call(req), Some(parts)) => calls::run(&self.cx, parts, req, tx).await?,
            (PeerRequest::Chunk(req), Some(parts)) => {
                let reply = parts
                    .weights
                    .serve_chunk(&self.cx, &req, parts.admission.held())
                    .await;
                tx.send(&reply).await?;
            }
            (PeerRequest::Manifest(req), Some(parts)) => {
                let reply = parts.weights.serve_manifest(&req).await;
                tx.send(&reply).await?;
            }
            (_, None) => {
                tx.send(&PeerReply::Missing(Missing { retry_after_ms: 0 }))
                    .await?
            }
        }
        tx.finish()
    }

    // Streams the status until the other side ends the stream.
    async fn report(&self, tx: &mut FrameTx) -> Result<()> {
        let changed = self.board.subscribe();
        loop {
            tx.send(&PeerReply::Status(self.board.status())).await?;
            let wait = tokio::time::timeout(STATUS_HEARTBEAT, changed.recv_async());
            tokio::select! {
                _ = wait => {}
                () = tx.closed() => return Ok(()),
            }
        }
    }
}

impl Handler for HostHandler {
    async fn handle(self: Arc<Self>, req: PeerRequest, mut tx: FrameTx) {
        if let Err(err) = self.answer(req, &mut tx).await {
            log::debug!("answer to a daemon: {err}");
            tx.reset();
        }
    }
}
