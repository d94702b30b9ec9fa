//! One stream link, from a process to a server or to discovery: a relay that holds what it carries, delays it, or ends it.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How a probe begins; a server answers it and takes no request on that connection.
const PROBE: &[u8] = b"PING";

/// One link.
#[derive(Default)]
pub struct Wire {
    /// Nothing passes; what is on its way comes after the healing, as over a network that was cut.
    pub cut: AtomicBool,
    /// Whoever comes is turned away, and what stands is ended.
    pub broken: AtomicBool,
    /// Each piece is late by so many milliseconds.
    pub late: AtomicU64,
    /// How many requests have a connection over it: probes, which ask a server only whether it is there, are none.
    pub open: AtomicU64,
}

/// Carries streams to an address until it is over; where they come in.
pub fn carry(to: SocketAddr, wire: Arc<Wire>, over: Arc<AtomicBool>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if over.load(Relaxed) {
                return;
            }
            let (wire, over) = (wire.clone(), over.clone());
            thread::spawn(move || link(stream, to, &wire, &over));
        }
    });
    Ok(at)
}

fn link(near: TcpStream, to: SocketAddr, wire: &Arc<Wire>, over: &Arc<AtomicBool>) {
    while wire.cut.load(Relaxed) && !over.load(Relaxed) {
        thread::sleep(Duration::from_millis(10));
    }
    if wire.broken.load(Relaxed) {
        return;
    }
    let Ok(far) = TcpStream::connect(to) else { return };
    let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
    let (wire2, over2) = (wire.clone(), over.clone());
    thread::spawn(move || copy(far2, near2, &wire2, &over2, |_| {}));
    let mut first_bytes = true;
    let mut requests = 0;
    copy(near, far, wire, over, |bytes| {
        if std::mem::take(&mut first_bytes) && !bytes.starts_with(PROBE) {
            requests = 1;
            wire.open.fetch_add(requests, Relaxed);
        }
    });
    wire.open.fetch_sub(requests, Relaxed);
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    wire: &Wire,
    over: &AtomicBool,
    mut passes: impl FnMut(&[u8]),
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 8192];
    while !over.load(Relaxed) && !wire.broken.load(Relaxed) {
        if wire.cut.load(Relaxed) {
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                passes(&buffer[..n]);
                thread::sleep(Duration::from_millis(wire.late.load(Relaxed)));
                while wire.cut.load(Relaxed) && !over.load(Relaxed) {
                    thread::sleep(Duration::from_millis(10));
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
    let ended = wire.broken.load(Relaxed);
    let _ = to.shutdown(if ended { Shutdown::Both } else { Shutdown::Write });
    if ended {
        let _ = from.shutdown(Shutdown::Both);
    }
}
