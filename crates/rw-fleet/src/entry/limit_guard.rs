//! Limits on requests per second that backend servers name in their responses, and the
//! permits that this entry grants as the owner of such servers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::{uptime, ChangeNotifier};
use rw_observe::{Event, Recorder};
use rw_protocol::Name;
use rw_routing::{
    AskOutcome, LimitChange, LimitCoordinator, LimitNews, LimitObservation, LimitUsage, PermitAsk,
    PermitRefusal, PermitReply, PermitTarget, ServerLifetime,
};
use tokio::time::Instant;

use super::NamedLimit;
use crate::BackendServer;

/// Time between two grants of permits if nobody waits for one.
const IDLE_GRANT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a request for a permit is refused that got no answer.
const LOST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// An answer to a request for a permit, and when it was given, in machine uptime.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedReply {
    pub(crate) reply: PermitReply,
    pub(crate) at: Duration,
}

/// What becomes of a request for a permit: the answer, or the entry to which it has to be
/// passed on.
pub(crate) enum Asked {
    Reply(TimedReply),
    Forward(Name),
}

struct State {
    coordinator: LimitCoordinator,
    waiting: HashMap<u64, flume::Sender<TimedReply>>,
    next_id: u64,
}

impl State {
    // Hands out answers; a request whose caller has gone needs none.
    fn deliver(&mut self, replies: Vec<(u64, PermitReply)>, at: Duration) {
        for (id, reply) in replies {
            let sent = self
                .waiting
                .remove(&id)
                .map(|tx| tx.send(TimedReply { reply, at }));
            if !matches!(sent, Some(Ok(()))) {
                log::debug!("nobody waits for permit {id} any more");
            }
        }
    }
}

/// The limits of backend servers as this entry knows them. Times are machine uptimes.
pub struct LimitGuard {
    state: Mutex<State>,
    // Whether any server has named a limit, so that other requests need no lock.
    is_active: AtomicBool,
    waiting_changed: ChangeNotifier,
    recorder: Recorder,
}

fn lifetime(server: &BackendServer) -> ServerLifetime {
    ServerLifetime {
        id: server.id.clone(),
        started_ms: server.started_ms,
    }
}

