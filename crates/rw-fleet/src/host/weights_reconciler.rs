//! Reconciles the weights of the backend server beside a host with the target
//! version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::{rendezvous_rank, Name};
use rw_weights::load_delay;
use tokio::time::timeout;

use super::archive::ArchiveWriter;
use super::chunk_store::version_name;
use super::download::TargetVersion;
use super::load_proof::AcceptedLoad;
use super::reload::LoadStep;
use super::staged_chunk_reader::StagedChunkReader;
use super::staging::StagingArea;
use super::status_sender::StatusSender;
use super::taken_weights::{LoadWatch, Observed, TakenWeights};
use super::target_version::{next_target, own_engine};
use super::version_downloads::{download_versions, Progress, UNKNOWN_VERSION};
use super::{
    BackendClient, BackendReport, ChunkStore, ObjectArchive, OriginClient, StagedChunkRequest,
};
use crate::load_record::WantedRecord;
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
pub(crate) async fn reconcile_weights<D, B, O, A>(
    cx: Arc<Cx<D>>,
    store: Arc<ChunkStore>,
    backend: B,
    origin: O,
    archive: A,
    pending_reads: flume::Receiver<StagedChunkRequest>,
    wanted_record: WantedRecord,
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
    let own_origin = origin.clone();
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
        origin: own_origin,
        staging,
        watch: LoadWatch::new(),
        late_orders: 0,
        ordered: 0,
        no_order_before: Duration::ZERO,
        progress,
        scheduled_load: None,
        status_sender: StatusSender::new(),
        server: None,
        wanted_record,
        accepted_load: None,
        restored: 0,
    };
    while ticks.recv_async().await.is_ok() {
        reconciler.reconcile().await;
    }
}

pub(super) struct WeightsReconciler<D, B, O> {
    pub(super) cx: Arc<Cx<D>>,
    pub(super) store: Arc<ChunkStore>,
    pub(super) backend: B,
    pub(super) origin: O,
    pub(super) staging: StagingArea<B>,
    pub(super) watch: LoadWatch,
    // Orders that were put off since the oldest read was too long ago.
    pub(super) late_orders: u32,
    // Number of loads of the server once it has taken the last order of this daemon that it
    // may take; 0 if there was none.
    pub(super) ordered: u64,
    // Uptime before which no order is sent, after the server refused to load the
    // weights that it has.
    pub(super) no_order_before: Duration,
    progress: Arc<Progress>,
    // Version to load next, and the time since the daemon's start at which this
    // host may load it.
    scheduled_load: Option<(u64, Duration)>,
    pub(super) status_sender: StatusSender,
    server: Option<Name>,
    pub(super) wanted_record: WantedRecord,
    pub(super) accepted_load: Option<AcceptedLoad>,
    // Version whose staged chunks were read back to load it again.
    pub(super) restored: u64,
}

