use std::time::Duration;

use http::StatusCode;

/// Why an entry answers a request itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The head makes no sense.
    BadRequest(&'static str),
    /// The key is not known.
    UnknownKey,
    /// No route takes the request.
    NoRoute,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The request did not run and will not; a caller may come back.
    NotRun {
        /// Why it was not run.
        reason: &'static str,
        /// When coming back is worthwhile.
        retry_after: Duration,
        /// What was believed of the backend servers, for the log.
        known_load: String,
    },
    /// The backend server failed; whether the request ran is not known.
    Failed(&'static str),
    /// No answer came in time; whether the request ran is not known.
    Timeout,
}

impl Refusal {
    /// Status that the caller gets.
    ///
    /// ```
    /// assert_eq!(rw_fleet::Refusal::NoRoute.status(), 404);
    /// ```
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::BadRequest(_) => StatusCode::BAD_REQUEST,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Refusal::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Failed(_) => StatusCode::BAD_GATEWAY,
            Refusal::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// What was believed of the backend servers, for the log.
    pub fn known_load(&self) -> &str {
        match self {
            Refusal::NotRun { known_load, .. } => known_load,
            _ => "",
        }
    }

    /// Reason for logs and the answer's body.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::BadRequest(reason) | Refusal::Failed(reason) => reason,
            Refusal::UnknownKey => "unknown key",
            Refusal::NoRoute => "no such route",
            Refusal::TooLarge => "body too large",
            Refusal::BodyTimeout => "body did not arrive in time",
            Refusal::NotRun { reason, .. } => reason,
            Refusal::Timeout => "no answer in time",
        }
    }
}
