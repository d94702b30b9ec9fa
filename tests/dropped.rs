//! Wrong lists from discovery: with the setting `unlisted_hosts_usable` hosts that a list reports as gone or leaves out
//! stay in use, and only draining takes a host out of use.

mod common;
use common::*;
use oakdeal::*;

/// Settings under which gone and unlisted hosts stay usable.
fn settings_with_unlisted_hosts() -> Settings {
    let mut s = settings();
    s.rules.unlisted_hosts_usable = true;
    s
}

/// Returns a list entry of a host in this state.
fn entry_in_state(host: HostId, state: HostState) -> Entry {
    Entry { state, ..Entry::ready(host) }
}

/// Returns the host of each of 40 keys, each placed once and ended at once.
fn hosts_of_keys(node: &mut Node, now: Micros, tag: &str) -> Vec<Option<HostId>> {
    (0..40)
        .map(|i| {
            let call = format!("{tag}{i}");
            let actions = node.demand_with_key(now, &call, &format!("k{i}"), &format!("g{i}"));
            let host = sent_host(&actions);
            if let Some(host) = host {
                node.report_finished(now, &call, host, Outcome::Ok, true);
            }
            host
        })
        .collect()
}

#[test]
fn gone_or_unlisted_hosts_keep_their_keys_when_unlisted_hosts_are_usable() {
    let mut node = Node::new(settings_with_unlisted_hosts(), 1..=10);
    let before = hosts_of_keys(&mut node, S, "a");
    node.update_members(
        2 * S,
        ListKind::Changes,
        (1..=8).map(|h| entry_in_state(h, HostState::Gone)).collect(),
    );
    assert_eq!(hosts_of_keys(&mut node, 2 * S, "b"), before, "reported as gone");
    node.update_members(3 * S, ListKind::Full, vec![]);
    assert_eq!(hosts_of_keys(&mut node, 3 * S, "c"), before, "all left out");
    node.update_members(4 * S, ListKind::Cached, vec![Entry::ready(3)]);
    assert_eq!(hosts_of_keys(&mut node, 4 * S, "d"), before, "left out of an old list");
    node.update_members(5 * S, ListKind::Full, (1..=10).map(Entry::ready).collect());
    assert_eq!(hosts_of_keys(&mut node, 5 * S, "e"), before, "listed again");
}

#[test]
fn gone_hosts_get_nothing_by_default() {
    let mut node = Node::new(settings(), 1..=2);
    node.update_members(S, ListKind::Changes, vec![entry_in_state(1, HostState::Gone)]);
    assert!(hosts_of_keys(&mut node, S, "a").iter().all(|&h| h == Some(2)));
    node.update_members(2 * S, ListKind::Full, vec![]);
    assert!(hosts_of_keys(&mut node, 2 * S, "b").iter().all(|h| h.is_none()));
}

#[test]
fn a_draining_host_gets_no_keys_until_it_restarts_whatever_later_lists_say() {
    let mut node = Node::new(settings_with_unlisted_hosts(), 1..=2);
    let assert_gets_no_keys = |node: &mut Node, now: Micros, tag: &str| {
        assert!(hosts_of_keys(node, now, tag).iter().all(|&h| h == Some(2)), "{tag}");
    };
    node.update_members(S, ListKind::Changes, vec![entry_in_state(1, HostState::Draining)]);
    assert_gets_no_keys(&mut node, S, "drains");
    node.update_members(2 * S, ListKind::Changes, vec![entry_in_state(1, HostState::Gone)]);
    assert_gets_no_keys(&mut node, 2 * S, "gone");
    node.update_members(3 * S, ListKind::Full, vec![Entry::ready(2)]);
    assert_gets_no_keys(&mut node, 3 * S, "left out");
    node.update_members(4 * S, ListKind::Full, vec![Entry::ready(1), Entry::ready(2)]);
    assert_gets_no_keys(&mut node, 4 * S, "listed again");
    // Mid-flow packets: later lists do not extend the grace.
    let mid_flow_demand = Event::Demand(Demand { mid_flow: true, ..Demand::new("mid", 0, S) });
    assert_ne!(sent_host(&node.handle_event(5 * S, mid_flow_demand)), Some(1));
    node.update_members(6 * S, ListKind::Changes, vec![Entry { ready_at: 6 * S, ..Entry::ready(1) }]);
    let hosts_after_restart = hosts_of_keys(&mut node, 60 * S, "restarted");
    assert!(
        hosts_after_restart.contains(&Some(1)),
        "the drain of the old process does not apply to the new one"
    );
}

#[test]
fn a_gone_host_that_also_fails_an_attempt_is_ejected_for_a_longer_time() {
    let mut node = Node::new(settings_with_unlisted_hosts(), 1..=5);
    let home_host = sent_host(&node.demand(S, "a", 0, Some("g"))).expect("placed");
    node.finished(S, "a", home_host, Outcome::ConnectFailed);
    assert_eq!(
        sent_host(&node.demand(2 * S, "b", 0, Some("g"))),
        Some(home_host),
        "listed: ejected for 0.5 s"
    );
    node.report_finished(2 * S, "b", home_host, Outcome::Ok, true);
    node.update_members(3 * S, ListKind::Changes, vec![entry_in_state(home_host, HostState::Gone)]);
    assert_eq!(sent_host(&node.demand(4 * S, "c", 0, Some("g"))), Some(home_host), "gone, but still tried");
    node.finished(4 * S, "c", home_host, Outcome::ConnectFailed);
    assert_ne!(
        sent_host(&node.demand(18 * S, "d", 0, Some("g"))),
        Some(home_host),
        "unlisted: ejected for 16 s"
    );
    assert_eq!(
        sent_host(&node.demand(21 * S, "e", 0, Some("g"))),
        Some(home_host),
        "one trial after the ejection"
    );
}

#[test]
fn the_connection_count_of_a_host_survives_a_wrong_list() {
    // Open connections at the host still count, and late messages still move them.
    let mut node = Node::new(settings_with_unlisted_hosts(), 1..=6);
    let hosts: Vec<HostId> = (0..8).map(|i| node.open_connection(S, &format!("a{i}"), Some("g"))).collect();
    let home_host = hosts[0];
    node.update_members(2 * S, ListKind::Changes, vec![entry_in_state(home_host, HostState::Gone)]);
    node.update_members(3 * S, ListKind::Changes, vec![Entry::ready(home_host)]);
    let actions = node.handle_event(4 * S, Event::DelayNote { host: home_host, delay: 200 * MS });
    assert!(actions.iter().any(|a| matches!(a, Action::Move { .. })), "{actions:?}");
}

#[test]
fn state_of_removed_hosts_is_bounded_when_the_fleet_is_replaced_repeatedly() {
    let mut node = Node::new(settings_with_unlisted_hosts(), 0..10);
    for round in 1..50u32 {
        let hosts = (10 * round..10 * round + 10).map(Entry::ready).collect();
        node.update_members(u64::from(round) * S, ListKind::Full, hosts);
    }
    // State is kept for the last list and as many older hosts; the rest is removed.
    let hosts_used: std::collections::BTreeSet<HostId> = (0..30)
        .flat_map(|i| hosts_of_keys(&mut node, 50 * S, &format!("r{i}-")).into_iter().flatten())
        .collect();
    assert!(hosts_used.iter().all(|&h| h >= 480), "{hosts_used:?}");
}
