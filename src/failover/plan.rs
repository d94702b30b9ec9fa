//! The plan: for each zone that traffic comes from, the share of each class that goes to each zone, and the reason.
//!
//! Guaranteed: the shares of a class sum to one at most, and the remainder is refused. As far as the digests tell, no zone is
//! allocated more than its capacity, even while some balancers follow a plan and others the previous one: a zone is allocated more
//! only out of capacity that is free beside everything the previous plan gives it. There are never three plans in force at once:
//! the next plan is made when all balancers that report follow the last one, or when those that do not report can no longer follow
//! any. The same input gives the same plan.

use super::allocation::{staged_allocation, AllocationInput};
use super::capacity::{self, Grants, Holder, Report};
use super::evidence::{path_verdict, zone_capacity, zone_demand, zone_occupancy, Digest, Digests, Verdict};
use super::path::Path;
use super::FailoverSettings;
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where a zone's own traffic goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// All of it stays in the zone.
    #[default]
    Near,
    /// What the zone cannot carry goes to other zones.
    Spill,
    /// All of it goes to other zones.
    Away,
    /// It returns to the zone step by step.
    Returning,
}

impl ZoneState {
    /// Returns the name of the state.
    pub fn name(self) -> &'static str {
        match self {
            ZoneState::Near => "near",
            ZoneState::Spill => "spill",
            ZoneState::Away => "away",
            ZoneState::Returning => "returning",
        }
    }
}

/// Plan for one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ZonePlan {
    /// Where its own traffic goes.
    pub state: ZoneState,
    /// Reason for the state.
    #[serde(rename = "why")]
    pub reason: String,
    /// Serial of the plan that brought the zone into this state.
    pub since: u64,
    /// Number of connections that it may carry.
    #[serde(rename = "room")]
    pub capacity: u32,
    /// Shares by class: the thousandths that go to each zone, in a fixed order. The remainder to 1,000 is refused.
    pub shares: BTreeMap<String, Vec<(String, u32)>>,
    /// Zone where a client that failed in its first zone may be tried.
    #[serde(rename = "then")]
    pub fallback: Option<String>,
    /// Thousandths of all clients that may be tried in `fallback`: whichever single zone fails, the fallback has capacity for them.
    #[serde(rename = "part")]
    pub fallback_share: u32,
}

/// Shares of all zones, with the capacity leases that go with them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Plan {
    /// Serial number of the plan; each new plan has the next one.
    pub serial: u64,
    /// Number of times the plan was renewed.
    #[serde(rename = "renewed")]
    pub renewals: u64,
    /// Plans by zone.
    pub zones: BTreeMap<String, ZonePlan>,
    /// Capacity leases of the balancers; empty in a plan from an older version of the program.
    #[serde(skip_serializing_if = "Grants::is_empty")]
    pub grants: Grants,
}

impl Plan {
    /// Returns the number of connections that a balancer's process with this start time may hold in a zone; `None` if it has no
    /// grant.
    pub fn connection_limit(&self, balancer: &str, started: u64, zone: &str) -> Option<u32> {
        let grant = self.grants.get(balancer).filter(|grant| grant.started == started)?;
        let zone = self.zones.keys().position(|name| name == zone)?;
        grant.limits.get(zone).copied()
    }

    /// Returns the share of a class, in 0..=1, that goes from one zone to another.
    pub fn share(&self, from: &str, class: &str, to: &str) -> f64 {
        let shares = self.zones.get(from).and_then(|zone| zone.shares.get(class));
        shares
            .into_iter()
            .flatten()
            .filter(|(zone, _)| zone == to)
            .map(|(_, share)| f64::from(*share) / 1e3)
            .sum()
    }
}

/// Order of an operator for a zone; it overrides the planner's decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Number of the order: the same order given again starts anew.
    pub number: u64,
    /// Kind of the order.
    #[serde(rename = "wish")]
    pub kind: OrderKind,
    /// Duration of the order, in milliseconds.
    pub lasts_ms: u64,
}

