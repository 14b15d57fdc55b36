//! Selection of an inference engine for a generation request.

use std::time::Duration;

use rw_protocol::Name;

use crate::{EngineLoad, EngineProfile, ServerOutlook};

/// Share of the maximum event gap that a forecast may use. The rest is headroom
/// for requests that other entries send between two load reports.
const EVENT_GAP_SHARE: f64 = 0.8;
/// Share of the slots open to requests that already missed their objective, so
/// that requests that can still meet theirs find a free slot.
const LATE_SLOT_SHARE: f64 = 0.7;

/// Latency advantage that a server of another region needs, to account for the
/// traffic on the inter-region link. About half the prefill time of a prompt.
const REMOTE_PENALTY_MS: f64 = 25.0;

/// Engines compared per selection, both in the local region and in others. Two
/// random choices balance load almost as well as comparing all engines, without
/// sending every entry's requests to the same least loaded one.
const SAMPLE_SIZE: usize = 2;

/// What a generation request requires of an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestRequirements {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Time left until the first event is due.
    pub first_event_budget: Duration,
    /// Longest acceptable gap between two events.
    pub max_event_gap: Duration,
    /// Whether the latency objective has already been missed. The time to the
    /// first event is not limited then, but only part of the slots may be used.
    pub late: bool,
}

/// An engine that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct EngineCandidate<'a> {
    /// The engine's backend server.
    pub server: &'a Name,
    /// Declared performance.
    pub profile: &'a EngineProfile,
    /// Requests in flight, as far as this entry knows.
    pub load: EngineLoad,
    /// Factor by which it is slower than declared; 1 for normal speed.
    pub slowdown: f64,
    /// Forecast from its last report. It orders the engines that are compared, and rules
    /// none out.
    pub outlook: ServerOutlook,
    /// Whether it is in another region, behind a shared link.
    pub remote: bool,
    /// Limit of requests in flight from its circuit breaker and slot rotation.
    pub max_running: u32,
    /// Prompt tokens of the request that it is expected to hold and not to read again.
    pub held_tokens: u32,
}

impl EngineCandidate<'_> {
    // Prompt tokens that the engine has to read.
    fn unread_tokens(&self, requirements: &RequestRequirements) -> u32 {
        requirements.prompt_tokens.saturating_sub(self.held_tokens)
    }
}

/// Result of [`select_engine`].
#[derive(Clone, Debug, PartialEq)]
pub enum EngineSelection {
    /// The selected server and its forecast time to the first event.
    Selected(Name, Duration),
    /// Every engine is full; a slot is expected to be released after this time.
    Full(Duration),
    /// No engine accepts requests.
    Unavailable,
}

/// Selects an engine that is forecast to send the first event in time without
/// exceeding the event gap of its running streams. An engine without pending
/// prefill accepts a prompt of any length. Compares the first few eligible engines
/// of the local region and of other regions.
///
/// The caller shuffles `engines`, so that entries that do not see each other's
/// latest requests do not all select the engine that looks least loaded.
/// `queue_depth` is the number of requests that an engine may hold beyond its
/// slots.
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
        let event_gap_ms = e
            .profile
            .event_gap_ms(e.load, e.unread_tokens(requirements))
            * e.slowdown;
        let gap_limit_ms = requirements.max_event_gap.as_secs_f64() * 1e3 * EVENT_GAP_SHARE;
        let no_prefill_queued = e.load.unread_tokens == 0;
        e.load.running < slots.min(e.max_running)
            && (no_prefill_queued || event_gap_ms <= gap_limit_ms)
    };
    let forecast_ms = |e: &EngineCandidate<'_>| {
        let penalty_ms = if e.remote { REMOTE_PENALTY_MS } else { 0.0 };
        e.profile
            .first_event_ms(e.load, e.unread_tokens(requirements))
            * e.slowdown
            + penalty_ms
    };
    // What a server reports of itself is old by the time that it decides.
    let expected_ms = |ms: f64, e: &EngineCandidate<'_>| {
        let unknown_ms = e.outlook.unknown_requests * e.profile.slot_release_ms();
        ms * e.outlook.pace + unknown_ms
    };
    let budget_ms = requirements.first_event_budget.as_secs_f64() * 1e3;
    let eligible = engines
        .iter()
        .filter(has_capacity)
        .map(|e| (forecast_ms(e), e))
        .filter(|(ms, _)| requirements.late || *ms <= budget_ms);
    let (local, remote): (Vec<_>, Vec<_>) = eligible.partition(|(_, e)| !e.remote);
    let (local, remote) = (local.iter(), remote.iter());
    let sample = local.clone().take(SAMPLE_SIZE);
    let sample = sample.chain(remote.clone().take(SAMPLE_SIZE));
    let sample = sample.chain(holders(local.chain(remote)));
    let best = sample.min_by(|a, b| expected_ms(a.0, a.1).total_cmp(&expected_ms(b.0, b.1)));
    match best {
        Some((ms, engine)) => {
            EngineSelection::Selected(engine.server.clone(), Duration::from_secs_f64(ms / 1e3))
        }
        None => full_or_unavailable(engines),
    }
}

// Engines that hold much of the prompt. They are compared besides the random ones, so that
// the saved prefill is weighed against the wait. Entries that believe the same do not all
// choose the engine that holds most, because the order of the engines is random.
fn holders<'a, 'e>(
    eligible: impl Iterator<Item = &'a (f64, &'a EngineCandidate<'e>)> + Clone,
) -> impl Iterator<Item = &'a (f64, &'a EngineCandidate<'e>)>
where
    'e: 'a,
{
    let held = |(_, e): &(f64, &EngineCandidate<'_>)| e.held_tokens;
    let most = eligible.clone().map(held).max().unwrap_or(0);
    let holds_much = move |c: &&(f64, &EngineCandidate<'_>)| most > 0 && held(c) >= most / 2;
    eligible.filter(holds_much).take(SAMPLE_SIZE)
}

// Estimates the time to the next free slot from the combined release rate of all
// engines.
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
