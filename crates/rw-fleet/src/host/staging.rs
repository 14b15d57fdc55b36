//! Writes chunks to the backend server's staging area and reads them back.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::{Event, Recorder};
use rw_protocol::{verify_chunk, Manifest, Name};
use tokio::task::JoinSet;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::weights_reconciler::BACKEND_TIMEOUT;
use super::{BackendClient, ChunkStore, ClientError};

/// Age of the oldest read at which a load order is sent: half the time for which a chunk
/// may have been corrupt when the server takes it. The rest is for the order.
pub(super) const MAX_READ_AGE: Duration = Duration::from_millis(1500);
/// Staged chunks that are read or written concurrently, each on a connection of its own.
pub const CONCURRENT_READS: usize = 4;
/// Timeout of one read. A server that answers one after the other makes concurrent reads
/// wait for each other.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Passes over the chunks that are missing, corrupt or were read too long ago: one to
/// stage them, one to verify them, and one to verify those that were repaired.
const MAX_PASSES: u32 = 3;
/// Writes of one pass whose response may be lost; the next pass shows what they did.
const MAX_FAILED_WRITES: u32 = 1;

/// What a host knows about a staged chunk. Times are uptimes of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StagedChunk {
    /// When the last read that found the chunk intact began.
    pub(super) intact_at: Option<Duration>,
    /// When the chunk was last written, of whatever version; `MAX` after a write without a
    /// response, which may still be performed.
    pub(super) written_at: Option<Duration>,
}

/// How the staged chunks of a version were verified.
#[derive(Clone, Copy, Debug)]
pub(super) struct Verification {
    /// Uptime at which the oldest read began.
    pub(super) oldest_read_at: Duration,
    /// Time that it took.
    pub(super) elapsed: Duration,
    /// Chunks that were staged again.
    pub(super) repaired: u32,
}

impl Verification {
    /// Whether every chunk was read recently enough to send a load order.
    pub(super) fn is_recent(&self) -> bool {
        uptime() <= self.oldest_read_at + MAX_READ_AGE
    }
}

// Chunk, whether an earlier write of it may still be performed, and the result.
type ChunkWrite = (u32, bool, Result<super::Result<()>, Elapsed>);

/// Area from which the backend server beside a host loads weights.
pub(super) struct StagingArea<B> {
    store: Arc<ChunkStore>,
    backend: B,
    // Id of the manifest of the version that is staged, or was staged last.
    id: Name,
    chunks: Vec<StagedChunk>,
    // Uptime since which it is staged.
    selected_at: Duration,
}

impl<B: BackendClient> StagingArea<B> {
    pub(super) fn new(store: Arc<ChunkStore>, backend: B) -> Self {
        StagingArea {
            store,
            backend,
            id: Name::from(""),
            chunks: Vec::new(),
            selected_at: Duration::ZERO,
        }
    }

    /// Id of the manifest of the staged version; empty if none is known.
    pub(super) fn manifest_id(&self) -> &Name {
        &self.id
    }

    pub(super) fn chunks(&self) -> &[StagedChunk] {
        &self.chunks
    }

    /// Turns to the chunks of a version, of which nothing is known yet unless it is
    /// the current one.
    pub(super) fn select(&mut self, manifest: &Manifest) {
        let id = rw_protocol::manifest_id(manifest);
        if self.id != id {
            self.id = id;
            self.selected_at = uptime();
            self.forget_reads();
            let chunks = manifest.chunks.len();
            self.chunks.resize(chunks, StagedChunk::default());
        }
    }

    /// Forgets all reads, as the server may have lost what it held.
    pub(super) fn forget_reads(&mut self) {
        for chunk in &mut self.chunks {
            chunk.intact_at = None;
        }
    }

    /// Stages the available chunks of a version that is still being downloaded.
    pub(super) async fn stage_available(&mut self, model: &Name, manifest: &Manifest) {
        self.select(manifest);
        let is_new = |chunk: &u32| {
            self.chunks[*chunk as usize].intact_at.is_none()
                && !self.is_written(*chunk)
                && self.store.chunk(&self.id, *chunk).is_some()
        };
        let new: Vec<u32> = (0..manifest.chunks.len() as u32).filter(is_new).collect();
        let Some(missing) = self.read(model, manifest, &new).await else {
            return;
        };
        // What failed is written again with the next chunks, or before the order.
        self.write(model, &missing).await;
    }

    /// Stages all chunks of a version and verifies them; `None` if one of them is not
    /// intact or not readable. After some passes the oldest read may be older than
    /// [`MAX_READ_AGE`], when the server sends its chunks slowly.
    pub(super) async fn verify(
        &mut self,
        model: &Name,
        manifest: &Manifest,
        recorder: &Recorder,
    ) -> Option<Verification> {
        let started_at = uptime();
        self.select(manifest);
        let mut repaired = 0;
        for _ in 0..MAX_PASSES {
            let pass_began_at = uptime();
            let since = pass_began_at.saturating_sub(MAX_READ_AGE);
            let mut outdated = self.chunks_not_read_since(since);
            if outdated.is_empty() {
                break;
            }
            self.move_pending_last(&mut outdated);
            let damaged = self.read(model, manifest, &outdated).await?;
            // Another pass would take as long.
            if damaged.is_empty() && uptime() - pass_began_at > MAX_READ_AGE {
                break;
            }
            for chunk in damaged.iter().filter(|chunk| self.is_written(**chunk)) {
                let detail = format!("manifest={} chunk={chunk}", self.id);
                recorder.emit(Event::StageRepaired, &detail);
                repaired += 1;
            }
            if self.write(model, &damaged).await > MAX_FAILED_WRITES {
                return None;
            }
        }
        let reads = self.chunks.iter().map(|chunk| chunk.intact_at);
        let oldest = reads.min().unwrap_or(Some(started_at));
        oldest.map(|oldest_read_at| Verification {
            oldest_read_at,
            elapsed: uptime() - started_at,
            repaired,
        })
    }

