//! Backend servers as seen by the daemon beside them: model engines and plain
//! services.

mod http;
mod types;

pub use http::HttpBackend;
pub use types::{Backend, BackendState, Error, LoadOrder, ResponsePart, Result, StreamCall};
