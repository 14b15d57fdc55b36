//! Archive of distributed versions in the platform's store. After a loss of power no
//! host holds any chunk; the archive then replaces the origin, whose link is slow.
//! A few hosts write each version, a share of its chunks each. Readers verify chunks
//! like those of any other source.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rw_protocol::{rendezvous_rank, Manifest, Name};
use tokio::time::timeout;

use super::chunk_store::version_name;
use super::clients::Result;
use super::download::{own_peer, Downloader, TargetVersion};
use super::target_version::target;
use super::{BackendClient, ChunkStore, OriginClient};
use crate::{Cx, PlatformCodec};

/// Maximum number of hosts that write a version, each a share of its chunks.
const MAX_WRITERS: usize = 6;
/// Interval at which a host checks whether it has to write a version.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Checks for which a server has to serve a version before its host writes it, so
/// that the rollout has the links for itself.
const SETTLE_CHECKS: u32 = 3;
/// Timeout of one call to the archive.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Chunks from the origin that one host writes at a time.
const CONCURRENT_WRITES: usize = 3;
/// Attempts to write a chunk, together longer than most outages of the archive.
const MAX_WRITE_ATTEMPTS: u32 = 100;
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout for listing a version while its download waits.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Versions kept besides the one that is written, as servers may still load it.
const KEPT_VERSIONS: u64 = 1;

/// Store of named objects that outlives the hosts.
pub trait ObjectArchive: Clone + Send + Sync + 'static {
    /// Names of the objects with this prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Name>>> + Send;
    /// Reads an object.
    fn read(&self, name: &str) -> impl Future<Output = Result<Bytes>> + Send;
    /// Writes an object unless it exists.
    fn write(&self, name: &str, body: Bytes) -> impl Future<Output = Result<()>> + Send;
    /// Deletes an object.
    fn delete(&self, name: &str) -> impl Future<Output = Result<()>> + Send;
}

fn model_prefix(model: &str) -> String {
    format!("weights.{model}.")
}

fn version_prefix(model: &str, version: u64, manifest: &str) -> String {
    format!("{}{version}.{manifest}.", model_prefix(model))
}

/// Name of the object that holds a chunk.
pub fn object_name(target: &TargetVersion, manifest: &str, chunk: u32) -> String {
    let prefix = version_prefix(&target.model, target.version, manifest);
    format!("{prefix}{chunk}")
}

/// Chunks of a version that the archive holds; none if it does not answer in time.
pub async fn archived_chunks<A: ObjectArchive>(
    archive: &A,
    target: &TargetVersion,
    manifest: &str,
) -> BTreeSet<u32> {
    let prefix = version_prefix(&target.model, target.version, manifest);
    match timeout(LIST_TIMEOUT, archive.list(&prefix)).await {
        Ok(Ok(names)) => names
            .iter()
            .filter_map(|name| name.strip_prefix(&prefix)?.parse().ok())
            .collect(),
        Ok(Err(err)) => {
            log::debug!("listing the archive failed: {err}");
            BTreeSet::new()
        }
        Err(_) => BTreeSet::new(),
    }
}

/// Chunk that was fetched from the origin, to be written to the archive.
pub(super) struct FetchedChunk {
    pub(super) name: String,
    pub(super) body: Bytes,
}

/// Writes the chunks that a host fetched from the origin, once its download is complete:
/// power may be lost right after a rollout, but the rollout needs the links first. While
/// the archive is away, tries again; chunks that it does not take for long are left to
/// the [`ArchiveWriter`].
pub(super) fn write_fetched_chunks<A: ObjectArchive>(
    archive: &A,
    store: &Arc<ChunkStore>,
    chunks: Vec<FetchedChunk>,
) {
    let (tx, rx) = flume::unbounded();
    for chunk in chunks {
        if tx.send(chunk).is_err() {
            log::debug!("a chunk is not archived: no writer is left");
        }
    }
    for _ in 0..CONCURRENT_WRITES {
        tokio::spawn(write_queued(archive.clone(), store.clone(), rx.clone()));
    }
}

