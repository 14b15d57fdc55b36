use std::sync::{Arc, Mutex, PoisonError};

use rw_coord::ChangeNotifier;
use rw_protocol::{HostStatus, Load};

use crate::host::AdmissionController;
use crate::Context;

/// What this daemon tells entries about itself.
pub struct StatusBoard {
    cx: Arc<Context>,
    admission: Option<Arc<AdmissionController>>,
    problem: Mutex<String>,
    changed: ChangeNotifier,
}

impl StatusBoard {
    /// A board; entries have no admission.
    pub fn new(cx: Arc<Context>, admission: Option<Arc<AdmissionController>>) -> Arc<Self> {
        Arc::new(StatusBoard {
            cx,
            admission,
            problem: Mutex::default(),
            changed: ChangeNotifier::default(),
        })
    }

    /// The status now.
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
            leaving: self.cx.is_leaving(),
            head: self.cx.shared.read().cfg.head(),
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

    /// Notes why the backend server does not serve.
    pub fn set_problem(&self, problem: &str) {
        let mut known = self.problem.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != problem {
            *known = problem.to_string();
            drop(known);
            self.publish();
        }
    }

    /// A signal for every change that entries have to know at once.
    pub fn subscribe(&self) -> flume::Receiver<()> {
        self.changed.subscribe()
    }

    /// Tells the subscribers that something changed.
    pub fn publish(&self) {
        self.changed.notify();
    }
}
