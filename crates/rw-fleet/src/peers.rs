//! Requests and notifications between daemons.

use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_peer::{FrameTx, Handler};
use rw_protocol::{
    Announcement, LoadReport, Missing, Name, Noted, PeerReply, PeerRequest, RowsReply, RowsRequest,
    ServerStatus,
};

use tokio::time::Instant;

use crate::entry::{LoadTracker, PoisonGuard};
use crate::host::ChunkStore;
use crate::{follow, limit_exchange, peer_selection};
use crate::{ClockReading, Cx, Daemon, PlatformCodec};

/// Interval between load reports. An engine starts about one request per
/// interval, so entries exceed its slots only slightly.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds after which an unchanged load report is sent again, before the last
/// one expires.
const MAX_UNCHANGED_ROUNDS: u32 = 5;
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a long poll checks whether this daemon is still connected
/// to the store.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum long-poll timeout that another daemon may request.
const MAX_LONG_POLL: Duration = Duration::from_secs(10);
/// The same while this daemon has no configuration; the other daemon may find
/// one that has.
const MAX_STARTUP_LONG_POLL: Duration = Duration::from_millis(500);

/// Handles requests from other daemons.
pub struct PeerHandler<D> {
    /// Shared state.
    pub cx: Arc<Cx<D>>,
    /// Load on backend servers, on entries.
    pub load_tracker: Option<Arc<LoadTracker>>,
    /// Parts of prompts that crash backend servers, on entries.
    pub poison_guard: Option<Arc<PoisonGuard>>,
    /// Stored weights, on hosts.
    pub chunk_store: Option<Arc<ChunkStore>>,
}

impl<D: PlatformCodec> PeerHandler<D> {
    async fn reply_to(&self, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::Load(report) => self.handle_load_report(report),
            PeerRequest::Announce(announcement) => {
                self.cx.cluster.add_announced(Daemon {
                    name: announcement.name,
                    addr: announcement.addr,
                    zone: announcement.zone,
                });
                PeerReply::Noted(Noted {})
            }
            PeerRequest::Rows(req) => PeerReply::Rows(self.rows(&req).await),
            PeerRequest::Runner(status) => {
                self.cx.cluster.apply_status(status);
                PeerReply::Noted(Noted {})
            }
            PeerRequest::Poison(notice) => {
                if let Some(poison_guard) = &self.poison_guard {
                    poison_guard.on_notice(notice);
                }
                PeerReply::Noted(Noted {})
            }
            PeerRequest::Limits(notice) => match limit_exchange::on_notice(&self.cx, notice) {
                Some(all) => PeerReply::Limits(all),
                None => PeerReply::Noted(Noted {}),
            },
            PeerRequest::Permit(query) => limit_exchange::on_query(&self.cx, query).await,
            PeerRequest::Chunk(req) => match &self.chunk_store {
                Some(chunk_store) => chunk_store.serve_chunk(&req).await,
                None => PeerReply::Missing(Missing { retry_after_ms: 0 }),
            },
            PeerRequest::Manifest(req) => match &self.chunk_store {
                Some(chunk_store) => chunk_store.serve_manifest(&req).await,
                None => PeerReply::Missing(Missing { retry_after_ms: 0 }),
            },
            _ => PeerReply::Missing(Missing { retry_after_ms: 0 }),
        }
    }

    // Replies `Missing` to an entry whose address is not known, so that it announces
    // itself.
    fn handle_load_report(&self, report: LoadReport) -> PeerReply {
        let is_known = self.cx.cluster.entry(&report.entry).is_some();
        self.cx.cluster.record_heard(&report.entry);
        self.cx.limit_guard.on_heard(&report.entry);
        follow::catch_up(&self.cx, &report);
        self.cx.cluster.merge_request_times(&report.requested);
        if let Some(load_tracker) = &self.load_tracker {
            load_tracker.on_load_report(report);
        }
        match is_known {
            true => PeerReply::Noted(Noted {}),
            false => PeerReply::Missing(Missing { retry_after_ms: 0 }),
        }
    }

    async fn rows(&self, req: &RowsRequest) -> RowsReply {
        let cluster = &self.cx.cluster;
        let changed = cluster.subscribe();
        let configured = || cluster.snapshot().cfg.is_some();
        let max_wait = if configured() {
            MAX_LONG_POLL
        } else {
            MAX_STARTUP_LONG_POLL
        };
        let wait = Duration::from_millis(req.wait_ms).min(max_wait);
        let deadline = Instant::now() + wait;
        // A disconnected daemon replies at once, unless it has no configuration
        // yet.
        while !cluster.is_ahead_of(&req.known)
            && (self.cx.sync.is_connected() || !configured())
            && Instant::now() < deadline
        {
            let step = deadline.min(Instant::now() + CONNECTION_CHECK_INTERVAL);
            let changed = tokio::time::timeout_at(step, changed.recv_async()).await;
            if let Ok(Err(err)) = changed {
                log::debug!("subscription to the cluster state ended, replying at once: {err}");
                break;
            }
        }
        // Read first, so that a row which arrives in between is sent again later.
        let known = cluster.table_versions();
        RowsReply {
            rows: cluster.rows_since(&req.known),
            known,
            in_touch: self.cx.sync.is_connected(),
            requested: cluster.request_times(),
            clock: ClockReading::to_message(cluster.store_clock()),
        }
    }
}

