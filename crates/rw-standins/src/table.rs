//! In-memory table with versioned rows and conditional transactions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub(crate) struct Condition {
    pub(crate) key: String,
    pub(crate) version: u64,
}

#[derive(Deserialize)]
pub(crate) struct Put {
    pub(crate) key: String,
    pub(crate) value: String,
}

#[derive(Deserialize)]
pub(crate) struct Transaction {
    pub(crate) conditions: Vec<Condition>,
    pub(crate) puts: Vec<Put>,
    pub(crate) deletes: Vec<String>,
}

#[derive(Serialize)]
pub(crate) struct CommitResponse {
    pub(crate) committed: bool,
    pub(crate) version: u64,
    pub(crate) conflicts: Vec<String>,
}

#[derive(Clone)]
#[derive(Serialize)]
pub(crate) struct Row {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) version: u64,
}

#[derive(Default)]
pub(crate) struct Table {
    pub(crate) rows: BTreeMap<String, Row>,
    last_version: u64,
}

impl Table {
    /// Applies a transaction atomically. If a row is not at the version that a
    /// condition expects, nothing is changed and the row's key is a conflict;
    /// version 0 stands for a row that does not exist.
    pub(crate) fn apply(&mut self, txn: Transaction) -> CommitResponse {
        let version_of = |key: &str| self.rows.get(key).map_or(0, |row| row.version);
        let mismatched = txn
            .conditions
            .iter()
            .filter(|c| version_of(&c.key) != c.version);
        let conflicts: Vec<String> = mismatched.map(|c| c.key.clone()).collect();
        if !conflicts.is_empty() {
            return CommitResponse {
                committed: false,
                version: 0,
                conflicts,
            };
        }
        self.last_version += 1;
        let version = self.last_version;
        for Put { key, value } in txn.puts {
            let row = Row {
                key: key.clone(),
                value,
                version,
            };
            self.rows.insert(key, row);
        }
        for key in txn.deletes {
            self.rows.remove(&key);
        }
        CommitResponse {
            committed: true,
            version,
            conflicts,
        }
    }
}
