//! Reads the platform's store: complete tables and their changes.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::{uptime, Backoff};
use rw_observe::Event;
use rw_platform::{FeedError, TableFeed, TableRows};
use rw_protocol::{rendezvous_rank, Name, TableVersion};
use tokio::time::timeout;

use crate::change_times::{waits_at_store, CallTimes, ChangeTimes, ARRIVAL_TIME};
use crate::follow::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, OUTAGE_POLL_INTERVAL};
use crate::peer_selection::{store_readers, MAX_STORE_READERS};
use crate::startup::StartupGate;
use crate::{Bounds, Cx, Daemon, PlatformCodec, TimeSpan};

/// Longest long-poll timeout at the store. Long, since each long poll is a billed
/// call.
const MAX_STORE_LONG_POLL: Duration = Duration::from_secs(15);
/// Delay before the next long poll of the operators' table, which batches
/// consecutive changes into one response; a small part of the time in which they
/// have to take effect.
const OPERATOR_CHANGE_DELAY: Duration = Duration::from_millis(60);
/// The same for the tables of servers and daemons, many of which change at once.
/// Servers have seconds to drain, and their daemons notify entries of loaded
/// weights directly.
const MEMBER_CHANGE_DELAY: Duration = Duration::from_millis(200);
/// Time that a response may take beyond the long-poll timeout.
const LONG_POLL_SLACK: Duration = Duration::from_millis(700);
/// Uncertainty of the store's clock above which it is read again.
const MAX_CLOCK_UNCERTAINTY_MS: u64 = 200;
/// Share of the settling time after which a call that hangs has to be over.
const LONG_POLL_SHARE: f64 = 0.9;
/// Factor on the retry delay of entries that are no store readers: in an outage all
/// entries ask the store, whose refusals are billed, and the readers pass on what
/// they get when it is back.
const FALLBACK_RETRY_FACTOR: u32 = 4;
/// Time without a load report after which a store reader counts as gone. Entries send
/// one every half second at least.
const READER_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest long-poll timeout at the store.
const MIN_STORE_LONG_POLL: Duration = Duration::from_millis(500);
/// Share of the settling time that the first attempt to read a complete table from
/// the store may take; each further attempt may take twice as long.
const TABLE_TIMEOUT_SHARE: f64 = 0.8;
/// Number of times that the timeout of a complete table is doubled at most.
const MAX_TABLE_TIMEOUT_DOUBLINGS: u32 = 2;

/// Long-poll timeout for tables whose changes have to take effect in time. A call
/// that the store has forgotten in an outage hangs without an error, so the
/// timeout ends within the time in which daemons may recover from an outage.
///
/// ```
/// use std::time::Duration;
/// let mut bounds = rw_fleet::Bounds::default();
/// bounds.settling = Duration::from_secs(3);
/// assert!(rw_fleet::long_poll_timeout(&bounds) < bounds.settling);
/// ```
pub fn long_poll_timeout(bounds: &Bounds) -> Duration {
    let limit = bounds.settling.mul_f64(LONG_POLL_SHARE);
    let limit = limit.saturating_sub(LONG_POLL_SLACK);
    limit.clamp(MIN_STORE_LONG_POLL, MAX_STORE_LONG_POLL)
}

// Doubles with each failed read, since a large table over a slow link takes longer
// than a call that hangs may.
fn table_timeout(bounds: &Bounds, failed_reads: u32) -> Duration {
    let first = bounds.settling.mul_f64(TABLE_TIMEOUT_SHARE);
    first * (1 << failed_reads.min(MAX_TABLE_TIMEOUT_DOUBLINGS))
}

/// Whether this entry follows the store itself, as a store reader or because its
/// readers failed.
pub fn should_follow_store<D: PlatformCodec>(cx: &Cx<D>) -> bool {
    let fallback = cx.sync.fallback_until_ms.load(Ordering::Relaxed);
    if cx.now().as_millis() < u128::from(fallback) {
        return true;
    }
    let readers = store_readers(cx);
    readers.len() < MAX_STORE_READERS || readers.iter().any(|d| d.name == cx.settings.name)
}

