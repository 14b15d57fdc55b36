//! Chunks and requests share a host's link, modelled as a queue.

use std::collections::VecDeque;
use std::time::Duration;

use rstest::rstest;
use rw_weights::{
    long_delay, Delivery, DistributionPolicy, Layout, LinkWindow, Peer, Transfer, TransferLimits,
};

const MAX_CHUNKS: usize = 8;
/// Time from the request to the first byte of a chunk on an idle link.
const LATENCY_MS: u64 = 30;
/// Share of the link that hosts use for chunks.
const SHARE: f64 = 0.8;

struct Flight {
    source: usize,
    requested_ms: u64,
    enters_ms: u64,
    remaining_bytes: f64,
}

struct Outcome {
    chunks: usize,
    // Greatest wait of a request in the second half of the run.
    longest_wait: Duration,
    final_window: usize,
}

// Sources hold all chunks; those with an even index are slow by `slow_source_ms`.
fn run(
    chunk_bytes: f64,
    full_bytes_per_s: f64,
    rate: impl Fn(u64) -> f64,
    slow_source_ms: u64,
    is_bounded: bool,
    length_ms: u64,
) -> Outcome {
    let limit = long_delay(chunk_bytes as u64, full_bytes_per_s as u64);
    let mut window = LinkWindow::new(MAX_CHUNKS);
    let mut flights: VecDeque<Flight> = VecDeque::new();
    let (mut arriving, mut chunks, mut next) = (Vec::new(), 0, 0);
    let mut pace_free_ms = 0.0_f64;
    let mut longest_wait = Duration::ZERO;
    for now in 0..length_ms {
        let in_flight = flights.len() + arriving.len();
        let allowed = if is_bounded {
            window.chunks()
        } else {
            MAX_CHUNKS
        };
        for _ in in_flight..allowed {
            let source = next % 4;
            let extra = if source == 0 { slow_source_ms } else { 0 };
            flights.push_back(Flight {
                source,
                requested_ms: now,
                enters_ms: now + LATENCY_MS + extra,
                remaining_bytes: chunk_bytes,
            });
            next += 1;
        }
        let mut budget = rate(now) / 1000.0;
        let mut queued: f64 = 0.0;
        let mut left = VecDeque::new();
        for mut flight in flights.drain(..) {
            if flight.enters_ms <= now {
                let sent = budget.min(flight.remaining_bytes);
                flight.remaining_bytes -= sent;
                budget -= sent;
                queued += flight.remaining_bytes;
            }
            if flight.remaining_bytes > 0.0 {
                left.push_back(flight);
                continue;
            }
            let delivery = Delivery {
                source: flight.source.to_string().into(),
                delay: Duration::from_millis(now - flight.requested_ms),
                at: Duration::from_millis(now),
            };
            window.on_delivery(delivery, limit);
            chunks += 1;
            pace_free_ms = pace_free_ms.max(now as f64);
            pace_free_ms += chunk_bytes / (full_bytes_per_s * SHARE) * 1000.0;
            arriving.push(pace_free_ms);
        }
        flights = left;
        arriving.retain(|until| *until > now as f64);
        if now > length_ms / 2 {
            longest_wait = longest_wait.max(Duration::from_secs_f64(queued / rate(now)));
        }
    }
    Outcome {
        chunks,
        longest_wait,
        final_window: window.chunks(),
    }
}

/// Guards against a request that waits behind eight chunks on a link narrowed to an
/// eighth: it began on old weights after their deadline.
#[rstest]
#[case::small_chunks(24_576.0, 912_500.0)]
#[case::large_chunks(49_152.0, 1_175_000.0)]
fn request_on_a_narrow_link_waits_for_one_chunk(#[case] chunk: f64, #[case] full: f64) {
    let rate = |now| if now < 2000 { full } else { full / 8.0 };
    let alone = Duration::from_secs_f64(chunk / (full / 8.0));
    let unbounded = run(chunk, full, rate, 0, false, 12_000);
    assert!(
        unbounded.longest_wait > alone * 6,
        "the model shows the fault"
    );
    let bounded = run(chunk, full, rate, 0, true, 12_000);
    assert!(bounded.longest_wait <= alone, "{:?}", bounded.longest_wait);
    // The link idles for the latency between two chunks.
    let share = bounded.chunks as f64 / unbounded.chunks as f64;
    assert!(share > 0.8, "{share} of the chunks arrived");
}

/// Guards against a sound link that carries chunks more slowly than without the bound,
/// also beside a source whose own link is slow.
#[rstest]
#[case::small_chunks(24_576.0, 912_500.0, 0)]
#[case::large_chunks(49_152.0, 1_175_000.0, 0)]
#[case::slow_source(24_576.0, 912_500.0, 900)]
fn sound_link_loses_nothing(#[case] chunk: f64, #[case] full: f64, #[case] slow_source_ms: u64) {
    let bounded = run(chunk, full, |_| full, slow_source_ms, true, 6000);
    let unbounded = run(chunk, full, |_| full, slow_source_ms, false, 6000);
    assert_eq!(bounded.chunks, unbounded.chunks);
    assert_eq!(bounded.final_window, MAX_CHUNKS);
}

/// Guards against a window that stays small after the link has recovered.
#[test]
fn window_grows_again_on_a_recovered_link() {
    let full = 912_500.0;
    let rate = |now| match now {
        2000..=6000 => full / 8.0,
        _ => full,
    };
    let outcome = run(24_576.0, full, rate, 0, true, 8000);
    assert_eq!(outcome.final_window, MAX_CHUNKS);
}

/// Guards against imports that fill a narrow link beside the bounded fetches.
#[test]
fn imports_keep_to_a_narrow_window() {
    let peer = |name: &str| Peer {
        region: "r".into(),
        zone: "z".into(),
        name: name.into(),
    };
    let (peers, second) = (vec![peer("a"), peer("b")], Duration::from_secs(1));
    let layout = Layout::new("m", "r", peers, DistributionPolicy::Tree);
    let limits = TransferLimits {
        max_pending_chunks: MAX_CHUNKS,
        chunk_timeout: second,
        hedge_after: second,
        initial_backoff: second,
    };
    let mut transfer = Transfer::new(peer("a"), 16, limits);
    transfer.set_window(1);
    assert_eq!(transfer.next_fetches(&layout, Duration::ZERO).len(), 1);
    transfer.set_window(MAX_CHUNKS);
    assert!(!transfer.next_fetches(&layout, Duration::ZERO).is_empty());
}
