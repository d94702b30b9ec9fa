//! Memory of the process under many clients that stop half way through a large request or send very many short fields.

mod peers;
use peers::xmpp::{accept_login, establish, operator_file, OPENING};
use peers::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Clients at once: nearly as many as there are slots for clients without a request.
const CLIENTS: usize = 80;
/// Bytes that each client sends, just under the front's limit for a unit (64 KiB).
const SENT_BYTES: usize = 65_000;
/// Memory limit of the scored days, in kB.
const MEMORY_LIMIT_KB: usize = 192 * 1024;
/// Clients that a process with 1,024 descriptors holds at once: 193 without a request and 387 established.
const MAX_CLIENTS: usize = 580;
/// Time without another peak after which all that was sent has been read.
const SETTLED: Duration = Duration::from_millis(400);

/// Returns the largest memory that the process has used so far, in kB.
fn peak_kb(balancer: &Balancer) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", balancer.process_id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Waits until the peak no longer rises and returns it.
fn settled_peak_kb(balancer: &Balancer) -> usize {
    let (mut peak, mut risen_at) = (peak_kb(balancer), Instant::now());
    while risen_at.elapsed() < SETTLED {
        thread::sleep(Duration::from_millis(20));
        if peak_kb(balancer) > peak {
            (peak, risen_at) = (peak_kb(balancer), Instant::now());
        }
    }
    peak
}

fn start_balancer() -> Balancer {
    let server = spawn_instance(|mut peer| {
        accept_login(&mut peer);
        peer.send_text(OPENING).send_text("<stream:features/>").receive_rest();
    });
    let operator = operator_file(server);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    Balancer::start(&Discovery::without_updates(), &list, Some(&operator))
}

/// Has many clients each send the start of a text, and asserts that a process full of them stays within its limit.
fn assert_bounded(what: &str, text: &str, connect: impl Fn(&Balancer, usize) -> LineConnection) {
    let balancer = start_balancer();
    let before = peak_kb(&balancer);
    let mut clients: Vec<LineConnection> = (0..CLIENTS).map(|n| connect(&balancer, n)).collect();
    for client in &mut clients {
        // Fails where the balancer has ended the connection.
        let _ = client.stream.write_all(&text.as_bytes()[..text.len().min(SENT_BYTES)]);
    }
    let each = (settled_peak_kb(&balancer) - before) / CLIENTS;
    assert!(before + each * MAX_CLIENTS < MEMORY_LIMIT_KB, "{what}: {each} kB a client");
}

fn connect_xmpp(balancer: &Balancer, _: usize) -> LineConnection {
    LineConnection::connect(balancer.xmpp_address.unwrap())
}

fn establish_xmpp(balancer: &Balancer, n: usize) -> LineConnection {
    establish(balancer, &format!("u{n}"))
}

/// Guards against requests that need many times their length in memory before they are whole.
#[test]
fn partial_requests_need_a_bounded_multiple_of_their_length_in_memory() {
    let attributes: String = (0..30_000).map(|n| format!(" a{n}=''")).collect();
    let header = format!("<?xml version='1.0'?><stream:stream xmlns:stream='x'{attributes}");
    assert_bounded("a header of many attributes", &header, connect_xmpp);
    let negotiation = format!("{OPENING}<a>{}", "<b/>".repeat(SENT_BYTES / 4));
    assert_bounded("many elements before the log-in", &negotiation, connect_xmpp);
    assert_bounded("a stanza of many attributes", &format!("<message{attributes}"), establish_xmpp);
    let elements = format!("<message>{}", "<b/>".repeat(SENT_BYTES / 4));
    assert_bounded("a stanza of many elements", &elements, establish_xmpp);
    let texts = format!("<message>{}", "<b/>a".repeat(SENT_BYTES / 5));
    assert_bounded("a stanza of many texts", &texts, establish_xmpp);
    assert_bounded("a stanza of one text", &format!("<message>{}", "a".repeat(SENT_BYTES)), establish_xmpp);
    let fields: String = (0..900).map(|n| format!("{n}=,")).collect();
    assert_bounded("a line of many fields", &format!("OPEN 1 2 {}", &fields[..4_000]), |balancer, _| {
        balancer.connect_client()
    });
}
