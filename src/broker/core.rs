//! What one balancer decides, wired together once: the decision module and the contracts, in the order in which
//! they are asked, with the books that they share. It knows no sockets and no clock, so the balancer drives it in
//! real time and the laboratory in simulated time.
//!
//! Promised: contracts are asked before the module is; whatever was let in is given back exactly once, however it
//! ends; moves that contracts want come out as the module's own do.

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

/// Refused by its contract: the module was never asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When to come again.
    pub retry_after: Option<Micros>,
    /// Why.
    pub reason: Reason,
}

/// A request or a standing connection as it stands in the books.
#[derive(Debug, Default)]
struct RequestRecord {
    class: usize,
    /// The team that its client named.
    team: Option<Arc<str>>,
    key: Option<Arc<str>>,
    group: Option<Arc<str>>,
    /// Where it stands, and what it asks for there, where that was told.
    host: HostId,
    load: Option<f64>,
    /// What it holds of its team's contract, where there are contracts.
    ticket: Option<Ticket>,
    established: bool,
    /// The capacity of a zone that it takes up, where there is a plan for zones.
    slot: Option<Slot>,
}

/// Who a client is by what it named.
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

/// The first moment at which this balancer may no longer rebalance.
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
    /// Contracts between teams; none where the operator wrote none.
    contracts: Option<Contracts>,
    /// Slow rebalancing; none where the operator wants none.
    rebalancer: Option<Rebalancer>,
    /// Until when this balancer may rebalance: in a group, for as long as its lease lasts; for ever without one.
    rebalance_until: RebalanceUntil,
    fixed_settings: FixedSettings,
    /// The platform's own tenants, by name; the teams come behind them, by their number.
    tenant_names: Vec<String>,
    tenants: Vec<Tenant>,
    requests: BTreeMap<CallId, RequestRecord>,
    load_history: LoadHistory,
    /// The fleet's plan for zones; none where the operator wants none.
    zone_router: Option<ZoneRouter>,
    /// Connections that stand at the process before this one: their clients come here. Who named no key is under none.
    inherited: BTreeMap<Option<ClientId>, Vec<CallId>>,
    /// Instances that the list calls ready: size, and when each was started.
    ready_instances: BTreeMap<HostId, (f64, Micros)>,
}

impl Core {
    /// One that knows no instance yet.
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

