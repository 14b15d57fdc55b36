use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use rw_protocol::PeerRequest;
use tokio::net::{TcpListener, TcpStream};

use crate::client::{CONNECTION_WINDOW_BYTES, MAX_CONCURRENT_STREAMS, STREAM_WINDOW_BYTES};
use crate::{ConnectionLimit, ConnectionPlace, FrameRx, FrameTx, MessageBudget, Result};

/// Time limit for the HTTP/2 handshake of a connection and for the first message
/// of a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Flow-control windows where memory is limited, of a stream and of a connection. Requests
/// between daemons are small; only replies are large.
const LIMITED_STREAM_WINDOW_BYTES: u32 = 128 << 10;
const LIMITED_CONNECTION_WINDOW_BYTES: u32 = 512 << 10;
/// Streams that a peer may have open on one connection where memory is limited; further
/// requests wait at the peer.
const LIMITED_CONCURRENT_STREAMS: u32 = 256;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles requests from other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Handles the request that opened a stream and sends the replies to `tx`.
    fn handle(self: Arc<Self>, req: PeerRequest, tx: FrameTx) -> impl Future<Output = ()> + Send;
}

/// Limits on what the peers of a port may use.
#[derive(Clone)]
pub struct ServeLimits {
    /// Open connections.
    pub connections: Arc<ConnectionLimit>,
    /// Bytes of messages.
    pub messages: Arc<MessageBudget>,
}

impl Default for ServeLimits {
    fn default() -> Self {
        ServeLimits {
            connections: ConnectionLimit::new(None),
            messages: MessageBudget::new(None),
        }
    }
}

/// Requests in progress on one connection, which does not make room for others meanwhile.
struct Requests {
    place: ConnectionPlace,
    count: AtomicUsize,
}

impl Requests {
    fn new(place: ConnectionPlace) -> Arc<Self> {
        Arc::new(Requests {
            place,
            count: AtomicUsize::new(0),
        })
    }

    fn begin(self: &Arc<Self>) -> RequestInProgress {
        if self.count.fetch_add(1, Ordering::Relaxed) == 0 {
            self.place.set_working(true);
        }
        RequestInProgress(self.clone())
    }
}

struct RequestInProgress(Arc<Requests>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.place.set_working(false);
        }
    }
}

/// Accepts connections and serves their streams until the task is aborted.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    serve_within(listener, handler, ServeLimits::default()).await;
}

/// Like [`serve`], with limits on what peers may use.
pub async fn serve_within<H: Handler>(listener: TcpListener, handler: Arc<H>, limits: ServeLimits) {
    loop {
        match listener.accept().await {
            Ok((conn, _)) => {
                let Some(place) = limits.connections.open() else {
                    continue;
                };
                let (handler, limits) = (handler.clone(), limits.clone());
                tokio::spawn(async move {
                    let requests = Requests::new(place);
                    tokio::select! {
                        () = serve_connection(conn, handler, &limits, &requests) => {}
                        () = requests.place.closed() => {}
                    }
                });
            }
            // Most likely out of file descriptors; retry when some may be free again.
            Err(err) => {
                log::warn!("accepting a connection of a peer failed, retrying: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    conn: TcpStream,
    handler: Arc<H>,
    limits: &ServeLimits,
    requests: &Arc<Requests>,
) {
    if let Err(err) = conn.set_nodelay(true) {
        log::debug!("small messages of a peer connection may be delayed: {err}");
    }
    let (stream_window, connection_window, streams) = match limits.messages.is_limited() {
        true => (
            LIMITED_STREAM_WINDOW_BYTES,
            LIMITED_CONNECTION_WINDOW_BYTES,
            LIMITED_CONCURRENT_STREAMS,
        ),
        false => (
            STREAM_WINDOW_BYTES,
            CONNECTION_WINDOW_BYTES,
            MAX_CONCURRENT_STREAMS,
        ),
    };
    let handshake = h2::server::Builder::new()
        .initial_window_size(stream_window)
        .initial_connection_window_size(connection_window)
        .max_concurrent_streams(streams)
        .handshake::<_, Bytes>(conn);
    let mut conn = match tokio::time::timeout(REQUEST_TIMEOUT, handshake).await {
        Ok(Ok(conn)) => conn,
        Ok(Err(err)) => return log::debug!("handshake with a peer failed: {err}"),
        Err(_) => return log::debug!("handshake with a peer timed out"),
    };
    while let Some(Ok((req, respond))) = conn.accept().await {
        let (handler, budget) = (handler.clone(), limits.messages.clone());
        let requests = requests.clone();
        tokio::spawn(async move {
            if let Err(err) = serve_stream(req, respond, handler, budget, &requests).await {
                log::debug!("peer stream failed: {err}");
            }
        });
    }
}

async fn serve_stream<H: Handler>(
    req: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
    budget: Arc<MessageBudget>,
    requests: &Arc<Requests>,
) -> Result<()> {
    let mut rx = FrameRx::within(req.into_body(), &budget);
    let first = tokio::time::timeout(REQUEST_TIMEOUT, rx.next::<PeerRequest>()).await;
    let Ok(first) = first else {
        respond.send_reset(h2::Reason::CANCEL);
        return Ok(());
    };
    let Some(req) = first? else {
        respond.send_reset(h2::Reason::PROTOCOL_ERROR);
        return Ok(());
    };
    // What follows the first message is not kept for as long as the reply takes.
    drop(rx);
    let _in_progress = requests.begin();
    let tx = respond.send_response(http::Response::new(()), false)?;
    handler.handle(req, FrameTx::within(tx, budget)).await;
    Ok(())
}
