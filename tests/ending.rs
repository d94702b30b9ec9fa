//! Shutdown of the process: every client that sends a command gets an answer, and no connection is cut off.

mod peers;
use peers::*;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

/// Setting of a class with a deadline of 700 ms.
const SHORT_DEADLINE: &str = "\"DeadlineMs\":700";

fn settings_with_short_deadline() -> String {
    SETTINGS.replace("\"DeadlineMs\":2000", SHORT_DEADLINE)
}

fn list_with_echo_instance() -> Vec<String> {
    let (reports, _) = channel();
    vec![list_entry("s-00000001", echo_instance("a", reports), "ready")]
}

/// Guards against connections that are cut off at shutdown without an answer: idle ones, and one with half a first line.
#[test]
fn idle_clients_get_an_answer_and_a_clean_close_at_shutdown() {
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list_with_echo_instance(),
        None,
        &settings_with_short_deadline(),
        "text",
    );
    let (mut idle, mut with_half_line, mut silent) =
        (balancer.connect_client(), balancer.connect_client(), balancer.connect_client());
    assert_eq!(idle.send_text("PING\r\n").receive_line(), "PONG");
    with_half_line.send_text("PING\r\nOPEN 1 2 c=wa");
    assert_eq!(with_half_line.receive_line(), "PONG");
    assert_eq!(silent.send_text("PING\r\n").receive_line(), "PONG");
    balancer.terminate();
    for peer in [&mut idle, &mut with_half_line, &mut silent] {
        assert_eq!((peer.receive_line().as_str(), peer.receive_line().as_str()), ("BUSY", "END"));
    }
}

/// Guards against losing a first line, together with its connection, that arrives as the shutdown period ends. The process
/// is stopped with SIGSTOP until the period is over, so that it finds both events in one iteration of its loop.
#[test]
fn a_first_line_that_arrives_as_the_shutdown_period_ends_is_answered() {
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list_with_echo_instance(),
        None,
        &settings_with_short_deadline(),
        "text",
    );
    let mut idle = balancer.connect_client();
    assert_eq!(idle.send_text("PING\r\n").receive_line(), "PONG");
    balancer.terminate();
    balancer.wait_for_log("leaving: ");
    balancer.signal("-STOP");
    // Longer than the shutdown period; no other signal shows that the period is over.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    idle.send_text("OPEN 1 2 c=watch,d=5000\r\n");
    balancer.signal("-CONT");
    let answer = idle.receive_line();
    assert!(answer == "BUSY" || answer == "UP 1", "{answer}");
    if answer == "UP 1" {
        assert_eq!(idle.receive_line(), "MOVE");
    }
    assert_eq!(idle.receive_line(), "END");
}

/// Guards against a close with unread bytes, which resets the connection and loses the last line.
#[test]
fn a_moved_client_with_unread_input_gets_its_last_lines_and_a_clean_close() {
    let (reports, reported) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", reports), "ready")];
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_short_deadline(),
        "text",
    );
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=700\r\n").receive_line(), "UP 1");
    reported.recv().unwrap();
    balancer.terminate();
    balancer.wait_for_log("leaving: ");
    balancer.signal("-STOP");
    std::thread::sleep(std::time::Duration::from_millis(900));
    client.send_text("one more\r\nhalf a li");
    balancer.signal("-CONT");
    let rest = client.receive_rest();
    assert!(rest.ends_with("MOVE\r\n"), "{rest:?}");
}

/// Earliest time of SIGKILL after SIGTERM where the longest deadline is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3_700);

/// Starts an instance that takes every request and never answers, and reports each first line.
fn hanging_instance(reports: Sender<String>) -> SocketAddr {
    spawn_instance(move |mut peer| {
        let _ = reports.send(peer.receive_line());
        peer.receive_rest();
    })
}

/// Every request that was taken has its final answer before the process may be killed, also where its deadline is later
/// and its only instance hangs: one sent before SIGTERM, one after it, and one that resumes a connection.
#[test]
fn requests_at_a_hanging_instance_are_answered_before_the_kill() {
    let (reports, reported) = channel();
    let list = [list_entry("s-00000001", hanging_instance(reports), "ready")];
    let settings = SETTINGS
        .replace("\"DeadlineMs\":2000", "\"DeadlineMs\":4800")
        .replace("\"SendCap\":4", "\"SendCap\":1");
    let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
    let (mut before, mut resumed, mut after) =
        (balancer.connect_client(), balancer.connect_client(), balancer.connect_client());
    before.send_text("OPEN 1 a c=watch,d=4800\r\n");
    resumed.send_text("OPEN 2 b c=watch,d=40000,at=s-00000001\r\n");
    reported.recv().unwrap();
    reported.recv().unwrap();
    balancer.terminate();
    let terminated_at = Instant::now();
    balancer.wait_for_log("leaving: ");
    after.send_text("OPEN 3 c c=watch,d=4800\r\n");
    for (client, name) in [(&mut before, "before"), (&mut resumed, "resumed"), (&mut after, "after")] {
        let answer = client.receive_line();
        let waited = terminated_at.elapsed();
        assert!(answer.starts_with("ERR") || answer.starts_with("BUSY"), "{name}: {answer}");
        assert!(waited < KILL_DELAY, "{name}: answered {waited:?} after SIGTERM");
        assert_eq!(client.receive_line(), "END", "{name}");
    }
}
