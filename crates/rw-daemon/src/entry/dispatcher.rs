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

const TICK: Duration = Duration::from_millis(10);
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What became of a call that asked for a host.
#[derive(Debug)]
pub enum Grant {
    /// It may go to this host.
    Go(HostSelection),
    /// It may not run.
    Refused(Refusal),
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer was whole.
    Answered,
    /// The host did not run it.
    NotRun,
    /// The host or the way to it failed.
    Failed,
    /// The caller went away.
    Abandoned,
}

/// A call that asks for a host.
pub struct Submit {
    /// What it needs.
    pub want: HostQuery,
    /// Its team.
    pub team: Name,
    /// Its priority.
    pub priority: u32,
    /// Time since the daemon's start at which the caller stops waiting.
    pub deadline: Duration,
    /// Time since the daemon's start at which it came.
    pub since: Duration,
    /// Whether this is a repetition after a failure.
    pub is_retry: bool,
    /// Where the grant goes.
    pub grant: flume::Sender<Grant>,
}

/// The end of a dispatch.
pub struct Ended {
    /// Host that had it.
    pub host: Name,
    /// Team of the call.
    pub team: Name,
    /// Calls that the host reported with its answer.
    pub held: Option<u32>,
    /// How it ended.
    pub verdict: Verdict,
    /// Whether the host said that it is leaving.
    pub leaving: bool,
    /// Time from the grant.
    pub took: Duration,
}

/// What the dispatcher is told.
pub enum Message {
    /// A call asks for a host.
    Submit(Submit),
    /// A dispatch ended.
    Ended(Ended),
    /// A host reported its status.
    Status(HostStatus, bool),
    /// A host cannot be reached.
    Lost(Name),
}

/// Handle of the dispatcher; dropping all of them ends it.
#[derive(Clone)]
pub struct Dispatcher {
    tx: flume::Sender<Message>,
}

impl Dispatcher {
    /// Tells the dispatcher something.
    pub fn tell(&self, msg: Message) {
        // Without a dispatcher the daemon is stopping.
        let _ = self.tx.send(msg);
    }
}

struct State {
    cx: Arc<Context>,
    router: Router<AnyPolicy>,
    queue: FairQueue<Submit>,
    budget: RetryBudget,
}

