use std::time::Duration;

use rw_protocol::{rendezvous_rank, Name};

/// Time for which a free slot is assigned to one entry. Equals the interval of
/// load reports, after which the other entries know whether it was acquired.
const ROTATION_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a released slot stays reserved for the entry that released it.
const RELEASED_SLOT_RESERVATION: Duration = Duration::from_millis(150);

/// Rotates the last free slots of a server among the entries. Entries learn of
/// each other's requests with a delay; without the rotation several of them would
/// fill the same slot.
#[derive(Clone, Debug, Default)]
pub struct SlotRotation {
    // Times at which requests of this entry released slots.
    released: Vec<Duration>,
    last_used_round: Option<u64>,
}

/// Position of an entry among those that send requests to the same servers.
#[derive(Clone, Copy, Debug)]
pub struct EntryPosition {
    /// Index of the entry in an order that is the same at all entries.
    pub index: usize,
    /// Number of entries.
    pub count: usize,
}

impl SlotRotation {
    /// Records that a request of this entry released a slot.
    pub fn on_released(&mut self, now: Duration) {
        self.released
            .retain(|at| now < *at + RELEASED_SLOT_RESERVATION);
        self.released.push(now);
    }

    /// Whether this entry may acquire one of `free` slots. `wall_clock` is
    /// roughly synchronized between the entries; `now` is local.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_routing::{EntryPosition, SlotRotation};
    /// let (rotation, wall_clock) = (SlotRotation::default(), Duration::from_secs(7));
    /// let may_acquire_at = |index| {
    ///     let position = EntryPosition { index, count: 4 };
    ///     rotation.may_acquire(&"s".into(), 1, position, wall_clock, wall_clock)
    /// };
    /// assert_eq!((0..4).filter(|index| may_acquire_at(*index)).count(), 1);
    /// ```
    pub fn may_acquire(
        &self,
        server: &Name,
        free: u32,
        position: EntryPosition,
        wall_clock: Duration,
        now: Duration,
    ) -> bool {
        let has_reserved = self
            .released
            .iter()
            .any(|at| now < *at + RELEASED_SLOT_RESERVATION);
        // With a slot for each entry, all of them can acquire one independently.
        let enough_for_all = free as usize >= position.count;
        if free == 0 || has_reserved || enough_for_all {
            return free > 0;
        }
        let round = round(wall_clock);
        let first = rendezvous_rank(&round.to_string(), server) as usize % position.count;
        let offset = (position.index + position.count - first) % position.count;
        offset < free as usize && self.last_used_round != Some(round)
    }

    /// Records that this entry acquired a slot.
    pub fn on_acquired(&mut self, wall_clock: Duration, now: Duration) {
        self.released
            .retain(|at| now < *at + RELEASED_SLOT_RESERVATION);
        if self.released.pop().is_none() {
            self.last_used_round = Some(round(wall_clock));
        }
    }
}

fn round(wall_clock: Duration) -> u64 {
    (wall_clock.as_millis() / ROTATION_PERIOD.as_millis()) as u64
}
