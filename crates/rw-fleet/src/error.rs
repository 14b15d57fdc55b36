use quick_error::quick_error;

quick_error! {
    /// Reason why a daemon could not run.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(addr: String, err: std::io::Error) {
            display("cannot listen on {addr}: {err}")
        }
        /// An I/O error occurred during startup.
        Io(err: std::io::Error) {
            display("{err}")
            from()
        }
        /// Logging could not be started.
        Log(err: rw_observe::Error) {
            display("{err}")
            from()
        }
        /// A setting that the role requires is missing.
        Missing(what: &'static str) {
            display("the settings contain no {what}")
        }
    }
}

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;
