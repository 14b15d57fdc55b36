//! Keeps the backend server at what the confirmed configuration says.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rw_coord::{Lease, LeaseManager};
use rw_engine::{Backend, BackendState, HttpBackend, LoadOrder};
use rw_intent::HostAssignment;
use rw_observe::Event;
use rw_platform::HttpPlatform;
use rw_protocol::{HostRecord, HostState, HostStatus, Name, ServedModel};
use rw_settings::ServiceKind;
use tokio::time::Instant;

use super::{Admission, Weights};
use crate::control::fetch_status;
use crate::status::StatusBoard;
use crate::Context;

const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Hosts of earlier waves that one check asks.
const ASKS_PER_CHECK: usize = 16;
/// Part of a lease that must be left when an order is sent, and that the
/// order's own time limit stays below.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// The backend server and what its daemon knows of it.
pub struct Runner {
    cx: Arc<Context>,
    backend: HttpBackend,
    admission: Arc<Admission>,
    board: Arc<StatusBoard>,
    weights: Arc<Weights>,
    leases: LeaseManager<HttpPlatform>,
    turn: Option<Turn>,
}

// What is known of the hosts that switch before this one.
struct Turn {
    manifest: Name,
    // When the whole model was here.
    since: Instant,
    switched: BTreeSet<Name>,
}

/// Checks and orders for as long as the daemon runs.
pub async fn run_backend(
    cx: Arc<Context>,
    backend: HttpBackend,
    admission: Arc<Admission>,
    board: Arc<StatusBoard>,
    weights: Arc<Weights>,
) {
    // Two processes on the same host differ, also after a restart.
    let holder = format!("{}/{:016x}", cx.name, rand::random::<u64>());
    let life = Duration::from_millis(cx.deployment.control.lease_ms);
    let ticks = cx.timer.subscribe(CHECK_PERIOD);
    let mut runner = Runner {
        leases: LeaseManager::new(cx.platform.clone(), &holder, life),
        cx,
        backend,
        admission,
        board,
        weights,
        turn: None,
    };
    while ticks.recv_async().await.is_ok() {
        runner.check().await;
    }
}

impl Runner {
    async fn check(&mut self) {
        if self.is_plain() {
            return self.check_plain().await;
        }
        let duty = self.cx.shared.read().cfg.assignment_for(&self.cx.name);
        let Some(state) = self.state().await else {
            return self.stop("the backend server does not answer");
        };
        let Some(duty) = duty else {
            return self.stop("no intent uses this host");
        };
        if state.manifest == duty.manifest && state.version == duty.version {
            return self.serve(&duty, &state);
        }
        self.keep_old(&duty, &state);
        if self.weights.is_complete(&duty.manifest) && self.is_turn(&duty).await {
            self.switch(&duty).await;
        }
    }

    fn is_plain(&self) -> bool {
        let service = self
            .cx
            .deployment
            .services
            .get(self.cx.daemon.service.as_str());
        service.is_some_and(|s| s.kind == ServiceKind::Plain)
    }

    async fn check_plain(&mut self) {
        if self.state().await.is_none() {
            return self.stop("the backend server does not answer");
        }
        let service = Name::from(self.cx.daemon.service.as_str());
        let serving = ServedModel {
            service,
            model: Name::default(),
            version: Name::default(),
            manifest: Name::default(),
            intent: Name::default(),
        };
        self.announce(vec![serving]);
    }

    async fn state(&self) -> Option<BackendState> {
        self.backend.state().await.ok()
    }

    fn announce(&self, serving: Vec<ServedModel>) {
        let detail = serving
            .first()
            .map(|s| format!("service={} version={}", s.service, s.version));
        if self.admission.serve(serving) {
            if let Some(detail) = detail {
                self.cx.recorder.emit(Event::RunnerServing, &detail);
            }
            self.board.publish();
        }
        self.board.set_problem("");
    }

    fn serve(&self, duty: &HostAssignment, state: &BackendState) {
        self.announce(vec![ServedModel {
            service: duty.service.clone(),
            model: state.model.clone(),
            version: state.version.clone(),
            manifest: state.manifest.clone(),
            intent: duty.intent.clone(),
        }]);
    }

    // The version before this one goes on serving until the switch. Anything
    // else in the engine was ordered by somebody else: no calls go there.
    fn keep_old(&self, duty: &HostAssignment, state: &BackendState) {
        let previous = {
            let view = self.cx.shared.read();
            let active = view.cfg.intents().get(&duty.intent);
            active.map(|a| a.previous.clone()).unwrap_or_default()
        };
        if !state.manifest.is_empty() && state.manifest == previous {
            return self.serve(duty, state);
        }
        if !self.admission.serving().is_empty() {
            let detail = format!("wanted={} loaded={}", duty.manifest, state.manifest);
            self.cx.recorder.emit(Event::RunnerQuarantined, &detail);
        }
        self.stop("the wanted model is not loaded yet");
    }

