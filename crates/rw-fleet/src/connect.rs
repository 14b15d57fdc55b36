//! Connections to backend servers and to the platform. Each carries one
//! HTTP/1.1 exchange at a time, so a response cannot be mistaken for that of
//! another request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::memory_guard::{BodyError, MemoryShare};
use crate::read_budget::{BudgetedBody, BudgetedIo, ReadBudget};

/// Idle time after which the kernel probes a connection, and the interval
/// between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection to a caller that takes no data is closed; longer than any
/// request. The kernel makes no difference between a caller that is gone and one that is
/// alive but does not read.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Read buffer of a connection in bytes; a larger one would cost memory on
/// every connection.
const MAX_READ_BUFFER: usize = 16 * 1024;

quick_error! {
    /// Reason why an exchange failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Nothing was sent.
        Unreachable(msg: String) {
            display("cannot be reached: {msg}")
        }
        /// The connection broke after the request was sent.
        Broken(msg: String) {
            display("connection broke: {msg}")
        }
        /// There is no memory for the response.
        NoMemory {
            display("no memory for the response")
        }
        /// No response arrived in time.
        Timeout {
            display("no answer in time")
        }
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;

/// An open connection; dropping it closes the socket immediately.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    budget: ReadBudget,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sets the socket options of a connection to a caller. A caller that is gone without a
/// close is noticed by the deadlines of its requests and the idle timeout, and while it does
/// not read, after a minute.
pub fn enable_dead_peer_detection(conn: &TcpStream) -> std::io::Result<()> {
    enable_keepalive(conn)?;
    SockRef::from(conn).set_tcp_user_timeout(Some(CALLER_WRITE_TIMEOUT))
}

// Detects peers that are gone while no data is under way. A user timeout would also close
// connections whose peer is alive but does not read; deadlines bound what is under way.
fn enable_keepalive(conn: &TcpStream) -> std::io::Result<()> {
    conn.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(conn).set_tcp_keepalive(&keepalive)
}

impl Connection {
    /// Opens a connection within the time `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Connection> {
        let unreachable = |msg: String| Error::Unreachable(msg);
        let conn = timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| unreachable("connecting timed out".to_string()))?
            .map_err(|err| unreachable(err.to_string()))?;
        enable_keepalive(&conn).map_err(|err| unreachable(err.to_string()))?;
        let budget = ReadBudget::default();
        let io = BudgetedIo::new(TokioIo::new(conn), budget.clone());
        let (sender, conn) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(io)
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!("connection to {addr}: {err}");
            }
        });
        Ok(Connection {
            sender,
            budget,
            task,
        })
    }

    /// Sends a request and waits for the head of the response. The request may
    /// have arrived even if this returns an error.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<BudgetedBody>> {
        self.budget.reset();
        let sent = self.sender.send_request(req).await;
        let res = sent.map_err(|err| Error::Broken(describe(&err)))?;
        Ok(res.map(|body| BudgetedBody::new(body, self.budget.clone())))
    }

    /// Whether another request can be sent on the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Text of an error with its causes, such as whether the peer closed or reset the connection.
pub fn describe(err: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(err.source(), |cause| cause.source());
    causes.fold(err.to_string(), |text, cause| format!("{text}: {cause}"))
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Reads a complete response; a body of more than `max` bytes is an error.
pub async fn read_response(res: Response<BudgetedBody>, max: usize) -> Result<CompleteResponse> {
    let (head, body) = res.into_parts();
    let body = Limited::new(body, max).collect().await;
    let body = body.map_err(|err| Error::Broken(describe(&*err)))?;
    Ok(complete(head, body.to_bytes()))
}

/// Like [`read_response`], with memory that is taken from the share of the caller who gets
/// the response.
pub(crate) async fn read_caller_response(
    res: Response<BudgetedBody>,
    max: usize,
    memory: &Arc<MemoryShare>,
) -> Result<CompleteResponse> {
    let (head, body) = res.into_parts();
    let body = memory.collect(body, max).await.map_err(|err| match err {
        BodyError::TooLarge => Error::Broken("length limit exceeded".to_string()),
        BodyError::NoMemory => Error::NoMemory,
        BodyError::Broken(msg) => Error::Broken(msg),
    })?;
    Ok(complete(head, body))
}

fn complete(head: http::response::Parts, body: Bytes) -> CompleteResponse {
    CompleteResponse {
        status: head.status,
        headers: head.headers,
        body,
    }
}
