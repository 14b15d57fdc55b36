//! Removal of rows from the state that is derived from them, and changes of servers.

use rw_observe::Event;
use rw_protocol::StoredRow;

use crate::departures::Departures;
use crate::{BackendServer, ClusterState, PlatformCodec, Snapshot};

impl<D: PlatformCodec> ClusterState<D> {
    pub(crate) fn log_server_change(&self, snapshot: &Snapshot, server: &BackendServer) {
        let old = snapshot.servers.get(&server.id);
        let unchanged = old.is_some_and(|old| {
            old.ready == server.ready && old.weights_version == server.weights_version
        });
        if !unchanged {
            let detail = format!(
                "server={} service={} addr={} ready={} weights={}",
                server.id, server.service, server.addr, server.ready, server.weights_version
            );
            self.recorder.emit(Event::ServerChanged, &detail);
        }
    }

    // Configurations and requested weights stay in effect when their row is
    // deleted.
    pub(crate) fn remove_row(
        &self,
        departures: &mut Departures,
        snapshot: &mut Snapshot,
        row: &StoredRow,
    ) {
        let tables = self.codec.tables();
        if *row.table == *tables.servers {
            snapshot.server_statuses.remove(&row.key);
            if let Some(server) = snapshot.servers.remove(&row.key) {
                departures.record(&server);
                let detail = format!("server={} gone=true row_version={}", row.key, row.version);
                self.recorder.emit(Event::ServerChanged, &detail);
            } else {
                departures.record_tombstone(&*self.codec, row);
            }
        } else if *row.table == *tables.daemons {
            snapshot.daemons.remove(&row.key);
            snapshot.weights_records.remove(&row.key);
            if snapshot.load_records.remove(&row.key).is_some() {
                snapshot.index_load_records();
            }
            snapshot.quarantines.remove(&row.key);
        } else {
            self.end_evacuation(snapshot, &row.key);
        }
    }
}
