//! Keeps a daemon's beliefs up to date. A few entries follow the platform's
//! store; the other entries and the hosts follow them, so that calls to the
//! store grow neither with entries nor with hosts.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::neighbours::{known_entries, nearest, readers, READERS};
use crate::seeds::{find_entries, START_RETRY};
use crate::{Cx, Dialect, FleetRole};
use rw_coord::Backoff;
use rw_observe::Event;
use rw_platform::{FeedError, TableFeed};
use rw_protocol::{
    rank, LoadReport, Name, PeerReply, PeerRequest, RowsReply, RowsRequest, TableVersion,
};

/// Readers that one entry follows at once.
const FOLLOWED: usize = 2;
/// Longest wait for a change at the store; each renewal is a priced call.
const STORE_WAIT: Duration = Duration::from_secs(15);
/// Pause after a change by operators, so that changes in a row come in one
/// answer; a small part of the time in which they have to be in force.
const CHANGE_PAUSE: Duration = Duration::from_millis(60);
/// The same for servers and daemons, many of which change at once. Servers have
/// seconds to drain, and their daemons tell entries of weights themselves.
const MEMBER_CHANGE_PAUSE: Duration = Duration::from_millis(200);
/// Time that an answer may take beyond the wait.
const ANSWER_SLACK: Duration = Duration::from_millis(1500);
/// Time for a whole table, which may have to cross a thin link.
const TABLE_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for a change at another daemon.
const PEER_WAIT: Duration = Duration::from_secs(5);
/// Time for which an entry reads the store itself after its readers failed.
const FALLBACK: Duration = Duration::from_secs(5);
/// Time after its start for which a host asks entries only: all of a fleet may
/// start at once, and the store's links could not carry every table to each.
const HOST_PATIENCE: Duration = Duration::from_secs(2);
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest pause between tries, well within the time in which changes have to
/// be in force after an outage.
const LAST_RETRY: Duration = Duration::from_millis(500);
/// Pause between questions to other daemons while the store is away.
const OUTAGE_POLL: Duration = Duration::from_millis(300);
/// Time for which another entry has to be ahead before it is asked; a change
/// takes less to arrive by itself.
const BEHIND_LIMIT_MS: u64 = 300;
/// Time after which an earlier lag no longer counts.
const BEHIND_FORGOTTEN_MS: u64 = 1500;
/// Entries that a host asks in turn before it turns to the store.
const MAX_PEERS_ASKED: usize = 3;

/// Where a daemon's news come from at the moment.
#[derive(Debug, Default)]
pub struct StoreTouch {
    tables: [AtomicBool; 3],
    // Readers that answer this entry's questions.
    readers: AtomicU64,
    // Milliseconds of the daemon's clock until which it reads the store.
    fallback_until: AtomicU64,
    // Since when another entry was seen to know more; 0 is never.
    behind_since_ms: AtomicU64,
}

impl StoreTouch {
    /// Whether every table gets its changes from the store, or through a
    /// daemon that does.
    pub fn is_whole(&self) -> bool {
        self.readers.load(Ordering::Relaxed) > 0 || self.follows_store()
    }

    fn follows_store(&self) -> bool {
        self.tables.iter().all(|t| t.load(Ordering::Relaxed))
    }

    // Says whether the state changed.
    fn set(&self, at: usize, up: bool) -> bool {
        self.tables[at].swap(up, Ordering::Relaxed) != up
    }
}

/// Starts the tasks that follow the platform's tables.
pub fn start<S: TableFeed, D: Dialect>(cx: &Arc<Cx<D>>, store: S) {
    if cx.site.role == FleetRole::Host {
        tokio::spawn(follow_entries(cx.clone(), store));
        return;
    }
    let tables = cx.dialect.tables();
    let tables = [tables.operator, tables.servers, tables.daemons];
    for (at, table) in tables.into_iter().enumerate() {
        tokio::spawn(follow_store(cx.clone(), store.clone(), at, table));
    }
    for place in 0..FOLLOWED {
        tokio::spawn(follow_reader(cx.clone(), place));
    }
    tokio::spawn(ask_while_away(cx.clone()));
}

