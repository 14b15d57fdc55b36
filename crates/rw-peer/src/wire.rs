use std::future::poll_fn;

use bytes::Bytes;
use h2::{Reason, RecvStream, SendStream};
use rw_protocol::{encode, Decoder};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::{Error, Result};

/// Sends messages on one stream.
pub struct FrameTx {
    stream: SendStream<Bytes>,
}

impl FrameTx {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        FrameTx { stream }
    }

    /// Sends one message; waits while the flow-control window is full.
    pub async fn send<T: Serialize>(&mut self, msg: &T) -> Result<()> {
        self.send_message(msg, false).await
    }

    /// Sends the last message and, in the same frame as its last part, the end of the
    /// stream. A peer that answers at once may close the stream before a separate end.
    pub async fn send_last<T: Serialize>(&mut self, msg: &T) -> Result<()> {
        self.send_message(msg, true).await
    }

    async fn send_message<T: Serialize>(&mut self, msg: &T, is_last: bool) -> Result<()> {
        let mut buf = encode(msg)?;
        while !buf.is_empty() {
            self.stream.reserve_capacity(buf.len());
            let capacity = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let capacity = capacity.ok_or_else(|| Error::Broken("closed".to_string()))??;
            let part = buf.split_to(capacity.min(buf.len()));
            self.stream.send_data(part, is_last && buf.is_empty())?;
        }
        Ok(())
    }

    /// Ends the stream.
    pub fn finish(&mut self) -> Result<()> {
        Ok(self.stream.send_data(Bytes::new(), true)?)
    }

    /// Resets the stream.
    pub fn reset(&mut self) {
        self.stream.send_reset(Reason::CANCEL);
    }

    /// Waits until the peer resets the stream or the connection fails.
    pub async fn closed(&mut self) {
        // A connection error also ends the stream, so both results mean the same.
        let _ = poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }
}

/// Receives messages from one stream.
pub struct FrameRx {
    body: RecvStream,
    decoder: Decoder,
}

impl FrameRx {
    pub(crate) fn new(body: RecvStream) -> Self {
        FrameRx {
            body,
            decoder: Decoder::default(),
        }
    }

    /// Waits for the next message; `None` once the peer has ended the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(msg) = self.decoder.next()? {
                return Ok(Some(msg));
            }
            let Some(data) = self.body.data().await else {
                return match self.decoder.is_empty() {
                    true => Ok(None),
                    false => Err(Error::Broken("stream ends inside a frame".to_string())),
                };
            };
            let data = data?;
            self.body.flow_control().release_capacity(data.len())?;
            self.decoder.extend(&data);
        }
    }
}
