//! All decisions of one balancer: the decision module, the contracts, rebalancing and the choice of zones, with the
//! records of requests that they share. It has no sockets and no clock, so that the balancer runs it in real time and
//! the laboratory in simulated time.
//!
//! Guaranteed: contracts are checked before the decision module receives a request; every admitted request is released
//! exactly once, however it ends; moves for contracts are returned as actions, like those of the decision module.

use super::handover::HandedOverConnection;
use super::load_history::{ClientId, LoadHistory};
use super::occupancy::Slot;
use super::zones::{BalancerContext, CommandIdentity, ZoneRouter};
use crate::api::*;
use crate::contracts::ledger::Reason;
use crate::contracts::{Contract, Contracts, EndReason, FixedSettings, Terms, TermsChange, Ticket};
use crate::failover::evidence::Digest;
use crate::failover::plan::Plan;
use crate::rebalance::{self, PlanEvent, Rebalancer, View};
use crate::wire::Names;
use crate::PlacementPolicy;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request was refused by its contract or for lack of zone capacity, before it reached the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Retry delay for the client.
    pub retry_after: Option<Micros>,
    /// Reason of the refusal.
    pub reason: Reason,
}

/// Record of a request or an established connection.
#[derive(Debug, Default)]
struct RequestRecord {
    class: usize,
    /// Team that the client named.
    team: Option<Arc<str>>,
    key: Option<Arc<str>>,
    group: Option<Arc<str>>,
    /// Instance of the established connection.
    host: HostId,
    /// Load of the connection, if it was reported.
    load: Option<f64>,
    /// Its part of the team's contract; `None` without contracts.
    ticket: Option<Ticket>,
    established: bool,
    /// Zone capacity that it uses; `None` without routing to zones.
    slot: Option<Slot>,
}

/// Returns the identity of a client, or `None` if it named no key.
fn client_id(team: Option<Arc<str>>, key: &Option<Arc<str>>) -> Option<ClientId> {
    Some((team, key.clone()?))
}

impl RequestRecord {
    fn client_id(&self) -> Option<ClientId> {
        client_id(self.team.clone(), &self.key)
    }

    fn identity<'a>(&'a self, call: &'a CallId) -> CommandIdentity<'a> {
        CommandIdentity { class: self.class, group: self.group.as_deref(), key: self.key.as_deref(), call }
    }

    fn from_demand(demand: &Demand, team: Option<&str>) -> RequestRecord {
        let (key, group) = (demand.key.clone(), demand.group.clone());
        RequestRecord {
            class: demand.class,
            team: team.map(Into::into),
            key,
            group,
            ..RequestRecord::default()
        }
    }
}

/// Time from which this balancer may no longer rebalance.
struct RebalanceUntil(Micros);

impl Default for RebalanceUntil {
    fn default() -> RebalanceUntil {
        RebalanceUntil(Micros::MAX)
    }
}

impl RebalanceUntil {
    fn allows(&self, now: Micros) -> bool {
        now < self.0
    }
}

/// The decisions of one balancer.
#[derive(Default)]
pub struct Core {
    policy: PlacementPolicy,
    /// Contracts of the teams; `None` if the operator configured none.
    contracts: Option<Contracts>,
    /// Rebalancing of connections; `None` if the operator has not enabled it.
    rebalancer: Option<Rebalancer>,
    /// Until when this balancer may rebalance: in a group until the end of its lease, without a group always.
    rebalance_until: RebalanceUntil,
    fixed_settings: FixedSettings,
    /// Names of the tenants in the platform's settings. In `tenants`, the teams of the contracts follow them.
    tenant_names: Vec<String>,
    tenants: Vec<Tenant>,
    requests: BTreeMap<CallId, RequestRecord>,
    load_history: LoadHistory,
    /// Routing to zones by the fleet's plan; `None` if the operator has not enabled it.
    zone_router: Option<ZoneRouter>,
    /// Connections at the previous process whose clients are expected here. Clients that named no key are under `None`.
    inherited: BTreeMap<Option<ClientId>, Vec<CallId>>,
    /// Size and start time of the instances that are listed as ready.
    ready_instances: BTreeMap<HostId, (f64, Micros)>,
}

