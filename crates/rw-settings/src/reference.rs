use std::fmt::Write;

use serde_json::Value;

use crate::SCHEMA;

/// The settings reference in Markdown, made from the schema.
///
/// ```
/// assert!(rw_settings::reference().contains("uplink_bytes_per_s"));
/// ```
pub fn reference() -> String {
    let schema: Value = serde_json::from_str(SCHEMA).unwrap_or_default();
    let mut out = String::from(
        "# Settings\n\nMade from `schema/settings.json`; a test holds it to the schema.\n",
    );
    for (title, sec) in schema["definitions"].as_object().into_iter().flatten() {
        if title != "Name" {
            describe(&mut out, title, sec);
        }
    }
    out
}

fn describe(out: &mut String, title: &str, sec: &Value) {
    let _ = writeln!(out, "\n## {}\n", title.to_lowercase());
    let _ = writeln!(out, "{}\n", sec["description"].as_str().unwrap_or(""));
    let _ = writeln!(
        out,
        "| key | allowed | default | meaning |\n| --- | --- | --- | --- |"
    );
    for (key, prop) in sec["properties"].as_object().into_iter().flatten() {
        let doc = prop["x-doc"].as_str().unwrap_or("");
        let _ = writeln!(
            out,
            "| `{key}` | {} | {} | {doc} |",
            allowed(prop),
            default(prop)
        );
    }
}

fn allowed(prop: &Value) -> String {
    if let Some(names) = prop["enum"].as_array() {
        let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
        return names.join(", ");
    }
    let kind = prop["type"].as_str().unwrap_or("text");
    match (&prop["minimum"], &prop["maximum"]) {
        (Value::Number(min), Value::Number(max)) => format!("{kind}, {min} to {max}"),
        _ if kind == "array" => "list, separated by commas".to_string(),
        _ => kind.to_string(),
    }
}

fn default(prop: &Value) -> String {
    match prop.get("default") {
        None => "required".to_string(),
        Some(Value::String(text)) if text.is_empty() => "none".to_string(),
        Some(Value::Array(_)) => "none".to_string(),
        Some(val) => format!("`{}`", val.to_string().trim_matches('"')),
    }
}
