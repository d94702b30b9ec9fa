//! Stories of the XMPP front, alone and mixed with the line front, against stand-in clients and servers.

mod peers;
use base64::Engine;
use peers::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

const OPENING: &str =
    "<?xml version='1.0'?><stream:stream to='desk.example' version='1.0' xmlns='jabber:client' \
                       xmlns:stream='http://etherx.jabber.org/streams'>";
const FEATURES: &str = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>\
                        <mechanism>PLAIN</mechanism></mechanisms></stream:features>";
const SUCCESS: &str = "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>";

fn auth(user: &str) -> String {
    let said = base64::engine::general_purpose::STANDARD.encode(format!("\0{user}\0secret"));
    format!("<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>{said}</auth>")
}

fn failure(condition: &str) -> String {
    format!("<failure xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><{condition}/></failure>")
}

/// A server that takes a log-in, answers it so, and then sends each message back; it tells all that it hears.
fn server(name: &'static str, answer: &str, report_sender: Sender<(&'static str, String)>) -> SocketAddr {
    let answer = answer.to_string();
    spawn_instance(move |mut peer| {
        let head = peer.receive_until("version='1.0'") + &peer.receive_until(">");
        peer.send_text(OPENING).send_text(FEATURES);
        let login = peer.receive_until("</auth>");
        let _ = report_sender.send((name, format!("{head}{login}")));
        peer.send_text(&answer);
        if answer != SUCCESS {
            let _ = report_sender.send((name, peer.receive_rest()));
            return;
        }
        let _ = peer.receive_until("'http://etherx.jabber.org/streams'>");
        peer.send_text(OPENING).send_text("<stream:features/>");
        loop {
            let stanza = peer.receive_until(">");
            if stanza.contains("</stream:stream>") {
                let _ = report_sender.send((name, stanza));
                peer.send_text("</stream:stream>");
                return;
            }
            if stanza.starts_with("<stream:error>") {
                let _ = report_sender.send((name, stanza + &peer.receive_until("</stream:stream>")));
                return;
            }
            let stanza = stanza + &peer.receive_until(">");
            let _ = report_sender.send((name, stanza.clone()));
            peer.send_text(&stanza);
        }
    })
}

fn file(instances: &[(&str, SocketAddr)], more: &str) -> String {
    let all: String = instances.iter().map(|(name, at)| format!("\"{name}\" = \"{at}\"\n")).collect();
    format!(
        "[xmpp]\nlisten = \"127.0.0.1:0\"\n{more}\n[xmpp.instances]\n{all}\n[[xmpp.service]]\ndomain = \"desk.example\"\n\
         class = \"watch\"\ndeadline = \"1500ms\"\ngroup = \"domain\"\n\
         [[team]]\nname = \"desk.example\"\nconnections = 100\nattempts = 3\n"
    )
}

/// Opens a stream and sends a log-in.
fn log_in(balancer: &Balancer, user: &str) -> LineConnection {
    let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
    client.send_text(OPENING).receive_until("</stream:features>");
    client.send_text(&auth(user));
    client
}

/// Logs in, up to the features of the new stream.
fn stand(balancer: &Balancer, user: &str) -> LineConnection {
    let mut client = log_in(balancer, user);
    client.receive_until(SUCCESS);
    client.send_text(OPENING).receive_until("<stream:features/>");
    client
}

/// Guards against a process that shares the other front's socket and ends while XMPP clients still stand.
#[test]
fn a_process_that_ends_early_waits_for_xmpp_clients_too() {
    let (report_sender, _) = channel();
    let at = server("a", SUCCESS, report_sender);
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let text = file(&[("s-00000001", at)], "");
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let start =
        StartOptions { operator: Some(&text), inherited_socket: Some(&socket), ..StartOptions::default() };
    let balancer = Balancer::launch(&Discovery::without_updates(), &list, start).wait_until_serving();
    let mut client = stand(&balancer, "user");
    balancer.terminate();
    let last = client.receive_until("</stream:stream>");
    assert!(last.contains("<stream:error>"), "{last}");
    balancer.wait_for_log("left with 0 connections in hand");
}

