//! Coordination parts that need nothing but the platform's table service.
//!
//! Nothing in here knows of daemons: each part can be embedded on its own.

mod backoff;
mod bucket;
mod clock;
mod commit;
mod lease;
mod log;
mod signal;
mod timer;

pub use backoff::Backoff;
pub use bucket::TokenBucket;
pub use clock::{unix_ms, uptime, HybridClock};
pub use commit::{GroupCommit, Index, Outcome, WriteItem};
pub use lease::{Lease, LeaseKeeper};
pub use log::{AppendLog, Appended};
pub use signal::Signal;
pub use timer::{Tick, Timer};

use quick_error::quick_error;

quick_error! {
    /// Why a coordination step failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The platform gave no result.
        Platform(err: rw_platform::Error) {
            display("{err}")
            from()
        }
        /// Somebody else holds the lease.
        Held(holder: String, left_ms: u64) {
            display("lease is held by {holder} for {left_ms} ms more")
        }
        /// A stored value cannot be read.
        Corrupt(key: String, msg: String) {
            display("row {key} cannot be read: {msg}")
        }
        /// The part was shut down.
        Closed {
            display("shut down")
        }
    }
}

/// Result of a coordination step.
pub type Result<T> = std::result::Result<T, Error>;
