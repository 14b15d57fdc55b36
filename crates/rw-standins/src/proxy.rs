//! TCP proxy that injects faults. Routes are added and changed over HTTP.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::server::serve;

const BUFFER_BYTES: usize = 16 << 10;
/// Interval at which a stalled direction checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults that the proxy injects into the connections of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LinkFault {
    /// Close open connections, and new ones as soon as they are accepted.
    pub cut: bool,
    /// Forward no bytes towards the target.
    pub stall_up: bool,
    /// Forward no bytes from the target.
    pub stall_down: bool,
    /// Corrupt one byte in every nth buffer; 0 disables this.
    pub corrupt_every: u64,
    /// Delay of each buffer in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth in bytes per second for each direction, shared by all
    /// connections of the route; 0 is unlimited.
    pub bytes_per_s: u64,
}

/// A listening address and the target to which it forwards connections.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// IP and port to listen on.
    pub listen: String,
    /// IP and port to connect to.
    pub target: String,
    /// Faults to inject.
    #[serde(default)]
    pub fault: LinkFault,
}

// State shared by all connections of a route.
#[derive(Default)]
struct Link {
    fault: Mutex<LinkFault>,
    buffer_count: AtomicU64,
    // Time at which a direction has sent all its bytes, indexed by `upstream`.
    free_at: [Mutex<Option<Instant>>; 2],
}

impl Link {
    fn fault(&self) -> LinkFault {
        self.fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    // Blocks while the direction is stalled, then applies the other faults to the
    // buffer. Returns false if the route is cut.
    fn apply_faults(&self, upstream: bool, buf: &mut [u8]) -> bool {
        loop {
            let fault = self.fault();
            if fault.cut {
                return false;
            }
            let stalled = if upstream {
                fault.stall_up
            } else {
                fault.stall_down
            };
            if !stalled {
                self.shape(&fault, upstream, buf);
                return true;
            }
            std::thread::sleep(STALL_POLL_INTERVAL);
        }
    }

    fn shape(&self, fault: &LinkFault, upstream: bool, buf: &mut [u8]) {
        let nth = self.buffer_count.fetch_add(1, Ordering::Relaxed) + 1;
        if fault.corrupt_every > 0 && nth.is_multiple_of(fault.corrupt_every) {
            let index = nth as usize % buf.len();
            buf[index] ^= 0x55;
        }
        std::thread::sleep(Duration::from_millis(fault.delay_ms));
        if fault.bytes_per_s == 0 {
            return;
        }
        let now = Instant::now();
        let transfer_time = Duration::from_secs_f64(buf.len() as f64 / fault.bytes_per_s as f64);
        let mut free_at = self.free_at[usize::from(upstream)]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let end = free_at.map_or(now, |at| at.max(now)) + transfer_time;
        *free_at = Some(end);
        drop(free_at);
        std::thread::sleep(end - now);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, link: &Link, upstream: bool) {
    let mut buf = [0; BUFFER_BYTES];
    // The read timeout lets idle connections notice a cut.
    let _ = from.set_read_timeout(Some(STALL_POLL_INTERVAL * 10));
    loop {
        match from.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => {
                if !link.apply_faults(upstream, &mut buf[..len])
                    || to.write_all(&buf[..len]).is_err()
                {
                    break;
                }
            }
            Err(err)
                if matches!(
                    err.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                if link.fault().cut {
                    break;
                }
            }
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn accept_connections(listener: TcpListener, target: String, link: Arc<Link>) {
    for client in listener.incoming() {
        let Ok(client) = client else { continue };
        if link.fault().cut {
            let _ = client.shutdown(Shutdown::Both);
            continue;
        }
        let Ok(server) = TcpStream::connect(&target) else {
            let _ = client.shutdown(Shutdown::Both);
            continue;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else {
            continue;
        };
        let (up_link, down_link) = (link.clone(), link.clone());
        std::thread::spawn(move || forward(client, server, &up_link, true));
        std::thread::spawn(move || forward(server_clone, client_clone, &down_link, false));
    }
}

/// Serves the proxy until the process ends. A POST to `/route` adds a route or
/// replaces the faults of the one with the same listening address.
pub fn run(addr: &str) -> std::io::Result<()> {
    let links: Mutex<BTreeMap<String, Arc<Link>>> = Mutex::new(BTreeMap::new());
    serve(addr, move |req| {
        let route: Route = match req.json() {
            Ok(route) => route,
            Err(err) => return req.reply(400, &err),
        };
        let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&route.listen) {
            *link.fault.lock().unwrap_or_else(PoisonError::into_inner) = route.fault;
            return req.reply(200, &"changed");
        }
        let listener = match TcpListener::bind(&route.listen) {
            Ok(listener) => listener,
            Err(err) => return req.reply(400, &err.to_string()),
        };
        let link = Arc::new(Link::default());
        *link.fault.lock().unwrap_or_else(PoisonError::into_inner) = route.fault;
        links.insert(route.listen, link.clone());
        std::thread::spawn(move || accept_connections(listener, route.target, link));
        req.reply(200, &"added");
    })
}
