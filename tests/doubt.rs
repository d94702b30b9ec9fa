//! Probes where there is cause for doubt, and what their answers are good for.

mod common;
use common::*;
use oakdeal::*;

fn probing() -> Settings {
    let mut s = settings();
    s.limits =
        Limits { max_attempts: 4, probes: true, probes_report_load: true, max_retry_after: Some(2 * S) };
    s
}

fn probed(actions: &[Action]) -> Option<HostId> {
    actions.iter().find_map(|a| match a {
        Action::Probe { host } => Some(*host),
        _ => None,
    })
}

fn back(node: &mut Node, now: Micros, call: &str) -> Vec<Action> {
    let key = Some("k".into());
    node.handle_event(now, Event::Demand(Demand { key, repeat: true, ..Demand::new(call, 0, 2 * S) }))
}

fn pong(node: &mut Node, now: Micros, host: HostId, outcome: Outcome, load: Option<f64>) -> Vec<Action> {
    node.handle_event(now, Event::Probed { host, outcome, load })
}

#[test]
fn in_calm_times_nothing_is_probed_and_without_leave_never() {
    let mut node = Node::new(probing(), 1..=5);
    for i in 0..50 {
        assert!(sent_host(&node.demand(S + i * MS, &format!("a{i}"), 0, None)).is_some());
    }
    let mut node = Node::new(settings(), 1..=5);
    assert!(sent_host(&back(&mut node, S, "b")).is_some());
}

#[test]
fn a_returning_client_waits_for_a_probe_of_its_host_and_goes_there_if_it_answers() {
    let mut node = Node::new(probing(), 1..=5);
    let out = back(&mut node, S, "a");
    let host = probed(&out).expect("probed first");
    assert_eq!(sent_host(&out), None);
    assert_eq!(sent_host(&pong(&mut node, S + MS, host, Outcome::Ok, Some(0.3))), Some(host));
}

#[test]
fn a_probe_that_is_lost_sends_the_client_on_when_the_timer_comes_and_its_late_answer_does_nothing() {
    let mut node = Node::new(probing(), 1..=5);
    let out = back(&mut node, S, "a");
    let host = probed(&out).expect("probed first");
    let Some(Action::Timer { at, token }) = out.last().cloned() else { panic!("{out:?}") };
    assert!(at < S + 100 * MS, "well inside the aim");
    let next = probed(&node.handle_event(at, Event::Timer { token })).expect("the next successor");
    assert_ne!(next, host);
    assert!(pong(&mut node, at + MS, host, Outcome::Ok, None).is_empty());
    assert_eq!(sent_host(&pong(&mut node, at + MS, next, Outcome::Ok, None)), Some(next));
}

#[test]
fn a_host_that_reports_that_it_is_full_is_passed_and_a_busy_one_taken_only_if_all_are() {
    let mut node = Node::new(probing(), 1..=5);
    let first = probed(&back(&mut node, S, "a")).expect("probed");
    let second = probed(&pong(&mut node, S + MS, first, Outcome::Ok, Some(0.7))).expect("looks on");
    let third = probed(&pong(&mut node, S + 2 * MS, second, Outcome::Ok, Some(1.5))).expect("and on");
    assert_eq!(sent_host(&pong(&mut node, S + 3 * MS, third, Outcome::Ok, Some(0.7))), Some(first));
}

#[test]
fn a_held_request_that_its_client_left_is_dropped() {
    let mut node = Node::new(probing(), 1..=5);
    let host = probed(&back(&mut node, S, "a")).expect("probed");
    node.handle_event(S, Event::Vanished { call: "a".into() });
    assert!(pong(&mut node, S + MS, host, Outcome::Ok, None).is_empty());
}

#[test]
fn no_request_is_held_to_its_end_and_a_refusal_says_when_to_come_back() {
    // Whatever the probes say, a decision falls within the aim, and it is made by the probe's time at the latest.
    let mut node = Node::new(probing(), 1..=8);
    let mut now = S;
    let mut out = back(&mut node, now, "a");
    while let Some(Action::Timer { at, token }) = out.last().cloned() {
        now = at;
        out = node.handle_event(now, Event::Timer { token });
    }
    assert!(now <= S + 300 * MS, "{now}");
    assert!(sent_host(&out).is_some() || refused(&out), "{out:?}");
    let advice = |limits: Limits| {
        let mut node = Node::new(Settings { limits, ..probing() }, []);
        match &node.demand(0, "b", 0, None)[..] {
            [Action::Refuse { retry_after, .. }] => *retry_after,
            other => panic!("{other:?}"),
        }
    };
    assert!(advice(probing().limits).is_some_and(|after| after <= 2 * S));
    assert_eq!(advice(Limits { max_retry_after: None, ..probing().limits }), None);
}

