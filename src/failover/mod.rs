//! Failover between zones: the observations of all balancers, one plan made from them, and how each balancer follows that plan.
//! No I/O, no clock.
//!
//! Guaranteed: traffic stays in its own zone while that is safe, and only what that zone cannot carry crosses, to the nearest zone
//! with free capacity, its own region first. No plan, and no mixture of a plan with the next, allocates more to a zone than its
//! known capacity. Clients are refused at once, those of the least valuable class first. No minority of balancers with wrong
//! reports or bad links makes a zone unhealthy for the others. Not guaranteed: that all balancers change plans at the same moment,
//! or anything that the decision module decides within a zone.
//!
//! [`evidence`]: the digest of one balancer's observations, and what many digests together indicate. [`plan`]: the plan, which the
//! holder of the lease [`TASK`] makes and which is stored in the replicated state. [`follow`]: the zone that a command goes to at
//! this balancer. See docs/failover.md.

pub mod allocation;
pub mod capacity;
pub mod evidence;
pub mod follow;
mod path;
pub mod plan;

use crate::api::Micros;
use std::collections::BTreeMap;

/// Name of the leased task of making the plan.
pub const TASK: &str = "failover";
/// Maximum number of zones in a digest or a plan.
pub const MAX_ZONES: usize = 8;
/// Maximum number of classes in a digest or a plan.
pub const MAX_CLASSES: usize = 8;

/// Settings from the section `[failover]` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    /// Region of each zone.
    pub regions: BTreeMap<String, String>,
    /// Distances between zones that the operator states. The default is 1 within a region and 10 between regions (unitless).
    pub distances: BTreeMap<(String, String), u32>,
    /// Number of connections that a warm server of weight 1 carries.
    pub connections_per_server: f64,
    /// Share of a zone's capacity that plans may use, in 0..=1.
    pub usable_share: f64,
    /// Interval between two digests of a balancer.
    pub digest_interval: Micros,
    /// How long a zone must fail before traffic leaves it.
    pub failure_confirmation: Micros,
    /// How long a zone must be healthy before traffic returns to it; doubled for each repeated failure.
    pub recovery_confirmation: Micros,
    /// Time between two steps of a return.
    pub return_step_interval: Micros,
    /// Time within which all balancers change to another plan, each after a delay of its own.
    pub changeover_window: Micros,
    /// How long a plan is followed without a renewal.
    pub plan_lifetime: Micros,
    /// Established connections per second that the whole fleet moves to follow the plan.
    pub fleet_moves_per_second: f64,
    /// Mean set-up time above which a zone counts as failing.
    pub slow_setup: Micros,
}

impl FailoverSettings {
    /// Returns the distance from one zone to another (unitless): 0 within a zone.
    pub fn distance(&self, from: &str, to: &str) -> u32 {
        if from == to {
            return 0;
        }
        let key = |a: &str, b: &str| (a.to_string(), b.to_string());
        let stated = self.distances.get(&key(from, to)).or_else(|| self.distances.get(&key(to, from)));
        let same_region = self.regions.get(from).is_some_and(|region| self.regions.get(to) == Some(region));
        stated.copied().unwrap_or(if same_region { 1 } else { 10 })
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
