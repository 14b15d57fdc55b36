//! Whether a call is held back because it, or a part of its prompt, crashes backend servers.

use std::time::Duration;

use rw_routing::ServiceServers;
use tokio::time::{timeout_at, Instant};

use super::attempt::{self, Failure};
use super::{Call, Entry, Refusal};
use crate::PlatformCodec;

/// `Retry-After` of a quarantined request: until an operator or new weights end the
/// quarantine, it is refused again.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The same while it may well be sound, which its next trial tells.
const AMBIGUOUS_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` while a service has only one server left; others are back within seconds.
const LAST_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which a call waits for the trial of another with the same content.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(300);

/// Why a call is not sent to a backend server.
pub(super) struct Hold {
    pub(super) reason: &'static str,
    pub(super) retry_after: Duration,
}

impl Hold {
    /// What the caller is told, by how many servers may have executed the call.
    pub(super) fn refusal(self, call: &Call, sent_attempts: u32) -> Refusal {
        match sent_attempts {
            0 => Refusal::NotRun {
                reason: self.reason,
                retry_after: self.retry_after,
                known_load: format!("content={}", call.request_name()),
            },
            _ => Refusal::Failed(self.reason),
        }
    }
}

impl<D: PlatformCodec> Entry<D> {
    /// Why a call must not be sent to a server; `None` if it may be.
    pub(super) fn hold(&self, call: &Call) -> Option<Hold> {
        if let Some(quarantine) = self.poison_guard.quarantine_of(call) {
            let retry_after = match self.poison_guard.awaits_trial(&quarantine) {
                true => AMBIGUOUS_RETRY_AFTER,
                false => QUARANTINE_RETRY_AFTER,
            };
            let reason = match quarantine.is_request() {
                true => "the request crashes backend servers",
                false => "a part of the prompt crashes backend servers",
            };
            return Some(Hold {
                reason,
                retry_after,
            });
        }
        let guard = &self.poison_guard;
        let endangers_last =
            guard.is_suspected(call) && guard.endangers_last(call, self.service_servers(call));
        endangers_last.then_some(Hold {
            reason: "backend servers crashed under the request, and only one is left",
            retry_after: LAST_SERVER_RETRY_AFTER,
        })
    }

    /// Fails if a call has to be held back since its server was selected.
    pub(super) fn check_hold(&self, call: &Call, is_trial: bool) -> attempt::Result<()> {
        match !is_trial && self.hold(call).is_some() {
            true => Err(Failure::Quarantined),
            false => Ok(()),
        }
    }

    /// Whether the call is let through although it is quarantined. One that may well be sound
    /// waits for the trial of another.
    pub(super) async fn take_trial(&self, call: &Call) -> bool {
        let guard = &self.poison_guard;
        if guard.quarantine_of(call).is_none() {
            return false;
        }
        let until = Instant::now() + MAX_TRIAL_WAIT.min(call.time_left() / 3);
        let changed = guard.subscribe_quarantines();
        while let Some(quarantine) = guard.quarantine_of(call) {
            let servers = self.service_servers(call);
            if guard.take_trial(call, servers).await {
                return true;
            }
            let may_wait = guard.awaits_trial(&quarantine) && servers.sound > 0;
            if !may_wait || timeout_at(until, changed.recv_async()).await.is_err() {
                return false;
            }
        }
        false
    }

    fn service_servers(&self, call: &Call) -> ServiceServers {
        let snapshot = self.cx.cluster.snapshot();
        let servers = snapshot.servers.values();
        let mut sound = self.ready_servers(&call.service);
        self.poison_guard.retain_uncrashed(&mut sound);
        ServiceServers {
            listed: servers.filter(|s| s.service == call.service).count(),
            sound: sound.len(),
        }
    }
}
