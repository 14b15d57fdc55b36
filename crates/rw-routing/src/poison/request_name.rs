/// Begins the name of a whole request; ids of parts hold no colon.
const REQUEST_PREFIX: &str = "request:";

/// Returns how the names of requests with an outline begin.
///
/// ```
/// assert_eq!(rw_routing::request_prefix("6b01"), "request:6b01");
/// ```
pub fn request_prefix(outline: &str) -> String {
    format!("{REQUEST_PREFIX}{outline}")
}

/// Whether a suspect is a whole request, and not a part of a prompt.
///
/// ```
/// assert!(rw_routing::is_request("request:6b01-00ff"));
/// assert!(!rw_routing::is_request("5c1e07a2"));
/// ```
pub fn is_request(suspect: &str) -> bool {
    suspect.starts_with(REQUEST_PREFIX)
}
