//! Keeps requests from weights that are past the deadline of newer ones.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{uptime, ChangeNotifier};
use rw_protocol::Name;

use super::attempt::{self, Failure};
use super::{Call, Entry};
use crate::{BackendServer, Bounds, Engine, PlatformCodec, Snapshot};

/// Time that a request may take to begin after new ones are no longer sent to the weights
/// of its server. What remains until the deadline is for the cancellation to arrive, and
/// for ages of requested weights that are known late.
const MAX_START_DELAY: Duration = Duration::from_millis(800);
/// Interval at which the time to begin is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a call fails that had to begin, but may have been executed.
pub(super) const WEIGHTS_EXPIRED_REASON: &str = "newer weights are required";

/// Weights of a backend server that are older than what a request requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedWeights {
    /// Version that the server holds.
    pub held: u64,
    /// Minimum version on which the request may begin.
    pub required: u64,
}

/// Versions on which requests that wait at backend servers have to begin.
#[derive(Debug, Default)]
pub(super) struct WeightsGuard {
    // By model; a model whose first version will do is left out.
    start_versions: Mutex<BTreeMap<Name, u64>>,
    changed: ChangeNotifier,
}

impl WeightsGuard {
    fn start_versions(&self) -> MutexGuard<'_, BTreeMap<Name, u64>> {
        self.start_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn start_version(&self, model: &Name) -> u64 {
        self.start_versions().get(model).copied().unwrap_or(1)
    }

    fn update(&self, snapshot: &Snapshot, bounds: &Bounds) {
        // A deadline that is later by the delay ends the wait that much later.
        let bounds = Bounds {
            rollout_deadline: bounds.rollout_deadline + MAX_START_DELAY,
            settling: bounds.settling + MAX_START_DELAY,
            ..*bounds
        };
        let models = snapshot.requested_weights.keys();
        let versions: BTreeMap<Name, u64> = models
            .map(|model| {
                let version = snapshot.min_version(model, &bounds, uptime());
                (model.clone(), version)
            })
            .filter(|(_, version)| *version > 1)
            .collect();
        let mut known = self.start_versions();
        if *known != versions {
            *known = versions;
            drop(known);
            self.changed.notify();
        }
    }
}

impl<D: PlatformCodec> Entry<D> {
    /// Fails if a call that is sent now must not run on the weights of a server.
    pub(super) fn check_weights(&self, call: &Call, server: &BackendServer) -> attempt::Result<()> {
        let Some(engine) = call.engine() else {
            return Ok(());
        };
        let snapshot = self.cx.cluster.snapshot();
        let required = self.min_weights_version(&snapshot, engine);
        let held = held_version(&snapshot, server);
        match held < required {
            true => Err(Failure::WeightsOutdated(OutdatedWeights { held, required })),
            false => Ok(()),
        }
    }

    /// Waits for what shows that a call has begun at a server. Fails once it must not begin
    /// on the server's weights any more.
    pub(super) async fn begin_in_time<T>(
        &self,
        call: &Call,
        server: &BackendServer,
        begun: impl Future<Output = attempt::Result<T>>,
    ) -> attempt::Result<T> {
        tokio::select! {
            biased;
            begun = begun => begun,
            outdated = self.start_expired(call, server) => Err(Failure::WeightsExpired(outdated)),
        }
    }

    async fn start_expired(&self, call: &Call, server: &BackendServer) -> OutdatedWeights {
        let Some(engine) = call.engine() else {
            return std::future::pending().await;
        };
        let changed = self.weights_guard.changed.subscribe();
        loop {
            let required = self.weights_guard.start_version(&engine.model);
            let held = held_version(&self.cx.cluster.snapshot(), server);
            // A server without weights begins nothing until it has loaded the newer ones.
            if held > 0 && held < required {
                return OutdatedWeights { held, required };
            }
            if changed.recv_async().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Keeps the servers that may serve an engine's requests with the weights that they
    /// have loaded.
    pub(super) fn retain_valid_weights(
        &self,
        engine: &Engine,
        servers: &mut Vec<Arc<BackendServer>>,
    ) {
        let snapshot = self.cx.cluster.snapshot();
        let required = self.min_weights_version(&snapshot, engine);
        servers.retain(|server| {
            snapshot.loaded_version(server) >= required
                && snapshot.has_trusted_weights(server)
                && !snapshot.is_paused(&server.id, uptime())
        });
    }
}

/// Follows the deadlines of requested weights for the requests that wait at servers.
pub(crate) async fn watch_weights<D: PlatformCodec>(entry: Arc<Entry<D>>) {
    let ticks = entry.cx.timer.subscribe(CHECK_INTERVAL);
    while ticks.recv_async().await.is_ok() {
        let snapshot = entry.cx.cluster.snapshot();
        entry
            .weights_guard
            .update(&snapshot, &entry.cx.settings.bounds);
    }
}

// The server's row may have changed since it was selected.
fn held_version(snapshot: &Snapshot, server: &BackendServer) -> u64 {
    let current = snapshot.servers.get(&server.id);
    snapshot.loaded_version(current.map_or(server, |current| current))
}
