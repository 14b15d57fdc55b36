use ini::Ini;
use rw_protocol::{Intent, Name};

use crate::{Error, Result};

/// Keys of the `[intent]` section.
const KEYS: [&str; 8] = [
    "name",
    "service",
    "model",
    "version",
    "teams",
    "hosts",
    "regions",
    "finish_within_s",
];
/// Maximum length of a name, since names become part of table keys.
const MAX_NAME_CHARS: usize = 64;

struct IntentReader<'a> {
    ini: &'a Ini,
    errors: Vec<String>,
}

impl IntentReader<'_> {
    fn text(&mut self, key: &str) -> String {
        let text = self.ini.get_from(Some("intent"), key).unwrap_or("").trim();
        if text.is_empty() {
            self.errors
                .push(format!("intent.{key}: missing; this key is required"));
        }
        text.to_string()
    }

    fn name(&mut self, key: &str) -> Name {
        let text = self.text(key);
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.len() > MAX_NAME_CHARS || !text.chars().all(is_name_char) {
            self.errors.push(format!(
                "intent.{key}: '{text}' is not a name of at most {MAX_NAME_CHARS} letters, digits, '-', '_' and '.'"
            ));
        }
        Name::from(text)
    }

    fn number(&mut self, key: &str, max: u64) -> u64 {
        let text = self.text(key);
        match text.parse() {
            Ok(n) if (1..=max).contains(&n) => n,
            _ if text.is_empty() => 0,
            _ => {
                self.errors.push(format!(
                    "intent.{key}: '{text}' is not a whole number from 1 to {max}"
                ));
                0
            }
        }
    }

    fn list(&self, key: &str) -> Vec<Name> {
        let text = self.ini.get_from(Some("intent"), key).unwrap_or("");
        let items = text.split(',').map(str::trim);
        items
            .filter(|item| !item.is_empty())
            .map(Name::from)
            .collect()
    }
}

/// Parses an intent file. The intent's deadline is counted from `now_ms`, the Unix
/// time in ms.
///
/// ```
/// let text = "[intent]\nname=cuts\nservice=assistant\nmodel=m\nversion=1\nhosts=2\nregions=north\nfinish_within_s=60\n";
/// let intent = rw_intent::parse_intent(text, 1000).unwrap();
/// assert_eq!(intent.finish_by_ms, 61_000);
/// ```
pub fn parse_intent(text: &str, now_ms: u64) -> Result<Intent> {
    let ini = Ini::load_from_str(text)
        .map_err(|err| Error::InvalidFile(vec![format!("not an INI file: {err}")]))?;
    let mut reader = IntentReader {
        ini: &ini,
        errors: Vec::new(),
    };
    report_unknown_keys(&mut reader);
    let intent = Intent {
        name: reader.name("name"),
        service: reader.name("service"),
        model: reader.name("model"),
        version: reader.name("version"),
        teams: reader.list("teams"),
        hosts: reader.number("hosts", 100_000) as u32,
        regions: reader.list("regions"),
        finish_by_ms: now_ms + reader.number("finish_within_s", 604_800) * 1000,
    };
    if intent.regions.is_empty() {
        reader
            .errors
            .push("intent.regions: missing; name at least one region".to_string());
    }
    if reader.errors.is_empty() {
        Ok(intent)
    } else {
        Err(Error::InvalidFile(reader.errors))
    }
}

fn report_unknown_keys(reader: &mut IntentReader<'_>) {
    let ini = reader.ini;
    for (title, props) in ini.iter() {
        let title = title.unwrap_or("");
        if title != "intent" && !props.is_empty() {
            reader.errors.push(format!(
                "section [{title}]: unknown; only [intent] is allowed"
            ));
            continue;
        }
        for (key, _) in props.iter() {
            if !KEYS.contains(&key) {
                reader.errors.push(format!(
                    "intent.{key}: unknown key; known keys are {}",
                    KEYS.join(", ")
                ));
            }
        }
    }
}
