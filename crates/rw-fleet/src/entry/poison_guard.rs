//! Holds back requests that crash backend servers, or that have a part in their prompts
//! which does.

use std::borrow::Cow;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::ChangeNotifier;
use rw_observe::Recorder;
use rw_protocol::{Name, PoisonNotice};
use rw_routing::{is_request, CrashedServer, PoisonReport, Quarantine, ServiceServers};
use tokio::time::{timeout, Instant};

use super::attempt::{self, Failure};
use super::poison_state::{Source, State};
use super::Call;
use crate::{poison_notices, BackendServer, QuarantineRecord};

/// Time from its first event after which a request counts as running well: several times
/// what a server needs for an event.
pub(super) const RUN_TIME: Duration = Duration::from_secs(1);
/// Time for which a call waits for the store to count a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Claims of trials that wait for the store.
const MAX_CLAIMS: usize = 16;

/// Asks that one request of a quarantine may be let through. Dropping the sender refuses it.
pub(crate) struct TrialClaim {
    /// The quarantine as this entry knows it.
    pub(crate) record: QuarantineRecord,
    pub(crate) tx: flume::Sender<()>,
}

/// The requests and parts of prompts that crash backend servers, as this entry knows them.
pub struct PoisonGuard {
    started: Instant,
    state: Mutex<State>,
    // Whether the detector weighs anything, and whether requests are among that, so that calm
    // requests need no lock.
    is_active: AtomicBool,
    watches_requests: AtomicBool,
    quarantines_changed: ChangeNotifier,
    evidence_changed: ChangeNotifier,
    claims: (flume::Sender<TrialClaim>, flume::Receiver<TrialClaim>),
    recorder: Recorder,
}

