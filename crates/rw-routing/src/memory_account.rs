//! Account of the memory that callers hold at a process: which bytes are granted, and which
//! connection has to close when they run short.

use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the machine's memory that callers hold together. The rest is for the process
/// itself, for the buffers of its connections and for messages of other daemons.
const CALLERS_SHARE: f64 = 0.4;
/// Share of those bytes that is kept for connections that hold little.
const RESERVE_SHARE: f64 = 0.125;
/// Share of those bytes that a single connection may hold.
const CONNECTION_SHARE: f64 = 0.75;
/// Bytes up to which a connection may use the reserve.
const SMALL_BYTES: u64 = 64 << 10;
/// Time for which a connection may be slower than [`MIN_BYTES_PER_S`].
const GRACE: Duration = Duration::from_secs(10);
/// Rate below which a connection counts as making no progress.
const MIN_BYTES_PER_S: u64 = 4 << 10;
/// Time without progress after which a connection may be closed to make room for others; pauses
/// of a sound connection, such as the resend of a lost packet, are shorter.
const MIN_STALL: Duration = Duration::from_millis(300);

/// Limits on the memory that callers hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimits {
    /// Bytes of all connections together.
    pub total: u64,
    /// Bytes of `total` that only connections with at most `small` bytes may use.
    pub reserve: u64,
    /// Bytes up to which a connection may use the reserve.
    pub small: u64,
    /// Bytes of a single connection.
    pub per_connection: u64,
    /// Time for which a connection may be slower than `min_bytes_per_s`.
    pub grace: Duration,
    /// Minimum transfer rate after the grace period, in bytes per second.
    pub min_bytes_per_s: u64,
    /// Time without progress after which a connection may be closed to make room for others.
    pub min_stall: Duration,
}

impl MemoryLimits {
    /// Limits for a machine with this memory in bytes; `None` if it is unlimited (0).
    ///
    /// ```
    /// use rw_routing::MemoryLimits;
    /// let limits = MemoryLimits::for_machine(112 << 20).unwrap();
    /// assert!(limits.per_connection > 4 << 20 && limits.total < 56 << 20);
    /// assert!(MemoryLimits::for_machine(0).is_none());
    /// ```
    pub fn for_machine(bytes: u64) -> Option<Self> {
        if bytes == 0 {
            return None;
        }
        let total = (bytes as f64 * CALLERS_SHARE) as u64;
        Some(MemoryLimits {
            total,
            reserve: (total as f64 * RESERVE_SHARE) as u64,
            small: SMALL_BYTES,
            per_connection: (total as f64 * CONNECTION_SHARE) as u64,
            grace: GRACE,
            min_bytes_per_s: MIN_BYTES_PER_S,
            min_stall: MIN_STALL,
        })
    }
}

/// Whether a connection gets the bytes that it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryGrant {
    /// It holds them now.
    Granted,
    /// It may ask again when the named connection has been closed.
    AfterClosing(u64),
    /// Other connections that are closing hold them; it may ask again when they are gone.
    Wait,
    /// There is no memory for them.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    // Whether the process waits for this connection to send or to take bytes.
    awaits_transfer: bool,
    // Moves on with each transferred byte, as fast as time at the minimum rate.
    credited_until: Duration,
    is_closing: bool,
}

impl Holder {
    fn transfer_delay(&self, now: Duration) -> Duration {
        match self.awaits_transfer {
            true => now.saturating_sub(self.credited_until),
            false => Duration::ZERO,
        }
    }
}

/// Memory that connections hold. Times are counted from any fixed start.
///
/// ```
/// use std::time::Duration;
/// use rw_routing::{MemoryAccount, MemoryGrant, MemoryLimits};
/// let limits = MemoryLimits::for_machine(100 << 20).unwrap();
/// let mut account = MemoryAccount::new(limits);
/// account.open(1);
/// assert_eq!(account.take(1, 1000, Duration::ZERO), MemoryGrant::Granted);
/// assert_eq!(account.held(), 1000);
/// account.give_back(1, 1000);
/// assert_eq!(account.held(), 0);
/// ```
#[derive(Debug)]
pub struct MemoryAccount {
    limits: MemoryLimits,
    holders: BTreeMap<u64, Holder>,
    held: u64,
}

