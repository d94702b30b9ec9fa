//! XMPP clients write stanzas with letters beyond ASCII in pieces: does each stanza come through, and the connection stay?
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const CLIENTS: usize = 8;
const MESSAGES: usize = 10;
/// "has a line held back for over a second"
const HELD_BACK: u64 = 1_000;
const DOMAIN: &str = "desk.example";
const STREAM: &str = "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'";
const SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
const TEXTS: [&str; 5] = ["Ñame at palay, 3 ektarya", "ūpod ang mais", "Ñ", "Čakam pregled polja", "बीमा दावा 42"];

type Broken = Arc<Mutex<Vec<String>>>;

fn main() {
    run_case(play)
}

fn play(record: &Record) -> Vec<String> {
    let folder = Folder::new("9");
    let zones = ["manila", "cebu", "davao"];
    let name = |i: usize| format!("s-{:08x}", (i as u32 + 1).wrapping_mul(0x9e37_79b1));
    let servers: Vec<Server> = (0..SERVERS).map(|i| Server::start(&name(i), record)).collect();
    let discovery = Discovery::start(servers.iter().enumerate().map(|(i, s)| s.entry(zones[i % 3])).collect());
    let (listen, front) = (free_address(), free_address());
    let mut operator = format!("[xmpp]\nlisten = \"{front}\"\n\n[xmpp.instances]\n");
    for server in &servers {
        operator += &format!("\"{}\" = \"{}\"\n", server.name, start_xmpp_server(&server.name, record));
    }
    operator += &format!("\n[[xmpp.service]]\ndomain = \"{DOMAIN}\"\nclass = \"claim-watch\"\n");
    let operator = folder.write("oakdeal.toml", &operator);
    let text = config("n0", listen, discovery.address, &discovery.whole(), &claims_settings(3, "manila"));
    let extra = [("OAKDEAL_OPERATOR", operator.display().to_string())];
    let balancer = Balancer::start("n0", &folder.write("n0.json", &text), listen, &folder, &extra);
    if !balancer.wait_ready(ms(15_000)) {
        cannot_run("the balancer is not ready");
    }
    let broken = Broken::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, broken) = (record.clone(), broken.clone());
            thread::spawn(move || client(front, n, &record, &broken))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let broken = broken.lock().unwrap().clone();
    broken
}

/// Reads until `until` holds of all that has come; `None` at the end of the connection or after `limit`.
fn read_until(stream: &mut TcpStream, all: &mut Vec<u8>, limit: Duration, until: impl Fn(&str) -> bool) -> Option<String> {
    let end = Instant::now() + limit;
    loop {
        let text = String::from_utf8_lossy(all).into_owned();
        if until(&text) {
            return Some(text);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = stream.set_read_timeout(Some(left.max(ms(1))));
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => all.extend_from_slice(&bytes[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            _ => return None,
        }
    }
}

/// A server of the second front: PLAIN is accepted, and each whole message is answered at once with its id.
fn start_xmpp_server(name: &str, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let (name, record) = (name.to_string(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record) = (name.clone(), record.clone());
            thread::spawn(move || serve_xmpp(stream, &name, &record));
        }
    });
    address
}

fn serve_xmpp(mut stream: TcpStream, name: &str, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let header = |features: &str| format!("<?xml version='1.0'?><stream:stream {STREAM} id='{}' from='{DOMAIN}' version='1.0'><stream:features>{features}</stream:features>", new_id());
    let (mut all, long) = (Vec::new(), ms(120_000));
    read_until(&mut stream, &mut all, long, |t| t.contains("<stream:stream") && t.ends_with('>'))?;
    stream.write_all(header(&format!("<mechanisms xmlns='{SASL}'><mechanism>PLAIN</mechanism></mechanisms>")).as_bytes()).ok()?;
    read_until(&mut stream, &mut all, long, |t| t.contains("</auth>"))?;
    stream.write_all(format!("<success xmlns='{SASL}'/>").as_bytes()).ok()?;
    all.clear();
    read_until(&mut stream, &mut all, long, |t| t.contains("<stream:stream") && t.ends_with('>'))?;
    stream.write_all(header("").as_bytes()).ok()?;
    all.clear();
    loop {
        let ended = read_until(&mut stream, &mut all, long, |t| t.contains("</message>")).is_none();
        if ended {
            record.say(format!("server {name}: a connection ends; what is left of its stream: {:?}", String::from_utf8_lossy(&all)));
            return None;
        }
        let text = String::from_utf8_lossy(&all).into_owned();
        let (message, rest) = text.split_once("</message>")?;
        let id = message.split("id='").nth(1).and_then(|t| t.split('\'').next()).unwrap_or("?").to_string();
        record.say(format!("server {name} got {message}</message>"));
        all = rest.as_bytes().to_vec();
        stream.write_all(format!("<message id='{id}' type='chat'><received/></message>").as_bytes()).ok()?;
    }
}

