//! What every request at an entry uses.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use rw_observe::Event;
use rw_protocol::Name;

use super::attempt::{self, Failure};
use super::{Board, Call};
use crate::{BackendServer, Cx, Engine, PlatformCodec, Snapshot};

/// Parts of an entry that its requests share.
pub struct Entry<D> {
    /// Shared state of the daemon.
    pub cx: Arc<Cx<D>>,
    /// Load on backend servers.
    pub board: Arc<Board>,
    pub(super) open: AtomicUsize,
}

impl<D: PlatformCodec> Entry<D> {
    /// An entry without requests.
    pub fn new(cx: Arc<Cx<D>>, board: Arc<Board>) -> Arc<Self> {
        Arc::new(Entry {
            cx,
            board,
            open: AtomicUsize::new(0),
        })
    }

    /// Connections of callers that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Entries that share the retry budget.
    pub fn entries(&self) -> usize {
        self.cx.cluster.snapshot().daemons.len().max(1)
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let view = self.cx.cluster.snapshot();
        !self.cx.is_shutting_down() && view.cfg.is_some() && !view.servers.is_empty()
    }

    /// Oldest version of a model's weights on which a request may begin.
    pub fn oldest_weights(&self, view: &Snapshot, engine: &Engine) -> u64 {
        view.min_version(&engine.model, &self.cx.settings.bounds, rw_coord::uptime())
    }

    /// Writes the one line that a call leaves in the log.
    pub fn note_call(&self, call: &Call, event: Event, more: &str) {
        let detail = format!(
            "request={} route={} service={} age_ms={} configuration={} {more}",
            call.id,
            call.route.name,
            call.service,
            call.age().as_millis(),
            call.cfg.version
        );
        self.cx.recorder.emit(event, detail.trim_end());
    }

    /// Servers of a service that take new requests.
    pub fn servers(&self, service: &str) -> Vec<Arc<BackendServer>> {
        let view = self.cx.cluster.snapshot();
        let of_service = view
            .servers
            .values()
            .filter(|s| *s.service == *service && s.ready);
        of_service.cloned().collect()
    }

    /// Takes a repeat of a call out of its service's budget.
    pub fn take_repeat(&self, call: &Call) -> bool {
        let entries = self.entries();
        self.board.take_repeat(&call.service, entries)
    }

    /// Notes how a try ended, for the server's circuit and the log.
    pub fn note_attempt<T>(&self, call: &Call, server: &Name, done: &attempt::Result<T>) {
        let opened = match done {
            Ok(_) => {
                self.board.on_success(server);
                return;
            }
            Err(Failure::NotRun(_)) => {
                self.board.on_refused(server);
                false
            }
            Err(_) => self.board.on_failure(server),
        };
        let Err(failure) = done else { return };
        let detail = format!(
            "request={} server={server} failure={failure:?} age_ms={} left_ms={}",
            call.id,
            call.age().as_millis(),
            call.left().as_millis()
        );
        self.cx.recorder.emit(Event::AttemptFailed, &detail);
        if opened {
            self.cx
                .recorder
                .emit(Event::HostCircuitOpen, &format!("host={server}"));
        }
    }
}
