//! Evacuations of availability zones that operators asked for.

use std::time::Duration;

use rw_coord::uptime;
use rw_observe::Event;
use rw_protocol::Name;
use rw_routing::{evacuation_share, return_share};

use crate::{Bounds, ClusterState, PlatformCodec, Snapshot, StoreClock, TimeSpan};

/// Request of an operator that the servers of an availability zone get no more requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The availability zone.
    pub zone: Name,
    /// Uptime of this machine when its row was applied.
    pub applied_at: Duration,
    /// When the row was made, on the store's steady clock; `None` if not known.
    pub made: Option<TimeSpan>,
}

impl Evacuation {
    /// Greatest possible time since the row was made; `None` if it is not known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_fleet::{ClockReading, Evacuation, StoreClock, TimeSpan};
    /// let mut clock = StoreClock::default();
    /// let reading = ClockReading { era: 0, time: TimeSpan::at(70_000) };
    /// clock.observe(reading, Duration::from_secs(1), Duration::from_secs(1));
    /// let evacuation = Evacuation {
    ///     zone: "z".into(),
    ///     applied_at: Duration::from_secs(1),
    ///     made: Some(TimeSpan { earliest_ms: 69_000, latest_ms: 69_500 }),
    /// };
    /// let age = evacuation.age(&clock, Duration::from_secs(2));
    /// assert_eq!(age, Some(Duration::from_secs(2)));
    /// ```
    pub fn age(&self, clock: &StoreClock, uptime: Duration) -> Option<Duration> {
        let now_ms = clock.read(uptime)?.time.latest_ms;
        let age_ms = now_ms.saturating_sub(self.made?.earliest_ms);
        let known_for = uptime.saturating_sub(self.applied_at);
        Some(Duration::from_millis(age_ms).max(known_for))
    }
}

/// An evacuation whose row was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedEvacuation {
    /// The evacuation.
    pub evacuation: Evacuation,
    /// Uptime of this machine when the deletion was applied.
    pub ended_at: Duration,
}

impl Snapshot {
    /// Share of its usual requests, from 0 to 1, that the servers of an availability zone
    /// get.
    pub fn zone_share(&self, zone: &Name, bounds: &Bounds, uptime: Duration) -> f64 {
        let Some(bound) = bounds.evacuation else {
            return 1.0;
        };
        let clock = &self.store_clock;
        let in_force = self.evacuations.values().filter(|e| e.zone == *zone);
        let in_force = in_force.map(|e| evacuation_share(e.age(clock, uptime), bound));
        // One that begins while requests still come back starts at what they have reached.
        let returning = self.ended_evacuations.get(zone).map(|ended| {
            let since_end = uptime.saturating_sub(ended.ended_at);
            let age = ended.evacuation.age(clock, uptime);
            let age_at_end = age.map(|age| age.saturating_sub(since_end));
            return_share(evacuation_share(age_at_end, bound), since_end, bound)
        });
        in_force.chain(returning).fold(1.0, f64::min)
    }

    pub(crate) fn merge_evacuation_time(&mut self, zone: &Name, made: TimeSpan) {
        let known = self.evacuations.values_mut().find(|e| e.zone == *zone);
        if let Some(evacuation) = known {
            evacuation.made.get_or_insert(made);
        }
    }

    // Times on the clock of an earlier era of the store are shifted to the new clock.
    pub(crate) fn shift_evacuations(&mut self, shift_ms: i64) {
        let ended = self.ended_evacuations.values_mut();
        let ended = ended.map(|ended| &mut ended.evacuation);
        for evacuation in self.evacuations.values_mut().chain(ended) {
            evacuation.made = evacuation.made.and_then(|span| span.shift(shift_ms));
        }
    }
}

impl<D: PlatformCodec> ClusterState<D> {
    // A row that is written again does not start the evacuation anew.
    pub(crate) fn add_evacuation(
        &self,
        snapshot: &mut Snapshot,
        key: &Name,
        zone: Name,
        made: Option<TimeSpan>,
    ) {
        if snapshot.evacuations.contains_key(key) {
            return;
        }
        let applied_at = uptime();
        let evacuation = Evacuation {
            zone,
            applied_at,
            made,
        };
        let age = evacuation.age(&snapshot.store_clock, applied_at);
        let age = age.map_or("unknown".into(), |age| age.as_millis().to_string());
        let detail = format!("zone={} age_ms={age}", evacuation.zone);
        self.recorder.emit(Event::ZoneEvacuated, &detail);
        snapshot.evacuations.insert(key.clone(), evacuation);
        self.count_evacuations(snapshot);
    }

    pub(crate) fn end_evacuation(&self, snapshot: &mut Snapshot, key: &Name) {
        let Some(evacuation) = snapshot.evacuations.remove(key) else {
            return;
        };
        let ended_at = uptime();
        let known_for = ended_at.saturating_sub(evacuation.applied_at);
        let detail = format!(
            "zone={} known_for_ms={}",
            evacuation.zone,
            known_for.as_millis()
        );
        self.recorder.emit(Event::ZoneReturned, &detail);
        let zone = evacuation.zone.clone();
        let ended = EndedEvacuation {
            evacuation,
            ended_at,
        };
        snapshot.ended_evacuations.insert(zone, ended);
        self.count_evacuations(snapshot);
    }

    fn count_evacuations(&self, snapshot: &Snapshot) {
        let gauge = &self.recorder.metrics().zones_evacuated;
        gauge.set(snapshot.evacuations.len() as i64);
    }
}
