use std::time::Duration;

use http::StatusCode;

use crate::whole_millis;

/// Reason why an entry refuses a request or reports its failure.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The request is malformed.
    BadRequest(&'static str),
    /// The API key is unknown.
    UnknownKey,
    /// No route matches the request.
    NoRoute,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The request was not executed and will not be; the caller may retry.
    NotRun {
        /// Why it was not executed.
        reason: &'static str,
        /// Time after which a retry is worthwhile.
        retry_after: Duration,
        /// Known load of the backend servers, for the log.
        known_load: String,
    },
    /// The backend server failed; the request may have been executed.
    Failed(&'static str),
    /// No response arrived in time; the request may have been executed.
    Timeout,
}

impl Refusal {
    /// HTTP status of the response.
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

    /// Value of the header `Retry-After`, in seconds; `None` if the caller is not told to retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// let refusal = rw_fleet::Refusal::NotRun {
    ///     reason: "full",
    ///     retry_after: Duration::from_millis(1500),
    ///     known_load: String::new(),
    /// };
    /// assert_eq!(refusal.retry_after_s().as_deref(), Some("1.500"));
    /// ```
    pub fn retry_after_s(&self) -> Option<String> {
        match self {
            Refusal::NotRun { retry_after, .. } => {
                let delay = Duration::from_millis(whole_millis(*retry_after));
                Some(format!("{:.3}", delay.as_secs_f64()))
            }
            _ => None,
        }
    }

    /// Known load of the backend servers, for the log.
    pub fn known_load(&self) -> &str {
        match self {
            Refusal::NotRun { known_load, .. } => known_load,
            _ => "",
        }
    }

    /// Reason for the log and the response body.
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
