//! The host: brings the backend server beside it the weights that operators
//! named, and passes them on to other hosts.

mod collect;
mod digests;
mod keeper;
mod reader;
mod runner;
mod shelf;
mod stage;

pub use keeper::keep_weights;
pub use runner::{LoadOrder, Ordered, OriginClient, Runner, RunnerError, RunnerReport};
pub use shelf::{Shelf, StageRead};
