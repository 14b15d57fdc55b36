use rw_protocol::EventRecord;

use super::output::{print_json, print_line};
use crate::{Client, Result};

/// Low bits of a hybrid clock's stamp that hold its counter; the higher bits are
/// milliseconds.
const COUNTER_BITS: u32 = 16;

/// Prints the events of all daemons in order of their stamps.
pub fn timeline(client: &Client, since: u64, as_json: bool) -> Result<()> {
    let events: Vec<EventRecord> = client.get(&format!("/timeline?since={since}"))?;
    if as_json {
        return print_json(&events);
    }
    for event in &events {
        let at_ms = event.stamp >> COUNTER_BITS;
        print_line(&format!(
            "{at_ms} {:20} {} {} {}",
            event.daemon, event.number, event.event, event.detail
        ));
    }
    Ok(())
}
