//! One test for each failure found in simulated scenarios; docs/incidents describes them.

mod common;
use common::*;
use oakdeal::*;
use std::collections::BTreeMap;

/// Opens `n` connections of a group and returns how many each host got.
fn place_group(node: &mut Node, now: Micros, group: &str, n: usize) -> BTreeMap<HostId, usize> {
    let mut count = BTreeMap::new();
    for i in 0..n {
        *count.entry(node.open_connection(now, &format!("{group}-{i}"), Some(group))).or_default() += 1;
    }
    count
}

/// Opens and ends connections of many groups, so that the group of a test is a small part of the traffic.
fn place_past_groups(node: &mut Node) {
    for i in 0..100 {
        let (call, group) = (format!("past{i}"), format!("past{}", i % 50));
        let host = node.open_connection(0, &call, Some(&group));
        node.report_finished(0, &call, host, Outcome::Ok, true);
    }
}

#[test]
fn a_group_too_large_for_one_arc_spills_to_few_hosts() {
    let mut node = Node::new(settings(), 1..=10);
    for i in 0..40 {
        node.open_connection(0, &format!("other{i}"), Some(&format!("g{i}")));
    }
    let count = place_group(&mut node, S, "big", 40);
    assert!((2..=5).contains(&count.len()), "{count:?}");
    assert!(count.values().all(|&n| n < 30), "{count:?}");
    let mut node_with_small_group = Node::new(settings(), 1..=10);
    assert_eq!(place_group(&mut node_with_small_group, 0, "few", 2).len(), 1, "a small group stays together");
}

