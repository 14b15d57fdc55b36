use std::time::{Duration, Instant};

use rw_protocol::StatusReport;
use serde::Deserialize;

use super::output::print_line;
use crate::{Client, Error, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct ConfirmResponse {
    generation: u64,
}

/// Confirms a plan. With `wait`, returns once its generation is in effect on
/// every daemon and every intent is fulfilled, or fails after that time.
pub fn confirm(client: &Client, plan: &str, wait: Option<Duration>) -> Result<u64> {
    let confirmed: ConfirmResponse = client.post(&format!("/confirm?plan={plan}"), "")?;
    print_line(&format!("confirmed as generation {}", confirmed.generation));
    if let Some(timeout) = wait {
        wait_until_applied(client, confirmed.generation, timeout)?;
    }
    Ok(confirmed.generation)
}

fn wait_until_applied(client: &Client, generation: u64, timeout: Duration) -> Result<()> {
    let start = Instant::now();
    let mut last_line = String::new();
    loop {
        let status: StatusReport = client.get("/status")?;
        let (serving, target) = host_counts(&status);
        let progress_line = format!(
            "  {serving} of {target} hosts serve, generation {} on every daemon",
            status.lowest_head
        );
        if progress_line != last_line {
            print_line(&progress_line);
            last_line = progress_line;
        }
        if status.lowest_head >= generation && serving >= target {
            print_line(&format!(
                "in effect everywhere after {} ms",
                start.elapsed().as_millis()
            ));
            return Ok(());
        }
        if start.elapsed() > timeout {
            return Err(Error::Unhealthy(format!(
                "timed out before the plan was in effect everywhere: {}",
                status.problems.join("; ")
            )));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

// Counts the hosts that serve and the hosts that should serve, over all intents.
fn host_counts(status: &StatusReport) -> (u32, u32) {
    let serving = status.intents.iter().map(|i| i.serving.min(i.wanted)).sum();
    let target = status.intents.iter().map(|i| i.wanted).sum();
    (serving, target)
}
