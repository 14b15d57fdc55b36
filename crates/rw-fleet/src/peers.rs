//! What daemons tell each other.

use std::sync::Arc;
use std::time::Duration;

use rw_observe::Event;
use rw_peer::{FrameTx, Handler};
use rw_protocol::{
    LoadReport, Missing, Name, Noted, PeerReply, PeerRequest, RowsReply, RowsRequest, ServerStatus,
};

use tokio::time::Instant;

use crate::entry::LoadTracker;
use crate::host::Shelf;
use crate::{follow, neighbours};
use crate::{Cx, Dialect};

/// Time between two rounds of load news; an engine starts about one request in
/// it, so that entries overshoot its slots by little.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Rounds after which unchanged news are sent again, within their life.
const REPEAT_ROUNDS: u32 = 5;
const NEWS_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two looks at whether this daemon is still in touch.
const TOUCH_CHECK: Duration = Duration::from_millis(500);
/// Longest wait for rows that another daemon may ask for.
const MAX_ROWS_WAIT: Duration = Duration::from_secs(10);
/// The same while this daemon knows nothing itself; another may know more.
const FIRST_ROWS_WAIT: Duration = Duration::from_millis(500);

/// Answers other daemons.
pub struct PeerPort<D> {
    /// Shared state.
    pub cx: Arc<Cx<D>>,
    /// Load known here, on entries.
    pub load_tracker: Option<Arc<LoadTracker>>,
    /// Weights held here, on hosts.
    pub shelf: Option<Arc<Shelf>>,
}

impl<D: Dialect> PeerPort<D> {
    async fn answer(&self, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::Load(news) => {
                follow::catch_up(&self.cx, &news);
                self.cx.beliefs.note_named(&news.named);
                if let Some(load_tracker) = &self.load_tracker {
                    load_tracker.on_load_report(news);
                }
                PeerReply::Noted(Noted {})
            }
            PeerRequest::Rows(req) => PeerReply::Rows(self.rows(&req).await),
            PeerRequest::Runner(notice) => {
                self.cx.beliefs.notice(notice);
                PeerReply::Noted(Noted {})
            }
            PeerRequest::Chunk(req) => match &self.shelf {
                Some(shelf) => shelf.serve_chunk(&req).await,
                None => PeerReply::Missing(Missing { retry_after_ms: 0 }),
            },
            PeerRequest::Manifest(req) => match &self.shelf {
                Some(shelf) => shelf.serve_manifest(&req),
                None => PeerReply::Missing(Missing { retry_after_ms: 0 }),
            },
            _ => PeerReply::Missing(Missing { retry_after_ms: 0 }),
        }
    }

    async fn rows(&self, req: &RowsRequest) -> RowsReply {
        let beliefs = &self.cx.beliefs;
        let changed = beliefs.subscribe();
        let knows = || beliefs.view().cfg.is_some();
        let longest = if knows() {
            MAX_ROWS_WAIT
        } else {
            FIRST_ROWS_WAIT
        };
        let wait = Duration::from_millis(req.wait_ms).min(longest);
        let until = Instant::now() + wait;
        // A daemon that is out of touch says so at once, unless it has only
        // just started.
        while !beliefs.is_ahead_of(&req.known)
            && (self.cx.touch.is_whole() || !knows())
            && Instant::now() < until
        {
            let step = until.min(Instant::now() + TOUCH_CHECK);
            let changed = tokio::time::timeout_at(step, changed.recv_async()).await;
            if let Ok(Err(err)) = changed {
                log::debug!("beliefs ended: {err}");
                break;
            }
        }
        RowsReply {
            rows: beliefs.rows_since(&req.known),
            known: beliefs.known(),
            in_touch: self.cx.touch.is_whole(),
        }
    }
}

impl<D: Dialect> Handler for PeerPort<D> {
    async fn handle(self: Arc<Self>, req: PeerRequest, mut tx: FrameTx) {
        let reply = self.answer(req).await;
        let sent = tx.send(&reply).await.and_then(|()| tx.finish());
        if let Err(err) = sent {
            log::debug!("answer to a daemon: {err}");
            tx.reset();
        }
    }
}

/// Tells the other entries what this one has under way.
pub async fn spread_load<D: Dialect>(cx: Arc<Cx<D>>, load_tracker: Arc<LoadTracker>) {
    let ticks = cx.timer.subscribe(LOAD_PERIOD);
    let mut last = Vec::new();
    let mut last_known = Vec::new();
    let mut quiet = 0;
    while ticks.recv_async().await.is_ok() {
        let mut loads = load_tracker.own_loads();
        loads.sort_by(|a, b| a.server.cmp(&b.server));
        quiet += 1;
        let known = cx.beliefs.known();
        if loads == last && known == last_known && quiet < REPEAT_ROUNDS {
            continue;
        }
        quiet = 0;
        last.clone_from(&loads);
        last_known.clone_from(&known);
        let news = LoadReport {
            entry: cx.site.name.clone(),
            loads,
            known,
            named: cx.beliefs.named_ages(&cx.site.bounds),
        };
        let view = cx.beliefs.view();
        for daemon in view.daemons.values().filter(|d| d.name != cx.site.name) {
            tell(&cx, daemon.addr.clone(), PeerRequest::Load(news.clone()));
        }
    }
}

/// Tells every entry about the backend server beside this daemon.
pub fn spread_notice<D: Dialect>(cx: &Arc<Cx<D>>, notice: &ServerStatus) {
    let detail = format!(
        "server={} weights={} accepting={}",
        notice.server, notice.weights, notice.accepting
    );
    cx.recorder.emit(Event::RunnerNoticed, &detail);
    for addr in neighbours::known_entries(cx) {
        tell(cx, addr, PeerRequest::Runner(notice.clone()));
    }
}

// News that get lost are made good by the next ones.
fn tell<D: Dialect>(cx: &Arc<Cx<D>>, addr: Name, req: PeerRequest) {
    let cx = cx.clone();
    tokio::spawn(async move {
        if let Err(err) = cx.pool.request(&addr, &req, NEWS_TIMEOUT).await {
            log::debug!("news for {addr}: {err}");
        }
    });
}
