use std::collections::{BTreeMap, BTreeSet};

use rw_protocol::{
    manifest_id, rendezvous_rank, Assignment, Change, HostRecord, HostState, Intent, LinkBytes,
    Manifest, Name, Plan, PutIntent, Role,
};

use crate::{ActiveIntent, Configuration, Error, Result};

/// Maximum number of waves in which the hosts of an intent switch to another
/// version. Most hosts keep serving while one wave switches.
pub const WAVE_COUNT: u32 = 4;

/// Regions and link rates of a deployment, from which plans estimate transfers.
#[derive(Clone, Debug, Default)]
pub struct NetworkTopology {
    /// Region that contains the origin.
    pub origin_region: Name,
    /// Upload rate of a host in bytes per second; 0 means unknown.
    pub uplink_bytes_per_s: u64,
    /// Rate of the inter-region links in bytes per second, by region; 0 means
    /// unknown.
    pub link_bytes_per_s: BTreeMap<Name, u64>,
}

/// Plans the change that fulfills an intent. The same input gives the same plan.
///
/// Hosts that already serve the intent are kept, so that a new version moves no
/// host. Further hosts are taken evenly from the intent's regions.
pub fn plan_intent(
    cfg: &Configuration,
    hosts: &[HostRecord],
    intent: Intent,
    manifest: &Manifest,
    topology: &NetworkTopology,
    now_ms: u64,
) -> Result<Plan> {
    let old = cfg.intents().get(&intent.name);
    let selected = select_hosts(cfg, hosts, &intent, old)?;
    let id = manifest_id(manifest);
    let current: BTreeSet<Name> = old
        .map(|a| a.assignments.keys().cloned().collect())
        .unwrap_or_default();
    let planned: BTreeSet<Name> = selected.iter().map(|h| h.name.clone()).collect();
    let fetching: Vec<&HostRecord> = match old {
        Some(old) if old.manifest == id => selected
            .iter()
            .filter(|h| !current.contains(&h.name))
            .copied()
            .collect(),
        _ => selected.clone(),
    };
    let links = inter_region_links(&fetching, manifest.length, topology);
    let expected_ms = estimate_ms(&links, &fetching, manifest.length, topology);
    let mut warnings = Vec::new();
    if now_ms + expected_ms > intent.finish_by_ms {
        let left = intent.finish_by_ms.saturating_sub(now_ms);
        warnings.push(format!(
            "needs about {expected_ms} ms, the deadline is in {left} ms"
        ));
    }
    let change = Change::Put(PutIntent {
        manifest: id,
        length: manifest.length,
        assignments: assign_waves(&selected),
        intent,
    });
    Ok(Plan {
        id: Name::default(),
        base: cfg.head(),
        change,
        joining: planned.difference(&current).cloned().collect(),
        leaving: current.difference(&planned).cloned().collect(),
        keeping: planned.intersection(&current).cloned().collect(),
        origin_bytes: if fetching.is_empty() {
            0
        } else {
            manifest.length
        },
        links,
        expected_ms,
        warnings,
    })
}

fn select_hosts<'a>(
    cfg: &Configuration,
    hosts: &'a [HostRecord],
    intent: &Intent,
    old: Option<&ActiveIntent>,
) -> Result<Vec<&'a HostRecord>> {
    let assigned = cfg.assigned_hosts();
    let is_kept = |host: &HostRecord| old.is_some_and(|a| a.assignments.contains_key(&host.name));
    let is_eligible = |host: &&HostRecord| {
        host.role == Role::Host
            && host.state == HostState::Live
            && host.service == intent.service
            && intent.regions.contains(&host.region)
            && (is_kept(host) || !assigned.contains(&host.name))
    };
    let mut regions: BTreeMap<&Name, Vec<&HostRecord>> = BTreeMap::new();
    for host in hosts.iter().filter(is_eligible) {
        regions.entry(&host.region).or_default().push(host);
    }
    for candidates in regions.values_mut() {
        // Hosts are taken from the end: first those that are kept, then by rank.
        candidates.sort_by_key(|h| (is_kept(h), rendezvous_rank(&intent.name, &h.name)));
    }
    let available: usize = regions.values().map(Vec::len).sum();
    if available < intent.hosts as usize {
        return Err(Error::TooFewHosts(intent.hosts, available));
    }
    let mut out = Vec::new();
    while out.len() < intent.hosts as usize {
        for candidates in regions.values_mut() {
            if out.len() < intent.hosts as usize {
                out.extend(candidates.pop());
            }
        }
    }
    Ok(out)
}

// The selected hosts alternate between the regions, so each wave is spread over
// them.
fn assign_waves(selected: &[&HostRecord]) -> Vec<Assignment> {
    let per_wave = (selected.len() as u32).div_ceil(WAVE_COUNT).max(1);
    let assign = |(at, host): (usize, &&HostRecord)| Assignment {
        host: host.name.clone(),
        wave: at as u32 / per_wave,
    };
    selected.iter().enumerate().map(assign).collect()
}

// Bytes that each region other than the origin's has to receive.
fn inter_region_links(
    fetching: &[&HostRecord],
    length: u64,
    topology: &NetworkTopology,
) -> Vec<LinkBytes> {
    let regions: BTreeSet<&Name> = fetching.iter().map(|h| &h.region).collect();
    let remote = regions
        .into_iter()
        .filter(|r| **r != topology.origin_region);
    remote
        .map(|region| LinkBytes {
            region: region.clone(),
            bytes: length,
        })
        .collect()
}

// Estimates the duration of the transfers. Within a region, the upload rate of one
// host is the limit. Into a remote region, it is the total rate of the region's
// inbound links, one from each other region that takes part.
fn estimate_ms(
    links: &[LinkBytes],
    fetching: &[&HostRecord],
    length: u64,
    topology: &NetworkTopology,
) -> u64 {
    let local = match topology.uplink_bytes_per_s {
        0 => 0,
        _ if fetching.len() < 2 => 0,
        rate => length * 1000 / rate,
    };
    let inbound = links.len() as u64;
    let remote = links.iter().map(|link| {
        let rate = topology
            .link_bytes_per_s
            .get(&link.region)
            .copied()
            .unwrap_or(0);
        (link.bytes * 1000).checked_div(rate * inbound).unwrap_or(0)
    });
    remote.max().unwrap_or(0).max(local)
}