/// Starts the task that chooses hosts; it alone knows the hosts' load.
pub fn run_dispatcher(cx: Arc<Context>) -> Dispatcher {
    let (tx, rx) = flume::unbounded();
    let limits = &cx.deployment.limits;
    let mut state = State {
        router: Router::new(policy(&cx)),
        queue: FairQueue::new(
            limits.queue_per_team.get() as usize,
            Duration::from_millis(limits.max_wait_ms.get()),
        ),
        budget: RetryBudget::new(limits.retry_ratio),
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

fn policy(cx: &Context) -> AnyPolicy {
    match cx.deployment.limits.routing {
        LimitsRouting::Affinity => AnyPolicy::Affinity(Affinity),
        LimitsRouting::LeastLoaded => AnyPolicy::LeastLoaded(LeastLoaded),
        LimitsRouting::RoundRobin => AnyPolicy::RoundRobin(RoundRobin::default()),
        LimitsRouting::Random => {
            AnyPolicy::Random(Random::new(rw_protocol::rank("policy", &cx.name)))
        }
    }
}

impl State {
    async fn run(&mut self, rx: flume::Receiver<Message>) {
        let mut ticks = None;
        let changed = self.cx.shared.subscribe();
        loop {
            tokio::select! {
                msg = rx.recv_async() => match msg {
                    Ok(msg) => self.take(msg),
                    Err(_) => return,
                },
                () = next(&ticks) => self.expire(),
                _ = changed.recv_async() => self.refresh(),
            }
            self.grant();
            let waiting = self.queue.len();
            self.cx.recorder.metrics().queued.set(waiting as i64);
            // Only calls that wait need the time.
            ticks = match (self.queue.is_empty(), ticks) {
                (true, _) => None,
                (false, None) => Some(self.cx.timer.subscribe(TICK)),
                (false, known) => known,
            };
        }
    }

    fn take(&mut self, msg: Message) {
        match msg {
            Message::Submit(call) => self.submit(call),
            Message::Ended(ended) => self.ended(&ended),
            Message::Status(status, near) => self.router.on_status(status, near),
            Message::Lost(host) => self.router.on_unreachable(&host),
        }
    }

    fn submit(&mut self, call: Submit) {
        let now = self.cx.now();
        if call.is_retry && !self.budget.take() {
            return refuse(call, "too many calls are being repeated", RETRY_AFTER);
        }
        if !call.is_retry {
            self.budget.on_first_attempt();
        }
        let waiting = QueuedRequest {
            team: call.team.clone(),
            priority: call.priority,
            deadline: call.deadline,
            item: call,
        };
        if let Err((waiting, refusal)) = self.queue.push(waiting, now) {
            refuse(waiting.item, refusal.reason, refusal.retry_after);
        }
    }

    fn ended(&mut self, ended: &Ended) {
        let now = self.cx.now();
        let ran = ended.verdict == Verdict::Answered;
        self.queue
            .on_request_end(&ended.team, ran.then_some(ended.took));
        self.router.on_request_end(&ended.host, ended.held);
        if ended.leaving {
            self.router.on_draining(&ended.host);
        }
        match ended.verdict {
            Verdict::Answered => self.router.on_success(&ended.host, now),
            Verdict::Failed => {
                if self.router.on_failure(&ended.host, now) {
                    self.cx
                        .recorder
                        .emit(Event::HostCircuitOpen, &format!("host={}", ended.host));
                }
            }
            Verdict::NotRun | Verdict::Abandoned => {}
        }
    }

    fn expire(&mut self) {
        let now = self.cx.now();
        for waiting in self.queue.expire(now) {
            refuse(waiting.item, "no host became free in time", RETRY_AFTER);
        }
        for waiting in self.queue.remove(|w| w.item.grant.is_disconnected()) {
            drop(waiting);
        }
    }

    // A new configuration may name other manifests for calls that wait.
    fn refresh(&mut self) {
        let view = self.cx.shared.read();
        self.queue.update(|waiting| {
            let want = &mut waiting.item.want;
            if !want.manifests.is_empty() {
                want.manifests = view.cfg.manifests(&want.service, &waiting.team);
            }
        });
    }

    fn grant(&mut self) {
        let now = self.cx.now();
        loop {
            let router = &self.router;
            // A place goes first to a call that finds its prefix there.
            let next = self
                .queue
                .pop(now, |call| router.has_preferred_capacity(&call.want, now));
            let next = next.or_else(|| {
                self.queue.pop(now, |call| {
                    let waited = now.saturating_sub(call.since);
                    router.may_spill_over(&call.want, waited, now)
                })
            });
            let Some(waiting) = next else { return };
            let call = waiting.item;
            let Some(pick) = self.router.select(&call.want, now) else {
                self.queue.on_request_end(&waiting.team, None);
                refuse(call, "no host is free", RETRY_AFTER);
                continue;
            };
            let host = pick.host.clone();
            match call.grant.send(Grant::Go(pick)) {
                Ok(()) => self.router.on_request_start(&host),
                // The caller went away while it waited.
                Err(_) => self.queue.on_request_end(&waiting.team, None),
            }
        }
    }
}

async fn next(ticks: &Option<flume::Receiver<Tick>>) {
    match ticks {
        // A timer that ended ticks no more.
        Some(rx) if rx.recv_async().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

fn refuse(call: Submit, reason: &'static str, retry_after: Duration) {
    // The caller may be gone.
    let _ = call.grant.send(Grant::Refused(Refusal {
        reason,
        retry_after,
    }));
}
