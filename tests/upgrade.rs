//! End-to-end tests of upgrades: a new process starts while the old one runs, on a listening socket that both inherit.

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

fn listening_socket() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

fn is_ready(balancer: &Balancer) -> bool {
    balancer.admin_command("HEALTH\r\n").starts_with("200 ")
}

fn await_ready(balancer: &Balancer) {
    let deadline = Instant::now() + Duration::from_secs(6);
    while !is_ready(balancer) {
        assert!(Instant::now() < deadline, "not ready within six seconds");
    }
}

fn await_end(balancer: &mut Balancer) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while balancer.is_running() {
        assert!(Instant::now() < deadline, "the process does not exit");
        thread::yield_now();
    }
}

/// Clients that each keep one connection open and reconnect at once when they are moved. The test fails if a client
/// receives anything but `UP`, its echoed lines and `MOVE`.
struct ClientCrowd {
    stopped: Arc<AtomicBool>,
    moved: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl ClientCrowd {
    fn connect(address: SocketAddr, client_count: usize) -> ClientCrowd {
        let (stopped, moved): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let client = |i: usize| {
            let (stopped, moved) = (stopped.clone(), moved.clone());
            thread::spawn(move || {
                for attempt in 0.. {
                    let mut client = LineConnection::connect(address);
                    client.send_text(&format!("OPEN {i}-{attempt} {i} c=watch,d=2000\r\n"));
                    assert_eq!(client.receive_line(), "UP 1", "client {i}, connection {attempt}");
                    loop {
                        if stopped.load(Ordering::Relaxed) {
                            return;
                        }
                        client.send_text("mine\r\n");
                        match client.receive_line().as_str() {
                            "mine" => thread::sleep(Duration::from_millis(5)),
                            "MOVE" => break,
                            other => panic!("client {i}, connection {attempt}: {other}"),
                        }
                    }
                    moved.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let clients = (0..client_count).map(client).collect();
        ClientCrowd { stopped, moved, clients }
    }

    fn disconnect(self) -> usize {
        self.stopped.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().unwrap());
        self.moved.load(Ordering::Relaxed)
    }
}

/// Guards against clients that a terminating process rejects, resets, does not read or keeps, and against closing the
/// accept queue for the next process.
#[test]
fn three_upgrades_in_a_row_lose_no_client() {
    let (socket, address) = listening_socket();
    let (discovery, list) = (Discovery::without_updates(), echo_instances());
    let mut serving = Balancer::launch_with_socket(&discovery, &list, &socket);
    await_ready(&serving);
    let crowd = ClientCrowd::connect(address, 40);
    for _ in 0..3 {
        let next = Balancer::launch_with_socket(&discovery, &list, &socket);
        await_ready(&next);
        assert!(is_ready(&serving), "the old process serves until it is terminated");
        serving.terminate();
        let started = Instant::now();
        let arrivals: Vec<LineConnection> = (0..20)
            .map(|i| {
                let mut client = LineConnection::connect(address);
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
    assert!(crowd.disconnect() >= 3 * 40, "all established clients were moved each time");
    assert!(is_ready(&serving));
}

/// Guards against a process that reports ready before it knows the list, accepts clients before it is ready, or harms the
/// old process by dying.
#[test]
fn a_new_process_that_dies_before_it_is_ready_leaves_the_old_one_serving() {
    let (socket, address) = listening_socket();
    let list = echo_instances();
    // This server answers the first watch request and closes all others unanswered.
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string() + &http_chunk("\n"), String::new()]);
    let (report_sender, _) = channel();
    let old_list = [list_entry("s-00000001", echo_instance("a", report_sender), "ready")];
    let old = Balancer::launch_with_socket(&discovery, &old_list, &socket).wait_until_serving();
    await_ready(&old);
    let new = Balancer::launch_with_socket(&discovery, &list, &socket);
    assert!(!is_ready(&new), "the new process has received nothing from discovery");
    let crowd = ClientCrowd::connect(address, 10);
    thread::sleep(Duration::from_millis(100));
    new.signal("-KILL");
    drop(new);
    let mut late = LineConnection::connect(address);
    assert_eq!(late.send_text("OPEN late 1 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert!(
        old.admin_command("DUMP\r\n").contains("lb.completed.watch:11|c"),
        "the old process served all of them"
    );
    assert_eq!(crowd.disconnect(), 0);
}

/// Guards against a process that waits for discovery without limit.
#[test]
fn without_an_answer_from_discovery_the_configured_list_is_used() {
    let (socket, address) = listening_socket();
    let discovery = Discovery::new(vec![String::new()]);
    let balancer = Balancer::launch_with_socket(&discovery, &echo_instances(), &socket);
    // A client that connects before the process serves waits in the accept queue and is not lost.
    let mut early = LineConnection::connect(address);
    early.send_text("OPEN early 1 c=watch,d=9000\r\n");
    await_ready(&balancer);
    balancer.wait_for_log("discovery has not answered yet");
    assert_eq!(early.receive_line(), "UP 1");
}

fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("oakdeal-upgrade-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn launch_with_folder(
    discovery: &Discovery,
    list: &[String],
    socket: &TcpListener,
    folder: &Path,
) -> Balancer {
    let start = StartOptions {
        with_admin: true,
        inherited_socket: Some(socket),
        temp_folder: Some(folder),
        ..StartOptions::default()
    };
    Balancer::launch(discovery, list, start)
}

/// Guards against a handover that is ignored or applied twice, and against one left by an earlier process being applied.
#[test]
fn connections_are_handed_over_once_and_stale_handover_files_are_ignored() {
    let ((socket, address), folder) = (listening_socket(), temp_folder("once"));
    let (discovery, list) = (Discovery::without_updates(), echo_instances());
    let handover_path = folder.join("oakdeal-handover");
    std::fs::write(&handover_path, "oakdeal-handover-0 from a crash").unwrap();
    let mut old = launch_with_folder(&discovery, &list, &socket, &folder).wait_until_serving();
    assert!(!handover_path.exists());
    await_ready(&old);
    std::fs::write(&handover_path, "oakdeal-handover-1 0123456789abcdef\n{}").unwrap();
    old.wait_for_log("is not whole: ignored");
    let mut established: Vec<LineConnection> = (0..5)
        .map(|i| {
            let mut client = LineConnection::connect(address);
            assert_eq!(
                client.send_text(&format!("OPEN {i} {i} c=watch,d=2000,g=7\r\n")).receive_line(),
                "UP 1"
            );
            client
        })
        .collect();
    let new = launch_with_folder(&discovery, &list, &socket, &folder).wait_until_serving();
    await_ready(&new);
    old.terminate();
    old.wait_for_log("handed over 5 connections");
    new.wait_for_log("5 connections are established at the previous process");
    for client in &mut established {
        assert_eq!(client.receive_line(), "MOVE");
    }
    await_end(&mut old);
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 0, "no file is left in the folder");
    // A folder that cannot be written causes a warning and nothing else.
    std::fs::remove_dir(&folder).unwrap();
    new.terminate();
    new.wait_for_log("nothing is handed over");
    new.wait_for_log("left with 0 connections in hand");
}

/// Guards against connections that are left in the accept queue when no new process follows.
#[test]
fn a_stop_without_a_successor_serves_clients_that_still_arrive() {
    let (socket, address) = listening_socket();
    let mut balancer =
        Balancer::launch_with_socket(&Discovery::without_updates(), &echo_instances(), &socket)
            .wait_until_serving();
    await_ready(&balancer);
    let crowd = ClientCrowd::connect(address, 5);
    thread::sleep(Duration::from_millis(50));
    balancer.terminate();
    balancer.wait_for_log("leaving");
    let mut late: Vec<LineConnection> = (0..10)
        .map(|i| {
            let mut client = LineConnection::connect(address);
            assert_eq!(
                client.send_text(&format!("OPEN late-{i} {i} c=watch,d=2000\r\n")).receive_line(),
                "UP 1"
            );
            thread::sleep(Duration::from_millis(20));
            client
        })
        .collect();
    crowd.disconnect();
    for client in &mut late {
        assert_eq!((client.receive_line().as_str(), client.receive_line().as_str()), ("MOVE", "END"));
    }
    await_end(&mut balancer);
}

/// Guards against serving from a descriptor that is not the configured listening socket, and against accepting an invalid
/// descriptor number.
#[test]
fn an_invalid_descriptor_is_reported_at_startup() {
    let (socket, address) = listening_socket();
    let other_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(address).unwrap();
    let udp_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let expect_failure = |lb_fd: &str, descriptor: Option<std::os::fd::OwnedFd>, message: &str| {
        let start = StartOptions { inherited_socket: Some(&socket), ..StartOptions::default() };
        let errors = Balancer::start_failure(&Discovery::without_updates(), start, lb_fd, descriptor);
        assert!(errors.contains("LB_FD: ") && errors.contains(message), "{lb_fd}: {errors}");
    };
    expect_failure("five", None, "\"five\" is no descriptor");
    expect_failure("-1", None, "\"-1\" is no descriptor");
    expect_failure("2", None, "\"2\" is no descriptor");
    expect_failure("77", None, "descriptor 77 cannot be taken");
    expect_failure("5", Some(connected.into()), "no listening TCP socket");
    expect_failure("5", Some(udp_socket.into()), "no listening TCP socket");
    expect_failure("5", Some(other_listener.into()), "descriptor 5 listens on");
}
