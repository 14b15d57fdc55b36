//! Limits on requests per second that backend servers name in their responses.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rw_observe::{Event, Recorder};
use rw_protocol::Name;

use super::NamedLimit;
use crate::BackendServer;

/// The limits that backend servers named, as this entry knows them.
pub struct LimitGuard {
    limits: Mutex<HashMap<Name, f64>>,
    recorder: Recorder,
}

impl LimitGuard {
    /// Creates a guard that knows of no limit.
    pub fn new(recorder: Recorder) -> Arc<Self> {
        Arc::new(LimitGuard {
            limits: Mutex::default(),
            recorder,
        })
    }

    fn limits(&self) -> MutexGuard<'_, HashMap<Name, f64>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a response of a server said about its limit.
    pub(super) fn on_response(&self, server: &BackendServer, named: NamedLimit) {
        let limit = match named {
            NamedLimit::Unknown => return,
            NamedLimit::PerSecond(limit) => Some(limit),
            NamedLimit::Unlimited => None,
        };
        let old = match limit {
            Some(limit) => self.limits().insert(server.id.clone(), limit),
            None => self.limits().remove(&server.id),
        };
        if old != limit {
            self.record_change(server, limit);
        }
    }

    fn record_change(&self, server: &BackendServer, limit: Option<f64>) {
        let detail = format!("server={} started_ms={}", server.id, server.started_ms);
        match limit {
            Some(limit) => {
                let detail = format!("{detail} per_s={limit} source=response");
                self.recorder.emit(Event::ServerLimitNamed, &detail);
            }
            None => self.recorder.emit(Event::ServerLimitEnded, &detail),
        }
    }
}
