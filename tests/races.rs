//! Races between two events, and limits of buffers: a second answer, a connection that is established as its command
//! expires, an answer at the deadline, lines not yet written at shutdown, and clients that send much and disconnect.
//!
//! Two events are made to coincide by stopping the balancer with SIGSTOP: it finds both in one iteration of its loop.

mod peers;
use peers::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Guards against a second answer to a client: an instance that rejected a command accepts it some milliseconds later,
/// while another instance executes it.
#[test]
fn a_second_answer_of_an_instance_reaches_no_client() {
    let (reports, reported) = channel();
    let first_execution = Arc::new(Mutex::new(true));
    let (send_second_answer, second_answer_due) = channel::<()>();
    let second_answer_due = Arc::new(Mutex::new(second_answer_due));
    let new_instance = || {
        let (reports, first_execution, second_answer_due) =
            (reports.clone(), first_execution.clone(), second_answer_due.clone());
        spawn_instance(move |mut peer| {
            if !peer.receive_line().starts_with("OPEN") {
                return;
            }
            if std::mem::take(&mut *first_execution.lock().unwrap()) {
                peer.send_text("BUSY 100\r\n");
                second_answer_due.lock().unwrap().recv().unwrap();
                let _ = peer.stream.write_all(b"UP 1\r\nfrom another\r\n");
                let _ = reports.send(peer.receive_line());
            } else {
                peer.send_text("UP 1\r\n");
                while !matches!(peer.receive_line().as_str(), "END" | "RESET") {
                    peer.send_text("back\r\n");
                }
            }
        })
    };
    let list = [
        list_entry("s-00000001", new_instance(), "ready"),
        list_entry("s-00000002", new_instance(), "ready"),
    ];
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=5000\r\n").receive_line(), "UP 1");
    send_second_answer.send(()).unwrap();
    let next_line = reported.recv().unwrap();
    assert!(matches!(next_line.as_str(), "END" | "RESET"), "its connection was not closed: {next_line}");
    assert_eq!(
        client.send_text("on\r\n").receive_line(),
        "back",
        "the client received something else in between"
    );
}

/// Guards against sending a command whose client has already been answered: the connection to the instance is
/// established in the loop iteration in which the deadline passes.
#[test]
fn nothing_is_sent_on_a_connection_established_as_its_command_expires() {
    let listener = FullListener::new();
    let list = [list_entry("s-00000001", listener.address(), "ready")];
    let mut balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=600\r\n");
    listener.wait_for_dial();
    balancer.signal("-STOP");
    let mut connection = listener.accept_pending();
    std::thread::sleep(Duration::from_millis(700));
    balancer.signal("-CONT");
    let answer = client.receive_line();
    assert!(answer.starts_with("BUSY") || answer.starts_with("ERR"), "{answer}");
    assert_eq!(client.receive_line(), "END", "one answer");
    assert_eq!(connection.receive_rest(), "");
    assert!(balancer.is_running());
}

/// Guards against two final answers, no answer, or a connection that stays open at an instance without a client: the
/// answer arrives in the loop iteration in which the deadline passes.
#[test]
fn an_answer_that_arrives_together_with_the_deadline_is_the_only_one() {
    let (reports, reported) = channel();
    let (address, send_answer) = scripted_instance(reports);
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
        assert!(reported.recv().unwrap().starts_with(&format!("OPEN {id} ")));
        balancer.signal("-STOP");
        send_answer.send(answer).unwrap();
        std::thread::sleep(Duration::from_millis(700));
        balancer.signal("-CONT");
        let received = client.receive_line();
        if received == "UP 1" {
            assert_eq!(client.send_text("on\r\n").receive_line(), "on");
            assert_eq!(reported.recv().unwrap(), "then on");
            drop(client);
        } else {
            assert!(received.starts_with("BUSY") || received.starts_with("ERR"), "{received}");
            assert_eq!(client.receive_line(), "END", "one answer");
        }
        let ending = reported.recv().unwrap();
        assert!(
            matches!(ending.as_str(), "then END" | "then RESET"),
            "connection is left open after {answer:?}: {ending}"
        );
    }
    assert!(balancer.is_running());
}

