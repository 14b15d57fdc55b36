//! Ages of requested weights, which entries exchange.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_protocol::RequestedVersionAge;

use crate::requested_weights::merge_age;
use crate::{Bounds, ClusterState, PlatformCodec, RequestedWeights, Snapshot};

impl<D: PlatformCodec> ClusterState<D> {
    /// Ages of the requested weights, without models whose ages are not known
    /// yet. Versions requested before this daemon started count as past the
    /// rollout deadline once the settling time has passed.
    pub fn weights_ages(&self, bounds: &Bounds) -> Vec<RequestedVersionAge> {
        let now = uptime();
        let snapshot = self.snapshot();
        let age = |requested: &RequestedWeights| requested.reported_age(bounds, now);
        let models = snapshot
            .requested_weights
            .iter()
            .filter(|(_, versions)| versions.iter().all(|requested| age(requested).is_some()));
        let all = models
            .flat_map(|(model, versions)| versions.iter().map(move |requested| (model, requested)));
        all.filter_map(|(model, requested)| {
            Some(RequestedVersionAge {
                model: model.clone(),
                version: requested.version,
                age_ms: age(requested)?.as_millis() as u64,
            })
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
        for reported in ages {
            if let Some(versions) = weights.get_mut(&reported.model) {
                let age = Duration::from_millis(reported.age_ms);
                merge_age(versions, reported.version, age, now);
            }
        }
        if weights != state.snapshot.requested_weights {
            let mut snapshot = Snapshot::clone(&state.snapshot);
            snapshot.requested_weights = weights;
            state.snapshot = Arc::new(snapshot);
        }
    }
}
