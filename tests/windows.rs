//! Stories of repeats that their class forbids, or that its window no longer allows when they would be sent.

mod peers;
use peers::*;
use std::sync::mpsc::channel;

/// One class with this effect; everything else has its time.
fn settings(effect: &str) -> String {
    let class = format!("\"AimMs\":9000,\"DeadlineMs\":2000,\"Effect\":\"{effect}\",\"WindowMs\":600");
    SETTINGS
        .replace("\"AimMs\":800,\"DeadlineMs\":2000,\"Effect\":\"free\"", &class)
        .replace("\"ConnectTimeoutMs\":500", "\"ConnectTimeoutMs\":8000")
}

/// Guards against a repeat that was decided on within the window and is sent after it, since its connection came up late.
#[test]
fn a_repeat_whose_window_closes_while_it_is_dialled_is_not_sent() {
    let (told, heard) = channel();
    let shut = FullListener::new();
    let names = ["s-00000001", "s-00000002"];
    // Whichever of the two is asked first, the other is the one that comes up late.
    for first in names {
        let list = names.map(|name| {
            list_entry(
                name,
                if name == first { failing_instance(told.clone()) } else { shut.address() },
                "ready",
            )
        });
        let balancer =
            Balancer::start_with(&Discovery::without_updates(), &list, None, &settings("guarded"), "text");
        let mut client = balancer.connect_client();
        client.send_text("OPEN 1 2 c=watch,d=8000\r\n");
        shut.wait_for_dial();
        if heard.try_recv().is_err() {
            // The late one is asked first here: it is no repeat.
            continue;
        }
        let mut late = shut.accept_pending();
        let answer = client.receive_line();
        assert_eq!(late.receive_rest(), "", "it was sent after its window");
        // Its guard is everywhere, so to come again is harmless.
        assert!(answer.starts_with("BUSY"), "{answer}");
        return;
    }
    panic!("neither was asked first");
}

/// Guards against an effect that comes twice.
#[test]
fn what_may_have_run_and_may_not_run_twice_is_failed_and_not_sent_again() {
    let (told, heard) = channel();
    let list =
        ["s-00000001", "s-00000002"].map(|name| list_entry(name, failing_instance(told.clone()), "ready"));
    let balancer =
        Balancer::start_with(&Discovery::without_updates(), &list, None, &settings("once"), "text");
    assert_eq!(
        balancer.connect_client().send_text("OPEN 1 2 c=watch,d=1500\r\n").receive_line(),
        "ERR not served"
    );
    assert!(heard.recv().unwrap().starts_with("OPEN 1 2"));
    assert!(heard.try_recv().is_err(), "it was sent again");
}
