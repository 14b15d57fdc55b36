use std::collections::BTreeSet;

use rw_platform::{Condition, Error as PlatformError, Put, TableService, Transaction};

/// Writes that one transaction carries at most.
const BATCH_ITEMS: usize = 64;

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteItem {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 is absent.
    pub version: u64,
    /// New value; no other write may carry the same one.
    pub value: String,
    /// Another row that is written or deleted with this one.
    pub index: Index,
}

/// What happens to a row that points at the written one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Index {
    /// Nothing.
    #[default]
    Keep,
    /// The row is written.
    Add(Put),
    /// The row is deleted.
    Remove(String),
}

/// How one conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Written, with the row's new version.
    Written(u64),
    /// The row has another version; nothing was written.
    Conflict,
    /// Nothing was written.
    Refused(String),
    /// It may have been written.
    Unknown(String),
}

struct Job {
    item: WriteItem,
    done: flume::Sender<Outcome>,
}

/// Joins the writes of many callers into transactions, one in flight at a time.
///
/// A conflict of one write does not fail the others in its transaction, and a
/// lost answer is resolved by reading back. Dropping the handle ends the task.
#[derive(Clone)]
pub struct GroupCommit {
    tx: flume::Sender<Job>,
}

impl GroupCommit {
    /// Starts the writer's thread; at most `backlog` writes wait.
    pub fn start<T: TableService>(table: T, backlog: usize) -> Self {
        let (tx, rx) = flume::bounded(backlog);
        std::thread::spawn(move || run(table, rx));
        GroupCommit { tx }
    }

    /// Submits a write; the outcome arrives on the returned channel.
    pub fn submit(&self, item: WriteItem) -> flume::Receiver<Outcome> {
        let (done, rx) = flume::bounded(1);
        if let Err(err) = self.tx.try_send(Job { item, done }) {
            let job = match err {
                flume::TrySendError::Full(job) | flume::TrySendError::Disconnected(job) => job,
            };
            let _ = job
                .done
                .send(Outcome::Refused("too many writes are waiting".to_string()));
        }
        rx
    }
}

fn run<T: TableService>(table: T, rx: flume::Receiver<Job>) {
    while let Ok(first) = rx.recv() {
        let mut keys = BTreeSet::from([first.item.key.clone()]);
        let mut batch = vec![first];
        let mut next = Vec::new();
        while batch.len() < BATCH_ITEMS {
            let Ok(job) = rx.try_recv() else { break };
            if keys.insert(job.item.key.clone()) {
                batch.push(job);
            } else {
                next.push(job);
                break;
            }
        }
        write(&table, batch);
        for job in next {
            write(&table, vec![job]);
        }
    }
}

// Repeats without the conflicting writes until the rest commits.
fn write<T: TableService>(table: &T, mut batch: Vec<Job>) {
    while !batch.is_empty() {
        let result = table.commit(&transaction(&batch));
        match result {
            Ok(commit) if commit.committed => {
                return finish(batch, |_| Outcome::Written(commit.version));
            }
            Ok(commit) if !commit.conflicts.is_empty() => {
                let (lost, rest) = batch
                    .into_iter()
                    .partition(|job| commit.conflicts.contains(&job.item.key));
                finish(lost, |item| read_back(table, item, Outcome::Conflict));
                batch = rest;
            }
            Ok(_) => return finish(batch, |_| Outcome::Refused("not committed".to_string())),
            Err(PlatformError::Unknown(msg)) => {
                return finish(batch, |item| {
                    read_back(table, item, Outcome::Unknown(msg.clone()))
                });
            }
            Err(err) => return finish(batch, |_| Outcome::Refused(err.to_string())),
        }
    }
}

fn finish(batch: Vec<Job>, outcome: impl Fn(&WriteItem) -> Outcome) {
    for job in batch {
        let _ = job.done.send(outcome(&job.item));
    }
}

// A write whose answer was lost took effect if the row has our value. A row
// that is still as it was proves nothing: the write may be on its way.
fn read_back<T: TableService>(table: &T, item: &WriteItem, otherwise: Outcome) -> Outcome {
    match table.read(&item.key) {
        Ok(Some(row)) if row.value == item.value => Outcome::Written(row.version),
        Ok(Some(row)) if row.version != item.version => Outcome::Conflict,
        Ok(_) => otherwise,
        Err(_) if otherwise == Outcome::Conflict => Outcome::Conflict,
        Err(err) => Outcome::Unknown(err.to_string()),
    }
}

fn transaction(batch: &[Job]) -> Transaction {
    let mut txn = Transaction::default();
    for Job { item, .. } in batch {
        txn.conditions.push(Condition {
            key: item.key.clone(),
            version: item.version,
        });
        txn.puts.push(Put {
            key: item.key.clone(),
            value: item.value.clone(),
        });
        match &item.index {
            Index::Keep => {}
            Index::Add(put) => txn.puts.push(put.clone()),
            Index::Remove(key) => txn.deletes.push(key.clone()),
        }
    }
    txn
}
