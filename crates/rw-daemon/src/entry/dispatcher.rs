use std::sync::Arc;
use std::time::Duration;

use rw_coord::Tick;
use rw_observe::Event;
use rw_protocol::{HostStatus, Name};
use rw_routing::{
    Affinity, AnyPolicy, FairQueue, LeastLoaded, Pick, Random, Refusal, RetryBudget, RoundRobin,
    Router, Waiting, Want,
};
use rw_settings::LimitsRouting;

use crate::Context;

const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What became of a call that asked for a host.
#[derive(Debug)]
pub enum Selection {
    /// It may go to this host.
    Host(Pick),
    /// It may not run.
    Refused(Refusal),
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The answer was whole.
    Answered,
    /// The host did not run it.
    NotRun,
    /// The host or the way to it failed.
    Failed,
    /// The caller went away.
    CallerGone,
}

/// A call that asks for a host.
pub struct SelectionRequest {
    /// What it needs.
    pub requirements: Want,
    /// Its team.
    pub team: Name,
    /// Its priority.
    pub priority: u32,
    /// Time since the daemon's start at which the caller stops waiting.
    pub deadline: Duration,
    /// Time since the daemon's start at which it came.
    pub submitted_at: Duration,
    /// Whether this is a repetition after a failure.
    pub is_retry: bool,
    /// Where the grant goes.
    pub selection_tx: flume::Sender<Selection>,
}

/// The end of a dispatch.
pub struct DispatchReport {
    /// Host that had it.
    pub host: Name,
    /// Team of the call.
    pub team: Name,
    /// Calls that the host reported with its answer.
    pub held_calls: Option<u32>,
    /// How it ended.
    pub outcome: DispatchOutcome,
    /// Whether the host said that it is leaving.
    pub leaving: bool,
    /// Time from the grant.
    pub elapsed: Duration,
}

/// What the dispatcher is told.
pub enum DispatcherMessage {
    /// A call asks for a host.
    Select(SelectionRequest),
    /// A dispatch ended.
    DispatchEnded(DispatchReport),
    /// A host reported its status.
    Status(HostStatus, bool),
    /// A host cannot be reached.
    Unreachable(Name),
}

/// Handle of the dispatcher; dropping all of them ends it.
#[derive(Clone)]
pub struct Dispatcher {
    tx: flume::Sender<DispatcherMessage>,
}

impl Dispatcher {
    /// Tells the dispatcher something.
    pub fn send(&self, msg: DispatcherMessage) {
        // Without a dispatcher the daemon is stopping.
        let _ = self.tx.send(msg);
    }
}

struct DispatcherState {
    cx: Arc<Context>,
    router: Router<AnyPolicy>,
    queue: FairQueue<SelectionRequest>,
    retry_budget: RetryBudget,
}

/// Starts the task that chooses hosts; it alone knows the hosts' load.
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
        LimitsRouting::Random => {
            AnyPolicy::Random(Random::new(rw_protocol::rank("policy", &cx.name)))
        }
    }
}

impl DispatcherState {
    async fn run(&mut self, rx: flume::Receiver<DispatcherMessage>) {
        let mut ticks = None;
        let view_changed = self.cx.shared.subscribe();
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
            let waiting = self.queue.len();
            self.cx.recorder.metrics().queued.set(waiting as i64);
            // Only calls that wait need the time.
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
            DispatcherMessage::Unreachable(host) => self.router.on_lost(&host),
        }
    }

    fn enqueue(&mut self, call: SelectionRequest) {
        let now = self.cx.now();
        if call.is_retry && !self.retry_budget.take() {
            return refuse(call, "too many calls are being repeated", RETRY_AFTER);
        }
        if !call.is_retry {
            self.retry_budget.on_first_try();
        }
        let waiting = Waiting {
            team: call.team.clone(),
            priority: call.priority,
            deadline: call.deadline,
            item: call,
        };
        if let Err((waiting, refusal)) = self.queue.push(waiting, now) {
            refuse(waiting.item, refusal.reason, refusal.retry_after);
        }
    }

    fn handle_report(&mut self, report: &DispatchReport) {
        let now = self.cx.now();
        let answered = report.outcome == DispatchOutcome::Answered;
        self.queue
            .on_end(&report.team, answered.then_some(report.elapsed));
        self.router.on_end(&report.host, report.held_calls);
        if report.leaving {
            self.router.on_leaving(&report.host);
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
        for waiting in self.queue.expire(now) {
            refuse(waiting.item, "no host became free in time", RETRY_AFTER);
        }
        for waiting in self.queue.remove(|w| w.item.selection_tx.is_disconnected()) {
            drop(waiting);
        }
    }

    // A new configuration may name other manifests for calls that wait.
    fn refresh_manifests(&mut self) {
        let view = self.cx.shared.read();
        self.queue.update(|waiting| {
            let requirements = &mut waiting.item.requirements;
            if !requirements.manifests.is_empty() {
                requirements.manifests = view.cfg.manifests(&requirements.service, &waiting.team);
            }
        });
    }

    fn assign_hosts(&mut self) {
        let now = self.cx.now();
        loop {
            let router = &self.router;
            // A place goes first to a call that finds its prefix there.
            let next = self.queue.pop(now, |call| {
                router.has_preferred_room(&call.requirements, now)
            });
            let next = next.or_else(|| {
                self.queue.pop(now, |call| {
                    let time_queued = now.saturating_sub(call.submitted_at);
                    router.may_spill(&call.requirements, time_queued, now)
                })
            });
            let Some(waiting) = next else { return };
            let call = waiting.item;
            let Some(pick) = self.router.pick(&call.requirements, now) else {
                self.queue.on_end(&waiting.team, None);
                refuse(call, "no host is free", RETRY_AFTER);
                continue;
            };
            let host = pick.host.clone();
            match call.selection_tx.send(Selection::Host(pick)) {
                Ok(()) => self.router.on_start(&host),
                // The caller went away while it waited.
                Err(_) => self.queue.on_end(&waiting.team, None),
            }
        }
    }
}

async fn next_tick(ticks: &Option<flume::Receiver<Tick>>) {
    match ticks {
        // A timer that ended ticks no more.
        Some(rx) if rx.recv_async().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

fn refuse(call: SelectionRequest, reason: &'static str, retry_after: Duration) {
    // The caller may be gone.
    let _ = call.selection_tx.send(Selection::Refused(Refusal {
        reason,
        retry_after,
    }));
}