/// Writes in pieces of 1 to 7 bytes, or at once.
fn write(stream: &mut TcpStream, bytes: &[u8], in_pieces: bool, seed: &mut u64) -> std::io::Result<()> {
    if !in_pieces {
        return stream.write_all(bytes);
    }
    let mut rest = bytes;
    while !rest.is_empty() {
        *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let n = (1 + (*seed >> 33) as usize % 7).min(rest.len());
        stream.write_all(&rest[..n])?;
        rest = &rest[n..];
        thread::sleep(ms(4));
    }
    Ok(())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0u32, |n, &b| n << 8 | u32::from(b)) << (8 * (3 - three.len()));
        for i in 0..4 {
            text.push(if i <= three.len() { DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char } else { '=' });
        }
    }
    text
}

fn client(front: SocketAddr, n: usize, record: &Record, broken: &Broken) {
    let Some(mut stream) = log_in(front, n, record) else {
        return record.say(format!("client {n} could not log in"));
    };
    let mut seed = n as u64 + 1;
    for i in 0..MESSAGES {
        let (id, text) = (format!("m-{n}-{i}"), TEXTS[(n + i) % TEXTS.len()]);
        let message = format!("<message id='{id}' type='chat' to='desk@{DOMAIN}'><body>{text}</body></message>");
        let sent = write(&mut stream, message.as_bytes(), trouble(), &mut seed);
        record.say(format!("client {n} sent {message}: {sent:?}"));
        if sent.is_err() {
            return;
        }
        let (at, mut all) = (Instant::now(), Vec::new());
        let wanted = format!("id='{id}'");
        let got = read_until(&mut stream, &mut all, ms(8_000), |t| t.contains(&wanted));
        let after = at.elapsed().as_millis() as u64;
        record.say(format!("client {n}: answer to {id} after {after} ms: {:?}", String::from_utf8_lossy(&all)));
        if got.is_none() {
            let text = String::from_utf8_lossy(&all).into_owned();
            return broken.lock().unwrap().push(format!("client {n}: its whole stanza {id} was never answered, in {after} ms; then came {text:?}"));
        }
        if after > HELD_BACK {
            broken.lock().unwrap().push(format!("client {n}: its whole stanza {id} was held back: answered after {after} ms"));
        }
        thread::sleep(ms(1_000));
    }
}

/// Logs in, with lines of ASCII at once, and returns the connection after the header of its second stream.
fn log_in(front: SocketAddr, n: usize, record: &Record) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(front).ok()?;
    let _ = stream.set_nodelay(true);
    let header = format!("<?xml version='1.0'?><stream:stream {STREAM} to='{DOMAIN}' version='1.0'>");
    let mut all = Vec::new();
    stream.write_all(header.as_bytes()).ok()?;
    read_until(&mut stream, &mut all, ms(5_000), |t| t.contains("</stream:features>"))?;
    let credentials = base64(format!("\0user{n}\0secret").as_bytes());
    stream.write_all(format!("<auth xmlns='{SASL}' mechanism='PLAIN'>{credentials}</auth>").as_bytes()).ok()?;
    all.clear();
    let got = read_until(&mut stream, &mut all, ms(5_000), |t| t.contains("<success") && t.ends_with("/>"));
    record.say(format!("client {n} logged in: {}", got.is_some()));
    got?;
    all.clear();
    stream.write_all(header.as_bytes()).ok()?;
    read_until(&mut stream, &mut all, ms(5_000), |t| t.contains("</stream:features>"))?;
    Some(stream)
}
