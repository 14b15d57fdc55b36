//! Keeps a daemon's cluster state up to date. A few entries, the store readers,
//! follow the platform's store ([`crate::store_feed`]). The other entries and the
//! hosts follow entries, so the number of calls to the store does not grow with the
//! fleet.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::peer_selection::{known_entries, nearest, store_readers};
use crate::seeds::{discover_entries, STARTUP_RETRY_DELAY};
use crate::startup::{take_over_rows, wait_for_end, StartupGate};
use crate::store_feed::{follow_store, should_follow_store, sync_all_tables};
use crate::{Cx, FleetRole, PlatformCodec};
use rw_coord::{uptime, Backoff};
use rw_platform::TableFeed;
use rw_protocol::{
    rendezvous_rank, LoadReport, Name, PeerReply, PeerRequest, RowsReply, RowsRequest, TableVersion,
};

/// Store readers that one entry follows concurrently.
const FOLLOWED_READERS: usize = 2;
/// Timeout for reading a complete table from another daemon, possibly over a slow
/// link.
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Long-poll timeout at another daemon.
const PEER_LONG_POLL: Duration = Duration::from_secs(5);
/// How long an entry reads the store itself after its readers failed.
const STORE_FALLBACK: Duration = Duration::from_secs(5);
/// Time after its start during which a host queries only entries: all hosts may
/// start at once, and the store's links could not carry every table to each of
/// them.
const HOST_STORE_DELAY: Duration = Duration::from_secs(2);
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum retry delay, well within the time in which changes have to take
/// effect after an outage.
pub(crate) const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Poll interval at other daemons while the store is unreachable, and interval at
/// which an entry checks whether it has to read the store itself.
pub(crate) const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long another entry has to be ahead before its rows are requested; a
/// change normally arrives sooner by itself.
const MAX_LAG_MS: u64 = 300;
/// Time after which an observed lag is ignored.
const LAG_EXPIRY_MS: u64 = 1500;
/// Minimum interval at which the store's clock is read by a call of its own.
const CLOCK_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Time within which servers and daemons register again after the store came back
/// from an older copy.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2500);
/// Entries that a host queries before it falls back to the store.
const MAX_ENTRY_ATTEMPTS: usize = 3;

/// Status of the synchronization with the platform's store.
#[derive(Debug, Default)]
pub struct SyncStatus {
    // Whether each table is followed at the store without an error.
    connected_tables: [AtomicBool; 3],
    // Number of store readers that answer this entry.
    connected_readers: AtomicU64,
    // Time since the daemon's start until which it reads the store itself.
    pub(crate) fallback_until_ms: AtomicU64,
    // Time since the daemon's start at which another entry was found to be
    // ahead; 0 if none is.
    lag_since_ms: AtomicU64,
    // Time since the daemon's start from which it may read the store's clock again.
    clock_read_from_ms: AtomicU64,
    // Uptime at the last call that showed that the store was away; 0 if none did.
    store_away_at_ms: AtomicU64,
}

impl SyncStatus {
    /// Whether every table receives its changes from the store, directly or
    /// through another daemon.
    pub fn is_connected(&self) -> bool {
        self.connected_readers.load(Ordering::Relaxed) > 0 || self.all_tables_connected()
    }

    fn all_tables_connected(&self) -> bool {
        self.connected_tables
            .iter()
            .all(|t| t.load(Ordering::Relaxed))
    }

    // Whether the store's clock may be read now. Such a call is billed and may not help
    // while the store is slow.
    pub(crate) fn may_read_clock(&self, now: Duration) -> bool {
        let now_ms = now.as_millis() as u64;
        let next_ms = now_ms + CLOCK_READ_INTERVAL.as_millis() as u64;
        let from_ms = self.clock_read_from_ms.load(Ordering::Relaxed);
        if now_ms >= from_ms {
            self.clock_read_from_ms.store(next_ms, Ordering::Relaxed);
        }
        now_ms >= from_ms
    }

