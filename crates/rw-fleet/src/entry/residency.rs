//! Keeps calls in the regions that their route and team allow.

use std::sync::Arc;

use http::header::HOST;
use rw_protocol::Name;
use rw_routing::allows_region;

use super::attempt::{self, Failure};
use super::request::{header_text, without_port};
use super::{Call, Entry};
use crate::{BackendServer, Configuration, PlatformCodec};

/// Why a call is refused that servers of other regions could serve.
pub(super) const REGION_REASON: &str = "no backend server in the allowed regions";

impl<D: PlatformCodec> Entry<D> {
    /// Keeps the servers in regions that the call's configuration and the newest one allow.
    pub(super) fn retain_allowed_regions(
        &self,
        call: &Call,
        servers: &mut Vec<Arc<BackendServer>>,
    ) {
        let newest = self.cx.cluster.snapshot().cfg.clone();
        if has_allowed_regions(call, newest.as_deref()) {
            servers.retain(|server| self.is_region_allowed(call, newest.as_deref(), server));
        }
    }

    /// Fails if the regions were narrowed after the server was selected.
    pub(super) fn check_region(&self, call: &Call, server: &BackendServer) -> attempt::Result<()> {
        let newest = self.cx.cluster.snapshot().cfg.clone();
        match self.is_region_allowed(call, newest.as_deref(), server) {
            true => Ok(()),
            false => Err(Failure::RegionNotAllowed),
        }
    }

    fn is_region_allowed(
        &self,
        call: &Call,
        newest: Option<&Configuration>,
        server: &BackendServer,
    ) -> bool {
        let region = self.cx.settings.region_of(&server.zone);
        allows_region(region_lists(call, newest), &region)
    }
}

fn has_allowed_regions(call: &Call, newest: Option<&Configuration>) -> bool {
    region_lists(call, newest).any(|list| !list.is_empty())
}

// Lists of the route and the team, in the call's configuration and in the newest one.
fn region_lists<'a>(
    call: &'a Call,
    newest: Option<&'a Configuration>,
) -> impl Iterator<Item = &'a [Name]> {
    let newest = newest.filter(|cfg| cfg.version != call.cfg.version);
    let newest_route = newest.and_then(|cfg| {
        let host = header_text(&call.headers, &HOST).unwrap_or_default();
        cfg.find_route(without_port(host), call.uri.path())
    });
    let routes = [Some(&call.route), newest_route].into_iter().flatten();
    let of_routes = routes.map(|route| &route.allowed_regions[..]);
    let teams = [Some(&*call.cfg), newest].into_iter().flatten();
    let of_teams = teams.filter_map(|cfg| {
        let name = call.team.as_ref()?;
        let team = cfg.teams.iter().flatten().find(|team| team.name == *name)?;
        Some(&team.allowed_regions[..])
    });
    of_routes.chain(of_teams)
}
