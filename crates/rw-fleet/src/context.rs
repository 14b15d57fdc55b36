use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::Timer;
use rw_observe::Recorder;
use rw_peer::PeerPool;
use tokio::time::Instant;

use crate::follow::StoreTouch;
use crate::{Beliefs, Dialect, Site};

/// Silence of another daemon after which its connection is given up.
const PEER_SUSPECT: Duration = Duration::from_millis(800);

/// What every part of a daemon shares.
pub struct Cx<D> {
    /// Settings.
    pub site: Site,
    /// Names on the wire.
    pub dialect: Arc<D>,
    /// What is known of the platform.
    pub beliefs: Arc<Beliefs<D>>,
    /// Events, logs and metrics.
    pub recorder: Recorder,
    /// Connections to other daemons.
    pub pool: PeerPool,
    /// The timer service.
    pub timer: Timer,
    /// Which tables follow the store.
    pub touch: StoreTouch,
    started: Instant,
    leaving: AtomicBool,
}

impl<D: Dialect> Cx<D> {
    /// A context for a daemon that just started.
    pub fn new(site: Site, dialect: Arc<D>, recorder: Recorder) -> Arc<Self> {
        Arc::new(Cx {
            beliefs: Beliefs::new(dialect.clone(), recorder.clone()),
            site,
            dialect,
            recorder,
            pool: PeerPool::new(PEER_SUSPECT),
            timer: Timer::start(),
            touch: StoreTouch::default(),
            started: Instant::now(),
            leaving: AtomicBool::new(false),
        })
    }

    /// Time since the daemon started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Says that the daemon is stopping.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
