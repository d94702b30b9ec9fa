//! Lists that are wrong, where only draining binds: hosts that are called gone, or left out, without it.

mod common;
use common::*;
use oakdeal::*;

fn open_list() -> Settings {
    let mut s = settings();
    s.rules.unlisted_hosts_usable = true;
    s
}

fn state(host: HostId, state: HostState) -> Entry {
    Entry { state, ..Entry::ready(host) }
}

/// Where each of some keys goes, each asked once and ended at once.
fn homes(node: &mut Node, now: Micros, tag: &str) -> Vec<Option<HostId>> {
    (0..40)
        .map(|i| {
            let call = format!("{tag}{i}");
            let out = node.demand_with_key(now, &call, &format!("k{i}"), &format!("g{i}"));
            let host = sent_host(&out);
            if let Some(host) = host {
                node.report_finished(now, &call, host, Outcome::Ok, true);
            }
            host
        })
        .collect()
}

#[test]
fn hosts_called_gone_or_left_out_keep_their_keys_where_only_draining_binds() {
    let mut node = Node::new(open_list(), 1..=10);
    let before = homes(&mut node, S, "a");
    node.update_members(2 * S, ListKind::Changes, (1..=8).map(|h| state(h, HostState::Gone)).collect());
    assert_eq!(homes(&mut node, 2 * S, "b"), before, "called gone");
    node.update_members(3 * S, ListKind::Full, vec![]);
    assert_eq!(homes(&mut node, 3 * S, "c"), before, "left out, all of them");
    node.update_members(4 * S, ListKind::Cached, vec![Entry::ready(3)]);
    assert_eq!(homes(&mut node, 4 * S, "d"), before, "left out of an old list");
    node.update_members(5 * S, ListKind::Full, (1..=10).map(Entry::ready).collect());
    assert_eq!(homes(&mut node, 5 * S, "e"), before, "and true again");
}

#[test]
fn gone_binds_as_before_without_the_setting() {
    let mut node = Node::new(settings(), 1..=2);
    node.update_members(S, ListKind::Changes, vec![state(1, HostState::Gone)]);
    assert!(homes(&mut node, S, "a").iter().all(|&h| h == Some(2)));
    node.update_members(2 * S, ListKind::Full, vec![]);
    assert!(homes(&mut node, 2 * S, "b").iter().all(|h| h.is_none()));
}

#[test]
fn a_host_seen_draining_stays_closed_until_it_restarts_whatever_the_list_says() {
    let mut node = Node::new(open_list(), 1..=2);
    let closed = |node: &mut Node, now: Micros, tag: &str| {
        assert!(homes(node, now, tag).iter().all(|&h| h == Some(2)), "{tag}");
    };
    node.update_members(S, ListKind::Changes, vec![state(1, HostState::Draining)]);
    closed(&mut node, S, "drains");
    node.update_members(2 * S, ListKind::Changes, vec![state(1, HostState::Gone)]);
    closed(&mut node, 2 * S, "gone");
    node.update_members(3 * S, ListKind::Full, vec![Entry::ready(2)]);
    closed(&mut node, 3 * S, "left out");
    node.update_members(4 * S, ListKind::Full, vec![Entry::ready(1), Entry::ready(2)]);
    closed(&mut node, 4 * S, "listed again");
    // Packets of its open connections: the grace is not renewed by what the list says next.
    let mid = Event::Demand(Demand { mid_flow: true, ..Demand::new("mid", 0, S) });
    assert_ne!(sent_host(&node.handle_event(5 * S, mid)), Some(1));
    node.update_members(6 * S, ListKind::Changes, vec![Entry { ready_at: 6 * S, ..Entry::ready(1) }]);
    let back = homes(&mut node, 60 * S, "restarted");
    assert!(back.contains(&Some(1)), "a new process owes nothing to the drain of the old one");
}

#[test]
fn a_host_that_the_list_and_an_attempt_both_call_gone_is_left_alone_for_long() {
    let mut node = Node::new(open_list(), 1..=5);
    let home = sent_host(&node.demand(S, "a", 0, Some("g"))).expect("placed");
    node.finished(S, "a", home, Outcome::ConnectFailed);
    assert_eq!(sent_host(&node.demand(2 * S, "b", 0, Some("g"))), Some(home), "listed: half a second");
    node.report_finished(2 * S, "b", home, Outcome::Ok, true);
    node.update_members(3 * S, ListKind::Changes, vec![state(home, HostState::Gone)]);
    assert_eq!(sent_host(&node.demand(4 * S, "c", 0, Some("g"))), Some(home), "in doubt, it is tried");
    node.finished(4 * S, "c", home, Outcome::ConnectFailed);
    assert_ne!(sent_host(&node.demand(18 * S, "d", 0, Some("g"))), Some(home), "unlisted: sixteen");
    assert_eq!(sent_host(&node.demand(21 * S, "e", 0, Some("g"))), Some(home), "then one trial");
}

#[test]
fn books_of_a_host_survive_a_wrong_list() {
    // What stands there still counts, and messages that come late still move it away.
    let mut node = Node::new(open_list(), 1..=6);
    let hosts: Vec<HostId> = (0..8).map(|i| node.open_connection(S, &format!("a{i}"), Some("g"))).collect();
    let home = hosts[0];
    node.update_members(2 * S, ListKind::Changes, vec![state(home, HostState::Gone)]);
    node.update_members(3 * S, ListKind::Changes, vec![Entry::ready(home)]);
    let out = node.handle_event(4 * S, Event::DelayNote { host: home, delay: 200 * MS });
    assert!(out.iter().any(|a| matches!(a, Action::Move { .. })), "{out:?}");
}

#[test]
fn what_is_kept_of_a_fleet_that_is_replaced_again_and_again_is_bounded() {
    let mut node = Node::new(open_list(), 0..10);
    for round in 1..50u32 {
        let hosts = (10 * round..10 * round + 10).map(Entry::ready).collect();
        node.update_members(u64::from(round) * S, ListKind::Full, hosts);
    }
    // The last list and as many again: older ones are forgotten.
    let sent_to: std::collections::BTreeSet<HostId> =
        (0..30).flat_map(|i| homes(&mut node, 50 * S, &format!("r{i}-")).into_iter().flatten()).collect();
    assert!(sent_to.iter().all(|&h| h >= 480), "{sent_to:?}");
}
