use std::future::Future;
use std::time::Duration;

use quick_error::quick_error;
use rw_protocol::{HostListing, Manifest, StoredRow};
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The call did not take effect.
        Refused(msg: String) {
            display("platform refused the call: {msg}")
        }
        /// The call did not take effect, because there are too many calls; others do.
        Limited(msg: String) {
            display("platform limits the rate of calls: {msg}")
        }
        /// The call did not take effect, because a row is not as the caller expects.
        Conflict(msg: String) {
            display("platform met another row: {msg}")
        }
        /// The call may or may not have taken effect.
        Unknown(msg: String) {
            display("no answer from the platform, the call may have taken effect: {msg}")
        }
        /// The response could not be parsed.
        Malformed(msg: String) {
            display("malformed answer from the platform: {msg}")
        }
        /// The requested row, object or manifest does not exist.
        NotFound(what: String) {
            display("{what} does not exist on the platform")
        }
    }
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Precondition of a transaction: a row must have this version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
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

/// Writes that take effect atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions of the writes.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to delete.
    pub deletes: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Commit {
    /// Whether the writes took effect.
    pub committed: bool,
    /// Version of the written rows.
    pub version: u64,
    /// Keys whose condition did not hold.
    pub conflicts: Vec<String>,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: String,
    /// Version of the row, for use in a [`Condition`].
    pub version: u64,
}

/// The transactional table service.
pub trait TableService: Send + Sync + 'static {
    /// Commits a transaction, unless one of its conditions does not hold.
    fn commit(&self, txn: &Transaction) -> Result<Commit>;
    /// Reads one row.
    fn read(&self, key: &str) -> Result<Option<Row>>;
    /// Reads at most `limit` rows whose key has this prefix and sorts after `after`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>>;
}

/// The object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Writes an object.
    fn put(&self, key: &str, body: &[u8]) -> Result<()>;
    /// Reads an object.
    fn get(&self, key: &str) -> Result<Vec<u8>>;
}

/// The list of live and leaving hosts. It may lag behind their actual state.
pub trait HostList: Send + Sync + 'static {
    /// Hosts that changed after version `since` of the list.
    fn hosts(&self, since: u64) -> Result<HostListing>;
}

/// The rate-limited weight store, a fallback while the origin is down.
pub trait WeightStore: Send + Sync + 'static {
    /// Reads one chunk, which the caller has to verify. Calls above the rate limit
    /// fail with [`Error::Refused`].
    fn stored_chunk(&self, model: &str, version: &str, chunk: u32) -> Result<Vec<u8>>;
}

/// The origin of weights.
pub trait Origin: Send + Sync + 'static {
    /// Reads the manifest of a version of a model.
    fn manifest(&self, model: &str, version: &str) -> Result<Manifest>;
    /// Reads one chunk, which the caller has to verify.
    fn chunk(&self, model: &str, version: &str, chunk: u32) -> Result<Vec<u8>>;
}

/// Why the changes of a table could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The store has discarded the changes since that version; the complete table
    /// has to be read again.
    HistoryGone,
    /// The call failed.
    Failed(Error),
}

/// Rows of a table, or of its change feed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableRows {
    /// All rows as of `version`, or those that changed up to it.
    pub rows: Vec<StoredRow>,
    /// Store version up to which the reader is current once it has these rows.
    pub version: u64,
    /// Time of the store's steady clock at the response, in milliseconds, if the store
    /// has one.
    pub clock_ms: Option<u64>,
}

/// A table service with a change feed.
pub trait TableFeed: Clone + Send + Sync + 'static {
    /// Reads all rows of a table as a consistent snapshot.
    fn read_table(&self, table: &str) -> impl Future<Output = Result<TableRows>> + Send;
    /// Reads the rows that changed after a version. If there are none, waits for
    /// up to `wait` until there is one.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = std::result::Result<TableRows, FeedError>> + Send;
    /// Writes one row unconditionally.
    fn write_row(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<()>> + Send {
        self.write_row_if(table, key, value, None)
    }
    /// Writes one row. If `expected` is given, fails with [`Error::Conflict`] unless the row
    /// has this version.
    fn write_row_if(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
        expected: Option<u64>,
    ) -> impl Future<Output = Result<()>> + Send;
}
