//! Collects the model that the confirmed configuration wants here.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::Backoff;
use rw_intent::HostAssignment;
use rw_observe::Event;
use rw_platform::{ObjectStore, Origin, WeightStore};
use rw_protocol::{
    manifest_id, Blob, ChunkRequest, HostState, Manifest, ManifestRequest, Name, PeerReply,
    PeerRequest,
};
use rw_settings::{WeightsGoal, WeightsPolicy};
use rw_weights::{ChunkFetch, DistributionPolicy, Layout, Peer, Source, Transfer, TransferLimits};

use super::Weights;
use crate::Context;

const TICK: Duration = Duration::from_millis(50);
/// Time for which a failed source is avoided.
const AVOID: Duration = Duration::from_secs(10);
/// Time limit of a chunk's transmission beyond the wait for it.
const SEND_LIMIT: Duration = Duration::from_secs(30);
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);
/// Damaged chunks from the origin after which its version is suspected.
const ORIGIN_CORRUPT_LIMIT: u32 = 3;

enum Got {
    Chunk(Blob),
    Missing,
    Failed,
}

/// Follows the configuration for as long as the daemon runs.
pub async fn collect(cx: Arc<Context>, weights: Arc<Weights>) {
    let changed = cx.shared.subscribe();
    loop {
        let duty = cx.shared.read().cfg.assignment_for(&cx.name);
        let wanted = wanted(&cx);
        weights.store().retain(|id| wanted.contains(id));
        match duty {
            Some(duty) if !weights.is_complete(&duty.manifest) => {
                let work = Collector::run(&cx, &weights, &duty);
                // A newer manifest ends the work on an older one.
                tokio::select! {
                    () = work => {}
                    () = superseded(&cx, &duty) => {
                        cx.recorder.emit(Event::TransferCancelled, &format!("manifest={}", duty.manifest));
                    }
                }
            }
            _ => {
                if changed.recv_async().await.is_err() {
                    return;
                }
            }
        }
    }
}

// Manifests to keep: the one to serve, and the one before it, which others
// may still be loading.
fn wanted(cx: &Context) -> BTreeSet<Name> {
    let view = cx.shared.read();
    let mut out = BTreeSet::new();
    for active in view.cfg.intents().values() {
        if active.assignments.contains_key(&cx.name) {
            out.insert(active.manifest.clone());
            out.insert(active.previous.clone());
        }
    }
    out
}

async fn superseded(cx: &Context, duty: &HostAssignment) {
    let changed = cx.shared.subscribe();
    loop {
        let now = cx.shared.read().cfg.assignment_for(&cx.name);
        if now.is_none_or(|now| now.manifest != duty.manifest) {
            return;
        }
        if changed.recv_async().await.is_err() {
            return std::future::pending().await;
        }
    }
}

struct Collector<'a> {
    cx: &'a Arc<Context>,
    weights: &'a Arc<Weights>,
    duty: &'a HostAssignment,
    me: Peer,
    layout: Arc<Layout>,
    origin_corrupt: u32,
}

