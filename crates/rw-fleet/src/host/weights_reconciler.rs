//! Reconciles the weights of the backend server beside a host with the target
//! version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{rendezvous_rank, Manifest, Name, ServerStatus};
use rw_weights::load_delay;
use tokio::time::timeout;

use super::chunk_store::version_name;
use super::download::{download_version, TargetVersion};
use super::reader::StagedChunkReader;
use super::staging::StagingArea;
use super::{
    ChunkStore, LoadOrder, LoadOutcome, OriginClient, Runner, RunnerReport, StagedChunkRequest,
};
use crate::snapshot::ENFORCEMENT_MARGIN;
use crate::{peers, Cx, Engine, PlatformCodec};

/// Interval between polls of the backend server.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one call to the backend server on the same machine.
pub(super) const BACKEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The last server starts to load this long before requests require new
/// weights: entries first have to learn that it takes no more requests.
const LAST_LOAD_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which notices are repeated for entries that missed one.
const NOTICE_INTERVAL: Duration = Duration::from_secs(2);

/// Marks a server whose version has not been reported yet.
const UNKNOWN_VERSION: u64 = u64::MAX;

/// Progress of a host with its weights.
struct Progress {
    // Version that the server has loaded, and the newest downloaded version.
    loaded: AtomicU64,
    downloaded: AtomicU64,
}

/// Polls the backend server and reconciles its weights while the daemon runs.
pub async fn reconcile_weights<D, R, O>(
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    runner: R,
    origin: O,
    read_requests: flume::Receiver<StagedChunkRequest>,
) where
    D: PlatformCodec,
    R: Runner,
    O: OriginClient,
{
    let reader = StagedChunkReader {
        cx: cx.clone(),
        store: store.clone(),
        runner: runner.clone(),
        origin: origin.clone(),
    };
    tokio::spawn(reader.run(read_requests));
    let progress = Arc::new(Progress {
        loaded: AtomicU64::new(UNKNOWN_VERSION),
        downloaded: AtomicU64::new(0),
    });
    tokio::spawn(download_next(
        cx.clone(),
        store.clone(),
        origin,
        progress.clone(),
    ));
    let ticks = cx.timer.subscribe(POLL_INTERVAL);
    let staging = StagingArea::new(store.clone(), runner.clone());
    let mut reconciler = WeightsReconciler {
        cx,
        store,
        runner,
        progress,
        last_notice: None,
        staging,
        load_at: None,
        sequence: rw_coord::unix_ms(),
        notified_at: Duration::ZERO,
    };
    while ticks.recv_async().await.is_ok() {
        reconciler.reconcile().await;
    }
}

