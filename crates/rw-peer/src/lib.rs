//! Streams of messages between daemons.

mod client;
mod server;
mod wire;

pub use client::PeerPool;
pub use server::{serve, Handler};
pub use wire::{FrameRx, FrameTx};

use quick_error::quick_error;

quick_error! {
    /// Why an exchange with another daemon failed.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was sent.
        Unreachable(msg: String) {
            display("daemon cannot be reached: {msg}")
        }
        /// The stream broke.
        Broken(msg: String) {
            display("stream broke: {msg}")
        }
        /// The peer sent something that is not a message.
        Frame(err: rw_protocol::Error) {
            display("{err}")
            from()
        }
        /// The peer did not answer in time.
        Timeout {
            display("daemon did not answer in time")
        }
        /// The peer sent another kind of answer.
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

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;