/// Guards against a front whose commands are not counted, or twice.
#[test]
fn figures_count_xmpp_like_text() {
    let (report_sender, _) = channel();
    let a = server("a", SUCCESS, report_sender.clone());
    let full = server("full", &(failure("temporary-auth-failure") + "</stream:stream>"), report_sender);
    let count = |at: SocketAddr, users: usize| {
        let name = "s-00000001";
        let list = [list_entry(name, closed_address(), "ready")];
        let balancer =
            Balancer::start_with_admin(&Discovery::without_updates(), &list, Some(&file(&[(name, at)], "")));
        let clients: Vec<LineConnection> =
            (0..users).map(|i| log_in(&balancer, &format!("user{i}"))).collect();
        let answered = |mut client: LineConnection| {
            client.receive_until(if at == a { SUCCESS } else { "</stream:stream>" });
            client
        };
        let _held: Vec<LineConnection> = clients.into_iter().map(answered).collect();
        balancer.admin_command("DUMP\r\n")
    };
    let up = count(a, 4);
    for line in ["completed.watch:4|c", "upstream_requests.watch:4|c", "failed.watch:0|c", "pending:4|g"] {
        assert!(up.contains(&format!("lb.{line}")), "{line}: {up}");
    }
    // The last of them found the instance passed over: it is refused like the others.
    let refused = count(full, 4);
    for line in ["completed.watch:0|c", "rejected.watch:4|c", "failed.watch:0|c", "pending:0|g"] {
        assert!(refused.contains(&format!("lb.{line}")), "{line}: {refused}");
    }
}

