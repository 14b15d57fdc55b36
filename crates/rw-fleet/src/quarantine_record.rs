//! Record of quarantined parts of prompts. Entries keep it in the platform's store, so
//! that a quarantine outlasts a restart of all of them, and operators can end it there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_platform::TableFeed;
use rw_protocol::Name;
use tokio::time::timeout;

use crate::entry::PoisonGuard;
use crate::peer_selection::store_readers;
use crate::{Cx, PlatformCodec};

/// Time for which each store reader leaves writing to the one before it.
const READER_STAGGER: Duration = Duration::from_millis(600);
/// Interval at which the record is compared with the quarantines in effect.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

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
    missing: BTreeMap<Name, (Vec<Name>, Duration)>,
}

/// Puts recorded quarantines into effect, ends those that are no longer recorded, and
/// records new ones.
pub async fn follow_quarantines<D: PlatformCodec, S: TableFeed>(
    cx: Arc<Cx<D>>,
    poison_guard: Arc<PoisonGuard>,
    store: S,
) {
    let changed = cx.cluster.subscribe();
    let mut record = Record {
        cx,
        poison_guard,
        adopted: BTreeMap::new(),
        missing: BTreeMap::new(),
    };
    loop {
        if let Ok(Err(_)) = timeout(CHECK_INTERVAL, changed.recv_async()).await {
            return;
        }
        record.adopt();
        record.find_missing();
        record.write_missing(&store).await;
    }
}

impl<D: PlatformCodec> Record<D> {
    // A row that was deleted, or written without parts, was released by an operator or
    // by another entry; one that the store lost when it came back from an older copy was
    // not.
    fn adopt(&mut self) {
        let cluster = &self.cx.cluster;
        let era = cluster.table_era(self.cx.codec.tables().daemons);
        let snapshot = cluster.snapshot();
        let recorded = |key: &Name| snapshot.quarantines.get(key).filter(|p| !p.is_empty());
        let released = |key: &Name, adopted: &Adopted| {
            let is_lost = !snapshot.quarantines.contains_key(key) && adopted.era != era;
            recorded(key).is_none() && !is_lost
        };
        let guard = &self.poison_guard;
        self.adopted.retain(|key, adopted| {
            let is_released = released(key, adopted);
            if is_released && guard.quarantines().iter().any(|q| q.parts == adopted.parts) {
                guard.release(&adopted.parts);
            }
            !is_released
        });
        for (key, parts) in &snapshot.quarantines {
            if parts.is_empty() || self.adopted.contains_key(key) {
                continue;
            }
            guard.adopt(parts);
            let parts = parts.clone();
            self.adopted.insert(key.clone(), Adopted { parts, era });
        }
    }

    // Quarantines in effect that are not recorded, and recorded ones that have ended here.
    fn find_missing(&mut self) {
        let snapshot = self.cx.cluster.snapshot();
        let in_effect = self.poison_guard.quarantines();
        let mut missing = BTreeMap::new();
        for quarantine in &in_effect {
            let key = self.cx.codec.quarantine_key(&quarantine.parts);
            if snapshot.quarantines.get(&key) != Some(&quarantine.parts) {
                missing.insert(key, quarantine.parts.clone());
            }
        }
        for (key, adopted) in &self.adopted {
            if !in_effect.iter().any(|q| q.parts == adopted.parts) {
                missing.insert(key.clone(), Vec::new());
            }
        }
        let now = self.cx.now();
        let since = |key: &Name, parts: &Vec<Name>| match self.missing.get(key) {
            Some((known, since)) if known == parts => *since,
            _ => now,
        };
        self.missing = missing
            .into_iter()
            .map(|(key, parts)| {
                let since = since(&key, &parts);
                (key, (parts, since))
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
        for (key, (parts, since)) in &mut self.missing {
            if now < *since + READER_STAGGER * rank as u32 {
                continue;
            }
            let value = self.cx.codec.encode_quarantine(parts);
            let write = store.write_row(table, key, &value);
            match timeout(WRITE_TIMEOUT, write).await {
                Ok(Ok(())) => log::debug!("recorded {key} parts={}", parts.join(",")),
                Ok(Err(err)) => log::debug!("recording {key} failed, retrying: {err}"),
                Err(_) => log::debug!("recording {key} timed out, retrying"),
            }
            // Until the store has delivered the row, it is not written again.
            *since = now + WRITE_TIMEOUT;
        }
    }
}
