//! Traits for the platform's services, and a client that implements them over
//! HTTP. Only `http.rs` knows the wire format.

mod http;
mod revision;
mod types;

pub use http::HttpPlatform;
pub use revision::Revision;
pub use types::{
    Commit, Condition, Error, FeedError, HostList, ObjectStore, Origin, Put, Result, Row,
    TableFeed, TableRows, TableService, Transaction, WeightStore,
};
