//! One balancer's side: which zone a command goes to by the plan that it follows, and who of those that stand moves for it.
//!
//! Promised: the same client goes to the same zone under the same plan, at every balancer; from one plan to the next only as many
//! change zone as the shares differ by. A plan that nobody renews ends by itself, and then this balancer judges alone, as
//! without a plan.

use super::plan::{Plan, State};
use super::Terms;
use crate::api::Micros;
use xxhash_rust::xxh64::xxh64;

/// Where a command goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// As without a plan.
    Own,
    /// To a zone, and where it may be tried when that failed.
    To(String, Option<String>),
    /// Nobody can carry it.
    Refuse,
}

/// From so many thousandths on shares are held to be whole: each is rounded down.
const ROUNDED: u32 = 1_000 - super::ZONES as u32;

/// The follower.
pub struct Follower {
    terms: Terms,
    me: u64,
    zone: String,
    /// The one that it follows, and until when.
    plan: Option<(Plan, Micros)>,
    /// The next one, when it is changed to, and until when it counts.
    next: Option<(Plan, Micros, Micros)>,
    moved: Micros,
    due: f64,
}

impl Follower {
    /// That of a balancer in a zone.
    pub fn new(terms: Terms, name: &str, zone: &str) -> Follower {
        let me = xxh64(name.as_bytes(), 0);
        Follower { terms, me, zone: zone.into(), plan: None, next: None, moved: 0, due: 0.0 }
    }

    /// What it goes by.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// The record has this plan.
    pub fn take(&mut self, now: Micros, plan: &Plan) {
        self.turn(now);
        let until = now + self.terms.valid;
        let age = |plan: &Plan| (plan.serial, plan.renewed);
        let known =
            self.next.as_ref().map(|next| age(&next.0)).or(self.plan.as_ref().map(|known| age(&known.0)));
        // What was heard before does not count for longer because it is heard again.
        if known.is_some_and(|known| age(plan) <= known) {
            return;
        }
        if let Some(known) = self.plan.as_mut().filter(|known| known.0.serial == plan.serial) {
            *known = (plan.clone(), until);
        } else {
            let jitter = xxh64(&plan.serial.to_le_bytes(), self.me) % self.terms.over.max(1);
            let at = match &self.next {
                Some(next) if next.0.serial == plan.serial => next.1,
                _ => now + jitter,
            };
            self.next = Some((plan.clone(), at, until));
        }
    }

    /// Changes to what it is time for.
    pub fn turn(&mut self, now: Micros) {
        if let Some((plan, _, until)) = self.next.take_if(|next| now >= next.1) {
            self.plan = Some((plan, until));
        }
        self.plan.take_if(|plan| now >= plan.1);
    }

    /// The plan that it follows.
    pub fn follows(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.0.serial)
    }

    /// Where a client of a class goes that is known by this.
    pub fn choice(&self, key: &str, class: &str) -> Choice {
        let Some(zone) = self.plan.as_ref().and_then(|plan| plan.0.zones.get(&self.zone)) else {
            return Choice::Own;
        };
        let Some(shares) = zone.shares.get(class) else { return Choice::Own };
        // Its place among all clients, the same at every balancer and under every plan.
        let place = (xxh64(key.as_bytes(), 0x7a6f_6e65) % 1_000) as u32;
        let mut sum = 0;
        for (to, share) in shares {
            sum += share;
            // Shares are rounded down.
            if place < sum || sum >= ROUNDED {
                let then = zone.then.as_ref().filter(|then| *then != to && place < zone.part);
                return Choice::To(to.clone(), then.cloned());
            }
        }
        Choice::Refuse
    }

    /// Whether the plan has a zone's traffic near, or there is none.
    pub fn near(&self, zone: &str) -> bool {
        let state = self.plan.as_ref().and_then(|plan| plan.0.zones.get(zone)).map(|zone| zone.state);
        state.is_none_or(|state| state == State::Near)
    }

    /// How many connections may be asked to move now, of so many balancers; it counts them as moved.
    pub fn moves(&mut self, now: Micros, wanted: usize, balancers: u32) -> usize {
        let span = now.saturating_sub(self.moved).min(1_000_000);
        self.moved = now;
        let most = self.terms.moves / f64::from(balancers.max(1));
        self.due = (self.due + most * span as f64 / 1e6).min(most.max(1.0));
        let n = (self.due.floor() as usize).min(wanted);
        self.due -= n as f64;
        n
    }
}

#[cfg(test)]
mod tests {
    use super::super::plan::Zone;
    use super::*;

