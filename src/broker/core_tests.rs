//! Tests of one balancer's decisions: contracts across a handover between two processes, loads of returning clients,
//! rebalancing.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const S: Micros = 1_000_000;

fn core(hosts: u32, teams: &[Contract]) -> Core {
    let class = Class {
        setup_target: S,
        repeat_safety: RepeatSafety::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: S,
        message_delay_target: S,
        deadline: 2 * S,
        worth: 1.0,
    };
    let env = crate::wire::Env {
        classes: Some(vec![crate::wire::EnvClass { name: Some("watch".into()), ..Default::default() }]),
        ..Default::default()
    };
    let (_, names) = env.translate().unwrap();
    let settings = Settings { classes: vec![class], peers_total: 1, ..Settings::default() };
    let mut core = Core::new(settings, &names, 1).unwrap();
    let list = Event::Members { kind: ListKind::Cached, hosts: (1..=hosts).map(Entry::ready).collect() };
    core.handle_event(S, list, &mut Vec::new());
    core.set_contracts(S, Some(Terms { contracts: teams.to_vec(), ..Terms::default() }));
    core
}

/// Requests a connection for a client of team south, and returns whether it was established.
fn connect(core: &mut Core, now: Micros, id: &str, key: &str, returned: bool) -> bool {
    let mut demand = Demand { key: Some(key.into()), returned, ..Demand::new(id, 0, 2 * S) };
    let call = demand.call.clone();
    if core.admit(now, &mut demand, Some("south")).is_err() {
        return false;
    }
    let mut actions = Vec::new();
    core.handle_event(now, Event::Demand(demand), &mut actions);
    let Some(host) = actions.iter().find_map(|a| match a {
        Action::Send { host, .. } => Some(*host),
        _ => None,
    }) else {
        return false;
    };
    core.handle_event(now, Event::Opened { call, host, elapsed: 1 }, &mut actions);
    true
}

proptest! {
    /// Guards against an old and a new process that together grant a team more than one balancer may, a client that is
    /// counted twice when it moves to the new process, and capacity that is never released.
    #[test]
    fn old_and_new_process_together_grant_the_limit_of_one_balancer(
        limit in 1usize..20,
        arrivals in proptest::collection::vec((any::<bool>(), 0usize..20), 1..80),
    ) {
        let team = Contract { connections: limit as f64, borrow: false, ..Contract::none("south") };
        let teams = [team];
        let (mut old, mut new) = (core(3, &teams), core(3, &teams));
        let connect_to_old = |core: &mut Core, i: usize| connect(core, S, &format!("o{i}"), &format!("k{i}"), false);
        let established = (0..limit).filter(|&i| connect_to_old(&mut old, i)).count();
        prop_assert_eq!(established, limit);
        new.inherit_connections(S, old.established_connections(S));
        let (mut at_old, mut at_new): (BTreeSet<usize>, usize) = ((0..limit).collect(), 0);
        for (n, (returns, i)) in arrivals.into_iter().enumerate() {
            let i = i % limit;
            if returns && at_old.remove(&i) {
                // The old process has moved it; the new one accepts it within the same limit.
                let ended = Event::Finished {
                    call: format!("o{i}").as_str().into(),
                    attempt: 0,
                    host: 1,
                    outcome: Outcome::Cancelled,
                    elapsed: S,
                    ended: true,
                };
                old.handle_event(S, ended, &mut Vec::new());
                let is_established = connect(&mut new, S, &format!("n{n}"), &format!("k{i}"), true);
                prop_assert!(is_established);
                at_new += 1;
            } else if connect(&mut new, S, &format!("n{n}"), &format!("other{n}"), returns) {
                at_new += 1;
            }
            prop_assert!(at_old.len() + at_new <= limit, "{} and {at_new} of {limit}", at_old.len());
        }
        new.predecessor_ended(S);
        let late = (0..limit).filter(|i| connect(&mut new, S, &format!("l{i}"), &format!("late{i}"), false)).count();
        prop_assert_eq!(at_new + late, limit);
    }
}

