use std::collections::BTreeMap;
use std::time::Duration;

use rw_protocol::Name;

/// Share of the limit at which permits are granted. The rest covers the time that requests
/// take to the server, which differs between them.
const PACE_SHARE: f64 = 0.92;
/// Time by which a permit may be granted late without slowing down the ones after it.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);
/// Longest time between two permits, also under a limit of 0: the response to a request
/// shows whether the limit still holds.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Latest time to come back that refused callers are given, to spread their returns.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// Identifies the request at this issuer.
    pub id: u64,
    /// Entry that asks.
    pub entry: Name,
    /// Requests with a lower rank are granted permits first.
    pub rank: u32,
    /// Time for which it waits for a permit. Zero if another server can take the request.
    pub patience: Duration,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitDecision {
    /// The request may be sent now.
    Granted,
    /// It waits; [`LimitIssuer::poll`] returns its outcome.
    Queued,
    /// There is no permit within its patience.
    Refused(PermitRefusal),
}

/// When to try again after a request for a permit was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PermitRefusal {
    /// Time until a permit is due that nobody waits for.
    pub next_permit: Duration,
    /// Time after which the caller should come back, later than for callers that were
    /// refused before.
    pub retry_after: Duration,
}

impl PermitRefusal {
    /// Refusal whose caller may come back as soon as a permit is due.
    pub fn after(delay: Duration) -> Self {
        PermitRefusal {
            next_permit: delay,
            retry_after: delay,
        }
    }
}

struct Waiting {
    request: PermitRequest,
    deadline: Duration,
}

/// Grants the permits of one server at the pace of its limit: in any four seconds no more
/// than the server takes in that time, and one. An unused permit is not saved up.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{LimitIssuer, PermitDecision, PermitRequest};
/// let mut issuer = LimitIssuer::new(2.0, Duration::ZERO);
/// let request = |id| PermitRequest {
///     id, entry: "e".into(), rank: 0, patience: Duration::ZERO,
/// };
/// let at = Duration::from_secs(1);
/// assert_eq!(issuer.request(request(1), at).0, PermitDecision::Granted);
/// assert!(matches!(issuer.request(request(2), at).0, PermitDecision::Refused(_)));
/// ```
pub struct LimitIssuer {
    limit: f64,
    share: f64,
    // Time of the last permit, or of the start; a late permit counts as less late.
    last: Duration,
    // In the order in which they are granted permits.
    waiting: Vec<Waiting>,
    // Latest time to come back that a refused caller was given.
    return_at: Duration,
    granted: BTreeMap<Name, u64>,
    refused: u64,
}

impl LimitIssuer {
    /// Creates an issuer for a limit in requests per second. The first permit is due after
    /// one interval, since other entries may have sent requests just before.
    pub fn new(limit: f64, now: Duration) -> Self {
        LimitIssuer {
            limit,
            share: 1.0,
            last: now,
            waiting: Vec::new(),
            return_at: Duration::ZERO,
            granted: BTreeMap::new(),
            refused: 0,
        }
    }

    /// Changes the limit, in requests per second.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Sets the share of the limit that this issuer may use, above 0 and at most 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    fn interval(&self) -> Duration {
        let interval_s = 1.0 / (self.limit * PACE_SHARE);
        Duration::from_secs_f64(interval_s.min(MAX_INTERVAL.as_secs_f64()) / self.share)
    }

    fn due_at(&self) -> Duration {
        self.last + self.interval()
    }

    /// Asks for a permit. Also returns the waiting requests that can no longer be granted
    /// one in time because this request goes first.
    pub fn request(
        &mut self,
        request: PermitRequest,
        now: Duration,
    ) -> (PermitDecision, Vec<(u64, PermitRefusal)>) {
        let due_at = self.due_at();
        if self.waiting.is_empty() && now >= due_at {
            self.grant(&request.entry, now);
            return (PermitDecision::Granted, Vec::new());
        }
        let index = self
            .waiting
            .partition_point(|waiting| waiting.request.rank <= request.rank);
        let granted_at = due_at.max(now) + self.interval().mul_f64(index as f64);
        let deadline = now + request.patience;
        if granted_at > deadline {
            let refusal = self.refuse(now);
            return (PermitDecision::Refused(refusal), Vec::new());
        }
        self.waiting.insert(index, Waiting { request, deadline });
        (PermitDecision::Queued, self.remove_late(index + 1, now))
    }

    // Removes requests from an index on whose turn comes after their deadline.
    fn remove_late(&mut self, from: usize, now: Duration) -> Vec<(u64, PermitRefusal)> {
        let mut late = Vec::new();
        let mut index = from;
        while index < self.waiting.len() {
            let granted_at = self.due_at().max(now) + self.interval().mul_f64(index as f64);
            if granted_at <= self.waiting[index].deadline {
                index += 1;
                continue;
            }
            let removed = self.waiting.remove(index);
            late.push((removed.request.id, self.refuse(now)));
        }
        late
    }

    // When a permit is due that no waiting request will take.
    fn next_free(&self, now: Duration) -> Duration {
        self.due_at().max(now) + self.interval().mul_f64(self.waiting.len() as f64)
    }

    // Spreads the returns of refused callers over the permits to come.
    fn refuse(&mut self, now: Duration) -> PermitRefusal {
        let next_free = self.next_free(now);
        let next_return = next_free.max(self.return_at + self.interval());
        self.return_at = next_return.min(next_free.max(now + MAX_RETURN_DELAY));
        self.refused += 1;
        PermitRefusal {
            next_permit: next_free - now,
            retry_after: self.return_at - now,
        }
    }

    fn grant(&mut self, entry: &Name, now: Duration) {
        self.last = self.due_at().max(now.saturating_sub(MAX_CATCH_UP));
        *self.granted.entry(entry.clone()).or_default() += 1;
    }

    /// Returns the waiting requests that are granted a permit now, and those that are
    /// refused after their patience.
    pub fn poll(&mut self, now: Duration) -> Vec<(u64, PermitDecision)> {
        let mut out = Vec::new();
        while !self.waiting.is_empty() && now >= self.due_at() {
            let waiting = self.waiting.remove(0);
            // A process that was suspended finds requests that nobody waits for.
            if now > waiting.deadline + MAX_CATCH_UP {
                out.push((
                    waiting.request.id,
                    PermitDecision::Refused(PermitRefusal::default()),
                ));
                continue;
            }
            self.grant(&waiting.request.entry, now);
            out.push((waiting.request.id, PermitDecision::Granted));
        }
        let late = self.remove_late(0, now);
        let late = late.into_iter();
        out.extend(late.map(|(id, refusal)| (id, PermitDecision::Refused(refusal))));
        out
    }

    /// Ends the issuer and returns the requests that wait.
    pub fn into_waiting(self) -> Vec<u64> {
        let waiting = self.waiting.into_iter();
        waiting.map(|waiting| waiting.request.id).collect()
    }

    /// When [`poll`](Self::poll) has to be called next, if any request waits.
    pub fn next_poll(&self) -> Option<Duration> {
        (!self.waiting.is_empty()).then(|| self.due_at())
    }

    /// Number of permits granted to each entry, and of requests refused.
    pub fn usage(&self) -> (&BTreeMap<Name, u64>, u64) {
        (&self.granted, self.refused)
    }
}
