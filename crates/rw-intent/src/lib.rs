//! Intents, plans and the confirmed configuration.
//!
//! An intent is what an operator requests: a number of hosts that serve a version
//! of a model. A plan is the change that fulfills it, and a confirmed plan becomes
//! a generation of the configuration. Planning has no side effects.

mod configuration;
mod parse;
mod plan;
mod replace;
mod report;

pub use configuration::{ActiveIntent, Configuration, HostAssignment};
pub use parse::parse_intent;
pub use plan::{plan_intent, NetworkTopology, WAVE_COUNT};
pub use replace::{has_failed_host, replace_failed_hosts};
pub use report::{build_status_report, build_zone_report, ClusterObservation};

use quick_error::quick_error;

quick_error! {
    /// Error of reading an intent, planning it or applying its change.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The intent file is invalid, for each of these reasons.
        InvalidFile(errors: Vec<String>) {
            display("{}", errors.join("\n"))
        }
        /// Too few hosts are available.
        TooFewHosts(requested: u32, available: usize) {
            display("the intent wants {requested} hosts, only {available} are free in its regions; lower hosts or name more regions")
        }
        /// A generation does not directly follow the last one that was applied.
        GenerationGap(head: u64, received: u64) {
            display("generation {received} does not follow {head}")
        }
    }
}

/// Result of an operation on intents.
pub type Result<T> = std::result::Result<T, Error>;
