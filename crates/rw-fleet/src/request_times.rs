//! Times of requests for weights, which daemons exchange.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_platform::Revision;
use rw_protocol::{Name, RequestedVersionTime, RowsReply, StoredRow, TableVersion};

use crate::requested_weights::{merge_time, push_requested};
use crate::{
    ClockReading, ClusterState, PlatformCodec, RequestedWeights, RowContent, Snapshot, StoreClock,
    TimeSpan,
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
            let is_known = time.latest_ms > 0;
            merge_time(versions, time.version, is_known.then_some(span));
        }
    }
}

impl Snapshot {
    // Another daemon may have sent a row without knowing when it was made.
    pub(crate) fn merge_time_made(&mut self, content: &RowContent, made: TimeSpan) {
        if let RowContent::Weights { model, version } = content {
            if let Some(versions) = self.requested_weights.get_mut(model) {
                merge_time(versions, *version, Some(made));
            }
        }
        if let RowContent::Evacuation(zone) = content {
            self.merge_evacuation_time(zone, made);
        }
    }

    // Takes a reading of the store's clock from the response to a call at `called_at`.
    // Times on the clock of an earlier era are shifted to the new clock.
    fn observe_store_clock(&mut self, reading: ClockReading, called_at: Duration) {
        let shift_ms = self.store_clock.observe(reading, called_at, uptime());
        let Some(shift_ms) = shift_ms else { return };
        for requested in self.requested_weights.values_mut().flatten() {
            // A time before the start of the new clock cannot be expressed on it.
            requested.requested = requested.requested.and_then(|span| span.shift(shift_ms));
        }
        self.shift_evacuations(shift_ms);
    }
}

impl<D: PlatformCodec> ClusterState<D> {
    // Adds a version that operators requested within `made`; returns false for one that is
    // older than the known ones.
    pub(crate) fn add_requested(
        &self,
        snapshot: &mut Snapshot,
        row_version: u64,
        model: Name,
        version: u64,
        made: Option<TimeSpan>,
    ) -> bool {
        let newest = snapshot.target_version(&model);
        if newest < version {
            let (earliest_ms, latest_ms) =
                made.map_or((0, 0), |made| (made.earliest_ms, made.latest_ms));
            let detail = format!(
                "model={model} version={version} row_version={row_version} \
                 earliest_ms={earliest_ms} latest_ms={latest_ms}"
            );
            self.recorder.emit(Event::WeightsNamed, &detail);
            let requested = RequestedWeights {
                version,
                requested: made,
                started_at: self.started_at,
            };
            let versions = snapshot.requested_weights.entry(model).or_default();
            push_requested(versions, requested);
        }
        newest <= version
    }

    /// Times of requests for weights. A version whose time is not known is among them, since
    /// another daemon may know only newer ones.
    pub fn request_times(&self) -> Vec<RequestedVersionTime> {
        let snapshot = self.snapshot();
        let Some(era) = snapshot.store_clock.era() else {
            return Vec::new();
        };
        let all = snapshot
            .requested_weights
            .iter()
            .flat_map(|(model, versions)| versions.iter().map(move |requested| (model, requested)));
        all.map(|(model, requested)| RequestedVersionTime {
            model: model.clone(),
            version: requested.version,
            era,
            earliest_ms: requested.requested.map_or(0, |span| span.earliest_ms),
            latest_ms: requested.requested.map_or(0, |span| span.latest_ms),
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
            time: TimeSpan {
                earliest_ms: clock_ms,
                latest_ms: clock_ms + 1,
            },
        };
        let mut state = self.state();
        let mut snapshot = Snapshot::clone(&state.snapshot);
        snapshot.observe_store_clock(reading, called_at);
        if snapshot.store_clock != state.snapshot.store_clock {
            snapshot.merge_recorded_times();
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
