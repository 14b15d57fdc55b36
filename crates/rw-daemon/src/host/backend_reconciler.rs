//! Reconciles the backend server with the confirmed configuration.

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

use super::{AdmissionController, WeightCache};
use crate::control::fetch_status;
use crate::status::StatusPublisher;
use crate::Context;

const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum hosts of earlier waves that one pass queries for their status.
const MAX_STATUS_QUERIES: usize = 16;
/// A load order times out this long before the lease expires, and is not sent
/// if the lease expires sooner.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Loads the assigned model version into the backend server and admits calls
/// for the version that is loaded.
pub struct BackendReconciler {
    cx: Arc<Context>,
    backend: HttpBackend,
    admission: Arc<AdmissionController>,
    status_publisher: Arc<StatusPublisher>,
    weights: Arc<WeightCache>,
    leases: LeaseManager<HttpPlatform>,
    wave_progress: Option<WaveProgress>,
}

// Progress of the earlier waves in switching to a manifest.
struct WaveProgress {
    manifest: Name,
    // Time at which the download to this host was first seen complete.
    downloaded_at: Instant,
    // Hosts that have switched or did not answer, and are not queried again.
    switched: BTreeSet<Name>,
}

/// Reconciles the backend server until the daemon stops.
pub async fn reconcile_backend(
    cx: Arc<Context>,
    backend: HttpBackend,
    admission: Arc<AdmissionController>,
    status_publisher: Arc<StatusPublisher>,
    weights: Arc<WeightCache>,
) {
    // Unique per process, so that a restarted daemon is another holder.
    let holder = format!("{}/{:016x}", cx.name, rand::random::<u64>());
    let ttl = Duration::from_millis(cx.deployment.control.lease_ms);
    let ticks = cx.timer.subscribe(RECONCILE_INTERVAL);
    let mut reconciler = BackendReconciler {
        leases: LeaseManager::new(cx.platform.clone(), &holder, ttl),
        cx,
        backend,
        admission,
        status_publisher,
        weights,
        wave_progress: None,
    };
    while ticks.recv_async().await.is_ok() {
        reconciler.reconcile().await;
    }
}

impl BackendReconciler {
    async fn reconcile(&mut self) {
        if self.is_plain_service() {
            return self.reconcile_plain_service().await;
        }
        let assignment = self.cx.view.read().cfg.assignment_for(&self.cx.name);
        let Some(state) = self.backend_state().await else {
            return self.stop_serving("the backend server does not answer");
        };
        let Some(assignment) = assignment else {
            return self.stop_serving("no intent uses this host");
        };
        if state.manifest == assignment.manifest && state.version == assignment.version {
            return self.serve_loaded_version(&assignment, &state);
        }
        self.serve_previous_version(&assignment, &state);
        if self.weights.is_complete(&assignment.manifest) && self.may_switch(&assignment).await {
            self.switch_version(&assignment).await;
        }
    }

    fn is_plain_service(&self) -> bool {
        let service = self
            .cx
            .deployment
            .services
            .get(self.cx.daemon.service.as_str());
        service.is_some_and(|s| s.kind == ServiceKind::Plain)
    }

    async fn reconcile_plain_service(&mut self) {
        if self.backend_state().await.is_none() {
            return self.stop_serving("the backend server does not answer");
        }
        let service = Name::from(self.cx.daemon.service.as_str());
        let serving = ServedModel {
            service,
            model: Name::default(),
            version: Name::default(),
            manifest: Name::default(),
            intent: Name::default(),
        };
        self.publish_serving(vec![serving]);
    }

    async fn backend_state(&self) -> Option<BackendState> {
        self.backend.state().await.ok()
    }

    fn publish_serving(&self, serving: Vec<ServedModel>) {
        let detail = serving
            .first()
            .map(|s| format!("service={} version={}", s.service, s.version));
        if self.admission.set_serving(serving) {
            if let Some(detail) = detail {
                self.cx.recorder.emit(Event::RunnerServing, &detail);
            }
            self.status_publisher.publish();
        }
        self.status_publisher.set_problem("");
    }

    fn serve_loaded_version(&self, assignment: &HostAssignment, state: &BackendState) {
        self.publish_serving(vec![ServedModel {
            service: assignment.service.clone(),
            model: state.model.clone(),
            version: state.version.clone(),
            manifest: state.manifest.clone(),
            intent: assignment.intent.clone(),
        }]);
    }

    // Serves the previous version until the switch. Any other version in the
    // engine was loaded by another party, so no calls are admitted for it.
    fn serve_previous_version(&self, assignment: &HostAssignment, state: &BackendState) {
        let previous = {
            let view = self.cx.view.read();
            let active = view.cfg.intents().get(&assignment.intent);
            active.map(|a| a.previous.clone()).unwrap_or_default()
        };
        if !state.manifest.is_empty() && state.manifest == previous {
            return self.serve_loaded_version(assignment, state);
        }
        if !self.admission.serving().is_empty() {
            let detail = format!("wanted={} loaded={}", assignment.manifest, state.manifest);
            self.cx.recorder.emit(Event::RunnerQuarantined, &detail);
        }
        self.stop_serving("the wanted model is not loaded yet");
    }

    fn stop_serving(&self, problem: &str) {
        if self.admission.set_serving(Vec::new()) {
            self.status_publisher.publish();
        }
        self.status_publisher.set_problem(problem);
    }

