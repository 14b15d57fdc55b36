//! The client side of exchanges between daemons.

use std::time::Duration;

use rw_peer::PeerPool;
use rw_protocol::{Name, PeerRequest, WatchRequest};
use tokio::net::TcpListener;

// A host that answered before the entry had sent the end of its request closed the
// stream. The entry then reported "inactive stream", and the call as unknown.
#[tokio::test]
async fn request_ends_with_the_last_part_of_its_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound").to_string();
    let pool = PeerPool::new(Duration::from_secs(60));
    let client = tokio::spawn(async move {
        let req = PeerRequest::Watch(WatchRequest {
            name: "entry".into(),
        });
        pool.open(&Name::from(addr), &req).await.map(drop)
    });
    let (conn, _) = listener.accept().await.expect("connected");
    let mut conn = h2::server::handshake(conn).await.expect("HTTP/2");
    let (req, _respond) = conn.accept().await.expect("a stream").expect("a request");
    let mut body = req.into_body();
    let driver = tokio::spawn(async move { while conn.accept().await.is_some() {} });
    let part = body.data().await.expect("a message").expect("complete");
    assert!(!part.is_empty());
    assert!(body.is_end_stream());
    driver.abort();
    client.abort();
}
