use std::time::Duration;

use rw_protocol::Name;

/// Delay from which a chunk takes long, as a multiple of the time that it takes alone on
/// the link at its full rate. Eight chunks that arrive together on a sound link stay below.
const LONG_DELAY_FACTOR: f64 = 12.0;
/// Lower bound of that delay: a busy processor delays a chunk as well.
const MIN_LONG_DELAY: Duration = Duration::from_millis(200);
/// The same on a link whose rate is not known.
const DEFAULT_LONG_DELAY: Duration = Duration::from_millis(500);
/// Time for which a chunk of another source shows the state of the own link.
const EVIDENCE_AGE: Duration = Duration::from_secs(1);

/// Delay from which a chunk of `bytes` takes long on a link; a rate of 0 is unknown.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(rw_weights::long_delay(25_000, 1_000_000), Duration::from_millis(300));
/// assert_eq!(rw_weights::long_delay(25_000, 100_000_000), Duration::from_millis(200));
/// ```
pub fn long_delay(bytes: u64, link_bytes_per_s: u64) -> Duration {
    if link_bytes_per_s == 0 {
        return DEFAULT_LONG_DELAY;
    }
    let alone = bytes as f64 / link_bytes_per_s as f64;
    Duration::from_secs_f64(alone * LONG_DELAY_FACTOR).max(MIN_LONG_DELAY)
}

/// A chunk that arrived from another host.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The host that sent it.
    pub source: Name,
    /// Time between the request and the arrival, without the time for which the source
    /// held the request.
    pub delay: Duration,
    /// Time of the arrival.
    pub at: Duration,
}

/// Number of chunks that may be in flight to a host, whose requests queue behind them on a
/// narrow link.
///
/// It falls to one when chunks of two sources in succession take long, as then the own link
/// delays them, or those of the only source of the last second. It grows by one with each
/// chunk that takes at most half of that time.
///
/// ```
/// use rw_weights::{Delivery, LinkWindow};
/// use std::time::Duration;
/// let mut window = LinkWindow::new(8);
/// let limit = Duration::from_millis(300);
/// let delay = Duration::from_millis(400);
/// for source in ["a", "b"] {
///     window.on_delivery(Delivery { source: source.into(), delay, at: delay }, limit);
/// }
/// assert_eq!(window.chunks(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct LinkWindow {
    max_chunks: usize,
    chunks: usize,
    // The last delivery, and the last one of another source before it.
    last: Option<Delivery>,
    last_of_other: Option<Delivery>,
}

impl LinkWindow {
    /// Creates a window of `max_chunks`.
    pub fn new(max_chunks: usize) -> Self {
        LinkWindow {
            max_chunks,
            chunks: max_chunks,
            last: None,
            last_of_other: None,
        }
    }

    /// Number of chunks that may be in flight.
    pub fn chunks(&self) -> usize {
        self.chunks
    }

    /// Whether the link is narrow: the window is below its maximum.
    pub fn is_narrow(&self) -> bool {
        self.chunks < self.max_chunks
    }

    /// Records a delivery; one takes long from `long_delay` on. Returns whether the window
    /// fell.
    pub fn on_delivery(&mut self, delivery: Delivery, long_delay: Duration) -> bool {
        if self
            .last
            .as_ref()
            .is_some_and(|d| d.source != delivery.source)
        {
            self.last_of_other = self.last.take();
        }
        let recent = self
            .last_of_other
            .as_ref()
            .filter(|d| delivery.at <= d.at + EVIDENCE_AGE);
        // The shorter delay bounds that of the own link: the rest is due to the source.
        let link_delay = recent.map_or(delivery.delay, |d| d.delay.min(delivery.delay));
        let before = self.chunks;
        if link_delay >= long_delay {
            self.chunks = 1;
        } else if delivery.delay <= long_delay / 2 {
            self.chunks = (self.chunks + 1).min(self.max_chunks);
        }
        self.last = Some(delivery);
        self.chunks < before
    }
}
