use std::collections::BTreeMap;

use rw_protocol::{manifest_id, verify_chunk, Blob, Manifest, Name};

use crate::{Error, Result};

/// A model with all or some of its chunks.
pub struct StoredModel {
    /// Manifest of the model.
    pub manifest: Manifest,
    chunks: Vec<Option<Blob>>,
}

impl StoredModel {
    /// Whether every chunk is stored.
    pub fn is_complete(&self) -> bool {
        self.chunks.iter().all(Option::is_some)
    }

    /// Returns a chunk if it is stored.
    pub fn chunk(&self, chunk: u32) -> Option<Blob> {
        self.chunks.get(chunk as usize).cloned().flatten()
    }

    /// Returns all chunks in order, or `None` if any is missing.
    pub fn complete_chunks(&self) -> Option<Vec<Blob>> {
        self.chunks.iter().cloned().collect()
    }
}

/// Verified chunks in memory, by manifest id.
#[derive(Default)]
pub struct MemoryChunkStore {
    models: BTreeMap<Name, StoredModel>,
}

impl MemoryChunkStore {
    /// Adds an empty model for a manifest, unless it is already stored, and returns
    /// the manifest id.
    pub fn add_manifest(&mut self, manifest: Manifest) -> Name {
        let id = manifest_id(&manifest);
        self.models
            .entry(id.clone())
            .or_insert_with(|| StoredModel {
                chunks: vec![None; manifest.chunks.len()],
                manifest,
            });
        id
    }

    /// Stores a chunk if its bytes match the manifest.
    ///
    /// ```
    /// use rw_protocol::{chunk_hash, Manifest};
    /// use rw_weights::{MemoryChunkStore, Error};
    /// let mut store = MemoryChunkStore::default();
    /// let manifest = Manifest {
    ///     model: "m".into(), version: "1".into(), length: 2, chunk_bytes: 2,
    ///     chunks: vec![chunk_hash(b"ab")],
    /// };
    /// let id = store.add_manifest(manifest);
    /// assert_eq!(store.insert(&id, 0, b"xx".to_vec().into()), Err(Error::Corrupt(0)));
    /// assert_eq!(store.insert(&id, 0, b"ab".to_vec().into()), Ok(()));
    /// ```
    pub fn insert(&mut self, id: &str, chunk: u32, body: Blob) -> Result<()> {
        let model = self.models.get_mut(id).ok_or(Error::UnknownManifest)?;
        if !verify_chunk(&model.manifest, chunk, body.as_ref()) {
            return Err(Error::Corrupt(chunk));
        }
        model.chunks[chunk as usize] = Some(body);
        Ok(())
    }

    /// Returns a model, complete or not.
    pub fn get(&self, id: &str) -> Option<&StoredModel> {
        self.models.get(id)
    }

    /// Drops every model for whose manifest id `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.models.retain(|id, _| keep(id));
    }
}
