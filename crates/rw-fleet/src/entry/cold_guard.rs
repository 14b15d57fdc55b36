//! Keeps the requests to cold servers within what they tolerate.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::{rendezvous_rank, Name};
use rw_routing::{cold_quota, ColdShare};

use super::Entry;
use crate::limit_exchange::SendPermit;
use crate::{BackendServer, ColdStart, PlatformCodec, Snapshot};

/// Time within which a request to a cold server has to be sent; the window of the share
/// allows for it.
const SEND_TIME: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct ServerState {
    share: ColdShare,
    // Until when the server is cold by its own responses, in uptime.
    cold_until: Duration,
}

/// Requests that this entry has sent to servers that may be cold. Times are machine uptimes.
#[derive(Debug, Default)]
pub(super) struct ColdGuard {
    servers: Mutex<HashMap<Name, ServerState>>,
}

impl ColdGuard {
    fn servers(&self) -> MutexGuard<'_, HashMap<Name, ServerState>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn cold_start(snapshot: &Snapshot, server: &BackendServer) -> Option<ColdStart> {
    let cfg = snapshot.cfg.as_ref()?;
    cfg.service(&server.service)?.cold_start
}

impl<D: PlatformCodec> Entry<D> {
    /// Keeps the servers that are not cold, or of whose share this entry has something
    /// left. Returns the time until the first of the others gets a request again.
    pub(super) fn retain_within_cold_share(
        &self,
        servers: &mut Vec<Arc<BackendServer>>,
    ) -> Option<Duration> {
        let snapshot = self.cx.cluster.snapshot();
        let mut shortest = None;
        servers.retain(|server| {
            let wait = self.cold_wait(&snapshot, server);
            if !wait.is_zero() {
                shortest = Some(shortest.map_or(wait, |shortest: Duration| shortest.min(wait)));
            }
            wait.is_zero()
        });
        shortest
    }

    /// Takes one request of this entry's share of a server, if it is cold. Returns the time
    /// until the next one if the share is used up.
    pub(super) fn take_cold_share(
        &self,
        server: &BackendServer,
        permit: SendPermit,
    ) -> std::result::Result<SendPermit, Duration> {
        let snapshot = self.cx.cluster.snapshot();
        if cold_start(&snapshot, server).is_none() {
            return Ok(permit);
        }
        let wait = self.cold_wait(&snapshot, server);
        if !wait.is_zero() {
            self.cx.recorder.metrics().count_permit("cold");
            return Err(wait);
        }
        let now = uptime();
        let mut servers = self.cold_guard.servers();
        if !servers.contains_key(&server.id) {
            servers.retain(|id, _| snapshot.servers.contains_key(id));
        }
        let state = servers.entry(server.id.clone()).or_default();
        state.share.record(now);
        let is_cold = now < state.cold_until.max(snapshot.cold_until(&server.id));
        Ok(match is_cold {
            true => permit.valid_for(SEND_TIME),
            false => permit,
        })
    }

    // Time until this entry may send a request to a server.
    fn cold_wait(&self, snapshot: &Snapshot, server: &BackendServer) -> Duration {
        let Some(cold_start) = cold_start(snapshot, server) else {
            return Duration::ZERO;
        };
        let now = uptime();
        let by_row = snapshot.cold_until(&server.id);
        let servers = self.cold_guard.servers();
        let state = servers.get(&server.id);
        let cold_until = state.map_or(by_row, |state| state.cold_until.max(by_row));
        if now >= cold_until {
            return Duration::ZERO;
        }
        let quota = self.quota(snapshot, server, cold_start);
        let unused = ColdShare::default();
        let share = state.map_or(&unused, |state| &state.share);
        share.time_to_send(quota, now)
    }

    fn quota(&self, snapshot: &Snapshot, server: &BackendServer, cold_start: ColdStart) -> u32 {
        let own = &self.cx.settings.name;
        let rank = |name: &Name| rendezvous_rank(&server.id, name);
        let entries = &snapshot.daemons;
        let is_settled = self.cx.now() >= ColdShare::WINDOW;
        let position = (is_settled && entries.contains_key(own)).then(|| {
            let before = entries.keys().filter(|name| rank(name) < rank(own));
            before.count()
        });
        let overrun = self.cx.settings.bounds.cold_overrun;
        cold_quota(cold_start.requests_per_s, overrun, position, entries.len())
    }

    /// Records for how long a server is cold by its response.
    pub(super) fn on_cold_notice(&self, server: &BackendServer, cold: Option<Duration>) {
        let snapshot = self.cx.cluster.snapshot();
        let (Some(cold), Some(cold_start)) = (cold, cold_start(&snapshot, server)) else {
            return;
        };
        // A server is not cold for longer than after a start, whatever it says.
        let cold = cold.min(cold_start.duration);
        if cold.is_zero() {
            return;
        }
        let now = uptime();
        let mut servers = self.cold_guard.servers();
        let state = servers.entry(server.id.clone()).or_default();
        let was_cold = now < state.cold_until;
        state.cold_until = now + cold;
        drop(servers);
        if !was_cold {
            let detail = format!("server={} cold_ms={}", server.id, cold.as_millis());
            self.cx.recorder.emit(Event::ServerCold, &detail);
        }
    }
}
