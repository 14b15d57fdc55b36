use std::collections::BTreeMap;

use rw_coord::unix_ms;
use rw_intent::build_status_report;
use rw_protocol::{EventRecord, HostRecord, Name};
use serde_json::{json, Value};

use super::server::{fail, ok, ApiResponse, OperatorApi};
use crate::control::{collect_reports, fetch_statuses};

/// Timeout for fetching the events of one daemon.
const EVENTS_TIMEOUT_S: u64 = 2;

/// Status of every intent, gathered from all daemons.
pub(super) fn status(api: &OperatorApi) -> ApiResponse {
    let cx = &api.cx;
    let observed = api.runtime.block_on(collect_reports(cx));
    let view = cx.view.read();
    ok(&build_status_report(&view.cfg, &observed, unix_ms()))
}

/// Every daemon with its status.
pub(super) fn hosts(api: &OperatorApi) -> ApiResponse {
    let cx = &api.cx;
    let present: Vec<HostRecord> = cx.view.read().present().cloned().collect();
    let status_by_host = api.runtime.block_on(fetch_statuses(cx, present.clone()));
    let describe = |host: HostRecord| {
        (
            host.name.clone(),
            json!({ "status": status_by_host.get(&host.name), "listed": host }),
        )
    };
    let hosts: BTreeMap<Name, Value> = present.into_iter().map(describe).collect();
    ok(&hosts)
}

/// Events that this daemon recorded after the timestamp `since`.
pub(super) fn events(api: &OperatorApi, since: &str) -> ApiResponse {
    ok(&api.cx.recorder.events(since.parse().unwrap_or(0)))
}

/// Events of all daemons after the timestamp `since`, ordered by timestamp.
pub(super) fn timeline(api: &OperatorApi, since: &str) -> ApiResponse {
    let cx = &api.cx;
    let since: u64 = since.parse().unwrap_or(0);
    let mut records = cx.recorder.events(since);
    let peer_addrs: Vec<Name> = {
        let view = cx.view.read();
        let peers = view.present().filter(|h| h.name != cx.name);
        peers.map(|h| h.operator_addr.clone()).collect()
    };
    for addr in peer_addrs {
        let req = minreq::get(format!("http://{addr}/events?since={since}"))
            .with_timeout(EVENTS_TIMEOUT_S);
        let Ok(res) = req.send() else { continue };
        let events: Vec<EventRecord> = serde_json::from_slice(res.as_bytes()).unwrap_or_default();
        records.extend(events);
    }
    records.sort_by(|a, b| (a.stamp, &a.daemon).cmp(&(b.stamp, &b.daemon)));
    ok(&records)
}

/// Open claims that were made at least `older_ms` milliseconds ago.
pub(super) fn unresolved(api: &OperatorApi, older_ms: &str) -> ApiResponse {
    let older_ms = older_ms.parse().unwrap_or(0);
    match rw_ledger::unresolved_claims(&api.cx.platform, older_ms, unix_ms()) {
        Ok(claims) => ok(&claims),
        Err(err) => fail(503, &format!("{err}; try again")),
    }
}