impl LimitGuard {
    /// Creates the guard of an entry that knows of no limit.
    pub fn new(entry: Name, recorder: Recorder) -> Arc<Self> {
        Arc::new(LimitGuard {
            state: Mutex::new(State {
                coordinator: LimitCoordinator::new(entry),
                waiting: HashMap::new(),
                next_id: 0,
            }),
            is_active: AtomicBool::new(false),
            waiting_changed: ChangeNotifier::default(),
            recorder,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether any server has, or had, a limit.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Whether a server has a limit.
    pub fn is_limited(&self, server: &BackendServer) -> bool {
        self.is_active() && self.state().coordinator.limit(&lifetime(server)).is_some()
    }

    /// Records what a response of a server said about its limit.
    pub(super) fn on_response(&self, server: &BackendServer, named: NamedLimit, sent_at: Duration) {
        let limit = match named {
            NamedLimit::Unknown => return,
            NamedLimit::Unlimited if !self.is_active() => return,
            NamedLimit::Unlimited => None,
            NamedLimit::PerSecond(limit) => Some(limit),
        };
        let received_at = uptime();
        let observation = LimitObservation {
            limit,
            sent_at,
            received_at,
        };
        let server = lifetime(server);
        let coordinator = &mut self.state().coordinator;
        let change = coordinator.on_response(&server, observation, received_at);
        self.record_change(change, "response");
    }

    /// Whether a request that waits for `patience` at most would be refused a permit.
    /// `spread` is a random number from 0 to 1.
    pub(super) fn refusal(
        &self,
        server: &BackendServer,
        patience: Duration,
        spread: f64,
    ) -> Option<PermitRefusal> {
        let server = lifetime(server);
        let coordinator = &self.state().coordinator;
        coordinator.refusal(&server, patience, spread, uptime())
    }

    /// Whom to ask for a permit for a server, and what this entry knows of its limit.
    pub(crate) fn target(
        &self,
        server: &BackendServer,
    ) -> (ServerLifetime, PermitTarget, Option<LimitObservation>) {
        let server = lifetime(server);
        let coordinator = &mut self.state().coordinator;
        let target = coordinator.target(&server);
        let observation = coordinator.observation(&server);
        (server, target, observation)
    }

    /// Handles a request for a permit, of this entry or of another one, and waits for the
    /// answer.
    pub(crate) async fn ask(&self, mut ask: PermitAsk) -> Asked {
        let (patience, now) = (ask.request.patience, uptime());
        let (tx, rx) = flume::bounded(1);
        let outcome = {
            let mut state = self.state();
            state.next_id += 1;
            ask.request.id = state.next_id;
            let (outcome, displaced, change) = state.coordinator.on_ask(ask, now);
            state.deliver(displaced, now);
            if outcome == AskOutcome::Queued {
                let id = state.next_id;
                state.waiting.insert(id, tx);
            }
            drop(state);
            self.record_change(change, "entry");
            outcome
        };
        match outcome {
            AskOutcome::Reply(reply) => Asked::Reply(TimedReply { reply, at: now }),
            AskOutcome::Forward(entry) => Asked::Forward(entry),
            AskOutcome::Queued => {
                self.waiting_changed.notify();
                let limit = patience + LOST_ANSWER_MARGIN;
                let answer = tokio::time::timeout(limit, rx.recv_async()).await;
                Asked::Reply(
                    answer
                        .ok()
                        .and_then(|answer| answer.ok())
                        .unwrap_or_else(|| {
                            log::debug!("a request for a permit got no answer in time");
                            TimedReply {
                                reply: PermitReply::Refused(PermitRefusal::after(
                                    LOST_ANSWER_MARGIN,
                                )),
                                at: uptime(),
                            }
                        }),
                )
            }
        }
    }

    /// Records the owner's answer to a request of this entry.
    pub(crate) fn on_reply(&self, server: &ServerLifetime, reply: &PermitReply) {
        let coordinator = &mut self.state().coordinator;
        coordinator.on_reply(server, reply, uptime());
    }

    /// Records a message of another entry.
    pub(crate) fn on_heard(&self, entry: &Name) {
        let now = uptime();
        self.state().coordinator.membership.on_heard(entry, now);
    }

    /// Records that another entry is shutting down.
    pub(crate) fn on_leaving(&self, entry: &Name) {
        let now = uptime();
        self.state().coordinator.membership.on_leaving(entry, now);
    }

    /// Takes what another entry knows.
    pub(crate) fn on_news(&self, entry: &Name, news: LimitNews) {
        let changes = self.state().coordinator.on_news(entry, news, uptime());
        for change in changes {
            self.record_change(Some(change), "entry");
        }
    }

    /// Everything that this entry knows, for one that starts.
    pub(crate) fn all_limits(&self) -> LimitNews {
        self.state().coordinator.all_limits()
    }

    /// Finds out which entries are alive, and returns what they have to know; to be called
    /// every 100 ms.
    pub(crate) fn evaluate(&self, is_leaving: bool) -> Option<LimitNews> {
        let now = uptime();
        let mut state = self.state();
        if is_leaving {
            state.coordinator.membership.leave();
        }
        state.coordinator.membership.evaluate(now);
        let news = state.coordinator.news(now);
        let limited = state.coordinator.limited_servers();
        self.recorder.metrics().servers_limited.set(limited as i64);
        news
    }

    /// Forgets servers that are gone.
    pub(crate) fn retain_servers(&self, is_known: impl Fn(&Name) -> bool) {
        self.state().coordinator.retain_servers(is_known);
    }

    /// How the limits are used of those servers that this entry owns.
    pub(crate) fn usage(&self) -> Vec<LimitUsage> {
        self.state().coordinator.usage(uptime())
    }

    fn grant_due(&self) -> Option<Duration> {
        let now = uptime();
        let mut state = self.state();
        let replies = state.coordinator.poll(now);
        state.deliver(replies, now);
        state.coordinator.next_poll()
    }

    fn record_change(&self, change: Option<LimitChange>, source: &str) {
        let Some(LimitChange { server, limit }) = change else {
            return;
        };
        self.is_active.store(true, Ordering::Relaxed);
        let detail = format!("server={} started_ms={}", server.id, server.started_ms);
        match limit {
            Some(limit) => {
                let detail = format!("{detail} per_s={limit} source={source}");
                self.recorder.emit(Event::ServerLimitNamed, &detail);
            }
            None => {
                let detail = format!("{detail} source={source}");
                self.recorder.emit(Event::ServerLimitEnded, &detail);
            }
        }
    }
}

/// Grants the permits for which requests wait, as they fall due. Ends with the process.
pub async fn grant_permits(guard: Arc<LimitGuard>) {
    let changed = guard.waiting_changed.subscribe();
    loop {
        let due_at = guard.grant_due();
        let delay = due_at.map_or(IDLE_GRANT_INTERVAL, |at| at.saturating_sub(uptime()));
        let until = Instant::now() + delay.min(IDLE_GRANT_INTERVAL);
        let woken = tokio::time::timeout_at(until, changed.recv_async()).await;
        if matches!(woken, Ok(Err(_))) {
            return;
        }
    }
}
