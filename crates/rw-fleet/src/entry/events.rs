use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a stream with a larger one is treated as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events and drops those already received.
///
/// ```
/// let mut reader = rw_fleet::EventReader::after(0);
/// assert!(reader.push(b"id: 1\ndata: a\n\nid: 2\nda").as_ref() == b"id: 1\ndata: a\n\n");
/// assert_eq!(reader.last_id(), 1);
/// assert!(!reader.is_at_boundary());
/// ```
#[derive(Debug)]
pub struct EventReader {
    buf: BytesMut,
    last_id: u64,
}

impl EventReader {
    /// Creates a reader for the events after the one with id `last_id`.
    pub fn after(last_id: u64) -> Self {
        EventReader {
            buf: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Whether no partial event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether the buffered event exceeds the size limit.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Drops the partial event that a broken connection left in the buffer.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
    }

    /// Adds received bytes and returns the new events that are complete.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.buf.extend_from_slice(data);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buf) {
            let event = self.buf.split_to(end);
            match event_id(&event) {
                Some(id) if id <= self.last_id => {}
                Some(id) => {
                    self.last_id = id;
                    out.extend_from_slice(&event);
                }
                None => out.extend_from_slice(&event),
            }
        }
        out.freeze()
    }
}

// An event ends with an empty line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