/// Follows one table of the store while this entry has to.
pub async fn follow_store<S: TableFeed, D: PlatformCodec>(
    cx: Arc<Cx<D>>,
    store: S,
    index: usize,
    table: &'static str,
    mut gate: StartupGate,
) {
    let mut backoff = Backoff::new(
        MIN_RETRY_DELAY,
        MAX_RETRY_DELAY,
        rendezvous_rank(table, &cx.settings.name),
    );
    let name = Name::from(table);
    // Every entry reads each table once, since the tables list the entries from
    // which the store readers are selected.
    let mut initialized = false;
    let mut failed_reads = 0;
    let mut times = ChangeTimes::default();
    loop {
        if initialized && !should_follow_store(&cx) {
            cx.sync.set_connected(index, false);
            tokio::time::sleep(OUTAGE_POLL_INTERVAL).await;
            continue;
        }
        let called_at = uptime();
        let wait = poll_wait(&cx, &name, &times);
        let limit = match initialized {
            false => table_timeout(&cx.settings.bounds, failed_reads),
            true => wait + LONG_POLL_SLACK,
        };
        let result = match initialized {
            false => sync_table(&cx, &store, &name, limit, &gate, &mut times).await,
            true => sync_changes(&cx, &store, &name, wait, &mut times).await,
        };
        if matches!(gate, StartupGate::Lists { .. }) {
            gate = StartupGate::Open;
        }
        match result {
            Ok(()) => {
                initialized = true;
                failed_reads = 0;
                backoff.reset();
                set_table_connected(&cx, index, table, true, "");
                let pause = match table == cx.codec.tables().operator {
                    true => OPERATOR_CHANGE_DELAY,
                    false => MEMBER_CHANGE_DELAY,
                };
                tokio::time::sleep(pause).await;
            }
            Err(FeedError::HistoryGone) => {
                cx.recorder
                    .emit(Event::HistoryGone, &format!("table={table}"));
                initialized = false;
            }
            Err(FeedError::Failed(err)) => {
                let call = CallTimes {
                    called_at,
                    ended_at: uptime(),
                    limit,
                };
                if times.on_failure(&err, call) {
                    cx.sync.note_store_away(called_at);
                }
                failed_reads += 1;
                set_table_connected(&cx, index, table, false, &err.to_string());
                let pause = backoff.next_delay();
                tokio::time::sleep(match is_fallback_reader(&cx) {
                    true => pause * FALLBACK_RETRY_FACTOR,
                    false => pause,
                })
                .await;
            }
        }
    }
}

// Whether this entry follows the store only because its readers do not answer. One
// without a configuration has nothing else to go by.
fn is_fallback_reader<D: PlatformCodec>(cx: &Cx<D>) -> bool {
    let readers = store_readers(cx);
    let is_reader = readers.iter().any(|d| d.name == cx.settings.name);
    !is_reader && cx.cluster.snapshot().cfg.is_some()
}

fn set_table_connected<D: PlatformCodec>(
    cx: &Cx<D>,
    index: usize,
    table: &str,
    connected: bool,
    reason: &str,
) {
    if cx.sync.set_connected(index, connected) {
        let event = if connected {
            Event::StoreRegained
        } else {
            Event::StoreLost
        };
        cx.recorder
            .emit(event, &format!("table={table} reason={reason:?}"));
    }
}

async fn sync_table<S: TableFeed, D: PlatformCodec>(
    cx: &Cx<D>,
    store: &S,
    table: &Name,
    limit: Duration,
    gate: &StartupGate,
    times: &mut ChangeTimes,
) -> Result<(), FeedError> {
    let called_at = uptime();
    let read = timeout(limit, store.read_table(table)).await;
    let read = read
        .map_err(|_| timeout_error())?
        .map_err(FeedError::Failed)?;
    observe_clock(cx, &read, called_at);
    let made = made_within(cx, &read, times, false);
    times.on_table_read(read.clock_ms, cx.settings.bounds.settling);
    gate.wait().await;
    cx.cluster
        .replace_changed_table(table, read.rows, read.version, made);
    Ok(())
}

// One store reader, the first that lives, notices a call that hangs. The others learn
// from load reports that they are behind, and their longer calls are billed less often.
// Entries that follow the store because readers failed are vigilant, too.
fn is_vigilant<D: PlatformCodec>(cx: &Cx<D>) -> bool {
    let readers = store_readers(cx);
    let is_own = |reader: &Daemon| reader.name == cx.settings.name;
    let first_alive = readers
        .iter()
        .find(|reader| is_own(reader) || cx.cluster.is_heard(&reader.name, READER_TIMEOUT));
    first_alive.is_some_and(is_own) || !readers.iter().any(is_own)
}