/// Every rule for both fronts at once: one final answer each, no two tries out, nothing new to what drains,
/// all passed on unchanged, and at the end everybody is told before being cut off.
#[test]
fn xmpp_and_text_clients_share_one_balancer_and_every_rule_holds_for_both() {
    let (report_sender, reports) = channel();
    let lines = [
        echo_instance("a", report_sender.clone()),
        echo_instance("b", report_sender.clone()),
        echo_instance("full", report_sender.clone()),
    ];
    let a = server("a", SUCCESS, report_sender.clone());
    let b = server("b", SUCCESS, report_sender.clone());
    let full = server("full", &(failure("temporary-auth-failure") + "</stream:stream>"), report_sender);
    let names = ["s-00000001", "s-00000002", "s-00000003"];
    let list: Vec<String> = names.iter().zip(lines).map(|(name, at)| list_entry(name, at, "ready")).collect();
    let discovery = Discovery::without_updates();
    let xmpp = file(&[(names[0], a), (names[1], b), (names[2], full)], "");
    let balancer = Balancer::start(&discovery, &list, Some(&xmpp));
    discovery.next_request();
    discovery.push(&watch_line(2, &[list_entry(names[0], lines[0], "draining")]));
    balancer.wait_for_log("is draining");

    let (mut desks, mut texts) = (Vec::new(), Vec::new());
    for i in 0..6 {
        let mut desk = stand(&balancer, &format!("user{i}"));
        let message = format!("<message id='{i}'>é&lt;</message>");
        assert_eq!(desk.send_text(&message).receive_until("</message>"), message);
        desks.push(desk);
        let mut text = balancer.connect_client();
        assert_eq!(text.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g={i}\r\n")).receive_line(), "UP 1");
        assert_eq!(text.send_text("line\r\n").receive_line(), "line");
        texts.push(text);
    }
    balancer.terminate();
    for desk in &mut desks {
        let last = desk.receive_until("</stream:stream>");
        assert!(last.contains("<system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"), "{last}");
    }
    for text in &mut texts {
        assert_eq!(text.receive_line(), "MOVE");
        assert_eq!(text.receive_line(), "END");
    }
    let told: Vec<_> = reports.try_iter().collect();
    assert!(told.iter().all(|(name, _)| *name != "a"), "nothing new to what drains");
    // The instance that is full sees each log-in once, whole, and its nack is not the client's answer.
    let tries = |name: &str| told.iter().filter(|(n, what)| *n == name && what.contains("<auth")).count();
    assert_eq!(tries("b"), 6, "{told:?}");
    assert!(told.iter().filter(|(n, what)| *n == "b" && what.contains("é&lt;")).count() == 6);
}

#[test]
fn who_is_let_in_by_nobody_is_told_when_to_come_back_and_who_is_refused_is_refused_once() {
    let (report_sender, reports) = channel();
    let nack =
        |name| server(name, &(failure("temporary-auth-failure") + "</stream:stream>"), report_sender.clone());
    let list = [
        list_entry("s-00000001", closed_address(), "ready"),
        list_entry("s-00000002", closed_address(), "ready"),
    ];
    let (x, y) = (nack("x"), nack("y"));
    let balancer = Balancer::start(
        &Discovery::without_updates(),
        &list,
        Some(&file(&[("s-00000001", x), ("s-00000002", y)], "")),
    );
    let answer = log_in(&balancer, "ana").receive_rest();
    assert!(
        answer.contains("<temporary-auth-failure/><text") && answer.contains("come again after"),
        "{answer}"
    );
    assert!(answer.ends_with("</stream:stream>"));
    let told_of: Vec<_> = reports.try_iter().filter(|(_, what)| what.contains("<auth")).collect();
    assert!(told_of.len() == 2 && told_of[0].0 != told_of[1].0, "each was asked once: {told_of:?}");

    let (report_sender, reports) = channel();
    let refuses = |name| server(name, &failure("not-authorized"), report_sender.clone());
    let (x, y) = (refuses("x"), refuses("y"));
    let balancer = Balancer::start(
        &Discovery::without_updates(),
        &list,
        Some(&file(&[("s-00000001", x), ("s-00000002", y)], "")),
    );
    let answer = log_in(&balancer, "ana").receive_rest();
    assert!(answer.contains(&failure("not-authorized")) && answer.ends_with("</stream:stream>"), "{answer}");
    assert_eq!(reports.try_iter().filter(|(_, what)| what.contains("<auth")).count(), 1);
}

#[test]
fn a_log_in_that_nobody_answers_fails_before_its_deadline_with_a_stream_error() {
    let silent = spawn_instance(|mut peer| drop(peer.receive_rest()));
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let balancer =
        Balancer::start(&Discovery::without_updates(), &list, Some(&file(&[("s-00000001", silent)], "")));
    let started = Instant::now();
    let answer = log_in(&balancer, "ana").receive_until("</stream:stream>");
    assert!(
        answer.contains("temporary-auth-failure") || answer.contains("remote-connection-failed"),
        "{answer}"
    );
    assert!(started.elapsed() < Duration::from_millis(1500));
}

/// Guards against a password sent in the clear where a certificate is configured.
#[test]
fn with_a_certificate_tls_comes_first_and_then_all_as_without() {
    use tokio_rustls::rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
    let (report_sender, _reports) = channel();
    let made = rcgen::generate_simple_self_signed(["desk.example".to_string()]).unwrap();
    let dir = std::env::temp_dir().join(format!("oakdeal-tls-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (certificate, key) = (dir.join("desk.pem"), dir.join("desk.key"));
    std::fs::write(&certificate, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    let more = format!("certificate = {certificate:?}\nkey = {key:?}");
    let file = file(&[("s-00000001", server("a", SUCCESS, report_sender))], &more);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&file));

    let mut plain = LineConnection::connect(balancer.xmpp_address.unwrap());
    plain.send_text(OPENING).receive_until("<required/></starttls></stream:features>");
    assert!(plain.send_text(&auth("ana")).receive_until("</stream:stream>").contains("policy-violation"));

    let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
    client.send_text(OPENING).receive_until("</stream:features>");
    client
        .send_text("<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>")
        .receive_until("<proceed xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>");
    let mut roots = RootCertStore::empty();
    roots.add(made.cert.der().clone()).unwrap();
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let session =
        ClientConnection::new(std::sync::Arc::new(config), "desk.example".try_into().unwrap()).unwrap();
    let mut tls = StreamOwned::new(session, client.stream.try_clone().unwrap());
    let mut talk = |say: &str, until: &str| {
        tls.write_all(say.as_bytes()).unwrap();
        let mut all = Vec::new();
        while !String::from_utf8_lossy(&all).contains(until) {
            let mut byte = [0];
            tls.read_exact(&mut byte).expect(until);
            all.push(byte[0]);
        }
    };
    talk(OPENING, "<mechanism>PLAIN</mechanism>");
    talk(&auth("ana"), SUCCESS);
    talk(OPENING, "<stream:features/>");
    talk("<message id='1'>safe</message>", "<message id='1'>safe</message>");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// A hard case: guards against a peer that holds its place for ever by stopping within a stanza, and against
/// half a stanza reaching the instance.
#[test]
fn a_stream_that_stalls_within_a_stanza_after_its_log_in_is_ended_and_no_half_stanza_passed_on() {
    let (report_sender, reports) = channel();
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let file = file(&[("s-00000001", server("a", SUCCESS, report_sender))], "stall = \"300ms\"");
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&file));
    let mut client = stand(&balancer, "ana");
    reports.recv().unwrap();
    client.send_text("<message id='1'>whole</message>").receive_until("</message>");
    assert_eq!(reports.recv().unwrap().1, "<message id='1'>whole</message>");
    client.send_text("<message id='2'>ha");
    let last = client.receive_until("</stream:stream>");
    assert!(last.contains("<connection-timeout xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"), "{last}");
    assert_eq!(reports.recv().unwrap().1, "</stream:stream>", "its stream is ended in order");
    // One that merely says nothing between two stanzas may stay.
    let mut idle = stand(&balancer, "ben");
    assert!(idle
        .send_text(" ")
        .send_text("<message id='3'>later</message>")
        .receive_until("</message>")
        .contains("later"));
}

/// The other hard case: guards against a stanza cut in two by a drain, and a drain that waits for ever.
#[test]
fn a_drain_lets_a_half_sent_stanza_end_within_its_bound_and_tells_both_sides() {
    let (report_sender, reports) = channel();
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let file = file(
        &[("s-00000001", server("a", SUCCESS, report_sender))],
        "finish = \"1s\"\nother_host = \"b.example\"",
    );
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&file));
    let (mut ends, mut hangs) = (stand(&balancer, "ana"), stand(&balancer, "ben"));
    reports.recv().unwrap();
    reports.recv().unwrap();
    for client in [&mut ends, &mut hangs] {
        client.send_text("<message id='0'>x</message>").receive_until("</message>");
        client.send_text("<message id='1'>ha");
        reports.recv().unwrap();
    }
    balancer.terminate();
    balancer.wait_for_log("leaving");
    ends.send_text("lf</message>");
    for client in [&mut ends, &mut hangs] {
        let last = client.receive_until("</stream:stream>");
        assert!(last.contains("streams'>b.example</see-other-host>"), "{last}");
    }
    let mut told: Vec<String> = (0..3).map(|_| reports.recv().unwrap().1).collect();
    told.sort();
    let close = told.iter().filter(|what| what.contains("</stream:stream>")).count();
    assert!(close == 2 && told.contains(&"<message id='1'>half</message>".to_string()), "{told:?}");
}

