use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rw_platform::{Condition, Put, Row, TableService, Transaction};
use serde::{Deserialize, Serialize};

use crate::{uptime, Clock, Error, Result, SystemClock};

// Value of the row `lease/{name}`.
#[derive(Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    attempt: u64,
    epoch: u64,
    // 0 once the lease was released. Otherwise the Unix time at which the lease
    // expires, for earlier builds, which compare it with their own clock.
    until_ms: u64,
    // Missing in rows of earlier builds.
    #[serde(default)]
    ttl_ms: Option<u64>,
}

// A row of another holder, and the uptime at which this process first saw it.
struct SeenRow {
    row: Row,
    first_seen_at: Duration,
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
///
/// A lease of another holder counts as expired once this manager has seen its row
/// unchanged for the holder's ttl, since clocks of machines disagree about the time of
/// day. Keep one manager across attempts to acquire a lease.
pub struct LeaseManager<T, C = SystemClock> {
    table: T,
    holder: String,
    ttl: Duration,
    clock: C,
    // Rows of other holders, by key.
    seen_rows: Mutex<HashMap<String, SeenRow>>,
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
            seen_rows: Mutex::default(),
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
        if let (Some(row), Some(current)) = (&row, &current) {
            let left = self.time_to_expiry(row, current);
            if !left.is_zero() {
                let left_ms = left.as_millis() as u64;
                return Err(Error::Held(current.holder.clone(), left_ms));
            }
        }
        let epoch = current.map_or(0, |current| current.epoch) + 1;
        let version = row.map_or(0, |row| row.version);
        self.write(&key, version, epoch, attempt)?;
        Ok(Lease { epoch, expires_at })
    }

    // Time for which the row of another holder has to stay unchanged until its lease
    // has expired. The holder measures its ttl from before its write, which is before
    // this manager first saw the row.
    fn time_to_expiry(&self, row: &Row, record: &LeaseRecord) -> Duration {
        let seen_rows = self.seen_rows.lock();
        let mut seen_rows = seen_rows.unwrap_or_else(PoisonError::into_inner);
        if record.until_ms == 0 || record.holder == self.holder {
            seen_rows.remove(&row.key);
            return Duration::ZERO;
        }
        let now = self.clock.uptime();
        let first_seen_at = match seen_rows.get(&row.key) {
            Some(seen) if seen.row == *row => seen.first_seen_at,
            _ => {
                let row = row.clone();
                let first_seen_at = now;
                seen_rows.insert(row.key.clone(), SeenRow { row, first_seen_at });
                now
            }
        };
        let ttl = record.ttl_ms.map_or(self.ttl, Duration::from_millis);
        ttl.saturating_sub(now.saturating_sub(first_seen_at))
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
            ttl_ms: Some(self.ttl.as_millis() as u64),
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
