//! Anti-entropy: daemons compare their configuration pairwise.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rw_protocol::{Ack, Name, PeerReply, PeerRequest, PushRequest, SyncReply, SyncRequest};

use super::poll::record_applied;
use super::push::relay_updates;
use super::snapshot;
use crate::Context;

/// Generations in one reply; a daemon that is further behind catches up in
/// several exchanges.
const MAX_GENERATIONS: usize = 256;

/// Synchronizes with random daemons, one of this availability zone and one of
/// any, so that updates spread in spite of network partitions and failed daemons.
pub async fn run_sync(cx: Arc<Context>) {
    let ticks = cx
        .timer
        .subscribe(Duration::from_millis(cx.deployment.control.sync_ms));
    while ticks.recv_async().await.is_ok() {
        for addr in select_peers(&cx) {
            sync_with(&cx, &addr).await;
        }
    }
}

fn select_peers(cx: &Context) -> Vec<Name> {
    let view = cx.view.read();
    let others = || view.present().filter(|h| h.name != cx.name);
    let mut rng = rand::rng();
    let same_zone = others()
        .filter(|h| h.zone == cx.daemon.zone)
        .choose(&mut rng);
    let any_zone = others().choose(&mut rng);
    let mut out: Vec<Name> = same_zone
        .into_iter()
        .chain(any_zone)
        .map(|h| h.addr.clone())
        .collect();
    out.dedup();
    if out.is_empty() {
        // If no other daemon is listed, use one from the settings.
        let seeds = cx
            .deployment
            .daemons
            .iter()
            .filter(|(name, _)| **name != cx.name);
        out.extend(seeds.map(|(_, d)| advertised_addr(d)).choose(&mut rng));
    }
    out
}

/// Address at which other daemons reach a daemon of the settings.
fn advertised_addr(daemon: &rw_settings::Daemon) -> Name {
    if daemon.advertise.is_empty() {
        daemon.listen.clone()
    } else {
        Name::from(daemon.advertise.as_str())
    }
}

async fn sync_with(cx: &Arc<Context>, addr: &Name) {
    let req = {
        let view = cx.view.read();
        PeerRequest::Sync(SyncRequest {
            name: cx.name.clone(),
            head: view.cfg.head(),
            list_version: view.list_version,
        })
    };
    let reply = cx.pool.request(addr, &req, cx.peer_timeout()).await;
    if let Ok(PeerReply::Sync(reply)) = reply {
        for snapshot in reply.snapshot {
            snapshot::restore(cx, snapshot);
        }
        let applied = cx.view.apply(reply.generations);
        record_applied(cx, &applied);
        cx.view.apply_listing(reply.listing);
    }
}

/// Replies to a daemon with the configuration and hosts that it lacks.
pub fn handle_sync(cx: &Context, req: &SyncRequest) -> PeerReply {
    let view = cx.view.read();
    let (snapshot, mut generations) = match view.cfg.generations_after(req.head) {
        Some(generations) => (Vec::new(), generations),
        None => (vec![view.cfg.snapshot()], Vec::new()),
    };
    generations.truncate(MAX_GENERATIONS);
    PeerReply::Sync(SyncReply {
        head: view.cfg.head(),
        snapshot,
        generations,
        listing: view.listing_since(req.list_version),
    })
}

/// Applies pushed updates and relays them.
pub fn handle_push(cx: &Arc<Context>, req: PushRequest) -> PeerReply {
    let applied = cx.view.apply(req.generations.clone());
    record_applied(cx, &applied);
    cx.view.apply_listing(req.listing.clone());
    relay_updates(cx, req.generations, req.listing, req.relay);
    PeerReply::Ack(Ack {
        head: cx.view.read().cfg.head(),
    })
}
