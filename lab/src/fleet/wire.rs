//! TCP relay between a process and a server or discovery; it can pause, delay and break connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// First bytes of a probe. A server answers it and does not serve a request on that connection.
const PROBE: &[u8] = b"PING";

/// How often a paused relay looks whether it may continue.
const PAUSE_POLL: Duration = Duration::from_millis(10);

/// State of one relayed TCP link.
#[derive(Default)]
pub struct StreamLink {
    /// Whether all data is held back. It is delivered once the link is restored, as TCP does after a network outage.
    pub paused: AtomicBool,
    /// Whether new connections are closed at once and established ones are ended.
    pub broken: AtomicBool,
    /// Delay of each piece of data, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of open connections that carry a request. Probes are not counted.
    pub open_requests: AtomicU64,
}

/// Starts a relay to an address and returns the address at which it listens. It runs until `stopped` is set.
pub fn start_relay(
    to: SocketAddr,
    state: Arc<StreamLink>,
    stopped: Arc<AtomicBool>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stopped.load(Relaxed) {
                return;
            }
            let (state, stopped) = (state.clone(), stopped.clone());
            thread::spawn(move || relay_connection(stream, to, &state, &stopped));
        }
    });
    Ok(at)
}

fn relay_connection(client: TcpStream, to: SocketAddr, state: &Arc<StreamLink>, stopped: &Arc<AtomicBool>) {
    while state.paused.load(Relaxed) && !stopped.load(Relaxed) {
        thread::sleep(PAUSE_POLL);
    }
    if state.broken.load(Relaxed) {
        return;
    }
    let Ok(server) = TcpStream::connect(to) else { return };
    let (Ok(client_writer), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else { return };
    let (reply_state, reply_stopped) = (state.clone(), stopped.clone());
    thread::spawn(move || copy(server_reader, client_writer, &reply_state, &reply_stopped, |_| {}));
    let mut first_bytes = true;
    let mut requests = 0;
    copy(client, server, state, stopped, |bytes| {
        if std::mem::take(&mut first_bytes) && !bytes.starts_with(PROBE) {
            requests = 1;
            state.open_requests.fetch_add(requests, Relaxed);
        }
    });
    state.open_requests.fetch_sub(requests, Relaxed);
}

/// Copies data in one direction until the connection ends, the link breaks or the relay stops.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &StreamLink,
    stopped: &AtomicBool,
    mut on_data: impl FnMut(&[u8]),
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 8192];
    while !stopped.load(Relaxed) && !state.broken.load(Relaxed) {
        if state.paused.load(Relaxed) {
            thread::sleep(PAUSE_POLL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                on_data(&buffer[..n]);
                thread::sleep(Duration::from_millis(state.delay_ms.load(Relaxed)));
                while state.paused.load(Relaxed) && !stopped.load(Relaxed) {
                    thread::sleep(PAUSE_POLL);
                }
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => break,
        }
    }
    let ended = state.broken.load(Relaxed);
    let _ = to.shutdown(if ended { Shutdown::Both } else { Shutdown::Write });
    if ended {
        let _ = from.shutdown(Shutdown::Both);
    }
}
