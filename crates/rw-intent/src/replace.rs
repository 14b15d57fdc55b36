use std::collections::{BTreeMap, BTreeSet};

use rw_protocol::{rendezvous_rank, Assignment, HostRecord, HostState, Name, ReplaceHosts, Role};

use crate::{ActiveIntent, Configuration};

fn has_failed(host: &Name, record: Option<&HostRecord>, failed: &BTreeSet<Name>) -> bool {
    failed.contains(host) || record.is_none_or(|h| h.state != HostState::Live)
}

/// Whether any host of an intent has failed: it is in `failed`, or not live in `hosts`.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use rw_intent::{has_failed_host, ActiveIntent};
/// let intent = rw_protocol::Intent {
///     name: "cuts".into(), service: "assistant".into(), model: "m".into(),
///     version: "v1".into(), teams: Vec::new(), hosts: 1, regions: Vec::new(), finish_by_ms: 0,
/// };
/// let mut active = ActiveIntent {
///     intent, manifest: "m".into(), length: 0, previous: "".into(),
///     assignments: BTreeMap::new(), since_ms: 0,
/// };
/// assert!(!has_failed_host(&active, &BTreeMap::new(), &BTreeSet::new()));
/// active.assignments.insert("unlisted".into(), 0);
/// assert!(has_failed_host(&active, &BTreeMap::new(), &BTreeSet::new()));
/// ```
pub fn has_failed_host(
    active: &ActiveIntent,
    hosts: &BTreeMap<Name, HostRecord>,
    failed: &BTreeSet<Name>,
) -> bool {
    let mut assigned = active.assignments.keys();
    assigned.any(|host| has_failed(host, hosts.get(host), failed))
}

/// Selects spare hosts to replace the failed hosts of an intent. Spare hosts of the
/// same region are preferred. `epoch` is the fencing number of the lease under which
/// the hosts are replaced.
///
/// Returns `None` if no host has failed or no spare host is available.
pub fn replace_failed_hosts(
    cfg: &Configuration,
    active: &ActiveIntent,
    hosts: &[HostRecord],
    failed: &BTreeSet<Name>,
    epoch: u64,
) -> Option<ReplaceHosts> {
    let known: BTreeMap<&Name, &HostRecord> = hosts.iter().map(|h| (&h.name, h)).collect();
    let assigned = cfg.assigned_hosts();
    let mut spare: Vec<&HostRecord> = hosts
        .iter()
        .filter(|h| h.role == Role::Host && h.state == HostState::Live)
        .filter(|h| h.service == active.intent.service && active.intent.regions.contains(&h.region))
        .filter(|h| !assigned.contains(&h.name) && !failed.contains(&h.name))
        .collect();
    spare.sort_by_key(|h| rendezvous_rank(&active.intent.name, &h.name));
    let mut gone = Vec::new();
    let mut added = Vec::new();
    for (host, wave) in &active.assignments {
        if !has_failed(host, known.get(host).copied(), failed) {
            continue;
        }
        let region = known.get(host).map(|h| &h.region);
        let same_region = spare.iter().position(|h| Some(&h.region) == region);
        let Some(at) = same_region.or(spare.len().checked_sub(1)) else {
            break;
        };
        gone.push(host.clone());
        added.push(Assignment {
            host: spare.remove(at).name.clone(),
            wave: *wave,
        });
    }
    (!gone.is_empty()).then(|| ReplaceHosts {
        intent: active.intent.name.clone(),
        gone,
        added,
        epoch,
    })
}
