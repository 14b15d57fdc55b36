use std::future::Future;
use std::time::Duration;

use quick_error::quick_error;
use rw_protocol::{HostListing, Manifest, StoredRow};
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why the platform gave no result.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The call did not take effect.
        Refused(msg: String) {
            display("platform refused the call: {msg}")
        }
        /// The call may or may not have taken effect.
        Unknown(msg: String) {
            display("no answer from the platform, the call may have taken effect: {msg}")
        }
        /// The answer makes no sense.
        Malformed(msg: String) {
            display("malformed answer from the platform: {msg}")
        }
        /// What was asked for does not exist.
        NotFound(what: String) {
            display("{what} does not exist on the platform")
        }
    }
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// A row must have this version for the transaction to commit; 0 is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have.
    pub version: u64,
}

/// One row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: String,
}

/// Writes that take effect together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to delete.
    pub deletes: Vec<String>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Commit {
    /// Whether the writes took effect.
    pub committed: bool,
    /// Version of the rows written.
    pub version: u64,
    /// Keys whose condition did not hold.
    pub conflicts: Vec<String>,
}

/// One row as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: String,
    /// Version for a later condition.
    pub version: u64,
}

/// The transactional table service.
pub trait TableService: Send + Sync + 'static {
    /// Runs a transaction.
    fn commit(&self, txn: &Transaction) -> Result<Commit>;
    /// Reads one row.
    fn read(&self, key: &str) -> Result<Option<Row>>;
    /// Reads at most `limit` rows with a key prefix that sort after `after`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>>;
}

/// The object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Writes a whole object.
    fn put(&self, key: &str, body: &[u8]) -> Result<()>;
    /// Reads a whole object.
    fn get(&self, key: &str) -> Result<Vec<u8>>;
}

/// The list of live and leaving hosts; it lags.
pub trait HostList: Send + Sync + 'static {
    /// Entries that changed after a known version of the list.
    fn hosts(&self, since: u64) -> Result<HostListing>;
}

/// The rate-limited weight store; it stands in for an origin that is down.
pub trait WeightStore: Send + Sync + 'static {
    /// Bytes of one chunk; the caller verifies them. Refused above the rate.
    fn stored_chunk(&self, model: &str, version: &str, chunk: u32) -> Result<Vec<u8>>;
}

/// The origin of weights.
pub trait Origin: Send + Sync + 'static {
    /// Manifest of a model's version.
    fn manifest(&self, model: &str, version: &str) -> Result<Manifest>;
    /// Bytes of one chunk; the caller verifies them.
    fn chunk(&self, model: &str, version: &str, chunk: u32) -> Result<Vec<u8>>;
}

/// Why a followed table gave no rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The store no longer knows what changed since; read the whole table.
    HistoryGone,
    /// The call failed.
    Failed(Error),
}

/// Rows of a followed table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableRows {
    /// Rows as of `version`, or those that changed up to it.
    pub rows: Vec<StoredRow>,
    /// Version of the store that the rows bring the reader to.
    pub version: u64,
}

/// A table service that tells its readers what changed.
pub trait TableFeed: Clone + Send + Sync + 'static {
    /// Every row of a table, as of one moment.
    fn read_table(&self, table: &str) -> impl Future<Output = Result<TableRows>> + Send;
    /// Rows that changed after a version; waits until there is one or `wait`
    /// has passed.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = std::result::Result<TableRows, FeedError>> + Send;
    /// Writes one row whatever it held before.
    fn write_row(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<()>> + Send;
}
