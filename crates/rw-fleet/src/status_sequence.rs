//! Order of the statuses that a daemon sends about its backend server.

/// Low bits of a sequence number that count the statuses of one process; the bits above
/// identify the process.
const COUNT_BITS: u32 = 16;

/// Numbers the statuses of one process of a daemon.
///
/// ```
/// let mut sequence = rw_fleet::StatusSequence::new(1_800_000_000_000);
/// assert!(sequence.advance() < sequence.advance());
/// ```
#[derive(Debug)]
pub struct StatusSequence(u64);

impl StatusSequence {
    /// Creates the sequence of a process that started at this Unix time in ms, which
    /// tells it from other processes and does not order them.
    pub fn new(started_ms: u64) -> Self {
        StatusSequence(started_ms << COUNT_BITS)
    }

    /// Continues with higher numbers than a known one, which another process gave out.
    pub fn go_on_after(&mut self, sequence: u64) {
        if self.0 < sequence {
            self.0 = ((sequence >> COUNT_BITS) + 1) << COUNT_BITS;
        }
    }

    /// Returns the next sequence number.
    pub fn advance(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

/// Whether a status that arrives with this sequence number replaces the known one. A
/// status of another process always does: that process was started later, even if the
/// clock of its machine shows an earlier time.
pub(crate) fn supersedes(sequence: u64, known: u64) -> bool {
    let process = |sequence: u64| sequence >> COUNT_BITS;
    process(sequence) != process(known) || sequence > known
}
