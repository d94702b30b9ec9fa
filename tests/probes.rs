//! Probes of hosts whose state is in doubt, and the decisions that follow from their answers.

mod common;
use common::*;
use oakdeal::*;

/// Settings with probes that report the load, and with retry delays of up to 2 s.
fn settings_with_probes() -> Settings {
    let mut s = settings();
    s.limits =
        Limits { max_attempts: 4, probes: true, probes_report_load: true, max_retry_after: Some(2 * S) };
    s
}

/// Returns the host of the first probe among the actions.
fn probed_host(actions: &[Action]) -> Option<HostId> {
    actions.iter().find_map(|a| match a {
        Action::Probe { host } => Some(*host),
        _ => None,
    })
}

/// Handles a repeated request of one client.
fn demand_of_returning_client(node: &mut Node, now: Micros, call: &str) -> Vec<Action> {
    let key = Some("k".into());
    node.handle_event(now, Event::Demand(Demand { key, repeat: true, ..Demand::new(call, 0, 2 * S) }))
}

/// Handles the result of a probe.
fn answer_probe(
    node: &mut Node,
    now: Micros,
    host: HostId,
    outcome: Outcome,
    load: Option<f64>,
) -> Vec<Action> {
    node.handle_event(now, Event::Probed { host, outcome, load })
}

#[test]
fn hosts_are_not_probed_without_doubt_or_when_probes_are_disabled() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    for i in 0..50 {
        assert!(sent_host(&node.demand(S + i * MS, &format!("a{i}"), 0, None)).is_some());
    }
    let mut node = Node::new(settings(), 1..=5);
    assert!(sent_host(&demand_of_returning_client(&mut node, S, "b")).is_some());
}

#[test]
fn a_returning_client_is_held_for_a_probe_of_its_host_and_sent_there_if_it_answers() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    let actions = demand_of_returning_client(&mut node, S, "a");
    let host = probed_host(&actions).expect("a probe before the send");
    assert_eq!(sent_host(&actions), None);
    assert_eq!(sent_host(&answer_probe(&mut node, S + MS, host, Outcome::Ok, Some(0.3))), Some(host));
}

#[test]
fn a_lost_probe_leads_to_the_next_host_at_the_timeout_and_its_late_answer_has_no_effect() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    let actions = demand_of_returning_client(&mut node, S, "a");
    let host = probed_host(&actions).expect("a probe before the send");
    let Some(Action::Timer { at, token }) = actions.last().cloned() else { panic!("{actions:?}") };
    assert!(at < S + 100 * MS, "well within the setup target");
    let next = probed_host(&node.handle_event(at, Event::Timer { token })).expect("the next successor");
    assert_ne!(next, host);
    assert!(answer_probe(&mut node, at + MS, host, Outcome::Ok, None).is_empty());
    assert_eq!(sent_host(&answer_probe(&mut node, at + MS, next, Outcome::Ok, None)), Some(next));
}

#[test]
fn a_host_that_reports_overload_is_skipped_and_a_busy_one_is_used_only_if_all_are_busy() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    let first = probed_host(&demand_of_returning_client(&mut node, S, "a")).expect("probed");
    let second = probed_host(&answer_probe(&mut node, S + MS, first, Outcome::Ok, Some(0.7)))
        .expect("a probe of the next host");
    let third = probed_host(&answer_probe(&mut node, S + 2 * MS, second, Outcome::Ok, Some(1.5)))
        .expect("a probe of the third host");
    assert_eq!(sent_host(&answer_probe(&mut node, S + 3 * MS, third, Outcome::Ok, Some(0.7))), Some(first));
}

#[test]
fn a_held_request_is_dropped_when_its_client_disconnects() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    let host = probed_host(&demand_of_returning_client(&mut node, S, "a")).expect("probed");
    node.handle_event(S, Event::Vanished { call: "a".into() });
    assert!(answer_probe(&mut node, S + MS, host, Outcome::Ok, None).is_empty());
}

#[test]
fn a_held_request_is_decided_within_the_setup_target_and_a_refusal_has_a_retry_delay() {
    // The decision is made within the setup target, by the timeout of a probe at the latest, whatever the probes answer.
    let mut node = Node::new(settings_with_probes(), 1..=8);
    let mut now = S;
    let mut actions = demand_of_returning_client(&mut node, now, "a");
    while let Some(Action::Timer { at, token }) = actions.last().cloned() {
        now = at;
        actions = node.handle_event(now, Event::Timer { token });
    }
    assert!(now <= S + 300 * MS, "{now}");
    assert!(sent_host(&actions).is_some() || refused(&actions), "{actions:?}");
    let retry_delay = |limits: Limits| {
        let mut node = Node::new(Settings { limits, ..settings_with_probes() }, []);
        match &node.demand(0, "b", 0, None)[..] {
            [Action::Refuse { retry_after, .. }] => *retry_after,
            other => panic!("{other:?}"),
        }
    };
    assert!(retry_delay(settings_with_probes().limits).is_some_and(|after| after <= 2 * S));
    assert_eq!(retry_delay(Limits { max_retry_after: None, ..settings_with_probes().limits }), None);
}

