//! Stand-ins for the systems that ragworttack works with, and the tools that
//! tests, demos and benchmarks use to run complete deployments as real
//! processes. Not published.

pub mod caller;
pub mod client;
pub mod cluster;
pub mod engine;
pub mod layout;
mod logs;
pub mod measure;
pub mod model;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod server;
mod table;
