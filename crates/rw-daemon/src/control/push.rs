//! Distribution of updates to other daemons along relay trees.

use std::collections::BTreeMap;
use std::sync::Arc;

use rw_protocol::{Generation, HostListing, Name, PeerRequest, PushRequest};

use super::poll::record_applied;
use crate::Context;

/// Daemons to which one daemon relays an update.
const FANOUT: usize = 4;

/// Pushes an update to every daemon of this availability zone.
pub async fn push_to_zone(cx: &Arc<Context>, gens: Vec<Generation>, listing: HostListing) {
    let recipients: Vec<Name> = {
        let view = cx.view.read();
        let zone_members = view
            .present()
            .filter(|h| h.zone == cx.daemon.zone && h.name != cx.name);
        zone_members.map(|h| h.name.clone()).collect()
    };
    relay_updates(cx, gens, listing, recipients);
}

/// Applies a generation that was confirmed at this daemon and pushes it to every
/// availability zone, so that no zone has to wait for its pollers.
pub async fn broadcast_generation(cx: &Arc<Context>, gen: Generation) {
    let applied = cx.view.apply(vec![gen]);
    record_applied(cx, &applied);
    let (zones, version) = {
        let view = cx.view.read();
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
    for recipients in zones.into_values() {
        relay_updates(cx, applied.clone(), listing.clone(), recipients);
    }
}

/// Splits `recipients` into parts and sends the update to the first daemon of each,
/// which relays it to the rest of its part. Lost updates are recovered by [`run_sync`](super::run_sync).
pub(super) fn relay_updates(
    cx: &Arc<Context>,
    gens: Vec<Generation>,
    listing: HostListing,
    recipients: Vec<Name>,
) {
    if recipients.is_empty() {
        return;
    }
    let part_len = recipients.len().div_ceil(FANOUT);
    for part in recipients.chunks(part_len) {
        let Some(addr) = cx.view.read().addr(&part[0]) else {
            continue;
        };
        let req = PeerRequest::Push(PushRequest {
            generations: gens.clone(),
            listing: listing.clone(),
            relay: part[1..].to_vec(),
        });
        let (cx, rest) = (cx.clone(), part[1..].to_vec());
        let (gens, listing) = (gens.clone(), listing.clone());
        tokio::spawn(async move {
            let result = cx.pool.request(&addr, &req, cx.peer_timeout()).await;
            // If that daemon is unreachable, this one relays to its part.
            if result.is_err() {
                relay_updates(&cx, gens, listing, rest);
            }
        });
    }
}
