//! Replicated state of the platform. A row is only ever replaced by a newer
//! version, whether it comes from the store or from another daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{uptime, ChangeNotifier};
use rw_observe::{Event, Recorder};
use rw_platform::Revision;
use rw_protocol::{Name, StoredRow, TableVersion};

use crate::contacts::Contacts;
use crate::departures::Departures;
use crate::eras::{era, has_earlier_rows};
use crate::kept_content::keep_newer_content;
use crate::row_compression::{compress, decompress};
use crate::server_statuses::{follow_start, remove_outdated_status};
use crate::{
    BackendServer, PlatformCodec, RowContent, Snapshot, StoredLoadRecord, StoredQuarantine,
    TimeSpan,
};

/// Tombstones of deleted rows kept so that other daemons learn of the deletion.
const MAX_TOMBSTONES: usize = 2000;
/// Time after the first start of the fleet in which servers register that hold the initial
/// weights. The hosts of later ones vouch for what they load.
const FIRST_START_TIME: Duration = Duration::from_secs(60);

#[derive(Default)]
pub(crate) struct State {
    rows: BTreeMap<(Name, Name), StoredRow>,
    table_versions: BTreeMap<Name, u64>,
    pub(crate) snapshot: Arc<Snapshot>,
    departures: Departures,
    // Whether rows of an earlier era of the store may remain.
    has_earlier_eras: bool,
    pub(crate) contacts: Contacts,
}

/// Rows of the platform's store as this daemon knows them, and the state
/// derived from them.
pub struct ClusterState<D> {
    pub(crate) codec: Arc<D>,
    pub(crate) recorder: Recorder,
    pub(crate) started_at: Duration,
    state: Mutex<State>,
    pub(crate) changed: ChangeNotifier,
    first_start: AtomicBool,
}

impl<D: PlatformCodec> ClusterState<D> {
    /// Creates an empty state.
    pub fn new(codec: Arc<D>, recorder: Recorder) -> Arc<Self> {
        Arc::new(ClusterState {
            codec,
            recorder,
            started_at: uptime(),
            state: Mutex::default(),
            changed: ChangeNotifier::default(),
            first_start: AtomicBool::new(false),
        })
    }

    /// Says whether the complete fleet starts for the first time: no host can have ordered
    /// a load before.
    pub fn set_first_start(&self, first_start: bool) {
        self.first_start.store(first_start, Ordering::Relaxed);
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current state.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.state().snapshot.clone()
    }

