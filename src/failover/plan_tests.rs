//! Properties of the plan over random zones, and every mixture of two plans in a small case.

use super::super::allocation::Allocation;
use super::super::evidence::ZoneObservations;
use super::*;
use proptest::prelude::*;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("z{i}")).collect()
}

/// Zones 0 and 1 are one region, the others another.
fn distance(f: usize, t: usize) -> u32 {
    if f == t {
        0
    } else if (f < 2) == (t < 2) {
        1
    } else {
        10
    }
}

fn allocation_input(demand: Vec<Vec<f64>>, capacity: Vec<f64>, before: Allocation) -> AllocationInput {
    let n = capacity.len();
    let classes = names(demand[0].len());
    let (open, established) = (vec![vec![1.0; n]; n], vec![0.0; n]);
    AllocationInput {
        zones: names(n),
        classes,
        demand,
        capacity,
        open,
        previously_allocated: before,
        established,
    }
}

fn allocated_to(allocation: &Allocation, t: usize) -> f64 {
    allocation.iter().flatten().map(|to| to[t]).sum()
}

fn zones_with_demand() -> impl Strategy<Value = (Vec<Vec<f64>>, Vec<f64>, Vec<Vec<bool>>)> {
    let amount = || (0u32..60).prop_map(f64::from);
    (
        prop::collection::vec(prop::collection::vec(amount(), 2), 4),
        prop::collection::vec(amount(), 4),
        prop::collection::vec(prop::collection::vec(any::<bool>(), 4), 4),
    )
}

proptest! {
    /// Guards against an allocation above the capacity or the demand, a less valuable class before a more valuable one, and
    /// traffic that crosses zones while there is capacity nearer.
    #[test]
    fn allocations_keep_capacity_and_prefer_near_zones_and_valuable_classes((demand, capacity, open) in zones_with_demand()) {
        let mut input = allocation_input(demand, capacity, Vec::new());
        input.open = open.iter().map(|row| row.iter().map(|o| f64::from(u8::from(*o))).collect()).collect();
        let allocation = staged_allocation(&input, distance);
        prop_assert_eq!(&staged_allocation(&input, distance), &allocation);
        for t in 0..4 {
            prop_assert!(allocated_to(&allocation, t) <= input.capacity[t] + 1e-6);
            let left = input.capacity[t] - allocated_to(&allocation, t);
            for f in 0..4 {
                prop_assert!(open[f][t] || allocation[f].iter().all(|to| to[t] == 0.0));
                let unserved: f64 = (0..2).map(|c| input.demand[f][c] - allocation[f][c].iter().sum::<f64>()).sum();
                prop_assert!(unserved < 1e-6 || !open[f][t] || left < 1e-6, "refused despite free capacity");
                // No client goes farther than the nearest open zone with free capacity.
                let farther = (0..4).filter(|&u| distance(f, u) > distance(f, t)).any(|u| allocation[f].iter().any(|to| to[u] > 1e-6));
                prop_assert!(!farther || !open[f][t] || left < 1e-6, "clients of {f} go past {t}");
            }
        }
        // If the more valuable class of a zone is refused, the other class has nothing in any zone open to both.
        for f in 0..4 {
            if input.demand[f][0] - allocation[f][0].iter().sum::<f64>() > 1e-6 {
                let low: f64 = (0..4).filter(|&t| open[f][t]).map(|t| (0..4).map(|g| allocation[g][1][t]).sum::<f64>()).sum();
                prop_assert!(low < 1e-6, "{f}: {allocation:?}");
            }
        }
    }

    /// Guards against added capacity in a zone that sends more of its clients away, while no client is refused.
    #[test]
    fn more_capacity_in_a_zone_never_sends_more_of_its_clients_away((demand, capacity, _) in zones_with_demand(), z in 0usize..4, more in 1u32..40) {
        let demand: Vec<Vec<f64>> = demand.iter().map(|of| of.iter().map(|w| (w / 5.0).floor()).collect()).collect();
        let allocate = |capacity: &[f64]| staged_allocation(&allocation_input(demand.clone(), capacity.to_vec(), Vec::new()), distance);
        let away = |allocation: &Allocation| allocation[z].iter().map(|to| to.iter().sum::<f64>() - to[z]).sum::<f64>();
        let mut larger = capacity.clone();
        larger[z] += f64::from(more);
        let (before, after) = (allocate(&capacity), allocate(&larger));
        let served = before.iter().flatten().flatten().sum::<f64>();
        // Clients that were refused may get capacity far away once others have moved nearer.
        prop_assume!(served >= demand.iter().flatten().sum::<f64>() - 1e-6);
        prop_assert!(away(&after) <= away(&before) + 1e-6);
    }

    /// Guards against successive plans that each keep a zone's capacity and together exceed it: a client that a later plan refuses
    /// keeps its connection, while the later plan admits others. In this test no client leaves by itself.
    #[test]
    fn successive_plans_never_fill_a_zone_above_its_capacity(
        demand in prop::array::uniform3(0u32..40),
        capacity in prop::array::uniform3(0u32..60),
        open_paths in prop::collection::vec(prop::array::uniform9(any::<bool>()), 2..8),
    ) {
        let demand: Vec<Vec<f64>> = demand.iter().map(|w| vec![f64::from(*w)]).collect();
        let mut input = allocation_input(demand, capacity.map(f64::from).to_vec(), Vec::new());
        let mut established = [[0.0f64; 3]; 3];
        for open in open_paths {
            input.open = open.chunks(3).map(|row| row.iter().map(|open| f64::from(u8::from(*open))).collect()).collect();
            let plan = staged_allocation(&input, distance);
            for (f, t) in (0..3).flat_map(|f| (0..3).map(move |t| (f, t))) {
                established[f][t] = established[f][t].max(plan[f][0][t]);
            }
            input.established = (0..3).map(|t| established.iter().map(|from| from[t]).sum()).collect();
            input.previously_allocated = plan;
            for t in 0..3 {
                prop_assert!(input.established[t] <= input.capacity[t] + 1e-9, "{} of {} at {t}: {established:?}", input.established[t], input.capacity[t]);
            }
        }
    }
}

