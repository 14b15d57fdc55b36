//! What a daemon knows of the platform. Rows only ever get newer, whether they
//! come from the store or from another daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{uptime, ChangeNotifier};
use rw_observe::{Event, Recorder};
use rw_protocol::{Name, RequestedVersionAge, ServerStatus, StoredRow, TableVersion};

use crate::snapshot::Noticed;
use crate::{BackendServer, Bounds, Dialect, Fact, NamedWeights, Snapshot};

/// Rows of removed entries that are kept for other daemons.
const MAX_TOMBSTONES: usize = 2000;

/// Size from which rows are compressed, in bytes; below it little is saved.
const PACK_BYTES: usize = 4096;
/// Versions kept of a model's names; older ones have long been in force.
const NAMES_KEPT: usize = 8;

#[derive(Default)]
struct State {
    rows: BTreeMap<(Name, Name), StoredRow>,
    known: BTreeMap<Name, u64>,
    view: Arc<Snapshot>,
}

/// Shared knowledge of one daemon.
pub struct Beliefs<D> {
    dialect: Arc<D>,
    recorder: Recorder,
    state: Mutex<State>,
    changed: ChangeNotifier,
}

impl<D: Dialect> Beliefs<D> {
    /// Nothing is known yet.
    pub fn new(dialect: Arc<D>, recorder: Recorder) -> Arc<Self> {
        Arc::new(Beliefs {
            dialect,
            recorder,
            state: Mutex::default(),
            changed: ChangeNotifier::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state as of now.
    pub fn view(&self) -> Arc<Snapshot> {
        self.state().view.clone()
    }

    /// Receives a signal for each change.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.changed.subscribe()
    }

    /// How far each table is known.
    pub fn known(&self) -> Vec<TableVersion> {
        let state = self.state();
        let versions = state.known.iter().map(|(table, version)| TableVersion {
            table: table.clone(),
            version: *version,
        });
        versions.collect()
    }

    /// Version up to which a table is known; 0 before it was read.
    pub fn known_version(&self, table: &str) -> u64 {
        self.state().known.get(table).copied().unwrap_or(0)
    }

    /// Takes in rows that changed, and how far that brings the table.
    pub fn apply(&self, rows: Vec<StoredRow>, known: &[TableVersion]) {
        let mut state = self.state();
        let mut view = Snapshot::clone(&state.view);
        let mut changed = false;
        for row in rows {
            let first = !state.known.contains_key(&row.table);
            changed |= self.take(&mut state, &mut view, row, first);
        }
        for table in known {
            let at = state.known.entry(table.table.clone()).or_default();
            *at = (*at).max(table.version);
        }
        prune(&mut state);
        if changed {
            state.view = Arc::new(view);
            drop(state);
            self.changed.notify();
        }
    }

    /// Takes in a whole table: rows that it lacks are gone.
    pub fn replace(&self, table: &Name, mut rows: Vec<StoredRow>, version: u64) {
        let found: BTreeSet<Name> = rows.iter().map(|row| row.key.clone()).collect();
        for ((of, key), old) in &self.state().rows {
            if of == table && !found.contains(key) && !old.deleted && old.version <= version {
                rows.push(StoredRow {
                    version,
                    deleted: true,
                    packed: false,
                    value: Vec::new().into(),
                    ..old.clone()
                });
            }
        }
        let known = TableVersion {
            table: table.clone(),
            version,
        };
        self.apply(rows, &[known]);
    }

    /// Rows that changed after what another daemon knows.
    pub fn rows_since(&self, known: &[TableVersion]) -> Vec<StoredRow> {
        let state = self.state();
        let since = |table: &Name| {
            let found = known.iter().find(|t| t.table == *table);
            found.map_or(0, |t| t.version)
        };
        let newer = state.rows.values().filter(|r| r.version > since(&r.table));
        newer.cloned().collect()
    }

    /// Whether another daemon knows less than this one.
    pub fn is_ahead_of(&self, known: &[TableVersion]) -> bool {
        !self.rows_since(known).is_empty()
    }

    /// How long ago weights were named. Nothing of a model of which this daemon
    /// cannot tell yet; names from before its start count as due once it has
    /// settled, as they do for its own requests.
    pub fn named_ages(&self, bounds: &Bounds) -> Vec<RequestedVersionAge> {
        let now = uptime();
        let view = self.view();
        let age = |named: &NamedWeights| now.saturating_sub(named.since);
        let can_tell = |names: &Vec<NamedWeights>| {
            let mut unseen = names.iter().filter(|named| named.before_start);
            unseen.all(|named| age(named) >= bounds.settling)
        };
        let told = view.weights.iter().filter(|(_, names)| can_tell(names));
        let all = told.flat_map(|(model, names)| names.iter().map(move |named| (model, named)));
        all.map(|(model, named)| {
            let age = match named.before_start {
                true => age(named).max(bounds.weights_in_force),
                false => age(named),
            };
            RequestedVersionAge {
                model: model.clone(),
                version: named.version,
                age_ms: age.as_millis() as u64,
            }
        })
        .collect()
    }

    /// Takes in when weights were named, from a daemon that saw it: this one may
    /// have started only afterwards, and know the last name alone. The oldest
    /// word counts, since others may have come late.
    pub fn note_named(&self, ages: &[RequestedVersionAge]) {
        let now = uptime();
        let mut state = self.state();
        let mut weights = state.view.weights.clone();
        for age in ages {
            let since = now.saturating_sub(Duration::from_millis(age.age_ms));
            if let Some(names) = weights.get_mut(&age.model) {
                note_name(names, age.version, since);
            }
        }
        if weights != state.view.weights {
            let mut view = Snapshot::clone(&state.view);
            view.weights = weights;
            state.view = Arc::new(view);
        }
    }

    /// Takes in what a daemon says of the backend server beside it.
    pub fn notice(&self, notice: ServerStatus) {
        let mut state = self.state();
        let old = state.view.notices.get(&notice.server);
        if old.is_some_and(|old| old.notice.sequence >= notice.sequence) {
            return;
        }
        let mut view = Snapshot::clone(&state.view);
        let noticed = Noticed {
            at: uptime(),
            notice: notice.clone(),
        };
        view.notices.insert(notice.server, noticed);
        state.view = Arc::new(view);
        drop(state);
        self.changed.notify();
    }

    fn take(&self, state: &mut State, view: &mut Snapshot, row: StoredRow, first: bool) -> bool {
        let slot = (row.table.clone(), row.key.clone());
        if state
            .rows
            .get(&slot)
            .is_some_and(|old| old.version >= row.version)
        {
            return false;
        }
        let row = pack(row);
        let fact = match row.deleted {
            true => Ok(Fact::Other),
            false => self.dialect.decode(&unpack(&row)),
        };
        match fact {
            Ok(fact) => self.learn(view, &row, fact, first),
            Err(err) => {
                let detail = format!(
                    "table={} key={} reason={err:?}",
                    row.table,
                    row.key,
                    err = err.to_string()
                );
                self.recorder.emit(Event::RowUnreadable, &detail);
                self.forget(view, &row);
            }
        }
        state.rows.insert(slot, row);
        true
    }

    fn learn(&self, view: &mut Snapshot, row: &StoredRow, fact: Fact, first: bool) {
        match fact {
            Fact::Configuration(cfg) => {
                let newer = view
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
                    view.cfg = Some(Arc::new(cfg));
                }
            }
            Fact::Weights { model, version } => {
                if view.wanted(&model) < version {
                    let detail = format!("model={model} version={version}");
                    self.recorder.emit(Event::WeightsNamed, &detail);
                    let named = NamedWeights {
                        version,
                        since: uptime(),
                        before_start: first,
                    };
                    let names = view.weights.entry(model).or_default();
                    names.push(named);
                    if names.len() > NAMES_KEPT {
                        names.remove(0);
                    }
                }
            }
            Fact::Server(server) => {
                // An address belongs to the server that wrote last; the entry
                // of one that died there lapses later.
                let same = |old: &BackendServer| old.addr == server.addr && old.id != server.id;
                let newer =
                    |old: &&Arc<BackendServer>| same(old) && old.written_at > server.written_at;
                if view.servers.values().any(|old| newer(&old)) {
                    return;
                }
                view.servers.retain(|_, old| !same(old));
                self.note_server(view, &server);
                view.servers.insert(server.id.clone(), Arc::new(server));
            }
            Fact::Daemon(daemon) => {
                view.daemons.insert(daemon.name.clone(), daemon);
            }
            Fact::Other => self.forget(view, row),
        }
    }

    fn note_server(&self, view: &Snapshot, server: &BackendServer) {
        let old = view.servers.get(&server.id);
        let same =
            old.is_some_and(|old| old.ready == server.ready && old.weights == server.weights);
        if !same {
            let detail = format!(
                "server={} service={} addr={} ready={} weights={}",
                server.id, server.service, server.addr, server.ready, server.weights
            );
            self.recorder.emit(Event::ServerChanged, &detail);
        }
    }

    // Configurations and named weights stay in force when their row is gone.
    fn forget(&self, view: &mut Snapshot, row: &StoredRow) {
        let tables = self.dialect.tables();
        if *row.table == *tables.servers {
            view.notices.remove(&row.key);
            if view.servers.remove(&row.key).is_some() {
                let detail = format!("server={} gone=true row_version={}", row.key, row.version);
                self.recorder.emit(Event::ServerChanged, &detail);
            }
        } else if *row.table == *tables.daemons {
            view.daemons.remove(&row.key);
        }
    }
}

// A newer version than the last one comes with its own row.
fn note_name(names: &mut Vec<NamedWeights>, version: u64, since: Duration) {
    let seen = NamedWeights {
        version,
        since,
        before_start: false,
    };
    match names.iter().position(|named| named.version >= version) {
        Some(at) if names[at].version == version => {
            let earlier = names[at].before_start || since < names[at].since;
            if earlier {
                names[at] = seen;
            }
        }
        Some(at) if names.len() < NAMES_KEPT => names.insert(at, seen),
        _ => {}
    }
}

// Large rows are kept and passed on compressed.
fn pack(row: StoredRow) -> StoredRow {
    if row.packed || row.value.as_ref().len() < PACK_BYTES {
        return row;
    }
    let value = lz4_flex::compress_prepend_size(row.value.as_ref());
    StoredRow {
        value: value.into(),
        packed: true,
        ..row
    }
}

// A value that cannot be unpacked fails to decode as it is.
fn unpack(row: &StoredRow) -> StoredRow {
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
            log::warn!("row {} of {}: {err}", row.key, row.table);
            row.clone()
        }
    }
}

fn prune(state: &mut State) {
    let gone = state.rows.values().filter(|row| row.deleted);
    let mut versions: Vec<u64> = gone.map(|row| row.version).collect();
    if versions.len() > MAX_TOMBSTONES {
        versions.sort_unstable();
        let oldest = versions[versions.len() - MAX_TOMBSTONES];
        state
            .rows
            .retain(|_, row| !row.deleted || row.version >= oldest);
    }
}
