//! Decides who sends which chunk of a model to whom. No I/O.

mod layout;
mod store;
mod transfer;
mod turn;

pub use layout::{Layout, Peer, Policy, Source};
pub use store::{ChunkStore, Held};
pub use transfer::{Fetch, Limits, Transfer};
pub use turn::load_wait;

use quick_error::quick_error;

quick_error! {
    /// Why a chunk was not taken in.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The bytes do not match the manifest.
        Corrupt(chunk: u32) {
            display("chunk {chunk} does not match its hash")
        }
        /// Nobody asked for this manifest.
        Unwanted {
            display("the manifest is not wanted here")
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
