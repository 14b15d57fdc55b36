//! The operators' port: metrics, probes, plans, status.

mod plans;
mod reports;
mod server;

pub use server::serve_operators;
