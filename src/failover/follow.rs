//! One balancer's side: which zone a command goes to by the plan that it follows, and who of those that stand moves for it.
//!
//! Promised: the same client goes to the same zone under the same plan, at every balancer; from one plan to the next only as many
//! change zone as the shares differ by; in no zone this balancer holds more than its capacity lease in the plan that it follows
//! ([`super::capacity`]), but for what stood before the lease became smaller. A plan that nobody renews ends by itself: then this
//! balancer judges alone within its own zone, and sends nothing to another zone beyond what stands there.

use super::plan::{Plan, ZoneState};
use super::FailoverSettings;
use crate::api::Micros;
use std::collections::BTreeMap;
use xxhash_rust::xxh64::xxh64;

/// Where a command goes.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneChoice {
    /// As without a plan.
    Own,
    /// To a zone, and where it may be tried when that failed.
    To(String, Option<String>),
    /// Nobody can carry it.
    Refuse,
}

/// From so many thousandths on shares are held to be whole: each is rounded down.
const ROUNDED: u32 = 1_000 - super::MAX_ZONES as u32;

/// How many connections a balancer may hold in a zone, attempts in flight included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLimit {
    /// Nobody said.
    Unbounded,
    /// So many at most.
    AtMost(u32),
}

impl ConnectionLimit {
    /// Whether one more than these is allowed.
    pub fn allows_beyond(self, held: u32) -> bool {
        match self {
            ConnectionLimit::Unbounded => true,
            ConnectionLimit::AtMost(most) => held < most,
        }
    }
}

/// The follower.
pub struct PlanFollower {
    settings: FailoverSettings,
    name: String,
    /// When its process started.
    started: u64,
    me: u64,
    zone: String,
    /// The one that it follows, and until when.
    plan: Option<(Plan, Micros)>,
    /// The last one that was followed and has ended, and what stood in each zone then.
    ended: Option<(Plan, BTreeMap<String, u32>)>,
    /// When it was first asked to do anything.
    begun: Option<Micros>,
    /// The next one, when it is changed to, and until when it counts.
    next: Option<(Plan, Micros, Micros)>,
    moved: Micros,
    due: f64,
}

impl PlanFollower {
    /// That of a balancer in a zone, whose process was started then.
    pub fn new(settings: FailoverSettings, name: &str, started: u64, zone: &str) -> PlanFollower {
        let me = xxh64(name.as_bytes(), 0);
        PlanFollower {
            settings,
            name: name.into(),
            started,
            me,
            zone: zone.into(),
            plan: None,
            ended: None,
            begun: None,
            next: None,
            moved: 0,
            due: 0.0,
        }
    }

    /// What it goes by.
    pub fn settings(&self) -> &FailoverSettings {
        &self.settings
    }

    /// The record has this plan.
    pub fn receive_plan(&mut self, now: Micros, plan: &Plan) {
        let until = now + self.settings.plan_lifetime;
        let age = |plan: &Plan| (plan.serial, plan.renewals);
        let next = self.next.as_ref().map(|next| &next.0);
        let followed = self.plan.as_ref().map(|plan| &plan.0);
        // The record keeps a plan that nobody renews: one that has ended is known as well.
        let ended = self.ended.as_ref().map(|ended| &ended.0);
        let known = next.or(followed).or(ended).map(age);
        // What was heard before does not count for longer because it is heard again.
        if known.is_some_and(|known| age(plan) <= known) {
            return;
        }
        if let Some(known) = self.plan.as_mut().filter(|known| known.0.serial == plan.serial) {
            *known = (plan.clone(), until);
        } else {
            let jitter = xxh64(&plan.serial.to_le_bytes(), self.me) % self.settings.changeover_window.max(1);
            let at = match &self.next {
                Some(next) if next.0.serial == plan.serial => next.1,
                _ => now + jitter,
            };
            self.next = Some((plan.clone(), at, until));
        }
    }