impl PoisonGuard {
    /// Creates a guard that knows of nothing.
    pub fn new(recorder: Recorder) -> Arc<Self> {
        Arc::new(PoisonGuard {
            started: Instant::now(),
            state: Mutex::default(),
            is_active: AtomicBool::new(false),
            watches_requests: AtomicBool::new(false),
            quarantines_changed: ChangeNotifier::default(),
            evidence_changed: ChangeNotifier::default(),
            claims: flume::bounded(MAX_CLAIMS),
            recorder,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    // Changes what is known, and logs the quarantines that begin or end by it.
    fn update<T>(&self, source: Source, f: impl FnOnce(&mut State, Duration) -> T) -> T {
        let now = self.now();
        let mut state = self.state();
        let out = f(&mut state, now);
        let has_requests = state.detector.has_requests();
        let events = state.take_events(source);
        let counts = state.counts();
        drop(state);
        self.watches_requests.store(has_requests, Ordering::Relaxed);
        for (event, detail) in &events {
            self.recorder.emit(*event, detail);
        }
        if !events.is_empty() {
            let metrics = self.recorder.metrics();
            metrics.requests_quarantined.set(counts.0);
            metrics.prompt_parts_quarantined.set(counts.1);
            self.quarantines_changed.notify();
        }
        out
    }

    // What a call is known by: the parts of its prompt, and its name if that is suspected.
    fn suspects<'c>(&self, state: &State, call: &'c Call) -> Cow<'c, [Name]> {
        let is_known =
            self.watches_requests() && state.detector.knows_request(&call.request_outline());
        match is_known {
            true => Cow::Owned(all_suspects(call)),
            false => Cow::Borrowed(&call.prompt_parts),
        }
    }

    /// Records the end of an attempt that had not run for [`RUN_TIME`].
    pub(super) fn on_attempt<T>(
        &self,
        call: &Call,
        server: &BackendServer,
        is_repeat: bool,
        result: &attempt::Result<T>,
    ) {
        let is_silent = match result {
            Err(Failure::Unknown(_)) => false,
            Err(Failure::Timeout(_)) => true,
            _ => return,
        };
        let server = CrashedServer {
            id: server.id.clone(),
            started_ms: server.started_ms,
        };
        let request = call.request_name().clone();
        self.is_active.store(true, Ordering::Relaxed);
        let is_suspected = self.update(Source::Evidence, |state, now| {
            if is_silent {
                let parts = &call.prompt_parts;
                state.detector.on_crash(&server, parts, is_repeat, now);
                // A request may be slow; the server's end will tell.
                state.add_silence(request.clone(), server, now);
            } else {
                let suspects = all_suspects(call);
                state.detector.on_crash(&server, &suspects, is_repeat, now);
            }
            let team = call.team.clone().unwrap_or_default();
            let is_suspected = state.detector.is_suspected_request(&request);
            state
                .origins
                .insert(request, (call.route.name.clone(), team));
            is_suspected
        });
        // One crash may have any cause, and waits for the next exchange.
        if is_suspected {
            self.evidence_changed.notify();
        }
    }

    /// Records that a call ran for [`RUN_TIME`] or to its end.
    pub(super) fn on_run(&self, call: &Call) {
        if call.prompt_parts.is_empty() && !self.watches_requests() {
            return;
        }
        let was_held = self.update(Source::Evidence, |state, now| {
            let suspects = self.suspects(state, call);
            let was_held = state.detector.quarantine_of(&suspects).is_some();
            state.detector.on_run(&suspects, now);
            was_held
        });
        if was_held {
            self.evidence_changed.notify();
        }
    }

    /// Records an event of a server.
    pub(super) fn on_event(&self, server: &BackendServer) {
        if self.is_active() {
            let now = self.now();
            let detector = &mut self.state().detector;
            detector.on_event(&server.id, server.started_ms, now);
        }
    }

    /// The quarantine that keeps the call from being sent to a server.
    pub(super) fn quarantine_of(&self, call: &Call) -> Option<Quarantine> {
        if !self.is_active() {
            return None;
        }
        let state = self.state();
        let suspects = self.suspects(&state, call);
        state.detector.quarantine_of(&suspects).cloned()
    }

    fn watches_requests(&self) -> bool {
        self.watches_requests.load(Ordering::Relaxed)
    }

    /// Whether servers crashed under the call's request, so that those left matter to it.
    pub(super) fn is_suspected(&self, call: &Call) -> bool {
        let suspects = || {
            self.suspects(&self.state(), call)
                .iter()
                .any(|s| is_request(s))
        };
        self.watches_requests() && suspects()
    }

    /// Whether the call might take its service the last server.
    pub(super) fn endangers_last(&self, call: &Call, servers: ServiceServers) -> bool {
        let state = self.state();
        let suspects = self.suspects(&state, call);
        let now = self.now();
        state.detector.endangers_last(&suspects, servers, now)
    }

    /// Removes servers that are believed to have crashed.
    pub(super) fn retain_uncrashed(&self, servers: &mut Vec<Arc<BackendServer>>) {
        let state = self.state();
        servers.retain(|s| !state.detector.has_crashed(&s.id, s.started_ms));
    }

    fn due_trials(&self, call: &Call, servers: ServiceServers) -> Vec<Quarantine> {
        let state = self.state();
        let suspects = self.suspects(&state, call);
        state.detector.due_trials(&suspects, servers, self.now())
    }

    /// Lets a call through although it is quarantined, to find out whether it still crashes
    /// servers, if the store counts that as a trial of each of its quarantines.
    pub(super) async fn take_trial(&self, call: &Call, servers: ServiceServers) -> bool {
        let due = self.due_trials(call, servers);
        for quarantine in &due {
            let (tx, rx) = flume::bounded(1);
            let record = QuarantineRecord {
                parts: quarantine.parts.clone(),
                trials: quarantine.trials(),
            };
            let is_claimed = self.claims.0.try_send(TrialClaim { record, tx }).is_ok()
                && matches!(timeout(TRIAL_TIMEOUT, rx.recv_async()).await, Ok(Ok(())));
            if !is_claimed {
                return false;
            }
        }
        // The store may have delivered the counts already.
        for quarantine in &due {
            self.raise_trials(&quarantine.parts, quarantine.trials() + 1);
        }
        !due.is_empty()
    }

    /// Claims of trials, for the task that keeps the record of quarantines.
    pub(crate) fn trial_claims(&self) -> flume::Receiver<TrialClaim> {
        self.claims.1.clone()
    }

    /// Whether the call may be sent to a further server after one crashed under it.
    pub(super) fn may_repeat(&self, call: &Call) -> bool {
        if !self.is_active() {
            return true;
        }
        let state = self.state();
        state.detector.may_repeat(&self.suspects(&state, call))
    }

    /// Whether a trial is about to tell whether the call's request is sound.
    pub(super) fn awaits_trial(&self, quarantine: &Quarantine) -> bool {
        quarantine.awaits_trial(self.now())
    }

    /// Notifies of quarantines that begin, end or are tried.
    pub(super) fn subscribe_quarantines(&self) -> flume::Receiver<()> {
        self.quarantines_changed.subscribe()
    }

    /// Waits until the call must not be sent to a server.
    pub(super) async fn quarantined(&self, call: &Call) {
        let changed = self.subscribe_quarantines();
        while self.quarantine_of(call).is_none() {
            if changed.recv_async().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Notifies of evidence that other entries should have at once.
    pub(crate) fn subscribe_evidence(&self) -> flume::Receiver<()> {
        self.evidence_changed.subscribe()
    }

    /// Takes the notice of another entry.
    pub(crate) fn on_notice(&self, notice: PoisonNotice) {
        let (entry, report) = poison_notices::decode(notice);
        let requests = report.crashes.iter().map(|crash| &crash.part);
        let mut requests: Vec<&Name> = requests.filter(|part| is_request(part)).collect();
        requests.sort_unstable();
        let has_suspects = requests.windows(2).any(|pair| pair[0] == pair[1]);
        let now = self.now();
        self.state().detector.on_report(entry, &report, now);
        self.is_active.store(true, Ordering::Relaxed);
        if has_suspects {
            self.evidence_changed.notify();
        }
    }

    /// Takes over a quarantine that another daemon recorded in the store.
    pub(crate) fn adopt(&self, parts: &[Name]) {
        self.is_active.store(true, Ordering::Relaxed);
        self.update(Source::Store, |state, now| state.detector.adopt(parts, now));
    }

    /// Takes over how many requests of a quarantine all entries have let through.
    pub(crate) fn raise_trials(&self, parts: &[Name], trials: u32) {
        let now = self.now();
        self.state().detector.raise_trials(parts, trials, now);
    }

    /// Ends a quarantine that an operator, or another entry, has ended.
    pub(crate) fn release(&self, parts: &[Name], by_operator: bool) {
        match by_operator {
            true => self.update(Source::Operator, |state, now| {
                state.detector.release_by_operator(parts, now);
            }),
            false => self.update(Source::Store, |state, now| {
                state.detector.release(parts, now);
            }),
        }
    }

    /// The quarantines in effect.
    pub(crate) fn quarantines(&self) -> Vec<Quarantine> {
        self.state().detector.quarantines().to_vec()
    }

    /// The quarantines in effect that are worth a record.
    pub(crate) fn settled_quarantines(&self) -> Vec<Quarantine> {
        let now = self.now();
        let mut quarantines = self.quarantines();
        quarantines.retain(|quarantine| quarantine.is_settled(now));
        quarantines
    }

    /// Weighs what is known, and returns what other entries have to know; `None` if
    /// nothing is weighed. `is_listed` tells whether a server is in the list of servers.
    pub(crate) fn evaluate(
        &self,
        is_listed: impl Fn(&CrashedServer) -> bool,
    ) -> Option<PoisonReport> {
        if !self.is_active() {
            return None;
        }
        Some(self.update(Source::Evidence, |state, now| {
            state.weigh_silences(now, is_listed);
            state.detector.evaluate(now);
            let detector = &state.detector;
            state
                .origins
                .retain(|request, _| detector.knows_request(request));
            state.detector.report(now)
        }))
    }
}

fn all_suspects(call: &Call) -> Vec<Name> {
    let parts = call.prompt_parts.iter();
    parts.chain([call.request_name()]).cloned().collect()
}
