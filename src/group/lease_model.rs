//! The leases' proof: every order of events up to a depth, over the code that runs, with clocks that drift apart as far as
//! they may. The log of the voters is one list here: that a majority agrees on one is the consensus crate's promise.

use super::*;
use std::collections::{HashSet, VecDeque};

/// An eighth of drift; a span is three ticks of a true clock.
const TERMS: LeaseTerms = LeaseTerms { duration: 24, drift_ppm: 125_000 };

#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    NoDrift,
    NoWaitAfterChange,
    TokensUnchecked,
    CountedFromAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask(usize, u64, String),
    Answer(usize, u64, String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ticks: u64,
    state: State,
    watch: LeaseMonitor,
    holders: [LeaseClient; 2],
    /// One that has looked at its lease and is stopped before its act: its token.
    about: [Option<u64>; 2],
    gate: TokenFence,
    carried: u64,
    out: Vec<Message>,
    changes: u8,
}

/// Clocks at their limits: the first holder's is slow, the second's and the leader's are fast.
fn holder_clock(ticks: u64, i: usize) -> u64 {
    ticks * if i == 0 { 7 } else { 9 }
}

fn leader_clock(ticks: u64) -> u64 {
    ticks * 9
}

/// All that can happen next. `Err` where two act at once or a carried token falls.
fn steps(w: &World, planted: Planted) -> Result<Vec<World>, String> {
    let mut next = Vec::new();
    let mut push = |mut world: World| {
        world.out.sort();
        world.out.truncate(4);
        next.push(world);
    };
    let terms = if planted == Planted::NoDrift { LeaseTerms { drift_ppm: 0, ..TERMS } } else { TERMS };
    // Time passes; the leader looks.
    let mut world = w.clone();
    world.ticks += 1;
    for free in world.watch.expired(leader_clock(world.ticks), &terms, &world.state.clone()) {
        world.state.apply(&free);
    }
    push(world);
    // Another leads. Every list that it has is whole.
    if w.changes < 1 {
        let mut world = w.clone();
        world.changes += 1;
        let now = if planted == Planted::NoWaitAfterChange { 0 } else { leader_clock(w.ticks) };
        world.watch = LeaseMonitor::new(now, &w.state);
        push(world);
    }
    for i in 0..2 {
        let now = holder_clock(w.ticks, i);
        // It asks if it is due; not to ask is to be stopped.
        let mut world = w.clone();
        if let Some((id, command)) = world.holders[i].next_request(now) {
            let text = String::from_utf8(command.encode()).unwrap();
            world.out.push(Message::Ask(i, id, text));
            push(world);
        }
        // It looks and is about to act; and it acts, at once or much later.
        if let (None, Some(token)) = (w.about[i], w.holders[i].active_token(now)) {
            let mut world = w.clone();
            world.about[i] = Some(token);
            push(world);
        }
        if let Some(token) = w.about[i] {
            let mut world = w.clone();
            world.about[i] = None;
            if planted == Planted::TokensUnchecked || world.gate.admits("t", token) {
                if token < world.carried {
                    return Err(format!("token {token} carried out after {}", world.carried));
                }
                world.carried = token;
            }
            push(world);
        }
    }
    // Messages arrive, are doubled, or are lost.
    for (n, message) in w.out.iter().enumerate() {
        for keep in [false, true] {
            let mut world = w.clone();
            if !keep {
                world.out.remove(n);
            }
            match message {
                Message::Ask(i, id, text) => {
                    let outcome = world.state.apply(&Command::decode(text.as_bytes()).unwrap());
                    world.watch.expired(leader_clock(w.ticks), &terms, &world.state.clone());
                    world.out.push(Message::Answer(*i, *id, serde_json::to_string(&outcome).unwrap()));
                }
                Message::Answer(i, id, text) => {
                    let now = holder_clock(w.ticks, *i);
                    if planted == Planted::CountedFromAnswer {
                        world.holders[*i].asked.entry(*id).and_modify(|at| *at = now);
                    }
                    world.holders[*i].handle_outcome(now, *id, &serde_json::from_str(text).unwrap());
                }
            }
            push(world);
        }
        let mut world = w.clone();
        world.out.remove(n);
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
        watch: LeaseMonitor::default(),
        holders: [holder("a"), holder("b")],
        about: [None, None],
        gate: TokenFence::default(),
        carried: 0,
        out: Vec::new(),
        changes: 0,
    }
}

