use std::fmt;
use std::net::SocketAddr;

use http::{HeaderMap, HeaderName};
use rw_protocol::{Name, StoredRow};
use rw_routing::PromptChain;

use crate::{BackendServer, Configuration, Daemon, LoadRecord, QuarantineRecord, WeightsRecord};

/// Decoded content of a row of the platform's store.
#[derive(Clone, Debug)]
pub enum RowContent {
    /// Configuration written by an operator.
    Configuration(Configuration),
    /// Weights requested by an operator.
    Weights {
        /// Name of the model.
        model: Name,
        /// Requested version.
        version: u64,
    },
    /// Registration of a backend server.
    Server(BackendServer),
    /// Registration of a daemon.
    Daemon(Daemon),
    /// Record of when weights were requested, written by daemons.
    WeightsRecord(WeightsRecord),
    /// Record of the weights that a backend server has loaded, written by its host.
    LoadRecord(LoadRecord),
    /// Request of an operator that servers of this availability zone get no more requests.
    Evacuation(Name),
    /// A quarantine of parts of prompts, or of a request.
    Quarantine(QuarantineRecord),
    /// Other content, which daemons ignore.
    Other,
}

/// Names of the platform's tables that daemons follow.
#[derive(Clone, Copy, Debug)]
pub struct TableNames {
    /// Table of operators: configuration and requested weights.
    pub operator: &'static str,
    /// Table in which backend servers register.
    pub servers: &'static str,
    /// Table in which daemons register.
    pub daemons: &'static str,
}

/// Names of the headers between callers, entries and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of the caller's attempt, echoed by backend servers.
    pub attempt: HeaderName,
    /// Milliseconds for which the sender waits for the response.
    pub deadline_ms: HeaderName,
    /// Id of the backend server that the request is addressed to.
    pub expected_server: HeaderName,
    /// Version of the weights that the request requires.
    pub expected_weights: HeaderName,
    /// Team of the caller, set by the entry.
    pub team: HeaderName,
    /// Priority of the request at a backend server, 0 to 9.
    pub priority: HeaderName,
    /// Backend servers that share the work on one request.
    pub path: HeaderName,
    /// Indicates that the backend server did not run the request.
    pub not_run: HeaderName,
    /// The backend server's signature of its answer.
    pub signature: HeaderName,
    /// Indicates that the backend server is leaving.
    pub leaving: HeaderName,
    /// Requests per second that the backend server takes from all entries together.
    pub limit: HeaderName,
    /// Running, queued and maximum requests of a backend server, and optionally the time that
    /// work takes at its machine at this moment, in percent of the usual.
    pub load: HeaderName,
    /// Milliseconds for which a backend server stays cold.
    pub cold_start: HeaderName,
    /// Version of the weights that produced a response.
    pub weights: HeaderName,
    /// Prompt tokens and maximum completion tokens.
    pub tokens: HeaderName,
    /// Id of the last event that the caller of a stream has received.
    pub last_event: HeaderName,
    /// Scheme of the caller's key in the authorization header.
    pub key_scheme: &'static str,
}

/// Translates between the platform's formats and the types of this crate.
pub trait PlatformCodec: Send + Sync + 'static {
    /// Error of a row that cannot be decoded.
    type Error: fmt::Display;

    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Names of tables.
    fn tables(&self) -> TableNames;
    /// Parts of a request's prompt that other requests may share, in order. Empty if the
    /// request does not name them.
    fn shared_prompt_parts(&self, headers: &HeaderMap) -> Vec<Name>;
    /// Parts of a request's prompt with their tokens, as an engine reads them. Empty if the
    /// request does not name them.
    fn prompt_chain(&self, headers: &HeaderMap) -> PromptChain;
    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;
    /// Decodes a row.
    fn decode(&self, row: &StoredRow) -> Result<RowContent, Self::Error>;
    /// Encodes the row that registers a daemon.
    fn encode_daemon(&self, daemon: &Daemon) -> Vec<u8>;
    /// Key of the record of a model's requested weights, in the daemons' table.
    fn weights_record_key(&self, model: &str) -> Name;
    /// Encodes the record of a model's requested weights.
    fn encode_weights_record(&self, record: &WeightsRecord) -> Vec<u8>;
    /// Key of the record of the weights that the backend server at an address has loaded, in
    /// the daemons' table.
    fn load_record_key(&self, backend: SocketAddr) -> Name;
    /// Encodes the record of loaded weights.
    fn encode_load_record(&self, record: &LoadRecord) -> Vec<u8>;
    /// Key of the record of a quarantine, in the daemons' table.
    fn quarantine_key(&self, parts: &[Name]) -> Name;
    /// Encodes the record of a quarantine.
    fn encode_quarantine(&self, record: &QuarantineRecord) -> Vec<u8>;
}
