//! One test for each failure found on the bench's simulated days; the write-ups are in docs/incidents.

mod common;
use common::*;
use oakdeal::*;
use std::collections::BTreeMap;

fn spread(node: &mut Node, now: Micros, group: &str, n: usize) -> BTreeMap<HostId, usize> {
    let mut count = BTreeMap::new();
    for i in 0..n {
        *count.entry(node.open_connection(now, &format!("{group}-{i}"), Some(group))).or_default() += 1;
    }
    count
}

/// Past connections of many groups: beside them the group of a test is a small one.
fn spread_out(node: &mut Node) {
    for i in 0..100 {
        let (call, group) = (format!("past{i}"), format!("past{}", i % 50));
        let host = node.open_connection(0, &call, Some(&group));
        node.report_finished(0, &call, host, Outcome::Ok, true);
    }
}

#[test]
fn a_group_too_large_for_one_arc_spills_late_and_to_few() {
    let mut node = Node::new(settings(), 1..=10);
    for i in 0..40 {
        node.open_connection(0, &format!("other{i}"), Some(&format!("g{i}")));
    }
    let count = spread(&mut node, S, "big", 40);
    assert!((2..=5).contains(&count.len()), "{count:?}");
    assert!(count.values().all(|&n| n < 30), "{count:?}");
    let mut small = Node::new(settings(), 1..=10);
    assert_eq!(spread(&mut small, 0, "few", 2).len(), 1, "a small group stays together");
}

#[test]
fn an_ended_connection_makes_room_again() {
    let mut node = Node::new(settings(), 1..=6);
    spread_out(&mut node);
    let first = sent_host(&node.demand_with_key(0, "x0", "k", "g")).expect("placed");
    for i in 0..30 {
        let call = format!("y{i}");
        let host = sent_host(&node.demand_with_key(i * S, &call, "k", "g")).expect("placed");
        assert_eq!(host, first, "loads must not grow with ended connections");
        node.opened(i * S, &call, host);
        node.report_finished(i * S, &call, host, Outcome::Ok, true);
    }
}

#[test]
fn a_host_whose_messages_are_slow_takes_nothing_new_and_past_the_aim_loses_connections() {
    let mut node = Node::new(settings(), 1..=6);
    let home = node.open_connection(0, "a0", Some("g"));
    for i in 1..6 {
        node.handle_event(
            0,
            Event::Adopted(Demand { group: Some("g".into()), ..Demand::new(&format!("a{i}"), 0, 0) }, home),
        );
    }
    for i in 0..20 {
        node.open_connection(0, &format!("o{i}"), Some(&format!("o{i}")));
    }
    let slow = |delay| Event::DelayNote { host: home, delay };
    assert!(node.handle_event(S, slow(10 * MS)).is_empty(), "under a third of the aim means nothing");
    assert!(node.handle_event(S, slow(60 * MS)).is_empty(), "under the aim nobody is moved");
    let next = sent_host(&node.demand(S, "new", 0, Some("g"))).expect("placed");
    assert_ne!(next, home, "the walk passes it");
    let moved = node.handle_event(3 * S, slow(300 * MS));
    assert!(!moved.is_empty() && moved.iter().all(|a| matches!(a, Action::Move { .. })), "{moved:?}");
}

#[test]
fn nobody_is_moved_or_taken_in_when_no_host_has_room() {
    let mut node = Node::new(settings(), 1..=3);
    for i in 0..30 {
        node.open_connection(0, &format!("c{i}"), Some(&format!("g{i}")));
    }
    for host in 1..=3 {
        node.handle_event(S, Event::DelayNote { host, delay: 50 * MS });
    }
    assert!(node.handle_event(2 * S, Event::DelayNote { host: 1, delay: 300 * MS }).is_empty());
    assert!(refused(&node.demand(2 * S, "new", 0, Some("g5"))), "early refusal");
    assert!(sent_host(&node.demand(200 * S, "later", 0, Some("g5"))).is_some(), "ceilings are forgotten");
}

#[test]
fn a_learned_ceiling_of_an_empty_host_grows_back() {
    let mut node = Node::new(settings(), [1]);
    node.handle_event(S, Event::DelayNote { host: 1, delay: 90 * MS });
    assert_eq!(sent_host(&node.demand(2 * S, "a", 0, None)), Some(1));
}

#[test]
fn a_failing_host_is_ejected_and_comes_back_by_one_trial() {
    let mut node = Node::new(settings(), 1..=6);
    spread_out(&mut node);
    let home = sent_host(&node.demand_with_key(0, "a", "k", "g")).expect("placed");
    let next = sent_host(&node.finished(MS, "a", home, Outcome::Error)).expect("walks on at once");
    node.opened(2 * MS, "a", next);
    assert_eq!(sent_host(&node.demand_with_key(3 * MS, "b", "k", "g")), Some(next), "ejected");
    assert_eq!(sent_host(&node.demand_with_key(S, "c", "k", "g")), Some(home), "half-open: one trial");
    assert_ne!(sent_host(&node.demand_with_key(S, "d", "k", "g")), Some(home), "and only one");
    node.opened(S, "c", home);
    assert_eq!(sent_host(&node.demand_with_key(S, "e", "k", "g")), Some(home), "in again");
}