/// Guards against two plans in force at once that together exceed a zone's capacity: three zones, every demand and capacity of 0, 2
/// and 4, every plan that follows another, and each zone's balancers on either of the two.
#[test]
fn no_mixture_of_a_plan_with_the_next_exceeds_a_capacity() {
    let figures = [0.0, 2.0, 4.0];
    let all = || {
        let three = move || {
            figures
                .into_iter()
                .flat_map(move |a| figures.into_iter().flat_map(move |b| figures.map(|c| [a, b, c])))
        };
        three().flat_map(move |demand| three().map(move |capacity| (demand, capacity)))
    };
    let input_for = |demand: [f64; 3], capacity: [f64; 3], before: Allocation| {
        allocation_input(demand.iter().map(|w| vec![*w]).collect(), capacity.to_vec(), before)
    };
    let mut mixtures = 0u64;
    for (demand, first_capacity) in all() {
        let before = staged_allocation(&input_for(demand, first_capacity, Vec::new()), distance);
        for capacity in all().filter(|(w, _)| *w == demand).map(|(_, capacity)| capacity) {
            let after = staged_allocation(&input_for(demand, capacity, before.clone()), distance);
            for mixture in 0..8 {
                mixtures += 1;
                let on = |f: usize| if mixture >> f & 1 == 0 { &before[f] } else { &after[f] };
                for t in 0..3 {
                    let given: f64 = (0..3).map(|f| on(f)[0][t]).sum();
                    // Where the capacity fell below the previous allocation, that allocation is the bound.
                    let most = capacity[t].max(allocated_to(&before, t));
                    assert!(
                        given <= most + 1e-9,
                        "{demand:?} {first_capacity:?} {capacity:?} {mixture}: {given} at {t}"
                    );
                }
            }
        }
    }
    println!("{mixtures} mixtures");
    assert!(mixtures > 100_000);
    // The search finds a planner that ignores the previous plan.
    let found = all().any(|(demand, first_capacity)| {
        let before = staged_allocation(&input_for(demand, first_capacity, Vec::new()), distance);
        all().filter(|(w, _)| *w == demand).any(|(_, capacity)| {
            let without_previous = staged_allocation(&input_for(demand, capacity, Vec::new()), distance);
            let on = |f: usize, mixture: usize| {
                if mixture >> f & 1 == 0 {
                    &before[f]
                } else {
                    &without_previous[f]
                }
            };
            (0..8).any(|m| {
                (0..3).any(|t| {
                    (0..3).map(|f| on(f, m)[0][t]).sum::<f64>()
                        > capacity[t].max(allocated_to(&before, t)) + 1e-9
                })
            })
        })
    });
    assert!(found);
}

