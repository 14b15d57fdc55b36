use std::collections::BTreeMap;

use rw_protocol::{manifest_id, verify_chunk, Blob, Manifest, Name};

use crate::{Error, Result};

/// A model that is being collected, or is whole.
pub struct StoredModel {
    /// Its manifest.
    pub manifest: Manifest,
    chunks: Vec<Option<Blob>>,
}

impl StoredModel {
    /// Whether every chunk is here.
    pub fn is_complete(&self) -> bool {
        self.chunks.iter().all(Option::is_some)
    }

    /// One chunk, if it is here.
    pub fn chunk(&self, chunk: u32) -> Option<Blob> {
        self.chunks.get(chunk as usize).cloned().flatten()
    }

    /// The chunks in order, if all are here.
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
    /// Makes room for a manifest and returns its id.
    pub fn open(&mut self, manifest: Manifest) -> Name {
        let id = manifest_id(&manifest);
        self.models
            .entry(id.clone())
            .or_insert_with(|| StoredModel {
                chunks: vec![None; manifest.chunks.len()],
                manifest,
            });
        id
    }

    /// Takes a chunk in, if its bytes match the manifest.
    ///
    /// ```
    /// use rw_protocol::{chunk_hash, Manifest};
    /// use rw_weights::{MemoryChunkStore, Error};
    /// let mut store = MemoryChunkStore::default();
    /// let manifest = Manifest {
    ///     model: "m".into(), version: "1".into(), length: 2, chunk_bytes: 2,
    ///     chunks: vec![chunk_hash(b"ab")],
    /// };
    /// let id = store.open(manifest);
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

    /// A model, whole or not.
    pub fn get(&self, id: &str) -> Option<&StoredModel> {
        self.models.get(id)
    }

    /// Drops every model whose id is not wanted.
    pub fn retain(&mut self, wanted: impl Fn(&Name) -> bool) {
        self.models.retain(|id, _| wanted(id));
    }
}
