//! Gathers the outcome of everything: each availability zone reports on itself
//! through one of its daemons, so that no daemon asks all others.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::Arc;

use rand::seq::SliceRandom;
use rw_intent::{report_zone, Observed};
use rw_protocol::{
    HostEntry, HostStatus, Name, PeerReply, PeerRequest, ReportRequest, WatchRequest, ZoneReport,
};
use tokio::task::JoinSet;

use crate::Context;

/// Exchanges in progress at once.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Daemons of a zone that are asked for its report before it counts as cut off.
const MAX_ZONE_ATTEMPTS: usize = 3;
/// Age from which an open claim counts as unresolved.
const UNRESOLVED_AFTER_MS: u64 = 30_000;

/// Asks every zone for its report, and the table for what is unresolved.
pub async fn collect_reports(cx: &Arc<Context>) -> Observed {
    let zones: BTreeSet<Name> = cx.shared.read().present().map(|h| h.zone.clone()).collect();
    let mut seen = Observed::default();
    let asks = zones
        .into_iter()
        .map(|zone| fetch_zone_report(cx.clone(), zone));
    for (zone, report) in run_concurrently(asks).await {
        match report {
            Some(report) => seen.zones.push(report),
            None => seen
                .unreachable
                .extend(members(cx, &zone).into_iter().map(|h| h.name)),
        }
    }
    let counter = cx.clone();
    let count = tokio::task::spawn_blocking(move || {
        rw_ledger::unresolved(&counter.platform, UNRESOLVED_AFTER_MS)
    });
    if let Ok(Ok(claims)) = count.await {
        seen.table_reachable = true;
        seen.unresolved = claims.len() as u64;
    }
    seen
}

// Another daemon is picked each time, which spreads the work over the zone.
async fn fetch_zone_report(cx: Arc<Context>, zone: Name) -> (Name, Option<ZoneReport>) {
    if zone == cx.daemon.zone {
        return (zone, Some(own_zone_report(&cx).await));
    }
    let mut hosts = members(&cx, &zone);
    hosts.shuffle(&mut rand::rng());
    for host in hosts.into_iter().take(MAX_ZONE_ATTEMPTS) {
        let req = PeerRequest::Report(ReportRequest { zone: zone.clone() });
        // The zone's daemon waits for silent members itself.
        let limit = cx.peer_timeout() * 2;
        if let Ok(PeerReply::Report(report)) = cx.pool.ask(&host.addr, &req, limit).await {
            return (zone, Some(report));
        }
    }
    (zone, None)
}

/// The report of this daemon's own zone.
pub async fn own_zone_report(cx: &Arc<Context>) -> ZoneReport {
    let zone = cx.daemon.zone.clone();
    let hosts = members(cx, &zone);
    let names: Vec<Name> = hosts.iter().map(|h| h.name.clone()).collect();
    let seen = fetch_statuses(cx, hosts).await;
    report_zone(&cx.shared.read().cfg, &zone, &names, &seen)
}

fn members(cx: &Context, zone: &Name) -> Vec<HostEntry> {
    let view = cx.shared.read();
    view.present()
        .filter(|h| h.zone == *zone)
        .cloned()
        .collect()
}

/// Status of every daemon that answers.
pub async fn fetch_statuses(
    cx: &Arc<Context>,
    hosts: Vec<HostEntry>,
) -> BTreeMap<Name, HostStatus> {
    let ask = |host: HostEntry| {
        let cx = cx.clone();
        async move { (host.name.clone(), fetch_status(&cx, &host.addr).await) }
    };
    let answers = run_concurrently(hosts.into_iter().map(ask)).await;
    let found = answers
        .into_iter()
        .filter_map(|(name, status)| Some((name, status?)));
    found.collect()
}

// Runs a few at once; one that panics leaves no result.
async fn run_concurrently<T: Send + 'static, F: Future<Output = T> + Send + 'static>(
    work: impl Iterator<Item = F>,
) -> Vec<T> {
    let mut out = Vec::new();
    let mut running = JoinSet::new();
    for item in work {
        if running.len() >= MAX_CONCURRENT_REQUESTS {
            out.extend(running.join_next().await.and_then(Result::ok));
        }
        running.spawn(item);
    }
    while let Some(done) = running.join_next().await {
        out.extend(done.ok());
    }
    out
}

/// The status that a daemon reports.
pub async fn fetch_status(cx: &Context, addr: &Name) -> Option<HostStatus> {
    let req = PeerRequest::Watch(WatchRequest {
        name: cx.name.clone(),
    });
    match cx.pool.ask(addr, &req, cx.peer_timeout()).await {
        Ok(PeerReply::Status(status)) => Some(status),
        _ => None,
    }
}
