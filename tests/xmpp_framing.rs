//! XMPP stanzas in all forms that XML allows and in pieces of any size: each passes whole and at once, both ways.

mod peers;
use peers::xmpp::{accept_login, establish, operator_file, OPENING};
use peers::*;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Limit on each wait for a stanza, longer than the front's own limit for one; it only ends a test that would hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);

/// Stanzas, each as the piece that comes with the stanza before it and the rest.
const SPLIT_STANZAS: &[(&[u8], &[u8])] = &[
    // Inside a letter of two, three and four bytes: the first of a text, and a later one.
    (b"<message><body>\xc3", b"\xa9t\xc3\xa9</body></message>"),
    (b"<message><body>\xe3\x81", b"\x82</body></message>"),
    (b"<message><body>\xf0\x9f\x98", b"\x80!</body></message>"),
    (b"<message><body>a\xc3", b"\xa9</body></message>"),
    (b"<message><body>a</body><subject>\xc3", b"\xa9</subject></message>"),
    // CDATA sections that are empty, hold a bracket, or are cut.
    (b"<message><body><![CDATA[]]></body></message>", b""),
    (b"<message><body><![CDATA[a]b]]></body></message>", b""),
    (b"<message><body><![CDATA[\xc3", b"\xa9]]]></body></message>"),
    // References and line ends.
    (b"<message><body>&#x1F6", b"00;&amp;</body></message>"),
    (b"<message><body>a\r", b"\nb</body></message>"),
];

/// Reports each whole stanza of a connection.
fn report_stanzas(mut connection: LineConnection, reports: &Sender<String>) {
    loop {
        let stanza = connection.receive_until("</message>");
        if reports.send(stanza).is_err() {
            return;
        }
    }
}

/// Writes stanzas in two pieces, the second when the stanza before has come through, and asserts that each comes through
/// before anything else is written.
fn assert_stanzas_pass(connection: &mut LineConnection, received: &Receiver<String>) {
    for (start, rest) in SPLIT_STANZAS {
        let before = "<message><body>plain</body></message>";
        let first_write = [before.as_bytes(), start].concat();
        std::io::Write::write_all(&mut connection.stream, &first_write).unwrap();
        assert_eq!(received.recv_timeout(HANG_TIMEOUT).as_deref(), Ok(before));
        std::io::Write::write_all(&mut connection.stream, rest).unwrap();
        let whole = String::from_utf8([*start, *rest].concat()).unwrap();
        assert_eq!(received.recv_timeout(HANG_TIMEOUT), Ok(whole));
    }
}

fn start_balancer(server: SocketAddr) -> Balancer {
    let operator = operator_file(server);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    Balancer::start(&Discovery::without_updates(), &list, Some(&operator))
}

/// Guards against stanzas of a client whose last bytes are held back.
#[test]
fn stanzas_of_a_client_pass_whole_wherever_they_are_cut() {
    let (reports, received) = channel();
    let server = spawn_instance(move |mut peer| {
        accept_login(&mut peer);
        peer.send_text(OPENING).send_text("<stream:features/>");
        report_stanzas(peer, &reports);
    });
    let balancer = start_balancer(server);
    assert_stanzas_pass(&mut establish(&balancer, "u1"), &received);
}

/// Guards against stanzas of a server whose last bytes are held back.
#[test]
fn stanzas_of_a_server_pass_whole_wherever_they_are_cut() {
    let (peer_sender, peers) = channel();
    let server = spawn_instance(move |mut peer| {
        accept_login(&mut peer);
        peer.send_text(OPENING).send_text("<stream:features/>");
        peer_sender.send(peer).unwrap();
    });
    let balancer = start_balancer(server);
    let client = establish(&balancer, "u1");
    let (reports, received) = channel();
    thread::spawn(move || report_stanzas(client, &reports));
    assert_stanzas_pass(&mut peers.recv().unwrap(), &received);
}
