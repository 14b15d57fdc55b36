//! Validates INI values against the JSON Schema, so that each limit is defined in
//! one place only.

use std::fmt;

use serde_json::{Map, Value};

/// JSON Schema of the settings.
pub const SCHEMA: &str = include_str!("../../../schema/settings.json");

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line in the file, counted from 1; 0 if the section is missing.
    pub line: usize,
    /// Section and key, such as `limits.queue_per_team`.
    pub key: String,
    /// What is wrong, and which values are allowed.
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

/// One section of the file, not yet validated.
pub(crate) struct Section<'a> {
    pub(crate) title: &'a str,
    pub(crate) line: usize,
    pub(crate) keys: Vec<(usize, &'a str, &'a str)>,
}

/// Converts a section into a JSON object with the types of the schema, and adds
/// its errors to `diagnostics`.
pub(crate) fn validate_section(
    schema: &Value,
    section: &Section<'_>,
    diagnostics: &mut Vec<Diagnostic>,
) -> Value {
    let empty = Map::new();
    let properties = schema["properties"].as_object().unwrap_or(&empty);
    let mut out = Map::new();
    for (line, key, text) in &section.keys {
        let mut report = |problem: String| {
            diagnostics.push(Diagnostic {
                line: *line,
                key: format!("{}.{key}", section.title),
                problem,
            })
        };
        let Some(property) = properties.get(*key) else {
            let known: Vec<&str> = properties.keys().map(String::as_str).collect();
            report(format!("unknown key; known keys are {}", known.join(", ")));
            continue;
        };
        if out.contains_key(*key) {
            report("given twice; remove one".to_string());
        }
        match parse_value(property, text) {
            Ok(val) => drop(out.insert(key.to_string(), val)),
            Err(problem) => report(problem),
        }
    }
    report_missing(schema, section, &out, diagnostics);
    Value::Object(out)
}

fn report_missing(
    schema: &Value,
    section: &Section<'_>,
    out: &Map<String, Value>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let required = schema["required"].as_array().into_iter().flatten();
    for key in required.filter_map(Value::as_str) {
        let present = out.contains_key(key) || section.keys.iter().any(|(_, k, _)| *k == key);
        if !present {
            diagnostics.push(Diagnostic {
                line: section.line,
                key: format!("{}.{key}", section.title),
                problem: "missing; this key is required".to_string(),
            });
        }
    }
}

fn parse_value(property: &Value, text: &str) -> Result<Value, String> {
    match property["type"].as_str() {
        Some("integer") => parse_integer(property, text),
        Some("number") => parse_number(property, text),
        Some("boolean") => parse_boolean(text),
        Some("array") => Ok(parse_list(text)),
        _ => parse_string(property, text),
    }
}

fn parse_integer(property: &Value, text: &str) -> Result<Value, String> {
    let min = property["minimum"].as_u64().unwrap_or(0);
    let max = property["maximum"].as_u64().unwrap_or(u64::MAX);
    match text.parse::<u64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n.into()),
        _ => Err(format!(
            "'{text}' is not a whole number from {min} to {max}"
        )),
    }
}

fn parse_number(property: &Value, text: &str) -> Result<Value, String> {
    let min = property["minimum"].as_f64().unwrap_or(f64::MIN);
    let max = property["maximum"].as_f64().unwrap_or(f64::MAX);
    match text.parse::<f64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n.into()),
        _ => Err(format!("'{text}' is not a number from {min} to {max}")),
    }
}

fn parse_boolean(text: &str) -> Result<Value, String> {
    match text {
        "true" => Ok(true.into()),
        "false" => Ok(false.into()),
        _ => Err(format!("'{text}' is neither true nor false")),
    }
}

fn parse_list(text: &str) -> Value {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .collect()
}

fn parse_string(property: &Value, text: &str) -> Result<Value, String> {
    let Some(allowed) = property["enum"].as_array() else {
        return Ok(text.into());
    };
    if allowed.iter().any(|a| a == text) {
        return Ok(text.into());
    }
    let names: Vec<&str> = allowed.iter().filter_map(Value::as_str).collect();
    Err(format!("'{text}' is not one of {}", names.join(", ")))
}
