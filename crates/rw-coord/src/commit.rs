use std::collections::BTreeSet;

use rw_platform::{Condition, Error as PlatformError, Put, TableService, Transaction};

/// Maximum writes in one transaction.
const MAX_BATCH_WRITES: usize = 64;

/// A write that takes effect only if the row has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// Row key.
    pub key: String,
    /// Version that the row must have; 0 means that the row must not exist.
    pub version: u64,
    /// New value. It must differ from that of every other write: if the answer is
    /// lost, the value read back shows whether this write took effect.
    pub value: String,
    /// Change to an index row in the same transaction.
    pub index: IndexUpdate,
}

/// Change to an index row, which refers to the written row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum IndexUpdate {
    /// No change.
    #[default]
    Unchanged,
    /// Writes the index row.
    Put(Put),
    /// Deletes the index row with this key.
    Delete(String),
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this new version.
    Written(u64),
    /// The row has another version; nothing was written.
    Conflict,
    /// The write was refused and did not take effect.
    Refused(String),
    /// The write may have taken effect.
    Unknown(String),
}

struct PendingWrite {
    write: ConditionalWrite,
    outcome_tx: flume::Sender<WriteOutcome>,
}

/// Groups the writes of many callers into transactions, one in flight at a time.
///
/// A conflict of one write does not fail the others in its transaction. If the
/// answer to a transaction is lost, the rows are read back to find its outcome.
/// Dropping the last handle ends the writer's thread.
#[derive(Clone)]
pub struct GroupCommit {
    tx: flume::Sender<PendingWrite>,
}

impl GroupCommit {
    /// Starts the writer's thread. At most `queue_limit` writes wait for it; further
    /// ones are refused.
    pub fn start<T: TableService>(table: T, queue_limit: usize) -> Self {
        let (tx, rx) = flume::bounded(queue_limit);
        std::thread::spawn(move || run_writer(table, rx));
        GroupCommit { tx }
    }

    /// Queues a write. The returned channel receives its outcome.
    pub fn submit(&self, write: ConditionalWrite) -> flume::Receiver<WriteOutcome> {
        let (outcome_tx, rx) = flume::bounded(1);
        if let Err(err) = self.tx.try_send(PendingWrite { write, outcome_tx }) {
            let pending = match err {
                flume::TrySendError::Full(item) | flume::TrySendError::Disconnected(item) => item,
            };
            let _ = pending.outcome_tx.send(WriteOutcome::Refused(
                "too many writes are waiting".to_string(),
            ));
        }
        rx
    }
}

// Collects the queued writes into one batch. A second write to a key in the batch
// gets a transaction of its own afterwards.
fn run_writer<T: TableService>(table: T, rx: flume::Receiver<PendingWrite>) {
    while let Ok(first) = rx.recv() {
        let mut keys = BTreeSet::from([first.write.key.clone()]);
        let mut batch = vec![first];
        let mut deferred = Vec::new();
        while batch.len() < MAX_BATCH_WRITES {
            let Ok(pending) = rx.try_recv() else { break };
            if keys.insert(pending.write.key.clone()) {
                batch.push(pending);
            } else {
                deferred.push(pending);
                break;
            }
        }
        commit_batch(&table, batch);
        for pending in deferred {
            commit_batch(&table, vec![pending]);
        }
    }
}

// Retries without the conflicting writes until the remaining ones commit.
fn commit_batch<T: TableService>(table: &T, mut batch: Vec<PendingWrite>) {
    while !batch.is_empty() {
        let result = table.commit(&transaction(&batch));
        match result {
            Ok(commit) if commit.committed => {
                return send_outcomes(batch, |_| WriteOutcome::Written(commit.version));
            }
            Ok(commit) if !commit.conflicts.is_empty() => {
                let (conflicting, rest) = batch
                    .into_iter()
                    .partition(|pending| commit.conflicts.contains(&pending.write.key));
                send_outcomes(conflicting, |write| {
                    read_back(table, write, WriteOutcome::Conflict)
                });
                batch = rest;
            }
            Ok(_) => {
                return send_outcomes(batch, |_| {
                    WriteOutcome::Refused("not committed".to_string())
                })
            }
            Err(PlatformError::Unknown(msg)) => {
                return send_outcomes(batch, |write| {
                    read_back(table, write, WriteOutcome::Unknown(msg.clone()))
                });
            }
            Err(err) => return send_outcomes(batch, |_| WriteOutcome::Refused(err.to_string())),
        }
    }
}

fn send_outcomes(batch: Vec<PendingWrite>, outcome: impl Fn(&ConditionalWrite) -> WriteOutcome) {
    for pending in batch {
        let _ = pending.outcome_tx.send(outcome(&pending.write));
    }
}

// A write whose answer was lost took effect if the row has its value. A row that
// still has the old version proves nothing, since the write may arrive later.
fn read_back<T: TableService>(
    table: &T,
    write: &ConditionalWrite,
    fallback: WriteOutcome,
) -> WriteOutcome {
    match table.read(&write.key) {
        Ok(Some(row)) if row.value == write.value => WriteOutcome::Written(row.version),
        Ok(Some(row)) if row.version != write.version => WriteOutcome::Conflict,
        Ok(_) => fallback,
        Err(_) if fallback == WriteOutcome::Conflict => WriteOutcome::Conflict,
        Err(err) => WriteOutcome::Unknown(err.to_string()),
    }
}

fn transaction(batch: &[PendingWrite]) -> Transaction {
    let mut txn = Transaction::default();
    for PendingWrite { write, .. } in batch {
        txn.conditions.push(Condition {
            key: write.key.clone(),
            version: write.version,
        });
        txn.puts.push(Put {
            key: write.key.clone(),
            value: write.value.clone(),
        });
        match &write.index {
            IndexUpdate::Unchanged => {}
            IndexUpdate::Put(put) => txn.puts.push(put.clone()),
            IndexUpdate::Delete(key) => txn.deletes.push(key.clone()),
        }
    }
    txn
}
