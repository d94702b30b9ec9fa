//! Stories of daily operation: the door for operators and what can be asked there. The program itself between
//! scripted peers on loopback sockets.

mod peers;
use peers::*;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

fn echoing() -> Vec<String> {
    let (told, _) = channel();
    vec![list_entry("s-00000001", echo_instance("a", told), "ready")]
}

fn stand(balancer: &Balancer, id: &str) -> LineConnection {
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text(&format!("OPEN {id} 2 c=watch,d=2000\r\n")).receive_line(), "UP 1");
    client
}

/// Guards against a drain that holds a client, refuses one that arrives in its first moments, or cannot be taken
/// back; and against words out of their turn doing harm.
#[test]
fn a_drain_says_no_moves_all_who_stand_serves_who_comes_and_join_ends_it() {
    let balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echoing(), None);
    assert_eq!(balancer.admin_command("JOIN\r\n"), "200 ready\r\n", "without LEAVE it changes nothing");
    let mut kept = balancer.connect_client();
    assert_eq!(kept.send_text("PING\r\n").receive_line(), "PONG");
    let mut standing: Vec<LineConnection> = (0..50).map(|i| stand(&balancer, &format!("old-{i}"))).collect();
    for _ in 0..2 {
        assert_eq!(balancer.admin_command("LEAVE\r\n"), "200 draining\r\n");
    }
    assert!(balancer.admin_command("HEALTH\r\n").starts_with("400 "));
    assert_eq!(kept.send_text("PING\r\n").receive_line(), "NO");
    assert_eq!(balancer.connect_client().send_text("PING\r\n").receive_line(), "NO");
    standing.push(stand(&balancer, "late"));
    assert_eq!(kept.send_text("OPEN kept 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    standing.push(kept);
    let moved = |clients: &mut [LineConnection]| {
        for client in clients {
            assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("MOVE", "END"));
        }
    };
    // Somebody comes back in the middle of it: who was not asked by then stays.
    moved(&mut standing[..10]);
    assert_eq!(balancer.admin_command("JOIN\r\n"), "200 ready\r\n");
    assert_eq!(balancer.admin_command("HEALTH\r\n"), "200 ready\r\n");
    assert_eq!(balancer.connect_client().send_text("PING\r\n").receive_line(), "PONG");
    let last = standing.last_mut().unwrap();
    assert_eq!(last.send_text("still here\r\n").receive_line(), "still here");
    assert_eq!(balancer.admin_command("LEAVE\r\n"), "200 draining\r\n");
    moved(&mut standing[10..]);
    // One who comes when all should be gone is moved at once.
    let begun = Instant::now();
    moved(&mut [stand(&balancer, "last")]);
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    assert_eq!(balancer.admin_command("JOIN\r\n"), "200 ready\r\n");
    assert_eq!(stand(&balancer, "new").send_text("served\r\n").receive_line(), "served");
}

/// Guards against a program that comes back from SIGTERM, or that holds longer whom a drain had to move.
#[test]
fn sigterm_in_mid_drain_ends_it_in_time_and_join_is_refused() {
    let mut balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echoing(), None);
    let mut standing: Vec<LineConnection> = (0..20).map(|i| stand(&balancer, &format!("{i}"))).collect();
    balancer.admin_command("LEAVE\r\n");
    balancer.terminate();
    balancer.wait_for_log("leaving");
    assert!(balancer.admin_command("JOIN\r\n").starts_with("400 "));
    assert!(balancer.admin_command("HEALTH\r\n").starts_with("400 "));
    assert_eq!(balancer.admin_command("LEAVE\r\n"), "200 draining\r\n");
    for client in &mut standing {
        assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("MOVE", "END"));
    }
    balancer.wait_for_log("left with 0 connections in hand");
    while balancer.is_running() {
        std::thread::yield_now();
    }
}

/// Reads the figures until these lines are among them: what has just happened may be counted a moment later.
fn figures(balancer: &Balancer, wanted: &[&str]) {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let text = balancer.admin_command("DUMP\r\n");
        assert!(text.starts_with("200 ") && text.ends_with("\r\nEOF\r\n"), "{text}");
        let missing = wanted.iter().find(|line| !text.lines().any(|l| l == **line));
        match missing {
            None => return,
            Some(line) => assert!(Instant::now() < until, "{line} is not in {text}"),
        }
    }
}

