//! Capacity leases under loss, delay and restarts: an exhaustive search of a small case, and long random walks through larger ones.
//!
//! What happened without them: where two of three zones failed, the last one held 112 to 120% of its capacity. Shares by a hash of the
//! client brought more than their mean by chance, attempts in flight and connections since the last digest were counted by nobody,
//! and no balancer knew how many it might hold: in the log of one run nine balancers on one plan held 58 of 48 together, none of
//! them against a rule.

use super::*;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::HashSet;

/// What a balancer said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Told {
    started: u64,
    follows: Option<usize>,
    used: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Balancer {
    started: u64,
    /// The plan that it follows, by its place in the row of plans.
    follows: Option<usize>,
    /// The first plan that it has not followed yet: its record never falls back.
    next: usize,
    /// What it may still hold after its plan has ended.
    standing: u32,
    used: u32,
    /// A report on its way, which may come late, again, or never.
    on_its_way: Option<Told>,
    /// What whoever makes the plans has heard.
    heard: Option<Told>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    plans: Vec<Grants>,
    balancers: Vec<Balancer>,
}

/// What is wrong with a planner that the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// It takes a grant for acknowledged as soon as it was made.
    NoAcknowledgement,
    /// It grants to others what was reserved for whoever it does not hear.
    ForgetsTheSilent,
    /// A balancer whose plan has ended goes on by its last grant, and what it may hold is no longer counted.
    NoSafeCapacity,
    /// A process acts on what was granted to an earlier one of its name.
    SharesItsName,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Hear(usize, usize),
    End(usize),
    Open(usize),
    Close(usize),
    Restart(usize),
    Report(usize),
    Deliver(usize),
    NewPlanner,
    /// A plan for which all want to go through this balancer.
    Plan(usize),
}

fn name(balancer: usize) -> String {
    format!("b{balancer}")
}

impl World {
    fn new(balancers: usize) -> World {
        World { plans: Vec::new(), balancers: vec![Balancer::default(); balancers] }
    }

    fn limit(&self, balancer: usize, planted: Planted) -> u32 {
        let b = &self.balancers[balancer];
        match b.follows {
            Some(plan) => {
                let grant = self.plans[plan].get(&name(balancer));
                let own = |grant: &&Grant| grant.started == b.started || planted == Planted::SharesItsName;
                grant.filter(own).map_or(0, |grant| grant.limits[0])
            }
            None if planted == Planted::NoSafeCapacity => u32::MAX,
            None => b.standing,
        }
    }

    fn steps(&self, plans: usize, restarts: u64) -> Vec<Step> {
        let mut steps = vec![Step::NewPlanner];
        for b in 0..self.balancers.len() {
            steps.extend((self.balancers[b].next..self.plans.len()).map(|plan| Step::Hear(b, plan)));
            steps.extend([Step::End(b), Step::Open(b), Step::Close(b), Step::Report(b), Step::Deliver(b)]);
            if self.plans.len() < plans {
                steps.push(Step::Plan(b));
            }
            if self.balancers[b].started < restarts {
                steps.push(Step::Restart(b));
            }
        }
        steps
    }

    fn take(&mut self, step: Step, capacity: u32, planted: Planted) {
        match step {
            Step::Hear(b, plan) => {
                let b = &mut self.balancers[b];
                (b.follows, b.next) = (Some(plan), plan + 1);
            }
            Step::End(b) => {
                let b = &mut self.balancers[b];
                if b.follows.take().is_some() {
                    b.standing = b.used;
                }
            }
            Step::Open(b) => {
                if self.balancers[b].used < self.limit(b, planted).min(capacity + 1) {
                    self.balancers[b].used += 1;
                }
            }
            Step::Close(b) => self.balancers[b].used = self.balancers[b].used.saturating_sub(1),
            // What was said before is still on its way.
            Step::Restart(b) => {
                let b = &mut self.balancers[b];
                *b = Balancer {
                    started: b.started + 1,
                    on_its_way: b.on_its_way,
                    heard: b.heard,
                    ..Balancer::default()
                };
            }
            Step::Report(b) => {
                let b = &mut self.balancers[b];
                b.on_its_way = Some(Told { started: b.started, follows: b.follows, used: b.used });
            }
            Step::Deliver(b) => {
                let b = &mut self.balancers[b];
                b.heard = b.on_its_way.or(b.heard);
            }
            Step::NewPlanner => self.balancers.iter_mut().for_each(|b| b.heard = None),
            Step::Plan(wants) => self.plan(wants, capacity, planted),
        }
    }

    fn plan(&mut self, wants: usize, capacity: u32, planted: Planted) {
        let last = self.plans.len().checked_sub(1);
        let mut holders = BTreeMap::new();
        for (b, balancer) in self.balancers.iter().enumerate() {
            let grant = last.and_then(|last| self.plans[last].get(&name(b)));
            let demand = if b == wants { f64::from(capacity) } else { 0.0 };
            let (heard, held) = match balancer.heard {
                Some(told) => {
                    let acknowledges = last.is_some() && told.follows == last;
                    let report = Report {
                        started: told.started,
                        acknowledges: acknowledges || planted == Planted::NoAcknowledgement,
                        used: &[told.used],
                    };
                    (told.started, committed(grant, &report))
                }
                None if planted == Planted::ForgetsTheSilent => (0, vec![0]),
                None => (0, grant.map_or(vec![0], |grant| grant.reserved.clone())),
            };
            let started = grant.map_or(0, |grant| grant.started).max(heard);
            let holder =
                Holder { started, demand: vec![demand], overflow: vec![0.0], zone: usize::MAX, held };
            holders.insert(name(b), holder);
        }
        self.plans.push(grant_limits(&[capacity], &holders));
    }

