//! Clients that disconnect while their command waits: nothing more is sent for them, whatever happens at the same time.
//!
//! Two events are made to coincide by stopping the balancer with SIGSTOP: it finds both in one iteration of its loop.

mod peers;
use peers::*;
use std::net::Shutdown;
use std::sync::mpsc::channel;

/// Guards against sending a first line for a client that disconnects at the moment when the connection to the instance is
/// established.
#[test]
fn nothing_is_sent_for_a_client_that_disconnects_while_the_connection_is_established() {
    for (how, with_early_bytes) in [("disconnects", false), ("sends more bytes and disconnects", true)] {
        let listener = FullListener::new();
        let settings = settings_with_long_connect_timeout();
        let list = [list_entry("s-00000001", listener.address(), "ready")];
        let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
        let mut client = balancer.connect_client();
        client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
        listener.wait_for_dial();
        balancer.signal("-STOP");
        if with_early_bytes {
            client.send_text("early\r\n");
        }
        client.stream.shutdown(Shutdown::Write).unwrap();
        let mut connection = listener.accept_pending();
        balancer.signal("-CONT");
        assert_eq!(connection.receive_rest(), "", "a client that {how}");
    }
}

/// Guards against a repeat for a client that disconnects at the moment when its first execution is rejected.
#[test]
fn a_command_is_not_repeated_when_its_client_disconnects_as_the_first_execution_is_rejected() {
    let (reports, reported) = channel();
    let (a, send_answer_a) = scripted_instance(reports.clone());
    let (b, send_answer_b) = scripted_instance(reports);
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    assert!(reported.recv().unwrap().starts_with("OPEN 1 2"));
    balancer.signal("-STOP");
    client.stream.shutdown(Shutdown::Both).unwrap();
    // Only the instance that got the command has a connection that waits for an answer.
    for send_answer in [&send_answer_a, &send_answer_b] {
        send_answer.send("BUSY\r\n").unwrap();
    }
    balancer.signal("-CONT");
    // The connection closes on the unneeded answer, and the next first line is that of another client.
    let ending = reported.recv().unwrap();
    assert!(["then END", "then RESET"].contains(&ending.as_str()), "{ending}");
    let mut next = balancer.connect_client();
    next.send_text("OPEN 3 4 c=watch,d=8000\r\n");
    let first = reported.recv().unwrap();
    assert!(first.starts_with("OPEN 3 4"), "{first}");
}

/// Guards against an execution that continues at its instance, and stays counted, after its client has disconnected.
#[test]
fn an_execution_is_abandoned_and_its_id_freed_when_its_client_disconnects() {
    let (reports, reported) = channel();
    let (a, send_answer) = scripted_instance(reports);
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &[list_entry("s-00000001", a, "ready")],
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    assert!(reported.recv().unwrap().starts_with("OPEN 1 2"));
    drop(client);
    send_answer.send("").unwrap();
    assert_eq!(reported.recv().unwrap(), "then END");
    let mut second_client = balancer.connect_client();
    second_client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    assert!(reported.recv().unwrap().starts_with("OPEN 1 2"));
    send_answer.send("UP 7\r\n").unwrap();
    assert_eq!(second_client.receive_line(), "UP 7");
}

/// A request of a class that forbids repeats may have run when its client disconnects: it is not sent again when it comes
/// again under the same id.
#[test]
fn an_id_that_may_have_run_is_not_sent_again_where_repeats_are_forbidden() {
    let (reports, reported) = channel();
    let (a, send_answer) = scripted_instance(reports);
    let settings = settings_with_long_connect_timeout().replace("\"free\"", "\"single_shot\"");
    let list = [list_entry("s-00000001", a, "ready")];
    let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    assert!(reported.recv().unwrap().starts_with("OPEN 1 2"));
    drop(client);
    send_answer.send("").unwrap();
    assert_eq!(reported.recv().unwrap(), "then END");
    let mut second_client = balancer.connect_client();
    second_client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    // Without the fault no instance gets it; with it, the instance answers.
    send_answer.send("UP 7\r\n").unwrap();
    let answer = second_client.receive_line();
    assert!(answer.starts_with("ERR"), "{answer}");
}
