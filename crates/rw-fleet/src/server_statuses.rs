//! Statuses of backend servers, sent by the daemons beside them.

use std::sync::Arc;

use rw_coord::uptime;
use rw_protocol::ServerStatus;

use crate::snapshot::{ReceivedStatus, TrustedWeights};
use crate::status_sequence::supersedes;
use crate::{BackendServer, ClusterState, PlatformCodec, Snapshot};

/// Servers that are gone whose trusted weights are kept: a server's row is gone at times
/// although the server runs.
const MAX_GONE_SERVERS: usize = 256;
/// Version of weights that operators need not request.
const INITIAL_VERSION: u64 = 1;

impl<D: PlatformCodec> ClusterState<D> {
    /// Applies the status of a backend server, sent by the daemon beside it,
    /// unless a newer one of the same process was received before.
    pub fn apply_status(&self, status: ServerStatus) {
        let mut state = self.state();
        let old = state.snapshot.server_statuses.get(&status.server);
        if old.is_some_and(|old| !supersedes(status.sequence, old.status.sequence)) {
            return;
        }
        let mut snapshot = Snapshot::clone(&state.snapshot);
        let received = ReceivedStatus {
            received_at: uptime(),
            status: status.clone(),
        };
        // A pause that names a version leaves the trust as it is.
        if status.accepting || status.weights == 0 {
            let known = snapshot.trusted_weights.entry(status.server.clone());
            let trusted = known.or_default();
            trusted.version = status.weights;
            trusted.sequence = status.sequence;
        }
        snapshot.server_statuses.insert(status.server, received);
        state.snapshot = Arc::new(snapshot);
        drop(state);
        self.changed.notify();
    }
}

/// Ends the trust in the weights of an earlier start of a server. At the first start of
/// the fleet, servers hold the initial weights, which no host had loaded.
pub(crate) fn follow_start(snapshot: &mut Snapshot, server: &BackendServer, first_start: bool) {
    let started_ms = Some(server.started_ms);
    let holds_initial = snapshot.registered_version(server) == INITIAL_VERSION;
    let first = TrustedWeights {
        started_ms,
        version: match first_start && holds_initial {
            true => INITIAL_VERSION,
            false => 0,
        },
        sequence: 0,
    };
    let trusted = snapshot.trusted_weights.entry(server.id.clone());
    let trusted = trusted.or_insert(first);
    if trusted.started_ms.is_some_and(|at| at != server.started_ms) {
        trusted.version = 0;
    }
    trusted.started_ms = started_ms;
    let servers = &snapshot.servers;
    if snapshot.trusted_weights.len() > servers.len() + MAX_GONE_SERVERS {
        let trusted_weights = &mut snapshot.trusted_weights;
        trusted_weights.retain(|id, _| servers.contains_key(id) || *id == server.id);
    }
}

/// Removes the status of an earlier start of a server, which has lost what it held.
pub(crate) fn remove_outdated_status(snapshot: &mut Snapshot, server: &BackendServer) {
    let known = snapshot.servers.get(&server.id);
    if known.is_some_and(|known| known.started_ms != server.started_ms) {
        snapshot.server_statuses.remove(&server.id);
    }
}