/// A planner and simulated balancers whose zones follow a script.
struct Fleet {
    planner: Planner,
    now: Micros,
    plan: Option<Plan>,
    orders: BTreeMap<String, Order>,
    number: u64,
    states: Vec<(Micros, String, ZoneState)>,
}

const S: Micros = 1_000_000;

impl Fleet {
    fn new() -> Fleet {
        let regions = [("a", "n"), ("b", "n"), ("c", "s")].map(|(z, r)| (z.to_string(), r.to_string()));
        let (recovery_confirmation, return_step_interval) = (15 * S, 5 * S);
        let settings = FailoverSettings {
            regions: regions.into(),
            recovery_confirmation,
            return_step_interval,
            ..FailoverSettings::default()
        };
        let zones = ["c", "a", "b"].map(String::from).to_vec();
        let planner = Planner::new(settings, zones, vec!["payout".into(), "watch".into()]);
        Fleet { planner, now: 0, plan: None, orders: BTreeMap::new(), number: 0, states: Vec::new() }
    }

    /// Runs for this number of seconds. `serves` tells whether a path serves at a time. `demand_per_balancer` is the demand at each of
    /// the two balancers in every zone.
    fn run(&mut self, seconds: u64, serves: impl Fn(&str, &str, Micros) -> bool, demand_per_balancer: u32) {
        for _ in 0..seconds * 4 {
            self.now += S / 4;
            if self.now.is_multiple_of(S) {
                for n in 0..6 {
                    let zone = ["a", "b", "c"][n % 3];
                    let seen = |to: &str| match serves(zone, to, self.now) {
                        true => ZoneObservations {
                            up: 9,
                            probed: (3, 0),
                            mean_setup_ms: 20,
                            capacity: 100,
                            ..ZoneObservations::default()
                        },
                        false => ZoneObservations {
                            failed: 9,
                            probed: (0, 3),
                            capacity: 100,
                            ..ZoneObservations::default()
                        },
                    };
                    let zones = ["a", "b", "c"].map(|to| (to.to_string(), seen(to))).into();
                    let demand = [
                        ("payout".to_string(), demand_per_balancer / 4),
                        ("watch".to_string(), demand_per_balancer),
                    ]
                    .into();
                    self.number += 1;
                    let follows = self.plan.as_ref().map(|plan| plan.serial);
                    let renewal = self.plan.as_ref().map(|plan| plan.renewals);
                    let digest = Digest {
                        name: format!("n{n}"),
                        started: 1,
                        sequence: self.number,
                        zone: zone.into(),
                        follows,
                        renewal,
                        zones,
                        demand,
                    };
                    self.planner.receive_digest(self.now, digest.clone());
                    // A digest with an older sequence number arrives after the current one.
                    self.planner.receive_digest(self.now, Digest { sequence: self.number - 1, ..digest });
                }
            }
            let (plan, over) = self.planner.advance(self.now, self.plan.as_ref(), &self.orders);
            self.orders.retain(|zone, _| !over.contains(zone));
            if let Some(plan) = plan {
                for (name, zone) in &plan.zones {
                    let was = self.plan.as_ref().and_then(|plan| plan.zones.get(name)).map(|zone| zone.state);
                    if was != Some(zone.state) {
                        self.states.push((self.now / S, name.clone(), zone.state));
                    }
                }
                assert!(self
                    .plan
                    .as_ref()
                    .is_none_or(|old| plan.serial == old.serial && plan.renewals == old.renewals + 1
                        || plan.serial == old.serial + 1));
                self.plan = Some(plan);
            }
        }
    }

    fn share(&self, from: &str, to: &str) -> f64 {
        self.plan.as_ref().unwrap().share(from, "watch", to)
    }

