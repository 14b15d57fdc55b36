//! Record of quarantined parts of prompts and requests. Entries keep it in the platform's
//! store, so that a quarantine outlasts a restart of all of them, all of them together let no
//! more requests through than one would, and operators can end it there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_platform::TableFeed;
use rw_protocol::Name;
use tokio::time::timeout;

use crate::entry::{PoisonGuard, TrialClaim};
use crate::eras::era;
use crate::peer_selection::store_readers;
use crate::{Cx, PlatformCodec};

/// Time for which each store reader leaves writing to the one before it.
const READER_STAGGER: Duration = Duration::from_millis(600);
/// Interval at which the record is compared with the quarantines in effect.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A quarantine as it is recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Quarantined parts, or the name of a request; none if the quarantine ended.
    pub parts: Vec<Name>,
    /// Requests that entries have let through to find out whether servers still crash.
    pub trials: u32,
}

/// A record as it is in the store.
#[derive(Clone, Debug)]
pub struct StoredQuarantine {
    /// Version of the row.
    pub row_version: u64,
    /// The record.
    pub record: QuarantineRecord,
}

// A recorded quarantine that took effect here, and the store's era in which it was read.
struct Adopted {
    parts: Vec<Name>,
    era: u32,
}

struct Record<D> {
    cx: Arc<Cx<D>>,
    poison_guard: Arc<PoisonGuard>,
    adopted: BTreeMap<Name, Adopted>,
    // Rows that have to be written, and since when.
    missing: BTreeMap<Name, (QuarantineRecord, Duration)>,
}

/// Puts recorded quarantines into effect, ends those that are no longer recorded, records new
/// ones, and grants trials.
pub async fn follow_quarantines<D: PlatformCodec, S: TableFeed>(
    cx: Arc<Cx<D>>,
    poison_guard: Arc<PoisonGuard>,
    store: S,
) {
    let changed = cx.cluster.subscribe();
    let claims = poison_guard.trial_claims();
    let mut record = Record {
        cx,
        poison_guard,
        adopted: BTreeMap::new(),
        missing: BTreeMap::new(),
    };
    loop {
        tokio::select! {
            changed = changed.recv_async() => if changed.is_err() {
                return;
            },
            Ok(claim) = claims.recv_async() => record.grant(&store, claim).await,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        record.adopt();
        record.find_missing();
        record.write_missing(&store).await;
    }
}

impl<D: PlatformCodec> Record<D> {
    // Counts a trial in the store before a request is let through, on the condition that no
    // other entry has counted one.
    async fn grant<S: TableFeed>(&self, store: &S, claim: TrialClaim) {
        let TrialClaim { record, tx } = claim;
        let cx = &self.cx;
        let table = cx.codec.tables().daemons;
        let key = cx.codec.quarantine_key(&record.parts);
        let snapshot = cx.cluster.snapshot();
        let stored = snapshot.quarantines.get(&key);
        // A row of an earlier era is known here, but the store may lack it.
        let is_current = |row_version| era(row_version) == cx.cluster.table_era(table);
        let stored = stored.filter(|s| s.record == record && is_current(s.row_version));
        let Some(stored) = stored else {
            log::debug!("no trial of {key}: the store does not record it like this");
            return;
        };
        let counted = QuarantineRecord {
            trials: record.trials + 1,
            ..record
        };
        let value = cx.codec.encode_quarantine(&counted);
        let write = store.write_row_if(table, &key, &value, Some(stored.row_version));
        match timeout(WRITE_TIMEOUT, write).await {
            // The request may have been refused meanwhile, and the trial is not used.
            Ok(Ok(())) => drop(tx.send(())),
            Ok(Err(err)) => log::debug!("no trial of {key}: {err}"),
            Err(_) => log::debug!("no trial of {key}: the store does not answer"),
        }
    }

    // A row that was deleted, or written without parts, was released by an operator or
    // by another entry; one that the store lost when it came back from an older copy was
    // not.
    fn adopt(&mut self) {
        let cluster = &self.cx.cluster;
        let era = cluster.table_era(self.cx.codec.tables().daemons);
        let snapshot = cluster.snapshot();
        let stored = |key: &Name| snapshot.quarantines.get(key);
        let is_recorded = |key: &Name| stored(key).is_some_and(|s| !s.record.parts.is_empty());
        let guard = &self.poison_guard;
        self.adopted.retain(|key, adopted| {
            let is_lost = stored(key).is_none() && adopted.era != era;
            let is_released = !is_recorded(key) && !is_lost;
            if is_released && guard.quarantines().iter().any(|q| q.parts == adopted.parts) {
                // Entries keep the row of a quarantine that they end.
                guard.release(&adopted.parts, stored(key).is_none());
            }
            !is_released
        });
        for (key, stored) in &snapshot.quarantines {
            let record = &stored.record;
            if record.parts.is_empty() {
                continue;
            }
            if !self.adopted.contains_key(key) {
                guard.adopt(&record.parts);
                let parts = record.parts.clone();
                self.adopted.insert(key.clone(), Adopted { parts, era });
            }
            guard.raise_trials(&record.parts, record.trials);
        }
    }

    // Quarantines in effect that are not recorded, and recorded ones that have ended here.
    fn find_missing(&mut self) {
        let snapshot = self.cx.cluster.snapshot();
        let in_effect = self.poison_guard.quarantines();
        let mut missing = BTreeMap::new();
        for quarantine in &self.poison_guard.settled_quarantines() {
            let key = self.cx.codec.quarantine_key(&quarantine.parts);
            let stored = snapshot.quarantines.get(&key);
            if stored.is_none_or(|s| s.record.parts != quarantine.parts) {
                let record = QuarantineRecord {
                    parts: quarantine.parts.clone(),
                    trials: quarantine.trials(),
                };
                missing.insert(key, record);
            }
        }
        for (key, adopted) in &self.adopted {
            if !in_effect.iter().any(|q| q.parts == adopted.parts) {
                missing.insert(key.clone(), QuarantineRecord::default());
            }
        }
        let now = self.cx.now();
        let since = |key: &Name, record: &QuarantineRecord| match self.missing.get(key) {
            Some((known, since)) if known == record => *since,
            _ => now,
        };
        self.missing = missing
            .into_iter()
            .map(|(key, record)| {
                let since = since(&key, &record);
                (key, (record, since))
            })
            .collect();
    }

    // The first store reader writes at once, each further one if those before it do not.
    async fn write_missing<S: TableFeed>(&mut self, store: &S) {
        if self.missing.is_empty() {
            return;
        }
        let readers = store_readers(&self.cx);
        let rank = readers.iter().position(|d| d.name == self.cx.settings.name);
        let Some(rank) = rank else { return };
        let table = self.cx.codec.tables().daemons;
        let now = self.cx.now();
        for (key, (record, since)) in &mut self.missing {
            if now < *since + READER_STAGGER * rank as u32 {
                continue;
            }
            let value = self.cx.codec.encode_quarantine(record);
            let write = store.write_row(table, key, &value);
            match timeout(WRITE_TIMEOUT, write).await {
                Ok(Ok(())) => log::debug!("recorded {key} parts={}", record.parts.join(",")),
                Ok(Err(err)) => log::debug!("recording {key} failed, retrying: {err}"),
                Err(_) => log::debug!("recording {key} timed out, retrying"),
            }
            // Until the store has delivered the row, it is not written again.
            *since = now + WRITE_TIMEOUT;
        }
    }
}
