//! Status streams from the hosts to which an entry dispatches.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::{
    rendezvous_rank, HostRecord, HostState, Name, PeerReply, PeerRequest, Role, WatchRequest,
};

use super::dispatcher::{Dispatcher, DispatcherMessage};
use crate::Context;

const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Keeps a status stream open to each host of this entry's subset and forwards
/// the updates to the dispatcher.
pub async fn track_host_status(cx: Arc<Context>, dispatcher: Dispatcher) {
    let view_changed = cx.view.subscribe();
    let mut streams: BTreeMap<Name, tokio::task::JoinHandle<()>> = BTreeMap::new();
    loop {
        let subset = subset(&cx);
        streams.retain(|name, task| {
            let is_in_subset = subset.iter().any(|h| h.name == *name);
            if !is_in_subset {
                task.abort();
                dispatcher.send(DispatcherMessage::Unreachable(name.clone()));
            }
            is_in_subset
        });
        for host in subset {
            let (cx, dispatcher) = (cx.clone(), dispatcher.clone());
            let name = host.name.clone();
            streams
                .entry(name)
                .or_insert_with(|| tokio::spawn(keep_stream_open(cx, dispatcher, host)));
        }
        if view_changed.recv_async().await.is_err() {
            return;
        }
    }
}

// The hosts of each service that this entry connects to: first those of its own
// availability zone, then others in rendezvous hashing order, so that different
// entries use different hosts outside their zone.
fn subset(cx: &Context) -> Vec<HostRecord> {
    let limit = cx.deployment.limits.subset.get() as usize;
    let view = cx.view.read();
    let mut services: BTreeMap<&Name, Vec<&HostRecord>> = BTreeMap::new();
    for host in view.live(Role::Host) {
        services.entry(&host.service).or_default().push(host);
    }
    let mut out = Vec::new();
    for hosts in services.values_mut() {
        hosts.sort_by_key(|h| (h.zone != cx.daemon.zone, rendezvous_rank(&cx.name, &h.name)));
        out.extend(hosts.iter().take(limit).map(|h| (*h).clone()));
    }
    out
}

async fn keep_stream_open(cx: Arc<Context>, dispatcher: Dispatcher, host: HostRecord) {
    loop {
        receive_updates(&cx, &dispatcher, &host).await;
        dispatcher.send(DispatcherMessage::Unreachable(host.name.clone()));
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn receive_updates(cx: &Context, dispatcher: &Dispatcher, host: &HostRecord) {
    let addr = cx
        .view
        .read()
        .addr(&host.name)
        .unwrap_or_else(|| host.addr.clone());
    let same_zone = host.zone == cx.daemon.zone;
    let req = PeerRequest::Watch(WatchRequest {
        name: cx.name.clone(),
    });
    let Ok(mut rx) = cx.pool.open(&addr, &req).await else {
        return;
    };
    while let Ok(Some(PeerReply::Status(mut status))) = rx.next().await {
        // The host list usually lags behind the status of a host. If the list is
        // the first to show that the host is leaving, the list takes precedence.
        let listed = cx.view.read().hosts.get(&host.name).map(|h| h.state);
        status.leaving |= listed != Some(HostState::Live);
        // Another host may have taken over the address.
        if status.host != host.name {
            return;
        }
        dispatcher.send(DispatcherMessage::Status(status, same_zone));
    }
}
