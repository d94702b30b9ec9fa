//! Exhaustive search over the lease protocol: every order of events up to a depth, run on the production code, with clocks
//! that drift apart as far as the terms allow. The voters' log is modelled as a single list, because agreement on one log is
//! the guarantee of the consensus crate.

use super::*;
use std::collections::{HashSet, VecDeque};

/// Drift of one eighth; the duration of a lease is three ticks of a true clock, which advances by 8 units a tick.
const TERMS: LeaseTerms = LeaseTerms { duration: 24, drift_ppm: 125_000 };

/// Maximum number of messages in flight in a state, which bounds the search; the others are lost.
const MAX_IN_FLIGHT: usize = 4;

/// An error planted in the model, to show that the search finds it.
#[derive(Clone, Copy, PartialEq)]
enum PlantedError {
    Nothing,
    NoDrift,
    NoWaitAfterChange,
    TokensUnchecked,
    CountedFromAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(usize, u64, String),
    Answer(usize, u64, String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ticks: u64,
    state: State,
    lease_monitor: LeaseMonitor,
    holders: [LeaseClient; 2],
    /// Per holder: the token with which it has checked its lease, while it is paused before its act.
    about_to_act: [Option<u64>; 2],
    fence: TokenFence,
    /// Highest token under which an act was carried out.
    carried_out: u64,
    in_flight: Vec<Message>,
    leader_changes: u8,
}

/// Clocks at the limits of the drift: the first holder's is slow, the second's and the leader's are fast.
fn holder_clock(ticks: u64, holder: usize) -> u64 {
    ticks * if holder == 0 { 7 } else { 9 }
}

fn leader_clock(ticks: u64) -> u64 {
    ticks * 9
}

/// Returns every state that can follow, or an error where both holders may act at once or the token of an act decreases.
fn successors(world_before: &World, planted: PlantedError) -> Result<Vec<World>, String> {
    let mut next = Vec::new();
    let mut push = |mut world: World| {
        world.in_flight.sort();
        world.in_flight.truncate(MAX_IN_FLIGHT);
        next.push(world);
    };
    let terms = if planted == PlantedError::NoDrift { LeaseTerms { drift_ppm: 0, ..TERMS } } else { TERMS };
    // Time passes, and the leader frees expired leases.
    let mut world = world_before.clone();
    world.ticks += 1;
    for free in world.lease_monitor.expired(leader_clock(world.ticks), &terms, &world.state.clone()) {
        world.state.apply(&free);
    }
    push(world);
    // Another voter becomes the leader; it has the whole log.
    if world_before.leader_changes < 1 {
        let mut world = world_before.clone();
        world.leader_changes += 1;
        let now =
            if planted == PlantedError::NoWaitAfterChange { 0 } else { leader_clock(world_before.ticks) };
        world.lease_monitor = LeaseMonitor::new(now, &world_before.state);
        push(world);
    }
    for i in 0..2 {
        let now = holder_clock(world_before.ticks, i);
        // The holder sends the request that is due. A paused one is covered by the orders in which it does not.
        let mut world = world_before.clone();
        if let Some((id, command)) = world.holders[i].next_request(now) {
            let text = String::from_utf8(command.encode()).unwrap();
            world.in_flight.push(Message::Request(i, id, text));
            push(world);
        }
        // The holder checks its lease; it acts on the result at once or much later.
        if let (None, Some(token)) = (world_before.about_to_act[i], world_before.holders[i].active_token(now))
        {
            let mut world = world_before.clone();
            world.about_to_act[i] = Some(token);
            push(world);
        }
        if let Some(token) = world_before.about_to_act[i] {
            let mut world = world_before.clone();
            world.about_to_act[i] = None;
            if planted == PlantedError::TokensUnchecked || world.fence.admits("t", token) {
                if token < world.carried_out {
                    return Err(format!("token {token} carried out after {}", world.carried_out));
                }
                world.carried_out = token;
            }
            push(world);
        }
    }
    // A message arrives, is duplicated, or is lost.
    for (n, message) in world_before.in_flight.iter().enumerate() {
        for keep in [false, true] {
            let mut world = world_before.clone();
            if !keep {
                world.in_flight.remove(n);
            }
            match message {
                Message::Request(i, id, text) => {
                    let outcome = world.state.apply(&Command::decode(text.as_bytes()).unwrap());
                    world.lease_monitor.expired(
                        leader_clock(world_before.ticks),
                        &terms,
                        &world.state.clone(),
                    );
                    world.in_flight.push(Message::Answer(*i, *id, serde_json::to_string(&outcome).unwrap()));
                }
                Message::Answer(i, id, text) => {
                    let now = holder_clock(world_before.ticks, *i);
                    if planted == PlantedError::CountedFromAnswer {
                        world.holders[*i].outstanding.entry(*id).and_modify(|at| *at = now);
                    }
                    world.holders[*i].handle_outcome(now, *id, &serde_json::from_str(text).unwrap());
                }
            }
            push(world);
        }
        let mut world = world_before.clone();
        world.in_flight.remove(n);
        push(world);
    }
    for world in &next {
        let acts = |i: usize| world.holders[i].active_token(holder_clock(world.ticks, i));
        if let (Some(a), Some(b)) = (acts(0), acts(1)) {
            return Err(format!("both may act at tick {}, under {a} and {b}", world.ticks));
        }
    }
    Ok(next)
}

fn start() -> World {
    let holder = |name| LeaseClient::new(0, TERMS, "t", name);
    World {
        ticks: 0,
        state: State::default(),
        lease_monitor: LeaseMonitor::default(),
        holders: [holder("a"), holder("b")],
        about_to_act: [None, None],
        fence: TokenFence::default(),
        carried_out: 0,
        in_flight: Vec::new(),
        leader_changes: 0,
    }
}

/// Start state in which the first holder has the lease, so that the search reaches deeper states.
fn lease_granted() -> World {
    let mut world = start();
    let (id, request) = world.holders[0].next_request(0).unwrap();
    let outcome = world.state.apply(&request);
    world.lease_monitor.expired(0, &TERMS, &world.state.clone());
    world.holders[0].handle_outcome(0, id, &outcome);
    world
}

/// Start state in which the first holder's request is committed and the answer is in flight.
fn answer_in_flight() -> World {
    let mut world = start();
    let (id, request) = world.holders[0].next_request(0).unwrap();
    let outcome = world.state.apply(&request);
    world.lease_monitor.expired(0, &TERMS, &world.state.clone());
    world.in_flight.push(Message::Answer(0, id, serde_json::to_string(&outcome).unwrap()));
    world
}

/// Visits all states within `depth` steps, or stops once there are more than `max_states`; returns their number and the first
/// error.
fn search(from: World, planted: PlantedError, depth: usize, max_states: usize) -> (usize, Option<String>) {
    let (mut seen, mut frontier) = (HashSet::new(), VecDeque::from([from]));
    for _ in 0..depth {
        let mut next_frontier = VecDeque::new();
        for world in frontier {
            match successors(&world, planted) {
                Err(error) => return (seen.len(), Some(error)),
                Ok(next) => {
                    next_frontier.extend(next.into_iter().filter(|world| seen.insert(fingerprint(world))))
                }
            }
            if seen.len() > max_states {
                return (seen.len(), None);
            }
        }
        frontier = next_frontier;
    }
    (seen.len(), None)
}

fn fingerprint(world: &World) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = xxhash_rust::xxh64::Xxh64::new(0);
    world.hash(&mut hasher);
    hasher.finish()
}

