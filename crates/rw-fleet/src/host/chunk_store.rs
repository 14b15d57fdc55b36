use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{ChangeNotifier, TokenBucket};
use rw_protocol::{Blob, Chunk, ChunkRequest, Manifest, ManifestRequest, Missing, Name, PeerReply};
use rw_weights::{long_delay, Delivery, LinkWindow, MemoryChunkStore, Result};
use tokio::time::Instant;

use super::download::MAX_CONCURRENT_FETCHES;

/// Share of the host's link that chunks may use in each direction while the
/// backend server serves requests, whose events would queue behind chunks.
/// Packet headers take another twentieth.
const SERVING_SHARE: f64 = 0.8;
/// The same while the backend server serves no requests.
const IDLE_SHARE: f64 = 0.95;
/// Burst that may be sent at full speed before the limit applies; about one
/// chunk.
const BURST_TIME: Duration = Duration::from_millis(30);
/// Maximum time for which a request waits until a chunk is available.
const MAX_CHUNK_WAIT: Duration = Duration::from_secs(3);
/// The same for a manifest, well within the time for which the other host waits. Hosts
/// learn of a version together, so the first ones fetch its manifest just then.
const MAX_MANIFEST_WAIT: Duration = Duration::from_millis(150);
/// Delay after which a host may request a missing chunk again.
const RETRY_AFTER_MS: u64 = 100;
/// Retry delay in the reply of a host that neither holds nor downloads a version.
pub(crate) const NOT_HELD: u64 = 0;

/// Request to read a chunk back from the backend server's staging area.
#[derive(Debug)]
pub struct StagedChunkRequest {
    /// Manifest of the chunk.
    pub manifest: Name,
    /// Index of the chunk.
    pub chunk: u32,
    /// Receives whether the chunk could be read.
    pub reply: flume::Sender<bool>,
}

/// Verified chunks that a host serves to other hosts.
pub struct ChunkStore {
    verified: Mutex<MemoryChunkStore>,
    // Name and manifest id of each version.
    versions: Mutex<Vec<(Name, Name)>>,
    // Id of the manifest whose chunks are being downloaded.
    downloading: Mutex<Option<Name>>,
    // Signals each added version and chunk.
    arrived: ChangeNotifier,
    uplink: Mutex<TokenBucket>,
    downlink: Mutex<TokenBucket>,
    link_bytes_per_s: u64,
    // Chunks that may be in flight to this host while its server serves requests.
    window: Mutex<LinkWindow>,
    serving: AtomicBool,
    read_requests: flume::Sender<StagedChunkRequest>,
    started: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Name by which hosts request the manifest of a version.
pub fn version_name(model: &str, version: u64) -> Name {
    Name::from(format!("{model}@{version}"))
}

impl ChunkStore {
    /// Creates an empty store on a link with the given bandwidth; 0 is
    /// unlimited.
    pub fn new(
        link_bytes_per_s: u64,
        read_requests: flume::Sender<StagedChunkRequest>,
    ) -> Arc<Self> {
        let rate = link_bytes_per_s as f64 * IDLE_SHARE;
        let burst = rate * BURST_TIME.as_secs_f64();
        let bucket = || Mutex::new(TokenBucket::new(rate as u64, burst as u64));
        Arc::new(ChunkStore {
            verified: Mutex::default(),
            versions: Mutex::default(),
            downloading: Mutex::default(),
            arrived: ChangeNotifier::default(),
            uplink: bucket(),
            downlink: bucket(),
            link_bytes_per_s,
            window: Mutex::new(LinkWindow::new(MAX_CONCURRENT_FETCHES)),
            serving: AtomicBool::new(false),
            read_requests,
            started: Instant::now(),
        })
    }

    /// Adds a version with no chunks yet and returns the id of its manifest.
    pub fn add_version(&self, name: &Name, manifest: Manifest) -> Name {
        let id = lock(&self.verified).add_manifest(manifest);
        let mut versions = lock(&self.versions);
        versions.retain(|(stored_name, _)| stored_name != name);
        versions.push((name.clone(), id.clone()));
        drop(versions);
        self.arrived.notify();
        id
    }

    /// Removes all versions except the given ones.
    pub fn retain_versions(&self, names: &[Name]) {
        let mut versions = lock(&self.versions);
        versions.retain(|(name, _)| names.contains(name));
        let ids: Vec<Name> = versions.iter().map(|(_, id)| id.clone()).collect();
        drop(versions);
        lock(&self.verified).retain(|id| ids.contains(id));
    }

    /// Adds a chunk if it matches its digest.
    pub fn insert(&self, id: &str, chunk: u32, body: Blob) -> Result<()> {
        lock(&self.verified).insert(id, chunk, body)?;
        self.arrived.notify();
        Ok(())
    }

    /// Returns a chunk if it is stored.
    pub fn chunk(&self, id: &str, chunk: u32) -> Option<Blob> {
        lock(&self.verified).get(id)?.chunk(chunk)
    }

    /// Whether every chunk of a version is stored.
    pub fn is_complete(&self, name: &str) -> bool {
        let versions = lock(&self.versions);
        let Some((_, id)) = versions
            .iter()
            .find(|(stored_name, _)| **stored_name == *name)
        else {
            return false;
        };
        lock(&self.verified)
            .get(id)
            .is_some_and(|stored| stored.is_complete())
    }

    /// Returns the manifest of a version by the version's name.
    pub fn manifest(&self, name: &str) -> Option<Manifest> {
        let versions = lock(&self.versions);
        let (_, id) = versions
            .iter()
            .find(|(stored_name, _)| **stored_name == *name)?;
        lock(&self.verified)
            .get(id)
            .map(|stored| stored.manifest.clone())
    }

