//! Tests of contracts between teams: invariants for random teams, events and changes of terms, and single cases.

use oakdeal::contracts::contract::{self, Budget, Rate};
use oakdeal::contracts::ledger::Reason;
use oakdeal::contracts::{Contract, Contracts, EndReason, FixedSettings, Refusal, Terms, Ticket};
use oakdeal::{CallId, Micros};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
const WATCH: usize = 0;
const PAYOUT: usize = 1;

fn team(name: &str, connections: f64) -> Contract {
    Contract { connections, ..Contract::none(name) }
}

fn terms(capacity: f64, contracts: impl IntoIterator<Item = Contract>) -> Terms {
    let contracts = contracts.into_iter().collect();
    Terms { contracts, capacity: Some(capacity), ..Terms::default() }
}

/// A connection that the test keeps open.
struct Held {
    ticket: Ticket,
    team: String,
    since: Micros,
}

/// Contracts, and the usage that the test counts independently of them.
struct Harness {
    contracts: Contracts,
    now: Micros,
    open: BTreeMap<CallId, Held>,
    /// Connection-microseconds of closed connections, by team.
    used_by_closed: BTreeMap<String, u64>,
    calls_made: u64,
}

impl Harness {
    fn new(balancers: u32, terms: Terms) -> Harness {
        contract::validate(&terms).expect("good terms");
        let classes = vec![("watch".into(), 5.0), ("payout".into(), 15.0)];
        let settings = FixedSettings { classes, balancers, max_retry_after: Some(2 * SECOND) };
        let contracts = Contracts::new(SECOND, settings, terms);
        Harness {
            contracts,
            now: SECOND,
            open: BTreeMap::new(),
            used_by_closed: BTreeMap::new(),
            calls_made: 0,
        }
    }

    /// A client requests a connection, which is established if it is admitted.
    fn connect(&mut self, name: &str, class: usize) -> Result<CallId, Refusal> {
        self.calls_made += 1;
        let call: CallId = format!("{:08}", self.calls_made).as_str().into();
        let team = self.contracts.resolve_team(Some(name), class);
        let ticket = self.contracts.request_admission(self.now, team, class, &call)?;
        self.contracts.mark_established(&ticket);
        let team = self.contracts.team_contracts().nth(team).expect("a team").team.to_string();
        self.open.insert(call.clone(), Held { ticket, team, since: self.now });
        Ok(call)
    }

    /// Sends `n` requests and returns the number admitted.
    fn connect_many(&mut self, name: &str, n: usize) -> usize {
        (0..n).filter(|_| self.connect(name, WATCH).is_ok()).count()
    }

    /// Sends `n` requests of each team, in this order.
    fn connect_many_of_each(&mut self, names: &[&str], n: usize) {
        for name in names {
            self.connect_many(name, n);
        }
    }

    fn finish(&mut self, call: &CallId, how: EndReason) {
        let held = self.open.remove(call).expect("held");
        *self.used_by_closed.entry(held.team).or_default() += self.now - held.since;
        self.contracts.release(self.now, held.ticket, how);
    }

    /// Advances time and runs what is due. Connections that are asked to move close at once. Returns their number.
    fn advance(&mut self, span: Micros) -> usize {
        let (until, mut moved) = (self.now + span, 0);
        loop {
            for call in self.contracts.run_due(self.now) {
                moved += 1;
                self.finish(&call, EndReason::Closed);
            }
            match self.contracts.next_due(self.now) {
                Some(at) if at <= until => self.now = at.max(self.now + 1),
                _ => break,
            }
        }
        self.now = until;
        moved
    }

    fn held(&self, name: &str) -> usize {
        self.open.values().filter(|held| held.team == name).count()
    }

