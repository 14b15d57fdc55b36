//! Keeps a daemon's beliefs up to date: from the platform's store, or from
//! other daemons while the store cannot be reached.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::Backoff;
use rw_observe::Event;
use rw_platform::{FeedError, TableFeed};
use rw_protocol::{rank, Name, PeerReply, PeerRequest, RowsReply, RowsRequest, TableVersion};

use crate::{Cx, Dialect, FleetRole};

/// Longest wait for a change at the store; each renewal is a priced call.
const STORE_WAIT: Duration = Duration::from_secs(15);
/// Time that an answer may take beyond the wait.
const ANSWER_SLACK: Duration = Duration::from_millis(1500);
/// Longest wait for a change at another daemon.
const PEER_WAIT: Duration = Duration::from_secs(5);
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest pause between tries, well within the time in which changes have to
/// be in force after an outage.
const LAST_RETRY: Duration = Duration::from_millis(500);
/// Pause between questions to other daemons while the store is away.
const OUTAGE_POLL: Duration = Duration::from_millis(300);
/// Daemons that are asked in turn before the store is.
const MAX_PEERS_ASKED: usize = 3;

/// Which tables follow the store at the moment.
#[derive(Debug, Default)]
pub struct StoreTouch([AtomicBool; 3]);

impl StoreTouch {
    /// Whether every followed table gets its changes from the store.
    pub fn is_whole(&self) -> bool {
        self.0.iter().all(|t| t.load(Ordering::Relaxed))
    }

    // Says whether the state changed.
    fn set(&self, at: usize, up: bool) -> bool {
        self.0[at].swap(up, Ordering::Relaxed) != up
    }
}

/// Starts the tasks that follow the platform's tables.
pub fn start<S: TableFeed, D: Dialect>(cx: &Arc<Cx<D>>, store: S) {
    let tables = cx.dialect.tables();
    for (at, table) in [tables.operator, tables.servers, tables.daemons]
        .into_iter()
        .enumerate()
    {
        let (cx, store) = (cx.clone(), store.clone());
        match cx.site.role {
            FleetRole::Entry => drop(tokio::spawn(follow_store(cx, store, at, table))),
            FleetRole::Host if at == 0 => drop(tokio::spawn(follow_entries(cx, store))),
            FleetRole::Host => {}
        }
    }
    if cx.site.role == FleetRole::Entry {
        tokio::spawn(ask_while_away(cx.clone()));
    }
}

async fn follow_store<S: TableFeed, D: Dialect>(
    cx: Arc<Cx<D>>,
    store: S,
    at: usize,
    table: &'static str,
) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY, rank(table, &cx.site.name));
    let name = Name::from(table);
    let mut read = false;
    loop {
        let done = match read {
            false => read_whole(&cx, &store, &name).await,
            true => read_changes(&cx, &store, &name).await,
        };
        match done {
            Ok(()) => {
                read = true;
                backoff.reset();
                note_touch(&cx, at, table, true, "");
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
    let read = tokio::time::timeout(ANSWER_SLACK, store.read_table(table)).await;
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

// Hosts learn through an entry, which keeps their number off the store.
async fn follow_entries<S: TableFeed, D: Dialect>(cx: Arc<Cx<D>>, store: S) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY, rank("rows", &cx.site.name));
    let mut turn = 0;
    // Seeds may be dark, and a new host cannot wait for them.
    read_all(&cx, &store).await;
    loop {
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
        read_all(&cx, &store).await;
        tokio::time::sleep(backoff.next_delay()).await;
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

/// Addresses of entries: those registered, the nearest first, then the seeds.
pub fn known_entries<D: Dialect>(cx: &Cx<D>) -> Vec<Name> {
    let view = cx.beliefs.view();
    let others = view.daemons.values().filter(|d| d.name != cx.site.name);
    let mut near: Vec<(bool, u64, Name)> = others
        .map(|d| {
            (
                d.zone != cx.site.zone,
                rank(&cx.site.name, &d.name),
                d.addr.clone(),
            )
        })
        .collect();
    near.sort();
    let mut out: Vec<Name> = near.into_iter().map(|(_, _, addr)| addr).collect();
    let own = cx.site.peer_addr.to_string();
    for seed in cx.site.seeds.iter().filter(|seed| ***seed != *own) {
        if !out.contains(seed) {
            out.push(seed.clone());
        }
    }
    out
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
    match cx.pool.ask(addr, &req, wait + ANSWER_SLACK).await? {
        PeerReply::Rows(reply) => {
            cx.beliefs.apply(reply.rows.clone(), &reply.known);
            Ok(reply)
        }
        _ => Err(rw_peer::Error::Unexpected),
    }
}
