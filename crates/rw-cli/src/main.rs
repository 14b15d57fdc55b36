//! `ragworttack`: the operators' command.

use std::process::ExitCode;
use std::time::Duration;

use rw_cli::{commands, Client, Error, Result};

mod flags {
    #![allow(missing_docs, clippy::all)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Operators' command of ragworttack.
        ///
        /// Exit codes: 0 done and healthy, 1 something is amiss, 2 wrong
        /// arguments or files, 3 no daemon answers, 4 the daemon refused.
        cmd ragworttack {
            /// Operators' port of any daemon, IP:PORT (default 127.0.0.1:8300,
            /// or RAGWORTTACK_DAEMON).
            optional --daemon daemon: String
            /// Print JSON.
            optional --json
            /// Work out what an intent file would change.
            cmd plan {
                /// Intent file.
                optional file: PathBuf
                /// End the named intent instead.
                optional --remove name: String
            }
            /// Confirm a plan.
            cmd confirm {
                /// Id of the plan.
                required plan: String
                /// Wait until it is in force everywhere, at most so many seconds.
                optional --wait seconds: u64
            }
            /// Show the outcome of every intent.
            cmd status {
                /// Show it every second.
                optional --watch
            }
            /// List every daemon.
            cmd hosts {}
            /// Show the events of every daemon in one order.
            cmd timeline {
                /// Stamp after which to start.
                optional --since stamp: u64
            }
            /// List calls whose end is not known.
            cmd unresolved {
                /// Least age in milliseconds (default 30000).
                optional --older-ms older_ms: u64
            }
            /// Check a deployment file.
            cmd check-settings {
                /// Deployment file.
                required file: PathBuf
            }
            /// Print the catalogue of events.
            cmd events {}
            /// Print the reference of settings.
            cmd settings {}
        }
    }
}

use flags::RagworttackCmd as Cmd;

const DEFAULT_DAEMON: &str = "127.0.0.1:8300";
const DEFAULT_OLDER_MS: u64 = 30_000;

fn main() -> ExitCode {
    let flags = flags::Ragworttack::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ragworttack: {err}");
            ExitCode::from(err.code())
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
            let older_ms = unresolved.older_ms.unwrap_or(DEFAULT_OLDER_MS);
            commands::unresolved(&client, older_ms, json)
        }
        Cmd::CheckSettings(check) => commands::check_settings(&check.file),
        Cmd::Events(_) => {
            commands::catalogue();
            Ok(())
        }
        Cmd::Settings(_) => {
            commands::settings_reference();
            Ok(())
        }
    }
}
