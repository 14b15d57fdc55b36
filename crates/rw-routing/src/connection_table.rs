//! Bound on the open connections of a port, and which of them has to make room.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which a new connection has to send its first request before it is the first to
/// make room. Callers allow as much for a connection to be established.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionActivity {
    /// Nothing, or it sends a request that is not complete.
    Waiting,
    /// The process works on its request.
    Working,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    activity: ConnectionActivity,
    has_been_served: bool,
    since: Duration,
}

impl Entry {
    // Order in which waiting connections make room: those that were not served although they
    // had the time, then the one that has waited longest, and new ones last. Otherwise new
    // callers would displace each other while idle connections keep their places.
    fn order(&self, now: Duration) -> (bool, bool, Duration) {
        let is_new = !self.has_been_served && now < self.since + FIRST_REQUEST_TIME;
        (is_new, self.has_been_served, self.since)
    }
}

/// Open connections of a port. Times are counted from any fixed start.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{ConnectionRoom, ConnectionTable};
/// let mut table = ConnectionTable::new(1);
/// assert_eq!(table.open(1, Duration::ZERO), ConnectionRoom::Free);
/// assert_eq!(table.open(2, Duration::from_secs(1)), ConnectionRoom::Closing(1));
/// ```
#[derive(Debug)]
pub struct ConnectionTable {
    max: usize,
    open: BTreeMap<u64, Entry>,
}

/// Whether there is room for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRoom {
    /// There is.
    Free,
    /// There is once the named connection, which is no longer counted, is closed.
    Closing(u64),
    /// There is none; the new connection is not counted.
    Full,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    pub fn new(max: usize) -> Self {
        ConnectionTable {
            max,
            open: BTreeMap::new(),
        }
    }

    /// Number of counted connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a connection. A connection that was not served within a second makes room first,
    /// then the one that has waited for the longest time.
    pub fn open(&mut self, id: u64, now: Duration) -> ConnectionRoom {
        let mut room = ConnectionRoom::Free;
        if self.open.len() >= self.max {
            let waiting = self
                .open
                .iter()
                .filter(|(_, entry)| entry.activity == ConnectionActivity::Waiting);
            let oldest = waiting.min_by_key(|(_, entry)| entry.order(now));
            let Some(oldest) = oldest.map(|(id, _)| *id) else {
                return ConnectionRoom::Full;
            };
            self.open.remove(&oldest);
            room = ConnectionRoom::Closing(oldest);
        }
        let entry = Entry {
            activity: ConnectionActivity::Waiting,
            has_been_served: false,
            since: now,
        };
        self.open.insert(id, entry);
        room
    }

    /// A connection begins or ends a request.
    pub fn set(&mut self, id: u64, activity: ConnectionActivity, now: Duration) {
        if let Some(entry) = self.open.get_mut(&id) {
            entry.has_been_served |= activity == ConnectionActivity::Working;
            (entry.activity, entry.since) = (activity, now);
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }
}
