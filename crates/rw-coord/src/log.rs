use rw_platform::{Condition, Put, Row, TableService, Transaction};

use crate::{Error, Result};

/// Rows read by one scan of the log.
const PAGE_ROWS: usize = 256;

/// How an append ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The entry has this number.
    Done(u64),
    /// The log moved on from the base to this number; nothing was written.
    Stale(u64),
}

/// Append-only log of numbered entries in the table service.
///
/// An append names the number it was based on, so of two racing writers one is
/// told that it is stale. Numbers only rise, and entries never change.
pub struct AppendLog<T> {
    table: T,
    name: String,
}

impl<T: TableService> AppendLog<T> {
    /// A log kept in rows under `name`.
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

    /// Number of the last entry, 0 when there is none.
    pub fn head(&self) -> Result<u64> {
        Ok(self.read_head()?.0)
    }

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

    /// Entries after `number`, oldest first.
    pub fn since(&self, number: u64) -> Result<Vec<(u64, String)>> {
        let prefix = format!("{}/entry/", self.name);
        let mut out = Vec::new();
        let mut after = self.entry_key(number);
        loop {
            let rows = self.table.scan(&prefix, &after, PAGE_ROWS)?;
            let full = rows.len() == PAGE_ROWS;
            if let Some(last) = rows.last() {
                after = last.key.clone();
            }
            for row in rows {
                out.push(self.numbered(row)?);
            }
            if !full {
                return Ok(out);
            }
        }
    }

    fn numbered(&self, row: Row) -> Result<(u64, String)> {
        let number = row.key.rsplit('/').next().and_then(|n| n.parse().ok());
        match number {
            Some(number) => Ok((number, row.value)),
            None => Err(Error::Corrupt(row.key, "no number in the key".to_string())),
        }
    }

    /// Appends after `base`. `unique` occurs in `value` and nowhere else, so a
    /// lost answer is resolved by reading the entry back.
    pub fn append(&self, base: u64, value: &str, unique: &str) -> Result<Appended> {
        let (head, version) = self.read_head()?;
        if head != base {
            return self.resolve(base, unique, Appended::Stale(head));
        }
        let txn = self.transaction(base + 1, version, value);
        match self.table.commit(&txn) {
            Ok(commit) if commit.committed => Ok(Appended::Done(base + 1)),
            Ok(_) => {
                let head = self.head()?;
                self.resolve(base, unique, Appended::Stale(head))
            }
            Err(rw_platform::Error::Unknown(msg)) => {
                let head = self.head()?;
                if head == base {
                    return Err(rw_platform::Error::Unknown(msg).into());
                }
                self.resolve(base, unique, Appended::Stale(head))
            }
            Err(err) => Err(err.into()),
        }
    }

    fn resolve(&self, base: u64, unique: &str, otherwise: Appended) -> Result<Appended> {
        let row = self.table.read(&self.entry_key(base + 1))?;
        if row.is_some_and(|row| row.value.contains(unique)) {
            return Ok(Appended::Done(base + 1));
        }
        Ok(otherwise)
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
