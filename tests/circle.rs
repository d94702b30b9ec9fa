//! Properties of the circle (thesis, 2.2.2): balance, monotonicity, and the same circle at every node.

mod common;
use common::*;
use oakdeal::*;
use std::collections::BTreeMap;

/// Where each of many keys goes on an otherwise idle node.
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
fn arcs_sum_to_about_an_even_share() {
    let mut count: BTreeMap<HostId, usize> = BTreeMap::new();
    for host in placement(&(1..=10).collect::<Vec<_>>()) {
        *count.entry(host).or_default() += 1;
    }
    assert_eq!(count.len(), 10);
    assert!(count.values().all(|&n| (250..=600).contains(&n)), "{count:?}");
}

#[test]
fn a_join_moves_keys_to_the_new_host_only_and_a_leave_moves_its_own_only() {
    let few = placement(&(1..=9).collect::<Vec<_>>());
    let more = placement(&(1..=10).collect::<Vec<_>>());
    let moved: Vec<_> = few.iter().zip(&more).filter(|(a, b)| a != b).collect();
    assert!(moved.iter().all(|(_, &to)| to == 10));
    assert!((150..=700).contains(&moved.len()), "{}", moved.len());
}

#[test]
fn every_node_builds_the_same_circle_whatever_the_order_of_news() {
    let (mut a, mut b) = (Node::new(settings(), 1..=8), Node::new(settings(), [8, 3, 5]));
    b.update_members(5, ListKind::Changes, [7, 1, 2, 4, 6].map(Entry::ready).to_vec());
    b.0 = {
        let mut other = PlacementPolicy::new(settings(), 99).expect("settings");
        let hosts = [8, 7, 6, 5, 4, 3, 2, 1].map(Entry::ready).to_vec();
        other.handle(0, Event::Members { kind: ListKind::Full, hosts }, &mut Vec::new());
        other
    };
    for i in 0..20 {
        let (call, group) = (format!("c{i}"), format!("g{i}"));
        let (x, y) = (a.demand(9, &call, 0, Some(&group)), b.demand(9, &call, 0, Some(&group)));
        assert_eq!(x, y);
        a.report_finished(9, &call, sent_host(&x).expect("placed"), Outcome::Ok, true);
        b.report_finished(9, &call, sent_host(&y).expect("placed"), Outcome::Ok, true);
    }
}

#[test]
fn the_group_key_leads_then_the_client_key_then_the_id() {
    let mut node = Node::new(settings(), 1..=10);
    let mut place = |call: &str, key: Option<&str>, group: Option<&str>| {
        let (key, group) = (key.map(Into::into), group.map(Into::into));
        let out = node.handle_event(0, Event::Demand(Demand { key, group, ..Demand::new(call, 0, S) }));
        let host = sent_host(&out).expect("placed");
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
fn a_circle_that_changed_point_by_point_equals_one_built_afresh() {
    let mut changed = Node::new(settings(), 1..=30);
    let gone = |h: HostId| Entry { state: HostState::Gone, ..Entry::ready(h) };
    changed.update_members(1, ListKind::Changes, vec![gone(3), Entry::ready(40), gone(17), Entry::ready(41)]);
    changed.update_members(2, ListKind::Changes, vec![Entry::ready(3), gone(40), gone(99)]);
    changed.update_members(3, ListKind::Full, (2..=35).filter(|h| *h != 20).map(Entry::ready).collect());
    changed.update_members(4, ListKind::Changes, vec![gone(5), Entry::ready(5), Entry::ready(5)]);
    let mut fresh = Node::new(settings(), (2..=35).filter(|h| *h != 20));
    for i in 0..2000 {
        let (call, group) = (format!("c{i}"), format!("g{i}"));
        // Every successor in turn, not the first alone.
        let mut out = (changed.demand(9, &call, 0, Some(&group)), fresh.demand(9, &call, 0, Some(&group)));
        for _ in 0..3 {
            assert_eq!(out.0, out.1);
            let host = sent_host(&out.0).expect("placed");
            let full = |node: &mut Node| node.report_finished(9, &call, host, Outcome::Moot, false);
            out = (full(&mut changed), full(&mut fresh));
        }
        changed.report_finished(9, &call, sent_host(&out.0).expect("placed"), Outcome::Ok, true);
        fresh.report_finished(9, &call, sent_host(&out.1).expect("placed"), Outcome::Ok, true);
    }
}
