//! Failover between zones: what all balancers see together, one plan from it, and how each follows. No I/O, no clock.
//!
//! Promised: traffic is near while that is safe, and only what the near zone cannot carry crosses, to the nearest zone that has
//! room, its own region first; no plan, and no mixture of a plan with the next, gives a zone more than its room as far as that
//! is known; who is refused is refused by worth, at once. No minority of balancers that lie or are badly linked condemns a zone for
//! the others. Not promised: that all change at one moment, or anything of what the module decides within a zone.
//!
//! [`evidence`]: what one balancer's sockets show, as a digest, and what many digests say together. [`plan`]: what follows from
//! it, by the holder of the lease [`TASK`]; it goes into the record. [`follow`]: which zone a command goes to here. docs/failover.md.

pub mod allocation;
pub mod capacity;
pub mod evidence;
pub mod follow;
mod path;
pub mod plan;

use crate::api::Micros;
use std::collections::BTreeMap;

/// The task of making the plan.
pub const TASK: &str = "failover";
/// Zones and classes that a digest and a plan have at most.
pub const MAX_ZONES: usize = 8;
/// See `MAX_ZONES`.
pub const MAX_CLASSES: usize = 8;

/// The section `[failover]` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    /// The region of each zone.
    pub regions: BTreeMap<String, String>,
    /// How far it is from one zone to another where that was stated; else 1 within a region and 10 beyond.
    pub distances: BTreeMap<(String, String), u32>,
    /// Connections that a server of size 1 carries when it is warm.
    pub connections_per_server: f64,
    /// Part of a zone's room that is used.
    pub usable_share: f64,
    /// How often a balancer tells what it sees.
    pub digest_interval: Micros,
    /// A zone must fail for so long before it is left.
    pub failure_confirmation: Micros,
    /// It must do well for so long before it is gone back to; twice as long for each time that it failed again.
    pub recovery_confirmation: Micros,
    /// Between two steps of a return.
    pub return_step_interval: Micros,
    /// Balancers change to another plan within this time, each at a moment of its own.
    pub changeover_window: Micros,
    /// A plan that nobody renews is followed for so long.
    pub plan_lifetime: Micros,
    /// Standing connections of the whole fleet that are moved for the plan in a second.
    pub fleet_moves_per_second: f64,
    /// A mean set-up time past this counts as a failure.
    pub slow_setup: Micros,
}

impl FailoverSettings {
    /// From one zone to another.
    pub fn distance(&self, from: &str, to: &str) -> u32 {
        if from == to {
            return 0;
        }
        let key = |a: &str, b: &str| (a.to_string(), b.to_string());
        let told = self.distances.get(&key(from, to)).or_else(|| self.distances.get(&key(to, from)));
        let near = self.regions.get(from).is_some_and(|region| self.regions.get(to) == Some(region));
        told.copied().unwrap_or(if near { 1 } else { 10 })
    }
}

impl Default for FailoverSettings {
    fn default() -> Self {
        FailoverSettings {
            regions: BTreeMap::new(),
            distances: BTreeMap::new(),
            connections_per_server: 100.0,
            usable_share: 0.9,
            digest_interval: 1_000_000,
            failure_confirmation: 2_000_000,
            recovery_confirmation: 6_000_000,
            return_step_interval: 2_000_000,
            changeover_window: 1_000_000,
            plan_lifetime: 10_000_000,
            fleet_moves_per_second: 50.0,
            slow_setup: 1_000_000,
        }
    }
}
