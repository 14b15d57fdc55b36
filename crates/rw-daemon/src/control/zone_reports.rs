//! Collects status reports from all availability zones: one daemon of each zone
//! reports for the zone, so that no daemon queries all others.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::Arc;

use rand::seq::SliceRandom;
use rw_coord::unix_ms;
use rw_intent::{build_zone_report, ClusterObservation};
use rw_protocol::{
    HostRecord, HostStatus, Name, PeerReply, PeerRequest, ReportRequest, WatchRequest, ZoneReport,
};
use tokio::task::JoinSet;

use crate::Context;

const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Daemons of a zone that are queried for its report before the zone counts as
/// unreachable.
const MAX_ZONE_ATTEMPTS: usize = 3;
/// Time after the deadline of its call at which an open claim counts as unresolved; clocks
/// of machines differ by less.
const UNRESOLVED_GRACE_MS: u64 = 5_000;

/// Requests the report of every zone and counts unresolved claims in the table.
pub async fn collect_reports(cx: &Arc<Context>) -> ClusterObservation {
    let zones: BTreeSet<Name> = cx.view.read().present().map(|h| h.zone.clone()).collect();
    let mut observed = ClusterObservation::default();
    let requests = zones
        .into_iter()
        .map(|zone| fetch_zone_report(cx.clone(), zone));
    for (zone, report) in run_concurrently(requests).await {
        match report {
            Some(report) => observed.zones.push(report),
            None => observed
                .unreachable
                .extend(zone_members(cx, &zone).into_iter().map(|h| h.name)),
        }
    }
    let task_cx = cx.clone();
    let now_ms = unix_ms();
    let unresolved_claims = tokio::task::spawn_blocking(move || {
        let min_age_ms = task_cx.deployment.limits.default_deadline_ms + UNRESOLVED_GRACE_MS;
        rw_ledger::unresolved_claims(&task_cx.platform, min_age_ms, now_ms)
    });
    if let Ok(Ok(claims)) = unresolved_claims.await {
        observed.table_reachable = true;
        let overdue = claims.iter().filter(|claim| {
            let age_ms = now_ms.saturating_sub(claim.at_ms);
            claim
                .timeout_ms
                .is_none_or(|ms| age_ms >= ms.saturating_add(UNRESOLVED_GRACE_MS))
        });
        observed.unresolved = overdue.count() as u64;
    }
    observed
}

// Queries the zone's daemons in random order, to spread the work over the zone.
async fn fetch_zone_report(cx: Arc<Context>, zone: Name) -> (Name, Option<ZoneReport>) {
    if zone == cx.daemon.zone {
        return (zone, Some(own_zone_report(&cx).await));
    }
    let mut hosts = zone_members(&cx, &zone);
    hosts.shuffle(&mut rand::rng());
    for host in hosts.into_iter().take(MAX_ZONE_ATTEMPTS) {
        let req = PeerRequest::Report(ReportRequest { zone: zone.clone() });
        // Twice the usual timeout, because the daemon itself waits for members that
        // do not answer.
        let timeout = cx.peer_timeout() * 2;
        if let Ok(PeerReply::Report(report)) = cx.pool.request(&host.addr, &req, timeout).await {
            return (zone, Some(report));
        }
    }
    (zone, None)
}

/// Report of this daemon's own zone.
pub async fn own_zone_report(cx: &Arc<Context>) -> ZoneReport {
    let zone = cx.daemon.zone.clone();
    let hosts = zone_members(cx, &zone);
    let names: Vec<Name> = hosts.iter().map(|h| h.name.clone()).collect();
    let statuses = fetch_statuses(cx, hosts).await;
    build_zone_report(&cx.view.read().cfg, &zone, &names, &statuses)
}

fn zone_members(cx: &Context, zone: &Name) -> Vec<HostRecord> {
    let view = cx.view.read();
    view.present()
        .filter(|h| h.zone == *zone)
        .cloned()
        .collect()
}

/// Fetches the status of each host; those that do not answer are left out.
pub async fn fetch_statuses(
    cx: &Arc<Context>,
    hosts: Vec<HostRecord>,
) -> BTreeMap<Name, HostStatus> {
    let fetch = |host: HostRecord| {
        let cx = cx.clone();
        async move { (host.name.clone(), fetch_status(&cx, &host.addr).await) }
    };
    let answers = run_concurrently(hosts.into_iter().map(fetch)).await;
    let answered = answers
        .into_iter()
        .filter_map(|(name, status)| Some((name, status?)));
    answered.collect()
}

// Runs up to `MAX_CONCURRENT_REQUESTS` futures at a time. One that panics has no
// result.
async fn run_concurrently<T: Send + 'static, F: Future<Output = T> + Send + 'static>(
    futures: impl Iterator<Item = F>,
) -> Vec<T> {
    let mut out = Vec::new();
    let mut in_progress = JoinSet::new();
    for future in futures {
        if in_progress.len() >= MAX_CONCURRENT_REQUESTS {
            out.extend(in_progress.join_next().await.and_then(Result::ok));
        }
        in_progress.spawn(future);
    }
    while let Some(result) = in_progress.join_next().await {
        out.extend(result.ok());
    }
    out
}

/// Fetches the status of one daemon; `None` if it does not answer.
pub async fn fetch_status(cx: &Context, addr: &Name) -> Option<HostStatus> {
    let req = PeerRequest::Watch(WatchRequest {
        name: cx.name.clone(),
    });
    match cx.pool.request(addr, &req, cx.peer_timeout()).await {
        Ok(PeerReply::Status(status)) => Some(status),
        _ => None,
    }
}
