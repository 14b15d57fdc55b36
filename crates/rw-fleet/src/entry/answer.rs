//! Answers towards callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};

use super::Refusal;
use crate::connect::CompleteResponse;
use crate::HeaderNames;

/// Events of a stream that wait for a slow caller.
const BACKLOG: usize = 64;

/// Body of an answer: whole, or a stream of events.
pub type AnswerBody = Either<Full<Bytes>, EventBody>;

/// Why a stream ends before its last event.
#[derive(Debug)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for BrokenOff {}

type Part = std::result::Result<Bytes, BrokenOff>;

/// Events on their way to a caller. Dropping it tells the sender at once.
pub struct EventBody {
    parts: flume::r#async::RecvStream<'static, Part>,
    _alive: flume::Sender<()>,
}

/// Sender of an [`EventBody`].
pub struct EventTx {
    parts: flume::Sender<Part>,
    /// Ends when the caller is gone.
    pub gone: flume::Receiver<()>,
}

impl EventTx {
    /// Passes events on; false once the caller is gone.
    pub async fn send(&self, events: Bytes) -> bool {
        self.parts.send_async(Ok(events)).await.is_ok()
    }

    /// Breaks the answer off, so that it does not look complete.
    pub async fn break_off(&self) {
        if self.parts.send_async(Err(BrokenOff)).await.is_err() {
            log::debug!("caller left before the stream broke off");
        }
    }
}

/// A body and the sender of its events.
pub fn event_body() -> (EventTx, EventBody) {
    let (tx, rx) = flume::bounded(BACKLOG);
    let (alive, gone) = flume::bounded(0);
    let body = EventBody {
        parts: rx.into_stream(),
        _alive: alive,
    };
    (EventTx { parts: tx, gone }, body)
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BrokenOff>>> {
        use futures_core::Stream;
        let part = std::task::ready!(Pin::new(&mut self.parts).poll_next(cx));
        Poll::Ready(part.map(|part| part.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Headers that concern one connection only.
const PER_CONNECTION: [HeaderName; 8] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::CONTENT_LENGTH,
];

/// Removes headers that concern one connection only.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in PER_CONNECTION.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Head of a backend server's answer as the caller gets it.
pub fn head_for_caller(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut out = headers.clone();
    strip_connection(&mut out);
    out.remove(&names.load);
    out
}

/// A backend server's whole answer.
pub fn whole(answer: CompleteResponse, names: &HeaderNames) -> Response<AnswerBody> {
    let mut res = Response::new(Either::Left(Full::new(answer.body)));
    *res.status_mut() = answer.status;
    *res.headers_mut() = head_for_caller(&answer.headers, names);
    res
}

/// An answer of the entry's own.
pub fn refusal(
    refusal: &Refusal,
    id: Option<&HeaderValue>,
    names: &HeaderNames,
) -> Response<AnswerBody> {
    let text = format!("{}\n", refusal.reason());
    let mut res = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *res.status_mut() = refusal.status();
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Refusal::NotRun { retry_after, .. } = refusal {
        headers.insert(RETRY_AFTER, seconds(*retry_after));
    }
    if let Some(id) = id {
        headers.insert(names.attempt.clone(), id.clone());
    }
    res
}

fn seconds(wait: Duration) -> HeaderValue {
    let text = format!("{:.3}", wait.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// Answers cannot fail: what goes wrong is an answer too.
pub type Served = std::result::Result<Response<AnswerBody>, Infallible>;
