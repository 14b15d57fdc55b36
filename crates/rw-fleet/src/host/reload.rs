//! Which layers a backend server is ordered to load next.
//!
//! A server ignores an order for weights that it has. Weights that may hold a corrupt
//! chunk are loaded again in parts: all layers but the first are dropped, then the others
//! are loaded in its place, and then the first one.

use std::ops::Range;

use rw_protocol::manifest_id;
use tokio::time::timeout;

use super::staged_chunk_reader::known_manifest;
use super::taken_weights::TakenWeights;
use super::target_version::target;
use super::weights_reconciler::{WeightsReconciler, BACKEND_TIMEOUT};
use super::{BackendClient, BackendReport, OriginClient};
use crate::PlatformCodec;

/// Next order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LoadStep {
    /// Drop layers of complete weights that may hold a corrupt chunk.
    Drop(Range<u32>),
    /// Load these layers from the staging area.
    Layers(Range<u32>),
    /// Load all layers that the server does not have.
    All,
}

impl LoadStep {
    /// Next order to a server that is to load a version of so many layers; `None` if
    /// there is nothing to order, or it depends on what is not known yet.
    pub(super) fn next(
        report: &BackendReport,
        weights: TakenWeights,
        version: u64,
        layers: u32,
    ) -> Option<LoadStep> {
        if report.layers_version != version {
            return Some(LoadStep::All);
        }
        let held = report.from..report.from + report.layers;
        match weights {
            // Complete weights.
            TakenWeights::Damaged if report.weights_version == version => {
                // One layer cannot be dropped.
                (layers > 1).then_some(LoadStep::Drop(0..1))
            }
            _ if report.weights_version == version => None,
            // Whatever layer 0 was taken from, this drops it.
            _ if held == (0..1) => Some(LoadStep::Layers(1..layers)),
            TakenWeights::Unverified(_) => None,
            TakenWeights::Intact if held.end == layers => Some(LoadStep::All),
            _ => Some(LoadStep::Layers(0..1)),
        }
    }

    /// Layers to hold afterwards; `None` for all.
    pub(super) fn layers(&self) -> Option<Range<u32>> {
        match self {
            LoadStep::Drop(layers) | LoadStep::Layers(layers) => Some(layers.clone()),
            LoadStep::All => None,
        }
    }
}

impl<D: PlatformCodec, B: BackendClient, O: OriginClient> WeightsReconciler<D, B, O> {
    /// Reads back what is staged of weights that have to be loaded again, once. A daemon that
    /// starts holds no chunks, and would download all of them although the server's machine
    /// still has them. The store takes only chunks with the right digest.
    pub(super) async fn restore_staged(&mut self, report: &BackendReport) {
        let version = report.layers_version;
        let is_due = self.watch.weights() == TakenWeights::Damaged && self.restored != version;
        let Some(target) = target(&self.cx, version).filter(|_| is_due) else {
            return;
        };
        let Some(manifest) = known_manifest(&self.store, &self.origin, &target).await else {
            return;
        };
        self.restored = version;
        let id = manifest_id(&manifest);
        for chunk in 0..manifest.chunks.len() as u32 {
            if self.store.chunk(&id, chunk).is_some() {
                continue;
            }
            let read = self.backend.read_staged(&target.model, chunk);
            match timeout(BACKEND_TIMEOUT, read).await {
                Ok(Ok(body)) => {
                    if let Err(err) = self.store.insert(&id, chunk, body.into()) {
                        log::debug!("staged chunk {chunk} is downloaded instead: {err}");
                    }
                }
                Ok(Err(err)) => log::debug!("reading staged chunk {chunk} failed: {err}"),
                Err(_) => {
                    log::debug!("reading staged chunk {chunk} timed out");
                    return;
                }
            }
        }
    }
}
