//! Backend servers that are cold by their own rows.

use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::Name;

use crate::{BackendServer, ClusterState, PlatformCodec, Snapshot};

impl Snapshot {
    /// Uptime of this machine until which a server is cold by its row; zero if it is not.
    pub fn cold_until(&self, server: &Name) -> Duration {
        self.cold_servers.get(server).copied().unwrap_or_default()
    }
}

impl<D: PlatformCodec> ClusterState<D> {
    // A row may arrive late, so the server is no longer cold than this.
    pub(crate) fn record_cold(&self, snapshot: &mut Snapshot, server: &BackendServer) {
        let now = uptime();
        let was_cold = now < snapshot.cold_until(&server.id);
        if server.cold.is_zero() {
            snapshot.cold_servers.remove(&server.id);
            return;
        }
        snapshot.cold_servers.retain(|_, until| now < *until);
        let cold_until = now.saturating_add(server.cold);
        snapshot.cold_servers.insert(server.id.clone(), cold_until);
        if !was_cold {
            let detail = format!("server={} cold_ms={}", server.id, server.cold.as_millis());
            self.recorder.emit(Event::ServerCold, &detail);
        }
    }
}
