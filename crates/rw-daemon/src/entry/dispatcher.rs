//! Selects a host for each call. While no host has free capacity for a call, the
//! call waits in a queue that is fair between teams.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::Tick;
use rw_observe::Event;
use rw_protocol::{HostStatus, Name};
use rw_routing::{
    Affinity, AnyPolicy, FairQueue, HostQuery, HostSelection, LeastLoaded, QueuedRequest, Random,
    Refusal, RetryBudget, RoundRobin, Router,
};
use rw_settings::LimitsRouting;

use crate::Context;

/// Interval at which expired calls are removed from the queue.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reply to a [`SelectionRequest`].
#[derive(Debug)]
pub enum SelectionResult {
    /// The call is dispatched to this host.
    Host(HostSelection),
    /// The call is rejected.
    Refused(Refusal),
}

/// How the dispatch of a call to a host ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The complete answer was received.
    Answered,
    /// The host did not run the call.
    NotRun,
    /// The host or the connection to it failed.
    Failed,
    /// The caller disconnected.
    CallerGone,
}

/// How a request for a host counts towards the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a call, which earns a share of a retry.
    First,
    /// The previous host did not run the call; neither earns nor costs a retry.
    Reoffer,
    /// The previous attempt may have run; costs a retry.
    Retry,
}

/// A request for a host that can run a call.
pub struct SelectionRequest {
    /// What the host has to provide.
    pub query: HostQuery,
    /// Team of the caller.
    pub team: Name,
    /// Priority of the call; higher values are served first.
    pub priority: u32,
    /// Time since the daemon's start at which the call expires.
    pub deadline: Duration,
    /// Time since the daemon's start at which the request was submitted.
    pub submitted_at: Duration,
    /// How the request counts towards the retry budget.
    pub attempt: AttemptKind,
    /// Receives the result; disconnected once the call is cancelled.
    pub selection_tx: flume::Sender<SelectionResult>,
}

/// How a dispatch ended, for the router's load and health records.
pub struct DispatchReport {
    /// Host of the dispatch.
    pub host: Name,
    /// Team of the call.
    pub team: Name,
    /// Number of running and queued calls that the host reported with its answer.
    pub reported_load: Option<u32>,
    /// How the dispatch ended.
    pub outcome: DispatchOutcome,
    /// Whether the host refused the call because it is leaving.
    pub leaving: bool,
    /// Time since the start of the dispatch.
    pub elapsed: Duration,
}

/// Messages to the dispatcher.
pub enum DispatcherMessage {
    /// A call needs a host.
    Select(SelectionRequest),
    /// A dispatch ended.
    DispatchEnded(DispatchReport),
    /// A host reported its status; true for a host of the entry's availability
    /// zone.
    Status(HostStatus, bool),
    /// A host cannot be reached.
    Unreachable(Name),
}

/// Handle to the dispatcher task, which ends when all handles are dropped.
#[derive(Clone)]
pub struct Dispatcher {
    tx: flume::Sender<DispatcherMessage>,
}

impl Dispatcher {
    /// Sends a message without waiting for its effect.
    pub fn send(&self, msg: DispatcherMessage) {
        // The dispatcher only ends while the daemon is stopping.
        let _ = self.tx.send(msg);
    }
}

struct DispatcherState {
    cx: Arc<Context>,
    router: Router<AnyPolicy>,
    queue: FairQueue<SelectionRequest>,
    retry_budget: RetryBudget,
}

/// Starts the task that selects hosts. Only this task tracks their load.
pub fn start_dispatcher(cx: Arc<Context>) -> Dispatcher {
    let (tx, rx) = flume::unbounded();
    let limits = &cx.deployment.limits;
    let mut state = DispatcherState {
        router: Router::new(routing_policy(&cx)),
        queue: FairQueue::new(
            limits.queue_per_team.get() as usize,
            Duration::from_millis(limits.max_wait_ms.get()),
        ),
        retry_budget: RetryBudget::new(limits.retry_ratio),
        cx: cx.clone(),
    };
    for (name, team) in &cx.deployment.teams {
        state
            .queue
            .set_team(name, team.weight.get(), team.max_in_flight.get());
    }
    tokio::spawn(async move { state.run(rx).await });
    Dispatcher { tx }
}

fn routing_policy(cx: &Context) -> AnyPolicy {
    match cx.deployment.limits.routing {
        LimitsRouting::Affinity => AnyPolicy::Affinity(Affinity),
        LimitsRouting::LeastLoaded => AnyPolicy::LeastLoaded(LeastLoaded),
        LimitsRouting::RoundRobin => AnyPolicy::RoundRobin(RoundRobin::default()),
        LimitsRouting::Random => AnyPolicy::Random(Random::new(rw_protocol::rendezvous_rank(
            "policy", &cx.name,
        ))),
    }
}

