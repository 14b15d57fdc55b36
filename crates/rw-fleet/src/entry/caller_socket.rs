use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read and dropped at once.
const DRAIN_BYTES: usize = 16 << 10;

/// Notes what a [`CallerSocket`] does.
pub trait SocketObserver {
    /// Bytes have arrived.
    fn on_read(&self, _len: usize) {}
    /// The socket is about to take bytes.
    fn on_write(&self) {}
    /// The socket has taken bytes.
    fn on_written(&self, _len: usize) {}
    /// The socket has taken all bytes so far.
    fn on_flushed(&self) {}
}

impl SocketObserver for () {}

/// Socket of a caller. A clone of it tells whether anything is unread while the HTTP
/// library reads from it.
pub struct CallerSocket<O> {
    conn: Arc<TcpStream>,
    state: Arc<O>,
}

impl<O> Clone for CallerSocket<O> {
    fn clone(&self) -> Self {
        CallerSocket {
            conn: self.conn.clone(),
            state: self.state.clone(),
        }
    }
}

impl<O> CallerSocket<O> {
    /// Wraps an accepted connection.
    pub fn new(conn: TcpStream, state: Arc<O>) -> Self {
        CallerSocket {
            conn: Arc::new(conn),
            state,
        }
    }

    /// Reads and drops what arrives, until the caller ends the connection. Closing it before
    /// would reset it, and the caller could lose the answer.
    pub async fn drain(&self) {
        let mut bytes = vec![0; DRAIN_BYTES];
        while self.conn.readable().await.is_ok() {
            match self.conn.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(_) => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return log::debug!("a refused caller is gone: {err}"),
            }
        }
    }

    /// Whether bytes of the caller, or its end of the connection, wait to be read. Asks the
    /// socket, since the runtime may not have seen yet that it can be read.
    pub fn has_unread(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match SockRef::from(&*self.conn).peek(&mut byte) {
            Ok(_) => true,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl<O: SocketObserver> AsyncRead for CallerSocket<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.conn.poll_read_ready(cx))?;
            match self.conn.try_read_buf(buf) {
                Ok(len) => {
                    if len > 0 {
                        self.state.on_read(len);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl<O: SocketObserver> AsyncWrite for CallerSocket<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.on_write();
        loop {
            ready!(self.conn.poll_write_ready(cx))?;
            match self.conn.try_write(buf) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    if let Ok(len) = &written {
                        self.state.on_written(*len);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.on_write();
        loop {
            ready!(self.conn.poll_write_ready(cx))?;
            match self.conn.try_write_vectored(bufs) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    if let Ok(len) = &written {
                        self.state.on_written(*len);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    // Called once everything buffered has been written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.conn).shutdown(std::net::Shutdown::Write))
    }
}
