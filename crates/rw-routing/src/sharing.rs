use std::time::Duration;

use rw_protocol::{rank, Name};

/// Time for which a free slot belongs to one entry: the period of load news,
/// after which the others know whether it was taken.
const TURN: Duration = Duration::from_millis(100);
/// Time for which a slot belongs to the entry whose request left it.
const OWN_TURN: Duration = Duration::from_millis(150);

/// Which entry may take the last free slots of a server. Entries see each
/// other's requests with a delay; without turns each of them would fill the
/// same slot.
#[derive(Clone, Debug, Default)]
pub struct SlotTurns {
    left: Vec<Duration>,
    used: Option<u64>,
}

/// One entry among those that send requests to the same servers.
#[derive(Clone, Copy, Debug)]
pub struct Sharer {
    /// Its place among them, the same for every observer.
    pub index: usize,
    /// How many they are.
    pub count: usize,
}

impl SlotTurns {
    /// A request of this entry left a slot.
    pub fn on_left(&mut self, now: Duration) {
        self.left.retain(|at| now < *at + OWN_TURN);
        self.left.push(now);
    }

    /// Whether this entry may take one of `free` slots. `clock` is a time that
    /// the entries roughly share.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rw_routing::{Sharer, SlotTurns};
    /// let (turns, clock) = (SlotTurns::default(), Duration::from_secs(7));
    /// let may = |index| {
    ///     let sharer = Sharer { index, count: 4 };
    ///     turns.may_take(&"s".into(), 1, sharer, clock, clock)
    /// };
    /// assert_eq!((0..4).filter(|index| may(*index)).count(), 1);
    /// ```
    pub fn may_take(
        &self,
        server: &Name,
        free: u32,
        sharer: Sharer,
        clock: Duration,
        now: Duration,
    ) -> bool {
        let own = self.left.iter().any(|at| now < *at + OWN_TURN);
        // Each entry may take one of that many without knowing of the others.
        let plenty = free as usize >= sharer.count;
        if free == 0 || own || plenty {
            return free > 0;
        }
        let turn = turn(clock);
        let first = rank(&turn.to_string(), server) as usize % sharer.count;
        let place = (sharer.index + sharer.count - first) % sharer.count;
        place < free as usize && self.used != Some(turn)
    }

    /// This entry took a slot.
    pub fn on_taken(&mut self, clock: Duration, now: Duration) {
        self.left.retain(|at| now < *at + OWN_TURN);
        if self.left.pop().is_none() {
            self.used = Some(turn(clock));
        }
    }
}

fn turn(clock: Duration) -> u64 {
    (clock.as_millis() / TURN.as_millis()) as u64
}
