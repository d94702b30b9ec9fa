//! Benchmarks of admission and release by the number of teams: `cargo bench --bench contracts`.
//!
//! Each sample admits one connection of a team, chosen in turn, and releases it. Half of the capacity is held, so that
//! the orders in the pool have entries. A refusal is measured with the capacity full and a team asking to borrow.

use divan::{black_box, Bencher};
use oakdeal::contracts::{Contract, Contracts, EndReason, FixedSettings, Terms};
use oakdeal::CallId;

const TEAMS: [usize; 3] = [3, 100, 10_000];
/// Connections of each team's contract.
const CONNECTIONS_PER_TEAM: f64 = 40.0;

fn main() {
    divan::main();
}

fn settings() -> FixedSettings {
    FixedSettings {
        classes: vec![("watch".into(), 5.0), ("payout".into(), 15.0)],
        balancers: 1,
        max_retry_after: Some(2_000_000),
    }
}

/// Creates contracts of `teams` teams that hold `held` connections each.
fn teams_with(teams: usize, held: usize) -> (Contracts, CallId) {
    let contract =
        |i: usize| Contract { connections: CONNECTIONS_PER_TEAM, ..Contract::none(&format!("team-{i}")) };
    let terms = Terms {
        contracts: (0..teams).map(contract).collect(),
        capacity: Some(CONNECTIONS_PER_TEAM * teams as f64),
        ..Terms::default()
    };
    let mut contracts = Contracts::new(0, settings(), terms);
    let call: CallId = "a-connection".into();
    for name in 0..teams {
        let team = contracts.resolve_team(Some(&format!("team-{name}")), 0);
        for _ in 0..held {
            let ticket = contracts.request_admission(1, team, 0, &call).expect("within the contract");
            contracts.mark_established(&ticket);
        }
    }
    (contracts, call)
}

#[divan::bench(args = TEAMS)]
fn admission_and_release(bencher: Bencher, teams: usize) {
    let (mut contracts, call) = teams_with(teams, 20);
    let mut now = 10;
    bencher.bench_local(|| {
        now += 1;
        let ticket = contracts
            .request_admission(now, 1 + now as usize % teams, 0, black_box(&call))
            .expect("within the contract");
        contracts.mark_established(&ticket);
        contracts.release(now, ticket, EndReason::Closed);
    });
}

#[divan::bench(args = TEAMS)]
fn refusal(bencher: Bencher, teams: usize) {
    let (mut contracts, call) = teams_with(teams, 40);
    let mut now = 10;
    bencher.bench_local(|| {
        now += 1;
        contracts
            .request_admission(now, 1 + now as usize % teams, 0, black_box(&call))
            .expect_err("the capacity is full")
    });
}

#[divan::bench(args = TEAMS)]
fn run_due_with_nothing_due(bencher: Bencher, teams: usize) {
    let (mut contracts, _) = teams_with(teams, 20);
    bencher.bench_local(|| (black_box(contracts.run_due(10)), contracts.next_due(10)));
}

#[divan::bench(args = TEAMS)]
fn capacity_changes(bencher: Bencher, teams: usize) {
    let (mut contracts, _) = teams_with(teams, 20);
    let mut now = 10;
    bencher.bench_local(|| {
        now += 1;
        contracts.set_ready_instances(now, (0..10 + now as u32 % 2).map(|host| (host, 1.0, 0)));
    });
}