    /// Changes to what it is time for; `established`: what stands in a zone from here.
    pub fn advance(&mut self, now: Micros, established: impl Fn(&str) -> u32) {
        self.begun.get_or_insert(now);
        if let Some((plan, _, until)) = self.next.take_if(|next| now >= next.1) {
            self.plan = Some((plan, until));
        }
        if let Some((plan, _)) = self.plan.take_if(|plan| now >= plan.1) {
            let standing = plan.zones.keys().map(|zone| (zone.clone(), established(zone))).collect();
            self.ended = Some((plan, standing));
        }
    }

    /// The plan that it follows.
    pub fn followed_plan(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.0.serial)
    }

    /// Which renewal of the plan it follows: its grants are those in force here.
    pub fn followed_renewal(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.0.renewals)
    }

    /// How many connections this balancer may hold in a zone. Where no plan is valid any more nothing beyond what stood when the
    /// last one ended goes to another zone: the others may have been granted the rest.
    pub fn connection_limit(&self, zone: &str) -> ConnectionLimit {
        let own = zone == self.zone;
        match (&self.plan, &self.ended) {
            (Some((plan, _)), _) if plan.grants.is_empty() => ConnectionLimit::Unbounded,
            (Some((plan, _)), _) => match plan.connection_limit(&self.name, self.started, zone) {
                Some(limit) => ConnectionLimit::AtMost(limit),
                // Whoever makes the plan has not heard of this balancer yet.
                None if own => ConnectionLimit::Unbounded,
                None => ConnectionLimit::AtMost(0),
            },
            (None, Some((_, standing))) if !own => {
                ConnectionLimit::AtMost(standing.get(zone).copied().unwrap_or_default())
            }
            (None, _) => ConnectionLimit::Unbounded,
        }
    }

    /// Where a client of a class goes that is known by this.
    pub fn choose_zone(&self, now: Micros, key: &str, class: &str) -> ZoneChoice {
        match (&self.plan, &self.ended) {
            (Some((plan, _)), _) => self.choose_zone_by_plan(plan, key, class),
            // The plan's other zone only where the own one fails, and within the limit.
            (None, Some((plan, _))) => {
                let then = match self.choose_zone_by_plan(plan, key, class) {
                    ZoneChoice::To(zone, then) => Some(zone).filter(|zone| *zone != self.zone).or(then),
                    ZoneChoice::Own | ZoneChoice::Refuse => None,
                };
                ZoneChoice::To(self.zone.clone(), then)
            }
            // One that has just started soon hears of the plan.
            (None, None) if self.begun.is_none_or(|begun| now < begun + self.settings.plan_lifetime) => {
                ZoneChoice::To(self.zone.clone(), None)
            }
            (None, None) => ZoneChoice::Own,
        }
    }

    fn choose_zone_by_plan(&self, plan: &Plan, key: &str, class: &str) -> ZoneChoice {
        let Some(zone) = plan.zones.get(&self.zone) else { return ZoneChoice::Own };
        let Some(shares) = zone.shares.get(class) else { return ZoneChoice::Own };
        // Its place among all clients, the same at every balancer and under every plan.
        let place = (xxh64(key.as_bytes(), 0x7a6f_6e65) % 1_000) as u32;
        let mut sum = 0;
        for (to, share) in shares {
            sum += share;
            // Shares are rounded down.
            if place < sum || sum >= ROUNDED {
                let then = zone.fallback.as_ref().filter(|then| *then != to && place < zone.fallback_share);
                return ZoneChoice::To(to.clone(), then.cloned());
            }
        }
        ZoneChoice::Refuse
    }

    /// Whether the plan has a zone's traffic near, or there is none.
    pub fn is_near(&self, zone: &str) -> bool {
        let state = self.plan.as_ref().and_then(|plan| plan.0.zones.get(zone)).map(|zone| zone.state);
        state.is_none_or(|state| state == ZoneState::Near)
    }

    /// How many connections may be asked to move now, of so many balancers; it counts them as moved.
    pub fn allowed_moves(&mut self, now: Micros, wanted: usize, balancers: u32) -> usize {
        let span = now.saturating_sub(self.moved).min(1_000_000);
        self.moved = now;
        let most = self.settings.fleet_moves_per_second / f64::from(balancers.max(1));
        self.due = (self.due + most * span as f64 / 1e6).min(most.max(1.0));
        let n = (self.due.floor() as usize).min(wanted);
        self.due -= n as f64;
        n
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
