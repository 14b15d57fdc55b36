//! The configuration that operators write, and the registrations of backend
//! servers and daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::{EngineProfile, PromptRetention};

/// How a route's requests are answered, and whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests run at most once; they are not retried if they may have run.
    NonIdempotent,
    /// Requests are answered with a stream of events.
    Streaming,
}

/// Shortest silence of a stream after which callers leave.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of a route's objective that callers wait for at least.
const OBJECTIVE_PATIENCE_FACTOR: u32 = 4;
/// Multiple of a route's maximum event gap that callers wait for at least.
const GAP_PATIENCE_FACTOR: u32 = 8;

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Name,
    /// `Host` header of the requests.
    pub host: Name,
    /// Path prefix, with a slash at both ends.
    pub prefix: Name,
    /// Kind of the route's requests.
    pub kind: CallKind,
    /// Time limit for the complete response.
    pub timeout: Duration,
    /// Target time to the response or its first event.
    pub objective: Duration,
    /// Target maximum time between two events.
    pub max_event_gap: Duration,
    /// Services and the weights by which requests are split between them.
    pub services: Vec<(Name, u32)>,
    /// Maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
    /// Priority of its requests; 0 goes first.
    pub priority: u32,
    /// Regions in which its requests may be served; empty allows all.
    pub allowed_regions: Vec<Name>,
}

impl Route {
    /// Silence of a stream, before its first event or after another one, after which callers
    /// leave.
    pub fn caller_patience(&self) -> Duration {
        (self.objective * OBJECTIVE_PATIENCE_FACTOR)
            .max(self.max_event_gap * GAP_PATIENCE_FACTOR)
            .max(MIN_CALLER_PATIENCE)
    }
}

/// A service and its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Inference engine of the service; `None` for services without a model.
    pub engine: Option<Arc<Engine>>,
    /// Origin of the models' weights, if this service is their origin.
    pub origin: Option<Origin>,
    /// Behaviour of its servers after a start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// What a server tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold after it starts during traffic.
    pub duration: Duration,
    /// Requests per second, from all entries together, that a cold server tolerates.
    pub requests_per_s: f64,
}

/// Inference engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Performance profile of the engine.
    pub profile: EngineProfile,
    /// Model that it serves.
    pub model: Name,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of chunks of its weights.
    pub chunks: u32,
    /// For how long it keeps prompts after their requests; `None` if it keeps none.
    pub retention: Option<PromptRetention>,
}

/// Origin of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Address of the origin.
    pub addr: SocketAddr,
    /// Availability zone of the origin.
    pub zone: Name,
}

/// A team and the keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name by which backend servers know the team.
    pub name: Name,
    /// Valid keys.
    pub keys: Vec<Name>,
    /// Priority of its requests, which goes before that of the route; 0 goes first.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served; empty allows all.
    pub allowed_regions: Vec<Name>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request has to arrive.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

/// Current configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version of the configuration; it only increases.
    pub version: u64,
    /// Routes ordered by host, and by descending prefix length within a host.
    pub routes: Vec<Arc<Route>>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` when no route needs a key.
    pub teams: Option<Vec<Team>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Returns the route of a host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        self.find_route(host, path).cloned()
    }

    pub(crate) fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self
            .routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host));
        let found = of_host.filter(|r| path.starts_with(&*r.prefix));
        found.max_by_key(|r| r.prefix.len())
    }

    /// Returns the team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let mut teams = self.teams.iter().flatten();
        teams.find(|team| team.keys.iter().any(|k| **k == *key))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| *s.name == *name)
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|s| s.origin.as_ref())
    }
}

/// Registration of a backend server in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Id of this run of the server.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new requests; a draining server does not.
    pub ready: bool,
    /// Version of the weights that it has loaded, starting with the first
    /// layer; 0 if none.
    pub weights_version: u64,
    /// Number of loaded layers.
    pub layers: u32,
    /// Version of the store at which the server last wrote its row.
    pub written_at: u64,
    /// Start of this run of the server, in Unix milliseconds. Identifies the run,
    /// since a server may start again under the same id; 0 if not known.
    pub started_ms: u64,
    /// Number of the heartbeat with which the server last wrote its row. Increases
    /// during a run of the server.
    pub heartbeat: u64,
    /// Time for which the server stays cold after it wrote its row.
    pub cold: Duration,
}

/// Registration of a daemon that others can reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// Name of the daemon.
    pub name: Name,
    /// Address for other daemons.
    pub addr: Name,
    /// Its availability zone.
    pub zone: Name,
}
