use std::fmt;

use bytes::Bytes;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Immutable bytes that are cheap to clone and serialise as one byte string.
///
/// ```
/// let blob = rw_protocol::Blob::from(vec![1, 2, 3]);
/// assert_eq!(blob.as_ref(), [1, 2, 3]);
/// ```
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl AsRef<[u8]> for Blob {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Blob {
    fn from(buf: Vec<u8>) -> Self {
        Blob(Bytes::from(buf))
    }
}

impl From<Bytes> for Blob {
    fn from(buf: Bytes) -> Self {
        Blob(buf)
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({} bytes)", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(&self.0)
    }
}

struct BlobVisitor;

impl<'de> Visitor<'de> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, buf: &[u8]) -> Result<Blob, E> {
        Ok(Blob(Bytes::copy_from_slice(buf)))
    }

    fn visit_byte_buf<E: Error>(self, buf: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob::from(buf))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Blob, A::Error> {
        let mut buf = Vec::new();
        while let Some(byte) = seq.next_element()? {
            buf.push(byte);
        }
        Ok(Blob::from(buf))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_byte_buf(BlobVisitor)
    }
}