    // Whether the chunk has been written since its version was selected.
    fn is_written(&self, chunk: u32) -> bool {
        let written_at = self.chunks[chunk as usize].written_at;
        written_at.is_some_and(|at| at >= self.selected_at)
    }

    fn chunks_not_read_since(&self, since: Duration) -> Vec<u32> {
        let chunks = self.chunks.iter().zip(0..);
        let outdated = chunks.filter(|(chunk, _)| chunk.intact_at.is_none_or(|at| at < since));
        outdated.map(|(_, index)| index).collect()
    }

    // Reads after a load prove nothing of a chunk that a write without a response may still
    // change, so its last read has to be shortly before the order.
    fn move_pending_last(&self, chunks: &mut Vec<u32>) {
        let is_pending =
            |chunk: &u32| self.chunks[*chunk as usize].written_at == Some(Duration::MAX);
        chunks.retain(|chunk| !is_pending(chunk));
        let all = 0..self.chunks.len() as u32;
        chunks.extend(all.filter(is_pending));
    }

    /// Reads chunks of the selected version and returns those that are missing or
    /// corrupt; `None` if one cannot be read.
    pub(super) async fn read(
        &mut self,
        model: &Name,
        manifest: &Manifest,
        chunks: &[u32],
    ) -> Option<Vec<u32>> {
        let mut pending = chunks.iter().copied();
        let mut reads = JoinSet::new();
        let (mut damaged, mut all_read) = (Vec::new(), true);
        loop {
            // After a failed read, the others would only wait for the server as long.
            let more = match all_read {
                true => CONCURRENT_READS - reads.len(),
                false => 0,
            };
            for chunk in pending.by_ref().take(more) {
                let (backend, model) = (self.backend.clone(), model.clone());
                reads.spawn(async move {
                    let began_at = uptime();
                    let read = timeout(READ_TIMEOUT, backend.read_staged(&model, chunk)).await;
                    (chunk, began_at, read)
                });
            }
            let (chunk, began_at, read) = match reads.join_next().await {
                Some(Ok(read)) => read,
                Some(Err(err)) => {
                    log::warn!("reading a staged chunk failed: {err}");
                    all_read = false;
                    continue;
                }
                None => break,
            };
            let intact_at = &mut self.chunks[chunk as usize].intact_at;
            match read {
                Ok(Ok(body)) if verify_chunk(manifest, chunk, &body) => *intact_at = Some(began_at),
                Ok(Ok(_)) | Ok(Err(ClientError::Missing)) => {
                    *intact_at = None;
                    damaged.push(chunk);
                }
                Ok(Err(err)) => {
                    log::debug!("reading staged chunk {chunk} failed: {err}");
                    all_read = false;
                }
                Err(_) => {
                    log::debug!("reading staged chunk {chunk} timed out");
                    all_read = false;
                }
            }
        }
        all_read.then_some(damaged)
    }

    // Writes chunks on as many connections as are read on, each of which carries one chunk at
    // a time. Returns the number of failed writes; after more than [`MAX_FAILED_WRITES`], the
    // others are not begun.
    async fn write(&mut self, model: &Name, chunks: &[u32]) -> u32 {
        let mut lanes = vec![VecDeque::new(); CONCURRENT_READS];
        for chunk in chunks {
            lanes[*chunk as usize % CONCURRENT_READS].push_back(*chunk);
        }
        let (mut writes, mut failed) = (JoinSet::new(), 0);
        for lane in &mut lanes {
            failed += self.begin_write(&mut writes, model, lane);
        }
        while let Some(write) = writes.join_next().await {
            let (chunk, was_pending, result) = match write {
                Ok(write) => write,
                Err(err) => {
                    log::warn!("staging a chunk failed: {err}");
                    failed += 1;
                    continue;
                }
            };
            match result {
                Ok(Ok(())) if was_pending => {}
                Ok(Ok(())) => self.chunks[chunk as usize].written_at = Some(uptime()),
                Ok(Err(err)) => {
                    log::debug!("staging chunk {chunk} failed: {err}");
                    failed += 1;
                }
                Err(_) => {
                    log::debug!("staging chunk {chunk} timed out");
                    failed += 1;
                }
            }
            if failed <= MAX_FAILED_WRITES {
                let lane = &mut lanes[chunk as usize % CONCURRENT_READS];
                failed += self.begin_write(&mut writes, model, lane);
            }
        }
        failed
    }

    // Begins to write the next chunk; returns the number of chunks that are no longer stored.
    fn begin_write(
        &mut self,
        writes: &mut JoinSet<ChunkWrite>,
        model: &Name,
        lane: &mut VecDeque<u32>,
    ) -> u32 {
        let mut missing = 0;
        while let Some(chunk) = lane.pop_front() {
            let Some(body) = self.store.chunk(&self.id, chunk) else {
                missing += 1;
                continue;
            };
            let staged = &mut self.chunks[chunk as usize];
            staged.intact_at = None;
            let was_pending = staged.written_at == Some(Duration::MAX);
            staged.written_at = Some(Duration::MAX);
            let (backend, model) = (self.backend.clone(), model.clone());
            writes.spawn(async move {
                let write = backend.stage(&model, chunk, body.0);
                (chunk, was_pending, timeout(BACKEND_TIMEOUT, write).await)
            });
            break;
        }
        missing
    }
}
