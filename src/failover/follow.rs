//! The balancer's side of a plan: the zone that a command goes to, and how many established connections may move for the plan.
//!
//! Guaranteed: the same client goes to the same zone under the same plan at every balancer; from one plan to the next only as many
//! clients change zone as the shares differ by; this balancer holds no more connections in a zone than its capacity lease in the
//! plan that it follows allows ([`super::capacity`]), except those established before the lease became smaller. A plan that is not
//! renewed expires. The balancer then decides alone within its own zone, and sends nothing to another zone beyond the connections
//! already established there.

use super::plan::{Plan, ZoneState};
use super::FailoverSettings;
use crate::api::Micros;
use std::collections::BTreeMap;
use xxhash_rust::xxh64::xxh64;

/// Zone for a command.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneChoice {
    /// Placed as without a plan.
    NoPlan,
    /// Placed in a zone, with a second zone that may be tried when the first one has failed.
    Zone(String, Option<String>),
    /// Refused: no zone has capacity for it.
    Refuse,
}

/// Sum of the shares from which on they count as complete, in thousandths. Each share is rounded down, so a complete sum can miss
/// one thousandth per zone.
const MIN_COMPLETE_SHARES_THOUSANDTHS: u32 = 1_000 - super::MAX_ZONES as u32;
/// Seed of the hash that gives a client its position among all clients ("zone" in ASCII). All balancers must use the same one.
const CLIENT_POSITION_SEED: u64 = 0x7a6f_6e65;
/// Longest time for which unused credit for moves accrues.
const MAX_CREDIT_INTERVAL: Micros = 1_000_000;

/// Maximum number of connections that a balancer may hold in a zone, attempts in flight included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLimit {
    /// No limit applies.
    Unbounded,
    /// At most this number of connections.
    AtMost(u32),
}

impl ConnectionLimit {
    /// Whether one more connection is allowed beyond those held.
    pub fn allows_beyond(self, held: u32) -> bool {
        match self {
            ConnectionLimit::Unbounded => true,
            ConnectionLimit::AtMost(most) => held < most,
        }
    }
}

/// Follows the plans of the replicated state at one balancer.
pub struct PlanFollower {
    settings: FailoverSettings,
    name: String,
    /// Start time of its process.
    started: u64,
    name_hash: u64,
    own_zone: String,
    /// The plan in force, and when it expires.
    plan: Option<(Plan, Micros)>,
    /// The last plan that expired, and the connections established in each zone at that time.
    expired: Option<(Plan, BTreeMap<String, u32>)>,
    /// When the follower was first advanced.
    first_advanced: Option<Micros>,
    /// The next plan, when it comes into force, and when it expires.
    next: Option<(Plan, Micros, Micros)>,
    /// When moves were last requested.
    last_move_time: Micros,
    /// Moves that may be requested, with the fraction carried over.
    move_credit: f64,
}

impl PlanFollower {
    /// Creates the follower of a balancer in a zone; `started` is the start time of its process.
    pub fn new(settings: FailoverSettings, name: &str, started: u64, zone: &str) -> PlanFollower {
        let name_hash = xxh64(name.as_bytes(), 0);
        PlanFollower {
            settings,
            name: name.into(),
            started,
            name_hash,
            own_zone: zone.into(),
            plan: None,
            expired: None,
            first_advanced: None,
            next: None,
            last_move_time: 0,
            move_credit: 0.0,
        }
    }

    /// Returns the settings that apply.
    pub fn settings(&self) -> &FailoverSettings {
        &self.settings
    }

    /// Receives the plan of the replicated state.
    pub fn receive_plan(&mut self, now: Micros, plan: &Plan) {
        let until = now + self.settings.plan_lifetime;
        let age = |plan: &Plan| (plan.serial, plan.renewals);
        let next = self.next.as_ref().map(|next| &next.0);
        let followed = self.plan.as_ref().map(|plan| &plan.0);
        // The replicated state keeps a plan that nobody renews, so an expired plan counts as known.
        let expired = self.expired.as_ref().map(|expired| &expired.0);
        let known = next.or(followed).or(expired).map(age);
        // Receiving the same renewal again does not extend the plan.
        if known.is_some_and(|known| age(plan) <= known) {
            return;
        }
        if let Some(known) = self.plan.as_mut().filter(|known| known.0.serial == plan.serial) {
            *known = (plan.clone(), until);
        } else {
            let jitter =
                xxh64(&plan.serial.to_le_bytes(), self.name_hash) % self.settings.changeover_window.max(1);
            let at = match &self.next {
                Some(next) if next.0.serial == plan.serial => next.1,
                _ => now + jitter,
            };
            self.next = Some((plan.clone(), at, until));
        }
    }

