//! Zone routing at the broker: the zone for each command under the fleet's plan, this balancer's observations of each zone, and the
//! connections that move to follow the plan. It decides nothing itself: [`crate::failover`] chooses the zone, and the decision
//! module places commands within the zone.

use super::occupancy::{Occupancies, Occupancy, Slot};
use crate::api::*;
use crate::failover::evidence::{Digest, Observation, ObservationWindow, ZoneObservations};
use crate::failover::follow::{PlanFollower, ZoneChoice};
use crate::failover::plan::Plan;
use crate::failover::FailoverSettings;
use std::collections::BTreeMap;
use xxhash_rust::xxh64::xxh64;

/// This balancer's identity, and what the platform states about zones, classes and balancers.
#[derive(Clone, Debug, Default)]
pub struct BalancerContext {
    /// Name of the balancer.
    pub name: String,
    /// Start time of its process.
    pub started: u64,
    /// Zone of the balancer.
    pub zone: String,
    /// Names of all zones, by their index in the list of instances.
    pub zones: Vec<String>,
    /// Names of all classes, by index.
    pub classes: Vec<String>,
    /// Share of its capacity that a cold instance has, and how long the instance warms up.
    pub warm_up: (f64, Micros),
    /// Number of balancers in the fleet.
    pub balancer_count: u32,
    /// Longest retry delay that a client may be given.
    pub max_retry_after: Option<Micros>,
}

/// Number of this balancer's probe rounds from one with all zones to the next while every zone is healthy.
const HEALTHY_PROBE_INTERVAL_ROUNDS: u64 = 16;
/// Number of balancers that probe in the same digest interval; limits the probes that all balancers send together.
const PROBERS_PER_ROUND: u32 = 30;
/// Time between two checks for connections that are to move.
const MOVE_CHECK_INTERVAL: Micros = 250_000;
/// Number of probe phases that balancers are spread over (unitless).
const PROBE_PHASES: u64 = 4_096;
/// Shortest retry delay of a refused client. Up to the same time again is added by a hash of the command's id, to spread the
/// retries.
const MIN_RETRY_AFTER: Micros = 500_000;

/// Routes commands to zones, and collects observations of the zones.
pub struct ZoneRouter {
    context: BalancerContext,
    follower: PlanFollower,
    observations: ObservationWindow,
    instances: BTreeMap<HostId, Entry>,
    /// Sequence number of the last digest.
    digest_sequence: u64,
    /// Offset of this balancer's probe rounds, in digests.
    probe_phase: u64,
    last_move_check: Micros,
    /// Number of probe rounds so far.
    probe_rounds: usize,
    occupancies: Occupancies,
    /// Serial of the plan that it last reported as followed.
    announced_plan: Option<u64>,
}

/// Log target for each attempt that is sent to a zone or refused.
const ADMISSIONS_TARGET: &str = "oakdeal::admissions";

/// Returns the key that selects a client's zone: clients of one group go to the same zone.
fn key<'a>(group: Option<&'a str>, key: Option<&'a str>, call: &'a CallId) -> &'a str {
    group.or(key).unwrap_or(&call.0)
}

