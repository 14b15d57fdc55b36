//! The daemon: an entry that takes callers' requests, or the process beside a
//! host's backend server.

mod context;
pub mod control;
mod entry;
mod error;
mod handler;
mod host;
mod on_platform;
mod operator;
mod start;
mod status;

pub use context::Context;
pub use error::{Error, Result};
pub use on_platform::run_on_platform;
pub use start::{run, Options};
