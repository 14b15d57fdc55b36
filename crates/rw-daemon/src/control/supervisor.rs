use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rw_coord::{unix_ms, AppendLog, Appended, LeaseKeeper};
use rw_intent::{replace_failed, report};
use rw_observe::Event;
use rw_protocol::{Change, Generation, HostEntry, HostState, Name, Role, StatusReport};

use super::{collect_reports, snapshot, ClusterView};
use crate::Context;

const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Entries that watch the outcome of intents.
const MAX_SUPERVISORS: usize = 2;
/// Checks that a host has to miss before it is replaced.
const MISSED_CHECKS_TO_REPLACE: u32 = 3;

/// Compares the outcome of intents with what is confirmed, raises events for
/// what is amiss and replaces hosts that failed. Few entries do this; doing it
/// twice is harmless, since every write is conditional.
pub async fn run_supervisor(cx: Arc<Context>) {
    let ticks = cx.timer.subscribe(CHECK_INTERVAL);
    let mut supervisor = Supervisor::default();
    while ticks.recv_async().await.is_ok() {
        let mine = cx
            .shared
            .read()
            .is_assigned("watch", &cx.name, MAX_SUPERVISORS, |h| {
                h.role == Role::Entry
            });
        if mine {
            supervisor.check(&cx).await;
        }
    }
}

#[derive(Default)]
struct Supervisor {
    missed_checks: BTreeMap<Name, u32>,
    reported_late: BTreeSet<Name>,
    reported_fulfilled: BTreeMap<Name, Name>,
    reported_unresolved: u64,
    without_spare: BTreeSet<Name>,
}

impl Supervisor {
    async fn check(&mut self, cx: &Arc<Context>) {
        let observed = collect_reports(cx).await;
        let status = report(&cx.shared.read().cfg, &observed, unix_ms());
        self.count_missed_checks(cx, &status);
        self.emit_events(cx, &status);
        self.replace(cx).await;
        let worker = cx.clone();
        // A snapshot that failed is due again at the next check.
        let _ = tokio::task::spawn_blocking(move || snapshot::write_if_due(&worker)).await;
    }

    fn count_missed_checks(&mut self, cx: &Context, observed: &StatusReport) {
        self.missed_checks
            .retain(|name, _| observed.unreachable.contains(name));
        for name in &observed.unreachable {
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
        let open = status.intents.iter().filter(|i| i.serving < i.wanted);
        metrics.unfulfilled.set(open.count() as i64);
        metrics.unresolved.set(status.unresolved as i64);
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
            let whole = intent.serving >= intent.wanted;
            if whole {
                self.reported_late.remove(name);
            }
            if whole
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

    // A region of which nobody answers is cut off rather than dead: its hosts
    // go on serving, and come back whole.
    fn region_is_reachable(&self, view: &ClusterView, name: &Name) -> bool {
        let Some(host) = view.hosts.get(name) else {
            return false;
        };
        let mut others = view.present().filter(|h| h.region == host.region);
        others.any(|h| !self.missed_checks.contains_key(&h.name))
    }

    async fn replace(&mut self, cx: &Arc<Context>) {
        let failed: BTreeSet<Name> = {
            let view = cx.shared.read();
            let missed = self
                .missed_checks
                .iter()
                .filter(|(_, n)| **n >= MISSED_CHECKS_TO_REPLACE);
            let failed = missed
                .map(|(name, _)| name)
                .filter(|name| self.region_is_reachable(&view, name));
            let gone = view.hosts.values().filter(|h| h.state != HostState::Live);
            failed.chain(gone.map(|h| &h.name)).cloned().collect()
        };
        let affected: Vec<Name> = {
            let view = cx.shared.read();
            let lost = |a: &rw_intent::Active| a.assignments.keys().any(|h| failed.contains(h));
            let intents = view.cfg.intents().values().filter(|a| lost(a));
            intents.map(|a| a.intent.name.clone()).collect()
        };
        self.without_spare.retain(|name| affected.contains(name));
        for intent in affected {
            let (worker, failed, name) = (cx.clone(), failed.clone(), intent.clone());
            let done =
                tokio::task::spawn_blocking(move || replace_in(&worker, &name, &failed)).await;
            if matches!(done, Ok(None)) && self.without_spare.insert(intent.clone()) {
                cx.recorder
                    .emit(Event::ReplaceFailed, &format!("intent={intent}"));
            }
        }
    }
}

// Returns `None` when no host is spare.
fn replace_in(cx: &Context, intent: &Name, failed: &BTreeSet<Name>) -> Option<()> {
    let life = Duration::from_millis(cx.deployment.control.lease_ms);
    let keeper = LeaseKeeper::new(cx.platform.clone(), &cx.name, life);
    let lease_name = format!("replace/{intent}");
    let Ok(lease) = keeper.acquire(&lease_name, rand::random()) else {
        return Some(());
    };
    let (base, change) = {
        let view = cx.shared.read();
        let active = view.cfg.intents().get(intent)?;
        let hosts: Vec<HostEntry> = view.hosts.values().cloned().collect();
        (
            view.cfg.head(),
            replace_failed(&view.cfg, active, &hosts, failed, lease.epoch),
        )
    };
    let Some(change) = change else {
        let _ = keeper.release(&lease_name, &lease);
        return None;
    };
    let detail = format!(
        "intent={intent} gone={} added={}",
        change.gone.len(),
        change.added.len()
    );
    let plan_id = Name::from(format!("replace-{:016x}", rand::random::<u64>()));
    let gen = Generation {
        number: base + 1,
        plan_id: plan_id.clone(),
        at_ms: unix_ms(),
        change: Change::Replace(change),
    };
    let log = AppendLog::new(cx.platform.clone(), "config");
    if let (true, Ok(text)) = (lease.is_live(), serde_json::to_string(&gen)) {
        if let Ok(Appended::Done(_)) = log.append(base, &text, &plan_id) {
            cx.recorder.emit(Event::HostsReplaced, &detail);
        }
    }
    let _ = keeper.release(&lease_name, &lease);
    Some(())
}
