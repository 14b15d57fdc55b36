//! Interfaces of the clients that a host uses for its backend server and for the
//! origin of weights.

use std::future::Future;
use std::ops::Range;

use bytes::Bytes;
use quick_error::quick_error;
use rw_protocol::{Manifest, Name};

use crate::Origin;

quick_error! {
    /// Reason why a call to a backend server or to the origin of weights
    /// failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ClientError {
        /// The call failed.
        Failed(msg: String) {
            display("{msg}")
        }
        /// The chunk does not exist.
        Missing {
            display("no such chunk")
        }
        /// The origin no longer offers the version.
        Superseded {
            display("the version is no longer offered")
        }
    }
}

/// Result of a call to a backend server or the origin.
pub type Result<T> = std::result::Result<T, ClientError>;

/// Report of a backend server on its weights and load orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendReport {
    /// Version of the loaded weights; 0 if none.
    pub weights_version: u64,
    /// First loaded layer.
    pub from: u32,
    /// Number of loaded layers.
    pub layers: u32,
    /// Version of the loaded layers, even if they are not all; 0 if none.
    pub layers_version: u64,
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of load orders that took effect since the server started.
    pub sequence: u64,
    /// Start time of the server in Unix milliseconds; 0 if not reported.
    pub started_ms: u64,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// Order to load staged weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Model to load.
    pub model: Name,
    /// Staged version.
    pub version: u64,
    /// Layers to hold afterwards; all if `None`. The server drops others, and loads only
    /// those that it does not have.
    pub layers: Option<Range<u32>>,
    /// Expected number of load orders that took effect since the server started.
    pub sequence: u64,
}

/// Response of a backend server to a load order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The load started.
    Started,
    /// The order has already taken effect.
    InEffect,
    /// The order does not match the server's state, which has to be read again.
    Conflict,
}

/// Client of the backend server beside a host's daemon.
pub trait BackendClient: Clone + Send + Sync + 'static {
    /// Reads the server's report.
    fn report(&self) -> impl Future<Output = Result<BackendReport>> + Send;
    /// Writes a chunk to the server's staging area.
    fn stage(
        &self,
        model: &Name,
        chunk: u32,
        body: Bytes,
    ) -> impl Future<Output = Result<()>> + Send;
    /// Reads a chunk from the staging area.
    fn read_staged(&self, model: &Name, chunk: u32) -> impl Future<Output = Result<Bytes>> + Send;
    /// Orders the server to load the staged weights.
    fn load(&self, order: &LoadOrder) -> impl Future<Output = Result<LoadOutcome>> + Send;
}

/// Client of the origin of weights.
pub trait OriginClient: Clone + Send + Sync + 'static {
    /// Reads the manifest of a version, which contains the digests of its chunks.
    fn manifest(
        &self,
        origin: &Origin,
        model: &Name,
        version: u64,
    ) -> impl Future<Output = Result<Manifest>> + Send;
    /// Reads one chunk; the caller verifies it.
    fn chunk(
        &self,
        origin: &Origin,
        model: &Name,
        version: u64,
        chunk: u32,
    ) -> impl Future<Output = Result<Bytes>> + Send;
}
