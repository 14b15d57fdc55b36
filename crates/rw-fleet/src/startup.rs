//! What an entry that starts takes over from running entries. The store may know less
//! than was in force: it came back from an older copy, or a read of it lags.

use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_protocol::{rendezvous_rank, Name};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::follow::request_rows;
use crate::limit_exchange::take_over_limits;
use crate::peer_selection::nearest;
use crate::{Cx, Daemon, PlatformCodec};

/// Time in which the store has to list the entries; after it, only seeds are asked.
const LISTING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which an entry has to answer; after it, the store's tables count as they are.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without an answer after which another entry is asked as well.
const NEXT_ENTRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of entries that are asked.
const MAX_ASKED_ENTRIES: usize = 6;

/// Part that the first read of one of the store's tables has in the start of an entry.
/// The tables are read while running entries are asked, and take effect afterwards.
#[derive(Debug)]
pub enum StartupGate {
    /// The table lists the entries, which are asked once this sender is dropped.
    Lists {
        /// Dropped after the first read, whatever its result.
        _listed: flume::Sender<()>,
    },
    /// The table takes effect when this receiver is disconnected.
    Waits(flume::Receiver<()>),
    /// The table takes effect at once.
    Open,
}

impl StartupGate {
    /// Waits until the table may take effect.
    pub async fn wait(&self) {
        if let StartupGate::Waits(taken_over) = self {
            wait_for_end(taken_over).await;
        }
    }
}

/// Waits until the sender of a channel that carries no messages is dropped.
pub async fn wait_for_end(rx: &flume::Receiver<()>) {
    while rx.recv_async().await.is_ok() {}
}

/// Takes over the rows of a running entry once `listed` is disconnected. `_taken_over` is
/// dropped afterwards, or when no entry answered in time.
pub async fn take_over_rows<D: PlatformCodec>(
    cx: Arc<Cx<D>>,
    listed: flume::Receiver<()>,
    _taken_over: flume::Sender<()>,
) {
    if timeout(LISTING_TIMEOUT, wait_for_end(&listed))
        .await
        .is_err()
    {
        log::debug!("the store does not list the entries in time, asking the seeds");
    }
    let started = cx.now();
    let entries = entries_to_ask(&cx);
    let known = entries.len();
    let source = timeout(ANSWER_TIMEOUT, ask_entries(&cx, entries)).await;
    let source = source.ok().flatten();
    if let Some(addr) = &source {
        take_over_limits(&cx, addr).await;
    }
    let detail = format!(
        "source={} known_entries={known} configuration={} elapsed_ms={}",
        source.as_deref().unwrap_or("none"),
        cx.cluster
            .snapshot()
            .cfg
            .as_ref()
            .map_or(0, |cfg| cfg.version),
        (cx.now() - started).as_millis()
    );
    cx.recorder.emit(Event::StateTakenOver, &detail);
}

// Returns the first entry that follows the store and has a configuration. The rows of
// others count, too, but may be behind.
async fn ask_entries<D: PlatformCodec>(cx: &Arc<Cx<D>>, entries: Vec<Name>) -> Option<Name> {
    let mut entries = entries.into_iter();
    let mut answers = JoinSet::new();
    loop {
        match entries.next() {
            Some(addr) => {
                let cx = cx.clone();
                answers.spawn(async move {
                    let answer = request_rows(&cx, &addr, Duration::ZERO).await;
                    (addr, answer)
                });
            }
            None if answers.is_empty() => return None,
            None => {}
        }
        match timeout(NEXT_ENTRY_DELAY, answers.join_next()).await {
            Ok(Some(Ok((addr, Ok(reply))))) => {
                if reply.in_touch && cx.cluster.snapshot().cfg.is_some() {
                    return Some(addr);
                }
            }
            Ok(Some(Ok((addr, Err(err))))) => {
                log::debug!("requesting rows from {addr} failed: {err}");
            }
            Ok(Some(Err(err))) => log::warn!("requesting rows from an entry failed: {err}"),
            Ok(None) => {}
            Err(_) => log::debug!("no entry answers yet"),
        }
    }
}

// Entries of the own zone, of other zones and seeds by turns, since entries of one zone
// may start at the same time. The order differs between entries, which spreads the load.
fn entries_to_ask<D: PlatformCodec>(cx: &Cx<D>) -> Vec<Name> {
    let snapshot = cx.cluster.snapshot();
    let daemons = snapshot.daemons.values().cloned();
    let (own_zone, other_zones): (Vec<Daemon>, Vec<Daemon>) =
        daemons.partition(|d| d.zone == cx.settings.zone);
    let own = cx.settings.peer_addr.to_string();
    let seeds = cx.settings.seeds.iter().filter(|seed| ***seed != *own);
    let mut seeds: Vec<Name> = seeds.cloned().collect();
    seeds.sort_by_key(|seed| rendezvous_rank(&cx.settings.name, seed));
    let groups = [nearest(cx, own_zone), nearest(cx, other_zones), seeds];
    let mut out: Vec<Name> = Vec::new();
    for turn in 0..MAX_ASKED_ENTRIES {
        for addr in groups.iter().filter_map(|group| group.get(turn)) {
            if !out.contains(addr) {
                out.push(addr.clone());
            }
        }
    }
    out.truncate(MAX_ASKED_ENTRIES);
    out
}
