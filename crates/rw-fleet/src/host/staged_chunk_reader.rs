//! Reads staged chunks back from the backend server for other hosts.

use std::sync::Arc;

use rw_protocol::Manifest;
use tokio::time::timeout;

use super::chunk_store::version_name;
use super::download::TargetVersion;
use super::target_version::{own_engine, target};
use super::weights_reconciler::{read_report, BACKEND_TIMEOUT};
use super::{BackendClient, ChunkStore, OriginClient, StagedChunkRequest};
use crate::{Cx, PlatformCodec};

/// Reads chunks back from the backend server on requests of other hosts.
pub(super) struct StagedChunkReader<D, B, O> {
    pub(super) cx: Arc<Cx<D>>,
    pub(super) store: Arc<ChunkStore>,
    pub(super) backend: B,
    pub(super) origin: O,
}

impl<D: PlatformCodec, B: BackendClient, O: OriginClient> StagedChunkReader<D, B, O> {
    pub(super) async fn run(self, requests: flume::Receiver<StagedChunkRequest>) {
        while let Ok(request) = requests.recv_async().await {
            if request.reply.is_disconnected() {
                continue;
            }
            let is_available = self.read(&request).await;
            if request.reply.send(is_available).is_err() {
                log::debug!("staged chunk {} is no longer awaited", request.chunk);
            }
        }
    }

    async fn read(&self, request: &StagedChunkRequest) -> bool {
        let Some(target) = self.loaded_target().await else {
            return false;
        };
        let Some(manifest) = known_manifest(&self.store, &self.origin, &target).await else {
            return false;
        };
        let id = rw_protocol::manifest_id(&manifest);
        if id != request.manifest {
            return false;
        }
        if self.store.chunk(&id, request.chunk).is_some() {
            return true;
        }
        let body = timeout(
            BACKEND_TIMEOUT,
            self.backend.read_staged(&target.model, request.chunk),
        )
        .await;
        let Ok(Ok(body)) = body else { return false };
        let inserted = self.store.insert(&id, request.chunk, body.into());
        if let Err(err) = &inserted {
            log::debug!("staged chunk {} is not served: {err}", request.chunk);
        }
        inserted.is_ok()
    }

    // The version that the server has loaded; its chunks are still staged.
    async fn loaded_target(&self) -> Option<TargetVersion> {
        let engine = own_engine(&self.cx)?;
        let report = read_report(&self.backend, &engine).await?;
        match report.weights_version {
            0 => None,
            version => target(&self.cx, version),
        }
    }
}

/// Manifest of a version, from the origin if this host does not know it; `None` if it
/// cannot be fetched now.
pub(super) async fn known_manifest<O: OriginClient>(
    store: &ChunkStore,
    origin: &O,
    target: &TargetVersion,
) -> Option<Manifest> {
    let name = version_name(&target.model, target.version);
    if let Some(manifest) = store.manifest(&name) {
        return Some(manifest);
    }
    let request = origin.manifest(&target.origin, &target.model, target.version);
    match timeout(BACKEND_TIMEOUT, request).await {
        Ok(Ok(manifest)) => {
            store.add_version(&name, manifest.clone());
            Some(manifest)
        }
        Ok(Err(err)) => {
            log::debug!("fetching the manifest of {name} from the origin failed: {err}");
            None
        }
        Err(_) => {
            log::debug!("fetching the manifest of {name} from the origin timed out");
            None
        }
    }
}
