//! Keeps the backend server beside a host on the weights that are wanted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{rank, Manifest, Name, ServerStatus};
use rw_weights::load_wait;
use tokio::time::timeout;

use super::collect::{collect, Wanted};
use super::reader::Reader;
use super::shelf::version_name;
use super::stage::Stage;
use super::{LoadOrder, Ordered, OriginClient, Runner, RunnerReport, Shelf, StageRead};
use crate::snapshot::INSIST_MARGIN;
use crate::{peers, Cx, Dialect, Engine};

/// Time between two looks at the backend server.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Time for one call to the backend server on the same machine.
pub(super) const LOCAL_LIMIT: Duration = Duration::from_secs(2);
/// Time before requests insist on new weights by which the last server starts
/// to load: entries have to learn first that it takes no more requests.
const LAST_LOAD_MARGIN: Duration = Duration::from_millis(300);
/// Notices are repeated this often, for entries that missed one.
const NOTICE_PERIOD: Duration = Duration::from_secs(2);

/// The server was not seen yet.
const UNSEEN: u64 = u64::MAX;

/// How far a host is with its weights.
struct Progress {
    // Version that the server has loaded, and the newest that is collected.
    loaded: AtomicU64,
    collected: AtomicU64,
}

/// Watches the backend server for as long as the daemon runs.
pub async fn keep_weights<D, R, O>(
    cx: Arc<Cx<D>>,
    shelf: Arc<Shelf>,
    runner: R,
    origin: O,
    reads: flume::Receiver<StageRead>,
) where
    D: Dialect,
    R: Runner,
    O: OriginClient,
{
    let reader = Reader {
        cx: cx.clone(),
        shelf: shelf.clone(),
        runner: runner.clone(),
        origin: origin.clone(),
    };
    tokio::spawn(reader.run(reads));
    let progress = Arc::new(Progress {
        loaded: AtomicU64::new(UNSEEN),
        collected: AtomicU64::new(0),
    });
    tokio::spawn(collect_next(
        cx.clone(),
        shelf.clone(),
        origin,
        progress.clone(),
    ));
    let ticks = cx.timer.subscribe(LOOK_PERIOD);
    let stage = Stage::new(shelf.clone(), runner.clone());
    let mut keeper = Keeper {
        cx,
        shelf,
        runner,
        progress,
        last: None,
        stage,
        turn: None,
        sequence: rw_coord::unix_ms(),
        told_at: Duration::ZERO,
    };
    while ticks.recv_async().await.is_ok() {
        keeper.look().await;
    }
}

// Collects versions ahead of their loading, in the order of their names.
async fn collect_next<D: Dialect, O: OriginClient>(
    cx: Arc<Cx<D>>,
    shelf: Arc<Shelf>,
    origin: O,
    progress: Arc<Progress>,
) {
    let ticks = cx.timer.subscribe(LOOK_PERIOD);
    while ticks.recv_async().await.is_ok() {
        let loaded = progress.loaded.load(Ordering::Relaxed);
        let collected = progress.collected.load(Ordering::Relaxed);
        if loaded == UNSEEN {
            continue;
        }
        let Some(wanted) = next(&cx, loaded.max(collected)) else {
            continue;
        };
        if shelf.is_complete(&version_name(&wanted.model, wanted.version)) {
            progress.collected.store(wanted.version, Ordering::Relaxed);
            continue;
        }
        let work = collect(&cx, &shelf, &origin, &wanted);
        tokio::select! {
            _ = work => {
                progress.collected.store(wanted.version, Ordering::Relaxed);
                let kept = [wanted.version, wanted.version.saturating_sub(1), loaded];
                shelf.keep(&kept.map(|version| version_name(&wanted.model, version)));
            }
            () = passed_over(&cx, &progress, &wanted) => {}
        }
    }
}

async fn passed_over<D: Dialect>(cx: &Cx<D>, progress: &Progress, wanted: &Wanted) {
    let ticks = cx.timer.subscribe(LOOK_PERIOD);
    while ticks.recv_async().await.is_ok() {
        let loaded = progress.loaded.load(Ordering::Relaxed);
        let collected = progress.collected.load(Ordering::Relaxed);
        let now = next(cx, loaded.max(collected));
        if now.is_none_or(|now| now.version != wanted.version) {
            return;
        }
    }
}

