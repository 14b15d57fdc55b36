//! Supervision of intents and hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::{unix_ms, LeaseManager};
use rw_intent::build_status_report;
use rw_observe::Event;
use rw_platform::HttpPlatform;
use rw_protocol::{HostState, Name, Role, StatusReport};

use super::{collect_reports, replace_hosts_of_intent, snapshot, ClusterView, Replacement};
use crate::Context;

const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Entries that supervise at the same time.
const MAX_SUPERVISORS: usize = 2;
/// Consecutive checks in which a host is unreachable before it is replaced.
const MISSED_CHECKS_TO_REPLACE: u32 = 3;

/// Compares the status of intents with the confirmed configuration, emits events
/// for deviations, replaces failed hosts and writes snapshots that are due. A few
/// entries do this; their work may overlap, since every write is conditional.
pub async fn run_supervisor(cx: Arc<Context>) {
    let ticks = cx.timer.subscribe(CHECK_INTERVAL);
    let mut supervisor = Supervisor::new(&cx);
    while ticks.recv_async().await.is_ok() {
        let is_supervisor = cx
            .view
            .read()
            .is_assigned("watch", &cx.name, MAX_SUPERVISORS, |h| {
                h.role == Role::Entry
            });
        if is_supervisor {
            supervisor.check(&cx).await;
        }
    }
}

struct Supervisor {
    leases: Arc<LeaseManager<HttpPlatform>>,
    // Consecutive checks in which a host was unreachable.
    missed_checks: BTreeMap<Name, u32>,
    reported_late: BTreeSet<Name>,
    // Version that was last reported as fulfilled, by intent.
    reported_fulfilled: BTreeMap<Name, Name>,
    reported_unresolved: u64,
    // Intents for which the lack of a spare host was reported.
    without_spare: BTreeSet<Name>,
}

impl Supervisor {
    fn new(cx: &Context) -> Self {
        let ttl = Duration::from_millis(cx.deployment.control.lease_ms);
        Supervisor {
            leases: Arc::new(LeaseManager::new(cx.platform.clone(), &cx.name, ttl)),
            missed_checks: BTreeMap::new(),
            reported_late: BTreeSet::new(),
            reported_fulfilled: BTreeMap::new(),
            reported_unresolved: 0,
            without_spare: BTreeSet::new(),
        }
    }

    async fn check(&mut self, cx: &Arc<Context>) {
        let observed = collect_reports(cx).await;
        let status = build_status_report(&cx.view.read().cfg, &observed, unix_ms());
        self.count_missed_checks(cx, &status);
        self.emit_events(cx, &status);
        self.replace_hosts(cx).await;
        let task_cx = cx.clone();
        // A snapshot that could not be written is still due at the next check.
        let _ = tokio::task::spawn_blocking(move || snapshot::write_if_due(&task_cx)).await;
    }

    fn count_missed_checks(&mut self, cx: &Context, status: &StatusReport) {
        self.missed_checks
            .retain(|name, _| status.unreachable.contains(name));
        for name in &status.unreachable {
            let count = self.missed_checks.entry(name.clone()).or_default();
            *count += 1;
            if *count == MISSED_CHECKS_TO_REPLACE {
                cx.recorder
                    .emit(Event::HostUnreachable, &format!("host={name}"));
            }
        }
    }

    fn emit_events(&mut self, cx: &Context, status: &StatusReport) {
        let metrics = cx.recorder.metrics();
        let unfulfilled = status.intents.iter().filter(|i| i.serving < i.wanted);
        metrics.intents_unfulfilled.set(unfulfilled.count() as i64);
        metrics.claims_unresolved.set(status.unresolved as i64);
        if status.unresolved > self.reported_unresolved {
            let detail = format!("open={}", status.unresolved);
            cx.recorder.emit(Event::ClaimUnresolved, &detail);
        }
        self.reported_unresolved = status.unresolved;
        for intent in &status.intents {
            let name = &intent.intent;
            if intent.late && self.reported_late.insert(name.clone()) {
                let detail = format!(
                    "intent={name} serving={} wanted={}",
                    intent.serving, intent.wanted
                );
                cx.recorder.emit(Event::IntentLate, &detail);
            }
            let is_fulfilled = intent.serving >= intent.wanted;
            if is_fulfilled {
                self.reported_late.remove(name);
            }
            if is_fulfilled
                && self
                    .reported_fulfilled
                    .insert(name.clone(), intent.version.clone())
                    .as_ref()
                    != Some(&intent.version)
            {
                let detail = format!("intent={name} version={}", intent.version);
                cx.recorder.emit(Event::IntentFulfilled, &detail);
            }
        }
    }

    // A region in which no daemon answers is taken to be partitioned rather than
    // failed: its hosts continue to serve, and nothing is lost when they are
    // reachable again.
    fn region_is_reachable(&self, view: &ClusterView, name: &Name) -> bool {
        let Some(host) = view.hosts.get(name) else {
            return false;
        };
        let mut others = view.present().filter(|h| h.region == host.region);
        others.any(|h| !self.missed_checks.contains_key(&h.name))
    }

    async fn replace_hosts(&mut self, cx: &Arc<Context>) {
        let failed: BTreeSet<Name> = {
            let view = cx.view.read();
            let missed = self
                .missed_checks
                .iter()
                .filter(|(_, n)| **n >= MISSED_CHECKS_TO_REPLACE);
            let failed = missed
                .map(|(name, _)| name)
                .filter(|name| self.region_is_reachable(&view, name));
            let unavailable = view.hosts.values().filter(|h| h.state != HostState::Live);
            failed
                .chain(unavailable.map(|h| &h.name))
                .cloned()
                .collect()
        };
        let affected: Vec<Name> = {
            let view = cx.view.read();
            let uses_failed_host =
                |a: &rw_intent::ActiveIntent| a.assignments.keys().any(|h| failed.contains(h));
            let intents = view.cfg.intents().values().filter(|a| uses_failed_host(a));
            intents.map(|a| a.intent.name.clone()).collect()
        };
        self.without_spare.retain(|name| affected.contains(name));
        for intent in affected {
            let (task_cx, leases) = (cx.clone(), self.leases.clone());
            let (failed, name) = (failed.clone(), intent.clone());
            let result = tokio::task::spawn_blocking(move || {
                replace_hosts_of_intent(&task_cx, &leases, &name, &failed)
            })
            .await;
            if matches!(result, Ok(Replacement::NoSpare))
                && self.without_spare.insert(intent.clone())
            {
                cx.recorder
                    .emit(Event::ReplaceFailed, &format!("intent={intent}"));
            }
        }
    }
}
