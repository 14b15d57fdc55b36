//! Selects the other daemons to talk to.

use rw_protocol::{rendezvous_rank, Name};

use crate::{Cx, Daemon, PlatformCodec};

/// Number of entries that follow the store. With several of them in several
/// zones, one that is up to date remains when others fail.
pub const MAX_STORE_READERS: usize = 4;

/// Entries that follow the store: the first ones by rank, so every entry computes
/// the same set.
pub fn store_readers<D: PlatformCodec>(cx: &Cx<D>) -> Vec<Daemon> {
    let snapshot = cx.cluster.snapshot();
    let mut all: Vec<Daemon> = snapshot.daemons.values().cloned().collect();
    all.sort_by_key(|d| rendezvous_rank("reader", &d.name));
    all.truncate(MAX_STORE_READERS);
    all
}

/// Addresses of the given daemons without this one, nearest first.
pub fn nearest<D: PlatformCodec>(
    cx: &Cx<D>,
    daemons: impl IntoIterator<Item = Daemon>,
) -> Vec<Name> {
    let others = daemons.into_iter().filter(|d| d.name != cx.settings.name);
    let mut near: Vec<(bool, bool, u64, Name)> = others
        .map(|d| {
            let is_other_region = cx.settings.region_of(&d.zone) != cx.settings.region;
            (
                is_other_region,
                d.zone != cx.settings.zone,
                rendezvous_rank(&cx.settings.name, &d.name),
                d.addr,
            )
        })
        .collect();
    near.sort();
    near.into_iter().map(|(_, _, _, addr)| addr).collect()
}

/// Addresses of entries: registered ones first, by distance, then the seeds.
pub fn known_entries<D: PlatformCodec>(cx: &Cx<D>) -> Vec<Name> {
    let snapshot = cx.cluster.snapshot();
    let mut out = nearest(cx, snapshot.daemons.values().cloned());
    let own = cx.settings.peer_addr.to_string();
    for seed in cx.settings.seeds.iter().filter(|seed| ***seed != *own) {
        if !out.contains(seed) {
            out.push(seed.clone());
        }
    }
    out
}
