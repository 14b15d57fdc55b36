//! Ragworttack on a platform that stores the state: entries send callers'
//! requests directly to backend servers, hosts load the weights of those
//! servers, and both follow the changes that operators and servers write to the
//! platform's store. The platform's own names and formats stay behind the
//! [`PlatformCodec`] and the store's client.

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
mod settings;
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
pub use settings::{Bounds, DaemonSettings, FleetRole};
pub use snapshot::{ReceivedStatus, RequestedWeights, Snapshot};