#[test]
fn one_late_message_of_an_idle_host_moves_nobody_and_a_busy_or_silent_host_is_relieved_at_once() {
    for (answer, load, moved) in
        [(Outcome::Ok, 0.2, false), (Outcome::Ok, 0.9, true), (Outcome::Timeout, 0.0, true)]
    {
        let mut node = Node::new(probing(), 1..=5);
        let hosts: Vec<HostId> = (0..30).map(|i| node.open_connection(S, &format!("a{i}"), None)).collect();
        let home = hosts[0];
        let late = Event::DelayNote { host: home, delay: 400 * MS };
        let out = node.handle_event(5 * S, late.clone());
        assert_eq!(probed(&out), Some(home));
        let out = pong(&mut node, 5 * S + MS, home, answer, Some(load));
        assert_eq!(out.iter().any(|a| matches!(a, Action::Move { .. })), moved, "{answer:?} {load}");
        let out = node.handle_event(6 * S, late);
        assert!(
            moved || out.iter().any(|a| matches!(a, Action::Move { .. })),
            "a second later it is no pause"
        );
    }
}

#[test]
fn foreign_hosts_that_a_list_adds_are_probed_first_and_left_alone_after_one_error() {
    let mut node = Node::new(probing(), 1..=5);
    node.update_members(S, ListKind::Changes, (6..=10).map(Entry::ready).collect());
    let mut foreign = 0;
    for i in 0..60 {
        let now = 2 * S + i * 10 * MS;
        let mut out = node.demand(now, &format!("a{i}"), 0, None);
        while let Some(host) = probed(&out) {
            foreign += u32::from(host > 5);
            let answer = if host > 5 { Outcome::Error } else { Outcome::Ok };
            out = pong(&mut node, now, host, answer, None);
        }
        assert!(sent_host(&out).is_some_and(|host| host <= 5), "{out:?}");
    }
    assert_eq!(foreign, 5, "each once, in sixteen seconds");
}

#[test]
fn where_crossing_zones_is_dear_the_own_zone_comes_first_and_the_others_when_it_fails() {
    let zones = |price: f64| {
        let mut s = settings();
        (s.zones, s.zone, s.cross_zone_price) = (3, Some(1), price);
        let mut node = Node::new(s, []);
        let hosts = (0..12).map(|h| Entry { zone: Some(h as usize % 3), ..Entry::ready(h) }).collect();
        node.update_members(0, ListKind::Full, hosts);
        node
    };
    let share = |node: &mut Node| {
        let own = (0..60).filter(|i| {
            let host = sent_host(&node.demand(S, &format!("a{i}"), 0, None)).expect("placed");
            node.report_finished(S, &format!("a{i}"), host, Outcome::Ok, true);
            host % 3 == 1
        });
        own.count()
    };
    assert!(share(&mut zones(0.12)) >= 55);
    assert!(share(&mut zones(0.02)) <= 35, "cheap crossings: one home for a group");
    let mut node = zones(0.12);
    for i in 0..3 {
        let host = sent_host(&node.demand(S, &format!("b{i}"), 0, Some("g"))).expect("placed");
        assert_eq!(host % 3, 1);
        let next = sent_host(&node.finished(S, &format!("b{i}"), host, Outcome::ConnectFailed));
        assert!(next.is_some(), "the walk goes on, over the zone's end at last");
        node.report_finished(S, &format!("b{i}"), next.unwrap_or(0), Outcome::Ok, true);
    }
}

#[test]
fn the_timer_of_a_probe_that_was_answered_does_not_end_the_next_one() {
    let mut node = Node::new(probing(), 1..=5);
    let out = back(&mut node, S, "a");
    let home = probed(&out).expect("probed first");
    let Some(Action::Timer { at, token }) = out.last().cloned() else { panic!("{out:?}") };
    assert_eq!(sent_host(&pong(&mut node, S + MS, home, Outcome::Ok, Some(0.1))), Some(home));
    // A late message asks again before the first timer comes.
    assert_eq!(
        probed(&node.handle_event(at - MS, Event::DelayNote { host: home, delay: 400 * MS })),
        Some(home)
    );
    node.handle_event(at, Event::Timer { token });
    assert_eq!(sent_host(&back(&mut node, at, "b")), Some(home), "it is not held to have failed");
}