    fn used(&self, name: &str) -> u64 {
        let open = self.open.values().filter(|held| held.team == name);
        self.used_by_closed.get(name).copied().unwrap_or(0)
            + open.map(|held| self.now - held.since).sum::<u64>()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Connect(usize, usize),
    Finish(usize, EndReason),
    Advance(Micros),
    SetReadyInstances(u32),
    RecordAttempt(u32, bool),
    ApplyTerms(Terms),
}

const NAMES: [&str; 5] = ["ada", "bo", "cy", "di", "nobody"];

fn any_terms() -> impl Strategy<Value = Terms> {
    let rate = prop::option::weighted(0.3, (1.0..50.0, 1.0..20.0));
    let budget = prop::option::weighted(0.4, (0.05..1.0f64, 1..20u64));
    let one = (1.0..30.0f64, rate, budget, 0.1..10.0f64, any::<bool>(), any::<bool>());
    let some = prop::collection::btree_map(0..4usize, one, 1..5);
    let capacity = prop::option::weighted(0.8, 1.0..80.0f64);
    (some, capacity, any::<bool>()).prop_map(|(some, capacity, reverse)| {
        type One = (f64, Option<(f64, f64)>, Option<(f64, u64)>, f64, bool, bool);
        let contract = |(i, (connections, rate, budget, weight, borrow, one)): (usize, One)| Contract {
            rate: rate.map(|(per_second, burst)| Rate {
                per_second,
                burst: if borrow { burst } else { burst.min(connections) },
            }),
            budget: budget.map(|(part, s)| Budget {
                seconds: (connections * part * s as f64).max(1.0).min(connections * s as f64),
                period: s * SECOND,
            }),
            weight: if borrow { weight } else { 1.0 },
            borrow,
            classes: one.then(|| vec!["watch".to_string()]),
            ..team(NAMES[i], connections)
        };
        let mut contracts: Vec<Contract> = some.into_iter().map(contract).collect();
        if reverse {
            contracts.reverse();
        }
        Terms { contracts, capacity, ..Terms::default() }
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let how =
        prop_oneof![Just(EndReason::Closed), Just(EndReason::NotEstablished), Just(EndReason::NoInstance)];
    let step = prop_oneof![
        8 => (0..NAMES.len(), 0..2usize).prop_map(|(team, class)| Step::Connect(team, class)),
        3 => (any::<usize>(), how).prop_map(|(i, how)| Step::Finish(i, how)),
        // Includes clocks that do not advance between two events.
        4 => prop_oneof![Just(0), 1..1000u64, 1000..3 * SECOND].prop_map(Step::Advance),
        1 => (0..6u32).prop_map(Step::SetReadyInstances),
        1 => (0..6u32, any::<bool>()).prop_map(|(host, served)| Step::RecordAttempt(host, served)),
        1 => any_terms().prop_map(Step::ApplyTerms),
    ];
    prop::collection::vec(step, 1..200)
}

/// Runs the steps and checks the invariants after each. Returns the decisions by team name.
fn check_invariants(balancers: u32, begin: Terms, steps: &[Step]) -> Result<Vec<String>, TestCaseError> {
    let mut harness = Harness::new(balancers, begin);
    let mut decisions = Vec::new();
    for step in steps {
        match step {
            Step::Connect(who, class) => {
                let team = harness.contracts.resolve_team(Some(NAMES[*who]), *class);
                let (held, capacity) = (harness.contracts.pool().held(), harness.contracts.pool().capacity());
                let before = harness.contracts.pool().share(team).clone();
                let asked = harness.connect(NAMES[*who], *class);
                match asked {
                    Ok(_) => {
                        prop_assert!(held < capacity, "admitted over the capacity: {held} of {capacity}")
                    }
                    Err(refusal) => {
                        let within = before.held < before.contract && held < capacity;
                        let own = matches!(refusal.reason, Reason::Rate | Reason::Class);
                        prop_assert!(
                            !within || own,
                            "{refusal:?} though {before:?} fits {held} of {capacity}"
                        );
                        prop_assert!(
                            refusal.retry_after.is_some_and(|us| (1_000..=2 * SECOND).contains(&us)),
                            "{refusal:?}"
                        );
                    }
                }
                decisions.push(format!(
                    "{} {:?}",
                    NAMES[*who],
                    asked.map_err(|refusal| (refusal.reason, refusal.retry_after))
                ));
            }
            Step::Finish(i, how) => {
                let n = harness.open.len();
                if n > 0 {
                    let call = harness.open.keys().nth(i % n).expect("one").clone();
                    harness.finish(&call, *how);
                }
            }
            Step::Advance(span) => {
                // Checks each move on its own: its team must be over its contract at that moment.
                let until = harness.now + span;
                loop {
                    let over = |harness: &Harness, team| {
                        let s = harness.contracts.pool().share(team);
                        i64::from(s.held) - i64::from(s.leaving) - i64::from(s.contract)
                    };
                    for call in harness.contracts.run_due(harness.now) {
                        let name = harness.open[&call].team.clone();
                        let team = harness
                            .contracts
                            .team_contracts()
                            .position(|c| *c.team == *name)
                            .expect("a team");
                        prop_assert!(
                            over(&harness, team) >= 0,
                            "{name} was asked to move below its contract"
                        );
                        decisions.push(format!("{name} moves {call:?}"));
                        harness.finish(&call, EndReason::Closed);
                    }
                    match harness.contracts.next_due(harness.now) {
                        Some(at) if at <= until => harness.now = at.max(harness.now + 1),
                        _ => break,
                    }
                }
                harness.now = until;
            }
            Step::SetReadyInstances(n) => {
                harness.contracts.set_ready_instances(harness.now, (0..*n).map(|host| (host, 1.0, 0)))
            }
            Step::RecordAttempt(host, served) => {
                harness.contracts.record_attempt(harness.now, *host, *served)
            }
            Step::ApplyTerms(terms) => {
                contract::validate(terms).expect("good terms");
                decisions.push(format!("{:?}", harness.contracts.apply_terms(harness.now, terms.clone())));
            }
        }
        let pool_check = harness.contracts.pool().validate();
        prop_assert!(pool_check.is_ok(), "{pool_check:?} after {step:?}");
        for a in harness.contracts.accounts(harness.now) {
            prop_assert_eq!(a.used_us, harness.used(&a.team), "the ledger of {} after {:?}", a.team, step);
            prop_assert_eq!(a.held as usize, harness.held(&a.team));
            let l = &a.ledger;
            let done = l.within + l.borrowed + l.refused.iter().sum::<u64>();
            // A request that was admitted and then found no instance is counted as admitted and as refused.
            prop_assert_eq!(l.asked, done - l.refused[Reason::Placement as usize]);
            prop_assert!(a.budget_left_seconds.is_none_or(|left| left >= 0.0));
        }
    }
    Ok(decisions)
}

proptest! {
    // A fixed seed keeps the result the same from run to run; PROPTEST_RNG_SEED and PROPTEST_CASES override it.
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300),
        rng_seed: match std::env::var("PROPTEST_RNG_SEED").ok().and_then(|n| n.parse().ok()) {
            Some(seed) => RngSeed::Fixed(seed),
            None => RngSeed::Fixed(7),
        },
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_for_random_teams_events_and_changes_of_terms(
        begin in any_terms(), steps in steps(), balancers in 1..4u32
    ) {
        check_invariants(balancers, begin, &steps)?;
    }

    #[test]
    fn decisions_do_not_depend_on_the_order_of_contracts_in_the_terms(begin in any_terms(), steps in steps()) {
        let reversed = |terms: &Terms| {
            let mut terms = terms.clone();
            terms.contracts.reverse();
            terms
        };
        let other: Vec<Step> = steps.iter().map(|step| match step {
            Step::ApplyTerms(terms) => Step::ApplyTerms(reversed(terms)),
            step => step.clone(),
        }).collect();
        let there = check_invariants(2, reversed(&begin), &other)?;
        prop_assert_eq!(check_invariants(2, begin, &steps)?, there);
    }
}

/// Guards against a flood that takes other teams' contracts, and against capacity that stays unused.
#[test]
fn a_flooding_team_gets_idle_capacity_and_a_returning_team_gets_its_contract_back_within_two_seconds() {
    let mut harness =
        Harness::new(1, terms(120.0, [team("north", 40.0), team("east", 40.0), team("idle", 40.0)]));
    assert_eq!(harness.connect_many("east", 40), 40);
    let admitted = harness.connect_many("north", 400);
    // It gets its own forty and those of the idle team, less what is reserved for that team.
    assert!((76..=78).contains(&admitted), "{admitted}");
    harness.advance(5 * SECOND);
    assert_eq!(
        (harness.held("north"), harness.held("east")),
        (admitted, 40),
        "no connection is moved while no request waits"
    );
    // All clients of the idle team return at once, and each retries after the time that it was given.
    let mut due: BTreeMap<Micros, usize> = BTreeMap::from([(harness.now, 40)]);
    let (started, mut last) = (harness.now, harness.now);
    while let Some((at, n)) = due.pop_first() {
        harness.advance(at.saturating_sub(harness.now));
        for _ in 0..n {
            match harness.connect("idle", WATCH) {
                Ok(_) => last = harness.now,
                Err(refusal) => {
                    assert_eq!(refusal.reason, Reason::Reclaim);
                    *due.entry(harness.now + refusal.retry_after.expect("a retry-after")).or_default() += 1;
                }
            }
        }
        // The other team floods all the time.
        harness.connect_many("north", 20);
    }
    assert_eq!((harness.held("idle"), harness.held("east"), harness.held("north")), (40, 40, 40));
    assert!(last - started <= 2 * SECOND, "it took {} us", last - started);
}

#[test]
fn with_all_teams_busy_each_holds_its_contract_and_contracts_beyond_the_capacity_are_reduced_in_proportion() {
    let all = || [team("a", 60.0), team("b", 30.0), team("c", 30.0)];
    let mut harness = Harness::new(1, terms(120.0, all()));
    for _ in 0..200 {
        harness.connect_many_of_each(&["a", "b", "c"], 1);
    }
    // The teams that came first hold more than their contracts; the others get theirs as their clients retry.
    for _ in 0..40 {
        harness.advance(SECOND / 4);
        harness.connect_many_of_each(&["a", "b", "c"], 5);
    }
    assert_eq!(["a", "b", "c"].map(|name| harness.held(name)), [60, 30, 30]);
    let mut harness = Harness::new(1, terms(60.0, all()));
    for _ in 0..60 {
        harness.advance(SECOND / 4);
        harness.connect_many_of_each(&["c", "b", "a"], 50);
    }
    assert_eq!(["a", "b", "c"].map(|name| harness.held(name)), [30, 15, 15]);
    // Half of the instances fail: the capacity and each contract halve, and connections over a contract are moved while
    // requests within one wait.
    let mut harness = Harness::new(1, terms(120.0, all()));
    harness.contracts.set_ready_instances(harness.now, (0..4).map(|host| (host, 1.0, 0)));
    assert_eq!(harness.connect_many("a", 200), 116, "idle capacity, less what is reserved");
    harness.contracts.set_ready_instances(harness.now, (0..2).map(|host| (host, 1.0, 0)));
    assert_eq!(harness.contracts.reduction_factor(), 0.5);
    for _ in 0..60 {
        harness.advance(SECOND / 4);
        harness.connect_many_of_each(&["c", "b"], 50);
    }
    assert_eq!(["a", "b", "c"].map(|name| harness.held(name)), [30, 15, 15]);
}

#[test]
fn borrowers_share_idle_capacity_by_weight_and_do_not_displace_each_other_in_turn() {
    let heavy = Contract { weight: 3.0, ..team("heavy", 1.0) };
    let mut harness = Harness::new(1, terms(102.0, [heavy, team("light", 1.0)]));
    assert_eq!(
        harness.connect_many("light", 500),
        101,
        "a single borrower gets all but the one that is reserved"
    );
    for _ in 0..200 {
        harness.advance(SECOND / 5);
        harness.connect_many("heavy", 5);
        harness.connect_many("light", 5);
    }
    let (heavy, light) = (harness.held("heavy") as f64 - 1.0, harness.held("light") as f64 - 1.0);
    assert!((2.4..=3.6).contains(&(heavy / light)), "{heavy} and {light}");
    assert_eq!(harness.held("heavy") + harness.held("light"), 102);
    let mut moved = 0;
    for _ in 0..100 {
        moved += harness.advance(SECOND / 5);
        harness.connect_many("light", 5);
        harness.connect_many("heavy", 5);
    }
    assert!(moved <= 2, "{moved} were moved without a gain");
}

#[test]
fn a_used_up_budget_reduces_the_contract_to_what_it_earns_until_a_tenth_of_it_is_available_again() {
    let budget = Some(Budget { seconds: 600.0, period: 60 * SECOND });
    let north = Contract { budget, borrow: false, ..team("north", 40.0) };
    let mut harness = Harness::new(1, terms(100.0, [north, team("south", 60.0)]));
    assert_eq!(harness.connect_many("north", 100), 40);
    // 40 connections use 40 connection seconds a second and 10 are earned: 600 last for 20 s.
    harness.advance(20 * SECOND - 1);
    assert_eq!(harness.held("north"), 40);
    let moved = harness.advance(4 * SECOND);
    assert_eq!(
        (moved, harness.held("north")),
        (30, 10),
        "moved at the reclaim rate, down to what the budget earns"
    );
    assert_eq!(harness.connect("north", WATCH).map_err(|refusal| refusal.reason), Err(Reason::Budget));
    // With ten connections the budget earns what it uses; with none, a tenth of it (60) is available again after 6 s.
    let calls: Vec<CallId> = harness.open.keys().cloned().collect();
    calls.iter().for_each(|call| harness.finish(call, EndReason::Closed));
    harness.advance(5_900_000);
    assert_eq!(harness.connect_many("north", 100), 10);
    let calls: Vec<CallId> = harness.open.keys().cloned().collect();
    calls.iter().for_each(|call| harness.finish(call, EndReason::Closed));
    harness.advance(200_000);
    assert_eq!(harness.connect_many("north", 100), 40);
}

#[test]
fn a_contract_that_is_reduced_doubled_removed_and_added_again_under_load_takes_effect_at_the_reclaim_rate() {
    let strict = |name: &str, n| Contract { borrow: false, ..team(name, n) };
    let base = |n| terms(120.0, [strict("north", n), team("south", 40.0)]);
    let mut harness = Harness::new(1, base(40.0));
    assert_eq!(harness.connect_many("north", 100), 40);
    let changes = harness.contracts.apply_terms(harness.now, base(20.0));
    let reported: Vec<String> =
        changes.iter().map(|c| format!("{} {} {} {}", c.team, c.key, c.before, c.after)).collect();
    assert_eq!(reported, ["north connections 40 20"]);
    assert_eq!(harness.advance(2 * SECOND), 20, "none is closed by force, all are asked to move within 2 s");
    assert_eq!(harness.connect_many("north", 100), 0);
    harness.contracts.apply_terms(harness.now, base(80.0));
    assert_eq!((harness.connect_many("north", 100), harness.held("north")), (60, 80));
    // Removed: its connections are moved, and its clients belong to the team `others`.
    harness.contracts.apply_terms(harness.now, terms(120.0, [team("south", 40.0)]));
    assert_eq!(harness.advance(4 * SECOND), 80);
    assert!(harness.connect("north", WATCH).is_ok() && harness.held("others") == 1);
    // Added again: its account continues.
    harness.contracts.apply_terms(harness.now, base(40.0));
    assert_eq!(harness.connect_many("north", 100), 40);
    let account = harness.contracts.accounts(harness.now);
    let north = account.iter().find(|a| &*a.team == "north").expect("an account");
    assert_eq!((north.ledger.moved, north.used_us), (100, harness.used("north")));
}

#[test]
fn connections_of_the_lowest_worth_move_first_newest_first_and_payouts_last() {
    let south = Contract { borrow: false, ..team("south", 5.0) };
    let mut harness = Harness::new(1, terms(10.0, [team("north", 1.0), south]));
    let pays: Vec<CallId> = (0..3).map(|_| harness.connect("north", PAYOUT).expect("room")).collect();
    let watches: Vec<CallId> = (0..4).map(|_| harness.connect("north", WATCH).expect("room")).collect();
    harness.connect_many("south", 10);
    let mut order = Vec::new();
    for _ in 0..200 {
        for call in harness.contracts.run_due(harness.now) {
            order.push(call.clone());
            harness.finish(&call, EndReason::Closed);
            harness.connect_many("south", 1);
        }
        harness.now += SECOND / 10;
        harness.connect_many("south", 1);
    }
    let newest_first: Vec<CallId> = watches.into_iter().rev().collect();
    assert_eq!(harness.held("south"), 5);
    assert_eq!(order, newest_first[..order.len()], "two of four: the newest");
    assert!(pays.iter().all(|call| harness.open.contains_key(call)));
}

#[test]
fn rate_and_class_limits_refuse_and_a_request_without_a_team_goes_to_the_only_team_that_names_its_class() {
    let rate = Some(Rate { per_second: 10.0, burst: 5.0 });
    let watch = Some(vec!["watch".to_string()]);
    let north = Contract { rate, classes: watch.clone(), ..team("north", 100.0) };
    let mut harness = Harness::new(1, terms(200.0, [north.clone(), team("south", 10.0)]));
    assert_eq!(harness.connect_many("north", 50), 5, "a burst");
    let refusal = harness.connect("north", WATCH).expect_err("the bucket is empty");
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::Rate, Some(SECOND / 10)));
    harness.advance(SECOND / 10);
    assert!(harness.connect("north", WATCH).is_ok(), "a retry after the time given is admitted");
    assert_eq!(harness.connect("north", PAYOUT).map_err(|refusal| refusal.reason), Err(Reason::Class));
    // A request without a team belongs to the only team whose contract names its class, else to `others`.
    let named = |harness: &Harness, name, class| {
        let team = harness.contracts.resolve_team(name, class);
        harness.contracts.team_contracts().nth(team).expect("a team").team.to_string()
    };
    assert_eq!(named(&harness, None, WATCH), "north");
    assert_eq!(
        (named(&harness, None, PAYOUT), named(&harness, Some("who"), PAYOUT)),
        ("others".into(), "others".into())
    );
    // A class that two teams name identifies no team.
    let both = terms(200.0, [north, Contract { classes: watch, ..team("south", 10.0) }]);
    harness.contracts.apply_terms(harness.now, both);
    assert_eq!(named(&harness, None, WATCH), "others");
}

