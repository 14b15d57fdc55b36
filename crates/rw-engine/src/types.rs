use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use rw_protocol::Name;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a backend server gave no answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Nothing was sent: the server cannot be reached.
        Unreachable(msg: String) {
            display("backend server cannot be reached: {msg}")
        }
        /// The server refused; the call did not run.
        Refused(status: u16, msg: String) {
            display("backend server refused with status {status}: {msg}")
        }
        /// The call may have run.
        Broken(msg: String) {
            display("backend server broke off: {msg}")
        }
    }
}

/// Result of a call to a backend server.
pub type Result<T> = std::result::Result<T, Error>;

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct BackendState {
    /// Loaded model; empty when none.
    pub model: Name,
    /// Loaded version.
    pub version: Name,
    /// Manifest id that the load order named.
    pub manifest: Name,
    /// Highest fencing number seen, where the engine checks it.
    pub fence: u64,
    /// Calls that run, with a lag.
    pub running: u32,
}

/// Orders an engine to load a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadOrder {
    /// Model to load.
    pub model: Name,
    /// Version to load.
    pub version: Name,
    /// Manifest id that the engine reports back.
    pub manifest: Name,
    /// URL of the whole model's bytes.
    pub source: String,
    /// Fencing number.
    pub fence: u64,
}

/// A call that is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamCall {
    /// Id of the request, for the server's records and for cancelling.
    pub request_id: Name,
    /// Operation of a plain service, or the path of an engine.
    pub operation: Name,
    /// Idempotency key to pass on; empty for none.
    pub key: Name,
    /// Higher goes first.
    pub priority: u32,
    /// Body as the caller sent it.
    pub body: Bytes,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Version that the server says it answers from; empty for plain services.
    Version(Name),
    /// Bytes for the caller.
    Body(Bytes),
}

/// A backend server.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Reads what the server has loaded.
    fn state(&self) -> impl Future<Output = Result<BackendState>> + Send;
    /// Orders the server to load a model; returns when it is loaded.
    fn load(&self, order: &LoadOrder, limit: Duration) -> impl Future<Output = Result<()>> + Send;
    /// Runs a call and hands its answer to `sink` as it comes; a closed `sink`
    /// ends the call. Returns the status once the answer is whole.
    fn stream(
        &self,
        call: StreamCall,
        sink: flume::Sender<ResponsePart>,
    ) -> impl Future<Output = Result<u32>> + Send;
    /// Asks the server to stop a call.
    fn cancel(&self, request_id: &str) -> impl Future<Output = Result<()>> + Send;
}
