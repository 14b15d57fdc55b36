use std::time::Duration;

use rw_protocol::Name;

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Team that sent it.
    pub team: Name,
    /// Whether its caller was refused before and returned when told.
    pub returning: bool,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Longest time that it may wait.
    pub patience: Duration,
}

/// Slots of the servers that may serve a request, as far as the entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Slots of the servers that accept requests.
    pub slots: u32,
    /// Free ones among them.
    pub free: u32,
    /// Requests that run there.
    pub running: u32,
    /// Requests that this entry runs there.
    pub own_running: u32,
}

impl ServiceRoom {
    // Share of the slots that this entry uses.
    pub(super) fn own_share(&self) -> f64 {
        f64::from(self.own_running.max(1)) / f64::from(self.running.max(1))
    }

    // Whether more slots are free than are kept. Where none are kept, the selection of an
    // engine decides alone.
    pub(super) fn exceeds(&self, reserved: f64) -> bool {
        reserved <= 0.0 || f64::from(self.free) > reserved
    }

    // Whether this entry's part of the free slots suffices for the requests before another
    // one and for that one.
    pub(super) fn has_spare(&self, ahead: usize) -> bool {
        ahead == 0 || f64::from(self.free) * self.own_share() > ahead as f64
    }
}

/// Identifies a request in the queue.
pub type Ticket = u64;

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may take a slot now, and else waits.
    Try,
    /// It waits for its turn.
    Wait,
    /// It is refused, because free slots are kept for more urgent requests.
    RefuseForUrgent,
    /// It is refused, because it would wait too long behind other requests.
    RefuseForWait,
}

/// The inputs of a decision, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionInputs {
    /// Waiting requests that go first.
    pub ahead: usize,
    /// Slots kept for more urgent requests.
    pub reserved: f64,
    /// Arrivals of more urgent requests per second.
    pub urgent_per_s: f64,
    /// Started requests per second.
    pub starts_per_s: f64,
    /// Time since the last start.
    pub starts_age: Duration,
    /// Forecast wait.
    pub wait: Duration,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Its ticket. A refused request has left the queue.
    pub ticket: Ticket,
    /// What becomes of it.
    pub verdict: Verdict,
    /// Why.
    pub inputs: AdmissionInputs,
}
