use std::time::Duration;

use rw_protocol::Name;

/// One lifetime of a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashedServer {
    /// Id of the server.
    pub id: Name,
    /// Start of the lifetime, in Unix milliseconds.
    pub started_ms: u64,
}

/// Crash of a server of which a part of a prompt is suspected.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectedCrash {
    /// The suspected part.
    pub part: Name,
    /// The server that crashed.
    pub server: CrashedServer,
    /// Time of the crash; in reports, its age.
    pub at: Duration,
    /// Whether a server had crashed under the same request before.
    pub is_repeat: bool,
}

/// What an entry tells the others; replaces its previous report. Times are ages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoisonReport {
    /// Crashes, by suspected part.
    pub crashes: Vec<SuspectedCrash>,
    /// Suspected parts with which a request ran, and when the last one did.
    pub survivals: Vec<(Name, Duration)>,
    /// Servers that were believed to have crashed and have sent events, and when the last.
    pub alive: Vec<(CrashedServer, Duration)>,
    /// Quarantined combinations of parts, and since when.
    pub quarantines: Vec<(Vec<Name>, Duration)>,
}

impl PoisonReport {
    /// Whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        *self == PoisonReport::default()
    }

    /// The same with each time subtracted from `now`: ages become times and times ages.
    pub(super) fn relative_to(&self, now: Duration) -> PoisonReport {
        let flip = |at: &Duration| now.saturating_sub(*at);
        let mut out = self.clone();
        for crash in &mut out.crashes {
            crash.at = flip(&crash.at);
        }
        for at in out.survivals.iter_mut().map(|(_, at)| at) {
            *at = flip(at);
        }
        for at in out.alive.iter_mut().map(|(_, at)| at) {
            *at = flip(at);
        }
        for at in out.quarantines.iter_mut().map(|(_, at)| at) {
            *at = flip(at);
        }
        out
    }
}