#[test]
fn without_a_stated_capacity_it_is_learned_from_unplaced_requests_and_shrinks_with_the_fleet() {
    let mut harness =
        Harness::new(1, Terms { capacity: None, ..terms(1.0, [team("north", 40.0), team("south", 40.0)]) });
    harness.contracts.set_ready_instances(harness.now, (0..4).map(|host| (host, 1.0, 0)));
    assert_eq!(harness.connect_many("north", 100), 100, "no bound is known");
    let call = harness.connect("north", WATCH).expect("admitted");
    harness.finish(&call, EndReason::NoInstance);
    assert_eq!(harness.contracts.pool().capacity(), 100);
    assert_eq!(harness.connect("north", WATCH).map_err(|refusal| refusal.reason), Err(Reason::Idle));
    assert_eq!(harness.connect("south", WATCH).map_err(|refusal| refusal.reason), Err(Reason::Reclaim));
    harness.advance(5 * SECOND);
    assert!(
        (150..180).contains(&harness.contracts.pool().capacity()),
        "{}",
        harness.contracts.pool().capacity()
    );
    // Three attempts in a row without an answer: the instance is down until it serves one.
    let before = harness.contracts.pool().capacity();
    (0..3).for_each(|_| harness.contracts.record_attempt(harness.now, 2, false));
    assert_eq!(harness.contracts.pool().capacity(), (before as f64 * 0.75) as u64);
    harness.contracts.record_attempt(harness.now, 2, true);
    assert_eq!(harness.contracts.pool().capacity(), before);
}