// Time that the next long poll of a table may wait at the store. After a failure it is
// short: a call that hangs in an outage tells only at its end that the store was away.
fn poll_wait<D: PlatformCodec>(cx: &Cx<D>, table: &Name, times: &ChangeTimes) -> Duration {
    if times.has_failed() {
        return MIN_STORE_LONG_POLL;
    }
    if needs_clock(cx, table) {
        return Duration::ZERO;
    }
    match **table != *cx.codec.tables().daemons && is_vigilant(cx) {
        true => long_poll_timeout(&cx.settings.bounds),
        false => MAX_STORE_LONG_POLL,
    }
}

async fn sync_changes<S: TableFeed, D: PlatformCodec>(
    cx: &Cx<D>,
    store: &S,
    table: &Name,
    wait: Duration,
    times: &mut ChangeTimes,
) -> Result<(), FeedError> {
    let after = cx.cluster.table_version(table);
    let limit = wait + LONG_POLL_SLACK;
    let called_at = uptime();
    let mut feed = pin!(store.changes(table, after, wait));
    let mut was_waiting = false;
    let changes = match timeout(limit.min(ARRIVAL_TIME), &mut feed).await {
        Ok(changes) => changes,
        Err(_) => {
            was_waiting = waits_at_store(called_at, uptime());
            let rest = limit.saturating_sub(ARRIVAL_TIME);
            timeout(rest, feed).await.map_err(|_| timeout_error())?
        }
    }?;
    observe_clock(cx, &changes, called_at);
    let made = made_within(cx, &changes, times, was_waiting);
    times.on_changes(changes.clock_ms);
    let known = TableVersion {
        table: table.clone(),
        version: changes.version,
    };
    cx.cluster.apply_changes(changes.rows, &[known], made);
    Ok(())
}

// Whether a response without delay has to tell the store's clock: how long ago weights were
// requested is known only as exactly as that.
fn needs_clock<D: PlatformCodec>(cx: &Cx<D>, table: &Name) -> bool {
    let clock = cx.cluster.snapshot().store_clock;
    let uncertainty_ms = clock.uncertainty_ms(uptime());
    **table == *cx.codec.tables().operator
        && uncertainty_ms.is_some_and(|ms| ms > MAX_CLOCK_UNCERTAINTY_MS)
        && cx.sync.may_read_clock(cx.now())
}

fn observe_clock<D: PlatformCodec>(cx: &Cx<D>, read: &TableRows, called_at: Duration) {
    if let Some(clock_ms) = read.clock_ms {
        cx.cluster
            .observe_store_clock(read.version, clock_ms, called_at);
    }
}

// When the changes were made that a response delivers.
fn made_within<D: PlatformCodec>(
    cx: &Cx<D>,
    read: &TableRows,
    times: &ChangeTimes,
    was_waiting: bool,
) -> Option<TimeSpan> {
    let clock = cx.cluster.snapshot().store_clock;
    let outage_end = cx.sync.store_away_at().and_then(|at| clock.read(at));
    let outage_end_ms = outage_end.map(|reading| reading.time.earliest_ms);
    times.of_changes(read.clock_ms?, was_waiting, outage_end_ms)
}

fn timeout_error() -> FeedError {
    FeedError::Failed(rw_platform::Error::Unknown("no answer in time".to_string()))
}

/// Reads all tables once.
pub async fn sync_all_tables<S: TableFeed, D: PlatformCodec>(cx: &Cx<D>, store: &S) {
    let tables = cx.codec.tables();
    let gate = StartupGate::Open;
    for table in [tables.operator, tables.servers, tables.daemons] {
        let name = Name::from(table);
        let mut times = ChangeTimes::default();
        let limit = table_timeout(&cx.settings.bounds, MAX_TABLE_TIMEOUT_DOUBLINGS);
        let read = sync_table(cx, store, &name, limit, &gate, &mut times).await;
        if let Err(err) = read {
            log::debug!("reading table {table} from the store failed: {err:?}");
            return;
        }
    }
}
