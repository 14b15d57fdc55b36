use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::TokenBucket;
use rw_protocol::{Blob, Chunk, ChunkRequest, Manifest, ManifestRequest, Missing, Name, PeerReply};
use rw_weights::{MemoryChunkStore, Result};
use tokio::sync::Notify;

use crate::Context;

/// Share of the uplink that is left to live requests while there are any.
const LIVE_SHARE: f64 = 0.25;
/// Time to send before the uplink's limit is felt.
const BURST: Duration = Duration::from_millis(20);
/// Longest wait that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(30);
const MANIFEST_WAIT: Duration = Duration::from_secs(2);

/// Weights that this host holds, and their way out to others.
pub struct Weights {
    store: Mutex<MemoryChunkStore>,
    arrived: Notify,
    uplink: Mutex<TokenBucket>,
    downlink: Mutex<TokenBucket>,
    sending: std::sync::atomic::AtomicU32,
}

impl Weights {
    /// An empty store that sends and takes at most so many bytes a second; 0
    /// is unlimited.
    pub fn new(uplink: u64, downlink: u64) -> Arc<Self> {
        let bucket = |rate: u64| {
            let burst = (rate as f64 * BURST.as_secs_f64()) as u64;
            Mutex::new(TokenBucket::new(rate, burst))
        };
        Arc::new(Weights {
            store: Mutex::default(),
            arrived: Notify::new(),
            uplink: bucket(uplink),
            downlink: bucket(downlink),
            sending: Default::default(),
        })
    }

    /// The chunks.
    pub fn store(&self) -> MutexGuard<'_, MemoryChunkStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for a manifest and tells peers that wait for it.
    pub fn open(&self, manifest: Manifest) -> Name {
        let id = self.store().add_manifest(manifest);
        self.arrived.notify_waiters();
        id
    }

    /// Takes a chunk in and passes it on to peers that wait for it.
    pub fn insert(&self, id: &str, chunk: u32, body: Blob) -> Result<()> {
        self.store().insert(id, chunk, body)?;
        self.arrived.notify_waiters();
        Ok(())
    }

    /// Whether a model is whole.
    pub fn is_complete(&self, id: &str) -> bool {
        self.store().get(id).is_some_and(|held| held.is_complete())
    }

    /// Whether chunks are on their way out.
    pub fn is_sending(&self) -> bool {
        self.sending.load(std::sync::atomic::Ordering::Relaxed) > 0
    }

    /// Answers a peer that asks for a chunk, once the chunk is here.
    pub async fn serve_chunk(&self, cx: &Context, req: &ChunkRequest, live: u32) -> PeerReply {
        let find = || {
            let store = self.store();
            store
                .get(&req.manifest)
                .and_then(|held| held.chunk(req.chunk))
        };
        let limit = Duration::from_millis(req.wait_ms).min(MAX_WAIT);
        let Some(body) = self.wait_for(find, limit).await else {
            return missing();
        };
        let _sending = Sending::start(&self.sending);
        let len = body.as_ref().len() as u64;
        tokio::time::sleep(self.reserve(cx, len, live)).await;
        cx.recorder.metrics().count_weight_bytes("sent", len);
        PeerReply::Chunk(Chunk {
            chunk: req.chunk,
            body,
        })
    }

    // Live requests on the same link make a chunk cost more than its bytes.
    fn reserve(&self, cx: &Context, len: u64, live: u32) -> Duration {
        let cost = match live {
            0 => len,
            _ => (len as f64 / (1.0 - LIVE_SHARE)) as u64,
        };
        let mut uplink = self.uplink.lock().unwrap_or_else(PoisonError::into_inner);
        uplink.take(cost, cx.now())
    }

    /// Waits until the download limit allows a received chunk. Its place in
    /// the window stays taken meanwhile, which slows the next request down.
    pub async fn pace_download(&self, cx: &Context, len: u64) {
        let wait = {
            let mut downlink = self.downlink.lock().unwrap_or_else(PoisonError::into_inner);
            downlink.take(len, cx.now())
        };
        tokio::time::sleep(wait).await;
    }

    /// Answers a peer that asks for a manifest.
    pub async fn serve_manifest(&self, req: &ManifestRequest) -> PeerReply {
        let find = || {
            self.store()
                .get(&req.manifest)
                .map(|held| held.manifest.clone())
        };
        match self.wait_for(find, MANIFEST_WAIT).await {
            Some(manifest) => PeerReply::Manifest(manifest),
            None => missing(),
        }
    }

    async fn wait_for<T>(&self, find: impl Fn() -> Option<T>, limit: Duration) -> Option<T> {
        let found = async {
            loop {
                let arrived = self.arrived.notified();
                if let Some(found) = find() {
                    return found;
                }
                arrived.await;
            }
        };
        tokio::time::timeout(limit, found).await.ok()
    }
}

fn missing() -> PeerReply {
    PeerReply::Missing(Missing {
        retry_after_ms: 100,
    })
}

struct Sending<'a>(&'a std::sync::atomic::AtomicU32);

impl<'a> Sending<'a> {
    fn start(count: &'a std::sync::atomic::AtomicU32) -> Self {
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Sending(count)
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