impl Core {
    /// Creates the core of a balancer, without instances.
    pub fn new(settings: Settings, names: &Names, seed: u64) -> Result<Core, SettingsError> {
        let worths = settings.classes.iter().map(|c| c.worth);
        Ok(Core {
            fixed_settings: FixedSettings {
                classes: names.classes().iter().cloned().zip(worths).collect(),
                balancers: settings.peers_total,
                max_retry_after: settings.limits.max_retry_after,
            },
            tenant_names: names.tenants().to_vec(),
            tenants: settings.tenants.clone(),
            policy: PlacementPolicy::new(settings, seed)?,
            ..Core::default()
        })
    }

    /// Checks the contracts and the zones' capacity, and sets the demand's tenant, zones, deadline and expected load.
    /// An admitted request is then passed to [`Core::handle_event`] as [`Event::Demand`], or withdrawn with
    /// [`Core::withdraw`].
    pub fn admit(&mut self, now: Micros, demand: &mut Demand, team: Option<&str>) -> Result<(), Refused> {
        let client = client_id(team.map(Into::into), &demand.key);
        if demand.returned || demand.repeat {
            self.client_returned(now, &client);
        }
        demand.hint = demand.hint.or_else(|| self.load_history.recent_load(now, client.as_ref()?));
        demand.tenant = team.and_then(|name| self.tenant_names.iter().position(|p| p == name));
        let mut ticket = None;
        if let Some(contracts) = &mut self.contracts {
            let id = contracts.resolve_team(team, demand.class);
            demand.tenant = Some(self.tenant_names.len() + id);
            match contracts.request_admission(now, id, demand.class, &demand.call) {
                Ok(admitted) => ticket = Some(admitted),
                Err(refusal) => {
                    return Err(Refused { retry_after: refusal.retry_after, reason: refusal.reason })
                }
            }
        }
        if let Some(team_deadline) = demand.tenant.and_then(|t| self.tenants.get(t)).and_then(|t| t.deadline)
        {
            demand.left = demand.left.min(team_deadline);
        }
        let record = RequestRecord { ticket, ..RequestRecord::from_demand(demand, team) };
        if let Some(zones) = &mut self.zone_router {
            match zones.choose_zones(now, &record.identity(&demand.call)) {
                Ok(chosen) => demand.zones = chosen,
                Err(retry_after) => {
                    if let Some((ticket, contracts)) = record.ticket.zip(self.contracts.as_mut()) {
                        contracts.release(now, ticket, EndReason::NoInstance);
                    }
                    return Err(Refused { retry_after, reason: Reason::Placement });
                }
            }
        }
        self.requests.insert(demand.call.clone(), record);
        Ok(())
    }

    /// Limits the deadlines of the requests that have no answer yet, for a shutdown.
    pub fn limit_deadlines(&mut self, limit: Micros) {
        self.policy.limit_deadlines(limit);
    }

    /// Withdraws an admitted request that is not started.
    pub fn withdraw(&mut self, now: Micros, call: &CallId) {
        self.release(now, call, EndReason::NotEstablished);
    }

    /// Adopts a connection that is already established at an instance.
    pub fn adopt(
        &mut self,
        now: Micros,
        mut demand: Demand,
        team: Option<&str>,
        host: HostId,
    ) -> Vec<Action> {
        demand.tenant = team.and_then(|name| self.tenant_names.iter().position(|p| p == name));
        let platform_tenant_count = self.tenant_names.len();
        let ticket = self.contracts.as_mut().map(|contracts| {
            let id = contracts.resolve_team(team, demand.class);
            demand.tenant = Some(platform_tenant_count + id);
            contracts.adopt(now, id, demand.class, &demand.call)
        });
        let slot = self.zone_router.as_mut().and_then(|zones| zones.adopt(host));
        let record = RequestRecord {
            ticket,
            established: true,
            host,
            slot,
            load: demand.hint,
            ..RequestRecord::from_demand(&demand, team)
        };
        self.requests.insert(demand.call.clone(), record);
        let (event, mut actions) = (Event::Adopted(demand, host), Vec::new());
        tracing::debug!("told: {event:?}");
        self.handle_event(now, event, &mut actions);
        actions
    }

