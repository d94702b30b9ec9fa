//! Zones under the fleet's plan: where a command goes, what this balancer's sockets show of each zone, and who moves. It holds no
//! opinion of its own: [`crate::failover`] decides, and the module places within the zone.

use super::occupancy::{Occupancies, Occupancy, Slot};
use crate::api::*;
use crate::failover::evidence::{Digest, Observation, ObservationWindow, ZoneObservations};
use crate::failover::follow::{PlanFollower, ZoneChoice};
use crate::failover::plan::Plan;
use crate::failover::FailoverSettings;
use std::collections::BTreeMap;
use xxhash_rust::xxh64::xxh64;

/// Who this balancer is, and what the platform calls things.
#[derive(Clone, Debug, Default)]
pub struct BalancerContext {
    /// Its name, and when its process started.
    pub name: String,
    /// See `name`.
    pub started: u64,
    /// Its zone.
    pub zone: String,
    /// All zones, by their index in the list of instances.
    pub zones: Vec<String>,
    /// All classes, by index.
    pub classes: Vec<String>,
    /// A cold instance's part of its capacity, and how long it warms up.
    pub warm_up: (f64, Micros),
    /// How many balancers there are.
    pub balancer_count: u32,
    /// The longest that a client may be asked to stay away.
    pub max_retry_after: Option<Micros>,
}

/// While nothing is wrong zones are probed with one digest of so many.
const HEALTHY_PROBE_INTERVAL: u64 = 16;
/// And so many balancers probe at a time.
const PROBERS_PER_ROUND: u32 = 30;
/// Between two looks at who is to move.
const MOVE_CHECK_INTERVAL: Micros = 250_000;
/// Who is refused comes again after so long, and up to as long more.
const MIN_RETRY_AFTER: Micros = 500_000;

/// The zones.
pub struct ZoneRouter {
    context: BalancerContext,
    follower: PlanFollower,
    observations: ObservationWindow,
    instances: BTreeMap<HostId, Entry>,
    digest_sequence: u64,
    probe_phase: u64,
    last_move_check: Micros,
    probe_rounds: usize,
    occupancies: Occupancies,
    /// The plan that it said it follows.
    announced_plan: Option<u64>,
}

/// The target of the log line for each attempt that is sent to a zone.
const ADMISSIONS_TARGET: &str = "oakdeal::admissions";

/// What a client is known by where zones are chosen: whoever shares a group goes together.
fn key<'a>(group: Option<&'a str>, key: Option<&'a str>, call: &'a CallId) -> &'a str {
    group.or(key).unwrap_or(&call.0)
}

/// A command as zones know it.
pub struct CommandIdentity<'a> {
    /// Its class.
    pub class: usize,
    /// Its group, key and id.
    pub group: Option<&'a str>,
    /// See `group`.
    pub key: Option<&'a str>,
    /// See `group`.
    pub call: &'a CallId,
}

impl CommandIdentity<'_> {
    fn key(&self) -> &str {
        key(self.group, self.key, self.call)
    }

    fn client(&self) -> u64 {
        xxh64(self.key.unwrap_or(&self.call.0).as_bytes(), 0)
    }
}

impl ZoneRouter {
    /// Those of a balancer that follows plans by these settings.
    pub fn new(settings: FailoverSettings, context: BalancerContext) -> ZoneRouter {
        let follower = PlanFollower::new(settings, &context.name, context.started, &context.zone);
        let (observations, instances) = (ObservationWindow::default(), BTreeMap::new());
        let probe_phase = xxh64(context.name.as_bytes(), 1) % 4_096;
        let occupancies = Occupancies::default();
        ZoneRouter {
            context,
            follower,
            observations,
            instances,
            digest_sequence: 0,
            probe_phase,
            last_move_check: 0,
            probe_rounds: 0,
            occupancies,
            announced_plan: None,
        }
    }

    fn index(&self, zone: &str) -> Option<usize> {
        self.context.zones.iter().position(|name| name == zone)
    }

    fn zone_of(&self, host: HostId) -> Option<usize> {
        self.instances.get(&host)?.zone
    }

    fn ready(&self, zone: usize) -> impl Iterator<Item = &Entry> {
        let there = move |e: &&Entry| e.zone == Some(zone) && e.state == HostState::Ready;
        self.instances.values().filter(there)
    }

    /// News of the list.
    pub fn update_instances(&mut self, kind: ListKind, hosts: &[Entry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.instances.clear();
        }
        self.instances.extend(hosts.iter().map(|entry| (entry.host, entry.clone())));
    }

    /// The record has this plan, or as before; whether another one is followed from now on.
    pub fn receive_plan(&mut self, now: Micros, plan: Option<&Plan>) -> Option<Option<u64>> {
        self.advance(now);
        plan.iter().for_each(|plan| self.follower.receive_plan(now, plan));
        self.advance(now);
        let follows = self.follower.followed_plan();
        let was = std::mem::replace(&mut self.announced_plan, follows);
        Some(follows).filter(|follows| *follows != was)
    }

