use rw_protocol::EventRecord;

use super::output::{json, line};
use crate::{Client, Result};

/// Bits of a stamp below its milliseconds.
const COUNTER_BITS: u32 = 16;

/// Prints the events of every daemon in one order.
pub fn timeline(client: &Client, since: u64, as_json: bool) -> Result<()> {
    let events: Vec<EventRecord> = client.get(&format!("/timeline?since={since}"))?;
    if as_json {
        return json(&events);
    }
    for event in &events {
        let at_ms = event.stamp >> COUNTER_BITS;
        line(&format!(
            "{at_ms} {:20} {} {} {}",
            event.daemon, event.number, event.event, event.detail
        ));
    }
    Ok(())
}
