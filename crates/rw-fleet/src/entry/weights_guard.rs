//! Keeps requests from weights that are past the deadline of newer ones.

use std::sync::Arc;

use rw_coord::uptime;

use super::attempt::{self, Failure};
use super::{Call, Entry};
use crate::{BackendServer, Engine, PlatformCodec, Snapshot};

/// Weights of a backend server that are older than what a request requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedWeights {
    /// Version that the server holds.
    pub held: u64,
    /// Minimum version on which the request may begin.
    pub required: u64,
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

// The server's row may have changed since it was selected.
fn held_version(snapshot: &Snapshot, server: &BackendServer) -> u64 {
    let current = snapshot.servers.get(&server.id);
    snapshot.loaded_version(current.map_or(server, |current| current))
}
