//! The state that a daemon derives from rows and notices.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, RunnerNotice};

use crate::{BackendServer, Bounds, Configuration, Daemon};

/// Time before the bound for newly named weights from which requests insist on
/// them: a request that is sent may wait so long in a server's queue before it
/// begins.
pub(crate) const ENFORCEMENT_MARGIN: Duration = Duration::from_millis(1300);
/// Part of the time for newly named weights within which a later name makes
/// an earlier one not worth loading: the rest is what loading takes.
const SUPERSEDE_SHARE: f64 = 0.25;
/// Time for which a server counts as taking no requests after its daemon last
/// said so; three times the period at which daemons repeat it.
const PAUSE_TTL: Duration = Duration::from_secs(6);

/// Weights that an operator named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedWeights {
    /// Version that is to be served.
    pub version: u64,
    /// Uptime of the machine when this daemon learnt of it.
    pub received_at: Duration,
    /// Whether it was named before this daemon started, at an unknown time.
    pub before_start: bool,
}

/// What the daemon beside a backend server said last.
#[derive(Clone, Debug)]
pub struct ReceivedNotice {
    /// Uptime of this machine when it arrived.
    pub received_at: Duration,
    /// What it said.
    pub notice: RunnerNotice,
}

/// The state derived from the rows.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration in force.
    pub cfg: Option<Arc<Configuration>>,
    /// Backend servers by identity.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
    /// Weights by model, in the order in which they were named.
    pub weights: BTreeMap<Name, Vec<RequestedWeights>>,
    /// Daemons by name.
    pub daemons: BTreeMap<Name, Daemon>,
    /// What daemons say of the backend servers beside them.
    pub notices: BTreeMap<Name, ReceivedNotice>,
}

impl Snapshot {
    /// Version of the weights that a server has loaded, by the newer of its
    /// daemon's notice and its own entry.
    pub fn loaded_version(&self, server: &BackendServer) -> u64 {
        let received = self.notices.get(&server.id).map_or(0, |n| n.notice.weights);
        received.max(self.registered_version(server))
    }

    // A server that holds a part of the layers answers nothing alone.
    fn registered_version(&self, server: &BackendServer) -> u64 {
        let service = self
            .cfg
            .as_ref()
            .and_then(|cfg| cfg.service(&server.service));
        let layers = service
            .and_then(|s| s.engine.as_ref())
            .map_or(0, |e| e.layers);
        match server.layers >= layers {
            true => server.weights,
            false => 0,
        }
    }

    /// Whether the daemon beside a server said that it takes no requests now.
    /// Such a daemon repeats it; one that fell silent no longer counts.
    pub fn is_paused(&self, server: &Name, uptime: Duration) -> bool {
        let received = self.notices.get(server);
        received.is_some_and(|n| !n.notice.accepting && uptime < n.received_at + PAUSE_TTL)
    }

    /// Version of a model's weights that operators want served; the first one
    /// when none was named.
    pub fn target_version(&self, model: &str) -> u64 {
        let versions = self.weights.get(model);
        versions
            .and_then(|versions| versions.last())
            .map_or(1, |w| w.version)
    }

    /// Version that a host brings next to a server that has `loaded`; `None`
    /// when there is nothing to do. A version is passed over when the one
    /// after it can be in force by the time at which it would have to be.
    pub fn next_version(
        &self,
        model: &str,
        loaded: u64,
        bounds: &Bounds,
        uptime: Duration,
    ) -> Option<u64> {
        let Some(versions) = self
            .weights
            .get(model)
            .filter(|versions| !versions.is_empty())
        else {
            return (loaded == 0).then_some(1);
        };
        let supersede_window = bounds.rollout_deadline.mul_f64(SUPERSEDE_SHARE);
        let enforced_after = bounds.rollout_deadline.saturating_sub(ENFORCEMENT_MARGIN);
        let is_superseded = |at: usize| {
            let (Some(requested), Some(next)) = (versions.get(at), versions.get(at + 1)) else {
                return false;
            };
            let is_superseded_early =
                next.received_at.saturating_sub(requested.received_at) <= supersede_window;
            let is_overdue = uptime.saturating_sub(requested.received_at) > enforced_after;
            is_superseded_early || is_overdue || requested.before_start
        };
        let mut pending = (0..versions.len()).filter(|at| versions[*at].version > loaded);
        let next = pending.find(|at| !is_superseded(*at));
        next.map(|at| versions[at].version)
    }

    /// Time since the first name after the version that a server has loaded,
    /// on which requests insist before the later ones; `None` when there is
    /// none, or it was named at an unknown time.
    pub fn age_of_oldest_pending(
        &self,
        model: &str,
        loaded: u64,
        uptime: Duration,
    ) -> Option<Duration> {
        let versions = self.weights.get(model)?;
        let oldest = versions
            .iter()
            .find(|requested| requested.version > loaded)?;
        (!oldest.before_start).then(|| uptime.saturating_sub(oldest.received_at))
    }

    /// Oldest version on which a request may begin: the newest that was named
    /// so long ago that it has to be in force.
    pub fn min_version(&self, model: &str, bounds: &Bounds, uptime: Duration) -> u64 {
        let enforced_after = bounds.rollout_deadline.saturating_sub(ENFORCEMENT_MARGIN);
        let versions = self.weights.get(model).into_iter().flatten();
        let enforced = versions.filter(|requested| {
            let age = uptime.saturating_sub(requested.received_at);
            let limit = if requested.before_start {
                enforced_after.min(bounds.settling)
            } else {
                enforced_after
            };
            age >= limit
        });
        enforced
            .map(|requested| requested.version)
            .max()
            .unwrap_or(1)
    }
}
