//! Records that make a call with an idempotency key run at most once.

mod ledger;
mod unresolved;

pub use ledger::{Begin, End, Ledger, Open, Request};
pub use unresolved::unresolved;

use quick_error::quick_error;

quick_error! {
    /// Why a claim could not be made or closed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Nothing was written.
        Unavailable(msg: String) {
            display("claims cannot be written now: {msg}")
        }
        /// The claim may have been written.
        Unknown(msg: String) {
            display("it is not known whether the claim was written: {msg}")
        }
        /// A stored claim cannot be read.
        Corrupt(key: String) {
            display("claim {key} cannot be read")
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl From<rw_platform::Error> for Error {
    fn from(err: rw_platform::Error) -> Self {
        Error::Unavailable(err.to_string())
    }
}
