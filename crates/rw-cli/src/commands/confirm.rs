use std::time::{Duration, Instant};

use rw_protocol::StatusReport;
use serde::Deserialize;

use super::output::line;
use crate::{Client, Error, Result};

const POLL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Confirmed {
    generation: u64,
}

/// Confirms a plan. With a `wait`, returns once its generation is in force on
/// every daemon and every intent is fulfilled.
pub fn confirm(client: &Client, plan: &str, wait: Option<Duration>) -> Result<u64> {
    let confirmed: Confirmed = client.post(&format!("/confirm?plan={plan}"), "")?;
    line(&format!("confirmed as generation {}", confirmed.generation));
    if let Some(limit) = wait {
        wait_for(client, confirmed.generation, limit)?;
    }
    Ok(confirmed.generation)
}

fn wait_for(client: &Client, generation: u64, limit: Duration) -> Result<()> {
    let start = Instant::now();
    let mut last = String::new();
    loop {
        let status: StatusReport = client.get("/status")?;
        let (serving, wanted) = progress(&status);
        let now = format!(
            "  {serving} of {wanted} hosts serve, generation {} everywhere",
            status.lowest_head
        );
        if now != last {
            line(&now);
            last = now;
        }
        if status.lowest_head >= generation && serving >= wanted {
            line(&format!("done after {} ms", start.elapsed().as_millis()));
            return Ok(());
        }
        if start.elapsed() > limit {
            return Err(Error::Unhealthy(format!(
                "not done in time: {}",
                status.problems.join("; ")
            )));
        }
        std::thread::sleep(POLL);
    }
}

fn progress(status: &StatusReport) -> (u32, u32) {
    let serving = status.intents.iter().map(|i| i.serving.min(i.wanted)).sum();
    let wanted = status.intents.iter().map(|i| i.wanted).sum();
    (serving, wanted)
}
