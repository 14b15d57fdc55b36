use super::output::line;

/// Prints the catalogue of events.
pub fn catalogue() {
    line(&rw_observe::catalogue_page());
}

/// Prints the reference of settings.
pub fn settings_reference() {
    line(&rw_settings::reference());
}
