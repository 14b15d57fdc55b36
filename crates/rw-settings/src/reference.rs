use std::fmt::Write;

use serde_json::Value;

use crate::SCHEMA;

/// Generates the settings reference in Markdown from the schema.
///
/// ```
/// assert!(rw_settings::reference().contains("uplink_bytes_per_s"));
/// ```
pub fn reference() -> String {
    let schema: Value = serde_json::from_str(SCHEMA).unwrap_or_default();
    let mut out = String::from(
        "# Settings\n\nGenerated from `schema/settings.json`; a test checks that it is up to date.\n",
    );
    for (title, section) in schema["definitions"].as_object().into_iter().flatten() {
        if title != "Name" {
            write_section(&mut out, title, section);
        }
    }
    out
}

fn write_section(out: &mut String, title: &str, section: &Value) {
    let _ = writeln!(out, "\n## {}\n", title.to_lowercase());
    let _ = writeln!(out, "{}\n", section["description"].as_str().unwrap_or(""));
    let _ = writeln!(
        out,
        "| key | allowed | default | meaning |\n| --- | --- | --- | --- |"
    );
    for (key, property) in section["properties"].as_object().into_iter().flatten() {
        let doc = property["x-doc"].as_str().unwrap_or("");
        let _ = writeln!(
            out,
            "| `{key}` | {} | {} | {doc} |",
            allowed_values(property),
            default_value(property)
        );
    }
}

fn allowed_values(property: &Value) -> String {
    if let Some(names) = property["enum"].as_array() {
        let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
        return names.join(", ");
    }
    let kind = property["type"].as_str().unwrap_or("text");
    match (&property["minimum"], &property["maximum"]) {
        (Value::Number(min), Value::Number(max)) => format!("{kind}, {min} to {max}"),
        _ if kind == "array" => "list, separated by commas".to_string(),
        _ => kind.to_string(),
    }
}

fn default_value(property: &Value) -> String {
    match property.get("default") {
        None => "required".to_string(),
        Some(Value::String(text)) if text.is_empty() => "none".to_string(),
        Some(Value::Array(_)) => "none".to_string(),
        Some(val) => format!("`{}`", val.to_string().trim_matches('"')),
    }
}
