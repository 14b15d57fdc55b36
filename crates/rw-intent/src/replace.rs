use std::collections::{BTreeMap, BTreeSet};

use rw_protocol::{rank, Assignment, HostEntry, HostState, Name, ReplaceHosts, Role};

use crate::{Active, Configuration};

/// Finds spare hosts for those of an intent that failed; `epoch` is the fencing
/// number of the lease that allows it. Spare hosts of the same region come
/// first. `None` when nothing failed or no host is spare.
pub fn replace_failed(
    cfg: &Configuration,
    active: &Active,
    hosts: &[HostEntry],
    failed: &BTreeSet<Name>,
    epoch: u64,
) -> Option<ReplaceHosts> {
    let known: BTreeMap<&Name, &HostEntry> = hosts.iter().map(|h| (&h.name, h)).collect();
    let used = cfg.used();
    let mut spare: Vec<&HostEntry> = hosts
        .iter()
        .filter(|h| h.role == Role::Host && h.state == HostState::Live)
        .filter(|h| h.service == active.intent.service && active.intent.regions.contains(&h.region))
        .filter(|h| !used.contains(&h.name) && !failed.contains(&h.name))
        .collect();
    spare.sort_by_key(|h| rank(&active.intent.name, &h.name));
    let mut gone = Vec::new();
    let mut added = Vec::new();
    for (host, wave) in &active.assignments {
        let lost =
            failed.contains(host) || known.get(host).is_none_or(|h| h.state != HostState::Live);
        if !lost {
            continue;
        }
        let region = known.get(host).map(|h| &h.region);
        let near = spare.iter().position(|h| Some(&h.region) == region);
        let Some(at) = near.or(spare.len().checked_sub(1)) else {
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