struct Keeper<D, R> {
    cx: Arc<Cx<D>>,
    shelf: Arc<Shelf>,
    runner: R,
    progress: Arc<Progress>,
    last: Option<ServerStatus>,
    stage: Stage<R>,
    // Version that is to be loaded next, and when the turn to do so comes.
    turn: Option<(u64, Duration)>,
    // Starts at the time of day, so that a restarted daemon goes on higher.
    sequence: u64,
    told_at: Duration,
}

impl<D: Dialect, R: Runner> Keeper<D, R> {
    async fn look(&mut self) {
        let Some(engine) = own_engine(&self.cx) else {
            return;
        };
        let report = match whole_report(&self.runner, &engine).await {
            Some(report) => report,
            None => return self.expect_start(),
        };
        self.shelf.set_live(report.weights > 0);
        self.tell(
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
        let Some(wanted) = next(&self.cx, report.weights) else {
            return;
        };
        let name = version_name(&wanted.model, wanted.version);
        if !self.shelf.is_complete(&name) {
            // A restarted server may need weights that were collected before.
            if self.progress.collected.load(Ordering::Relaxed) >= wanted.version {
                self.progress
                    .collected
                    .store(report.weights, Ordering::Relaxed);
            }
            // What a server that serves nothing has staged is of no use to it.
            if report.weights == 0 {
                if let Some(manifest) = self.shelf.manifest(&name) {
                    self.stage.put_arrived(&wanted.model, &manifest).await;
                }
            }
            return;
        }
        if let Some(manifest) = self.shelf.manifest(&name) {
            let turn = self.turn(&wanted, report.weights);
            if self.cx.now() < turn {
                return;
            }
            let staged = self.stage.put_all(&wanted.model, &manifest).await;
            if staged.is_some() {
                self.order(&wanted, &manifest).await;
            }
        }
    }

    // A server that does not answer yet will start without weights; what it is
    // to load can be collected meanwhile. When all of a fleet starts for the
    // first time, its servers bring weights along.
    fn expect_start(&self) {
        if self.cx.site.first_start {
            return;
        }
        let unseen =
            self.progress
                .loaded
                .compare_exchange(UNSEEN, 0, Ordering::Relaxed, Ordering::Relaxed);
        if unseen.is_ok() {
            log::debug!("the backend server does not answer yet");
        }
    }

    fn own_server(&self) -> Option<Name> {
        let view = self.cx.beliefs.view();
        let mine = view
            .servers
            .values()
            .find(|s| Some(s.addr) == self.cx.site.backend);
        mine.map(|s| s.id.clone())
    }

    fn tell(&mut self, model: &Name, weights: u64, accepting: bool) {
        let Some(server) = self.own_server() else {
            return;
        };
        let same = self.last.as_ref().is_some_and(|last| {
            last.server == server && last.weights == weights && last.accepting == accepting
        });
        let recent = self.cx.now() < self.told_at + NOTICE_PERIOD;
        // A server that runs as its own entry says needs no repeated notice.
        if same && (recent || accepting) {
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
        peers::spread_notice(&self.cx, &notice);
        self.last = Some(notice);
        self.told_at = self.cx.now();
    }

    // Hosts load one after the other within the time that is left, so that as
    // few servers as possible refuse requests at once. The last may still be
    // loading when requests insist: its old weights are of no use by then.
    fn turn(&mut self, wanted: &Wanted, loaded: u64) -> Duration {
        // A server that serves nothing loads at once.
        if loaded == 0 {
            return Duration::ZERO;
        }
        match self.turn {
            Some((version, at)) if version == wanted.version => at,
            _ => {
                let at = self.cx.now() + self.wait(wanted, loaded);
                self.turn = Some((wanted.version, at));
                at
            }
        }
    }

    fn wait(&self, wanted: &Wanted, loaded: u64) -> Duration {
        let view = self.cx.beliefs.view();
        let Some(age) = view.age_of_oldest_due(&wanted.model, loaded, rw_coord::uptime()) else {
            return Duration::ZERO;
        };
        let insisted = self
            .cx
            .site
            .bounds
            .weights_in_force
            .saturating_sub(INSIST_MARGIN);
        let spare = insisted.saturating_sub(age + LAST_LOAD_MARGIN);
        let own = self.own_server().unwrap_or_default();
        let key = version_name(&wanted.model, wanted.version);
        let peers: Vec<u64> = view
            .servers
            .values()
            .filter(|s| s.service == self.cx.site.service && view.loaded(s) > 0)
            .map(|s| rank(&key, &s.id))
            .collect();
        if !peers.contains(&rank(&key, &own)) {
            return Duration::ZERO;
        }
        let before = peers.iter().filter(|r| **r < rank(&key, &own)).count();
        load_wait(before, peers.len(), spare)
    }

    // Checks everything once more right before the order: staged bytes rot.
    async fn order(&mut self, wanted: &Wanted, manifest: &Manifest) {
        let recorder = &self.cx.recorder;
        let whole = self.stage.repair(&wanted.model, manifest, recorder).await;
        if whole.is_none() {
            return;
        }
        let Some(report) = whole_report(&self.runner, &wanted.engine).await else {
            return;
        };
        if report.busy || report.weights == wanted.version {
            return;
        }
        // Entries stop sending before the server starts to refuse.
        self.tell(&wanted.model, report.weights, false);
        let order = LoadOrder {
            model: wanted.model.clone(),
            version: wanted.version,
            sequence: report.sequence,
        };
        let detail = format!(
            "model={} version={} sequence={}",
            order.model, order.version, order.sequence
        );
        match timeout(LOCAL_LIMIT, self.runner.load(&order)).await {
            Ok(Ok(Ordered::Begun | Ordered::InEffect)) => {
                self.cx.recorder.emit(Event::OrderSent, &detail);
            }
            Ok(Ok(Ordered::Conflict)) => {
                self.cx
                    .recorder
                    .emit(Event::OrderFailed, &format!("{detail} reason=conflict"));
            }
            Ok(Err(err)) => {
                let detail = format!("{detail} reason={:?}", err.to_string());
                self.cx.recorder.emit(Event::OrderFailed, &detail);
            }
            // The next look at the server tells whether the order arrived.
            Err(_) => {
                self.cx
                    .recorder
                    .emit(Event::OrderFailed, &format!("{detail} reason=timeout"));
            }
        }
    }
}

// Weights of which layers are missing count as none.
pub(super) async fn whole_report<R: Runner>(runner: &R, engine: &Engine) -> Option<RunnerReport> {
    match timeout(LOCAL_LIMIT, runner.report()).await {
        Ok(Ok(report)) if report.layers < engine.layers => Some(RunnerReport {
            weights: 0,
            ..report
        }),
        Ok(Ok(report)) => Some(report),
        Ok(Err(err)) => {
            log::debug!("backend server: {err}");
            None
        }
        Err(_) => None,
    }
}

pub(super) fn own_engine<D: Dialect>(cx: &Cx<D>) -> Option<Arc<Engine>> {
    let view = cx.beliefs.view();
    view.cfg.as_ref()?.service(&cx.site.service)?.engine.clone()
}

pub(super) fn wanted<D: Dialect>(cx: &Cx<D>, version: u64) -> Option<Wanted> {
    let engine = own_engine(cx)?;
    let view = cx.beliefs.view();
    Some(Wanted {
        model: engine.model.clone(),
        version,
        origin: view.cfg.as_ref()?.origin()?.clone(),
        engine,
    })
}

// The version to bring to a server, or to collect, after the one it has.
pub(super) fn next<D: Dialect>(cx: &Cx<D>, after: u64) -> Option<Wanted> {
    let engine = own_engine(cx)?;
    let view = cx.beliefs.view();
    let uptime = rw_coord::uptime();
    let version = view.next_weights(&engine.model, after, &cx.site.bounds, uptime)?;
    wanted(cx, version)
}
