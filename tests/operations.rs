//! End-to-end tests of the admin endpoint: drain, health checks and metrics. The balancer process runs between scripted
//! peers on loopback sockets.

mod peers;
use peers::*;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

fn echo_instances() -> Vec<String> {
    let (report_sender, _) = channel();
    vec![list_entry("s-00000001", echo_instance("a", report_sender), "ready")]
}

fn establish(balancer: &Balancer, id: &str) -> LineConnection {
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text(&format!("OPEN {id} 2 c=watch,d=2000\r\n")).receive_line(), "UP 1");
    client
}

/// Guards against a drain that keeps a client, rejects one that arrives in its first moments, or cannot be cancelled;
/// and against harm from commands that arrive in an unexpected order.
#[test]
fn a_drain_answers_no_moves_established_clients_serves_new_ones_and_is_ended_by_join() {
    let balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echo_instances(), None);
    assert_eq!(
        balancer.admin_command("JOIN\r\n"),
        "200 ready\r\n",
        "without a preceding LEAVE, JOIN changes nothing"
    );
    let mut kept = balancer.connect_client();
    assert_eq!(kept.send_text("PING\r\n").receive_line(), "PONG");
    let mut established: Vec<LineConnection> =
        (0..50).map(|i| establish(&balancer, &format!("old-{i}"))).collect();
    for _ in 0..2 {
        assert_eq!(balancer.admin_command("LEAVE\r\n"), "200 draining\r\n");
    }
    assert!(balancer.admin_command("HEALTH\r\n").starts_with("400 "));
    assert_eq!(kept.send_text("PING\r\n").receive_line(), "NO");
    assert_eq!(balancer.connect_client().send_text("PING\r\n").receive_line(), "NO");
    established.push(establish(&balancer, "late"));
    assert_eq!(kept.send_text("OPEN kept 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    established.push(kept);
    let expect_moved = |clients: &mut [LineConnection]| {
        for client in clients {
            assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("MOVE", "END"));
        }
    };
    // JOIN during the drain: clients that have not been moved by then stay.
    expect_moved(&mut established[..10]);
    assert_eq!(balancer.admin_command("JOIN\r\n"), "200 ready\r\n");
    assert_eq!(balancer.admin_command("HEALTH\r\n"), "200 ready\r\n");
    assert_eq!(balancer.connect_client().send_text("PING\r\n").receive_line(), "PONG");
    let last = established.last_mut().unwrap();
    assert_eq!(last.send_text("still here\r\n").receive_line(), "still here");
    assert_eq!(balancer.admin_command("LEAVE\r\n"), "200 draining\r\n");
    expect_moved(&mut established[10..]);
    // A client that arrives after the end of the drain time is moved at once.
    let started = Instant::now();
    expect_moved(&mut [establish(&balancer, "last")]);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert_eq!(balancer.admin_command("JOIN\r\n"), "200 ready\r\n");
    assert_eq!(establish(&balancer, "new").send_text("served\r\n").receive_line(), "served");
}

/// Guards against a process that rejoins after SIGTERM, and against SIGTERM extending a drain that is under way.
#[test]
fn sigterm_during_a_drain_ends_the_process_in_time_and_join_is_rejected() {
    let mut balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echo_instances(), None);
    let mut established: Vec<LineConnection> =
        (0..20).map(|i| establish(&balancer, &format!("{i}"))).collect();
    balancer.admin_command("LEAVE\r\n");
    balancer.terminate();
    balancer.wait_for_log("leaving");
    assert!(balancer.admin_command("JOIN\r\n").starts_with("400 "));
    assert!(balancer.admin_command("HEALTH\r\n").starts_with("400 "));
    assert_eq!(balancer.admin_command("LEAVE\r\n"), "200 draining\r\n");
    for client in &mut established {
        assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("MOVE", "END"));
    }
    balancer.wait_for_log("left with 0 connections in hand");
    while balancer.is_running() {
        std::thread::yield_now();
    }
}

