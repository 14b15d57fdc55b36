//! Replicated state of the platform. A row is only ever replaced by a newer
//! version, whether it comes from the store or from another daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{uptime, ChangeNotifier};
use rw_observe::{Event, Recorder};
use rw_protocol::{Name, RequestedVersionAge, ServerStatus, StoredRow, TableVersion};

use crate::snapshot::ReceivedStatus;
use crate::{BackendServer, Bounds, Daemon, PlatformCodec, RequestedWeights, RowContent, Snapshot};

/// Tombstones of deleted rows kept so that other daemons learn of the deletion.
const MAX_TOMBSTONES: usize = 2000;

/// Minimum size of rows that are compressed; compressing smaller ones saves
/// little.
const COMPRESSION_THRESHOLD_BYTES: usize = 4096;
/// Requested versions kept per model; older ones have long been rolled out.
const MAX_REQUESTED_VERSIONS: usize = 8;

#[derive(Default)]
struct State {
    rows: BTreeMap<(Name, Name), StoredRow>,
    table_versions: BTreeMap<Name, u64>,
    snapshot: Arc<Snapshot>,
    // Entries that announced themselves and may not be registered in the store yet.
    announced: BTreeMap<Name, Daemon>,
}

/// Rows of the platform's store as this daemon knows them, and the state
/// derived from them.
pub struct ClusterState<D> {
    codec: Arc<D>,
    recorder: Recorder,
    state: Mutex<State>,
    changed: ChangeNotifier,
}

