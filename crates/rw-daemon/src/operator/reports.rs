use std::collections::BTreeMap;

use rw_coord::unix_ms;
use rw_intent::build_status_report;
use rw_protocol::{EventRecord, HostRecord, Name};
use serde_json::{json, Value};

use super::server::{fail, ok, Answer, Operators};
use crate::control::{collect_reports, fetch_statuses};

/// Time limit for the events of one daemon.
const EVENTS_TIMEOUT_S: u64 = 2;

/// Outcome of every intent, over all daemons.
pub(super) fn status(operators: &Operators) -> Answer {
    let cx = &operators.cx;
    let seen = operators.handle.block_on(collect_reports(cx));
    let view = cx.shared.read();
    ok(&build_status_report(&view.cfg, &seen, unix_ms()))
}

/// Every daemon with what it serves.
pub(super) fn hosts(operators: &Operators) -> Answer {
    let cx = &operators.cx;
    let listed: Vec<HostRecord> = cx.shared.read().present().cloned().collect();
    let seen = operators
        .handle
        .block_on(fetch_statuses(cx, listed.clone()));
    let describe = |host: HostRecord| {
        (
            host.name.clone(),
            json!({ "status": seen.get(&host.name), "listed": host }),
        )
    };
    let hosts: BTreeMap<Name, Value> = listed.into_iter().map(describe).collect();
    ok(&hosts)
}

/// Events of this daemon.
pub(super) fn events(operators: &Operators, since: &str) -> Answer {
    ok(&operators.cx.recorder.events(since.parse().unwrap_or(0)))
}

/// Events of every daemon in one order.
pub(super) fn timeline(operators: &Operators, since: &str) -> Answer {
    let cx = &operators.cx;
    let since: u64 = since.parse().unwrap_or(0);
    let mut all = cx.recorder.events(since);
    let others: Vec<Name> = {
        let view = cx.shared.read();
        let others = view.present().filter(|h| h.name != cx.name);
        others.map(|h| h.operator_addr.clone()).collect()
    };
    for addr in others {
        let req = minreq::get(format!("http://{addr}/events?since={since}"))
            .with_timeout(EVENTS_TIMEOUT_S);
        let Ok(res) = req.send() else { continue };
        let events: Vec<EventRecord> = serde_json::from_slice(res.as_bytes()).unwrap_or_default();
        all.extend(events);
    }
    all.sort_by(|a, b| (a.stamp, &a.daemon).cmp(&(b.stamp, &b.daemon)));
    ok(&all)
}

/// Claims whose end is not known.
pub(super) fn unresolved(operators: &Operators, older_ms: &str) -> Answer {
    let older_ms = older_ms.parse().unwrap_or(0);
    match rw_ledger::unresolved_claims(&operators.cx.platform, older_ms) {
        Ok(claims) => ok(&claims),
        Err(err) => fail(503, &format!("{err}; try again")),
    }
}
