//! Message streams between daemons over HTTP/2.

mod client;
mod connection_limit;
mod message_budget;
mod server;
mod wire;

pub use client::PeerPool;
pub use connection_limit::{ConnectionLimit, ConnectionPlace};
pub use message_budget::{MessageBudget, MessageBytes};
pub use server::{serve, serve_within, Handler, ServeLimits};
pub use wire::{FrameRx, FrameTx};

use quick_error::quick_error;

quick_error! {
    /// Why an exchange with another daemon failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection or stream could be opened; the peer received nothing.
        Unreachable(msg: String) {
            display("daemon cannot be reached: {msg}")
        }
        /// The stream or connection failed; the peer may have received the request.
        Broken(msg: String) {
            display("stream broke: {msg}")
        }
        /// A message could not be encoded, or the peer sent an invalid frame.
        Frame(err: rw_protocol::Error) {
            display("{err}")
            from()
        }
        /// The peer did not reply within the time limit.
        Timeout {
            display("daemon did not answer in time")
        }
        /// The peer sent a reply that does not match the request.
        Unexpected {
            display("daemon sent an answer of the wrong kind")
        }
    }
}

impl From<h2::Error> for Error {
    fn from(err: h2::Error) -> Self {
        Error::Broken(err.to_string())
    }
}

/// Result of an exchange with another daemon.
pub type Result<T> = std::result::Result<T, Error>;
