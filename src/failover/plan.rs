//! The plan: for each zone that traffic comes from, the share of each class that goes to each zone, and the reason.
//!
//! Guaranteed: the shares of a class sum to one at most, and the remainder is refused. As far as the digests tell, no zone is allocated
//! more than its capacity, even while some balancers follow a plan and others the previous one: a zone is allocated more only out
//! of capacity that is free beside everything the previous plan gives it. There are never three plans in force at once: the next
//! plan is made when all balancers that report follow the last one, or when those that do not report can no longer follow any.
//! The same input gives the same plan.

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
/// Shortest time between two renewals with new grants while a balancer wants more than it is granted. Otherwise they are made as
/// often as balancers report.
const MIN_REGRANT_INTERVAL: Micros = 250_000;
/// Change of a share that is worth a new plan (unitless): smaller changes are noise.
const MIN_SHARE_CHANGE: f64 = 0.04;
/// Share of its capacity that a zone uses while it spills (unitless). A zone begins to spill when demand exceeds its whole capacity
/// and stops when demand is below this share of it, so that it does not change with every client.
const SPILL_CAPACITY_SHARE: f64 = 0.9;
/// Free capacity that a zone needs to be a fallback, as a share of the demand of the zone that falls back to it (unitless).
const MIN_FALLBACK_SHARE: f64 = 0.25;
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
    heard: BTreeMap<String, (Micros, Digest)>,
    paths: BTreeMap<(usize, usize), Path>,
    /// Number of each order, when it was first seen, and the open share of its zone then; NaN until that is known.
    orders: BTreeMap<String, (u64, Micros, f64)>,
    spills: Vec<bool>,
    /// Since when each balancer with a grant has not reported.
    silent: BTreeMap<String, Micros>,
    /// Since when it makes plans; `None` while it is not the lease holder.
    begun: Option<Micros>,
    put: Micros,
}

impl Planner {
    /// Creates a planner for these zones, in any order, and classes, the most valuable first.
    pub fn new(settings: FailoverSettings, mut zones: Vec<String>, classes: Vec<String>) -> Planner {
        zones.sort();
        zones.truncate(super::MAX_ZONES);
        let (heard, paths, orders) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (spills, silent) = (vec![false; zones.len()], BTreeMap::new());
        let classes = classes.into_iter().take(super::MAX_CLASSES).collect();
        Planner { settings, zones, classes, heard, paths, orders, spills, silent, begun: None, put: 0 }
    }

    /// Receives a digest, which may be late, duplicated or out of order.
    pub fn receive_digest(&mut self, now: Micros, digest: Digest) {
        let age = |d: &Digest| (d.started, d.sequence);
        let newer = self.heard.get(&digest.name).is_none_or(|(_, known)| age(&digest) > age(known));
        if newer && digest.is_within_bounds() && self.heard.len() < MAX_REPORTERS {
            self.heard.insert(digest.name.clone(), (now, digest));
        }
    }

    /// Suspends planning when the lease is lost. The next start begins with a time to collect digests.
    pub fn suspend(&mut self) {
        self.begun = None;
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
        self.heard.retain(|_, (at, _)| *at + 4 * settings.digest_interval.max(MIN_DIGEST_INTERVAL) >= now);
        let begun = *self.begun.get_or_insert(now);
        // Paths start as the plan in force has them and change with new observations.
        if begun == now {
            self.resume(now, record);
        }
        let digests: Digests = self.heard.iter().map(|(name, (_, d))| (name.clone(), d.clone())).collect();
        let over = self.orders(now, orders);
        self.look_for_silent(now, &digests, record);
        let (input, whys) = self.allocation_input(now, &digests, orders, record);
        let renewed = record.and_then(|plan| self.renewal(now, plan, &input, &digests));
        // At most two plans may be in force at once: all that report must follow the last plan, and the others none any more.
        let serial = record.map_or(0, |plan| plan.serial);
        let all = digests.values().all(|d| d.follows.is_none_or(|follows| follows == serial) || serial == 0);
        let settled = all && now >= self.put + settings.changeover_window
            || now >= self.put + settings.plan_lifetime + settings.changeover_window;
        let next = Some(()).filter(|()| settled && self.listened(now, &digests));
        let next = next.map(|()| self.plan(&input, &whys, record));
        let changed = next.filter(|next| record.is_none_or(|old| differs(old, next)));
        let changed = changed
            .map(|next| Plan { grants: self.grants(&next, &input.capacity, &digests, record), ..next });
        let put = changed.or(renewed);
        if put.is_some() {
            self.put = now;
        }
        (put, over)
    }

