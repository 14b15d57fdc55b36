//! Which weights of the backend server count as sound: those whose load this host observed
//! from verified chunks to its end, those that the record of a host which did proves, and
//! those that the server held from its start.

use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::{manifest_id, Name};
use rw_weights::load_delay;

use super::chunk_store::version_name;
use super::load_order::RELOAD_INTERVAL;
use super::taken_weights::TakenWeights;
use super::weights_reconciler::WeightsReconciler;
use super::{BackendClient, BackendReport, OriginClient};
use crate::{LoadRecord, PlatformCodec};

/// Time after the first report for a record that the daemon before wrote last.
const RECORD_WAIT: Duration = Duration::from_secs(1);
/// Time over which hosts spread the loads of weights without any record: all hosts of a
/// service may lack theirs.
const RELOAD_SPREAD: Duration = Duration::from_secs(5);

/// A load that the server has accepted, in place of everything that it held.
#[derive(Debug)]
pub(super) struct AcceptedLoad {
    pub(super) started_ms: u64,
    pub(super) loads: u64,
    pub(super) version: u64,
    pub(super) manifest: Name,
}

impl<D: PlatformCodec, B: BackendClient, O: OriginClient> WeightsReconciler<D, B, O> {
    pub(super) fn is_sound(&self, report: &BackendReport) -> bool {
        self.watch.weights() == TakenWeights::Intact && !self.watch.has_pending_order(report)
    }

    // The stored record of the server's current lifetime.
    fn stored_record(&self, report: &BackendReport) -> Option<LoadRecord> {
        let key = self.cx.codec.load_record_key(self.cx.settings.backend?);
        let snapshot = self.cx.cluster.snapshot();
        let record = snapshot.load_records.get(&key)?.record.clone();
        (record.started_ms == report.started_ms).then_some(record)
    }

    /// Whether a record vouches for a version in the server's current lifetime. Until it
    /// is withdrawn, that version is not loaded again.
    pub(super) fn is_recorded(&self, report: &BackendReport, version: u64) -> bool {
        let record = self.stored_record(report);
        record.is_some_and(|record| record.version == version)
    }

    fn knows_records(&self) -> bool {
        let table = self.cx.codec.tables().daemons;
        self.cx.cluster.table_version(table) > 0
    }

    /// Whether nothing is known yet of weights that were loaded before this daemon started.
    /// It says nothing of them, and entries go on as before.
    pub(super) fn awaits_record(&self, report: &BackendReport) -> bool {
        self.watch.weights() == TakenWeights::Found
            && self.watch.is_found_at_start()
            && self.stored_record(report).is_none()
    }

    /// Adopts the record of weights that another daemon had loaded, or finds that there is
    /// none.
    pub(super) fn judge_found(&mut self, model: &Name, report: &BackendReport) {
        let stored = self.stored_record(report);
        if let Some(record) = &stored {
            self.status_sender.go_on_after(record.sequence);
        }
        if self.watch.weights() != TakenWeights::Found || report.busy {
            return;
        }
        let Some(own) = self
            .record_of(model, report)
            .filter(|_| self.knows_records())
        else {
            return;
        };
        let detail = format!(
            "server={} server_started_ms={} sequence={} version={} recorded={stored:?}",
            own.server, own.started_ms, own.loads, own.version
        );
        if stored
            .as_ref()
            .is_some_and(|record| record.proves_same(&own))
        {
            self.watch.set_weights(TakenWeights::Intact);
            self.cx.recorder.emit(Event::LoadAdopted, &detail);
            return;
        }
        let wait = match (self.watch.is_found_at_start(), stored) {
            (true, Some(_)) => RECORD_WAIT,
            (true, None) => {
                let key = version_name(model, report.layers_version);
                let (earlier_hosts, hosts) = self.load_rank(&key);
                RECORD_WAIT + load_delay(earlier_hosts, hosts, RELOAD_SPREAD)
            }
            // Another daemon beside the server may still verify its load.
            (false, _) => RELOAD_INTERVAL,
        };
        if uptime() < self.watch.observed_at() + wait {
            return;
        }
        self.watch.set_weights(TakenWeights::Damaged);
        self.cx.recorder.emit(Event::WeightsUnknown, &detail);
    }

    // The version that the server is loading from chunks that were intact when it took them.
    // It took all of them when it accepted the order, so the load needs no more proof, and its
    // record outlives a host that ends before the load.
    fn proven_load(&self, report: &BackendReport) -> Option<&AcceptedLoad> {
        let accepted = self.accepted_load.as_ref()?;
        let TakenWeights::Unverified(load) = self.watch.weights() else {
            return None;
        };
        let is_current = (report.started_ms, report.sequence)
            == (accepted.started_ms, accepted.loads)
            && report.busy
            && *self.staging.manifest_id() == accepted.manifest;
        let unproven = load.unproven(self.staging.chunks())?;
        (is_current && unproven.is_empty()).then_some(accepted)
    }

    /// Has the sound weights recorded, or the record of others withdrawn before the server
    /// loads that version again.
    pub(super) fn want_record(&mut self, model: &Name, report: &BackendReport) {
        let Some(own) = self.record_of(model, report) else {
            return;
        };
        let stored = self.stored_record(report);
        let holds_none = report.weights_version == 0 && !report.busy;
        let is_sound = self.is_sound(report) && !report.busy && report.weights_version > 0;
        // A record of other loads may come back with an older copy of the store, or with a late
        // write of an earlier daemon. Entries compare versions, not loads.
        let is_other_load = stored.as_ref().is_some_and(|stored| {
            let is_same_version = stored.version == report.weights_version;
            is_same_version && stored.loads != report.sequence && !report.busy
        });
        let is_damaged = self.watch.weights() == TakenWeights::Damaged;
        let is_void = holds_none || is_damaged || is_other_load;
        let proven = self.proven_load(report).map(|load| LoadRecord {
            version: load.version,
            manifest: load.manifest.clone(),
            ..own.clone()
        });
        let wanted = match stored {
            _ if is_sound => Some(own),
            _ if proven.is_some() => proven,
            Some(stored) if is_void && stored.version > 0 => Some(LoadRecord { version: 0, ..own }),
            _ => None,
        };
        let known = self.wanted_record.get();
        let is_known = match (&known, &wanted) {
            (Some(known), Some(wanted)) => known.proves_same(wanted),
            (None, None) => true,
            _ => false,
        };
        if !is_known {
            let sequence = self.status_sender.next_sequence();
            let wanted = wanted.map(|record| LoadRecord { sequence, ..record });
            self.wanted_record.set(wanted);
        }
    }

    // A record of what the server reports, without its position.
    fn record_of(&mut self, model: &Name, report: &BackendReport) -> Option<LoadRecord> {
        let name = version_name(model, report.weights_version);
        let manifest = self.store.manifest(&name);
        Some(LoadRecord {
            server: self.own_server()?,
            started_ms: report.started_ms,
            loads: report.sequence,
            version: report.weights_version,
            manifest: manifest.map_or(Name::from(""), |manifest| manifest_id(&manifest)),
            sequence: 0,
        })
    }
}
