use rw_platform::{Condition, Put, Row, TableService, Transaction};

use crate::{Error, Result};

/// Maximum rows read by one scan of the log.
const SCAN_PAGE_ROWS: usize = 256;

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entry was appended under this number.
    Written(u64),
    /// Another entry already follows the base; the log's last entry now has this
    /// number. Nothing was written.
    Stale(u64),
}

/// Append-only log of numbered entries in the table service.
///
/// An append names the number of the entry that it follows, so of two concurrent
/// writers only one succeeds and the other gets [`AppendOutcome::Stale`]. Numbers
/// only increase, and entries never change.
pub struct AppendLog<T> {
    table: T,
    name: String,
}

impl<T: TableService> AppendLog<T> {
    /// Creates a handle to the log that is stored in rows under `name`.
    pub fn new(table: T, name: &str) -> Self {
        AppendLog {
            table,
            name: name.to_string(),
        }
    }

    fn head_key(&self) -> String {
        format!("{}/head", self.name)
    }

    fn entry_key(&self, number: u64) -> String {
        format!("{}/entry/{number:016}", self.name)
    }

    /// Returns the number of the last entry, 0 if there is none.
    pub fn head(&self) -> Result<u64> {
        Ok(self.read_head()?.0)
    }

    // Number of the last entry and version of the row that holds it.
    fn read_head(&self) -> Result<(u64, u64)> {
        let key = self.head_key();
        let Some(row) = self.table.read(&key)? else {
            return Ok((0, 0));
        };
        let number = row
            .value
            .parse()
            .map_err(|_| Error::Corrupt(key, format!("'{}' is not a number", row.value)))?;
        Ok((number, row.version))
    }

    /// Returns the entries after `number`, oldest first.
    pub fn entries_after(&self, number: u64) -> Result<Vec<(u64, String)>> {
        let prefix = format!("{}/entry/", self.name);
        let mut out = Vec::new();
        let mut after = self.entry_key(number);
        loop {
            let rows = self.table.scan(&prefix, &after, SCAN_PAGE_ROWS)?;
            let is_full_page = rows.len() == SCAN_PAGE_ROWS;
            if let Some(last) = rows.last() {
                after = last.key.clone();
            }
            for row in rows {
                out.push(self.parse_entry(row)?);
            }
            if !is_full_page {
                return Ok(out);
            }
        }
    }

    fn parse_entry(&self, row: Row) -> Result<(u64, String)> {
        let number = row.key.rsplit('/').next().and_then(|n| n.parse().ok());
        match number {
            Some(number) => Ok((number, row.value)),
            None => Err(Error::Corrupt(row.key, "no number in the key".to_string())),
        }
    }

    /// Appends an entry after number `base`. `unique_id` occurs in `value` and in no
    /// other entry, so if the answer is lost, reading the entry back shows whether
    /// the append took effect.
    pub fn append(&self, base: u64, value: &str, unique_id: &str) -> Result<AppendOutcome> {
        let (head, version) = self.read_head()?;
        if head != base {
            return self.resolve(base, unique_id, AppendOutcome::Stale(head));
        }
        let txn = self.transaction(base + 1, version, value);
        match self.table.commit(&txn) {
            Ok(commit) if commit.committed => Ok(AppendOutcome::Written(base + 1)),
            Ok(_) => {
                let head = self.head()?;
                self.resolve(base, unique_id, AppendOutcome::Stale(head))
            }
            Err(rw_platform::Error::Unknown(msg)) => {
                let head = self.head()?;
                if head == base {
                    return Err(rw_platform::Error::Unknown(msg).into());
                }
                self.resolve(base, unique_id, AppendOutcome::Stale(head))
            }
            Err(err) => Err(err.into()),
        }
    }

    // Checks whether the entry after `base` is the one of this append.
    fn resolve(
        &self,
        base: u64,
        unique_id: &str,
        fallback: AppendOutcome,
    ) -> Result<AppendOutcome> {
        let row = self.table.read(&self.entry_key(base + 1))?;
        if row.is_some_and(|row| row.value.contains(unique_id)) {
            return Ok(AppendOutcome::Written(base + 1));
        }
        Ok(fallback)
    }

    fn transaction(&self, number: u64, head_version: u64, value: &str) -> Transaction {
        let entry = self.entry_key(number);
        Transaction {
            conditions: vec![
                Condition {
                    key: self.head_key(),
                    version: head_version,
                },
                Condition {
                    key: entry.clone(),
                    version: 0,
                },
            ],
            puts: vec![
                Put {
                    key: self.head_key(),
                    value: number.to_string(),
                },
                Put {
                    key: entry,
                    value: value.to_string(),
                },
            ],
            deletes: Vec::new(),
        }
    }
}
