//! Selection of an engine for a call that takes its turn among waiting calls.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rw_observe::Event;
use rw_routing::{
    AdmissionDecision, AdmissionRequest, EngineSelection, RequestRequirements, Verdict,
};
use tokio::time::{sleep_until, Instant};

use super::limited_selection::LimitedSelection;
use super::stream_opener::{StreamOpener, SLOT_WAIT_SHARE};
use super::{Refusal, SlotPermit};
use crate::limit_exchange::SendPermit;
use crate::{BackendServer, Engine, PlatformCodec};

/// Share of the objective for which returning calls wait; their callers return only once.
const RETURN_WAIT_SHARE: f64 = 0.25;
/// The same for calls of the most urgent rank. A wait of up to about a third of the objective
/// costs less than a refusal.
const URGENT_WAIT_SHARE: f64 = 0.33;
/// Share of the time left after which callers return at the latest.
const RETURN_SHARE: u32 = 3;
/// Multiple of its objective within which a returning call should have its first event. It
/// is late already, and a second refusal costs more than a later event.
const RETURN_OBJECTIVE_FACTOR: u32 = 2;
const REFUSED_FOR_URGENT: &str = "free slots are kept for more urgent requests";
const REFUSED_FOR_WAIT: &str = "the wait for a slot would be too long";
const REFUSED_AFTER_WAIT: &str = "every engine is full";

/// What a waiting call does next.
enum Wake {
    Turn(u32),
    WaitEnded,
}

impl<D: PlatformCodec> StreamOpener<'_, D> {
    /// Takes a slot of an engine when it is the turn of the call. Waits for a limited time.
    pub(super) async fn select_in_turn(
        &self,
        engine: &Engine,
        mut limits: LimitedSelection<'_, D>,
    ) -> std::result::Result<(SlotPermit, SendPermit), Refusal> {
        let (entry, call) = (self.entry, self.call);
        // Subscribes first, so that no change is missed after the selection.
        let load_changed = entry.load_tracker.subscribe();
        let request = self.admission_request();
        let room = entry.load_tracker.room(&self.eligible_servers(false));
        let (decision, place) = entry.admission.arrive(&call.service, &request, room);
        let Some(place) = place else {
            return Err(self.admission_refusal(&decision));
        };
        let until = call.received_at + request.patience;
        let mut turn = (decision.verdict == Verdict::Try).then_some(0);
        let mut has_waited = false;
        loop {
            let mut is_full = true;
            if let Some(hops) = turn.take() {
                let servers = limits.admit(self.eligible_servers(false));
                let room = entry.load_tracker.room(&servers);
                if servers.is_empty() {
                    is_full = false;
                } else if place.may_start(room) {
                    match self.select_once(engine, &servers) {
                        Ok(permit) => match limits.acquire(&permit.server).await {
                            Some(send_permit) => {
                                place.start();
                                self.count_admitted(has_waited);
                                return Ok((permit, send_permit));
                            }
                            None => {
                                turn = Some(hops);
                                continue;
                            }
                        },
                        Err(selection) => is_full = matches!(selection, EngineSelection::Full(_)),
                    }
                }
                if is_full {
                    place.pass(hops);
                }
            }
            if is_full {
                has_waited = true;
                let wake = tokio::select! {
                    hops = place.turn.recv_async() => hops.map_or(Wake::WaitEnded, Wake::Turn),
                    changed = load_changed.recv_async(), if place.is_first() => {
                        changed.map_or(Wake::WaitEnded, |()| Wake::Turn(0))
                    }
                    () = sleep_until(until) => Wake::WaitEnded,
                };
                if let Wake::Turn(hops) = wake {
                    turn = Some(hops);
                    continue;
                }
            }
            if limits.fall_back_to_limited() {
                turn = Some(0);
                continue;
            }
            if !is_full {
                return Err(self.no_server_refusal(&limits));
            }
            self.count_refused();
            return Err(self.not_run_refusal(REFUSED_AFTER_WAIT, self.return_delay()));
        }
    }

    fn select_once(
        &self,
        engine: &Engine,
        servers: &[Arc<BackendServer>],
    ) -> std::result::Result<SlotPermit, EngineSelection> {
        let (entry, call) = (self.entry, self.call);
        let settings = &entry.cx.settings;
        let is_remote = |s: &BackendServer| settings.region_of(&s.zone) != settings.region;
        let is_limited = |server: &BackendServer| entry.cx.limit_guard.is_limited(server);
        let budget = match call.is_late_retry() {
            true => call.route.objective * RETURN_OBJECTIVE_FACTOR,
            false => call.route.objective,
        };
        // The slots of late requests are limited by their rank instead.
        let requirements = RequestRequirements {
            first_event_budget: budget.saturating_sub(call.age()),
            late: call.age() > call.route.objective,
            ..self.requirements()
        };
        let load_tracker = &entry.load_tracker;
        load_tracker.select_engine(engine, servers, &requirements, is_remote, is_limited)
    }

    fn admission_request(&self) -> AdmissionRequest {
        let call = self.call;
        let returning = call.is_late_retry();
        let share = match (call.priority, returning) {
            (0, _) => URGENT_WAIT_SHARE,
            (_, true) => RETURN_WAIT_SHARE,
            (_, false) => SLOT_WAIT_SHARE,
        };
        AdmissionRequest {
            rank: call.priority,
            team: call.team.clone().unwrap_or_default(),
            returning,
            prompt_tokens: call.prompt_tokens,
            patience: call.route.objective.mul_f64(share),
        }
    }

    fn admission_refusal(&self, decision: &AdmissionDecision) -> Refusal {
        let (call, inputs) = (self.call, decision.inputs);
        let reason = match decision.verdict {
            Verdict::RefuseForUrgent => REFUSED_FOR_URGENT,
            _ => REFUSED_FOR_WAIT,
        };
        let retry_after = self.return_delay();
        let refusal = self.not_run_refusal(reason, retry_after);
        let detail = format!(
            "rank={} returning={} ahead={} reserved={:.1} urgent_per_s={:.1} starts_per_s={:.1} \
             starts_age_ms={} wait_ms={} retry_after_ms={} {}",
            call.priority,
            call.is_late_retry(),
            inputs.ahead,
            inputs.reserved,
            inputs.urgent_per_s,
            inputs.starts_per_s,
            inputs.starts_age.as_millis(),
            inputs.wait.as_millis(),
            retry_after.as_millis(),
            refusal.known_load()
        );
        self.entry
            .record_call(call, Event::AdmissionRefused, &detail);
        self.count_refused();
        refusal
    }

    fn return_delay(&self) -> Duration {
        let (entry, call) = (self.entry, self.call);
        let max = call.deadline.saturating_duration_since(Instant::now()) / RETURN_SHARE;
        let spread = entry.cx.rng.lock().random();
        let admission = &entry.admission;
        admission.retry_after(&call.service, call.priority, max, spread)
    }

    fn count_admitted(&self, has_waited: bool) {
        let outcome = match (self.call.is_late_retry(), has_waited) {
            (true, _) => "return_admitted",
            (false, true) => "waited",
            (false, false) => "admitted",
        };
        let metrics = self.entry.cx.recorder.metrics();
        metrics.count_admission(self.call.priority, outcome);
    }

    fn count_refused(&self) {
        let outcome = match self.call.is_late_retry() {
            true => "return_refused",
            false => "refused",
        };
        let metrics = self.entry.cx.recorder.metrics();
        metrics.count_admission(self.call.priority, outcome);
    }
}
