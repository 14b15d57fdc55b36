//! Servers that left, remembered across the eras of the store.

use std::collections::BTreeMap;

use rw_platform::Revision;
use rw_protocol::{Name, StoredRow};

use crate::row_compression::decompress;
use crate::{BackendServer, PlatformCodec, RowContent};

/// Maximum number of departures that are remembered; the oldest are dropped first.
const MAX_DEPARTURES: usize = 2000;

/// Remembers the last heartbeat of servers that drain or are gone. A store that came
/// back from an older copy lists them as they were before, until they write again.
#[derive(Debug, Default)]
pub struct Departures {
    by_server: BTreeMap<Name, Departure>,
}

#[derive(Debug)]
struct Departure {
    started_ms: u64,
    heartbeat: u64,
    written_at: u64,
}

impl Departures {
    /// Records that a server drains or is gone, with its last known row.
    pub fn record(&mut self, server: &BackendServer) {
        let departure = Departure {
            started_ms: server.started_ms,
            heartbeat: server.heartbeat,
            written_at: server.written_at,
        };
        self.by_server.insert(server.id.clone(), departure);
        if self.by_server.len() > MAX_DEPARTURES {
            let oldest = self.by_server.iter().min_by_key(|(_, d)| d.written_at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.by_server.remove(&id);
            }
        }
    }

    /// Records that a server left before this daemon learned of it, with the content that
    /// its deleted row kept.
    pub fn record_tombstone<D: PlatformCodec>(&mut self, codec: &D, row: &StoredRow) {
        if !row.deleted || row.value.as_ref().is_empty() {
            return;
        }
        match codec.decode(&decompress(row)) {
            Ok(RowContent::Server(server)) => self.record(&server),
            Ok(_) => log::debug!("deleted row {} held no server", row.key),
            Err(err) => log::debug!("content of deleted row {} is unreadable: {err}", row.key),
        }
    }

    /// Whether a row is an older copy, of an earlier heartbeat than the one before the
    /// server left. Within one era the store's versions order the rows.
    pub fn is_outdated(&self, server: &BackendServer) -> bool {
        self.by_server.get(&server.id).is_some_and(|departure| {
            Revision::from(server.written_at).era > Revision::from(departure.written_at).era
                && server.started_ms == departure.started_ms
                && server.heartbeat <= departure.heartbeat
        })
    }
}