impl<D: PlatformCodec, B: BackendClient, O: OriginClient> WeightsReconciler<D, B, O> {
    async fn reconcile(&mut self) {
        let Some(engine) = own_engine(&self.cx) else {
            return;
        };
        let report = match self.read_report(&engine).await {
            Some(report) => report,
            None => return self.assume_not_loaded(),
        };
        self.store.set_serving(report.weights_version > 0);
        self.judge_found(&engine.model, &report);
        self.report_status(&engine.model, &report);
        self.want_record(&engine.model, &report);
        if report.busy {
            self.read_while_loading(&report).await;
            return self.want_record(&engine.model, &report);
        }
        self.verify_taken(&report).await;
        self.report_status(&engine.model, &report);
        self.want_record(&engine.model, &report);
        self.restore_staged(&report).await;
        // Weights that may hold a corrupt chunk count as none: they are loaded again.
        let loaded = match self.watch.weights() {
            TakenWeights::Damaged => 0,
            _ => report.weights_version,
        };
        let before = self.progress.loaded.swap(loaded, Ordering::Relaxed);
        let had_weights = before != UNKNOWN_VERSION && before > 0;
        if had_weights && before < loaded {
            self.record_loaded(&engine.model, loaded);
        }
        let Some(target) = next_target(&self.cx, loaded) else {
            return;
        };
        let can_order =
            uptime() >= self.no_order_before && !self.is_recorded(&report, target.version);
        if let Some(step @ LoadStep::Drop(_)) = self.load_step(&target, &report) {
            if can_order {
                self.order(&target, &report, &step, None).await;
            }
            return;
        }
        let name = version_name(&target.model, target.version);
        if !self.store.is_complete(&name) {
            // A restarted server may need weights that were downloaded earlier.
            if self.progress.downloaded.load(Ordering::Relaxed) >= target.version {
                self.progress.downloaded.store(loaded, Ordering::Relaxed);
            }
            // A server without weights does not need what it has staged, so chunks
            // are staged as they arrive.
            if loaded == 0 {
                if let Some(manifest) = self.store.manifest(&name) {
                    self.staging.stage_available(&target.model, &manifest).await;
                }
            }
            return;
        }
        if let Some(manifest) = self.store.manifest(&name) {
            let load_at = self.scheduled_load_time(&target, loaded);
            if self.cx.now() >= load_at && can_order {
                self.order_load(&target, &manifest).await;
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

    // Records how long after its request a version was loaded.
    fn record_loaded(&self, model: &Name, version: u64) {
        let snapshot = self.cx.cluster.snapshot();
        if let Some(age) = snapshot.requested_age(model, version, uptime()) {
            let metrics = self.cx.recorder.metrics();
            metrics.weights_loaded_ms.set(age.as_millis() as i64);
        }
    }

    // Remembers the server: its row is gone at times although it runs.
    pub(super) fn own_server(&mut self) -> Option<Name> {
        let snapshot = self.cx.cluster.snapshot();
        let mut servers = snapshot.servers.values();
        if let Some(own) = servers.find(|s| Some(s.addr) == self.cx.settings.backend) {
            self.server = Some(own.id.clone());
        }
        self.server.clone()
    }

    pub(super) fn send_status(&mut self, model: &Name, weights: u64, accepting: bool) {
        if let Some(server) = self.own_server() {
            self.status_sender
                .send(&self.cx, server, model, weights, accepting);
        }
    }

    // Entries send requests to weights only if a status or a record vouches for them. A
    // status without a version withdraws that.
    fn report_status(&mut self, model: &Name, report: &BackendReport) {
        let is_open = !report.busy && !report.leaving && report.weights_version > 0;
        if is_open && self.awaits_record(report) {
            return;
        }
        match self.is_sound(report) {
            true => self.send_status(model, report.weights_version, is_open),
            false => self.send_status(model, 0, false),
        }
    }

    // Reads the server's report and follows its loads.
    pub(super) async fn read_report(&mut self, engine: &Engine) -> Option<BackendReport> {
        let requested_at = uptime();
        let report = read_report(&self.backend, engine).await?;
        let is_first = !self.watch.has_report();
        let observed = self.watch.on_report(&report, requested_at, uptime());
        if observed == Observed::Restart {
            self.staging.forget_reads();
        }
        if observed != Observed::Nothing {
            let detail = format!(
                "weights={} layers={}..{} busy={} sequence={} server_started_ms={} \
                 first_report={is_first} restart={}",
                report.layers_version,
                report.from,
                report.from + report.layers,
                report.busy,
                report.sequence,
                report.started_ms,
                observed == Observed::Restart
            );
            self.cx.recorder.emit(Event::LoadObserved, &detail);
        }
        Some(report)
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

    fn load_delay(&mut self, target: &TargetVersion, loaded: u64) -> Duration {
        let snapshot = self.cx.cluster.snapshot();
        let Some(age) = snapshot.age_of_oldest_pending(&target.model, loaded, rw_coord::uptime())
        else {
            return Duration::ZERO;
        };
        let remaining =
            enforced_after(&self.cx.settings.bounds).saturating_sub(age + LAST_LOAD_MARGIN);
        let key = version_name(&target.model, target.version);
        let (earlier_hosts, hosts) = self.load_rank(&key);
        load_delay(earlier_hosts, hosts, remaining)
    }

    // Number of hosts that load before this one, and of all that serve.
    pub(super) fn load_rank(&mut self, key: &str) -> (usize, usize) {
        let snapshot = self.cx.cluster.snapshot();
        let own = self.own_server().unwrap_or_default();
        let ranks: Vec<u64> = snapshot
            .servers
            .values()
            .filter(|s| s.service == self.cx.settings.service && snapshot.loaded_version(s) > 0)
            .map(|s| rendezvous_rank(key, &s.id))
            .collect();
        let own_rank = rendezvous_rank(key, &own);
        if !ranks.contains(&own_rank) {
            return (0, ranks.len());
        }
        let earlier_hosts = ranks.iter().filter(|rank| **rank < own_rank).count();
        (earlier_hosts, ranks.len())
    }
}

// Reads the server's report; incomplete weights count as none.
pub(super) async fn read_report<B: BackendClient>(
    backend: &B,
    engine: &Engine,
) -> Option<BackendReport> {
    match timeout(BACKEND_TIMEOUT, backend.report()).await {
        Ok(Ok(report)) if report.from > 0 || report.layers < engine.layers => Some(BackendReport {
            weights_version: 0,
            ..report
        }),
        Ok(Ok(report)) => Some(report),
        Ok(Err(err)) => {
            log::debug!("reading the report of the backend server failed: {err}");
            None
        }
        Err(_) => {
            log::debug!("reading the report of the backend server timed out");
            None
        }
    }
}
