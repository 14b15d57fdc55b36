//! Selects backend servers for a call while some of them limit the requests that they take.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rw_routing::PermitRefusal;

use super::{Call, Entry, SlotPermit};
use crate::limit_exchange::{acquire_permit, SendPermit};
use crate::{BackendServer, PlatformCodec};

/// Why a call is refused that only servers at their limits could take.
pub(super) const LIMIT_REASON: &str = "backend servers are at the limits that they named";
/// Share of the time to the objective for which a call waits for a permit, and of the time
/// to its deadline if that is shorter.
const OBJECTIVE_SHARE: f64 = 0.5;
const DEADLINE_SHARE: f64 = 0.3;
/// Time for which a call waits that a server broke off, or that missed its objective.
const LATE_PATIENCE: Duration = Duration::from_millis(300);
/// Permits that one selection asks for before the call is refused.
const MAX_ASKS: u32 = 4;

/// The limits that bear on the selection of a server for one attempt of a call.
pub(super) struct LimitedSelection<'a, D> {
    entry: &'a Entry<D>,
    call: &'a Call,
    // Whether only servers with a limit may still take the call.
    only_limited: bool,
    patience: Duration,
    asks: u32,
    // Whether a cold server was left out of the last selection.
    awaits_cold_server: bool,
    // The earliest time to come back that a server gave.
    refusal: Option<PermitRefusal>,
}

impl<'a, D: PlatformCodec> LimitedSelection<'a, D> {
    pub(super) fn new(entry: &'a Entry<D>, call: &'a Call) -> Self {
        LimitedSelection {
            entry,
            call,
            only_limited: false,
            patience: Duration::ZERO,
            asks: 0,
            awaits_cold_server: false,
            refusal: None,
        }
    }

    /// Keeps the servers that have no limit, or may have a permit for the call. The call
    /// waits for one only if no server without a limit is among them.
    pub(super) fn admit(
        &mut self,
        mut servers: Vec<Arc<BackendServer>>,
    ) -> Vec<Arc<BackendServer>> {
        let wait = self.entry.retain_within_cold_share(&mut servers);
        self.awaits_cold_server = wait.is_some();
        if let Some(wait) = wait {
            self.record(PermitRefusal::after(wait));
        }
        let guard = &self.entry.cx.limit_guard;
        if !guard.is_active() {
            return servers;
        }
        if self.only_limited {
            servers.retain(|server| guard.is_limited(server));
        }
        let has_unlimited = servers.iter().any(|server| !guard.is_limited(server));
        self.patience = match has_unlimited {
            true => Duration::ZERO,
            false => self.max_patience(),
        };
        servers.retain(|server| {
            let refusal = self.known_refusal(server);
            if let Some(refusal) = refusal {
                self.record(refusal);
            }
            refusal.is_none()
        });
        servers
    }

    // Why the server cannot take the call, as far as it is known without asking its owner.
    fn known_refusal(&self, server: &BackendServer) -> Option<PermitRefusal> {
        let guard = &self.entry.cx.limit_guard;
        if self.asks >= MAX_ASKS {
            return guard.is_limited(server).then(PermitRefusal::default);
        }
        let spread = self.entry.cx.rng.lock().random();
        guard.refusal(server, self.patience, spread)
    }

    fn max_patience(&self) -> Duration {
        let call = self.call;
        let patience = match call.route.objective.checked_sub(call.age()) {
            Some(to_objective) => to_objective.mul_f64(OBJECTIVE_SHARE),
            None => LATE_PATIENCE,
        };
        patience.min(call.time_left().mul_f64(DEADLINE_SHARE))
    }

    /// Selects the server with the fewest running requests per slot that takes the call.
    pub(super) async fn select_least_loaded(
        &mut self,
        servers: impl Fn() -> Vec<Arc<BackendServer>>,
    ) -> Option<(SlotPermit, SendPermit)> {
        loop {
            let admitted = self.admit(servers());
            let Some(permit) = self.entry.load_tracker.select_least_loaded(&admitted) else {
                if self.fall_back_to_limited() {
                    continue;
                }
                return None;
            };
            if let Some(send_permit) = self.acquire(&permit.server).await {
                return Some((permit, send_permit));
            }
        }
    }

    /// Leaves only servers with a limit to the next selection, because no other one takes
    /// the call. Returns false if that has been tried.
    pub(super) fn fall_back_to_limited(&mut self) -> bool {
        let is_new = self.entry.cx.limit_guard.is_active() && !self.only_limited;
        self.only_limited = true;
        is_new
    }

    /// Whether a cold server takes the call as soon as this entry may send it more.
    pub(super) fn awaits_cold_server(&self) -> bool {
        self.awaits_cold_server
    }

    /// Gets permission to send the call to a selected server.
    pub(super) async fn acquire(&mut self, server: &BackendServer) -> Option<SendPermit> {
        let (rank, cx) = (self.call.rank(), &self.entry.cx);
        match acquire_permit(cx, server, rank, self.patience).await {
            Ok(permit) => match self.entry.take_cold_share(server, permit) {
                Ok(permit) => Some(permit),
                Err(wait) => {
                    self.record(PermitRefusal::after(wait));
                    None
                }
            },
            Err(refusal) => {
                self.asks += 1;
                self.record(refusal);
                None
            }
        }
    }

    // Keeps the refusal with the earliest time to come back. One without any time says only
    // that the owner was not asked again.
    fn record(&mut self, refusal: PermitRefusal) {
        let is_earlier = |old: PermitRefusal| refusal.retry_after < old.retry_after;
        if refusal != PermitRefusal::default() && self.refusal.is_none_or(is_earlier) {
            self.refusal = Some(refusal);
        }
    }

    /// Time after which the caller should come back, if limits kept servers from taking
    /// the call.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        self.refusal.map(|refusal| refusal.retry_after)
    }
}
