//! Numbered events, the time line, logs and metrics.

mod catalogue;
mod logging;
mod metrics;
mod recorder;

pub use catalogue::{catalogue_page, Event};
pub use logging::{init, init_stdout, Format};
pub use metrics::Metrics;
pub use recorder::Recorder;

use quick_error::quick_error;

quick_error! {
    /// Why logging could not start.
    #[derive(Debug)]
    pub enum Error {
        /// Another logger is installed.
        Installed(err: log::SetLoggerError) {
            display("a logger is installed already: {err}")
            from()
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
