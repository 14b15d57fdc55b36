use bytes::{Buf, BufMut, Bytes, BytesMut};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the message format; frames of any other version are rejected.
pub const PROTOCOL_VERSION: u8 = 1;
/// Size in bytes of a frame's header: version, payload length, checksum.
pub const FRAME_HEADER_BYTES: usize = 9;
/// Largest payload of one frame in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

quick_error! {
    /// Why a message could not be encoded or a frame not decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The frame has another version of the message format.
        Version(got: u8) {
            display("message version {got} is unknown, expected {PROTOCOL_VERSION}; upgrade the older daemon")
        }
        /// The payload is larger than [`MAX_FRAME_BYTES`].
        TooLong(len: usize) {
            display("frame of {len} bytes is above the limit of {MAX_FRAME_BYTES}")
        }
        /// The payload was corrupted in transit.
        Checksum {
            display("frame checksum does not match; the data was damaged on the way")
        }
        /// The payload could not be encoded, or is not the expected message.
        Payload(msg: String) {
            display("frame payload is not a known message: {msg}")
        }
    }
}

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a message as a frame with a checksum.
///
/// ```
/// use rw_protocol::{decode, encode, Ack};
/// let frame = encode(&Ack { head: 7 }).unwrap();
/// assert_eq!(decode::<Ack>(frame).unwrap().head, 7);
/// ```
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(msg, bincode_config())
        .map_err(|err| Error::Payload(err.to_string()))?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong(body.len()));
    }
    let mut buf = BytesMut::with_capacity(FRAME_HEADER_BYTES + body.len());
    buf.put_u8(PROTOCOL_VERSION);
    buf.put_u32(body.len() as u32);
    buf.put_u32(crc32fast::hash(&body));
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Decodes exactly one frame; fails if it is incomplete or followed by other
/// bytes.
pub fn decode<T: DeserializeOwned>(frame: Bytes) -> Result<T> {
    let mut decoder = Decoder::default();
    decoder.extend(&frame);
    match decoder.next()? {
        Some(msg) if decoder.is_empty() => Ok(msg),
        Some(_) => Err(Error::Payload("bytes after the frame".to_string())),
        None => Err(Error::Payload("frame is truncated".to_string())),
    }
}

/// Decodes messages from a byte stream that may be split at any point.
#[derive(Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Appends received bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Whether all received bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Decodes the next message; `None` until its frame is complete.
    #[allow(clippy::should_implement_trait)]
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        if self.buf.is_empty() {
            return Ok(None);
        }
        if self.buf[0] != PROTOCOL_VERSION {
            return Err(Error::Version(self.buf[0]));
        }
        if self.buf.len() < FRAME_HEADER_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[1..5]).get_u32() as usize;
        let checksum = (&self.buf[5..9]).get_u32();
        if len > MAX_FRAME_BYTES {
            return Err(Error::TooLong(len));
        }
        if self.buf.len() < FRAME_HEADER_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(FRAME_HEADER_BYTES);
        let body = self.buf.split_to(len);
        if crc32fast::hash(&body) != checksum {
            return Err(Error::Checksum);
        }
        decode_payload(&body).map(Some)
    }
}

fn decode_payload<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let (msg, consumed) = bincode::serde::decode_from_slice(body, bincode_config())
        .map_err(|err| Error::Payload(err.to_string()))?;
    if consumed != body.len() {
        return Err(Error::Payload("bytes after the message".to_string()));
    }
    Ok(msg)
}