/// Guards against a returning client that is placed without regard to its known load.
#[test]
fn a_returning_client_is_placed_by_its_previous_load() {
    let mut core = core(2, &[]);
    assert!(connect(&mut core, S, "a", "k", false));
    core.handle_event(S, Event::LoadNote { call: "a".into(), load: 763_000.0 }, &mut Vec::new());
    let mut demand = Demand { key: Some("k".into()), ..Demand::new("b", 0, S) };
    core.admit(2 * S, &mut demand, Some("south")).unwrap();
    assert_eq!(demand.hint, Some(763_000.0));
    let mut other = Demand { key: Some("other".into()), ..Demand::new("c", 0, S) };
    core.admit(2 * S, &mut other, Some("south")).unwrap();
    assert_eq!(other.hint, None);
}

/// Guards against a client that is taken for another team's client with the same key: the other client's load would be
/// expected of it, and on its move to a new process the other client's connection would be released.
#[test]
fn clients_of_two_teams_with_the_same_key_are_distinct() {
    let contract = |name: &str| Contract { connections: 1.0, borrow: false, ..Contract::none(name) };
    let teams = [contract("north"), contract("south")];
    let (mut old, mut new) = (core(2, &teams), core(2, &teams));
    let demand = |id: &str| Demand { key: Some("42".into()), returned: true, ..Demand::new(id, 0, 2 * S) };
    for (id, team, load) in [("n", "north", 763_000.0), ("s", "south", 5_000.0)] {
        let (mut demand, call) = (demand(id), CallId::from(id));
        old.admit(S, &mut demand, Some(team)).unwrap();
        old.handle_event(S, Event::Demand(demand), &mut Vec::new());
        old.handle_event(S, Event::Opened { call: call.clone(), host: 1, elapsed: 1 }, &mut Vec::new());
        old.handle_event(S, Event::LoadNote { call, load }, &mut Vec::new());
    }
    new.inherit_connections(S, old.established_connections(S));
    // The client of north moves first: it has north's load and contract, and the connection of south is still counted.
    let mut back = demand("back");
    assert!(new.admit(S, &mut back, Some("north")).is_ok());
    assert_eq!(back.hint, Some(763_000.0));
    let mut more = Demand { key: Some("other".into()), ..Demand::new("more", 0, 2 * S) };
    assert!(new.admit(S, &mut more, Some("south")).is_err(), "south's only connection is at the old process");
    let mut back = demand("back too");
    assert!(new.admit(S, &mut back, Some("south")).is_ok());
    assert_eq!(back.hint, Some(5_000.0));
}

/// Returns a core with clients away from their home instance, which has restarted and is warm at 500 s.
fn core_with_misplaced_connections() -> Core {
    let mut core = core(3, &[]);
    core.set_rebalance(
        S,
        Some(crate::rebalance::RebalanceSettings { moves_per_second: 1_000.0, ..Default::default() }),
    );
    let entry = |host, state, ready_at| Entry { state, ready_at, ..Entry::ready(host) };
    let list = |state, ready_at| Event::Members {
        kind: ListKind::Full,
        hosts: vec![entry(1, state, ready_at), Entry::ready(2), Entry::ready(3)],
    };
    core.handle_event(2 * S, list(HostState::Draining, 0), &mut Vec::new());
    (0..60).for_each(|i| assert!(connect(&mut core, 3 * S, &format!("c{i}"), &format!("k{i}"), false)));
    core.handle_event(100 * S, list(HostState::Ready, 90 * S), &mut Vec::new());
    core
}

/// Guards against moves after the end of the lease in a process whose group task cannot report the end in time, as
/// after SIGSTOP: docs/incidents/008.
#[test]
fn no_connection_is_moved_home_from_the_end_of_the_lease_on() {
    let moves = |until: Option<Micros>| {
        let (mut core, mut actions) = (core_with_misplaced_connections(), Vec::new());
        until.into_iter().for_each(|until| core.may_rebalance_until(until));
        core.run_due(500 * S, &mut actions);
        actions.len()
    };
    assert!(moves(None) > 0, "without a group there is no lease to wait for");
    assert!(moves(Some(500 * S + 1)) > 0, "the lease lasts");
    assert_eq!(moves(Some(500 * S)), 0, "the lease has ended, which has not been reported yet");
    let mut core = core_with_misplaced_connections();
    core.may_rebalance_until(500 * S);
    assert_eq!(core.next_due(500 * S), None);
}
