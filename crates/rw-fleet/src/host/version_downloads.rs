//! Downloads the versions that the backend server of a host will need.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use super::chunk_store::version_name;
use super::download::{download_version, TargetVersion};
use super::target_version::next_target;
use super::weights_reconciler::POLL_INTERVAL;
use super::{ChunkStore, ObjectArchive, OriginClient};
use crate::{Cx, PlatformCodec};

/// Loaded version of a server that has not reported one yet.
pub(super) const UNKNOWN_VERSION: u64 = u64::MAX;

/// Versions that a host has reached, shared by its tasks.
pub(super) struct Progress {
    // Version that the server has loaded.
    pub(super) loaded: AtomicU64,
    // Newest downloaded version.
    pub(super) downloaded: AtomicU64,
}

// Downloads versions ahead of their loading, in the order in which they were
// requested.
pub(super) async fn download_versions<D: PlatformCodec, O: OriginClient, A: ObjectArchive>(
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    origin: O,
    archive: A,
    progress: Arc<Progress>,
) {
    let ticks = cx.timer.subscribe(POLL_INTERVAL);
    let changed = cx.cluster.subscribe();
    loop {
        // A newly requested version is downloaded at once.
        let is_closed = tokio::select! {
            tick = ticks.recv_async() => tick.is_err(),
            change = changed.recv_async() => change.is_err(),
        };
        if is_closed {
            return;
        }
        let loaded = progress.loaded.load(Ordering::Relaxed);
        let downloaded = progress.downloaded.load(Ordering::Relaxed);
        if loaded == UNKNOWN_VERSION {
            continue;
        }
        let Some(target) = next_target(&cx, loaded.max(downloaded)) else {
            continue;
        };
        if store.is_complete(&version_name(&target.model, target.version)) {
            progress.downloaded.store(target.version, Ordering::Relaxed);
            continue;
        }
        let download = download_version(&cx, &store, &origin, &archive, &target);
        tokio::select! {
            _ = download => {
                progress.downloaded.store(target.version, Ordering::Relaxed);
                let retained = [target.version, target.version.saturating_sub(1), loaded];
                store.retain_versions(&retained.map(|version| version_name(&target.model, version)));
            }
            () = wait_until_superseded(&cx, &progress, &target) => {}
        }
    }
}

async fn wait_until_superseded<D: PlatformCodec>(
    cx: &Cx<D>,
    progress: &Progress,
    target: &TargetVersion,
) {
    let ticks = cx.timer.subscribe(POLL_INTERVAL);
    while ticks.recv_async().await.is_ok() {
        let loaded = progress.loaded.load(Ordering::Relaxed);
        let downloaded = progress.downloaded.load(Ordering::Relaxed);
        let current = next_target(cx, loaded.max(downloaded));
        if current.is_none_or(|current| current.version != target.version) {
            return;
        }
    }
}
