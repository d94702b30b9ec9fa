//! Stories of the line front: the program itself between scripted peers on loopback sockets.

mod peers;
use peers::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

#[test]
fn a_connection_is_placed_passed_on_unchanged_and_ended_as_its_instance_ends_it() {
    let (told, heard) = channel();
    let discovery = Discovery::without_updates();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let balancer = Balancer::start(&discovery, &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("PING\r\n").receive_line(), "PONG");
    assert_eq!(client.send_text("OPEN 1f 2e c=watch,d=2000,g=7,x=9\r\n").receive_line(), "UP 1");
    let (_, first) = heard.recv().unwrap();
    let left = first.strip_prefix("OPEN 1f 2e c=watch,d=").and_then(|s| s.strip_suffix(",g=7,x=9"));
    // What is really left, and no more than the try is waited for.
    assert!((1..=800).contains(&left.unwrap().parse::<u32>().unwrap()), "{first}");
    assert_eq!(client.send_text("one\r\ntwo\r\n").receive_line(), "one");
    assert_eq!(client.receive_line(), "two");
    assert_eq!(client.send_text("quit\r\n").receive_line(), "BYE");
    assert_eq!(client.receive_line(), "END");
}

/// Guards against a reader that takes a piece for a whole line, on any of the sockets.
#[test]
fn pieces_of_one_byte_mean_the_same_on_every_socket() {
    fn drip(peer: &mut LineConnection, text: &str) {
        text.chars().for_each(|c| {
            peer.send_text(&c.to_string());
            std::thread::yield_now();
        });
    }
    let (told, heard) = channel();
    let dripping = spawn_instance(move |mut peer| {
        let _ = told.send(peer.receive_line());
        drip(&mut peer, "UP 1\r\nLOAD 5\r\n");
        loop {
            match peer.receive_line().as_str() {
                "END" | "RESET" => return,
                line => drip(&mut peer, &format!("{line}\r\n")),
            }
        }
    });
    let discovery = Discovery::without_updates();
    let balancer = Balancer::start_with_admin(&discovery, &[], None);
    discovery.next_request();
    watch_line(2, &[list_entry("s-00000001", dripping, "ready")])
        .chars()
        .for_each(|c| discovery.push(&c.to_string()));
    balancer.wait_for_log("s-00000001 at");
    let mut client = balancer.connect_client();
    drip(&mut client, "PING\r\n");
    assert_eq!(client.receive_line(), "PONG");
    drip(&mut client, "OPEN 1f 2e c=watch,d=2000\r\n");
    assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("UP 1", "LOAD 5"));
    assert!(heard.recv().unwrap().starts_with("OPEN 1f 2e c=watch,d="));
    drip(&mut client, "one\r\n");
    assert_eq!(client.receive_line(), "one");
    let mut operator = LineConnection::connect(balancer.admin_address.unwrap());
    drip(&mut operator, "HEALTH\r\n");
    assert_eq!(operator.receive_rest(), "200 ready\r\n");
}

/// Guards against retries that overlap or go to one instance twice, and answers that are held back.
#[test]
fn what_is_refused_or_fails_goes_round_once_and_is_answered_at_once() {
    let (told, heard) = channel();
    let full = |name: &'static str, answer: &'static str| {
        let told = told.clone();
        spawn_instance(move |mut peer| {
            let _ = told.send((name, peer.receive_line()));
            peer.send_text(answer);
            peer.receive_line();
            let _ = told.send((name, "closed".into()));
        })
    };
    let list = [
        list_entry("s-00000001", full("a", "BUSY\r\n"), "ready"),
        list_entry("s-00000002", full("b", "ERR\r\n"), "ready"),
        list_entry("s-00000003", closed_address(), "ready"),
    ];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let since = Instant::now();
    let answer = balancer.connect_client().send_text("OPEN 1f 2e c=watch,d=2000\r\n").receive_line();
    let after: u64 = answer.strip_prefix("BUSY ").expect(&answer).parse().unwrap();
    assert!(after <= 2000 && since.elapsed() < Duration::from_millis(1500), "{answer}");
    let told: Vec<_> = (0..4).map(|_| heard.recv().unwrap()).collect();
    assert!(told[0].0 == told[1].0 && told[1].1 == "closed", "the first is closed before the next: {told:?}");
    assert_ne!(told[0].0, told[2].0);
}

