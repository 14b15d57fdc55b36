//! Host role: loads the weights that operators requested on the backend server
//! beside it, and distributes them to other hosts.

mod archive;
mod chunk_sources;
mod chunk_store;
mod clients;
mod download;
mod fetch_manifest;
mod load_order;
mod load_proof;
mod reload;
mod staged_chunk_reader;
mod staging;
mod status_sender;
mod taken_weights;
mod target_version;
mod version_downloads;
mod weights_reconciler;

pub use archive::ObjectArchive;
pub use chunk_store::{ChunkStore, StagedChunkRequest};
pub use clients::{
    BackendClient, BackendReport, ClientError, LoadOrder, LoadOutcome, OriginClient, Result,
};
pub use staging::CONCURRENT_READS;
pub(crate) use weights_reconciler::reconcile_weights;
