//! Requests of single chunks to the origin, the archive and other hosts.

use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{Blob, ChunkRequest, Name, PeerReply, PeerRequest};
use tokio::time::Instant;

use super::archive::ObjectArchive;
use super::chunk_store::NOT_HELD;
use super::download::TargetVersion;
use super::{ChunkStore, ClientError, OriginClient};
use crate::{Cx, PlatformCodec};

/// Time after which a chunk is requested from another source.
pub(super) const CHUNK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout of one request to the origin, whose link all hosts share.
pub(super) const ORIGIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Result of a request for a chunk.
pub(super) enum FetchResult {
    Chunk(Blob),
    /// The source does not have the chunk yet, or cannot send it now.
    Missing,
    /// The source holds nothing of the version.
    NotHeld,
    Failed,
}

pub(super) async fn fetch_from_origin<O: OriginClient>(
    origin: &O,
    target: &TargetVersion,
    chunk: u32,
) -> FetchResult {
    let read = origin.chunk(&target.origin, &target.model, target.version, chunk);
    match tokio::time::timeout(ORIGIN_TIMEOUT, read).await {
        Ok(Ok(body)) => FetchResult::Chunk(Blob::from(body)),
        Ok(Err(err)) => {
            log::debug!("fetching chunk {chunk} from the origin failed: {err}");
            FetchResult::Failed
        }
        Err(_) => {
            log::debug!("fetching chunk {chunk} from the origin timed out");
            FetchResult::Failed
        }
    }
}

pub(super) async fn fetch_from_archive<A: ObjectArchive>(archive: &A, name: &str) -> FetchResult {
    match tokio::time::timeout(ORIGIN_TIMEOUT, archive.read(name)).await {
        Ok(Ok(body)) => FetchResult::Chunk(Blob::from(body)),
        Ok(Err(ClientError::Missing)) => FetchResult::Missing,
        Ok(Err(err)) => {
            log::debug!("reading {name} from the archive failed: {err}");
            FetchResult::Failed
        }
        Err(_) => {
            log::debug!("reading {name} from the archive timed out");
            FetchResult::Failed
        }
    }
}

pub(super) async fn fetch_from_peer<D: PlatformCodec>(
    cx: &Cx<D>,
    store: &ChunkStore,
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
    let requested_at = Instant::now();
    match cx.pool.request(addr, &req, CHUNK_TIMEOUT * 3).await {
        Ok(PeerReply::Chunk(reply)) if reply.chunk == chunk => {
            let held = Duration::from_millis(reply.held_ms);
            let delay = requested_at.elapsed().saturating_sub(held);
            let bytes = reply.body.as_ref().len() as u64;
            if store.on_delivery(addr, delay, bytes) {
                let detail = format!("source={addr} delay_ms={} bytes={bytes}", delay.as_millis());
                cx.recorder.emit(Event::ChunksBounded, &detail);
            }
            FetchResult::Chunk(reply.body)
        }
        Ok(PeerReply::Missing(reply)) if reply.retry_after_ms == NOT_HELD => FetchResult::NotHeld,
        Ok(PeerReply::Missing(_)) => FetchResult::Missing,
        Ok(_) => FetchResult::Failed,
        Err(err) => {
            log::debug!("fetching chunk {chunk} from {addr} failed: {err}");
            FetchResult::Failed
        }
    }
}
