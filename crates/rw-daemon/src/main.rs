//! `ragworttackd`: the daemon of an entry, or of a host with its backend server.

use std::path::PathBuf;
use std::process::ExitCode;

mod flags {
    #![allow(missing_docs, clippy::all)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Daemon of ragworttack.
        cmd ragworttackd {
            /// Run a daemon of a deployment file, which also sets its role.
            default cmd serve {
                /// Deployment file.
                required --settings settings: PathBuf
                /// Name of the daemon in the deployment file.
                required --name name: String
            }
            /// Run on the platform. The settings file sets the role; its path
            /// comes from the environment.
            cmd platform {
                /// Settings file, overriding the path from the environment.
                optional --settings settings: PathBuf
            }
        }
    }
}

use flags::RagworttackdCmd;

fn main() -> ExitCode {
    let flags = flags::Ragworttackd::from_env_or_exit();
    let result = match flags.subcommand {
        RagworttackdCmd::Serve(serve) => rw_daemon::run(&rw_daemon::Options {
            settings: serve.settings,
            name: serve.name,
        }),
        RagworttackdCmd::Platform(platform) => {
            let from_env = std::env::var_os(rw_adapter::SETTINGS_VARIABLE).map(PathBuf::from);
            match platform.settings.or(from_env) {
                Some(path) => rw_daemon::run_on_platform(&path),
                None => Err(rw_daemon::Error::MissingSettings(
                    rw_adapter::SETTINGS_VARIABLE,
                )),
            }
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ragworttackd: {err}");
            ExitCode::FAILURE
        }
    }
}