    /// Returns a receiver that is signalled on each change.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.changed.subscribe()
    }

    /// Version up to which each table is known.
    pub fn table_versions(&self) -> Vec<TableVersion> {
        let state = self.state();
        let versions = state
            .table_versions
            .iter()
            .map(|(table, version)| TableVersion {
                table: table.clone(),
                version: *version,
            });
        versions.collect()
    }

    /// Version up to which a table is known; 0 before its first read.
    pub fn table_version(&self, table: &str) -> u64 {
        self.state().table_versions.get(table).copied().unwrap_or(0)
    }

    /// Applies changed rows, which were made at an unknown time, and advances the versions
    /// of their tables.
    pub fn apply(&self, rows: Vec<StoredRow>, table_versions: &[TableVersion]) {
        self.apply_and_merge(rows, table_versions, None, |_| {});
    }

    /// Applies changed rows, which were made within `made`, and then what else came with
    /// them.
    pub(crate) fn apply_and_merge(
        &self,
        rows: Vec<StoredRow>,
        table_versions: &[TableVersion],
        made: Option<TimeSpan>,
        merge: impl FnOnce(&mut Snapshot),
    ) {
        let mut state = self.state();
        let mut snapshot = Snapshot::clone(&state.snapshot);
        let mut changed = false;
        for row in rows {
            let first_read = !state.table_versions.contains_key(&row.table);
            let made = made.filter(|_| !first_read);
            changed |= self.apply_row(&mut state, &mut snapshot, row, made);
        }
        merge(&mut snapshot);
        changed |= snapshot.store_clock != state.snapshot.store_clock
            || snapshot.requested_weights != state.snapshot.requested_weights
            || snapshot.evacuations != state.snapshot.evacuations;
        for table in table_versions {
            let is_first = !state.table_versions.contains_key(&table.table);
            let has_earlier_rows = is_first && has_earlier_rows(state.rows.values(), table);
            let known = state.table_versions.entry(table.table.clone()).or_default();
            let starts_era = *known > 0 && era(table.version) > era(*known);
            if starts_era {
                let (from, to) = (Revision::from(*known), Revision::from(table.version));
                let detail = format!(
                    "table={} era={} version={} previous_era={} previous_version={}",
                    table.table, to.era, to.version, from.era, from.version
                );
                self.recorder.emit(Event::StoreRestored, &detail);
            }
            *known = (*known).max(table.version);
            state.has_earlier_eras |= starts_era || has_earlier_rows;
            changed |= starts_era;
        }
        prune_tombstones(&mut state);
        if changed {
            snapshot.merge_recorded_times();
            state.snapshot = Arc::new(snapshot);
            drop(state);
            self.changed.notify();
        }
    }

    /// Replaces a complete table: known rows that are missing from it are
    /// marked as deleted. Those of an earlier era of the store stay for now, see
    /// [`drop_earlier_eras`](Self::drop_earlier_eras).
    pub fn replace_table(&self, table: &Name, rows: Vec<StoredRow>, version: u64) {
        self.replace_changed_table(table, rows, version, None);
    }

    /// Like [`replace_table`](Self::replace_table), with changes that were made within
    /// `made`.
    pub(crate) fn replace_changed_table(
        &self,
        table: &Name,
        mut rows: Vec<StoredRow>,
        version: u64,
        made: Option<TimeSpan>,
    ) {
        let found: BTreeSet<Name> = rows.iter().map(|row| row.key.clone()).collect();
        for ((row_table, key), old) in &self.state().rows {
            let is_missing = row_table == table && !found.contains(key) && !old.deleted;
            let is_same_era = era(old.version) == era(version);
            if is_missing && is_same_era && old.version <= version {
                rows.push(StoredRow {
                    version,
                    deleted: true,
                    packed: false,
                    value: Vec::new().into(),
                    ..old.clone()
                });
            }
        }
        let table_version = TableVersion {
            table: table.clone(),
            version,
        };
        self.apply_and_merge(rows, &[table_version], made, |_| {});
    }

    /// Whether rows of an earlier era of the store may remain.
    pub fn has_earlier_eras(&self) -> bool {
        self.state().has_earlier_eras
    }

    /// Removes the backend servers and daemons that have not been written in the
    /// current era of the store. Servers write their rows again within some seconds
    /// after the store came back from an older copy.
    pub fn drop_earlier_eras(&self) {
        let mut state = self.state();
        state.has_earlier_eras = false;
        let mut snapshot = Snapshot::clone(&state.snapshot);
        let operator_table = self.codec.tables().operator;
        let dropped: Vec<StoredRow> = state
            .rows
            .values()
            .filter(|row| {
                let current = state.table_versions.get(&row.table).copied();
                let is_earlier = era(row.version) < era(current.unwrap_or_default());
                is_earlier && *row.table != *operator_table
            })
            .cloned()
            .collect();
        for row in &dropped {
            state.rows.remove(&(row.table.clone(), row.key.clone()));
            self.remove_row(&mut state.departures, &mut snapshot, row);
        }
        if !dropped.is_empty() {
            state.snapshot = Arc::new(snapshot);
            drop(state);
            self.changed.notify();
        }
    }

    /// Era of the store from which a table is known.
    pub fn table_era(&self, table: &str) -> u32 {
        era(self.table_version(table))
    }

    /// Rows newer than the given table versions.
    pub fn rows_since(&self, table_versions: &[TableVersion]) -> Vec<StoredRow> {
        let state = self.state();
        let since = |table: &Name| {
            let found = table_versions.iter().find(|t| t.table == *table);
            found.map_or(0, |t| t.version)
        };
        let newer = state.rows.values().filter(|r| r.version > since(&r.table));
        newer.cloned().collect()
    }

    /// Whether this daemon has rows newer than the given table versions.
    pub fn is_ahead_of(&self, table_versions: &[TableVersion]) -> bool {
        !self.rows_since(table_versions).is_empty()
    }

    fn apply_row(
        &self,
        state: &mut State,
        snapshot: &mut Snapshot,
        row: StoredRow,
        made: Option<TimeSpan>,
    ) -> bool {
        let row_key = (row.table.clone(), row.key.clone());
        let known = state.rows.get(&row_key).map(|old| old.version);
        if known >= Some(row.version) {
            // Another daemon may have sent the row without knowing when it was made.
            if known == Some(row.version) && !row.deleted {
                if let (Some(made), Ok(content)) = (made, self.codec.decode(&decompress(&row))) {
                    snapshot.merge_time_made(&content, made);
                }
            }
            return false;
        }
        let mut row = compress(row);
        let is_server = *row.table == *self.codec.tables().servers;
        if is_server && row.deleted && row.value.as_ref().is_empty() {
            keep_newer_content(&mut row, state.rows.get(&row_key));
        }
        let content = match row.deleted {
            true => Ok(RowContent::Other),
            false => self.codec.decode(&decompress(&row)),
        };
        match content {
            Ok(content) => {
                let departures = &mut state.departures;
                if !self.apply_content(departures, snapshot, &row, content, made) {
                    keep_newer_content(&mut row, state.rows.get(&row_key));
                    row.deleted |= is_server && !snapshot.servers.contains_key(&row.key);
                }
            }
            Err(err) => {
                let detail = format!(
                    "table={} key={} reason={err:?}",
                    row.table,
                    row.key,
                    err = err.to_string()
                );
                self.recorder.emit(Event::RowUnreadable, &detail);
                self.remove_row(&mut state.departures, snapshot, &row);
            }
        }
        state.rows.insert(row_key, row);
        true
    }

    // Returns false for content that is older than what is in effect.
    fn apply_content(
        &self,
        departures: &mut Departures,
        snapshot: &mut Snapshot,
        row: &StoredRow,
        content: RowContent,
        made: Option<TimeSpan>,
    ) -> bool {
        match content {
            RowContent::Configuration(cfg) => {
                let in_force = snapshot.cfg.as_ref().map(|old| old.version);
                if in_force > Some(cfg.version) {
                    return false;
                }
                if in_force < Some(cfg.version) {
                    let detail = format!(
                        "version={} row_version={} routes={}",
                        cfg.version,
                        row.version,
                        cfg.routes.len()
                    );
                    self.recorder.emit(Event::ConfigurationInForce, &detail);
                    snapshot.cfg = Some(Arc::new(cfg));
                }
            }
            RowContent::Weights { model, version } => {
                return self.add_requested(snapshot, row.version, model, version, made);
            }
            RowContent::Server(server) => {
                if departures.is_outdated(&server) {
                    return false;
                }
                // An address belongs to the server that wrote last; the row of
                // a server that crashed at this address expires later.
                let conflict = |old: &BackendServer| old.addr == server.addr && old.id != server.id;
                let wrote_later =
                    |old: &&Arc<BackendServer>| conflict(old) && old.written_at > server.written_at;
                if snapshot.servers.values().any(|old| wrote_later(&old)) {
                    departures.record(&server);
                    return true;
                }
                for old in snapshot.servers.values().filter(|old| conflict(old)) {
                    departures.record(old);
                }
                snapshot.servers.retain(|_, old| !conflict(old));
                self.log_server_change(snapshot, &server);
                remove_outdated_status(snapshot, &server);
                let is_early = uptime() < self.started_at + FIRST_START_TIME;
                let first_start = is_early && self.first_start.load(Ordering::Relaxed);
                follow_start(snapshot, &server, first_start);
                self.record_cold(snapshot, &server);
                if !server.ready {
                    departures.record(&server);
                }
                snapshot.servers.insert(server.id.clone(), Arc::new(server));
            }
            RowContent::Daemon(daemon) => {
                snapshot.daemons.insert(daemon.name.clone(), daemon);
            }
            RowContent::WeightsRecord(record) => {
                snapshot.add_record(row.key.clone(), record, uptime());
            }
            RowContent::LoadRecord(record) => {
                let stored = StoredLoadRecord {
                    row_version: row.version,
                    record,
                };
                snapshot.load_records.insert(row.key.clone(), stored);
                snapshot.index_load_records();
            }
            RowContent::Evacuation(zone) => {
                self.add_evacuation(snapshot, &row.key, zone, made);
            }
            RowContent::Quarantine(record) => {
                let stored = StoredQuarantine {
                    row_version: row.version,
                    record,
                };
                snapshot.quarantines.insert(row.key.clone(), stored);
            }
            RowContent::Other => self.remove_row(departures, snapshot, row),
        }
        true
    }
}

fn prune_tombstones(state: &mut State) {
    let deleted = state.rows.values().filter(|row| row.deleted);
    let mut versions: Vec<u64> = deleted.map(|row| row.version).collect();
    if versions.len() > MAX_TOMBSTONES {
        versions.sort_unstable();
        let oldest = versions[versions.len() - MAX_TOMBSTONES];
        state
            .rows
            .retain(|_, row| !row.deleted || row.version >= oldest);
    }
}
