use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use rw_protocol::PeerRequest;
use tokio::net::{TcpListener, TcpStream};

use crate::client::{CONNECTION_WINDOW_BYTES, MAX_CONCURRENT_STREAMS, STREAM_WINDOW_BYTES};
use crate::{FrameRx, FrameTx, Result};

/// Time limit for the HTTP/2 handshake of a connection and for the first message
/// of a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles requests from other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Handles the request that opened a stream and sends the replies to `tx`.
    fn handle(self: Arc<Self>, req: PeerRequest, tx: FrameTx) -> impl Future<Output = ()> + Send;
}

/// Accepts connections and serves their streams until the task is aborted.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((conn, _)) => drop(tokio::spawn(serve_connection(conn, handler.clone()))),
            // Most likely out of file descriptors; retry when some may be free again.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H: Handler>(conn: TcpStream, handler: Arc<H>) {
    let _ = conn.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .handshake::<_, Bytes>(conn);
    let Ok(Ok(mut conn)) = tokio::time::timeout(REQUEST_TIMEOUT, handshake).await else {
        return;
    };
    while let Some(Ok((req, respond))) = conn.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(err) = serve_stream(req, respond, handler).await {
                log::debug!("peer stream failed: {err}");
            }
        });
    }
}

async fn serve_stream<H: Handler>(
    req: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) -> Result<()> {
    let mut rx = FrameRx::new(req.into_body());
    let first = tokio::time::timeout(REQUEST_TIMEOUT, rx.next::<PeerRequest>()).await;
    let Ok(first) = first else {
        respond.send_reset(h2::Reason::CANCEL);
        return Ok(());
    };
    let Some(req) = first? else {
        respond.send_reset(h2::Reason::PROTOCOL_ERROR);
        return Ok(());
    };
    let tx = respond.send_response(http::Response::new(()), false)?;
    handler.handle(req, FrameTx::new(tx)).await;
    Ok(())
}
