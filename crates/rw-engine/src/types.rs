use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use rw_protocol::Name;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a call to a backend server failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The server could not be reached; nothing was sent.
        Unreachable(msg: String) {
            display("backend server cannot be reached: {msg}")
        }
        /// The server answered with this status instead of a result. It has not run
        /// the call if the status says so, as 429 and 503 do.
        Refused(status: u16, msg: String) {
            display("backend server refused with status {status}: {msg}")
        }
        /// The call failed after it was sent; it may have run.
        Broken(msg: String) {
            display("backend server broke off: {msg}")
        }
    }
}

/// Result of a call to a backend server.
pub type Result<T> = std::result::Result<T, Error>;

/// State of an engine: what it has loaded and how busy it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct BackendState {
    /// Loaded model; empty if there is none.
    pub model: Name,
    /// Loaded version.
    pub version: Name,
    /// Manifest id from the load order.
    pub manifest: Name,
    /// Highest fencing number seen, if the engine checks fencing numbers.
    pub fence: u64,
    /// Calls in progress; may lag behind.
    pub running: u32,
}

/// Order to an engine to load a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// Model to load.
    pub model: Name,
    /// Version to load.
    pub version: Name,
    /// Manifest id, which the engine reports back in its state.
    pub manifest: Name,
    /// URL from which the engine reads the complete model.
    pub source: String,
    /// Fencing number of the sender's lease.
    pub fence: u64,
}

/// A call to forward to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamCall {
    /// Id of the request, for the server's logs and for cancellation.
    pub request_id: Name,
    /// Operation of a plain service, which is its path there.
    pub operation: Name,
    /// Idempotency key to forward; empty for none.
    pub key: Name,
    /// Priority; the server runs calls of higher priority first.
    pub priority: u32,
    /// Request body, exactly as the caller sent it.
    pub body: Bytes,
}

/// Part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Model version that the server reports for the response; empty for plain
    /// services.
    Version(Name),
    /// Bytes to forward to the caller.
    Body(Bytes),
}

/// A backend server.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Reads the state of the server.
    fn state(&self) -> impl Future<Output = Result<BackendState>> + Send;
    /// Orders the server to load a model and waits until it is loaded, for at most
    /// `limit`.
    fn load(&self, order: &LoadOrder, limit: Duration) -> impl Future<Output = Result<()>> + Send;
    /// Runs a call and sends its response to `sink` as it arrives; a closed `sink`
    /// ends the call. Returns the HTTP status once the response is complete.
    fn stream(
        &self,
        call: StreamCall,
        sink: flume::Sender<ResponsePart>,
    ) -> impl Future<Output = Result<u32>> + Send;
    /// Requests cancellation of a call.
    fn cancel(&self, request_id: &str) -> impl Future<Output = Result<()>> + Send;
}
