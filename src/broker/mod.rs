//! The core: owns the decision module and carries out what it says. It knows no bytes; the fronts see
//! [`run_command`], [`Client`], [`Dialer`] and [`Command`].
//!
//! The shop's words: a *command* is a request, an *execution* one attempt at it, an *instance* a session
//! server, a *nack* a refusal, the *service client* whoever asks.

mod command;
pub mod core;
pub mod deadlines;
pub mod drain;
pub mod front;
pub mod handover;
pub mod instances;
pub mod load_history;
pub mod metrics;
pub mod occupancy;
pub mod operations;
pub mod zones;

use crate::api::*;
use crate::contracts::{Contracts, Terms, TermsChange};
use crate::failover::evidence::Digest;
use crate::failover::plan::Plan;
use crate::rebalance::PlanEvent;
use crate::wire::Names;
pub use command::{resume_connection, run_command, Command, SILENCE_TIMEOUT};
use core::Core;
use deadlines::{Clock, Deadlines, Sleep};
use drain::Drain;
pub use front::{Client, ClientGone, ConnectionEnd, Dialer, Execution, Failure};
use handover::HandedOverConnection;
use instances::{Instances, Listing};
use metrics::{CommandMetrics, MemberCounts, Metrics};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};

/// DescriptorReservation of a connection with a command: its own and its link's.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// Answers leave this long before the service client gives up, so that they arrive in time.
const ANSWER_MARGIN: Micros = 15_000;
/// What the core asks of the network beside executions.
#[derive(Debug)]
pub enum NetworkRequest {
    /// Probe an instance and say how it went with [`Broker::probed`].
    Probe(HostId, SocketAddr),
    /// Watch discovery from this version of the list on, and say so when the watch ends.
    Watch(u64),
    /// Discovery is at this address from now on.
    SetDiscoveryAddress(SocketAddr),
}

/// What the module, or the program's end, says to a command.
#[derive(Debug)]
enum Instruction {
    Execute { instance: HostId, patience: Micros },
    Nack(Option<Micros>),
    Fail,
    Move,
}

/// Refused before anything was spent on it, by its contract or for want of descriptors; come again after so long.
struct Refused(Option<Micros>);

#[derive(Default)]
struct State {
    core: Core,
    instances: Instances,
    commands: BTreeMap<CallId, UnboundedSender<Instruction>>,
    /// Standing connections, in the order in which they came.
    established: VecDeque<CallId>,
}

/// What is known of the list of servers that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It came with the configuration; its age is unknown.
    Configured,
    /// Discovery has told all that had changed.
    Confirmed,
    /// The last call failed, or the watch has ended.
    Unreachable,
}

/// The core of one balancer.
pub struct Broker {
    state: RefCell<State>,
    clock: Clock,
    deadlines: Rc<Deadlines>,
    names: Names,
    /// Whether instances tell how long messages take there.
    message_delays_reported: bool,
    /// Changes of the list count as told, asked for or not.
    list_is_pushed: bool,
    /// It is one of so many that it mostly has one connection at an instance.
    is_large_fleet: bool,
    /// The longest that a client waits.
    max_deadline: Micros,
    class_deadlines: Vec<Micros>,
    /// When contracts are looked at next, and what says that it has become due_changed.
    next_due: Cell<Micros>,
    due_changed: Notify,
    connect_timeout: Micros,
    max_poll_interval: Option<Micros>,
    network_requests: UnboundedSender<NetworkRequest>,
    free_descriptors: Cell<usize>,
    drain: RefCell<Drain>,
    metrics: Rc<Metrics>,
    /// Says that moves of a drain are to be looked at.
    drain_started: Notify,
    /// What discovery has answered in this run.
    list_state: watch::Sender<ListState>,
}

