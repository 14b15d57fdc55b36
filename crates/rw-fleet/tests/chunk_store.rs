//! Chunks that a host serves to other hosts.

use rw_fleet::host::ChunkStore;
use rw_protocol::{chunk_hash, ChunkRequest, Manifest, ManifestRequest, PeerReply};

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

/// Retry delay in the reply of a host that holds nothing of a version.
const NOT_HELD: u64 = 0;

fn retry_after_ms(reply: PeerReply) -> u64 {
    match reply {
        PeerReply::Missing(missing) => missing.retry_after_ms,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_downloading_host_serves_a_chunk_once_it_arrives() {
    let (read_requests, _pending_reads) = flume::bounded(4);
    let store = ChunkStore::new(0, read_requests);
    let id = store.add_version(&"m@2".into(), manifest());
    let _guard = store.begin_download(id.clone());
    let (store_for_request, name) = (store.clone(), id.clone());
    let waiting =
        tokio::spawn(async move { store_for_request.serve_chunk(&request(&name, 1)).await });
    tokio::task::yield_now().await;
    assert!(
        store.insert(&id, 1, b"xx".to_vec().into()).is_err(),
        "corrupt chunk"
    );
    store
        .insert(&id, 1, b"cd".to_vec().into())
        .expect("valid chunk");
    let reply = waiting.await.expect("no panic");
    assert!(matches!(reply, PeerReply::Chunk(got) if got.body.as_ref() == b"cd"));
    assert!(!store.is_complete("m@2"));
    store
        .insert(&id, 0, b"ab".to_vec().into())
        .expect("valid chunk");
    assert!(store.is_complete("m@2"));
}

/// Without this reply, a host that neither holds nor downloads a version keeps
/// others waiting.
#[tokio::test]
async fn a_host_without_a_chunk_replies_that_it_is_not_held() {
    let (read_requests, pending_reads) = flume::bounded::<rw_fleet::host::StagedChunkRequest>(4);
    let store = ChunkStore::new(0, read_requests);
    let reader = tokio::spawn(async move {
        let read = pending_reads.recv_async().await.expect("a read request");
        read.reply.send(false).expect("a waiting receiver");
    });
    let reply = store.serve_chunk(&request("unknown", 0)).await;
    assert_eq!(retry_after_ms(reply), NOT_HELD);
    reader.await.expect("no panic");
}

/// A host that cannot read a chunk back now may still hold it.
#[tokio::test]
async fn a_host_with_too_many_reads_replies_with_a_retry_delay() {
    let (read_requests, _pending_reads) = flume::bounded::<rw_fleet::host::StagedChunkRequest>(0);
    let store = ChunkStore::new(0, read_requests);
    let reply = store.serve_chunk(&request("unknown", 0)).await;
    assert!(retry_after_ms(reply) > NOT_HELD);
}

/// Guards against a host that stops downloading a version because a newer one
/// was requested, but still promises its chunks instead of reading them back.
#[tokio::test]
async fn a_host_that_stopped_downloading_reads_chunks_back() {
    let (read_requests, pending_reads) = flume::bounded::<rw_fleet::host::StagedChunkRequest>(4);
    let store = ChunkStore::new(0, read_requests);
    let id = store.add_version(&"m@2".into(), manifest());
    drop(store.begin_download(id.clone()));
    let store_for_read = store.clone();
    let reader = tokio::spawn(async move {
        let read = pending_reads.recv_async().await.expect("a read request");
        let inserted = store_for_read.insert(&read.manifest, read.chunk, b"cd".to_vec().into());
        read.reply
            .send(inserted.is_ok())
            .expect("a waiting receiver");
    });
    let reply = store.serve_chunk(&request(&id, 1)).await;
    assert!(matches!(reply, PeerReply::Chunk(got) if got.body.as_ref() == b"cd"));
    reader.await.expect("no panic");
}

/// Guards against a level of the tree that asks for a manifest just before the one above
/// has it, and asks again only after a delay.
#[tokio::test]
async fn a_request_for_a_manifest_is_answered_once_it_arrives() {
    let (read_requests, _pending_reads) = flume::bounded(4);
    let store = ChunkStore::new(0, read_requests);
    let asked = store.clone();
    let waiting = tokio::spawn(async move {
        let manifest = "m@2".into();
        asked.serve_manifest(&ManifestRequest { manifest }).await
    });
    tokio::task::yield_now().await;
    store.add_version(&"m@2".into(), manifest());
    let reply = waiting.await.expect("no panic");
    assert!(matches!(reply, PeerReply::Manifest(got) if got == manifest()));
}

/// Guards against a request that waits longer than its host does.
#[tokio::test]
async fn a_request_for_an_unknown_manifest_gets_a_retry_delay() {
    let (read_requests, _pending_reads) = flume::bounded(4);
    let store = ChunkStore::new(0, read_requests);
    let manifest = "m@2".into();
    let reply = store.serve_manifest(&ManifestRequest { manifest }).await;
    assert!(retry_after_ms(reply) > NOT_HELD);
}

/// Guards against a bound on chunks while no server serves, which would only delay the
/// return of the weights.
#[tokio::test]
async fn chunks_are_bounded_only_while_the_server_serves() {
    let (read_requests, _pending_reads) = flume::bounded(4);
    let store = ChunkStore::new(1_000_000, read_requests);
    let long = std::time::Duration::from_secs(2);
    assert!(store.on_delivery(&"a".into(), long, 25_000), "narrow link");
    assert_eq!(store.download_window(), usize::MAX);
    store.set_serving(true);
    assert_eq!(store.download_window(), 1);
}

#[test]
fn versions_that_are_not_retained_are_removed() {
    let (read_requests, _pending_reads) = flume::bounded(4);
    let store = ChunkStore::new(0, read_requests);
    let id = store.add_version(&"m@2".into(), manifest());
    store.retain_versions(&["m@3".into()]);
    assert!(store.manifest("m@2").is_none());
    assert!(store.insert(&id, 0, b"ab".to_vec().into()).is_err());
}
