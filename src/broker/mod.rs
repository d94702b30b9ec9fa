//! The broker: passes events to the decision module and carries out its actions. It does no socket I/O; the protocol
//! front ends use [`run_command`], [`Client`], [`Dialer`] and [`Command`].
//!
//! Terms: a *command* is a request for a connection, an *execution* is one attempt at it, an *instance* is a session
//! server, a *nack* is a refusal, and a *service client* is the process that sent the request.

mod command;
pub mod core;
pub mod deadlines;
pub mod discovery_metrics;
pub mod drain;
pub mod front;
pub mod handover;
pub mod instances;
pub mod load_history;
pub mod metrics;
pub mod occupancy;
pub mod operations;
pub mod silence;
pub mod zones;

use crate::api::*;
use crate::contracts::{Contracts, Terms, TermsChange};
use crate::failover::evidence::Digest;
use crate::failover::plan::Plan;
use crate::rebalance::PlanEvent;
use crate::wire::Names;
pub use command::{resume_connection, run_command, Command};
use core::Core;
use deadlines::{Clock, Deadlines, Sleep};
use discovery_metrics::DiscoveryMetrics;
use drain::Drain;
pub use front::{Client, ClientGone, ConnectionEnd, Dialer, Execution, Failure};
use handover::HandedOverConnection;
use instances::{Instances, Listing};
use metrics::{CommandMetrics, MemberCounts, Metrics};
pub use silence::{SilenceMonitor, SILENCE_TIMEOUT};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};

/// Number of file descriptors that a command uses: one for the service client's connection and one for the instance's.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// Time before the service client's deadline at which an answer is sent, so that it arrives in time.
const ANSWER_MARGIN: Micros = 15_000;
/// Time by which a command's own deadline is later than that of the decision module.
const DEADLINE_GRACE: Micros = 1_000;
/// Shortest deadline of a service client whose class has none.
const MIN_DEFAULT_DEADLINE: Micros = 1_000_000;

/// A request to the network code other than an execution.
#[derive(Debug)]
pub enum NetworkRequest {
    /// Probe an instance and report the result with [`Broker::record_probe`].
    Probe(HostId, SocketAddr),
    /// Watch the list at discovery from this version on, and report the end of the watch with [`Broker::watch_ended`].
    Watch(u64),
    /// Use this address for discovery.
    SetDiscoveryAddress(SocketAddr),
}

/// An instruction of the decision module, or of a drain or shutdown, to a command.
#[derive(Debug)]
enum Instruction {
    Execute { instance: HostId, patience: Micros },
    Nack(Option<Micros>),
    Fail,
    Move,
}

/// A command was refused before its first execution, by its contract or for lack of file descriptors. Holds the retry
/// delay.
struct Refused(Option<Micros>);

#[derive(Default)]
struct State {
    core: Core,
    instances: Instances,
    commands: BTreeMap<CallId, UnboundedSender<Instruction>>,
    /// Established connections, in the order in which they were established.
    established: VecDeque<CallId>,
}

/// State of the instance list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// The list was read from the configuration; its age is unknown.
    Configured,
    /// Discovery has answered with all changes of the list.
    Confirmed,
    /// The last call to discovery failed, or the watch has ended.
    Unreachable,
}

/// The broker of one balancer process.
pub struct Broker {
    state: RefCell<State>,
    clock: Clock,
    deadlines: Rc<Deadlines>,
    names: Names,
    /// Whether instances report the delay of messages.
    message_delays_reported: bool,
    /// Whether list changes count as notified to this balancer even when it did not ask for them.
    list_is_pushed: bool,
    /// Whether the fleet has so many balancers that each usually has a single connection per instance.
    is_large_fleet: bool,
    /// Longest deadline of any class.
    max_deadline: Micros,
    class_deadlines: Vec<Micros>,
    /// Time of the next scheduled work. `due_changed` notifies the task that runs it when this time becomes earlier.
    next_due: Cell<Micros>,
    due_changed: Notify,
    connect_timeout: Micros,
    max_poll_interval: Option<Micros>,
    network_requests: UnboundedSender<NetworkRequest>,
    free_descriptors: Cell<usize>,
    drain: RefCell<Drain>,
    metrics: Rc<Metrics>,
    discovery_metrics: DiscoveryMetrics,
    /// Notifies the task that moves connections when a drain or shutdown starts.
    drain_started: Notify,
    /// Time by which every request must have its final answer; `Micros::MAX` until a shutdown starts.
    answer_limit: watch::Sender<Micros>,
    /// State of the list since the start of the process.
    list_state: watch::Sender<ListState>,
}

