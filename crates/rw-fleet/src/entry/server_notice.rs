use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

use crate::HeaderNames;

/// What a backend server says about itself in the head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Time for which the server wants no more requests from this daemon.
    pub retry_after: Option<Duration>,
}

/// Time for which the head of a response says that its server stays cold.
pub(super) fn parse_cold(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<Duration> {
    let value = headers.get(&names.cold_start)?;
    if status == StatusCode::MISDIRECTED_REQUEST {
        return None;
    }
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let cold = millis.and_then(|ms: f64| Duration::try_from_secs_f64(ms / 1e3).ok());
    if cold.is_none() {
        log::debug!("ignoring an unreadable time for which a server stays cold: {value:?}");
    }
    cold
}

impl ServerNotice {
    /// Reads the notice from a response head. A response that another server sent
    /// says nothing about the one that was addressed.
    pub fn parse(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> Self {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return ServerNotice::default();
        }
        let leaving = headers.get(&names.leaving);
        let retry_after = match status {
            StatusCode::SERVICE_UNAVAILABLE => parse_retry_after(headers),
            _ => None,
        };
        ServerNotice {
            leaving: leaving.is_some_and(|value| value.as_bytes() == b"1"),
            retry_after,
        }
    }
}

// Seconds, possibly with a fraction; anything else is ignored.
fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let delay = seconds.and_then(|seconds: f64| Duration::try_from_secs_f64(seconds).ok());
    if delay.is_none() {
        log::debug!("ignoring an unreadable Retry-After of a backend server: {value:?}");
    }
    delay
}