/// Guards against a figure that is reconstructed: each is what clients and instances saw themselves.
#[test]
fn figures_are_what_clients_and_instances_counted() {
    let (told, heard) = channel();
    let one = || {
        let told = told.clone();
        spawn_instance(move |mut peer| {
            let first = peer.receive_line();
            let _ = told.send(());
            match first.split(' ').nth(1).unwrap().split('-').next().unwrap() {
                "full" => peer.send_text("BUSY\r\n"),
                "slow" => &mut peer,
                _ => peer.send_text("UP 1\r\n"),
            };
            if first.contains("moved") {
                peer.receive_line();
                peer.send_text("MOVE\r\n");
                return;
            }
            while !matches!(peer.receive_line().as_str(), "END" | "RESET") {}
        })
    };
    let list = [list_entry("s-00000001", one(), "ready"), list_entry("s-00000002", one(), "ready")];
    let discovery = Discovery::without_updates();
    let balancer = Balancer::start_with_admin(&discovery, &list, None);
    figures(&balancer, &["lb.completed.watch:0|c", "lb.pending:0|g", "lb.members:2|g"]);
    let ask = |id: &str| {
        let mut client = balancer.connect_client();
        client.send_text(&format!("OPEN {id} 2 c=watch,d=2000\r\n"));
        client
    };
    let standing: Vec<LineConnection> = (0..7).map(|i| ask(&format!("up-{i}"))).collect();
    let mut moved = ask("moved-1");
    assert_eq!(moved.receive_line(), "UP 1");
    assert_eq!(moved.send_text("go\r\n").receive_line(), "MOVE");
    // Refused after both were tried; one that speaks too early and one whose id is in use fail; and one leaves.
    for i in 0..3 {
        assert!(ask(&format!("full-{i}")).receive_line().starts_with("BUSY"));
    }
    let mut early = ask("slow-1");
    (0..15).for_each(|_| heard.recv().unwrap());
    assert_eq!(early.send_text("now\r\n").receive_line(), "ERR out of turn");
    assert_eq!(ask("up-1").receive_line(), "ERR id in use");
    drop(ask("slow-2"));
    figures(
        &balancer,
        &[
            "lb.completed.watch:8|c",
            "lb.rejected.watch:3|c",
            "lb.failed.watch:3|c",
            "lb.pending:7|g",
            "lb.members_unavailable:0|g",
        ],
    );
    let sent = 7 + 1 + 2 * 3 + 1;
    let text = balancer.admin_command("DUMP\r\n");
    let attempts = text.lines().find_map(|l| l.strip_prefix("lb.upstream_requests.watch:")).unwrap();
    let attempts: usize = attempts.strip_suffix("|c").unwrap().parse().unwrap();
    // Whoever left may have done so before it was sent anywhere.
    assert!((sent..=sent + 1).contains(&attempts), "{attempts}, and instances heard {sent} or one more");
    drop(standing);
    discovery.next_request();
    discovery.push(&watch_line(2, &[list_entry("s-00000001", closed_address(), "draining")]));
    figures(&balancer, &["lb.pending:0|g", "lb.members:2|g", "lb.members_unavailable:1|g"]);
    discovery.push(&watch_line(3, &[list_entry("s-00000001", closed_address(), "gone")]));
    figures(&balancer, &["lb.members:1|g", "lb.members_unavailable:0|g", "lb.completed.watch:8|c"]);
}

/// Guards against bad input that is obeyed, unanswered, or costs others anything.
#[test]
fn bad_calls_get_400_and_nothing_more() {
    let mut balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echoing(), None);
    let door = balancer.admin_address.unwrap();
    let long = format!("{}\r\n", "H".repeat(5000));
    for bad in ["\r\n", "leave\r\n", "LEAVE now\r\n", " LEAVE\r\n", "LEAVE\r\nJOIN\r\n", "\u{1}\r\n", &long] {
        let answer = balancer.admin_command(bad);
        assert!(answer.starts_with("400 ") && answer.lines().count() == 1, "{bad:.20?}: {answer:?}");
    }
    let mut bytes = LineConnection::connect(door);
    std::io::Write::write_all(&mut bytes.stream, b"\xff\xfe\r\n").unwrap();
    assert!(bytes.receive_rest().starts_with("400 "));
    // Half a line and its end, an end without a line, and half a line a byte at a time.
    let mut half = LineConnection::connect(door);
    half.send_text("LEA").stream.shutdown(Shutdown::Write).unwrap();
    assert!(half.receive_rest().starts_with("400 "));
    let mut none = LineConnection::connect(door);
    none.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(none.receive_rest(), "");
    let mut slow = LineConnection::connect(door);
    "HEALTH\r\n".chars().for_each(|c| {
        slow.send_text(&c.to_string());
    });
    assert_eq!(slow.receive_rest(), "200 ready\r\n", "nothing of all this took it out");
    assert!(balancer.is_running());
}

/// Guards against silent callers who shut the door for others, or take what clients need.
#[test]
fn a_thousand_silent_callers_and_a_full_lobby_keep_nobody_out() {
    let balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echoing(), None);
    let to = |address: SocketAddr, text: &'static str| {
        move |_| {
            let mut silent = LineConnection::connect(address);
            silent.send_text(text);
            silent
        }
    };
    let mut all: Vec<LineConnection> = (0..1000).map(to(balancer.admin_address.unwrap(), "HEAL")).collect();
    all.extend((0..300).map(to(balancer.line_address, "OPEN half")));
    for i in 0..50 {
        let begun = Instant::now();
        assert_eq!(balancer.admin_command("HEALTH\r\n"), "200 ready\r\n");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        stand(&balancer, &format!("{i}"));
    }
    // Who sat longest was told so and had to go.
    assert!(all[0].receive_rest().starts_with("BUSY") || all[0].receive_rest().is_empty());
}

/// Guards against a door that is somewhere else than said, and one that opens though nobody asked for it.
#[test]
fn an_address_that_is_none_or_taken_is_said_at_the_start() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::without_updates();
    for (address, message) in [
        ("somewhere".to_string(), "LB_ADMIN: \"somewhere\" is no address"),
        (taken.local_addr().unwrap().to_string(), "admin: cannot listen on"),
    ] {
        let dir = std::env::temp_dir().join(format!("oakdeal-{}-{}", std::process::id(), address.len()));
        std::fs::create_dir_all(&dir).unwrap();
        let config = dir.join("config.json");
        let list = watch_line(1, &echoing());
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","known":{list},"settings":{SETTINGS}}}"#,
            discovery.address
        );
        std::fs::write(&config, text).unwrap();
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_oakdeal"));
        let out = program.env("LB_CONFIG", &config).env("LB_ADMIN", &address).output().unwrap();
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.code() == Some(1) && error.contains(message), "{error}");
        std::fs::remove_dir_all(dir).unwrap();
    }
    let balancer = Balancer::start(&discovery, &echoing(), None);
    assert!(TcpStream::connect(balancer.line_address).is_ok());
    assert!(balancer.terminate_and_read_log().iter().all(|line| !line.contains("operators")));
}
