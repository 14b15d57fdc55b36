use bytes::{Buf, BufMut, Bytes, BytesMut};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the messages; peers of another version are refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// Bytes of a frame's head: version, length, checksum.
pub const FRAME_HEADER_BYTES: usize = 9;
/// Largest payload of one frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

quick_error! {
    /// Why bytes from a peer are not a message.
    #[derive(Debug)]
    pub enum Error {
        /// The peer speaks another version.
        Version(got: u8) {
            display("message version {got} is unknown, expected {PROTOCOL_VERSION}; upgrade the older daemon")
        }
        /// The length is above the limit.
        TooLong(len: usize) {
            display("frame of {len} bytes is above the limit of {MAX_FRAME_BYTES}")
        }
        /// The bytes changed on the way.
        Checksum {
            display("frame checksum does not match; the data was damaged on the way")
        }
        /// The payload is not the expected message.
        Payload(msg: String) {
            display("frame payload is not a known message: {msg}")
        }
    }
}

/// Result of framing.
pub type Result<T> = std::result::Result<T, Error>;

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes one message as a checksummed frame.
///
/// ```
/// use rw_protocol::{decode, encode, Ack};
/// let frame = encode(&Ack { head: 7 }).unwrap();
/// assert_eq!(decode::<Ack>(frame).unwrap().head, 7);
/// ```
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(msg, codec())
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

/// Decodes exactly one frame.
pub fn decode<T: DeserializeOwned>(frame: Bytes) -> Result<T> {
    let mut decoder = Decoder::default();
    decoder.extend(&frame);
    match decoder.next()? {
        Some(msg) if decoder.is_empty() => Ok(msg),
        Some(_) => Err(Error::Payload("bytes after the frame".to_string())),
        None => Err(Error::Payload("frame is cut short".to_string())),
    }
}

/// Collects bytes as they arrive and yields whole messages.
#[derive(Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Adds received bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Whether no partial frame is left over.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Takes the next whole message, if all of it has arrived.
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
        let sum = (&self.buf[5..9]).get_u32();
        if len > MAX_FRAME_BYTES {
            return Err(Error::TooLong(len));
        }
        if self.buf.len() < FRAME_HEADER_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(FRAME_HEADER_BYTES);
        let body = self.buf.split_to(len);
        if crc32fast::hash(&body) != sum {
            return Err(Error::Checksum);
        }
        parse(&body).map(Some)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let (msg, used) = bincode::serde::decode_from_slice(body, codec())
        .map_err(|err| Error::Payload(err.to_string()))?;
    if used != body.len() {
        return Err(Error::Payload("bytes after the message".to_string()));
    }
    Ok(msg)
}