impl DispatcherState {
    async fn run(&mut self, rx: flume::Receiver<DispatcherMessage>) {
        let mut ticks = None;
        let view_changed = self.cx.view.subscribe();
        loop {
            tokio::select! {
                msg = rx.recv_async() => match msg {
                    Ok(msg) => self.handle(msg),
                    Err(_) => return,
                },
                () = next_tick(&ticks) => self.expire_queued(),
                _ = view_changed.recv_async() => self.refresh_manifests(),
            }
            self.assign_hosts();
            let queued = self.queue.len();
            self.cx.recorder.metrics().queued.set(queued as i64);
            // Timer ticks are only needed while calls are queued.
            ticks = match (self.queue.is_empty(), ticks) {
                (true, _) => None,
                (false, None) => Some(self.cx.timer.subscribe(EXPIRY_INTERVAL)),
                (false, known) => known,
            };
        }
    }

    fn handle(&mut self, msg: DispatcherMessage) {
        match msg {
            DispatcherMessage::Select(call) => self.enqueue(call),
            DispatcherMessage::DispatchEnded(report) => self.handle_report(&report),
            DispatcherMessage::Status(status, same_zone) => {
                self.router.on_status(status, same_zone)
            }
            DispatcherMessage::Unreachable(host) => self.router.on_unreachable(&host),
        }
    }

    fn enqueue(&mut self, call: SelectionRequest) {
        let now = self.cx.now();
        match call.attempt {
            AttemptKind::First => self.retry_budget.on_first_attempt(),
            AttemptKind::Reoffer => {}
            AttemptKind::Retry => {
                if !self.retry_budget.take() {
                    return refuse(call, "too many calls are being repeated", RETRY_AFTER);
                }
            }
        }
        let queued = QueuedRequest {
            team: call.team.clone(),
            priority: call.priority,
            deadline: call.deadline,
            item: call,
        };
        if let Err((queued, refusal)) = self.queue.push(queued, now) {
            refuse(queued.item, refusal.reason, refusal.retry_after);
        }
    }

    fn handle_report(&mut self, report: &DispatchReport) {
        let now = self.cx.now();
        let answered = report.outcome == DispatchOutcome::Answered;
        self.queue
            .on_request_end(&report.team, answered.then_some(report.elapsed));
        self.router
            .on_request_end(&report.host, report.reported_load);
        if report.leaving {
            self.router.on_draining(&report.host);
        }
        match report.outcome {
            DispatchOutcome::Answered => self.router.on_success(&report.host, now),
            DispatchOutcome::Failed => {
                if self.router.on_failure(&report.host, now) {
                    self.cx
                        .recorder
                        .emit(Event::HostCircuitOpen, &format!("host={}", report.host));
                }
            }
            DispatchOutcome::NotRun | DispatchOutcome::CallerGone => {}
        }
    }

    fn expire_queued(&mut self) {
        let now = self.cx.now();
        for queued in self.queue.expire(now) {
            refuse(queued.item, "no host became free in time", RETRY_AFTER);
        }
        for queued in self.queue.remove(|q| q.item.selection_tx.is_disconnected()) {
            drop(queued);
        }
    }

    // A new configuration may assign other manifests to queued calls.
    fn refresh_manifests(&mut self) {
        let view = self.cx.view.read();
        self.queue.update(|queued| {
            let query = &mut queued.item.query;
            if !query.manifests.is_empty() {
                query.manifests = view.cfg.manifests_for(&query.service, &queued.team);
            }
        });
    }

    fn assign_hosts(&mut self) {
        let now = self.cx.now();
        loop {
            let router = &self.router;
            // Calls for which a preferred host of their prefix has free capacity go
            // first.
            let next = self
                .queue
                .pop(now, |call| router.has_preferred_capacity(&call.query, now));
            let next = next.or_else(|| {
                self.queue.pop(now, |call| {
                    let time_queued = now.saturating_sub(call.submitted_at);
                    router.may_spill_over(&call.query, time_queued, now)
                })
            });
            let Some(queued) = next else { return };
            let call = queued.item;
            let Some(selection) = self.router.select(&call.query, now) else {
                self.queue.on_request_end(&queued.team, None);
                refuse(call, "no host is free", RETRY_AFTER);
                continue;
            };
            let host = selection.host.clone();
            match call.selection_tx.send(SelectionResult::Host(selection)) {
                Ok(()) => self.router.on_request_start(&host),
                // The caller disconnected while the call was queued.
                Err(_) => self.queue.on_request_end(&queued.team, None),
            }
        }
    }
}

async fn next_tick(ticks: &Option<flume::Receiver<Tick>>) {
    match ticks {
        // Without a running timer no tick arrives.
        Some(rx) if rx.recv_async().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

fn refuse(call: SelectionRequest, reason: &'static str, retry_after: Duration) {
    // The send fails if the caller has disconnected.
    let _ = call.selection_tx.send(SelectionResult::Refused(Refusal {
        reason,
        retry_after,
    }));
}