// Downloads versions ahead of their loading, in the order of their requests.
async fn download_next<D: PlatformCodec, O: OriginClient>(
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    origin: O,
    progress: Arc<Progress>,
) {
    let ticks = cx.timer.subscribe(POLL_INTERVAL);
    while ticks.recv_async().await.is_ok() {
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
        let download = download_version(&cx, &store, &origin, &target);
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

struct WeightsReconciler<D, R> {
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    runner: R,
    progress: Arc<Progress>,
    last_notice: Option<ServerStatus>,
    staging: StagingArea<R>,
    // Version to load next, and the time at which this host may load it.
    load_at: Option<(u64, Duration)>,
    // Starts at the current time, so that a restarted daemon continues with
    // higher numbers.
    sequence: u64,
    notified_at: Duration,
}

impl<D: PlatformCodec, R: Runner> WeightsReconciler<D, R> {
    async fn reconcile(&mut self) {
        let Some(engine) = own_engine(&self.cx) else {
            return;
        };
        let report = match complete_report(&self.runner, &engine).await {
            Some(report) => report,
            None => return self.assume_not_loaded(),
        };
        self.store.set_serving(report.weights > 0);
        self.notify(
            &engine.model,
            report.weights,
            !report.busy && report.weights > 0,
        );
        if report.busy {
            return;
        }
        self.progress
            .loaded
            .store(report.weights, Ordering::Relaxed);
        let Some(target) = next_target(&self.cx, report.weights) else {
            return;
        };
        let name = version_name(&target.model, target.version);
        if !self.store.is_complete(&name) {
            // A restarted server may need weights that were downloaded earlier.
            if self.progress.downloaded.load(Ordering::Relaxed) >= target.version {
                self.progress
                    .downloaded
                    .store(report.weights, Ordering::Relaxed);
            }
            // A server that serves nothing does not need what it has staged, so
            // chunks are staged as they arrive.
            if report.weights == 0 {
                if let Some(manifest) = self.store.manifest(&name) {
                    self.staging.stage_available(&target.model, &manifest).await;
                }
            }
            return;
        }
        if let Some(manifest) = self.store.manifest(&name) {
            let load_at = self.load_at(&target, report.weights);
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

    fn notify(&mut self, model: &Name, weights: u64, accepting: bool) {
        let Some(server) = self.own_server() else {
            return;
        };
        let unchanged = self.last_notice.as_ref().is_some_and(|last_notice| {
            last_notice.server == server
                && last_notice.weights == weights
                && last_notice.accepting == accepting
        });
        let notified_recently = self.cx.now() < self.notified_at + NOTICE_INTERVAL;
        // No notice is repeated for a server that accepts requests, as its own
        // row says.
        if unchanged && (notified_recently || accepting) {
            return;
        }
        self.sequence += 1;
        let notice = ServerStatus {
            server,
            model: model.clone(),
            weights,
            accepting,
            sequence: self.sequence,
        };
        peers::broadcast_notice(&self.cx, &notice);
        self.last_notice = Some(notice);
        self.notified_at = self.cx.now();
    }

    // Hosts load one after another within the remaining time, so that as few
    // servers as possible refuse requests at the same time. The last may still
    // be loading when requests require the new version, as its old weights are
    // no longer of use by then.
    fn load_at(&mut self, target: &TargetVersion, loaded: u64) -> Duration {
        // A server that serves nothing loads immediately.
        if loaded == 0 {
            return Duration::ZERO;
        }
        match self.load_at {
            Some((version, at)) if version == target.version => at,
            _ => {
                let at = self.cx.now() + self.load_delay(target, loaded);
                self.load_at = Some((target.version, at));
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
        let enforced_after = self
            .cx
            .settings
            .bounds
            .rollout_deadline
            .saturating_sub(ENFORCEMENT_MARGIN);
        let remaining = enforced_after.saturating_sub(age + LAST_LOAD_MARGIN);
        let own = self.own_server().unwrap_or_default();
        let key = version_name(&target.model, target.version);
        let peers: Vec<u64> = snapshot
            .servers
            .values()
            .filter(|s| s.service == self.cx.settings.service && snapshot.loaded_version(s) > 0)
            .map(|s| rendezvous_rank(&key, &s.id))
            .collect();
        if !peers.contains(&rendezvous_rank(&key, &own)) {
            return Duration::ZERO;
        }
        let earlier_hosts = peers
            .iter()
            .filter(|r| **r < rendezvous_rank(&key, &own))
            .count();
        load_delay(earlier_hosts, peers.len(), remaining)
    }

    // Verifies all chunks right before the order, since staged bytes may become
    // corrupt.
    async fn send_load_order(&mut self, target: &TargetVersion, manifest: &Manifest) {
        let recorder = &self.cx.recorder;
        let repaired = self.staging.repair(&target.model, manifest, recorder).await;
        if repaired.is_none() {
            return;
        }
        let Some(report) = complete_report(&self.runner, &target.engine).await else {
            return;
        };
        if report.busy || report.weights == target.version {
            return;
        }
        // Entries have to stop sending before the server starts to refuse
        // requests.
        self.notify(&target.model, report.weights, false);
        let order = LoadOrder {
            model: target.model.clone(),
            version: target.version,
            sequence: report.sequence,
        };
        let detail = format!(
            "model={} version={} sequence={}",
            order.model, order.version, order.sequence
        );
        match timeout(BACKEND_TIMEOUT, self.runner.load(&order)).await {
            Ok(Ok(LoadOutcome::Started | LoadOutcome::InEffect)) => {
                self.cx.recorder.emit(Event::OrderSent, &detail);
            }
            Ok(Ok(LoadOutcome::Conflict)) => {
                self.cx
                    .recorder
                    .emit(Event::OrderFailed, &format!("{detail} reason=conflict"));
            }
            Ok(Err(err)) => {
                let detail = format!("{detail} reason={:?}", err.to_string());
                self.cx.recorder.emit(Event::OrderFailed, &detail);
            }
            // The next poll shows whether the order arrived.
            Err(_) => {
                self.cx
                    .recorder
                    .emit(Event::OrderFailed, &format!("{detail} reason=timeout"));
            }
        }
    }
}

// Incomplete weights count as none.
pub(super) async fn complete_report<R: Runner>(
    runner: &R,
    engine: &Engine,
) -> Option<RunnerReport> {
    match timeout(BACKEND_TIMEOUT, runner.report()).await {
        Ok(Ok(report)) if report.layers < engine.layers => Some(RunnerReport {
            weights: 0,
            ..report
        }),
        Ok(Ok(report)) => Some(report),
        Ok(Err(err)) => {
            log::debug!("reading the status of the backend server: {err}");
            None
        }
        Err(_) => None,
    }
}

pub(super) fn own_engine<D: PlatformCodec>(cx: &Cx<D>) -> Option<Arc<Engine>> {
    let snapshot = cx.cluster.snapshot();
    snapshot
        .cfg
        .as_ref()?
        .service(&cx.settings.service)?
        .engine
        .clone()
}

pub(super) fn target<D: PlatformCodec>(cx: &Cx<D>, version: u64) -> Option<TargetVersion> {
    let engine = own_engine(cx)?;
    let snapshot = cx.cluster.snapshot();
    Some(TargetVersion {
        model: engine.model.clone(),
        version,
        origin: snapshot.cfg.as_ref()?.origin()?.clone(),
        engine,
    })
}

// Next version to load or download after `after`.
pub(super) fn next_target<D: PlatformCodec>(cx: &Cx<D>, after: u64) -> Option<TargetVersion> {
    let engine = own_engine(cx)?;
    let snapshot = cx.cluster.snapshot();
    let uptime = rw_coord::uptime();
    let version = snapshot.next_version(&engine.model, after, &cx.settings.bounds, uptime)?;
    target(cx, version)
}
