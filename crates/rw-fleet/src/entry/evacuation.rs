//! Moves requests away from evacuated availability zones.

use std::sync::Arc;

use rw_coord::uptime;
use rw_protocol::rendezvous_rank;
use rw_routing::is_within_share;

use super::attempt::{self, Failure};
use super::residency::REGION_REASON;
use super::{Call, Entry};
use crate::{BackendServer, PlatformCodec, Snapshot};

/// Why a call is refused that only servers of evacuated zones could serve.
const ZONE_REASON: &str = "every backend server that may serve is in an evacuated zone";

impl<D: PlatformCodec> Entry<D> {
    /// Keeps the servers whose zones get the call. While a zone still gets some requests, it
    /// also gets those that no other server may serve.
    pub(super) fn retain_open_zones(&self, call: &Call, servers: &mut Vec<Arc<BackendServer>>) {
        let snapshot = self.cx.cluster.snapshot();
        if snapshot.evacuations.is_empty() && snapshot.ended_evacuations.is_empty() {
            return;
        }
        let gets_call = |server: &BackendServer| {
            let rank = rendezvous_rank(&call.id, &server.zone);
            is_within_share(rank, self.zone_share(&snapshot, server))
        };
        match servers.iter().any(|server| gets_call(server)) {
            true => servers.retain(|server| gets_call(server)),
            false => servers.retain(|server| self.zone_share(&snapshot, server) > 0.0),
        }
    }

    /// Fails if the server's zone must get no requests since it was selected.
    pub(super) fn check_zone(&self, server: &BackendServer) -> attempt::Result<()> {
        match self.zone_share(&self.cx.cluster.snapshot(), server) > 0.0 {
            true => Ok(()),
            false => Err(Failure::ZoneEvacuated),
        }
    }

    fn zone_share(&self, snapshot: &Snapshot, server: &BackendServer) -> f64 {
        snapshot.zone_share(&server.zone, &self.cx.settings.bounds, uptime())
    }

    /// Why a call is refused although servers of its service are ready, if none of them is
    /// where it may be served. Counts the refusal.
    pub(super) fn placement_refusal(&self, call: &Call) -> Option<&'static str> {
        let mut servers = self.ready_servers(&call.service);
        if servers.is_empty() {
            return None;
        }
        let metrics = self.cx.recorder.metrics();
        self.retain_allowed_regions(call, &mut servers);
        if servers.is_empty() {
            metrics.count_placement_refusal("region");
            return Some(REGION_REASON);
        }
        self.retain_open_zones(call, &mut servers);
        if servers.is_empty() {
            metrics.count_placement_refusal("zone");
            return Some(ZONE_REASON);
        }
        None
    }
}
