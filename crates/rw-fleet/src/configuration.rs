use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::EngineProfile;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of events.
    Streaming,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Name,
    /// Host of the requests.
    pub host: Name,
    /// Path prefix, with a slash at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time to the answer, or the first event, that is on time.
    pub objective: Duration,
    /// Longest pause between events that is on time.
    pub max_pause: Duration,
    /// Services with the weights by which requests are split.
    pub services: Vec<(Name, u32)>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
}

/// How a service's backend servers work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Model engine behind it, if it generates.
    pub engine: Option<Arc<Engine>>,
    /// Where the weights of the models come from, if this is their origin.
    pub origin: Option<Origin>,
}

/// Model engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// How long it takes for its work.
    pub profile: EngineProfile,
    /// The model it serves.
    pub model: Name,
    /// Layers of the model.
    pub layers: u32,
    /// Chunks of its weights.
    pub chunks: u32,
}

/// Origin of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
}

/// A team and the keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name that backend servers are shown.
    pub name: Name,
    /// Keys that are valid.
    pub keys: Vec<Name>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for which an idle connection stays open.
    pub idle: Duration,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Number of the configuration; it only rises.
    pub version: u64,
    /// Routes by host; those of one host with the longest prefix first.
    pub routes: Vec<Arc<Route>>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` when no route needs a key.
    pub teams: Option<Vec<Team>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The route with the longest prefix among those of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let of_host = self
            .routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host));
        let found = of_host.filter(|r| path.starts_with(&*r.prefix));
        found.max_by_key(|r| r.prefix.len()).cloned()
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let mut teams = self.teams.iter().flatten();
        teams.find(|team| team.keys.iter().any(|k| **k == *key))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| *s.name == *name)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.iter().find_map(|s| s.origin.as_ref())
    }
}

/// What a backend server says of itself in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Identity of this start of the server.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests; a leaving one does not.
    pub ready: bool,
    /// Version of the weights that it holds, from the first layer on; 0 is
    /// none.
    pub weights: u64,
    /// How many layers of them it holds.
    pub layers: u32,
    /// Version of the store at which it last wrote its entry.
    pub written_at: u64,
}

/// A daemon that others may reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// Name of the daemon.
    pub name: Name,
    /// Where it answers other daemons.
    pub addr: Name,
    /// Its availability zone.
    pub zone: Name,
}
