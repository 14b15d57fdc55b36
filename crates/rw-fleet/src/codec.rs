use std::fmt;

use http::HeaderName;
use rw_protocol::{Name, StoredRow};

use crate::{BackendServer, Configuration, Daemon};

/// What a row of the platform's store says.
#[derive(Clone, Debug)]
pub enum RowContent {
    /// The configuration that an operator wrote.
    Configuration(Configuration),
    /// Weights that an operator named.
    Weights {
        /// Name of the model.
        model: Name,
        /// Version that is to be served.
        version: u64,
    },
    /// A backend server that registered itself.
    Server(BackendServer),
    /// A daemon that registered itself.
    Daemon(Daemon),
    /// Nothing that matters here.
    Other,
}

/// Tables of the platform's store that daemons follow.
#[derive(Clone, Copy, Debug)]
pub struct TableNames {
    /// What operators write: configuration and names of weights.
    pub operator: &'static str,
    /// Where backend servers register.
    pub servers: &'static str,
    /// Where daemons register.
    pub daemons: &'static str,
}

/// Names of the headers between callers, entries and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of one try of a caller, echoed by backend servers.
    pub attempt: HeaderName,
    /// Milliseconds that the sender goes on waiting.
    pub deadline_ms: HeaderName,
    /// Backend server that the request is meant for.
    pub expected_server: HeaderName,
    /// Version of the weights that the request is meant for.
    pub expected_weights: HeaderName,
    /// Team of the caller, set by the entry.
    pub team: HeaderName,
    /// Rank of the request at a backend server, 0 to 9.
    pub priority: HeaderName,
    /// Backend servers that share the work on one request.
    pub path: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_run: HeaderName,
    /// The backend server's signature of its answer.
    pub signature: HeaderName,
    /// Running, waiting and most requests of a backend server.
    pub load: HeaderName,
    /// Version of the weights that an answer was made with.
    pub weights: HeaderName,
    /// Prompt tokens and most answer tokens.
    pub tokens: HeaderName,
    /// Last event that the caller of a stream has seen.
    pub last_event: HeaderName,
    /// Scheme of the caller's key in the authorization header.
    pub key_scheme: &'static str,
}

/// Translates what the platform says into the types of this crate.
pub trait PlatformCodec: Send + Sync + 'static {
    /// Why a row cannot be used.
    type Error: fmt::Display;

    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Names of tables.
    fn tables(&self) -> TableNames;
    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;
    /// Reads a row.
    fn decode(&self, row: &StoredRow) -> Result<RowContent, Self::Error>;
    /// Writes the row by which a daemon registers.
    fn encode_daemon(&self, daemon: &Daemon) -> Vec<u8>;
}
