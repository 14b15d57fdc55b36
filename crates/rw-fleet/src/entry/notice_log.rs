//! What backend servers have said about themselves, by server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rw_protocol::Name;
use rw_routing::{ServerAdmission, ServerNotices};

use super::ServerNotice;
use crate::BackendServer;

/// Maximum number of servers whose notices are kept; those that said first that they
/// are leaving are dropped first.
const MAX_SERVERS: usize = 2000;

/// Notices of each server, for its current lifetime.
#[derive(Debug, Default)]
pub(super) struct NoticeLog {
    servers: BTreeMap<Name, LifetimeNotices>,
}

#[derive(Debug)]
struct LifetimeNotices {
    started_ms: u64,
    notices: ServerNotices,
}

impl NoticeLog {
    /// Records a notice. Returns whether it is the first with which the server says
    /// that it is leaving.
    pub(super) fn record(
        &mut self,
        server: &BackendServer,
        notice: &ServerNotice,
        now: Duration,
    ) -> bool {
        let entry = self.servers.entry(server.id.clone());
        let current = entry.or_insert_with(|| LifetimeNotices {
            started_ms: server.started_ms,
            notices: ServerNotices::default(),
        });
        if current.started_ms != server.started_ms {
            current.started_ms = server.started_ms;
            current.notices = ServerNotices::default();
        }
        let first = notice.leaving && current.notices.leaving_since().is_none();
        if notice.leaving {
            current.notices.on_leaving(now);
        }
        if let Some(delay) = notice.retry_after {
            current.notices.on_retry_after(delay, now);
        }
        self.prune();
        first
    }

    /// The servers that may get a request now; those that are leaving only if there
    /// are no others.
    pub(super) fn admitted(
        &self,
        mut servers: Vec<Arc<BackendServer>>,
        drain: Duration,
        now: Duration,
    ) -> Vec<Arc<BackendServer>> {
        if self.servers.is_empty() {
            return servers;
        }
        let admission = |server: &Arc<BackendServer>| match self.notices(server) {
            Some(notices) => notices.admission(drain, now),
            None => ServerAdmission::Open,
        };
        if servers
            .iter()
            .any(|s| admission(s) == ServerAdmission::Open)
        {
            servers.retain(|s| admission(s) == ServerAdmission::Open);
        } else {
            servers.retain(|s| admission(s) == ServerAdmission::LastResort);
        }
        servers
    }

    /// Time until the first of the servers wants requests again, if none of them does
    /// now and at least one will.
    pub(super) fn shortest_pause<'a>(
        &self,
        servers: impl Iterator<Item = &'a Arc<BackendServer>>,
        now: Duration,
    ) -> Option<Duration> {
        let pauses = servers.filter_map(|server| match self.notices(server) {
            Some(notices) => notices.remaining_pause(now),
            None => Some(Duration::ZERO),
        });
        pauses.min().filter(|pause| !pause.is_zero())
    }

    fn notices(&self, server: &BackendServer) -> Option<&ServerNotices> {
        let current = self.servers.get(&server.id)?;
        (current.started_ms == server.started_ms).then_some(&current.notices)
    }

    fn prune(&mut self) {
        if self.servers.len() <= MAX_SERVERS {
            return;
        }
        let oldest = self
            .servers
            .iter()
            .min_by_key(|(_, current)| current.notices.leaving_since().unwrap_or_default());
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.servers.remove(&id);
        }
    }
}
