//! An in-memory table service with injected faults, and clocks that step.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rw_coord::Clock;
use rw_platform::{Commit, Error as PlatformError, Result, Row, TableService, Transaction};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The request is lost and does not take effect.
    RequestLost,
    /// The table service refuses the request.
    Refused,
}

#[derive(Default)]
struct TableState {
    rows: BTreeMap<String, Row>,
    version: u64,
    fault: InjectedFault,
    commits: usize,
}

#[derive(Clone, Default)]
pub struct InMemoryTable(Arc<Mutex<TableState>>);

impl InMemoryTable {
    pub fn inject(&self, fault: InjectedFault) {
        self.0.lock().expect("no panic").fault = fault;
    }

    pub fn commits(&self) -> usize {
        self.0.lock().expect("no panic").commits
    }
}

impl TableService for InMemoryTable {
    fn commit(&self, txn: &Transaction) -> Result<Commit> {
        // Long enough for further writes to queue up for the next transaction.
        std::thread::sleep(Duration::from_millis(5));
        let mut state = self.0.lock().expect("no panic");
        state.commits += 1;
        match state.fault {
            InjectedFault::RequestLost => return Err(PlatformError::Unknown("lost".into())),
            InjectedFault::Refused => return Err(PlatformError::Refused("down".into())),
            InjectedFault::None | InjectedFault::AnswerLost => {}
        }
        let version_of = |key: &str| state.rows.get(key).map_or(0, |r| r.version);
        let failed = txn
            .conditions
            .iter()
            .filter(|c| version_of(&c.key) != c.version);
        let conflicts: Vec<String> = failed.map(|c| c.key.clone()).collect();
        let committed = conflicts.is_empty();
        if committed {
            state.version += 1;
            let version = state.version;
            for put in &txn.puts {
                let row = Row {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    version,
                };
                state.rows.insert(put.key.clone(), row);
            }
            for key in &txn.deletes {
                state.rows.remove(key);
            }
        }
        if state.fault == InjectedFault::AnswerLost {
            return Err(PlatformError::Unknown("lost".into()));
        }
        Ok(Commit {
            committed,
            version: state.version,
            conflicts,
        })
    }

    fn read(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.0.lock().expect("no panic").rows.get(key).cloned())
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let state = self.0.lock().expect("no panic");
        let rows = state
            .rows
            .values()
            .filter(|r| r.key.starts_with(prefix) && r.key.as_str() > after);
        Ok(rows.take(limit).cloned().collect())
    }
}

/// Clocks of a machine whose time of day can be stepped. Time passes equally on all
/// machines that share `elapsed_ms`.
#[derive(Clone, Default)]
pub struct SteppedClock {
    elapsed_ms: Arc<AtomicU64>,
    boot_ms: u64,
    offset_ms: Arc<AtomicI64>,
}

impl SteppedClock {
    pub fn other_machine(&self) -> Self {
        SteppedClock {
            elapsed_ms: self.elapsed_ms.clone(),
            boot_ms: 86_400_000,
            offset_ms: Arc::default(),
        }
    }

    pub fn set_elapsed_ms(&self, elapsed_ms: u64) {
        self.elapsed_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    pub fn step(&self, offset_ms: i64) {
        self.offset_ms.store(offset_ms, Ordering::Relaxed);
    }
}

impl Clock for SteppedClock {
    fn unix_ms(&self) -> u64 {
        let elapsed_ms = self.elapsed_ms.load(Ordering::Relaxed);
        (1_800_000_000_000 + elapsed_ms)
            .saturating_add_signed(self.offset_ms.load(Ordering::Relaxed))
    }

    fn uptime(&self) -> Duration {
        Duration::from_millis(self.boot_ms + self.elapsed_ms.load(Ordering::Relaxed))
    }
}
