//! Models with synthetic weights. Equal names, versions and sizes give equal
//! bytes.

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use rw_protocol::{chunk_hash, Manifest};

/// Content of a chunk of a synthetic model.
pub fn chunk(model: &str, version: &str, number: u32, len: usize) -> Vec<u8> {
    let seed = rw_protocol::rendezvous_rank(&format!("{model}@{version}"), &number.to_string());
    let mut buf = vec![0; len];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut buf);
    buf
}

/// Length of a chunk in bytes; the last one may be shorter than the others.
pub fn chunk_len(length: u64, chunk_bytes: u64, number: u32) -> usize {
    let start = u64::from(number) * chunk_bytes;
    length.saturating_sub(start).min(chunk_bytes) as usize
}

/// Manifest of a synthetic model.
pub fn manifest(model: &str, version: &str, length: u64, chunk_bytes: u64) -> Manifest {
    let count = length.div_ceil(chunk_bytes) as u32;
    let hash = |n| chunk_hash(&chunk(model, version, n, chunk_len(length, chunk_bytes, n)));
    Manifest {
        model: model.into(),
        version: version.into(),
        length,
        chunk_bytes,
        chunks: (0..count).map(hash).collect(),
    }
}

/// BLAKE3 hash of a complete synthetic model in hexadecimal.
pub fn model_hash(model: &str, version: &str, length: u64, chunk_bytes: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    for n in 0..length.div_ceil(chunk_bytes) as u32 {
        hasher.update(&chunk(model, version, n, chunk_len(length, chunk_bytes, n)));
    }
    hasher.finalize().to_hex().to_string()
}