impl<D: PlatformCodec> Handler for PeerHandler<D> {
    async fn handle(self: Arc<Self>, req: PeerRequest, mut tx: FrameTx) {
        let reply = self.reply_to(req).await;
        let sent = tx.send(&reply).await.and_then(|()| tx.finish());
        if let Err(err) = sent {
            log::debug!("sending a reply to another daemon failed: {err}");
            tx.reset();
        }
    }
}

/// Sends this entry's load on backend servers to the other entries.
pub async fn broadcast_load<D: PlatformCodec>(cx: Arc<Cx<D>>, load_tracker: Arc<LoadTracker>) {
    let ticks = cx.timer.subscribe(LOAD_REPORT_INTERVAL);
    let mut last_loads = Vec::new();
    let mut last_known = Vec::new();
    let mut unchanged_rounds = 0;
    while ticks.recv_async().await.is_ok() {
        let mut loads = load_tracker.own_loads();
        loads.sort_by(|a, b| a.server.cmp(&b.server));
        unchanged_rounds += 1;
        let known = cx.cluster.table_versions();
        if loads == last_loads && known == last_known && unchanged_rounds < MAX_UNCHANGED_ROUNDS {
            continue;
        }
        unchanged_rounds = 0;
        last_loads.clone_from(&loads);
        last_known.clone_from(&known);
        let report = LoadReport {
            entry: cx.settings.name.clone(),
            loads,
            known,
            requested: cx.cluster.request_times(),
        };
        let snapshot = cx.cluster.snapshot();
        for daemon in snapshot
            .daemons
            .values()
            .filter(|d| d.name != cx.settings.name)
        {
            tokio::spawn(send_load_report(cx.clone(), daemon.clone(), report.clone()));
        }
    }
}

// The reply also shows that the other entry is alive: one that does not list this entry
// yet sends it no reports.
async fn send_load_report<D: PlatformCodec>(cx: Arc<Cx<D>>, to: Daemon, report: LoadReport) {
    let req = PeerRequest::Load(report);
    let reply = cx.pool.request(&to.addr, &req, NOTIFY_TIMEOUT).await;
    if reply.is_ok() {
        cx.limit_guard.on_heard(&to.name);
    }
    match reply {
        Ok(PeerReply::Missing(_)) => {
            let own = PeerRequest::Announce(Announcement {
                name: cx.settings.name.clone(),
                addr: Name::from(cx.settings.peer_addr.to_string()),
                zone: cx.settings.zone.clone(),
            });
            notify(&cx, to.addr, own);
        }
        Ok(_) => {}
        Err(err) => log::debug!("sending a load report to {} failed: {err}", to.addr),
    }
}

/// Sends the status of the backend server beside this daemon to every entry.
pub fn broadcast_status<D: PlatformCodec>(cx: &Arc<Cx<D>>, status: &ServerStatus) {
    let detail = format!(
        "server={} weights={} accepting={}",
        status.server, status.weights, status.accepting
    );
    cx.recorder.emit(Event::RunnerNoticed, &detail);
    for addr in peer_selection::known_entries(cx) {
        notify(cx, addr, PeerRequest::Runner(status.clone()));
    }
}

/// Notifies another daemon. Does not retry: a lost notification is superseded by a later
/// one.
pub fn notify<D: PlatformCodec>(cx: &Arc<Cx<D>>, addr: Name, req: PeerRequest) {
    let cx = cx.clone();
    tokio::spawn(async move {
        if let Err(err) = cx.pool.request(&addr, &req, NOTIFY_TIMEOUT).await {
            log::debug!("notifying {addr} failed: {err}");
        }
    });
}
