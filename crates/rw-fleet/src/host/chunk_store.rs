use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{Signal, TokenBucket};
use rw_protocol::{Blob, Chunk, ChunkRequest, Manifest, ManifestRequest, Missing, Name, PeerReply};
use rw_weights::{ChunkStore as VerifiedChunks, Result};
use tokio::time::Instant;

/// Share of the host's link that weights may take each way while the backend
/// server answers requests, whose events would wait behind chunks. Packet
/// headers take a twentieth more.
const LIVE_SHARE: f64 = 0.8;
/// The same while it answers none.
const IDLE_SHARE: f64 = 0.95;
/// Time to send before the link's limit is felt; about one chunk.
const BURST: Duration = Duration::from_millis(30);
/// Longest wait for a chunk that another host may ask for.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Pause before a host that lacks a chunk is asked again.
const MISSING_RETRY_MS: u64 = 100;
/// Says that a host holds nothing of a version and does not wait for it either.
pub(crate) const NOT_HELD: u64 = 0;

/// Asks the host's own task to read a chunk back from its backend server.
#[derive(Debug)]
pub struct StageRead {
    /// Manifest of the chunk.
    pub manifest: Name,
    /// Its number.
    pub chunk: u32,
    /// Told whether the chunk could be read.
    pub done: flume::Sender<bool>,
}

/// Verified weights that a host holds for others.
pub struct ChunkStore {
    verified: Mutex<VerifiedChunks>,
    named: Mutex<Vec<(Name, Name)>>,
    collecting: Mutex<Option<Name>>,
    arrived: Signal,
    uplink: Mutex<TokenBucket>,
    downlink: Mutex<TokenBucket>,
    live: AtomicBool,
    reads: flume::Sender<StageRead>,
    started: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Name under which hosts ask each other for a version's manifest.
pub fn version_name(model: &str, version: u64) -> Name {
    Name::from(format!("{model}@{version}"))
}

impl ChunkStore {
    /// An empty shelf on a link of so many bytes a second; 0 is unlimited.
    pub fn new(link_bytes_per_s: u64, reads: flume::Sender<StageRead>) -> Arc<Self> {
        let rate = link_bytes_per_s as f64 * IDLE_SHARE;
        let burst = rate * BURST.as_secs_f64();
        let bucket = || Mutex::new(TokenBucket::new(rate as u64, burst as u64));
        Arc::new(ChunkStore {
            verified: Mutex::default(),
            named: Mutex::default(),
            collecting: Mutex::default(),
            arrived: Signal::default(),
            uplink: bucket(),
            downlink: bucket(),
            live: AtomicBool::new(false),
            reads,
            started: Instant::now(),
        })
    }

    /// Makes room for a version's chunks and returns the manifest's id.
    pub fn open(&self, name: &Name, manifest: Manifest) -> Name {
        let id = lock(&self.verified).open(manifest);
        let mut named = lock(&self.named);
        named.retain(|(of, _)| of != name);
        named.push((name.clone(), id.clone()));
        drop(named);
        self.arrived.notify();
        id
    }

    /// Drops every version but the named ones.
    pub fn keep(&self, names: &[Name]) {
        let mut named = lock(&self.named);
        named.retain(|(name, _)| names.contains(name));
        let ids: Vec<Name> = named.iter().map(|(_, id)| id.clone()).collect();
        drop(named);
        lock(&self.verified).retain(|id| ids.contains(id));
    }

    /// Takes a chunk in, if it matches its digest.
    pub fn insert(&self, id: &str, chunk: u32, body: Blob) -> Result<()> {
        lock(&self.verified).insert(id, chunk, body)?;
        self.arrived.notify();
        Ok(())
    }

    /// A chunk, if it is here.
    pub fn chunk(&self, id: &str, chunk: u32) -> Option<Blob> {
        lock(&self.verified).get(id)?.chunk(chunk)
    }

    /// Whether every chunk of a named version is here.
    pub fn is_complete(&self, name: &str) -> bool {
        let named = lock(&self.named);
        let Some((_, id)) = named.iter().find(|(of, _)| **of == *name) else {
            return false;
        };
        lock(&self.verified)
            .get(id)
            .is_some_and(|held| held.is_complete())
    }