impl<D: PlatformCodec> ClusterState<D> {
    /// Creates an empty state.
    pub fn new(codec: Arc<D>, recorder: Recorder) -> Arc<Self> {
        Arc::new(ClusterState {
            codec,
            recorder,
            state: Mutex::default(),
            changed: ChangeNotifier::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
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

    /// Entry that registered in the store or announced itself.
    pub fn entry(&self, name: &Name) -> Option<Daemon> {
        let state = self.state();
        let registered = state.snapshot.daemons.get(name);
        registered.or_else(|| state.announced.get(name)).cloned()
    }

    /// Adds an entry that may not be registered in the store yet.
    pub fn add_announced(&self, entry: Daemon) {
        self.state().announced.insert(entry.name.clone(), entry);
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

    /// Applies changed rows and advances the versions of their tables.
    pub fn apply(&self, rows: Vec<StoredRow>, table_versions: &[TableVersion]) {
        let mut state = self.state();
        let mut snapshot = Snapshot::clone(&state.snapshot);
        let mut changed = false;
        for row in rows {
            let first_read = !state.table_versions.contains_key(&row.table);
            changed |= self.apply_row(&mut state, &mut snapshot, row, first_read);
        }
        for table in table_versions {
            let known = state.table_versions.entry(table.table.clone()).or_default();
            *known = (*known).max(table.version);
        }
        prune_tombstones(&mut state);
        if changed {
            state.snapshot = Arc::new(snapshot);
            drop(state);
            self.changed.notify();
        }
    }

    /// Replaces a complete table: known rows that are missing from it are
    /// marked as deleted.
    pub fn replace_table(&self, table: &Name, mut rows: Vec<StoredRow>, version: u64) {
        let found: BTreeSet<Name> = rows.iter().map(|row| row.key.clone()).collect();
        for ((row_table, key), old) in &self.state().rows {
            if row_table == table && !found.contains(key) && !old.deleted && old.version <= version
            {
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
        self.apply(rows, &[table_version]);
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

    /// Ages of the requested weights, without models whose ages are not known
    /// yet. Versions requested before this daemon started count as past the
    /// rollout deadline once the settling time has passed.
    pub fn weights_ages(&self, bounds: &Bounds) -> Vec<RequestedVersionAge> {
        let now = uptime();
        let snapshot = self.snapshot();
        let age = |requested: &RequestedWeights| now.saturating_sub(requested.received_at);
        let is_age_known = |versions: &Vec<RequestedWeights>| {
            let mut before_start = versions.iter().filter(|requested| requested.before_start);
            before_start.all(|requested| age(requested) >= bounds.settling)
        };
        let models = snapshot
            .requested_weights
            .iter()
            .filter(|(_, versions)| is_age_known(versions));
        let all = models
            .flat_map(|(model, versions)| versions.iter().map(move |requested| (model, requested)));
        all.map(|(model, requested)| {
            let age = match requested.before_start {
                true => age(requested).max(bounds.rollout_deadline),
                false => age(requested),
            };
            RequestedVersionAge {
                model: model.clone(),
                version: requested.version,
                age_ms: age.as_millis() as u64,
            }
        })
        .collect()
    }

    /// Merges ages of requested weights from another daemon. This daemon may
    /// have started after the request and know only the latest version. The
    /// oldest age wins, since other daemons may have learned of the request
    /// late.
    pub fn merge_weights_ages(&self, ages: &[RequestedVersionAge]) {
        let now = uptime();
        let mut state = self.state();
        let mut weights = state.snapshot.requested_weights.clone();
        for age in ages {
            let received_at = now.saturating_sub(Duration::from_millis(age.age_ms));
            if let Some(versions) = weights.get_mut(&age.model) {
                merge_requested(versions, age.version, received_at);
            }
        }
        if weights != state.snapshot.requested_weights {
            let mut snapshot = Snapshot::clone(&state.snapshot);
            snapshot.requested_weights = weights;
            state.snapshot = Arc::new(snapshot);
        }
    }

    /// Applies the status of a backend server, sent by the daemon beside it,
    /// unless a newer one was received before.
    pub fn apply_status(&self, status: ServerStatus) {
        let mut state = self.state();
        let old = state.snapshot.server_statuses.get(&status.server);
        if old.is_some_and(|old| old.status.sequence >= status.sequence) {
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

    fn apply_row(
        &self,
        state: &mut State,
        snapshot: &mut Snapshot,
        row: StoredRow,
        first_read: bool,
    ) -> bool {
        let row_key = (row.table.clone(), row.key.clone());
        if state
            .rows
            .get(&row_key)
            .is_some_and(|old| old.version >= row.version)
        {
            return false;
        }
        let row = compress(row);
        let content = match row.deleted {
            true => Ok(RowContent::Other),
            false => self.codec.decode(&decompress(&row)),
        };
        match content {
            Ok(content) => self.apply_content(snapshot, &row, content, first_read),
            Err(err) => {
                let detail = format!(
                    "table={} key={} reason={err:?}",
                    row.table,
                    row.key,
                    err = err.to_string()
                );
                self.recorder.emit(Event::RowUnreadable, &detail);
                self.remove_row(snapshot, &row);
            }
        }
        state.rows.insert(row_key, row);
        true
    }

    fn apply_content(
        &self,
        snapshot: &mut Snapshot,
        row: &StoredRow,
        content: RowContent,
        first_read: bool,
    ) {
        match content {
            RowContent::Configuration(cfg) => {
                let newer = snapshot
                    .cfg
                    .as_ref()
                    .is_none_or(|old| old.version < cfg.version);
                if newer {
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
                if snapshot.target_version(&model) < version {
                    let detail = format!("model={model} version={version}");
                    self.recorder.emit(Event::WeightsNamed, &detail);
                    let requested = RequestedWeights {
                        version,
                        received_at: uptime(),
                        before_start: first_read,
                    };
                    let versions = snapshot.requested_weights.entry(model).or_default();
                    versions.push(requested);
                    if versions.len() > MAX_REQUESTED_VERSIONS {
                        versions.remove(0);
                    }
                }
            }
            RowContent::Server(server) => {
                // An address belongs to the server that wrote last; the row of
                // a server that crashed at this address expires later.
                let conflict = |old: &BackendServer| old.addr == server.addr && old.id != server.id;
                let wrote_later =
                    |old: &&Arc<BackendServer>| conflict(old) && old.written_at > server.written_at;
                if snapshot.servers.values().any(|old| wrote_later(&old)) {
                    return;
                }
                snapshot.servers.retain(|_, old| !conflict(old));
                self.log_server_change(snapshot, &server);
                snapshot.servers.insert(server.id.clone(), Arc::new(server));
            }
            RowContent::Daemon(daemon) => {
                snapshot.daemons.insert(daemon.name.clone(), daemon);
            }
            RowContent::Other => self.remove_row(snapshot, row),
        }
    }

    fn log_server_change(&self, snapshot: &Snapshot, server: &BackendServer) {
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
    fn remove_row(&self, snapshot: &mut Snapshot, row: &StoredRow) {
        let tables = self.codec.tables();
        if *row.table == *tables.servers {
            snapshot.server_statuses.remove(&row.key);
            if snapshot.servers.remove(&row.key).is_some() {
                let detail = format!("server={} gone=true row_version={}", row.key, row.version);
                self.recorder.emit(Event::ServerChanged, &detail);
            }
        } else if *row.table == *tables.daemons {
            snapshot.daemons.remove(&row.key);
        }
    }
}

// A version newer than the last one is ignored: it arrives with its own row.
fn merge_requested(versions: &mut Vec<RequestedWeights>, version: u64, received_at: Duration) {
    let requested = RequestedWeights {
        version,
        received_at,
        before_start: false,
    };
    match versions
        .iter()
        .position(|requested| requested.version >= version)
    {
        Some(at) if versions[at].version == version => {
            let earlier = versions[at].before_start || received_at < versions[at].received_at;
            if earlier {
                versions[at] = requested;
            }
        }
        Some(at) if versions.len() < MAX_REQUESTED_VERSIONS => versions.insert(at, requested),
        _ => {}
    }
}

// Large rows are stored and forwarded compressed.
fn compress(row: StoredRow) -> StoredRow {
    if row.packed || row.value.as_ref().len() < COMPRESSION_THRESHOLD_BYTES {
        return row;
    }
    let value = lz4_flex::compress_prepend_size(row.value.as_ref());
    StoredRow {
        value: value.into(),
        packed: true,
        ..row
    }
}

// A value that cannot be decompressed is returned as it is and fails to decode.
fn decompress(row: &StoredRow) -> StoredRow {
    let value = match row.packed {
        true => lz4_flex::decompress_size_prepended(row.value.as_ref()),
        false => return row.clone(),
    };
    match value {
        Ok(value) => StoredRow {
            value: value.into(),
            packed: false,
            ..row.clone()
        },
        Err(err) => {
            log::warn!(
                "cannot decompress row {} of table {}; treating it as unreadable: {err}",
                row.key,
                row.table
            );
            row.clone()
        }
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
