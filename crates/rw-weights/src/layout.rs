//! Distribution trees of a model's chunks: the order in which each host tries the
//! sources of a chunk.

use std::collections::BTreeSet;

use rw_protocol::{rendezvous_rank, Name};

/// Hosts of a region that fetch chunks from outside it. With more of them, each
/// one's share of the origin's link is so small that chunk fetches time out.
const MAX_IMPORTERS: usize = 6;
/// Children of a node in a chunk's tree.
const FANOUT: usize = 2;
/// Further hosts, ahead of the local one in the tree order, that serve as sources
/// after every ancestor has failed.
const MAX_FALLBACK_SOURCES: usize = 3;
/// Rotation from one chunk to the next, as a fraction of the host list. The golden
/// ratio spreads the inner nodes of the trees evenly over the hosts.
const ROTATION_STEP: f64 = 0.618_033_988_749_895;

/// A host that takes part in the distribution of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Region of the host.
    pub region: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Name of the host.
    pub name: Name,
}

/// Source of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The origin of the weights.
    Origin,
    /// The archive of distributed versions, whose link is faster than the origin's.
    Archive,
    /// Another host.
    Peer(Name),
}

/// How chunks are distributed. All policies except `Tree` are baselines for
/// benchmarks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionPolicy {
    /// One tree per chunk, with the inner nodes spread over the hosts.
    Tree,
    /// Every host fetches every chunk from the origin.
    Origin,
    /// One fixed chain through all hosts.
    Chain,
    /// Every host fetches each chunk from a random host.
    Random,
}

struct Zone {
    hosts: Vec<Name>,
}

struct Region {
    name: Name,
    zones: Vec<Zone>,
    // Hosts that fetch chunks from outside the region; chunks are assigned to them
    // in turn.
    importers: Vec<Name>,
}

/// Distribution trees of one manifest. They are a pure function of the peers, so
/// hosts that know the same peers compute the same trees without coordination.
pub struct Layout {
    policy: DistributionPolicy,
    regions: Vec<Region>,
    peers: Vec<Peer>,
    holders: Vec<Peer>,
    archived: BTreeSet<u32>,
}

impl Layout {
    /// Computes the trees of `manifest` over `peers`. The origin is in
    /// `home_region`.
    ///
    /// ```
    /// use rw_weights::{Layout, Peer, DistributionPolicy, Source};
    /// use std::collections::BTreeSet;
    /// let peer = Peer { region: "north".into(), zone: "n1".into(), name: "a".into() };
    /// let layout = Layout::new("m", "north", vec![peer.clone()], DistributionPolicy::Tree);
    /// assert_eq!(layout.sources(0, &peer, &BTreeSet::new()), [Source::Origin]);
    /// ```
    pub fn new(
        manifest: &str,
        home_region: &str,
        mut peers: Vec<Peer>,
        policy: DistributionPolicy,
    ) -> Self {
        peers.sort();
        peers.dedup();
        let mut regions: Vec<Region> = Vec::new();
        for peer in &peers {
            if regions.last().is_none_or(|r| r.name != peer.region) {
                regions.push(region(manifest, &peer.region, &peers));
            }
        }
        regions.sort_by_key(|r| {
            (
                *r.name != *home_region,
                std::cmp::Reverse(rendezvous_rank(manifest, &r.name)),
            )
        });
        Layout {
            policy,
            regions,
            peers,
            holders: Vec::new(),
            archived: BTreeSet::new(),
        }
    }

    /// Sets the hosts that already hold every chunk. They are preferred over the
    /// tree, the nearest first.
    pub fn with_holders(mut self, holders: Vec<Peer>) -> Self {
        self.holders = holders;
        self
    }

    /// Sets the chunks that the archive holds. Hosts that fetch them from outside
    /// their region prefer it to hosts of other regions and to the origin.
    pub fn with_archived(mut self, chunks: BTreeSet<u32>) -> Self {
        self.archived = chunks;
        self
    }

    /// Whether the `local` host fetches any chunk from outside its region.
    pub fn is_any_importer(&self, local: &Peer) -> bool {
        let region = self.regions.iter().find(|r| r.name == local.region);
        region.is_some_and(|r| r.importers.contains(&local.name))
    }

    /// Whether the host is known to hold every chunk.
    pub fn is_holder(&self, name: &str) -> bool {
        self.holders.iter().any(|p| *p.name == *name)
    }

