use std::collections::BTreeMap;

use serde_json::Value;

use super::output::{print_json, print_line};
use crate::{Client, Result};

/// Prints every daemon with its role, state, zone, load and what it serves.
pub fn hosts(client: &Client, as_json: bool) -> Result<()> {
    let hosts: BTreeMap<String, Value> = client.get("/hosts")?;
    if as_json {
        return print_json(&hosts);
    }
    for (name, host) in &hosts {
        print_line(&host_line(name, host));
    }
    Ok(())
}

fn host_line(name: &str, host: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("").to_string();
    let listed = &host["listed"];
    let status = &host["status"];
    let serving = match status["serving"].get(0) {
        Some(served) => format!(
            "serves {} {}",
            text(&served["service"]),
            text(&served["version"])
        ),
        None if status.is_null() => "does not respond".to_string(),
        None => text(&status["problem"]),
    };
    let load = format!("{}/{}", status["load"]["running"], status["load"]["limit"]);
    format!(
        "{name:24} {:6} {:8} {:16} load {load:8} {serving}",
        text(&listed["role"]),
        text(&listed["state"]),
        text(&listed["zone"]),
    )
}
