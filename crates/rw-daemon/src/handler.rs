use std::sync::Arc;
use std::time::Duration;

use rw_engine::HttpBackend;
use rw_protocol::{Missing, PeerReply, PeerRequest};

use crate::control::{handle_push, handle_sync, own_zone_report};
use crate::host::{run_call, Admission, Weights};
use crate::status::StatusBoard;
use crate::Context;
use rw_peer::{FrameTx, Handler, Result};

/// Time between two reports of an unchanged status.
const STATUS_HEARTBEAT: Duration = Duration::from_secs(5);

/// What a host's daemon has beyond the common parts.
pub struct HostParts {
    pub(crate) admission: Arc<Admission>,
    pub(crate) backend: HttpBackend,
    pub(crate) weights: Arc<Weights>,
}

/// Answers other daemons; entries have no host parts.
pub struct PeerHandler {
    pub(crate) cx: Arc<Context>,
    pub(crate) board: Arc<StatusBoard>,
    pub(crate) parts: Option<HostParts>,
}

impl PeerHandler {
    /// A handler for an entry.
    pub fn entry(cx: Arc<Context>, board: Arc<StatusBoard>) -> Self {
        PeerHandler {
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
        PeerHandler { cx, board, parts }
    }

    async fn answer(&self, req: PeerRequest, tx: &mut FrameTx) -> Result<()> {
        match (req, &self.parts) {
            (PeerRequest::Sync(req), _) => tx.send(&handle_sync(&self.cx, &req)).await?,
            (PeerRequest::Push(req), _) => tx.send(&handle_push(&self.cx, req)).await?,
            (PeerRequest::Report(_), _) => {
                let report = own_zone_report(&self.cx).await;
                tx.send(&PeerReply::Report(report)).await?;
            }
            (PeerRequest::Watch(_), _) => self.report(tx).await?,
            (PeerRequest::Call(req), Some(parts)) => run_call(&self.cx, parts, req, tx).await?,
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
            // Daemons on the platform alone ask these.
            (PeerRequest::Load(_) | PeerRequest::Rows(_) | PeerRequest::Runner(_), _)
            | (_, None) => {
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

impl Handler for PeerHandler {
    async fn handle(self: Arc<Self>, req: PeerRequest, mut tx: FrameTx) {
        if let Err(err) = self.answer(req, &mut tx).await {
            log::debug!("answer to a daemon: {err}");
            tx.reset();
        }
    }
}
