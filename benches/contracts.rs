//! What an admission and its release cost, by the number of teams: `cargo bench --bench contracts`.
//!
//! Each sample asks for one connection of a team drawn in turn and gives it back; half of the room is held, so
//! that every order of the room has entries. A refusal is measured with the room full and a borrower asking.

use divan::{black_box, Bencher};
use oakdeal::contracts::{Contract, Contracts, EndReason, FixedSettings, Terms};
use oakdeal::CallId;

const TEAMS: [usize; 3] = [3, 100, 10_000];
/// Connections of each team's contract.
const EACH: f64 = 40.0;

fn main() {
    divan::main();
}

fn frame() -> FixedSettings {
    FixedSettings {
        classes: vec![("watch".into(), 5.0), ("payout".into(), 15.0)],
        balancers: 1,
        max_retry_after: Some(2_000_000),
    }
}

/// So many teams that hold so much of their contracts each.
fn contracts(teams: usize, held: usize) -> (Contracts, CallId) {
    let contract = |i: usize| Contract { connections: EACH, ..Contract::none(&format!("team-{i}")) };
    let terms = Terms {
        contracts: (0..teams).map(contract).collect(),
        capacity: Some(EACH * teams as f64),
        ..Terms::default()
    };
    let mut all = Contracts::new(0, frame(), terms);
    let call: CallId = "a-connection".into();
    for name in 0..teams {
        let team = all.resolve_team(Some(&format!("team-{name}")), 0);
        for _ in 0..held {
            let ticket = all.request_admission(1, team, 0, &call).expect("within the contract");
            all.mark_established(&ticket);
        }
    }
    (all, call)
}

#[divan::bench(args = TEAMS)]
fn admission_and_release(bencher: Bencher, teams: usize) {
    let (mut all, call) = contracts(teams, 20);
    let mut now = 10;
    bencher.bench_local(|| {
        now += 1;
        let ticket = all
            .request_admission(now, 1 + now as usize % teams, 0, black_box(&call))
            .expect("within the contract");
        all.mark_established(&ticket);
        all.release(now, ticket, EndReason::Closed);
    });
}

#[divan::bench(args = TEAMS)]
fn refusal(bencher: Bencher, teams: usize) {
    let (mut all, call) = contracts(teams, 40);
    let mut now = 10;
    bencher.bench_local(|| {
        now += 1;
        all.request_admission(now, 1 + now as usize % teams, 0, black_box(&call))
            .expect_err("the room is full")
    });
}

#[divan::bench(args = TEAMS)]
fn a_turn_in_which_nothing_is_due(bencher: Bencher, teams: usize) {
    let (mut all, _) = contracts(teams, 20);
    bencher.bench_local(|| (black_box(all.run_due(10)), all.next_due(10)));
}

#[divan::bench(args = TEAMS)]
fn capacity_changes(bencher: Bencher, teams: usize) {
    let (mut all, _) = contracts(teams, 20);
    let mut now = 10;
    bencher.bench_local(|| {
        now += 1;
        all.set_ready_instances(now, (0..10 + now as u32 % 2).map(|host| (host, 1.0, 0)));
    });
}