#[test]
fn one_late_message_moves_connections_from_a_busy_or_silent_host_but_not_from_an_idle_one() {
    for (probe_outcome, load, moves_expected) in
        [(Outcome::Ok, 0.2, false), (Outcome::Ok, 0.9, true), (Outcome::Timeout, 0.0, true)]
    {
        let mut node = Node::new(settings_with_probes(), 1..=5);
        let hosts: Vec<HostId> = (0..30).map(|i| node.open_connection(S, &format!("a{i}"), None)).collect();
        let home_host = hosts[0];
        let late_message = Event::DelayNote { host: home_host, delay: 400 * MS };
        let actions = node.handle_event(5 * S, late_message.clone());
        assert_eq!(probed_host(&actions), Some(home_host));
        let actions = answer_probe(&mut node, 5 * S + MS, home_host, probe_outcome, Some(load));
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Move { .. })),
            moves_expected,
            "{probe_outcome:?} {load}"
        );
        let actions = node.handle_event(6 * S, late_message);
        assert!(
            moves_expected || actions.iter().any(|a| matches!(a, Action::Move { .. })),
            "a second late message is not taken for a short pause"
        );
    }
}

#[test]
fn hosts_that_a_list_adds_are_probed_first_and_skipped_after_one_error() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    node.update_members(S, ListKind::Changes, (6..=10).map(Entry::ready).collect());
    let mut probes_of_added_hosts = 0;
    for i in 0..60 {
        let now = 2 * S + i * 10 * MS;
        let mut actions = node.demand(now, &format!("a{i}"), 0, None);
        while let Some(host) = probed_host(&actions) {
            probes_of_added_hosts += u32::from(host > 5);
            let outcome = if host > 5 { Outcome::Error } else { Outcome::Ok };
            actions = answer_probe(&mut node, now, host, outcome, None);
        }
        assert!(sent_host(&actions).is_some_and(|host| host <= 5), "{actions:?}");
    }
    assert_eq!(probes_of_added_hosts, 5, "each host is probed once in 16 s");
}

#[test]
fn with_a_high_cross_zone_price_the_own_zone_is_tried_first_and_other_zones_when_it_fails() {
    let node_with_price = |price: f64| {
        let mut s = settings();
        (s.zones, s.zone, s.cross_zone_price) = (3, Some(1), price);
        let mut node = Node::new(s, []);
        let hosts = (0..12).map(|h| Entry { zone: Some(h as usize % 3), ..Entry::ready(h) }).collect();
        node.update_members(0, ListKind::Full, hosts);
        node
    };
    let count_in_own_zone = |node: &mut Node| {
        let in_own_zone = (0..60).filter(|i| {
            let host = sent_host(&node.demand(S, &format!("a{i}"), 0, None)).expect("placed");
            node.report_finished(S, &format!("a{i}"), host, Outcome::Ok, true);
            host % 3 == 1
        });
        in_own_zone.count()
    };
    assert!(count_in_own_zone(&mut node_with_price(0.12)) >= 55);
    assert!(
        count_in_own_zone(&mut node_with_price(0.02)) <= 35,
        "with a low price a group has one home host in any zone"
    );
    let mut node = node_with_price(0.12);
    for i in 0..3 {
        let host = sent_host(&node.demand(S, &format!("b{i}"), 0, Some("g"))).expect("placed");
        assert_eq!(host % 3, 1);
        let next = sent_host(&node.finished(S, &format!("b{i}"), host, Outcome::ConnectFailed));
        assert!(next.is_some(), "the walk continues into other zones");
        node.report_finished(S, &format!("b{i}"), next.unwrap_or(0), Outcome::Ok, true);
    }
}

#[test]
fn the_timer_of_an_answered_probe_does_not_end_the_next_probe() {
    let mut node = Node::new(settings_with_probes(), 1..=5);
    let actions = demand_of_returning_client(&mut node, S, "a");
    let home_host = probed_host(&actions).expect("a probe before the send");
    let Some(Action::Timer { at, token }) = actions.last().cloned() else { panic!("{actions:?}") };
    assert_eq!(
        sent_host(&answer_probe(&mut node, S + MS, home_host, Outcome::Ok, Some(0.1))),
        Some(home_host)
    );
    // A late message causes another probe before the first timer fires.
    assert_eq!(
        probed_host(&node.handle_event(at - MS, Event::DelayNote { host: home_host, delay: 400 * MS })),
        Some(home_host)
    );
    node.handle_event(at, Event::Timer { token });
    assert_eq!(
        sent_host(&demand_of_returning_client(&mut node, at, "b")),
        Some(home_host),
        "the second probe does not count as failed"
    );
}