/// Guards against metrics that differ from what clients and instances observed themselves.
#[test]
fn metrics_match_what_clients_and_instances_counted() {
    let (report_sender, reports) = channel();
    let scripted_instance = || {
        let report_sender = report_sender.clone();
        spawn_instance(move |mut peer| {
            let first = peer.receive_line();
            let _ = report_sender.send(());
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
    let list = [
        list_entry("s-00000001", scripted_instance(), "ready"),
        list_entry("s-00000002", scripted_instance(), "ready"),
    ];
    let discovery = Discovery::without_updates();
    let balancer = Balancer::start_with_admin(&discovery, &list, None);
    await_metrics(&balancer, &["lb.completed.watch:0|c", "lb.pending:0|g", "lb.members:2|g"]);
    let send_open = |id: &str| {
        let mut client = balancer.connect_client();
        client.send_text(&format!("OPEN {id} 2 c=watch,d=2000\r\n"));
        client
    };
    let established: Vec<LineConnection> = (0..7).map(|i| send_open(&format!("up-{i}"))).collect();
    let mut moved = send_open("moved-1");
    assert_eq!(moved.receive_line(), "UP 1");
    assert_eq!(moved.send_text("go\r\n").receive_line(), "MOVE");
    // Three are rejected after attempts at both instances; one client that sends before its answer and one whose id is in
    // use fail; and one client disconnects.
    for i in 0..3 {
        assert!(send_open(&format!("full-{i}")).receive_line().starts_with("BUSY"));
    }
    let mut early = send_open("slow-1");
    (0..15).for_each(|_| reports.recv().unwrap());
    assert_eq!(early.send_text("now\r\n").receive_line(), "ERR out of turn");
    assert_eq!(send_open("up-1").receive_line(), "ERR id in use");
    drop(send_open("slow-2"));
    await_metrics(
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
    // The client that disconnected may have done so before any attempt was made for it.
    assert!(
        (sent..=sent + 1).contains(&attempts),
        "{attempts} attempts, but instances received {sent} or one more"
    );
    drop(established);
    discovery.next_request();
    discovery.push(&watch_line(2, &[list_entry("s-00000001", closed_address(), "draining")]));
    await_metrics(&balancer, &["lb.pending:0|g", "lb.members:2|g", "lb.members_unavailable:1|g"]);
    discovery.push(&watch_line(3, &[list_entry("s-00000001", closed_address(), "gone")]));
    await_metrics(&balancer, &["lb.members:1|g", "lb.members_unavailable:0|g", "lb.completed.watch:8|c"]);
}

/// Guards against invalid input that is obeyed, left unanswered, or affects others.
#[test]
fn invalid_commands_get_400_and_have_no_effect() {
    let mut balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echo_instances(), None);
    let admin_address = balancer.admin_address.unwrap();
    let long = format!("{}\r\n", "H".repeat(5000));
    for bad in ["\r\n", "leave\r\n", "LEAVE now\r\n", " LEAVE\r\n", "LEAVE\r\nJOIN\r\n", "\u{1}\r\n", &long] {
        let answer = balancer.admin_command(bad);
        assert!(answer.starts_with("400 ") && answer.lines().count() == 1, "{bad:.20?}: {answer:?}");
    }
    let mut bytes = LineConnection::connect(admin_address);
    std::io::Write::write_all(&mut bytes.stream, b"\xff\xfe\r\n").unwrap();
    assert!(bytes.receive_rest().starts_with("400 "));
    // A partial line and a close, a close without a line, and a line sent byte by byte.
    let mut half = LineConnection::connect(admin_address);
    half.send_text("LEA").stream.shutdown(Shutdown::Write).unwrap();
    assert!(half.receive_rest().starts_with("400 "));
    let mut none = LineConnection::connect(admin_address);
    none.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(none.receive_rest(), "");
    let mut slow = LineConnection::connect(admin_address);
    "HEALTH\r\n".chars().for_each(|c| {
        slow.send_text(&c.to_string());
    });
    assert_eq!(slow.receive_rest(), "200 ready\r\n", "none of this put it out of service");
    assert!(balancer.is_running());
}

/// Guards against silent connections that block the admin endpoint for others or use up what clients need.
#[test]
fn a_thousand_silent_admin_connections_and_many_idle_clients_block_nobody() {
    let balancer = Balancer::start_with_admin(&Discovery::without_updates(), &echo_instances(), None);
    let connect_silent = |address: SocketAddr, text: &'static str| {
        move |_| {
            let mut silent = LineConnection::connect(address);
            silent.send_text(text);
            silent
        }
    };
    let mut silent_connections: Vec<LineConnection> =
        (0..1000).map(connect_silent(balancer.admin_address.unwrap(), "HEAL")).collect();
    silent_connections.extend((0..300).map(connect_silent(balancer.line_address, "OPEN half")));
    for i in 0..50 {
        let started = Instant::now();
        assert_eq!(balancer.admin_command("HEALTH\r\n"), "200 ready\r\n");
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
        establish(&balancer, &format!("{i}"));
    }
    // The oldest connection was closed to make room, with or without `BUSY`.
    assert!(
        silent_connections[0].receive_rest().starts_with("BUSY")
            || silent_connections[0].receive_rest().is_empty()
    );
}

/// Guards against an admin endpoint on another address than the configured one, and one that opens although none is
/// configured.
#[test]
fn an_invalid_or_occupied_admin_address_is_reported_at_startup() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::without_updates();
    for (address, message) in [
        ("somewhere".to_string(), "LB_ADMIN: \"somewhere\" is no address"),
        (taken.local_addr().unwrap().to_string(), "admin: cannot listen on"),
    ] {
        let dir = std::env::temp_dir().join(format!("oakdeal-{}-{}", std::process::id(), address.len()));
        std::fs::create_dir_all(&dir).unwrap();
        let config = dir.join("config.json");
        let list = watch_line(1, &echo_instances());
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
    let balancer = Balancer::start(&discovery, &echo_instances(), None);
    assert!(TcpStream::connect(balancer.line_address).is_ok());
    assert!(balancer.terminate_and_read_log().iter().all(|line| !line.contains("operators")));
}
