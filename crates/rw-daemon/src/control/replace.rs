//! Replacement of failed hosts of an intent by spare hosts.

use std::collections::BTreeSet;
use std::fmt::Display;

use rw_coord::{unix_ms, AppendLog, AppendOutcome, Error, Lease, LeaseManager};
use rw_intent::{has_failed_host, replace_failed_hosts};
use rw_observe::Event;
use rw_platform::HttpPlatform;
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
    leases: &LeaseManager<HttpPlatform>,
    intent: &Name,
    failed: &BTreeSet<Name>,
) -> Replacement {
    let lease_name = format!("replace/{intent}");
    let lease = match leases.acquire(&lease_name, rand::random()) {
        Ok(lease) => lease,
        // Another supervisor is replacing the hosts.
        Err(Error::Held(..)) => return Replacement::Deferred,
        Err(err) => return defer(intent, err),
    };
    let result = replace_under_lease(cx, intent, failed, &lease);
    if let Err(err) = leases.release(&lease_name, &lease) {
        log::warn!("lease {lease_name} is not released and expires: {err}");
    }
    result
}

fn defer(intent: &Name, reason: impl Display) -> Replacement {
    log::warn!("hosts of intent {intent} are not replaced yet: {reason}");
    Replacement::Deferred
}

fn replace_under_lease(
    cx: &Context,
    intent: &Name,
    failed: &BTreeSet<Name>,
    lease: &Lease,
) -> Replacement {
    let (base, change) = {
        let view = cx.view.read();
        let active = view.cfg.intents().get(intent);
        let Some(active) = active.filter(|a| has_failed_host(a, &view.hosts, failed)) else {
            return Replacement::NotNeeded;
        };
        let hosts: Vec<HostRecord> = view.hosts.values().cloned().collect();
        (
            view.cfg.head(),
            replace_failed_hosts(&view.cfg, active, &hosts, failed, lease.epoch),
        )
    };
    let Some(change) = change else {
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
    let text = match serde_json::to_string(&gen) {
        Ok(text) => text,
        Err(err) => return defer(intent, err),
    };
    if !lease.is_valid() {
        return defer(intent, "the lease has expired");
    }
    let log = AppendLog::new(cx.platform.clone(), "config");
    match log.append(base, &text, &plan_id) {
        Ok(AppendOutcome::Written(_)) => {
            cx.recorder.emit(Event::HostsReplaced, &detail);
            Replacement::Replaced
        }
        Ok(AppendOutcome::Stale(head)) => {
            let reason = format!("generation {head} was confirmed, planned on {base}");
            defer(intent, reason)
        }
        Err(err) => defer(intent, err),
    }
}
