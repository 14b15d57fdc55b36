use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Manifest, Name};

/// Content address of a manifest: BLAKE3 over every field, in hexadecimal.
///
/// ```
/// use rw_protocol::{manifest_id, Manifest};
/// let a = Manifest { model: "m".into(), version: "1".into(), length: 0, chunk_bytes: 1, chunks: vec![] };
/// let b = Manifest { version: "2".into(), ..a.clone() };
/// assert_ne!(manifest_id(&a), manifest_id(&b));
/// ```
pub fn manifest_id(manifest: &Manifest) -> Name {
    let mut hasher = blake3::Hasher::new();
    for part in [&manifest.model, &manifest.version] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&manifest.length.to_le_bytes());
    hasher.update(&manifest.chunk_bytes.to_le_bytes());
    for chunk in &manifest.chunks {
        hasher.update(chunk.as_bytes());
    }
    Name::from(hasher.finalize().to_hex().as_str())
}

/// Largest chunk of a model in bytes; a chunk has to fit into one frame.
pub const MAX_CHUNK_BYTES: u64 = 8 << 20;

/// Describes why a manifest is invalid; `None` if it is valid.
///
/// ```
/// use rw_protocol::{manifest_error, Manifest};
/// let m = Manifest { model: "m".into(), version: "1".into(), length: 3, chunk_bytes: 2, chunks: vec!["0".into()] };
/// assert_eq!(manifest_error(&m).unwrap(), "3 bytes in chunks of 2 need 2 hashes, there are 1");
/// ```
pub fn manifest_error(manifest: &Manifest) -> Option<String> {
    let (length, chunk) = (manifest.length, manifest.chunk_bytes);
    if length == 0 || chunk == 0 || chunk > MAX_CHUNK_BYTES {
        return Some(format!(
            "{length} bytes in chunks of {chunk}: neither may be 0, chunks at most {MAX_CHUNK_BYTES}"
        ));
    }
    let (needed, found) = (length.div_ceil(chunk), manifest.chunks.len() as u64);
    (needed != found).then(|| {
        format!("{length} bytes in chunks of {chunk} need {needed} hashes, there are {found}")
    })
}

/// BLAKE3 of one chunk in hexadecimal.
pub fn chunk_hash(data: &[u8]) -> Name {
    Name::from(blake3::hash(data).to_hex().as_str())
}

/// BLAKE3 of several fields, of which no two lists give the same bytes, in hexadecimal.
///
/// ```
/// use rw_protocol::fields_hash;
/// assert_ne!(fields_hash(&[b"ab", b"c"]), fields_hash(&[b"a", b"bc"]));
/// ```
pub fn fields_hash(fields: &[&[u8]]) -> Name {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    Name::from(hasher.finalize().to_hex().as_str())
}

/// Prefix of a chunk hash that is SHA-256 instead of BLAKE3; third-party origins
/// may use it.
pub const SHA256_PREFIX: &str = "sha256:";

/// Whether the hash of `data` is that of chunk number `chunk` in the manifest.
///
/// ```
/// use rw_protocol::{verify_chunk, Manifest};
/// let sha = "sha256:fb8e20fc2e4c3f248c60c39bd652f3c1347298bb977b8b4d5903b85055620603";
/// let manifest = Manifest {
///     model: "m".into(), version: "1".into(), length: 2, chunk_bytes: 2,
///     chunks: vec![sha.into()],
/// };
/// assert!(verify_chunk(&manifest, 0, b"ab"));
/// assert!(!verify_chunk(&manifest, 0, b"ax"));
/// ```
pub fn verify_chunk(manifest: &Manifest, chunk: u32, data: &[u8]) -> bool {
    let Some(hash) = manifest.chunks.get(chunk as usize) else {
        return false;
    };
    match hash.strip_prefix(SHA256_PREFIX) {
        Some(expected) => {
            let computed = Sha256::digest(data);
            let hex = computed.iter().map(|byte| format!("{byte:02x}"));
            expected.eq_ignore_ascii_case(&hex.collect::<String>())
        }
        None => **hash == *chunk_hash(data),
    }
}

/// Adds the bytes of a data frame to the running digest of a response, which its
/// end frame carries.
pub fn extend_digest(previous: u64, data: &[u8]) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&previous.to_le_bytes());
    buf[8..].copy_from_slice(&xxh3_64(data).to_le_bytes());
    xxh3_64(&buf)
}

/// Rendezvous hash of `name` for `key`: the name with the highest rank owns the
/// key.
///
/// ```
/// assert_eq!(rw_protocol::rendezvous_rank("k", "a"), rw_protocol::rendezvous_rank("k", "a"));
/// assert_ne!(rw_protocol::rendezvous_rank("k", "a"), rw_protocol::rendezvous_rank("k", "b"));
/// ```
pub fn rendezvous_rank(key: &str, name: &str) -> u64 {
    let mut buf = Vec::with_capacity(key.len() + name.len() + 1);
    buf.extend_from_slice(key.as_bytes());
    buf.push(0);
    buf.extend_from_slice(name.as_bytes());
    xxh3_64(&buf)
}
