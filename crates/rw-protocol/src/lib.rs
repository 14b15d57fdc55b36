//! Message types shared by all packages, and the frames that carry them
//! between daemons.

mod blob;
mod frame;
#[rustfmt::skip]
mod generated;
mod hashing;
mod name;

pub use blob::Blob;
pub use frame::{
    decode, encode, Decoder, Error, Result, FRAME_HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
pub use generated::*;
pub use hashing::{
    chunk_hash, extend_digest, fields_hash, manifest_error, manifest_id, rendezvous_rank,
    verify_chunk, MAX_CHUNK_BYTES, SHA256_PREFIX,
};
pub use name::Name;