#[test]
fn ended_connections_no_longer_count_as_load() {
    let mut node = Node::new(settings(), 1..=6);
    place_past_groups(&mut node);
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
fn a_host_with_slow_messages_gets_nothing_new_and_beyond_the_delay_target_loses_connections() {
    let mut node = Node::new(settings(), 1..=6);
    let home_host = node.open_connection(0, "a0", Some("g"));
    for i in 1..6 {
        node.handle_event(
            0,
            Event::Adopted(
                Demand { group: Some("g".into()), ..Demand::new(&format!("a{i}"), 0, 0) },
                home_host,
            ),
        );
    }
    for i in 0..20 {
        node.open_connection(0, &format!("o{i}"), Some(&format!("o{i}")));
    }
    let delay_note = |delay| Event::DelayNote { host: home_host, delay };
    assert!(
        node.handle_event(S, delay_note(10 * MS)).is_empty(),
        "a delay under a third of the target has no effect"
    );
    assert!(node.handle_event(S, delay_note(60 * MS)).is_empty(), "no connection is moved below the target");
    let next = sent_host(&node.demand(S, "new", 0, Some("g"))).expect("placed");
    assert_ne!(next, home_host, "the walk skips it");
    let moved = node.handle_event(3 * S, delay_note(300 * MS));
    assert!(!moved.is_empty() && moved.iter().all(|a| matches!(a, Action::Move { .. })), "{moved:?}");
}

#[test]
fn no_client_is_moved_or_admitted_when_no_host_has_capacity() {
    let mut node = Node::new(settings(), 1..=3);
    for i in 0..30 {
        node.open_connection(0, &format!("c{i}"), Some(&format!("g{i}")));
    }
    for host in 1..=3 {
        node.handle_event(S, Event::DelayNote { host, delay: 50 * MS });
    }
    assert!(node.handle_event(2 * S, Event::DelayNote { host: 1, delay: 300 * MS }).is_empty());
    assert!(refused(&node.demand(2 * S, "new", 0, Some("g5"))), "refused early");
    assert!(sent_host(&node.demand(200 * S, "later", 0, Some("g5"))).is_some(), "learned ceilings expire");
}

#[test]
fn a_learned_ceiling_of_an_empty_host_grows_back() {
    let mut node = Node::new(settings(), [1]);
    node.handle_event(S, Event::DelayNote { host: 1, delay: 90 * MS });
    assert_eq!(sent_host(&node.demand(2 * S, "a", 0, None)), Some(1));
}

#[test]
fn a_failing_host_is_ejected_and_readmitted_after_one_successful_trial() {
    let mut node = Node::new(settings(), 1..=6);
    place_past_groups(&mut node);
    let home_host = sent_host(&node.demand_with_key(0, "a", "k", "g")).expect("placed");
    let next = sent_host(&node.finished(MS, "a", home_host, Outcome::Error)).expect("the next host at once");
    node.opened(2 * MS, "a", next);
    assert_eq!(sent_host(&node.demand_with_key(3 * MS, "b", "k", "g")), Some(next), "ejected");
    assert_eq!(
        sent_host(&node.demand_with_key(S, "c", "k", "g")),
        Some(home_host),
        "one trial after the ejection"
    );
    assert_ne!(
        sent_host(&node.demand_with_key(S, "d", "k", "g")),
        Some(home_host),
        "only one trial at a time"
    );
    node.opened(S, "c", home_host);
    assert_eq!(sent_host(&node.demand_with_key(S, "e", "k", "g")), Some(home_host), "readmitted");
}

#[test]
fn when_most_hosts_fail_working_ones_are_tried_first_and_the_others_in_ring_order() {
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
    let is_dead = |host: HostId| host != 3;
    for i in 0..8 {
        let call = format!("c{i}");
        let mut actions = node.demand(i, &call, 0, Some(&format!("g{i}")));
        while let Some(host) = sent_host(&actions) {
            if !is_dead(host) {
                node.opened(i, &call, host);
                node.report_finished(i, &call, host, Outcome::Ok, true);
                break;
            }
            actions = node.finished(i, &call, host, Outcome::ConnectFailed);
        }
    }
    assert_eq!(sent_host(&node.demand(10, "x", 0, Some("g9"))), Some(3));
    let next = sent_host(&node.finished(11, "x", 3, Outcome::Error));
    assert!(
        next.is_some_and(is_dead),
        "when all hosts seem to fail, the node ignores its own view and follows the ring order"
    );
}

#[test]
fn returning_clients_do_not_increase_the_cold_budget() {
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
fn a_tenant_over_its_share_is_refused_first() {
    let tenants =
        vec![Tenant { fraction: 0.5, ..Tenant::default() }, Tenant { fraction: 0.5, ..Tenant::default() }];
    let mut node = Node::new(Settings { tenants, over_share_worth: 0.1, ..settings() }, 1..=3);
    let demand_of = |tenant, call: &str| {
        Event::Demand(Demand {
            tenant: Some(tenant),
            group: Some(call.into()),
            ..Demand::new(call, 0, 2 * S)
        })
    };
    for i in 0..40 {
        let call = format!("c{i}");
        let host =
            sent_host(&node.handle_event(0, demand_of(usize::from(i % 10 == 0), &call))).expect("placed");
        node.opened(0, &call, host);
    }
    for host in 1..=3 {
        node.handle_event(S, Event::DelayNote { host, delay: 50 * MS });
    }
    for i in 0..6 {
        node.report_finished(S, &format!("c{i}"), 0, Outcome::Ok, true);
    }
    let now = 2 * S;
    assert!(refused(&node.handle_event(now, demand_of(0, "greedy"))));
    assert!(sent_host(&node.handle_event(now, demand_of(1, "modest"))).is_some());
}

#[test]
fn an_attempt_waits_for_the_setup_target_and_the_last_one_until_the_deadline() {
    let mut node = Node::new(settings(), 1..=8);
    let mut actions = node.demand(0, "a", 0, None);
    let mut timeouts = Vec::new();
    while let [Action::Send { host, patience, .. }] = actions[..] {
        timeouts.push(patience);
        actions = node.finished(MS, "a", host, Outcome::ConnectFailed);
    }
    assert_eq!(timeouts, vec![300 * MS, 300 * MS, 300 * MS, 2 * S - MS]);
}

/// Guards against ejections by requests that every server rejects, such as a faulty client's with an id that is in use:
/// each one ejected all hosts where it was tried, and ordinary clients lost their home hosts.
#[test]
fn a_request_that_several_hosts_fail_counts_against_the_first_host_only() {
    let mut node = Node::new(settings(), 1..=6);
    let mut tried = vec![sent_host(&node.demand(S, "bad", 0, Some("g"))).expect("a first try")];
    while tried.len() < 4 {
        let actions = node.finished(S, "bad", tried[tried.len() - 1], Outcome::Error);
        tried.push(sent_host(&actions).expect("a further try"));
    }
    assert!(refused(&node.finished(S, "bad", tried[3], Outcome::Error)));
    assert_eq!(node.open_connection(S, "usual", Some("g")), tried[1], "only the first host is skipped");
}

/// Guards against a stopped host that keeps four fifths of its connections, and later four fifths of the rest.
#[test]
fn a_stopped_host_keeps_no_connections() {
    let mut node = Node::new(settings(), 1..=6);
    for i in 0..24 {
        node.open_connection(0, &format!("a{i}"), Some(&format!("g{i}")));
    }
    let stopped_host = node.open_connection(0, "one", Some("g0"));
    let actions = node.handle_event(S, Event::DelayNote { host: stopped_host, delay: 61 * S });
    let moved = actions.iter().filter(|a| matches!(a, Action::Move { .. })).count();
    assert!(
        moved >= 2
            && node.handle_event(3 * S, Event::DelayNote { host: stopped_host, delay: 63 * S }).is_empty(),
        "{actions:?}"
    );
}

/// Guards against refusals that keep groups together while a host is idle.
#[test]
fn no_client_is_refused_while_any_host_has_capacity() {
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

/// A request whose attempt fails when a shutdown leaves no more time for its answer is answered and not sent again, though
/// its own deadline is later; an established connection keeps its own.
#[test]
fn no_request_is_sent_again_after_the_limit_of_a_shutdown() {
    let mut node = Node::new(settings(), [1, 2, 3]);
    let host = sent_host(&node.demand(0, "pending", 0, None)).expect("sent");
    let standing = node.open_connection(0, "standing", None);
    node.0.limit_deadlines(S);
    let answered = node.finished(S, "pending", host, Outcome::Timeout);
    assert!(refused(&answered), "{answered:?}");
    let ended = node.report_finished(2 * S, "standing", standing, Outcome::Cancelled, true);
    assert!(ended.is_empty(), "{ended:?}");
}

/// Clients that name ever new groups do not make the records of groups grow without end, and a large group stays known: it
/// is still cut into pieces.
#[test]
fn records_of_groups_are_bounded() {
    let mut node = Node::new(settings(), 1..=10);
    for n in 0..150_000 {
        let group = if n % 3 == 0 { "large".to_string() } else { format!("new{n}") };
        let host = node.open_connection(n, &format!("call{n}"), Some(&group));
        node.report_finished(n, &format!("call{n}"), host, Outcome::Ok, true);
    }
    assert!(node.0.tracked_groups() <= 65_536, "{}", node.0.tracked_groups());
    let count = place_group(&mut node, 200_000, "large", 30);
    assert!(count.len() > 1, "{count:?}");
}
