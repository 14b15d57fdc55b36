//! Intents, plans and the confirmed configuration. Planning is pure.

mod configuration;
mod parse;
mod plan;
mod replace;
mod report;

pub use configuration::{Active, Configuration, Duty};
pub use parse::parse_intent;
pub use plan::{plan, Site, WAVES};
pub use replace::replace_failed;
pub use report::{report, report_zone, Observed};

use quick_error::quick_error;

quick_error! {
    /// Why an intent cannot be planned.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The file has faults; each is named.
        File(faults: Vec<String>) {
            display("{}", faults.join("\n"))
        }
        /// There are not enough hosts.
        TooFewHosts(wanted: u32, found: usize) {
            display("the intent wants {wanted} hosts, only {found} are free in its regions; lower hosts or name more regions")
        }
        /// A generation does not follow the one in force.
        Gap(head: u64, got: u64) {
            display("generation {got} does not follow {head}")
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