    /// Asks the contracts, where there are any, and says in the demand client it is. One that was let in is then
    /// told as [`Event::Demand`], or taken back with [`Core::withdraw`].
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
                Ok(taken) => ticket = Some(taken),
                Err(no) => return Err(Refused { retry_after: no.retry_after, reason: no.reason }),
            }
        }
        if let Some(most) = demand.tenant.and_then(|t| self.tenants.get(t)).and_then(|t| t.deadline) {
            demand.left = demand.left.min(most);
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

    /// One that was let in is not begun after all.
    pub fn withdraw(&mut self, now: Micros, call: &CallId) {
        self.release(now, call, EndReason::NotEstablished);
    }

    /// Takes in a connection that stands already.
    pub fn adopt(
        &mut self,
        now: Micros,
        mut demand: Demand,
        team: Option<&str>,
        host: HostId,
    ) -> Vec<Action> {
        demand.tenant = team.and_then(|name| self.tenant_names.iter().position(|p| p == name));
        let projects = self.tenant_names.len();
        let ticket = self.contracts.as_mut().map(|contracts| {
            let id = contracts.resolve_team(team, demand.class);
            demand.tenant = Some(projects + id);
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

    /// What stands here, for the process after this one.
    pub fn established_connections(&self, now: Micros) -> Vec<HandedOverConnection> {
        let text = |text: &Option<Arc<str>>| text.as_deref().map(String::from);
        let usual = |record: &RequestRecord| self.load_history.recent_load(now, &record.client_id()?);
        let stand = |record: &RequestRecord| {
            let class = self.fixed_settings.classes.get(record.class)?.0.to_string();
            let (team, key, group) = (text(&record.team), text(&record.key), text(&record.group));
            Some(HandedOverConnection {
                class,
                team,
                key,
                group,
                instance: record.host,
                load: usual(record).or(record.load),
            })
        };
        self.requests.values().filter(|record| record.established).filter_map(stand).collect()
    }

    /// What stands at the process before this one: booked as if it stood here, until its client comes over or
    /// [`Core::predecessor_ended`] says that the other process has ended.
    pub fn inherit_connections(&mut self, now: Micros, stands: Vec<HandedOverConnection>) {
        for (i, stand) in stands.into_iter().enumerate() {
            let Some(class) = self.fixed_settings.classes.iter().position(|c| *c.0 == *stand.class) else {
                continue;
            };
            // No client can choose such an id.
            let id = format!("older {i}");
            let key: Option<Arc<str>> = stand.key.map(Into::into);
            let (group, hint) = (stand.group.map(Into::into), stand.load.filter(|load| load.is_finite()));
            let client = client_id(stand.team.as_deref().map(Into::into), &key);
            client.iter().zip(hint).for_each(|(client, load)| self.load_history.record(now, client, load));
            let demand = Demand { key, group, hint, ..Demand::new(&id, class, Micros::MAX / 4) };
            // It stands elsewhere: what moves it decides is decided there.
            self.adopt(now, demand, stand.team.as_deref(), stand.instance);
            self.inherited.entry(client).or_default().push(id.as_str().into());
        }
    }

    /// The process before this one has ended.
    pub fn predecessor_ended(&mut self, now: Micros) {
        let left = std::mem::take(&mut self.inherited).into_values().flatten();
        left.for_each(|call| self.handle_event(now, Event::Vanished { call }, &mut Vec::new()));
    }

    /// A client that stood at the process before this one comes here.
    fn client_returned(&mut self, now: Micros, client: &Option<ClientId>) {
        if client.is_none() {
            return;
        }
        let Some(call) = self.inherited.get_mut(client).and_then(Vec::pop) else { return };
        self.handle_event(now, Event::Vanished { call }, &mut Vec::new());
    }

    /// The one way to the module; contracts learn what bears on them.
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
        let first = actions.len();
        self.policy.handle(now, event, actions);
        let mut n = first;
        while n < actions.len() {
            if self.exceeds_capacity_lease(now, &actions[n]) {
                // It was never sent: the module decides what else becomes of the request.
                let unsent = actions.remove(n);
                self.cancel_unsent(now, unsent, actions);
            } else {
                self.record_action(now, &actions[n]);
                n += 1;
            }
        }
    }

    /// Whether an action would send more to a zone than this balancer's capacity lease allows.
    fn exceeds_capacity_lease(&mut self, now: Micros, action: &Action) -> bool {
        match (action, &mut self.zone_router) {
            (Action::Send { host, .. }, Some(zones)) => !zones.may_send(now, *host),
            _ => false,
        }
    }

    fn cancel_unsent(&mut self, now: Micros, unsent: Action, actions: &mut Vec<Action>) {
        let Action::Send { call, host, .. } = unsent else { return };
        let (outcome, elapsed) = (Outcome::Moot, 0);
        let event = Event::Finished { call, attempt: 0, host, outcome, elapsed, ended: false };
        self.policy.handle(now, event, actions);
    }

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

    /// An attempt takes up capacity of its server's zone from its send on.
    fn occupy_slot(&mut self, call: &CallId, host: HostId) {
        let Some((record, zones)) = self.requests.get_mut(call).zip(self.zone_router.as_mut()) else {
            return;
        };
        record.slot = zones.send(call, host);
    }

    /// An attempt is over: its capacity is free.
    fn free_slot(&mut self, call: &CallId) {
        let Some((record, zones)) = self.requests.get_mut(call).zip(self.zone_router.as_mut()) else {
            return;
        };
        record.slot.take().into_iter().for_each(|slot| zones.release(slot));
    }

    fn release(&mut self, now: Micros, call: &CallId, end: EndReason) {
        self.free_slot(call);
        let ticket = self.requests.remove(call).and_then(|record| record.ticket);
        if let Some((ticket, contracts)) = ticket.zip(self.contracts.as_mut()) {
            contracts.release(now, ticket, end);
        }
    }

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

    /// An attempt that nobody answers, or one that is served, tells whether its instance is there.
    fn record_attempt(&mut self, now: Micros, host: HostId, served: bool) {
        if let Some(contracts) = &mut self.contracts {
            contracts.record_attempt(now, host, served);
        }
    }

    /// When [`Core::run_due`] is to be called next, if nothing happens before.
    pub fn next_due(&mut self, now: Micros) -> Option<Micros> {
        let contracts = self.contracts.as_mut().and_then(|contracts| contracts.next_due(now));
        let rebalance = self.rebalancer.as_ref().filter(|_| self.rebalance_until.allows(now));
        contracts.into_iter().chain(rebalance.map(|r| r.next_due(now))).min()
    }

    /// Does what is due without an event.
    pub fn run_due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if let Some(contracts) = &mut self.contracts {
            actions.extend(contracts.run_due(now).into_iter().map(|call| Action::Move { call }));
        }
        // One cause of moves at a time: what contracts want comes first.
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

    /// Rebalancing by these terms from now on, or none.
    pub fn set_rebalance(&mut self, now: Micros, terms: Option<rebalance::RebalanceSettings>) {
        if self.rebalancer.as_ref().map(Rebalancer::settings) == terms.as_ref() {
            return;
        }
        let FixedSettings { classes, balancers, .. } = &self.fixed_settings;
        self.rebalancer = terms.map(|terms| Rebalancer::new(now, terms, classes, *balancers));
        if let Some(rebalance) = &mut self.rebalancer {
            // How long they have stood is not known: as if since now.
            let standing = self.requests.iter().filter(|(_, record)| record.established);
            standing.for_each(|(call, _)| rebalance.connection_established(now, call));
        }
    }

    /// Zones by the fleet's plan from now on.
    pub fn enable_zones(&mut self, terms: crate::failover::FailoverSettings, context: BalancerContext) {
        self.zone_router = Some(ZoneRouter::new(terms, context));
    }

    /// The fleet's plan as the record has it; whom it moves now, and which plan is followed if that has changed.
    pub fn follow_plan(&mut self, now: Micros, plan: Option<&Plan>) -> (Vec<Action>, Option<Option<u64>>) {
        let Some(zones) = &mut self.zone_router else { return (Vec::new(), None) };
        let changed = zones.receive_plan(now, plan);
        let standing = self.requests.iter().filter(|(_, record)| record.established);
        let moves =
            zones.next_moves(now, standing.map(|(call, record)| (record.identity(call), record.host)));
        (moves.into_iter().map(|call| Action::Move { call }).collect(), changed)
    }

    /// What was seen of the zones here, and instances that are to be probed for it.
    pub fn digest(&mut self, now: Micros) -> Option<(Digest, Vec<HostId>)> {
        let zones = self.zone_router.as_mut()?;
        let classes = self.requests.values().map(|record| record.class);
        Some((zones.digest(now, classes), zones.next_probes(now)))
    }

    /// In a group: this balancer may rebalance before that time, and not from then on unless it is told again.
    pub fn may_rebalance_until(&mut self, until: Micros) {
        self.rebalance_until = RebalanceUntil(until);
    }

    /// Moves are made for another cause: rebalancing rests.
    pub fn pause_rebalance(&mut self, now: Micros, cause: &'static str) {
        if let Some(rebalance) = &mut self.rebalancer {
            rebalance.pause(now, cause);
        }
    }

    /// What the rebalancer has to tell.
    pub fn take_rebalance_events(&mut self) -> Vec<PlanEvent> {
        self.rebalancer.as_mut().map(Rebalancer::take_events).unwrap_or_default()
    }

    /// Other contracts are in force from now on, or none: what changed. The terms must be valid.
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
                // What is in hand counts from now on; where it was asked for is past.
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
        debug_assert!(actions.is_empty(), "other tenants decide nothing");
        changes
    }

    /// The contracts, where there are any.
    pub fn contracts(&self) -> Option<&Contracts> {
        self.contracts.as_ref()
    }

    /// Whether an attempt that was decided on may still be sent, as the module sees it.
    pub fn attempt_still_allowed(&self, now: Micros, call: &CallId, host: HostId) -> bool {
        self.policy.attempt_still_allowed(now, call, host)
    }

    /// How many instances may be sent something new, as the module sees them.
    pub fn accepting_instances(&self, now: Micros) -> usize {
        self.policy.hosts(now).iter().filter(|host| host.accepts_connections).count()
    }

    /// Whether this id is in hand already.
    pub fn has_request(&self, call: &str) -> bool {
        self.requests.contains_key(call)
    }
}

/// What of the events bears on rebalancing: who stands, and trouble, which makes it rest.
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
                Outcome::Full => rebalance.pause(now, "an instance turned a connection away"),
                Outcome::Ok | Outcome::Error | Outcome::Cancelled | Outcome::Moot => {}
            }
        }
        Event::Members { kind: ListKind::Failed, .. } => rebalance.pause(now, "discovery does not answer"),
        Event::Members { hosts, .. } if hosts.iter().any(|e| e.state != HostState::Ready) => {
            rebalance.pause(now, "an instance drains or is gone");
        }
        _ => {}
    }
}

/// A contract as the module has it: what bears on retries.
fn tenant_from_contract(contract: &Contract, balancers: u32) -> Tenant {
    let part = 1.0 / f64::from(balancers.max(1));
    Tenant {
        fraction: 1.0,
        quota: None,
        deadline: contract.deadline,
        sends: contract.attempts,
        budget: contract.retry.map(|r| RetryBudget { free: r.free * part, ..r }),
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "lease_tests.rs"]
mod lease_tests;
