//! The daemon: an entry for callers, or the process beside a backend server.

mod context;
pub mod control;
mod entry;
mod error;
mod handler;
mod host;
mod operator;
pub mod peer;
mod start;
mod status;

pub use context::Context;
pub use error::{Error, Result};
pub use start::{run, Options};
