//! Observability: numbered events, the timeline, logs and metrics.

mod catalogue;
mod logging;
mod metrics;
mod recorder;

pub use catalogue::{catalogue_markdown, Event};
pub use logging::{init_stderr, init_stdout, Format, StdoutLog};
pub use metrics::Metrics;
pub use recorder::Recorder;

use quick_error::quick_error;

quick_error! {
    /// Error of setting up logging.
    #[derive(Debug)]
    pub enum Error {
        /// A global logger is already installed.
        LoggerInstalled(err: log::SetLoggerError) {
            display("a logger is already installed: {err}")
            from()
        }
    }
}

/// Result with this crate's error.
pub type Result<T> = std::result::Result<T, Error>;