#[test]
fn when_most_hosts_fail_the_live_ones_come_first_and_the_circle_last() {
    let mut node = Node::new(
        Settings {
            limits: Limits {
                max_attempts: 9,
                probes: false,
                probes_report_load: false,
                max_retry_after: None,
            },
            ..settings()
        },
        1..=5,
    );
    let dead = |host: HostId| host != 3;
    for i in 0..8 {
        let call = format!("c{i}");
        let mut out = node.demand(i, &call, 0, Some(&format!("g{i}")));
        while let Some(host) = sent_host(&out) {
            if !dead(host) {
                node.opened(i, &call, host);
                node.report_finished(i, &call, host, Outcome::Ok, true);
                break;
            }
            out = node.finished(i, &call, host, Outcome::ConnectFailed);
        }
    }
    assert_eq!(sent_host(&node.demand(10, "x", 0, Some("g9"))), Some(3));
    let next = sent_host(&node.finished(11, "x", 3, Outcome::Error));
    assert!(next.is_some_and(dead), "all look bad: the own view is suspect, so the circle decides");
}

#[test]
fn returning_clients_do_not_swell_the_cold_budget() {
    let mut node = Node::new(settings(), 1..=3);
    let start = 30 * S;
    node.update_members(start, ListKind::Changes, vec![Entry { ready_at: start, ..Entry::ready(4) }]);
    let mut at_cold = 0;
    for i in 0..2000 {
        let (now, call) = (start + i * MS, format!("r{i}"));
        if let Some(host) = sent_host(&node.demand(now, &call, 0, Some(&format!("g{i}")))) {
            at_cold += usize::from(host == 4);
            node.report_finished(now, &call, host, Outcome::Reset, true);
        }
    }
    assert!(at_cold <= 2, "{at_cold}");
}

#[test]
fn a_tenant_over_its_share_leaves_first() {
    let tenants =
        vec![Tenant { fraction: 0.5, ..Tenant::default() }, Tenant { fraction: 0.5, ..Tenant::default() }];
    let mut node = Node::new(Settings { tenants, over_share_worth: 0.1, ..settings() }, 1..=3);
    let of = |tenant, call: &str| {
        Event::Demand(Demand {
            tenant: Some(tenant),
            group: Some(call.into()),
            ..Demand::new(call, 0, 2 * S)
        })
    };
    for i in 0..40 {
        let call = format!("c{i}");
        let host = sent_host(&node.handle_event(0, of(usize::from(i % 10 == 0), &call))).expect("placed");
        node.opened(0, &call, host);
    }
    for host in 1..=3 {
        node.handle_event(S, Event::DelayNote { host, delay: 50 * MS });
    }
    for i in 0..6 {
        node.report_finished(S, &format!("c{i}"), 0, Outcome::Ok, true);
    }
    let now = 2 * S;
    assert!(refused(&node.handle_event(now, of(0, "greedy"))));
    assert!(sent_host(&node.handle_event(now, of(1, "modest"))).is_some());
}

#[test]
fn an_attempt_waits_for_its_aim_and_the_last_one_for_its_client() {
    let mut node = Node::new(settings(), 1..=8);
    let mut out = node.demand(0, "a", 0, None);
    let mut waits = Vec::new();
    while let [Action::Send { host, patience, .. }] = out[..] {
        waits.push(patience);
        out = node.finished(MS, "a", host, Outcome::ConnectFailed);
    }
    assert_eq!(waits, vec![300 * MS, 300 * MS, 300 * MS, 2 * S - MS]);
}

/// Guards against requests that no server can use (a bad client's, under an id that is open elsewhere): each
/// passed over every host that it was tried at, and the usual clients lost their homes.
#[test]
fn a_request_that_several_hosts_send_back_is_held_against_the_first_alone() {
    let mut node = Node::new(settings(), 1..=6);
    let mut tried = vec![sent_host(&node.demand(S, "bad", 0, Some("g"))).expect("a first try")];
    while tried.len() < 4 {
        let out = node.finished(S, "bad", tried[tried.len() - 1], Outcome::Error);
        tried.push(sent_host(&out).expect("a further try"));
    }
    assert!(refused(&node.finished(S, "bad", tried[3], Outcome::Error)));
    assert_eq!(node.open_connection(S, "usual", Some("g")), tried[1], "the next clockwise");
}

/// Guards against a host that has stopped keeping four fifths of its connections, and then of the rest.
#[test]
fn a_host_that_has_stopped_keeps_nothing() {
    let mut node = Node::new(settings(), 1..=6);
    for i in 0..24 {
        node.open_connection(0, &format!("a{i}"), Some(&format!("g{i}")));
    }
    let home = node.open_connection(0, "one", Some("g0"));
    let slow = node.handle_event(S, Event::DelayNote { host: home, delay: 61 * S });
    let moved = slow.iter().filter(|a| matches!(a, Action::Move { .. })).count();
    assert!(
        moved >= 2 && node.handle_event(3 * S, Event::DelayNote { host: home, delay: 63 * S }).is_empty(),
        "{slow:?}"
    );
}

/// Guards against clients being turned away for the sake of groups while a host stands idle.
#[test]
fn nobody_is_turned_away_while_any_host_has_room() {
    let mut node = Node::new(settings(), 1..=6);
    for i in 0..30 {
        node.open_connection(0, &format!("c{i}"), Some(&format!("g{i}")));
    }
    for host in 1..=5 {
        node.handle_event(S, Event::DelayNote { host, delay: 50 * MS });
    }
    for i in 0..6 {
        assert_eq!(sent_host(&node.demand(S, &format!("new{i}"), 0, Some(&format!("g{i}")))), Some(6));
    }
}
