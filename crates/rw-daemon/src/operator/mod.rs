//! HTTP API for operators: metrics, health probes, plans and status.

mod plans;
mod reports;
mod server;

pub use server::serve_operator_api;
