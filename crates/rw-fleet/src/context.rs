use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::Timer;
use rw_observe::Recorder;
use rw_peer::PeerPool;
use tokio::time::Instant;

use crate::entry::LimitGuard;
use crate::follow::SyncStatus;
use crate::memory_guard::MemoryGuard;
use crate::process_limits::ProcessLimits;
use crate::{ClusterState, DaemonSettings, PlatformCodec, SharedRng};

/// Time without an answer after which the connection to another daemon is
/// closed.
const PEER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(800);

/// State shared by all parts of a daemon.
pub struct Cx<D> {
    /// Settings.
    pub settings: DaemonSettings,
    /// Names and row formats of the platform.
    pub codec: Arc<D>,
    /// State of the platform as this daemon knows it.
    pub cluster: Arc<ClusterState<D>>,
    /// Events, logs and metrics.
    pub recorder: Recorder,
    /// Connections to other daemons.
    pub pool: PeerPool,
    /// Random choices among servers and services.
    pub rng: Arc<SharedRng>,
    /// The timer service.
    pub timer: Timer,
    /// Status of the synchronization with the store.
    pub sync: SyncStatus,
    /// Limits that backend servers named, on entries.
    pub limit_guard: Arc<LimitGuard>,
    /// Memory that callers hold.
    pub memory: Arc<MemoryGuard>,
    /// Limits on connections and on messages of other daemons.
    pub limits: ProcessLimits,
    started: Instant,
    shutting_down: AtomicBool,
}

impl<D: PlatformCodec> Cx<D> {
    /// Creates the context of a daemon that is starting.
    pub fn new(settings: DaemonSettings, codec: Arc<D>, recorder: Recorder) -> Arc<Self> {
        let cluster = ClusterState::new(codec.clone(), recorder.clone());
        cluster.set_first_start(settings.first_start);
        Arc::new(Cx {
            cluster,
            rng: Arc::new(SharedRng::new(settings.random_seed)),
            limit_guard: LimitGuard::new(settings.name.clone(), recorder.clone()),
            memory: MemoryGuard::new(settings.memory_bytes, recorder.clone()),
            limits: ProcessLimits::new(&settings),
            settings,
            codec,
            recorder,
            pool: PeerPool::new(PEER_SUSPECT_TIMEOUT),
            timer: Timer::start(),
            sync: SyncStatus::default(),
            started: Instant::now(),
            shutting_down: AtomicBool::new(false),
        })
    }

    /// Time since the daemon started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Marks the daemon as shutting down.
    pub fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }
}