impl Broker {
    /// A core that knows no instance yet; `descriptors` is how many the connections may hold.
    pub fn new(
        settings: Settings,
        names: Names,
        seed: u64,
        descriptors: usize,
    ) -> Result<(Rc<Broker>, UnboundedReceiver<NetworkRequest>), SettingsError> {
        let ((network_requests, request_receiver), classes) = (unbounded_channel(), settings.classes.len());
        let broker = Broker {
            message_delays_reported: settings.message_delays_reported,
            list_is_pushed: settings.discovery == Discovery::Pushed,
            is_large_fleet: settings.peers_total > crate::placement::SMALL_FLEET_NODES,
            max_deadline: settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
            next_due: Cell::new(Micros::MAX),
            due_changed: Notify::new(),
            class_deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
            connect_timeout: settings.connect_timeout,
            max_poll_interval: settings.max_poll_interval,
            state: RefCell::new(State { core: Core::new(settings, &names, seed)?, ..State::default() }),
            clock: Clock::new(),
            deadlines: Rc::default(),
            names,
            network_requests,
            free_descriptors: Cell::new(descriptors),
            drain: RefCell::default(),
            metrics: Metrics::new(classes),
            drain_started: Notify::new(),
            list_state: watch::Sender::new(ListState::Configured),
        };
        Ok((Rc::new(broker), request_receiver))
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Ends at that time.
    pub fn sleep_until(&self, at: Micros) -> Sleep {
        self.deadlines.sleep_until(at)
    }

    /// Ends after that long.
    pub fn sleep(&self, span: Micros) -> Sleep {
        self.sleep_until(self.now().saturating_add(span))
    }

    /// Names of classes, tenants and zones.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// How long the list may go unasked for.
    pub fn max_poll_interval(&self) -> Micros {
        self.max_poll_interval.unwrap_or(Micros::MAX)
    }

    /// How long a connection to an instance may take to come up.
    pub fn connect_timeout(&self) -> Micros {
        self.connect_timeout
    }

    /// How long a service client of a class waits.
    pub fn deadline(&self, class: usize) -> Micros {
        self.class_deadlines
            .get(class)
            .copied()
            .filter(|&d| d > 0)
            .unwrap_or(self.max_deadline.max(1_000_000))
    }

    /// The longest that any service client waits.
    pub fn max_deadline(&self) -> Micros {
        self.max_deadline
    }

    /// Takes descriptors out of the budget until the guard is dropped; none where too few are left.
    pub fn reserve_descriptors(self: &Rc<Self>, n: usize) -> Option<DescriptorReservation> {
        self.free_descriptors.set(self.free_descriptors.get().checked_sub(n)?);
        Some(DescriptorReservation(self.clone(), n))
    }

    /// Sweeps the deadlines for ever.
    pub async fn run_deadlines(&self) {
        self.deadlines.run(self.clock, |token| self.handle_event(Event::Timer { token })).await
    }

    /// Discovery is at this address from now on.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        // Cannot fail while the program runs: main holds the other end.
        let _ = self.network_requests.send(NetworkRequest::SetDiscoveryAddress(address));
    }

    /// Version of the list held.
    pub fn list_version(&self) -> u64 {
        self.state.borrow().instances.list_version
    }

    /// Whether changes of the list count as told without our asking.
    pub fn list_is_pushed(&self) -> bool {
        self.list_is_pushed
    }

    /// News of the list.
    pub fn update_list(&self, kind: ListKind, listing: Listing) {
        let hosts = self.state.borrow_mut().instances.apply_update(kind, listing, &self.names);
        self.handle_event(Event::Members { kind, hosts });
        if kind == ListKind::Cached && self.list_is_pushed {
            // The module asks where it has to. Here nobody has to, but on sockets news comes by the watch alone.
            let _ = self.network_requests.send(NetworkRequest::Watch(self.list_version()));
        }
    }

    /// All that discovery had to tell when it answered has been taken in.
    pub fn list_confirmed(&self) {
        self.list_state.send_replace(ListState::Confirmed);
    }

    /// What discovery has answered in this run, and each change of that.
    pub fn list_state(&self) -> watch::Receiver<ListState> {
        self.list_state.subscribe()
    }

