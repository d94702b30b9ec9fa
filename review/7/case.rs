//! Bad clients send many commands at once, and go: are the lines and requests of sound clients still carried?
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const SERVERS: usize = 9;
const STANDING: usize = 8;
const BAD_CLIENTS: usize = 8;
/// Commands that a bad client sends at once: 3.6 MB.
const COMMANDS: usize = 600_000;
const BAD_FROM: u64 = 5_000;
/// A bad client goes at the latest so long after it came.
const BAD_STAY: u64 = 12_000;
const END: u64 = 24_000;
/// "has a line held back for over a second"
const HELD_BACK: u64 = 1_000;
/// A request whose answer is later than this after its time is lost.
const LATE: u64 = 500;
const DEADLINE: u64 = 2_000;

type Broken = Arc<Mutex<Vec<String>>>;

fn main() {
    run_case(play)
}

fn play(record: &Record) -> Vec<String> {
    let folder = Folder::new("7");
    let zones = ["manila", "cebu", "davao"];
    let name = |i: usize| format!("s-{:08x}", (i as u32 + 1).wrapping_mul(0x9e37_79b1));
    let servers: Vec<Server> = (0..SERVERS).map(|i| Server::start(&name(i), record)).collect();
    let discovery = Discovery::start(servers.iter().enumerate().map(|(i, s)| s.entry(zones[i % 3])).collect());
    let listen = free_address();
    let text = config("n0", listen, discovery.address, &discovery.whole(), &claims_settings(3, "manila"));
    let balancer = Balancer::start("n0", &folder.write("n0.json", &text), listen, &folder, &[]);
    if !balancer.wait_ready(ms(15_000)) {
        cannot_run("the balancer is not ready");
    }
    let (begun, broken) = (Instant::now(), Broken::default());
    let mut threads = Vec::new();
    for n in 0..STANDING {
        let (record, broken) = (record.clone(), broken.clone());
        threads.push(thread::spawn(move || stand(listen, n, begun, &record, &broken)));
    }
    // New connections: one every 250 ms.
    for n in 0..(END - 4_000) / 250 {
        let (record, broken) = (record.clone(), broken.clone());
        threads.push(thread::spawn(move || {
            thread::sleep(ms(n * 250).saturating_sub(begun.elapsed()));
            request(listen, n, &record, &broken)
        }));
    }
    thread::sleep(ms(BAD_FROM).saturating_sub(begun.elapsed()));
    let commands = if trouble() { COMMANDS } else { 1 };
    record.say(format!("{BAD_CLIENTS} clients send {commands} PING each at once"));
    for n in 0..BAD_CLIENTS {
        let record = record.clone();
        threads.push(thread::spawn(move || bad_client(listen, n, commands, &record)));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let broken = broken.lock().unwrap().clone();
    broken
}

/// A sound client: sends a line every 2 s, and each comes back at once.
fn stand(listen: SocketAddr, n: usize, begun: Instant, record: &Record, broken: &Broken) {
    let Ok(mut client) = Client::connect(listen) else { return };
    let _ = client.send(&format!("OPEN {} standing-{n} c=claim-watch,d=4800,g=file-{n}", new_id()));
    let got = client.line(ms(5_300));
    record.say(format!("standing client {n}: {got:?}"));
    if !matches!(&got, Got::Line(line) if line.starts_with("UP ")) {
        return;
    }
    thread::sleep(ms(n as u64 * 250));
    for i in 0.. {
        if begun.elapsed() > ms(END - 2_000) {
            return;
        }
        let sent = Instant::now();
        let line = format!("line {n}.{i}");
        if client.send(&line).is_err() {
            return record.say(format!("standing client {n}: its connection has ended"));
        }
        let got = client.line(ms(15_000));
        let after = sent.elapsed().as_millis() as u64;
        record.say(format!("standing client {n}: {line}, got {got:?} after {after} ms"));
        if after > HELD_BACK {
            broken.lock().unwrap().push(format!("standing client {n}: {line} was held back, for {after} ms, then {got:?}"));
        }
        if got != Got::Line(line) {
            return;
        }
        thread::sleep(ms(2_000).saturating_sub(sent.elapsed()));
    }
}

/// A sound client's request; its client leaves when it has its answer.
fn request(listen: SocketAddr, n: u64, record: &Record, broken: &Broken) {
    let id = new_id();
    let Ok(mut client) = Client::connect(listen) else { return };
    if client.send(&format!("OPEN {id} key-{n} c=payout-watch,d={DEADLINE},g=file-{}", n % 40)).is_err() {
        return;
    }
    let (sent, sent_at) = (Instant::now(), record.ms());
    let got = client.line(ms(DEADLINE + LATE));
    let after = sent.elapsed().as_millis();
    record.say(format!("request {id} sent at {sent_at}, got {got:?} after {after} ms"));
    if !matches!(got, Got::Line(_)) {
        broken.lock().unwrap().push(format!("request {id}, taken at {sent_at} ms, had no answer {after} ms later: {got:?}"));
    }
}

/// Sends its commands at once, reads what comes, and goes.
fn bad_client(listen: SocketAddr, n: usize, commands: usize, record: &Record) {
    let Ok(stream) = TcpStream::connect(listen) else { return };
    let (Ok(mut from), Ok(going)) = (stream.try_clone(), stream.try_clone()) else { return };
    let reader = thread::spawn(move || {
        let (mut bytes, mut count) = (vec![0; 65_536], 0);
        while count < commands * 6 {
            match from.read(&mut bytes) {
                Ok(n) if n > 0 => count += n,
                _ => break,
            }
        }
        count / 6
    });
    thread::spawn(move || {
        thread::sleep(ms(BAD_STAY));
        let _ = going.shutdown(Shutdown::Both);
    });
    let mut to = stream;
    let _ = to.write_all(&b"PING\r\n".repeat(commands));
    let answers = reader.join().unwrap_or(0);
    record.say(format!("bad client {n} had {answers} answers and goes"));
    let _ = to.shutdown(Shutdown::Both);
}
