use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rw_protocol::Name;

/// Weight of the newest sample in a moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Share of the maximum wait up to which a request is admitted, so that few queued
/// requests expire when the grant rate falls.
const ADMISSION_SHARE: f64 = 0.6;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request waiting for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// The request itself.
    pub item: T,
    /// Team that sent it.
    pub team: Name,
    /// Higher values are served first within a team.
    pub priority: u32,
    /// When the caller stops waiting. The queue replaces it with the latest time at
    /// which the request may still be granted a slot.
    pub deadline: Duration,
}

/// Why a request is not admitted to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason, as sent to the caller.
    pub reason: &'static str,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

struct Team<T> {
    weight: f64,
    // Granted requests divided by the weight; the lowest value is served next.
    virtual_time: f64,
    requests: VecDeque<QueuedRequest<T>>,
    in_flight: u32,
    max_in_flight: u32,
}

/// Weighted fair queue over teams. Sheds requests that would miss their deadline.
pub struct FairQueue<T> {
    teams: BTreeMap<Name, Team<T>>,
    max_queued_per_team: usize,
    virtual_now: f64,
    max_wait: Duration,
    // Moving average of request durations.
    mean_duration_s: f64,
    // Moving average of the time between two grants while requests were queued.
    mean_grant_interval_s: f64,
    // Last grant, if requests remained queued after it.
    last_grant: Option<Duration>,
}

fn ewma(old: f64, sample: f64) -> f64 {
    match old {
        0.0 => sample,
        _ => old + (sample - old) * EWMA_WEIGHT,
    }
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds up to `max_queued_per_team` requests of each
    /// team, none of them longer than `max_wait`.
    ///
    /// ```
    /// use rw_routing::{FairQueue, QueuedRequest};
    /// use std::time::Duration;
    /// let mut queue = FairQueue::new(1, Duration::from_secs(1));
    /// let request = |n| QueuedRequest { item: n, team: "a".into(), priority: 0, deadline: Duration::from_secs(9) };
    /// assert!(queue.push(request(1), Duration::ZERO).is_ok());
    /// assert!(queue.push(request(2), Duration::ZERO).is_err());
    /// assert_eq!(queue.pop(Duration::ZERO, |_| true).unwrap().item, 1);
    /// ```
    pub fn new(max_queued_per_team: usize, max_wait: Duration) -> Self {
        FairQueue {
            teams: BTreeMap::new(),
            max_queued_per_team,
            virtual_now: 0.0,
            max_wait,
            mean_duration_s: 0.0,
            mean_grant_interval_s: 0.0,
            last_grant: None,
        }
    }

    /// Sets a team's weight and concurrency limit.
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
            requests: VecDeque::new(),
            in_flight: 0,
            max_in_flight: u32::MAX,
        })
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.teams.values().map(|team| team.requests.len()).sum()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.teams.values().all(|team| team.requests.is_empty())
    }

    /// Queues a request, or refuses it if the queue of its team is full, if its
    /// wait would be too long, or if it would finish after its deadline.
    pub fn push(
        &mut self,
        mut request: QueuedRequest<T>,
        now: Duration,
    ) -> Result<(), (QueuedRequest<T>, Refusal)> {
        let wait = self.expected_wait(&request.team, now);
        let expected_duration = Duration::from_secs_f64(self.mean_duration_s);
        let latest_start = request
            .deadline
            .saturating_sub(expected_duration)
            .min(now + self.max_wait);
        let max_wait_admitted = latest_start.saturating_sub(now).mul_f64(ADMISSION_SHARE);
        let max_queued_per_team = self.max_queued_per_team;
        let start = self.virtual_now;
        let team = self.team(&request.team);
        let reason = if team.requests.len() >= max_queued_per_team {
            "the team's queue is full"
        } else if wait > max_wait_admitted {
            "the wait for a host would be too long"
        } else {
            if team.requests.is_empty() {
                team.virtual_time = team.virtual_time.max(start);
            }
            request.deadline = latest_start.max(now);
            let index = team
                .requests
                .partition_point(|queued| queued.priority >= request.priority);
            team.requests.insert(index, request);
            return Ok(());
        };
        let retry_after = wait.max(MIN_RETRY_AFTER);
        Err((
            request,
            Refusal {
                reason,
                retry_after,
            },
        ))
    }

    /// Expected time until a new request of the team is granted a slot, from the
    /// team's queued requests and the recent grant rate of this entry. That rate
    /// already reflects the load that other entries put on the hosts.
    pub fn expected_wait(&self, team: &Name, now: Duration) -> Duration {
        let ahead = self.teams.get(team).map_or(0, |t| t.requests.len());
        if ahead == 0 {
            return Duration::ZERO;
        }
        let since_grant_s = self
            .last_grant
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let interval_s = self.mean_grant_interval_s.max(since_grant_s);
        let competing = self.teams.values().filter(|t| !t.requests.is_empty());
        let weights: f64 = competing.map(|t| t.weight).sum();
        let own = self.teams.get(team).map_or(1.0, |t| t.weight);
        let wait = ahead as f64 * interval_s * weights / own;
        Duration::from_secs_f64(wait.min(3600.0))
    }

    /// Grants the next request that `fits` accepts and whose team is below its
    /// concurrency limit. The team with the lowest virtual time is served first.
    pub fn pop(
        &mut self,
        now: Duration,
        mut fits: impl FnMut(&T) -> bool,
    ) -> Option<QueuedRequest<T>> {
        let mut order: Vec<(f64, Name)> = self
            .teams
            .iter()
            .filter(|(_, t)| !t.requests.is_empty() && t.in_flight < t.max_in_flight)
            .map(|(name, t)| (t.virtual_time, name.clone()))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, name) in order {
            let team = self.teams.get_mut(&name)?;
            let Some(index) = team.requests.iter().position(|request| fits(&request.item)) else {
                continue;
            };
            let request = team.requests.remove(index)?;
            self.virtual_now = self.virtual_now.max(team.virtual_time);
            team.virtual_time += 1.0 / team.weight;
            team.in_flight += 1;
            self.record_grant(now);
            return Some(request);
        }
        None
    }

    /// Records the end of a granted request; `duration` is `None` if it did not run.
    pub fn on_request_end(&mut self, team: &Name, duration: Option<Duration>) {
        if let Some(team) = self.teams.get_mut(team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
        if let Some(duration) = duration {
            self.mean_duration_s = ewma(self.mean_duration_s, duration.as_secs_f64());
        }
    }

    // Intervals count only while requests are queued; otherwise they measure the
    // callers' arrival rate.
    fn record_grant(&mut self, now: Duration) {
        if let Some(last) = self.last_grant {
            let interval_s = now.saturating_sub(last).as_secs_f64();
            self.mean_grant_interval_s = ewma(self.mean_grant_interval_s, interval_s);
        }
        self.last_grant = (!self.is_empty()).then_some(now);
    }

    /// Applies a change to every queued request.
    pub fn update(&mut self, mut change: impl FnMut(&mut QueuedRequest<T>)) {
        for team in self.teams.values_mut() {
            team.requests.iter_mut().for_each(&mut change);
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        self.remove(|request| request.deadline <= now)
    }

    /// Removes and returns the requests that match.
    pub fn remove(&mut self, matches: impl Fn(&QueuedRequest<T>) -> bool) -> Vec<QueuedRequest<T>> {
        let mut out = Vec::new();
        for team in self.teams.values_mut() {
            let (removed, kept): (VecDeque<_>, VecDeque<_>) =
                team.requests.drain(..).partition(&matches);
            team.requests = kept;
            out.extend(removed);
        }
        out
    }
}
