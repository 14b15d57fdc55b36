//! Collects the chunks of one version from other hosts and the origin.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{Blob, ChunkRequest, Manifest, Name, PeerReply, PeerRequest};
use rw_weights::{Fetch, Layout, Limits, Peer, Policy, Source, Transfer};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::chunk_store::{version_name, NOT_HELD};
use super::{ChunkStore, OriginClient};
use crate::{Cx, Engine, Origin, PlatformCodec};

const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Chunks asked for at once; most of them wait at a source that has yet to
/// get them, so that the tree stays filled.
const MAX_CONCURRENT_FETCHES: usize = 8;
/// The same while the backend server serves nothing, so that no request waits
/// behind chunks.
const MAX_CONCURRENT_FETCHES_NOT_SERVING: usize = 12;
/// Time after which a chunk is asked for elsewhere.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Wait for a chunk at a host that should hold it; it may have been restarted.
const HOLDER_CHUNK_WAIT: Duration = Duration::from_millis(150);
/// Time for which a host that lacked a chunk does not count as a holder.
const NON_HOLDER_TTL: Duration = Duration::from_secs(5);
/// Pause after a host said that it lacks a chunk.
const MISSING_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which an overdue chunk is asked for at a second source too; a
/// full window takes a quarter of a second of a thin link, and a chunk that
/// comes twice costs the link twice.
const HEDGE_AFTER: Duration = Duration::from_millis(900);
/// Time for which a failed source is avoided.
const SOURCE_BACKOFF: Duration = Duration::from_secs(2);
/// Time for the origin to send one chunk while others share its link.
pub(super) const ORIGIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Chunks from the origin that failed their digest after which the digests
/// are read again, since they may be what was damaged.
const MAX_CORRUPT_CHUNKS: u32 = 3;

/// What is to be collected.
#[derive(Clone, Debug)]
pub struct TargetVersion {
    /// Model.
    pub model: Name,
    /// Version of its weights.
    pub version: u64,
    /// Its engine, for the number of chunks.
    pub engine: Arc<Engine>,
    /// Where it comes from.
    pub origin: Origin,
}

enum FetchResult {
    Chunk(Blob),
    // Not there yet, or not to be had now.
    Missing,
    // The source holds nothing of the version.
    NotHeld,
    Failed,
}

/// Collects every chunk; returns the manifest's id once all are on the shelf.
pub async fn download_version<D: PlatformCodec, O: OriginClient>(
    cx: &Arc<Cx<D>>,
    store: &Arc<ChunkStore>,
    origin: &O,
    target: &TargetVersion,
) -> (Name, Manifest) {
    let downloader = Downloader {
        cx,
        store,
        origin,
        target,
        own_peer: own_peer(cx),
    };
    loop {
        let manifest = downloader.fetch_manifest().await;
        let name = version_name(&target.model, target.version);
        let id = store.open(&name, manifest.clone());
        let _guard = store.begin_download(id.clone());
        if downloader.download_chunks(&id, &manifest).await {
            return (id, manifest);
        }
    }
}

/// This host as others see it in the servers' table.
fn own_peer<D: PlatformCodec>(cx: &Cx<D>) -> Peer {
    Peer {
        region: cx.settings.region.clone(),
        zone: cx.settings.zone.clone(),
        name: Name::from(cx.settings.peer_addr.to_string()),
    }
}

pub(super) struct Downloader<'a, D, O> {
    pub(super) cx: &'a Arc<Cx<D>>,
    pub(super) store: &'a Arc<ChunkStore>,
    pub(super) origin: &'a O,
    pub(super) target: &'a TargetVersion,
    pub(super) own_peer: Peer,
}

