use std::future::Future;

use bytes::Bytes;
use quick_error::quick_error;
use rw_protocol::{Manifest, Name};

use crate::Origin;

quick_error! {
    /// Why a backend server or the origin of weights gave no result.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RunnerError {
        /// The call failed.
        Failed(msg: String) {
            display("{msg}")
        }
        /// There is no such chunk.
        Missing {
            display("no such chunk")
        }
        /// The origin no longer has the version.
        Superseded {
            display("the version is no longer offered")
        }
    }
}

/// Result of a call to a backend server or the origin.
pub type Result<T> = std::result::Result<T, RunnerError>;

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerReport {
    /// Version of the weights that are loaded from the first layer on; 0 is
    /// none.
    pub weights: u64,
    /// How many layers of them are loaded.
    pub layers: u32,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that began something since the server started.
    pub sequence: u64,
    /// Unix milliseconds at which the server started; 0 when it does not say.
    pub started_ms: u64,
}

/// An order to load staged weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Model to load.
    pub model: Name,
    /// Version that is staged.
    pub version: u64,
    /// Order count that the server must have.
    pub sequence: u64,
}

/// How a backend server took an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// It began.
    Started,
    /// It is in effect already.
    InEffect,
    /// It does not fit the server's state; read that again.
    Conflict,
}

/// The backend server beside a host's daemon.
pub trait Runner: Clone + Send + Sync + 'static {
    /// Its state.
    fn report(&self) -> impl Future<Output = Result<RunnerReport>> + Send;
    /// Puts a chunk where it loads weights from.
    fn stage(
        &self,
        model: &Name,
        chunk: u32,
        body: Bytes,
    ) -> impl Future<Output = Result<()>> + Send;
    /// Reads a staged chunk back.
    fn read_staged(&self, model: &Name, chunk: u32) -> impl Future<Output = Result<Bytes>> + Send;
    /// Orders it to load what is staged.
    fn load(&self, order: &LoadOrder) -> impl Future<Output = Result<LoadOutcome>> + Send;
}

/// The origin of weights.
pub trait OriginClient: Clone + Send + Sync + 'static {
    /// Digests of a version's chunks.
    fn manifest(
        &self,
        origin: &Origin,
        model: &Name,
        version: u64,
    ) -> impl Future<Output = Result<Manifest>> + Send;
    /// Bytes of one chunk; the caller verifies them.
    fn chunk(
        &self,
        origin: &Origin,
        model: &Name,
        version: u64,
        chunk: u32,
    ) -> impl Future<Output = Result<Bytes>> + Send;
}
