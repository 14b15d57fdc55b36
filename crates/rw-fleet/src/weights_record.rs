//! Record of when operators requested weights. Daemons keep it in the platform's store,
//! so that they know the rollout deadlines even if all of them restart at once.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_platform::{Revision, TableFeed};
use rw_protocol::Name;
use tokio::time::timeout;

use crate::peer_selection::store_readers;
use crate::requested_weights::merge_age;
use crate::{ClusterState, Cx, PlatformCodec, Snapshot};

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
    /// Time of the request on the store's steady clock, in milliseconds.
    pub requested_at_ms: u64,
}

/// Recorded requests for a model's weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightsRecord {
    /// Name of the model.
    pub model: Name,
    /// Requests, oldest first.
    pub requests: Vec<RecordedRequest>,
}

/// Estimate of the store's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreClock {
    last: Option<Reading>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    era: u32,
    clock_ms: u64,
    received_at: Duration,
}

impl StoreClock {
    /// Takes a reading from a response; returns whether it improves the estimate. A slow
    /// response makes the clock look late, so the reading that is furthest ahead counts.
    pub(crate) fn observe(&mut self, era: u32, clock_ms: u64, uptime: Duration) -> bool {
        let is_better = self
            .last
            .is_none_or(|last| (era, clock_ms) > (last.era, last.clock_at(uptime)));
        if is_better {
            self.last = Some(Reading {
                era,
                clock_ms,
                received_at: uptime,
            });
        }
        is_better
    }

    /// Time of the store's clock in milliseconds; `None` before the first reading.
    pub(crate) fn now_ms(&self, uptime: Duration) -> Option<u64> {
        self.last.map(|last| last.clock_at(uptime))
    }
}

impl Reading {
    fn clock_at(&self, uptime: Duration) -> u64 {
        let elapsed = uptime.saturating_sub(self.received_at);
        self.clock_ms + elapsed.as_millis() as u64
    }
}

impl Snapshot {
    /// Merges the recorded ages into those of the requested weights. A time that the
    /// clock has not reached belongs to another clock and is ignored.
    pub(crate) fn merge_recorded_ages(&mut self, uptime: Duration) {
        let Some(now_ms) = self.store_clock.now_ms(uptime) else {
            return;
        };
        for record in self.weights_records.values() {
            let Some(versions) = self.requested_weights.get_mut(&record.model) else {
                continue;
            };
            for request in &record.requests {
                if let Some(age_ms) = now_ms.checked_sub(request.requested_at_ms) {
                    let age = Duration::from_millis(age_ms);
                    merge_age(versions, request.version, age, uptime);
                }
            }
        }
    }

    // Whether the record has a version with the given time or an earlier one.
    fn is_recorded(&self, model: &Name, version: u64, requested_at_ms: u64) -> bool {
        let records = self.weights_records.values();
        let mut requests = records
            .filter(|record| record.model == *model)
            .flat_map(|record| &record.requests);
        requests.any(|request| {
            request.version == version && request.requested_at_ms <= requested_at_ms + TOLERANCE_MS
        })
    }
}

impl<D: PlatformCodec> ClusterState<D> {
    /// Takes a reading of the store's steady clock from a response of the given store
    /// version.
    pub fn observe_store_clock(&self, version: u64, clock_ms: u64) {
        let mut state = self.state();
        let now = uptime();
        let era = Revision::from(version).era;
        let mut clock = state.snapshot.store_clock;
        if clock.observe(era, clock_ms, now) {
            let mut snapshot = Snapshot::clone(&state.snapshot);
            snapshot.store_clock = clock;
            snapshot.merge_recorded_ages(now);
            state.snapshot = Arc::new(snapshot);
        }
    }

    /// Records to write: those of models with requests whose times are known here and
    /// are missing from the store.
    pub fn missing_weights_records(&self) -> Vec<WeightsRecord> {
        let now = uptime();
        let state = self.state();
        let Some(now_ms) = state.snapshot.store_clock.now_ms(now) else {
            return Vec::new();
        };
        let records = state.snapshot.requested_weights.iter();
        let records = records.map(|(model, versions)| WeightsRecord {
            model: model.clone(),
            requests: versions
                .iter()
                .filter_map(|requested| {
                    let age_ms = requested.age(now)?.as_millis() as u64;
                    Some(RecordedRequest {
                        version: requested.version,
                        requested_at_ms: now_ms.saturating_sub(age_ms),
                    })
                })
                .collect(),
        });
        let is_recorded = |record: &WeightsRecord, request: &RecordedRequest| {
            let at_ms = request.requested_at_ms;
            state
                .snapshot
                .is_recorded(&record.model, request.version, at_ms)
        };
        records
            .filter(|record| !record.requests.iter().all(|r| is_recorded(record, r)))
            .collect()
    }
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
                .map(|r| format!("{}@{}", r.version, r.requested_at_ms))
                .collect();
            let detail = format!("model={} requested_at_ms={}", record.model, times.join(","));
            cx.recorder.emit(Event::WeightsRecorded, &detail);
        }
        Ok(Err(err)) => log::debug!("recording requested weights failed, retrying: {err}"),
        Err(_) => log::debug!("recording requested weights timed out, retrying"),
    }
}
