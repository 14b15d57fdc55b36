//! Replacement of failed hosts of an intent by spare hosts.

use std::collections::BTreeSet;
use std::time::Duration;

use rw_coord::{unix_ms, AppendLog, AppendOutcome, LeaseManager};
use rw_intent::replace_failed_hosts;
use rw_observe::Event;
use rw_protocol::{Change, Generation, HostRecord, Name};

use crate::Context;

/// Result of an attempt to replace failed hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replacement {
    /// The hosts were replaced.
    Replaced,
    /// The intent was removed, or none of its hosts has failed.
    NotNeeded,
    /// No spare host is available.
    NoSpare,
    /// The change could not be written, or another party was faster; a later check
    /// decides again.
    Deferred,
}

/// Replaces the failed hosts of an intent under its lease. This function blocks.
pub fn replace_hosts_of_intent(
    cx: &Context,
    intent: &Name,
    failed: &BTreeSet<Name>,
) -> Replacement {
    let lease_duration = Duration::from_millis(cx.deployment.control.lease_ms);
    let leases = LeaseManager::new(cx.platform.clone(), &cx.name, lease_duration);
    let lease_name = format!("replace/{intent}");
    let Ok(lease) = leases.acquire(&lease_name, rand::random()) else {
        return Replacement::Deferred;
    };
    let (base, change) = {
        let view = cx.view.read();
        let Some(active) = view.cfg.intents().get(intent) else {
            return Replacement::NoSpare;
        };
        let hosts: Vec<HostRecord> = view.hosts.values().cloned().collect();
        (
            view.cfg.head(),
            replace_failed_hosts(&view.cfg, active, &hosts, failed, lease.epoch),
        )
    };
    let Some(change) = change else {
        let _ = leases.release(&lease_name, &lease);
        return Replacement::NoSpare;
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
    if let (true, Ok(text)) = (lease.is_valid(), serde_json::to_string(&gen)) {
        if let Ok(AppendOutcome::Written(_)) = log.append(base, &text, &plan_id) {
            cx.recorder.emit(Event::HostsReplaced, &detail);
        }
    }
    let _ = leases.release(&lease_name, &lease);
    Replacement::Deferred
}