    /// Returns the established connections, for the handover to the next process.
    pub fn established_connections(&self, now: Micros) -> Vec<HandedOverConnection> {
        let text = |text: &Option<Arc<str>>| text.as_deref().map(String::from);
        let recent_load = |record: &RequestRecord| self.load_history.recent_load(now, &record.client_id()?);
        let handed_over = |record: &RequestRecord| {
            let class = self.fixed_settings.classes.get(record.class)?.0.to_string();
            let (team, key, group) = (text(&record.team), text(&record.key), text(&record.group));
            Some(HandedOverConnection {
                class,
                team,
                key,
                group,
                instance: record.host,
                load: recent_load(record).or(record.load),
            })
        };
        self.requests.values().filter(|record| record.established).filter_map(handed_over).collect()
    }

    /// Counts the connections that are established at the previous process as if they were established here, each until
    /// its client connects here or [`Core::predecessor_ended`] is called.
    pub fn inherit_connections(&mut self, now: Micros, connections: Vec<HandedOverConnection>) {
        for (i, connection) in connections.into_iter().enumerate() {
            let Some(class) = self.fixed_settings.classes.iter().position(|c| *c.0 == *connection.class)
            else {
                continue;
            };
            // Clients cannot choose an id of this form.
            let id = format!("older {i}");
            let key: Option<Arc<str>> = connection.key.map(Into::into);
            let (group, hint) =
                (connection.group.map(Into::into), connection.load.filter(|load| load.is_finite()));
            let client = client_id(connection.team.as_deref().map(Into::into), &key);
            client.iter().zip(hint).for_each(|(client, load)| self.load_history.record(now, client, load));
            let demand = Demand { key, group, hint, ..Demand::new(&id, class, Micros::MAX / 4) };
            // The connection is at the previous process, which decides on its moves: actions are discarded.
            self.adopt(now, demand, connection.team.as_deref(), connection.instance);
            self.inherited.entry(client).or_default().push(id.as_str().into());
        }
    }

    /// Releases the connections of the previous process, which has ended.
    pub fn predecessor_ended(&mut self, now: Micros) {
        let remaining = std::mem::take(&mut self.inherited).into_values().flatten();
        remaining.for_each(|call| self.handle_event(now, Event::Vanished { call }, &mut Vec::new()));
    }

    /// Releases one connection of this client at the previous process, if there is one: the client connects here now.
    fn client_returned(&mut self, now: Micros, client: &Option<ClientId>) {
        if client.is_none() {
            return;
        }
        let Some(call) = self.inherited.get_mut(client).and_then(Vec::pop) else { return };
        self.handle_event(now, Event::Vanished { call }, &mut Vec::new());
    }

