//! Record of when operators requested weights. Daemons keep it in the platform's store,
//! so that they know the rollout deadlines even if all of them restart at once.

use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_platform::TableFeed;
use rw_protocol::Name;
use tokio::time::timeout;

use crate::peer_selection::store_readers;
use crate::requested_weights::merge_time;
use crate::{ClusterState, Cx, PlatformCodec, RequestedWeights, Snapshot, TimeSpan};

/// Time for which each store reader leaves writing to the one before it.
const READER_STAGGER: Duration = Duration::from_millis(600);
/// Interval at which store readers check the record without a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a write, until the store has delivered the row.
const REWRITE_DELAY: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Difference up to which a recorded time counts as the known one.
const TOLERANCE_MS: u64 = 500;

/// Request for a version of a model's weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRequest {
    /// Requested version.
    pub version: u64,
    /// When it was requested.
    pub requested: TimeSpan,
}

/// Recorded requests for a model's weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightsRecord {
    /// Name of the model.
    pub model: Name,
    /// Requests, oldest first.
    pub requests: Vec<RecordedRequest>,
}

impl Snapshot {
    /// Merges the recorded times into those of the requested weights.
    pub(crate) fn merge_recorded_times(&mut self) {
        for record in self.weights_records.values() {
            let Some(versions) = self.requested_weights.get_mut(&record.model) else {
                continue;
            };
            for request in &record.requests {
                merge_time(versions, request.version, Some(request.requested));
            }
        }
    }

    /// Adds a record. A time that the clock has not reached belongs to the clock of an
    /// earlier store and is dropped.
    pub(crate) fn add_record(&mut self, key: Name, mut record: WeightsRecord, uptime: Duration) {
        if let Some(now) = self.store_clock.read(uptime) {
            let latest_ms = now.time.latest_ms;
            record
                .requests
                .retain(|request| request.requested.earliest_ms <= latest_ms);
        }
        self.weights_records.insert(key, record);
    }

    // Whether the record has the time of a request, with little difference.
    fn is_recorded(&self, model: &Name, request: &RecordedRequest) -> bool {
        let records = self.weights_records.values();
        let mut recorded = records
            .filter(|record| record.model == *model)
            .flat_map(|record| &record.requests);
        recorded.any(|known| {
            let (known_ms, own_ms) = (known.requested.earliest_ms, request.requested.earliest_ms);
            known.version == request.version && known_ms.abs_diff(own_ms) <= TOLERANCE_MS
        })
    }
}

impl<D: PlatformCodec> ClusterState<D> {
    /// Records to write: those of models with requests whose times are known here and
    /// are missing from the store.
    pub fn missing_weights_records(&self) -> Vec<WeightsRecord> {
        let snapshot = self.snapshot();
        let records = snapshot.requested_weights.iter();
        let records = records.map(|(model, versions)| WeightsRecord {
            model: model.clone(),
            requests: versions.iter().filter_map(recorded_request).collect(),
        });
        let is_missing = |record: &WeightsRecord| {
            let mut requests = record.requests.iter();
            requests.any(|request| !snapshot.is_recorded(&record.model, request))
        };
        records.filter(is_missing).collect()
    }
}

fn recorded_request(weights: &RequestedWeights) -> Option<RecordedRequest> {
    Some(RecordedRequest {
        version: weights.version,
        requested: weights.requested?,
    })
}

/// Writes missing records. The first store reader writes at once, since all daemons may
/// restart right after a request; each further one if those before it do not.
pub async fn record_requests<D: PlatformCodec, S: TableFeed>(cx: Arc<Cx<D>>, store: S) {
    let changed = cx.cluster.subscribe();
    let mut missing_since = None;
    loop {
        if let Ok(Err(_)) = timeout(CHECK_INTERVAL, changed.recv_async()).await {
            return;
        }
        let missing = cx.cluster.missing_weights_records();
        if missing.is_empty() {
            missing_since = None;
            continue;
        }
        let now = cx.now();
        let missing_for = now - *missing_since.get_or_insert(now);
        let readers = store_readers(&cx);
        let rank = readers.iter().position(|d| d.name == cx.settings.name);
        if rank.is_none_or(|rank| missing_for < READER_STAGGER * rank as u32) {
            continue;
        }
        for record in &missing {
            write_record(&cx, &store, record).await;
        }
        tokio::time::sleep(REWRITE_DELAY).await;
        missing_since = None;
    }
}

async fn write_record<D: PlatformCodec, S: TableFeed>(
    cx: &Cx<D>,
    store: &S,
    record: &WeightsRecord,
) {
    let table = cx.codec.tables().daemons;
    let key = cx.codec.weights_record_key(&record.model);
    let value = cx.codec.encode_weights_record(record);
    let write = store.write_row(table, &key, &value);
    match timeout(WRITE_TIMEOUT, write).await {
        Ok(Ok(())) => {
            let requests = record.requests.iter();
            let times: Vec<String> = requests
                .map(|r| format!("{}@{}", r.version, r.requested.earliest_ms))
                .collect();
            let detail = format!("model={} requested_at_ms={}", record.model, times.join(","));
            cx.recorder.emit(Event::WeightsRecorded, &detail);
        }
        Ok(Err(err)) => log::debug!("recording requested weights failed, retrying: {err}"),
        Err(_) => log::debug!("recording requested weights timed out, retrying"),
    }
}
