//! End-to-end tests of the line protocol: the balancer process between scripted clients, instances and discovery on
//! loopback sockets.

mod peers;
use peers::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

#[test]
fn a_connection_is_placed_relayed_unchanged_and_closed_when_its_instance_closes_it() {
    let (report_sender, reports) = channel();
    let discovery = Discovery::without_updates();
    let list = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let balancer = Balancer::start(&discovery, &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("PING\r\n").receive_line(), "PONG");
    assert_eq!(client.send_text("OPEN 1f 2e c=watch,d=2000,g=7,x=9\r\n").receive_line(), "UP 1");
    let (_, first) = reports.recv().unwrap();
    let deadline_ms = first.strip_prefix("OPEN 1f 2e c=watch,d=").and_then(|s| s.strip_suffix(",g=7,x=9"));
    // The deadline sent is the time that remains, limited to the timeout of the attempt (AimMs).
    assert!((1..=800).contains(&deadline_ms.unwrap().parse::<u32>().unwrap()), "{first}");
    assert_eq!(client.send_text("one\r\ntwo\r\n").receive_line(), "one");
    assert_eq!(client.receive_line(), "two");
    assert_eq!(client.send_text("quit\r\n").receive_line(), "BYE");
    assert_eq!(client.receive_line(), "END");
}

/// Guards against a reader that takes a partial read for a whole line, on any of the sockets.
#[test]
fn input_sent_byte_by_byte_is_parsed_like_whole_lines_on_every_socket() {
    fn send_bytewise(peer: &mut LineConnection, text: &str) {
        text.chars().for_each(|c| {
            peer.send_text(&c.to_string());
            std::thread::yield_now();
        });
    }
    let (report_sender, reports) = channel();
    let bytewise_instance = spawn_instance(move |mut peer| {
        let _ = report_sender.send(peer.receive_line());
        send_bytewise(&mut peer, "UP 1\r\nLOAD 5\r\n");
        loop {
            match peer.receive_line().as_str() {
                "END" | "RESET" => return,
                line => send_bytewise(&mut peer, &format!("{line}\r\n")),
            }
        }
    });
    let discovery = Discovery::without_updates();
    let balancer = Balancer::start_with_admin(&discovery, &[], None);
    discovery.next_request();
    watch_line(2, &[list_entry("s-00000001", bytewise_instance, "ready")])
        .chars()
        .for_each(|c| discovery.push(&c.to_string()));
    balancer.wait_for_log("s-00000001 at");
    let mut client = balancer.connect_client();
    send_bytewise(&mut client, "PING\r\n");
    assert_eq!(client.receive_line(), "PONG");
    send_bytewise(&mut client, "OPEN 1f 2e c=watch,d=2000\r\n");
    assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("UP 1", "LOAD 5"));
    assert!(reports.recv().unwrap().starts_with("OPEN 1f 2e c=watch,d="));
    send_bytewise(&mut client, "one\r\n");
    assert_eq!(client.receive_line(), "one");
    let mut operator = LineConnection::connect(balancer.admin_address.unwrap());
    send_bytewise(&mut operator, "HEALTH\r\n");
    assert_eq!(operator.receive_rest(), "200 ready\r\n");
}

/// Guards against retries that overlap, a second attempt at the same instance, and delayed answers.
#[test]
fn a_rejected_or_failed_command_is_tried_once_per_instance_and_answered_at_once() {
    let (report_sender, reports) = channel();
    let rejecting_instance = |name: &'static str, answer: &'static str| {
        let report_sender = report_sender.clone();
        spawn_instance(move |mut peer| {
            let _ = report_sender.send((name, peer.receive_line()));
            peer.send_text(answer);
            peer.receive_line();
            let _ = report_sender.send((name, "closed".into()));
        })
    };
    let list = [
        list_entry("s-00000001", rejecting_instance("a", "BUSY\r\n"), "ready"),
        list_entry("s-00000002", rejecting_instance("b", "ERR\r\n"), "ready"),
        list_entry("s-00000003", closed_address(), "ready"),
    ];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let started = Instant::now();
    let answer = balancer.connect_client().send_text("OPEN 1f 2e c=watch,d=2000\r\n").receive_line();
    let retry_after_ms: u64 = answer.strip_prefix("BUSY ").expect(&answer).parse().unwrap();
    assert!(retry_after_ms <= 2000 && started.elapsed() < Duration::from_millis(1500), "{answer}");
    let received: Vec<_> = (0..4).map(|_| reports.recv().unwrap()).collect();
    assert!(
        received[0].0 == received[1].0 && received[1].1 == "closed",
        "the first connection is closed before the next: {received:?}"
    );
    assert_ne!(received[0].0, received[2].0);
}

