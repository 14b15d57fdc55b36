//! State that a daemon derives from the store's rows and the server statuses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, ServerStatus};

use crate::request_times::RequestsByModel;
use crate::requested_weights::enforced_after;
use crate::{
    BackendServer, Bounds, Configuration, Daemon, EndedEvacuation, Evacuation, LoadRecord,
    StoreClock, StoredLoadRecord, StoredQuarantine, WeightsRecord,
};

/// Share of the rollout deadline; a version that is followed by a newer one
/// within it is not loaded. Loading the newer one needs the rest of the time.
const SUPERSEDE_SHARE: f64 = 0.25;
/// How long a server counts as paused after the last status that reports it;
/// three times the interval at which daemons repeat the status.
const PAUSE_TTL: Duration = Duration::from_secs(6);

/// Latest status from the daemon beside a backend server.
#[derive(Clone, Debug)]
pub struct ReceivedStatus {
    /// Uptime of this machine when the status arrived.
    pub received_at: Duration,
    /// The status.
    pub status: ServerStatus,
}

/// Weights with which a backend server may answer requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrustedWeights {
    /// Start of the server in Unix milliseconds; `None` if its row is not known yet.
    pub started_ms: Option<u64>,
    /// Version that the host of the server vouched for last; 0 if it withdrew that.
    pub version: u64,
    /// Number of the status that says so; 0 if none does.
    pub sequence: u64,
}

/// State of the platform at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Current configuration.
    pub cfg: Option<Arc<Configuration>>,
    /// Backend servers by identity.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
    /// Requested weights by model, oldest request first.
    pub requested_weights: RequestsByModel,
    /// Estimate of the store's steady clock.
    pub store_clock: StoreClock,
    /// Records of when weights were requested, by the key of their row.
    pub weights_records: BTreeMap<Name, WeightsRecord>,
    /// Recorded quarantines, by the key of their row.
    pub quarantines: BTreeMap<Name, StoredQuarantine>,
    /// Records of loaded weights, by the key of their row.
    pub load_records: BTreeMap<Name, StoredLoadRecord>,
    /// The latest of these records by server and its start.
    pub latest_records: BTreeMap<(Name, u64), LoadRecord>,
    /// Evacuations in force, by the key of their row.
    pub evacuations: BTreeMap<Name, Evacuation>,
    /// The last evacuation of each availability zone that has ended, by zone.
    pub ended_evacuations: BTreeMap<Name, EndedEvacuation>,
    /// Uptimes until which backend servers are cold by their rows, by identity.
    pub cold_servers: BTreeMap<Name, Duration>,
    /// Daemons by name.
    pub daemons: BTreeMap<Name, Daemon>,
    /// Latest status of each backend server, by its identity.
    pub server_statuses: BTreeMap<Name, ReceivedStatus>,
    /// Trusted weights of each backend server, by its identity.
    pub trusted_weights: BTreeMap<Name, TrustedWeights>,
}

impl Snapshot {
    /// Version of the weights that a server has loaded: the higher of the
    /// versions in its status and its own row.
    pub fn loaded_version(&self, server: &BackendServer) -> u64 {
        let received = self
            .server_statuses
            .get(&server.id)
            .map_or(0, |received| received.status.weights);
        received.max(self.registered_version(server))
    }

    // A server that holds only some of the layers cannot answer requests alone.
    pub(crate) fn registered_version(&self, server: &BackendServer) -> u64 {
        let service = self
            .cfg
            .as_ref()
            .and_then(|cfg| cfg.service(&server.service));
        let layers = service
            .and_then(|s| s.engine.as_ref())
            .map_or(0, |e| e.layers);
        match server.layers >= layers {
            true => server.weights_version,
            false => 0,
        }
    }

