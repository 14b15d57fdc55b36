//! What a simulation plays.

use std::time::Duration;

use super::{MS, SECOND};

/// Which entry gets a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Demand {
    AllAlike,
    OneEntry,
    MovingAbout,
    /// At all alike, for one second in ten.
    Bursts,
}

/// What happens to an entry. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Kill,
    Start,
    Leave,
    FreezeFor(u64),
    /// No messages between it and other entries.
    CutOff,
    /// No messages between it and one other entry, until the link is healed.
    CutLinkTo(usize),
    HealLinkTo(usize),
    Heal,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub entries: usize,
    /// Limits of the servers of the service, each with changes `(at, limit)`.
    pub servers: Vec<Vec<(u64, Option<f64>)>>,
    pub seconds: u64,
    pub per_s: f64,
    pub demand: Demand,
    pub patience: Duration,
    /// Share of messages between entries that are lost, and of those that are repeated.
    pub loss: f64,
    /// Largest delay of a message, in microseconds.
    pub max_delay: u64,
    /// Largest time until a server responds, in microseconds.
    pub max_response_time: u64,
    pub faults: Vec<(u64, usize, Fault)>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            entries: 3,
            servers: vec![vec![(2 * SECOND, Some(2.0))]],
            seconds: 40,
            per_s: 60.0,
            demand: Demand::AllAlike,
            patience: Duration::from_millis(200),
            loss: 0.0,
            max_delay: 6 * MS,
            max_response_time: 150 * MS,
            faults: Vec::new(),
        }
    }
}
