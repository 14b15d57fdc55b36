//! Checks INI values against the JSON Schema, so that each limit is written
//! down once.

use std::fmt;

use serde_json::{Map, Value};

/// The schema that settings are checked against.
pub const SCHEMA: &str = include_str!("../../../schema/settings.json");

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line in the file, from 1; 0 when the fault is something missing.
    pub line: usize,
    /// Section and key, such as `limits.queue_per_team`.
    pub key: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        write!(f, "{}: {}", self.key, self.problem)
    }
}

/// One section as read, before it is checked.
pub(crate) struct Section<'a> {
    pub(crate) title: &'a str,
    pub(crate) line: usize,
    pub(crate) keys: Vec<(usize, &'a str, &'a str)>,
}

/// Turns a section into a JSON object of the schema's types.
pub(crate) fn section(schema: &Value, sec: &Section<'_>, faults: &mut Vec<Diagnostic>) -> Value {
    let empty = Map::new();
    let props = schema["properties"].as_object().unwrap_or(&empty);
    let mut out = Map::new();
    for (line, key, text) in &sec.keys {
        let mut fault = |problem: String| {
            faults.push(Diagnostic {
                line: *line,
                key: format!("{}.{key}", sec.title),
                problem,
            })
        };
        let Some(prop) = props.get(*key) else {
            let known: Vec<&str> = props.keys().map(String::as_str).collect();
            fault(format!("unknown key; known keys are {}", known.join(", ")));
            continue;
        };
        if out.contains_key(*key) {
            fault("given twice; remove one".to_string());
        }
        match value(prop, text) {
            Ok(val) => drop(out.insert(key.to_string(), val)),
            Err(problem) => fault(problem),
        }
    }
    report_missing(schema, sec, &out, faults);
    Value::Object(out)
}

fn report_missing(
    schema: &Value,
    sec: &Section<'_>,
    out: &Map<String, Value>,
    faults: &mut Vec<Diagnostic>,
) {
    let required = schema["required"].as_array().into_iter().flatten();
    for key in required.filter_map(Value::as_str) {
        let present = out.contains_key(key) || sec.keys.iter().any(|(_, k, _)| *k == key);
        if !present {
            faults.push(Diagnostic {
                line: sec.line,
                key: format!("{}.{key}", sec.title),
                problem: "missing; this key is required".to_string(),
            });
        }
    }
}

fn value(prop: &Value, text: &str) -> Result<Value, String> {
    match prop["type"].as_str() {
        Some("integer") => integer(prop, text),
        Some("number") => number(prop, text),
        Some("boolean") => boolean(text),
        Some("array") => Ok(list(text)),
        _ => string(prop, text),
    }
}

fn integer(prop: &Value, text: &str) -> Result<Value, String> {
    let min = prop["minimum"].as_u64().unwrap_or(0);
    let max = prop["maximum"].as_u64().unwrap_or(u64::MAX);
    match text.parse::<u64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n.into()),
        _ => Err(format!(
            "'{text}' is not a whole number from {min} to {max}"
        )),
    }
}

fn number(prop: &Value, text: &str) -> Result<Value, String> {
    let min = prop["minimum"].as_f64().unwrap_or(f64::MIN);
    let max = prop["maximum"].as_f64().unwrap_or(f64::MAX);
    match text.parse::<f64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n.into()),
        _ => Err(format!("'{text}' is not a number from {min} to {max}")),
    }
}

fn boolean(text: &str) -> Result<Value, String> {
    match text {
        "true" => Ok(true.into()),
        "false" => Ok(false.into()),
        _ => Err(format!("'{text}' is neither true nor false")),
    }
}

fn list(text: &str) -> Value {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .collect()
}

fn string(prop: &Value, text: &str) -> Result<Value, String> {
    let Some(allowed) = prop["enum"].as_array() else {
        return Ok(text.into());
    };
    if allowed.iter().any(|a| a == text) {
        return Ok(text.into());
    }
    let names: Vec<&str> = allowed.iter().filter_map(Value::as_str).collect();
    Err(format!("'{text}' is not one of {}", names.join(", ")))
}
