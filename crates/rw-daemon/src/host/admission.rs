use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_protocol::{Load, ServedModel};
use tokio::sync::Notify;

/// Why a call was not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub reason: &'static str,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

const RETRY_AFTER_BUSY_MS: u64 = 100;
const RETRY_AFTER_DRAINING_MS: u64 = 10;
const RETRY_AFTER_VERSION_MS: u64 = 200;

#[derive(Default)]
struct State {
    // Versions for which calls are admitted; empty while the backend server
    // switches to another version.
    serving: Vec<ServedModel>,
    draining: bool,
    running: u32,
    next_sequence: u64,
    // Queued calls, ordered by descending priority, then by arrival.
    queue: BTreeMap<(std::cmp::Reverse<u32>, u64), ()>,
}

/// Limits how many calls run and wait at the backend server.
///
/// All calls of the host pass through it, so its counts are exact at any time.
pub struct AdmissionController {
    max_running: u32,
    max_queued: u32,
    state: Mutex<State>,
    changed: Notify,
}

/// Permission to run a call at the backend server, released on drop.
pub struct Slot {
    admission: Arc<AdmissionController>,
    /// Version that the backend server serves while the slot is held.
    pub serving: ServedModel,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.state().running -= 1;
        self.admission.changed.notify_waiters();
    }
}

impl AdmissionController {
    /// Creates a controller that runs up to `max_running` calls at a time and
    /// queues up to `max_queued` more.
    pub fn new(max_running: u32, max_queued: u32) -> Arc<Self> {
        Arc::new(AdmissionController {
            max_running,
            max_queued,
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of running and queued calls, and the limit of running
    /// calls.
    pub fn load(&self) -> Load {
        let state = self.state();
        Load {
            running: state.running,
            queued: state.queue.len() as u32,
            limit: self.max_running,
        }
    }

    /// Returns the number of running and queued calls.
    pub fn in_flight(&self) -> u32 {
        let load = self.load();
        load.running + load.queued
    }

    /// Returns the versions for which calls are admitted.
    pub fn serving(&self) -> Vec<ServedModel> {
        self.state().serving.clone()
    }

    /// Sets the versions for which calls are admitted; returns whether they
    /// changed.
    pub fn set_serving(&self, serving: Vec<ServedModel>) -> bool {
        let mut state = self.state();
        let is_new = state.serving != serving;
        state.serving = serving;
        is_new
    }

    /// Rejects all new calls from now on.
    pub fn start_draining(&self) {
        self.state().draining = true;
    }

    /// Waits until no call is running or queued; returns `false` if that takes
    /// longer than `timeout`.
    pub async fn wait_until_drained(&self, timeout: Duration) -> bool {
        let drained = async {
            loop {
                let changed = self.changed.notified();
                if self.in_flight() == 0 {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(timeout, drained).await.is_ok()
    }

    /// Waits in the queue for a slot to run a call for exactly this service and
    /// manifest.
    ///
    /// On timeout the call has left the queue before this returns.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        service: &str,
        manifest: &str,
        priority: u32,
        timeout: Duration,
    ) -> Result<Slot, Rejection> {
        let (serving, position) = self.enqueue(service, manifest, priority)?;
        let guard = QueueGuard {
            admission: self,
            position,
        };
        let turn = async {
            loop {
                let changed = self.changed.notified();
                if self.try_start(position) {
                    return;
                }
                changed.await;
            }
        };
        if tokio::time::timeout(timeout, turn).await.is_err() {
            return Err(Rejection {
                reason: "the deadline passed in the host's queue",
                retry_after_ms: RETRY_AFTER_BUSY_MS,
            });
        }
        std::mem::forget(guard);
        Ok(Slot {
            admission: self.clone(),
            serving,
        })
    }

    fn enqueue(
        &self,
        service: &str,
        manifest: &str,
        priority: u32,
    ) -> Result<(ServedModel, QueuePosition), Rejection> {
        let reject = |reason, retry_after_ms| Rejection {
            reason,
            retry_after_ms,
        };
        let mut state = self.state();
        if state.draining {
            return Err(reject("leaving", RETRY_AFTER_DRAINING_MS));
        }
        let matching = state
            .serving
            .iter()
            .find(|s| *s.service == *service && *s.manifest == *manifest);
        let Some(serving) = matching.cloned() else {
            return Err(reject(
                "the host does not serve this version",
                RETRY_AFTER_VERSION_MS,
            ));
        };
        let in_flight = state.running + state.queue.len() as u32;
        if in_flight >= self.max_running + self.max_queued {
            return Err(reject("busy", RETRY_AFTER_BUSY_MS));
        }
        state.next_sequence += 1;
        let position = (std::cmp::Reverse(priority), state.next_sequence);
        state.queue.insert(position, ());
        Ok((serving, position))
    }

    fn try_start(&self, position: QueuePosition) -> bool {
        let mut state = self.state();
        let first = state
            .queue
            .first_key_value()
            .map(|(position, ())| *position);
        if state.running >= self.max_running || first != Some(position) {
            return false;
        }
        state.queue.remove(&position);
        state.running += 1;
        drop(state);
        // There may be a slot for the next call in the queue too.
        self.changed.notify_waiters();
        true
    }
}

type QueuePosition = (std::cmp::Reverse<u32>, u64);

// Removes a call from the queue when its wait times out or is cancelled.
struct QueueGuard<'a> {
    admission: &'a AdmissionController,
    position: QueuePosition,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.admission.state().queue.remove(&self.position);
        self.admission.changed.notify_waiters();
    }
}
