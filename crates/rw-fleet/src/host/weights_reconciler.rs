//! Reconciles the weights of the backend server beside a host with the target
//! version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::{rendezvous_rank, Manifest, Name};
use rw_weights::load_delay;
use tokio::time::timeout;

use super::archive::ArchiveWriter;
use super::chunk_store::version_name;
use super::download::TargetVersion;
use super::staged_chunk_reader::StagedChunkReader;
use super::staging::StagingArea;
use super::status_sender::StatusSender;
use super::target_version::{next_target, own_engine};
use super::version_downloads::{download_versions, Progress, UNKNOWN_VERSION};
use super::{
    BackendClient, BackendReport, ChunkStore, LoadOrder, LoadOutcome, ObjectArchive, OriginClient,
    StagedChunkRequest,
};
use crate::requested_weights::enforced_after;
use crate::{Cx, Engine, PlatformCodec};

/// Interval between polls of the backend server.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one call to the backend server on the same machine, and of fetching a
/// manifest from the origin while another host waits for a staged chunk.
pub(super) const BACKEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time before callers' requests require new weights at which the last server
/// starts to load: entries first have to learn that it accepts no more requests.
const LAST_LOAD_MARGIN: Duration = Duration::from_millis(300);

/// Polls the backend server and reconciles its weights while the daemon runs.
pub async fn reconcile_weights<D, B, O, A>(
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    backend: B,
    origin: O,
    archive: A,
    pending_reads: flume::Receiver<StagedChunkRequest>,
) where
    D: PlatformCodec,
    B: BackendClient,
    O: OriginClient,
    A: ObjectArchive,
{
    let writer = ArchiveWriter {
        cx: cx.clone(),
        store: store.clone(),
        backend: backend.clone(),
        origin: origin.clone(),
        archive: archive.clone(),
    };
    tokio::spawn(writer.run());
    let reader = StagedChunkReader {
        cx: cx.clone(),
        store: store.clone(),
        backend: backend.clone(),
        origin: origin.clone(),
    };
    tokio::spawn(reader.run(pending_reads));
    let progress = Arc::new(Progress {
        loaded: AtomicU64::new(UNKNOWN_VERSION),
        downloaded: AtomicU64::new(0),
    });
    tokio::spawn(download_versions(
        cx.clone(),
        store.clone(),
        origin,
        archive,
        progress.clone(),
    ));
    let ticks = cx.timer.subscribe(POLL_INTERVAL);
    let staging = StagingArea::new(store.clone(), backend.clone());
    let mut reconciler = WeightsReconciler {
        cx,
        store,
        backend,
        progress,
        staging,
        scheduled_load: None,
        status_sender: StatusSender::new(),
        last_load: None,
    };
    while ticks.recv_async().await.is_ok() {
        reconciler.reconcile().await;
    }
}

struct WeightsReconciler<D, B> {
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    backend: B,
    progress: Arc<Progress>,
    staging: StagingArea<B>,
    // Version to load next, and the time since the daemon's start at which this
    // host may load it.
    scheduled_load: Option<(u64, Duration)>,
    status_sender: StatusSender,
    // Start of the server in Unix milliseconds and the number of loads that it had
    // begun, from its last report.
    last_load: Option<(u64, u64)>,
}

impl<D: PlatformCodec, B: BackendClient> WeightsReconciler<D, B> {
    async fn reconcile(&mut self) {
        let Some(engine) = own_engine(&self.cx) else {
            return;
        };
        let report = match read_report(&self.backend, &engine).await {
            Some(report) => report,
            None => return self.assume_not_loaded(),
        };
        self.log_load(&report);
        self.store.set_serving(report.weights_version > 0);
        self.send_status(
            &engine.model,
            report.weights_version,
            !report.busy && !report.leaving && report.weights_version > 0,
        );
        if report.busy {
            return;
        }
        self.progress
            .loaded
            .store(report.weights_version, Ordering::Relaxed);
        let Some(target) = next_target(&self.cx, report.weights_version) else {
            return;
        };
        let name = version_name(&target.model, target.version);
        if !self.store.is_complete(&name) {
            // A restarted server may need weights that were downloaded earlier.
            if self.progress.downloaded.load(Ordering::Relaxed) >= target.version {
                self.progress
                    .downloaded
                    .store(report.weights_version, Ordering::Relaxed);
            }
            // A server without weights does not need what it has staged, so chunks
            // are staged as they arrive.
            if report.weights_version == 0 {
                if let Some(manifest) = self.store.manifest(&name) {
                    self.staging.stage_available(&target.model, &manifest).await;
                }
            }
            return;
        }
        if let Some(manifest) = self.store.manifest(&name) {
            let load_at = self.scheduled_load_time(&target, report.weights_version);
            if self.cx.now() < load_at {
                return;
            }
            let staged = self.staging.stage_all(&target.model, &manifest).await;
            if staged.is_some() {
                self.send_load_order(&target, &manifest).await;
            }
        }
    }

