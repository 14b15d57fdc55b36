//! Ages of requested weights, which entries exchange.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_protocol::RequestedVersionAge;

use crate::cluster_state::MAX_REQUESTED_VERSIONS;
use crate::{Bounds, ClusterState, PlatformCodec, RequestedWeights, Snapshot};

impl<D: PlatformCodec> ClusterState<D> {
    /// Ages of the requested weights, without models whose ages are not known
    /// yet. Versions requested before this daemon started count as past the
    /// rollout deadline once the settling time has passed.
    pub fn weights_ages(&self, bounds: &Bounds) -> Vec<RequestedVersionAge> {
        let now = uptime();
        let snapshot = self.snapshot();
        let age = |requested: &RequestedWeights| now.saturating_sub(requested.received_at);
        let is_age_known = |versions: &Vec<RequestedWeights>| {
            let mut before_start = versions.iter().filter(|requested| requested.before_start);
            before_start.all(|requested| age(requested) >= bounds.settling)
        };
        let models = snapshot
            .requested_weights
            .iter()
            .filter(|(_, versions)| is_age_known(versions));
        let all = models
            .flat_map(|(model, versions)| versions.iter().map(move |requested| (model, requested)));
        all.map(|(model, requested)| {
            let age = match requested.before_start {
                true => age(requested).max(bounds.rollout_deadline),
                false => age(requested),
            };
            RequestedVersionAge {
                model: model.clone(),
                version: requested.version,
                age_ms: age.as_millis() as u64,
            }
        })
        .collect()
    }

    /// Merges ages of requested weights from another daemon. This daemon may
    /// have started after the request and know only the latest version. The
    /// oldest age wins, since other daemons may have learned of the request
    /// late.
    pub fn merge_weights_ages(&self, ages: &[RequestedVersionAge]) {
        let now = uptime();
        let mut state = self.state();
        let mut weights = state.snapshot.requested_weights.clone();
        for age in ages {
            let received_at = now.saturating_sub(Duration::from_millis(age.age_ms));
            if let Some(versions) = weights.get_mut(&age.model) {
                merge_requested(versions, age.version, received_at);
            }
        }
        if weights != state.snapshot.requested_weights {
            let mut snapshot = Snapshot::clone(&state.snapshot);
            snapshot.requested_weights = weights;
            state.snapshot = Arc::new(snapshot);
        }
    }
}

// A version newer than the last one is ignored: it arrives with its own row.
fn merge_requested(versions: &mut Vec<RequestedWeights>, version: u64, received_at: Duration) {
    let requested = RequestedWeights {
        version,
        received_at,
        before_start: false,
    };
    match versions
        .iter()
        .position(|requested| requested.version >= version)
    {
        Some(at) if versions[at].version == version => {
            let earlier = versions[at].before_start || received_at < versions[at].received_at;
            if earlier {
                versions[at] = requested;
            }
        }
        Some(at) if versions.len() < MAX_REQUESTED_VERSIONS => versions.insert(at, requested),
        _ => {}
    }
}
