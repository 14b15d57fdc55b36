//! Statuses of backend servers, sent by the daemons beside them.

use std::sync::Arc;

use rw_coord::uptime;
use rw_protocol::ServerStatus;

use crate::snapshot::ReceivedStatus;
use crate::status_sequence::supersedes;
use crate::{BackendServer, ClusterState, PlatformCodec, Snapshot};

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
        snapshot.server_statuses.insert(status.server, received);
        state.snapshot = Arc::new(snapshot);
        drop(state);
        self.changed.notify();
    }
}

/// Removes the status of an earlier start of a server, which has lost what it held.
pub(crate) fn remove_outdated_status(snapshot: &mut Snapshot, server: &BackendServer) {
    let known = snapshot.servers.get(&server.id);
    if known.is_some_and(|known| known.started_ms != server.started_ms) {
        snapshot.server_statuses.remove(&server.id);
    }
}
