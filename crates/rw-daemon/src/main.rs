//! `ragworttackd`: an entry for callers, or the process beside a backend
//! server.

use std::path::PathBuf;
use std::process::ExitCode;

mod flags {
    #![allow(missing_docs, clippy::all)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Daemon of ragworttack.
        cmd ragworttackd {
            /// Run a daemon of a deployment file. Its role is in the file.
            default cmd serve {
                /// Deployment file.
                required --settings settings: PathBuf
                /// Name of the daemon in the deployment file.
                required --name name: String
            }
            /// Run on the platform. Its settings file says what it is; the
            /// environment names that file.
            cmd platform {
                /// Settings file, instead of the one that the environment names.
                optional --settings settings: PathBuf
            }
        }
    }
}

use flags::RagworttackdCmd;

fn main() -> ExitCode {
    let flags = flags::Ragworttackd::from_env_or_exit();
    let done = match flags.subcommand {
        RagworttackdCmd::Serve(serve) => rw_daemon::run(&rw_daemon::Options {
            settings: serve.settings,
            name: serve.name,
        }),
        RagworttackdCmd::Platform(platform) => {
            let named = std::env::var_os(rw_adapter::SETTINGS_VARIABLE).map(PathBuf::from);
            match platform.settings.or(named) {
                Some(path) => rw_daemon::run_on_platform(&path),
                None => Err(rw_daemon::Error::NoSettings(rw_adapter::SETTINGS_VARIABLE)),
            }
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ragworttackd: {err}");
            ExitCode::FAILURE
        }
    }
}
