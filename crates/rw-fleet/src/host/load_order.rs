//! Orders the backend server beside a host to load weights, and verifies what it took.

use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::{manifest_id, Manifest};
use tokio::time::timeout;

use super::chunk_store::version_name;
use super::download::TargetVersion;
use super::load_proof::AcceptedLoad;
use super::reload::LoadStep;
use super::staged_chunk_reader::known_manifest;
use super::staging::Verification;
use super::taken_weights::{Load, TakenWeights};
use super::target_version::{next_target, target};
use super::weights_reconciler::{WeightsReconciler, BACKEND_TIMEOUT};
use super::{BackendClient, BackendReport, LoadOrder, LoadOutcome, OriginClient};
use crate::PlatformCodec;

/// Orders that are put off because the oldest read of a chunk is too long ago. The next
/// one is sent all the same, as the server sends its chunks slowly; what it took is
/// verified afterwards.
const MAX_LATE_ORDERS: u32 = 1;
/// Time after which a server that refused to load its weights again is asked once more.
pub(super) const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

impl<D: PlatformCodec, B: BackendClient, O: OriginClient> WeightsReconciler<D, B, O> {
    // Stages and verifies all chunks right before the order, since staged bytes may
    // become corrupt.
    pub(super) async fn order_load(&mut self, target: &TargetVersion, manifest: &Manifest) {
        let recorder = &self.cx.recorder;
        let verify = self.staging.verify(&target.model, manifest, recorder);
        let Some(verification) = verify.await else {
            return;
        };
        // A load that begins from now on finds all chunks as they were read.
        let Some(report) = self.read_report(&target.engine).await else {
            return;
        };
        // A server that started again may have lost some of them.
        let is_lost = self.staging.chunks().iter().any(|c| c.intact_at.is_none());
        if report.busy || is_lost {
            return;
        }
        let step = match self.load_step(target, &report) {
            // The staging area is verified only once that is done.
            None | Some(LoadStep::Drop(_)) => return,
            Some(step) => step,
        };
        if !verification.is_recent() && self.late_orders < MAX_LATE_ORDERS {
            self.late_orders += 1;
            return;
        }
        self.late_orders = 0;
        self.order(target, &report, &step, Some(verification)).await;
    }

    pub(super) fn load_step(
        &self,
        target: &TargetVersion,
        report: &BackendReport,
    ) -> Option<LoadStep> {
        let layers = target.engine.layers;
        LoadStep::next(report, self.watch.weights(), target.version, layers)
    }

    // Sends an order; `verification` is of the staged chunks, if the server is to take
    // any of them.
    pub(super) async fn order(
        &mut self,
        target: &TargetVersion,
        report: &BackendReport,
        step: &LoadStep,
        verification: Option<Verification>,
    ) {
        // Entries have to stop sending before the server starts to refuse requests, and
        // nobody vouches for its weights until the outcome is known.
        self.send_status(&target.model, 0, false);
        let order = LoadOrder {
            model: target.model.clone(),
            version: target.version,
            layers: step.layers(),
            sequence: report.sequence,
        };
        self.watch.on_sent(order.sequence + 1);
        let sent_at = uptime();
        let result = timeout(BACKEND_TIMEOUT, self.backend.load(&order)).await;
        let answered_at = uptime();
        if matches!(result, Ok(Ok(LoadOutcome::Started)) | Ok(Err(_)) | Err(_)) {
            self.ordered = order.sequence + 1;
        }
        if matches!(result, Ok(Err(_)) | Err(_)) {
            self.watch.on_unanswered();
        }
        if matches!(result, Ok(Ok(LoadOutcome::Started))) {
            self.watch.on_accepted(order.sequence + 1, answered_at);
            // Layers of the same version would be kept.
            let replaces_all = *step == LoadStep::All && report.layers_version != target.version;
            self.accepted_load = replaces_all.then(|| AcceptedLoad {
                started_ms: report.started_ms,
                loads: order.sequence + 1,
                version: target.version,
                manifest: self.staging.manifest_id().clone(),
            });
        } else if report.layers_version == target.version {
            self.no_order_before = answered_at + RELOAD_INTERVAL;
        }
        let (event, answer) = match result {
            Ok(Ok(LoadOutcome::Started)) => (Event::OrderSent, "started".to_string()),
            Ok(Ok(LoadOutcome::InEffect)) => (Event::OrderSent, "in-effect".to_string()),
            Ok(Ok(LoadOutcome::Conflict)) => (Event::OrderFailed, "conflict".to_string()),
            Ok(Err(err)) => (Event::OrderFailed, format!("{:?}", err.to_string())),
            // The next poll shows whether the order arrived.
            Err(_) => (Event::OrderFailed, "timeout".to_string()),
        };
        let layers = order.layers.unwrap_or(0..target.engine.layers);
        let mut detail = format!(
            "model={} version={} layers={layers:?} sequence={} answer={answer} \
             answered_after_ms={}",
            order.model,
            order.version,
            order.sequence,
            (answered_at - sent_at).as_millis()
        );
        if let Some(verification) = verification {
            detail += &format!(
                " verified_in_ms={} repaired={} oldest_read_ms={} oldest_read_at_answer_ms={}",
                verification.elapsed.as_millis(),
                verification.repaired,
                (sent_at - verification.oldest_read_at).as_millis(),
                (answered_at - verification.oldest_read_at).as_millis()
            );
        }
        self.cx.recorder.emit(event, &detail);
    }

