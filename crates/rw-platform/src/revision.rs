/// Bits of a packed revision that hold the version; the era is above them.
const VERSION_BITS: u32 = 40;
const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;

/// Position in the history of a store. A store that comes back from an older copy
/// starts a new era, in which it gives out versions again, so versions of different
/// eras cannot be compared without the era.
///
/// A revision is packed into one number, which keeps the order, wherever daemons
/// store or exchange it.
///
/// ```
/// use rw_platform::Revision;
/// let (before, after) = (Revision::new(1, 900), Revision::new(2, 850));
/// assert!(u64::from(after) > u64::from(before));
/// assert_eq!(Revision::from(u64::from(after)), after);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Number of the era; 0 for a store that has none.
    pub era: u32,
    /// Version within the era.
    pub version: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: u32, version: u64) -> Self {
        Revision { era, version }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> u64 {
        u64::from(revision.era) << VERSION_BITS | revision.version.min(MAX_VERSION)
    }
}

impl From<u64> for Revision {
    fn from(packed: u64) -> Self {
        Revision {
            era: (packed >> VERSION_BITS) as u32,
            version: packed & MAX_VERSION,
        }
    }
}
