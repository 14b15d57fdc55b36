use std::collections::BTreeMap;

use serde_json::Value;

use super::output::{json, line};
use crate::{Client, Result};

/// Prints every daemon with what it serves.
pub fn hosts(client: &Client, as_json: bool) -> Result<()> {
    let hosts: BTreeMap<String, Value> = client.get("/hosts")?;
    if as_json {
        return json(&hosts);
    }
    for (name, host) in &hosts {
        line(&describe(name, host));
    }
    Ok(())
}

fn describe(name: &str, host: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("").to_string();
    let listed = &host["listed"];
    let status = &host["status"];
    let what = match status["serving"].get(0) {
        Some(serving) => format!(
            "serves {} {}",
            text(&serving["service"]),
            text(&serving["version"])
        ),
        None if status.is_null() => "does not answer".to_string(),
        None => text(&status["problem"]),
    };
    let load = format!("{}/{}", status["load"]["running"], status["load"]["limit"]);
    format!(
        "{name:24} {:6} {:8} {:16} load {load:8} {what}",
        text(&listed["role"]),
        text(&listed["state"]),
        text(&listed["zone"]),
    )
}
