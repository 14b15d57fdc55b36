use quick_error::quick_error;
use rw_protocol::{HostListing, Manifest};
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
