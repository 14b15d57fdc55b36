use quick_error::quick_error;

quick_error! {
    /// Error of a command. Each variant has its own exit code.
    #[derive(Debug)]
    pub enum Error {
        /// An argument or a file is invalid.
        Usage(msg: String) {
            display("{msg}")
        }
        /// The daemon is unreachable or its answer cannot be decoded.
        Unreachable(url: String, msg: String) {
            display("no valid answer from the daemon at {url}: {msg}; use --daemon to select another one")
        }
        /// The daemon refused the request.
        Refused(msg: String) {
            display("{msg}")
        }
        /// The deployment is unhealthy, or did not reach the requested state in
        /// time.
        Unhealthy(msg: String) {
            display("{msg}")
        }
    }
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Unhealthy(_) => 1,
            Error::Usage(_) => 2,
            Error::Unreachable(..) => 3,
            Error::Refused(_) => 4,
        }
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;
