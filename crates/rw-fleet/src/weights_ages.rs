//! Ages of requested weights, which entries exchange.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_protocol::RequestedVersionAge;

use crate::requested_weights::merge_age;
use crate::{ClusterState, PlatformCodec, RequestedWeights, Snapshot};

impl<D: PlatformCodec> ClusterState<D> {
    /// Known ages of the requested weights.
    pub fn weights_ages(&self) -> Vec<RequestedVersionAge> {
        let now = uptime();
        let snapshot = self.snapshot();
        let all = snapshot
            .requested_weights
            .iter()
            .flat_map(|(model, versions)| versions.iter().map(move |requested| (model, requested)));
        all.filter_map(|(model, requested)| {
            Some(RequestedVersionAge {
                model: model.clone(),
                version: requested.version,
                age_ms: requested.age(now)?.as_millis() as u64,
            })
        })
        .collect()
    }

    /// Sets the age of requests learned since `learned_since` by a read that may have
    /// delivered them late; `None` if it delivered them at an unknown time after the
    /// request.
    pub fn backdate_requests(&self, learned_since: Duration, age: Option<Duration>) {
        let mut state = self.state();
        let mut snapshot = Snapshot::clone(&state.snapshot);
        let requests = snapshot.requested_weights.values_mut().flatten();
        let is_new = |requested: &&mut RequestedWeights| {
            requested.observed_at >= learned_since && requested.observed_age == Some(Duration::ZERO)
        };
        for requested in requests.filter(is_new) {
            requested.observed_age = age;
            if age.is_none() {
                requested.observed_at = self.started_at;
            }
        }
        state.snapshot = Arc::new(snapshot);
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