    /// A plan ends by the clock, also where nobody has last_move_check at it for a while.
    fn advance(&mut self, now: Micros) {
        let (zones, occupancies) = (&self.context.zones, &self.occupancies);
        let established = |name: &str| {
            let zone = zones.iter().position(|zone| zone == name);
            zone.map_or(0, |zone| occupancies.of(zone).established)
        };
        self.follower.advance(now, established);
    }

    /// Whether one more connection may go to a zone: what this balancer holds there stays within its capacity lease.
    fn has_capacity(&self, zone: usize) -> bool {
        let Some(name) = self.context.zones.get(zone) else { return true };
        self.follower.connection_limit(name).allows_beyond(self.occupancies.of(zone).total())
    }

    /// Whether an attempt may be sent to a server now. Asked at the send, since others may have been sent since it was placed.
    pub fn may_send(&mut self, now: Micros, host: HostId) -> bool {
        self.advance(now);
        let Some(zone) = self.zone_of(host) else { return true };
        let may = self.has_capacity(zone);
        if !may {
            let (plan, zone) =
                (self.follower.followed_plan(), self.context.zones.get(zone).map_or("", String::as_str));
            tracing::debug!(target: ADMISSIONS_TARGET, plan, zone, "not sent: the capacity lease is used up");
        }
        may
    }

    /// The zones that a command goes to; none: as without a plan. An error: nobody can carry it, and when to come again.
    pub fn choose_zones(
        &mut self,
        now: Micros,
        known: &CommandIdentity,
    ) -> Result<Option<(usize, Option<usize>)>, Option<Micros>> {
        self.advance(now);
        let class = self.context.classes.get(known.class).map_or("", String::as_str);
        match self.follower.choose_zone(now, known.key(), class) {
            ZoneChoice::NoPlan => Ok(None),
            ZoneChoice::Zone(zone, then) => {
                // Nobody is sent where this balancer's own list has named nothing.
                let Some(zone) = self.index(&zone).filter(|&zone| self.ready(zone).next().is_some()) else {
                    return Ok(None);
                };
                let then = then.and_then(|then| self.index(&then)).filter(|&then| self.has_capacity(then));
                match (self.has_capacity(zone), then) {
                    (true, then) => Ok(Some((zone, then))),
                    (false, Some(then)) => Ok(Some((then, None))),
                    (false, None) => Err(self.refuse(now, known)),
                }
            }
            ZoneChoice::Refuse => Err(self.refuse(now, known)),
        }
    }

    /// Nobody can carry it: when to come again.
    fn refuse(&mut self, now: Micros, known: &CommandIdentity) -> Option<Micros> {
        let plan = self.follower.followed_plan();
        tracing::debug!(target: ADMISSIONS_TARGET, plan, call = &*known.call.0, "refused: no zone has capacity for it");
        self.observations.record_client(now, known.class, known.client(), false);
        let after = MIN_RETRY_AFTER + xxh64(known.call.0.as_bytes(), now) % MIN_RETRY_AFTER;
        self.context.max_retry_after.map(|longest| after.min(longest))
    }

    /// An attempt is sent to a server: the capacity that it takes up until it is over.
    pub fn send(&mut self, call: &CallId, host: HostId) -> Option<Slot> {
        let zone = self.zone_of(host)?;
        let held = self.occupancies.of(zone);
        let (name, plan) =
            (self.context.zones.get(zone).map_or("", String::as_str), self.follower.followed_plan());
        let (established, in_flight) = (held.established, held.in_flight);
        tracing::debug!(target: ADMISSIONS_TARGET, zone = name, plan, established, in_flight, call = &*call.0, "sent to a zone");
        Some(self.occupancies.send(zone))
    }

    /// A connection that stands already is taken in.
    pub fn adopt(&mut self, host: HostId) -> Option<Slot> {
        Some(self.occupancies.adopt(self.zone_of(host)?))
    }

    /// The attempt in this slot came up.
    pub fn establish(&mut self, slot: &mut Slot) {
        self.occupancies.establish(slot);
    }

    /// The attempt or connection in this slot is over.
    pub fn release(&mut self, slot: Slot) {
        self.occupancies.release(slot);
    }

    /// An execution came up at an instance.
    pub fn record_established(&mut self, now: Micros, known: &CommandIdentity, host: HostId, took: Micros) {
        self.observations.record_client(now, known.class, known.client(), true);
        if let Some(zone) = self.zone_of(host) {
            self.observations.record(now, zone, Observation::Up(took));
        }
    }

    /// An execution, or a connection that stood, has ended so.
    pub fn record_ended(&mut self, now: Micros, host: HostId, stood: bool, outcome: Outcome) {
        let note = match (stood, outcome) {
            (true, Outcome::Reset | Outcome::Timeout) => Observation::Broken,
            (false, Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset) => Observation::Failed,
            (false, Outcome::Full) => Observation::Full,
            _ => return,
        };
        if let Some(zone) = self.zone_of(host) {
            self.observations.record(now, zone, note);
        }
    }

