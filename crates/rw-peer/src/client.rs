use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use rw_protocol::{Name, PeerReply, PeerRequest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Error, FrameRx, FrameTx, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP/2 flow-control window of a stream: bytes that a peer may send before
/// they are read.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// HTTP/2 flow-control window of a connection, for all its streams together.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
/// Streams that a peer may have open on one connection.
pub(crate) const MAX_CONCURRENT_STREAMS: u32 = 4096;

type Connections = HashMap<Name, SendRequest<Bytes>>;

/// HTTP/2 connections to other daemons, one for each address. They are opened on
/// first use.
#[derive(Clone)]
pub struct PeerPool {
    conns: Arc<Mutex<Connections>>,
    ping_timeout: Duration,
}

impl PeerPool {
    /// Creates an empty pool. It pings each peer at intervals of `ping_timeout` and
    /// closes the connection if a ping stays unanswered for that long.
    pub fn new(ping_timeout: Duration) -> Self {
        PeerPool {
            conns: Arc::default(),
            ping_timeout,
        }
    }

    fn conns(&self) -> MutexGuard<'_, Connections> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a stream and sends its first message. After [`Error::Unreachable`] the
    /// peer is guaranteed not to have acted on the message.
    pub async fn open(&self, addr: &Name, req: &PeerRequest) -> Result<FrameRx> {
        let mut sender = self.sender(addr).await?;
        let head = http::Request::post("http://peer/").body(());
        let head = head.map_err(|err| Error::Unreachable(err.to_string()))?;
        let unreachable = |err: h2::Error| Error::Unreachable(err.to_string());
        let (response, stream) = sender.send_request(head, false).map_err(unreachable)?;
        let mut tx = FrameTx::new(stream);
        tx.send_last(req).await?;
        Ok(FrameRx::new(response.await?.into_body()))
    }

    /// Sends a request and waits for its only reply, for at most `limit`.
    pub async fn request(
        &self,
        addr: &Name,
        req: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply> {
        let exchange = async {
            let mut rx = self.open(addr, req).await?;
            let reply = rx.next().await?;
            reply.ok_or(Error::Broken("no answer".to_string()))
        };
        timeout(limit, exchange).await.map_err(|_| Error::Timeout)?
    }

    async fn sender(&self, addr: &Name) -> Result<SendRequest<Bytes>> {
        let pooled = self.conns().get(addr).cloned();
        if let Some(sender) = pooled {
            if let Ok(ready) = sender.ready().await {
                return Ok(ready);
            }
            self.conns().remove(addr);
        }
        let sender = self.connect(addr).await?;
        self.conns().insert(addr.clone(), sender.clone());
        sender
            .ready()
            .await
            .map_err(|err| Error::Unreachable(err.to_string()))
    }

    async fn connect(&self, addr: &Name) -> Result<SendRequest<Bytes>> {
        let unreachable = |msg: String| Error::Unreachable(msg);
        let conn = timeout(CONNECT_TIMEOUT, TcpStream::connect(&**addr))
            .await
            .map_err(|_| unreachable("connection timed out".to_string()))?
            .map_err(|err| unreachable(err.to_string()))?;
        conn.set_nodelay(true)
            .map_err(|err| unreachable(err.to_string()))?;
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(conn);
        let (sender, conn) = timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| unreachable("handshake timed out".to_string()))?
            .map_err(|err| unreachable(err.to_string()))?;
        self.spawn_driver(conn, addr.clone());
        Ok(sender)
    }

    // Drives the connection until it closes or the peer stops answering pings.
    fn spawn_driver(&self, mut conn: h2::client::Connection<TcpStream, Bytes>, addr: Name) {
        let (pool, ping_timeout) = (self.clone(), self.ping_timeout);
        let ping = conn.ping_pong();
        tokio::spawn(async move {
            tokio::select! {
                _ = conn => {}
                () = ping_until_timeout(ping, ping_timeout) => {}
            }
            pool.conns().remove(&addr);
        });
    }
}

async fn ping_until_timeout(ping: Option<h2::PingPong>, ping_timeout: Duration) {
    let Some(mut ping) = ping else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(ping_timeout).await;
        let pong = timeout(ping_timeout, ping.ping(h2::Ping::opaque())).await;
        if !matches!(pong, Ok(Ok(_))) {
            return;
        }
    }
}
