use std::time::Duration;

use rw_protocol::StatusReport;

use super::output::{json, line, names};
use crate::{Client, Error, Result};

const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Prints the outcome of every intent; an error when something is amiss.
pub fn status(client: &Client, as_json: bool) -> Result<()> {
    let status: StatusReport = client.get("/status")?;
    if as_json {
        json(&status)?;
    } else {
        print(&status);
    }
    if status.healthy {
        return Ok(());
    }
    Err(Error::Unhealthy(status.problems.join("\n")))
}

/// Prints the status every second until the process is stopped.
pub fn watch_status(client: &Client, as_json: bool) -> Result<()> {
    loop {
        match status(client, as_json) {
            Ok(()) => {}
            Err(Error::Unhealthy(problems)) => line(&format!("amiss: {problems}")),
            Err(err) => return Err(err),
        }
        std::thread::sleep(WATCH_PERIOD);
    }
}

fn print(status: &StatusReport) {
    line(&format!(
        "generation {}, in force everywhere: {}",
        status.head, status.lowest_head
    ));
    for intent in &status.intents {
        let late = if intent.late { ", LATE" } else { "" };
        line(&format!(
            "  {}: version {}, {} of {} hosts serve{late}",
            intent.intent, intent.version, intent.serving, intent.wanted
        ));
        if !intent.missing.is_empty() {
            line(&format!("    not serving: {}", names(&intent.missing)));
        }
    }
    if !status.lagging.is_empty() {
        line(&format!("  lagging: {}", names(&status.lagging)));
    }
    if !status.unreachable.is_empty() {
        line(&format!("  not answering: {}", names(&status.unreachable)));
    }
}
