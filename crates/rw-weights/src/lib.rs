//! Peer-to-peer distribution of model weights: chunk trees, transfers and the
//! store of verified chunks. Performs no I/O.

mod layout;
mod link_window;
mod load_schedule;
mod store;
mod transfer;

pub use layout::{DistributionPolicy, Layout, Peer, Source};
pub use link_window::{long_delay, Delivery, LinkWindow};
pub use load_schedule::load_delay;
pub use store::{MemoryChunkStore, StoredModel};
pub use transfer::{ChunkFetch, Transfer, TransferLimits};

use quick_error::quick_error;

quick_error! {
    /// Error on storing a chunk.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The bytes do not match their hash in the manifest.
        Corrupt(chunk: u32) {
            display("chunk {chunk} does not match its hash")
        }
        /// No model with this manifest id is stored or being fetched.
        UnknownManifest {
            display("no model with this manifest id is stored or being fetched")
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
