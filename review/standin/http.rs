//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Request or response: first line, headers and complete body.
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| percent_decode(value))
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Status of a response; 0 if it is none.
    pub fn status(&self) -> u16 {
        let is_response = self.line.starts_with("HTTP/1.");
        let status = self.line.split(' ').nth(1).filter(|_| is_response);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub fn percent_decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Buffered reader of messages on one connection.
pub struct Reader {
    conn: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(conn: &TcpStream) -> io::Result<Self> {
        Ok(Reader {
            conn: conn.try_clone()?,
            buf: Vec::new(),
        })
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let len = self.conn.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..len]);
        Ok(len)
    }

    /// Reads a line without its end; `None` at the end of the connection.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let rest = self.buf.split_off(end + 2);
                let mut line = std::mem::replace(&mut self.buf, rest);
                line.truncate(end);
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Reads a message with its body; `None` at the end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            match self.line()? {
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (key, value) = line.split_once(':').unwrap_or((&line, ""));
                    headers.push((key.trim().to_string(), value.trim().to_string()));
                }
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        let mut msg = Message {
            line,
            headers,
            body: Vec::new(),
        };
        if msg
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let size = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::ErrorKind::InvalidData)?;
                msg.body.extend(self.exact(size)?);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let len = msg.header("content-length").parse().unwrap_or(0);
            msg.body = self.exact(len)?;
        }
        Ok(Some(msg))
    }
}

pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves connections at an address, each on a thread. The handler returns false to close.
pub fn serve(
    addr: SocketAddr,
    handler: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> io::Result<()> {
    let (listener, handler) = (TcpListener::bind(addr)?, Arc::new(handler));
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || -> io::Result<()> {
                let mut conn = conn;
                conn.set_nodelay(true)?;
                let mut reader = Reader::new(&conn)?;
                while let Some(req) = reader.message()? {
                    if !handler(req, &mut conn) {
                        break;
                    }
                }
                conn.shutdown(std::net::Shutdown::Both)
            });
        }
    });
    Ok(())
}

/// Sends one request on a connection of its own and reads the complete response.
pub fn call(addr: SocketAddr, req: &[u8], limit: Duration) -> io::Result<Message> {
    let mut conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    conn.set_read_timeout(Some(limit))?;
    conn.set_nodelay(true)?;
    conn.write_all(req)?;
    let res = Reader::new(&conn)?.message()?;
    res.ok_or(io::ErrorKind::UnexpectedEof.into())
}
