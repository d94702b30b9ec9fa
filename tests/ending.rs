//! Stories of the program's last moments: whoever asks in them has an answer, and nothing is cut off.

mod peers;
use peers::*;
use std::sync::mpsc::channel;

const SHORT: &str = "\"DeadlineMs\":700";

fn settings() -> String {
    SETTINGS.replace("\"DeadlineMs\":2000", SHORT)
}

fn echoing() -> Vec<String> {
    let (told, _) = channel();
    vec![list_entry("s-00000001", echo_instance("a", told), "ready")]
}

/// Guards against connections that are cut off at the end without a word: one rests, one has half a line, one says nothing.
#[test]
fn whoever_rests_at_the_end_is_answered_and_closed_softly() {
    let balancer = Balancer::start_with(&Discovery::without_updates(), &echoing(), None, &settings(), "text");
    let (mut rests, mut half, mut mute) =
        (balancer.connect_client(), balancer.connect_client(), balancer.connect_client());
    assert_eq!(rests.send_text("PING\r\n").receive_line(), "PONG");
    half.send_text("PING\r\nOPEN 1 2 c=wa");
    assert_eq!(half.receive_line(), "PONG");
    assert_eq!(mute.send_text("PING\r\n").receive_line(), "PONG");
    balancer.terminate();
    for peer in [&mut rests, &mut half, &mut mute] {
        assert_eq!((peer.receive_line().as_str(), peer.receive_line().as_str()), ("BUSY", "END"));
    }
}

/// Guards against a first line that has come when the program's time is up, and is lost with its connection: the program is stopped
/// until its end has passed, and finds both in one turn.
#[test]
fn a_first_line_that_comes_in_the_moment_of_the_end_has_its_answer() {
    let balancer = Balancer::start_with(&Discovery::without_updates(), &echoing(), None, &settings(), "text");
    let mut rests = balancer.connect_client();
    assert_eq!(rests.send_text("PING\r\n").receive_line(), "PONG");
    balancer.terminate();
    balancer.wait_for_log("leaving: ");
    balancer.signal("-STOP");
    // Longer than it has; nothing else tells that its end has passed.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    rests.send_text("OPEN 1 2 c=watch,d=5000\r\n");
    balancer.signal("-CONT");
    let answer = rests.receive_line();
    assert!(answer == "BUSY" || answer == "UP 1", "{answer}");
    if answer == "UP 1" {
        assert_eq!(rests.receive_line(), "MOVE");
    }
    assert_eq!(rests.receive_line(), "END");
}

/// Guards against a close over bytes unread, which resets the connection and takes the last line with it.
#[test]
fn a_moved_client_that_has_written_meanwhile_has_its_last_lines_and_a_plain_end() {
    let (told, heard) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings(), "text");
    let mut client = balancer.connect_client();
    assert_eq!(client.send_text("OPEN 1 2 c=watch,d=700\r\n").receive_line(), "UP 1");
    heard.recv().unwrap();
    balancer.terminate();
    balancer.wait_for_log("leaving: ");
    balancer.signal("-STOP");
    std::thread::sleep(std::time::Duration::from_millis(900));
    client.send_text("one more\r\nhalf a li");
    balancer.signal("-CONT");
    let rest = client.receive_rest();
    assert!(rest.ends_with("MOVE\r\n"), "{rest:?}");
}
