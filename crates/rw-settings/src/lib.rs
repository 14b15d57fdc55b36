//! Deployment settings: one INI file for a whole deployment, which is validated
//! completely against the schema before anything starts.

mod check;
mod deployment;
#[rustfmt::skip]
mod generated;
mod reference;

pub use check::{Diagnostic, SCHEMA};
pub use deployment::{load, parse, Deployment, Error, Result};
pub use generated::*;
pub use reference::reference;