    /// The watch could not be had, or has ended.
    pub fn watch_ended(&self) {
        self.list_state.send_replace(ListState::Unreachable);
        self.list_unavailable();
    }

    /// There is no list, or no watch: the module asks.
    pub fn list_unavailable(&self) {
        self.handle_event(Event::Members { kind: ListKind::Failed, hosts: Vec::new() });
    }

    /// How a probe went.
    pub fn record_probe(&self, host: HostId, outcome: Outcome, load: Option<f64>) {
        self.handle_event(Event::Probed { host, outcome, load });
    }

    /// The one way to the module.
    fn handle_event(&self, event: Event) {
        let (mut actions, state) = (Vec::new(), &mut *self.state.borrow_mut());
        tracing::debug!("told: {event:?}");
        state.core.handle_event(self.now(), event, &mut actions);
        self.apply_actions(state, actions);
        self.schedule_due(state);
    }

    /// Has the core looked at when it next wants it.
    fn schedule_due(&self, state: &mut State) {
        let due = state.core.next_due(self.now()).unwrap_or(Micros::MAX);
        if due < self.next_due.get() {
            self.next_due.set(due);
            self.due_changed.notify_one();
        }
    }

    /// Carries out what was decided.
    fn apply_actions(&self, state: &State, actions: Vec<Action>) {
        if !actions.is_empty() {
            tracing::debug!("decided: {actions:?}");
        }
        for action in actions {
            let (call, instruction) = match action {
                Action::Send { call, host, patience } => {
                    (call, Instruction::Execute { instance: host, patience })
                }
                Action::Refuse { call, retry_after } => (call, Instruction::Nack(retry_after)),
                Action::Fail { call } => (call, Instruction::Fail),
                Action::Move { call } => (call, Instruction::Move),
                Action::Timer { at, token } => {
                    self.deadlines.add_timer(at, token);
                    continue;
                }
                Action::Probe { host } => {
                    if let Some(instance) = state.instances.get(host) {
                        // Cannot fail while the program runs: main holds the other end.
                        let _ = self.network_requests.send(NetworkRequest::Probe(host, instance.address));
                    }
                    continue;
                }
                Action::Watch => {
                    let _ = self.network_requests.send(NetworkRequest::Watch(state.instances.list_version));
                    continue;
                }
            };
            if let Some(command) = state.commands.get(&call) {
                // A command that has just ended needs no word.
                let _ = command.send(instruction);
            }
        }
    }

    fn register(self: &Rc<Self>, call: &CallId, left: Micros) -> Command {
        let (sender, instructions) = unbounded_channel();
        self.state.borrow_mut().commands.insert(call.clone(), sender);
        let deadline = self.now().saturating_add(left);
        Command {
            broker: self.clone(),
            id: call.clone(),
            instructions,
            deadline,
            deadline_passed: false,
            execution: None,
            execution_count: 0,
            load_reported: false,
            established: false,
            ended: false,
            descriptors: None,
        }
    }

    /// Whether this id is in hand already.
    pub fn has_command(&self, call: &str) -> bool {
        self.state.borrow().commands.contains_key(call)
    }

    /// Takes a command on, unless contracts refuse it.
    fn accept(self: &Rc<Self>, mut demand: Demand, team: Option<&str>) -> Result<Command, Refused> {
        demand.left = demand.left.saturating_sub(ANSWER_MARGIN);
        // Contracts first: a flood that they refuse must not use up what the others' links need.
        let admitted = {
            let state = &mut *self.state.borrow_mut();
            let admitted = state.core.admit(self.now(), &mut demand, team);
            self.schedule_due(state);
            admitted
        };
        if let Err(refused) = admitted {
            tracing::debug!(team, reason = refused.reason.name(), "refused by contract");
            return Err(Refused(refused.retry_after));
        }
        // Counted before it is placed: one that cannot have its link must not fail at its instance.
        let Some(descriptors) = self.reserve_descriptors(DESCRIPTORS_PER_CONNECTION) else {
            tracing::warn!("the descriptors are used up: a command was turned away");
            self.state.borrow_mut().core.withdraw(self.now(), &demand.call);
            return Err(Refused(None));
        };
        // A little after the module's own deadline, which it counts from when it is told: else a time-out at
        // the deadline comes before it, and the module tries once more with no time left.
        let mut command = self.register(&demand.call, demand.left.saturating_add(1_000));
        command.descriptors = Some(descriptors);
        self.handle_event(Event::Demand(demand));
        Ok(command)
    }

