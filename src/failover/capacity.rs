//! Capacity leases: how many connections each balancer may hold in each zone.
//!
//! Invariant: the sum over all balancers of what they may hold in a zone never grows past the zone's capacity, whatever is lost,
//! late or out of order. A balancer may act on any grant since the last one that it has acknowledged, so of each the largest of
//! these, and what it holds, stays reserved; only what is reserved for nobody is granted to another. A grant that becomes smaller
//! frees capacity when its holder has acknowledged it. A capacity that becomes smaller cuts nobody off: it is granted to nobody new.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one balancer may hold, by the zones of the plan in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// The start of the process that it is for: a later process of that name must not act on it, since it may hear of a plan that
    /// the earlier one had left behind.
    pub started: u64,
    /// The most connections, established ones and attempts in flight together.
    pub limits: Vec<u32>,
    /// What is reserved for it: its limit, what it holds, and every limit that it may still act on.
    pub reserved: Vec<u32>,
}

/// Grants by the balancer's name.
pub type Grants = BTreeMap<String, Grant>;

/// What is known of a balancer when grants are made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holder {
    /// The start of its process.
    pub started: u64,
    /// By zone: the connections that its clients are expected to want there.
    pub demand: Vec<f64>,
    /// By zone: those that are to be tried there where their first zone fails.
    pub overflow: Vec<f64>,
    /// Its own zone.
    pub zone: usize,
    /// By zone: what it may hold already, see [`held`].
    pub held: Vec<u32>,
}

/// What a process says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// Its start.
    pub started: u64,
    /// Whether it follows the very plan of its latest grant.
    pub acknowledges: bool,
    /// By zone, what it holds.
    pub used: &'a [u32],
}

/// What a balancer may hold by now, by zone. `grant`: its latest one.
pub fn held(grant: Option<&Grant>, report: &Report) -> Vec<u32> {
    // What an earlier process of that name held has ended with it, or the later one counts it as its own.
    let grant = grant.filter(|grant| grant.started >= report.started);
    let Some(grant) = grant else { return report.used.to_vec() };
    let own = grant.started == report.started;
    let reserved = if own && report.acknowledges { &grant.limits } else { &grant.reserved };
    let used = if own { report.used } else { &[] };
    (0..reserved.len().max(used.len())).map(|zone| part(reserved, zone).max(part(used, zone))).collect()
}

/// The next grants. `capacities`: by zone, in connections.
pub fn allot(capacities: &[u32], holders: &BTreeMap<String, Holder>) -> Grants {
    let empty = |holder: &Holder| Grant { started: holder.started, ..Grant::default() };
    let mut grants: Grants = holders.iter().map(|(name, holder)| (name.clone(), empty(holder))).collect();
    for (zone, &capacity) in capacities.iter().enumerate() {
        let all: Vec<&Holder> = holders.values().collect();
        let held: Vec<u32> = all.iter().map(|holder| part(&holder.held, zone)).collect();
        let targets = apportion(capacity, &shares(zone, capacity, &all));
        let limits = transition(capacity, &targets, &held);
        for ((grant, limit), held) in grants.values_mut().zip(limits).zip(held) {
            grant.limits.push(limit);
            grant.reserved.push(limit.max(held));
        }
    }
    grants
}

fn part<T: Copy + Default>(of: &[T], zone: usize) -> T {
    of.get(zone).copied().unwrap_or_default()
}

/// Which part of a zone's capacity each should have in the end: what it is expected to want, then what is to be tried there where
/// another zone fails; the rest is for the zone's own balancers.
fn shares(zone: usize, capacity: u32, holders: &[&Holder]) -> Vec<f64> {
    let sum = |of: &[f64]| of.iter().sum::<f64>();
    let demand: Vec<f64> = holders.iter().map(|holder| part(&holder.demand, zone).max(0.0)).collect();
    let spare = f64::from(capacity) - sum(&demand);
    if spare <= 0.0 {
        return demand;
    }
    let overflow: Vec<f64> = holders.iter().map(|holder| part(&holder.overflow, zone).max(0.0)).collect();
    let scale = (spare / sum(&overflow).max(f64::MIN_POSITIVE)).min(1.0);
    let rest = spare - scale * sum(&overflow);
    let at_home: Vec<bool> = holders.iter().map(|holder| holder.zone == zone).collect();
    let anybody_at_home = at_home.contains(&true);
    let sharers = at_home.iter().filter(|home| **home || !anybody_at_home).count().max(1) as f64;
    let more = |home: bool| if home || !anybody_at_home { rest / sharers } else { 0.0 };
    (0..holders.len()).map(|n| demand[n] + scale * overflow[n] + more(at_home[n])).collect()
}

/// Whole numbers in proportion to the weights that sum to the total, by the largest remainder. All are 0 where no weight is
/// positive.
pub fn apportion(total: u32, weights: &[f64]) -> Vec<u32> {
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return vec![0; weights.len()];
    }
    let exact: Vec<f64> = weights.iter().map(|weight| f64::from(total) * weight / sum).collect();
    let mut whole: Vec<u32> = exact.iter().map(|part| part.floor() as u32).collect();
    let mut order: Vec<usize> = (0..weights.len()).filter(|&n| weights[n] > 0.0).collect();
    order.sort_by(|&a, &b| exact[b].fract().total_cmp(&exact[a].fract()).then(a.cmp(&b)));
    let left = total.saturating_sub(whole.iter().sum());
    for &n in order.iter().cycle().take(left as usize) {
        whole[n] += 1;
    }
    whole
}

/// The limits that may be granted now on the way to the targets: beyond what each may hold already only what is reserved for nobody.
fn transition(capacity: u32, targets: &[u32], held: &[u32]) -> Vec<u32> {
    let free = capacity.saturating_sub(held.iter().sum());
    let more: Vec<u32> =
        targets.iter().zip(held).map(|(target, held)| target.saturating_sub(*held)).collect();
    let wanted: u32 = more.iter().sum();
    let weights: Vec<f64> = more.iter().map(|more| f64::from(*more)).collect();
    let given = if wanted <= free { more } else { apportion(free, &weights) };
    targets.iter().zip(held).zip(given).map(|((target, held), given)| target.min(held) + given).collect()
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