#[test]
fn what_the_rfc_forbids_and_who_is_unknown_ends_with_the_defined_error() {
    let (report_sender, _reports) = channel();
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let file = file(&[("s-00000001", server("a", SUCCESS, report_sender))], "max_stanza = 10000");
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&file));
    let big = format!("<message>{}", "x".repeat(20_000));
    let stray = OPENING.replace("desk.example", "other.example");
    for (first, wrong, condition) in [
        ("<!DOCTYPE x>", "", "restricted-xml"),
        ("<?xml version='1.0'?><!-- x -->", "", "restricted-xml"),
        (OPENING, "<message>&bomb;</message>", "restricted-xml"),
        (OPENING, "<a></b>", "not-well-formed"),
        (OPENING, "<message/>", "not-authorized"),
        (OPENING, &big, "policy-violation"),
        (&stray, "", "host-unknown"),
        ("<stream to='desk.example' version='1.0'>", "", "invalid-namespace"),
        (OPENING, "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='X'/>", "invalid-mechanism"),
    ] {
        let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
        client.send_text(first).send_text(wrong);
        let answer = client.receive_until("</stream:stream>");
        assert!(answer.contains(&format!("<{condition}")) && answer.contains("<stream:stream"), "{answer}");
        balancer.wait_for_log("WARN");
    }
    let _ = stand(&balancer, "ana");
    assert!(balancer.is_running());
}

