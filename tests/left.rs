//! Stories of clients that leave while their command waits: nothing is sent on for them, whatever comes up in the same turn.
//!
//! An instant is forced by stopping the program: what happens meanwhile it finds in one turn, all at once.

mod peers;
use peers::*;
use std::net::Shutdown;
use std::sync::mpsc::channel;

/// Guards against a first line that is sent for a client that left while its connection was made, both in one turn.
#[test]
fn a_client_that_leaves_while_the_connection_is_made_is_not_sent_on() {
    for (how, early) in [("ends", false), ("ends behind bytes of its own", true)] {
        let shut = FullListener::new();
        let settings = settings_with_long_connect_timeout();
        let list = [list_entry("s-00000001", shut.address(), "ready")];
        let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
        let mut client = balancer.connect_client();
        client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
        shut.wait_for_dial();
        balancer.signal("-STOP");
        if early {
            client.send_text("early\r\n");
        }
        client.stream.shutdown(Shutdown::Write).unwrap();
        let mut dialled = shut.accept_pending();
        balancer.signal("-CONT");
        assert_eq!(dialled.receive_rest(), "", "a client that {how}");
    }
}

/// Guards against a repeat that is sent for a client that left in the very turn in which the first execution was turned away.
#[test]
fn a_client_that_leaves_as_its_first_execution_is_turned_away_is_not_sent_on_again() {
    let (told, heard) = channel();
    let (a, say_a) = scripted_instance(told.clone());
    let (b, say_b) = scripted_instance(told);
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
    assert!(heard.recv().unwrap().starts_with("OPEN 1 2"));
    balancer.signal("-STOP");
    client.stream.shutdown(Shutdown::Both).unwrap();
    // Only the one that was asked has a connection that waits for a word.
    for say in [&say_a, &say_b] {
        say.send("BUSY\r\n").unwrap();
    }
    balancer.signal("-CONT");
    // Its connection ends, over an answer that nobody wants any more; whoever comes next is another client.
    let end = heard.recv().unwrap();
    assert!(["then END", "then RESET"].contains(&end.as_str()), "{end}");
    let mut next = balancer.connect_client();
    next.send_text("OPEN 3 4 c=watch,d=8000\r\n");
    let first = heard.recv().unwrap();
    assert!(first.starts_with("OPEN 3 4"), "{first}");
}

/// Guards against an execution that stays out at its instance, and on the books, when its client has left.
#[test]
fn an_execution_whose_client_leaves_is_given_up_and_its_id_is_free_again() {
    let (told, heard) = channel();
    let (a, say) = scripted_instance(told);
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &[list_entry("s-00000001", a, "ready")],
        None,
        &settings_with_long_connect_timeout(),
        "text",
    );
    let mut client = balancer.connect_client();
    client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    assert!(heard.recv().unwrap().starts_with("OPEN 1 2"));
    drop(client);
    say.send("").unwrap();
    assert_eq!(heard.recv().unwrap(), "then END");
    let mut again = balancer.connect_client();
    again.send_text("OPEN 1 2 c=watch,d=8000\r\n");
    assert!(heard.recv().unwrap().starts_with("OPEN 1 2"));
    say.send("UP 7\r\n").unwrap();
    assert_eq!(again.receive_line(), "UP 7");
}
