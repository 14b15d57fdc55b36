use std::time::Duration;

use rw_protocol::StatusReport;

use super::output::{join_names, print_json, print_line};
use crate::{Client, Error, Result};

const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the status of every intent; fails if the deployment is unhealthy.
pub fn status(client: &Client, as_json: bool) -> Result<()> {
    let status: StatusReport = client.get("/status")?;
    if as_json {
        print_json(&status)?;
    } else {
        print_status(&status);
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
            Err(Error::Unhealthy(problems)) => print_line(&format!("unhealthy: {problems}")),
            Err(err) => return Err(err),
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn print_status(status: &StatusReport) {
    print_line(&format!(
        "generation {}, in effect on every daemon: {}",
        status.head, status.lowest_head
    ));
    for intent in &status.intents {
        let late = if intent.late { ", LATE" } else { "" };
        print_line(&format!(
            "  {}: version {}, {} of {} hosts serve{late}",
            intent.intent, intent.version, intent.serving, intent.wanted
        ));
        if !intent.missing.is_empty() {
            print_line(&format!("    not serving: {}", join_names(&intent.missing)));
        }
    }
    if !status.lagging.is_empty() {
        print_line(&format!("  lagging: {}", join_names(&status.lagging)));
    }
    if !status.unreachable.is_empty() {
        print_line(&format!(
            "  not responding: {}",
            join_names(&status.unreachable)
        ));
    }
}
