//! Stories of two things that come in one instant: a second answer, a dial that comes up as it is given up, an answer in the turn
//! of the deadline, lines that are still to be written at the end, and many who send much and go.

mod peers;
use peers::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Guards against an answer that is given twice: an instance that turned a command away brings it up some milliseconds later,
/// while another has it.
#[test]
fn a_second_answer_of_an_instance_reaches_nobody() {
    let (told, heard) = channel();
    let first = Arc::new(Mutex::new(true));
    let (turn, turned) = channel::<()>();
    let turned = Arc::new(Mutex::new(turned));
    let one = || {
        let (told, first, turned) = (told.clone(), first.clone(), turned.clone());
        spawn_instance(move |mut peer| {
            if !peer.receive_line().starts_with("OPEN") {
                return;
            }
            if std::mem::take(&mut *first.lock().unwrap()) {
                peer.send_text("BUSY 100\r\n");
                turned.lock().unwrap().recv().unwrap();
                let _ = peer.stream.write_all(b"UP 1\r\nfrom another\r\n");
                let _ = told.send(peer.receive_line());
            } else {
                peer.send_text("UP 1\r\n");
                while !matches!(peer.receive_line().as_str(), "END" | "RESET") {
                    peer.send_text("back\r\n");
                }
            }
        })
    };
    let list = [list_entry("s-00000001", one(), "ready"), list_entry("s-00000002", one(), "ready")];
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=5000\r\n").receive_line(), "UP 1");
    turn.send(()).unwrap();
    let end = heard.recv().unwrap();
    assert!(matches!(end.as_str(), "END" | "RESET"), "its connection was closed: {end}");
    assert_eq!(client.send_text("on\r\n").receive_line(), "back", "nothing came between");
}

/// Guards against a command that is sent though its client has been answered: its dial comes up in the turn in which its time is
/// over.
#[test]
fn a_dial_that_comes_up_in_the_turn_in_which_it_is_given_up_brings_nothing() {
    let shut = FullListener::new();
    let list = [list_entry("s-00000001", shut.address(), "ready")];
    let mut balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=600\r\n");
    shut.wait_for_dial();
    balancer.signal("-STOP");
    let mut dialled = shut.accept_pending();
    std::thread::sleep(Duration::from_millis(700));
    balancer.signal("-CONT");
    let answer = client.receive_line();
    assert!(answer.starts_with("BUSY") || answer.starts_with("ERR"), "{answer}");
    assert_eq!(client.receive_line(), "END", "one answer");
    assert_eq!(dialled.receive_rest(), "");
    assert!(balancer.is_running());
}

/// Guards against two final answers, none, or a connection that stands at an instance for nobody: the answer comes in the turn
/// of the deadline.
#[test]
fn an_answer_in_the_turn_of_the_deadline_is_the_only_one() {
    let (told, heard) = channel();
    let (address, say) = scripted_instance(told);
    let list = [list_entry("s-00000001", address, "ready")];
    let mut balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    for (id, answer) in [("1", "UP 1\r\n"), ("2", "BUSY 50\r\n"), ("3", "ERR\r\n")] {
        let mut client = balancer.connect_client();
        client.send_text(&format!("OPEN {id} 2 c=watch,d=600\r\n"));
        assert!(heard.recv().unwrap().starts_with(&format!("OPEN {id} ")));
        balancer.signal("-STOP");
        say.send(answer).unwrap();
        std::thread::sleep(Duration::from_millis(700));
        balancer.signal("-CONT");
        let came = client.receive_line();
        if came == "UP 1" {
            assert_eq!(client.send_text("on\r\n").receive_line(), "on");
            assert_eq!(heard.recv().unwrap(), "then on");
            drop(client);
        } else {
            assert!(came.starts_with("BUSY") || came.starts_with("ERR"), "{came}");
            assert_eq!(client.receive_line(), "END", "one answer");
        }
        let end = heard.recv().unwrap();
        assert!(matches!(end.as_str(), "then END" | "then RESET"), "{answer:?} is left: {end}");
    }
    assert!(balancer.is_running());
}

/// Guards against lines that were taken from an instance and are lost, or cut in two, because the program ends before its client
/// has read them.
#[test]
fn what_was_taken_from_an_instance_is_written_whole_before_the_end() {
    const LINES: usize = 2_000;
    let (told, heard) = channel();
    let many = spawn_instance(move |mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        for n in 0..LINES {
            peer.send_text(&format!("{n} {}\r\n", "x".repeat(100)));
        }
        let _ = told.send(());
        peer.receive_rest();
    });
    let list = [list_entry("s-00000001", many, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=2000\r\n");
    heard.recv().unwrap();
    balancer.terminate();
    balancer.wait_for_log("leaving");
    assert_eq!(client.receive_line(), "UP 1");
    let mut lines: Vec<String> = client.receive_rest().lines().map(String::from).collect();
    assert_eq!(lines.pop().as_deref(), Some("MOVE"));
    let whole = |(n, line): (usize, &String)| *line == format!("{n} {}", "x".repeat(100));
    assert!(lines.iter().enumerate().all(whole), "in order and whole: {} lines", lines.len());
    assert_eq!(lines.len(), LINES);
}

/// Memory of a process that is not shared or swapped out, in kilobytes.
fn resident(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against memory that grows with what clients send and nobody takes, and does not come back when they go: before their first
/// line is whole, and as they stand at an instance that does not read.
#[test]
fn clients_that_send_much_and_go_cost_bounded_memory() {
    let (told, heard) = channel();
    // Reads nothing until the story is over.
    let (_done, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let deaf = spawn_instance(move |mut peer| {
        if peer.receive_line().starts_with("OPEN") {
            peer.send_text("UP 1\r\n");
            let _ = told.send(());
            let _ = wait.lock().unwrap().recv();
        }
    });
    let list = [list_entry("s-00000001", deaf, "ready")];
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let before = resident(balancer.process_id());
    let flood = |client: &mut LineConnection| {
        client.stream.set_nonblocking(true).unwrap();
        let junk = vec![b'x'; 1 << 16];
        // Until nothing more is taken, or the connection is ended.
        let sent: usize = std::iter::from_fn(|| client.stream.write(&junk).ok()).take(200).sum();
        client.stream.set_nonblocking(false).unwrap();
        sent
    };
    let mut most = before;
    for round in 0..4 {
        let mut stand: Vec<LineConnection> = (0..40)
            .map(|n| {
                let mut client = balancer.connect_client();
                assert_eq!(
                    client.send_text(&format!("OPEN {round}-{n} {n} c=watch,d=2000\r\n")).receive_line(),
                    "UP 1"
                );
                heard.recv().unwrap();
                client
            })
            .collect();
        let mut ask: Vec<LineConnection> = (0..40).map(|_| balancer.connect_client()).collect();
        let sent: usize = stand.iter_mut().chain(&mut ask).map(flood).sum();
        assert!(sent > 40 << 16, "{sent}");
        // One more is served all the same: by then the others' bytes were read.
        let mut one = balancer.connect_client();
        assert_eq!(one.send_text(&format!("OPEN {round}-one one c=watch,d=2000\r\n")).receive_line(), "UP 1");
        heard.recv().unwrap();
        most = most.max(resident(balancer.process_id()));
    }
    // 80 at a time with a line of 4 KB or four of them each way, beside what the program itself needs.
    assert!(most < before + 8_192, "{before} KB, then {most} KB");
    assert!(balancer.is_running());
}
