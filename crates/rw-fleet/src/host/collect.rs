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

use super::shelf::{version_name, NOT_HELD};
use super::{OriginClient, Shelf};
use crate::{Cx, Dialect, Engine, Origin};

const TICK: Duration = Duration::from_millis(50);
/// Chunks asked for at once; most of them wait at a source that has yet to
/// get them, so that the tree stays filled.
const WINDOW: usize = 8;
/// The same while the backend server serves nothing, so that no request waits
/// behind chunks.
const DARK_WINDOW: usize = 12;
/// Time after which a chunk is asked for elsewhere.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Wait for a chunk at a host that should hold it; it may have been restarted.
const HOLDER_WAIT: Duration = Duration::from_millis(150);
/// Time for which a host that lacked a chunk does not count as a holder.
const EMPTY_FOR: Duration = Duration::from_secs(5);
/// Pause after a host said that it lacks a chunk.
const MISSING_PAUSE: Duration = Duration::from_millis(100);
/// Time after which an overdue chunk is asked for at a second source too; a
/// full window takes a quarter of a second of a thin link, and a chunk that
/// comes twice costs the link twice.
const HEDGE_AFTER: Duration = Duration::from_millis(900);
/// Time for which a failed source is avoided.
const AVOID: Duration = Duration::from_secs(2);
/// Time for the origin to send one chunk while others share its link.
pub(super) const ORIGIN_LIMIT: Duration = Duration::from_secs(4);
/// Chunks from the origin that failed their digest after which the digests
/// are read again, since they may be what was damaged.
const SUSPECT_DIGESTS: u32 = 3;

/// What is to be collected.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Model.
    pub model: Name,
    /// Version of its weights.
    pub version: u64,
    /// Its engine, for the number of chunks.
    pub engine: Arc<Engine>,
    /// Where it comes from.
    pub origin: Origin,
}

enum Got {
    Chunk(Blob),
    // Not there yet, or not to be had now.
    Missing,
    // The source holds nothing of the version.
    NotHeld,
    Failed,
}

/// Collects every chunk; returns the manifest's id once all are on the shelf.
pub async fn collect<D: Dialect, O: OriginClient>(
    cx: &Arc<Cx<D>>,
    shelf: &Arc<Shelf>,
    origin: &O,
    wanted: &Wanted,
) -> (Name, Manifest) {
    let collector = Collector {
        cx,
        shelf,
        origin,
        wanted,
        me: own_peer(cx),
    };
    loop {
        let manifest = collector.manifest().await;
        let name = version_name(&wanted.model, wanted.version);
        let id = shelf.open(&name, manifest.clone());
        let _collecting = shelf.collecting(id.clone());
        if collector.chunks(&id, &manifest).await {
            return (id, manifest);
        }
    }
}

/// This host as others see it in the servers' table.
fn own_peer<D: Dialect>(cx: &Cx<D>) -> Peer {
    Peer {
        region: cx.site.region.clone(),
        zone: cx.site.zone.clone(),
        name: Name::from(cx.site.peer_addr.to_string()),
    }
}

pub(super) struct Collector<'a, D, O> {
    pub(super) cx: &'a Arc<Cx<D>>,
    pub(super) shelf: &'a Arc<Shelf>,
    pub(super) origin: &'a O,
    pub(super) wanted: &'a Wanted,
    pub(super) me: Peer,
}