    // Holders ordered by distance; among equally near ones the order depends on the
    // chunk, so that each of them sends a share.
    fn holder_sources(&self, chunk: u32, local: &Peer) -> Vec<Name> {
        let key = format!("{chunk}/{}", local.name);
        // Only the importer of a chunk fetches from holders in other regions, so
        // that each inter-region link carries a single copy.
        let is_importer = self.is_importer(chunk, local);
        let is_candidate = |p: &&Peer| is_importer || p.region == local.region;
        let mut holders: Vec<&Peer> = self.holders.iter().filter(is_candidate).collect();
        holders.sort_by_key(|p| {
            (
                p.zone != local.zone,
                p.region != local.region,
                rendezvous_rank(&key, &p.name),
            )
        });
        holders.into_iter().map(|p| p.name.clone()).collect()
    }

    /// Hosts that take part in the distribution.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Sources of a chunk for the `local` host, best first, without those in
    /// `avoid`.
    ///
    /// Every source in the tree precedes the local host in the chunk's tree order,
    /// so hosts never wait for each other in a cycle.
    pub fn sources(&self, chunk: u32, local: &Peer, avoid: &BTreeSet<Name>) -> Vec<Source> {
        let mut peers = self.holder_sources(chunk, local);
        peers.extend(match self.policy {
            DistributionPolicy::Tree => self.tree_sources(chunk, local, avoid),
            DistributionPolicy::Origin => Vec::new(),
            DistributionPolicy::Chain => self.chain_sources(local),
            DistributionPolicy::Random => self.random_sources(chunk, local),
        });
        let mut out: Vec<Source> = peers
            .into_iter()
            .filter(|name| *name != local.name && !avoid.contains(name))
            .map(Source::Peer)
            .collect();
        out.dedup();
        if self.archived.contains(&chunk) && self.imports(chunk, local, avoid) {
            let is_near = |source: &Source| match source {
                Source::Peer(name) => self.is_near_holder(name, local),
                _ => false,
            };
            let at = out.iter().take_while(|source| is_near(source)).count();
            out.insert(at, Source::Archive);
        }
        out.push(Source::Origin);
        out
    }

    fn is_near_holder(&self, name: &Name, local: &Peer) -> bool {
        let mut near = self.holders.iter().filter(|p| p.region == local.region);
        near.any(|holder| holder.name == *name)
    }

    // Whether the local host fetches the chunk from outside its region: as its
    // importer, or because every host before it in the tree is avoided.
    fn imports(&self, chunk: u32, local: &Peer, avoid: &BTreeSet<Name>) -> bool {
        let Some(region) = self.regions.iter().find(|r| r.name == local.region) else {
            return false;
        };
        region.root(chunk) == Some(&local.name)
            || region
                .ancestors(chunk, &local.name)
                .iter()
                .all(|name| avoid.contains(name))
    }

    /// Whether the `local` host fetches this chunk from outside its region.
    pub fn is_importer(&self, chunk: u32, local: &Peer) -> bool {
        let region = self.regions.iter().find(|r| r.name == local.region);
        region.and_then(|r| r.root(chunk)) == Some(&local.name)
    }

    /// Host that imports a chunk while the `local` host, its importer, is
    /// unreachable. `None` if the local host is not the importer.
    pub fn fallback_importer(&self, chunk: u32, local: &Peer) -> Option<Name> {
        let region = self.regions.iter().find(|r| r.name == local.region)?;
        match region.root(chunk) == Some(&local.name) {
            true => region.fallback_importer(chunk).cloned(),
            false => None,
        }
    }

    fn tree_sources(&self, chunk: u32, local: &Peer, avoid: &BTreeSet<Name>) -> Vec<Name> {
        let Some(at) = self.regions.iter().position(|r| r.name == local.region) else {
            return Vec::new();
        };
        let region = &self.regions[at];
        if region.root(chunk) == Some(&local.name) {
            return self.import_sources(chunk, at);
        }
        let ancestors = region.ancestors(chunk, &local.name);
        // An ancestor that does not hold the chunk yet is waiting for it itself.
        match ancestors.iter().any(|name| !avoid.contains(name)) {
            true => ancestors,
            false => self.import_sources(chunk, at),
        }
    }

    // The importer of the home region fetches from the origin. One remote region
    // per chunk, the lead region, fetches from the home region, and the others from
    // the lead region, so that the links between all regions share the traffic.
    fn import_sources(&self, chunk: u32, at: usize) -> Vec<Name> {
        if at == 0 {
            return Vec::new();
        }
        let remote_regions = self.regions.len() - 1;
        let lead_region = 1 + chunk as usize % remote_regions;
        let region_order = if lead_region == at {
            vec![0]
        } else {
            vec![lead_region, 0]
        };
        let fallbacks = region_order
            .iter()
            .filter_map(|r| self.regions[*r].fallback_importer(chunk).cloned());
        let roots = region_order
            .iter()
            .filter_map(|r| self.regions[*r].root(chunk));
        roots.cloned().chain(fallbacks).collect()
    }

