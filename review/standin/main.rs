//! Stand-ins and cases of the review. Arguments: the case and its folder. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod daemon;
mod http;
mod json;
mod record;
mod runner;
mod sha256;
mod store;
mod whole;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case: whether the rule was broken, or why it could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, dir] = &args[..] else {
        eprintln!("usage: cases CASE DIR");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(dir).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("record.txt: {err}");
            return ExitCode::from(2);
        }
    };
    let scratch = std::env::temp_dir().join(format!("ragworttack-review-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&scratch)
        .map_err(|err| err.to_string())
        .and_then(|()| match case.as_str() {
            "whole-vouched" => whole::run(&record, &scratch, with_trouble, whole::Variant::Vouched),
            "whole-killed-host" => {
                whole::run(&record, &scratch, with_trouble, whole::Variant::KilledHost)
            }
            "whole-grey-runner" => {
                whole::run(&record, &scratch, with_trouble, whole::Variant::GreyRunner)
            }
            other => Err(format!("no such case: {other}")),
        });
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let (code, text) = match outcome {
        Ok(true) => (1, "the rule was broken".to_string()),
        Ok(false) => (0, "the rule held".to_string()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