impl<D: Dialect, O: OriginClient> Collector<'_, D, O> {
    pub(super) fn layout(&self) -> Layout {
        self.layout_without(&mut BTreeMap::new())
    }

    // Hosts of the service, and those that have the version loaded already,
    // but for the ones that lately said otherwise.
    fn layout_without(&self, empty: &mut BTreeMap<Name, Instant>) -> Layout {
        let now = Instant::now();
        empty.retain(|_, until| *until > now);
        let view = self.cx.beliefs.view();
        let site = &self.cx.site;
        let mut peers = vec![self.me.clone()];
        let mut holders = Vec::new();
        for server in view
            .servers
            .values()
            .filter(|s| s.service == site.service && s.ready)
        {
            let addr = SocketAddr::new(server.addr.ip(), site.host_peer_port);
            let peer = Peer {
                region: site.region_of(&server.zone),
                zone: server.zone.clone(),
                name: Name::from(addr.to_string()),
            };
            let holds = view.loaded(server) == self.wanted.version;
            if holds && peer.name != self.me.name && !empty.contains_key(&peer.name) {
                holders.push(peer.clone());
            }
            peers.push(peer);
        }
        let key = version_name(&self.wanted.model, self.wanted.version);
        let home = site.region_of(&self.wanted.origin.zone);
        Layout::new(&key, &home, peers, Policy::Tree).with_holders(holders)
    }

    // False when the digests themselves are suspect.
    async fn chunks(&self, id: &Name, manifest: &Manifest) -> bool {
        let chunks = manifest.chunks.len() as u32;
        let limits = Limits {
            window: match self.shelf.is_live() {
                true => WINDOW,
                false => DARK_WINDOW,
            },
            chunk_timeout: CHUNK_TIMEOUT,
            hedge_after: HEDGE_AFTER,
            avoid: AVOID,
        };
        let mut transfer = Transfer::new(self.me.clone(), chunks, limits);
        for chunk in 0..chunks {
            if self.shelf.chunk(id, chunk).is_some() {
                let source = Source::Origin;
                transfer.on_chunk(&Fetch { chunk, source }, self.cx.now());
            }
        }
        self.cx
            .recorder
            .emit(Event::TransferStarted, &format!("manifest={id}"));
        let changed = self.cx.beliefs.subscribe();
        let ticks = self.cx.timer.subscribe(TICK);
        let (tx, rx) = flume::unbounded();
        // Ends what is under way when the version is superseded, so that it
        // does not compete with the newer one.
        let mut fetches = JoinSet::new();
        let mut layout = self.layout();
        let mut damaged = 0;
        // Entries of servers that lost their weights may still name them.
        let mut empty = BTreeMap::new();
        while !transfer.is_complete() {
            if changed.try_recv().is_ok() {
                layout = self.layout_without(&mut empty);
            }
            for fetch in transfer.next(&layout, self.cx.now()) {
                let wait = self.wait_at(&layout, &fetch);
                self.spawn(&mut fetches, id, fetch, wait, tx.clone());
            }
            tokio::select! {
                got = rx.recv_async() => {
                    if let Ok((fetch, got)) = got {
                        if let (Source::Peer(name), Got::NotHeld) = (&fetch.source, &got) {
                            if layout.is_holder(name) {
                                empty.insert(name.clone(), Instant::now() + EMPTY_FOR);
                                layout = self.layout_without(&mut empty);
                            }
                        }
                        damaged += u32::from(!self.take(&mut transfer, id, fetch, got));
                    }
                }
                _ = ticks.recv_async() => {}
            }
            while fetches.try_join_next().is_some() {}
            if damaged >= SUSPECT_DIGESTS {
                self.cx
                    .recorder
                    .emit(Event::ManifestMismatch, &format!("manifest={id}"));
                self.shelf.keep(&[]);
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
    fn wait_at(&self, layout: &Layout, fetch: &Fetch) -> Duration {
        let Source::Peer(name) = &fetch.source else {
            return CHUNK_TIMEOUT;
        };
        let stood_in = layout.stand_in(fetch.chunk, &self.me);
        match layout.is_holder(name) || stood_in.as_ref() == Some(name) {
            true => HOLDER_WAIT,
            false => CHUNK_TIMEOUT,
        }
    }

    // False when the origin sent damaged bytes.
    fn take(&self, transfer: &mut Transfer, id: &Name, fetch: Fetch, got: Got) -> bool {
        let detail = format!(
            "manifest={id} chunk={} source={:?}",
            fetch.chunk, fetch.source
        );
        let recorder = &self.cx.recorder;
        match got {
            Got::Missing | Got::NotHeld => transfer.on_missing(&fetch),
            Got::Failed => {
                recorder.emit(Event::ChunkRefetched, &detail);
                transfer.on_failed(&fetch, self.cx.now());
            }
            Got::Chunk(body) => match self.shelf.insert(id, fetch.chunk, body) {
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

    fn spawn(
        &self,
        fetches: &mut JoinSet<()>,
        id: &Name,
        fetch: Fetch,
        wait: Duration,
        tx: flume::Sender<(Fetch, Got)>,
    ) {
        let (cx, shelf, id) = (self.cx.clone(), self.shelf.clone(), id.clone());
        let (origin, wanted) = (self.origin.clone(), self.wanted.clone());
        fetches.spawn(async move {
            let got = match &fetch.source {
                Source::Origin => from_origin(&origin, &wanted, fetch.chunk).await,
                Source::Peer(addr) => from_peer(&cx, addr, &id, fetch.chunk, wait).await,
            };
            // Asking at once again would only keep the host busy; one that was
            // taken for a holder is not asked again.
            let was_holder = wait == HOLDER_WAIT && matches!(got, Got::NotHeld);
            if matches!(got, Got::Missing | Got::NotHeld) && !was_holder {
                tokio::time::sleep(MISSING_PAUSE).await;
            }
            if let Got::Chunk(body) = &got {
                shelf.pace_download(body.as_ref().len() as u64).await;
            }
            if tx.send((fetch, got)).is_err() {
                log::debug!("chunk of a superseded version dropped");
            }
        });
    }
}

async fn from_origin<O: OriginClient>(origin: &O, wanted: &Wanted, chunk: u32) -> Got {
    let read = origin.chunk(&wanted.origin, &wanted.model, wanted.version, chunk);
    match tokio::time::timeout(ORIGIN_LIMIT, read).await {
        Ok(Ok(body)) => Got::Chunk(Blob::from(body)),
        Ok(Err(err)) => {
            log::debug!("chunk {chunk} from the origin: {err}");
            Got::Failed
        }
        Err(_) => Got::Failed,
    }
}

async fn from_peer<D: Dialect>(
    cx: &Cx<D>,
    addr: &Name,
    id: &Name,
    chunk: u32,
    wait: Duration,
) -> Got {
    let req = PeerRequest::Chunk(ChunkRequest {
        manifest: id.clone(),
        chunk,
        wait_ms: wait.as_millis() as u64,
    });
    match cx.pool.request(addr, &req, CHUNK_TIMEOUT * 3).await {
        Ok(PeerReply::Chunk(got)) if got.chunk == chunk => Got::Chunk(got.body),
        Ok(PeerReply::Missing(missing)) if missing.retry_after_ms == NOT_HELD => Got::NotHeld,
        Ok(PeerReply::Missing(_)) => Got::Missing,
        Ok(_) => Got::Failed,
        Err(err) => {
            log::debug!("chunk {chunk} from {addr}: {err}");
            Got::Failed
        }
    }
}
