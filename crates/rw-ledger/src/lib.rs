//! Ledger of claims, which make a call with an idempotency key run at most once.
//!
//! A claim is written before the call is dispatched and closed with its outcome.

mod ledger;
mod unresolved;

pub use ledger::{ClaimOutcome, ClaimRequest, Ledger, OpenClaim, RecordedOutcome};
pub use unresolved::unresolved_claims;

use quick_error::quick_error;

quick_error! {
    /// Error of writing or reading a claim.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The platform failed or refused the request; the claim was not written.
        Unavailable(msg: String) {
            display("claims cannot be written now: {msg}")
        }
        /// The platform did not answer in time; the claim was not written.
        NoAnswer(msg: String) {
            display("the claim could not be read: {msg}")
        }
        /// The outcome of the write is unknown; the claim may have been written.
        Unknown(msg: String) {
            display("it is not known whether the claim was written: {msg}")
        }
        /// A stored claim could not be parsed or was changed by another writer.
        Corrupt(key: String) {
            display("claim {key} cannot be read")
        }
    }
}

/// Result of a ledger operation.
pub type Result<T> = std::result::Result<T, Error>;

impl From<rw_platform::Error> for Error {
    fn from(err: rw_platform::Error) -> Self {
        match err {
            rw_platform::Error::Unknown(msg) => Error::NoAnswer(msg),
            err => Error::Unavailable(err.to_string()),
        }
    }
}

impl Error {
    /// Whether the platform did not answer, in contrast to a refusal.
    ///
    /// ```
    /// assert!(rw_ledger::Error::Unknown("timeout".into()).is_unanswered());
    /// assert!(!rw_ledger::Error::Unavailable("down".into()).is_unanswered());
    /// ```
    pub fn is_unanswered(&self) -> bool {
        matches!(self, Error::NoAnswer(_) | Error::Unknown(_))
    }
}
