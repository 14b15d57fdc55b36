use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::Name;

use super::rates::{DecayingCount, QuantileEstimate};
use super::request::{
    AdmissionDecision, AdmissionInputs, AdmissionRequest, ServiceRoom, Ticket, Verdict,
};
use super::return_times::ReturnTimes;

/// Window of the arrival and start rates. Bursts of one route last 3 to 6 s.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Window over which the served shares are compared.
const SHARE_WINDOW: Duration = Duration::from_secs(10);
/// Share of the slots that is kept free for more urgent requests when these arrive as fast
/// as requests start: the arrivals of about one interval between load reports.
const RESERVED_SHARE: f64 = 0.08;
/// Load by more urgent requests, as a share of the started ones, from which slots are kept
/// free for them.
const RESERVING_LOAD: f64 = 0.35;
/// Limit of the kept slots, as a multiple of `RESERVED_SHARE`.
const MAX_PRESSURE: f64 = 1.5;
/// Served share that each kind keeps, relative to all attempts. Callers return once, which
/// raises the share of their requests to the target of a half; a quarter breaks a gate.
const FLOOR_OF_ALL: f64 = 0.4;
/// The same relative to its rank. The longest prompts are to keep half.
const FLOOR_OF_RANK: f64 = 0.6;
/// The same two for returning requests: the first as a multiple of that of new ones, the
/// second below 1, so that a rank's share does not grow by itself.
const RETURN_FACTOR: f64 = 1.2;
const RETURN_FLOOR_OF_RANK: f64 = 0.6;
/// Served share of a rank, relative to all attempts, below which its requests with credit go
/// with the most urgent ones.
const CROSSING_SHARE: f64 = 0.5;
/// Share of the kept slots that returning requests and those with credit also leave free.
const PREFERRED_PRESSURE: f64 = 0.8;
/// Credit is bounded so that a kind that was idle or served in full causes no burst or gap.
const MAX_CREDIT: f64 = 2.0;
const MIN_CREDIT: f64 = -2.0;
/// Share of the longest prompts that is counted apart.
const LONG_SHARE: f64 = 0.1;
/// Multiple of the patience from which a forecast wait leads to a refusal. Start rates vary
/// by about this factor within a second.
const FORECAST_MARGIN: f64 = 1.5;
/// Decayed count of requests below which a team is idle: a minute after a single request.
const IDLE_COUNT: f64 = 0.0025;
/// Longest wait that is forecast.
const MAX_WAIT_S: f64 = 60.0;

// Requests that are compared when shares are balanced.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    rank: u32,
    team: Name,
    returning: bool,
    is_long: bool,
}

struct RankCounts {
    arrivals: DecayingCount,
    offered: DecayingCount,
    served: DecayingCount,
    prompts: QuantileEstimate,
}

impl Default for RankCounts {
    fn default() -> Self {
        RankCounts {
            arrivals: DecayingCount::new(RATE_WINDOW),
            offered: DecayingCount::new(SHARE_WINDOW),
            served: DecayingCount::new(SHARE_WINDOW),
            prompts: QuantileEstimate::default(),
        }
    }
}

// Order of the queue: rank, returning requests first, then arrival.
type Position = (u32, bool, Ticket);

struct Waiting {
    kind: Kind,
    position: Position,
    // Whether it uses its kind's credit.
    has_credit: bool,
}

/// Queue of one service at an entry. Decides which requests may take a slot, which wait and
/// which are refused on arrival. Times are on the caller's monotonic clock.
pub struct AdmissionQueue {
    waiting: BTreeMap<Ticket, Waiting>,
    order: BTreeMap<Position, Ticket>,
    ranks: BTreeMap<u32, RankCounts>,
    credits: BTreeMap<Kind, f64>,
    // Arrivals by rank and team: new requests and returning ones.
    teams: BTreeMap<(u32, Name), (DecayingCount, DecayingCount)>,
    starts: DecayingCount,
    return_times: ReturnTimes,
    next_ticket: Ticket,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        AdmissionQueue {
            waiting: BTreeMap::new(),
            order: BTreeMap::new(),
            ranks: BTreeMap::new(),
            credits: BTreeMap::new(),
            teams: BTreeMap::new(),
            starts: DecayingCount::new(RATE_WINDOW),
            return_times: ReturnTimes::default(),
            next_ticket: 0,
        }
    }
}

