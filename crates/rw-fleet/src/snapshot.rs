//! The state that a daemon derives from rows and notices.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{Name, ServerStatus};

use crate::{BackendServer, Bounds, Configuration, Daemon};

/// Time before the bound for newly named weights from which requests insist on
/// them: a request that is sent may wait so long in a server's queue before it
/// begins.
pub(crate) const INSIST_MARGIN: Duration = Duration::from_millis(1300);
/// Part of the time for newly named weights within which a later name makes
/// an earlier one not worth loading: the rest is what loading takes.
const PASS_OVER_SHARE: f64 = 0.25;
/// Time for which a server counts as taking no requests after its daemon last
/// said so; three times the period at which daemons repeat it.
const PAUSE_LIFE: Duration = Duration::from_secs(6);

/// Weights that an operator named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedWeights {
    /// Version that is to be served.
    pub version: u64,
    /// Uptime of the machine when this daemon learnt of it.
    pub since: Duration,
    /// Whether it was named before this daemon started, at an unknown time.
    pub before_start: bool,
}

/// What the daemon beside a backend server said last.
#[derive(Clone, Debug)]
pub struct Noticed {
    /// Uptime of this machine when it arrived.
    pub at: Duration,
    /// What it said.
    pub notice: ServerStatus,
}

/// The state derived from the rows.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration in force.
    pub cfg: Option<Arc<Configuration>>,
    /// Backend servers by identity.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
    /// Weights by model, in the order in which they were named.
    pub weights: BTreeMap<Name, Vec<NamedWeights>>,
    /// Daemons by name.
    pub daemons: BTreeMap<Name, Daemon>,
    /// What daemons say of the backend servers beside them.
    pub notices: BTreeMap<Name, Noticed>,
}

impl Snapshot {
    /// Version of the weights that a server has loaded, by the newer of its
    /// daemon's notice and its own entry.
    pub fn loaded(&self, server: &BackendServer) -> u64 {
        let noticed = self.notices.get(&server.id).map_or(0, |n| n.notice.weights);
        noticed.max(self.loaded_by_entry(server))
    }

    // A server that holds a part of the layers answers nothing alone.
    fn loaded_by_entry(&self, server: &BackendServer) -> u64 {
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
        let noticed = self.notices.get(server);
        noticed.is_some_and(|n| !n.notice.accepting && uptime < n.at + PAUSE_LIFE)
    }

    /// Version of a model's weights that operators want served; the first one
    /// when none was named.
    pub fn wanted(&self, model: &str) -> u64 {
        let names = self.weights.get(model);
        names
            .and_then(|names| names.last())
            .map_or(1, |w| w.version)
    }

    /// Version that a host brings next to a server that has `loaded`; `None`
    /// when there is nothing to do. A version is passed over when the one
    /// after it can be in force by the time at which it would have to be.
    pub fn next_weights(
        &self,
        model: &str,
        loaded: u64,
        bounds: &Bounds,
        uptime: Duration,
    ) -> Option<u64> {
        let Some(names) = self.weights.get(model).filter(|names| !names.is_empty()) else {
            return (loaded == 0).then_some(1);
        };
        let close = bounds.weights_in_force.mul_f64(PASS_OVER_SHARE);
        let late = bounds.weights_in_force.saturating_sub(INSIST_MARGIN);
        let passed_over = |at: usize| {
            let (Some(named), Some(next)) = (names.get(at), names.get(at + 1)) else {
                return false;
            };
            let soon = next.since.saturating_sub(named.since) <= close;
            let overdue = uptime.saturating_sub(named.since) > late;
            soon || overdue || named.before_start
        };
        let mut open = (0..names.len()).filter(|at| names[*at].version > loaded);
        let next = open.find(|at| !passed_over(*at));
        next.map(|at| names[at].version)
    }

    /// Time since the first name after the version that a server has loaded,
    /// on which requests insist before the later ones; `None` when there is
    /// none, or it was named at an unknown time.
    pub fn age_of_oldest_due(
        &self,
        model: &str,
        loaded: u64,
        uptime: Duration,
    ) -> Option<Duration> {
        let names = self.weights.get(model)?;
        let first = names.iter().find(|named| named.version > loaded)?;
        (!first.before_start).then(|| uptime.saturating_sub(first.since))
    }

    /// Oldest version on which a request may begin: the newest that was named
    /// so long ago that it has to be in force.
    pub fn oldest_allowed(&self, model: &str, bounds: &Bounds, uptime: Duration) -> u64 {
        let in_force = bounds.weights_in_force.saturating_sub(INSIST_MARGIN);
        let names = self.weights.get(model).into_iter().flatten();
        let due = names.filter(|named| {
            let age = uptime.saturating_sub(named.since);
            let limit = if named.before_start {
                in_force.min(bounds.settling)
            } else {
                in_force
            };
            age >= limit
        });
        due.map(|named| named.version).max().unwrap_or(1)
    }
}
