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
/// Bytes that a peer may send on one stream before it is read.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Bytes that a peer may send on one connection before it is read.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
/// Streams that a peer may open at once.
pub(crate) const MAX_STREAMS: u32 = 4096;

type Connections = HashMap<Name, SendRequest<Bytes>>;

/// Connections to other daemons, one for each address.
#[derive(Clone)]
pub struct PeerPool {
    conns: Arc<Mutex<Connections>>,
    suspect: Duration,
}

impl PeerPool {
    /// A peer that leaves a ping unanswered for `suspect` is given up.
    pub fn new(suspect: Duration) -> Self {
        PeerPool {
            conns: Arc::default(),
            suspect,
        }
    }

    fn conns(&self) -> MutexGuard<'_, Connections> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a stream with its first message. After `Unreachable` the peer has
    /// certainly not acted on it.
    pub async fn open(&self, addr: &Name, req: &PeerRequest) -> Result<FrameRx> {
        let mut sender = self.sender(addr).await?;
        let head = http::Request::post("http://peer/").body(());
        let head = head.map_err(|err| Error::Unreachable(err.to_string()))?;
        let unreachable = |err: h2::Error| Error::Unreachable(err.to_string());
        let (response, stream) = sender.send_request(head, false).map_err(unreachable)?;
        let mut tx = FrameTx::new(stream);
        tx.send(req).await?;
        tx.finish()?;
        Ok(FrameRx::new(response.await?.into_body()))
    }

    /// Sends a message and waits for its single answer.
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
        let known = self.conns().get(addr).cloned();
        if let Some(sender) = known {
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
        self.spawn(conn, addr.clone());
        Ok(sender)
    }

    // Drives the connection until it ends or the peer falls silent.
    fn spawn(&self, mut conn: h2::client::Connection<TcpStream, Bytes>, addr: Name) {
        let (pool, suspect) = (self.clone(), self.suspect);
        let ping = conn.ping_pong();
        tokio::spawn(async move {
            tokio::select! {
                _ = conn => {}
                () = silence(ping, suspect) => {}
            }
            pool.conns().remove(&addr);
        });
    }
}

async fn silence(ping: Option<h2::PingPong>, suspect: Duration) {
    let Some(mut ping) = ping else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(suspect).await;
        let answer = timeout(suspect, ping.ping(h2::Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
