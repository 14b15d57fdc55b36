//! Record of the weights that a backend server has loaded from verified chunks. The host
//! beside it keeps the record in the platform's store, so that hosts and entries that
//! start know which weights may serve.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rw_observe::Event;
use rw_platform::{Error, TableFeed};
use rw_protocol::Name;
use tokio::time::timeout;

use crate::eras::era;
use crate::{BackendServer, Cx, PlatformCodec, Snapshot};

/// Interval at which the record is compared with the stored one.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a write, until the store has delivered the row.
const REWRITE_DELAY: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Refusals in a row of a conditional write after which the condition is left out. The
/// known row is current by then, so the store refuses for another reason.
const MAX_CONFLICTS: u32 = 4;

/// Weights of a backend server that count as sound, or the statement that those recorded
/// before no longer do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadRecord {
    /// Id of the server.
    pub server: Name,
    /// Start of the server in Unix milliseconds.
    pub started_ms: u64,
    /// Number of load orders that took effect since then.
    pub loads: u64,
    /// Version of the sound weights; 0 if none are.
    pub version: u64,
    /// Id of the manifest whose chunks were verified; empty if the server held the weights
    /// from its start and the host does not know the manifest.
    pub manifest: Name,
    /// Position among the statuses of the host.
    pub sequence: u64,
}

impl LoadRecord {
    /// Whether this is a record of the same weights in the same lifetime of the server.
    pub fn proves_same(&self, other: &LoadRecord) -> bool {
        let is_same_manifest = self.manifest == other.manifest
            || self.manifest.is_empty()
            || other.manifest.is_empty();
        self.server == other.server
            && self.started_ms == other.started_ms
            && self.loads == other.loads
            && self.version == other.version
            && is_same_manifest
    }
}

/// A record as it is in the store.
#[derive(Clone, Debug)]
pub struct StoredLoadRecord {
    /// Version of its row.
    pub row_version: u64,
    /// The record.
    pub record: LoadRecord,
}

impl Snapshot {
    /// Latest record of a server in its current lifetime.
    pub(crate) fn load_record(&self, server: &BackendServer) -> Option<&LoadRecord> {
        self.latest_records
            .get(&(server.id.clone(), server.started_ms))
    }

    /// Finds the latest records again; to be called after their rows have changed. Entries
    /// look them up for each server at each selection.
    pub(crate) fn index_load_records(&mut self) {
        let mut latest: BTreeMap<(Name, u64), LoadRecord> = BTreeMap::new();
        for StoredLoadRecord { record, .. } in self.load_records.values() {
            let key = (record.server.clone(), record.started_ms);
            let known = latest.get(&key);
            if known.is_none_or(|known| known.sequence < record.sequence) {
                latest.insert(key, record.clone());
            }
        }
        self.latest_records = latest;
    }
}

/// Record that a host wants the store to have; `None` if it leaves the stored one.
#[derive(Clone, Default)]
pub(crate) struct WantedRecord(Arc<Mutex<Option<LoadRecord>>>);

impl WantedRecord {
    pub(crate) fn get(&self) -> Option<LoadRecord> {
        let wanted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        wanted.clone()
    }

    pub(crate) fn set(&self, record: Option<LoadRecord>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = record;
    }
}

/// Writes the record of the backend server beside a host whenever the store lacks it: also
/// after the store was away, or came back from an older copy.
pub(crate) async fn record_loads<D: PlatformCodec, S: TableFeed>(
    cx: Arc<Cx<D>>,
    store: S,
    wanted: WantedRecord,
) {
    let Some(backend) = cx.settings.backend else {
        return;
    };
    let key = cx.codec.load_record_key(backend);
    let table = cx.codec.tables().daemons;
    let ticks = cx.timer.subscribe(CHECK_INTERVAL);
    let mut conflicts = 0;
    while ticks.recv_async().await.is_ok() {
        // Before the table is known, the condition of the write is not.
        let Some(record) = wanted.get().filter(|_| cx.cluster.table_version(table) > 0) else {
            continue;
        };
        let snapshot = cx.cluster.snapshot();
        let stored = snapshot.load_records.get(&key);
        // A row of an earlier era is known here, but the store may lack it.
        let stored = stored.filter(|s| era(s.row_version) == cx.cluster.table_era(table));
        if stored.is_some_and(|stored| stored.record.proves_same(&record)) {
            conflicts = 0;
            continue;
        }
        // A daemon before this one may still have a write on its way.
        let expected = stored.map(|stored| stored.row_version);
        let expected = expected.filter(|_| conflicts < MAX_CONFLICTS);
        let value = cx.codec.encode_load_record(&record);
        let write = store.write_row_if(table, &key, &value, expected);
        match timeout(WRITE_TIMEOUT, write).await {
            Ok(Ok(())) => {
                conflicts = 0;
                let detail = format!(
                    "server={} server_started_ms={} loads={} version={} manifest={}",
                    record.server, record.started_ms, record.loads, record.version, record.manifest
                );
                cx.recorder.emit(Event::LoadRecorded, &detail);
            }
            Ok(Err(Error::Conflict(msg))) => {
                conflicts += u32::from(cx.sync.is_connected() || conflicts > 0);
                log::debug!("recording loaded weights met another row, retrying: {msg}");
            }
            Ok(Err(err)) => log::debug!("recording loaded weights failed, retrying: {err}"),
            Err(_) => log::debug!("recording loaded weights timed out, retrying"),
        }
        tokio::time::sleep(REWRITE_DELAY).await;
    }
}