    // A call at `called_at`, an uptime, showed that the store was away.
    pub(crate) fn note_store_away(&self, called_at: Duration) {
        let at_ms = called_at.as_millis() as u64;
        self.store_away_at_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    pub(crate) fn store_away_at(&self) -> Option<Duration> {
        let at_ms = self.store_away_at_ms.load(Ordering::Relaxed);
        (at_ms > 0).then(|| Duration::from_millis(at_ms))
    }

    // Returns whether the status changed.
    pub(crate) fn set_connected(&self, index: usize, connected: bool) -> bool {
        self.connected_tables[index].swap(connected, Ordering::Relaxed) != connected
    }
}

/// Starts the tasks that follow the platform's tables.
pub fn start<S: TableFeed, D: PlatformCodec>(cx: &Arc<Cx<D>>, store: S) {
    tokio::spawn(drop_earlier_eras(cx.clone()));
    if cx.settings.role == FleetRole::Host {
        tokio::spawn(follow_entries(cx.clone(), store));
        return;
    }
    let tables = cx.codec.tables();
    let tables = [tables.operator, tables.servers, tables.daemons];
    let (listed_tx, listed) = flume::bounded(0);
    let (taken_over_tx, taken_over) = flume::bounded(0);
    tokio::spawn(take_over_rows(cx.clone(), listed, taken_over_tx));
    for (index, table) in tables.into_iter().enumerate() {
        let gate = match table == cx.codec.tables().daemons {
            true => StartupGate::Lists {
                _listed: listed_tx.clone(),
            },
            false => StartupGate::Waits(taken_over.clone()),
        };
        tokio::spawn(follow_store(cx.clone(), store.clone(), index, table, gate));
    }
    for index in 0..FOLLOWED_READERS {
        tokio::spawn(follow_reader(cx.clone(), index, taken_over.clone()));
    }
    tokio::spawn(poll_entries_while_disconnected(cx.clone()));
}

// Follows the store reader at `index` among the nearest. When it does not
// answer, moves on to the next one, and the entry reads the store itself for a
// while.
async fn follow_reader<D: PlatformCodec>(
    cx: Arc<Cx<D>>,
    index: usize,
    taken_over: flume::Receiver<()>,
) {
    // Before that, a reader would send all rows once more.
    wait_for_end(&taken_over).await;
    let mut failures = 0;
    loop {
        let readers = nearest(&cx, store_readers(&cx));
        if readers.is_empty() || should_follow_store(&cx) && failures == 0 {
            tokio::time::sleep(OUTAGE_POLL_INTERVAL).await;
            continue;
        }
        let addr = &readers[(index + failures) % readers.len()];
        cx.sync
            .connected_readers
            .fetch_add(u64::from(failures == 0), Ordering::Relaxed);
        let answer = request_rows(&cx, addr, PEER_LONG_POLL).await;
        cx.sync
            .connected_readers
            .fetch_sub(u64::from(failures == 0), Ordering::Relaxed);
        match answer {
            Ok(reply) if reply.in_touch => failures = 0,
            answer => {
                if let Err(err) = answer {
                    log::debug!("requesting rows from {addr} failed: {err}");
                }
                failures += 1;
                let until = (cx.now() + STORE_FALLBACK).as_millis() as u64;
                cx.sync
                    .fallback_until_ms
                    .fetch_max(until, Ordering::Relaxed);
                tokio::time::sleep(OUTAGE_POLL_INTERVAL).await;
            }
        }
        if failures > readers.len() {
            failures = 0;
        }
    }
}

// An entry that cannot reach the store gets changes from the other entries.
async fn poll_entries_while_disconnected<D: PlatformCodec>(cx: Arc<Cx<D>>) {
    let ticks = cx.timer.subscribe(OUTAGE_POLL_INTERVAL);
    let mut next_entry = 0;
    while ticks.recv_async().await.is_ok() {
        if cx.sync.is_connected() {
            continue;
        }
        let entries = known_entries(&cx);
        if entries.is_empty() {
            continue;
        }
        next_entry = (next_entry + 1) % entries.len();
        if let Err(err) = request_rows(&cx, &entries[next_entry], Duration::ZERO).await {
            log::debug!("requesting rows from {} failed: {err}", entries[next_entry]);
        }
    }
}

// Drops what was not written again after the store came back from an older copy.
async fn drop_earlier_eras<D: PlatformCodec>(cx: Arc<Cx<D>>) {
    let changed = cx.cluster.subscribe();
    while changed.recv_async().await.is_ok() {
        if cx.cluster.has_earlier_eras() {
            tokio::time::sleep(REREGISTRATION_TIME).await;
            cx.cluster.drop_earlier_eras();
        }
    }
}

/// Requests rows from an entry whose load reports have shown for some time that
/// it is ahead, because a call to the store may hang without an error.
pub fn catch_up<D: PlatformCodec>(cx: &Arc<Cx<D>>, report: &LoadReport) {
    let is_newer = |t: &TableVersion| t.version > cx.cluster.table_version(&t.table);
    if !report.known.iter().any(is_newer) {
        return;
    }
    let now = cx.now().as_millis() as u64;
    let since = cx.sync.lag_since_ms.load(Ordering::Relaxed);
    // An older lag has ended since, so this report starts a new one.
    let lag_is_recent = since > 0 && now < since + LAG_EXPIRY_MS;
    if !lag_is_recent {
        return cx.sync.lag_since_ms.store(now.max(1), Ordering::Relaxed);
    }
    if now < since + MAX_LAG_MS {
        return;
    }
    cx.sync.lag_since_ms.store(0, Ordering::Relaxed);
    let Some(daemon) = cx.cluster.entry(&report.entry) else {
        return;
    };
    let cx = cx.clone();
    tokio::spawn(async move {
        if let Err(err) = request_rows(&cx, &daemon.addr, Duration::ZERO).await {
            log::debug!("requesting rows from {} failed: {err}", daemon.addr);
        }
    });
}

async fn follow_entries<S: TableFeed, D: PlatformCodec>(cx: Arc<Cx<D>>, store: S) {
    let mut backoff = Backoff::new(
        MIN_RETRY_DELAY,
        MAX_RETRY_DELAY,
        rendezvous_rank("rows", &cx.settings.name),
    );
    let mut next_entry = 0;
    loop {
        if cx.cluster.snapshot().daemons.is_empty() {
            discover_entries(&cx).await;
        }
        let entries = known_entries(&cx);
        let mut connected = false;
        // An entry that lost the store asks it again for all its hosts.
        let mut answered = false;
        for _ in 0..MAX_ENTRY_ATTEMPTS.min(entries.len()) {
            let addr = &entries[next_entry % entries.len()];
            match request_rows(&cx, addr, PEER_LONG_POLL).await {
                Ok(reply) if reply.in_touch => {
                    connected = true;
                    break;
                }
                Ok(_) => {
                    answered = true;
                    next_entry += 1;
                }
                Err(err) => {
                    log::debug!("requesting rows from {addr} failed: {err}");
                    next_entry += 1;
                }
            }
        }
        if connected {
            backoff.reset();
            continue;
        }
        let configured = cx.cluster.snapshot().cfg.is_some();
        if cx.now() > HOST_STORE_DELAY && !(answered && configured) {
            sync_all_tables(&cx, &store).await;
        }
        let pause = backoff.next_delay();
        tokio::time::sleep(if configured {
            pause
        } else {
            pause.min(STARTUP_RETRY_DELAY)
        })
        .await;
    }
}

pub(crate) async fn request_rows<D: PlatformCodec>(
    cx: &Cx<D>,
    addr: &Name,
    wait: Duration,
) -> rw_peer::Result<RowsReply> {
    let req = PeerRequest::Rows(RowsRequest {
        known: cx.cluster.table_versions(),
        wait_ms: wait.as_millis() as u64,
    });
    let called_at = uptime();
    match cx.pool.request(addr, &req, wait + TABLE_TIMEOUT).await? {
        PeerReply::Rows(reply) => {
            cx.cluster.apply_reply(&reply, called_at);
            Ok(reply)
        }
        _ => Err(rw_peer::Error::Unexpected),
    }
}
