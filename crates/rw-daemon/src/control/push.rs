use std::collections::BTreeMap;
use std::sync::Arc;

use rw_protocol::{Generation, HostListing, Name, PeerRequest, PushRequest};

use super::poll::record_applied;
use crate::Context;

/// Daemons that one daemon passes news on to.
const FANOUT: usize = 4;

/// Pushes news to every daemon of this availability zone, along a tree.
pub async fn push_to_zone(cx: &Arc<Context>, gens: Vec<Generation>, listing: HostListing) {
    let relay: Vec<Name> = {
        let view = cx.shared.read();
        let zone = view
            .present()
            .filter(|h| h.zone == cx.daemon.zone && h.name != cx.name);
        zone.map(|h| h.name.clone()).collect()
    };
    relay_updates(cx, gens, listing, relay);
}

/// Takes a generation that was confirmed here into force and pushes it to every
/// availability zone, so that nobody waits for the pollers.
pub async fn broadcast_generation(cx: &Arc<Context>, gen: Generation) {
    let new = cx.shared.apply(vec![gen]);
    record_applied(cx, &new);
    let (zones, version) = {
        let view = cx.shared.read();
        let mut zones: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for host in view.present().filter(|h| h.name != cx.name) {
            zones
                .entry(host.zone.clone())
                .or_default()
                .push(host.name.clone());
        }
        (zones, view.list_version)
    };
    let listing = HostListing {
        since: version,
        version,
        hosts: Vec::new(),
    };
    for relay in zones.into_values() {
        relay_updates(cx, new.clone(), listing.clone(), relay);
    }
}

/// Passes news on to the first daemon of each part of `relay`, which passes
/// them on to the rest of its part. What is lost on the way is made up for by
/// `sync`.
pub(super) fn relay_updates(
    cx: &Arc<Context>,
    gens: Vec<Generation>,
    listing: HostListing,
    relay: Vec<Name>,
) {
    if relay.is_empty() {
        return;
    }
    let part = relay.len().div_ceil(FANOUT);
    for names in relay.chunks(part) {
        let Some(addr) = cx.shared.read().addr(&names[0]) else {
            continue;
        };
        let req = PeerRequest::Push(PushRequest {
            generations: gens.clone(),
            listing: listing.clone(),
            relay: names[1..].to_vec(),
        });
        let (cx, rest) = (cx.clone(), names[1..].to_vec());
        let (gens, listing) = (gens.clone(), listing.clone());
        tokio::spawn(async move {
            let sent = cx.pool.ask(&addr, &req, cx.peer_timeout()).await;
            // The part of an unreachable daemon is taken over.
            if sent.is_err() {
                relay_updates(&cx, gens, listing, rest);
            }
        });
    }
}
