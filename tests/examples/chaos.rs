//! Runs the chaos test from the command line: `chaos FIRST_SEED COUNT SECONDS`.

use std::process::ExitCode;

use rw_tests::chaos::{run, Options};

fn main() -> ExitCode {
    let args: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let [first_seed, count, seconds] = args.as_slice() else {
        eprintln!("usage: chaos FIRST_SEED COUNT SECONDS");
        return ExitCode::from(2);
    };
    let mut failed = 0;
    for seed in *first_seed..first_seed + count {
        let report = run(&Options {
            seed,
            seconds: *seconds,
        });
        println!("{}", report.summary(seed));
        if !report.problems.is_empty() {
            failed += 1;
            println!("{report:#?}");
        }
    }
    println!("{} passed, {failed} failed", count - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
