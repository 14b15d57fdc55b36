//! Finds the part of a prompt that crashes every server which begins to answer it, so that
//! requests with the part can be quarantined while those that share its other parts go on.
//!
//! A part is suspected of the crash of each server at which a request with it had not yet
//! run for a while. It is cleared when any request with it does run for a while. Entries
//! exchange what they suspect and what they saw run, as a state that replaces the last.
//!
//! A whole request, known again by its name, is suspected in the same way: the evidence, its
//! exchange, the quarantine and the trials are the same, but it takes fewer crashes.

mod detector;
mod evaluation;
mod evidence;
mod quarantine;
mod request_name;
mod requests;
mod survivals;

pub use detector::PoisonDetector;
pub use evidence::{CrashedServer, PoisonReport, SuspectedCrash};
pub use quarantine::Quarantine;
pub use request_name::{is_request, request_prefix};
pub use requests::ServiceServers;
