//! Holds back requests with a part in their prompts that crashes backend servers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::ChangeNotifier;
use rw_observe::{Event, Recorder};
use rw_protocol::{Name, PoisonNotice};
use rw_routing::{CrashedServer, PoisonDetector, Quarantine};
use tokio::time::Instant;

use super::attempt::{self, Failure};
use super::Call;
use crate::{poison_notices, BackendServer};

/// Time from its first event after which a request counts as running well: several times
/// what a server needs for an event.
pub(super) const RUN_TIME: Duration = Duration::from_secs(1);

/// The parts of prompts that crash backend servers, as this entry knows them.
pub struct PoisonGuard {
    started: Instant,
    detector: Mutex<PoisonDetector>,
    // Whether the detector weighs anything, so that calm requests need no lock.
    is_active: AtomicBool,
    quarantines_changed: ChangeNotifier,
    recorder: Recorder,
}

impl PoisonGuard {
    /// Creates a guard that knows of no part.
    pub fn new(recorder: Recorder) -> Arc<Self> {
        Arc::new(PoisonGuard {
            started: Instant::now(),
            detector: Mutex::default(),
            is_active: AtomicBool::new(false),
            quarantines_changed: ChangeNotifier::default(),
            recorder,
        })
    }

    fn detector(&self) -> MutexGuard<'_, PoisonDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Records the end of an attempt that had not run for [`RUN_TIME`].
    pub(super) fn on_attempt<T>(
        &self,
        call: &Call,
        server: &BackendServer,
        is_repeat: bool,
        result: &attempt::Result<T>,
    ) {
        let broke_off = matches!(result, Err(Failure::Unknown(_) | Failure::Timeout(_)));
        if !broke_off || call.prompt_parts.is_empty() {
            return;
        }
        let crashed = CrashedServer {
            id: server.id.clone(),
            started_ms: server.started_ms,
        };
        let now = self.now();
        self.detector()
            .on_crash(&crashed, &call.prompt_parts, is_repeat, now);
        self.is_active.store(true, Ordering::Relaxed);
    }

    /// Records that a call ran for [`RUN_TIME`] or to its end.
    pub(super) fn on_run(&self, call: &Call) {
        if !call.prompt_parts.is_empty() {
            let now = self.now();
            self.detector().on_run(&call.prompt_parts, now);
        }
    }

    /// Records an event of a server.
    pub(super) fn on_event(&self, server: &BackendServer) {
        if self.is_active() {
            let now = self.now();
            self.detector().on_event(&server.id, server.started_ms, now);
        }
    }

    /// Whether the call must not be sent to a server.
    pub(super) fn is_quarantined(&self, call: &Call) -> bool {
        self.is_active() && self.detector().quarantine_of(&call.prompt_parts).is_some()
    }

    /// Whether the call is let through, although it is quarantined, to find out whether it
    /// still crashes servers. Only one of the entries lets calls of a quarantine through.
    pub(super) fn take_trial(&self, call: &Call, owns: impl Fn(&Name) -> bool) -> bool {
        if !self.is_active() {
            return false;
        }
        let now = self.now();
        let mut detector = self.detector();
        let quarantine = detector.quarantine_of(&call.prompt_parts);
        let is_owner = quarantine.and_then(|q| q.parts.first()).is_some_and(owns);
        is_owner && detector.take_trial(&call.prompt_parts, now)
    }

    /// Whether the call may be sent to a further server after one crashed under it.
    pub(super) fn may_repeat(&self, call: &Call) -> bool {
        !self.is_active() || self.detector().may_repeat(&call.prompt_parts)
    }

    /// Waits until the call must not be sent to a server.
    pub(super) async fn quarantined(&self, call: &Call) {
        if call.prompt_parts.is_empty() {
            return std::future::pending().await;
        }
        let changed = self.quarantines_changed.subscribe();
        while !self.is_quarantined(call) {
            if changed.recv_async().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Takes the notice of another entry.
    pub(crate) fn on_notice(&self, notice: PoisonNotice) {
        let now = self.now();
        let (entry, report) = poison_notices::decode(notice);
        self.detector().on_report(entry, &report, now);
        self.is_active.store(true, Ordering::Relaxed);
    }

    /// Takes over a quarantine that another daemon recorded in the store.
    pub(crate) fn adopt(&self, parts: &[Name]) {
        let now = self.now();
        let is_new = self.detector().adopt(parts, now);
        if is_new {
            self.is_active.store(true, Ordering::Relaxed);
            self.record_quarantine(parts, 0, "store");
            self.quarantines_changed.notify();
        }
    }

    /// Ends a quarantine on behalf of an operator.
    pub(crate) fn release(&self, parts: &[Name]) {
        let now = self.now();
        self.detector().release(parts, now);
        let detail = format!("parts={} by=operator", parts.join(","));
        self.recorder.emit(Event::PromptReleased, &detail);
        self.quarantines_changed.notify();
    }

    /// The quarantines in effect.
    pub(crate) fn quarantines(&self) -> Vec<Quarantine> {
        self.detector().quarantines().to_vec()
    }

    /// Weighs what is known, and returns what other entries have to know; `None` if
    /// nothing is weighed.
    pub(crate) fn evaluate(&self) -> Option<rw_routing::PoisonReport> {
        if !self.is_active() {
            return None;
        }
        let now = self.now();
        let (before, new, after, report) = {
            let mut detector = self.detector();
            let before = detector.quarantines().to_vec();
            let new = detector.evaluate(now);
            let after = detector.quarantines().to_vec();
            (before, new, after, detector.report(now))
        };
        for quarantine in &new {
            let source = match quarantine.crashes {
                0 => "entry",
                _ => "own",
            };
            self.record_quarantine(&quarantine.parts, quarantine.crashes, source);
        }
        for old in before.iter().filter(|old| !after.contains(old)) {
            let detail = format!("parts={} by=survival", old.parts.join(","));
            self.recorder.emit(Event::PromptReleased, &detail);
        }
        let held = self.recorder.metrics();
        held.prompt_parts_quarantined.set(after.len() as i64);
        if before != after {
            self.quarantines_changed.notify();
        }
        Some(report)
    }

    fn record_quarantine(&self, parts: &[Name], crashes: usize, source: &str) {
        let detail = format!(
            "parts={} crashed_servers={crashes} source={source} until=released",
            parts.join(",")
        );
        self.recorder.emit(Event::PromptQuarantined, &detail);
    }
}
