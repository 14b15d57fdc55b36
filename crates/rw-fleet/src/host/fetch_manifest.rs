//! Fetches the manifest of a version, preferably from another host.

use std::collections::BTreeSet;
use std::time::Duration;

use rw_coord::Backoff;
use rw_protocol::{
    manifest_error, rendezvous_rank, Manifest, ManifestRequest, Name, PeerReply, PeerRequest,
};
use rw_weights::Source;
use tokio::time::Instant;

use super::chunk_sources::ORIGIN_TIMEOUT;
use super::chunk_store::version_name;
use super::download::Downloader;
use super::{ClientError, ObjectArchive, OriginClient};
use crate::PlatformCodec;

/// Timeout of one request for a manifest.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Time during which a host requests the manifest only from its sources in the
/// tree, so that not all hosts fetch it over the origin's link.
const PEER_MANIFEST_WAIT: Duration = Duration::from_secs(2);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<D: PlatformCodec, O: OriginClient, A: ObjectArchive> Downloader<'_, D, O, A> {
    pub(super) async fn fetch_manifest(&self) -> Manifest {
        let name = version_name(&self.target.model, self.target.version);
        if let Some(manifest) = self.store.manifest(&name) {
            return manifest;
        }
        let mut backoff = Backoff::new(
            MIN_RETRY_DELAY,
            MAX_RETRY_DELAY,
            rendezvous_rank(&name, &self.own_peer.name),
        );
        loop {
            if let Some(manifest) = self.manifest_from_peers(&name).await {
                return manifest;
            }
            match self.manifest_from_origin().await {
                Ok(manifest) => return manifest,
                Err(err) => log::debug!(
                    "fetching the manifest of {name} from the origin failed, retrying: {err}"
                ),
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    // Returns `None` when the origin has to be queried: at once on a host without
    // sources among its peers, after a short time on hosts that import chunks for
    // their region, and later on all others.
    async fn manifest_from_peers(&self, name: &Name) -> Option<Manifest> {
        let req = PeerRequest::Manifest(ManifestRequest {
            manifest: name.clone(),
        });
        let mut failed = BTreeSet::new();
        let start = Instant::now();
        for attempt in 0.. {
            // Hosts that start together learn of each other one at a time, so
            // the layout is computed again for each attempt.
            let layout = self.layout();
            let chunks = 0..self.target.engine.chunks;
            let is_importer = chunks
                .into_iter()
                .any(|c| layout.is_importer(c, &self.own_peer));
            let max_wait = if is_importer {
                MANIFEST_TIMEOUT
            } else {
                PEER_MANIFEST_WAIT
            };
            let mut sources = layout.sources(0, &self.own_peer, &failed);
            sources.retain(|source| matches!(source, Source::Peer(_)));
            if sources.is_empty() || start.elapsed() > max_wait {
                break;
            }
            let Source::Peer(addr) = &sources[attempt % sources.len()] else {
                break;
            };
            match self.cx.pool.request(addr, &req, MANIFEST_TIMEOUT).await {
                Ok(PeerReply::Manifest(manifest)) if self.is_valid(&manifest) => {
                    return Some(manifest)
                }
                Ok(_) => tokio::time::sleep(MIN_RETRY_DELAY).await,
                Err(err) => {
                    log::debug!("fetching the manifest of {name} from {addr} failed: {err}");
                    failed.insert(addr.clone());
                }
            }
        }
        None
    }

    async fn manifest_from_origin(&self) -> std::result::Result<Manifest, ClientError> {
        let target = self.target;
        let read = self
            .origin
            .manifest(&target.origin, &target.model, target.version);
        let read = tokio::time::timeout(ORIGIN_TIMEOUT, read).await;
        let manifest = read.map_err(|_| ClientError::Failed("timed out".to_string()))??;
        match self.is_valid(&manifest) {
            true => Ok(manifest),
            false => Err(ClientError::Failed(
                "manifest does not match the model".to_string(),
            )),
        }
    }

    fn is_valid(&self, manifest: &Manifest) -> bool {
        manifest_error(manifest).is_none()
            && manifest.model == self.target.model
            && *manifest.version == *self.target.version.to_string()
            && manifest.chunks.len() == self.target.engine.chunks as usize
    }
}