    fn chain_sources(&self, local: &Peer) -> Vec<Name> {
        let at = self.peers.iter().position(|p| p == local).unwrap_or(0);
        self.peers[..at]
            .iter()
            .rev()
            .map(|p| p.name.clone())
            .collect()
    }

    // Only the root fetches directly from the origin. The other hosts use all hosts
    // in a random order.
    fn random_sources(&self, chunk: u32, local: &Peer) -> Vec<Name> {
        let key = format!("{chunk}/{}", local.name);
        let root_key = format!("root/{chunk}");
        let root = self
            .peers
            .iter()
            .max_by_key(|p| rendezvous_rank(&root_key, &p.name));
        if root == Some(local) {
            return Vec::new();
        }
        let mut names: Vec<Name> = self.peers.iter().map(|p| p.name.clone()).collect();
        names.sort_by_key(|name| rendezvous_rank(&key, name));
        names
    }
}

fn region(manifest: &str, name: &Name, peers: &[Peer]) -> Region {
    let members: Vec<&Peer> = peers.iter().filter(|p| p.region == *name).collect();
    let zone_names: BTreeSet<&Name> = members.iter().map(|p| &p.zone).collect();
    let by_rank = |is_member: &dyn Fn(&Peer) -> bool| {
        let mut hosts: Vec<Name> = members
            .iter()
            .filter(|p| is_member(p))
            .map(|p| p.name.clone())
            .collect();
        hosts.sort_by_key(|host| std::cmp::Reverse(rendezvous_rank(manifest, host)));
        hosts
    };
    let mut importers = by_rank(&|_| true);
    importers.truncate(MAX_IMPORTERS);
    let zones = zone_names
        .into_iter()
        .map(|zone| Zone {
            hosts: by_rank(&|p| p.zone == *zone),
        })
        .collect();
    Region {
        name: name.clone(),
        zones,
        importers,
    }
}

impl Region {
    fn root(&self, chunk: u32) -> Option<&Name> {
        self.importers
            .get(chunk as usize % self.importers.len().max(1))
    }

    // The first host after the root in the tree order.
    fn fallback_importer(&self, chunk: u32) -> Option<&Name> {
        self.tree_order(chunk).first()?.get(1).copied()
    }

    // Hosts by zone in the chunk's tree order. The root's zone comes first, and the
    // root is the first host in it.
    fn tree_order(&self, chunk: u32) -> Vec<Vec<&Name>> {
        let root = self.root(chunk);
        let mut zones: Vec<Vec<&Name>> = self
            .zones
            .iter()
            .map(|zone| rotated(&zone.hosts, chunk))
            .collect();
        let contains_root = |hosts: &Vec<&Name>| hosts.iter().any(|host| Some(*host) == root);
        if let Some(at) = zones.iter().position(contains_root) {
            zones.rotate_left(at);
            zones[0].sort_by_key(|host| Some(*host) != root);
        }
        zones
    }

    // Ancestors in the tree of the host's zone, then the first hosts of the ancestors
    // in the tree of zones, then the fallback sources.
    fn ancestors(&self, chunk: u32, local: &Name) -> Vec<Name> {
        let zones = self.tree_order(chunk);
        let Some(zone) = zones.iter().position(|hosts| hosts.contains(&local)) else {
            return Vec::new();
        };
        let hosts = &zones[zone];
        let mut at = hosts.iter().position(|host| *host == local).unwrap_or(0);
        let position = at;
        let mut out = Vec::new();
        while at > 0 {
            at = (at - 1) / FANOUT;
            out.push(hosts[at].clone());
        }
        let mut zone_index = zone;
        while zone_index > 0 {
            zone_index = (zone_index - 1) / FANOUT;
            out.push(zones[zone_index][0].clone());
        }
        for fallback in (0..position).rev().take(MAX_FALLBACK_SOURCES) {
            if !out.contains(hosts[fallback]) {
                out.push(hosts[fallback].clone());
            }
        }
        out
    }
}

fn rotated(hosts: &[Name], chunk: u32) -> Vec<&Name> {
    let fraction = (f64::from(chunk) * ROTATION_STEP).fract();
    let offset = (fraction * hosts.len() as f64) as usize;
    let (before, after) = hosts.split_at(offset);
    after.iter().chain(before).collect()
}
