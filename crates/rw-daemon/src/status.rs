use std::sync::{Arc, Mutex, PoisonError};

use rw_coord::ChangeNotifier;
use rw_protocol::{HostStatus, Load};

use crate::host::AdmissionController;
use crate::Context;

/// Provides this daemon's status to entries and notifies them of changes.
pub struct StatusPublisher {
    cx: Arc<Context>,
    admission: Option<Arc<AdmissionController>>,
    problem: Mutex<String>,
    changed: ChangeNotifier,
}

impl StatusPublisher {
    /// Creates a publisher; `admission` is `None` in the entry role.
    pub fn new(cx: Arc<Context>, admission: Option<Arc<AdmissionController>>) -> Arc<Self> {
        Arc::new(StatusPublisher {
            cx,
            admission,
            problem: Mutex::default(),
            changed: ChangeNotifier::default(),
        })
    }

    /// Returns the current status.
    pub fn status(&self) -> HostStatus {
        let problem = self.problem.lock().unwrap_or_else(PoisonError::into_inner);
        HostStatus {
            host: self.cx.name.clone(),
            load: self.load(),
            serving: self
                .admission
                .as_ref()
                .map(|a| a.serving())
                .unwrap_or_default(),
            leaving: self.cx.is_draining(),
            head: self.cx.view.read().cfg.head(),
            problem: problem.clone(),
        }
    }

    fn load(&self) -> Load {
        let none = Load {
            running: 0,
            queued: 0,
            limit: 0,
        };
        self.admission.as_ref().map_or(none, |a| a.load())
    }

    /// Sets the reason why the backend server does not serve; empty if it serves.
    pub fn set_problem(&self, problem: &str) {
        let mut current = self.problem.lock().unwrap_or_else(PoisonError::into_inner);
        if *current != problem {
            *current = problem.to_string();
            drop(current);
            self.publish();
        }
    }

    /// Returns a receiver that is signalled when the status has to be sent before
    /// the next heartbeat.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.changed.subscribe()
    }

    /// Notifies the subscribers that the status changed.
    pub fn publish(&self) {
        self.changed.notify();
    }
}
