use std::time::Duration;

use rw_protocol::Name;

use crate::{EngineLoad, EngineProfile};

/// Share of the allowed pause that a forecast may fill; the rest covers what
/// other entries send within one round of load news.
const EVENT_GAP_SHARE: f64 = 0.8;
/// Share of the slots that late work may use while other work can be on time.
const LATE_SLOT_SHARE: f64 = 0.7;

/// Milliseconds by which a server of another region has to be better, for the
/// bytes that it would cost on the link between them; about half a prompt.
const REMOTE_PENALTY_MS: f64 = 25.0;

/// Engines of the own region, and of others, that are compared; two keep the
/// load almost as even as all would, without the rush to one.
const SAMPLE_SIZE: usize = 2;

/// What a generation request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestRequirements {
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time left for the first event to be on time.
    pub first_event_budget: Duration,
    /// Longest pause between events that is on time.
    pub max_event_gap: Duration,
    /// Whether its objective has passed already.
    pub late: bool,
}

/// An engine that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct EngineCandidate<'a> {
    /// Its backend server.
    pub server: &'a Name,
    /// Its declared times.
    pub profile: &'a EngineProfile,
    /// What it has under way, as far as is known here.
    pub load: EngineLoad,
    /// Times as long as declared that it takes, 1 if it keeps to them.
    pub slowdown: f64,
    /// Whether it is in another region, to which the link is shared.
    pub remote: bool,
    /// Requests that it may hold, from its circuit breaker.
    pub max_running: u32,
}

/// Where a generation request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineSelection {
    /// To this server, which is forecast to send the first event after so long.
    Selected(Name, Duration),
    /// Every engine is full; a place frees up after about so long.
    Full(Duration),
    /// No engine can take it.
    Unavailable,
}

/// Picks an engine that is forecast to be on time and can keep the pauses of
/// the streams it writes: the better of the first few of each kind. Engines
/// come in a random order, so that entries that do not see each other's latest
/// requests do not all send theirs to the one that looks emptiest.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{select_engine, RequestRequirements, EngineSelection};
/// let requirements = RequestRequirements {
///     prompt_tokens: 100, first_event_budget: Duration::from_millis(400),
///     max_event_gap: Duration::from_millis(400), late: false,
/// };
/// assert_eq!(select_engine(&requirements, &[], 1), EngineSelection::Unavailable);
/// ```
pub fn select_engine(
    requirements: &RequestRequirements,
    engines: &[EngineCandidate<'_>],
    queue_depth: u32,
) -> EngineSelection {
    let has_capacity = |e: &&EngineCandidate<'_>| {
        let slots = match requirements.late {
            true => (f64::from(e.profile.slots) * LATE_SLOT_SHARE) as u32,
            false => e.profile.slots + queue_depth,
        };
        let event_gap_ms = e.profile.event_gap_ms(e.load, requirements.prompt_tokens) * e.slowdown;
        let gap_limit_ms = requirements.max_event_gap.as_secs_f64() * 1e3 * EVENT_GAP_SHARE;
        let no_prefill_queued = e.load.unread_tokens == 0;
        e.load.running < slots.min(e.max_running)
            && (no_prefill_queued || event_gap_ms <= gap_limit_ms)
    };
    let forecast_ms = |e: &EngineCandidate<'_>| {
        let penalty_ms = if e.remote { REMOTE_PENALTY_MS } else { 0.0 };
        e.profile.first_event_ms(e.load, requirements.prompt_tokens) * e.slowdown + penalty_ms
    };
    let budget_ms = requirements.first_event_budget.as_secs_f64() * 1e3;
    let eligible = engines
        .iter()
        .filter(has_capacity)
        .map(|e| (forecast_ms(e), e))
        .filter(|(ms, _)| requirements.late || *ms <= budget_ms);
    let (local, remote): (Vec<_>, Vec<_>) = eligible.partition(|(_, e)| !e.remote);
    let sample = local
        .into_iter()
        .take(SAMPLE_SIZE)
        .chain(remote.into_iter().take(SAMPLE_SIZE));
    match sample.min_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((ms, engine)) => {
            EngineSelection::Selected(engine.server.clone(), Duration::from_secs_f64(ms / 1e3))
        }
        None => full_or_unavailable(engines),
    }
}

// Slots of all engines free up one after the other.
fn full_or_unavailable(engines: &[EngineCandidate<'_>]) -> EngineSelection {
    let available = engines.iter().filter(|e| e.max_running > 0);
    let releases_per_ms: f64 = available
        .map(|e| 1.0 / (e.profile.slot_release_ms() * e.slowdown))
        .sum();
    if releases_per_ms <= 0.0 {
        return EngineSelection::Unavailable;
    }
    EngineSelection::Full(Duration::from_secs_f64(1e-3 / releases_per_ms))
}