    fn adopt(self: &Rc<Self>, demand: Demand, team: Option<&str>, host: HostId) -> Command {
        let mut command = self.register(&demand.call, Micros::MAX);
        command.execution = Some((host, self.now()));
        command.execution_count = 1;
        {
            let state = &mut *self.state.borrow_mut();
            let actions = state.core.adopt(self.now(), demand, team, host);
            self.apply_actions(state, actions);
            self.schedule_due(state);
        }
        command.mark_established();
        command
    }

    /// Does what is due without an event, for ever.
    pub async fn run_scheduled_work(self: &Rc<Self>) -> ! {
        loop {
            {
                let (mut actions, state) = (Vec::new(), &mut *self.state.borrow_mut());
                state.core.run_due(self.now(), &mut actions);
                for event in state.core.take_rebalance_events() {
                    match event {
                        PlanEvent::Started(n, worst) => tracing::info!(n, worst, "rebalancing begins"),
                        PlanEvent::Paused(cause) => tracing::info!(cause, "rebalancing rests"),
                        PlanEvent::Finished(moved, worst) => {
                            tracing::info!(moved, worst, "rebalancing has ended")
                        }
                    }
                }
                self.apply_actions(state, actions);
                self.next_due.set(state.core.next_due(self.now()).unwrap_or(Micros::MAX));
            }
            tokio::select! {
                () = self.sleep_until(self.next_due.get().max(self.now() + STEP_INTERVAL)) => {}
                () = self.due_changed.notified() => {}
            }
        }
    }

    /// Other contracts are in force from now on, or none: what changed. The terms must be valid.
    pub fn set_contracts(&self, terms: Option<Terms>) -> Vec<TermsChange> {
        let state = &mut *self.state.borrow_mut();
        let changes = state.core.set_contracts(self.now(), terms);
        self.schedule_due(state);
        changes
    }

    /// Slow rebalancing by these terms from now on, or none.
    pub fn set_rebalance(&self, terms: Option<crate::rebalance::RebalanceSettings>) {
        let state = &mut *self.state.borrow_mut();
        state.core.set_rebalance(self.now(), terms);
        self.schedule_due(state);
    }

    /// Zones by the fleet's plan from now on.
    pub fn enable_zones(&self, terms: crate::failover::FailoverSettings, context: zones::BalancerContext) {
        self.state.borrow_mut().core.enable_zones(terms, context);
    }

    /// The fleet's plan as the record has it: whoever it has elsewhere is asked to move, at the fleet's pace.
    pub fn follow_plan(&self, plan: Option<&Plan>) {
        let state = &mut *self.state.borrow_mut();
        let (moves, changed) = state.core.follow_plan(self.now(), plan);
        match changed {
            Some(Some(serial)) => tracing::info!(serial, "zones: another plan is followed"),
            Some(None) => tracing::warn!("zones: no plan is valid any more: this balancer judges alone"),
            None => {}
        }
        self.apply_actions(state, moves);
    }

    /// What was seen of the zones here, where there is a plan to be made of it.
    pub fn digest(&self) -> Option<Digest> {
        let state = &mut *self.state.borrow_mut();
        let (digest, probes) = state.core.digest(self.now())?;
        self.apply_actions(state, probes.into_iter().map(|host| Action::Probe { host }).collect());
        Some(digest)
    }

