//! Gets the digests of a version's chunks, from another host if one has them.

use std::collections::BTreeSet;
use std::time::Duration;

use rw_coord::Backoff;
use rw_protocol::{manifest_error, rank, Manifest, ManifestRequest, Name, PeerReply, PeerRequest};
use rw_weights::Source;
use tokio::time::Instant;

use super::collect::{Collector, ORIGIN_LIMIT};
use super::shelf::version_name;
use super::{OriginClient, RunnerError};
use crate::Dialect;

/// Time for one answer about digests.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a host leaves the digests to those above it in the tree, so
/// that not all of a fleet reads them over the origin's link.
const MANIFEST_PATIENCE: Duration = Duration::from_secs(2);
const FIRST_RETRY: Duration = Duration::from_millis(50);
const LAST_RETRY: Duration = Duration::from_millis(500);

impl<D: Dialect, O: OriginClient> Collector<'_, D, O> {
    pub(super) async fn manifest(&self) -> Manifest {
        let name = version_name(&self.wanted.model, self.wanted.version);
        if let Some(manifest) = self.shelf.manifest(&name) {
            return manifest;
        }
        let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY, rank(&name, &self.me.name));
        loop {
            if let Some(manifest) = self.peer_manifest(&name).await {
                return manifest;
            }
            match self.origin_manifest().await {
                Ok(manifest) => return manifest,
                Err(err) => log::debug!("digests of {name}: {err}"),
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    // The first host of the tree asks the origin at once and those that take
    // chunks in for their region after a moment; the others leave it to them.
    async fn peer_manifest(&self, name: &Name) -> Option<Manifest> {
        let req = PeerRequest::Manifest(ManifestRequest {
            manifest: name.clone(),
        });
        let mut failed = BTreeSet::new();
        let start = Instant::now();
        for turn in 0.. {
            // Hosts that start together learn of each other one by one.
            let layout = self.layout();
            let chunks = 0..self.wanted.engine.chunks;
            let imports = chunks.into_iter().any(|c| layout.imports(c, &self.me));
            let patience = if imports {
                MANIFEST_TIMEOUT
            } else {
                MANIFEST_PATIENCE
            };
            let mut sources = layout.sources(0, &self.me, &failed);
            sources.retain(|source| *source != Source::Origin);
            if sources.is_empty() || start.elapsed() > patience {
                break;
            }
            let Source::Peer(addr) = &sources[turn % sources.len()] else {
                break;
            };
            match self.cx.pool.request(addr, &req, MANIFEST_TIMEOUT).await {
                Ok(PeerReply::Manifest(manifest)) if self.fits(&manifest) => return Some(manifest),
                Ok(_) => tokio::time::sleep(FIRST_RETRY).await,
                Err(err) => {
                    log::debug!("digests from {addr}: {err}");
                    failed.insert(addr.clone());
                }
            }
        }
        None
    }

    async fn origin_manifest(&self) -> std::result::Result<Manifest, RunnerError> {
        let wanted = self.wanted;
        let read = self
            .origin
            .manifest(&wanted.origin, &wanted.model, wanted.version);
        let read = tokio::time::timeout(ORIGIN_LIMIT, read).await;
        let manifest = read.map_err(|_| RunnerError::Failed("timed out".to_string()))??;
        match self.fits(&manifest) {
            true => Ok(manifest),
            false => Err(RunnerError::Failed(
                "digests do not fit the model".to_string(),
            )),
        }
    }

    fn fits(&self, manifest: &Manifest) -> bool {
        manifest_error(manifest).is_none()
            && manifest.model == self.wanted.model
            && *manifest.version == *self.wanted.version.to_string()
            && manifest.chunks.len() == self.wanted.engine.chunks as usize
    }
}
