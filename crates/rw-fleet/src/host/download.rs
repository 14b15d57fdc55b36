//! Downloads the chunks of one version from other hosts and the origin.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{Manifest, Name};
use rw_weights::{ChunkFetch, DistributionPolicy, Layout, Peer, Source, Transfer, TransferLimits};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::archive::{
    archived_chunks, object_name, write_fetched_chunks, FetchedChunk, ObjectArchive,
};
use super::chunk_sources::{
    fetch_from_archive, fetch_from_origin, fetch_from_peer, FetchResult, CHUNK_TIMEOUT,
};
use super::chunk_store::version_name;
use super::{ChunkStore, OriginClient};
use crate::{Cx, Engine, Origin, PlatformCodec};

const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Chunks that are fetched concurrently. Most fetches wait at a source that is
/// still downloading the chunk itself, so fewer would leave links of the
/// distribution tree idle.
pub(super) const MAX_CONCURRENT_FETCHES: usize = 8;
/// The same while the backend server serves no requests that chunks could delay.
const MAX_CONCURRENT_FETCHES_NOT_SERVING: usize = 12;
/// Time for which a request waits for a chunk at a host that should hold it, but
/// may have been restarted.
const HOLDER_CHUNK_WAIT: Duration = Duration::from_millis(150);
/// The same on a narrow link, where few chunks may be in flight: a chunk that is not there
/// yet leaves its place to another one.
const NARROW_CHUNK_WAIT: Duration = Duration::from_millis(250);
/// How long a host that lacked a chunk does not count as a holder.
const NON_HOLDER_TTL: Duration = Duration::from_secs(5);
/// Delay before the next request after a host lacked a chunk.
const MISSING_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which an overdue chunk is also requested from a second source. On a
/// slow link, all concurrent fetches together take a quarter of a second, and a
/// chunk that arrives twice uses the link twice.
const HEDGE_AFTER: Duration = Duration::from_millis(900);
/// How long a failed source is avoided.
const SOURCE_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a host that knows no other one turns to the archive or the origin.
/// Hosts that start together know only themselves at first, and each would import every
/// chunk over its region's link.
const MAX_ALONE_TIME: Duration = Duration::from_secs(1);
/// Age of a requested version below which the archive holds none of its chunks: hosts write
/// them once their downloads are complete, and a download takes longer.
const MIN_ARCHIVED_AGE: Duration = Duration::from_secs(1);
/// Chunks from the origin with a wrong digest after which the manifest is
/// fetched again, since the digests themselves may be corrupt.
const CORRUPT_CHUNK_THRESHOLD: u32 = 3;

/// Version of a model, with its engine and its origin.
#[derive(Clone, Debug)]
pub struct TargetVersion {
    /// Name of the model.
    pub model: Name,
    /// Version of its weights.
    pub version: u64,
    /// Engine of the model, which gives the number of chunks.
    pub engine: Arc<Engine>,
    /// Origin of its weights.
    pub origin: Origin,
}

/// Downloads all chunks of a version; returns the manifest and its id once all
/// are stored.
pub async fn download_version<D: PlatformCodec, O: OriginClient, A: ObjectArchive>(
    cx: &Arc<Cx<D>>,
    store: &Arc<ChunkStore>,
    origin: &O,
    archive: &A,
    target: &TargetVersion,
) -> (Name, Manifest) {
    let downloader = Downloader {
        cx,
        store,
        origin,
        archive,
        target,
        own_peer: own_peer(cx),
    };
    loop {
        let manifest = downloader.fetch_manifest().await;
        let name = version_name(&target.model, target.version);
        let id = store.add_version(&name, manifest.clone());
        let _guard = store.begin_download(id.clone());
        if downloader.download_chunks(&id, &manifest).await {
            return (id, manifest);
        }
    }
}

/// This host as a peer, under the address that the other hosts derive from the
/// table of servers.
pub(super) fn own_peer<D: PlatformCodec>(cx: &Cx<D>) -> Peer {
    Peer {
        region: cx.settings.region.clone(),
        zone: cx.settings.zone.clone(),
        name: Name::from(cx.settings.peer_addr.to_string()),
    }
}

pub(super) struct Downloader<'a, D, O, A> {
    pub(super) cx: &'a Arc<Cx<D>>,
    pub(super) store: &'a Arc<ChunkStore>,
    pub(super) origin: &'a O,
    pub(super) archive: &'a A,
    pub(super) target: &'a TargetVersion,
    pub(super) own_peer: Peer,
}