    /// Returns the same plan with grants from the current state, if a renewal is due or helps a balancer.
    fn renewal(&self, now: Micros, plan: &Plan, input: &AllocationInput, digests: &Digests) -> Option<Plan> {
        let due = now >= self.put + self.settings.plan_lifetime / 3;
        let may = now >= self.put + self.settings.digest_interval.max(MIN_REGRANT_INTERVAL);
        if !due && !may {
            return None;
        }
        // A planner that has just started knows neither the zones' capacities nor which balancer holds what.
        let grants = match self.listened(now, digests) {
            true => self.grants(plan, &input.capacity, digests, Some(plan)),
            false => plan.grants.clone(),
        };
        let wanted = due || self.helps_somebody(plan, &grants, digests);
        wanted.then(|| Plan { renewals: plan.renewals + 1, grants, ..plan.clone() })
    }

    /// Whether it has been the planner for long enough to have received a digest from every reachable balancer.
    fn listened(&self, now: Micros, digests: &Digests) -> bool {
        self.begun.is_some_and(|begun| now >= begun + 2 * self.settings.digest_interval)
            && !digests.is_empty()
    }

    /// Whether new grants would give more to a balancer whose expected demand exceeds its grant, or free capacity that it waits for.
    fn helps_somebody(&self, plan: &Plan, grants: &Grants, digests: &Digests) -> bool {
        let limit = |grants: &Grants, name: &String, zone: usize| -> u32 {
            grants.get(name).and_then(|grant| grant.limits.get(zone)).copied().unwrap_or_default()
        };
        let reserved = |grants: &Grants, zone: usize| -> u32 {
            grants.values().filter_map(|grant| grant.reserved.get(zone)).sum()
        };
        digests.iter().any(|(name, digest)| {
            self.demand(plan, digest).iter().enumerate().any(|(zone, demand)| {
                let (old, new) = (limit(&plan.grants, name, zone), limit(grants, name, zone));
                let short = *demand >= f64::from(old) + 1.0;
                short && (new > old || reserved(grants, zone) < reserved(&plan.grants, zone))
            })
        })
    }

    /// Returns the demand of a balancer's clients by zone, from a plan's shares.
    fn demand(&self, plan: &Plan, digest: &Digest) -> Vec<f64> {
        let of_class = |to: &String, class: &String| {
            f64::from(digest.demand.get(class).copied().unwrap_or_default())
                * plan.share(&digest.zone, class, to)
        };
        self.zones.iter().map(|to| self.classes.iter().map(|class| of_class(to, class)).sum()).collect()
    }

