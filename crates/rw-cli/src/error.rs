use quick_error::quick_error;

quick_error! {
    /// Why a command did not do its work. Each kind has an exit code.
    #[derive(Debug)]
    pub enum Error {
        /// The arguments or a file are wrong.
        Usage(msg: String) {
            display("{msg}")
        }
        /// The daemon cannot be reached.
        Unreachable(url: String, msg: String) {
            display("daemon at {url} cannot be reached: {msg}; name another with --daemon")
        }
        /// The daemon refused.
        Refused(msg: String) {
            display("{msg}")
        }
        /// Something is amiss with the deployment.
        Unhealthy(msg: String) {
            display("{msg}")
        }
    }
}

impl Error {
    /// Exit code of the process.
    pub fn code(&self) -> u8 {
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
