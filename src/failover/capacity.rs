//! Capacity leases: how many connections each balancer may hold in each zone.
//!
//! Invariant: the sum over all balancers of what they may hold in a zone never grows past the zone's capacity, whatever messages
//! are lost, late or out of order. A balancer may act on any grant since the last one that it has acknowledged. The largest of
//! these grants, and what the balancer holds, therefore stay reserved for it; only unreserved capacity is granted to another. A
//! smaller grant frees capacity once its holder has acknowledged it. When a capacity becomes smaller, no connection is closed; the
//! lost capacity is just not granted again.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Capacity lease of one balancer, by the zones of the plan in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// Start time of the process that the grant is for. A later process of that name must not act on it, since it may receive a
    /// plan that the earlier process had already replaced by a later one.
    pub started: u64,
    /// Maximum number of connections, established ones and attempts in flight together.
    pub limits: Vec<u32>,
    /// Number of connections reserved: the largest of its limit, what it holds and every limit that it may still act on.
    pub reserved: Vec<u32>,
}

/// Grants by the balancer's name.
pub type Grants = BTreeMap<String, Grant>;

/// State of a balancer as it is known when grants are made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holder {
    /// Start time of its process.
    pub started: u64,
    /// Connections that its clients are expected to want, by zone.
    pub demand: Vec<f64>,
    /// Connections that may be tried there when their first zone fails, by zone.
    pub overflow: Vec<f64>,
    /// Index of its own zone.
    pub zone: usize,
    /// Number of connections that it may hold already, by zone; see [`committed`].
    pub held: Vec<u32>,
}

/// Report of a balancer's process about itself.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// Start time of the process.
    pub started: u64,
    /// Whether it follows the plan and the renewal that hold its latest grant.
    pub acknowledges: bool,
    /// Number of connections that it holds, by zone.
    pub used: &'a [u32],
}

/// Returns how many connections a balancer may hold at present, by zone. `grant` is its latest one.
pub fn committed(grant: Option<&Grant>, report: &Report) -> Vec<u32> {
    // Connections of an earlier process of that name have ended with it, or the later process counts them as its own.
    let grant = grant.filter(|grant| grant.started >= report.started);
    let Some(grant) = grant else { return report.used.to_vec() };
    let own = grant.started == report.started;
    let reserved = if own && report.acknowledges { &grant.limits } else { &grant.reserved };
    let used = if own { report.used } else { &[] };
    (0..reserved.len().max(used.len()))
        .map(|zone| value_or_default(reserved, zone).max(value_or_default(used, zone)))
        .collect()
}

/// Returns the next grants. `capacities` are connections by zone.
pub fn grant_limits(capacities: &[u32], holders: &BTreeMap<String, Holder>) -> Grants {
    let empty = |holder: &Holder| Grant { started: holder.started, ..Grant::default() };
    let mut grants: Grants = holders.iter().map(|(name, holder)| (name.clone(), empty(holder))).collect();
    for (zone, &capacity) in capacities.iter().enumerate() {
        let all: Vec<&Holder> = holders.values().collect();
        let held: Vec<u32> = all.iter().map(|holder| value_or_default(&holder.held, zone)).collect();
        let targets = apportion(capacity, &target_weights(zone, capacity, &all));
        let limits = safe_limits(capacity, &targets, &held);
        for ((grant, limit), held) in grants.values_mut().zip(limits).zip(held) {
            grant.limits.push(limit);
            grant.reserved.push(limit.max(held));
        }
    }
    grants
}

fn value_or_default<T: Copy + Default>(values: &[T], zone: usize) -> T {
    values.get(zone).copied().unwrap_or_default()
}

/// Returns the weight of each balancer in a zone's capacity: its expected demand, then the connections that are tried there when
/// another zone fails. The rest is shared equally by the zone's own balancers, or by all balancers if the zone has none.
fn target_weights(zone: usize, capacity: u32, holders: &[&Holder]) -> Vec<f64> {
    let sum = |of: &[f64]| of.iter().sum::<f64>();
    let demand: Vec<f64> =
        holders.iter().map(|holder| value_or_default(&holder.demand, zone).max(0.0)).collect();
    let spare = f64::from(capacity) - sum(&demand);
    if spare <= 0.0 {
        return demand;
    }
    let overflow: Vec<f64> =
        holders.iter().map(|holder| value_or_default(&holder.overflow, zone).max(0.0)).collect();
    let scale = (spare / sum(&overflow).max(f64::MIN_POSITIVE)).min(1.0);
    let rest = spare - scale * sum(&overflow);
    let in_zone: Vec<bool> = holders.iter().map(|holder| holder.zone == zone).collect();
    let any_in_zone = in_zone.contains(&true);
    let recipients = in_zone.iter().filter(|in_zone| **in_zone || !any_in_zone).count().max(1) as f64;
    let extra = |in_zone: bool| if in_zone || !any_in_zone { rest / recipients } else { 0.0 };
    (0..holders.len()).map(|n| demand[n] + scale * overflow[n] + extra(in_zone[n])).collect()
}

/// Returns whole numbers in proportion to the weights that sum to the total (largest remainder method). All are 0 if no weight
/// is positive.
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

/// Returns the limits that are safe to grant now on the way to the targets: beyond what each balancer may hold already, only
/// unreserved capacity is granted.
fn safe_limits(capacity: u32, targets: &[u32], held: &[u32]) -> Vec<u32> {
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
