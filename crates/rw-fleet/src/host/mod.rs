//! The host: brings the backend server beside it the weights that operators
//! named, and passes them on to other hosts.

mod chunk_store;
mod download;
mod fetch_manifest;
mod runner;
mod staged_reader;
mod staging;
mod weights_reconciler;

pub use chunk_store::{ChunkStore, StagedChunkRequest};
pub use runner::{LoadOrder, LoadOutcome, OriginClient, Runner, RunnerError, RunnerReport};
pub use weights_reconciler::reconcile_weights;
