//! Servers that say in their answers that they are leaving or want a pause.

use std::time::Duration;

use rstest::rstest;
use rw_routing::{ServerAdmission, ServerNotices};

const DRAIN: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::at_once(100, ServerAdmission::LastResort)]
#[case::while_it_still_serves(1099, ServerAdmission::LastResort)]
#[case::well_before_the_drain_timeout(1100, ServerAdmission::Closed)]
#[case::after_it(60_000, ServerAdmission::Closed)]
fn leaving_server_gets_no_request_that_another_can_take(
    #[case] at: u64,
    #[case] expected: ServerAdmission,
) {
    let mut notices = ServerNotices::default();
    notices.on_leaving(ms(100));
    assert_eq!(notices.admission(DRAIN, ms(at)), expected);
}

#[test]
fn repeated_notice_does_not_extend_the_time_of_a_leaving_server() {
    let mut notices = ServerNotices::default();
    for at in (0..1000).step_by(100) {
        notices.on_leaving(ms(at));
    }
    assert_eq!(notices.admission(DRAIN, ms(1000)), ServerAdmission::Closed);
    assert_eq!(notices.remaining_pause(ms(1000)), None);
}

#[test]
fn pause_ends_with_the_longest_time_that_the_server_asked_for() {
    let mut notices = ServerNotices::default();
    notices.on_retry_after(ms(3000), ms(0));
    notices.on_retry_after(ms(100), ms(500));
    assert_eq!(notices.remaining_pause(ms(500)), Some(ms(2500)));
    assert_eq!(notices.admission(DRAIN, ms(2999)), ServerAdmission::Closed);
    assert_eq!(notices.admission(DRAIN, ms(3000)), ServerAdmission::Open);
}

#[test]
fn pause_without_end_does_not_overflow() {
    let mut notices = ServerNotices::default();
    notices.on_retry_after(Duration::MAX, ms(500));
    assert_eq!(
        notices.admission(DRAIN, ms(u64::MAX)),
        ServerAdmission::Closed
    );
}

#[test]
fn leaving_server_stays_closed_after_its_pause() {
    let mut notices = ServerNotices::default();
    notices.on_leaving(ms(0));
    notices.on_retry_after(ms(500), ms(0));
    assert_eq!(notices.admission(DRAIN, ms(400)), ServerAdmission::Closed);
    assert_eq!(
        notices.admission(DRAIN, ms(600)),
        ServerAdmission::LastResort
    );
    assert_eq!(notices.admission(DRAIN, ms(2000)), ServerAdmission::Closed);
}
