use std::io::Write;

use serde::Serialize;

use crate::{Error, Result};

/// Prints a line. Ignores write errors, since a closed pipe must not abort the
/// command.
pub(super) fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as JSON.
pub(super) fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).map_err(|err| Error::Usage(err.to_string()))?;
    print_line(&text);
    Ok(())
}

/// Joins names with spaces; an empty list gives "none".
pub(super) fn join_names(names: &[rw_protocol::Name]) -> String {
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    if names.is_empty() {
        "none".to_string()
    } else {
        names.join(" ")
    }
}