    fn used(&self) -> u32 {
        self.balancers.iter().map(|b| b.used).sum()
    }
}

/// Every state that two balancers with room for one connection come to within so many steps; how many, or the one that is wrong.
fn search(steps: usize, planted: Planted) -> Result<usize, World> {
    let first = World::new(2);
    let (mut known, mut open) = (HashSet::from([first.clone()]), vec![first]);
    for _ in 0..steps {
        let mut reached = Vec::new();
        for world in &open {
            for step in world.steps(2, 1) {
                let mut next = world.clone();
                next.take(step, 1, planted);
                if next.used() > 1 {
                    return Err(next);
                }
                if known.insert(next.clone()) {
                    reached.push(next);
                }
            }
        }
        open = reached;
    }
    Ok(known.len())
}

/// A random walk of three balancers and so many steps; the most that was held beyond the capacity.
fn walk(seed: u64, capacity: u32, planted: Planted) -> u32 {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |most: usize| random.next_u64() as usize % most;
    let mut world = World::new(3);
    let mut beyond = 0;
    for _ in 0..400 {
        let b = draw(3);
        let (next, plans) = (world.balancers[b].next, world.plans.len());
        let step = match draw(100) {
            0..10 => Step::Plan(b),
            10..30 if next < plans => Step::Hear(b, next + draw(plans - next).min(draw(3))),
            30..32 => Step::End(b),
            32 => Step::Restart(b),
            33 => Step::NewPlanner,
            34..46 => Step::Report(b),
            46..58 => Step::Deliver(b),
            58..68 => Step::Close(b),
            _ => Step::Open(b),
        };
        world.take(step, capacity, planted);
        beyond = beyond.max(world.used().saturating_sub(capacity));
    }
    beyond
}

/// The search is whole within so many steps; the walks are longer.
const SEARCHED_STEPS: usize = 9;

#[test]
fn no_loss_delay_restart_or_order_of_acknowledgements_passes_the_capacity() {
    let states = search(SEARCHED_STEPS, Planted::Nothing).unwrap_or_else(|world| panic!("{world:?}"));
    println!("{states} states");
    assert!(states > 10_000, "{states}");
    for seed in 0..600 {
        for capacity in [1, 2, 7] {
            assert_eq!(walk(seed, capacity, Planted::Nothing), 0, "seed {seed}, capacity {capacity}");
        }
    }
}

#[test]
fn each_planted_error_of_a_planner_is_found() {
    let all = [
        Planted::NoAcknowledgement,
        Planted::ForgetsTheSilent,
        Planted::NoSafeCapacity,
        Planted::SharesItsName,
    ];
    for planted in all {
        assert!((0..600).any(|seed| walk(seed, 7, planted) > 0), "{planted:?}");
    }
}

fn holder(zone: usize, demand: &[f64], overflow: &[f64]) -> Holder {
    let (demand, overflow) = (demand.to_vec(), overflow.to_vec());
    Holder { started: 0, held: vec![0; demand.len()], demand, overflow, zone }
}

fn limits(grants: &Grants, zone: usize) -> Vec<u32> {
    grants.values().map(|grant| grant.limits[zone]).collect()
}

#[test]
fn what_is_wanted_comes_first_then_what_another_zone_may_lose_then_the_zones_own() {
    let holders: BTreeMap<String, Holder> = [
        ("a".to_string(), holder(0, &[10.0, 0.0], &[0.0, 6.0])),
        ("b".to_string(), holder(1, &[0.0, 10.0], &[0.0, 0.0])),
        ("c".to_string(), holder(1, &[0.0, 4.0], &[0.0, 0.0])),
    ]
    .into();
    let grants = grant_limits(&[12, 24], &holders);
    assert_eq!(limits(&grants, 0), [12, 0, 0]);
    assert_eq!(limits(&grants, 1), [6, 12, 6]);
    // Less than is wanted: in proportion, and no more than there is.
    let grants = grant_limits(&[12, 7], &holders);
    assert_eq!(limits(&grants, 1), [0, 5, 2]);
}

#[test]
fn a_grant_that_shrinks_frees_capacity_only_when_it_was_acknowledged() {
    let mut holders: BTreeMap<String, Holder> =
        [("a".to_string(), holder(0, &[8.0], &[0.0])), ("b".to_string(), holder(0, &[2.0], &[0.0]))].into();
    let first = grant_limits(&[10], &holders);
    assert_eq!(limits(&first, 0), [8, 2]);
    let report = |holders: &mut BTreeMap<String, Holder>, last: &Grants, acknowledged: bool| {
        for (name, holder) in holders {
            let report = Report { started: 0, acknowledges: acknowledged, used: &[1] };
            holder.held = committed(last.get(name), &report);
        }
    };
    // The clients change sides.
    holders.get_mut("a").unwrap().demand = vec![2.0];
    holders.get_mut("b").unwrap().demand = vec![8.0];
    report(&mut holders, &first, true);
    let second = grant_limits(&[10], &holders);
    assert_eq!((limits(&second, 0), second["a"].reserved[0]), (vec![2, 2], 8));
    report(&mut holders, &second, false);
    assert_eq!(limits(&grant_limits(&[10], &holders), 0), [2, 2]);
    report(&mut holders, &second, true);
    assert_eq!(limits(&grant_limits(&[10], &holders), 0), [2, 8]);
}

#[test]
fn whole_numbers_sum_to_the_total_and_go_to_the_largest_remainders() {
    assert_eq!(apportion(10, &[1.0, 1.0, 1.0]), [4, 3, 3]);
    assert_eq!(apportion(3, &[0.0, 5.0, 0.1]), [0, 3, 0]);
    assert_eq!(apportion(5, &[0.0, 0.0]), [0, 0]);
    assert_eq!(apportion(0, &[2.0, 1.0]), [0, 0]);
}
