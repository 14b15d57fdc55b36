//! Queues of calls that wait for a slot, by service.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, ServiceRoom, Ticket, Verdict,
};
use tokio::time::Instant;

use super::Call;
use crate::{CallKind, Configuration};

/// Waiting calls that try for the same free slot, if those before them cannot use it: for
/// example because their prompts are too long for the servers with free slots.
const MAX_HOPS: u32 = 3;

struct ServiceQueue {
    queue: AdmissionQueue,
    // Signals the turn of a waiting call, with the number of calls that could not use it.
    turns: HashMap<Ticket, flume::Sender<u32>>,
    // Whether priorities differ, by the configuration of this version.
    is_ranked: (u64, bool),
}

/// Queues of an entry.
pub(super) struct AdmissionQueues {
    started: Instant,
    services: Mutex<HashMap<Name, ServiceQueue>>,
}

impl Default for AdmissionQueues {
    fn default() -> Self {
        AdmissionQueues {
            started: Instant::now(),
            services: Mutex::default(),
        }
    }
}

// Whether streaming requests to the service differ in priority.
fn has_ranks(cfg: &Configuration, service: &Name) -> bool {
    let mut ranks = BTreeSet::new();
    for route in &cfg.routes {
        let is_served = route.services.iter().any(|(name, _)| name == service);
        if route.kind != CallKind::Streaming || !is_served {
            continue;
        }
        match &cfg.teams {
            Some(teams) if !route.public => {
                ranks.extend(teams.iter().map(|t| t.priority.unwrap_or(route.priority)));
            }
            _ => {
                ranks.insert(route.priority);
            }
        }
    }
    ranks.len() > 1
}

impl AdmissionQueues {
    fn services(&self) -> MutexGuard<'_, HashMap<Name, ServiceQueue>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn update<T>(&self, service: &Name, update: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = self.services();
        let queue = services
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: AdmissionQueue::default(),
                turns: HashMap::new(),
                is_ranked: (0, false),
            });
        update(queue)
    }

    /// Whether calls to the service of this one are admitted by rank.
    pub(super) fn is_active(&self, call: &Call) -> bool {
        let now = self.now();
        self.update(&call.service, |service| {
            if service.is_ranked.0 != call.cfg.version {
                service.queue.prune_teams(now);
                service.is_ranked = (call.cfg.version, has_ranks(&call.cfg, &call.service));
            }
            service.is_ranked.1
        })
    }

    /// Decides about a call that arrives. `None` instead of a place if it is refused.
    pub(super) fn arrive(
        self: &Arc<Self>,
        service: &Name,
        request: &AdmissionRequest,
        room: ServiceRoom,
    ) -> (AdmissionDecision, Option<Place>) {
        let now = self.now();
        let (tx, turn) = flume::bounded(1);
        let decision = self.update(service, |service| {
            let decision = service.queue.arrive(request, room, now);
            if matches!(decision.verdict, Verdict::Try | Verdict::Wait) {
                service.turns.insert(decision.ticket, tx);
            }
            decision
        });
        let is_placed = matches!(decision.verdict, Verdict::Try | Verdict::Wait);
        let place = is_placed.then(|| Place {
            queues: self.clone(),
            service: service.clone(),
            ticket: decision.ticket,
            turn,
        });
        (decision, place)
    }

    /// Time after which a refused caller should return, at most `max`.
    pub(super) fn retry_after(
        &self,
        service: &Name,
        rank: u32,
        max: Duration,
        spread: f64,
    ) -> Duration {
        let now = self.now();
        self.update(service, |service| {
            service.queue.retry_after(rank, max, spread, now)
        })
    }
}

impl ServiceQueue {
    // A full channel has signalled the turn already, and a closed one belongs to a call
    // that is leaving and signals the next one itself.
    fn signal(&self, ticket: Option<Ticket>, hops: u32) {
        if let Some(tx) = ticket.and_then(|ticket| self.turns.get(&ticket)) {
            let _ = tx.try_send(hops);
        }
    }
}

/// Place of a call in the queue of its service. Dropping it gives up the place and signals
/// the call that is first then.
pub(super) struct Place {
    queues: Arc<AdmissionQueues>,
    service: Name,
    ticket: Ticket,
    /// Signals the turn of the call.
    pub(super) turn: flume::Receiver<u32>,
}

impl Place {
    /// Whether the call goes before all others that wait.
    pub(super) fn is_first(&self) -> bool {
        self.queues.update(&self.service, |service| {
            service.queue.first() == Some(self.ticket)
        })
    }

    /// Whether the call may take a slot, if those before it could not.
    pub(super) fn may_start(&self, room: ServiceRoom) -> bool {
        let now = self.queues.now();
        self.queues.update(&self.service, |service| {
            service.queue.may_start(self.ticket, room, now)
        })
    }

    /// Passes the turn to the next call.
    pub(super) fn pass(&self, hops: u32) {
        if hops < MAX_HOPS {
            self.queues.update(&self.service, |service| {
                service.signal(service.queue.after(self.ticket), hops + 1);
            });
        }
    }

    /// Records that the call has taken a slot.
    pub(super) fn start(self) {
        let now = self.queues.now();
        self.queues.update(&self.service, |service| {
            service.queue.on_start(self.ticket, now);
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queues.update(&self.service, |service| {
            service.queue.leave(self.ticket);
            service.turns.remove(&self.ticket);
            service.signal(service.queue.first(), 0);
        });
    }
}
