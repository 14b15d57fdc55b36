//! `ragworttack`: the command-line client for operators.

use std::process::ExitCode;
use std::time::Duration;

use rw_cli::{commands, Client, Error, Result};

mod flags {
    #![allow(missing_docs, clippy::all)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Command-line client for operators of ragworttack.
        ///
        /// Exit codes: 0 success, 1 unhealthy deployment, 2 invalid arguments
        /// or files, 3 daemon unreachable, 4 refused by the daemon.
        cmd ragworttack {
            /// Operator port of any daemon, IP:PORT (default 127.0.0.1:8300,
            /// or RAGWORTTACK_DAEMON).
            optional --daemon daemon: String
            /// Print JSON.
            optional --json
            /// Show what an intent file would change, without changing it.
            cmd plan {
                /// Intent file.
                optional file: PathBuf
                /// Plan the removal of the named intent instead.
                optional --remove name: String
            }
            /// Confirm a plan.
            cmd confirm {
                /// Id of the plan.
                required plan: String
                /// Wait until the plan is in effect everywhere, at most this many seconds.
                optional --wait seconds: u64
            }
            /// Show the status of every intent.
            cmd status {
                /// Repeat every second.
                optional --watch
            }
            /// List all daemons.
            cmd hosts {}
            /// Show the events of all daemons in order of time.
            cmd timeline {
                /// Show only events after this stamp.
                optional --since stamp: u64
            }
            /// List requests with an unknown outcome.
            cmd unresolved {
                /// Minimum age in milliseconds (default 30000).
                optional --older-ms older_ms: u64
            }
            /// Validate a deployment file.
            cmd check-settings {
                /// Deployment file.
                required file: PathBuf
            }
            /// Print the event catalogue.
            cmd events {}
            /// Print the settings reference.
            cmd settings {}
        }
    }
}

use flags::RagworttackCmd as Cmd;

const DEFAULT_DAEMON: &str = "127.0.0.1:8300";
const DEFAULT_MIN_AGE_MS: u64 = 30_000;

fn main() -> ExitCode {
    let flags = flags::Ragworttack::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ragworttack: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn run(flags: flags::Ragworttack) -> Result<()> {
    let daemon = flags
        .daemon
        .or_else(|| std::env::var("RAGWORTTACK_DAEMON").ok());
    let client = Client::new(daemon.as_deref().unwrap_or(DEFAULT_DAEMON));
    let json = flags.json;
    match flags.subcommand {
        Cmd::Plan(plan) => match (plan.file, plan.remove) {
            (Some(file), None) => commands::plan(&client, &file, json).map(drop),
            (None, Some(name)) => commands::plan_removal(&client, &name, json).map(drop),
            _ => Err(Error::Usage(
                "plan takes an intent file or --remove NAME".to_string(),
            )),
        },
        Cmd::Confirm(confirm) => {
            let wait = confirm.wait.map(Duration::from_secs);
            commands::confirm(&client, &confirm.plan, wait).map(drop)
        }
        Cmd::Status(status) if status.watch => commands::watch_status(&client, json),
        Cmd::Status(_) => commands::status(&client, json),
        Cmd::Hosts(_) => commands::hosts(&client, json),
        Cmd::Timeline(timeline) => commands::timeline(&client, timeline.since.unwrap_or(0), json),
        Cmd::Unresolved(unresolved) => {
            let min_age_ms = unresolved.older_ms.unwrap_or(DEFAULT_MIN_AGE_MS);
            commands::unresolved(&client, min_age_ms, json)
        }
        Cmd::CheckSettings(check) => commands::check_settings(&check.file),
        Cmd::Events(_) => {
            commands::event_catalogue();
            Ok(())
        }
        Cmd::Settings(_) => {
            commands::settings_reference();
            Ok(())
        }
    }
}