#[test]
fn values_that_contradict_each_other_are_rejected_with_the_key_and_the_correction() {
    let strict = Contract { borrow: false, ..team("a", 10.0) };
    let budget = |seconds, period| Some(Budget { seconds, period });
    let rate = |per_second, burst| Some(Rate { per_second, burst });
    let cases: Vec<(Contract, &str, &str)> = vec![
        (team("", 1.0), "name", "1 to 255"),
        (team("two words", 1.0), "name", "without spaces"),
        (team("a", 0.0), "connections", "1 or more"),
        (team("a", f64::NAN), "connections", "1 or more"),
        (Contract { classes: Some(vec![]), ..team("a", 1.0) }, "classes", "leave it out"),
        (Contract { weight: 0.0, ..team("a", 1.0) }, "weight", "more than 0"),
        (Contract { weight: 2.0, ..strict.clone() }, "weight", "leave one of the two out"),
        (Contract { rate: rate(0.0, 1.0), ..team("a", 1.0) }, "rate", "more than 0"),
        (Contract { rate: rate(1.0, 11.0), ..strict }, "burst", "lower it"),
        (Contract { budget: budget(601.0, 60 * SECOND), ..team("a", 10.0) }, "budget", "never be used up"),
        (Contract { budget: budget(10.0, 0), ..team("a", 10.0) }, "budget", "`per`"),
        (Contract { attempts: Some(0), ..team("a", 1.0) }, "attempts", "1 or more"),
    ];
    for (contract, key, correction) in cases {
        let wrong = contract::validate(&terms(10.0, [contract.clone()])).expect_err(key);
        assert_eq!((wrong.contract, wrong.key), (Some(0), key), "{contract:?}");
        assert!(wrong.text.contains(correction), "{}", wrong.text);
    }
    let twice = contract::validate(&terms(10.0, [team("a", 1.0), team("a", 2.0)])).expect_err("twice");
    assert_eq!((twice.contract, twice.key), (Some(1), "name"));
}
