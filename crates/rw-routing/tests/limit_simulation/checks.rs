//! Both sides of a limit: no more arrives, and what was asked for is used.

use super::{allowed, Outcome, SECOND};

/// Seeds of each case in CI; `LIMIT_SEEDS` sets another number.
const SEEDS: u64 = 5;
/// Share of a limit that is used while there is more work.
const USED_SHARE: f64 = 0.9;
/// When the first server names its limit in most cases, and the time after which every
/// entry knows.
pub const NAMED_AT: u64 = 2 * SECOND;
pub const KNOWN_AFTER: u64 = SECOND;

/// Seeds to try.
pub fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("LIMIT_SEEDS").ok();
    0..seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

/// Asserts that no more arrives in any four seconds than the server asked for.
pub fn assert_limit_kept(out: &Outcome, server: usize, limit: f64, from: u64, to: u64, seed: u64) {
    let (most, allowed) = (out.most_in_window(server, from, to), allowed(limit));
    assert!(
        most <= allowed,
        "seed {seed}: {most} requests in 4 s at server {server}, {allowed} are allowed"
    );
}

/// Asserts that the limit is used while there is more work.
pub fn assert_limit_used(out: &Outcome, server: usize, limit: f64, from: u64, to: u64, seed: u64) {
    let seconds = (to - from) as f64 / SECOND as f64;
    let count = out.count(server, from, to);
    // Requests are whole.
    let wanted = (USED_SHARE * limit * seconds) as usize;
    assert!(
        count >= wanted,
        "seed {seed}: {count} requests in {seconds} s at server {server}, {wanted} are wanted"
    );
}
