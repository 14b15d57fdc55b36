//! Invalid input gets a clear error and does not affect other requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rstest::rstest;
use rw_standins::caller::{call_plain_service, Outcome};
use rw_standins::client::wait_for;
use rw_standins::cluster::Cluster;
use rw_standins::layout::Layout;

fn start(name: &str) -> Cluster {
    let layout = Layout {
        entries: 1,
        engines: 0,
        ..Layout::default()
    };
    layout.start(name)
}

// Shows that the daemons still run and serve requests.
fn wait_for_answered_call(cluster: &Cluster) {
    wait_for("an answered call", || {
        let answer =
            call_plain_service(&cluster.entry_url("entry-0"), "arima", "stock", "", "goat");
        matches!(answer, Outcome::Answered(_)).then_some(())
    });
}

#[rstest]
#[case::not_json("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\ncontent-length: 3\r\n\r\n{x}", "400")]
#[case::no_team(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}",
    "400"
)]
#[case::other_method("GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\r\n", "405")]
#[case::no_service(
    "POST /v1/services/nothing/x HTTP/1.1\r\nhost: x\r\nx-team: arima\r\ncontent-length: 0\r\n\r\n",
    "404"
)]
#[case::no_model("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\ncontent-length: 15\r\n\r\n{\"model\": \"no\"}", "404")]
#[case::bad_deadline("POST /v1/services/checkout/stock HTTP/1.1\r\nhost: x\r\nx-team: arima\r\nx-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n", "400")]
#[case::not_http("\x16\x03\x01 hello\r\n\r\n", "400")]
fn invalid_request_gets_a_clear_error(#[case] request: &str, #[case] status: &str) {
    let cluster = start("bad-input");
    let addr = cluster.daemon("entry-0").caller_listen.clone();
    let mut conn = TcpStream::connect(&addr).expect("the entry listens");
    conn.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout can be set");
    conn.write_all(request.as_bytes()).expect("sent");
    let mut buf = [0; 4096];
    let len = conn.read(&mut buf).expect("an answer");
    let text = String::from_utf8_lossy(&buf[..len]).into_owned();
    assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
    wait_for_answered_call(&cluster);
}

#[test]
fn oversized_body_or_head_is_refused() {
    let cluster = start("oversize");
    let url = cluster.entry_url("entry-0");
    let body = "x".repeat(2 << 20);
    let answer = call_plain_service(&url, "arima", "stock", "", &body);
    assert!(
        matches!(answer, Outcome::Refused(413) | Outcome::Cut(_)),
        "{answer:?}"
    );
    let mut conn =
        TcpStream::connect(cluster.daemon("entry-0").caller_listen.as_str()).expect("connected");
    let head = format!(
        "POST / HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "x".repeat(64 << 10)
    );
    // The entry may close the connection before everything is sent.
    let _ = conn.write_all(head.as_bytes());
    let mut text = String::new();
    let _ = conn.read_to_string(&mut text);
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    wait_for_answered_call(&cluster);
}

// Bytes on the peer port that are not valid messages end only their own stream.
#[rstest]
#[case::garbage(b"garbage\r\n\r\n".to_vec())]
#[case::empty(Vec::new())]
#[case::http1(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
fn garbage_on_the_peer_port_leaves_the_service_available(#[case] bytes: Vec<u8>) {
    let cluster = start("peer-garbage");
    for _ in 0..20 {
        let mut conn =
            TcpStream::connect(&*cluster.daemon("plain-0").listen).expect("the host listens");
        let _ = conn.write_all(&bytes);
    }
    wait_for_answered_call(&cluster);
}

/// Requests with oversized lengths or ranges, contradictory headers, or the
/// preface of another protocol.
const MALFORMED_REQUESTS: [&str; 5] = [
    "POST /plan HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\nx",
    "POST /plan HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999999\r\n\r\nx",
    "POST /plan HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
    "GET /metrics HTTP/1.1\r\nhost: x\r\nrange: bytes=0-99999999999\r\n\r\n",
];

#[test]
fn malformed_requests_on_any_port_stop_no_daemon() {
    let cluster = start("junk");
    for name in ["entry-0", "plain-0"] {
        let daemon = cluster.daemon(name);
        let ports = [
            &*daemon.listen,
            &*daemon.operator_listen,
            &*daemon.caller_listen,
        ];
        for addr in ports.into_iter().filter(|addr| !addr.is_empty()) {
            for request in MALFORMED_REQUESTS {
                let mut conn = TcpStream::connect(addr).expect("the daemon listens");
                // The daemon may close the connection before everything is sent.
                let _ = conn.write_all(request.as_bytes());
                let _ = conn.shutdown(std::net::Shutdown::Write);
                let _ = conn.read(&mut [0; 256]);
            }
        }
    }
    for name in ["entry-0", "plain-0"] {
        let url = format!("http://{}/live", cluster.daemon(name).operator_listen);
        wait_for("a running daemon", || {
            let answer = minreq::get(&url).with_timeout(5).send().ok()?;
            (answer.status_code == 200).then_some(())
        });
    }
    wait_for_answered_call(&cluster);
}

#[test]
fn oversized_body_on_the_operator_port_is_refused() {
    let cluster = start("oversize-plan");
    let url = format!("http://{}/plan", cluster.daemon("entry-0").operator_listen);
    let body = "x".repeat(2 << 20);
    let answer = minreq::post(&url).with_body(body).with_timeout(20).send();
    // The daemon may close the connection before everything is sent.
    assert!(!answer.is_ok_and(|answer| answer.status_code != 413));
    wait_for_answered_call(&cluster);
}
