use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rw_protocol::Name;

/// Weight of the newest sample in a moving mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Share of the longest wait up to which calls are let in, so that few of them
/// wait in vain when the rate falls.
const ADMIT_SHARE: f64 = 0.6;
/// Shortest retry-after of a refusal.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// The call.
    pub item: T,
    /// Its team.
    pub team: Name,
    /// Higher goes first within a team.
    pub priority: u32,
    /// When the caller stops waiting; the queue may set it earlier.
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
    max_wait: Duration,
    // Mean time of a call in seconds.
    mean_call: f64,
    // Mean time between two grants in seconds, while calls waited.
    mean_gap: f64,
    // The last grant, if calls still waited after it.
    last_grant: Option<Duration>,
}

fn mean(old: f64, sample: f64) -> f64 {
    match old {
        0.0 => sample,
        _ => old + (sample - old) * SAMPLE_WEIGHT,
    }
}

impl<T> FairQueue<T> {
    /// At most `per_team` calls of one team wait, none longer than `max_wait`.
    ///
    /// ```
    /// use rw_routing::{FairQueue, Waiting};
    /// use std::time::Duration;
    /// let mut queue = FairQueue::new(1, Duration::from_secs(1));
    /// let call = |n| Waiting { item: n, team: "a".into(), priority: 0, deadline: Duration::from_secs(9) };
    /// assert!(queue.push(call(1), Duration::ZERO).is_ok());
    /// assert!(queue.push(call(2), Duration::ZERO).is_err());
    /// assert_eq!(queue.pop(Duration::ZERO, |_| true).unwrap().item, 1);
    /// ```
    pub fn new(per_team: usize, max_wait: Duration) -> Self {
        FairQueue {
            teams: BTreeMap::new(),
            per_team,
            virtual_now: 0.0,
            max_wait,
            mean_call: 0.0,
            mean_gap: 0.0,
            last_grant: None,
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

    /// Lets a call wait, or refuses it at once: when its team's queue is full,
    /// when it would wait too long, or when it would end after its deadline.
    pub fn push(
        &mut self,
        mut call: Waiting<T>,
        now: Duration,
    ) -> Result<(), (Waiting<T>, Refusal)> {
        let wait = self.expected_wait(&call.team, now);
        let runs = Duration::from_secs_f64(self.mean_call);
        let latest = call.deadline.saturating_sub(runs).min(now + self.max_wait);
        let allowed = latest.saturating_sub(now).mul_f64(ADMIT_SHARE);
        let per_team = self.per_team;
        let start = self.virtual_now;
        let team = self.team(&call.team);
        let reason = if team.calls.len() >= per_team {
            "the team's queue is full"
        } else if wait > allowed {
            "the wait for a host would be too long"
        } else {
            if team.calls.is_empty() {
                team.virtual_time = team.virtual_time.max(start);
            }
            call.deadline = latest.max(now);
            let at = team.calls.partition_point(|c| c.priority >= call.priority);
            team.calls.insert(at, call);
            return Ok(());
        };
        let retry_after = wait.max(SHORTEST_RETRY_AFTER);
        Err((
            call,
            Refusal {
                reason,
                retry_after,
            },
        ))
    }

    /// Time until a new call of the team would be granted: the calls of the
    /// team ahead of it, at the rate at which this entry was granted places
    /// lately. Other entries' share of the hosts is in that rate.
    pub fn expected_wait(&self, team: &Name, now: Duration) -> Duration {
        let ahead = self.teams.get(team).map_or(0, |t| t.calls.len());
        if ahead == 0 {
            return Duration::ZERO;
        }
        let silent = self
            .last_grant
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let gap = self.mean_gap.max(silent);
        let waiting = self.teams.values().filter(|t| !t.calls.is_empty());
        let weights: f64 = waiting.map(|t| t.weight).sum();
        let own = self.teams.get(team).map_or(1.0, |t| t.weight);
        let wait = ahead as f64 * gap * weights / own;
        Duration::from_secs_f64(wait.min(3600.0))
    }

    /// Takes the next call whose team is below its limit and for which `fits`
    /// holds; the team served least for its weight goes first.
    pub fn pop(&mut self, now: Duration, mut fits: impl FnMut(&T) -> bool) -> Option<Waiting<T>> {
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
            self.note_grant(now);
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
            self.mean_call = mean(self.mean_call, took.as_secs_f64());
        }
    }

    // Gaps count only while calls wait: otherwise they tell of the callers.
    fn note_grant(&mut self, now: Duration) {
        if let Some(last) = self.last_grant {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.mean_gap = mean(self.mean_gap, gap);
        }
        self.last_grant = (!self.is_empty()).then_some(now);
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