#[test]
fn silent_instances_use_up_their_attempts_and_the_client_is_answered_before_the_deadline() {
    let (report_sender, reports) = channel();
    let silent_instance = || {
        let report_sender = report_sender.clone();
        spawn_instance(move |mut peer| {
            let _ = report_sender.send(());
            while !matches!(peer.receive_line().as_str(), "END" | "RESET") {}
        })
    };
    let list = [1, 2, 3, 4].map(|i| list_entry(&format!("s-0000000{i}"), silent_instance(), "ready"));
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let started = Instant::now();
    let answer = balancer.connect_client().send_text("OPEN 1f 2e c=watch,d=1200\r\n").receive_line();
    assert!(answer.starts_with("BUSY") || answer.starts_with("ERR"), "{answer}");
    // Well before the 2 s deadline of the class. The margin allows for a loaded machine that needs more than the 15 ms
    // kept for the answer.
    assert!(started.elapsed() < Duration::from_millis(1700), "{:?}", started.elapsed());
    // The first attempt lasts for the class's AimMs, the second for the remaining time; a third, at the deadline, would be
    // of no use.
    assert_eq!(reports.try_iter().count(), 2);
}

/// Guards against invalid first lines being served, and against an error answer that is lost because the connection
/// is reset while bytes are unread.
#[test]
fn invalid_first_lines_fail_only_for_their_sender() {
    let (report_sender, reports) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut valid = balancer.connect_client();
    assert_eq!(valid.send_text("OPEN usual 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    for bad in [
        "HELLO\r\n",
        "OPEN 1 2 c=nobody,d=9\r\n",
        "OPEN 1 2 c=watch\r\n",
        "OPEN 1 2 d=5,,\r\n",
        "OPEN  2 c=watch,d=9\r\n",
        "OPEN 2 c=watch,d=9\r\n",
        "OPEN 1 2 c=watch,d=-9\r\n",
        "OPEN 1 2 c=watch,d=soon\r\n",
        "OPEN 1 2 c=watch,d=1e300\r\n",
        "OPEN 1 2 c=watch,d=99999999999\r\n",
        "OPEN 1 2 c=watch,d=9,d=2000\r\n",
        "OPEN 1 2 c=watch,d=2000,h=many\r\n",
        "OPEN usual 2 c=watch,d=2000\r\n",
        "OPEN 1 \u{0} c=watch,d=2000\r\n",
        "\u{1}\r\n",
        &"OPEN 1 2 c=watch,d=2000\r\n".repeat(300),
        &format!("OPEN 1 2 c=watch,d=9,x={}\r\n", "x".repeat(5000)),
    ] {
        let mut client = balancer.connect_client();
        let answer = client.send_text(bad).receive_line();
        assert!(answer.starts_with("ERR "), "{bad:.30}: {answer}");
        assert_eq!(client.receive_line(), "END", "{bad:.30}");
        balancer.wait_for_log("WARN");
    }
    balancer.connect_client().send_text("OPEN 1 2 c=wa");
    balancer.wait_for_log("half a line");
    assert_eq!(balancer.connect_client().send_text("OPEN 5 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(valid.send_text("still mine\r\n").receive_line(), "still mine");
    let received: Vec<String> = reports.try_iter().map(|(_, first)| first).collect();
    assert!(received.len() == 2 && received[1].starts_with("OPEN 5 "), "{received:?}");
    assert!(balancer.is_running());
}

/// Guards against lines sent before the answer reaching an instance, and against the attempt at the instance staying open
/// afterwards.
#[test]
fn a_client_that_sends_before_its_answer_gets_an_error_and_its_attempt_is_ended() {
    let (report_sender, reports) = channel();
    let slow = spawn_instance(move |mut peer| {
        let first = peer.receive_line();
        let _ = report_sender.send(first);
        let _ = report_sender.send(peer.receive_line());
    });
    let list = [list_entry("s-00000001", slow, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=2000\r\n");
    assert!(reports.recv().unwrap().starts_with("OPEN 1 2"));
    assert_eq!(client.send_text("OPEN 2 2 c=watch,d=2000\r\n").receive_line(), "ERR out of turn");
    assert_eq!(reports.recv().unwrap(), "END");
}

/// Guards against memory and time spent on a line that never ends.
#[test]
fn a_client_that_sends_an_endless_line_gets_an_error_and_is_disconnected() {
    let (report_sender, _reports) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    let started = Instant::now();
    let block = vec![b'x'; 1 << 20];
    let sent = (0..60).take_while(|_| client.stream.write_all(&block).is_ok()).count();
    assert!(sent < 60, "all 60 MiB were accepted");
    assert_eq!(client.receive_line(), "ERR a line of over 4 KiB");
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against silent connections, or ones that send single bytes, holding descriptors without limit.
#[test]
fn hundreds_of_silent_connections_are_closed_soon_and_do_not_hinder_other_clients() {
    let (report_sender, _reports) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let started = Instant::now();
    let mut slow = balancer.connect_client();
    let mut silent: Vec<LineConnection> = (0..DESCRIPTOR_LIMIT).map(|_| balancer.connect_client()).collect();
    for i in 0..20 {
        assert_eq!(
            balancer.connect_client().send_text(&format!("OPEN {i} 2 c=watch,d=2000\r\n")).receive_line(),
            "UP 1"
        );
    }
    // The oldest connections were closed to make room; the newest are kept until their timeout.
    assert_eq!(silent[0].receive_line(), "BUSY");
    assert_eq!(slow.receive_line(), "BUSY");
    let mut slow = balancer.connect_client();
    while slow.stream.write_all(b"O").is_ok() && started.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut newest = silent.pop().unwrap();
    assert_eq!((newest.receive_line().as_str(), newest.receive_line().as_str()), ("BUSY", "END"));
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    let mut pinging = balancer.connect_client();
    assert_eq!(pinging.send_text("PING\r\n").receive_line(), "PONG");
    assert_eq!(pinging.send_text("PING\r\n").receive_line(), "PONG");
}

/// Guards against SIGHUP ending the process, an invalid file taking effect, and the loss of known instances while the
/// discovery address changes.
#[test]
fn a_new_configuration_moves_the_watch_and_keeps_established_connections() {
    let (report_sender, reports) = channel();
    let (a, b) = (echo_instance("a", report_sender.clone()), echo_instance("b", report_sender));
    let full_list = watch_line(1, &[list_entry("s-00000002", b, "ready")]);
    let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{full_list}", full_list.len());
    let old = Discovery::without_updates();
    let new = Discovery::new(vec![
        UNAVAILABLE_RESPONSE.into(),
        list,
        CHUNKED_RESPONSE.to_string() + &http_chunk("\n"),
    ]);
    let mut balancer = Balancer::start(&old, &[list_entry("s-00000001", a, "ready")], None);
    assert!(old.next_request().ends_with("from=1 HTTP/1.1"));
    let mut established = balancer.connect_client();
    assert_eq!(established.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    balancer.reload_config(|text| text.replace("\"discovery\"", "\"no discovery\""));
    balancer.wait_for_log("configuration rejected, the previous one stays in force");
    let new_address = new.address.to_string();
    balancer.reload_config(|text| {
        let text = text.replace("\"no discovery\"", "\"discovery\"").replace("\"n0\"", "\"n9\"");
        text.replace(&old.address.to_string(), &new_address)
    });
    balancer.wait_for_log(&format!("discovery is at {new_address}; ignored until the next start: name"));
    // List versions of the old server are not comparable with those of the new one. Its updates apply until the new
    // server has sent the full list.
    assert_eq!(new.next_request(), "GET /catalog/members HTTP/1.1");
    old.push(&watch_line(2, &[list_entry("s-00000003", b, "draining")]));
    balancer.wait_for_log("s-00000003");
    assert_eq!(new.next_request(), "GET /catalog/members HTTP/1.1");
    balancer.wait_for_log("s-00000001 is no longer listed");
    assert_eq!(new.next_request(), "GET /catalog/members?watch=1&from=1 HTTP/1.1");
    balancer.reload_config(|text| text);
    balancer.signal("-HUP");
    balancer.wait_for_log("configuration read again");
    for i in 2..8 {
        assert_eq!(
            balancer.connect_client().send_text(&format!("OPEN {i} {i} c=watch,d=2000\r\n")).receive_line(),
            "UP 1"
        );
    }
    assert!(reports.try_iter().skip(1).all(|(name, _)| name == "b"), "the new list replaces the old one");
    assert_eq!(established.send_text("here\r\n").receive_line(), "here");
    assert!(new.requests.try_recv().is_err(), "the same address is not watched again");
    balancer.terminate();
    balancer.signal("-HUP");
    assert_eq!(established.receive_line(), "MOVE");
    assert!(balancer.is_running());
}

/// Guards against a watch that is not retried after a failure, and against new connections to a draining instance.
#[test]
fn discovery_is_retried_after_each_kind_of_failure_and_draining_instances_get_no_new_connections() {
    let (report_sender, reports) = channel();
    let (a, b) = (echo_instance("a", report_sender.clone()), echo_instance("b", report_sender));
    let discovery = Discovery::new(vec![
        UNAVAILABLE_RESPONSE.into(),
        "junk\r\n\r\n".into(),
        CHUNKED_RESPONSE.to_string() + &http_chunk("{\"index\":\n"),
        CHUNKED_RESPONSE.to_string() + &http_chunk("\n"),
    ]);
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let balancer = Balancer::start(&discovery, &list, None);
    for _ in 0..4 {
        assert_eq!(discovery.next_request(), "GET /catalog/members?watch=1&from=1 HTTP/1.1");
    }
    discovery.push(&watch_line(2, &[list_entry("s-00000001", a, "draining")]));
    balancer.wait_for_log("s-00000001");
    discovery.push(&watch_line(1, &[list_entry("s-00000001", a, "ready")]));
    balancer.wait_for_log("version 1 of the list came after 2");
    for i in 0..8 {
        let open = format!("OPEN {i} {i} c=watch,d=2000,g=g{i}\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(reports.recv().unwrap().0, "b");
    }
}

#[test]
fn a_connection_that_names_its_earlier_instance_goes_only_there() {
    let (report_sender, reports) = channel();
    let (a, b) = (echo_instance("a", report_sender.clone()), echo_instance("b", report_sender));
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    for i in 0..6 {
        let open = format!("OPEN {i} {i} c=watch,d=4294967,g={i},at=s-00000002\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(reports.recv().unwrap().0, "b");
    }
}

/// Guards against a half-close that is not relayed as a half-close, and against lines lost after it.
#[test]
fn a_client_that_half_closes_still_receives_the_lines_of_its_instance() {
    let late = spawn_instance(|mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        assert_eq!(peer.receive_line(), "last");
        assert_eq!(peer.receive_line(), "END");
        peer.send_text("last\r\nBYE\r\n");
    });
    let list = [list_entry("s-00000001", late, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    client.send_text("last\r\n").stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(client.receive_rest(), "last\r\nBYE\r\n");
}

/// Guards against client connections that use up the descriptors needed for connections to instances.
#[test]
fn clients_are_nacked_while_no_descriptors_are_left_and_served_again_afterwards() {
    let (report_sender, _reports) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let open = |i| {
        let mut client = balancer.connect_client();
        let answer = client.send_text(&format!("OPEN x{i} 2 c=watch,d=2000\r\n")).receive_line();
        (client, answer)
    };
    let mut established = Vec::new();
    for i in 0.. {
        match open(i) {
            (client, answer) if answer == "UP 1" => established.push(client),
            (_, answer) => {
                assert_eq!(answer, "BUSY");
                break;
            }
        }
    }
    assert!(
        (DESCRIPTOR_LIMIT / 3..DESCRIPTOR_LIMIT / 2).contains(&established.len()),
        "{}",
        established.len()
    );
    established.clear();
    // The balancer notices the closed connections only after a while.
    assert!((1000..2000).map(open).any(|(_, answer)| answer == "UP 1"));
}

/// Guards against connections closed without `MOVE`, a `MOVE` inside a line, and clients moved away while the
/// balancer that was restarted before this one is not yet admitted again.
#[test]
fn at_shutdown_clients_are_moved_between_two_lines_and_new_ones_are_still_answered() {
    let partial_line = spawn_instance(|mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        peer.receive_line();
        peer.send_text("whole\r\nhal");
        peer.receive_line();
    });
    let list = [list_entry("s-00000001", partial_line, "ready")];
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(client.send_text("go\r\n").receive_line(), "whole");
    let started = Instant::now();
    balancer.terminate();
    balancer.wait_for_log("leaving");
    let mut new = balancer.connect_client();
    assert_eq!(new.send_text("OPEN 3 4 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(client.receive_line(), "MOVE");
    assert_eq!(client.receive_line(), "END");
    assert_eq!(new.receive_line(), "MOVE");
    // The longest deadline is 2 s, and SIGKILL comes 0.7 s after it.
    assert!((1_000..2_400).contains(&started.elapsed().as_millis()), "{:?}", started.elapsed());
    balancer.wait_for_log("left with 0 connections");
    while balancer.is_running() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against connections kept at an instance that no longer answers, and against a delayed close.
#[test]
fn connections_to_an_instance_that_breaks_or_stops_answering_are_ended_or_moved() {
    let broken = spawn_instance(|mut peer| {
        let first = peer.receive_line();
        peer.send_text("UP 1\r\n");
        match first.contains("g=break") {
            true => drop(peer.receive_line()),
            // Reads and does not answer.
            false => while !matches!(peer.receive_line().as_str(), "END" | "RESET") {},
        }
    });
    let list = [list_entry("s-00000001", broken, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut silent = balancer.connect_client();
    assert_eq!(silent.send_text("OPEN 1 2 c=watch,d=2000,g=silent\r\n").receive_line(), "UP 1");
    silent.send_text("hello\r\n");
    let started = Instant::now();
    let mut breaks = balancer.connect_client();
    assert_eq!(breaks.send_text("OPEN 3 4 c=watch,d=2000,g=break\r\n").receive_line(), "UP 1");
    breaks.send_text("hello\r\n");
    assert!(matches!(breaks.receive_line().as_str(), "END" | "RESET"));
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(silent.receive_line(), "MOVE");
    // The instance may have stopped two seconds before the client sent its line.
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// Guards against moving all connections of a healthy instance because one has stopped, and against waiting too long
/// for that one.
#[test]
fn a_single_stopped_connection_is_moved_and_the_others_stay() {
    let (report_sender, reports) = channel();
    let mixed = spawn_instance(move |mut peer| {
        let stops = peer.receive_line().starts_with("OPEN 0 ");
        peer.send_text("UP 1\r\n");
        loop {
            match peer.receive_line() {
                end if matches!(end.as_str(), "END" | "RESET") => break,
                line if !stops => drop(peer.send_text(&format!("{line}\r\n"))),
                _ => {}
            }
        }
        let _ = report_sender.send(stops);
    });
    let list =
        [list_entry("s-00000001", mixed, "ready"), list_entry("s-00000002", closed_address(), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let open = |i| {
        let mut client = balancer.connect_client();
        assert_eq!(client.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g=7\r\n")).receive_line(), "UP 1");
        client
    };
    let mut clients: Vec<LineConnection> = (0..6).map(open).collect();
    let started = Instant::now();
    clients[0].send_text("anybody\r\n");
    for _ in 0..5 {
        for client in &mut clients[1..] {
            assert_eq!(client.send_text("here\r\n").receive_line(), "here");
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(clients[0].receive_line(), "MOVE");
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    assert!(reports.recv().unwrap(), "only the stopped connection was ended");
    assert!(reports.try_recv().is_err());
}

/// Guards against an instance with delayed messages being taken for one with little load: both are reported by `LOAD`
/// lines.
#[test]
fn an_instance_that_reports_slow_messages_loses_connections() {
    let (report_sender, reports) = channel();
    let slow: Arc<OnceLock<&str>> = Arc::default();
    let script = |name: &'static str| {
        let (report_sender, slow) = (report_sender.clone(), slow.clone());
        spawn_instance(move |mut peer| {
            let first = peer.receive_line();
            peer.send_text("UP 1\r\nLOAD 40000.000\r\n");
            let is_slow = *slow.get_or_init(|| name) == name;
            if is_slow && first.starts_with("OPEN 0 ") {
                // Once a second, on one connection.
                while peer.stream.write_all(b"LOAD 900.000\r\n").is_ok() {
                    std::thread::sleep(Duration::from_secs(1));
                }
            }
            peer.receive_line();
            let _ = report_sender.send(name);
        })
    };
    let list =
        [list_entry("s-00000001", script("a"), "ready"), list_entry("s-00000002", script("b"), "ready")];
    let aims = "\"FamilyInfo\":{\"MessageAimMs\":[150.0],\"TellsDelay\":true},\"Classes\"";
    let settings = SETTINGS.replace("\"Classes\"", aims);
    let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
    let establish = |i| {
        let mut client = balancer.connect_client();
        assert_eq!(client.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g=7\r\n")).receive_line(), "UP 1");
        client
    };
    let _clients: Vec<LineConnection> = (0..8).map(establish).collect();
    assert_eq!(reports.recv_timeout(Duration::from_secs(10)).unwrap(), *slow.get().unwrap());
}

/// Guards against memory that grows while a client does not read.
#[test]
fn a_client_that_does_not_read_slows_its_instance_down_and_loses_nothing() {
    const LINES: usize = 20_000;
    let (report_sender, reports) = channel();
    let flood = spawn_instance(move |mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        let line = format!("{}\r\n", "x".repeat(1000));
        for _ in 0..LINES {
            if peer.stream.write_all(line.as_bytes()).is_err() {
                return;
            }
        }
        let _ = report_sender.send(());
        peer.send_text("BYE\r\n");
    });
    let list = [list_entry("s-00000001", flood, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert!(
        reports.recv_timeout(Duration::from_millis(300)).is_err(),
        "20 MB exceed every buffer on the way"
    );
    let all = client.receive_rest();
    assert_eq!(all.lines().filter(|line| line.len() == 1000).count(), LINES);
    assert!(all.ends_with("BYE\r\n"));
}

/// Guards against a balancer of a large fleet that spreads its reconnection over the whole fleet's interval, and meanwhile
/// sends to drained instances, although only its own watch is silent. A discovery server that goes down closes its
/// watches.
#[test]
fn a_silent_watch_is_reopened_at_once() {
    let discovery = Discovery::without_updates();
    let settings = SETTINGS.replace("\"PeersTotal\":1", "\"PeersTotal\":300");
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let _balancer = Balancer::start_with(&discovery, &list, None, &settings, "text");
    assert!(discovery.next_request().contains("watch=1&from=1"));
    let started = Instant::now();
    assert!(discovery.next_request().contains("watch=1&from=1"));
    let elapsed = started.elapsed();
    assert!(elapsed > Duration::from_secs(4) && elapsed < Duration::from_millis(5_500), "{elapsed:?}");
}
