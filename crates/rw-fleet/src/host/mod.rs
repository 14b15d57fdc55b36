//! The host: brings the backend server beside it the weights that operators
//! named, and passes them on to other hosts.

mod chunk_store;
mod collect;
mod digests;
mod reader;
mod runner;
mod stage;
mod weights_reconciler;

pub use chunk_store::{ChunkStore, StageRead};
pub use runner::{LoadOrder, Ordered, OriginClient, Runner, RunnerError, RunnerReport};
pub use weights_reconciler::reconcile_weights;
