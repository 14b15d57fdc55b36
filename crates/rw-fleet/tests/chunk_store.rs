//! Chunks that a host holds for others.

use rw_fleet::host::ChunkStore;
use rw_protocol::{chunk_hash, ChunkRequest, Manifest, PeerReply};

fn manifest() -> Manifest {
    Manifest {
        model: "m".into(),
        version: "2".into(),
        length: 4,
        chunk_bytes: 2,
        chunks: vec![chunk_hash(b"ab"), chunk_hash(b"cd")],
    }
}

fn request(id: &str, chunk: u32) -> ChunkRequest {
    ChunkRequest {
        manifest: id.into(),
        chunk,
        wait_ms: 2000,
    }
}

/// What a host says that holds nothing of a version.
const NOT_HELD: u64 = 0;

fn retry_after_ms(reply: PeerReply) -> u64 {
    match reply {
        PeerReply::Missing(missing) => missing.retry_after_ms,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_host_that_collects_sends_a_chunk_once_it_is_here() {
    let (reads, _wanted) = flume::bounded(4);
    let store = ChunkStore::new(0, reads);
    let id = store.open(&"m@2".into(), manifest());
    let _guard = store.begin_download(id.clone());
    let (asked, name) = (store.clone(), id.clone());
    let waiting = tokio::spawn(async move { asked.serve_chunk(&request(&name, 1)).await });
    tokio::task::yield_now().await;
    assert!(
        store.insert(&id, 1, b"xx".to_vec().into()).is_err(),
        "damaged bytes"
    );
    store
        .insert(&id, 1, b"cd".to_vec().into())
        .expect("whole bytes");
    let reply = waiting.await.expect("no panic");
    assert!(matches!(reply, PeerReply::Chunk(got) if got.body.as_ref() == b"cd"));
    assert!(!store.is_complete("m@2"));
    store
        .insert(&id, 0, b"ab".to_vec().into())
        .expect("whole bytes");
    assert!(store.is_complete("m@2"));
}

/// A host that neither holds nor collects a version would keep others waiting.
#[tokio::test]
async fn a_host_that_will_not_have_a_chunk_says_so() {
    let (reads, wanted) = flume::bounded::<rw_fleet::host::StagedChunkRequest>(4);
    let store = ChunkStore::new(0, reads);
    let reader = tokio::spawn(async move {
        let read = wanted.recv_async().await.expect("a question");
        read.reply.send(false).expect("an asker");
    });
    let reply = store.serve_chunk(&request("unknown", 0)).await;
    assert_eq!(retry_after_ms(reply), NOT_HELD);
    reader.await.expect("no panic");
}

/// A host that cannot read back now may hold the chunk all the same.
#[tokio::test]
async fn a_host_with_too_many_reads_says_when_to_come_back() {
    let (reads, _wanted) = flume::bounded::<rw_fleet::host::StagedChunkRequest>(0);
    let store = ChunkStore::new(0, reads);
    let reply = store.serve_chunk(&request("unknown", 0)).await;
    assert!(retry_after_ms(reply) > NOT_HELD);
}

/// Collection of a version ended when a newer one was named; the host went on
/// promising its chunks instead of reading them back.
#[tokio::test]
async fn a_host_that_stopped_collecting_reads_chunks_back() {
    let (reads, wanted) = flume::bounded::<rw_fleet::host::StagedChunkRequest>(4);
    let store = ChunkStore::new(0, reads);
    let id = store.open(&"m@2".into(), manifest());
    drop(store.begin_download(id.clone()));
    let filled = store.clone();
    let reader = tokio::spawn(async move {
        let read = wanted.recv_async().await.expect("a question");
        let kept = filled.insert(&read.manifest, read.chunk, b"cd".to_vec().into());
        read.reply.send(kept.is_ok()).expect("an asker");
    });
    let reply = store.serve_chunk(&request(&id, 1)).await;
    assert!(matches!(reply, PeerReply::Chunk(got) if got.body.as_ref() == b"cd"));
    reader.await.expect("no panic");
}

#[test]
fn versions_that_are_not_kept_are_gone() {
    let (reads, _wanted) = flume::bounded(4);
    let store = ChunkStore::new(0, reads);
    let id = store.open(&"m@2".into(), manifest());
    store.retain_versions(&["m@3".into()]);
    assert!(store.manifest("m@2").is_none());
    assert!(store.insert(&id, 0, b"ab".to_vec().into()).is_err());
}
