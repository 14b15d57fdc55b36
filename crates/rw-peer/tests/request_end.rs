//! The end of a request on the wire.

use std::time::Duration;

use rw_peer::PeerPool;
use rw_protocol::{Name, PeerRequest, RowsRequest};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;
const DATA_FRAME: u8 = 0;
const END_STREAM: u8 = 1;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

// Guards against requests that fail although they were answered, because the peer answers
// and closes the stream between the last data and a separate end of the request.
#[tokio::test]
async fn last_data_of_a_request_ends_its_stream() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let addr = Name::from(listener.local_addr().expect("bound").to_string());
    tokio::spawn(async move {
        let req = PeerRequest::Rows(RowsRequest {
            known: Vec::new(),
            wait_ms: 0,
        });
        let pool = PeerPool::new(WAIT_TIMEOUT);
        pool.request(&addr, &req, WAIT_TIMEOUT).await
    });
    let (mut conn, _) = listener.accept().await.expect("a connection");
    let mut preface = [0; PREFACE_BYTES];
    conn.read_exact(&mut preface).await.expect("the preface");
    loop {
        let mut head = [0; FRAME_HEAD_BYTES];
        conn.read_exact(&mut head).await.expect("a frame");
        let [_, high, low, ..] = head;
        let len = usize::from(high) << 8 | usize::from(low);
        let mut payload = vec![0; len];
        conn.read_exact(&mut payload).await.expect("the payload");
        if head[3] == DATA_FRAME {
            assert_eq!(head[4] & END_STREAM, END_STREAM);
            return;
        }
    }
}