/// Kinds of orders for a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderKind {
    /// Move all traffic out of the zone within this time, in milliseconds.
    Evacuate(u64),
    /// Keep the zone as it is, whatever is observed.
    Hold,
}

/// Number of plan lifetimes for which the capacity reserved for a silent balancer is kept: it may be cut off and still hold the
/// connections, or it may be gone.
const SILENT_RESERVATION_LIFETIMES: u64 = 10;
/// Shortest time between two renewals with new grants while a balancer wants more than it is granted; the digest interval applies
/// where it is longer.
const MIN_REGRANT_INTERVAL: Micros = 250_000;
/// Change of a share that is worth a new plan (unitless): smaller changes are noise.
const MIN_SHARE_CHANGE: f64 = 0.04;
/// Share of its capacity that a zone uses while it spills (unitless). A zone begins to spill when demand exceeds its whole capacity
/// and stops when demand is below this share of it, so that it does not change with every client.
const SPILL_CAPACITY_SHARE: f64 = 0.9;
/// Free capacity that a zone needs to be a fallback, as a share of the demand of the zone that falls back to it (unitless).
const MIN_FALLBACK_SHARE: f64 = 0.25;
/// Number of steps in which an evacuation closes a zone (unitless).
const EVACUATION_STEPS: f64 = 10.0;
/// Share of its demand that a zone must keep not to be in the state `Spill` (unitless).
const MIN_NEAR_SHARE: f64 = 0.95;
/// Maximum number of balancers whose digests are kept; limits memory use.
const MAX_REPORTERS: usize = 4_096;
/// Shortest digest interval that is assumed when old digests are dropped.
const MIN_DIGEST_INTERVAL: Micros = 250_000;

/// Makes the plans, at the holder of the lease for them.
pub struct Planner {
    settings: FailoverSettings,
    zones: Vec<String>,
    /// The most valuable first.
    classes: Vec<String>,
    /// Latest digest of each balancer, and when it was received.
    latest_digests: BTreeMap<String, (Micros, Digest)>,
    paths: BTreeMap<(usize, usize), Path>,
    /// Number of each order, when it was first seen, and the open share of its zone then; NaN until that is known.
    order_starts: BTreeMap<String, (u64, Micros, f64)>,
    /// Whether each zone spills, by the index of the zone.
    spilling: Vec<bool>,
    /// Since when each balancer with a grant has not reported.
    silent_since: BTreeMap<String, Micros>,
    /// Since when it makes plans; `None` while it is not the lease holder.
    planning_since: Option<Micros>,
    /// When the last plan or renewal was proposed.
    last_proposal: Micros,
}

