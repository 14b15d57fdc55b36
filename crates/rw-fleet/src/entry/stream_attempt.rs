//! One attempt to open an event stream at a backend server.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{timeout_at, Instant};

use super::attempt::{self, AttemptOptions, Failure};
use super::response::ResponseBody;
use super::{response, Call, Entry, EventReader, SlotPermit};
use crate::connect::{self, read_caller_response, Connection};
use crate::limit_exchange::SendPermit;
use crate::read_budget::BudgetedBody;
use crate::PlatformCodec;

/// Largest non-streaming response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A stream whose first events have been received.
pub(super) struct OpenedStream {
    pub(super) permit: SlotPermit,
    // Dropping the connection would close the stream.
    _conn: Connection,
    pub(super) body: BudgetedBody,
    pub(super) head: HeaderMap,
    pub(super) weights_version: Option<u64>,
    pub(super) reader: EventReader,
    pub(super) first_events: Bytes,
    pub(super) is_complete: bool,
    // Whether the server is silent and counts as failed for it.
    pub(super) is_silent: bool,
    pub(super) selection_detail: String,
}

pub(super) enum Opened {
    Stream(Box<OpenedStream>),
    Complete(Box<Response<ResponseBody>>),
}

/// Sends the call and waits for its first events.
pub(super) async fn start_stream<D: PlatformCodec>(
    entry: &Entry<D>,
    call: &Call,
    mut permit: SlotPermit,
    send_permit: SendPermit,
    options: &AttemptOptions,
    until: Instant,
) -> attempt::Result<Opened> {
    let names = entry.cx.codec.headers();
    let selection_detail = format!(
        "placed_ms={} patience_ms={} forecast_ms={} running={} unread={} prompt={}",
        call.age().as_millis(),
        (call.age() + call.time_left()).as_millis(),
        permit.forecast.as_millis(),
        permit.load.running,
        permit.load.unread_tokens,
        call.prompt_tokens
    );
    let sent_at = Instant::now();
    let (conn, res) = attempt::send(
        entry,
        call,
        &permit.server,
        options,
        send_permit,
        until.saturating_duration_since(Instant::now()),
    )
    .await?;
    if !is_event_stream(&res) {
        let response = read_caller_response(res, MAX_RESPONSE_BYTES, &call.memory);
        let response = timeout_at(until, response).await;
        let response = response.map_err(|_| attempt::timed_out(call))??;
        if must_not_relay(response.status, call) {
            return Err(Failure::ServerError(response.status));
        }
        return Ok(Opened::Complete(Box::new(response::complete(
            response, names,
        ))));
    }
    let (head, mut body) = res.into_parts();
    let weights_version = head.headers.get(&names.weights);
    let weights_version = weights_version.and_then(|v| v.to_str().ok()?.parse().ok());
    let mut reader = EventReader::after(options.last_event_id);
    let first_events = async {
        let events = timeout_at(until, next_events(&mut body, &mut reader)).await;
        events.map_err(|_| attempt::timed_out(call))?
    };
    let first_events = entry
        .begin_in_time(call, &permit.server, first_events)
        .await?;
    permit.on_first_event();
    entry.record_prompt_read(call, &permit, sent_at.elapsed());
    let is_complete = first_events.is_none();
    Ok(Opened::Stream(Box::new(OpenedStream {
        permit,
        _conn: conn,
        body,
        head: head.headers,
        weights_version,
        reader,
        first_events: first_events.unwrap_or_default(),
        is_complete,
        is_silent: false,
        selection_detail,
    })))
}

// 503 and 429 tell a caller that its request was not executed, which is not
// certain here. Other server errors of a retryable call lead to a retry.
fn must_not_relay(status: StatusCode, call: &Call) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
        || (status.is_server_error() && call.is_retryable())
}

fn is_event_stream(res: &Response<BudgetedBody>) -> bool {
    let kind = res.headers().get(CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    res.status() == StatusCode::OK && kind.starts_with("text/event-stream")
}

/// Reads the next complete events; `None` at the end of the stream.
pub(super) async fn next_events(
    body: &mut BudgetedBody,
    reader: &mut EventReader,
) -> attempt::Result<Option<Bytes>> {
    loop {
        let Some(frame) = body.frame().await else {
            return match reader.is_at_boundary() {
                true => Ok(None),
                false => Err(Failure::Unknown("stream ended inside an event".to_string())),
            };
        };
        let frame = frame.map_err(|err| Failure::Unknown(connect::describe(&err)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let events = reader.push(&data);
        if reader.is_overlong() {
            return Err(Failure::Unknown("event exceeds the size limit".to_string()));
        }
        if !events.is_empty() {
            return Ok(Some(events));
        }
    }
}