impl Collector<'_> {
    async fn run(cx: &Arc<Context>, weights: &Arc<Weights>, duty: &HostAssignment) {
        let me = Peer {
            region: cx.region.clone(),
            zone: cx.daemon.zone.clone(),
            name: cx.name.clone(),
        };
        let mut collector = Collector {
            layout: Arc::new(layout(cx, duty)),
            cx,
            weights,
            duty,
            me,
            origin_corrupt: 0,
        };
        collector.collect().await;
    }

    async fn collect(&mut self) {
        let (cx, duty) = (self.cx, self.duty);
        cx.recorder.emit(
            Event::TransferStarted,
            &format!("manifest={}", duty.manifest),
        );
        let manifest = self.manifest().await;
        let chunks = manifest.chunks.len() as u32;
        self.weights.open(manifest);
        let mut transfer = Transfer::new(self.me.clone(), chunks, self.limits());
        let changed = cx.shared.subscribe();
        let ticks = cx.timer.subscribe(TICK);
        let (tx, rx) = flume::unbounded();
        while !transfer.is_complete() {
            if changed.try_recv().is_ok() {
                self.layout = Arc::new(layout(cx, duty));
            }
            for fetch in transfer.next_fetches(&self.layout, cx.now()) {
                self.spawn(fetch, tx.clone());
            }
            tokio::select! {
                got = rx.recv_async() => {
                    if let Ok((fetch, got)) = got {
                        self.take(&mut transfer, fetch, got);
                    }
                }
                _ = ticks.recv_async() => {}
            }
        }
        cx.recorder.emit(
            Event::TransferComplete,
            &format!("manifest={}", duty.manifest),
        );
    }

    fn limits(&self) -> TransferLimits {
        let cfg = &self.cx.deployment.weights;
        let chunk_timeout = Duration::from_millis(cfg.chunk_timeout_ms);
        TransferLimits {
            max_pending_chunks: cfg.window.get() as usize,
            chunk_timeout,
            hedge_after: match cfg.goal {
                WeightsGoal::Time => chunk_timeout / 8,
                WeightsGoal::Origin => chunk_timeout / 2,
            },
            initial_backoff: AVOID,
        }
    }

    fn take(&mut self, transfer: &mut Transfer, fetch: ChunkFetch, got: Got) {
        let recorder = &self.cx.recorder;
        let detail = format!(
            "manifest={} chunk={} source={:?}",
            self.duty.manifest, fetch.chunk, fetch.source
        );
        match got {
            Got::Missing => transfer.on_not_held(&fetch),
            Got::Failed => {
                transfer.on_failed(&fetch, self.cx.now());
                let event = match fetch.source {
                    Source::Origin => Event::OriginUnreachable,
                    Source::Peer(_) => Event::ChunkRefetched,
                };
                recorder.emit(event, &detail);
            }
            Got::Chunk(body) => {
                let len = body.as_ref().len() as u64;
                recorder
                    .metrics()
                    .count_weight_bytes(self.flow(&fetch.source), len);
                if self
                    .weights
                    .insert(&self.duty.manifest, fetch.chunk, body)
                    .is_ok()
                {
                    return transfer.on_chunk(&fetch, self.cx.now());
                }
                transfer.on_failed(&fetch, self.cx.now());
                recorder.emit(Event::ChunkCorrupt, &detail);
                self.note_corrupt(&fetch.source);
            }
        }
    }

    fn note_corrupt(&mut self, source: &Source) {
        if *source != Source::Origin {
            return;
        }
        self.origin_corrupt += 1;
        if self.origin_corrupt == ORIGIN_CORRUPT_LIMIT {
            let detail = format!("manifest={}", self.duty.manifest);
            self.cx.recorder.emit(Event::ManifestMismatch, &detail);
        }
    }

    fn flow(&self, source: &Source) -> &'static str {
        let Source::Peer(name) = source else {
            return "from_origin";
        };
        let peer = self.layout.peers().iter().find(|p| p.name == *name);
        match peer {
            Some(peer) if peer.zone == self.me.zone => "from_zone",
            Some(peer) if peer.region == self.me.region => "from_region",
            _ => "from_other_region",
        }
    }

    fn spawn(&self, fetch: ChunkFetch, tx: flume::Sender<(ChunkFetch, Got)>) {
        let (cx, duty, weights) = (self.cx.clone(), self.duty.clone(), self.weights.clone());
        let wait = self.limits().chunk_timeout;
        tokio::spawn(async move {
            let got = match &fetch.source {
                Source::Origin => from_origin(&cx, &duty, fetch.chunk).await,
                Source::Peer(name) => from_peer(&cx, &duty, name, fetch.chunk, wait).await,
            };
            if let Got::Chunk(body) = &got {
                weights.pace_download(&cx, body.as_ref().len() as u64).await;
            }
            // The collector is gone once its manifest is superseded.
            let _ = tx.send((fetch, got));
        });
    }

    // Peers hand the manifest on as they do chunks; the object store and the
    // origin stand in when they cannot. The id proves that it is the right one.
    async fn manifest(&self) -> Manifest {
        if let Some(held) = self.weights.store().get(&self.duty.manifest) {
            return held.manifest.clone();
        }
        let mut backoff = Backoff::new(
            FIRST_RETRY,
            LAST_RETRY,
            rw_protocol::rank(&self.duty.manifest, &self.me.name),
        );
        loop {
            if let Some(manifest) = self.peer_manifest().await {
                return manifest;
            }
            if let Some(manifest) = self.platform_manifest().await {
                return manifest;
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    async fn peer_manifest(&self) -> Option<Manifest> {
        let sources = self.layout.sources(0, &self.me, &BTreeSet::new());
        let Some(Source::Peer(name)) = sources.first() else {
            return None;
        };
        let addr = self.cx.shared.read().addr(name)?;
        let req = PeerRequest::Manifest(ManifestRequest {
            manifest: self.duty.manifest.clone(),
        });
        let reply = self.cx.pool.ask(&addr, &req, self.cx.peer_timeout()).await;
        match reply {
            Ok(PeerReply::Manifest(manifest)) if manifest_id(&manifest) == self.duty.manifest => {
                Some(manifest)
            }
            _ => None,
        }
    }

    async fn platform_manifest(&self) -> Option<Manifest> {
        let (cx, duty) = (self.cx.clone(), self.duty.clone());
        let read = tokio::task::spawn_blocking(move || {
            let stored = cx.platform.get(&format!("manifest/{}", duty.manifest)).ok();
            let parsed = stored.and_then(|body| serde_json::from_slice(&body).ok());
            parsed.or_else(|| cx.platform.manifest(&duty.model, &duty.version).ok())
        });
        let manifest = read.await.ok()??;
        (manifest_id(&manifest) == self.duty.manifest).then_some(manifest)
    }
}

fn layout(cx: &Context, duty: &HostAssignment) -> Layout {
    let view = cx.shared.read();
    let assigned = view
        .cfg
        .intents()
        .values()
        .filter(|a| a.manifest == duty.manifest);
    let names = assigned.flat_map(|a| a.assignments.keys());
    let hosts = names.filter_map(|name| view.hosts.get(name));
    let live = hosts.filter(|h| h.state == HostState::Live || h.name == cx.name);
    let peers = live.map(|h| Peer {
        region: h.region.clone(),
        zone: h.zone.clone(),
        name: h.name.clone(),
    });
    let policy = policy(cx);
    Layout::new(
        &duty.manifest,
        &cx.deployment.home(),
        peers.collect(),
        policy,
    )
}

fn policy(cx: &Context) -> DistributionPolicy {
    let cfg = &cx.deployment.weights;
    match cfg.policy {
        WeightsPolicy::Tree => DistributionPolicy::Tree,
        WeightsPolicy::Origin => DistributionPolicy::Origin,
        WeightsPolicy::Chain => DistributionPolicy::Chain,
        WeightsPolicy::Random => DistributionPolicy::Random,
    }
}

async fn from_origin(cx: &Arc<Context>, duty: &HostAssignment, chunk: u32) -> Got {
    let (cx, duty) = (cx.clone(), duty.clone());
    let read = tokio::task::spawn_blocking(move || {
        let (model, version) = (&duty.model, &duty.version);
        let origin = cx.platform.chunk(model, version, chunk);
        origin.or_else(|_| cx.platform.stored_chunk(model, version, chunk))
    });
    match read.await {
        Ok(Ok(body)) => Got::Chunk(Blob::from(body)),
        _ => Got::Failed,
    }
}

async fn from_peer(
    cx: &Context,
    duty: &HostAssignment,
    name: &Name,
    chunk: u32,
    wait: Duration,
) -> Got {
    let Some(addr) = cx.shared.read().addr(name) else {
        return Got::Failed;
    };
    let req = PeerRequest::Chunk(ChunkRequest {
        manifest: duty.manifest.clone(),
        chunk,
        wait_ms: wait.as_millis() as u64,
    });
    match cx.pool.ask(&addr, &req, wait + SEND_LIMIT).await {
        Ok(PeerReply::Chunk(got)) if got.chunk == chunk => Got::Chunk(got.body),
        Ok(PeerReply::Missing(_)) => Got::Missing,
        _ => Got::Failed,
    }
}
