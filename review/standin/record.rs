//! What was sent, answered and run, for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        // A full disk would show in the missing lines.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |now| now.as_millis() as u64)
    }
}
