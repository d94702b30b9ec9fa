//! Repeats that the class forbids, or whose deduplication window has ended by the time when they would be sent.

mod peers;
use peers::*;
use std::net::SocketAddr;
use std::sync::mpsc::channel;

/// Settings with one class of this effect, a window of 600 ms, and other time limits long enough not to matter.
fn settings_with_effect(effect: &str) -> String {
    let class = format!("\"AimMs\":9000,\"DeadlineMs\":2000,\"Effect\":\"{effect}\",\"WindowMs\":600");
    SETTINGS
        .replace("\"AimMs\":800,\"DeadlineMs\":2000,\"Effect\":\"free\"", &class)
        .replace("\"ConnectTimeoutMs\":500", "\"ConnectTimeoutMs\":8000")
}

/// Guards against a repeat that is decided within the window but sent after it because its connection is slow to establish.
#[test]
fn a_repeat_is_not_sent_when_its_window_ends_while_it_connects() {
    let (reports, reported) = channel();
    let listener = FullListener::new();
    let names = ["s-00000001", "s-00000002"];
    // The balancer chooses the first instance, so each of the two is the failing one once.
    for first in names {
        let list = names.map(|name| {
            list_entry(
                name,
                if name == first { failing_instance(reports.clone()) } else { listener.address() },
                "ready",
            )
        });
        let balancer = Balancer::start_with(
            &Discovery::without_updates(),
            &list,
            None,
            &settings_with_effect("guarded"),
            "text",
        );
        let mut client = balancer.connect_client();
        client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
        listener.wait_for_dial();
        if reported.try_recv().is_err() {
            // The slow instance was tried first, so this is not a repeat.
            continue;
        }
        let mut late_connection = listener.accept_pending();
        let answer = client.receive_line();
        assert_eq!(late_connection.receive_rest(), "", "the command was sent after its window");
        // All instances deduplicate the command, so the client may safely send it again.
        assert!(answer.starts_with("BUSY"), "{answer}");
        return;
    }
    panic!("no instance was tried first");
}

/// Guards against executing an at-most-once command twice.
#[test]
fn an_at_most_once_command_that_may_have_run_fails_and_is_not_sent_again() {
    let (reports, reported) = channel();
    let list =
        ["s-00000001", "s-00000002"].map(|name| list_entry(name, failing_instance(reports.clone()), "ready"));
    let balancer = Balancer::start_with(
        &Discovery::without_updates(),
        &list,
        None,
        &settings_with_effect("once"),
        "text",
    );
    assert_eq!(
        balancer.connect_client().send_text("OPEN 1 2 c=watch,d=1500\r\n").receive_line(),
        "ERR not served"
    );
    assert!(reported.recv().unwrap().starts_with("OPEN 1 2"));
    assert!(reported.try_recv().is_err(), "the command was sent again");
}

/// A request whose connection never came up was not sent, so it is tried at the next instance in every class. After its
/// line was sent only `BUSY` says that it did not run.
#[test]
fn a_request_is_tried_again_in_every_class_only_if_it_was_not_sent_or_was_rejected() {
    let discovery = Discovery::without_updates();
    let settings = settings_with_effect("single_shot").replace("\"AimMs\":9000", "\"AimMs\":200");
    let names = ["s-00000001", "s-00000002"];
    let serve = |first: SocketAddr, second: SocketAddr| {
        let list = [list_entry(names[0], first, "ready"), list_entry(names[1], second, "ready")];
        let balancer = Balancer::start_with(&discovery, &list, None, &settings, "text");
        balancer.connect_client().send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line()
    };
    // Each instance is tried first in one of the two orders.
    let (reports, _) = channel();
    let (slow, sound) = (FullListener::new(), echo_instance("sound", reports));
    assert_eq!(serve(slow.address(), sound), "UP 1");
    assert_eq!(serve(sound, slow.address()), "UP 1");
    for (ending, attempts) in [("MOVE\r\n", 1), ("", 1), ("ERR\r\n", 1), ("junk\r\n", 1), ("BUSY\r\n", 2)] {
        let (reports, reported) = channel();
        let instance = || {
            let reports = reports.clone();
            spawn_instance(move |mut peer| {
                let _ = reports.send(peer.receive_line());
                peer.send_text(ending);
            })
        };
        let answer = serve(instance(), instance());
        assert_eq!(reported.try_iter().count(), attempts, "{ending:?}");
        assert!(answer.starts_with(if attempts == 1 { "ERR" } else { "BUSY" }), "{ending:?}: {answer}");
    }
}
