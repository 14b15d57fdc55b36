//! Seeded mixes of faults on real processes; every guarantee is checked at the
//! end.

use rstest::rstest;
use rw_tests::chaos::{run, Options};

#[rstest]
#[case(1)]
#[case(2)]
fn all_guarantees_hold_under_mixed_faults(#[case] seed: u64) {
    let report = run(&Options { seed, seconds: 12 });
    assert!(report.problems.is_empty(), "{report:#?}");
}