// Ends when the queue is empty, since its sender is gone.
async fn write_queued<A: ObjectArchive>(
    archive: A,
    store: Arc<ChunkStore>,
    chunks: flume::Receiver<FetchedChunk>,
) {
    while let Ok(chunk) = chunks.recv_async().await {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            store.pace_upload(chunk.body.len() as u64).await;
            match call(archive.write(&chunk.name, chunk.body.clone())).await {
                Ok(()) => break,
                Err(err) => log::debug!("archiving {} failed: {err}", chunk.name),
            }
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

/// Writes the versions that the backend server loads to the archive, if this host is
/// one of those that do. Most chunks of a version that was rolled out are there
/// already.
pub(super) struct ArchiveWriter<D, B, O, A> {
    pub(super) cx: Arc<Cx<D>>,
    pub(super) store: Arc<ChunkStore>,
    pub(super) backend: B,
    pub(super) origin: O,
    pub(super) archive: A,
}

// Every `count`th chunk, from `index` on.
#[derive(Clone, Copy, PartialEq)]
struct Share {
    index: usize,
    count: usize,
}

impl<D, B, O, A> ArchiveWriter<D, B, O, A>
where
    D: PlatformCodec,
    B: BackendClient,
    O: OriginClient,
    A: ObjectArchive,
{
    pub(super) async fn run(self) {
        let ticks = self.cx.timer.subscribe(CHECK_INTERVAL);
        let (mut loaded, mut checks, mut written) = (0, 0, None);
        while ticks.recv_async().await.is_ok() {
            let Some(version) = self.loaded_version() else {
                continue;
            };
            checks = if version == loaded { checks + 1 } else { 0 };
            loaded = version;
            let share = self.own_share(version);
            if checks < SETTLE_CHECKS || written == Some((version, share)) {
                continue;
            }
            if let (Some(target), Some(own)) = (target(&self.cx, version), share) {
                match self.write_share(&target, own).await {
                    Ok(()) => written = Some((version, share)),
                    Err(err) => log::debug!("archiving version {version} failed, retrying: {err}"),
                }
            }
        }
    }

    // Version that the server serves, by its own row or its daemon's status.
    fn loaded_version(&self) -> Option<u64> {
        let snapshot = self.cx.cluster.snapshot();
        let mut servers = snapshot.servers.values();
        let own = servers.find(|s| Some(s.addr) == self.cx.settings.backend)?;
        Some(snapshot.loaded_version(own)).filter(|version| *version > 0)
    }

    // Share of this host, if it is a writer of the version: one of the first hosts by
    // rank whose servers have loaded it. Hosts of the origin's region come first, since
    // other regions would send the chunks back over their links.
    fn own_share(&self, version: u64) -> Option<Share> {
        let target = target(&self.cx, version)?;
        let settings = &self.cx.settings;
        let home = settings.region_of(&target.origin.zone);
        let key = version_name(&target.model, version);
        let snapshot = self.cx.cluster.snapshot();
        let mut holders: Vec<(bool, u64, bool)> = snapshot
            .servers
            .values()
            .filter(|s| s.service == settings.service && s.ready)
            .filter(|s| snapshot.loaded_version(s) == version)
            .map(|s| {
                let is_remote = settings.region_of(&s.zone) != home;
                let is_own = Some(s.addr) == settings.backend;
                (is_remote, rendezvous_rank(&key, &s.id), is_own)
            })
            .collect();
        holders.sort_unstable();
        holders.truncate(MAX_WRITERS);
        let index = holders.iter().position(|(_, _, is_own)| *is_own)?;
        Some(Share {
            index,
            count: holders.len(),
        })
    }

    async fn write_share(&self, target: &TargetVersion, share: Share) -> Result<()> {
        let manifest = self.manifest(target).await;
        let id = rw_protocol::manifest_id(&manifest);
        let held = archived_chunks(&self.archive, target, &id).await;
        let chunks = 0..manifest.chunks.len() as u32;
        let own = chunks.filter(|chunk| *chunk as usize % share.count == share.index);
        for chunk in own.filter(|chunk| !held.contains(chunk)) {
            let body = self.read_chunk(target, &manifest, &id, chunk).await?;
            self.store.pace_upload(body.len() as u64).await;
            let name = object_name(target, &id, chunk);
            call(self.archive.write(&name, body)).await?;
        }
        if share.index == 0 {
            self.delete_old_versions(target).await?;
        }
        Ok(())
    }

    async fn manifest(&self, target: &TargetVersion) -> Manifest {
        let downloader = Downloader {
            cx: &self.cx,
            store: &self.store,
            origin: &self.origin,
            archive: &self.archive,
            target,
            own_peer: own_peer(&self.cx),
        };
        downloader.fetch_manifest().await
    }

    // Staged chunks belong to the loaded version until the next one is staged.
    async fn read_chunk(
        &self,
        target: &TargetVersion,
        manifest: &Manifest,
        id: &Name,
        chunk: u32,
    ) -> Result<Bytes> {
        if let Some(body) = self.store.chunk(id, chunk) {
            return Ok(body.0);
        }
        let body = call(self.backend.read_staged(&target.model, chunk)).await?;
        match rw_protocol::verify_chunk(manifest, chunk, &body) {
            true => Ok(body),
            false => Err(super::ClientError::Failed(format!(
                "staged chunk {chunk} does not match its digest"
            ))),
        }
    }

    async fn delete_old_versions(&self, target: &TargetVersion) -> Result<()> {
        let prefix = model_prefix(&target.model);
        let oldest = target.version.saturating_sub(KEPT_VERSIONS);
        for name in call(self.archive.list(&prefix)).await? {
            let version = name.strip_prefix(&prefix).and_then(|rest| {
                let (version, _) = rest.split_once('.')?;
                version.parse::<u64>().ok()
            });
            if version.is_some_and(|version| version < oldest) {
                call(self.archive.delete(&name)).await?;
            }
        }
        Ok(())
    }
}

async fn call<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(super::ClientError::Failed("no answer in time".to_string())),
    }
}