    fn state(&self, zone: &str) -> ZoneState {
        self.plan.as_ref().unwrap().zones[zone].state
    }
}

/// Guards against a lost zone that keeps its traffic or loses it to a far zone, and against a return in one step.
#[test]
fn traffic_of_a_lost_zone_stays_in_its_region_and_returns_step_by_step() {
    let mut fleet = Fleet::new();
    fleet.run(10, |_, _, _| true, 18);
    assert!(["a", "b", "c"].iter().all(|z| fleet.state(z) == ZoneState::Near && fleet.share(z, z) > 0.99));
    fleet.run(8, |_, to, _| to != "a", 18);
    assert_eq!(fleet.state("a"), ZoneState::Away, "{:?}", fleet.plan);
    assert!(
        fleet.share("a", "b") > 0.9 && fleet.share("a", "c") < 0.1 && fleet.share("b", "b") > 0.99,
        "{:?}",
        fleet.plan
    );
    fleet.run(30, |_, to, _| to != "a", 18);
    fleet.run(17, |_, _, _| true, 18);
    assert_eq!(fleet.state("a"), ZoneState::Returning, "{:?}", fleet.states);
    assert!(fleet.share("a", "a") < 0.5);
    fleet.run(30, |_, _, _| true, 18);
    assert_eq!(fleet.state("a"), ZoneState::Near);
    assert!(fleet.share("a", "a") > 0.99);
    let changes = fleet.states.iter().filter(|(at, ..)| *at > 10).count();
    assert_eq!(changes, 3, "{:?}", fleet.states);
}

/// Guards against traffic that flaps with a zone: while the zone fails and recovers every 5 s for two minutes, traffic leaves it
/// once and returns once.
#[test]
fn traffic_leaves_a_flapping_zone_once_and_returns_once() {
    let mut fleet = Fleet::new();
    fleet.run(10, |_, _, _| true, 18);
    fleet.run(120, |_, to, now| to != "b" || (now / (5 * S)).is_multiple_of(2), 18);
    fleet.run(60, |_, _, _| true, 18);
    let changes: Vec<_> = fleet.states.iter().filter(|(at, ..)| *at > 10).collect();
    assert!(changes.iter().all(|(_, zone, _)| zone == "b") && changes.len() == 3, "{changes:?}");
    assert_eq!(fleet.state("b"), ZoneState::Near);
}

/// Guards against a cut-off zone that loses its own traffic, and against other zones that send traffic into it.
#[test]
fn a_cut_off_zone_keeps_its_own_traffic_and_receives_no_other() {
    let mut fleet = Fleet::new();
    fleet.run(10, |_, _, _| true, 18);
    fleet.run(10, |from, to, _| from == to || from != "a" && to != "a", 18);
    assert!(fleet.state("a") == ZoneState::Near && fleet.share("a", "a") > 0.99);
    // Zone b is lost too; zone a would be the nearest one for its traffic.
    fleet.run(10, |from, to, _| to != "b" && (from == to || from != "a" && to != "a"), 18);
    assert!(fleet.share("b", "a") == 0.0 && fleet.share("b", "c") > 0.9, "{:?}", fleet.plan);
}

/// Guards against refusing the more valuable class first when two zones are down, and against filling a zone above its capacity.
#[test]
fn with_two_zones_down_the_valuable_class_is_served_within_capacity() {
    let mut fleet = Fleet::new();
    fleet.run(10, |_, _, _| true, 36);
    fleet.run(30, |_, to, _| to == "c", 36);
    let plan = fleet.plan.as_ref().unwrap();
    let demand_of = |class: &str| if class == "payout" { 2.0 * 9.0 } else { 2.0 * 36.0 };
    let at = |class: &str| {
        ["a", "b", "c"].iter().map(|from| demand_of(class) * plan.share(from, class, "c")).sum::<f64>()
    };
    assert!(at("payout") > 0.99 * 3.0 * 18.0, "{plan:?}");
    assert!(at("payout") + at("watch") <= 90.0 && at("payout") + at("watch") > 80.0, "{plan:?}");
}

