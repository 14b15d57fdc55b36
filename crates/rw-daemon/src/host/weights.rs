use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rw_coord::TokenBucket;
use rw_protocol::{Blob, Chunk, ChunkRequest, Manifest, ManifestRequest, Missing, Name, PeerReply};
use rw_weights::{MemoryChunkStore, Result};
use tokio::sync::Notify;

use crate::Context;

/// Share of the uplink that is reserved for calls while any are in flight.
const CALL_TRAFFIC_SHARE: f64 = 0.25;
/// Burst that the rate limits allow, as time at the full rate.
const BURST_DURATION: Duration = Duration::from_millis(20);
/// Maximum time for which a peer can wait for a chunk.
const MAX_CHUNK_WAIT: Duration = Duration::from_secs(30);
const MANIFEST_WAIT: Duration = Duration::from_secs(2);

/// Model weights that this host holds in memory.
///
/// Chunks are served to peers as they arrive, within the rate limits of the
/// host's links.
pub struct WeightCache {
    store: Mutex<MemoryChunkStore>,
    changed: Notify,
    uplink: Mutex<TokenBucket>,
    downlink: Mutex<TokenBucket>,
    active_uploads: std::sync::atomic::AtomicU32,
}

impl WeightCache {
    /// Creates an empty cache with these rate limits in bytes per second; 0 means
    /// unlimited.
    pub fn new(uplink: u64, downlink: u64) -> Arc<Self> {
        let bucket = |rate: u64| {
            let burst = (rate as f64 * BURST_DURATION.as_secs_f64()) as u64;
            Mutex::new(TokenBucket::new(rate, burst))
        };
        Arc::new(WeightCache {
            store: Mutex::default(),
            changed: Notify::new(),
            uplink: bucket(uplink),
            downlink: bucket(downlink),
            active_uploads: Default::default(),
        })
    }

    /// Locks the chunk store.
    pub fn store(&self) -> MutexGuard<'_, MemoryChunkStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a manifest, without chunks, and wakes the requests that wait for it.
    pub fn add_manifest(&self, manifest: Manifest) -> Name {
        let id = self.store().add_manifest(manifest);
        self.changed.notify_waiters();
        id
    }

    /// Verifies and adds a chunk, and wakes the requests that wait for it.
    pub fn insert_chunk(&self, id: &str, chunk: u32, body: Blob) -> Result<()> {
        self.store().insert(id, chunk, body)?;
        self.changed.notify_waiters();
        Ok(())
    }

    /// Returns whether all chunks of a manifest have arrived.
    pub fn is_complete(&self, id: &str) -> bool {
        self.store()
            .get(id)
            .is_some_and(|model| model.is_complete())
    }

    /// Returns whether any chunk is being sent to a peer.
    pub fn is_uploading(&self) -> bool {
        self.active_uploads
            .load(std::sync::atomic::Ordering::Relaxed)
            > 0
    }

    /// Serves a chunk to a peer, waiting for the chunk to arrive if needed.
    pub async fn serve_chunk(
        &self,
        cx: &Context,
        req: &ChunkRequest,
        calls_in_flight: u32,
    ) -> PeerReply {
        let find = || {
            let store = self.store();
            store
                .get(&req.manifest)
                .and_then(|model| model.chunk(req.chunk))
        };
        let requested_at = Instant::now();
        let timeout = Duration::from_millis(req.wait_ms).min(MAX_CHUNK_WAIT);
        let Some(body) = self.wait_for(find, timeout).await else {
            return missing();
        };
        let _upload = UploadGuard::start(&self.active_uploads);
        let len = body.as_ref().len() as u64;
        tokio::time::sleep(self.reserve_upload(cx, len, calls_in_flight)).await;
        cx.recorder.metrics().count_weight_bytes("sent", len);
        PeerReply::Chunk(Chunk {
            chunk: req.chunk,
            body,
            held_ms: requested_at.elapsed().as_millis() as u64,
        })
    }

    // While calls are in flight, a chunk is charged more than its size, which leaves
    // `CALL_TRAFFIC_SHARE` of the uplink to the calls.
    fn reserve_upload(&self, cx: &Context, len: u64, calls_in_flight: u32) -> Duration {
        let cost = match calls_in_flight {
            0 => len,
            _ => (len as f64 / (1.0 - CALL_TRAFFIC_SHARE)) as u64,
        };
        let mut uplink = self.uplink.lock().unwrap_or_else(PoisonError::into_inner);
        uplink.take(cost, cx.now())
    }

    /// Waits until the download rate limit allows a received chunk. The chunk still
    /// counts as pending meanwhile, which delays the next request.
    pub async fn throttle_download(&self, cx: &Context, len: u64) {
        let wait = {
            let mut downlink = self.downlink.lock().unwrap_or_else(PoisonError::into_inner);
            downlink.take(len, cx.now())
        };
        tokio::time::sleep(wait).await;
    }

    /// Serves a manifest to a peer, waiting for it to arrive if needed.
    pub async fn serve_manifest(&self, req: &ManifestRequest) -> PeerReply {
        let find = || {
            self.store()
                .get(&req.manifest)
                .map(|model| model.manifest.clone())
        };
        match self.wait_for(find, MANIFEST_WAIT).await {
            Some(manifest) => PeerReply::Manifest(manifest),
            None => missing(),
        }
    }

    async fn wait_for<T>(&self, find: impl Fn() -> Option<T>, timeout: Duration) -> Option<T> {
        let found = async {
            loop {
                let changed = self.changed.notified();
                if let Some(found) = find() {
                    return found;
                }
                changed.await;
            }
        };
        tokio::time::timeout(timeout, found).await.ok()
    }
}

fn missing() -> PeerReply {
    PeerReply::Missing(Missing {
        retry_after_ms: 100,
    })
}

struct UploadGuard<'a>(&'a std::sync::atomic::AtomicU32);

impl<'a> UploadGuard<'a> {
    fn start(count: &'a std::sync::atomic::AtomicU32) -> Self {
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        UploadGuard(count)
    }
}

impl Drop for UploadGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