    fn plan(serial: u64, shares: &[(&str, f64)]) -> Plan {
        let shares = shares.iter().map(|(zone, share)| (zone.to_string(), (*share * 1e3) as u32)).collect();
        let zone = Zone { shares: [("c".to_string(), shares)].into(), ..Zone::default() };
        Plan { serial, renewed: 0, zones: [("a".to_string(), zone)].into() }
    }

    fn counts(follower: &Follower) -> (usize, usize, usize) {
        let all: Vec<Choice> = (0..10_000).map(|n| follower.choice(&format!("k{n}"), "c")).collect();
        let to = |zone: &str| all.iter().filter(|c| matches!(c, Choice::To(z, _) if z == zone)).count();
        (to("a"), to("b"), all.iter().filter(|c| **c == Choice::Refuse).count())
    }

    /// Guards against shares that are not kept, clients that change zone for nothing, a plan that is followed too early, at once by
    /// all, or after nobody renews it.
    #[test]
    fn shares_are_kept_by_client_and_a_plan_ends_when_nobody_renews_it() {
        let terms = Terms { over: 1_000_000, valid: 10_000_000, ..Terms::default() };
        let mut f = Follower::new(terms.clone(), "n1", "a");
        assert_eq!(f.choice("k", "c"), Choice::Own);
        f.take(0, &plan(1, &[("a", 0.7), ("b", 0.2)]));
        f.turn(1_000_000);
        let (a, b, refused) = counts(&f);
        assert!(
            a.abs_diff(7_000) < 150 && b.abs_diff(2_000) < 150 && refused.abs_diff(1_000) < 150,
            "{a} {b} {refused}"
        );
        let before: Vec<Choice> = (0..1_000).map(|n| f.choice(&format!("k{n}"), "c")).collect();
        f.take(2_000_000, &plan(2, &[("a", 0.6), ("b", 0.3)]));
        f.turn(3_000_000);
        assert_eq!(f.follows(), Some(2));
        let changed = (0..1_000).filter(|n| f.choice(&format!("k{n}"), "c") != before[*n]).count();
        assert!((60..140).contains(&changed), "{changed} of 1,000 for a tenth");
        // Heard again it does not count for longer; renewed it does.
        f.take(9_000_000, &plan(2, &[("a", 0.6), ("b", 0.3)]));
        f.turn(11_999_999);
        assert_eq!(f.follows(), Some(2));
        f.take(11_999_999, &Plan { renewed: 1, ..plan(2, &[("a", 0.6), ("b", 0.3)]) });
        f.turn(21_999_000);
        assert_eq!(f.follows(), Some(2));
        f.turn(22_000_000);
        assert_eq!((f.follows(), f.choice("k", "c")), (None, Choice::Own));
        // Not all change at one moment.
        let mut at: Vec<Micros> = Vec::new();
        for n in 0..20 {
            let mut f = Follower::new(terms.clone(), &format!("n{n}"), "a");
            f.take(0, &plan(1, &[("a", 1.0)]));
            at.push(
                (0..11)
                    .map(|n| n * 100_000)
                    .find(|&now| {
                        f.turn(now);
                        f.follows().is_some()
                    })
                    .unwrap(),
            );
        }
        at.sort_unstable();
        at.dedup();
        assert!(at.len() > 5, "{at:?}");
    }

    /// Guards against all of a zone that fails being tried at one that has room for a part of them.
    #[test]
    fn as_many_of_a_zones_clients_have_a_second_zone_as_find_room_there() {
        let mut f = Follower::new(Terms::default(), "n1", "a");
        let mut plan = plan(1, &[("a", 1.0)]);
        let zone = plan.zones.get_mut("a").unwrap();
        (zone.then, zone.part) = (Some("b".into()), 300);
        f.take(0, &plan);
        f.turn(1_000_000);
        let second =
            |n: &usize| matches!(f.choice(&format!("k{n}"), "c"), Choice::To(_, Some(then)) if then == "b");
        let of = (0..10_000).filter(second).count();
        assert!(of.abs_diff(3_000) < 150, "{of}");
    }

    /// Guards against a fleet that moves all connections at once.
    #[test]
    fn moves_keep_the_fleets_pace() {
        let mut f = Follower::new(Terms { moves: 40.0, ..Terms::default() }, "n1", "a");
        let moved: usize = (0..500u64).map(|n| f.moves(1_000_000 + n * 20_000, 1_000, 10)).sum();
        assert!((36..=44).contains(&moved), "{moved} in ten seconds of 4 a second");
    }
}
