//! Tests of the retry budget: the limit on attempts beyond the first of each request, within any span.

mod common;
use common::*;
use oakdeal::*;

fn node_with_budget(free: f64, share: f64) -> Node {
    let mut s = settings();
    s.limits.max_attempts = 9;
    s.rules.budget = Some(RetryBudget { free, share, span: 5 * S });
    Node::new(s, 1..=20)
}

/// Fails every attempt of a new request until the request is refused. Returns the number of further attempts.
fn count_further_attempts(node: &mut Node, now: Micros, call: &str, outcome: Outcome) -> usize {
    let mut out = node.demand(now, call, 0, None);
    let mut n = 0;
    while let Some(host) = sent_host(&out) {
        out = node.finished(now, call, host, outcome);
        n += usize::from(sent_host(&out).is_some());
    }
    assert!(refused(&out), "{out:?}");
    n
}

#[test]
fn the_budget_can_be_used_up_but_not_exceeded() {
    let mut node = node_with_budget(3.0, 0.0);
    assert_eq!(count_further_attempts(&mut node, S, "a", Outcome::Error), 3);
    assert_eq!(count_further_attempts(&mut node, S, "b", Outcome::Error), 0, "one beyond the budget");
    // The share applies to the requests received, this one included: 1 x 0.5 allows none, 2 x 0.5 allows one.
    let mut node = node_with_budget(0.0, 0.5);
    assert_eq!(count_further_attempts(&mut node, S, "a", Outcome::Error), 0);
    assert_eq!(count_further_attempts(&mut node, S, "b", Outcome::Error), 1);
}

#[test]
fn at_both_edges_of_the_window_the_budget_rounds_to_fewer_attempts() {
    let mut node = node_with_budget(1.0, 0.0);
    assert_eq!(count_further_attempts(&mut node, S, "a", Outcome::Error), 1);
    assert_eq!(
        count_further_attempts(&mut node, 6 * S, "b", Outcome::Error),
        0,
        "exactly a span old: still counts"
    );
    assert_eq!(count_further_attempts(&mut node, 6 * S + 1, "c", Outcome::Error), 1);
    let mut node = node_with_budget(0.0, 0.5);
    node.open_connection(S, "a", None);
    assert_eq!(
        count_further_attempts(&mut node, 6 * S, "b", Outcome::Error),
        0,
        "received exactly a span ago: no longer counts"
    );
    let mut node = node_with_budget(0.0, 0.5);
    node.open_connection(S, "a", None);
    assert_eq!(count_further_attempts(&mut node, 6 * S - 1, "b", Outcome::Error), 1);
}

#[test]
fn refused_requests_count_towards_the_share_and_adopted_ones_do_not() {
    let mut node = node_with_budget(0.0, 0.25);
    for i in 0..2 {
        node.handle_event(S, Event::Adopted(Demand::new(&format!("old{i}"), 0, 0), 1));
    }
    for i in 0..2 {
        // No time is left: refused at once.
        assert!(refused(&node.handle_event(S, Event::Demand(Demand::new(&format!("r{i}"), 0, 0)))));
    }
    assert_eq!(count_further_attempts(&mut node, S, "a", Outcome::Error), 0, "three requests received");
    assert_eq!(count_further_attempts(&mut node, S, "b", Outcome::Error), 1, "four requests received");
}

#[test]
fn attempts_that_were_never_sent_are_returned_to_the_budget() {
    let mut node = node_with_budget(1.0, 0.0);
    let first = sent_host(&node.demand(S, "a", 0, None)).expect("placed");
    let second = sent_host(&node.finished(S + 1, "a", first, Outcome::Error)).expect("the one allowed");
    let third = sent_host(&node.finished(S + 2, "a", second, Outcome::Moot)).expect("it was never sent");
    assert!(refused(&node.finished(S + 3, "a", third, Outcome::Error)));
    // A first attempt is not charged to the budget, so its end as moot returns nothing.
    let host = sent_host(&node.demand(2 * S, "b", 0, None)).expect("placed");
    assert!(refused(&node.finished(2 * S, "b", host, Outcome::Moot)));
}

