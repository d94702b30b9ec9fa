//! Stories of what counts as told: lists that are pushed, lists that come indented, and what the settings say of a first line.

mod peers;
use peers::*;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Settings of a large fleet whose lists are pushed.
fn pushed() -> String {
    SETTINGS.replace("\"subscribe\"", "\"push\"").replace("\"PeersTotal\":1", "\"PeersTotal\":300")
}

/// Guards against a balancer that serves by the list of its start where what has changed since counts as told.
#[test]
fn where_lists_are_pushed_a_new_process_watches_at_once_and_serves_when_it_has_been_told() {
    let (told, heard) = channel();
    let (a, b) = (echo_instance("a", told.clone()), echo_instance("b", told));
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string()]);
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let settings = pushed();
    let start = StartOptions { settings: &settings, ..StartOptions::default() };
    let balancer = Balancer::launch(&discovery, &list, start);
    assert_eq!(discovery.next_request(), "GET /catalog/members?watch=1&from=1 HTTP/1.1");
    discovery.push(&watch_line(2, &[list_entry("s-00000001", a, "draining")]));
    // The log is read in its order: that it serves must come after what it was told.
    balancer.wait_for_log("is draining");
    let balancer = balancer.wait_until_serving();
    for i in 0..8 {
        let open = format!("OPEN {i} {i} c=watch,d=2000,g=g{i}\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(heard.recv().unwrap().0, "b");
    }
}

/// Guards against a process that serves by the list of its start, which may be old, before it has asked for what has changed.
#[test]
fn where_lists_are_asked_for_a_new_process_takes_nobody_until_discovery_has_answered() {
    let (told, heard) = channel();
    let (a, b) = (echo_instance("a", told.clone()), echo_instance("b", told));
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string()]);
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let balancer =
        Balancer::launch(&discovery, &list, StartOptions { with_admin: true, ..StartOptions::default() });
    assert_eq!(discovery.next_request(), "GET /catalog/members?watch=1&from=1 HTTP/1.1");
    assert!(!balancer.admin_command("HEALTH\r\n").starts_with("200 "), "discovery has told it nothing");
    discovery.push(&watch_line(2, &[list_entry("s-00000001", a, "draining")]));
    // The log is read in its order: that it serves must come after what it was told.
    balancer.wait_for_log("is draining");
    let balancer = balancer.wait_until_serving();
    for i in 0..8 {
        let open = format!("OPEN {i} {i} c=watch,d=2000,g=g{i}\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(heard.recv().unwrap().0, "b");
    }
}

/// Guards against a process that waits for a discovery that is down, while clients have nowhere to go.
#[test]
fn where_discovery_is_down_a_new_process_serves_by_the_list_that_it_was_given() {
    let (told, _) = channel();
    let failing = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let discovery = Discovery::new(vec![failing.into()]);
    let begun = Instant::now();
    let balancer = Balancer::start_with_admin(
        &discovery,
        &[list_entry("s-00000001", echo_instance("a", told), "ready")],
        None,
    );
    assert_eq!(balancer.connect_client().send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

/// Guards against a lost watch that waits its turn among all balancers where each has an agent of its own: what drains meanwhile
/// counts as told.
#[test]
fn where_lists_are_pushed_a_lost_watch_is_had_again_within_the_grace_of_a_drain() {
    let failing = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let discovery = Discovery::new(vec![
        failing.into(),
        failing.into(),
        failing.into(),
        CHUNKED_RESPONSE.to_string() + &http_chunk("\n"),
    ]);
    let settings = pushed();
    let start = StartOptions { settings: &settings, ..StartOptions::default() };
    let _balancer =
        Balancer::launch(&discovery, &[list_entry("s-00000001", closed_address(), "ready")], start);
    discovery.next_request();
    let begun = Instant::now();
    (0..3).for_each(|_| drop(discovery.next_request()));
    // Three waits of an eighth to three eighths of 500 ms each; among 300 that share one service it is seconds.
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
}

/// Guards against a watch that takes the first line of an indented object for the whole.
#[test]
fn lists_may_come_indented_and_in_pieces() {
    let (told, heard) = channel();
    let (a, b) = (echo_instance("a", told.clone()), echo_instance("b", told));
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string()]);
    let balancer = Balancer::start_with_admin(&discovery, &[list_entry("s-00000001", a, "ready")], None);
    discovery.next_request();
    let change =
        watch_line(2, &[list_entry("s-00000001", a, "draining"), list_entry("s-00000002", b, "ready")]);
    let indented = change.replace(',', ",\n  ").replace('{', "{\n  ").replace('}', "\n}");
    // A whole one, and the first half of the next with it: the first counts as told.
    let next = watch_line(3, &[list_entry("s-00000003", closed_address(), "ready")]).replace(',', ",\n ");
    let (half, rest) = next.split_at(next.len() / 2);
    discovery.push(&(indented + half));
    balancer.wait_for_log("s-00000002 at");
    assert_eq!(balancer.connect_client().send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(heard.recv().unwrap().0, "b");
    discovery.push(rest);
    balancer.wait_for_log("s-00000003 at");
}

/// Guards against clients that are kept together by what is no group: `g` is then each client's own, and a server would be
/// held to pay for every one of them.
#[test]
fn where_the_settings_have_no_groups_the_field_names_none() {
    let (told, heard) = channel();
    let placed = |more: &str| {
        let settings = SETTINGS.replace("\"PeersTotal\":1", &format!("\"PeersTotal\":1{more}"));
        let names = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"];
        let list = names.map(|name| list_entry(name, echo_instance(name, told.clone()), "ready"));
        let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
        let mut clients: Vec<LineConnection> = (0..12).map(|_| balancer.connect_client()).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            assert_eq!(
                client.send_text(&format!("OPEN {i} key-{i} c=watch,d=2000,g=same\r\n")).receive_line(),
                "UP 1"
            );
        }
        let mut at: Vec<&str> = (0..12).map(|_| heard.recv().unwrap().0).collect();
        at.sort();
        at.dedup();
        at.len()
    };
    let (grouped, own) = (placed(""), placed(",\"FamilyInfo\":{\"Groups\":false}"));
    assert!(grouped < own && own >= 3, "{grouped} servers of a group, {own} by each client's own key");
}