    // Returns whether this host may switch to the assigned version.
    //
    // Hosts switch wave by wave, so that most of them keep serving. A slow or
    // dead host delays the next wave by no more than the wave timeout. Each host
    // of an earlier wave is queried until it has switched, a few per pass.
    async fn may_switch(&mut self, assignment: &HostAssignment) -> bool {
        let timeout = Duration::from_millis(self.cx.deployment.weights.wave_timeout_ms);
        let mut progress = match self.wave_progress.take() {
            Some(progress) if progress.manifest == assignment.manifest => progress,
            _ => WaveProgress {
                manifest: assignment.manifest.clone(),
                downloaded_at: Instant::now(),
                switched: BTreeSet::new(),
            },
        };
        let no_wait = assignment.wave == 0 || self.admission.serving().is_empty();
        let may_switch = no_wait
            || progress.downloaded_at.elapsed() >= timeout
            || self
                .earlier_waves_have_switched(assignment, &mut progress)
                .await;
        self.wave_progress = Some(progress);
        may_switch
    }

    async fn earlier_waves_have_switched(
        &self,
        assignment: &HostAssignment,
        progress: &mut WaveProgress,
    ) -> bool {
        let mut earlier_hosts = self.earlier_hosts(assignment);
        earlier_hosts.retain(|host| !progress.switched.contains(&host.name));
        let all_queried = earlier_hosts.len() <= MAX_STATUS_QUERIES;
        for host in earlier_hosts.into_iter().take(MAX_STATUS_QUERIES) {
            let status = fetch_status(&self.cx, &host.addr).await;
            let serves =
                |s: &HostStatus| s.serving.iter().any(|s| s.manifest == assignment.manifest);
            // A host that does not answer is dead or unreachable: it is not waited for.
            if status.is_some_and(|status| !serves(&status)) {
                return false;
            }
            progress.switched.insert(host.name);
        }
        all_queried
    }

    fn earlier_hosts(&self, assignment: &HostAssignment) -> Vec<HostRecord> {
        let view = self.cx.view.read();
        let Some(active) = view.cfg.intents().get(&assignment.intent) else {
            return Vec::new();
        };
        let hosts = active
            .assignments
            .iter()
            .filter(|(_, wave)| **wave < assignment.wave);
        let hosts = hosts.filter_map(|(name, _)| view.hosts.get(name));
        let live = hosts.filter(|h| h.state == HostState::Live);
        live.cloned().collect()
    }

    // Without a lease the previous version keeps serving: while the table service is
    // unreachable, no lease can be acquired, so calls are not drained for a load
    // order that cannot be sent.
    async fn switch_version(&self, assignment: &HostAssignment) {
        let Some(mut lease) = self.acquire_lease().await else {
            return;
        };
        self.stop_serving("switching to another version");
        let timeout = Duration::from_millis(self.cx.deployment.limits.drain_ms);
        if !self.admission.wait_until_drained(timeout).await {
            let detail = format!("held={}", self.admission.in_flight());
            self.cx.recorder.emit(Event::DrainTimedOut, &detail);
            return self.release_lease(&lease);
        }
        if lease.remaining() <= self.lease_ttl() / 2 {
            let Some(renewed) = self.acquire_lease().await else {
                return self.release_lease(&lease);
            };
            lease = renewed;
        }
        self.send_load_order(assignment, &lease).await;
        self.release_lease(&lease);
    }

    fn lease_ttl(&self) -> Duration {
        Duration::from_millis(self.cx.deployment.control.lease_ms)
    }

    fn lease_name(&self) -> String {
        format!("runner/{}", self.cx.name)
    }

    fn release_lease(&self, lease: &Lease) {
        let name = self.lease_name();
        if let Err(err) = tokio::task::block_in_place(|| self.leases.release(&name, lease)) {
            log::warn!("lease {name} is not released and expires: {err}");
        }
    }

    async fn acquire_lease(&self) -> Option<Lease> {
        let name = self.lease_name();
        let acquired = tokio::task::block_in_place(|| self.leases.acquire(&name, rand::random()));
        match acquired {
            Ok(lease) => Some(lease),
            Err(err) => {
                self.status_publisher
                    .set_problem(&format!("no lease to order the backend server: {err}"));
                None
            }
        }
    }

    // The lease is checked right before the order is sent, and the order times out
    // before the lease expires. The next pass reads which version is loaded.
    async fn send_load_order(&self, assignment: &HostAssignment, lease: &Lease) {
        let order = LoadOrder {
            model: assignment.model.clone(),
            version: assignment.version.clone(),
            manifest: assignment.manifest.clone(),
            source: format!(
                "http://{}/weights/{}",
                self.cx.daemon.operator_listen, assignment.manifest
            ),
            fence: lease.epoch,
        };
        let time_left = lease.remaining().saturating_sub(LEASE_MARGIN);
        if time_left.is_zero() {
            return self
                .cx
                .recorder
                .emit(Event::OrderLapsed, &format!("epoch={}", lease.epoch));
        }
        let detail = format!("version={} epoch={}", assignment.version, lease.epoch);
        self.cx.recorder.emit(Event::OrderSent, &detail);
        if let Err(err) = self.backend.load(&order, time_left).await {
            self.cx
                .recorder
                .emit(Event::OrderFailed, &format!("{detail} error={err}"));
        }
    }
}
