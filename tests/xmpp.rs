//! End-to-end tests of the XMPP listener, alone and together with the line protocol, against scripted clients and
//! servers.

mod peers;
use peers::xmpp::{auth, establish, log_in, FEATURES, OPENING, SUCCESS};
use peers::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn failure(condition: &str) -> String {
    format!("<failure xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><{condition}/></failure>")
}

/// Starts a server that reports all it receives, answers a login with `answer` and, after `SUCCESS`, echoes each
/// stanza.
fn xmpp_server(
    name: &'static str,
    answer: &str,
    report_sender: Sender<(&'static str, String)>,
) -> SocketAddr {
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

fn operator_file(instances: &[(&str, SocketAddr)], more_keys: &str) -> String {
    let instance_lines: String =
        instances.iter().map(|(name, address)| format!("\"{name}\" = \"{address}\"\n")).collect();
    format!(
        "[xmpp]\nlisten = \"127.0.0.1:0\"\n{more_keys}\n[xmpp.instances]\n{instance_lines}\n[[xmpp.service]]\ndomain = \"desk.example\"\n\
         class = \"watch\"\ndeadline = \"1500ms\"\ngroup = \"domain\"\n\
         [[team]]\nname = \"desk.example\"\nconnections = 100\nattempts = 3\n"
    )
}

/// Guards against a process with an inherited line socket that exits while XMPP clients are still connected.
#[test]
fn a_terminating_process_with_an_inherited_socket_also_waits_for_xmpp_clients() {
    let (report_sender, _) = channel();
    let address = xmpp_server("a", SUCCESS, report_sender);
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let operator = operator_file(&[("s-00000001", address)], "");
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let start = StartOptions {
        operator: Some(&operator),
        inherited_socket: Some(&socket),
        ..StartOptions::default()
    };
    let balancer = Balancer::launch(&Discovery::without_updates(), &list, start).wait_until_serving();
    let mut client = establish(&balancer, "user");
    balancer.terminate();
    let last = client.receive_until("</stream:stream>");
    assert!(last.contains("<stream:error>"), "{last}");
    balancer.wait_for_log("left with 0 connections in hand");
}

/// Guards against XMPP commands that are not counted or are counted twice.
#[test]
fn metrics_count_xmpp_like_the_line_protocol() {
    let (report_sender, _) = channel();
    let a = xmpp_server("a", SUCCESS, report_sender.clone());
    let full = xmpp_server("full", &(failure("temporary-auth-failure") + "</stream:stream>"), report_sender);
    let metrics_after_logins = |address: SocketAddr, users: usize| {
        let name = "s-00000001";
        let list = [list_entry(name, closed_address(), "ready")];
        let balancer = Balancer::start_with_admin(
            &Discovery::without_updates(),
            &list,
            Some(&operator_file(&[(name, address)], "")),
        );
        let clients: Vec<LineConnection> =
            (0..users).map(|i| log_in(&balancer, &format!("user{i}"))).collect();
        let await_answer = |mut client: LineConnection| {
            client.receive_until(if address == a { SUCCESS } else { "</stream:stream>" });
            client
        };
        let _open_connections: Vec<LineConnection> = clients.into_iter().map(await_answer).collect();
        balancer.admin_command("DUMP\r\n")
    };
    let admitted = metrics_after_logins(a, 4);
    for line in ["completed.watch:4|c", "upstream_requests.watch:4|c", "failed.watch:0|c", "pending:4|g"] {
        assert!(admitted.contains(&format!("lb.{line}")), "{line}: {admitted}");
    }
    // For the last login the balancer already avoids the instance; it is rejected like the others.
    let rejected = metrics_after_logins(full, 4);
    for line in ["completed.watch:0|c", "rejected.watch:4|c", "failed.watch:0|c", "pending:0|g"] {
        assert!(rejected.contains(&format!("lb.{line}")), "{line}: {rejected}");
    }
}

/// Checks the rules for both protocols at once: one final answer per client, one attempt at a time, no new connections to
/// a draining instance, unchanged relaying, and a notice to every client before it is disconnected at shutdown.
#[test]
fn xmpp_and_line_clients_share_one_balancer_and_every_rule_holds_for_both() {
    let (report_sender, reports) = channel();
    let line_instances = [
        echo_instance("a", report_sender.clone()),
        echo_instance("b", report_sender.clone()),
        echo_instance("full", report_sender.clone()),
    ];
    let a = xmpp_server("a", SUCCESS, report_sender.clone());
    let b = xmpp_server("b", SUCCESS, report_sender.clone());
    let full = xmpp_server("full", &(failure("temporary-auth-failure") + "</stream:stream>"), report_sender);
    let names = ["s-00000001", "s-00000002", "s-00000003"];
    let list: Vec<String> =
        names.iter().zip(line_instances).map(|(name, address)| list_entry(name, address, "ready")).collect();
    let discovery = Discovery::without_updates();
    let operator = operator_file(&[(names[0], a), (names[1], b), (names[2], full)], "");
    let balancer = Balancer::start(&discovery, &list, Some(&operator));
    discovery.next_request();
    discovery.push(&watch_line(2, &[list_entry(names[0], line_instances[0], "draining")]));
    balancer.wait_for_log("is draining");

    let (mut xmpp_clients, mut line_clients) = (Vec::new(), Vec::new());
    for i in 0..6 {
        let mut xmpp_client = establish(&balancer, &format!("user{i}"));
        let message = format!("<message id='{i}'>é&lt;</message>");
        assert_eq!(xmpp_client.send_text(&message).receive_until("</message>"), message);
        xmpp_clients.push(xmpp_client);
        let mut line_client = balancer.connect_client();
        assert_eq!(
            line_client.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g={i}\r\n")).receive_line(),
            "UP 1"
        );
        assert_eq!(line_client.send_text("line\r\n").receive_line(), "line");
        line_clients.push(line_client);
    }
    balancer.terminate();
    for xmpp_client in &mut xmpp_clients {
        let last = xmpp_client.receive_until("</stream:stream>");
        assert!(last.contains("<system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"), "{last}");
    }
    for line_client in &mut line_clients {
        assert_eq!(line_client.receive_line(), "MOVE");
        assert_eq!(line_client.receive_line(), "END");
    }
    let received: Vec<_> = reports.try_iter().collect();
    assert!(received.iter().all(|(name, _)| *name != "a"), "a draining instance gets no new connection");
    // The full instance receives each login once, complete, and its nack is not relayed to the client.
    let login_count =
        |name: &str| received.iter().filter(|(n, what)| *n == name && what.contains("<auth")).count();
    assert_eq!(login_count("b"), 6, "{received:?}");
    assert!(received.iter().filter(|(n, what)| *n == "b" && what.contains("é&lt;")).count() == 6);
}

#[test]
fn a_login_nacked_by_all_servers_gets_a_retry_delay_and_a_refused_login_is_tried_once() {
    let (report_sender, reports) = channel();
    let nacking_server = |name| {
        xmpp_server(name, &(failure("temporary-auth-failure") + "</stream:stream>"), report_sender.clone())
    };
    let list = [
        list_entry("s-00000001", closed_address(), "ready"),
        list_entry("s-00000002", closed_address(), "ready"),
    ];
    let (x, y) = (nacking_server("x"), nacking_server("y"));
    let balancer = Balancer::start(
        &Discovery::without_updates(),
        &list,
        Some(&operator_file(&[("s-00000001", x), ("s-00000002", y)], "")),
    );
    let answer = log_in(&balancer, "ana").receive_rest();
    assert!(
        answer.contains("<temporary-auth-failure/><text") && answer.contains("come again after"),
        "{answer}"
    );
    assert!(answer.ends_with("</stream:stream>"));
    let logins: Vec<_> = reports.try_iter().filter(|(_, what)| what.contains("<auth")).collect();
    assert!(logins.len() == 2 && logins[0].0 != logins[1].0, "each server received one login: {logins:?}");

    let (report_sender, reports) = channel();
    let refusing_server = |name| xmpp_server(name, &failure("not-authorized"), report_sender.clone());
    let (x, y) = (refusing_server("x"), refusing_server("y"));
    let balancer = Balancer::start(
        &Discovery::without_updates(),
        &list,
        Some(&operator_file(&[("s-00000001", x), ("s-00000002", y)], "")),
    );
    let answer = log_in(&balancer, "ana").receive_rest();
    assert!(answer.contains(&failure("not-authorized")) && answer.ends_with("</stream:stream>"), "{answer}");
    assert_eq!(reports.try_iter().filter(|(_, what)| what.contains("<auth")).count(), 1);
}

#[test]
fn an_unanswered_login_fails_before_its_deadline_with_a_stream_error() {
    let silent = spawn_instance(|mut peer| drop(peer.receive_rest()));
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let balancer = Balancer::start(
        &Discovery::without_updates(),
        &list,
        Some(&operator_file(&[("s-00000001", silent)], "")),
    );
    let started = Instant::now();
    let answer = log_in(&balancer, "ana").receive_until("</stream:stream>");
    assert!(
        answer.contains("temporary-auth-failure") || answer.contains("remote-connection-failed"),
        "{answer}"
    );
    assert!(started.elapsed() < Duration::from_millis(1500));
}

/// Guards against accepting a password without TLS where a certificate is configured.
#[test]
fn with_a_certificate_tls_is_required_and_the_rest_works_as_without() {
    use tokio_rustls::rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
    let (report_sender, _reports) = channel();
    let generated = rcgen::generate_simple_self_signed(["desk.example".to_string()]).unwrap();
    let dir = std::env::temp_dir().join(format!("oakdeal-tls-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (certificate, key) = (dir.join("desk.pem"), dir.join("desk.key"));
    std::fs::write(&certificate, generated.cert.pem()).unwrap();
    std::fs::write(&key, generated.signing_key.serialize_pem()).unwrap();
    let tls_keys = format!("certificate = {certificate:?}\nkey = {key:?}");
    let operator = operator_file(&[("s-00000001", xmpp_server("a", SUCCESS, report_sender))], &tls_keys);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));

    let mut plain = LineConnection::connect(balancer.xmpp_address.unwrap());
    plain.send_text(OPENING).receive_until("<required/></starttls></stream:features>");
    assert!(plain.send_text(&auth("ana")).receive_until("</stream:stream>").contains("policy-violation"));

    let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
    client.send_text(OPENING).receive_until("</stream:features>");
    client
        .send_text("<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>")
        .receive_until("<proceed xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>");
    let mut roots = RootCertStore::empty();
    roots.add(generated.cert.der().clone()).unwrap();
    let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
    let session =
        ClientConnection::new(std::sync::Arc::new(config), "desk.example".try_into().unwrap()).unwrap();
    let mut tls = StreamOwned::new(session, client.stream.try_clone().unwrap());
    let mut exchange = |request: &str, expected: &str| {
        tls.write_all(request.as_bytes()).unwrap();
        let mut all = Vec::new();
        while !String::from_utf8_lossy(&all).contains(expected) {
            let mut byte = [0];
            tls.read_exact(&mut byte).expect(expected);
            all.push(byte[0]);
        }
    };
    exchange(OPENING, "<mechanism>PLAIN</mechanism>");
    exchange(&auth("ana"), SUCCESS);
    exchange(OPENING, "<stream:features/>");
    exchange("<message id='1'>safe</message>", "<message id='1'>safe</message>");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Guards against a client that holds its connection forever by stopping within a stanza, and against a partial stanza
/// reaching the instance.
#[test]
fn a_stream_that_stalls_within_a_stanza_is_ended_and_no_partial_stanza_is_relayed() {
    let (report_sender, reports) = channel();
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let operator =
        operator_file(&[("s-00000001", xmpp_server("a", SUCCESS, report_sender))], "stall = \"300ms\"");
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    let mut client = establish(&balancer, "ana");
    reports.recv().unwrap();
    client.send_text("<message id='1'>whole</message>").receive_until("</message>");
    assert_eq!(reports.recv().unwrap().1, "<message id='1'>whole</message>");
    client.send_text("<message id='2'>ha");
    let last = client.receive_until("</stream:stream>");
    assert!(last.contains("<connection-timeout xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"), "{last}");
    assert_eq!(reports.recv().unwrap().1, "</stream:stream>", "the server's stream is closed properly");
    // A client that is silent between two stanzas may stay.
    let mut idle = establish(&balancer, "ben");
    assert!(idle
        .send_text(" ")
        .send_text("<message id='3'>later</message>")
        .receive_until("</message>")
        .contains("later"));
}

/// Guards against a stanza cut in two by a drain, and against a drain that waits forever.
#[test]
fn a_drain_waits_a_bounded_time_for_a_partial_stanza_and_closes_both_streams() {
    let (report_sender, reports) = channel();
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let operator = operator_file(
        &[("s-00000001", xmpp_server("a", SUCCESS, report_sender))],
        "finish = \"1s\"\nother_host = \"b.example\"",
    );
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    let (mut finishing, mut stalled) = (establish(&balancer, "ana"), establish(&balancer, "ben"));
    reports.recv().unwrap();
    reports.recv().unwrap();
    for client in [&mut finishing, &mut stalled] {
        client.send_text("<message id='0'>x</message>").receive_until("</message>");
        client.send_text("<message id='1'>ha");
        reports.recv().unwrap();
    }
    balancer.terminate();
    balancer.wait_for_log("leaving");
    finishing.send_text("lf</message>");
    for client in [&mut finishing, &mut stalled] {
        let last = client.receive_until("</stream:stream>");
        assert!(last.contains("streams'>b.example</see-other-host>"), "{last}");
    }
    let mut received: Vec<String> = (0..3).map(|_| reports.recv().unwrap().1).collect();
    received.sort();
    let close_count = received.iter().filter(|what| what.contains("</stream:stream>")).count();
    assert!(
        close_count == 2 && received.contains(&"<message id='1'>half</message>".to_string()),
        "{received:?}"
    );
}

#[test]
fn forbidden_input_and_unknown_hosts_get_the_stream_error_that_the_rfc_defines() {
    let (report_sender, _reports) = channel();
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let operator =
        operator_file(&[("s-00000001", xmpp_server("a", SUCCESS, report_sender))], "max_stanza = 10000");
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
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
    let _ = establish(&balancer, "ana");
    assert!(balancer.is_running());
}

/// Guards against connections borrowed through XMPP that their owner cannot reclaim through the line protocol, and against
/// closing a stream without an error when they are reclaimed.
#[test]
fn connections_borrowed_through_xmpp_are_reclaimed_for_their_owner_on_the_line_protocol() {
    let (report_sender, reports) = channel();
    let list = [list_entry("s-00000001", echo_instance("lines", report_sender.clone()), "ready")];
    let operator = operator_file(&[("s-00000001", xmpp_server("xmpp", SUCCESS, report_sender))], "")
        .replace("connections = 100", "connections = 1")
        + "[[team]]\nname = \"north\"\nconnections = 2\n[capacity]\nconnections = 3\n";
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    // One connection is the team's own, one is borrowed. The third of the capacity is reserved for the owner, who is
    // admitted at once.
    let mut xmpp_clients: Vec<LineConnection> = ["ann", "bob"].map(|user| log_in(&balancer, user)).into();
    for xmpp_client in &mut xmpp_clients {
        xmpp_client.receive_until(SUCCESS);
        xmpp_client.send_text(OPENING).receive_until("<stream:features/>");
    }
    let mut third = log_in(&balancer, "cid");
    assert!(third.receive_rest().contains("temporary-auth-failure"));
    let mut north = [balancer.connect_client(), balancer.connect_client()];
    assert_eq!(north[0].send_text("OPEN 1 1 c=watch,d=2000,t=north\r\n").receive_line(), "UP 1");
    let busy = north[1].send_text("OPEN 2 2 c=watch,d=2000,t=north\r\n").receive_line();
    let ms: u64 = busy.strip_prefix("BUSY ").expect("a BUSY answer with a delay").parse().unwrap();
    assert!(ms <= 2000, "{busy}");
    // The newest connection is closed with a complete stream error; the other stays.
    let last = xmpp_clients.pop().unwrap().receive_rest();
    assert!(last.contains("<system-shutdown ") && last.ends_with("</stream:stream>"), "{last}");
    let again = (3..).map(|id| {
        let mut client = balancer.connect_client();
        std::thread::sleep(Duration::from_millis(5));
        (client.send_text(&format!("OPEN {id} 2 c=watch,d=2000,t=north,again=1\r\n")).receive_line(), client)
    });
    let (_, _client) =
        again.take(1000).find(|(answer, _)| answer == "UP 1").expect("the team obtains its contract");
    assert_eq!(
        xmpp_clients[0].send_text("<presence></presence>").receive_until("</presence>"),
        "<presence></presence>"
    );
    drop(reports);
}

/// Starts a server that reports each stream, answers it with its own opening only after a signal on the returned sender,
/// and then reports everything received after that.
fn delayed_server(report_sender: Sender<(&'static str, String)>) -> (SocketAddr, Sender<()>) {
    let (open_sender, open_signals) = channel::<()>();
    let open_signals = std::sync::Mutex::new(open_signals);
    let address = spawn_instance(move |mut peer| {
        peer.receive_until("version='1.0'");
        peer.receive_until(">");
        let _ = report_sender.send(("slow", "came".into()));
        if open_signals.lock().unwrap().recv().is_ok() {
            let _ = peer.stream.write_all(format!("{OPENING}{FEATURES}").as_bytes());
            let _ = report_sender.send(("slow", peer.receive_rest()));
        }
    });
    (address, open_sender)
}

/// Guards against a login sent to a server that began to drain while its stream was being opened.
#[test]
fn a_login_is_not_sent_to_a_server_that_began_to_drain_while_its_stream_was_opened() {
    let (report_sender, reports) = channel();
    let (address, open_sender) = delayed_server(report_sender);
    let discovery = Discovery::without_updates();
    let list = [list_entry("s-00000001", address, "ready")];
    let operator = operator_file(&[("s-00000001", address)], "");
    let balancer = Balancer::start(&discovery, &list, Some(&operator));
    discovery.next_request();
    let mut client = log_in(&balancer, "ana");
    assert_eq!(reports.recv().unwrap().1, "came");
    discovery.push(&watch_line(2, &[list_entry("s-00000001", address, "draining")]));
    balancer.wait_for_log("is draining");
    open_sender.send(()).unwrap();
    assert!(!reports.recv().unwrap().1.contains("<auth"));
    client.receive_until("temporary-auth-failure");
}

/// Guards against a login sent for a client that disconnected in the same event loop iteration in which the server's
/// stream opened.
#[test]
fn a_login_whose_client_has_disconnected_is_not_sent() {
    let (report_sender, reports) = channel();
    let (address, open_sender) = delayed_server(report_sender);
    let list = [list_entry("s-00000001", address, "ready")];
    let operator = operator_file(&[("s-00000001", address)], "");
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    let client = log_in(&balancer, "ana");
    assert_eq!(reports.recv().unwrap().1, "came");
    balancer.signal("-STOP");
    // Not only dropped: a process that another test is just starting holds a copy of the descriptor for a moment.
    client.stream.shutdown(std::net::Shutdown::Both).unwrap();
    open_sender.send(()).unwrap();
    // Gives loopback time to deliver the close and the server's opening, so that the resumed process finds both.
    std::thread::sleep(Duration::from_millis(20));
    balancer.signal("-CONT");
    assert!(!reports.recv().unwrap().1.contains("<auth"));
}

/// A client that sends more than is kept behind its log-in could not be seen to close: it is answered at once and not sent
/// on.
#[test]
fn a_login_followed_by_more_than_is_kept_is_not_sent() {
    let (report_sender, reports) = channel();
    let (address, open_sender) = delayed_server(report_sender);
    let list = [list_entry("s-00000001", address, "ready")];
    let operator = operator_file(&[("s-00000001", address)], "max_stanza = 10000");
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    let mut client = log_in(&balancer, "ana");
    assert_eq!(reports.recv().unwrap().1, "came");
    client.send_text(&"<presence/>".repeat(10_000));
    let answer = client.receive_rest();
    assert!(answer.contains("spoke out of turn"), "{answer}");
    open_sender.send(()).unwrap();
    let received = reports.recv().unwrap().1;
    assert!(!received.contains("<auth"), "{received}");
}

/// Where in a log-in a server ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LoginStage {
    /// It reads, and never opens its stream.
    Silent,
    BeforeCredentials,
    AfterCredentials,
}

/// Starts a server that reports each log-in that it has received whole. The first log-in at any server with the same
/// `is_first` ends with `ending` and the end of the connection; the others succeed.
fn server_ending_first_login(
    stage: LoginStage,
    ending: &str,
    is_first: &Arc<AtomicBool>,
    logins: Sender<()>,
) -> SocketAddr {
    let (ending, is_first) = (ending.to_string(), is_first.clone());
    spawn_instance(move |mut peer| {
        peer.receive_until("version='1.0'");
        peer.receive_until(">");
        if stage == LoginStage::Silent && is_first.swap(false, Ordering::Relaxed) {
            peer.receive_rest();
            return;
        }
        peer.send_text(OPENING);
        if stage == LoginStage::BeforeCredentials && is_first.swap(false, Ordering::Relaxed) {
            peer.send_text(&ending);
            return;
        }
        peer.send_text(FEATURES).receive_until("</auth>");
        let _ = logins.send(());
        if stage == LoginStage::AfterCredentials && is_first.swap(false, Ordering::Relaxed) {
            peer.send_text(&ending);
            return;
        }
        peer.send_text(SUCCESS).receive_rest();
    })
}

/// Logs in at a balancer with two servers, of which the first that is tried ends the log-in so. Returns the number of
/// log-ins that the servers received whole, and the client's answer.
fn log_in_with_first_ended(stage: LoginStage, ending: &str, effect: &str) -> (usize, String) {
    let (login_sender, logins) = channel();
    let is_first = Arc::new(AtomicBool::new(true));
    let server = || server_ending_first_login(stage, ending, &is_first, login_sender.clone());
    let instances = [("s-00000001", server()), ("s-00000002", server())];
    let list = instances.map(|(name, _)| list_entry(name, closed_address(), "ready"));
    let settings = SETTINGS.replace("\"free\"", &format!("\"{effect}\""));
    let operator = operator_file(&instances, "");
    let discovery = Discovery::without_updates();
    let balancer = Balancer::start_with(&discovery, &list, Some(&operator), &settings, "text");
    let mut client = log_in(&balancer, "ana");
    let answer = client.receive_until(">");
    let answer = if answer == SUCCESS { answer } else { answer + &client.receive_rest() };
    (logins.try_iter().count(), answer)
}

fn stream_error(condition: &str) -> String {
    format!(
        "<stream:error><{condition} xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error></stream:stream>"
    )
}

/// Once its credentials were sent a log-in may have run, whatever stream error the server ends it with: where the class
/// forbids repeats it must not be sent to a second server, and it still is where repeats are harmless.
#[test]
fn a_login_that_ends_after_its_credentials_is_repeated_only_where_repeats_are_allowed() {
    let conditions = ["system-shutdown", "see-other-host", "resource-constraint", "internal-server-error"];
    let endings = conditions.map(stream_error).into_iter().chain([
        String::new(),
        "</stream:stream>".into(),
        "<presence/>".into(),
    ]);
    for ending in endings {
        let (logins, answer) = log_in_with_first_ended(LoginStage::AfterCredentials, &ending, "single_shot");
        assert_eq!(logins, 1, "{ending:?}");
        assert!(answer.contains("remote-connection-failed"), "{ending:?}: {answer}");
        let (logins, answer) = log_in_with_first_ended(LoginStage::AfterCredentials, &ending, "free");
        assert_eq!((logins, answer.as_str()), (2, SUCCESS), "{ending:?}");
    }
    let rejection = failure("temporary-auth-failure");
    let (logins, answer) = log_in_with_first_ended(LoginStage::AfterCredentials, &rejection, "single_shot");
    assert_eq!((logins, answer.as_str()), (2, SUCCESS), "the server's answer says that it did not run");
}

/// A log-in whose credentials were not sent never ran, however the server ended it or kept silent: it is tried at the
/// next server in every class, and not failed.
#[test]
fn a_login_that_ends_before_its_credentials_is_tried_at_the_next_server_in_every_class() {
    let conditions = ["system-shutdown", "resource-constraint", "internal-server-error", "host-unknown"];
    let endings = conditions.map(stream_error).into_iter().chain([
        String::new(),
        "</stream:stream>".into(),
        "<presence/>".into(),
        SUCCESS.into(),
    ]);
    for ending in endings {
        let (logins, answer) = log_in_with_first_ended(LoginStage::BeforeCredentials, &ending, "single_shot");
        assert_eq!((logins, answer.as_str()), (1, SUCCESS), "{ending:?}");
    }
}

/// As above, for a server that never offers to log in: it is given up at the class's target for the set-up.
#[test]
fn a_login_at_a_server_that_never_opens_its_stream_is_tried_at_the_next_server_in_every_class() {
    let (logins, answer) = log_in_with_first_ended(LoginStage::Silent, "", "single_shot");
    assert_eq!((logins, answer.as_str()), (1, SUCCESS));
}