impl Planner {
    /// Creates a planner for these zones, in any order, and classes, the most valuable first.
    pub fn new(settings: FailoverSettings, mut zones: Vec<String>, classes: Vec<String>) -> Planner {
        zones.sort();
        zones.truncate(super::MAX_ZONES);
        let (latest_digests, paths, order_starts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (spilling, silent_since) = (vec![false; zones.len()], BTreeMap::new());
        let classes = classes.into_iter().take(super::MAX_CLASSES).collect();
        Planner {
            settings,
            zones,
            classes,
            latest_digests,
            paths,
            order_starts,
            spilling,
            silent_since,
            planning_since: None,
            last_proposal: 0,
        }
    }

    /// Receives a digest, which may be late, duplicated or out of order.
    pub fn receive_digest(&mut self, now: Micros, digest: Digest) {
        let age = |d: &Digest| (d.started, d.sequence);
        let newer = self.latest_digests.get(&digest.name).is_none_or(|(_, known)| age(&digest) > age(known));
        if newer && digest.is_within_bounds() && self.latest_digests.len() < MAX_REPORTERS {
            self.latest_digests.insert(digest.name.clone(), (now, digest));
        }
    }

    /// Suspends planning when the lease is lost. The next start begins with a time to collect digests.
    pub fn suspend(&mut self) {
        self.planning_since = None;
    }

    /// Returns the plan to propose now, if a new one is needed or the one in the replicated state is due for renewal, and the zones
    /// whose orders have expired.
    pub fn advance(
        &mut self,
        now: Micros,
        record: Option<&Plan>,
        orders: &BTreeMap<String, Order>,
    ) -> (Option<Plan>, Vec<String>) {
        let settings = self.settings.clone();
        self.latest_digests
            .retain(|_, (at, _)| *at + 4 * settings.digest_interval.max(MIN_DIGEST_INTERVAL) >= now);
        let begun = *self.planning_since.get_or_insert(now);
        // Paths start as the plan in force has them and change with new observations.
        if begun == now {
            self.resume(now, record);
        }
        let digests: Digests =
            self.latest_digests.iter().map(|(name, (_, d))| (name.clone(), d.clone())).collect();
        let expired_orders = self.track_orders(now, orders);
        self.track_silent_balancers(now, &digests, record);
        let (input, reasons) = self.allocation_input(now, &digests, orders, record);
        let renewed = record.and_then(|plan| self.renewal(now, plan, &input, &digests));
        // At most two plans may be in force at once: all that report must follow the last plan, and the others none any more.
        let serial = record.map_or(0, |plan| plan.serial);
        let all_on_last_plan =
            digests.values().all(|d| d.follows.is_none_or(|follows| follows == serial) || serial == 0);
        let settled = all_on_last_plan && now >= self.last_proposal + settings.changeover_window
            || now >= self.last_proposal + settings.plan_lifetime + settings.changeover_window;
        let next = Some(()).filter(|()| settled && self.has_collected_digests(now, &digests));
        let next = next.map(|()| self.plan(&input, &reasons, record));
        let changed = next.filter(|next| record.is_none_or(|old| is_worth_changing_to(old, next)));
        let changed = changed
            .map(|next| Plan { grants: self.grants(&next, &input.capacity, &digests, record), ..next });
        let proposal = changed.or(renewed);
        if proposal.is_some() {
            self.last_proposal = now;
        }
        (proposal, expired_orders)
    }

    /// Returns the same plan with grants from the current state, if a renewal is due or helps a balancer.
    fn renewal(&self, now: Micros, plan: &Plan, input: &AllocationInput, digests: &Digests) -> Option<Plan> {
        let due = now >= self.last_proposal + self.settings.plan_lifetime / 3;
        let may_regrant = now >= self.last_proposal + self.settings.digest_interval.max(MIN_REGRANT_INTERVAL);
        if !due && !may_regrant {
            return None;
        }
        // A planner that has just started knows neither the zones' capacities nor which balancer holds what.
        let grants = match self.has_collected_digests(now, digests) {
            true => self.grants(plan, &input.capacity, digests, Some(plan)),
            false => plan.grants.clone(),
        };
        let wanted = due || self.improves_any_grant(plan, &grants, digests);
        wanted.then(|| Plan { renewals: plan.renewals + 1, grants, ..plan.clone() })
    }

    /// Whether it has been the planner for long enough to have received a digest from every reachable balancer.
    fn has_collected_digests(&self, now: Micros, digests: &Digests) -> bool {
        self.planning_since.is_some_and(|begun| now >= begun + 2 * self.settings.digest_interval)
            && !digests.is_empty()
    }

    /// Whether new grants would give more to a balancer whose expected demand exceeds its grant, or free capacity that it waits
    /// for.
    fn improves_any_grant(&self, plan: &Plan, grants: &Grants, digests: &Digests) -> bool {
        let limit = |grants: &Grants, name: &String, zone: usize| -> u32 {
            grants.get(name).and_then(|grant| grant.limits.get(zone)).copied().unwrap_or_default()
        };
        let reserved = |grants: &Grants, zone: usize| -> u32 {
            grants.values().filter_map(|grant| grant.reserved.get(zone)).sum()
        };
        digests.iter().any(|(name, digest)| {
            self.demand_by_zone(plan, digest).iter().enumerate().any(|(zone, demand)| {
                let (old, new) = (limit(&plan.grants, name, zone), limit(grants, name, zone));
                let is_short = *demand >= f64::from(old) + 1.0;
                is_short && (new > old || reserved(grants, zone) < reserved(&plan.grants, zone))
            })
        })
    }

    /// Returns the demand of a balancer's clients by zone, from a plan's shares.
    fn demand_by_zone(&self, plan: &Plan, digest: &Digest) -> Vec<f64> {
        let of_class = |to: &String, class: &String| {
            f64::from(digest.demand.get(class).copied().unwrap_or_default())
                * plan.share(&digest.zone, class, to)
        };
        self.zones.iter().map(|to| self.classes.iter().map(|class| of_class(to, class)).sum()).collect()
    }

    /// Returns the capacity leases that go with a plan's shares. `record` is the plan in force; `capacities` are by zone.
    fn grants(&self, plan: &Plan, capacities: &[f64], digests: &Digests, record: Option<&Plan>) -> Grants {
        let previous_grant = |name: &String| record.and_then(|plan| plan.grants.get(name));
        let mut holders = BTreeMap::new();
        for (name, digest) in digests {
            let demand = self.demand_by_zone(plan, digest);
            let zone_plan = plan.zones.get(&digest.zone);
            let fallback = zone_plan.and_then(|zone| zone.fallback.as_ref());
            let fallback_share = zone_plan.map_or(0.0, |zone| f64::from(zone.fallback_share) / 1e3);
            let home = self.zones.iter().position(|zone| *zone == digest.zone);
            let own_zone_demand = home.map_or(0.0, |home| demand[home]);
            let overflow = self.zones.iter().map(|to| {
                if fallback == Some(to) {
                    fallback_share * own_zone_demand
                } else {
                    0.0
                }
            });
            let used = self.zones.iter().map(|zone| digest.zones.get(zone).map_or(0, |seen| seen.held()));
            let used: Vec<u32> = used.collect();
            let acknowledges = record.is_some_and(|plan| {
                digest.follows == Some(plan.serial) && digest.renewal == Some(plan.renewals)
            });
            let report = Report { started: digest.started, acknowledges, used: &used };
            let holder = Holder {
                started: previous_grant(name).map_or(0, |grant| grant.started).max(digest.started),
                overflow: overflow.collect(),
                zone: home.unwrap_or(usize::MAX),
                held: capacity::committed(previous_grant(name), &report),
                demand,
            };
            holders.insert(name.clone(), holder);
        }
        // A balancer that does not report keeps everything that is reserved for it.
        for name in self.silent_since.keys() {
            let Some(grant) = previous_grant(name) else { continue };
            let demand = grant.limits.iter().map(|limit| f64::from(*limit)).collect();
            let (started, held) = (grant.started, grant.reserved.clone());
            let holder = Holder { started, demand, held, zone: usize::MAX, ..Holder::default() };
            holders.insert(name.clone(), holder);
        }
        let capacities: Vec<u32> = capacities.iter().map(|capacity| capacity.floor() as u32).collect();
        capacity::grant_limits(&capacities, &holders)
    }

    /// Tracks the balancers that have a grant and do not report, for as long as they may still hold what they were granted.
    fn track_silent_balancers(&mut self, now: Micros, digests: &Digests, record: Option<&Plan>) {
        let granted = record.into_iter().flat_map(|plan| plan.grants.keys());
        let silent: Vec<String> = granted.filter(|name| !digests.contains_key(*name)).cloned().collect();
        self.silent_since.retain(|name, _| silent.contains(name));
        for name in silent {
            self.silent_since.entry(name).or_insert(now);
        }
        let reservation_time = SILENT_RESERVATION_LIFETIMES * self.settings.plan_lifetime;
        self.silent_since.retain(|_, since| now < *since + reservation_time);
    }

    /// Restores the state of the paths from a plan that another planner made.
    fn resume(&mut self, now: Micros, record: Option<&Plan>) {
        let Some(plan) = record else { return };
        for (z, name) in self.zones.iter().enumerate() {
            let state = plan.zones.get(name).map_or(ZoneState::Near, |zone| zone.state);
            let path = self.paths.entry((z, z)).or_default();
            match state {
                ZoneState::Away if path.closed_since.is_none() => {
                    (path.closed_since, path.recent_closures, path.last_change) =
                        (Some(now), path.recent_closures.max(1), now)
                }
                ZoneState::Returning if path.reopening_since.is_none() && path.closed_since.is_none() => {
                    (path.reopening_since, path.recent_closures, path.last_change) =
                        (Some(now), path.recent_closures.max(1), now);
                }
                ZoneState::Spill => self.spilling[z] = true,
                _ => {}
            }
        }
    }

    /// Tracks when each order was first seen, and returns the zones whose orders have expired.
    fn track_orders(&mut self, now: Micros, orders: &BTreeMap<String, Order>) -> Vec<String> {
        self.order_starts
            .retain(|zone, (number, ..)| orders.get(zone).is_some_and(|order| order.number == *number));
        let mut expired = Vec::new();
        for (zone, order) in orders {
            let (_, at, _) = *self.order_starts.entry(zone.clone()).or_insert((order.number, now, f64::NAN));
            if now >= at + order.lasts_ms * 1_000 {
                expired.push(zone.clone());
            }
        }
        expired
    }

    /// Returns the input of the allocation, and by zone whether an operator's order is in force and the reason for its state.
    fn allocation_input(
        &mut self,
        now: Micros,
        digests: &Digests,
        orders: &BTreeMap<String, Order>,
        record: Option<&Plan>,
    ) -> (AllocationInput, Vec<(bool, String)>) {
        let (n, settings) = (self.zones.len(), self.settings.clone());
        let mut open = vec![vec![1.0; n]; n];
        let mut reasons = vec![(false, String::new()); n];
        for (f, t) in (0..n).flat_map(|f| (0..n).map(move |t| (f, t))) {
            let path_health = match path_verdict(digests, &self.zones[f], &self.zones[t], &settings) {
                // For a path without traffic, the destination's own balancers know its health best.
                Verdict::Unknown if f != t => {
                    path_verdict(digests, &self.zones[t], &self.zones[t], &settings)
                }
                path_health => path_health,
            };
            let path = self.paths.entry((f, t)).or_default();
            let level = path.update(now, path_health, &settings);
            open[f][t] = level;
            if f == t && level < 1.0 {
                reasons[f].1 = match level == 0.0 {
                    true if path.recent_closures > 1 => {
                        format!("its balancers see it fail, for the {}th time lately", path.recent_closures)
                    }
                    true => "its balancers see it fail".into(),
                    false => format!("it does well again: {:.0}% of the way back", 100.0 * level),
                };
            }
        }
        for (zone, order) in orders {
            let (Some(z), Some(start)) =
                (self.zones.iter().position(|name| name == zone), self.order_starts.get_mut(zone))
            else {
                continue;
            };
            if start.2.is_nan() {
                start.2 = open[z][z];
            }
            let level = match order.kind {
                OrderKind::Evacuate(within_ms) => {
                    let elapsed_part = (now - start.1) as f64 / (within_ms.max(1) * 1_000) as f64;
                    // In steps, so that there is not a new plan every second.
                    (1.0 - (elapsed_part * EVACUATION_STEPS).floor() / EVACUATION_STEPS).max(0.0)
                }
                OrderKind::Hold => start.2,
            };
            for row in open.iter_mut() {
                row[z] = match order.kind {
                    OrderKind::Evacuate(_) => row[z].min(level),
                    OrderKind::Hold => level,
                };
            }
            let effect = if matches!(order.kind, OrderKind::Hold) { "held" } else { "evacuated" };
            reasons[z] = (true, format!("{effect} by an operator"));
        }
        let demand_by_class =
            |zone: &String| self.classes.iter().map(|class| zone_demand(digests, zone, class)).collect();
        let demand: Vec<Vec<f64>> = self.zones.iter().map(demand_by_class).collect();
        let capacities: Vec<f64> =
            self.zones.iter().map(|zone| settings.usable_share * zone_capacity(digests, zone)).collect();
        let reserved = |zone: usize| {
            let grants = self.silent_since.keys().filter_map(|name| record?.grants.get(name));
            grants.filter_map(|grant| grant.reserved.get(zone)).map(|n| f64::from(*n)).sum::<f64>()
        };
        let established: Vec<f64> = self
            .zones
            .iter()
            .enumerate()
            .map(|(z, zone)| zone_occupancy(digests, zone) + reserved(z))
            .collect();
        let previously_allocated = record.map_or(Vec::new(), |plan| {
            let amount = |f: usize, c: usize, t: usize| {
                demand[f][c] * plan.share(&self.zones[f], &self.classes[c], &self.zones[t])
            };
            let by_class = |f: usize| {
                (0..self.classes.len()).map(|c| (0..n).map(|t| amount(f, c, t)).collect()).collect()
            };
            (0..n).map(by_class).collect()
        });
        let (zones, classes) = (self.zones.clone(), self.classes.clone());
        let input = AllocationInput {
            zones,
            classes,
            demand,
            capacity: capacities,
            open,
            previously_allocated,
            established,
        };
        (input, reasons)
    }

    /// Returns the next plan for this input, without grants.
    fn plan(&mut self, base: &AllocationInput, reasons: &[(bool, String)], record: Option<&Plan>) -> Plan {
        let (n, settings) = (base.zones.len(), &self.settings);
        let mut input = base.clone();
        let demand_of = |f: usize| base.demand[f].iter().sum::<f64>();
        // A zone goes on spilling until it has capacity to spare, so that it does not change with every client.
        for z in 0..n {
            let spills =
                demand_of(z) > base.capacity[z] * if self.spilling[z] { SPILL_CAPACITY_SHARE } else { 1.0 };
            self.spilling[z] = spills && base.open[z][z] >= 1.0;
            if self.spilling[z] {
                input.open[z][z] = (SPILL_CAPACITY_SHARE * base.capacity[z] / demand_of(z)).min(1.0);
            }
        }
        let distance = |f: usize, t: usize| settings.distance(&base.zones[f], &base.zones[t]);
        let allocation = staged_allocation(&input, distance);
        let allocated_to = |t: usize| allocation.iter().flatten().map(|to| to[t]).sum::<f64>();
        let serial = record.map_or(0, |plan| plan.serial) + 1;
        let free: Vec<f64> = (0..n).map(|t| base.capacity[t] - allocated_to(t)).collect();
        let nearest_to = |f: usize| {
            let mut order: Vec<usize> = (0..n).collect();
            order.sort_by_key(|&t| (distance(f, t), t));
            order
        };
        // The fallback is the nearest zone with capacity for a quarter of the clients. No more of them are tried there than it has
        // capacity for, whichever single zone fails.
        let is_suitable_fallback = |f: usize, t: usize| {
            t != f && base.open[f][t] >= 1.0 && free[t] > MIN_FALLBACK_SHARE * demand_of(f).max(1.0)
        };
        let fallback_zones: Vec<Option<usize>> =
            (0..n).map(|f| nearest_to(f).into_iter().find(|&t| is_suitable_fallback(f, t))).collect();
        let fallback_share_of = |t: usize| {
            let moved_if_failed = |z: usize| {
                let there = (0..n).filter(|&f| fallback_zones[f] == Some(t)).flat_map(|f| &allocation[f]);
                there.map(|to| to[z]).sum::<f64>()
            };
            let largest = (0..n).filter(|&z| z != t).map(moved_if_failed).fold(0.0, f64::max);
            (free[t] / largest).min(1.0)
        };
        let mut zones = BTreeMap::new();
        for f in 0..n {
            let (nearest, demand) = (nearest_to(f), demand_of(f));
            let shares = base.classes.iter().enumerate().map(|(c, class)| {
                let demand = base.demand[f][c];
                let thousandths = |t: usize| match demand > 0.0 {
                    true => (allocation[f][c][t] / demand * 1e3 + 1e-6).floor() as u32,
                    // Without demand the first client goes to its own zone if that is open, else to the nearest open zone.
                    false if base.open[f][f] > 0.0 => 1_000 * u32::from(t == f),
                    false => {
                        1_000
                            * u32::from(
                                nearest.iter().find(|&&t| base.open[f][t] > 0.0 && base.capacity[t] > 0.0)
                                    == Some(&t),
                            )
                    }
                };
                let shares_by_zone: Vec<(String, u32)> =
                    nearest.iter().map(|&t| (base.zones[t].clone(), thousandths(t))).collect();
                (class.clone(), shares_by_zone.into_iter().filter(|(_, share)| *share > 0).collect())
            });
            let shares: BTreeMap<String, Vec<(String, u32)>> = shares.collect();
            let served_near = allocation[f].iter().map(|to| to[f]).sum::<f64>();
            let state = match base.open[f][f] {
                0.0 => ZoneState::Away,
                open if open < 1.0 => ZoneState::Returning,
                _ if self.spilling[f] || served_near < MIN_NEAR_SHARE * demand => ZoneState::Spill,
                _ => ZoneState::Near,
            };
            let previous = record.and_then(|plan| plan.zones.get(&base.zones[f]));
            let since =
                previous.filter(|previous| previous.state == state).map_or(serial, |previous| previous.since);
            let reason = match (&reasons[f], state) {
                ((_, reason), _) if !reason.is_empty() => reason.clone(),
                (_, ZoneState::Spill) => format!("{demand:.0} wanted, room for {:.0}", base.capacity[f]),
                _ => "it carries what it is asked for".into(),
            };
            let capacity = base.capacity[f] as u32;
            let fallback_share = fallback_zones[f].map_or(0, |t| (fallback_share_of(t) * 1e3) as u32);
            let fallback = fallback_zones[f].map(|t| base.zones[t].clone());
            zones.insert(
                base.zones[f].clone(),
                ZonePlan { state, reason, since, capacity, shares, fallback, fallback_share },
            );
        }
        Plan { serial, renewals: 0, zones, grants: Grants::new() }
    }

    /// Returns the names of the balancers that report, by the plan that they follow.
    pub fn followers(&self) -> BTreeMap<Option<u64>, Vec<String>> {
        let mut by_plan: BTreeMap<Option<u64>, Vec<String>> = BTreeMap::new();
        self.latest_digests
            .iter()
            .for_each(|(name, (_, d))| by_plan.entry(d.follows).or_default().push(name.clone()));
        by_plan
    }
}

/// Whether a plan is worth changing to: a zone has another state, or a share differs by more than noise.
fn is_worth_changing_to(old: &Plan, new: &Plan) -> bool {
    let any_zone_changed = new.zones.iter().any(|(name, zone)| {
        let was = old.zones.get(name);
        was.is_none_or(|was| {
            let share_changed = |(class, shares): (&String, &Vec<(String, u32)>)| {
                let changes = shares
                    .iter()
                    .map(|(to, _)| (old.share(name, class, to) - new.share(name, class, to)).abs());
                let sum =
                    |zone: &ZonePlan| zone.shares.get(class).into_iter().flatten().map(|s| s.1).sum::<u32>();
                changes.fold(f64::from(sum(was).abs_diff(sum(zone))) / 1e3, f64::max) > MIN_SHARE_CHANGE
            };
            was.state != zone.state || zone.shares.iter().any(share_changed)
        })
    });
    any_zone_changed || old.zones.len() != new.zones.len()
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
