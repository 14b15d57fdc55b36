//! Limit on what a connection reads without delivering any of it, since a faulty peer
//! may send bytes that are no response, such as endless informational responses, for
//! as long as the connection is open.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Bytes that may be read before any of the body is delivered, and beyond what was
/// delivered: a response head, and the bytes read ahead.
const INITIAL_BYTES: i64 = 128 << 10;
/// Most bytes of one read, as many as hyper buffers.
const READ_BYTES: usize = 16 << 10;
/// Bytes of framing that may surround each delivered part of a body.
const FRAMING_BYTES: i64 = 64;

/// Bytes that a connection may still read.
#[derive(Clone, Debug)]
pub struct ReadBudget(Arc<AtomicI64>);

impl Default for ReadBudget {
    fn default() -> Self {
        ReadBudget(Arc::new(AtomicI64::new(INITIAL_BYTES)))
    }
}

impl ReadBudget {
    fn take(&self, bytes: usize) -> io::Result<()> {
        match self.0.fetch_sub(bytes as i64, Ordering::Relaxed) {
            left if left >= bytes as i64 => Ok(()),
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes that are no response",
            )),
        }
    }

    fn give_back(&self, bytes: usize) {
        let bytes = bytes as i64 + FRAMING_BYTES;
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Starts again for the next response on a connection.
    pub fn reset(&self) {
        self.0.store(INITIAL_BYTES, Ordering::Relaxed);
    }
}

/// Connection whose reads count towards a budget. A server may respond and close before it
/// has read the whole request; the response is read although the rest cannot be sent.
pub struct BudgetedIo<T> {
    io: T,
    budget: ReadBudget,
    write_error: Option<io::ErrorKind>,
}

impl<T> BudgetedIo<T> {
    /// Wraps a connection.
    pub fn new(io: T, budget: ReadBudget) -> Self {
        BudgetedIo {
            io,
            budget,
            write_error: None,
        }
    }
}

impl<T: Read + Unpin> Read for BudgetedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.remaining();
        // The inner reader gets a cursor of its own, so the bytes it read are known
        // only through a buffer on the stack.
        let mut bytes = [std::mem::MaybeUninit::uninit(); READ_BYTES];
        let len = before.min(bytes.len());
        let mut read = hyper::rt::ReadBuf::uninit(&mut bytes[..len]);
        std::task::ready!(Pin::new(&mut self.io).poll_read(cx, read.unfilled()))?;
        let filled = read.filled();
        // The write has consumed the socket's error, and the end looks orderly.
        if let Some(kind) = self.write_error.filter(|_| filled.is_empty() && len > 0) {
            return Poll::Ready(Err(kind.into()));
        }
        self.budget.take(filled.len())?;
        buf.put_slice(filled);
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for BudgetedIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    // Without it, the HTTP library would copy each body into a buffer of its own.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(len));
        }
        match std::task::ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs)) {
            Ok(written) => Poll::Ready(Ok(written)),
            Err(err) => {
                log::debug!("the rest of a request cannot be sent: {err}");
                self.write_error = Some(err.kind());
                Poll::Ready(Ok(len))
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Body of a response whose delivered bytes are given back to the budget.
pub struct BudgetedBody {
    body: Incoming,
    budget: ReadBudget,
}

impl BudgetedBody {
    /// Wraps a body.
    pub fn new(body: Incoming, budget: ReadBudget) -> Self {
        BudgetedBody { body, budget }
    }
}

impl Body for BudgetedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.budget.give_back(bytes);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
