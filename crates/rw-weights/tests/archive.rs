//! Which hosts fetch chunks from the archive, and when they turn to other sources.

use std::collections::BTreeSet;
use std::time::Duration;

use rw_weights::{DistributionPolicy, Layout, Peer, Source, Transfer, TransferLimits};

const CHUNKS: u32 = 40;
const SECOND: Duration = Duration::from_secs(1);

fn peer(region: &str, n: usize) -> Peer {
    Peer {
        region: region.into(),
        zone: format!("{region}-a").as_str().into(),
        name: format!("{region}-{n}").as_str().into(),
    }
}

fn hosts() -> Vec<Peer> {
    let regions = ["north", "central", "south"];
    let of_region = |region: &&'static str| {
        let region = *region;
        (0..10).map(move |n| peer(region, n))
    };
    regions.iter().flat_map(of_region).collect()
}

fn layout(archived: impl IntoIterator<Item = u32>) -> Layout {
    Layout::new("m", "north", hosts(), DistributionPolicy::Tree)
        .with_archived(archived.into_iter().collect())
}

fn limits() -> TransferLimits {
    TransferLimits {
        max_pending_chunks: 12,
        chunk_timeout: SECOND,
        hedge_after: SECOND,
        initial_backoff: SECOND,
    }
}

#[test]
fn one_host_of_each_region_fetches_an_archived_chunk() {
    let layout = layout(0..CHUNKS / 2);
    for chunk in 0..CHUNKS {
        for region in ["north", "central", "south"] {
            let from_archive = hosts().into_iter().filter(|host| {
                let sources = layout.sources(chunk, host, &BTreeSet::new());
                &*host.region == region && sources[0] == Source::Archive
            });
            let expected = usize::from(chunk < CHUNKS / 2);
            assert_eq!(from_archive.count(), expected, "chunk {chunk} of {region}");
        }
    }
}

#[test]
fn host_of_the_same_region_that_holds_the_chunk_comes_first() {
    let holder = peer("central", 3);
    let layout = layout(0..CHUNKS).with_holders(vec![holder.clone()]);
    for chunk in 0..CHUNKS {
        for host in hosts().into_iter().filter(|h| h.name != holder.name) {
            let first = layout.sources(chunk, &host, &BTreeSet::new())[0].clone();
            if host.region == holder.region {
                assert_eq!(first, Source::Peer(holder.name.clone()));
            } else {
                assert_ne!(first, Source::Peer(holder.name.clone()));
            }
        }
    }
}

#[test]
fn host_whose_sources_all_failed_turns_to_the_archive() {
    let layout = layout(0..CHUNKS);
    let host = peer("south", 7);
    let avoid: BTreeSet<_> = hosts().into_iter().map(|h| h.name).collect();
    for chunk in 0..CHUNKS {
        assert_eq!(
            layout.sources(chunk, &host, &avoid),
            [Source::Archive, Source::Origin]
        );
    }
}

fn importer(layout: &Layout) -> Peer {
    let mut hosts = hosts().into_iter();
    hosts
        .find(|host| layout.is_importer(0, host) && &*host.region == "north")
        .expect("chunk 0 has an importer")
}

#[test]
fn object_that_is_gone_is_fetched_from_the_origin() {
    let layout = layout(0..CHUNKS);
    let mut transfer = Transfer::new(importer(&layout), CHUNKS, limits());
    let fetch = transfer.next_fetches(&layout, Duration::ZERO)[0].clone();
    assert_eq!((fetch.chunk, &fetch.source), (0, &Source::Archive));
    transfer.on_not_held(&fetch);
    let next = transfer.next_fetches(&layout, SECOND / 10);
    let again = next.iter().find(|f| f.chunk == 0).expect("another source");
    assert_eq!(again.source, Source::Origin);
}

#[test]
fn archive_that_failed_is_asked_again_after_its_backoff() {
    let layout = layout(0..CHUNKS);
    let mut transfer = Transfer::new(importer(&layout), CHUNKS, limits());
    let mut fetch_and_fail = |now: Duration| -> BTreeSet<Source> {
        let fetches = transfer.next_fetches(&layout, now);
        for fetch in &fetches {
            transfer.on_failed(fetch, now);
        }
        fetches.into_iter().map(|fetch| fetch.source).collect()
    };
    assert!(fetch_and_fail(Duration::ZERO).contains(&Source::Archive));
    assert!(!fetch_and_fail(SECOND / 2).contains(&Source::Archive));
    assert!(fetch_and_fail(SECOND * 2).contains(&Source::Archive));
}
