use quick_error::quick_error;

quick_error! {
    /// Why a daemon could not start or go on.
    #[derive(Debug)]
    pub enum Error {
        /// The settings have faults.
        Settings(err: rw_settings::Error) {
            display("{err}")
            from()
        }
        /// The settings have no such daemon.
        NoDaemon(name: String) {
            display("the settings have no section daemon:{name}; add it or correct --name")
        }
        /// A port could not be opened.
        Bind(addr: String, err: std::io::Error) {
            display("cannot listen on {addr}: {err}")
        }
        /// The runtime could not start.
        Runtime(err: std::io::Error) {
            display("runtime: {err}")
            from()
        }
        /// Neither the command line nor the environment names a settings file.
        NoSettings(variable: &'static str) {
            display("no settings: give --settings or set {variable}")
        }
        /// The platform's settings cannot be used.
        Platform(err: rw_adapter::Error) {
            display("{err}")
            from()
        }
        /// A daemon on the platform could not run.
        Fleet(err: rw_fleet::Error) {
            display("{err}")
            from()
        }
        /// Logging could not start.
        Logging(err: rw_observe::Error) {
            display("{err}")
            from()
        }
    }
}

/// Result of a daemon.
pub type Result<T> = std::result::Result<T, Error>;
