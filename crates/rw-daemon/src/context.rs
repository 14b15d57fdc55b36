use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rw_coord::Timer;
use rw_observe::Recorder;
use rw_platform::HttpPlatform;
use rw_protocol::Name;
use rw_settings::{Daemon, Deployment};

use crate::control::SharedView;
use rw_peer::PeerPool;

/// What every part of a daemon works with.
pub struct Context {
    /// Name of this daemon.
    pub name: Name,
    /// Region of this daemon.
    pub region: Name,
    /// Settings of this daemon.
    pub daemon: Daemon,
    /// Settings of the deployment.
    pub deployment: Deployment,
    /// Platform services.
    pub platform: HttpPlatform,
    /// Configuration and hosts as known here.
    pub shared: SharedView,
    /// Connections to other daemons.
    pub pool: PeerPool,
    /// Events and metrics.
    pub recorder: Recorder,
    /// Timer service.
    pub timer: Timer,
    start: Instant,
    leaving: AtomicBool,
    table_reachable: AtomicBool,
}

impl Context {
    /// Joins the parts.
    pub fn new(
        name: Name,
        daemon: Daemon,
        deployment: Deployment,
        recorder: Recorder,
    ) -> Arc<Self> {
        let platform = HttpPlatform::new(
            &deployment.platform.url,
            &deployment.platform.origin_url,
            deployment.platform.timeout_ms,
        );
        let suspect = Duration::from_millis(deployment.control.suspect_ms);
        Arc::new(Context {
            region: deployment.region_of(&daemon.zone),
            name,
            daemon,
            platform,
            shared: SharedView::default(),
            pool: PeerPool::new(suspect),
            recorder,
            timer: Timer::start(),
            start: Instant::now(),
            leaving: AtomicBool::new(false),
            table_reachable: AtomicBool::new(true),
            deployment,
        })
    }

    /// Time since the daemon started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether the daemon refuses new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Refuses new work from now on; says whether that is new.
    pub fn leave(&self) -> bool {
        !self.leaving.swap(true, Ordering::SeqCst)
    }

    /// Whether the last call of the table service worked.
    pub fn is_table_reachable(&self) -> bool {
        self.table_reachable.load(Ordering::Relaxed)
    }

    /// Notes whether the table service answers; says whether that changed.
    pub fn set_table_reachable(&self, up: bool) -> bool {
        self.table_reachable.swap(up, Ordering::Relaxed) != up
    }

    /// Time limit of a short exchange with another daemon.
    pub fn peer_timeout(&self) -> Duration {
        Duration::from_millis(self.deployment.control.suspect_ms)
    }
}