fn reads_store<D: Dialect>(cx: &Cx<D>) -> bool {
    let fallback = cx.touch.fallback_until.load(Ordering::Relaxed);
    if cx.now().as_millis() < u128::from(fallback) {
        return true;
    }
    let readers = readers(cx);
    readers.len() < READERS || readers.iter().any(|d| d.name == cx.site.name)
}

async fn follow_store<S: TableFeed, D: Dialect>(
    cx: Arc<Cx<D>>,
    store: S,
    at: usize,
    table: &'static str,
) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY, rank(table, &cx.site.name));
    let name = Name::from(table);
    // The first read tells an entry who the readers are.
    let mut read = false;
    loop {
        if read && !reads_store(&cx) {
            cx.touch.set(at, false);
            tokio::time::sleep(OUTAGE_POLL).await;
            continue;
        }
        let done = match read {
            false => read_whole(&cx, &store, &name).await,
            true => read_changes(&cx, &store, &name).await,
        };
        match done {
            Ok(()) => {
                read = true;
                backoff.reset();
                note_touch(&cx, at, table, true, "");
                let by_operators = table == cx.dialect.tables().operator;
                let pause = if by_operators {
                    CHANGE_PAUSE
                } else {
                    MEMBER_CHANGE_PAUSE
                };
                tokio::time::sleep(pause).await;
            }
            Err(FeedError::HistoryGone) => {
                cx.recorder
                    .emit(Event::HistoryGone, &format!("table={table}"));
                read = false;
            }
            Err(FeedError::Failed(err)) => {
                note_touch(&cx, at, table, false, &err.to_string());
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

fn note_touch<D: Dialect>(cx: &Cx<D>, at: usize, table: &str, up: bool, reason: &str) {
    if cx.touch.set(at, up) {
        let event = if up {
            Event::StoreRegained
        } else {
            Event::StoreLost
        };
        cx.recorder
            .emit(event, &format!("table={table} reason={reason:?}"));
    }
}

async fn read_whole<S: TableFeed, D: Dialect>(
    cx: &Cx<D>,
    store: &S,
    table: &Name,
) -> Result<(), FeedError> {
    let read = tokio::time::timeout(TABLE_LIMIT, store.read_table(table)).await;
    let read = read.map_err(|_| timed_out())?.map_err(FeedError::Failed)?;
    cx.beliefs.replace(table, read.rows, read.version);
    Ok(())
}

async fn read_changes<S: TableFeed, D: Dialect>(
    cx: &Cx<D>,
    store: &S,
    table: &Name,
) -> Result<(), FeedError> {
    let after = cx.beliefs.known_version(table);
    let feed = store.changes(table, after, STORE_WAIT);
    let changes = tokio::time::timeout(STORE_WAIT + ANSWER_SLACK, feed).await;
    let changes = changes.map_err(|_| timed_out())??;
    let known = TableVersion {
        table: table.clone(),
        version: changes.version,
    };
    cx.beliefs.apply(changes.rows, &[known]);
    Ok(())
}

fn timed_out() -> FeedError {
    FeedError::Failed(rw_platform::Error::Unknown("no answer in time".to_string()))
}

// Follows one of the readers; `place` says which of the nearest. When none
// answers, the entry reads the store itself for a while.
async fn follow_reader<D: Dialect>(cx: Arc<Cx<D>>, place: usize) {
    let mut failures = 0;
    loop {
        let readers = nearest(&cx, readers(&cx));
        if readers.is_empty() || reads_store(&cx) && failures == 0 {
            tokio::time::sleep(OUTAGE_POLL).await;
            continue;
        }
        let addr = &readers[(place + failures) % readers.len()];
        cx.touch
            .readers
            .fetch_add(u64::from(failures == 0), Ordering::Relaxed);
        let answer = ask_rows(&cx, addr, PEER_WAIT).await;
        cx.touch
            .readers
            .fetch_sub(u64::from(failures == 0), Ordering::Relaxed);
        match answer {
            Ok(reply) if reply.in_touch => failures = 0,
            answer => {
                if let Err(err) = answer {
                    log::debug!("rows from {addr}: {err}");
                }
                failures += 1;
                let until = (cx.now() + FALLBACK).as_millis() as u64;
                cx.touch.fallback_until.fetch_max(until, Ordering::Relaxed);
                tokio::time::sleep(OUTAGE_POLL).await;
            }
        }
        if failures > readers.len() {
            failures = 0;
        }
    }
}

// An entry cut off from the store learns from the others what they learn.
async fn ask_while_away<D: Dialect>(cx: Arc<Cx<D>>) {
    let ticks = cx.timer.subscribe(OUTAGE_POLL);
    let mut turn = 0;
    while ticks.recv_async().await.is_ok() {
        if cx.touch.is_whole() {
            continue;
        }
        let entries = known_entries(&cx);
        if entries.is_empty() {
            continue;
        }
        turn = (turn + 1) % entries.len();
        if let Err(err) = ask_rows(&cx, &entries[turn], Duration::ZERO).await {
            log::debug!("rows from {}: {err}", entries[turn]);
        }
    }
}

/// Asks an entry for rows when its news show for a while that it knows more: a
/// call to the store may go unanswered without an error.
pub fn catch_up<D: Dialect>(cx: &Arc<Cx<D>>, news: &LoadReport) {
    let is_ahead = |t: &TableVersion| t.version > cx.beliefs.known_version(&t.table);
    if !news.known.iter().any(is_ahead) {
        return;
    }
    let now = cx.now().as_millis() as u64;
    let since = cx.touch.behind_since_ms.load(Ordering::Relaxed);
    // What was seen long ago has been made good meanwhile.
    let seen = since > 0 && now < since + BEHIND_FORGOTTEN_MS;
    if !seen {
        return cx
            .touch
            .behind_since_ms
            .store(now.max(1), Ordering::Relaxed);
    }
    if now < since + BEHIND_LIMIT_MS {
        return;
    }
    cx.touch.behind_since_ms.store(0, Ordering::Relaxed);
    let daemon = cx.beliefs.view().daemons.get(&news.entry).cloned();
    let Some(daemon) = daemon else { return };
    let cx = cx.clone();
    tokio::spawn(async move {
        if let Err(err) = ask_rows(&cx, &daemon.addr, Duration::ZERO).await {
            log::debug!("rows from {}: {err}", daemon.addr);
        }
    });
}

async fn follow_entries<S: TableFeed, D: Dialect>(cx: Arc<Cx<D>>, store: S) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY, rank("rows", &cx.site.name));
    let mut turn = 0;
    loop {
        if cx.beliefs.view().daemons.is_empty() {
            find_entries(&cx).await;
        }
        let entries = known_entries(&cx);
        let mut served = false;
        for _ in 0..MAX_PEERS_ASKED.min(entries.len()) {
            let addr = &entries[turn % entries.len()];
            match ask_rows(&cx, addr, PEER_WAIT).await {
                Ok(reply) if reply.in_touch => {
                    served = true;
                    break;
                }
                Ok(_) => turn += 1,
                Err(err) => {
                    log::debug!("rows from {addr}: {err}");
                    turn += 1;
                }
            }
        }
        if served {
            backoff.reset();
            continue;
        }
        if cx.now() > HOST_PATIENCE {
            read_all(&cx, &store).await;
        }
        let pause = backoff.next_delay();
        let knows = cx.beliefs.view().cfg.is_some();
        tokio::time::sleep(if knows { pause } else { pause.min(START_RETRY) }).await;
    }
}

async fn read_all<S: TableFeed, D: Dialect>(cx: &Cx<D>, store: &S) {
    let tables = cx.dialect.tables();
    for table in [tables.operator, tables.servers, tables.daemons] {
        if let Err(err) = read_whole(cx, store, &Name::from(table)).await {
            log::debug!("table {table}: {err:?}");
            return;
        }
    }
}

async fn ask_rows<D: Dialect>(
    cx: &Cx<D>,
    addr: &Name,
    wait: Duration,
) -> rw_peer::Result<RowsReply> {
    let req = PeerRequest::Rows(RowsRequest {
        known: cx.beliefs.known(),
        wait_ms: wait.as_millis() as u64,
    });
    match cx.pool.request(addr, &req, wait + TABLE_LIMIT).await? {
        PeerReply::Rows(reply) => {
            cx.beliefs.apply(reply.rows.clone(), &reply.known);
            Ok(reply)
        }
        _ => Err(rw_peer::Error::Unexpected),
    }
}
