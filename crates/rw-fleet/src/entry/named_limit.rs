use http::{HeaderMap, HeaderValue, StatusCode};

use crate::HeaderNames;

/// What the head of a response says about the requests that its server takes from all
/// entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// At most this many requests per second.
    PerSecond(f64),
    /// No limit.
    Unlimited,
    /// Nothing: another server responded, or the value cannot be read.
    Unknown,
}

impl NamedLimit {
    /// Reads the limit from a response head. Of several limits, the lowest holds.
    ///
    /// An unreadable limit neither changes nor ends the one that the server named before.
    pub fn parse(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> Self {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return NamedLimit::Unknown;
        }
        let values = headers.get_all(&names.limit);
        let mut limits = values.iter().map(parse_limit).peekable();
        if limits.peek().is_none() {
            return NamedLimit::Unlimited;
        }
        match limits.flatten().min_by(f64::total_cmp) {
            Some(limit) => NamedLimit::PerSecond(limit),
            None => NamedLimit::Unknown,
        }
    }
}

// Finite and not negative; anything else is ignored.
fn parse_limit(value: &HeaderValue) -> Option<f64> {
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let limit = number.filter(|limit| limit.is_finite() && *limit >= 0.0);
    if limit.is_none() {
        log::warn!("ignoring an unreadable request limit of a backend server: {value:?}");
    }
    // Also turns -0.0 into 0.0.
    limit.map(f64::abs)
}