    /// Whether the weights that a server has loaded may answer requests: its host vouches
    /// for exactly this version, in a status or in the record of the server's current
    /// lifetime. The later of both decides.
    pub fn has_trusted_weights(&self, server: &BackendServer) -> bool {
        let trusted = self.trusted_weights.get(&server.id).copied();
        let trusted = trusted.unwrap_or_default();
        let record = self.load_record(server);
        let version = record
            .filter(|record| record.sequence > trusted.sequence)
            .map_or(trusted.version, |record| record.version);
        version > 0 && version == self.loaded_version(server)
    }

    /// Whether the daemon beside a server has reported that the server accepts
    /// no requests. The daemon repeats such a status; one that is not repeated
    /// expires.
    pub fn is_paused(&self, server: &Name, uptime: Duration) -> bool {
        let received = self.server_statuses.get(server);
        received.is_some_and(|r| !r.status.accepting && uptime < r.received_at + PAUSE_TTL)
    }

    /// Version of a model that operators requested last; 1 if none was
    /// requested.
    pub fn target_version(&self, model: &str) -> u64 {
        let versions = self.requested_weights.get(model);
        versions
            .and_then(|versions| versions.last())
            .map_or(1, |w| w.version)
    }

    /// Version to load next on a server that has `loaded`; `None` when there is
    /// nothing to do. Versions whose deadline has passed or is not known are skipped
    /// if there is a later one. Of the others, the newest is loaded that was requested
    /// early enough to be rolled out by the deadline of the oldest.
    pub fn next_version(
        &self,
        model: &str,
        loaded: u64,
        bounds: &Bounds,
        uptime: Duration,
    ) -> Option<u64> {
        let Some(versions) = self
            .requested_weights
            .get(model)
            .filter(|versions| !versions.is_empty())
        else {
            return (loaded == 0).then_some(1);
        };
        let supersede_window = bounds.rollout_deadline.mul_f64(SUPERSEDE_SHARE);
        let mut pending = versions
            .iter()
            .filter(|requested| requested.version > loaded);
        let in_time = pending.clone().filter_map(|requested| {
            let age = requested.age(&self.store_clock, uptime)?;
            (age <= enforced_after(bounds)).then_some((requested.version, age))
        });
        let oldest_age = in_time.clone().next().map(|(_, age)| age);
        let superseding = in_time.filter(|(_, age)| {
            oldest_age.is_some_and(|oldest| oldest.saturating_sub(*age) <= supersede_window)
        });
        let next = superseding.map(|(version, _)| version).next_back();
        next.or_else(|| pending.next_back().map(|requested| requested.version))
    }

    /// Time since operators requested the oldest version newer than `loaded`,
    /// which callers' requests require before any later one. `None` when there
    /// is none or its time is not known.
    pub fn age_of_oldest_pending(
        &self,
        model: &str,
        loaded: u64,
        uptime: Duration,
    ) -> Option<Duration> {
        let versions = self.requested_weights.get(model)?;
        let oldest = versions
            .iter()
            .find(|requested| requested.version > loaded)?;
        oldest.age(&self.store_clock, uptime)
    }

    /// Time since operators requested a version; `None` if that is not known.
    pub fn requested_age(&self, model: &str, version: u64, uptime: Duration) -> Option<Duration> {
        let versions = self.requested_weights.get(model)?;
        let requested = versions.iter().find(|w| w.version == version)?;
        requested.age(&self.store_clock, uptime)
    }

    /// Minimum version on which a caller's request may start: the newest whose
    /// rollout deadline, less the enforcement margin, has passed; 1 if there is
    /// none. The deadline of a version requested at an unknown time before this
    /// daemon started is the end of the daemon's settling time.
    pub fn min_version(&self, model: &str, bounds: &Bounds, uptime: Duration) -> u64 {
        let versions = self.requested_weights.get(model).into_iter().flatten();
        let enforced =
            versions.filter(|requested| requested.is_enforced(bounds, &self.store_clock, uptime));
        enforced
            .map(|requested| requested.version)
            .max()
            .unwrap_or(1)
    }
}
