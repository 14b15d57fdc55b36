//! Ragworttack on a platform that keeps the state: entries send callers'
//! requests straight to backend servers, hosts bring those their weights, and
//! both learn what operators and servers write into the platform's store. The
//! platform's own names stay behind the [`Dialect`] and the store's client.

mod beliefs;
mod configuration;
pub mod connect;
mod context;
mod dialect;
pub mod entry;
mod error;
mod follow;
pub mod host;
mod neighbours;
mod peers;
mod run;
mod seeds;
mod site;
mod snapshot;

pub use beliefs::Beliefs;
pub use configuration::{
    BackendServer, CallKind, CallerLimits, Configuration, Daemon, Engine, Origin, Route, Service,
    Team,
};
pub use context::Cx;
pub use dialect::{Dialect, Fact, Headers, Tables};
pub use entry::{EventReader, Refusal};
pub use error::{Error, Result};
pub use run::{run, Outside};
pub use site::{Bounds, FleetRole, Site};
pub use snapshot::{NamedWeights, Noticed, Snapshot};
