//! Library behind `ragworttack`, the command-line client for operators. The
//! binary only parses the flags.

mod client;
pub mod commands;
mod error;

pub use client::Client;
pub use error::{Error, Result};
