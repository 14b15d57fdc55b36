use std::time::Duration;

use rw_protocol::Name;

/// Time from the start of a quarantine until one request with its parts is let through,
/// and from each such request to the next.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(10);
const TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Requests that are let through in all; each may crash a server.
const MAX_TRIALS: u32 = 2;

/// Requests that hold all of `parts` are not sent to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Quarantine {
    /// Parts of a prompt. More than one if it is not known yet which of them is at fault.
    pub parts: Vec<Name>,
    /// When the quarantine began.
    pub since: Duration,
    /// Servers that have crashed; 0 if another entry or the store reported the quarantine.
    pub crashes: usize,
    // When the next request is let through, and how many have been.
    next_trial: Duration,
    trials: u32,
}

impl Quarantine {
    /// Whether it holds back a request with these parts.
    pub(super) fn holds(&self, parts: &[Name]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    pub(super) fn new(parts: Vec<Name>, since: Duration, crashes: usize) -> Self {
        Quarantine {
            parts,
            since,
            crashes,
            next_trial: since + FIRST_TRIAL_DELAY,
            trials: 0,
        }
    }

    pub(super) fn is_trial_due(&self, now: Duration) -> bool {
        self.trials < MAX_TRIALS && now >= self.next_trial
    }

    pub(super) fn on_trial(&mut self, now: Duration) {
        self.trials += 1;
        self.next_trial = now + TRIAL_INTERVAL;
    }
}
