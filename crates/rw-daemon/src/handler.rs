use std::sync::Arc;
use std::time::Duration;

use rw_engine::HttpBackend;
use rw_protocol::{Missing, PeerReply, PeerRequest};

use crate::control::{handle_push, handle_sync, own_zone_report};
use crate::host::{serve_call, AdmissionController, WeightCache};
use crate::status::StatusPublisher;
use crate::Context;
use rw_peer::{FrameTx, Handler, Result};

/// Interval at which an unchanged status is sent again.
const STATUS_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Components that only a daemon in the host role has.
pub struct HostComponents {
    pub(crate) admission: Arc<AdmissionController>,
    pub(crate) backend: HttpBackend,
    pub(crate) weights: Arc<WeightCache>,
}

/// Handles requests from other daemons.
pub struct PeerHandler {
    pub(crate) cx: Arc<Context>,
    pub(crate) status_publisher: Arc<StatusPublisher>,
    // `None` in the entry role.
    pub(crate) host: Option<HostComponents>,
}

impl PeerHandler {
    /// Creates the handler of an entry.
    pub fn for_entry(cx: Arc<Context>, status_publisher: Arc<StatusPublisher>) -> Self {
        PeerHandler {
            cx,
            status_publisher,
            host: None,
        }
    }

    /// Creates the handler of a host.
    pub fn for_host(
        cx: Arc<Context>,
        status_publisher: Arc<StatusPublisher>,
        admission: Arc<AdmissionController>,
        backend: HttpBackend,
        weights: Arc<WeightCache>,
    ) -> Self {
        let host = Some(HostComponents {
            admission,
            backend,
            weights,
        });
        PeerHandler {
            cx,
            status_publisher,
            host,
        }
    }

    async fn answer(&self, req: PeerRequest, tx: &mut FrameTx) -> Result<()> {
        match (req, &self.host) {
            (PeerRequest::Sync(req), _) => tx.send(&handle_sync(&self.cx, &req)).await?,
            (PeerRequest::Push(req), _) => tx.send(&handle_push(&self.cx, req)).await?,
            (PeerRequest::Report(_), _) => {
                let report = own_zone_report(&self.cx).await;
                tx.send(&PeerReply::Report(report)).await?;
            }
            (PeerRequest::Watch(_), _) => self.stream_status(tx).await?,
            (PeerRequest::Call(req), Some(host)) => serve_call(&self.cx, host, req, tx).await?,
            (PeerRequest::Chunk(req), Some(host)) => {
                let reply = host
                    .weights
                    .serve_chunk(&self.cx, &req, host.admission.in_flight())
                    .await;
                tx.send(&reply).await?;
            }
            (PeerRequest::Manifest(req), Some(host)) => {
                let reply = host.weights.serve_manifest(&req).await;
                tx.send(&reply).await?;
            }
            // Only daemons that run on the platform serve load, row and runner requests;
            // an entry serves no call, chunk or manifest requests.
            (
                PeerRequest::Load(_)
                | PeerRequest::Rows(_)
                | PeerRequest::Runner(_)
                | PeerRequest::Announce(_)
                | PeerRequest::Poison(_)
                | PeerRequest::Limits(_)
                | PeerRequest::Permit(_),
                _,
            )
            | (_, None) => {
                tx.send(&PeerReply::Missing(Missing { retry_after_ms: 0 }))
                    .await?
            }
        }
        tx.finish()
    }

    // Streams the status until the peer closes the stream.
    async fn stream_status(&self, tx: &mut FrameTx) -> Result<()> {
        let changed = self.status_publisher.subscribe();
        loop {
            tx.send(&PeerReply::Status(self.status_publisher.status()))
                .await?;
            let wait = tokio::time::timeout(STATUS_HEARTBEAT_INTERVAL, changed.recv_async());
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
            log::debug!("could not answer a peer request: {err}; resetting the stream");
            tx.reset();
        }
    }
}
