//! Connections that have sent nothing yet, and whose request arrives in the moment in which the balancer ends them.

mod peers;
use peers::xmpp::{accept_login, log_in, operator_file, FEATURES, OPENING, SUCCESS};
use peers::*;
use std::io::{ErrorKind, Write};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Longer than the time limit of a first line or stream header.
const PAST_FIRST_LINE: Duration = Duration::from_millis(2_700);
/// Longer than the time limit of an operator's call.
const PAST_COMMAND: Duration = Duration::from_millis(10_300);

/// Stops the process until a time limit has passed: no other signal shows that it has.
fn hold_up(balancer: &Balancer, span: Duration, meanwhile: impl FnOnce()) {
    balancer.signal("-STOP");
    thread::sleep(span);
    meanwhile();
    balancer.signal("-CONT");
}

/// Requests that have arrived when the process finds their connections' time limit passed are served, and not reset without
/// an answer.
#[test]
fn requests_that_arrive_as_resting_connections_end_are_served() {
    let (reports, _) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", reports), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, None);
    let mut clients: Vec<LineConnection> = (0..10).map(|_| balancer.connect_client()).collect();
    // All are accepted: connections are, in their order.
    assert_eq!(balancer.connect_client().send_text("PING\r\n").receive_line(), "PONG");
    hold_up(&balancer, PAST_FIRST_LINE, || {
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_text(&format!("OPEN {n} {n} c=watch,d=2000\r\n"));
        }
    });
    for client in &mut clients {
        assert_eq!(client.receive_line(), "UP 1");
    }
}

/// The same on the XMPP front, for stream headers.
#[test]
fn stream_headers_that_arrive_as_resting_connections_end_are_served() {
    let server = spawn_instance(|mut peer| {
        accept_login(&mut peer);
        peer.receive_rest();
    });
    let operator = operator_file(server);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let balancer = Balancer::start(&Discovery::without_updates(), &list, Some(&operator));
    let mut client = LineConnection::connect(balancer.xmpp_address.unwrap());
    log_in(&balancer, "u1").receive_until(SUCCESS);
    hold_up(&balancer, PAST_FIRST_LINE, || {
        client.send_text(OPENING);
    });
    client.receive_until(FEATURES);
}

/// The same for operators' calls; a caller that has sent nothing is told so.
#[test]
fn operators_calls_that_arrive_as_their_connections_end_are_answered() {
    let balancer = Balancer::start_with_admin(&Discovery::without_updates(), &[], None);
    let admin = balancer.admin_address.unwrap();
    let (mut late, mut silent) = (LineConnection::connect(admin), LineConnection::connect(admin));
    assert!(balancer.admin_command("HEALTH\r\n").starts_with("200 "));
    hold_up(&balancer, PAST_COMMAND, || {
        late.send_text("HEALTH\r\n");
    });
    assert_eq!((late.receive_line().as_str(), late.receive_line().as_str()), ("200 ready", "END"));
    assert!(silent.receive_line().starts_with("400 "));
    assert_eq!(silent.receive_line(), "END");
}

/// Clients that send health checks and read no answer are closed when their answers cannot be written, so that they hold
/// no descriptor for ever.
#[test]
fn clients_that_read_no_answer_are_closed() {
    let balancer = Balancer::start(&Discovery::without_updates(), &[], None);
    let client = balancer.connect_client();
    client.stream.set_write_timeout(Some(Duration::from_secs(20))).unwrap();
    let block = b"PING\r\n".repeat(10_000);
    // Ends when the balancer has closed the connection; a write that hangs fails the test.
    let ended = loop {
        if let Err(e) = (&client.stream).write_all(&block) {
            break e;
        }
    };
    let is_closed = matches!(ended.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe);
    assert!(is_closed, "{ended}");
}
