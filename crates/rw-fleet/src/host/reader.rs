//! Reads staged chunks back for other hosts.

use std::sync::Arc;

use rw_protocol::Manifest;
use tokio::time::timeout;

use super::chunk_store::version_name;
use super::collect::Wanted;
use super::weights_reconciler::{own_engine, wanted, whole_report, LOCAL_LIMIT};
use super::{ChunkStore, OriginClient, Runner, StageRead};
use crate::{Cx, PlatformCodec};

/// Reads chunks back from the backend server when other hosts ask for them.
pub(super) struct Reader<D, R, O> {
    pub(super) cx: Arc<Cx<D>>,
    pub(super) store: Arc<ChunkStore>,
    pub(super) runner: R,
    pub(super) origin: O,
}

impl<D: PlatformCodec, R: Runner, O: OriginClient> Reader<D, R, O> {
    pub(super) async fn run(self, reads: flume::Receiver<StageRead>) {
        while let Ok(read) = reads.recv_async().await {
            if read.done.is_disconnected() {
                continue;
            }
            let found = self.read(&read).await;
            if read.done.send(found).is_err() {
                log::debug!("nobody waits for staged chunk {} any more", read.chunk);
            }
        }
    }

    async fn read(&self, read: &StageRead) -> bool {
        let Some(wanted) = self.loaded().await else {
            return false;
        };
        let Some(manifest) = self.manifest(&wanted).await else {
            return false;
        };
        let id = rw_protocol::manifest_id(&manifest);
        if id != read.manifest {
            return false;
        }
        if self.store.chunk(&id, read.chunk).is_some() {
            return true;
        }
        let body = timeout(LOCAL_LIMIT, self.runner.staged(&wanted.model, read.chunk)).await;
        let Ok(Ok(body)) = body else { return false };
        let kept = self.store.insert(&id, read.chunk, body.into());
        if let Err(err) = &kept {
            log::debug!("staged chunk {}: {err}", read.chunk);
        }
        kept.is_ok()
    }

    // What the server has loaded lies staged, too.
    async fn loaded(&self) -> Option<Wanted> {
        let engine = own_engine(&self.cx)?;
        let report = whole_report(&self.runner, &engine).await?;
        match report.weights {
            0 => None,
            version => wanted(&self.cx, version),
        }
    }

    async fn manifest(&self, wanted: &Wanted) -> Option<Manifest> {
        let name = version_name(&wanted.model, wanted.version);
        if let Some(manifest) = self.store.manifest(&name) {
            return Some(manifest);
        }

        let read = self
            .origin
            .manifest(&wanted.origin, &wanted.model, wanted.version);
        match timeout(LOCAL_LIMIT, read).await {
            Ok(Ok(manifest)) => {
                self.store.open(&name, manifest.clone());
                Some(manifest)
            }
            Ok(Err(err)) => {
                log::debug!("digests of {name}: {err}");
                None
            }
            Err(_) => None,
        }
    }
}
