//! Client for backend servers, which are model engines or plain services. The
//! daemon beside a backend server uses it.

mod http;
mod types;

pub use http::HttpBackend;
pub use types::{Backend, BackendState, Error, LoadOrder, ResponsePart, Result, StreamCall};
