use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use rw_protocol::PeerRequest;
use tokio::net::{TcpListener, TcpStream};

use crate::client::{CONNECTION_WINDOW_BYTES, MAX_STREAMS, STREAM_WINDOW_BYTES};
use crate::{FrameRx, FrameTx, Result};

/// Time in which a peer has to send its first message.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests of other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Handles one stream.
    fn handle(self: Arc<Self>, req: PeerRequest, tx: FrameTx) -> impl Future<Output = ()> + Send;
}

/// Accepts connections until the listener is dropped with its task.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((conn, _)) => drop(tokio::spawn(connection(conn, handler.clone()))),
            // Out of descriptors, most likely: others may be closed meanwhile.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H: Handler>(conn: TcpStream, handler: Arc<H>) {
    let _ = conn.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(conn);
    let Ok(Ok(mut conn)) = tokio::time::timeout(REQUEST_TIMEOUT, handshake).await else {
        return;
    };
    while let Some(Ok((req, respond))) = conn.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(err) = stream(req, respond, handler).await {
                log::debug!("peer stream: {err}");
            }
        });
    }
}

async fn stream<H: Handler>(
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
