use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use rw_coord::HybridClock;
use rw_protocol::{EventRecord, Name};

use crate::{Event, Metrics};

/// Events that a daemon keeps for the time line.
const RING_EVENTS: usize = 4096;

struct Inner {
    daemon: Name,
    clock: HybridClock,
    ring: Mutex<VecDeque<EventRecord>>,
    metrics: Metrics,
}

/// Records numbered events: to the log, the metrics and the time line's ring.
#[derive(Clone)]
pub struct Recorder(Arc<Inner>);

impl Recorder {
    /// A recorder for the named daemon.
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
        if ring.len() == RING_EVENTS {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// Events with a stamp above `since`, oldest first.
    pub fn events(&self, since: u64) -> Vec<EventRecord> {
        let ring = self.0.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().filter(|e| e.stamp > since).cloned().collect()
    }

    /// The daemon's clock, to take over stamps from other daemons.
    pub fn clock(&self) -> &HybridClock {
        &self.0.clock
    }

    /// The daemon's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }
}
