//! Writes chunks to the backend server's staging area.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::{Event, Recorder};
use rw_protocol::{verify_chunk, Manifest, Name};
use tokio::time::timeout;

use super::weights_reconciler::BACKEND_TIMEOUT;
use super::{BackendClient, ChunkStore};

/// Area from which the backend server beside a host loads weights.
pub(super) struct StagingArea<B> {
    store: Arc<ChunkStore>,
    backend: B,
    // Id of a manifest, and its chunks that were staged before its download was
    // complete.
    staged_early: (Name, BTreeSet<u32>),
}

/// How the staged chunks of a version were verified.
pub(super) struct Verification {
    /// Uptime at which the first read began.
    pub(super) started_at: Duration,
    /// Time that it took.
    pub(super) elapsed: Duration,
    /// Chunks that were staged again.
    pub(super) repaired: u32,
}

impl<B: BackendClient> StagingArea<B> {
    pub(super) fn new(store: Arc<ChunkStore>, backend: B) -> Self {
        StagingArea {
            store,
            backend,
            staged_early: (Name::from(""), BTreeSet::new()),
        }
    }

    /// Stages the available chunks of a version that is still being downloaded.
    pub(super) async fn stage_available(&mut self, model: &Name, manifest: &Manifest) {
        let id = rw_protocol::manifest_id(manifest);
        if self.staged_early.0 != id {
            self.staged_early = (id.clone(), BTreeSet::new());
        }
        for chunk in 0..manifest.chunks.len() as u32 {
            let available = self.store.chunk(&id, chunk).is_some();
            if !available || self.staged_early.1.contains(&chunk) {
                continue;
            }
            if self
                .stage_chunk(model, &id, manifest, chunk)
                .await
                .is_none()
            {
                return;
            }
            self.staged_early.1.insert(chunk);
        }
    }

    /// Stages all chunks; `None` if one of them failed.
    pub(super) async fn stage_all(&self, model: &Name, manifest: &Manifest) -> Option<()> {
        let id = rw_protocol::manifest_id(manifest);
        for chunk in 0..manifest.chunks.len() as u32 {
            // Chunks staged early are verified with all others before the load
            // order.
            if self.staged_early.0 == id && self.staged_early.1.contains(&chunk) {
                continue;
            }
            self.stage_chunk(model, &id, manifest, chunk).await?;
        }
        Some(())
    }

    /// Verifies all staged chunks and stages corrupt ones again; `None` if some
    /// are still corrupt afterwards.
    pub(super) async fn repair(
        &self,
        model: &Name,
        manifest: &Manifest,
        recorder: &Recorder,
    ) -> Option<Verification> {
        let started_at = uptime();
        let mut repaired = 0;
        let id = rw_protocol::manifest_id(manifest);
        for chunk in 0..manifest.chunks.len() as u32 {
            if self.is_intact(model, manifest, chunk).await {
                continue;
            }
            recorder.emit(
                Event::StageRepaired,
                &format!("manifest={id} chunk={chunk}"),
            );
            repaired += 1;
            self.stage_chunk(model, &id, manifest, chunk).await?;
            if !self.is_intact(model, manifest, chunk).await {
                return None;
            }
        }
        Some(Verification {
            started_at,
            elapsed: uptime() - started_at,
            repaired,
        })
    }

    // Stages a chunk unless an intact copy is already staged.
    async fn stage_chunk(
        &self,
        model: &Name,
        id: &Name,
        manifest: &Manifest,
        chunk: u32,
    ) -> Option<()> {
        if self.is_intact(model, manifest, chunk).await {
            return Some(());
        }
        let body = self.store.chunk(id, chunk)?;
        match timeout(BACKEND_TIMEOUT, self.backend.stage(model, chunk, body.0)).await {
            Ok(Ok(())) => Some(()),
            Ok(Err(err)) => {
                log::debug!("staging chunk {chunk} failed: {err}");
                None
            }
            Err(_) => {
                log::debug!("staging chunk {chunk} timed out");
                None
            }
        }
    }

    async fn is_intact(&self, model: &Name, manifest: &Manifest, chunk: u32) -> bool {
        let read = timeout(BACKEND_TIMEOUT, self.backend.read_staged(model, chunk)).await;
        matches!(read, Ok(Ok(body)) if verify_chunk(manifest, chunk, &body))
    }
}
