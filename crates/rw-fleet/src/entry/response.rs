//! Responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};

use super::Refusal;
use crate::connect::CompleteResponse;
use crate::memory_guard::MemoryShare;
use crate::HeaderNames;

/// Maximum number of event batches that are buffered for a slow caller.
const MAX_BUFFERED_BATCHES: usize = 64;

/// Body of a response: complete, or a stream of events.
pub type ResponseBody = Either<Full<Bytes>, EventBody>;

/// Error that ends a stream before its last event.
#[derive(Debug)]
pub struct StreamAborted;

impl std::fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for StreamAborted {}

/// Stream of events to a caller. Dropping it closes
/// [`EventSender::disconnected`].
pub struct EventBody {
    batches: flume::r#async::RecvStream<'static, Bytes>,
    // Whether the end of the batches is the end of the stream.
    finished: Arc<AtomicBool>,
    _alive: flume::Sender<()>,
}

/// Sender of an [`EventBody`]. Unless it was finished, dropping it aborts the response.
pub struct EventSender {
    batches: flume::Sender<Bytes>,
    finished: Arc<AtomicBool>,
    memory: Arc<MemoryShare>,
    /// Closed when the caller disconnects.
    pub disconnected: flume::Receiver<()>,
}

impl EventSender {
    /// Sends events. Returns false once the caller has disconnected, or if there is no
    /// memory to hold them until it reads.
    pub async fn send(&self, events: Bytes) -> bool {
        let disconnected = self.disconnected.clone();
        let events = tokio::select! {
            events = self.memory.hold_events(events) => events,
            _ = disconnected.recv_async() => None,
        };
        let Some(events) = events else {
            return false;
        };
        self.batches.send_async(events).await.is_ok()
    }

    /// Whether the caller has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.is_disconnected()
    }

    /// Ends the response as complete.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }
}

/// Creates a body and the sender of its events.
pub fn event_body(memory: Arc<MemoryShare>) -> (EventSender, EventBody) {
    let (tx, rx) = flume::bounded(MAX_BUFFERED_BATCHES);
    let (alive, disconnected) = flume::bounded(0);
    let finished = Arc::new(AtomicBool::new(false));
    let body = EventBody {
        batches: rx.into_stream(),
        finished: finished.clone(),
        _alive: alive,
    };
    (
        EventSender {
            batches: tx,
            finished,
            memory,
            disconnected,
        },
        body,
    )
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, StreamAborted>>> {
        use futures_core::Stream;
        let batch = std::task::ready!(Pin::new(&mut self.batches).poll_next(cx));
        Poll::Ready(match batch {
            Some(events) => Some(Ok(Frame::data(events))),
            None if self.finished.load(Ordering::Acquire) => None,
            None => Some(Err(StreamAborted)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::CONTENT_LENGTH,
];

/// Removes hop-by-hop headers, and those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Headers of a backend server's response that the caller receives.
pub fn caller_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut out = headers.clone();
    strip_hop_by_hop(&mut out);
    out.remove(&names.load);
    out.remove(&names.leaving);
    out.remove(&names.limit);
    out
}

/// Converts a backend server's complete response into one for the caller.
pub fn complete(response: CompleteResponse, names: &HeaderNames) -> Response<ResponseBody> {
    let mut res = Response::new(Either::Left(Full::new(response.body)));
    *res.status_mut() = response.status;
    *res.headers_mut() = caller_headers(&response.headers, names);
    res
}

/// Response with which the entry itself refuses a request.
pub fn refusal(
    refusal: &Refusal,
    id: Option<&HeaderValue>,
    names: &HeaderNames,
) -> Response<ResponseBody> {
    let text = format!("{}\n", refusal.reason());
    let mut res = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *res.status_mut() = refusal.status();
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(delay) = refusal.retry_after_s() {
        let value = HeaderValue::from_str(&delay);
        headers.insert(RETRY_AFTER, value.unwrap_or(HeaderValue::from_static("1")));
    }
    if let Some(id) = id {
        headers.insert(names.attempt.clone(), id.clone());
    }
    res
}

/// Result of a request handler; infallible, since refusals become responses.
pub type HandlerResult = std::result::Result<Response<ResponseBody>, Infallible>;
