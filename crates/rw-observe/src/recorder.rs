use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use rw_coord::HybridClock;
use rw_protocol::{EventRecord, Name};

use crate::{Event, Metrics};

/// Maximum number of events that a daemon keeps for the timeline; the oldest are
/// dropped first.
const RING_CAPACITY: usize = 4096;

struct Inner {
    daemon: Name,
    clock: HybridClock,
    ring: Mutex<VecDeque<EventRecord>>,
    metrics: Metrics,
}

/// Records numbered events in the log, the metrics and the timeline's ring
/// buffer.
#[derive(Clone)]
pub struct Recorder(Arc<Inner>);

impl Recorder {
    /// Creates a recorder for the named daemon.
    ///
    /// ```
    /// use rw_observe::{Event, Metrics, Recorder};
    /// let recorder = Recorder::new("host-1".into(), Metrics::new());
    /// recorder.emit(Event::DaemonStarted, "role=host");
    /// assert_eq!(recorder.events(0)[0].number, 100);
    /// ```
    pub fn new(daemon: Name, metrics: Metrics) -> Self {
        Recorder(Arc::new(Inner {
            daemon,
            clock: HybridClock::default(),
            ring: Mutex::new(VecDeque::new()),
            metrics,
        }))
    }

    /// Records an event; `detail` is `key=value` pairs.
    pub fn emit(&self, event: Event, detail: &str) {
        log::log!(
            event.level(),
            "event={} name={} {detail}",
            event.number(),
            event.name()
        );
        self.0.metrics.count_event(event);
        let record = EventRecord {
            number: event.number(),
            event: Name::from(event.name()),
            stamp: self.0.clock.now(),
            daemon: self.0.daemon.clone(),
            detail: detail.to_string(),
        };
        let mut ring = self.0.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == RING_CAPACITY {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// Returns the events with a stamp later than `since`, oldest first.
    pub fn events(&self, since: u64) -> Vec<EventRecord> {
        let ring = self.0.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().filter(|e| e.stamp > since).cloned().collect()
    }

    /// Clock of the daemon, to be advanced by the stamps of other daemons.
    pub fn clock(&self) -> &HybridClock {
        &self.0.clock
    }

    /// Metrics of the daemon.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }
}