    // A server that does not answer yet will start without weights, so its
    // target version can be downloaded meanwhile. When a complete fleet starts
    // for the first time, its servers already have weights.
    fn assume_not_loaded(&self) {
        if self.cx.settings.first_start {
            return;
        }
        let was_unknown = self.progress.loaded.compare_exchange(
            UNKNOWN_VERSION,
            0,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if was_unknown.is_ok() {
            log::debug!("the backend server does not answer yet; assuming that it has no weights");
        }
    }

    fn own_server(&self) -> Option<Name> {
        let snapshot = self.cx.cluster.snapshot();
        let own = snapshot
            .servers
            .values()
            .find(|s| Some(s.addr) == self.cx.settings.backend);
        own.map(|s| s.id.clone())
    }

    fn send_status(&mut self, model: &Name, weights: u64, accepting: bool) {
        if let Some(server) = self.own_server() {
            self.status_sender
                .send(&self.cx, server, model, weights, accepting);
        }
    }

    // Time since the daemon's start at which this host may load the version.
    // Hosts load one after another within the remaining time, so that as few
    // servers as possible refuse requests at the same time. The last one may
    // still be loading when callers' requests require the new version, since its
    // old weights are of no use from then on.
    fn scheduled_load_time(&mut self, target: &TargetVersion, loaded: u64) -> Duration {
        // A server without weights loads immediately.
        if loaded == 0 {
            return Duration::ZERO;
        }
        match self.scheduled_load {
            Some((version, at)) if version == target.version => at,
            _ => {
                let at = self.cx.now() + self.load_delay(target, loaded);
                self.scheduled_load = Some((target.version, at));
                at
            }
        }
    }

    fn load_delay(&self, target: &TargetVersion, loaded: u64) -> Duration {
        let snapshot = self.cx.cluster.snapshot();
        let Some(age) = snapshot.age_of_oldest_pending(&target.model, loaded, rw_coord::uptime())
        else {
            return Duration::ZERO;
        };
        let remaining =
            enforced_after(&self.cx.settings.bounds).saturating_sub(age + LAST_LOAD_MARGIN);
        let own = self.own_server().unwrap_or_default();
        let key = version_name(&target.model, target.version);
        let ranks: Vec<u64> = snapshot
            .servers
            .values()
            .filter(|s| s.service == self.cx.settings.service && snapshot.loaded_version(s) > 0)
            .map(|s| rendezvous_rank(&key, &s.id))
            .collect();
        if !ranks.contains(&rendezvous_rank(&key, &own)) {
            return Duration::ZERO;
        }
        let earlier_hosts = ranks
            .iter()
            .filter(|r| **r < rendezvous_rank(&key, &own))
            .count();
        load_delay(earlier_hosts, ranks.len(), remaining)
    }

    // Verifies all chunks right before the order, since staged bytes may become
    // corrupt.
    async fn send_load_order(&mut self, target: &TargetVersion, manifest: &Manifest) {
        let recorder = &self.cx.recorder;
        let repair = self.staging.repair(&target.model, manifest, recorder);
        let Some(verification) = repair.await else {
            return;
        };
        let Some(report) = read_report(&self.backend, &target.engine).await else {
            return;
        };
        if report.busy || report.weights_version == target.version {
            return;
        }
        // Entries have to stop sending before the server starts to refuse
        // requests.
        self.send_status(&target.model, report.weights_version, false);
        let order = LoadOrder {
            model: target.model.clone(),
            version: target.version,
            sequence: report.sequence,
        };
        let sent_at = uptime();
        let result = timeout(BACKEND_TIMEOUT, self.backend.load(&order)).await;
        let answered_at = uptime();
        let (event, answer) = match result {
            Ok(Ok(LoadOutcome::Started)) => (Event::OrderSent, "started".to_string()),
            Ok(Ok(LoadOutcome::InEffect)) => (Event::OrderSent, "in-effect".to_string()),
            Ok(Ok(LoadOutcome::Conflict)) => (Event::OrderFailed, "conflict".to_string()),
            Ok(Err(err)) => (Event::OrderFailed, format!("{:?}", err.to_string())),
            // The next poll shows whether the order arrived.
            Err(_) => (Event::OrderFailed, "timeout".to_string()),
        };
        let detail = format!(
            "model={} version={} sequence={} answer={answer} answered_after_ms={} \
             verified_in_ms={} repaired={} oldest_read_ms={} oldest_read_at_answer_ms={}",
            order.model,
            order.version,
            order.sequence,
            (answered_at - sent_at).as_millis(),
            verification.elapsed.as_millis(),
            verification.repaired,
            (sent_at - verification.started_at).as_millis(),
            (answered_at - verification.started_at).as_millis()
        );
        self.cx.recorder.emit(event, &detail);
    }

    // Records each load that the server has begun, whoever ordered it.
    fn log_load(&mut self, report: &BackendReport) {
        let key = (report.started_ms, report.sequence);
        let last = self.last_load.replace(key);
        if last.is_none_or(|last| last != key) {
            let detail = format!(
                "weights={} busy={} sequence={} server_started_ms={} first_report={}",
                report.weights_version,
                report.busy,
                report.sequence,
                report.started_ms,
                last.is_none()
            );
            self.cx.recorder.emit(Event::LoadObserved, &detail);
        }
    }
}

// Reads the server's report; incomplete weights count as none.
pub(super) async fn read_report<B: BackendClient>(
    backend: &B,
    engine: &Engine,
) -> Option<BackendReport> {
    match timeout(BACKEND_TIMEOUT, backend.report()).await {
        Ok(Ok(report)) if report.layers < engine.layers => Some(BackendReport {
            weights_version: 0,
            ..report
        }),
        Ok(Ok(report)) => Some(report),
        Ok(Err(err)) => {
            log::debug!("reading the report of the backend server failed: {err}");
            None
        }
        Err(_) => None,
    }
}