/// Guards against a fallback zone that takes all clients of a failed zone before a new plan is made: with capacity for a part of
/// them, only that part may be tried there.
#[test]
fn whichever_zone_fails_its_fallback_has_capacity_for_the_fallback_share() {
    let mut with_fallback = 0;
    for demand in [8, 18, 24, 30, 36] {
        for down in ["none", "a", "c"] {
            let mut fleet = Fleet::new();
            fleet.run(10, |_, _, _| true, demand);
            fleet.run(20, |_, to, _| to != down, demand);
            let plan = fleet.plan.as_ref().unwrap();
            let zones = ["a", "b", "c"];
            let demand_of =
                |class: &str| 2.0 * f64::from(if class == "payout" { demand / 4 } else { demand });
            let at = |from: &str, to: &str| {
                ["payout", "watch"]
                    .map(|class| demand_of(class) * plan.share(from, class, to))
                    .iter()
                    .sum::<f64>()
            };
            for (to, fails) in
                zones.iter().flat_map(|to| zones.map(|fails| (*to, fails))).filter(|(a, b)| a != b)
            {
                let given: f64 = zones.iter().map(|from| at(from, to)).sum();
                let tried = zones.iter().filter(|from| plan.zones[**from].fallback.as_deref() == Some(to));
                let more: f64 = tried
                    .map(|from| f64::from(plan.zones[*from].fallback_share) / 1e3 * at(from, fails))
                    .sum();
                with_fallback += usize::from(more > 0.0);
                assert!(
                    given + more <= 90.5,
                    "{demand}, {down} is down, {fails} fails: {given} + {more} at {to}, {plan:?}"
                );
            }
        }
    }
    assert!(with_fallback >= 12, "{with_fallback}");
}

/// Guards against an operator's order that is not followed or never expires, and against a new planner that loses the state.
#[test]
fn orders_override_the_planner_and_expire_and_a_new_planner_continues() {
    let mut fleet = Fleet::new();
    fleet.run(10, |_, _, _| true, 18);
    let order = |number, kind, lasts_ms| Order { number, kind, lasts_ms };
    fleet.orders.insert("a".into(), order(1, OrderKind::Evacuate(10_000), 40_000));
    fleet.run(5, |_, _, _| true, 18);
    assert!((0.3..0.8).contains(&fleet.share("a", "a")), "{:?}", fleet.plan);
    fleet.run(10, |_, _, _| true, 18);
    assert!(fleet.share("a", "a") == 0.0 && fleet.share("a", "b") > 0.9);
    assert!(fleet.plan.as_ref().unwrap().zones["a"].reason.contains("operator"));
    fleet.run(40, |_, _, _| true, 18);
    assert!(fleet.orders.is_empty() && fleet.share("a", "a") > 0.99, "{:?}", fleet.plan);
    fleet.orders.insert("b".into(), order(2, OrderKind::Hold, 20_000));
    fleet.run(10, |_, to, _| to != "b", 18);
    assert_eq!(fleet.state("b"), ZoneState::Near);
    // A new planner continues from the last plan.
    fleet.orders.clear();
    fleet.run(10, |_, to, _| to != "b", 18);
    assert_eq!(fleet.state("b"), ZoneState::Away);
    fleet.planner = Fleet::new().planner;
    let changes = fleet.states.len();
    fleet.run(10, |_, to, _| to != "b", 18);
    assert_eq!((fleet.state("b"), fleet.states.len()), (ZoneState::Away, changes));
}

/// Guards against a new planner that renews the plan before it has received any digest: it took every capacity for 0, and all
/// clients were refused for half a second (`zone-severed`, seed 8: `limits: [0, 0, 0]` for all nine balancers).
#[test]
fn a_new_planner_keeps_the_grants_until_it_has_collected_digests() {
    let mut fleet = Fleet::new();
    fleet.run(10, |_, _, _| true, 18);
    let before = fleet.plan.clone().unwrap();
    assert!(before.grants.values().all(|grant| grant.limits.iter().sum::<u32>() >= 22), "{before:?}");
    fleet.planner = Fleet::new().planner;
    let (renewed, _) = fleet.planner.advance(fleet.now, Some(&before), &fleet.orders);
    assert_eq!(renewed, Some(Plan { renewals: before.renewals + 1, ..before }));
}
