//! Updates from discovery: when a process has been notified of a change, how pushed and indented lists are read, and how
//! the settings change the meaning of the group field.

mod peers;
use peers::*;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Guards against a balancer that serves with the list of its configuration when a later change counts as notified.
#[test]
fn with_pushed_lists_a_new_process_watches_at_once_and_serves_after_the_first_update() {
    let (reports, reported) = channel();
    let (a, b) = (echo_instance("a", reports.clone()), echo_instance("b", reports));
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string()]);
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let settings = settings_with_pushed_lists();
    let start = StartOptions { settings: &settings, ..StartOptions::default() };
    let balancer = Balancer::launch(&discovery, &list, start);
    assert_eq!(discovery.next_request(), "GET /catalog/members?watch=1&from=1 HTTP/1.1");
    discovery.push(&watch_line(2, &[list_entry("s-00000001", a, "draining")]));
    // The log is read in order: the line that reports serving must come after the update.
    balancer.wait_for_log("is draining");
    let balancer = balancer.wait_until_serving();
    for i in 0..8 {
        let open = format!("OPEN {i} {i} c=watch,d=2000,g=g{i}\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(reported.recv().unwrap().0, "b");
    }
}

/// Guards against a process that serves with the list of its configuration, which may be old, before it has polled for
/// changes.
#[test]
fn with_polled_lists_a_new_process_admits_no_client_until_discovery_has_answered() {
    let (reports, reported) = channel();
    let (a, b) = (echo_instance("a", reports.clone()), echo_instance("b", reports));
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string()]);
    let list = [list_entry("s-00000001", a, "ready"), list_entry("s-00000002", b, "ready")];
    let balancer =
        Balancer::launch(&discovery, &list, StartOptions { with_admin: true, ..StartOptions::default() });
    assert_eq!(discovery.next_request(), "GET /catalog/members?watch=1&from=1 HTTP/1.1");
    assert!(!balancer.admin_command("HEALTH\r\n").starts_with("200 "), "discovery has not answered yet");
    discovery.push(&watch_line(2, &[list_entry("s-00000001", a, "draining")]));
    // The log is read in order: the line that reports serving must come after the update.
    balancer.wait_for_log("is draining");
    let balancer = balancer.wait_until_serving();
    for i in 0..8 {
        let open = format!("OPEN {i} {i} c=watch,d=2000,g=g{i}\r\n");
        assert_eq!(balancer.connect_client().send_text(&open).receive_line(), "UP 1");
        assert_eq!(reported.recv().unwrap().0, "b");
    }
}

/// Guards against a process that waits for a discovery service that is down while clients are not served.
#[test]
fn a_new_process_serves_with_its_configured_list_when_discovery_is_down() {
    let (reports, _) = channel();
    let discovery = Discovery::new(vec![UNAVAILABLE_RESPONSE.into()]);
    let started = Instant::now();
    let balancer = Balancer::start_with_admin(
        &discovery,
        &[list_entry("s-00000001", echo_instance("a", reports), "ready")],
        None,
    );
    assert_eq!(balancer.connect_client().send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

/// Guards against a lost watch that is retried as slowly as if all balancers shared one discovery service, although each
/// has its own agent: a drain that starts meanwhile counts as notified.
#[test]
fn with_pushed_lists_a_lost_watch_is_restored_within_the_drain_grace() {
    let discovery = Discovery::new(vec![
        UNAVAILABLE_RESPONSE.into(),
        UNAVAILABLE_RESPONSE.into(),
        UNAVAILABLE_RESPONSE.into(),
        CHUNKED_RESPONSE.to_string() + &http_chunk("\n"),
    ]);
    let settings = settings_with_pushed_lists();
    let start = StartOptions { settings: &settings, ..StartOptions::default() };
    let _balancer =
        Balancer::launch(&discovery, &[list_entry("s-00000001", closed_address(), "ready")], start);
    discovery.next_request();
    let started = Instant::now();
    (0..3).for_each(|_| drop(discovery.next_request()));
    // Three delays of one eighth to three eighths of 500 ms; with 300 balancers that share one service they would be seconds.
    assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
}

/// Guards against a watch that takes the first line of an indented object for the whole object.
#[test]
fn lists_may_be_indented_and_split_into_chunks() {
    let (reports, reported) = channel();
    let (a, b) = (echo_instance("a", reports.clone()), echo_instance("b", reports));
    let discovery = Discovery::new(vec![CHUNKED_RESPONSE.to_string()]);
    let balancer = Balancer::start_with_admin(&discovery, &[list_entry("s-00000001", a, "ready")], None);
    discovery.next_request();
    let change =
        watch_line(2, &[list_entry("s-00000001", a, "draining"), list_entry("s-00000002", b, "ready")]);
    let indented = change.replace(',', ",\n  ").replace('{', "{\n  ").replace('}', "\n}");
    // One complete list together with half of the next: the complete one counts as notified.
    let next = watch_line(3, &[list_entry("s-00000003", closed_address(), "ready")]).replace(',', ",\n ");
    let (half, rest) = next.split_at(next.len() / 2);
    discovery.push(&(indented + half));
    balancer.wait_for_log("s-00000002 at");
    assert_eq!(balancer.connect_client().send_text("OPEN 1 2 c=watch,d=2000\r\n").receive_line(), "UP 1");
    assert_eq!(reported.recv().unwrap().0, "b");
    discovery.push(rest);
    balancer.wait_for_log("s-00000003 at");
}

/// Guards against keeping clients together by a `g` field that is no group: it then differs for each client, and a server
/// would be charged the cost of a group for every one of them.
#[test]
fn the_group_field_is_ignored_when_the_settings_disable_groups() {
    let (reports, reported) = channel();
    let count_instances_used = |extra_setting: &str| {
        let settings = SETTINGS.replace("\"PeersTotal\":1", &format!("\"PeersTotal\":1{extra_setting}"));
        let names = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"];
        let list = names.map(|name| list_entry(name, echo_instance(name, reports.clone()), "ready"));
        let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, &settings, "text");
        let mut clients: Vec<LineConnection> = (0..12).map(|_| balancer.connect_client()).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            assert_eq!(
                client.send_text(&format!("OPEN {i} key-{i} c=watch,d=2000,g=same\r\n")).receive_line(),
                "UP 1"
            );
        }
        let mut instances: Vec<&str> = (0..12).map(|_| reported.recv().unwrap().0).collect();
        instances.sort();
        instances.dedup();
        instances.len()
    };
    let (grouped, ungrouped) =
        (count_instances_used(""), count_instances_used(",\"FamilyInfo\":{\"Groups\":false}"));
    assert!(grouped < ungrouped && ungrouped >= 3, "{grouped} servers with groups, {ungrouped} without");
}
