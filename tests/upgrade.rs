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

fn echoing() -> Vec<String> {
    let (told, _) = channel();
    let names = ["s-00000001", "s-00000002"];
    names.map(|name| entry(name, echo(name, told.clone()), "ready")).to_vec()
}

fn socket() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap();
    (socket, at)
}

fn ready(balancer: &Balancer) -> bool {
    balancer.call("HEALTH\r\n").starts_with("200 ")
}

fn await_ready(balancer: &Balancer) {
    let until = Instant::now() + Duration::from_secs(6);
    while !ready(balancer) {
        assert!(Instant::now() < until, "no yes within six seconds");
    }
}

fn await_end(balancer: &mut Balancer) {
    let until = Instant::now() + Duration::from_secs(20);
    while balancer.runs() {
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
                    let mut client = Lines::to(at);
                    client.say(&format!("OPEN {i}-{again} {i} c=watch,d=2000\r\n"));
                    assert_eq!(client.hear(), "UP 1", "client {i}, connection {again}");
                    loop {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        client.say("mine\r\n");
                        match client.hear().as_str() {
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
    let (discovery, list) = (Discovery::quiet(), echoing());
    let mut serving = Balancer::beside(&discovery, &list, &socket);
    await_ready(&serving);
    let crowd = Crowd::come(at, 40);
    for _ in 0..3 {
        let next = Balancer::beside(&discovery, &list, &socket);
        await_ready(&next);
        assert!(ready(&serving), "the old one serves until it is told to end");
        serving.terminate();
        let begun = Instant::now();
        let arrivals: Vec<Lines> = (0..20)
            .map(|i| {
                let mut client = Lines::to(at);
                client.say(&format!("OPEN new-{}-{i} 7 c=watch,d=2000\r\n", serving.admin.unwrap().port()));
                assert_eq!(client.hear(), "UP 1");
                client
            })
            .collect();
        drop(arrivals);
        serving.logged("left with 0 connections in hand");
        await_end(&mut serving);
        assert!(begun.elapsed() < Duration::from_millis(3_500), "{:?}", begun.elapsed());
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
    let list = echoing();
    // It answers the first watch and closes all others unanswered.
    let discovery = Discovery::new(vec![OK.to_string() + &chunk("\n"), String::new()]);
    let (told, _) = channel();
    let only_old = [entry("s-00000001", echo("a", told), "ready")];
    let old = Balancer::beside(&discovery, &only_old, &socket).up();
    await_ready(&old);
    let new = Balancer::beside(&discovery, &list, &socket);
    assert!(!ready(&new), "discovery has told it nothing");
    let crowd = Crowd::come(at, 10);
    thread::sleep(Duration::from_millis(100));
    new.signal("-KILL");
    drop(new);
    let mut late = Lines::to(at);
    assert_eq!(late.say("OPEN late 1 c=watch,d=2000\r\n").hear(), "UP 1");
    assert!(old.call("DUMP\r\n").contains("lb.completed.watch:11|c"), "the old one took them all");
    assert_eq!(crowd.leave(), 0);
}

/// Guards against a process that waits for discovery without end.
#[test]
fn without_a_word_of_discovery_it_serves_by_the_list_that_it_was_given() {
    let (socket, at) = socket();
    let discovery = Discovery::new(vec![String::new()]);
    let balancer = Balancer::beside(&discovery, &echoing(), &socket);
    // Who comes before it serves waits in the queue and is not lost.
    let mut early = Lines::to(at);
    early.say("OPEN early 1 c=watch,d=9000\r\n");
    await_ready(&balancer);
    balancer.logged("discovery has not answered yet");
    assert_eq!(early.hear(), "UP 1");
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("oakdeal-upgrade-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn sharing(discovery: &Discovery, list: &[String], socket: &TcpListener, folder: &Path) -> Balancer {
    let start = Start { door: true, socket: Some(socket), folder: Some(folder), ..Start::default() };
    Balancer::launch(discovery, list, start)
}

/// Guards against a handover that is not taken up, is taken up twice, or one from before that is.
#[test]
fn what_stands_is_handed_over_once_and_what_was_left_from_before_is_not_taken_up() {
    let ((socket, at), folder) = (socket(), folder("once"));
    let (discovery, list) = (Discovery::quiet(), echoing());
    let file = folder.join("oakdeal-handover");
    std::fs::write(&file, "oakdeal-handover-0 from a crash").unwrap();
    let mut old = sharing(&discovery, &list, &socket, &folder).up();
    assert!(!file.exists());
    await_ready(&old);
    std::fs::write(&file, "oakdeal-handover-1 0123456789abcdef\n{}").unwrap();
    old.logged("is not whole: ignored");
    let mut standing: Vec<Lines> = (0..5)
        .map(|i| {
            let mut client = Lines::to(at);
            assert_eq!(client.say(&format!("OPEN {i} {i} c=watch,d=2000,g=7\r\n")).hear(), "UP 1");
            client
        })
        .collect();
    let new = sharing(&discovery, &list, &socket, &folder).up();
    await_ready(&new);
    old.terminate();
    old.logged("handed over 5 connections");
    new.logged("5 connections are established at the previous process");
    for client in &mut standing {
        assert_eq!(client.hear(), "MOVE");
    }
    await_end(&mut old);
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 0, "nothing is left there");
    // A folder that cannot be written costs a warning and nothing else.
    std::fs::remove_dir(&folder).unwrap();
    new.terminate();
    new.logged("nothing is handed over");
    new.logged("left with 0 connections in hand");
}

/// Guards against connections that wait in the queue with nobody to take them when no process comes after.
#[test]
fn a_plain_stop_takes_who_still_comes() {
    let (socket, at) = socket();
    let mut balancer = Balancer::beside(&Discovery::quiet(), &echoing(), &socket).up();
    await_ready(&balancer);
    let crowd = Crowd::come(at, 5);
    thread::sleep(Duration::from_millis(50));
    balancer.terminate();
    balancer.logged("leaving");
    let mut late: Vec<Lines> = (0..10)
        .map(|i| {
            let mut client = Lines::to(at);
            assert_eq!(client.say(&format!("OPEN late-{i} {i} c=watch,d=2000\r\n")).hear(), "UP 1");
            thread::sleep(Duration::from_millis(20));
            client
        })
        .collect();
    crowd.leave();
    for client in &mut late {
        assert_eq!((client.hear().as_str(), client.hear().as_str()), ("MOVE", "END"));
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
        let start = Start { socket: Some(&socket), ..Start::default() };
        let errors = Balancer::refuses(&Discovery::quiet(), start, text, pass);
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
