use std::time::{Duration, Instant};

use rw_platform::{Condition, Put, TableService, Transaction};
use serde::{Deserialize, Serialize};

use crate::{unix_ms, Error, Result};

#[derive(Serialize, Deserialize)]
struct Stored {
    holder: String,
    attempt: u64,
    epoch: u64,
    until_ms: u64,
}

/// A lease that was held when it was acquired.
///
/// The end is counted on the monotonic clock from before the request was sent,
/// so a holder that was paused finds out before it acts.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Fencing number; it rises with every acquisition.
    pub epoch: u64,
    until: Instant,
}

impl Lease {
    /// Time left, zero once lapsed.
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Whether the holder may still act.
    pub fn is_live(&self) -> bool {
        !self.left().is_zero()
    }
}

/// Acquires named leases by conditional writes to the table service.
pub struct LeaseKeeper<T> {
    table: T,
    holder: String,
    life: Duration,
}

impl<T: TableService> LeaseKeeper<T> {
    /// `holder` must differ between processes, also between restarts of one.
    pub fn new(table: T, holder: &str, life: Duration) -> Self {
        LeaseKeeper {
            table,
            holder: holder.to_string(),
            life,
        }
    }

    /// Takes a lease that is free, lapsed or already ours, with a new epoch.
    ///
    /// `attempt` is random: it tells our write from another's when the answer
    /// to the write was lost.
    pub fn acquire(&self, name: &str, attempt: u64) -> Result<Lease> {
        let key = format!("lease/{name}");
        let until = Instant::now() + self.life;
        let row = self.table.read(&key)?;
        let old = row
            .as_ref()
            .map(|row| parse(&key, &row.value))
            .transpose()?;
        if let Some(old) = &old {
            let left_ms = old.until_ms.saturating_sub(unix_ms());
            if old.holder != self.holder && left_ms > 0 {
                return Err(Error::Held(old.holder.clone(), left_ms));
            }
        }
        let epoch = old.map_or(0, |old| old.epoch) + 1;
        let version = row.map_or(0, |row| row.version);
        self.write(&key, version, epoch, attempt)?;
        Ok(Lease { epoch, until })
    }

    /// Gives a lease up early, so that the next holder need not wait.
    pub fn release(&self, name: &str, lease: &Lease) -> Result<()> {
        let key = format!("lease/{name}");
        let Some(row) = self.table.read(&key)? else {
            return Ok(());
        };
        let stored = parse(&key, &row.value)?;
        if stored.holder != self.holder || stored.epoch != lease.epoch {
            return Ok(());
        }
        let txn = self.transaction(&key, row.version, lease.epoch, stored.attempt, 0)?;
        self.table.commit(&txn)?;
        Ok(())
    }

    fn write(&self, key: &str, version: u64, epoch: u64, attempt: u64) -> Result<()> {
        let until_ms = unix_ms() + self.life.as_millis() as u64;
        let txn = self.transaction(key, version, epoch, attempt, until_ms)?;
        match self.table.commit(&txn) {
            Ok(commit) if commit.committed => Ok(()),
            Ok(_) => Err(Error::Held("a faster holder".to_string(), 0)),
            Err(rw_platform::Error::Unknown(msg)) => self.confirm(key, attempt, msg),
            Err(err) => Err(err.into()),
        }
    }

    fn confirm(&self, key: &str, attempt: u64, msg: String) -> Result<()> {
        let row = self.table.read(key)?;
        let stored = row.map(|row| parse(key, &row.value)).transpose()?;
        match stored {
            Some(stored) if stored.attempt == attempt => Ok(()),
            _ => Err(rw_platform::Error::Unknown(msg).into()),
        }
    }

    fn transaction(
        &self,
        key: &str,
        version: u64,
        epoch: u64,
        attempt: u64,
        until_ms: u64,
    ) -> Result<Transaction> {
        let stored = Stored {
            holder: self.holder.clone(),
            attempt,
            epoch,
            until_ms,
        };
        let value = serde_json::to_string(&stored)
            .map_err(|err| Error::Corrupt(key.to_string(), err.to_string()))?;
        Ok(Transaction {
            conditions: vec![Condition {
                key: key.to_string(),
                version,
            }],
            puts: vec![Put {
                key: key.to_string(),
                value,
            }],
            deletes: Vec::new(),
        })
    }
}

fn parse(key: &str, value: &str) -> Result<Stored> {
    serde_json::from_str(value).map_err(|err| Error::Corrupt(key.to_string(), err.to_string()))
}
