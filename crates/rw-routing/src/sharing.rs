use std::time::Duration;

use rw_protocol::{rank, Name};

/// Time for which a free slot belongs to one entry: the period of load news,
/// after which the others know whether it was taken.
const ROTATION_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a slot belongs to the entry whose request left it.
const RELEASED_SLOT_RESERVATION: Duration = Duration::from_millis(150);

/// Which entry may take the last free slots of a server. Entries see each
/// other's requests with a delay; without turns each of them would fill the
/// same slot.
#[derive(Clone, Debug, Default)]
pub struct SlotRotation {
    released: Vec<Duration>,
    last_used_round: Option<u64>,
}

/// One entry among those that send requests to the same servers.
#[derive(Clone, Copy, Debug)]
pub struct EntryPosition {
    /// Its place among them, the same for every observer.
    pub index: usize,
    /// How many they are.
    pub count: usize,
}

impl SlotRotation {
    /// A request of this entry left a slot.
    pub fn on_released(&mut self, now: Duration) {
        self.released
            .retain(|at| now < *at + RELEASED_SLOT_RESERVATION);
        self.released.push(now);
    }

    /// Whether this entry may take one of `free` slots. `clock` is a time that
    /// the entries roughly share.
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
        // Each entry may take one of that many without knowing of the others.
        let enough_for_all = free as usize >= position.count;
        if free == 0 || has_reserved || enough_for_all {
            return free > 0;
        }
        let round = round(wall_clock);
        let first = rank(&round.to_string(), server) as usize % position.count;
        let offset = (position.index + position.count - first) % position.count;
        offset < free as usize && self.last_used_round != Some(round)
    }

    /// This entry took a slot.
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
