//! Downloads the weights that the confirmed configuration assigns to this host.

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

use super::WeightCache;
use crate::Context;

const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a source is avoided after a failure.
const FAILED_SOURCE_COOLDOWN: Duration = Duration::from_secs(10);
/// Time limit for sending a chunk, on top of the time that the peer may wait for
/// it.
const CHUNK_SEND_TIMEOUT: Duration = Duration::from_secs(30);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Corrupt chunks from the origin after which a manifest mismatch is reported.
const ORIGIN_CORRUPTION_THRESHOLD: u32 = 3;

enum FetchResult {
    Chunk(Blob),
    Missing,
    Failed,
}

/// Downloads the assigned weights and deletes those that are neither assigned nor
/// of the previous version, until the daemon stops.
pub async fn download_weights(cx: Arc<Context>, weights: Arc<WeightCache>) {
    let changed = cx.view.subscribe();
    loop {
        let assignment = cx.view.read().cfg.assignment_for(&cx.name);
        let retained = manifests_to_retain(&cx);
        weights.store().retain(|id| retained.contains(id));
        match assignment {
            Some(assignment) if !weights.is_complete(&assignment.manifest) => {
                let download = WeightDownloader::run(&cx, &weights, &assignment);
                // A newer assignment cancels the download of an older one.
                tokio::select! {
                    () = download => {}
                    () = wait_until_superseded(&cx, &assignment) => {
                        cx.recorder.emit(Event::TransferCancelled, &format!("manifest={}", assignment.manifest));
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

// Returns the manifests of the assigned version and of the previous one, which
// peers may still be downloading.
fn manifests_to_retain(cx: &Context) -> BTreeSet<Name> {
    let view = cx.view.read();
    let mut manifests = BTreeSet::new();
    for active in view.cfg.intents().values() {
        if active.assignments.contains_key(&cx.name) {
            manifests.insert(active.manifest.clone());
            manifests.insert(active.previous.clone());
        }
    }
    manifests
}

async fn wait_until_superseded(cx: &Context, assignment: &HostAssignment) {
    let changed = cx.view.subscribe();
    loop {
        let current = cx.view.read().cfg.assignment_for(&cx.name);
        if current.is_none_or(|current| current.manifest != assignment.manifest) {
            return;
        }
        if changed.recv_async().await.is_err() {
            return std::future::pending().await;
        }
    }
}

struct WeightDownloader<'a> {
    cx: &'a Arc<Context>,
    weights: &'a Arc<WeightCache>,
    assignment: &'a HostAssignment,
    local_peer: Peer,
    layout: Arc<Layout>,
    corrupt_origin_chunks: u32,
}

impl WeightDownloader<'_> {
    async fn run(cx: &Arc<Context>, weights: &Arc<WeightCache>, assignment: &HostAssignment) {
        let local_peer = Peer {
            region: cx.region.clone(),
            zone: cx.daemon.zone.clone(),
            name: cx.name.clone(),
        };
        let mut downloader = WeightDownloader {
            layout: Arc::new(build_layout(cx, assignment)),
            cx,
            weights,
            assignment,
            local_peer,
            corrupt_origin_chunks: 0,
        };
        downloader.download().await;
    }

    async fn download(&mut self) {
        let (cx, assignment) = (self.cx, self.assignment);
        cx.recorder.emit(
            Event::TransferStarted,
            &format!("manifest={}", assignment.manifest),
        );
        let manifest = self.fetch_manifest().await;
        let chunks = manifest.chunks.len() as u32;
        self.weights.add_manifest(manifest);
        let mut transfer = Transfer::new(self.local_peer.clone(), chunks, self.limits());
        let changed = cx.view.subscribe();
        let ticks = cx.timer.subscribe(SCHEDULE_INTERVAL);
        let (tx, rx) = flume::unbounded();
        while !transfer.is_complete() {
            if changed.try_recv().is_ok() {
                self.layout = Arc::new(build_layout(cx, assignment));
            }
            for fetch in transfer.next_fetches(&self.layout, cx.now()) {
                self.spawn_fetch(fetch, tx.clone());
            }
            tokio::select! {
                received = rx.recv_async() => {
                    if let Ok((fetch, result)) = received {
                        self.apply_result(&mut transfer, fetch, result);
                    }
                }
                _ = ticks.recv_async() => {}
            }
        }
        cx.recorder.emit(
            Event::TransferComplete,
            &format!("manifest={}", assignment.manifest),
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
            initial_backoff: FAILED_SOURCE_COOLDOWN,
        }
    }

    fn apply_result(&mut self, transfer: &mut Transfer, fetch: ChunkFetch, result: FetchResult) {
        let recorder = &self.cx.recorder;
        let detail = format!(
            "manifest={} chunk={} source={:?}",
            self.assignment.manifest, fetch.chunk, fetch.source
        );
        match result {
            FetchResult::Missing => transfer.on_not_held(&fetch),
            FetchResult::Failed => {
                transfer.on_failed(&fetch, self.cx.now());
                let event = match fetch.source {
                    Source::Origin | Source::Archive => Event::OriginUnreachable,
                    Source::Peer(_) => Event::ChunkRefetched,
                };
                recorder.emit(event, &detail);
            }
            FetchResult::Chunk(body) => {
                let len = body.as_ref().len() as u64;
                recorder
                    .metrics()
                    .count_weight_bytes(self.source_label(&fetch.source), len);
                if self
                    .weights
                    .insert_chunk(&self.assignment.manifest, fetch.chunk, body)
                    .is_ok()
                {
                    return transfer.on_chunk(&fetch, self.cx.now());
                }
                transfer.on_failed(&fetch, self.cx.now());
                recorder.emit(Event::ChunkCorrupt, &detail);
                self.record_corrupt_chunk(&fetch.source);
            }
        }
    }

    fn record_corrupt_chunk(&mut self, source: &Source) {
        if *source != Source::Origin {
            return;
        }
        self.corrupt_origin_chunks += 1;
        if self.corrupt_origin_chunks == ORIGIN_CORRUPTION_THRESHOLD {
            let detail = format!("manifest={}", self.assignment.manifest);
            self.cx.recorder.emit(Event::ManifestMismatch, &detail);
        }
    }

    fn source_label(&self, source: &Source) -> &'static str {
        let Source::Peer(name) = source else {
            return "from_origin";
        };
        let peer = self.layout.peers().iter().find(|p| p.name == *name);
        match peer {
            Some(peer) if peer.zone == self.local_peer.zone => "from_zone",
            Some(peer) if peer.region == self.local_peer.region => "from_region",
            _ => "from_other_region",
        }
    }

    fn spawn_fetch(&self, fetch: ChunkFetch, tx: flume::Sender<(ChunkFetch, FetchResult)>) {
        let (cx, assignment, weights) = (
            self.cx.clone(),
            self.assignment.clone(),
            self.weights.clone(),
        );
        let wait = self.limits().chunk_timeout;
        tokio::spawn(async move {
            let result = match &fetch.source {
                // Layouts of these hosts have no archive.
                Source::Origin | Source::Archive => {
                    origin_chunk(&cx, &assignment, fetch.chunk).await
                }
                Source::Peer(name) => peer_chunk(&cx, &assignment, name, fetch.chunk, wait).await,
            };
            if let FetchResult::Chunk(body) = &result {
                weights
                    .throttle_download(&cx, body.as_ref().len() as u64)
                    .await;
            }
            // Fails if the assignment was superseded, which dropped the receiver.
            let _ = tx.send((fetch, result));
        });
    }

    // Manifests come from peers, as chunks do, with the object store and the
    // origin as fallbacks. The id is checked, so that any of them can be used.
    async fn fetch_manifest(&self) -> Manifest {
        if let Some(model) = self.weights.store().get(&self.assignment.manifest) {
            return model.manifest.clone();
        }
        let mut backoff = Backoff::new(
            MIN_RETRY_DELAY,
            MAX_RETRY_DELAY,
            rw_protocol::rendezvous_rank(&self.assignment.manifest, &self.local_peer.name),
        );
        loop {
            if let Some(manifest) = self.fetch_manifest_from_peer().await {
                return manifest;
            }
            if let Some(manifest) = self.fetch_manifest_from_platform().await {
                return manifest;
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    async fn fetch_manifest_from_peer(&self) -> Option<Manifest> {
        let sources = self.layout.sources(0, &self.local_peer, &BTreeSet::new());
        let Some(Source::Peer(name)) = sources.first() else {
            return None;
        };
        let addr = self.cx.view.read().addr(name)?;
        let req = PeerRequest::Manifest(ManifestRequest {
            manifest: self.assignment.manifest.clone(),
        });
        let reply = self
            .cx
            .pool
            .request(&addr, &req, self.cx.peer_timeout())
            .await;
        match reply {
            Ok(PeerReply::Manifest(manifest))
                if manifest_id(&manifest) == self.assignment.manifest =>
            {
                Some(manifest)
            }
            _ => None,
        }
    }

    async fn fetch_manifest_from_platform(&self) -> Option<Manifest> {
        let (cx, assignment) = (self.cx.clone(), self.assignment.clone());
        let read = tokio::task::spawn_blocking(move || {
            let stored = cx
                .platform
                .get(&format!("manifest/{}", assignment.manifest))
                .ok();
            let parsed = stored.and_then(|body| serde_json::from_slice(&body).ok());
            parsed.or_else(|| {
                cx.platform
                    .manifest(&assignment.model, &assignment.version)
                    .ok()
            })
        });
        let manifest = read.await.ok()??;
        (manifest_id(&manifest) == self.assignment.manifest).then_some(manifest)
    }
}

fn build_layout(cx: &Context, assignment: &HostAssignment) -> Layout {
    let view = cx.view.read();
    let assigned = view
        .cfg
        .intents()
        .values()
        .filter(|a| a.manifest == assignment.manifest);
    let names = assigned.flat_map(|a| a.assignments.keys());
    let hosts = names.filter_map(|name| view.hosts.get(name));
    let live = hosts.filter(|h| h.state == HostState::Live || h.name == cx.name);
    let peers = live.map(|h| Peer {
        region: h.region.clone(),
        zone: h.zone.clone(),
        name: h.name.clone(),
    });
    let policy = transfer_policy(cx);
    Layout::new(
        &assignment.manifest,
        &cx.deployment.home_region(),
        peers.collect(),
        policy,
    )
}

fn transfer_policy(cx: &Context) -> DistributionPolicy {
    let cfg = &cx.deployment.weights;
    match cfg.policy {
        WeightsPolicy::Tree => DistributionPolicy::Tree,
        WeightsPolicy::Origin => DistributionPolicy::Origin,
        WeightsPolicy::Chain => DistributionPolicy::Chain,
        WeightsPolicy::Random => DistributionPolicy::Random,
    }
}

async fn origin_chunk(cx: &Arc<Context>, assignment: &HostAssignment, chunk: u32) -> FetchResult {
    let (cx, assignment) = (cx.clone(), assignment.clone());
    let read = tokio::task::spawn_blocking(move || {
        let (model, version) = (&assignment.model, &assignment.version);
        let origin = cx.platform.chunk(model, version, chunk);
        origin.or_else(|_| cx.platform.stored_chunk(model, version, chunk))
    });
    match read.await {
        Ok(Ok(body)) => FetchResult::Chunk(Blob::from(body)),
        _ => FetchResult::Failed,
    }
}

async fn peer_chunk(
    cx: &Context,
    assignment: &HostAssignment,
    name: &Name,
    chunk: u32,
    wait: Duration,
) -> FetchResult {
    let Some(addr) = cx.view.read().addr(name) else {
        return FetchResult::Failed;
    };
    let req = PeerRequest::Chunk(ChunkRequest {
        manifest: assignment.manifest.clone(),
        chunk,
        wait_ms: wait.as_millis() as u64,
    });
    match cx
        .pool
        .request(&addr, &req, wait + CHUNK_SEND_TIMEOUT)
        .await
    {
        Ok(PeerReply::Chunk(reply)) if reply.chunk == chunk => FetchResult::Chunk(reply.body),
        Ok(PeerReply::Missing(_)) => FetchResult::Missing,
        _ => FetchResult::Failed,
    }
}