    /// In a group: until when, by [`Broker::now`], this balancer may move connections home. From then on it moves none, whoever is
    /// late to say so.
    pub fn may_rebalance_until(&self, until: Micros) {
        let state = &mut *self.state.borrow_mut();
        state.core.may_rebalance_until(until);
        self.schedule_due(state);
    }

    /// Shows the contracts, where there are any.
    pub fn contracts<T>(&self, show: impl FnOnce(&Contracts) -> T) -> Option<T> {
        self.state.borrow().core.contracts().map(show)
    }

    /// Books a command of a class until this is dropped: one that is given no end by then has failed.
    pub fn count_command(&self, class: usize) -> Rc<CommandMetrics> {
        Rc::new(self.metrics.begin_command(class))
    }

    fn member_counts(&self) -> MemberCounts {
        let state = self.state.borrow();
        let (listed, accepting) =
            (state.instances.listed_count(), state.core.accepting_instances(self.now()));
        MemberCounts { listed, unavailable: listed.saturating_sub(accepting) }
    }

    fn execution(
        self: &Rc<Self>,
        call: &CallId,
        instance: HostId,
        until: Micros,
        command_metrics: &Rc<CommandMetrics>,
    ) -> Option<Execution> {
        let state = self.state.borrow();
        let (name, address) = state.instances.get(instance).map(|i| (i.name.clone(), i.address))?;
        let (call, command_metrics) = (call.clone(), command_metrics.clone());
        Some(Execution {
            instance,
            name,
            address,
            deadline: until,
            call,
            command_metrics,
            broker: self.clone(),
        })
    }

    /// Whether the front is told to send clients.
    pub fn passes_health_checks(&self) -> bool {
        self.drain.borrow().passes_health_checks()
    }

    /// What stands here, for the process after this one.
    pub fn established_connections(&self) -> Vec<HandedOverConnection> {
        self.state.borrow().core.established_connections(self.now())
    }

    /// What stands at the process before this one.
    pub fn inherit_connections(&self, stands: Vec<HandedOverConnection>) {
        let state = &mut *self.state.borrow_mut();
        state.core.inherit_connections(self.now(), stands);
        self.schedule_due(state);
    }

    /// The process before this one has ended.
    pub fn predecessor_ended(&self) {
        self.state.borrow_mut().core.predecessor_ended(self.now());
    }

    /// Clients are taken from now on.
    pub fn start_serving(&self) {
        self.drain.borrow_mut().start_serving();
    }

    /// Whether the program is to end.
    pub fn is_shutting_down(&self) -> bool {
        self.drain.borrow().is_shutting_down()
    }

    /// The program is to end: every service client is asked to come again between these times.
    pub fn shut_down(&self, from: Micros, end: Micros) {
        self.drain.borrow_mut().shut_down(from, end);
        self.drain_started.notify_one();
    }

    /// Asks service clients to come again while this balancer drains or leaves, for ever. Rebalancing rests
    /// meanwhile: one cause of moves at a time.
    pub async fn run_drain(&self) -> ! {
        loop {
            if !self.drain.borrow().is_moving_connections() {
                self.drain_started.notified().await;
            }
            self.sleep(STEP_INTERVAL).await;
            let state = &mut *self.state.borrow_mut();
            state.core.pause_rebalance(self.now(), "the balancer drains");
            let moves = self.drain.borrow_mut().due_moves(self.now(), state.established.len());
            for call in state.established.drain(..moves) {
                if let Some(command) = state.commands.get(&call) {
                    let _ = command.send(Instruction::Move);
                }
            }
        }
    }

    /// How many commands are in hand or stand.
    pub fn active_commands(&self) -> usize {
        self.state.borrow().commands.len()
    }
}

/// Between two looks at what is done bit by bit.
const STEP_INTERVAL: Micros = 20_000;

/// A part of the descriptor budget.
pub struct DescriptorReservation(Rc<Broker>, usize);

impl Drop for DescriptorReservation {
    fn drop(&mut self) {
        self.0.free_descriptors.set(self.0.free_descriptors.get() + self.1);
    }
}
