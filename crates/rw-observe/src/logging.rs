use log::LevelFilter;
use rw_protocol::Name;

use crate::Result;

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs.
    Text,
    /// One JSON object a line.
    Json,
}

/// Logs to standard error.
pub fn init(daemon: Name, level: LevelFilter, format: Format) -> Result<()> {
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rw_observe", level)
        .level_for("rw_daemon", level)
        .chain(std::io::stderr());
    let dispatch = dispatch.format(move |out, msg, record| {
        let at_ms = rw_coord::unix_ms();
        let level = record.level();
        match format {
            Format::Text => out.finish(format_args!(
                "at_ms={at_ms} daemon={daemon} level={level} {msg}"
            )),
            Format::Json => {
                let line = serde_json::json!({
                    "at_ms": at_ms,
                    "daemon": &*daemon,
                    "level": level.as_str(),
                    "message": msg.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        }
    });
    Ok(dispatch.apply()?)
}
