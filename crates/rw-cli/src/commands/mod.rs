//! The commands, one module each.

mod check_settings;
mod confirm;
mod events;
mod hosts;
mod output;
mod plan;
mod status;
mod timeline;
mod unresolved;

pub use check_settings::check_settings;
pub use confirm::confirm;
pub use events::{event_catalogue, settings_reference};
pub use hosts::hosts;
pub use plan::{plan, plan_removal};
pub use status::{status, watch_status};
pub use timeline::timeline;
pub use unresolved::unresolved;
