//! Times of requests for weights, which daemons exchange.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_platform::Revision;
use rw_protocol::{Name, RequestedVersionTime, RowsReply, StoredRow, TableVersion};

use crate::requested_weights::merge_time;
use crate::{
    ClockReading, ClusterState, PlatformCodec, RequestedWeights, Snapshot, StoreClock, TimeSpan,
};

/// Requested weights by model, oldest request first.
pub(crate) type RequestsByModel = BTreeMap<Name, Vec<RequestedWeights>>;

// Merges the times that another daemon knows. Those on another clock are ignored.
fn merge_times(requests: &mut RequestsByModel, clock: &StoreClock, times: &[RequestedVersionTime]) {
    for time in times {
        if clock.era() != Some(time.era) {
            continue;
        }
        if let Some(versions) = requests.get_mut(&time.model) {
            let span = TimeSpan {
                earliest_ms: time.earliest_ms,
                latest_ms: time.latest_ms,
            };
            merge_time(versions, time.version, span);
        }
    }
}

impl Snapshot {
    // Takes a reading of the store's clock from the response to a call at `called_at`.
    // Times on the clock of an earlier era are shifted to the new clock.
    fn observe_store_clock(&mut self, reading: ClockReading, called_at: Duration) {
        let shift_ms = self.store_clock.observe(reading, called_at, uptime());
        let Some(shift_ms) = shift_ms else { return };
        for requested in self.requested_weights.values_mut().flatten() {
            // A time before the start of the new clock cannot be expressed on it.
            requested.requested = requested.requested.and_then(|span| span.shift(shift_ms));
        }
    }
}

impl<D: PlatformCodec> ClusterState<D> {
    /// Known times of requests for weights.
    pub fn request_times(&self) -> Vec<RequestedVersionTime> {
        let snapshot = self.snapshot();
        let Some(era) = snapshot.store_clock.era() else {
            return Vec::new();
        };
        let all = snapshot
            .requested_weights
            .iter()
            .flat_map(|(model, versions)| versions.iter().map(move |requested| (model, requested)));
        all.filter_map(|(model, requested)| {
            let span = requested.requested?;
            Some(RequestedVersionTime {
                model: model.clone(),
                version: requested.version,
                era,
                earliest_ms: span.earliest_ms,
                latest_ms: span.latest_ms,
            })
        })
        .collect()
    }

    /// What the store's clock shows now, as this daemon knows it; `None` before its first
    /// reading.
    pub fn store_clock(&self) -> Option<ClockReading> {
        self.snapshot().store_clock.read(uptime())
    }

    /// Takes a reading of the store's clock from a response of the given store version to
    /// a call at `called_at`, an uptime.
    pub fn observe_store_clock(&self, version: u64, clock_ms: u64, called_at: Duration) {
        let reading = ClockReading {
            era: Revision::from(version).era,
            time: TimeSpan::at(clock_ms),
        };
        let mut state = self.state();
        let mut snapshot = Snapshot::clone(&state.snapshot);
        snapshot.observe_store_clock(reading, called_at);
        if snapshot.store_clock != state.snapshot.store_clock {
            snapshot.merge_recorded_times(uptime());
            state.snapshot = Arc::new(snapshot);
        }
    }

    /// Merges times of requests for weights that another daemon knows.
    pub fn merge_request_times(&self, times: &[RequestedVersionTime]) {
        let mut state = self.state();
        let mut requests = state.snapshot.requested_weights.clone();
        merge_times(&mut requests, &state.snapshot.store_clock, times);
        if requests != state.snapshot.requested_weights {
            let mut snapshot = Snapshot::clone(&state.snapshot);
            snapshot.requested_weights = requests;
            state.snapshot = Arc::new(snapshot);
        }
    }

    /// Applies changed rows from the store, which were made within `made`.
    pub fn apply_changes(
        &self,
        rows: Vec<StoredRow>,
        table_versions: &[TableVersion],
        made: Option<TimeSpan>,
    ) {
        self.apply_and_merge(rows, table_versions, made, |_| {});
    }

    /// Applies the rows and times that another daemon sent in response to a request at
    /// `called_at`, an uptime.
    pub fn apply_reply(&self, reply: &RowsReply, called_at: Duration) {
        self.apply_and_merge(reply.rows.clone(), &reply.known, None, |snapshot| {
            if let Some(reading) = ClockReading::from_message(&reply.clock) {
                snapshot.observe_store_clock(reading, called_at);
            }
            let clock = snapshot.store_clock;
            merge_times(&mut snapshot.requested_weights, &clock, &reply.requested);
        });
    }
}
