//! Starts a daemon's tasks and shuts them down in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rw_observe::{Event, Recorder};
use rw_platform::TableFeed;
use rw_protocol::Name;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep_until, Instant};

use crate::entry::{
    grant_permits, serve_callers, serve_probe, watch_weights, Entry, LoadTracker, PoisonGuard,
    Shutdown, Stages,
};
use crate::host::{reconcile_weights, BackendClient, ChunkStore, ObjectArchive, OriginClient};
use crate::limit_exchange::exchange_limits;
use crate::load_record::{record_loads, WantedRecord};
use crate::peers::{broadcast_load, PeerHandler};
use crate::poison_notices::exchange_poison_notices;
use crate::process_limits::log_connection_limits;
use crate::quarantine_record::follow_quarantines;
use crate::weights_record::record_requests;
use crate::{follow, Cx, Daemon, DaemonSettings, Error, FleetRole, PlatformCodec, Result};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of queued reads of staged chunks; when the queue is full,
/// peers receive a retry delay.
const MAX_PENDING_READS: usize = 64;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which a daemon checks that the store lists it.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Checks in a row that do not find the daemon listed, after which it registers again;
/// its row normally arrives within one or two.
const MAX_UNLISTED_CHECKS: u32 = 4;
/// Timeout of the write that registers a daemon in the store.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients of the systems that a daemon depends on.
pub struct ExternalClients<S, B, O> {
    /// The platform's store.
    pub store: S,
    /// The backend server beside a host.
    pub backend: Option<B>,
    /// The origin of weights.
    pub origin: O,
}

/// Runs a daemon until it receives a stop signal.
pub async fn run<D, S, B, O>(
    settings: DaemonSettings,
    codec: Arc<D>,
    recorder: Recorder,
    clients: ExternalClients<S, B, O>,
) -> Result<()>
where
    D: PlatformCodec,
    S: TableFeed + ObjectArchive,
    B: BackendClient,
    O: OriginClient,
{
    let mut signals = Signals::new()?;
    let cx = Cx::new(settings, codec, recorder);
    let peers = listen(cx.settings.peer_addr).await?;
    let detail = format!("role={:?} zone={}", cx.settings.role, cx.settings.zone);
    cx.recorder.emit(Event::DaemonStarted, &detail);
    if let Some(addr) = cx.settings.metrics_addr {
        serve_metrics(&cx, addr).await;
    }
    tokio::spawn(log_connection_limits(cx.clone()));
    follow::start(&cx, clients.store.clone());
    match cx.settings.role {
        FleetRole::Entry => run_entry(&cx, peers, clients.store, &mut signals).await?,
        FleetRole::Host => {
            let backend = clients.backend.ok_or(Error::Missing("backend server"))?;
            let (origin, store) = (clients.origin, clients.store);
            run_host(&cx, peers, backend, origin, store, &mut signals).await;
        }
    }
    cx.recorder.emit(Event::DaemonStopped, "");
    Ok(())
}

async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Bind(addr.to_string(), err))
}

// A daemon runs without metrics if their address cannot be bound.
async fn serve_metrics<D: PlatformCodec>(cx: &Arc<Cx<D>>, addr: SocketAddr) {
    match listen(addr).await {
        Ok(listener) => {
            let recorder = cx.recorder.clone();
            let answer = move |_: &str| (StatusCode::OK, recorder.metrics().render());
            tokio::spawn(serve_probe(listener, cx.limits.probes.clone(), answer));
        }
        Err(err) => log::warn!("running without metrics: {err}"),
    }
}

async fn run_entry<D: PlatformCodec, S: TableFeed>(
    cx: &Arc<Cx<D>>,
    peers: TcpListener,
    store: S,
    signals: &mut Signals,
) -> Result<()> {
    let callers = cx
        .settings
        .caller_addr
        .ok_or(Error::Missing("address for callers"))?;
    let ready = cx
        .settings
        .ready_addr
        .ok_or(Error::Missing("address for readiness"))?;
    let (callers, ready) = (listen(callers).await?, listen(ready).await?);
    let load_tracker = LoadTracker::new(
        cx.settings.name.clone(),
        cx.settings.bounds,
        cx.rng.clone(),
        cx.recorder.clone(),
    );
    let poison_guard = PoisonGuard::new(cx.recorder.clone());
    let handler = PeerHandler {
        cx: cx.clone(),
        load_tracker: Some(load_tracker.clone()),
        poison_guard: Some(poison_guard.clone()),
        chunk_store: None,
    };
    let limits = cx.limits.peers.clone();
    tokio::spawn(rw_peer::serve_within(peers, Arc::new(handler), limits));
    tokio::spawn(broadcast_load(cx.clone(), load_tracker.clone()));
    tokio::spawn(exchange_poison_notices(cx.clone(), poison_guard.clone()));
    tokio::spawn(exchange_limits(cx.clone()));
    tokio::spawn(grant_permits(cx.limit_guard.clone()));
    tokio::spawn(prune_removed_servers(cx.clone(), load_tracker.clone()));
    tokio::spawn(record_requests(cx.clone(), store.clone()));
    tokio::spawn(follow_quarantines(
        cx.clone(),
        poison_guard.clone(),
        store.clone(),
    ));
    tokio::spawn(register(cx.clone(), store));
    let entry = Entry::new(cx.clone(), load_tracker, poison_guard);
    tokio::spawn(watch_weights(entry.clone()));
    let probed_entry = entry.clone();
    let ready_path = cx.codec.ready_path();
    let answer = move |path: &str| match (path == ready_path, probed_entry.is_ready()) {
        (true, true) => (StatusCode::OK, String::new()),
        (true, false) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        (false, _) => (StatusCode::NOT_FOUND, String::new()),
    };
    tokio::spawn(serve_probe(ready, cx.limits.probes.clone(), answer));
    let (close_port, port_closed) = flume::bounded::<()>(0);
    let (end_requests, requests_end) = flume::bounded::<()>(0);
    let shutdown = Shutdown {
        port_closed,
        requests_end,
    };
    let serving = tokio::spawn(serve_callers(entry.clone(), callers, shutdown));
    signals.wait_for_stop(cx).await;
    let stages = Stages::new(Instant::now(), cx.settings.bounds.grace);
    cx.begin_shutdown();
    let counts = || entry.connections.counts();
    cx.recorder
        .emit(Event::DaemonDraining, &counts().to_string());
    sleep_until(stages.port_closes).await;
    cx.recorder
        .emit(Event::CallerPortClosed, &counts().to_string());
    entry.refuse_calls_beyond(stages.requests_end);
    drop(close_port);
    // Until the listen queue is empty, not all connections are counted.
    if let Err(err) = serving.await {
        log::warn!("the task of the caller port failed: {err}");
    }
    wait_for_connections(&entry, stages.requests_end).await;
    drop(end_requests);
    wait_for_connections(&entry, stages.exit).await;
    if counts().open > 0 {
        cx.recorder
            .emit(Event::DrainTimedOut, &counts().to_string());
        for request in entry.connections.unanswered() {
            cx.recorder.emit(Event::CallCutOff, &request);
        }
    }
    Ok(())
}