    /// Returns the capacity leases that go with a plan's shares. `record` is the plan in force; `capacities` are by zone.
    fn grants(&self, plan: &Plan, rooms: &[f64], digests: &Digests, record: Option<&Plan>) -> Grants {
        let known = |name: &String| record.and_then(|plan| plan.grants.get(name));
        let mut holders = BTreeMap::new();
        for (name, digest) in digests {
            let demand = self.demand(plan, digest);
            let own = plan.zones.get(&digest.zone);
            let second = own.and_then(|zone| zone.fallback.as_ref());
            let part = own.map_or(0.0, |zone| f64::from(zone.fallback_share) / 1e3);
            let home = self.zones.iter().position(|zone| *zone == digest.zone);
            let at_home = home.map_or(0.0, |home| demand[home]);
            let overflow = self.zones.iter().map(|to| if second == Some(to) { part * at_home } else { 0.0 });
            let used = self.zones.iter().map(|zone| digest.zones.get(zone).map_or(0, |seen| seen.held()));
            let used: Vec<u32> = used.collect();
            let acknowledges = record.is_some_and(|plan| {
                digest.follows == Some(plan.serial) && digest.renewal == Some(plan.renewals)
            });
            let report = Report { started: digest.started, acknowledges, used: &used };
            let holder = Holder {
                started: known(name).map_or(0, |grant| grant.started).max(digest.started),
                overflow: overflow.collect(),
                zone: home.unwrap_or(usize::MAX),
                held: capacity::committed(known(name), &report),
                demand,
            };
            holders.insert(name.clone(), holder);
        }
        // Everything stays reserved for balancers that do not report.
        for name in self.silent.keys() {
            let Some(grant) = known(name) else { continue };
            let demand = grant.limits.iter().map(|limit| f64::from(*limit)).collect();
            let (started, held) = (grant.started, grant.reserved.clone());
            let holder = Holder { started, demand, held, zone: usize::MAX, ..Holder::default() };
            holders.insert(name.clone(), holder);
        }
        let capacities: Vec<u32> = rooms.iter().map(|room| room.floor() as u32).collect();
        capacity::grant_limits(&capacities, &holders)
    }