impl MemoryAccount {
    /// Creates an account of which nothing is held.
    pub fn new(limits: MemoryLimits) -> Self {
        MemoryAccount {
            limits,
            holders: BTreeMap::new(),
            held: 0,
        }
    }

    /// Bytes that all connections hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Adds a connection, which holds nothing and is not waited for.
    pub fn open(&mut self, id: u64) {
        let holder = Holder {
            bytes: 0,
            awaits_transfer: false,
            credited_until: Duration::ZERO,
            is_closing: false,
        };
        self.holders.insert(id, holder);
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, id: u64) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.bytes;
        }
    }

    /// Says whether the process waits for a connection to send or to take bytes. The grace
    /// period begins when it starts to wait.
    pub fn set_awaiting_transfer(&mut self, id: u64, awaits_transfer: bool, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if awaits_transfer && !holder.awaits_transfer {
                holder.credited_until = now;
            }
            holder.awaits_transfer = awaits_transfer;
        }
    }

    /// A connection has sent or taken bytes.
    pub fn on_transfer(&mut self, id: u64, bytes: u64, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let rate = self.limits.min_bytes_per_s.max(1) as f64;
            let credit = Duration::from_secs_f64(bytes as f64 / rate);
            holder.credited_until = now.min(holder.credited_until + credit);
        }
    }

    /// Whether a connection has been slower than the minimum rate for the grace period.
    pub fn is_too_slow(&self, id: u64, now: Duration) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.transfer_delay(now) > self.limits.grace)
    }

    /// Asks for bytes on behalf of a connection.
    pub fn take(&mut self, id: u64, bytes: u64, now: Duration) -> MemoryGrant {
        let Some(holder) = self.holders.get(&id) else {
            return MemoryGrant::Refused;
        };
        let wanted = holder.bytes.saturating_add(bytes);
        if wanted > self.limits.per_connection {
            return MemoryGrant::Refused;
        }
        let bound = match wanted <= self.limits.small {
            true => self.limits.total,
            false => self.limits.total - self.limits.reserve,
        };
        let missing = self.held.saturating_add(bytes).saturating_sub(bound);
        if missing > 0 {
            return self.make_room(id, missing, now);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = wanted;
        }
        self.held += bytes;
        MemoryGrant::Granted
    }

    /// A connection holds that many bytes less.
    pub fn give_back(&mut self, id: u64, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            self.held -= bytes;
        }
    }

    // Chooses the connection that has held the most for the longest time without progress.
    fn make_room(&mut self, id: u64, missing: u64, now: Duration) -> MemoryGrant {
        let closing = self.holders.values().filter(|holder| holder.is_closing);
        if closing.map(|holder| holder.bytes).sum::<u64>() >= missing {
            return MemoryGrant::Wait;
        }
        let min_stall = self.limits.min_stall;
        let stalled = self.holders.iter().filter(|(other, holder)| {
            **other != id
                && !holder.is_closing
                && holder.bytes > 0
                && holder.transfer_delay(now) >= min_stall
        });
        let weight =
            |holder: &Holder| holder.bytes as f64 * holder.transfer_delay(now).as_secs_f64();
        let worst = stalled.max_by(|(_, a), (_, b)| weight(a).total_cmp(&weight(b)));
        let Some(worst) = worst.map(|(id, _)| *id) else {
            return MemoryGrant::Refused;
        };
        if let Some(holder) = self.holders.get_mut(&worst) {
            holder.is_closing = true;
        }
        MemoryGrant::AfterClosing(worst)
    }
}
