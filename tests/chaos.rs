//! Seeded mixes of faults over real processes, with every promise checked at
//! the end.

use rstest::rstest;
use rw_tests::chaos::{run, Options};

#[rstest]
#[case(1)]
#[case(2)]
fn every_promise_holds_through_a_mix_of_faults(#[case] seed: u64) {
    let report = run(&Options { seed, seconds: 12 });
    assert!(report.problems.is_empty(), "{report:#?}");
}
