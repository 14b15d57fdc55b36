//! Chunk trees are free of cycles and spread the upload load; transfers limit,
//! hedge and retry their fetches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use rw_protocol::Name;
use rw_weights::{ChunkFetch, DistributionPolicy, Layout, Peer, Source, Transfer, TransferLimits};

const TREE: DistributionPolicy = DistributionPolicy::Tree;

fn peers(count: usize, regions: usize, zones: usize) -> Vec<Peer> {
    let peer = |at: usize| Peer {
        region: Name::from(format!("r{}", at % regions)),
        zone: Name::from(format!("r{}z{}", at % regions, at / regions % zones)),
        name: Name::from(format!("h{at}")),
    };
    (0..count).map(peer).collect()
}

fn first_source(layout: &Layout, chunk: u32, host: &Peer, avoid: &BTreeSet<Name>) -> Source {
    layout.sources(chunk, host, avoid)[0].clone()
}

// Steps from a host to the origin along first sources; `None` in a cycle.
fn tree_depth(
    layout: &Layout,
    hosts: &[Peer],
    chunk: u32,
    host: &Peer,
    avoid: &BTreeSet<Name>,
) -> Option<usize> {
    let mut at = host.clone();
    for steps in 1..=hosts.len() + 1 {
        match first_source(layout, chunk, &at, avoid) {
            Source::Origin | Source::Archive => return Some(steps),
            Source::Peer(name) => at = hosts.iter().find(|p| p.name == name)?.clone(),
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn every_chunk_reaches_every_host_from_the_origin_despite_failures(
        count in 1usize..60, regions in 1usize..5, zones in 1usize..4, chunk in 0u32..500,
        failed in prop::collection::btree_set(0usize..60, 0..20),
    ) {
        let hosts = peers(count, regions, zones);
        let layout = Layout::new("m", "r0", hosts.clone(), TREE);
        let avoid: BTreeSet<Name> = failed.iter().map(|f| Name::from(format!("h{f}"))).collect();
        for host in hosts.iter().filter(|p| !avoid.contains(&p.name)) {
            prop_assert!(tree_depth(&layout, &hosts, chunk, host, &avoid).is_some());
            prop_assert!(layout.sources(chunk, host, &avoid).iter().all(|s| *s != Source::Peer(host.name.clone())));
        }
    }
}

#[rstest]
#[case(16, 1, 1)]
#[case(250, 1, 1)]
#[case(250, 1, 3)]
#[case(250, 3, 1)]
#[case(249, 7, 3)]
fn one_copy_leaves_the_origin_and_one_enters_each_region(
    #[case] count: usize,
    #[case] regions: usize,
    #[case] zones: usize,
) {
    let hosts = peers(count, regions, zones);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let region: BTreeMap<Name, Name> = hosts
        .iter()
        .map(|p| (p.name.clone(), p.region.clone()))
        .collect();
    for chunk in 0..128 {
        let mut origin_fetches = 0;
        let mut imports_by_region: BTreeMap<&Name, usize> = BTreeMap::new();
        for host in &hosts {
            match first_source(&layout, chunk, host, &BTreeSet::new()) {
                Source::Origin | Source::Archive => origin_fetches += 1,
                Source::Peer(name) if region[&name] != host.region => {
                    *imports_by_region.entry(&host.region).or_default() += 1
                }
                Source::Peer(_) => {}
            }
        }
        assert_eq!(origin_fetches, 1);
        assert_eq!(imports_by_region.len(), regions.min(count) - 1);
        assert!(imports_by_region.values().all(|n| *n == 1));
    }
}

// Remote regions fetch different chunks from each other, so every link carries a
// share.
#[test]
fn every_inbound_link_of_a_remote_region_carries_a_share() {
    let hosts = peers(90, 3, 1);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let region: BTreeMap<Name, Name> = hosts
        .iter()
        .map(|p| (p.name.clone(), p.region.clone()))
        .collect();
    let mut links: BTreeMap<(Name, Name), usize> = BTreeMap::new();
    for chunk in 0..100 {
        for host in &hosts {
            if let Source::Peer(name) = first_source(&layout, chunk, host, &BTreeSet::new()) {
                if region[&name] != host.region {
                    *links
                        .entry((region[&name].clone(), host.region.clone()))
                        .or_default() += 1;
                }
            }
        }
    }
    let loads: Vec<usize> = links.values().copied().collect();
    assert_eq!(loads, [50, 50, 50, 50], "{links:?}");
}

#[rstest]
#[case(64, 1)]
#[case(250, 1)]
#[case(250, 3)]
fn each_host_sends_about_one_copy_and_trees_are_shallow(
    #[case] count: usize,
    #[case] zones: usize,
) {
    const CHUNKS: u32 = 256;
    let hosts = peers(count, 1, zones);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let mut sent: BTreeMap<Name, u32> = BTreeMap::new();
    for chunk in 0..CHUNKS {
        for host in &hosts {
            if let Source::Peer(name) = first_source(&layout, chunk, host, &BTreeSet::new()) {
                *sent.entry(name).or_default() += 1;
            }
        }
    }
    let max_sent = sent.values().copied().max().unwrap_or(0);
    // The importers of the region send 1.25 copies.
    assert!(
        f64::from(max_sent) <= 1.6 * f64::from(CHUNKS),
        "one host sends {max_sent} of {CHUNKS} chunks"
    );
    let max_depth = hosts
        .iter()
        .filter_map(|p| tree_depth(&layout, &hosts, 3, p, &BTreeSet::new()))
        .max();
    let bound = (count as f64).log2().ceil() as usize + zones + 2;
    assert!(
        max_depth.is_some_and(|d| d <= bound),
        "{max_depth:?} above {bound}"
    );
}

fn limits() -> TransferLimits {
    TransferLimits {
        max_pending_chunks: 4,
        chunk_timeout: Duration::from_secs(1),
        hedge_after: Duration::from_millis(250),
        initial_backoff: Duration::from_secs(10),
    }
}

#[test]
fn failed_source_is_avoided_during_its_backoff() {
    let hosts = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let host = hosts
        .iter()
        .find(|p| {
            matches!(
                first_source(&layout, 0, p, &BTreeSet::new()),
                Source::Peer(_)
            )
        })
        .expect("a host with a peer as its first source");
    let mut transfer = Transfer::new(host.clone(), 1, limits());
    let fetch = transfer.next_fetches(&layout, Duration::ZERO).remove(0);
    transfer.on_failed(&fetch, Duration::ZERO);
    let second_fetch = transfer
        .next_fetches(&layout, Duration::from_secs(1))
        .remove(0);
    assert_ne!(fetch.source, second_fetch.source);
    transfer.on_not_held(&second_fetch);
    let later = transfer.next_fetches(&layout, Duration::from_secs(11));
    assert!(later.len() == 1);
}

#[test]
fn unanswered_fetch_is_retried_from_another_source() {
    let hosts = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let host = hosts
        .iter()
        .find(|p| {
            matches!(
                first_source(&layout, 0, p, &BTreeSet::new()),
                Source::Peer(_)
            )
        })
        .expect("a host with a peer as its first source");
    let without_hedging = TransferLimits {
        hedge_after: Duration::from_secs(60),
        ..limits()
    };
    let mut transfer = Transfer::new(host.clone(), 1, without_hedging);
    let fetch = transfer.next_fetches(&layout, Duration::ZERO).remove(0);
    assert!(transfer
        .next_fetches(&layout, Duration::from_secs(1))
        .is_empty());
    let second_fetch = transfer
        .next_fetches(&layout, Duration::from_secs(3))
        .remove(0);
    assert_ne!(fetch.source, second_fetch.source);
}

#[test]
fn pending_chunks_are_limited() {
    let hosts = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let mut transfer = Transfer::new(hosts[3].clone(), 100, limits());
    let fetches = transfer.next_fetches(&layout, Duration::ZERO);
    assert_eq!(fetches.len(), 4);
    transfer.on_chunk(&fetches[0], Duration::ZERO);
    let more_fetches: Vec<ChunkFetch> = transfer.next_fetches(&layout, Duration::ZERO);
    assert!(more_fetches.len() <= 1);
    assert_eq!(transfer.missing_count(), 99);
}

// Chunks arrive roughly in order; one that lags far behind the others is delayed by
// a slow source.
#[test]
fn chunk_of_a_slow_source_is_hedged() {
    let hosts = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", hosts.clone(), TREE);
    let host = hosts
        .iter()
        .find(|p| (0..100).all(|c| !layout.is_importer(c, p) || c > 60));
    let host = host.unwrap_or(&hosts[0]).clone();
    let high_limits = TransferLimits {
        max_pending_chunks: 100,
        ..limits()
    };
    let mut transfer = Transfer::new(host, 100, high_limits);
    let fetches = transfer.next_fetches(&layout, Duration::ZERO);
    let slow = fetches
        .iter()
        .find(|f| matches!(f.source, Source::Peer(_)))
        .expect("a fetch from a peer")
        .clone();
    for fetch in fetches
        .iter()
        .filter(|f| f.chunk != slow.chunk && f.chunk < 90)
    {
        transfer.on_chunk(fetch, Duration::from_millis(100));
    }
    assert!(transfer
        .next_fetches(&layout, Duration::from_millis(200))
        .iter()
        .all(|f| f.chunk != slow.chunk));
    let second_fetches = transfer.next_fetches(&layout, Duration::from_millis(300));
    let hedge = second_fetches
        .iter()
        .find(|f| f.chunk == slow.chunk)
        .expect("hedged fetch");
    assert_ne!(hedge.source, slow.source);
    // There is no third attempt, and a late chunk from either source is accepted.
    assert!(transfer
        .next_fetches(&layout, Duration::from_millis(900))
        .iter()
        .all(|f| f.chunk != slow.chunk));
    let before = transfer.missing_count();
    transfer.on_chunk(&slow, Duration::from_secs(1));
    transfer.on_chunk(hedge, Duration::from_secs(1));
    assert_eq!(transfer.missing_count(), before - 1);
}

/// Hosts of two regions lack weights that hosts of a third region hold.
#[test]
fn only_one_host_of_each_region_fetches_from_holders_of_another_region() {
    let peer = |region: &str, n: usize| Peer {
        region: region.into(),
        zone: format!("{region}-a").as_str().into(),
        name: format!("{region}-{n}").as_str().into(),
    };
    let hosts: Vec<Peer> = ["north", "central", "south"]
        .iter()
        .flat_map(|region| (0..10).map(move |n| peer(region, n)))
        .collect();
    let holders: Vec<Peer> = (0..5).map(|n| peer("central", n)).collect();
    let layout = Layout::new("m", "central", hosts.clone(), DistributionPolicy::Tree)
        .with_holders(holders.clone());
    for chunk in 0..40 {
        for region in ["north", "south"] {
            let fetching_from_holders = hosts.iter().filter(|host| &*host.region == region).filter(|host| {
                let first_source = layout
                    .sources(chunk, host, &BTreeSet::new())
                    .into_iter()
                    .next();
                matches!(first_source, Some(Source::Peer(name)) if holders.iter().any(|h| h.name == name))
            });
            assert_eq!(
                fetching_from_holders.count(),
                1,
                "chunk {chunk} of {region}"
            );
        }
        let sources_near_holders = layout.sources(chunk, &peer("central", 9), &BTreeSet::new());
        assert!(matches!(&sources_near_holders[0], Source::Peer(name) if layout.is_holder(name)));
    }
}
