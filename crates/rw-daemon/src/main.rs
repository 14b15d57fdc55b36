//! `ragworttackd`: an entry for callers, or the process beside a backend
//! server.

use std::process::ExitCode;

mod flags {
    #![allow(missing_docs, clippy::all)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Daemon of ragworttack. Its role is in the settings.
        cmd ragworttackd {
            /// Deployment file.
            required --settings settings: PathBuf
            /// Name of the daemon in the deployment file.
            required --name name: String
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Ragworttackd::from_env_or_exit();
    let options = rw_daemon::Options {
        settings: flags.settings,
        name: flags.name,
    };
    match rw_daemon::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ragworttackd: {err}");
            ExitCode::FAILURE
        }
    }
}
