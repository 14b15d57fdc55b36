use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rw_protocol::Name;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Backend, BackendState, Error, LoadOrder, ResponsePart, Result, StreamCall};

const STATE_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Statuses of final responses; the HTTP library also accepts others of three digits.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
const SSE_DONE: &[u8] = b"data: [DONE]";
const SSE_DATA: &str = "data: ";
const SSE_END: &[u8] = b"\n\n";
/// Largest event of an engine in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Largest response of a plain service in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Client for a backend server over HTTP. Engines implement the chat completions
/// API with server-sent events; plain services may respond with any content.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    url: String,
    is_engine: bool,
}

fn unreachable(err: impl std::fmt::Display) -> Error {
    Error::Unreachable(err.to_string())
}

fn broken(err: impl std::fmt::Display) -> Error {
    Error::Broken(err.to_string())
}

impl HttpBackend {
    /// Creates a client for the backend server at a base URL.
    ///
    /// ```
    /// let backend = rw_engine::HttpBackend::new("http://127.0.0.1:9000/engine-1", true);
    /// ```
    pub fn new(url: &str, is_engine: bool) -> Self {
        HttpBackend {
            url: url.trim_end_matches('/').to_string(),
            is_engine,
        }
    }

    fn uri(&self, path: &str) -> Result<Uri> {
        format!("{}{path}", self.url).parse().map_err(unreachable)
    }

    async fn connect(&self, uri: &Uri) -> Result<TcpStream> {
        let host = uri.authority().map(|a| a.as_str()).unwrap_or_default();
        let conn = timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await;
        conn.map_err(unreachable)?.map_err(unreachable)
    }

    // Each request has a connection of its own, so that dropping it shows the
    // server that the response is no longer needed.
    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let uri = self.uri(path)?;
        let host = uri.authority().map(|a| a.to_string()).unwrap_or_default();
        let target = uri.path_and_query().map_or("/", |path| path.as_str());
        let mut req = Request::builder()
            .method(method)
            .uri(target)
            .header("host", &host)
            .header("connection", "close")
            .header("content-type", "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body)).map_err(unreachable)?;
        let conn = self.connect(&uri).await?;
        let (mut sender, conn) = handshake(TokioIo::new(conn)).await.map_err(unreachable)?;
        tokio::spawn(conn);
        // From here on the server may have received the request.
        let res = sender.send_request(req).await.map_err(broken)?;
        match FINAL_STATUSES.contains(&res.status().as_u16()) {
            true => Ok(res),
            false => Err(broken(format!("no final status: {}", res.status()))),
        }
    }

    async fn exchange(&self, path: &str, body: Vec<u8>, limit: Duration) -> Result<Bytes> {
        let method = if body.is_empty() {
            Method::GET
        } else {
            Method::POST
        };
        let response = async {
            let res = self.send(method, path, &[], Bytes::from(body)).await?;
            let status = res.status();
            let body = read_body(res).await?;
            match status {
                StatusCode::OK => Ok(body),
                _ => Err(refusal(status, &body)),
            }
        };
        timeout(limit, response).await.map_err(broken)?
    }

    async fn forward_events(
        &self,
        res: Response<Incoming>,
        sink: &flume::Sender<ResponsePart>,
    ) -> Result<u32> {
        let status = u32::from(res.status().as_u16());
        let mut body = res.into_body();
        let mut buf = BytesMut::new();
        let mut current_version: Option<Name> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(broken)?;
            buf.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            while let Some(event) = take_event(&mut buf)? {
                // The entry sends the final event itself, once it has verified that
                // the response is complete.
                if event.starts_with(SSE_DONE) {
                    return Ok(status);
                }
                // Every event is checked, because the engine may switch to another
                // version during a stream.
                let is_current = |name: &Name| contains(&event, name.as_bytes());
                if !current_version.as_ref().is_some_and(is_current) {
                    let version = event_version(&event);
                    current_version = Some(version.clone());
                    send_part(sink, ResponsePart::Version(version)).await?;
                }
                send_part(sink, ResponsePart::Body(event)).await?;
            }
        }
        Err(broken("stream ended without its last event"))
    }
}