impl<D: PlatformCodec, O: OriginClient, A: ObjectArchive> Downloader<'_, D, O, A> {
    pub(super) fn layout(&self) -> Layout {
        self.layout_excluding(&mut BTreeMap::new())
    }

    // Layout of the hosts of the service. Those that have loaded the version
    // count as holders, except the given non-holders.
    fn layout_excluding(&self, non_holders: &mut BTreeMap<Name, Instant>) -> Layout {
        let now = Instant::now();
        non_holders.retain(|_, until| *until > now);
        let snapshot = self.cx.cluster.snapshot();
        let settings = &self.cx.settings;
        let mut peers = vec![self.own_peer.clone()];
        let mut holders = Vec::new();
        for server in snapshot
            .servers
            .values()
            .filter(|s| s.service == settings.service && s.ready)
        {
            let addr = SocketAddr::new(server.addr.ip(), settings.host_peer_port);
            let peer = Peer {
                region: settings.region_of(&server.zone),
                zone: server.zone.clone(),
                name: Name::from(addr.to_string()),
            };
            let holds = snapshot.loaded_version(server) == self.target.version;
            if holds && peer.name != self.own_peer.name && !non_holders.contains_key(&peer.name) {
                holders.push(peer.clone());
            }
            peers.push(peer);
        }
        let key = version_name(&self.target.model, self.target.version);
        let home = settings.region_of(&self.target.origin.zone);
        Layout::new(&key, &home, peers, DistributionPolicy::Tree).with_holders(holders)
    }

    // Whether the version was requested too short a time ago for the archive to hold it.
    fn is_just_requested(&self) -> bool {
        self.requested_age()
            .is_some_and(|age| age < MIN_ARCHIVED_AGE)
    }

    fn requested_age(&self) -> Option<Duration> {
        let (target, snapshot) = (self.target, self.cx.cluster.snapshot());
        snapshot.requested_age(&target.model, target.version, rw_coord::uptime())
    }

    // Returns false when the manifest seems to be corrupt.
    async fn download_chunks(&self, id: &Name, manifest: &Manifest) -> bool {
        let chunks = manifest.chunks.len() as u32;
        let limits = TransferLimits {
            max_pending_chunks: match self.store.is_serving() {
                true => MAX_CONCURRENT_FETCHES,
                false => MAX_CONCURRENT_FETCHES_NOT_SERVING,
            },
            chunk_timeout: CHUNK_TIMEOUT,
            hedge_after: HEDGE_AFTER,
            initial_backoff: SOURCE_BACKOFF,
        };
        let mut transfer = Transfer::new(self.own_peer.clone(), chunks, limits);
        for chunk in 0..chunks {
            if self.store.chunk(id, chunk).is_some() {
                let source = Source::Origin;
                transfer.on_chunk(&ChunkFetch { chunk, source }, self.cx.now());
            }
        }
        self.cx
            .recorder
            .emit(Event::TransferStarted, &format!("manifest={id}"));
        let changed = self.cx.cluster.subscribe();
        let ticks = self.cx.timer.subscribe(SCHEDULE_INTERVAL);
        let (tx, rx) = flume::unbounded();
        let mut from_origin = Vec::new();
        // Dropping the set aborts the fetches when the version is superseded,
        // so that they do not compete with those of the newer one.
        let mut fetches = JoinSet::new();
        let mut layout = self.layout();
        let started_at = Instant::now();
        // Chunks in the archive, read once this host turns out to be an importer.
        let mut archived = None;
        let mut corrupt_chunks = 0;
        // Hosts that lack the version although their rows list it: their servers
        // may have lost their weights since.
        let mut non_holders = BTreeMap::new();
        while !transfer.is_complete() {
            if changed.try_recv().is_ok() {
                layout = self.layout_excluding(&mut non_holders);
                layout = layout.with_archived(archived.clone().unwrap_or_default());
            }
            if archived.is_none() && layout.is_any_importer(&self.own_peer) {
                if layout.peers().len() > 1 || started_at.elapsed() >= MAX_ALONE_TIME {
                    let chunks = match self.is_just_requested() {
                        true => BTreeSet::new(),
                        false => archived_chunks(self.archive, self.target, id).await,
                    };
                    layout = layout.with_archived(chunks.clone());
                    archived = Some(chunks);
                } else {
                    transfer.hold_origin(self.cx.now() + SCHEDULE_INTERVAL);
                }
            }
            transfer.set_window(self.store.download_window());
            for fetch in transfer.next_fetches(&layout, self.cx.now()) {
                let wait = self.chunk_wait(&layout, &fetch);
                self.spawn_fetch(&mut fetches, id, fetch, wait, tx.clone());
            }
            tokio::select! {
                result = rx.recv_async() => {
                    if let Ok((fetch, result)) = result {
                        if let (Source::Peer(name), FetchResult::NotHeld) = (&fetch.source, &result) {
                            if layout.is_holder(name) {
                                non_holders.insert(name.clone(), Instant::now() + NON_HOLDER_TTL);
                                layout = self.layout_excluding(&mut non_holders);
                                layout = layout.with_archived(archived.clone().unwrap_or_default());
                            }
                        }
                        corrupt_chunks += u32::from(!self.handle_result(&mut transfer, id, fetch, result, &mut from_origin));
                    }
                }
                _ = ticks.recv_async() => {}
            }
            while fetches.try_join_next().is_some() {}
            if corrupt_chunks >= CORRUPT_CHUNK_THRESHOLD {
                self.cx
                    .recorder
                    .emit(Event::ManifestMismatch, &format!("manifest={id}"));
                self.store.retain_versions(&[]);
                return false;
            }
        }
        let age = self.requested_age();
        if let Some(age) = age {
            let metrics = self.cx.recorder.metrics();
            metrics.weights_whole_ms.set(age.as_millis() as i64);
        }
        let detail = format!(
            "manifest={id} took_ms={} requested_ms_ago={}",
            started_at.elapsed().as_millis(),
            age.map_or("unknown".to_string(), |age| age.as_millis().to_string())
        );
        self.cx.recorder.emit(Event::TransferComplete, &detail);
        write_fetched_chunks(self.archive, self.store, from_origin);
        true
    }

    // A holder or fallback importer has the chunk at once or not at all; other
    // hosts may still be waiting for it themselves.
    fn chunk_wait(&self, layout: &Layout, fetch: &ChunkFetch) -> Duration {
        let Source::Peer(name) = &fetch.source else {
            return CHUNK_TIMEOUT;
        };
        if self.store.download_window() < MAX_CONCURRENT_FETCHES {
            return NARROW_CHUNK_WAIT;
        }
        let fallback_importer = layout.fallback_importer(fetch.chunk, &self.own_peer);
        match layout.is_holder(name) || fallback_importer.as_ref() == Some(name) {
            true => HOLDER_CHUNK_WAIT,
            false => CHUNK_TIMEOUT,
        }
    }

    // Returns false if the origin sent a corrupt chunk.
    fn handle_result(
        &self,
        transfer: &mut Transfer,
        id: &Name,
        fetch: ChunkFetch,
        result: FetchResult,
        from_origin: &mut Vec<FetchedChunk>,
    ) -> bool {
        let detail = format!(
            "manifest={id} chunk={} source={:?}",
            fetch.chunk, fetch.source
        );
        let recorder = &self.cx.recorder;
        match result {
            FetchResult::Missing | FetchResult::NotHeld => transfer.on_not_held(&fetch),
            FetchResult::Failed => {
                recorder.emit(Event::ChunkRefetched, &detail);
                transfer.on_failed(&fetch, self.cx.now());
            }
            FetchResult::Chunk(body) => match self.store.insert(id, fetch.chunk, body.clone()) {
                Ok(()) => {
                    if fetch.source == Source::Origin {
                        let name = object_name(self.target, id, fetch.chunk);
                        from_origin.push(FetchedChunk { name, body: body.0 });
                    }
                    transfer.on_chunk(&fetch, self.cx.now());
                }
                Err(err) => {
                    recorder.emit(Event::ChunkCorrupt, &format!("{detail} reason={err}"));
                    transfer.on_failed(&fetch, self.cx.now());
                    return fetch.source != Source::Origin;
                }
            },
        }
        true
    }

    fn spawn_fetch(
        &self,
        fetches: &mut JoinSet<()>,
        id: &Name,
        fetch: ChunkFetch,
        wait: Duration,
        tx: flume::Sender<(ChunkFetch, FetchResult)>,
    ) {
        let (cx, store, id) = (self.cx.clone(), self.store.clone(), id.clone());
        let (origin, archive) = (self.origin.clone(), self.archive.clone());
        let target = self.target.clone();
        fetches.spawn(async move {
            let result = match &fetch.source {
                Source::Origin => fetch_from_origin(&origin, &target, fetch.chunk).await,
                Source::Archive => {
                    let name = object_name(&target, &id, fetch.chunk);
                    fetch_from_archive(&archive, &name).await
                }
                Source::Peer(addr) => {
                    fetch_from_peer(&cx, &store, addr, &id, fetch.chunk, wait).await
                }
            };
            // An immediate retry would only load the source. No delay is needed
            // for a host that was assumed to hold the chunk: it is not queried
            // again for a while.
            let was_assumed_holder =
                wait == HOLDER_CHUNK_WAIT && matches!(result, FetchResult::NotHeld);
            if matches!(result, FetchResult::Missing | FetchResult::NotHeld) && !was_assumed_holder
            {
                tokio::time::sleep(MISSING_RETRY_DELAY).await;
            }
            if let FetchResult::Chunk(body) = &result {
                store.pace_download(body.as_ref().len() as u64).await;
            }
            if tx.send((fetch, result)).is_err() {
                log::debug!("dropping a chunk of a version that is no longer downloaded");
            }
        });
    }
}
