//! Peers that send at full speed: no line, answer or operator's call of anybody else is held back for longer than the
//! platform's protocol allows.

mod peers;
use peers::xmpp::{accept_login, establish, operator_file, OPENING};
use peers::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Longest time for which a line may be held back.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Time for which the sound clients are watched.
const WATCHED: Duration = Duration::from_millis(2_500);
/// Peers that send at full speed at once.
const FLOODING_PEERS: usize = 8;

/// Peers that send a text over and over and read what comes, until this is dropped.
struct Flood {
    connections: Vec<TcpStream>,
    stopped: Arc<AtomicBool>,
}

impl Flood {
    fn start(connections: impl IntoIterator<Item = TcpStream>, text: &str) -> Flood {
        let stopped = Arc::<AtomicBool>::default();
        let connections: Vec<TcpStream> = connections.into_iter().collect();
        for connection in &connections {
            send_endlessly(connection.try_clone().unwrap(), text, stopped.clone());
            read_endlessly(connection.try_clone().unwrap());
        }
        Flood { connections, stopped }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        for connection in &self.connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn send_endlessly(mut connection: TcpStream, text: &str, stopped: Arc<AtomicBool>) {
    let bytes = text.repeat(65_536 / text.len()).into_bytes();
    thread::spawn(move || while !stopped.load(Ordering::SeqCst) && connection.write_all(&bytes).is_ok() {});
}

fn read_endlessly(mut connection: TcpStream) {
    thread::spawn(move || {
        let mut bytes = vec![0; 65_536];
        while connection.read(&mut bytes).is_ok_and(|n| n > 0) {}
    });
}

/// Starts an instance that echoes the lines of keys that begin with `sound`, and takes or sends all that it can for others.
fn instance_for_floods() -> SocketAddr {
    spawn_instance(|mut peer| {
        let first = peer.receive_line();
        peer.send_text("UP 1\r\n");
        if first.contains(" pushed") {
            send_endlessly(peer.stream.try_clone().unwrap(), "tick\r\n", Arc::default());
        }
        if !first.contains(" sound") {
            peer.receive_rest();
            return;
        }
        loop {
            match peer.receive_line().as_str() {
                "END" | "RESET" => return,
                line => peer.send_text(&format!("{line}\r\n")),
            };
        }
    })
}

/// Starts an XMPP server that takes all that comes.
fn xmpp_server() -> SocketAddr {
    spawn_instance(|mut peer| {
        accept_login(&mut peer);
        peer.send_text(OPENING).send_text("<stream:features/>").receive_rest();
    })
}

fn start_balancer() -> Balancer {
    let operator = operator_file(xmpp_server());
    let list = [list_entry("s-00000001", instance_for_floods(), "ready")];
    Balancer::start_with_admin(&Discovery::without_updates(), &list, Some(&operator))
}

/// Opens a connection with this key and returns it once it is established.
fn open(balancer: &Balancer, key: &str) -> LineConnection {
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text(&format!("OPEN {key} {key} c=watch,d=2000\r\n")).receive_line(), "UP 1");
    client
}

/// Asserts that a step takes less than [`MAX_DELAY`].
fn assert_prompt<T>(flood: &str, what: &str, step: impl FnOnce() -> T) -> T {
    let begun = Instant::now();
    let result = step();
    assert!(begun.elapsed() < MAX_DELAY, "{flood}: {what} took {:?}", begun.elapsed());
    result
}

/// Sends lines on an established connection, requests, health checks and operator's calls while peers flood.
fn assert_sound_clients_are_served(balancer: &Balancer, flood: &str, standing: &mut LineConnection) {
    let begun = Instant::now();
    for n in 0.. {
        if begun.elapsed() > WATCHED {
            return;
        }
        let line = format!("line {n}");
        let echoed = assert_prompt(flood, "a line", || {
            standing.send_text(&format!("{line}\r\n"));
            standing.receive_line()
        });
        assert_eq!(echoed, line, "{flood}");
        assert_prompt(flood, "a request", || open(balancer, &format!("sound-{n}")));
        let pong = assert_prompt(flood, "a health check", || {
            balancer.connect_client().send_text("PING\r\n").receive_line()
        });
        assert_eq!(pong, "PONG", "{flood}");
        assert_prompt(flood, "an operator's call", || balancer.admin_command("HEALTH\r\n"));
        thread::sleep(Duration::from_millis(20));
    }
}

/// Clients that send health checks as fast as they can do not stop the process for others.
#[test]
fn endless_health_checks_hold_nobody_up() {
    let balancer = start_balancer();
    let mut standing = open(&balancer, "sound");
    let clients = (0..FLOODING_PEERS).map(|_| balancer.connect_client().stream);
    let _flood = Flood::start(clients, "PING\r\n");
    assert_sound_clients_are_served(&balancer, "health checks", &mut standing);
}

/// Established connections that carry lines as fast as they can, from the client or from the server, do not stop the process
/// for others.
#[test]
fn endless_lines_of_established_connections_hold_nobody_up() {
    let balancer = start_balancer();
    let mut standing = open(&balancer, "sound");
    let senders = (0..FLOODING_PEERS).map(|n| open(&balancer, &format!("pushing-{n}")).stream);
    let upwards = Flood::start(senders.collect::<Vec<_>>(), "a line of a client that sends all it can\r\n");
    assert_sound_clients_are_served(&balancer, "lines of clients", &mut standing);
    drop(upwards);
    let receivers = (0..FLOODING_PEERS).map(|n| open(&balancer, &format!("pushed-{n}")).stream);
    let _downwards = Flood::start(receivers.collect::<Vec<_>>(), "\r\n");
    assert_sound_clients_are_served(&balancer, "lines of servers", &mut standing);
}

/// XMPP clients that send white space or stanzas as fast as they can, before and after their log-in, do not stop the process
/// for others.
#[test]
fn endless_units_of_xmpp_streams_hold_nobody_up() {
    let balancer = start_balancer();
    let mut standing = open(&balancer, "sound");
    for unit in [" ", "<presence/>"] {
        let established = (0..FLOODING_PEERS).map(|n| establish(&balancer, &format!("u{n}")).stream);
        let _flood = Flood::start(established.collect::<Vec<_>>(), unit);
        assert_sound_clients_are_served(&balancer, unit, &mut standing);
    }
    let before_login = (0..FLOODING_PEERS).map(|_| {
        let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
        client.send_text(OPENING).receive_until("</stream:features>");
        client.stream
    });
    let _flood = Flood::start(before_login.collect::<Vec<_>>(), " ");
    assert_sound_clients_are_served(&balancer, "before the log-in", &mut standing);
}
