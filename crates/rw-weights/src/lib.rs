//! Decides who sends which chunk of a model to whom. No I/O.

mod layout;
mod load_schedule;
mod store;
mod transfer;

pub use layout::{DistributionPolicy, Layout, Peer, Source};
pub use load_schedule::load_delay;
pub use store::{MemoryChunkStore, StoredModel};
pub use transfer::{ChunkFetch, Transfer, TransferLimits};

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
        UnknownManifest {
            display("the manifest is not wanted here")
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
