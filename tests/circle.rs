//! Properties of the consistent hash ring (thesis, 2.2.2): balance, monotonicity, and the same ring at every node.

mod common;
use common::*;
use oakdeal::*;
use std::collections::BTreeMap;

/// Returns the host of each of 4,000 keys on an otherwise idle node.
fn placement(hosts: &[HostId]) -> Vec<HostId> {
    let mut node = Node::new(settings(), hosts.iter().copied());
    (0..4000)
        .map(|i| {
            let call = format!("c{i}");
            let host = sent_host(&node.demand(0, &call, 0, Some(&format!("g{i}")))).expect("placed");
            node.report_finished(0, &call, host, Outcome::Ok, true);
            host
        })
        .collect()
}

#[test]
fn arcs_of_each_host_sum_to_about_an_even_share() {
    let mut count: BTreeMap<HostId, usize> = BTreeMap::new();
    for host in placement(&(1..=10).collect::<Vec<_>>()) {
        *count.entry(host).or_default() += 1;
    }
    assert_eq!(count.len(), 10);
    assert!(count.values().all(|&n| (250..=600).contains(&n)), "{count:?}");
}

#[test]
fn a_host_that_joins_or_leaves_moves_only_its_own_keys() {
    let with_nine = placement(&(1..=9).collect::<Vec<_>>());
    let with_ten = placement(&(1..=10).collect::<Vec<_>>());
    let moved: Vec<_> = with_nine.iter().zip(&with_ten).filter(|(a, b)| a != b).collect();
    assert!(moved.iter().all(|(_, &to)| to == 10));
    assert!((150..=700).contains(&moved.len()), "{}", moved.len());
}

#[test]
fn every_node_builds_the_same_ring_whatever_the_order_of_updates() {
    let (mut first, mut second) = (Node::new(settings(), 1..=8), Node::new(settings(), [8, 3, 5]));
    second.update_members(5, ListKind::Changes, [7, 1, 2, 4, 6].map(Entry::ready).to_vec());
    second.0 = {
        let mut other = PlacementPolicy::new(settings(), 99).expect("settings");
        let hosts = [8, 7, 6, 5, 4, 3, 2, 1].map(Entry::ready).to_vec();
        other.handle(0, Event::Members { kind: ListKind::Full, hosts }, &mut Vec::new());
        other
    };
    for i in 0..20 {
        let (call, group) = (format!("c{i}"), format!("g{i}"));
        let (first_actions, second_actions) =
            (first.demand(9, &call, 0, Some(&group)), second.demand(9, &call, 0, Some(&group)));
        assert_eq!(first_actions, second_actions);
        first.report_finished(9, &call, sent_host(&first_actions).expect("placed"), Outcome::Ok, true);
        second.report_finished(9, &call, sent_host(&second_actions).expect("placed"), Outcome::Ok, true);
    }
}

#[test]
fn the_placement_key_is_the_group_then_the_client_key_then_the_call_id() {
    let mut node = Node::new(settings(), 1..=10);
    let mut place = |call: &str, key: Option<&str>, group: Option<&str>| {
        let (key, group) = (key.map(Into::into), group.map(Into::into));
        let actions = node.handle_event(0, Event::Demand(Demand { key, group, ..Demand::new(call, 0, S) }));
        let host = sent_host(&actions).expect("placed");
        node.report_finished(0, call, host, Outcome::Ok, true);
        host
    };
    for i in 0..20 {
        let name = format!("k{i}");
        let by_group = place("a", Some("other"), Some(&name));
        assert_eq!(by_group, place("b", Some(&name), None));
        assert_eq!(by_group, place(&name, None, None));
    }
}

#[test]
fn a_ring_updated_step_by_step_equals_one_built_at_once() {
    let mut changed = Node::new(settings(), 1..=30);
    let gone = |h: HostId| Entry { state: HostState::Gone, ..Entry::ready(h) };
    changed.update_members(1, ListKind::Changes, vec![gone(3), Entry::ready(40), gone(17), Entry::ready(41)]);
    changed.update_members(2, ListKind::Changes, vec![Entry::ready(3), gone(40), gone(99)]);
    changed.update_members(3, ListKind::Full, (2..=35).filter(|h| *h != 20).map(Entry::ready).collect());
    changed.update_members(4, ListKind::Changes, vec![gone(5), Entry::ready(5), Entry::ready(5)]);
    let mut rebuilt = Node::new(settings(), (2..=35).filter(|h| *h != 20));
    for i in 0..2000 {
        let (call, group) = (format!("c{i}"), format!("g{i}"));
        // Compares several successors of each key, not only the first.
        let mut actions =
            (changed.demand(9, &call, 0, Some(&group)), rebuilt.demand(9, &call, 0, Some(&group)));
        for _ in 0..3 {
            assert_eq!(actions.0, actions.1);
            let host = sent_host(&actions.0).expect("placed");
            let moot = |node: &mut Node| node.report_finished(9, &call, host, Outcome::Moot, false);
            actions = (moot(&mut changed), moot(&mut rebuilt));
        }
        changed.report_finished(9, &call, sent_host(&actions.0).expect("placed"), Outcome::Ok, true);
        rebuilt.report_finished(9, &call, sent_host(&actions.1).expect("placed"), Outcome::Ok, true);
    }
}