fn share(served: f64, offered: f64) -> f64 {
    match offered > 0.0 {
        true => (served / offered).min(1.0),
        false => 1.0,
    }
}

impl AdmissionQueue {
    /// Decides about an arriving request, which then holds a place in the queue unless it
    /// is refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_routing::{AdmissionQueue, AdmissionRequest, ServiceRoom, Verdict};
    /// let mut queue = AdmissionQueue::default();
    /// let request = AdmissionRequest {
    ///     rank: 0, team: "a".into(), returning: false, prompt_tokens: 900,
    ///     patience: Duration::from_millis(48),
    /// };
    /// let room = ServiceRoom { slots: 12, free: 3, running: 9, own_running: 9 };
    /// let decision = queue.arrive(&request, room, Duration::from_secs(1));
    /// assert_eq!(decision.verdict, Verdict::Try);
    /// ```
    pub fn arrive(
        &mut self,
        request: &AdmissionRequest,
        room: ServiceRoom,
        now: Duration,
    ) -> AdmissionDecision {
        let returning = self.count_arrival(request, now);
        let ranks = self.ranks.entry(request.rank).or_default();
        ranks.arrivals.add(now);
        ranks.offered.add(now);
        let is_long = ranks
            .prompts
            .add(f64::from(request.prompt_tokens), LONG_SHARE);
        let kind = Kind {
            rank: request.rank,
            team: request.team.clone(),
            returning,
            is_long,
        };
        let has_credit = self.use_credit(&kind, now);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let rank = match has_credit && self.is_below_floor(request.rank, now) {
            true => 0,
            false => request.rank,
        };
        let waiting = Waiting {
            kind,
            position: (rank, has_credit || !returning, ticket),
            has_credit,
        };
        let inputs = self.inputs(&waiting, room, now);
        let limit = request.patience.mul_f64(FORECAST_MARGIN);
        let has_room = room.exceeds(inputs.reserved);
        let verdict = if !has_room && inputs.wait > request.patience {
            Verdict::RefuseForUrgent
        } else if inputs.ahead > 0 && inputs.wait > limit {
            Verdict::RefuseForWait
        } else if has_room && room.has_spare(inputs.ahead) {
            Verdict::Try
        } else {
            Verdict::Wait
        };
        self.order.insert(waiting.position, ticket);
        self.waiting.insert(ticket, waiting);
        if matches!(verdict, Verdict::RefuseForUrgent | Verdict::RefuseForWait) {
            self.leave(ticket);
        }
        AdmissionDecision {
            ticket,
            verdict,
            inputs,
        }
    }

    // Counts an arrival of a team; returns whether it counts as returning. Callers return
    // once, so a team whose returns outnumber its new requests repeats without being told.
    fn count_arrival(&mut self, request: &AdmissionRequest, now: Duration) -> bool {
        let key = (request.rank, request.team.clone());
        let counts = || DecayingCount::new(SHARE_WINDOW);
        let (new, returned) = self
            .teams
            .entry(key)
            .or_insert_with(|| (counts(), counts()));
        match request.returning {
            true => returned.add(now),
            false => new.add(now),
        }
        request.returning && returned.value(now) <= new.value(now) + 1.0
    }

    // Adds the share that the kind is due, and uses its credit if that has reached a request.
    fn use_credit(&mut self, kind: &Kind, now: Duration) -> bool {
        let all = self.served_share(now);
        let of_rank = self.served_share_of(kind.rank, now);
        let floor = all * FLOOR_OF_ALL;
        let due = match kind.returning {
            // Callers lose most by a second refusal.
            true => (floor * RETURN_FACTOR).max(of_rank * RETURN_FLOOR_OF_RANK),
            false => floor.max(of_rank * FLOOR_OF_RANK),
        };
        let credit = self.credits.entry(kind.clone()).or_default();
        *credit = (*credit + due).min(MAX_CREDIT);
        let has_credit = *credit >= 1.0;
        if has_credit {
            *credit -= 1.0;
        }
        has_credit
    }

    // Whether a rank is served so rarely that its requests with credit go with the most
    // urgent ones.
    fn is_below_floor(&self, rank: u32, now: Duration) -> bool {
        self.served_share_of(rank, now) < self.served_share(now) * CROSSING_SHARE
    }

    fn served_share_of(&self, rank: u32, now: Duration) -> f64 {
        self.ranks.get(&rank).map_or(1.0, |counts| {
            share(counts.served.value(now), counts.offered.value(now))
        })
    }

