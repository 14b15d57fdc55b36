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

/// State that is shared by all tasks of a daemon.
pub struct Context {
    /// Name of this daemon.
    pub name: Name,
    /// Region of this daemon.
    pub region: Name,
    /// Settings of this daemon.
    pub daemon: Daemon,
    /// Settings of the deployment.
    pub deployment: Deployment,
    /// Client of the platform services.
    pub platform: HttpPlatform,
    /// Configuration and host list as known to this daemon.
    pub view: SharedView,
    /// Connection pool for other daemons.
    pub pool: PeerPool,
    /// Recorder of events and metrics.
    pub recorder: Recorder,
    /// Timer service.
    pub timer: Timer,
    start: Instant,
    draining: AtomicBool,
    table_reachable: AtomicBool,
}

impl Context {
    /// Creates the context and starts its timer.
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
        let ping_timeout = Duration::from_millis(deployment.control.suspect_ms);
        Arc::new(Context {
            region: deployment.region_of(&daemon.zone),
            name,
            daemon,
            platform,
            view: SharedView::default(),
            pool: PeerPool::new(ping_timeout),
            recorder,
            timer: Timer::start(),
            start: Instant::now(),
            draining: AtomicBool::new(false),
            table_reachable: AtomicBool::new(true),
            deployment,
        })
    }

    /// Returns the time since the daemon started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns whether the daemon rejects new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Rejects new work from now on; returns `false` if it already did.
    pub fn start_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::SeqCst)
    }

    /// Returns whether the last request to the table service succeeded.
    pub fn is_table_reachable(&self) -> bool {
        self.table_reachable.load(Ordering::Relaxed)
    }

    /// Sets whether the table service is reachable; returns whether that changed.
    pub fn set_table_reachable(&self, reachable: bool) -> bool {
        self.table_reachable.swap(reachable, Ordering::Relaxed) != reachable
    }

    /// Returns the timeout of a short request to another daemon.
    pub fn peer_timeout(&self) -> Duration {
        Duration::from_millis(self.deployment.control.suspect_ms)
    }
}
