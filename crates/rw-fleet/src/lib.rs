//! Ragworttack on a platform that keeps the state: entries send callers'
//! requests straight to backend servers, hosts bring those their weights, and
//! both learn what operators and servers write into the platform's store. The
//! platform's own names stay behind the [`Dialect`] and the store's client.

mod cluster_state;
mod codec;
mod configuration;
pub mod connect;
mod context;
pub mod entry;
mod error;
mod follow;
pub mod host;
mod peer_selection;
mod peers;
mod run;
mod seeds;
mod site;
mod snapshot;

pub use cluster_state::ClusterState;
pub use codec::{HeaderNames, PlatformCodec, RowContent, TableNames};
pub use configuration::{
    BackendServer, CallKind, CallerLimits, Configuration, Daemon, Engine, Origin, Route, Service,
    Team,
};
pub use context::Cx;
pub use entry::{EventReader, Refusal};
pub use error::{Error, Result};
pub use run::{run, ExternalClients};
pub use site::{Bounds, DaemonSettings, FleetRole};
pub use snapshot::{ReceivedNotice, RequestedWeights, Snapshot};