    fn served_share(&self, now: Duration) -> f64 {
        let served = self.ranks.values().map(|rank| rank.served.value(now));
        let offered = self.ranks.values().map(|rank| rank.offered.value(now));
        share(served.sum(), offered.sum())
    }

    fn inputs(&self, waiting: &Waiting, room: ServiceRoom, now: Duration) -> AdmissionInputs {
        let rank = waiting.position.0;
        let urgent = self.ranks.range(..rank);
        let urgent_per_s: f64 = urgent.map(|(_, counts)| counts.arrivals.per_s(now)).sum();
        let starts_per_s = self.starts.per_s(now);
        let ahead = self.order.range(..waiting.position).count();
        let mut pressure = match starts_per_s > 0.0 {
            true => (urgent_per_s / starts_per_s - RESERVING_LOAD) / (1.0 - RESERVING_LOAD),
            false => 0.0,
        };
        if waiting.kind.returning || waiting.has_credit {
            pressure *= PREFERRED_PRESSURE;
        }
        let reserved = pressure.clamp(0.0, MAX_PRESSURE) * RESERVED_SHARE * f64::from(room.slots);
        // Slots that have to be released here until it can start.
        let missing = (reserved + 1.0 - f64::from(room.free)).max(0.0) * room.own_share();
        let missing = missing.max(if room.free == 0 { 1.0 } else { 0.0 });
        let spare_per_s = starts_per_s - urgent_per_s;
        let wait_s = match (starts_per_s > 0.0, spare_per_s > 0.0) {
            (false, _) => 0.0,
            (true, true) => (ahead as f64 + missing) / spare_per_s,
            (true, false) => MAX_WAIT_S,
        };
        AdmissionInputs {
            ahead,
            reserved,
            urgent_per_s,
            starts_per_s,
            starts_age: self.starts.age(now),
            wait: Duration::from_secs_f64(wait_s.min(MAX_WAIT_S)),
        }
    }

    /// Whether a waiting request may take a slot, if those before it could not.
    pub fn may_start(&self, ticket: Ticket, room: ServiceRoom, now: Duration) -> bool {
        let waiting = self.waiting.get(&ticket);
        waiting
            .is_some_and(|waiting| f64::from(room.free) > self.inputs(waiting, room, now).reserved)
    }

    /// The waiting request that goes first.
    pub fn first(&self) -> Option<Ticket> {
        self.order.first_key_value().map(|(_, ticket)| *ticket)
    }

    /// The waiting request that goes next after another one.
    pub fn after(&self, ticket: Ticket) -> Option<Ticket> {
        let position = self.waiting.get(&ticket)?.position;
        let mut later = self.order.range(position..).skip(1);
        later.next().map(|(_, ticket)| *ticket)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a request has taken a slot.
    pub fn on_start(&mut self, ticket: Ticket, now: Duration) {
        let Some(waiting) = self.remove(ticket) else {
            return;
        };
        self.starts.add(now);
        if let Some(rank) = self.ranks.get_mut(&waiting.kind.rank) {
            rank.served.add(now);
        }
        if !waiting.has_credit {
            let credit = self.credits.entry(waiting.kind).or_default();
            *credit = (*credit - 1.0).max(MIN_CREDIT);
        }
    }

    /// Removes a request that was refused, or whose caller left.
    pub fn leave(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.remove(ticket).filter(|waiting| waiting.has_credit) {
            *self.credits.entry(waiting.kind).or_default() += 1.0;
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&waiting.position);
        Some(waiting)
    }

    /// Forgets teams without recent requests. To be called when the configuration changes, as
    /// teams may be gone.
    pub fn prune_teams(&mut self, now: Duration) {
        self.teams
            .retain(|_, (new, returned)| new.value(now) + returned.value(now) > IDLE_COUNT);
        let teams = &self.teams;
        self.credits
            .retain(|kind, _| teams.contains_key(&(kind.rank, kind.team.clone())));
    }

    /// Time after which a refused caller should return, at most `max`. `spread` is random
    /// in 0..1.
    pub fn retry_after(
        &mut self,
        rank: u32,
        max: Duration,
        spread: f64,
        now: Duration,
    ) -> Duration {
        let starts_per_s = self.starts.per_s(now);
        self.return_times
            .assign(rank, starts_per_s, max, spread, now)
    }
}
