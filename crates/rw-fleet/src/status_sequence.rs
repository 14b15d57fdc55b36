//! Order of the statuses that a daemon sends about its backend server.

/// Numbers the statuses of one process of a daemon.
///
/// ```
/// let mut sequence = rw_fleet::StatusSequence::new(1_800_000_000_000);
/// assert!(sequence.advance() < sequence.advance());
/// ```
#[derive(Debug)]
pub struct StatusSequence(u64);

impl StatusSequence {
    /// Creates the sequence of a process that started at this Unix time in ms, so that a
    /// restarted daemon continues with higher numbers.
    pub fn new(started_ms: u64) -> Self {
        StatusSequence(started_ms)
    }

    /// Returns the next sequence number.
    pub fn advance(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

/// Whether a status with this sequence number is newer than the one with the known
/// number.
pub(crate) fn is_newer(sequence: u64, known: u64) -> bool {
    sequence > known
}
