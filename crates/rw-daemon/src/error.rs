use quick_error::quick_error;

quick_error! {
    /// Error that keeps a daemon from starting or running.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are invalid.
        Settings(err: rw_settings::Error) {
            display("{err}")
            from()
        }
        /// The settings have no section for this daemon.
        UnknownDaemon(name: String) {
            display("the settings have no section daemon:{name}; add it or correct --name")
        }
        /// A listening socket could not be opened.
        Bind(addr: String, err: std::io::Error) {
            display("cannot listen on {addr}: {err}")
        }
        /// The async runtime or its signal handlers could not start.
        Runtime(err: std::io::Error) {
            display("cannot start the async runtime or its signal handlers: {err}")
            from()
        }
        /// Neither the command line nor the environment names a settings file.
        MissingSettings(variable: &'static str) {
            display("no settings file: pass --settings or set {variable}")
        }
        /// The settings of a daemon on the platform are invalid.
        Platform(err: rw_adapter::Error) {
            display("{err}")
            from()
        }
        /// A daemon on the platform failed.
        Fleet(err: rw_fleet::Error) {
            display("{err}")
            from()
        }
        /// Logging could not be initialized.
        Logging(err: rw_observe::Error) {
            display("{err}")
            from()
        }
    }
}

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;
