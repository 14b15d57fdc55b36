use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::Name;

use super::request_name::is_request;
use super::CrashedServer;

/// Time from the start of a quarantine until one request with its parts is let through,
/// and from each such request to the next.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(10);
const TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Time in which servers that only reset a connection prove to be alive.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Time in which a trial usually ends.
const TRIAL_TIME: Duration = Duration::from_millis(500);
/// Requests that are let through in all; each may crash a server.
const MAX_TRIALS: u32 = 2;

/// Requests that hold all of `parts` are not sent to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Quarantine {
    /// Parts of a prompt, or the name of a request. More than one if it is not known yet which
    /// of them is at fault.
    pub parts: Vec<Name>,
    /// When the quarantine began.
    pub since: Duration,
    /// Servers that have crashed; 0 if another entry or the store reported the quarantine.
    pub crashes: usize,
    // Servers that crashed under a request, and when; empty if that is not known here.
    pub(super) servers: BTreeMap<CrashedServer, Duration>,
    // Whether the servers may as well have crashed for another reason.
    is_ambiguous: bool,
    // Requests that have been let through, and when the last was.
    trials: u32,
    last_trial: Duration,
}

impl Quarantine {
    /// Whether it holds back a request with these parts.
    pub(super) fn holds(&self, parts: &[Name]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// Whether it holds back a single request, and not a part of prompts.
    pub fn is_request(&self) -> bool {
        self.parts.iter().any(|part| is_request(part))
    }

    /// Whether it is worth a record. A request whose servers prove to be alive is mostly
    /// released before.
    pub fn is_settled(&self, now: Duration) -> bool {
        !self.is_request() || self.is_ambiguous || now >= self.since + SETTLING_TIME
    }

    /// Whether a trial is about to tell whether it holds back a sound request.
    pub fn awaits_trial(&self, now: Duration) -> bool {
        let is_first = self.trials == 0 || (self.trials == 1 && now < self.last_trial + TRIAL_TIME);
        self.is_ambiguous && is_first
    }

    /// Requests that have been let through to find out whether servers still crash.
    pub fn trials(&self) -> u32 {
        self.trials
    }

    pub(super) fn new(parts: Vec<Name>, since: Duration, crashes: usize) -> Self {
        Quarantine {
            parts,
            since,
            crashes,
            servers: BTreeMap::new(),
            is_ambiguous: false,
            trials: 0,
            last_trial: since,
        }
    }

    pub(super) fn add_evidence(
        &mut self,
        crashes: &BTreeMap<CrashedServer, Duration>,
        is_ambiguous: bool,
    ) {
        self.servers
            .extend(crashes.iter().map(|(s, at)| (s.clone(), *at)));
        self.crashes = self.servers.len();
        self.is_ambiguous = is_ambiguous;
    }

    pub(super) fn end_trials(&mut self) {
        self.trials = MAX_TRIALS;
    }

    pub(super) fn is_trial_due(&self, now: Duration) -> bool {
        let delay = match (self.trials, self.is_ambiguous) {
            (0, true) => Duration::ZERO,
            (0, false) | (_, true) => FIRST_TRIAL_DELAY,
            (_, false) => TRIAL_INTERVAL,
        };
        self.trials < MAX_TRIALS && now >= self.last_trial + delay
    }

    pub(super) fn on_trial(&mut self, now: Duration) {
        self.trials += 1;
        self.last_trial = now;
    }

    /// Takes over how many requests have been let through by all entries.
    pub(super) fn raise_trials(&mut self, trials: u32, now: Duration) {
        if trials > self.trials {
            self.trials = trials;
            self.last_trial = now;
        }
    }
}
