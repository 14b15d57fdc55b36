use std::collections::{BTreeMap, BTreeSet};

use rw_protocol::{
    manifest_id, rank, Assignment, Change, HostEntry, HostState, Intent, LinkBytes, Manifest, Name,
    Plan, PutIntent, Role,
};

use crate::{Active, Configuration, Error, Result};

/// Steps in which the hosts of an intent switch, so that most keep serving.
pub const WAVES: u32 = 4;

/// What planning needs to know of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Region with the origin.
    pub home: Name,
    /// Upload rate of a host in bytes a second; 0 is unknown.
    pub uplink_bytes_per_s: u64,
    /// Rate of inter-region links in bytes a second by region; 0 is unknown.
    pub link_bytes_per_s: BTreeMap<Name, u64>,
}

/// Works out what an intent would change. The same input gives the same plan.
///
/// Hosts that serve the intent already are kept, so that a new version moves
/// no host; others are taken evenly from the regions.
pub fn plan(
    cfg: &Configuration,
    hosts: &[HostEntry],
    intent: Intent,
    manifest: &Manifest,
    site: &Site,
    now_ms: u64,
) -> Result<Plan> {
    let old = cfg.intents().get(&intent.name);
    let chosen = choose(cfg, hosts, &intent, old)?;
    let id = manifest_id(manifest);
    let before: BTreeSet<Name> = old
        .map(|a| a.assignments.keys().cloned().collect())
        .unwrap_or_default();
    let after: BTreeSet<Name> = chosen.iter().map(|h| h.name.clone()).collect();
    let fetching: Vec<&HostEntry> = match old {
        Some(old) if old.manifest == id => chosen
            .iter()
            .filter(|h| !before.contains(&h.name))
            .copied()
            .collect(),
        _ => chosen.clone(),
    };
    let links = links(&fetching, manifest.length, site);
    let expected_ms = expected_ms(&links, &fetching, manifest.length, site);
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
        assignments: waves(&chosen),
        intent,
    });
    Ok(Plan {
        id: Name::default(),
        base: cfg.head(),
        change,
        joining: after.difference(&before).cloned().collect(),
        leaving: before.difference(&after).cloned().collect(),
        keeping: after.intersection(&before).cloned().collect(),
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

fn choose<'a>(
    cfg: &Configuration,
    hosts: &'a [HostEntry],
    intent: &Intent,
    old: Option<&Active>,
) -> Result<Vec<&'a HostEntry>> {
    let used = cfg.used();
    let kept = |host: &HostEntry| old.is_some_and(|a| a.assignments.contains_key(&host.name));
    let fits = |host: &&HostEntry| {
        host.role == Role::Host
            && host.state == HostState::Live
            && host.service == intent.service
            && intent.regions.contains(&host.region)
            && (kept(host) || !used.contains(&host.name))
    };
    let mut regions: BTreeMap<&Name, Vec<&HostEntry>> = BTreeMap::new();
    for host in hosts.iter().filter(fits) {
        regions.entry(&host.region).or_default().push(host);
    }
    for found in regions.values_mut() {
        // The last is taken first: kept hosts, then by rank.
        found.sort_by_key(|h| (kept(h), rank(&intent.name, &h.name)));
    }
    let found: usize = regions.values().map(Vec::len).sum();
    if found < intent.hosts as usize {
        return Err(Error::TooFewHosts(intent.hosts, found));
    }
    let mut out = Vec::new();
    while out.len() < intent.hosts as usize {
        for found in regions.values_mut() {
            if out.len() < intent.hosts as usize {
                out.extend(found.pop());
            }
        }
    }
    Ok(out)
}

// Every wave takes hosts of every region.
fn waves(chosen: &[&HostEntry]) -> Vec<Assignment> {
    let per_wave = (chosen.len() as u32).div_ceil(WAVES).max(1);
    let assign = |(at, host): (usize, &&HostEntry)| Assignment {
        host: host.name.clone(),
        wave: at as u32 / per_wave,
    };
    chosen.iter().enumerate().map(assign).collect()
}

fn links(fetching: &[&HostEntry], length: u64, site: &Site) -> Vec<LinkBytes> {
    let regions: BTreeSet<&Name> = fetching.iter().map(|h| &h.region).collect();
    let remote = regions.into_iter().filter(|r| **r != site.home);
    remote
        .map(|region| LinkBytes {
            region: region.clone(),
            bytes: length,
        })
        .collect()
}

// Inside a region the slowest uplink counts, into a region the sum of its
// inbound links: one from each other region that takes part.
fn expected_ms(links: &[LinkBytes], fetching: &[&HostEntry], length: u64, site: &Site) -> u64 {
    let local = match site.uplink_bytes_per_s {
        0 => 0,
        _ if fetching.len() < 2 => 0,
        rate => length * 1000 / rate,
    };
    let inbound = links.len() as u64;
    let remote = links.iter().map(|link| {
        let rate = site
            .link_bytes_per_s
            .get(&link.region)
            .copied()
            .unwrap_or(0);
        (link.bytes * 1000).checked_div(rate * inbound).unwrap_or(0)
    });
    remote.max().unwrap_or(0).max(local)
}