#[test]
fn a_restarted_node_starts_with_no_requests_counted_and_without_a_budget_there_is_no_limit() {
    let mut node = node_with_budget(0.0, 0.5);
    for i in 0..10 {
        node.open_connection(S, &format!("c{i}"), None);
    }
    let mut again = node_with_budget(0.0, 0.5);
    assert_eq!(
        count_further_attempts(&mut again, S, "a", Outcome::Error),
        0,
        "requests of the old process do not count"
    );
    let mut unlimited = settings();
    unlimited.limits.max_attempts = 9;
    assert_eq!(count_further_attempts(&mut Node::new(unlimited, 1..=20), S, "a", Outcome::Error), 8);
}

#[test]
fn the_last_attempt_that_the_budget_allows_waits_as_long_as_the_client_does() {
    let mut node = node_with_budget(1.0, 0.0);
    let host_and_patience = |out: &[Action]| match out {
        [Action::Send { host, patience, .. }] => (*host, *patience),
        other => panic!("{other:?}"),
    };
    let (host, patience) = host_and_patience(&node.demand(S, "a", 0, None));
    assert_eq!(patience, 300 * MS, "a further attempt is possible: the aim of the class");
    let (_, patience) = host_and_patience(&node.finished(S + 300 * MS, "a", host, Outcome::Timeout));
    assert_eq!(patience, 1700 * MS, "it is the last attempt");
    assert_eq!(host_and_patience(&node.demand(2 * S, "b", 0, None)).1, 2 * S);
}

/// Guards against the failures of one tenant using up the further attempts of others.
#[test]
fn retry_budget_and_attempt_limit_of_a_tenant_apply_to_it_alone_and_can_change() {
    let mut s = settings();
    let tight = RetryBudget { free: 1.0, share: 0.0, span: 5 * S };
    let contract = Tenant { fraction: 1.0, ..Tenant::default() };
    s.tenants = vec![Tenant { sends: Some(2), budget: Some(tight), ..contract.clone() }, contract.clone()];
    let mut node = Node::new(s, 1..=20);
    let send_demand = |node: &mut Node, call: &str, tenant| {
        let demand = Demand { tenant: Some(tenant), ..Demand::new(call, 0, 2 * S) };
        node.handle_event(S, Event::Demand(demand))
    };
    // One further attempt for this request, none for the next.
    let host = sent_host(&send_demand(&mut node, "a4", 0)).expect("placed");
    let host = sent_host(&node.finished(S, "a4", host, Outcome::Error)).expect("the one further attempt");
    assert!(refused(&node.finished(S, "a4", host, Outcome::Error)), "two attempts at most");
    let host = sent_host(&send_demand(&mut node, "a5", 0)).expect("placed");
    assert!(refused(&node.finished(S, "a5", host, Outcome::Error)), "its budget is used up");
    let host = sent_host(&send_demand(&mut node, "b1", 1)).expect("placed");
    assert!(
        sent_host(&node.finished(S, "b1", host, Outcome::Error)).is_some(),
        "the budget of the other tenant is not"
    );
    // Change at run time: the second tenant is limited from now on, what the first has used stays used, and a third is
    // added.
    let one = Tenant { sends: Some(1), ..contract.clone() };
    let wide = Tenant { budget: Some(RetryBudget { free: 2.0, ..tight }), ..contract.clone() };
    assert!(node.handle_event(S, Event::Tenants(vec![wide, one, contract])).is_empty());
    let host = sent_host(&send_demand(&mut node, "b2", 1)).expect("placed");
    assert!(refused(&node.finished(S, "b2", host, Outcome::Error)), "one attempt");
    let host = sent_host(&send_demand(&mut node, "a6", 0)).expect("placed");
    let host = sent_host(&node.finished(S, "a6", host, Outcome::Error)).expect("one more than it has used");
    assert!(refused(&node.finished(S, "a6", host, Outcome::Error)));
    assert!(sent_host(&send_demand(&mut node, "c1", 2)).is_some());
}