#[test]
fn silent_instances_cost_their_tries_and_the_answer_comes_before_the_deadline() {
    let (told, heard) = channel();
    let silent = || {
        let told = told.clone();
        spawn_instance(move |mut peer| {
            let _ = told.send(());
            while !matches!(peer.receive_line().as_str(), "END" | "RESET") {}
        })
    };
    let list = [1, 2, 3, 4].map(|i| list_entry(&format!("s-0000000{i}"), silent(), "ready"));
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let since = Instant::now();
    let answer = balancer.connect_client().send_text("OPEN 1f 2e c=watch,d=1200\r\n").receive_line();
    assert!(answer.starts_with("BUSY") || answer.starts_with("ERR"), "{answer}");
    // Well before the class's own 2 s; a crowded machine may take longer than the 15 ms left to show it.
    assert!(since.elapsed() < Duration::from_millis(1700), "{:?}", since.elapsed());
    // One for its aim, one for what was left; a third at the deadline would be work for nothing.
    assert_eq!(heard.try_iter().count(), 2);
}

/// Guards against what cannot be read being served as if it had been, and against an error that is lost on its
/// way because its connection is reset with bytes unread.
#[test]
fn bad_first_lines_fail_for_their_sender_alone() {
    let (told, heard) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut usual = balancer.connect_client();
    assert_eq!(usual.send_text("OPEN usual 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
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
    assert_eq!(usual.send_text("still mine\r\n").receive_line(), "still mine");
    let came: Vec<String> = heard.try_iter().map(|(_, first)| first).collect();
    assert!(came.len() == 2 && came[1].starts_with("OPEN 5 "), "{came:?}");
    assert!(balancer.is_running());
}

/// Guards against what a client says out of turn reaching an instance, and its place there being kept.
#[test]
fn a_client_that_does_not_wait_for_its_answer_loses_its_claim_to_one() {
    let (told, heard) = channel();
    let slow = spawn_instance(move |mut peer| {
        let first = peer.receive_line();
        let _ = told.send(first);
        let _ = told.send(peer.receive_line());
    });
    let list = [list_entry("s-00000001", slow, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=2000\r\n");
    assert!(heard.recv().unwrap().starts_with("OPEN 1 2"));
    assert_eq!(client.send_text("OPEN 2 2 c=watch,d=2000\r\n").receive_line(), "ERR out of turn");
    assert_eq!(heard.recv().unwrap(), "END");
}

/// Guards against memory and time spent on a line without end.
#[test]
fn a_client_that_sends_without_end_is_told_and_cut_off() {
    let (told, _heard) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    let since = Instant::now();
    let block = vec![b'x'; 1 << 20];
    let sent = (0..60).take_while(|_| client.stream.write_all(&block).is_ok()).count();
    assert!(sent < 60, "all of it was taken");
    assert_eq!(client.receive_line(), "ERR a line of over 4 KiB");
    assert!(since.elapsed() < Duration::from_secs(3));
}

/// Guards against connections that say nothing, or drip, holding descriptors for as long as they like.
#[test]
fn hundreds_that_say_nothing_are_ended_soon_and_take_nothing_from_those_who_ask() {
    let (told, _heard) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let since = Instant::now();
    let mut drip = balancer.connect_client();
    let mut silent: Vec<LineConnection> = (0..DESCRIPTOR_LIMIT).map(|_| balancer.connect_client()).collect();
    for i in 0..20 {
        assert_eq!(
            balancer.connect_client().send_text(&format!("OPEN {i} 2 c=watch,d=2000\r\n")).receive_line(),
            "UP 1"
        );
    }
    // The first were called away to make room, the last have their time.
    assert_eq!(silent[0].receive_line(), "BUSY");
    assert_eq!(drip.receive_line(), "BUSY");
    let mut drip = balancer.connect_client();
    while drip.stream.write_all(b"O").is_ok() && since.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(silent.pop().unwrap().receive_line(), "END");
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
    let mut check = balancer.connect_client();
    assert_eq!(check.send_text("PING\r\n").receive_line(), "PONG");
    assert_eq!(check.send_text("PING\r\n").receive_line(), "PONG");
}

/// Guards against SIGHUP ending the process, a bad file taking effect, and a gap or an end of what is known
/// when discovery moves.
#[test]
fn a_new_configuration_moves_the_watch_and_touches_nothing_that_stands() {
    let (told, heard) = channel();
    let (a, b) = (echo_instance("a", told.clone()), echo_instance("b", told));
    let whole = watch_line(1, &[list_entry("s-00000002", b, "ready")]);
    let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
    let busy = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string();
    let old = Discovery::without_updates();
    let new = Discovery::new(vec![busy, list, CHUNKED_RESPONSE.to_string() + &http_chunk("\n")]);
    let mut balancer = Balancer::start(&old, &[list_entry("s-00000001", a, "ready")], None);
    assert!(old.next_request().ends_with("from=1 HTTP/1.1"));
    let mut stands = balancer.connect_client();
    assert_eq!(stands.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    balancer.reload_config(|text| text.replace("\"discovery\"", "\"no discovery\""));
    balancer.wait_for_log("configuration not taken over");
    let there = new.address.to_string();
    balancer.reload_config(|text| {
        let text = text.replace("\"no discovery\"", "\"discovery\"").replace("\"n0\"", "\"n9\"");
        text.replace(&old.address.to_string(), &there)
    });
    balancer.wait_for_log(&format!("discovery is at {there}; ignored until the next start: name"));
    // What the old one knew does not count there: its versions are others. It is heard until the new one has
    // told the whole list.
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
    assert!(heard.try_iter().skip(1).all(|(name, _)| name == "b"), "the new list is the whole one");
    assert_eq!(stands.send_text("here\r\n").receive_line(), "here");
    assert!(new.requests.try_recv().is_err(), "the same address is not watched anew");
    balancer.terminate();
    balancer.signal("-HUP");
    assert_eq!(stands.receive_line(), "MOVE");
    assert!(balancer.is_running());
}

/// Guards against a watch that is given up after a failure, and against sends to what drains.
#[test]
fn discovery_may_fail_in_many_ways_and_is_asked_again_and_what_drains_gets_nothing_new() {
    let (told, heard) = channel();
    let (a, b) = (echo_instance("a", told.clone()), echo_instance("b", told));
    let discovery = Discovery::new(vec![
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into(),
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
        assert_eq!(heard.recv().unwrap().0, "b");
    }
}

#[test]
fn what_stood_before_goes_to_its_instance_and_nowhere_else() {
    let (told, heard) = channel();
    let (a, b) = (echo_instance("a", told.clone()), echo_instance("b", told));
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    for i in 0..6 {
        let open = format!("OPEN {i} {i} c=watch,d=4294967,g={i},at=s-00000002\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(heard.recv().unwrap().0, "b");
    }
}

/// Guards against ends that are not passed on the way they came, and lines lost behind them.
#[test]
fn a_client_that_ends_its_sending_still_gets_what_its_instance_has_to_say() {
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

/// Guards against descriptors used up by connections that ask nothing, which would then fail at instances.
#[test]
fn when_no_descriptors_are_left_clients_are_nacked_and_later_ones_served_again() {
    let (told, _heard) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let open = |i| {
        let mut client = balancer.connect_client();
        let answer = client.send_text(&format!("OPEN x{i} 2 c=watch,d=2000\r\n")).receive_line();
        (client, answer)
    };
    let mut stand = Vec::new();
    for i in 0.. {
        match open(i) {
            (client, answer) if answer == "UP 1" => stand.push(client),
            (_, answer) => {
                assert_eq!(answer, "BUSY");
                break;
            }
        }
    }
    assert!((DESCRIPTOR_LIMIT / 3..DESCRIPTOR_LIMIT / 2).contains(&stand.len()), "{}", stand.len());
    stand.clear();
    // It notices the ends in its own time.
    assert!((1000..2000).map(open).any(|(_, answer)| answer == "UP 1"));
}

/// Guards against connections cut off without `MOVE`, a `MOVE` within a line, and clients sent away while the
/// balancer that was restarted before is not let in again.
#[test]
fn at_the_end_clients_are_moved_between_two_lines_and_new_ones_still_answered() {
    let half = spawn_instance(|mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        peer.receive_line();
        peer.send_text("whole\r\nhal");
        peer.receive_line();
    });
    let list = [list_entry("s-00000001", half, "ready")];
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(client.send_text("go\r\n").receive_line(), "whole");
    let since = Instant::now();
    balancer.terminate();
    balancer.wait_for_log("leaving");
    let mut new = balancer.connect_client();
    assert_eq!(new.send_text("OPEN 3 4 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(client.receive_line(), "MOVE");
    assert_eq!(client.receive_line(), "END");
    assert_eq!(new.receive_line(), "MOVE");
    // The longest deadline is 2 s, and SIGKILL comes 0.7 s after it.
    assert!((1_000..2_400).contains(&since.elapsed().as_millis()), "{:?}", since.elapsed());
    balancer.wait_for_log("left with 0 connections");
    while balancer.is_running() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against connections held to an instance that no longer does its work, and lines held back.
#[test]
fn an_instance_that_breaks_or_brings_nothing_back_is_left() {
    let broken = spawn_instance(|mut peer| {
        let first = peer.receive_line();
        peer.send_text("UP 1\r\n");
        match first.contains("g=break") {
            true => drop(peer.receive_line()),
            // Reads and says nothing.
            false => while !matches!(peer.receive_line().as_str(), "END" | "RESET") {},
        }
    });
    let list = [list_entry("s-00000001", broken, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut silent = balancer.connect_client();
    assert_eq!(silent.send_text("OPEN 1 2 c=watch,d=2000,g=silent\r\n").receive_line(), "UP 1");
    silent.send_text("hello\r\n");
    let since = Instant::now();
    let mut breaks = balancer.connect_client();
    assert_eq!(breaks.send_text("OPEN 3 4 c=watch,d=2000,g=break\r\n").receive_line(), "UP 1");
    breaks.send_text("hello\r\n");
    assert!(matches!(breaks.receive_line().as_str(), "END" | "RESET"));
    assert!(since.elapsed() < Duration::from_secs(1));
    assert_eq!(silent.receive_line(), "MOVE");
    // It may have stopped two seconds before the client spoke.
    assert!(since.elapsed() < Duration::from_secs(5));
}

/// Guards against a sound instance being left for one connection that has stopped, and against that one being
/// waited for as if nobody could know.
#[test]
fn a_connection_that_alone_has_stopped_is_moved_and_the_others_stay() {
    let (told, heard) = channel();
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
        let _ = told.send(stops);
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
    let since = Instant::now();
    clients[0].send_text("anybody\r\n");
    for _ in 0..5 {
        for client in &mut clients[1..] {
            assert_eq!(client.send_text("here\r\n").receive_line(), "here");
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(clients[0].receive_line(), "MOVE");
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
    assert!(heard.recv().unwrap(), "it alone was ended");
    assert!(heard.try_recv().is_err());
}

/// Guards against an instance whose messages are late being taken for one with little load: it tells both in
/// the same words.
#[test]
fn an_instance_that_tells_of_slow_messages_loses_connections() {
    let (told, heard) = channel();
    let slow: Arc<OnceLock<&str>> = Arc::default();
    let script = |name: &'static str| {
        let (told, slow) = (told.clone(), slow.clone());
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
            let _ = told.send(name);
        })
    };
    let list =
        [list_entry("s-00000001", script("a"), "ready"), list_entry("s-00000002", script("b"), "ready")];
    let aims = "\"FamilyInfo\":{\"MessageAimMs\":[150.0],\"TellsDelay\":true},\"Classes\"";
    let settings = SETTINGS.replace("\"Classes\"", aims);
    let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
    let stand = |i| {
        let mut client = balancer.connect_client();
        assert_eq!(client.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g=7\r\n")).receive_line(), "UP 1");
        client
    };
    let _clients: Vec<LineConnection> = (0..8).map(stand).collect();
    assert_eq!(heard.recv_timeout(Duration::from_secs(10)).unwrap(), *slow.get().unwrap());
}

/// Guards against memory that grows with a client that does not read.
#[test]
fn a_client_that_does_not_read_holds_its_instance_back_and_loses_nothing() {
    const LINES: usize = 20_000;
    let (told, heard) = channel();
    let flood = spawn_instance(move |mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        let line = format!("{}\r\n", "x".repeat(1000));
        for _ in 0..LINES {
            if peer.stream.write_all(line.as_bytes()).is_err() {
                return;
            }
        }
        let _ = told.send(());
        peer.send_text("BYE\r\n");
    });
    let list = [list_entry("s-00000001", flood, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert!(heard.recv_timeout(Duration::from_millis(300)).is_err(), "20 MB fit in no buffer");
    let all = client.receive_rest();
    assert_eq!(all.lines().filter(|line| line.len() == 1000).count(), LINES);
    assert!(all.ends_with("BYE\r\n"));
}

/// Guards against a balancer of a large fleet that waits its turn among all others, and sends to what has drained meanwhile, though
/// only its own watch fell silent: discovery that goes down ends its watches.
#[test]
fn a_watch_that_falls_silent_is_had_again_at_once() {
    let discovery = Discovery::without_updates();
    let settings = SETTINGS.replace("\"PeersTotal\":1", "\"PeersTotal\":300");
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let _balancer = Balancer::start_with(&discovery, &list, None, &settings, "text");
    assert!(discovery.next_request().contains("watch=1&from=1"));
    let begun = Instant::now();
    assert!(discovery.next_request().contains("watch=1&from=1"));
    let took = begun.elapsed();
    assert!(took > Duration::from_secs(4) && took < Duration::from_millis(5_500), "{took:?}");
}