/// Identity of a command for zone routing.
pub struct CommandIdentity<'a> {
    /// Index of the class.
    pub class: usize,
    /// Group of the client.
    pub group: Option<&'a str>,
    /// Key of the client.
    pub key: Option<&'a str>,
    /// Id of the command.
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
    /// Creates the router of a balancer that follows plans under these settings.
    pub fn new(settings: FailoverSettings, context: BalancerContext) -> ZoneRouter {
        let follower = PlanFollower::new(settings, &context.name, context.started, &context.zone);
        let (observations, instances) = (ObservationWindow::default(), BTreeMap::new());
        let probe_phase = xxh64(context.name.as_bytes(), 1) % PROBE_PHASES;
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
        let is_ready = move |e: &&Entry| e.zone == Some(zone) && e.state == HostState::Ready;
        self.instances.values().filter(is_ready)
    }

    /// Applies an update of the instance list.
    pub fn update_instances(&mut self, kind: ListKind, hosts: &[Entry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.instances.clear();
        }
        self.instances.extend(hosts.iter().map(|entry| (entry.host, entry.clone())));
    }

    /// Receives the plan of the replicated state, if it has one. Returns the serial that is followed now if that has changed.
    pub fn receive_plan(&mut self, now: Micros, plan: Option<&Plan>) -> Option<Option<u64>> {
        self.advance(now);
        plan.iter().for_each(|plan| self.follower.receive_plan(now, plan));
        self.advance(now);
        let followed = self.follower.followed_plan();
        let previous = std::mem::replace(&mut self.announced_plan, followed);
        Some(followed).filter(|followed| *followed != previous)
    }

    /// Advances the follower's clock: a plan expires even when no command has arrived for a while.
    fn advance(&mut self, now: Micros) {
        let (zones, occupancies) = (&self.context.zones, &self.occupancies);
        let established = |name: &str| {
            let zone = zones.iter().position(|zone| zone == name);
            zone.map_or(0, |zone| occupancies.of(zone).established)
        };
        self.follower.advance(now, established);
    }

    /// Whether one more connection in a zone stays within this balancer's capacity lease.
    fn has_capacity(&self, zone: usize) -> bool {
        let Some(name) = self.context.zones.get(zone) else { return true };
        self.follower.connection_limit(name).allows_beyond(self.occupancies.of(zone).total())
    }

    /// Whether an attempt may be sent to a server now. Checked again at the send, since other attempts may have been sent after
    /// this one was placed.
    pub fn may_send(&mut self, now: Micros, host: HostId) -> bool {
        self.advance(now);
        let Some(zone) = self.zone_of(host) else { return true };
        let has_capacity = self.has_capacity(zone);
        if !has_capacity {
            let (plan, zone) =
                (self.follower.followed_plan(), self.context.zones.get(zone).map_or("", String::as_str));
            tracing::debug!(target: ADMISSIONS_TARGET, plan, zone, "not sent: the capacity lease is used up");
        }
        has_capacity
    }

    /// Returns the zone for a command and its fallback, or `None` if the command is placed as without a plan. The error holds the
    /// retry delay when no zone has capacity for the command.
    pub fn choose_zones(
        &mut self,
        now: Micros,
        command: &CommandIdentity,
    ) -> Result<Option<(usize, Option<usize>)>, Option<Micros>> {
        self.advance(now);
        let class = self.context.classes.get(command.class).map_or("", String::as_str);
        match self.follower.choose_zone(now, command.key(), class) {
            ZoneChoice::NoPlan => Ok(None),
            ZoneChoice::Zone(zone, fallback) => {
                // Where this balancer's own list has no ready instance in the zone, the command is placed as without a plan.
                let Some(zone) = self.index(&zone).filter(|&zone| self.ready(zone).next().is_some()) else {
                    return Ok(None);
                };
                let fallback = fallback
                    .and_then(|fallback| self.index(&fallback))
                    .filter(|&fallback| self.has_capacity(fallback));
                match (self.has_capacity(zone), fallback) {
                    (true, fallback) => Ok(Some((zone, fallback))),
                    (false, Some(fallback)) => Ok(Some((fallback, None))),
                    (false, None) => Err(self.refuse(now, command)),
                }
            }
            ZoneChoice::Refuse => Err(self.refuse(now, command)),
        }
    }

    /// Refuses a command that no zone has capacity for, and returns its retry delay.
    fn refuse(&mut self, now: Micros, command: &CommandIdentity) -> Option<Micros> {
        let plan = self.follower.followed_plan();
        tracing::debug!(target: ADMISSIONS_TARGET, plan, call = &*command.call.0, "refused: no zone has capacity for it");
        self.observations.record_client(now, command.class, command.client(), false);
        let retry_after = MIN_RETRY_AFTER + xxh64(command.call.0.as_bytes(), now) % MIN_RETRY_AFTER;
        self.context.max_retry_after.map(|longest| retry_after.min(longest))
    }

    /// Counts an attempt that is sent to a server, and returns the slot of capacity that it takes up until it ends.
    pub fn send(&mut self, call: &CallId, host: HostId) -> Option<Slot> {
        let zone = self.zone_of(host)?;
        let held = self.occupancies.of(zone);
        let (name, plan) =
            (self.context.zones.get(zone).map_or("", String::as_str), self.follower.followed_plan());
        let (established, in_flight) = (held.established, held.in_flight);
        tracing::debug!(target: ADMISSIONS_TARGET, zone = name, plan, established, in_flight, call = &*call.0, "sent to a zone");
        Some(self.occupancies.send(zone))
    }

    /// Counts a connection that was established before, and returns its slot.
    pub fn adopt(&mut self, host: HostId) -> Option<Slot> {
        Some(self.occupancies.adopt(self.zone_of(host)?))
    }

    /// Marks the attempt in this slot as established.
    pub fn establish(&mut self, slot: &mut Slot) {
        self.occupancies.establish(slot);
    }

    /// Frees the slot of an attempt or connection that has ended.
    pub fn release(&mut self, slot: Slot) {
        self.occupancies.release(slot);
    }

    /// Records that an execution was established at an instance.
    pub fn record_established(&mut self, now: Micros, command: &CommandIdentity, host: HostId, took: Micros) {
        self.observations.record_client(now, command.class, command.client(), true);
        if let Some(zone) = self.zone_of(host) {
            self.observations.record(now, zone, Observation::Up(took));
        }
    }

    /// Records the outcome of an execution that failed, or of an established connection that ended.
    pub fn record_ended(&mut self, now: Micros, host: HostId, established: bool, outcome: Outcome) {
        let observation = match (established, outcome) {
            (true, Outcome::Reset | Outcome::Timeout) => Observation::Broken,
            (false, Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset) => Observation::Failed,
            (false, Outcome::Full) => Observation::Full,
            _ => return,
        };
        if let Some(zone) = self.zone_of(host) {
            self.observations.record(now, zone, observation);
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Micros, host: HostId, answered: bool) {
        if let Some(zone) = self.zone_of(host) {
            self.observations.record(now, zone, Observation::Probed(answered));
        }
    }

    /// Records that a command's final answer was no connection.
    pub fn record_unserved(&mut self, now: Micros, command: &CommandIdentity) {
        self.observations.record_client(now, command.class, command.client(), false);
    }

    /// Returns the instances to probe now, one per zone, each zone's instances in turn. Probes let a balancer detect that it is
    /// cut off, and show that a zone without traffic is reachable, whether its own or another. A balancer probes every zone at
    /// long intervals, with a phase of its own, and more often while a zone has failures; with more balancers each one probes less
    /// often.
    pub fn next_probes(&mut self, now: Micros) -> Vec<HostId> {
        let zones = 0..self.context.zones.len();
        let any_failures = zones.clone().any(|zone| self.observations.zone_summary(now, zone).has_failures());
        let round = self.digest_sequence + self.probe_phase;
        let interval = u64::from(self.context.balancer_count.div_ceil(PROBERS_PER_ROUND)).max(1);
        let is_regular_round = round.is_multiple_of(interval * HEALTHY_PROBE_INTERVAL_ROUNDS);
        if !round.is_multiple_of(interval) {
            return Vec::new();
        }
        self.probe_rounds += 1;
        let next_instance = |zone| {
            let all: Vec<HostId> = self.ready(zone).map(|e| e.host).collect();
            all.get(self.probe_rounds % all.len().max(1)).copied()
        };
        let due = |zone: &usize| {
            any_failures || is_regular_round || !self.follower.is_near(&self.context.zones[*zone])
        };
        zones.filter(due).filter_map(next_instance).collect()
    }

    /// Returns this balancer's next digest. `classes` yields the class of each request in hand.
    pub fn digest(&mut self, now: Micros, classes: impl Iterator<Item = usize>) -> Digest {
        self.advance(now);
        let mut in_hand = BTreeMap::<usize, u32>::new();
        classes.for_each(|class| *in_hand.entry(class).or_default() += 1);
        self.digest_sequence += 1;
        let (cold_share, warm_up_time) = self.context.warm_up;
        let warmth = |e: &Entry| match now.saturating_sub(e.ready_at) {
            age if e.ready_at == 0 || age >= warm_up_time => 1.0,
            age => cold_share + (1.0 - cold_share) * age as f64 / warm_up_time as f64,
        };
        let connections_per_server = self.follower.settings().connections_per_server;
        let zones: Vec<String> =
            self.context.zones.iter().take(crate::failover::MAX_ZONES).cloned().collect();
        let summaries = zones.into_iter().enumerate().map(|(zone, name)| {
            let capacity =
                self.ready(zone).map(|e| e.weight * warmth(e) * connections_per_server).sum::<f64>() as u32;
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
        let zones = summaries.collect();
        let classes: Vec<String> =
            self.context.classes.iter().take(crate::failover::MAX_CLASSES).cloned().collect();
        let demand = classes.into_iter().enumerate().map(|(class, name)| {
            (
                name,
                in_hand.get(&class).copied().unwrap_or_default()
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
            demand: demand.collect(),
        }
    }

    /// Returns the established connections that are asked to move now, within the fleet's rate: those that the plan places in
    /// another zone.
    pub fn next_moves<'a>(
        &mut self,
        now: Micros,
        connections: impl Iterator<Item = (CommandIdentity<'a>, HostId)>,
    ) -> Vec<CallId> {
        if self.follower.followed_plan().is_none() || now < self.last_move_check + MOVE_CHECK_INTERVAL {
            return Vec::new();
        }
        self.last_move_check = now;
        let is_misplaced = |(command, host): &(CommandIdentity, HostId)| {
            let current_zone =
                self.instances.get(host).and_then(|e| e.zone).and_then(|zone| self.context.zones.get(zone));
            let class = self.context.classes.get(command.class).map_or("", String::as_str);
            match (current_zone, self.follower.choose_zone(now, command.key(), class)) {
                (Some(current), ZoneChoice::Zone(zone, _)) => zone != *current,
                _ => false,
            }
        };
        let misplaced: Vec<CallId> =
            connections.filter(is_misplaced).map(|(command, _)| command.call.clone()).collect();
        let n = self.follower.allowed_moves(now, misplaced.len(), self.context.balancer_count);
        misplaced.into_iter().take(n).collect()
    }
}