    /// A manifest by the name of its version.
    pub fn manifest(&self, name: &str) -> Option<Manifest> {
        let named = lock(&self.named);
        let (_, id) = named.iter().find(|(of, _)| **of == *name)?;
        lock(&self.verified)
            .get(id)
            .map(|held| held.manifest.clone())
    }

    /// Says whether the backend server answers requests.
    pub fn set_live(&self, live: bool) {
        self.live.store(live, Ordering::Relaxed);
    }

    /// Whether the backend server answers requests.
    pub fn is_live(&self) -> bool {
        self.live.load(Ordering::Relaxed)
    }

    // Bytes that a chunk counts for; live requests make it cost more.
    fn cost(&self, bytes: u64) -> u64 {
        match self.live.load(Ordering::Relaxed) {
            true => (bytes as f64 * IDLE_SHARE / LIVE_SHARE) as u64,
            false => bytes,
        }
    }

    /// Waits until the downlink allows so many received bytes.
    pub async fn pace_download(&self, bytes: u64) {
        let wait = lock(&self.downlink).take(self.cost(bytes), self.started.elapsed());
        tokio::time::sleep(wait).await;
    }

    /// Answers a host that asks for a chunk, once it is here.
    pub async fn serve_chunk(&self, req: &ChunkRequest) -> PeerReply {
        let arrived = self.arrived.subscribe();
        let until = Instant::now() + Duration::from_millis(req.wait_ms).min(MAX_WAIT);
        if !self.is_expected(&req.manifest) {
            match self.read_back(req, until).await {
                ReadBack::Held => {}
                ReadBack::NotHeld => return missing(NOT_HELD),
                ReadBack::Busy => return missing(MISSING_RETRY_MS),
            }
        }
        let body = loop {
            if let Some(body) = self.chunk(&req.manifest, req.chunk) {
                break body;
            }
            if tokio::time::timeout_at(until, arrived.recv_async())
                .await
                .is_err()
            {
                return missing(MISSING_RETRY_MS);
            }
        };
        let cost = self.cost(body.as_ref().len() as u64);
        let wait = lock(&self.uplink).take(cost, self.started.elapsed());
        tokio::time::sleep(wait).await;
        PeerReply::Chunk(Chunk {
            chunk: req.chunk,
            body,
        })
    }

    // Whether chunks of a manifest are being collected, or all here.
    fn is_expected(&self, manifest: &str) -> bool {
        lock(&self.collecting).as_deref() == Some(manifest)
            || lock(&self.verified)
                .get(manifest)
                .is_some_and(|held| held.is_complete())
    }

    // Reads a chunk back from where the backend server loads it.
    async fn read_back(&self, req: &ChunkRequest, until: Instant) -> ReadBack {
        if self.chunk(&req.manifest, req.chunk).is_some() {
            return ReadBack::Held;
        }
        let (done, read) = flume::bounded(1);
        let asked = self.reads.try_send(StageRead {
            manifest: req.manifest.clone(),
            chunk: req.chunk,
            done,
        });
        if let Err(err) = asked {
            log::debug!("stage read dropped: {err}");
            return ReadBack::Busy;
        }
        match tokio::time::timeout_at(until, read.recv_async()).await {
            Ok(Ok(true)) => ReadBack::Held,
            Ok(_) => ReadBack::NotHeld,
            Err(_) => ReadBack::Busy,
        }
    }

    /// Says that a manifest's chunks are being collected, until the value that
    /// it returns is dropped.
    pub fn collecting(self: &Arc<Self>, manifest: Name) -> Collecting {
        *lock(&self.collecting) = Some(manifest);
        Collecting(self.clone())
    }

    /// Answers a host that asks for the manifest of a named version.
    pub fn serve_manifest(&self, req: &ManifestRequest) -> PeerReply {
        match self.manifest(&req.manifest) {
            Some(manifest) => PeerReply::Manifest(manifest),
            None => missing(MISSING_RETRY_MS),
        }
    }
}

/// Chunks of a manifest are being collected while this exists.
pub struct Collecting(Arc<ChunkStore>);

impl Drop for Collecting {
    fn drop(&mut self) {
        *lock(&self.0.collecting) = None;
    }
}

enum ReadBack {
    Held,
    NotHeld,
    // Too many reads at once; the answer is not known.
    Busy,
}

fn missing(retry_after_ms: u64) -> PeerReply {
    PeerReply::Missing(Missing { retry_after_ms })
}