/// Guards against two holders that may act at once, and against acts that are carried out under decreasing tokens.
#[test]
fn two_holders_never_act_at_once_in_any_order_of_events() {
    for (from, depth) in [(start(), 9), (lease_granted(), 10), (answer_in_flight(), 9)] {
        let (states, error) = search(from, PlantedError::Nothing, depth, usize::MAX);
        assert_eq!(error, None);
        println!("{states} states within {depth} steps");
        assert!(states > 10_000, "{states} states");
    }
}

/// Guards against a search that finds no errors: each error planted in the protocol must be found.
#[test]
fn each_planted_error_is_found() {
    for (from, planted, name) in [
        (lease_granted(), PlantedError::NoDrift, "no bound for drift"),
        (lease_granted(), PlantedError::NoWaitAfterChange, "no wait after a change of leader"),
        (lease_granted(), PlantedError::TokensUnchecked, "tokens not checked"),
        (answer_in_flight(), PlantedError::CountedFromAnswer, "renewal counted from the answer"),
    ] {
        let (states, error) = search(from, planted, 14, 2_000_000);
        println!("{name}: {states} states, {error:?}");
        assert!(error.is_some(), "{name} was not found in {states} states");
    }
}

/// Guards against a task that is never granted again after its holder is gone.
#[test]
fn a_task_whose_holder_is_gone_is_granted_again() {
    let (mut state, mut lease_monitor) = (State::default(), LeaseMonitor::default());
    let (mut gone, mut other) = (LeaseClient::new(0, TERMS, "t", "a"), LeaseClient::new(0, TERMS, "t", "b"));
    let (id, request) = gone.next_request(0).unwrap();
    let outcome = state.apply(&request);
    gone.handle_outcome(0, id, &outcome);
    assert_eq!(gone.active_token(0), Some(1));
    let mut now = 0;
    while other.active_token(now).is_none() {
        now += 1;
        assert!(now <= 2 * TERMS.expiry_wait(), "{state:?}");
        lease_monitor.expired(now, &TERMS, &state.clone()).iter().for_each(|free| drop(state.apply(free)));
        if let Some((id, request)) = other.next_request(now) {
            let outcome = state.apply(&request);
            other.handle_outcome(now, id, &outcome);
        }
    }
    assert_eq!((other.active_token(now), gone.active_token(now)), (Some(2), None));
}
