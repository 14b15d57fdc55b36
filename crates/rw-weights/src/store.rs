use std::collections::BTreeMap;

use rw_protocol::{manifest_id, verify_chunk, Blob, Manifest, Name};

use crate::{Error, Result};

/// A model that is being collected, or is whole.
pub struct Held {
    /// Its manifest.
    pub manifest: Manifest,
    chunks: Vec<Option<Blob>>,
}

impl Held {
    /// Whether every chunk is here.
    pub fn is_complete(&self) -> bool {
        self.chunks.iter().all(Option::is_some)
    }

    /// One chunk, if it is here.
    pub fn chunk(&self, chunk: u32) -> Option<Blob> {
        self.chunks.get(chunk as usize).cloned().flatten()
    }

    /// The chunks in order, if all are here.
    pub fn whole(&self) -> Option<Vec<Blob>> {
        self.chunks.iter().cloned().collect()
    }
}

/// Verified chunks in memory, by manifest id.
#[derive(Default)]
pub struct ChunkStore {
    held: BTreeMap<Name, Held>,
}

impl ChunkStore {
    /// Makes room for a manifest and returns its id.
    pub fn open(&mut self, manifest: Manifest) -> Name {
        let id = manifest_id(&manifest);
        self.held.entry(id.clone()).or_insert_with(|| Held {
            chunks: vec![None; manifest.chunks.len()],
            manifest,
        });
        id
    }

    /// Takes a chunk in, if its bytes match the manifest.
    ///
    /// ```
    /// use rw_protocol::{chunk_hash, Manifest};
    /// use rw_weights::{ChunkStore, Error};
    /// let mut store = ChunkStore::default();
    /// let manifest = Manifest {
    ///     model: "m".into(), version: "1".into(), length: 2, chunk_bytes: 2,
    ///     chunks: vec![chunk_hash(b"ab")],
    /// };
    /// let id = store.open(manifest);
    /// assert_eq!(store.insert(&id, 0, b"xx".to_vec().into()), Err(Error::Corrupt(0)));
    /// assert_eq!(store.insert(&id, 0, b"ab".to_vec().into()), Ok(()));
    /// ```
    pub fn insert(&mut self, id: &str, chunk: u32, body: Blob) -> Result<()> {
        let held = self.held.get_mut(id).ok_or(Error::Unwanted)?;
        if !verify_chunk(&held.manifest, chunk, body.as_ref()) {
            return Err(Error::Corrupt(chunk));
        }
        held.chunks[chunk as usize] = Some(body);
        Ok(())
    }

    /// A model, whole or not.
    pub fn get(&self, id: &str) -> Option<&Held> {
        self.held.get(id)
    }

    /// Drops every model whose id is not wanted.
    pub fn retain(&mut self, wanted: impl Fn(&Name) -> bool) {
        self.held.retain(|id, _| wanted(id));
    }
}
