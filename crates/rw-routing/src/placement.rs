use std::time::Duration;

use rw_protocol::Name;

use crate::{EngineLoad, EngineProfile};

/// Share of the allowed pause that a forecast may fill; the rest covers what
/// other entries send within one round of load news.
const PAUSE_SHARE: f64 = 0.8;
/// Share of the slots that late work may use while other work can be on time.
const LATE_SHARE: f64 = 0.7;

/// Milliseconds by which a server of another region has to be better, for the
/// bytes that it would cost on the link between them; about half a prompt.
const REMOTE_PENALTY_MS: f64 = 25.0;

/// Engines of the own region, and of others, that are compared; two keep the
/// load almost as even as all would, without the rush to one.
const SAMPLE: usize = 2;

/// What a generation request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time left for the first event to be on time.
    pub first_event: Duration,
    /// Longest pause between events that is on time.
    pub pause: Duration,
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
    pub slowness: f64,
    /// Whether it is in another region, to which the link is shared.
    pub remote: bool,
    /// Requests that it may hold, from its circuit breaker.
    pub allowed: u32,
}

/// Where a generation request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Placed {
    /// To this server, which is forecast to send the first event after so long.
    At(Name, Duration),
    /// Every engine is full; a place frees up after about so long.
    Full(Duration),
    /// No engine can take it.
    Nowhere,
}

/// Picks an engine that is forecast to be on time and can keep the pauses of
/// the streams it writes: the better of the first few of each kind. Engines
/// come in a random order, so that entries that do not see each other's latest
/// requests do not all send theirs to the one that looks emptiest.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{place, Demand, Placed};
/// let demand = Demand {
///     prompt_tokens: 100, first_event: Duration::from_millis(400),
///     pause: Duration::from_millis(400), late: false,
/// };
/// assert_eq!(place(&demand, &[], 1), Placed::Nowhere);
/// ```
pub fn place(demand: &Demand, engines: &[EngineCandidate<'_>], extra: u32) -> Placed {
    let fits = |e: &&EngineCandidate<'_>| {
        let slots = match demand.late {
            true => (f64::from(e.profile.slots) * LATE_SHARE) as u32,
            false => e.profile.slots + extra,
        };
        let pause = e.profile.pause_ms(e.load, demand.prompt_tokens) * e.slowness;
        let limit = demand.pause.as_secs_f64() * 1e3 * PAUSE_SHARE;
        let alone = e.load.unread_tokens == 0;
        e.load.running < slots.min(e.allowed) && (alone || pause <= limit)
    };
    let forecast = |e: &EngineCandidate<'_>| {
        let away = if e.remote { REMOTE_PENALTY_MS } else { 0.0 };
        e.profile.first_event_ms(e.load, demand.prompt_tokens) * e.slowness + away
    };
    let in_time = demand.first_event.as_secs_f64() * 1e3;
    let able = engines
        .iter()
        .filter(fits)
        .map(|e| (forecast(e), e))
        .filter(|(ms, _)| demand.late || *ms <= in_time);
    let (near, away): (Vec<_>, Vec<_>) = able.partition(|(_, e)| !e.remote);
    let sample = near
        .into_iter()
        .take(SAMPLE)
        .chain(away.into_iter().take(SAMPLE));
    match sample.min_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((ms, engine)) => Placed::At(engine.server.clone(), Duration::from_secs_f64(ms / 1e3)),
        None => full(engines),
    }
}

// Slots of all engines free up one after the other.
fn full(engines: &[EngineCandidate<'_>]) -> Placed {
    let open = engines.iter().filter(|e| e.allowed > 0);
    let per_ms: f64 = open
        .map(|e| 1.0 / (e.profile.slot_wait_ms() * e.slowness))
        .sum();
    if per_ms <= 0.0 {
        return Placed::Nowhere;
    }
    Placed::Full(Duration::from_secs_f64(1e-3 / per_ms))
}