    /// Changes to the next plan and drops an expired one when due. `established` returns this balancer's established connections in
    /// a zone.
    pub fn advance(&mut self, now: Micros, established: impl Fn(&str) -> u32) {
        self.first_advanced.get_or_insert(now);
        if let Some((plan, _, until)) = self.next.take_if(|next| now >= next.1) {
            self.plan = Some((plan, until));
        }
        if let Some((plan, _)) = self.plan.take_if(|plan| now >= plan.1) {
            let established_at_expiry =
                plan.zones.keys().map(|zone| (zone.clone(), established(zone))).collect();
            self.expired = Some((plan, established_at_expiry));
        }
    }

    /// Returns the serial of the plan in force.
    pub fn followed_plan(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.0.serial)
    }

    /// Returns the renewal of the plan in force, whose grants apply at this balancer.
    pub fn followed_renewal(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.0.renewals)
    }

    /// Returns how many connections this balancer may hold in a zone. Without a valid plan it holds no more in another zone than
    /// when the last plan expired, since the rest may have been granted to other balancers.
    pub fn connection_limit(&self, zone: &str) -> ConnectionLimit {
        let own = zone == self.own_zone;
        match (&self.plan, &self.expired) {
            (Some((plan, _)), _) if plan.grants.is_empty() => ConnectionLimit::Unbounded,
            (Some((plan, _)), _) => match plan.connection_limit(&self.name, self.started, zone) {
                Some(limit) => ConnectionLimit::AtMost(limit),
                // The planner does not know of this balancer yet.
                None if own => ConnectionLimit::Unbounded,
                None => ConnectionLimit::AtMost(0),
            },
            (None, Some((_, established_at_expiry))) if !own => {
                ConnectionLimit::AtMost(established_at_expiry.get(zone).copied().unwrap_or_default())
            }
            (None, _) => ConnectionLimit::Unbounded,
        }
    }

    /// Returns the zone for a client of a class; `key` identifies the client or its group.
    pub fn choose_zone(&self, now: Micros, key: &str, class: &str) -> ZoneChoice {
        match (&self.plan, &self.expired) {
            (Some((plan, _)), _) => self.choose_zone_by_plan(plan, key, class),
            // The plan's other zone is tried only when the own zone fails, and within the limit.
            (None, Some((plan, _))) => {
                let fallback = match self.choose_zone_by_plan(plan, key, class) {
                    ZoneChoice::Zone(zone, fallback) => {
                        Some(zone).filter(|zone| *zone != self.own_zone).or(fallback)
                    }
                    ZoneChoice::NoPlan | ZoneChoice::Refuse => None,
                };
                ZoneChoice::Zone(self.own_zone.clone(), fallback)
            }
            // A balancer that has just started receives the plan soon.
            (None, None)
                if self
                    .first_advanced
                    .is_none_or(|first_advanced| now < first_advanced + self.settings.plan_lifetime) =>
            {
                ZoneChoice::Zone(self.own_zone.clone(), None)
            }
            (None, None) => ZoneChoice::NoPlan,
        }
    }

    fn choose_zone_by_plan(&self, plan: &Plan, key: &str, class: &str) -> ZoneChoice {
        let Some(zone) = plan.zones.get(&self.own_zone) else { return ZoneChoice::NoPlan };
        let Some(shares) = zone.shares.get(class) else { return ZoneChoice::NoPlan };
        // Position of the client among all clients, the same at every balancer and under every plan.
        let position = (xxh64(key.as_bytes(), CLIENT_POSITION_SEED) % 1_000) as u32;
        let mut sum = 0;
        for (to, share) in shares {
            sum += share;
            // Shares are rounded down.
            if position < sum || sum >= MIN_COMPLETE_SHARES_THOUSANDTHS {
                let fallback = zone
                    .fallback
                    .as_ref()
                    .filter(|fallback| *fallback != to && position < zone.fallback_share);
                return ZoneChoice::Zone(to.clone(), fallback.cloned());
            }
        }
        ZoneChoice::Refuse
    }

    /// Whether the plan keeps a zone's traffic in that zone, or no plan is in force.
    pub fn is_near(&self, zone: &str) -> bool {
        let state = self.plan.as_ref().and_then(|plan| plan.0.zones.get(zone)).map(|zone| zone.state);
        state.is_none_or(|state| state == ZoneState::Near)
    }

    /// Returns how many of the wanted moves may be requested now at this balancer's share of the fleet's rate, and counts them as
    /// requested.
    pub fn allowed_moves(&mut self, now: Micros, wanted: usize, balancers: u32) -> usize {
        let span = now.saturating_sub(self.last_move_time).min(MAX_CREDIT_INTERVAL);
        self.last_move_time = now;
        let moves_per_second = self.settings.fleet_moves_per_second / f64::from(balancers.max(1));
        self.move_credit =
            (self.move_credit + moves_per_second * span as f64 / 1e6).min(moves_per_second.max(1.0));
        let n = (self.move_credit.floor() as usize).min(wanted);
        self.move_credit -= n as f64;
        n
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