/// Guards against lines of an instance that are lost or truncated because the process ends before the client has read
/// them.
#[test]
fn lines_read_from_an_instance_are_written_completely_before_the_process_ends() {
    const LINES: usize = 2_000;
    let (reports, reported) = channel();
    let sending_instance = spawn_instance(move |mut peer| {
        peer.receive_line();
        peer.send_text("UP 1\r\n");
        for n in 0..LINES {
            peer.send_text(&format!("{n} {}\r\n", "x".repeat(100)));
        }
        let _ = reports.send(());
        peer.receive_rest();
    });
    let list = [list_entry("s-00000001", sending_instance, "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=2000\r\n");
    reported.recv().unwrap();
    balancer.terminate();
    balancer.wait_for_log("leaving");
    assert_eq!(client.receive_line(), "UP 1");
    let mut lines: Vec<String> = client.receive_rest().lines().map(String::from).collect();
    assert_eq!(lines.pop().as_deref(), Some("MOVE"));
    let is_complete = |(n, line): (usize, &String)| *line == format!("{n} {}", "x".repeat(100));
    assert!(
        lines.iter().enumerate().all(is_complete),
        "lines are out of order or incomplete, {} in all",
        lines.len()
    );
    assert_eq!(lines.len(), LINES);
}

/// Returns the resident memory of a process in kilobytes.
fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against memory that grows with unread bytes from clients and is not released when they disconnect, both before
/// their first line is complete and while they are connected to an instance that does not read.
#[test]
fn clients_that_send_much_and_disconnect_use_bounded_memory() {
    let (reports, reported) = channel();
    // The instance reads nothing until the test is over.
    let (_test_over, test_over) = channel::<()>();
    let test_over = Arc::new(Mutex::new(test_over));
    let non_reading_instance = spawn_instance(move |mut peer| {
        if peer.receive_line().starts_with("OPEN") {
            peer.send_text("UP 1\r\n");
            let _ = reports.send(());
            let _ = test_over.lock().unwrap().recv();
        }
    });
    let list = [list_entry("s-00000001", non_reading_instance, "ready")];
    let mut balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let initial_kb = resident_kb(balancer.process_id());
    let send_until_blocked = |client: &mut LineConnection| {
        client.stream.set_nonblocking(true).unwrap();
        let junk = vec![b'x'; 1 << 16];
        // Sends until the balancer reads no more or closes the connection.
        let sent: usize = std::iter::from_fn(|| client.stream.write(&junk).ok()).take(200).sum();
        client.stream.set_nonblocking(false).unwrap();
        sent
    };
    let mut largest_kb = initial_kb;
    for round in 0..4 {
        let mut connected: Vec<LineConnection> = (0..40)
            .map(|n| {
                let mut client = balancer.connect_client();
                assert_eq!(
                    client.send_text(&format!("OPEN {round}-{n} {n} c=watch,d=2000\r\n")).receive_line(),
                    "UP 1"
                );
                reported.recv().unwrap();
                client
            })
            .collect();
        let mut unplaced: Vec<LineConnection> = (0..40).map(|_| balancer.connect_client()).collect();
        let sent: usize = connected.iter_mut().chain(&mut unplaced).map(send_until_blocked).sum();
        assert!(sent > 40 << 16, "{sent}");
        // Another client is still served; by then the bytes of the others have been read.
        let mut extra_client = balancer.connect_client();
        assert_eq!(
            extra_client.send_text(&format!("OPEN {round}-one one c=watch,d=2000\r\n")).receive_line(),
            "UP 1"
        );
        reported.recv().unwrap();
        largest_kb = largest_kb.max(resident_kb(balancer.process_id()));
    }
    // 80 clients at a time, each with one to four lines of 4 KB in each direction, in addition to the initial memory.
    assert!(largest_kb < initial_kb + 8_192, "{initial_kb} KB, then {largest_kb} KB");
    assert!(balancer.is_running());
}
