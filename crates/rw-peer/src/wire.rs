use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::{Reason, RecvStream, SendStream};
use rw_protocol::{encode, Decoder};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::{Error, MessageBudget, MessageBytes, Result};

/// Time in which a peer has to take some of a reply where the memory for replies is limited.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends messages on one stream.
pub struct FrameTx {
    stream: SendStream<Bytes>,
    budget: Option<Arc<MessageBudget>>,
}

impl FrameTx {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        FrameTx {
            stream,
            budget: None,
        }
    }

    pub(crate) fn within(stream: SendStream<Bytes>, budget: Arc<MessageBudget>) -> Self {
        FrameTx {
            stream,
            budget: budget.is_limited().then_some(budget),
        }
    }

    /// Sends one message; waits while the flow-control window is full.
    pub async fn send<T: Serialize>(&mut self, msg: &T) -> Result<()> {
        self.send_frame(msg, false).await
    }

    /// Sends the last message and ends the stream with it. A peer that answers at once
    /// may close the stream before a separate end could be sent.
    pub(crate) async fn send_last<T: Serialize>(&mut self, msg: &T) -> Result<()> {
        self.send_frame(msg, true).await
    }

    async fn send_frame<T: Serialize>(&mut self, msg: &T, is_last: bool) -> Result<()> {
        let mut buf = encode(msg)?;
        let mut held = self.budget.as_ref().map(MessageBudget::open);
        if held.as_mut().is_some_and(|held| !held.take(buf.len())) {
            return Err(Error::Broken("no memory for the message".to_string()));
        }
        while !buf.is_empty() {
            self.stream.reserve_capacity(buf.len());
            let capacity = poll_fn(|cx| self.stream.poll_capacity(cx));
            let capacity = match held {
                Some(_) => tokio::time::timeout(STALL_TIMEOUT, capacity)
                    .await
                    .map_err(|_| Error::Timeout)?,
                None => capacity.await,
            };
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
    held: Option<MessageBytes>,
}

impl FrameRx {
    pub(crate) fn new(body: RecvStream) -> Self {
        FrameRx {
            body,
            decoder: Decoder::default(),
            held: None,
        }
    }

    pub(crate) fn within(body: RecvStream, budget: &Arc<MessageBudget>) -> Self {
        FrameRx {
            held: budget.is_limited().then(|| budget.open()),
            ..FrameRx::new(body)
        }
    }

    /// Waits for the next message; `None` once the peer has ended the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(msg) = self.decoder.next()? {
                if let Some(held) = &mut self.held {
                    held.clear();
                }
                return Ok(Some(msg));
            }
            let Some(data) = self.body.data().await else {
                return match self.decoder.is_empty() {
                    true => Ok(None),
                    false => Err(Error::Broken("stream ends inside a frame".to_string())),
                };
            };
            let data = data?;
            if self
                .held
                .as_mut()
                .is_some_and(|held| !held.take(data.len()))
            {
                return Err(Error::Broken("no memory for the message".to_string()));
            }
            self.body.flow_control().release_capacity(data.len())?;
            self.decoder.extend(&data);
        }
    }
}