    /// Passes an event to the decision module, and what concerns them to the contracts, the zone router and the
    /// rebalancer.
    pub fn handle_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if let Some(rebalance) = &mut self.rebalancer {
            observe_for_rebalancing(rebalance, now, &event);
        }
        match &event {
            Event::Members { kind, hosts } => self.update_instances(now, *kind, hosts),
            Event::Opened { call, host, elapsed } => {
                self.record_attempt(now, *host, true);
                if let Some(record) = self.requests.get_mut(call) {
                    (record.established, record.host) = (true, *host);
                    if let Some(zones) = &mut self.zone_router {
                        zones.record_established(now, &record.identity(call), *host, *elapsed);
                        record.slot.iter_mut().for_each(|slot| zones.establish(slot));
                    }
                    if let Some((ticket, contracts)) = record.ticket.as_ref().zip(self.contracts.as_mut()) {
                        contracts.mark_established(ticket);
                    }
                }
            }
            Event::LoadNote { call, load } => {
                if let Some(record) = self.requests.get_mut(call) {
                    record.load = Some(*load);
                    record.client_id().iter().for_each(|client| self.load_history.record(now, client, *load));
                }
            }
            Event::Finished { call, host, outcome, ended, .. } => {
                let established = self.requests.get(call).is_some_and(|record| record.established);
                if let Some(zones) = &mut self.zone_router {
                    zones.record_ended(now, *host, established, *outcome);
                }
                if !established && matches!(outcome, Outcome::ConnectFailed | Outcome::Timeout) {
                    self.record_attempt(now, *host, false);
                }
                if *ended {
                    self.release(
                        now,
                        call,
                        if established { EndReason::Closed } else { EndReason::NotEstablished },
                    );
                } else {
                    self.free_slot(call);
                }
            }
            Event::Vanished { call } => {
                let established = self.requests.get(call).is_some_and(|record| record.established);
                self.release(
                    now,
                    call,
                    if established { EndReason::Closed } else { EndReason::NotEstablished },
                );
            }
            Event::Probed { host, outcome, .. } => {
                if let Some(zones) = &mut self.zone_router {
                    zones.record_probe(now, *host, *outcome == Outcome::Ok);
                }
            }
            _ => {}
        }
        let first_new = actions.len();
        self.policy.handle(now, event, actions);
        let mut n = first_new;
        while n < actions.len() {
            if self.exceeds_capacity_lease(now, &actions[n]) {
                // The attempt is not sent: the decision module continues with the request.
                let unsent = actions.remove(n);
                self.cancel_unsent(now, unsent, actions);
            } else {
                self.record_action(now, &actions[n]);
                n += 1;
            }
        }
    }

    /// Returns whether an action would exceed this balancer's capacity lease for a zone.
    fn exceeds_capacity_lease(&mut self, now: Micros, action: &Action) -> bool {
        match (action, &mut self.zone_router) {
            (Action::Send { host, .. }, Some(zones)) => !zones.may_send(now, *host),
            _ => false,
        }
    }

    /// Reports to the decision module that an attempt was not sent.
    fn cancel_unsent(&mut self, now: Micros, unsent: Action, actions: &mut Vec<Action>) {
        let Action::Send { call, host, .. } = unsent else { return };
        let (outcome, elapsed) = (Outcome::Moot, 0);
        let event = Event::Finished { call, attempt: 0, host, outcome, elapsed, ended: false };
        self.policy.handle(now, event, actions);
    }

    /// Updates the records for an action that is carried out.
    fn record_action(&mut self, now: Micros, action: &Action) {
        if let (Action::Refuse { call, .. } | Action::Fail { call }, Some(zones)) =
            (action, &mut self.zone_router)
        {
            self.requests
                .get(call)
                .iter()
                .for_each(|record| zones.record_unserved(now, &record.identity(call)));
        }
        match action {
            Action::Send { call, host, .. } => self.occupy_slot(call, *host),
            Action::Refuse { call, .. } => self.release(now, call, EndReason::NoInstance),
            Action::Fail { call } => self.release(now, call, EndReason::NotEstablished),
            _ => {}
        }
    }

    /// Counts an attempt that is sent against the capacity of its server's zone.
    fn occupy_slot(&mut self, call: &CallId, host: HostId) {
        let Some((record, zones)) = self.requests.get_mut(call).zip(self.zone_router.as_mut()) else {
            return;
        };
        record.slot = zones.send(call, host);
    }

    /// Frees the zone capacity of an attempt or connection that has ended.
    fn free_slot(&mut self, call: &CallId) {
        let Some((record, zones)) = self.requests.get_mut(call).zip(self.zone_router.as_mut()) else {
            return;
        };
        record.slot.take().into_iter().for_each(|slot| zones.release(slot));
    }

    /// Removes the record of a request that has ended, and releases its zone capacity and its part of the contract.
    fn release(&mut self, now: Micros, call: &CallId, end: EndReason) {
        self.free_slot(call);
        let ticket = self.requests.remove(call).and_then(|record| record.ticket);
        if let Some((ticket, contracts)) = ticket.zip(self.contracts.as_mut()) {
            contracts.release(now, ticket, end);
        }
    }

    /// Applies an update of the instance list to the zone router and the contracts.
    fn update_instances(&mut self, now: Micros, kind: ListKind, hosts: &[Entry]) {
        self.zone_router.iter_mut().for_each(|zones| zones.update_instances(kind, hosts));
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.ready_instances.clear();
        }
        for entry in hosts {
            match entry.state {
                HostState::Ready => self.ready_instances.insert(entry.host, (entry.weight, entry.ready_at)),
                HostState::Draining | HostState::Gone => self.ready_instances.remove(&entry.host),
            };
        }
        if let Some(contracts) = &mut self.contracts {
            contracts.set_ready_instances(
                now,
                self.ready_instances.iter().map(|(&host, &(size, at))| (host, size, at)),
            );
        }
    }

    /// Records for the contracts whether an instance has served an attempt: this shows whether its capacity is
    /// available.
    fn record_attempt(&mut self, now: Micros, host: HostId, served: bool) {
        if let Some(contracts) = &mut self.contracts {
            contracts.record_attempt(now, host, served);
        }
    }

    /// Returns when [`Core::run_due`] is to be called next if no event comes before.
    pub fn next_due(&mut self, now: Micros) -> Option<Micros> {
        let contracts = self.contracts.as_mut().and_then(|contracts| contracts.next_due(now));
        let rebalance = self.rebalancer.as_ref().filter(|_| self.rebalance_until.allows(now));
        contracts.into_iter().chain(rebalance.map(|r| r.next_due(now))).min()
    }

    /// Runs work that is due without an event.
    pub fn run_due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(contracts) = &mut self.contracts {
            actions.extend(contracts.run_due(now).into_iter().map(|call| Action::Move { call }));
        }
        // Moves have one cause at a time; those for contracts come first.
        if let Some(rebalance) = self.rebalancer.as_mut().filter(|_| self.rebalance_until.allows(now)) {
            if !actions.is_empty() {
                rebalance.pause(now, "contracts move connections");
            }
            let policy = &self.policy;
            let moves = rebalance.plan_moves(now, || View {
                hosts: policy.hosts(now),
                strays: policy.misplaced_connections(),
            });
            actions.extend(moves.into_iter().map(|call| Action::Move { call }));
        }
    }

    /// Enables rebalancing with these settings, or disables it. Unchanged settings keep its state.
    pub fn set_rebalance(&mut self, now: Micros, settings: Option<rebalance::RebalanceSettings>) {
        if self.rebalancer.as_ref().map(Rebalancer::settings) == settings.as_ref() {
            return;
        }
        let FixedSettings { classes, balancers, .. } = &self.fixed_settings;
        self.rebalancer = settings.map(|settings| Rebalancer::new(now, settings, classes, *balancers));
        if let Some(rebalance) = &mut self.rebalancer {
            // The age of established connections is unknown: they count as new.
            let established = self.requests.iter().filter(|(_, record)| record.established);
            established.for_each(|(call, _)| rebalance.connection_established(now, call));
        }
    }

    /// Enables routing to zones by the fleet's plan.
    pub fn enable_zones(&mut self, settings: crate::failover::FailoverSettings, context: BalancerContext) {
        self.zone_router = Some(ZoneRouter::new(settings, context));
    }

    /// Applies the plan of the replicated state. Returns the moves that are due now, and the serial of the followed
    /// plan if it has changed.
    pub fn follow_plan(&mut self, now: Micros, plan: Option<&Plan>) -> (Vec<Action>, Option<Option<u64>>) {
        let Some(zones) = &mut self.zone_router else { return (Vec::new(), None) };
        let changed = zones.receive_plan(now, plan);
        let established = self.requests.iter().filter(|(_, record)| record.established);
        let moves =
            zones.next_moves(now, established.map(|(call, record)| (record.identity(call), record.host)));
        (moves.into_iter().map(|call| Action::Move { call }).collect(), changed)
    }

    /// Returns the digest of this balancer's zone observations and the instances to probe now; `None` without routing
    /// to zones.
    pub fn digest(&mut self, now: Micros) -> Option<(Digest, Vec<HostId>)> {
        let zones = self.zone_router.as_mut()?;
        let classes = self.requests.values().map(|record| record.class);
        Some((zones.digest(now, classes), zones.next_probes(now)))
    }

    /// Sets the time until which this balancer may rebalance in a group; from then on it does not, unless a later call
    /// extends it.
    pub fn may_rebalance_until(&mut self, until: Micros) {
        self.rebalance_until = RebalanceUntil(until);
    }

    /// Pauses rebalancing because connections move for another cause.
    pub fn pause_rebalance(&mut self, now: Micros, cause: &'static str) {
        if let Some(rebalance) = &mut self.rebalancer {
            rebalance.pause(now, cause);
        }
    }

    /// Returns the events of rebalancing since the last call.
    pub fn take_rebalance_events(&mut self) -> Vec<PlanEvent> {
        self.rebalancer.as_mut().map(Rebalancer::take_events).unwrap_or_default()
    }

    /// Replaces the contracts in force, or removes them, and returns the changes. The terms must be valid.
    pub fn set_contracts(&mut self, now: Micros, terms: Option<Terms>) -> Vec<TermsChange> {
        let changes = match (&mut self.contracts, terms) {
            (Some(contracts), Some(terms)) => contracts.apply_terms(now, terms),
            (None, Some(terms)) => {
                let mut contracts = Contracts::new(now, self.fixed_settings.clone(), Terms::default());
                contracts.set_ready_instances(
                    now,
                    self.ready_instances.iter().map(|(&host, &(size, at))| (host, size, at)),
                );
                let changes = contracts.apply_terms(now, terms);
                // Existing requests count from now on; they are not admitted again.
                for (call, record) in &mut self.requests {
                    let team = contracts.resolve_team(record.team.as_deref(), record.class);
                    let ticket = contracts.count_existing(now, team, record.class, call);
                    if record.established {
                        contracts.mark_established(&ticket);
                    }
                    record.ticket = Some(ticket);
                }
                self.contracts = Some(contracts);
                changes
            }
            (Some(contracts), None) => {
                let changes = contracts.apply_terms(now, Terms::default());
                self.contracts = None;
                self.requests.values_mut().for_each(|record| record.ticket = None);
                changes
            }
            (None, None) => return Vec::new(),
        };
        self.tenants.truncate(self.tenant_names.len());
        let teams = self.contracts.iter().flat_map(Contracts::team_contracts);
        self.tenants.extend(teams.map(|c| tenant_from_contract(c, self.fixed_settings.balancers)));
        let mut actions = Vec::new();
        self.policy.handle(now, Event::Tenants(self.tenants.clone()), &mut actions);
        debug_assert!(actions.is_empty(), "a change of tenants causes no actions");
        changes
    }

    /// Returns the contracts, if there are any.
    pub fn contracts(&self) -> Option<&Contracts> {
        self.contracts.as_ref()
    }

    /// Returns whether the decision module still allows an attempt that it has decided on.
    pub fn attempt_still_allowed(&self, now: Micros, call: &CallId, host: HostId) -> bool {
        self.policy.attempt_still_allowed(now, call, host)
    }

    /// Returns the number of instances that accept new connections, as seen by the decision module.
    pub fn accepting_instances(&self, now: Micros) -> usize {
        self.policy.hosts(now).iter().filter(|host| host.accepts_connections).count()
    }

    /// Returns whether there is a request or connection with this id.
    pub fn has_request(&self, call: &str) -> bool {
        self.requests.contains_key(call)
    }
}

