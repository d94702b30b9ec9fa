//! Stories and laws of one balancer's decisions: contracts across two processes, and what is remembered.

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

/// One client asks; whether it was brought up.
fn ask(core: &mut Core, now: Micros, id: &str, key: &str, back: bool) -> bool {
    let mut demand = Demand { key: Some(key.into()), returned: back, ..Demand::new(id, 0, 2 * S) };
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
    /// Guards against a pair of processes that together grant a team more than one balancer may, a client that is
    /// booked twice when it comes over, and room that never comes back.
    #[test]
    fn an_old_and_a_new_process_grant_together_what_one_may(
        room in 1usize..20,
        comes in proptest::collection::vec((any::<bool>(), 0usize..20), 1..80),
    ) {
        let team = Contract { connections: room as f64, borrow: false, ..Contract::none("south") };
        let teams = [team];
        let (mut old, mut new) = (core(3, &teams), core(3, &teams));
        let up = |core: &mut Core, i: usize| ask(core, S, &format!("o{i}"), &format!("k{i}"), false);
        let stood = (0..room).filter(|&i| up(&mut old, i)).count();
        prop_assert_eq!(stood, room);
        new.inherit_connections(S, old.established_connections(S));
        let (mut at_old, mut at_new): (BTreeSet<usize>, usize) = ((0..room).collect(), 0);
        for (n, (back, i)) in comes.into_iter().enumerate() {
            let i = i % room;
            if back && at_old.remove(&i) {
                // Moved by the old one, it comes here, and has its place.
                let gone = Event::Finished {
                    call: format!("o{i}").as_str().into(),
                    attempt: 0,
                    host: 1,
                    outcome: Outcome::Cancelled,
                    elapsed: S,
                    ended: true,
                };
                old.handle_event(S, gone, &mut Vec::new());
                let has_its_place = ask(&mut new, S, &format!("n{n}"), &format!("k{i}"), true);
                prop_assert!(has_its_place);
                at_new += 1;
            } else if ask(&mut new, S, &format!("n{n}"), &format!("other{n}"), back) {
                at_new += 1;
            }
            prop_assert!(at_old.len() + at_new <= room, "{} and {at_new} of {room}", at_old.len());
        }
        new.predecessor_ended(S);
        let more = (0..room).filter(|i| ask(&mut new, S, &format!("l{i}"), &format!("late{i}"), false)).count();
        prop_assert_eq!(at_new + more, room);
    }
}

/// Guards against a client whose load is known and that is placed like any other once it comes again.
#[test]
fn a_client_that_comes_again_is_placed_by_the_load_that_it_had() {
    let mut core = core(2, &[]);
    assert!(ask(&mut core, S, "a", "k", false));
    core.handle_event(S, Event::LoadNote { call: "a".into(), load: 763_000.0 }, &mut Vec::new());
    let mut demand = Demand { key: Some("k".into()), ..Demand::new("b", 0, S) };
    core.admit(2 * S, &mut demand, Some("south")).unwrap();
    assert_eq!(demand.hint, Some(763_000.0));
    let mut other = Demand { key: Some("other".into()), ..Demand::new("c", 0, S) };
    core.admit(2 * S, &mut other, Some("south")).unwrap();
    assert_eq!(other.hint, None);
}

/// Guards against a client that is taken for another team's of the same key: its load would be guessed by that one's, and when it
/// comes to a new process that one's place would be given away.
#[test]
fn a_key_is_its_own_teams() {
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
    // North's comes over first: it has north's place and load, and south's one is held still.
    let mut back = demand("back");
    assert!(new.admit(S, &mut back, Some("north")).is_ok());
    assert_eq!(back.hint, Some(763_000.0));
    let mut more = Demand { key: Some("other".into()), ..Demand::new("more", 0, 2 * S) };
    assert!(
        new.admit(S, &mut more, Some("south")).is_err(),
        "south has its one connection at the old process"
    );
    let mut back = demand("back too");
    assert!(new.admit(S, &mut back, Some("south")).is_ok());
    assert_eq!(back.hint, Some(5_000.0));
}

/// A core whose clients all stand away from home: their home started again and is warm, at 500 s.
fn core_with_strays() -> Core {
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
    (0..60).for_each(|i| assert!(ask(&mut core, 3 * S, &format!("c{i}"), &format!("k{i}"), false)));
    core.handle_event(100 * S, list(HostState::Ready, 90 * S), &mut Vec::new());
    core
}

/// A process whose group task does not come to say that the lease is over, as after SIGSTOP: docs/incidents/008.
#[test]
fn nobody_is_moved_home_from_the_moment_on_at_which_the_lease_ends() {
    let moves = |until: Option<Micros>| {
        let (mut core, mut actions) = (core_with_strays(), Vec::new());
        until.into_iter().for_each(|until| core.may_rebalance_until(until));
        core.run_due(500 * S, &mut actions);
        actions.len()
    };
    assert!(moves(None) > 0, "without a group there is no lease to wait for");
    assert!(moves(Some(500 * S + 1)) > 0, "the lease lasts");
    assert_eq!(moves(Some(500 * S)), 0, "the lease has ended and nobody has said so yet");
    let mut core = core_with_strays();
    core.may_rebalance_until(500 * S);
    assert_eq!(core.next_due(500 * S), None);
}
