//! The entry and host daemons for a platform with a store of its own. Entries
//! send callers' requests directly to backend servers, hosts load weights on
//! those servers, and both follow the changes that operators and servers write
//! to the platform's store. Only the [`PlatformCodec`] and the clients in
//! [`ExternalClients`] know the platform's names and formats.

mod change_times;
mod cluster_state;
mod codec;
mod cold_servers;
mod configuration;
pub mod connect;
mod contacts;
mod context;
mod departures;
pub mod entry;
mod eras;
mod error;
mod evacuations;
mod follow;
pub mod host;
mod kept_content;
mod limit_exchange;
mod load_record;
mod memory_guard;
mod peer_selection;
mod peers;
mod poison_notices;
mod process_limits;
mod quarantine_record;
mod random;
mod read_budget;
mod removed_rows;
mod request_times;
mod requested_weights;
mod row_compression;
mod run;
mod seeds;
mod server_statuses;
mod settings;
mod snapshot;
mod startup;
mod status_sequence;
mod store_clock;
mod store_feed;
mod weights_record;
mod whole_millis;

pub use change_times::{waits_at_store, CallTimes, ChangeTimes, ARRIVAL_TIME};
pub use cluster_state::ClusterState;
pub use codec::{HeaderNames, PlatformCodec, RowContent, TableNames};
pub use configuration::{
    BackendServer, CallKind, CallerLimits, ColdStart, Configuration, Daemon, Engine, Origin, Route,
    Service, Team,
};
pub use context::Cx;
pub use entry::{CallerSocket, EventReader, Refusal, SocketObserver, Stages};
pub use error::{Error, Result};
pub use evacuations::{EndedEvacuation, Evacuation};
pub use load_record::{LoadRecord, StoredLoadRecord};
pub use quarantine_record::{QuarantineRecord, StoredQuarantine};
pub use random::SharedRng;
pub use requested_weights::RequestedWeights;
pub use run::{run, ExternalClients};
pub use settings::{Bounds, DaemonSettings, FleetRole};
pub use snapshot::{ReceivedStatus, Snapshot};
pub use status_sequence::StatusSequence;
pub use store_clock::{ClockReading, StoreClock, TimeSpan};
pub use store_feed::long_poll_timeout;
pub use weights_record::{RecordedRequest, WeightsRecord};
pub use whole_millis::whole_millis;
