//! An entry that stops answers the requests that have reached its sockets. Each caller
//! decides which bytes it sends when.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use rw_standins::cluster::Cluster;
use rw_standins::layout::Layout;
use rw_tests::deploy_v1;

/// When the entry stops accepting connections, after the signal to stop.
const PORT_CLOSED: Duration = Duration::from_secs(1);
/// Margin on both sides of that moment.
const MARGIN: Duration = Duration::from_millis(250);
/// Time for which open connections take requests after that.
const LAST_REQUESTS_TIME: Duration = Duration::from_secs(1);
const CONNECTIONS: usize = 12;
/// Connections in the listen queue; its length is 128 on many systems.
const NEW_CONNECTIONS: usize = 100;

fn start(name: &str) -> Cluster {
    let layout = Layout {
        entries: 1,
        engines: 2,
        plain: 1,
        ..Layout::default()
    };
    let cluster = layout.start(name);
    deploy_v1(&cluster, 2, 1);
    cluster
}

fn connect(cluster: &Cluster) -> TcpStream {
    let addr = cluster.daemon("entry-0").caller_listen.clone();
    let conn = TcpStream::connect(addr).expect("the entry listens");
    let timeout = Some(Duration::from_secs(20));
    conn.set_read_timeout(timeout).expect("a time limit");
    conn
}

fn request(n: usize) -> String {
    let body = rw_standins::caller::completion_body(&format!("stop {n}|x"), 2, false).to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-team: arima\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn send(conn: &mut TcpStream, text: &str) {
    conn.write_all(text.as_bytes()).expect("is sent");
}

// Reads an answer. Returns its status, or 0 if the connection ends, and whether it says
// that the connection closes.
fn read_answer(conn: &mut TcpStream) -> (u16, bool) {
    let mut text = Vec::new();
    let mut buf = vec![0; 4096];
    loop {
        let answer = String::from_utf8_lossy(&text).to_lowercase();
        if let Some((head, body)) = answer.split_once("\r\n\r\n") {
            let len = head.split("content-length: ").nth(1).unwrap_or_default();
            let len: usize = len
                .lines()
                .next()
                .and_then(|l| l.parse().ok())
                .expect("a length");
            if body.len() >= len {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
                let closes = head.contains("\r\nconnection: close");
                return (status.expect("a status"), closes);
            }
        }
        match conn.read(&mut buf) {
            Ok(len) if len > 0 => text.extend_from_slice(&buf[..len]),
            _ => return (0, true),
        }
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Connections that wait in the listen queue, and requests unread on kept connections, must
/// be answered when the port closes, and the latter also when idle connections end.
#[rstest]
#[case::port_closes("port", PORT_CLOSED, NEW_CONNECTIONS)]
#[case::idle_connections_end("idle", PORT_CLOSED + LAST_REQUESTS_TIME, 0)]
fn requests_in_the_sockets_of_a_stopping_entry_are_answered(
    #[case] name: &str,
    #[case] moment: Duration,
    #[case] new_connections: usize,
) {
    let mut cluster = start(&format!("stopping-{name}"));
    let mut conns: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(&cluster)).collect();
    for (n, conn) in conns.iter_mut().enumerate() {
        send(conn, &request(n));
        assert_eq!(read_answer(conn), (200, false));
    }
    let stopped = Instant::now();
    cluster.signal("entry-0", "TERM");
    sleep_until(stopped + moment - MARGIN);
    cluster.signal("entry-0", "STOP");
    conns.extend((0..new_connections).map(|_| connect(&cluster)));
    for (n, conn) in conns.iter_mut().enumerate() {
        send(conn, &request(100 + n));
    }
    sleep_until(stopped + moment + MARGIN);
    cluster.signal("entry-0", "CONT");
    let answers: Vec<_> = conns.iter_mut().map(read_answer).collect();
    // Engines may be full.
    let is_answered = |(status, closes): &(u16, bool)| matches!(status, 200 | 503) && *closes;
    assert!(answers.iter().all(is_answered), "{answers:?}");
    assert_eq!(cluster.wait_exit("entry-0"), Some(0));
}

/// A connection must not be closed after the first bytes of a request's head have arrived.
#[test]
fn request_whose_head_arrives_as_the_port_closes_is_answered() {
    let mut cluster = start("stopping-head");
    let mut conn = connect(&cluster);
    send(&mut conn, &request(0));
    assert_eq!(read_answer(&mut conn), (200, false));
    let stopped = Instant::now();
    cluster.signal("entry-0", "TERM");
    let request = request(1);
    let (first, rest) = request.split_at(30);
    sleep_until(stopped + PORT_CLOSED - MARGIN);
    send(&mut conn, first);
    sleep_until(stopped + PORT_CLOSED + MARGIN);
    send(&mut conn, rest);
    assert_eq!(read_answer(&mut conn), (200, true));
    assert_eq!(cluster.wait_exit("entry-0"), Some(0));
}
