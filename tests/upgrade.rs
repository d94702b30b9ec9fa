//! Stories of a new version that starts beside the old one, on the listening socket that both inherit.

mod peers;
use peers::*;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn echo_instances() -> Vec<String> {
    let (report_sender, _) = channel();
    let names = ["s-00000001", "s-00000002"];
    names.map(|name| list_entry(name, echo_instance(name, report_sender.clone()), "ready")).to_vec()
}

fn socket() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap();
    (socket, at)
}

fn ready(balancer: &Balancer) -> bool {
    balancer.admin_command("HEALTH\r\n").starts_with("200 ")
}

fn await_ready(balancer: &Balancer) {
    let until = Instant::now() + Duration::from_secs(6);
    while !ready(balancer) {
        assert!(Instant::now() < until, "no yes within six seconds");
    }
}

fn await_end(balancer: &mut Balancer) {
    let until = Instant::now() + Duration::from_secs(20);
    while balancer.is_running() {
        assert!(Instant::now() < until, "it does not end");
        thread::yield_now();
    }
}

/// A crowd of clients that each want a connection all the time: moved, a client comes again at once. A client that
/// meets anything but an answer, lines passed on and `MOVE` stops the test.
struct Crowd {
    over: Arc<AtomicBool>,
    moved: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Crowd {
    fn come(at: SocketAddr, n: usize) -> Crowd {
        let (over, moved): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let client = |i: usize| {
            let (over, moved) = (over.clone(), moved.clone());
            thread::spawn(move || {
                for again in 0.. {
                    let mut client = LineConnection::connect(at);
                    client.send_text(&format!("OPEN {i}-{again} {i} c=watch,d=2000\r\n"));
                    assert_eq!(client.receive_line(), "UP 1", "client {i}, connection {again}");
                    loop {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        client.send_text("mine\r\n");
                        match client.receive_line().as_str() {
                            "mine" => thread::sleep(Duration::from_millis(5)),
                            "MOVE" => break,
                            other => panic!("client {i}, connection {again}: {other}"),
                        }
                    }
                    moved.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let clients = (0..n).map(client).collect();
        Crowd { over, moved, clients }
    }

    fn leave(self) -> usize {
        self.over.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().unwrap());
        self.moved.load(Ordering::Relaxed)
    }
}

/// Guards against a client that is refused, reset, left unread or held by a process that ends, and against a queue
/// that is shut for the next one.
#[test]
fn three_versions_in_a_row_lose_nobody() {
    let (socket, at) = socket();
    let (discovery, list) = (Discovery::without_updates(), echo_instances());
    let mut serving = Balancer::launch_with_socket(&discovery, &list, &socket);
    await_ready(&serving);
    let crowd = Crowd::come(at, 40);
    for _ in 0..3 {
        let next = Balancer::launch_with_socket(&discovery, &list, &socket);
        await_ready(&next);
        assert!(ready(&serving), "the old one serves until it is told to end");
        serving.terminate();
        let started = Instant::now();
        let arrivals: Vec<LineConnection> = (0..20)
            .map(|i| {
                let mut client = LineConnection::connect(at);
                client.send_text(&format!(
                    "OPEN new-{}-{i} 7 c=watch,d=2000\r\n",
                    serving.admin_address.unwrap().port()
                ));
                assert_eq!(client.receive_line(), "UP 1");
                client
            })
            .collect();
        drop(arrivals);
        serving.wait_for_log("left with 0 connections in hand");
        await_end(&mut serving);
        assert!(started.elapsed() < Duration::from_millis(3_500), "{:?}", started.elapsed());
        serving = next;
    }
    assert!(crowd.leave() >= 3 * 40, "all who stood were moved each time");
    assert!(ready(&serving));
}

/// Guards against a yes before the list is known, clients taken before the yes, and an old process that is worse
/// off when the new one dies.
#[test]
fn a_new_process_that_dies_before_its_yes_leaves_the_old_one_serving() {
    let (socket, at) = socket();
    let list = echo_instances();
    // It answers the first watch and closes all others unanswered.
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string() + &http_chunk("\n"), String::new()]);
    let (report_sender, _) = channel();
    let only_old = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let old = Balancer::launch_with_socket(&discovery, &only_old, &socket).wait_until_serving();
    await_ready(&old);
    let new = Balancer::launch_with_socket(&discovery, &list, &socket);
    assert!(!ready(&new), "discovery has told it nothing");
    let crowd = Crowd::come(at, 10);
    thread::sleep(Duration::from_millis(100));
    new.signal("-KILL");
    drop(new);
    let mut late = LineConnection::connect(at);
    assert_eq!(late.send_text("OPEN late 1 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert!(old.admin_command("DUMP\r\n").contains("lb.completed.watch:11|c"), "the old one took them all");
    assert_eq!(crowd.leave(), 0);
}

/// Guards against a process that waits for discovery without end.
#[test]
fn without_a_word_of_discovery_it_serves_by_the_list_that_it_was_given() {
    let (socket, at) = socket();
    let discovery = Discovery::new(vec![String::new()]);
    let balancer = Balancer::launch_with_socket(&discovery, &echo_instances(), &socket);
    // Who comes before it serves waits in the queue and is not lost.
    let mut early = LineConnection::connect(at);
    early.send_text("OPEN early 1 c=watch,d=9000\r\n");
    await_ready(&balancer);
    balancer.wait_for_log("discovery has told nothing yet");
    assert_eq!(early.receive_line(), "UP 1");
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("oakdeal-upgrade-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn sharing(discovery: &Discovery, list: &[String], socket: &TcpListener, folder: &Path) -> Balancer {
    let start = StartOptions {
        with_admin: true,
        inherited_socket: Some(socket),
        temp_folder: Some(folder),
        ..StartOptions::default()
    };
    Balancer::launch(discovery, list, start)
}

/// Guards against a handover that is not taken up, is taken up twice, or one from before that is.
#[test]
fn what_stands_is_handed_over_once_and_what_was_left_from_before_is_not_taken_up() {
    let ((socket, at), folder) = (socket(), folder("once"));
    let (discovery, list) = (Discovery::without_updates(), echo_instances());
    let file = folder.join("oakdeal-handover");
    std::fs::write(&file, "oakdeal-handover-0 from a crash").unwrap();
    let mut old = sharing(&discovery, &list, &socket, &folder).wait_until_serving();
    assert!(!file.exists());
    await_ready(&old);
    std::fs::write(&file, "oakdeal-handover-1 0123456789abcdef\n{}").unwrap();
    old.wait_for_log("is not whole: ignored");
    let mut standing: Vec<LineConnection> = (0..5)
        .map(|i| {
            let mut client = LineConnection::connect(at);
            assert_eq!(
                client.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g=7\r\n")).receive_line(),
                "UP 1"
            );
            client
        })
        .collect();
    let new = sharing(&discovery, &list, &socket, &folder).wait_until_serving();
    await_ready(&new);
    old.terminate();
    old.wait_for_log("handed over 5 connections");
    new.wait_for_log("5 connections stand at the process before this one");
    for client in &mut standing {
        assert_eq!(client.receive_line(), "MOVE");
    }
    await_end(&mut old);
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 0, "nothing is left there");
    // A folder that cannot be written costs a warning and nothing else.
    std::fs::remove_dir(&folder).unwrap();
    new.terminate();
    new.wait_for_log("nothing is handed over");
    new.wait_for_log("left with 0 connections in hand");
}

/// Guards against connections that wait in the queue with nobody to take them when no process comes after.
#[test]
fn a_plain_stop_takes_who_still_comes() {
    let (socket, at) = socket();
    let mut balancer =
        Balancer::launch_with_socket(&Discovery::without_updates(), &echo_instances(), &socket)
            .wait_until_serving();
    await_ready(&balancer);
    let crowd = Crowd::come(at, 5);
    thread::sleep(Duration::from_millis(50));
    balancer.terminate();
    balancer.wait_for_log("leaving");
    let mut late: Vec<LineConnection> = (0..10)
        .map(|i| {
            let mut client = LineConnection::connect(at);
            assert_eq!(
                client.send_text(&format!("OPEN late-{i} {i} c=watch,d=2000\r\n")).receive_line(),
                "UP 1"
            );
            thread::sleep(Duration::from_millis(20));
            client
        })
        .collect();
    crowd.leave();
    for client in &mut late {
        assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("MOVE", "END"));
    }
    await_end(&mut balancer);
}

/// Guards against a descriptor that is something else being served from, or read as if it were a number.
#[test]
fn a_wrong_descriptor_is_said_at_the_start() {
    let (socket, at) = socket();
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(at).unwrap();
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let start = |text: &str, pass: Option<std::os::fd::OwnedFd>, message: &str| {
        let start = StartOptions { inherited_socket: Some(&socket), ..StartOptions::default() };
        let errors = Balancer::start_failure(&Discovery::without_updates(), start, text, pass);
        assert!(errors.contains("LB_FD: ") && errors.contains(message), "{text}: {errors}");
    };
    start("five", None, "\"five\" is no descriptor");
    start("-1", None, "\"-1\" is no descriptor");
    start("2", None, "\"2\" is no descriptor");
    start("77", None, "descriptor 77 cannot be taken");
    start("5", Some(connected.into()), "no listening TCP socket");
    start("5", Some(datagrams.into()), "no listening TCP socket");
    start("5", Some(elsewhere.into()), "descriptor 5 listens on");
}
