use super::output::print_line;

/// Prints the event catalogue as Markdown.
pub fn event_catalogue() {
    print_line(&rw_observe::catalogue_markdown());
}

/// Prints the settings reference as Markdown.
pub fn settings_reference() {
    print_line(&rw_settings::reference());
}