async fn send_part(sink: &flume::Sender<ResponsePart>, part: ResponsePart) -> Result<()> {
    sink.send_async(part)
        .await
        .map_err(|_| broken("the receiver is gone"))
}

// hyper fails on a body that ends before its `content-length` or last chunk.
async fn read_body(res: Response<Incoming>) -> Result<Bytes> {
    let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    Ok(body.map_err(broken)?.to_bytes())
}

fn refusal(status: StatusCode, body: &[u8]) -> Error {
    Error::Refused(status.as_u16(), String::from_utf8_lossy(body).into_owned())
}

// A response that is delimited only by the end of its connection cannot be
// distinguished from a truncated one.
fn is_delimited(res: &Response<Incoming>) -> bool {
    let headers = res.headers();
    headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

fn take_event(buf: &mut BytesMut) -> Result<Option<Bytes>> {
    let end = buf.windows(SSE_END.len()).position(|w| w == SSE_END);
    match end {
        Some(at) => Ok(Some(buf.split_to(at + SSE_END.len()).freeze())),
        None if buf.len() > MAX_EVENT_BYTES => Err(broken("event is too long")),
        None => Ok(None),
    }
}

fn contains(event: &[u8], name: &[u8]) -> bool {
    !name.is_empty() && event.windows(name.len()).any(|part| part == name)
}

// Engines report the model version of a response as `MODEL@VERSION`.
fn event_version(event: &[u8]) -> Name {
    let text = std::str::from_utf8(event).unwrap_or("").trim();
    let json = text.strip_prefix(SSE_DATA).unwrap_or("");
    let event: serde_json::Value = serde_json::from_str(json).unwrap_or_default();
    Name::from(event["model"].as_str().unwrap_or(""))
}

impl Backend for HttpBackend {
    // A plain service has no state endpoint; it counts as available if it accepts
    // connections.
    async fn state(&self) -> Result<BackendState> {
        if !self.is_engine {
            self.connect(&self.uri("/")?).await?;
            return Ok(BackendState::default());
        }
        let body = self.exchange("/state", Vec::new(), STATE_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(broken)
    }

    async fn load(&self, order: &LoadOrder, limit: Duration) -> Result<()> {
        let body = serde_json::to_vec(order).map_err(unreachable)?;
        self.exchange("/orders/load", body, limit).await.map(drop)
    }

    async fn stream(&self, call: StreamCall, sink: flume::Sender<ResponsePart>) -> Result<u32> {
        let priority = call.priority.to_string();
        let mut headers = vec![
            ("x-request-id", &*call.request_id),
            ("x-priority", &priority),
        ];
        if !call.key.is_empty() {
            headers.push(("idempotency-key", &call.key));
        }
        let path = match self.is_engine {
            true => "/v1/chat/completions".to_string(),
            false => format!("/{}", call.operation),
        };
        let res = self
            .send(Method::POST, &path, &headers, call.body.clone())
            .await?;
        let status = res.status();
        if self.is_engine && !status.is_success() {
            let body = read_body(res).await?;
            return Err(refusal(status, &body));
        }
        if self.is_engine {
            return self.forward_events(res, &sink).await;
        }
        if !is_delimited(&res) {
            return Err(broken("answer has neither a length nor chunks"));
        }
        let body = read_body(res).await?;
        send_part(&sink, ResponsePart::Version(Name::default())).await?;
        send_part(&sink, ResponsePart::Body(body)).await?;
        Ok(u32::from(status.as_u16()))
    }

    // Plain services have no cancellation endpoint, so a started call runs to its
    // end.
    async fn cancel(&self, request_id: &str) -> Result<()> {
        if !self.is_engine {
            return Ok(());
        }
        let path = format!("/orders/cancel/{request_id}");
        self.exchange(&path, b"{}".to_vec(), STATE_TIMEOUT)
            .await
            .map(drop)
    }
}