// Waits until all caller connections have ended, or until `deadline`.
async fn wait_for_connections<D: PlatformCodec>(entry: &Entry<D>, deadline: Instant) {
    while entry.connections.counts().open > 0 && Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn run_host<
    D: PlatformCodec,
    B: BackendClient,
    O: OriginClient,
    S: TableFeed + ObjectArchive,
>(
    cx: &Arc<Cx<D>>,
    peers: TcpListener,
    backend: B,
    origin: O,
    store: S,
    signals: &mut Signals,
) {
    let (read_requests, pending_reads) = flume::bounded(MAX_PENDING_READS);
    let chunk_store = ChunkStore::new(cx.settings.link_bytes_per_s, read_requests);
    let handler = PeerHandler {
        cx: cx.clone(),
        load_tracker: None,
        poison_guard: None,
        chunk_store: Some(chunk_store.clone()),
    };
    let limits = cx.limits.peers.clone();
    tokio::spawn(rw_peer::serve_within(peers, Arc::new(handler), limits));
    let wanted_record = WantedRecord::default();
    let (recorded_cx, records) = (cx.clone(), store.clone());
    tokio::spawn(record_loads(recorded_cx, records, wanted_record.clone()));
    tokio::spawn(reconcile_weights(
        cx.clone(),
        chunk_store,
        backend,
        origin,
        store,
        pending_reads,
        wanted_record,
    ));
    signals.wait_for_stop(cx).await;
}

async fn prune_removed_servers<D: PlatformCodec>(cx: Arc<Cx<D>>, load_tracker: Arc<LoadTracker>) {
    let changed = cx.cluster.subscribe();
    while changed.recv_async().await.is_ok() {
        let snapshot = cx.cluster.snapshot();
        load_tracker.prune_servers(&snapshot);
        let is_known = |id: &Name| snapshot.servers.contains_key(id);
        cx.limit_guard.retain_servers(is_known);
    }
}

// Registers this daemon in the store, where other daemons find it, and again when
// the store came back from a copy without its row.
async fn register<D: PlatformCodec, S: TableFeed>(cx: Arc<Cx<D>>, store: S) {
    let own = Daemon {
        name: cx.settings.name.clone(),
        addr: Name::from(cx.settings.peer_addr.to_string()),
        zone: cx.settings.zone.clone(),
    };
    let value = cx.codec.encode_daemon(&own);
    let table = cx.codec.tables().daemons;
    let seed = rw_protocol::rendezvous_rank("register", &own.name);
    let mut backoff = rw_coord::Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, seed);
    loop {
        let write = store.write_row(table, &own.name, &value);
        match tokio::time::timeout(REGISTER_TIMEOUT, write).await {
            Ok(Ok(())) => {
                backoff.reset();
                if !wait_until_unlisted(&cx, &own.name).await {
                    return;
                }
                continue;
            }
            Ok(Err(err)) => log::debug!("registering in the store failed, retrying: {err}"),
            Err(_) => log::debug!("registering in the store timed out, retrying"),
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

// Waits until the store is known not to list the daemon, although its changes arrive.
// Returns false when the timer service ends.
async fn wait_until_unlisted<D: PlatformCodec>(cx: &Cx<D>, name: &Name) -> bool {
    let ticks = cx.timer.subscribe(LISTING_CHECK_INTERVAL);
    let mut unlisted_checks = 0;
    while ticks.recv_async().await.is_ok() {
        let is_listed = cx.cluster.snapshot().daemons.contains_key(name);
        let is_current = cx.sync.is_connected() && !cx.cluster.has_earlier_eras();
        unlisted_checks = match is_current && !is_listed {
            true => unlisted_checks + 1,
            false => 0,
        };
        if unlisted_checks >= MAX_UNLISTED_CHECKS {
            return true;
        }
    }
    false
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    // Settings are fixed for the lifetime of a process, so a reload is recorded
    // and changes nothing.
    async fn wait_for_stop<D: PlatformCodec>(&mut self, cx: &Cx<D>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    cx.recorder.emit(Event::SettingsReloaded, "changed=false");
                }
            }
        }
    }
}
