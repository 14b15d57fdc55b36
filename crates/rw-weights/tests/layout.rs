//! Chunk trees: nobody waits in a circle, and the work is spread.

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

fn first(layout: &Layout, chunk: u32, me: &Peer, avoid: &BTreeSet<Name>) -> Source {
    layout.sources(chunk, me, avoid)[0].clone()
}

// Steps from a host to the origin along first sources; `None` in a circle.
fn depth(
    layout: &Layout,
    all: &[Peer],
    chunk: u32,
    me: &Peer,
    avoid: &BTreeSet<Name>,
) -> Option<usize> {
    let mut at = me.clone();
    for steps in 1..=all.len() + 1 {
        match first(layout, chunk, &at, avoid) {
            Source::Origin => return Some(steps),
            Source::Peer(name) => at = all.iter().find(|p| p.name == name)?.clone(),
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn every_chunk_has_a_way_from_the_origin_whoever_failed(
        count in 1usize..60, regions in 1usize..5, zones in 1usize..4, chunk in 0u32..500,
        failed in prop::collection::btree_set(0usize..60, 0..20),
    ) {
        let all = peers(count, regions, zones);
        let layout = Layout::new("m", "r0", all.clone(), TREE);
        let avoid: BTreeSet<Name> = failed.iter().map(|f| Name::from(format!("h{f}"))).collect();
        for me in all.iter().filter(|p| !avoid.contains(&p.name)) {
            prop_assert!(depth(&layout, &all, chunk, me, &avoid).is_some());
            prop_assert!(layout.sources(chunk, me, &avoid).iter().all(|s| *s != Source::Peer(me.name.clone())));
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
    let all = peers(count, regions, zones);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let region: BTreeMap<Name, Name> = all
        .iter()
        .map(|p| (p.name.clone(), p.region.clone()))
        .collect();
    for chunk in 0..128 {
        let mut origin = 0;
        let mut entering: BTreeMap<&Name, usize> = BTreeMap::new();
        for me in &all {
            match first(&layout, chunk, me, &BTreeSet::new()) {
                Source::Origin => origin += 1,
                Source::Peer(name) if region[&name] != me.region => {
                    *entering.entry(&me.region).or_default() += 1
                }
                Source::Peer(_) => {}
            }
        }
        assert_eq!(origin, 1);
        assert_eq!(entering.len(), regions.min(count) - 1);
        assert!(entering.values().all(|n| *n == 1));
    }
}

// Regions hand each other different parts, so every link carries some.
#[test]
fn every_inbound_link_of_a_remote_region_carries_a_share() {
    let all = peers(90, 3, 1);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let region: BTreeMap<Name, Name> = all
        .iter()
        .map(|p| (p.name.clone(), p.region.clone()))
        .collect();
    let mut links: BTreeMap<(Name, Name), usize> = BTreeMap::new();
    for chunk in 0..100 {
        for me in &all {
            if let Source::Peer(name) = first(&layout, chunk, me, &BTreeSet::new()) {
                if region[&name] != me.region {
                    *links
                        .entry((region[&name].clone(), me.region.clone()))
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
fn hosts_send_about_one_copy_each_and_trees_are_shallow(
    #[case] count: usize,
    #[case] zones: usize,
) {
    const CHUNKS: u32 = 256;
    let all = peers(count, 1, zones);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let mut sent: BTreeMap<Name, u32> = BTreeMap::new();
    for chunk in 0..CHUNKS {
        for me in &all {
            if let Source::Peer(name) = first(&layout, chunk, me, &BTreeSet::new()) {
                *sent.entry(name).or_default() += 1;
            }
        }
    }
    let most = sent.values().copied().max().unwrap_or(0);
    // The importers of the region send a quarter more than a copy.
    assert!(
        f64::from(most) <= 1.6 * f64::from(CHUNKS),
        "one host sends {most} of {CHUNKS} chunks"
    );
    let deepest = all
        .iter()
        .filter_map(|p| depth(&layout, &all, 3, p, &BTreeSet::new()))
        .max();
    let bound = (count as f64).log2().ceil() as usize + zones + 2;
    assert!(
        deepest.is_some_and(|d| d <= bound),
        "{deepest:?} above {bound}"
    );
}

fn limits() -> TransferLimits {
    TransferLimits {
        max_pending_chunks: 4,
        chunk_timeout: Duration::from_secs(1),
        hedge_after: Duration::from_millis(250),
        avoid_for: Duration::from_secs(10),
    }
}

#[test]
fn a_failed_source_is_avoided_for_a_while() {
    let all = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let me = all
        .iter()
        .find(|p| matches!(first(&layout, 0, p, &BTreeSet::new()), Source::Peer(_)))
        .expect("one");
    let mut transfer = Transfer::new(me.clone(), 1, limits());
    let ask = transfer.next_fetches(&layout, Duration::ZERO).remove(0);
    transfer.on_failed(&ask, Duration::ZERO);
    let again = transfer
        .next_fetches(&layout, Duration::from_secs(1))
        .remove(0);
    assert_ne!(ask.source, again.source);
    transfer.on_not_held(&again);
    let later = transfer.next_fetches(&layout, Duration::from_secs(11));
    assert!(later.len() == 1);
}

#[test]
fn a_request_without_an_answer_is_made_elsewhere() {
    let all = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let me = all
        .iter()
        .find(|p| matches!(first(&layout, 0, p, &BTreeSet::new()), Source::Peer(_)))
        .expect("one");
    let patient = TransferLimits {
        hedge_after: Duration::from_secs(60),
        ..limits()
    };
    let mut transfer = Transfer::new(me.clone(), 1, patient);
    let ask = transfer.next_fetches(&layout, Duration::ZERO).remove(0);
    assert!(transfer
        .next_fetches(&layout, Duration::from_secs(1))
        .is_empty());
    let again = transfer
        .next_fetches(&layout, Duration::from_secs(3))
        .remove(0);
    assert_ne!(ask.source, again.source);
}

#[test]
fn the_window_bounds_what_is_asked_for() {
    let all = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let mut transfer = Transfer::new(all[3].clone(), 100, limits());
    let asked = transfer.next_fetches(&layout, Duration::ZERO);
    assert_eq!(asked.len(), 4);
    transfer.on_chunk(&asked[0], Duration::ZERO);
    let more: Vec<ChunkFetch> = transfer.next_fetches(&layout, Duration::ZERO);
    assert!(more.len() <= 1);
    assert_eq!(transfer.missing_count(), 99);
}

// Chunks come in their order; one that stays far behind the others is held
// back by a slow source.
#[test]
fn a_slow_source_does_not_hold_its_chunks_back() {
    let all = peers(20, 1, 1);
    let layout = Layout::new("m", "r0", all.clone(), TREE);
    let me = all
        .iter()
        .find(|p| (0..100).all(|c| !layout.is_importer(c, p) || c > 60));
    let me = me.unwrap_or(&all[0]).clone();
    let wide = TransferLimits {
        max_pending_chunks: 100,
        ..limits()
    };
    let mut transfer = Transfer::new(me, 100, wide);
    let asked = transfer.next_fetches(&layout, Duration::ZERO);
    let slow = asked
        .iter()
        .find(|f| matches!(f.source, Source::Peer(_)))
        .expect("one")
        .clone();
    for fetch in asked
        .iter()
        .filter(|f| f.chunk != slow.chunk && f.chunk < 90)
    {
        transfer.on_chunk(fetch, Duration::from_millis(100));
    }
    assert!(transfer
        .next_fetches(&layout, Duration::from_millis(200))
        .iter()
        .all(|f| f.chunk != slow.chunk));
    let again = transfer.next_fetches(&layout, Duration::from_millis(300));
    let hedge = again
        .iter()
        .find(|f| f.chunk == slow.chunk)
        .expect("asked elsewhere");
    assert_ne!(hedge.source, slow.source);
    // Never a third time, and a late answer of either does.
    assert!(transfer
        .next_fetches(&layout, Duration::from_millis(900))
        .iter()
        .all(|f| f.chunk != slow.chunk));
    let before = transfer.missing_count();
    transfer.on_chunk(&slow, Duration::from_secs(1));
    transfer.on_chunk(hedge, Duration::from_secs(1));
    assert_eq!(transfer.missing_count(), before - 1);
}

/// Hosts of two regions lack what hosts of a third hold.
#[test]
fn holders_of_another_region_are_asked_by_one_host_of_each_region() {
    let peer = |region: &str, n: usize| Peer {
        region: region.into(),
        zone: format!("{region}-a").as_str().into(),
        name: format!("{region}-{n}").as_str().into(),
    };
    let all: Vec<Peer> = ["north", "central", "south"]
        .iter()
        .flat_map(|region| (0..10).map(move |n| peer(region, n)))
        .collect();
    let holders: Vec<Peer> = (0..5).map(|n| peer("central", n)).collect();
    let layout = Layout::new("m", "central", all.clone(), DistributionPolicy::Tree)
        .with_holders(holders.clone());
    for chunk in 0..40 {
        for region in ["north", "south"] {
            let asking = all.iter().filter(|me| &*me.region == region).filter(|me| {
                let first = layout
                    .sources(chunk, me, &BTreeSet::new())
                    .into_iter()
                    .next();
                matches!(first, Some(Source::Peer(name)) if holders.iter().any(|h| h.name == name))
            });
            assert_eq!(asking.count(), 1, "chunk {chunk} of {region}");
        }
        let near = layout.sources(chunk, &peer("central", 9), &BTreeSet::new());
        assert!(matches!(&near[0], Source::Peer(name) if layout.is_holder(name)));
    }
}
