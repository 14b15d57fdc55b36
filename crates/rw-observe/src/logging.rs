use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::LevelFilter;
use rw_protocol::Name;

use crate::Result;

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs followed by the message.
    Text,
    /// One JSON object per line.
    Json,
}

/// Maximum number of log lines queued for standard output; further lines are
/// dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 1024;

enum LogItem {
    Line(String),
    // Closed once all lines before it are written.
    Flush(flume::Sender<()>),
}

/// Log that a thread of its own writes to standard output.
pub struct StdoutLog {
    items: flume::Sender<LogItem>,
}

impl StdoutLog {
    /// Waits until all lines so far are written, at most for `limit`: a process that
    /// ends would lose them. Returns whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let (written, done) = flume::bounded(0);
        if self
            .items
            .send_timeout(LogItem::Flush(written), limit)
            .is_err()
        {
            return false;
        }
        matches!(
            done.recv_timeout(limit),
            Err(flume::RecvTimeoutError::Disconnected)
        )
    }
}

/// Logs JSON lines to standard output: events at level info and above, anything
/// else at level warn and above. Logging never blocks the caller: a separate
/// thread writes the lines, and lines that do not fit into its queue are dropped
/// and counted.
pub fn init_stdout(daemon: Name) -> Result<StdoutLog> {
    let (tx, rx) = flume::bounded(LOG_QUEUE_CAPACITY);
    let log = StdoutLog { items: tx.clone() };
    std::thread::spawn(move || write_lines(&rx));
    let dropped = AtomicU64::new(0);
    let out = fern::Output::call(move |record| {
        let at_ms = rw_coord::unix_ms();
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        let mut line = serde_json::json!({
            "at_ms": at_ms,
            "daemon": &*daemon,
            "level": record.level().as_str(),
            "message": record.args().to_string(),
        });
        if dropped_lines > 0 {
            line["dropped_before"] = dropped_lines.into();
        }
        if tx.try_send(LogItem::Line(line.to_string())).is_err() {
            dropped.fetch_add(dropped_lines + 1, Ordering::Relaxed);
        }
    });
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rw_observe", LevelFilter::Info)
        .chain(out);
    dispatch.apply()?;
    Ok(log)
}

// Writes all queued lines in one call. If standard output is closed, only this
// thread ends; the queue then fills up and further lines are dropped.
fn write_lines(rx: &flume::Receiver<LogItem>) {
    while let Ok(first) = rx.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for item in std::iter::once(first).chain(rx.try_iter()) {
            match item {
                LogItem::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                LogItem::Flush(written) => flushes.push(written),
            }
        }
        if std::io::stdout().write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Logs to standard error in the given format. `level` applies to events and to
/// the daemon's own messages; other crates log at level warn and above.
pub fn init_stderr(daemon: Name, level: LevelFilter, format: Format) -> Result<()> {
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