/// Guards against connections of one front that an owner on the other can never have back, and against a stream
/// that is cut off for it.
#[test]
fn what_the_xmpp_front_has_borrowed_is_given_back_to_an_owner_on_the_line_front_in_its_own_way() {
    let (report_sender, reports) = channel();
    let lines = [list_entry("s-00000001", echo_instance("lines", report_sender.clone()), "ready")];
    let xmpp = file(&[("s-00000001", server("xmpp", SUCCESS, report_sender))], "")
        .replace("connections = 100", "connections = 1")
        + "[[team]]\nname = \"north\"\nconnections = 2\n[capacity]\nconnections = 3\n";
    let balancer = Balancer::start(&Discovery::without_updates(), &lines, Some(&xmpp));
    // One is its own, one is borrowed: the third of the room is kept for the owner, who is let in at once.
    let mut desks: Vec<LineConnection> = ["ann", "bob"].map(|user| log_in(&balancer, user)).into();
    for desk in &mut desks {
        desk.receive_until(SUCCESS);
        desk.send_text(OPENING).receive_until("<stream:features/>");
    }
    let mut third = log_in(&balancer, "cid");
    assert!(third.receive_rest().contains("temporary-auth-failure"));
    let mut north = [balancer.connect_client(), balancer.connect_client()];
    assert_eq!(north[0].send_text("OPEN 1 1 c=watch,d=2000,t=north\r\n").receive_line(), "UP 1");
    let busy = north[1].send_text("OPEN 2 2 c=watch,d=2000,t=north\r\n").receive_line();
    let ms: u64 = busy.strip_prefix("BUSY ").expect("when to come back").parse().unwrap();
    assert!(ms <= 2000, "{busy}");
    // The newest is asked to go, with a whole error in its stream; the other stays.
    let last = desks.pop().unwrap().receive_rest();
    assert!(last.contains("<system-shutdown ") && last.ends_with("</stream:stream>"), "{last}");
    let again = (3..).map(|id| {
        let mut client = balancer.connect_client();
        std::thread::sleep(Duration::from_millis(5));
        (client.send_text(&format!("OPEN {id} 2 c=watch,d=2000,t=north,again=1\r\n")).receive_line(), client)
    });
    let (_, _client) = again.take(1000).find(|(answer, _)| answer == "UP 1").expect("it has its contract");
    assert_eq!(
        desks[0].send_text("<presence></presence>").receive_until("</presence>"),
        "<presence></presence>"
    );
    drop(reports);
}

/// A server that opens its stream only when it is told to; it tells when a stream has come, and then all that came after.
fn slow(report_sender: Sender<(&'static str, String)>) -> (SocketAddr, Sender<()>) {
    let (open, opened) = channel::<()>();
    let opened = std::sync::Mutex::new(opened);
    let address = spawn_instance(move |mut peer| {
        peer.receive_until("version='1.0'");
        peer.receive_until(">");
        let _ = report_sender.send(("slow", "came".into()));
        if opened.lock().unwrap().recv().is_ok() {
            let _ = peer.stream.write_all(format!("{OPENING}{FEATURES}").as_bytes());
            let _ = report_sender.send(("slow", peer.receive_rest()));
        }
    });
    (address, open)
}

/// Guards against a log-in that is sent to a server that has started to drain while its stream was opened.
#[test]
fn a_log_in_is_not_sent_to_a_server_that_drains_since_its_stream_was_asked_for() {
    let (report_sender, reports) = channel();
    let (address, open) = slow(report_sender);
    let discovery = Discovery::without_updates();
    let list = [list_entry("s-00000001", address, "ready")];
    let operator = file(&[("s-00000001", address)], "");
    let balancer = Balancer::start(&discovery, &list, Some(&operator));
    discovery.next_request();
    let mut client = log_in(&balancer, "ana");
    assert_eq!(reports.recv().unwrap().1, "came");
    discovery.push(&watch_line(2, &[list_entry("s-00000001", address, "draining")]));
    balancer.wait_for_log("is draining");
    open.send(()).unwrap();
    assert!(!reports.recv().unwrap().1.contains("<auth"));
    client.receive_until("temporary-auth-failure");
}

/// Guards against a log-in that is sent for a client that left in the turn in which the server's stream opened.
#[test]
fn a_log_in_whose_client_has_left_is_not_sent() {
    let (report_sender, reports) = channel();
    let (address, open) = slow(report_sender);
    let list = [list_entry("s-00000001", address, "ready")];
    let operator = file(&[("s-00000001", address)], "");
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    let client = log_in(&balancer, "ana");
    assert_eq!(reports.recv().unwrap().1, "came");
    balancer.signal("-STOP");
    drop(client);
    open.send(()).unwrap();
    // What was written for it is in the program's buffers before it goes on: the other way has carried it.
    std::thread::sleep(Duration::from_millis(20));
    balancer.signal("-CONT");
    assert!(!reports.recv().unwrap().1.contains("<auth"));
}