impl Broker {
    /// Creates a broker without instances, and the receiver of its requests to the network code. `descriptors` is the
    /// number of file descriptors that connections may use.
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
            discovery_metrics: DiscoveryMetrics::default(),
            drain_started: Notify::new(),
            answer_limit: watch::Sender::new(Micros::MAX),
            list_state: watch::Sender::new(ListState::Configured),
        };
        Ok((Rc::new(broker), request_receiver))
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns a future that completes at this time.
    pub fn sleep_until(&self, at: Micros) -> Sleep {
        self.deadlines.sleep_until(at)
    }

    /// Returns a future that completes after this time span.
    pub fn sleep(&self, span: Micros) -> Sleep {
        self.sleep_until(self.now().saturating_add(span))
    }

    /// Returns the names of classes, tenants and zones.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Returns the longest allowed time between two requests for the list; `Micros::MAX` if there is no limit.
    pub fn max_poll_interval(&self) -> Micros {
        self.max_poll_interval.unwrap_or(Micros::MAX)
    }

    /// Returns the time limit for connecting to an instance.
    pub fn connect_timeout(&self) -> Micros {
        self.connect_timeout
    }

    /// Returns how long a service client of this class waits for its answer.
    pub fn deadline(&self, class: usize) -> Micros {
        self.class_deadlines
            .get(class)
            .copied()
            .filter(|&d| d > 0)
            .unwrap_or(self.max_deadline.max(MIN_DEFAULT_DEADLINE))
    }

    /// Returns the longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        self.max_deadline
    }

    /// Reserves file descriptors until the returned guard is dropped. Returns `None` if too few are free.
    pub fn reserve_descriptors(self: &Rc<Self>, n: usize) -> Option<DescriptorReservation> {
        self.free_descriptors.set(self.free_descriptors.get().checked_sub(n)?);
        Some(DescriptorReservation(self.clone(), n))
    }

    /// Runs the deadlines; does not return.
    pub async fn run_deadlines(&self) {
        self.deadlines.run(self.clock, |token| self.handle_event(Event::Timer { token })).await
    }

    /// Sets the address of discovery.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        // Cannot fail while the program runs: its main task holds the receiver.
        let _ = self.network_requests.send(NetworkRequest::SetDiscoveryAddress(address));
    }

    /// Returns the version of the list in use.
    pub fn list_version(&self) -> u64 {
        self.state.borrow().instances.list_version
    }

    /// Returns whether list changes count as notified to this balancer even when it did not ask for them.
    pub fn list_is_pushed(&self) -> bool {
        self.list_is_pushed
    }

    /// Applies an update of the instance list.
    pub fn update_list(&self, kind: ListKind, listing: Listing) {
        let hosts = self.state.borrow_mut().instances.apply_update(kind, listing, &self.names);
        self.handle_event(Event::Members { kind, hosts });
        if kind == ListKind::Cached && self.list_is_pushed {
            // The decision module requests a watch only where it must ask for changes. With pushed changes it need not,
            // but this process still receives updates only through a watch.
            let _ = self.network_requests.send(NetworkRequest::Watch(self.list_version()));
        }
    }

    /// Records that all changes up to discovery's answer have been applied.
    pub fn list_confirmed(&self) {
        self.discovery_metrics.record_confirmed(self.now());
        self.list_state.send_replace(ListState::Confirmed);
    }

    /// Returns a receiver of the list state and its changes.
    pub fn list_state(&self) -> watch::Receiver<ListState> {
        self.list_state.subscribe()
    }

    /// Records that a watch is being opened.
    pub fn watch_started(&self) {
        self.discovery_metrics.record_started();
    }

    /// Records that the watch could not be established, or has ended.
    pub fn watch_ended(&self) {
        self.discovery_metrics.record_ended();
        self.list_state.send_replace(ListState::Unreachable);
        self.list_unavailable();
    }

    /// Reports to the decision module that there is no list or no watch, so that it asks again.
    pub fn list_unavailable(&self) {
        self.handle_event(Event::Members { kind: ListKind::Failed, hosts: Vec::new() });
    }

    /// Records the result of a probe.
    pub fn record_probe(&self, host: HostId, outcome: Outcome, load: Option<f64>) {
        self.handle_event(Event::Probed { host, outcome, load });
    }

    /// Passes an event to the decision module and applies the resulting actions.
    fn handle_event(&self, event: Event) {
        let (mut actions, state) = (Vec::new(), &mut *self.state.borrow_mut());
        tracing::debug!("told: {event:?}");
        state.core.handle_event(self.now(), event, &mut actions);
        self.apply_actions(state, actions);
        self.schedule_due(state);
    }

    /// Notifies the task of scheduled work if the next work is due earlier than before.
    fn schedule_due(&self, state: &mut State) {
        let due = state.core.next_due(self.now()).unwrap_or(Micros::MAX);
        if due < self.next_due.get() {
            self.next_due.set(due);
            self.due_changed.notify_one();
        }
    }

    /// Applies the actions that were decided.
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
                        // Cannot fail while the program runs: its main task holds the receiver.
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
                // Fails only for a command that has just ended; it needs no instruction.
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

    /// Returns whether a command with this id is active.
    pub fn has_command(&self, call: &str) -> bool {
        self.state.borrow().commands.contains_key(call)
    }

    /// Accepts a command, or refuses it by its contract or for lack of file descriptors.
    fn accept(self: &Rc<Self>, mut demand: Demand, team: Option<&str>) -> Result<Command, Refused> {
        demand.left = demand.left.saturating_sub(ANSWER_MARGIN).min(self.time_to_answer());
        if demand.left == 0 && self.is_shutting_down() {
            return Err(Refused(None));
        }
        // Contracts are checked first: a flood of commands that they refuse must not use up the descriptors that other
        // teams need.
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
        // Descriptors are reserved before placement: a command that could not open its link would count as a failure of
        // the instance.
        let Some(descriptors) = self.reserve_descriptors(DESCRIPTORS_PER_CONNECTION) else {
            tracing::warn!("no file descriptors are free: a command was refused");
            self.state.borrow_mut().core.withdraw(self.now(), &demand.call);
            return Err(Refused(None));
        };
        // Slightly later than the decision module's own deadline, which starts when it receives the event: otherwise a
        // timeout here comes first, and the module starts one more attempt with no time left.
        let mut command = self.register(&demand.call, demand.left.saturating_add(DEADLINE_GRACE));
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

    /// Runs work that is due without an event, such as changes of reserves and rebalancing moves; does not return.
    pub async fn run_scheduled_work(self: &Rc<Self>) -> ! {
        loop {
            {
                let (mut actions, state) = (Vec::new(), &mut *self.state.borrow_mut());
                state.core.run_due(self.now(), &mut actions);
                for event in state.core.take_rebalance_events() {
                    match event {
                        PlanEvent::Started(n, worst) => tracing::info!(n, worst, "rebalancing started"),
                        PlanEvent::Paused(cause) => tracing::info!(cause, "rebalancing paused"),
                        PlanEvent::Finished(moved, worst) => {
                            tracing::info!(moved, worst, "rebalancing finished")
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

    /// Replaces the contracts in force, or removes them, and returns the changes. The terms must be valid.
    pub fn set_contracts(&self, terms: Option<Terms>) -> Vec<TermsChange> {
        let state = &mut *self.state.borrow_mut();
        let changes = state.core.set_contracts(self.now(), terms);
        self.schedule_due(state);
        changes
    }

    /// Enables rebalancing with these settings, or disables it.
    pub fn set_rebalance(&self, settings: Option<crate::rebalance::RebalanceSettings>) {
        let state = &mut *self.state.borrow_mut();
        state.core.set_rebalance(self.now(), settings);
        self.schedule_due(state);
    }

    /// Enables routing to zones by the fleet's plan.
    pub fn enable_zones(&self, settings: crate::failover::FailoverSettings, context: zones::BalancerContext) {
        self.state.borrow_mut().core.enable_zones(settings, context);
    }

    /// Applies the plan of the replicated state. Connections that it places in another zone are asked to move, at the
    /// rate allowed for the fleet.
    pub fn follow_plan(&self, plan: Option<&Plan>) {
        let state = &mut *self.state.borrow_mut();
        let (moves, changed) = state.core.follow_plan(self.now(), plan);
        match changed {
            Some(Some(serial)) => tracing::info!(serial, "zones: another plan is followed"),
            Some(None) => tracing::warn!("zones: no plan is valid any more: zones are chosen without a plan"),
            None => {}
        }
        self.apply_actions(state, moves);
    }

    /// Returns the digest of this balancer's zone observations and starts the zone probes that are due; `None` without
    /// failover.
    pub fn digest(&self) -> Option<Digest> {
        let state = &mut *self.state.borrow_mut();
        let (digest, probes) = state.core.digest(self.now())?;
        self.apply_actions(state, probes.into_iter().map(|host| Action::Probe { host }).collect());
        Some(digest)
    }

    /// In a group: sets the time, by [`Broker::now`], until which this balancer may rebalance. From then on it moves no
    /// connection, even if the notification that the lease has ended arrives late.
    pub fn may_rebalance_until(&self, until: Micros) {
        let state = &mut *self.state.borrow_mut();
        state.core.may_rebalance_until(until);
        self.schedule_due(state);
    }

    /// Returns the result of `show` on the contracts, or `None` without contracts.
    pub fn contracts<T>(&self, show: impl FnOnce(&Contracts) -> T) -> Option<T> {
        self.state.borrow().core.contracts().map(show)
    }

    /// Counts a command of a class as pending until the returned value is dropped. A command without a result by then
    /// counts as failed.
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
            sent: Cell::new(false),
        })
    }

    /// Returns whether health checks of the client-facing load balancer get a positive answer.
    pub fn passes_health_checks(&self) -> bool {
        self.drain.borrow().passes_health_checks()
    }

    /// Returns a future that completes when a connection that is being moved may no longer wait for data in flight: after
    /// `timeout`, sooner when the process is about to be killed.
    pub fn data_wait(&self, timeout: Micros) -> Sleep {
        self.sleep_until(self.drain.borrow().end_of_data_wait(self.now(), timeout))
    }

    /// Returns a future that completes when a connection may no longer wait for its peer to close: after `timeout`, sooner
    /// when the process is about to be killed.
    pub fn close_wait(&self, timeout: Micros) -> Sleep {
        self.sleep_until(self.drain.borrow().end_of_close_wait(self.now(), timeout))
    }

    /// Returns the established connections, for the handover to the next process.
    pub fn established_connections(&self) -> Vec<HandedOverConnection> {
        self.state.borrow().core.established_connections(self.now())
    }

    /// Counts the connections that are established at the previous process.
    pub fn inherit_connections(&self, connections: Vec<HandedOverConnection>) {
        let state = &mut *self.state.borrow_mut();
        state.core.inherit_connections(self.now(), connections);
        self.schedule_due(state);
    }

    /// Records that the previous process has ended.
    pub fn predecessor_ended(&self) {
        self.state.borrow_mut().core.predecessor_ended(self.now());
    }

    /// Records that this process accepts clients from now on.
    pub fn start_serving(&self) {
        self.drain.borrow_mut().start_serving();
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.drain.borrow().is_shutting_down()
    }

    /// Starts the shutdown: every service client is asked to reconnect between these times, and requests get their answers
    /// before the process may be killed.
    pub fn shut_down(&self, from: Micros, end: Micros) {
        self.drain.borrow_mut().shut_down(from, end);
        self.drain_started.notify_one();
        let Some(answer_limit) = self.drain.borrow().answer_limit() else { return };
        self.answer_limit.send_replace(answer_limit);
        self.state.borrow_mut().core.limit_deadlines(answer_limit.saturating_sub(DEADLINE_GRACE));
    }

    /// Completes at the deadline of a request, sooner when a shutdown leaves no more time for its answer.
    pub async fn request_deadline(&self, deadline: Micros) {
        let mut limit = self.answer_limit.subscribe();
        loop {
            let end = deadline.min(*limit.borrow_and_update());
            tokio::select! {
                () = self.sleep_until(end) => return,
                // The sender lives as long as the broker.
                _ = limit.changed() => {}
            }
        }
    }

    /// Returns the longest time that the decision module may spend on a request that arrives now.
    fn time_to_answer(&self) -> Micros {
        self.answer_limit.borrow().saturating_sub(DEADLINE_GRACE).saturating_sub(self.now())
    }

    /// Returns whether the process, which is shutting down, must close its last connections now.
    pub fn close_limit_passed(&self) -> bool {
        self.drain.borrow().close_limit().is_some_and(|limit| self.now() >= limit)
    }

    /// Asks service clients to reconnect while this balancer drains or shuts down; does not return. Rebalancing is
    /// paused meanwhile, so that moves have one cause at a time.
    pub async fn run_drain(&self) -> ! {
        loop {
            if !self.drain.borrow().is_moving_connections() {
                self.drain_started.notified().await;
            }
            self.sleep(STEP_INTERVAL).await;
            let state = &mut *self.state.borrow_mut();
            state.core.pause_rebalance(self.now(), "the balancer is draining");
            let moves = self.drain.borrow_mut().due_moves(self.now(), state.established.len());
            for call in state.established.drain(..moves) {
                if let Some(command) = state.commands.get(&call) {
                    let _ = command.send(Instruction::Move);
                }
            }
        }
    }

    /// Returns the number of commands, pending and established.
    pub fn active_commands(&self) -> usize {
        self.state.borrow().commands.len()
    }
}

/// Shortest time between two steps of scheduled work and of a drain.
const STEP_INTERVAL: Micros = 20_000;

/// Reserved file descriptors; dropping it returns them.
pub struct DescriptorReservation(Rc<Broker>, usize);

impl Drop for DescriptorReservation {
    fn drop(&mut self) {
        self.0.free_descriptors.set(self.0.free_descriptors.get() + self.1);
    }
}
