//! Datagram relay for one direction of a link between two processes; it can drop, duplicate, delay and block datagrams.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns a free address that a process can bind for datagrams later. Its port lies below the range of ephemeral ports,
/// which the system could assign to another socket in the meantime.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() as u16;
    loop {
        let n = first.wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Relaxed));
        let at = SocketAddr::from(([127, 0, 0, 1], 12_000 + n % 18_000));
        if UdpSocket::bind(at).is_ok() {
            return at;
        }
    }
}

/// Impairments of one direction of a link.
#[derive(Default)]
pub struct LinkDirection {
    /// Whether all datagrams are dropped.
    pub blocked: AtomicBool,
    /// Percentage of datagrams that are lost; the same percentage is duplicated.
    pub loss_percent: AtomicU64,
    /// Maximum random delay of a datagram, in milliseconds.
    pub max_delay_ms: AtomicU64,
    /// Maximum rate in bytes per second, beyond which datagrams are dropped; 0 means no limit.
    pub rate: AtomicU64,
}

/// Time over which the rate limit is averaged: a tenth of a second.
const RATE_WINDOW: Duration = Duration::from_millis(100);

/// Relays datagrams from a socket to an address until `stopped` is set. The random numbers are drawn from `random_state`.
pub fn relay(
    socket: UdpSocket,
    to: SocketAddr,
    direction: Arc<LinkDirection>,
    stopped: Arc<AtomicBool>,
    mut random_state: u64,
) {
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let (mut buffer, mut delayed) = ([0; 4096], Vec::<(Instant, Vec<u8>)>::new());
    let (mut window_start, mut window_bytes) = (Instant::now(), 0);
    while !stopped.load(Relaxed) {
        if let Ok((n, _)) = socket.recv_from(&mut buffer) {
            // Linear congruential generator with Knuth's MMIX constants.
            let mut draw = |below: u64| {
                random_state = random_state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                (random_state >> 33) % below
            };
            let (loss, rate) = (direction.loss_percent.load(Relaxed), direction.rate.load(Relaxed));
            if window_start.elapsed() > RATE_WINDOW {
                (window_start, window_bytes) = (Instant::now(), 0);
            }
            window_bytes += n as u64;
            let copies = match draw(100) {
                _ if direction.blocked.load(Relaxed) || rate > 0 && window_bytes > rate / 10 => 0,
                d if d < loss => 0,
                d if d >= 100 - loss => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let delay = Duration::from_millis(draw(direction.max_delay_ms.load(Relaxed) + 1));
                delayed.push((Instant::now() + delay, buffer[..n].to_vec()));
            }
        }
        let now = Instant::now();
        delayed.retain(|(at, data)| {
            let due = *at <= now;
            if due {
                let _ = socket.send_to(data, to);
            }
            !due
        });
    }
}
