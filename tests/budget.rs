//! The retry budget: attempts beyond each request's first, within any span.

mod common;
use common::*;
use oakdeal::*;

fn rationed(free: f64, share: f64) -> Node {
    let mut s = settings();
    s.limits.max_attempts = 9;
    s.rules.budget = Some(RetryBudget { free, share, span: 5 * S });
    Node::new(s, 1..=20)
}

/// Fails a fresh request until it is answered: how many further attempts it got.
fn further(node: &mut Node, now: Micros, call: &str, outcome: Outcome) -> usize {
    let mut out = node.demand(now, call, 0, None);
    let mut n = 0;
    while let Some(host) = sent(&out) {
        out = node.finished(now, call, host, outcome);
        n += usize::from(sent(&out).is_some());
    }
    assert!(refused(&out), "{out:?}");
    n
}

#[test]
fn the_bound_is_used_up_and_not_passed() {
    let mut node = rationed(3.0, 0.0);
    assert_eq!(further(&mut node, S, "a", Outcome::Error), 3);
    assert_eq!(further(&mut node, S, "b", Outcome::Error), 0, "one past it");
    // A share of what was taken, this request included: 1 x 0.5 is none, 2 x 0.5 is one.
    let mut node = rationed(0.0, 0.5);
    assert_eq!(further(&mut node, S, "a", Outcome::Error), 0);
    assert_eq!(further(&mut node, S, "b", Outcome::Error), 1);
}

#[test]
fn both_edges_of_the_window_are_on_the_safe_side() {
    let mut node = rationed(1.0, 0.0);
    assert_eq!(further(&mut node, S, "a", Outcome::Error), 1);
    assert_eq!(further(&mut node, 6 * S, "b", Outcome::Error), 0, "exactly a span old: counts still");
    assert_eq!(further(&mut node, 6 * S + 1, "c", Outcome::Error), 1);
    let mut node = rationed(0.0, 0.5);
    node.stand(S, "a", None);
    assert_eq!(further(&mut node, 6 * S, "b", Outcome::Error), 0, "taken exactly a span ago: no more");
    let mut node = rationed(0.0, 0.5);
    node.stand(S, "a", None);
    assert_eq!(further(&mut node, 6 * S - 1, "b", Outcome::Error), 1);
}

#[test]
fn refused_requests_count_as_taken_and_adopted_ones_do_not() {
    let mut node = rationed(0.0, 0.25);
    for i in 0..2 {
        node.tell(S, Event::Adopted(Demand::new(&format!("old{i}"), 0, 0), 1));
    }
    for i in 0..2 {
        // No time is left: refused at once.
        assert!(refused(&node.tell(S, Event::Demand(Demand::new(&format!("r{i}"), 0, 0)))));
    }
    assert_eq!(further(&mut node, S, "a", Outcome::Error), 0, "three taken");
    assert_eq!(further(&mut node, S, "b", Outcome::Error), 1, "four taken");
}

#[test]
fn moot_attempts_are_given_back() {
    let mut node = rationed(1.0, 0.0);
    let first = sent(&node.demand(S, "a", 0, None)).expect("placed");
    let second = sent(&node.finished(S + 1, "a", first, Outcome::Error)).expect("the one allowed");
    let third = sent(&node.finished(S + 2, "a", second, Outcome::Moot)).expect("it was never sent");
    assert!(refused(&node.finished(S + 3, "a", third, Outcome::Error)));
    // A first attempt was none of the budget's: its end as moot gives nothing back.
    let host = sent(&node.demand(2 * S, "b", 0, None)).expect("placed");
    assert!(refused(&node.finished(2 * S, "b", host, Outcome::Moot)));
}

#[test]
fn a_restarted_node_starts_at_nothing_and_without_settings_there_is_no_limit() {
    let mut node = rationed(0.0, 0.5);
    for i in 0..10 {
        node.stand(S, &format!("c{i}"), None);
    }
    let mut again = rationed(0.0, 0.5);
    assert_eq!(further(&mut again, S, "a", Outcome::Error), 0, "what the old process took is not its own");
    let mut free = settings();
    free.limits.max_attempts = 9;
    assert_eq!(further(&mut Node::new(free, 1..=20), S, "a", Outcome::Error), 8);
}

#[test]
fn with_the_budget_spent_an_attempt_waits_for_its_client() {
    let mut node = rationed(1.0, 0.0);
    let wait = |out: &[Action]| match out {
        [Action::Send { host, patience, .. }] => (*host, *patience),
        other => panic!("{other:?}"),
    };
    let (host, patience) = wait(&node.demand(S, "a", 0, None));
    assert_eq!(patience, 300 * MS, "another try is in hand: the aim");
    let (_, patience) = wait(&node.finished(S + 300 * MS, "a", host, Outcome::Timeout));
    assert_eq!(patience, 1700 * MS, "it was the last one");
    assert_eq!(wait(&node.demand(2 * S, "b", 0, None)).1, 2 * S);
}

/// Guards against one tenant's failures using up what others may try again.
#[test]
fn one_tenants_retry_budget_and_attempts_bind_nobody_else_and_can_change() {
    let mut s = settings();
    let tight = RetryBudget { free: 1.0, share: 0.0, span: 5 * S };
    let contract = Tenant { fraction: 1.0, ..Tenant::default() };
    s.tenants = vec![Tenant { sends: Some(2), budget: Some(tight), ..contract.clone() }, contract.clone()];
    let mut node = Node::new(s, 1..=20);
    let ask = |node: &mut Node, call: &str, tenant| {
        let demand = Demand { tenant: Some(tenant), ..Demand::new(call, 0, 2 * S) };
        node.tell(S, Event::Demand(demand))
    };
    // One further attempt for this request, none for the next.
    let host = sent(&ask(&mut node, "a4", 0)).expect("placed");
    let host = sent(&node.finished(S, "a4", host, Outcome::Error)).expect("the one further attempt");
    assert!(refused(&node.finished(S, "a4", host, Outcome::Error)), "two attempts at most");
    let host = sent(&ask(&mut node, "a5", 0)).expect("placed");
    assert!(refused(&node.finished(S, "a5", host, Outcome::Error)), "its budget is spent");
    let host = sent(&ask(&mut node, "b1", 1)).expect("placed");
    assert!(sent(&node.finished(S, "b1", host, Outcome::Error)).is_some(), "the other's is not");
    // Live change: the second is bound from now on, what the first used stays used, and a third has come.
    let one = Tenant { sends: Some(1), ..contract.clone() };
    let wide = Tenant { budget: Some(RetryBudget { free: 2.0, ..tight }), ..contract.clone() };
    assert!(node.tell(S, Event::Tenants(vec![wide, one, contract])).is_empty());
    let host = sent(&ask(&mut node, "b2", 1)).expect("placed");
    assert!(refused(&node.finished(S, "b2", host, Outcome::Error)), "one attempt");
    let host = sent(&ask(&mut node, "a6", 0)).expect("placed");
    let host = sent(&node.finished(S, "a6", host, Outcome::Error)).expect("one more than was used");
    assert!(refused(&node.finished(S, "a6", host, Outcome::Error)));
    assert!(sent(&ask(&mut node, "c1", 2)).is_some());
}
