use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rw_protocol::Name;

/// Weight of the newest sample in the mean time of a call.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Retry-after of a refusal before any call has ended.
const FIRST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// The call.
    pub item: T,
    /// Its team.
    pub team: Name,
    /// Higher goes first within a team.
    pub priority: u32,
    /// When the caller stops waiting.
    pub deadline: Duration,
}

/// Why a call may not wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is exhausted.
    pub reason: &'static str,
    /// When to come back.
    pub retry_after: Duration,
}

struct Team<T> {
    weight: f64,
    // Calls granted so far over the weight; the lowest is served next.
    virtual_time: f64,
    calls: VecDeque<Waiting<T>>,
    in_flight: u32,
    max_in_flight: u32,
}

/// Weighted fair queue over teams, which sheds calls that cannot make it.
pub struct FairQueue<T> {
    teams: BTreeMap<Name, Team<T>>,
    per_team: usize,
    virtual_now: f64,
    mean_call: Option<f64>,
}

impl<T> FairQueue<T> {
    /// At most `per_team` calls of one team wait.
    ///
    /// ```
    /// use rw_routing::{FairQueue, Waiting};
    /// use std::time::Duration;
    /// let mut queue = FairQueue::new(1);
    /// let call = |n| Waiting { item: n, team: "a".into(), priority: 0, deadline: Duration::from_secs(9) };
    /// assert!(queue.push(call(1), 4, Duration::ZERO).is_ok());
    /// assert!(queue.push(call(2), 4, Duration::ZERO).is_err());
    /// assert_eq!(queue.pop(|_| true).unwrap().item, 1);
    /// ```
    pub fn new(per_team: usize) -> Self {
        FairQueue {
            teams: BTreeMap::new(),
            per_team,
            virtual_now: 0.0,
            mean_call: None,
        }
    }

    /// Sets a team's share and limit.
    pub fn set_team(&mut self, team: &Name, weight: u32, max_in_flight: u32) {
        let team = self.team(team);
        team.weight = f64::from(weight.max(1));
        team.max_in_flight = max_in_flight;
    }

    fn team(&mut self, name: &Name) -> &mut Team<T> {
        let start = self.virtual_now;
        self.teams.entry(name.clone()).or_insert_with(|| Team {
            weight: 1.0,
            virtual_time: start,
            calls: VecDeque::new(),
            in_flight: 0,
            max_in_flight: u32::MAX,
        })
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.teams.values().map(|team| team.calls.len()).sum()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.teams.values().all(|team| team.calls.is_empty())
    }

    /// Lets a call wait, or refuses it at once when its team's queue is full
    /// or its deadline would pass before `slots` places come round to it and it
    /// has run.
    pub fn push(
        &mut self,
        call: Waiting<T>,
        slots: u32,
        now: Duration,
    ) -> Result<(), (Waiting<T>, Refusal)> {
        let wait = self.expected_wait(&call.team, slots);
        let needed = wait + Duration::from_secs_f64(self.mean_call.unwrap_or(0.0));
        let per_team = self.per_team;
        let start = self.virtual_now;
        let team = self.team(&call.team);
        let reason = if team.calls.len() >= per_team {
            "the team's queue is full"
        } else if now + needed > call.deadline {
            "the deadline would pass in the queue"
        } else {
            if team.calls.is_empty() {
                team.virtual_time = team.virtual_time.max(start);
            }
            let at = team.calls.partition_point(|c| c.priority >= call.priority);
            team.calls.insert(at, call);
            return Ok(());
        };
        let retry_after = wait.max(FIRST_RETRY_AFTER / 10);
        Err((
            call,
            Refusal {
                reason,
                retry_after,
            },
        ))
    }

    /// Time until a new call of the team would be granted.
    pub fn expected_wait(&self, team: &Name, slots: u32) -> Duration {
        let Some(mean) = self.mean_call else {
            return if slots == 0 {
                FIRST_RETRY_AFTER
            } else {
                Duration::ZERO
            };
        };
        let ahead = self.teams.get(team).map_or(0, |t| t.calls.len());
        let waiting: f64 = self
            .teams
            .values()
            .filter(|t| !t.calls.is_empty())
            .map(|t| t.weight)
            .sum();
        let own = self.teams.get(team).map_or(1.0, |t| t.weight);
        let share = if waiting > 0.0 {
            (own / waiting.max(own)).min(1.0)
        } else {
            1.0
        };
        let rate = f64::from(slots.max(1)) * share / mean.max(0.001);
        Duration::from_secs_f64((ahead as f64 / rate).min(3600.0))
    }

    /// Takes the next call whose team is below its limit and for which `fits`
    /// holds; the team served least for its weight goes first.
    pub fn pop(&mut self, mut fits: impl FnMut(&T) -> bool) -> Option<Waiting<T>> {
        let mut order: Vec<(f64, Name)> = self
            .teams
            .iter()
            .filter(|(_, t)| !t.calls.is_empty() && t.in_flight < t.max_in_flight)
            .map(|(name, t)| (t.virtual_time, name.clone()))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, name) in order {
            let team = self.teams.get_mut(&name)?;
            let Some(at) = team.calls.iter().position(|call| fits(&call.item)) else {
                continue;
            };
            let call = team.calls.remove(at)?;
            self.virtual_now = self.virtual_now.max(team.virtual_time);
            team.virtual_time += 1.0 / team.weight;
            team.in_flight += 1;
            return Some(call);
        }
        None
    }

    /// A granted call of the team ended after `took`; `None` when it did not run.
    pub fn on_end(&mut self, team: &Name, took: Option<Duration>) {
        if let Some(team) = self.teams.get_mut(team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
        if let Some(took) = took {
            let took = took.as_secs_f64();
            let mean = self.mean_call.unwrap_or(took);
            self.mean_call = Some(mean + (took - mean) * SAMPLE_WEIGHT);
        }
    }

    /// Changes every call that waits.
    pub fn update(&mut self, mut change: impl FnMut(&mut Waiting<T>)) {
        for team in self.teams.values_mut() {
            team.calls.iter_mut().for_each(&mut change);
        }
    }

    /// Removes the calls whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting<T>> {
        self.remove(|call| call.deadline <= now)
    }

    /// Removes the calls that match.
    pub fn remove(&mut self, matches: impl Fn(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let mut out = Vec::new();
        for team in self.teams.values_mut() {
            let (gone, kept): (VecDeque<_>, VecDeque<_>) = team.calls.drain(..).partition(&matches);
            team.calls = kept;
            out.extend(gone);
        }
        out
    }
}