    /// A probe went so.
    pub fn record_probe(&mut self, now: Micros, host: HostId, answered: bool) {
        if let Some(zone) = self.zone_of(host) {
            self.observations.record(now, zone, Observation::Probed(answered));
        }
    }

    /// A command was given its final answer, and that was no connection.
    pub fn record_unserved(&mut self, now: Micros, known: &CommandIdentity) {
        self.observations.record_client(now, known.class, known.client(), false);
    }

    /// An instance of each zone in turn, to be probed: so that a balancer that is cut off knows it, and a zone that nobody is
    /// sent to, its own or another, is known to be there. Now and then, each balancer at a time of its own, and oftener where
    /// anything is wrong; the more balancers there are the less often each.
    pub fn next_probes(&mut self, now: Micros) -> Vec<HostId> {
        let zones = 0..self.context.zones.len();
        let wrong = zones.clone().any(|zone| self.observations.zone_summary(now, zone).has_failures());
        let turn = self.digest_sequence + self.probe_phase;
        let each = u64::from(self.context.balancer_count.div_ceil(PROBERS_PER_ROUND)).max(1);
        let rarely = turn.is_multiple_of(each * HEALTHY_PROBE_INTERVAL);
        if !turn.is_multiple_of(each) {
            return Vec::new();
        }
        self.probe_rounds += 1;
        let one = |zone| {
            let all: Vec<HostId> = self.ready(zone).map(|e| e.host).collect();
            all.get(self.probe_rounds % all.len().max(1)).copied()
        };
        let due = |zone: &usize| wrong || rarely || !self.follower.is_near(&self.context.zones[*zone]);
        zones.filter(due).filter_map(one).collect()
    }

    /// What is told of what was seen here; `classes`: that of each request in hand.
    pub fn digest(&mut self, now: Micros, classes: impl Iterator<Item = usize>) -> Digest {
        self.advance(now);
        let mut wants = BTreeMap::<usize, u32>::new();
        classes.for_each(|class| *wants.entry(class).or_default() += 1);
        self.digest_sequence += 1;
        let (cold, span) = self.context.warm_up;
        let warmth = |e: &Entry| match now.saturating_sub(e.ready_at) {
            age if e.ready_at == 0 || age >= span => 1.0,
            age => cold + (1.0 - cold) * age as f64 / span as f64,
        };
        let carries = self.follower.settings().connections_per_server;
        let zones: Vec<String> =
            self.context.zones.iter().take(crate::failover::MAX_ZONES).cloned().collect();
        let seen = zones.into_iter().enumerate().map(|(zone, name)| {
            let capacity = self.ready(zone).map(|e| e.weight * warmth(e) * carries).sum::<f64>() as u32;
            let Occupancy { established, in_flight } = self.occupancies.of(zone);
            (
                name,
                ZoneObservations {
                    established,
                    in_flight,
                    capacity,
                    ..self.observations.zone_summary(now, zone)
                },
            )
        });
        let zones = seen.collect();
        let classes: Vec<String> =
            self.context.classes.iter().take(crate::failover::MAX_CLASSES).cloned().collect();
        let wanted = classes.into_iter().enumerate().map(|(class, name)| {
            (
                name,
                wants.get(&class).copied().unwrap_or_default()
                    + self.observations.unserved_clients(now, class),
            )
        });
        Digest {
            name: self.context.name.clone(),
            started: self.context.started,
            sequence: self.digest_sequence,
            zone: self.context.zone.clone(),
            follows: self.follower.followed_plan(),
            renewal: self.follower.followed_renewal(),
            zones,
            demand: wanted.collect(),
        }
    }

    /// Who of those that stand is asked to move now, at the fleet's pace: whoever the plan has elsewhere.
    pub fn next_moves<'a>(
        &mut self,
        now: Micros,
        books: impl Iterator<Item = (CommandIdentity<'a>, HostId)>,
    ) -> Vec<CallId> {
        if self.follower.followed_plan().is_none() || now < self.last_move_check + MOVE_CHECK_INTERVAL {
            return Vec::new();
        }
        self.last_move_check = now;
        let stray = |(known, host): &(CommandIdentity, HostId)| {
            let at =
                self.instances.get(host).and_then(|e| e.zone).and_then(|zone| self.context.zones.get(zone));
            let class = self.context.classes.get(known.class).map_or("", String::as_str);
            match (at, self.follower.choose_zone(now, known.key(), class)) {
                (Some(at), ZoneChoice::Zone(zone, _)) => zone != *at,
                _ => false,
            }
        };
        let strays: Vec<CallId> = books.filter(stray).map(|(known, _)| known.call.clone()).collect();
        let n = self.follower.allowed_moves(now, strays.len(), self.context.balancer_count);
        strays.into_iter().take(n).collect()
    }
}