    // Reads chunks again while the server still loads them, so that the result is known
    // when it has loaded.
    pub(super) async fn read_while_loading(&mut self, report: &BackendReport) {
        let TakenWeights::Unverified(load) = self.watch.weights() else {
            return;
        };
        let Some(target) = next_target(&self.cx, report.weights_version) else {
            return;
        };
        let name = version_name(&target.model, target.version);
        let manifest = self.store.manifest(&name);
        let is_staged = |m: &Manifest| manifest_id(m) == *self.staging.manifest_id();
        if let Some(manifest) = manifest.filter(is_staged) {
            let unproven = load.unproven(self.staging.chunks()).unwrap_or_default();
            // The result is in the state of the chunks.
            let _ = self.staging.read(&target.model, &manifest, &unproven).await;
        }
    }

    // Finds out whether the weights that the server has taken were intact.
    pub(super) async fn verify_taken(&mut self, report: &BackendReport) {
        let TakenWeights::Unverified(load) = self.watch.weights() else {
            return;
        };
        let weights = match self.prove(load, report).await {
            Some(true) => TakenWeights::Intact,
            Some(false) => TakenWeights::Damaged,
            None => return,
        };
        self.watch.set_weights(weights);
        // Another daemon beside the server may know that its load was sound.
        if weights == TakenWeights::Damaged && self.ordered != report.sequence {
            self.no_order_before = uptime() + RELOAD_INTERVAL;
        }
    }

    // Whether all chunks of the loaded version were intact when the server took them;
    // `None` if that is not known yet.
    async fn prove(&mut self, load: Load, report: &BackendReport) -> Option<bool> {
        let target = target(&self.cx, report.layers_version)?;
        let manifest = known_manifest(&self.store, &self.origin, &target).await?;
        let mut read = 0;
        let mut is_proven = false;
        self.staging.select(&manifest);
        if let Some(unproven) = load.unproven(self.staging.chunks()) {
            read = unproven.len();
            let staging = &mut self.staging;
            staging.read(&target.model, &manifest, &unproven).await?;
            let unproven = load.unproven(staging.chunks());
            is_proven = unproven.is_some_and(|unproven| unproven.is_empty());
        }
        let detail = format!(
            "model={} version={} sequence={} chunks_read_again={read} \
             taken_before_ms={}",
            target.model,
            target.version,
            report.sequence,
            (uptime() - load.not_after).as_millis()
        );
        let event = match is_proven {
            true => Event::WeightsVerified,
            false => Event::WeightsDamaged,
        };
        self.cx.recorder.emit(event, &detail);
        Some(is_proven)
    }
}
