//! Writes the generated code: `cargo run -p rw-schema` at the repository root.

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    for target in rw_schema::TARGETS {
        let code = match rw_schema::generate(Path::new("."), target) {
            Ok(code) => code,
            Err(err) => {
                eprintln!("{}: {err}", target.schema);
                return ExitCode::FAILURE;
            }
        };
        if let Err(err) = std::fs::write(target.output, code) {
            eprintln!("{}: {err}", target.output);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
