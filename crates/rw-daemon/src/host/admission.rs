use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_protocol::{Load, ServedModel};
use tokio::sync::Notify;

/// Why a call was not let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// What is in the way.
    pub reason: &'static str,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

const RETRY_BUSY_MS: u64 = 100;
const RETRY_LEAVING_MS: u64 = 10;
const RETRY_VERSION_MS: u64 = 200;

#[derive(Default)]
struct State {
    // What calls are let in for; empty while the backend server switches.
    serving: Vec<ServedModel>,
    leaving: bool,
    running: u32,
    next_ticket: u64,
    // Calls that wait, highest priority and then oldest first.
    waiting: BTreeMap<(std::cmp::Reverse<u32>, u64), ()>,
}

/// Lets calls in to the backend server, and knows without lag what is inside.
pub struct Admission {
    concurrency: u32,
    queue: u32,
    state: Mutex<State>,
    changed: Notify,
}

/// A place at the backend server; dropping it frees the place.
pub struct Slot {
    admission: Arc<Admission>,
    /// What the backend server serves while the place is held.
    pub serving: ServedModel,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.state().running -= 1;
        self.admission.changed.notify_waiters();
    }
}

impl Admission {
    /// `concurrency` calls run, `queue` more wait.
    pub fn new(concurrency: u32, queue: u32) -> Arc<Self> {
        Arc::new(Admission {
            concurrency,
            queue,
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the host holds.
    pub fn load(&self) -> Load {
        let state = self.state();
        Load {
            running: state.running,
            queued: state.waiting.len() as u32,
            limit: self.concurrency,
        }
    }

    /// Calls that run or wait.
    pub fn held(&self) -> u32 {
        let load = self.load();
        load.running + load.queued
    }

    /// What calls are let in for.
    pub fn serving(&self) -> Vec<ServedModel> {
        self.state().serving.clone()
    }

    /// Changes what calls are let in for; says whether that is new.
    pub fn serve(&self, serving: Vec<ServedModel>) -> bool {
        let mut state = self.state();
        let changed = state.serving != serving;
        state.serving = serving;
        changed
    }

    /// Lets no new call in any more.
    pub fn leave(&self) {
        self.state().leaving = true;
    }

    /// Waits until no call is inside, at most for `limit`; says whether so.
    pub async fn drained(&self, limit: Duration) -> bool {
        let empty = async {
            loop {
                let changed = self.changed.notified();
                if self.held() == 0 {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(limit, empty).await.is_ok()
    }

    /// Lets a call in for exactly this service and manifest, after it waited
    /// its turn. A call that gives up waiting is out before this returns.
    pub async fn enter(
        self: &Arc<Self>,
        service: &str,
        manifest: &str,
        priority: u32,
        limit: Duration,
    ) -> Result<Slot, Refused> {
        let (serving, place) = self.join(service, manifest, priority)?;
        let ticket = Ticket {
            admission: self,
            place,
        };
        let turn = async {
            loop {
                let changed = self.changed.notified();
                if self.take_turn(place) {
                    return;
                }
                changed.await;
            }
        };
        if tokio::time::timeout(limit, turn).await.is_err() {
            return Err(Refused {
                reason: "the deadline passed in the host's queue",
                retry_after_ms: RETRY_BUSY_MS,
            });
        }
        std::mem::forget(ticket);
        Ok(Slot {
            admission: self.clone(),
            serving,
        })
    }

    fn join(
        &self,
        service: &str,
        manifest: &str,
        priority: u32,
    ) -> Result<(ServedModel, Place), Refused> {
        let refuse = |reason, retry_after_ms| Refused {
            reason,
            retry_after_ms,
        };
        let mut state = self.state();
        if state.leaving {
            return Err(refuse("leaving", RETRY_LEAVING_MS));
        }
        let found = state
            .serving
            .iter()
            .find(|s| *s.service == *service && *s.manifest == *manifest);
        let Some(serving) = found.cloned() else {
            return Err(refuse(
                "the host does not serve this version",
                RETRY_VERSION_MS,
            ));
        };
        let held = state.running + state.waiting.len() as u32;
        if held >= self.concurrency + self.queue {
            return Err(refuse("busy", RETRY_BUSY_MS));
        }
        state.next_ticket += 1;
        let place = (std::cmp::Reverse(priority), state.next_ticket);
        state.waiting.insert(place, ());
        Ok((serving, place))
    }

    fn take_turn(&self, place: Place) -> bool {
        let mut state = self.state();
        let first = state.waiting.first_key_value().map(|(place, ())| *place);
        if state.running >= self.concurrency || first != Some(place) {
            return false;
        }
        state.waiting.remove(&place);
        state.running += 1;
        drop(state);
        // The next in the queue may find a place as well.
        self.changed.notify_waiters();
        true
    }
}

type Place = (std::cmp::Reverse<u32>, u64);

// Takes a call out of the queue when its wait is given up or cancelled.
struct Ticket<'a> {
    admission: &'a Admission,
    place: Place,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.admission.state().waiting.remove(&self.place);
        self.admission.changed.notify_waiters();
    }
}
