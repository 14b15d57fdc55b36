//! Polling of the platform for new configuration and hosts.

use std::sync::Arc;
use std::time::Duration;

use rw_coord::{AppendLog, Result};
use rw_observe::Event;
use rw_platform::HostList;
use rw_protocol::{Generation, HostListing};

use super::push::push_to_zone;
use super::snapshot::{self, SNAPSHOT_INTERVAL};
use crate::Context;

/// Polls the table service and the host list while this daemon is one of its
/// availability zone's pollers, and pushes updates to the zone.
pub async fn run_poller(cx: Arc<Context>) {
    let ticks = cx
        .timer
        .subscribe(Duration::from_millis(cx.deployment.control.poll_ms));
    let mut is_first = true;
    while ticks.recv_async().await.is_ok() {
        // A daemon that found the table unreachable polls until it is reachable again.
        if is_first || !cx.is_table_reachable() || is_poller(&cx) {
            is_first = false;
            poll_once(&cx).await;
        }
    }
}

fn is_poller(cx: &Context) -> bool {
    let count = cx.deployment.control.pollers_per_zone.get() as usize;
    let zone = &cx.daemon.zone;
    let view = cx.view.read();
    view.is_assigned(&format!("poll/{zone}"), &cx.name, count, |h| {
        h.zone == *zone
    })
}

async fn poll_once(cx: &Arc<Context>) {
    let task_cx = cx.clone();
    let read = tokio::task::spawn_blocking(move || read(&task_cx)).await;
    let Ok((gens, listing)) = read else { return };
    record_table_reachability(cx, gens.is_ok());
    let gens = cx.view.apply(gens.unwrap_or_default());
    let listing = cx
        .view
        .apply_listing(listing.unwrap_or_else(|| empty_listing(cx)));
    record_applied(cx, &gens);
    if !gens.is_empty() || !listing.hosts.is_empty() {
        push_to_zone(cx, gens, listing).await;
    }
}

fn read(cx: &Context) -> (Result<Vec<Generation>>, Option<HostListing>) {
    let (head, list_version) = {
        let view = cx.view.read();
        (view.cfg.head(), view.list_version)
    };
    (read_log(cx, head), cx.platform.hosts(list_version).ok())
}

fn read_log(cx: &Context, head: u64) -> Result<Vec<Generation>> {
    let log = AppendLog::new(cx.platform.clone(), "config");
    let log_head = log.head()?;
    if log_head <= head {
        return Ok(Vec::new());
    }
    let from = match log_head - head > SNAPSHOT_INTERVAL {
        true => restore_newest_snapshot(cx)?.max(head),
        false => head,
    };
    let entries = log.entries_after(from)?;
    let parse = |(number, text): (u64, String)| {
        serde_json::from_str(&text)
            .map_err(|err| rw_coord::Error::Corrupt(number.to_string(), err.to_string()))
    };
    entries.into_iter().map(parse).collect()
}

// A daemon that is far behind restores the newest snapshot and then only applies
// the generations after it.
fn restore_newest_snapshot(cx: &Context) -> Result<u64> {
    if let Some(snapshot) = snapshot::read(&cx.platform)? {
        snapshot::restore(cx, snapshot);
    }
    Ok(cx.view.read().cfg.head())
}

fn empty_listing(cx: &Context) -> HostListing {
    let version = cx.view.read().list_version;
    HostListing {
        since: version,
        version,
        hosts: Vec::new(),
    }
}

fn record_table_reachability(cx: &Context, reachable: bool) {
    if cx.set_table_reachable(reachable) {
        let event = if reachable {
            Event::TableReachable
        } else {
            Event::TableUnreachable
        };
        cx.recorder.emit(event, "");
    }
}

/// Emits an event for each applied generation and updates the head metric.
pub(super) fn record_applied(cx: &Context, gens: &[Generation]) {
    for gen in gens {
        let detail = format!("generation={} plan={}", gen.number, gen.plan_id);
        cx.recorder.emit(Event::GenerationApplied, &detail);
    }
    // A snapshot advances the head without individual generations.
    let head = cx.view.read().cfg.head();
    cx.recorder.metrics().generation.set(head as i64);
}
