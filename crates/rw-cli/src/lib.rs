//! The operators' command, as a library that the thin binary runs.

mod client;
pub mod commands;
mod error;

pub use client::Client;
pub use error::{Error, Result};
