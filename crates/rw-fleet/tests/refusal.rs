//! What callers are told about refused requests.

use std::time::Duration;

use rstest::rstest;
use rw_fleet::Refusal;

/// Guards against a time to come back below a millisecond that callers are told as 0.
#[rstest]
#[case::nanosecond(Duration::from_nanos(1), "0.001")]
#[case::below_half_a_millisecond(Duration::from_micros(499), "0.001")]
#[case::whole_millisecond(Duration::from_millis(1), "0.001")]
#[case::above_a_millisecond(Duration::from_micros(1001), "0.002")]
#[case::at_once(Duration::ZERO, "0.000")]
fn short_time_to_come_back_is_not_cut_to_none(#[case] retry_after: Duration, #[case] told: &str) {
    let refusal = Refusal::NotRun {
        reason: "full",
        retry_after,
        known_load: String::new(),
    };
    assert_eq!(refusal.retry_after_s().as_deref(), Some(told));
}