    /// Tracks the balancers that have a grant and do not report, for as long as they may still hold what they were granted.
    fn look_for_silent(&mut self, now: Micros, digests: &Digests, record: Option<&Plan>) {
        let granted = record.into_iter().flat_map(|plan| plan.grants.keys());
        let silent: Vec<String> = granted.filter(|name| !digests.contains_key(*name)).cloned().collect();
        self.silent.retain(|name, _| silent.contains(name));
        for name in silent {
            self.silent.entry(name).or_insert(now);
        }
        let kept = SILENT_RESERVATION_LIFETIMES * self.settings.plan_lifetime;
        self.silent.retain(|_, since| now < *since + kept);
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
                ZoneState::Spill => self.spills[z] = true,
                _ => {}
            }
        }
    }

    fn orders(&mut self, now: Micros, orders: &BTreeMap<String, Order>) -> Vec<String> {
        self.orders
            .retain(|zone, (number, ..)| orders.get(zone).is_some_and(|order| order.number == *number));
        let mut over = Vec::new();
        for (zone, order) in orders {
            let (_, at, _) = *self.orders.entry(zone.clone()).or_insert((order.number, now, f64::NAN));
            if now >= at + order.lasts_ms * 1_000 {
                over.push(zone.clone());
            }
        }
        over
    }

    fn allocation_input(
        &mut self,
        now: Micros,
        digests: &Digests,
        orders: &BTreeMap<String, Order>,
        record: Option<&Plan>,
    ) -> (AllocationInput, Vec<(bool, String)>) {
        let (n, settings) = (self.zones.len(), self.settings.clone());
        let mut open = vec![vec![1.0; n]; n];
        let mut whys = vec![(false, String::new()); n];
        for (f, t) in (0..n).flat_map(|f| (0..n).map(move |t| (f, t))) {
            let said = match path_verdict(digests, &self.zones[f], &self.zones[t], &settings) {
                // For a path without traffic, the destination's own balancers know its health best.
                Verdict::Unknown if f != t => {
                    path_verdict(digests, &self.zones[t], &self.zones[t], &settings)
                }
                said => said,
            };
            let path = self.paths.entry((f, t)).or_default();
            let level = path.update(now, said, &settings);
            open[f][t] = level;
            if f == t && level < 1.0 {
                whys[f].1 = match level == 0.0 {
                    true if path.recent_closures > 1 => {
                        format!("its balancers see it fail, for the {}th time lately", path.recent_closures)
                    }
                    true => "its balancers see it fail".into(),
                    false => format!("it does well again: {:.0}% of the way back", 100.0 * level),
                };
            }
        }
        for (zone, order) in orders {
            let (Some(z), Some(seen)) =
                (self.zones.iter().position(|name| name == zone), self.orders.get_mut(zone))
            else {
                continue;
            };
            if seen.2.is_nan() {
                seen.2 = open[z][z];
            }
            let level = match order.kind {
                OrderKind::Evacuate(over) => {
                    let gone = (now - seen.1) as f64 / (over.max(1) * 1_000) as f64;
                    // In steps, so that there is not a new plan every second.
                    (1.0 - (gone * 10.0).floor() / 10.0).max(0.0)
                }
                OrderKind::Hold => seen.2,
            };
            for row in open.iter_mut() {
                row[z] = match order.kind {
                    OrderKind::Evacuate(_) => row[z].min(level),
                    OrderKind::Hold => level,
                };
            }
            let what = if matches!(order.kind, OrderKind::Hold) { "held" } else { "evacuated" };
            whys[z] = (true, format!("{what} by an operator"));
        }
        let ask =
            |zone: &String| self.classes.iter().map(|class| zone_demand(digests, zone, class)).collect();
        let all: Vec<Vec<f64>> = self.zones.iter().map(ask).collect();
        let rooms: Vec<f64> =
            self.zones.iter().map(|zone| settings.usable_share * zone_capacity(digests, zone)).collect();
        let reserved = |zone: usize| {
            let grants = self.silent.keys().filter_map(|name| record?.grants.get(name));
            grants.filter_map(|grant| grant.reserved.get(zone)).map(|n| f64::from(*n)).sum::<f64>()
        };
        let stands: Vec<f64> = self
            .zones
            .iter()
            .enumerate()
            .map(|(z, zone)| zone_occupancy(digests, zone) + reserved(z))
            .collect();
        let before = record.map_or(Vec::new(), |plan| {
            let amount = |f: usize, c: usize, t: usize| {
                all[f][c] * plan.share(&self.zones[f], &self.classes[c], &self.zones[t])
            };
            let of = |f: usize| {
                (0..self.classes.len()).map(|c| (0..n).map(|t| amount(f, c, t)).collect()).collect()
            };
            (0..n).map(of).collect()
        });
        let (zones, classes) = (self.zones.clone(), self.classes.clone());
        let input = AllocationInput {
            zones,
            classes,
            demand: all,
            capacity: rooms,
            open,
            previously_allocated: before,
            established: stands,
        };
        (input, whys)
    }

    fn plan(&mut self, q: &AllocationInput, whys: &[(bool, String)], record: Option<&Plan>) -> Plan {
        let (n, settings) = (q.zones.len(), &self.settings);
        let mut input = q.clone();
        let want = |f: usize| q.demand[f].iter().sum::<f64>();
        // A zone goes on spilling until it has capacity to spare, so that it does not change with every client.
        for z in 0..n {
            let spills = want(z) > q.capacity[z] * if self.spills[z] { SPILL_CAPACITY_SHARE } else { 1.0 };
            self.spills[z] = spills && q.open[z][z] >= 1.0;
            if self.spills[z] {
                input.open[z][z] = (SPILL_CAPACITY_SHARE * q.capacity[z] / want(z)).min(1.0);
            }
        }
        let distance = |f: usize, t: usize| settings.distance(&q.zones[f], &q.zones[t]);
        let amounts = staged_allocation(&input, distance);
        let given = |t: usize| amounts.iter().flatten().map(|to| to[t]).sum::<f64>();
        let serial = record.map_or(0, |plan| plan.serial) + 1;
        let spare: Vec<f64> = (0..n).map(|t| q.capacity[t] - given(t)).collect();
        let near = |f: usize| {
            let mut order: Vec<usize> = (0..n).collect();
            order.sort_by_key(|&t| (distance(f, t), t));
            order
        };
        // The fallback is the nearest zone with capacity for a quarter of the clients. No more of them are tried there than it has
        // capacity for, whichever single zone fails.
        let suits = |f: usize, t: usize| {
            t != f && q.open[f][t] >= 1.0 && spare[t] > MIN_FALLBACK_SHARE * want(f).max(1.0)
        };
        let then: Vec<Option<usize>> = (0..n).map(|f| near(f).into_iter().find(|&t| suits(f, t))).collect();
        let tried = |t: usize| {
            let of = |z: usize| {
                let there = (0..n).filter(|&f| then[f] == Some(t)).flat_map(|f| &amounts[f]);
                there.map(|to| to[z]).sum::<f64>()
            };
            let most = (0..n).filter(|&z| z != t).map(of).fold(0.0, f64::max);
            (spare[t] / most).min(1.0)
        };
        let mut zones = BTreeMap::new();
        for f in 0..n {
            let (order, want) = (near(f), want(f));
            let shares = q.classes.iter().enumerate().map(|(c, class)| {
                let want = q.demand[f][c];
                let part = |t: usize| match want > 0.0 {
                    true => (amounts[f][c][t] / want * 1e3 + 1e-6).floor() as u32,
                    // Without demand the first client goes to its own zone if that is open, else to the nearest open zone.
                    false if q.open[f][f] > 0.0 => 1_000 * u32::from(t == f),
                    false => {
                        1_000
                            * u32::from(
                                order.iter().find(|&&t| q.open[f][t] > 0.0 && q.capacity[t] > 0.0)
                                    == Some(&t),
                            )
                    }
                };
                let of: Vec<(String, u32)> = order.iter().map(|&t| (q.zones[t].clone(), part(t))).collect();
                (class.clone(), of.into_iter().filter(|(_, share)| *share > 0).collect())
            });
            let shares: BTreeMap<String, Vec<(String, u32)>> = shares.collect();
            let kept = amounts[f].iter().map(|to| to[f]).sum::<f64>();
            let state = match q.open[f][f] {
                0.0 => ZoneState::Away,
                open if open < 1.0 => ZoneState::Returning,
                _ if self.spills[f] || kept < MIN_NEAR_SHARE * want => ZoneState::Spill,
                _ => ZoneState::Near,
            };
            let was = record.and_then(|plan| plan.zones.get(&q.zones[f]));
            let since = was.filter(|was| was.state == state).map_or(serial, |was| was.since);
            let reason = match (&whys[f], state) {
                ((_, why), _) if !why.is_empty() => why.clone(),
                (_, ZoneState::Spill) => format!("{want:.0} wanted, room for {:.0}", q.capacity[f]),
                _ => "it carries what it is asked for".into(),
            };
            let capacity = q.capacity[f] as u32;
            let fallback_share = then[f].map_or(0, |t| (tried(t) * 1e3) as u32);
            let fallback = then[f].map(|t| q.zones[t].clone());
            zones.insert(
                q.zones[f].clone(),
                ZonePlan { state, reason, since, capacity, shares, fallback, fallback_share },
            );
        }
        Plan { serial, renewals: 0, zones, grants: Grants::new() }
    }

    /// Returns the names of the balancers that report, by the plan that they follow.
    pub fn followers(&self) -> BTreeMap<Option<u64>, Vec<String>> {
        let mut all: BTreeMap<Option<u64>, Vec<String>> = BTreeMap::new();
        self.heard.iter().for_each(|(name, (_, d))| all.entry(d.follows).or_default().push(name.clone()));
        all
    }
}

/// Whether a plan is worth changing to: a zone has another state, or a share differs by more than noise.
fn differs(old: &Plan, new: &Plan) -> bool {
    let zones = new.zones.iter().any(|(name, zone)| {
        let was = old.zones.get(name);
        was.is_none_or(|was| {
            let share = |(class, shares): (&String, &Vec<(String, u32)>)| {
                let told = shares
                    .iter()
                    .map(|(to, _)| (old.share(name, class, to) - new.share(name, class, to)).abs());
                let sum =
                    |zone: &ZonePlan| zone.shares.get(class).into_iter().flatten().map(|s| s.1).sum::<u32>();
                told.fold(f64::from(sum(was).abs_diff(sum(zone))) / 1e3, f64::max) > MIN_SHARE_CHANGE
            };
            was.state != zone.state || zone.shares.iter().any(share)
        })
    });
    zones || old.zones.len() != new.zones.len()
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
