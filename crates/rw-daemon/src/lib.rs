//! The daemon: an entry for callers, or the process beside a backend server.

mod context;
pub mod control;
mod entry;
mod error;
mod host;
mod operator;
pub mod peer;
mod start;

pub use context::Context;
pub use error::{Error, Result};
pub use start::{run, Options};
