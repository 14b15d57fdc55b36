use std::time::Duration;

use rw_platform::{Condition, Put, TableService, Transaction};
use serde::{Deserialize, Serialize};

use crate::{uptime, Clock, Error, Result, SystemClock};

// Value of the row `lease/{name}`.
#[derive(Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    attempt: u64,
    epoch: u64,
    until_ms: u64,
}

/// A lease that this process has acquired; it may have expired since.
///
/// The expiry is measured from before the request was sent, on a clock that includes
/// suspended time, so a holder whose process or machine was paused notices the expiry
/// before it acts.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Fencing number, which increases with every acquisition.
    pub epoch: u64,
    // Uptime of the machine.
    expires_at: Duration,
}

impl Lease {
    /// Time until the lease expires, zero once it has expired.
    pub fn remaining(&self) -> Duration {
        self.remaining_at(uptime())
    }

    /// Time until the lease expires, as of the given uptime of the machine.
    pub fn remaining_at(&self, uptime: Duration) -> Duration {
        self.expires_at.saturating_sub(uptime)
    }

    /// Whether the lease has not expired yet.
    pub fn is_valid(&self) -> bool {
        !self.remaining().is_zero()
    }
}

/// Acquires and releases named leases through conditional writes to the table
/// service.
pub struct LeaseManager<T, C = SystemClock> {
    table: T,
    holder: String,
    ttl: Duration,
    clock: C,
}

impl<T: TableService> LeaseManager<T> {
    /// Creates a manager of leases with this time to live. `holder` must be unique to
    /// this process and must change with a restart.
    pub fn new(table: T, holder: &str, ttl: Duration) -> Self {
        Self::with_clock(table, holder, ttl, SystemClock)
    }
}

impl<T: TableService, C: Clock> LeaseManager<T, C> {
    /// Creates a manager like [`new`](LeaseManager::new), with these clocks.
    pub fn with_clock(table: T, holder: &str, ttl: Duration, clock: C) -> Self {
        LeaseManager {
            table,
            holder: holder.to_string(),
            ttl,
            clock,
        }
    }

    /// Acquires a lease that is free, expired or already held by this holder, with
    /// a new epoch.
    ///
    /// `attempt` is a random number that identifies the write of this call if the
    /// answer to it is lost.
    pub fn acquire(&self, name: &str, attempt: u64) -> Result<Lease> {
        let key = format!("lease/{name}");
        let expires_at = self.clock.uptime() + self.ttl;
        let row = self.table.read(&key)?;
        let current = row
            .as_ref()
            .map(|row| parse(&key, &row.value))
            .transpose()?;
        if let Some(current) = &current {
            let left_ms = current.until_ms.saturating_sub(self.clock.unix_ms());
            if current.holder != self.holder && left_ms > 0 {
                return Err(Error::Held(current.holder.clone(), left_ms));
            }
        }
        let epoch = current.map_or(0, |current| current.epoch) + 1;
        let version = row.map_or(0, |row| row.version);
        self.write(&key, version, epoch, attempt)?;
        Ok(Lease { epoch, expires_at })
    }

    /// Releases a lease before it expires, so that the next holder need not wait.
    pub fn release(&self, name: &str, lease: &Lease) -> Result<()> {
        let key = format!("lease/{name}");
        let Some(row) = self.table.read(&key)? else {
            return Ok(());
        };
        let record = parse(&key, &row.value)?;
        if record.holder != self.holder || record.epoch != lease.epoch {
            return Ok(());
        }
        let txn = self.transaction(&key, row.version, lease.epoch, record.attempt, 0)?;
        self.table.commit(&txn)?;
        Ok(())
    }

    fn write(&self, key: &str, version: u64, epoch: u64, attempt: u64) -> Result<()> {
        let until_ms = self.clock.unix_ms() + self.ttl.as_millis() as u64;
        let txn = self.transaction(key, version, epoch, attempt, until_ms)?;
        match self.table.commit(&txn) {
            Ok(commit) if commit.committed => Ok(()),
            Ok(_) => Err(Error::Held("a faster holder".to_string(), 0)),
            Err(rw_platform::Error::Unknown(msg)) => self.confirm_write(key, attempt, msg),
            Err(err) => Err(err.into()),
        }
    }

    // The outcome of the write is unknown: reads the row back to find out whether
    // it holds this attempt.
    fn confirm_write(&self, key: &str, attempt: u64, msg: String) -> Result<()> {
        let row = self.table.read(key)?;
        let record = row.map(|row| parse(key, &row.value)).transpose()?;
        match record {
            Some(record) if record.attempt == attempt => Ok(()),
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
        let record = LeaseRecord {
            holder: self.holder.clone(),
            attempt,
            epoch,
            until_ms,
        };
        let value = serde_json::to_string(&record)
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

fn parse(key: &str, value: &str) -> Result<LeaseRecord> {
    serde_json::from_str(value).map_err(|err| Error::Corrupt(key.to_string(), err.to_string()))
}