    fn stop(&self, problem: &str) {
        if self.admission.serve(Vec::new()) {
            self.board.publish();
        }
        self.board.set_problem(problem);
    }

    // Hosts switch wave by wave, so that most of them serve at any time. A
    // late or dead host holds the next wave up only for a bounded time. Each
    // host of an earlier wave is asked until it has switched, and few at once.
    async fn is_turn(&mut self, duty: &HostAssignment) -> bool {
        let limit = Duration::from_millis(self.cx.deployment.weights.wave_timeout_ms);
        let mut turn = match self.turn.take() {
            Some(turn) if turn.manifest == duty.manifest => turn,
            _ => Turn {
                manifest: duty.manifest.clone(),
                since: Instant::now(),
                switched: BTreeSet::new(),
            },
        };
        let free = duty.wave == 0 || self.admission.serving().is_empty();
        let is_turn =
            free || turn.since.elapsed() >= limit || self.have_switched(duty, &mut turn).await;
        self.turn = Some(turn);
        is_turn
    }

    async fn have_switched(&self, duty: &HostAssignment, turn: &mut Turn) -> bool {
        let mut earlier = self.earlier(duty);
        earlier.retain(|host| !turn.switched.contains(&host.name));
        let all_asked = earlier.len() <= ASKS_PER_CHECK;
        for host in earlier.into_iter().take(ASKS_PER_CHECK) {
            let status = fetch_status(&self.cx, &host.addr).await;
            let serves = |s: &HostStatus| s.serving.iter().any(|s| s.manifest == duty.manifest);
            // One that does not answer is dead or cut off, and waits for nobody.
            if status.is_some_and(|status| !serves(&status)) {
                return false;
            }
            turn.switched.insert(host.name);
        }
        all_asked
    }

    fn earlier(&self, duty: &HostAssignment) -> Vec<HostRecord> {
        let view = self.cx.shared.read();
        let Some(active) = view.cfg.intents().get(&duty.intent) else {
            return Vec::new();
        };
        let hosts = active
            .assignments
            .iter()
            .filter(|(_, wave)| **wave < duty.wave);
        let hosts = hosts.filter_map(|(name, _)| view.hosts.get(name));
        let live = hosts.filter(|h| h.state == HostState::Live);
        live.cloned().collect()
    }

    // Without a lease the old version goes on serving: while the table is down
    // nothing is ordered, and nothing stops for an order.
    async fn switch(&self, duty: &HostAssignment) {
        let Some(first) = self.lease().await else {
            return;
        };
        self.stop("switching to another version");
        let limit = Duration::from_millis(self.cx.deployment.limits.drain_ms);
        if !self.admission.drained(limit).await {
            let detail = format!("held={}", self.admission.held());
            return self.cx.recorder.emit(Event::DrainTimedOut, &detail);
        }
        let fresh = first.remaining() > self.lease_life() / 2;
        let lease = if fresh {
            Some(first)
        } else {
            self.lease().await
        };
        if let Some(lease) = lease {
            self.order(duty, lease).await;
        }
    }

    fn lease_life(&self) -> Duration {
        Duration::from_millis(self.cx.deployment.control.lease_ms)
    }

    async fn lease(&self) -> Option<Lease> {
        let name = format!("runner/{}", self.cx.name);
        let taken = tokio::task::block_in_place(|| self.leases.acquire(&name, rand::random()));
        match taken {
            Ok(lease) => Some(lease),
            Err(err) => {
                self.board
                    .set_problem(&format!("no lease to order the backend server: {err}"));
                None
            }
        }
    }

    // The lease is checked last of all, and the order's time limit ends before
    // the lease. What the engine really holds is read back by the next check.
    async fn order(&self, duty: &HostAssignment, lease: Lease) {
        let order = LoadOrder {
            model: duty.model.clone(),
            version: duty.version.clone(),
            manifest: duty.manifest.clone(),
            source: format!(
                "http://{}/weights/{}",
                self.cx.daemon.operator_listen, duty.manifest
            ),
            fence: lease.epoch,
        };
        let left = lease.remaining().saturating_sub(LEASE_MARGIN);
        if left.is_zero() {
            return self
                .cx
                .recorder
                .emit(Event::OrderLapsed, &format!("epoch={}", lease.epoch));
        }
        let detail = format!("version={} epoch={}", duty.version, lease.epoch);
        self.cx.recorder.emit(Event::OrderSent, &detail);
        if let Err(err) = self.backend.load(&order, left).await {
            self.cx
                .recorder
                .emit(Event::OrderFailed, &format!("{detail} error={err}"));
        }
        let name = format!("runner/{}", self.cx.name);
        // A lease that is not released lapses.
        let _ = tokio::task::block_in_place(|| self.leases.release(&name, &lease));
    }
}
