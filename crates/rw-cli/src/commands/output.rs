use std::io::Write;

use serde::Serialize;

use crate::{Error, Result};

/// Prints a line. A closed pipe ends the output, not the command.
pub(super) fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as JSON.
pub(super) fn json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).map_err(|err| Error::Usage(err.to_string()))?;
    line(&text);
    Ok(())
}

/// Joins names for a line of text.
pub(super) fn names(names: &[rw_protocol::Name]) -> String {
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    if names.is_empty() {
        "none".to_string()
    } else {
        names.join(" ")
    }
}