impl<D: PlatformCodec, O: OriginClient> Downloader<'_, D, O> {
    pub(super) fn layout(&self) -> Layout {
        self.layout_excluding(&mut BTreeMap::new())
    }

    // Hosts of the service, and those that have the version loaded already,
    // but for the ones that lately said otherwise.
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
        Layout::new(&key, &home, peers, Policy::Tree).with_holders(holders)
    }

    // False when the digests themselves are suspect.
    async fn download_chunks(&self, id: &Name, manifest: &Manifest) -> bool {
        let chunks = manifest.chunks.len() as u32;
        let limits = Limits {
            window: match self.store.is_serving() {
                true => MAX_CONCURRENT_FETCHES,
                false => MAX_CONCURRENT_FETCHES_NOT_SERVING,
            },
            chunk_timeout: CHUNK_TIMEOUT,
            hedge_after: HEDGE_AFTER,
            avoid: SOURCE_BACKOFF,
        };
        let mut transfer = Transfer::new(self.own_peer.clone(), chunks, limits);
        for chunk in 0..chunks {
            if self.store.chunk(id, chunk).is_some() {
                let source = Source::Origin;
                transfer.on_chunk(&Fetch { chunk, source }, self.cx.now());
            }
        }
        self.cx
            .recorder
            .emit(Event::TransferStarted, &format!("manifest={id}"));
        let changed = self.cx.cluster.subscribe();
        let ticks = self.cx.timer.subscribe(SCHEDULE_INTERVAL);
        let (tx, rx) = flume::unbounded();
        // Ends what is under way when the version is superseded, so that it
        // does not compete with the newer one.
        let mut fetches = JoinSet::new();
        let mut layout = self.layout();
        let mut corrupt_chunks = 0;
        // Entries of servers that lost their weights may still name them.
        let mut non_holders = BTreeMap::new();
        while !transfer.is_complete() {
            if changed.try_recv().is_ok() {
                layout = self.layout_excluding(&mut non_holders);
            }
            for fetch in transfer.next(&layout, self.cx.now()) {
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
                            }
                        }
                        corrupt_chunks += u32::from(!self.handle_result(&mut transfer, id, fetch, result));
                    }
                }
                _ = ticks.recv_async() => {}
            }
            while fetches.try_join_next().is_some() {}
            if corrupt_chunks >= MAX_CORRUPT_CHUNKS {
                self.cx
                    .recorder
                    .emit(Event::ManifestMismatch, &format!("manifest={id}"));
                self.store.retain_versions(&[]);
                return false;
            }
        }
        self.cx
            .recorder
            .emit(Event::TransferComplete, &format!("manifest={id}"));
        true
    }

    // A holder, or a host that stood in for this one, has a chunk or does not;
    // others may be waiting for it themselves.
    fn chunk_wait(&self, layout: &Layout, fetch: &Fetch) -> Duration {
        let Source::Peer(name) = &fetch.source else {
            return CHUNK_TIMEOUT;
        };
        let stand_in = layout.stand_in(fetch.chunk, &self.own_peer);
        match layout.is_holder(name) || stand_in.as_ref() == Some(name) {
            true => HOLDER_CHUNK_WAIT,
            false => CHUNK_TIMEOUT,
        }
    }

    // False when the origin sent damaged bytes.
    fn handle_result(
        &self,
        transfer: &mut Transfer,
        id: &Name,
        fetch: Fetch,
        result: FetchResult,
    ) -> bool {
        let detail = format!(
            "manifest={id} chunk={} source={:?}",
            fetch.chunk, fetch.source
        );
        let recorder = &self.cx.recorder;
        match result {
            FetchResult::Missing | FetchResult::NotHeld => transfer.on_missing(&fetch),
            FetchResult::Failed => {
                recorder.emit(Event::ChunkRefetched, &detail);
                transfer.on_failed(&fetch, self.cx.now());
            }
            FetchResult::Chunk(body) => match self.store.insert(id, fetch.chunk, body) {
                Ok(()) => transfer.on_chunk(&fetch, self.cx.now()),
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
        fetch: Fetch,
        wait: Duration,
        tx: flume::Sender<(Fetch, FetchResult)>,
    ) {
        let (cx, store, id) = (self.cx.clone(), self.store.clone(), id.clone());
        let (origin, target) = (self.origin.clone(), self.target.clone());
        fetches.spawn(async move {
            let result = match &fetch.source {
                Source::Origin => fetch_from_origin(&origin, &target, fetch.chunk).await,
                Source::Peer(addr) => fetch_from_peer(&cx, addr, &id, fetch.chunk, wait).await,
            };
            // Asking at once again would only keep the host busy; one that was
            // taken for a holder is not asked again.
            let was_holder = wait == HOLDER_CHUNK_WAIT && matches!(result, FetchResult::NotHeld);
            if matches!(result, FetchResult::Missing | FetchResult::NotHeld) && !was_holder {
                tokio::time::sleep(MISSING_RETRY_DELAY).await;
            }
            if let FetchResult::Chunk(body) = &result {
                store.pace_download(body.as_ref().len() as u64).await;
            }
            if tx.send((fetch, result)).is_err() {
                log::debug!("chunk of a superseded version dropped");
            }
        });
    }
}

async fn fetch_from_origin<O: OriginClient>(
    origin: &O,
    target: &TargetVersion,
    chunk: u32,
) -> FetchResult {
    let read = origin.chunk(&target.origin, &target.model, target.version, chunk);
    match tokio::time::timeout(ORIGIN_TIMEOUT, read).await {
        Ok(Ok(body)) => FetchResult::Chunk(Blob::from(body)),
        Ok(Err(err)) => {
            log::debug!("chunk {chunk} from the origin: {err}");
            FetchResult::Failed
        }
        Err(_) => FetchResult::Failed,
    }
}

async fn fetch_from_peer<D: PlatformCodec>(
    cx: &Cx<D>,
    addr: &Name,
    id: &Name,
    chunk: u32,
    wait: Duration,
) -> FetchResult {
    let req = PeerRequest::Chunk(ChunkRequest {
        manifest: id.clone(),
        chunk,
        wait_ms: wait.as_millis() as u64,
    });
    match cx.pool.ask(addr, &req, CHUNK_TIMEOUT * 3).await {
        Ok(PeerReply::Chunk(result)) if result.chunk == chunk => FetchResult::Chunk(result.body),
        Ok(PeerReply::Missing(missing)) if missing.retry_after_ms == NOT_HELD => {
            FetchResult::NotHeld
        }
        Ok(PeerReply::Missing(_)) => FetchResult::Missing,
        Ok(_) => FetchResult::Failed,
        Err(err) => {
            log::debug!("chunk {chunk} from {addr}: {err}");
            FetchResult::Failed
        }
    }
}