/// Passes events to the rebalancer: connections that are established or ended, and faults, which pause it.
fn observe_for_rebalancing(rebalance: &mut Rebalancer, now: Micros, event: &Event) {
    match event {
        Event::Opened { call, .. } | Event::Adopted(Demand { call, .. }, _) => {
            rebalance.connection_established(now, call)
        }
        Event::Vanished { call } => rebalance.connection_ended(call),
        Event::Finished { call, outcome, ended, .. } => {
            if *ended {
                rebalance.connection_ended(call);
            }
            match outcome {
                Outcome::ConnectFailed | Outcome::Reset => rebalance.pause(now, "an instance failed"),
                Outcome::Timeout => rebalance.pause(now, "an instance did not answer"),
                Outcome::Full => rebalance.pause(now, "an instance rejected a connection"),
                Outcome::Ok | Outcome::Error | Outcome::Cancelled | Outcome::Moot => {}
            }
        }
        Event::Members { kind: ListKind::Failed, .. } => rebalance.pause(now, "discovery does not answer"),
        Event::Members { hosts, .. } if hosts.iter().any(|e| e.state != HostState::Ready) => {
            rebalance.pause(now, "an instance is draining or gone");
        }
        _ => {}
    }
}

/// Returns the limits of a contract that apply to retries, as a tenant of the decision module. Each balancer gets an
/// equal part of the retry budget.
fn tenant_from_contract(contract: &Contract, balancers: u32) -> Tenant {
    let budget_share = 1.0 / f64::from(balancers.max(1));
    Tenant {
        fraction: 1.0,
        quota: None,
        deadline: contract.deadline,
        sends: contract.attempts,
        budget: contract.retry.map(|r| RetryBudget { free: r.free * budget_share, ..r }),
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "lease_tests.rs"]
mod lease_tests;
