//! Building blocks for coordination: leases, an append-only log, group commit,
//! timers, clocks and rate limits.
//!
//! They depend only on the platform's table service and not on the daemons, so
//! each can be used on its own.

mod append_log;
mod backoff;
mod bucket;
mod change_notifier;
mod clock;
mod commit;
mod lease;
mod timer;

pub use append_log::{AppendLog, AppendOutcome};
pub use backoff::Backoff;
pub use bucket::TokenBucket;
pub use change_notifier::ChangeNotifier;
pub use clock::{unix_ms, uptime, Clock, HybridClock, SystemClock};
pub use commit::{ConditionalWrite, GroupCommit, IndexUpdate, WriteOutcome};
pub use lease::{Lease, LeaseManager};
pub use timer::{Tick, Timer};

use quick_error::quick_error;

quick_error! {
    /// Error of a coordination operation.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The table service returned an error or no answer.
        Platform(err: rw_platform::Error) {
            display("{err}")
            from()
        }
        /// Another holder has the lease.
        Held(holder: String, left_ms: u64) {
            display("lease is held by {holder} for {left_ms} ms more")
        }
        /// A stored value could not be parsed.
        Corrupt(key: String, msg: String) {
            display("row {key} cannot be read: {msg}")
        }
        /// The component was shut down.
        Closed {
            display("shut down")
        }
    }
}

/// Result of a coordination operation.
pub type Result<T> = std::result::Result<T, Error>;
