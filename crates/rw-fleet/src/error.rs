use quick_error::quick_error;

quick_error! {
    /// Why a daemon could not run.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be taken.
        Bind(addr: String, err: std::io::Error) {
            display("cannot listen on {addr}: {err}")
        }
        /// The runtime could not start.
        Io(err: std::io::Error) {
            display("{err}")
            from()
        }
        /// Logging could not start.
        Log(err: rw_observe::Error) {
            display("{err}")
            from()
        }
        /// The settings lack something that the role needs.
        Missing(what: &'static str) {
            display("the settings name no {what}")
        }
    }
}

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;