/// The first holder has been granted the task: deeper worlds are within reach from here.
fn held() -> World {
    let mut world = start();
    let (id, ask) = world.holders[0].next_request(0).unwrap();
    let outcome = world.state.apply(&ask);
    world.watch.expired(0, &TERMS, &world.state.clone());
    world.holders[0].handle_outcome(0, id, &outcome);
    world
}

/// The first holder has asked, it is decided, and the answer is on its way.
fn decided() -> World {
    let mut world = start();
    let (id, ask) = world.holders[0].next_request(0).unwrap();
    let outcome = world.state.apply(&ask);
    world.watch.expired(0, &TERMS, &world.state.clone());
    world.out.push(Message::Answer(0, id, serde_json::to_string(&outcome).unwrap()));
    world
}

/// Looks at all worlds within so many steps; how many there are, and the first that is wrong.
fn search(from: World, planted: Planted, depth: usize, most: usize) -> (usize, Option<String>) {
    let (mut seen, mut now) = (HashSet::new(), VecDeque::from([from]));
    for _ in 0..depth {
        let mut then = VecDeque::new();
        for world in now {
            match steps(&world, planted) {
                Err(wrong) => return (seen.len(), Some(wrong)),
                Ok(next) => then.extend(next.into_iter().filter(|world| seen.insert(fingerprint(world)))),
            }
            if seen.len() > most {
                return (seen.len(), None);
            }
        }
        now = then;
    }
    (seen.len(), None)
}

fn fingerprint(world: &World) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = xxhash_rust::xxh64::Xxh64::new(0);
    world.hash(&mut hasher);
    hasher.finish()
}

/// Guards against two holders that act at once, and a token that falls where acts are carried out.
#[test]
fn no_two_act_at_once_in_any_order_of_events() {
    for (from, depth) in [(start(), 9), (held(), 10), (decided(), 9)] {
        let (states, wrong) = search(from, Planted::Nothing, depth, usize::MAX);
        assert_eq!(wrong, None);
        println!("{states} states within {depth} steps");
        assert!(states > 10_000, "{states} states");
    }
}

/// Guards against a search that cannot find anything.
#[test]
fn each_planted_error_is_found() {
    for (from, planted, name) in [
        (held(), Planted::NoDrift, "no bound for drift"),
        (held(), Planted::NoWaitAfterChange, "no wait after a change of leader"),
        (held(), Planted::TokensUnchecked, "tokens not checked"),
        (decided(), Planted::CountedFromAnswer, "renewal counted from the answer"),
    ] {
        let (states, wrong) = search(from, planted, 14, 2_000_000);
        println!("{name}: {states} states, {wrong:?}");
        assert!(wrong.is_some(), "{name} was not found in {states} states");
    }
}

/// Guards against a task that nobody ever gets again.
#[test]
fn a_task_whose_holder_is_gone_is_granted_again() {
    let (mut state, mut watch) = (State::default(), LeaseMonitor::default());
    let (mut gone, mut other) = (LeaseClient::new(0, TERMS, "t", "a"), LeaseClient::new(0, TERMS, "t", "b"));
    let (id, ask) = gone.next_request(0).unwrap();
    let outcome = state.apply(&ask);
    gone.handle_outcome(0, id, &outcome);
    assert_eq!(gone.active_token(0), Some(1));
    let mut now = 0;
    while other.active_token(now).is_none() {
        now += 1;
        assert!(now <= 2 * TERMS.expiry_wait(), "{state:?}");
        watch.expired(now, &TERMS, &state.clone()).iter().for_each(|free| drop(state.apply(free)));
        if let Some((id, ask)) = other.next_request(now) {
            let outcome = state.apply(&ask);
            other.handle_outcome(now, id, &outcome);
        }
    }
    assert_eq!((other.active_token(now), gone.active_token(now)), (Some(2), None));
}
