//! The platform's store: rows with versions, a feed of changes, and raw objects.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{percent_decode, response, serve, Message};
use crate::json::{self, Json};

/// Longest wait of a feed, as the platform's page says.
const MAX_WAIT: Duration = Duration::from_secs(30);

struct Row {
    version: u64,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    objects: BTreeMap<String, Vec<u8>>,
}

pub struct Store {
    pub addr: SocketAddr,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Store>> {
        let store = Arc::new(Store {
            addr,
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let inner = store.clone();
        serve(addr, move |req, conn| inner.handle(&req, conn))?;
        Ok(store)
    }

    /// Writes a row as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(vec![(
            table.into(),
            key.into(),
            Some(base64(value.as_bytes())),
        )]);
    }

    fn write(&self, rows: Vec<(String, String, Option<String>)>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (table, key, value) in rows {
            state.rows.insert((table, key), Row { version, value });
        }
        self.changed.notify_all();
    }

    fn handle(&self, req: &Message, conn: &mut TcpStream) -> bool {
        let (status, body) = self.answer(req);
        let json = "Content-Type: application/json\r\nStore-Era: 0\r\n";
        conn.write_all(&response(status, json, &body)).is_ok()
    }

    fn answer(&self, req: &Message) -> (u16, Vec<u8>) {
        let table = req.query("tableName");
        let mut parts = req.path().splitn(4, '/').skip(2);
        let (verb, id) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let id = percent_decode(id);
        match verb {
            "rows-get" => {
                let (from, limit) = (req.query("from"), req.number("limit").clamp(1, 500));
                let state = self.state.lock().unwrap();
                let found = state
                    .rows
                    .iter()
                    .filter(|((t, key), row)| *t == table && *key >= from && row.value.is_some());
                let found: Vec<_> = found.take(limit as usize + 1).collect();
                let more = found.len() > limit as usize;
                let rows = found.into_iter().take(limit as usize);
                (200, self.page(&state, rows, more))
            }
            "rows-feed" => {
                let (after, wait) = (req.number("after"), req.number("waitMs"));
                let until = Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
                let mut state = self.state.lock().unwrap();
                loop {
                    let is_new = |((t, _), row): &(&(String, String), &Row)| {
                        *t == table && row.version > after
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if state.rows.iter().any(|row| is_new(&row)) || left.is_zero() {
                        let mut rows: Vec<_> = state.rows.iter().filter(is_new).collect();
                        rows.sort_by_key(|(_, row)| row.version);
                        return (200, self.page(&state, rows.into_iter(), false));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "rows-tx" => {
                let body = json::parse(&String::from_utf8_lossy(&req.body));
                let rows = |name: &str| body.get(name).items().to_vec();
                let text = |row: &Json, name: &str| row.get(name).text().to_string();
                let key = |row: &Json| (text(row, "tableName"), text(row, "key"));
                let written: Vec<_> = rows("write")
                    .iter()
                    .map(|r| (key(r).0, key(r).1, Some(text(r, "value"))))
                    .collect();
                let removed = rows("remove");
                let removed = removed.iter().map(|r| (key(r).0, key(r).1, None));
                let all: Vec<_> = written.into_iter().chain(removed).collect();
                if all
                    .iter()
                    .any(|(table, _, _)| table == "op" || table == "servers")
                {
                    return (403, b"{}".to_vec());
                }
                self.write(all);
                (
                    200,
                    format!(
                        "{{\"schemaVersion\":{}}}",
                        self.state.lock().unwrap().version
                    )
                    .into_bytes(),
                )
            }
            "blob-put" => {
                let mut state = self.state.lock().unwrap();
                if state.objects.contains_key(&id) && req.header("if-none-match") == "*" {
                    return (412, b"{}".to_vec());
                }
                state.objects.insert(id, req.body.clone());
                (200, b"{}".to_vec())
            }
            "blob-get" => match self.state.lock().unwrap().objects.get(&id) {
                Some(body) => (200, body.clone()),
                None => (404, b"{}".to_vec()),
            },
            "blob-drop" => match self.state.lock().unwrap().objects.remove(&id) {
                Some(_) => (200, b"{}".to_vec()),
                None => (404, b"{}".to_vec()),
            },
            "blob-list" => {
                let (prefix, after) = (req.query("prefix"), req.query("after"));
                let state = self.state.lock().unwrap();
                let names = state
                    .objects
                    .keys()
                    .filter(|name| name.starts_with(&prefix) && **name > after);
                let names: Vec<String> = names.map(|name| format!("\"{name}\"")).collect();
                let names: Vec<_> = names.iter().take(1000).cloned().collect();
                (
                    200,
                    format!("{{\"names\":[{}],\"hasMore\":false}}", names.join(",")).into_bytes(),
                )
            }
            _ => (404, b"{}".to_vec()),
        }
    }

    fn page<'a>(
        &self,
        state: &State,
        rows: impl Iterator<Item = (&'a (String, String), &'a Row)>,
        more: bool,
    ) -> Vec<u8> {
        let rows: Vec<String> = rows
            .map(|((table, key), row)| {
                let value = row.value.as_deref().unwrap_or("");
                format!(
                    "{{\"tableName\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\
                     \"schemaVersion\":{},\"deleted\":{}}}",
                    row.version,
                    row.value.is_none()
                )
            })
            .collect();
        let clock = self.started.elapsed().as_millis() + 1_000_000;
        let page = format!(
            "{{\"rows\":[{}],\"hasMore\":{more},\"schemaVersion\":{},\"currentTimeMs\":{clock}}}",
            rows.join(","),
            state.version
        );
        page.into_bytes()
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let group = |bytes: &[u8]| {
        let at = |n: usize| u32::from(bytes.get(n).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        let digit = |n: usize| char::from(DIGITS[(bits >> (18 - 6 * n) & 63) as usize]);
        let digits: String = (0..=bytes.len()).map(digit).collect();
        format!("{digits:=<4}")
    };
    data.chunks(3).map(group).collect()
}