    /// Sets whether the backend server serves requests.
    pub fn set_serving(&self, serving: bool) {
        self.serving.store(serving, Ordering::Relaxed);
    }

    /// Whether the backend server serves requests.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    /// Number of chunks that may be in flight to this host; not bounded here while its
    /// server serves no requests that chunks could delay.
    pub fn download_window(&self) -> usize {
        match self.is_serving() {
            true => lock(&self.window).chunks(),
            false => usize::MAX,
        }
    }

    /// Records how long a chunk took from another host to this one. Returns whether fewer
    /// chunks may be in flight from now on.
    pub fn on_delivery(&self, source: &Name, delay: Duration, bytes: u64) -> bool {
        let delivery = Delivery {
            source: source.clone(),
            delay,
            at: self.started.elapsed(),
        };
        let limit = long_delay(bytes, self.link_bytes_per_s);
        lock(&self.window).on_delivery(delivery, limit)
    }

    // Bytes to take from a link's token bucket for a chunk. The bucket's rate is
    // the idle share, so a chunk costs more while the backend server serves
    // requests.
    fn cost(&self, bytes: u64) -> u64 {
        match self.serving.load(Ordering::Relaxed) {
            true => (bytes as f64 * IDLE_SHARE / SERVING_SHARE) as u64,
            false => bytes,
        }
    }

    /// Waits until the downlink's limit allows the received bytes.
    pub async fn pace_download(&self, bytes: u64) {
        let wait = lock(&self.downlink).take(self.cost(bytes), self.started.elapsed());
        tokio::time::sleep(wait).await;
    }

    /// Waits until the uplink's limit allows the bytes.
    pub async fn pace_upload(&self, bytes: u64) {
        let wait = lock(&self.uplink).take(self.cost(bytes), self.started.elapsed());
        tokio::time::sleep(wait).await;
    }

    /// Replies to another host's request for a chunk, after waiting for the chunk
    /// as long as the request allows.
    pub async fn serve_chunk(&self, req: &ChunkRequest) -> PeerReply {
        let arrived = self.arrived.subscribe();
        let requested_at = Instant::now();
        let deadline = requested_at + Duration::from_millis(req.wait_ms).min(MAX_CHUNK_WAIT);
        if !self.is_available_soon(&req.manifest) {
            match self.read_back(req, deadline).await {
                ReadBack::Held => {}
                ReadBack::NotHeld => return missing(NOT_HELD),
                ReadBack::Busy => return missing(RETRY_AFTER_MS),
            }
        }
        let body = loop {
            if let Some(body) = self.chunk(&req.manifest, req.chunk) {
                break body;
            }
            if tokio::time::timeout_at(deadline, arrived.recv_async())
                .await
                .is_err()
            {
                return missing(RETRY_AFTER_MS);
            }
        };
        self.pace_upload(body.as_ref().len() as u64).await;
        PeerReply::Chunk(Chunk {
            chunk: req.chunk,
            body,
            held_ms: requested_at.elapsed().as_millis() as u64,
        })
    }

    // Whether the chunks of a manifest are being downloaded or are all stored.
    fn is_available_soon(&self, manifest: &str) -> bool {
        lock(&self.downloading).as_deref() == Some(manifest)
            || lock(&self.verified)
                .get(manifest)
                .is_some_and(|stored| stored.is_complete())
    }

    // Reads a chunk back from the backend server's staging area.
    async fn read_back(&self, req: &ChunkRequest, deadline: Instant) -> ReadBack {
        if self.chunk(&req.manifest, req.chunk).is_some() {
            return ReadBack::Held;
        }
        let (reply, read) = flume::bounded(1);
        let queued = self.read_requests.try_send(StagedChunkRequest {
            manifest: req.manifest.clone(),
            chunk: req.chunk,
            reply,
        });
        if let Err(err) = queued {
            log::debug!("a staged chunk cannot be read back now: {err}");
            return ReadBack::Busy;
        }
        match tokio::time::timeout_at(deadline, read.recv_async()).await {
            Ok(Ok(true)) => ReadBack::Held,
            Ok(_) => ReadBack::NotHeld,
            Err(_) => ReadBack::Busy,
        }
    }

    /// Marks a manifest as being downloaded until the returned guard is
    /// dropped.
    pub fn begin_download(self: &Arc<Self>, manifest: Name) -> DownloadGuard {
        *lock(&self.downloading) = Some(manifest);
        DownloadGuard(self.clone())
    }

    /// Replies to another host's request for the manifest of a version, after waiting for
    /// it for a short time.
    pub async fn serve_manifest(&self, req: &ManifestRequest) -> PeerReply {
        let arrived = self.arrived.subscribe();
        let deadline = Instant::now() + MAX_MANIFEST_WAIT;
        loop {
            if let Some(manifest) = self.manifest(&req.manifest) {
                return PeerReply::Manifest(manifest);
            }
            let is_over = tokio::time::timeout_at(deadline, arrived.recv_async());
            if is_over.await.is_err() {
                return missing(RETRY_AFTER_MS);
            }
        }
    }
}

/// Marks a manifest as being downloaded until it is dropped.
pub struct DownloadGuard(Arc<ChunkStore>);

impl Drop for DownloadGuard {
    fn drop(&mut self) {
        *lock(&self.0.downloading) = None;
    }
}

enum ReadBack {
    Held,
    NotHeld,
    // Too many queued reads or no result in time; the chunk may be held.
    Busy,
}

fn missing(retry_after_ms: u64) -> PeerReply {
    PeerReply::Missing(Missing { retry_after_ms })
}
