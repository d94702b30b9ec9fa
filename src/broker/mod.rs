//! The core: owns the decision module and carries out what it says. It knows no bytes; the fronts see
//! [`carry`], [`Client`], [`Dialer`] and [`Command`].
//!
//! The shop's words: a *command* is a request, an *execution* one attempt at it, an *instance* a session
//! server, a *nack* a refusal, the *service client* whoever asks.

pub mod core;
pub mod deadlines;
pub mod drain;
pub mod figures;
pub mod handover;
pub mod instances;
pub mod loads;
pub mod operations;

use crate::api::*;
use crate::contracts::{Change, Contracts, Terms};
use crate::rebalance::Note;
use crate::wire::Names;
use core::Core;
use deadlines::{Clock, Deadlines, Wait};
use drain::Drain;
use figures::{End, Figures, Members, Tally};
use handover::Stand;
use instances::{Instances, Listing};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;

/// Descriptors of a connection with a command: its own and its link's.
const CONNECTION: usize = 2;
/// Answers leave this long before the service client gives up, so that they arrive in time.
const ANSWER_AHEAD: Micros = 15_000;
/// News of slow messages comes once a second and instance, as the module's event means it.
const SLOW_EVERY: Micros = 1_000_000;
/// A load is told with `UP`: a figure that comes later than this after it is no opening one. At an instance that
/// is overloaded the first that comes may be a time, for a connection that is idle tells no load.
const OPENING: Micros = 50_000;
/// A connection on which an instance brings nothing back for a message is ended after this long: it may have
/// stopped up to two seconds before the message, and is owed its end within seven.
pub const SILENT: Micros = 4_500_000;
/// And sooner where the instance works, for others heard of it meanwhile: then this connection alone has stopped.
const ALONE: Micros = 3_000_000;

/// What the core asks of the network beside executions.
#[derive(Debug)]
pub enum Order {
    /// Probe an instance and say how it went with [`Broker::probed`].
    Probe(HostId, SocketAddr),
    /// Watch discovery from this version of the list on, and say so when the watch ends.
    Watch(u64),
    /// Discovery is at this address from now on.
    Discovery(SocketAddr),
}

/// What the module, or the program's end, says to a command.
#[derive(Debug)]
enum Word {
    Execute { instance: HostId, patience: Micros },
    Nack(Option<Micros>),
    Fail,
    Move,
}

/// Why a command has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The module gave it up, and part of it may have run.
    GivenUp,
    /// No answer came before the service client's deadline.
    Deadline,
    /// The service client spoke before it had its answer.
    OutOfTurn,
}

/// Why a command is over before its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// The service client has left.
    Left,
    /// It broke the protocol, and is owed a failure.
    OutOfTurn,
}

/// How a standing connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The instance has served it to its end.
    Served,
    /// The instance broke it.
    Broken,
    /// The service client left, or was asked to come again.
    Left,
}

/// One attempt, as a front sees it.
pub struct Execution {
    /// The instance.
    pub instance: HostId,
    /// Its name.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// When it is given up.
    pub until: Micros,
    tally: Rc<Tally>,
    broker: Rc<Broker>,
}

impl Execution {
    /// Whether the instance takes new work still: to be asked right before the first byte, since it may have
    /// begun to drain while the connection was made.
    pub fn still_open(&self) -> bool {
        self.broker.state.borrow().instances.takes(self.instance)
    }

    /// Its first words were written whole: from now on it may run.
    pub fn written(&self) {
        self.tally.attempt();
    }

    /// What is left of its time.
    pub fn left(&self) -> Micros {
        self.until.saturating_sub(self.broker.now())
    }
}

/// A front's side that faces instances.
#[allow(async_fn_in_trait)] // one thread: no future needs to be `Send`
pub trait Dialer {
    /// An open connection to an instance that has accepted.
    type Link;
    /// Makes an execution; dropping the future gives it up and closes what it opened.
    async fn execute(&self, execution: &Execution) -> Result<Self::Link, Outcome>;
}

/// A front's side that faces a service client.
#[allow(async_fn_in_trait)]
pub trait Client {
    /// An open connection to an instance that has accepted.
    type Link;
    /// Ends when the service client has left, or has lost its claim to be served.
    async fn gone(&mut self) -> Gone;
    /// Passes everything on, both ways, until the connection ends.
    async fn stand(&mut self, link: Self::Link, command: &mut Command) -> Ended;
    /// Final answer: refused; come again after so long.
    async fn nack(&mut self, after: Option<Micros>);
    /// Final answer: failed.
    async fn fail(&mut self, why: Failure);
}

/// Refused before anything was spent on it, by its contract or for want of descriptors; come again after so long.
struct Refused(Option<Micros>);

/// A command's life, from its arrival to its final answer and on to the end of its connection.
pub async fn carry<C, D>(broker: &Rc<Broker>, demand: Demand, team: Option<&str>, client: &mut C, dialer: &D)
where
    C: Client,
    D: Dialer<Link = C::Link>,
{
    let tally = broker.tally(demand.class);
    let mut command = match broker.take(demand, team) {
        Ok(command) => command,
        Err(Refused(after)) => {
            tally.ends(End::Rejected);
            return client.nack(after).await;
        }
    };
    let link = loop {
        // The module's next word: it may be waiting for a probe.
        let word = tokio::select! {
            biased;
            word = command.word() => word,
            gone = client.gone() => return command.gone(gone, client).await,
        };
        let (instance, patience) = match word {
            Word::Execute { instance, patience } => (instance, patience),
            Word::Nack(after) => {
                tally.ends(End::Rejected);
                return client.nack(after).await;
            }
            Word::Fail => {
                tally.ends(End::Failed);
                return client.fail(command.failure()).await;
            }
            Word::Move => continue,
        };
        let Some(execution) = command.begin(instance, patience, &tally) else { continue };
        let came = tokio::select! {
            biased;
            came = dialer.execute(&execution) => came,
            () = broker.until(execution.until) => Err(Outcome::Timeout),
            // Dropping `execute` closes the attempt before its end is told: never two outstanding.
            gone = client.gone() => return command.gone(gone, client).await,
        };
        match came {
            Ok(link) => break link,
            Err(outcome) => command.finished(outcome),
        }
    };
    command.opened();
    tally.ends(End::Completed);
    let ended = client.stand(link, &mut command).await;
    command.ended(ended);
}

/// A connection that stood at this instance before the program started: it goes there and nowhere else, as
/// often as it takes until the client's time is up.
pub async fn carry_on<C, D>(
    broker: &Rc<Broker>,
    demand: Demand,
    team: Option<&str>,
    instance: HostId,
    client: &mut C,
    dialer: &D,
) where
    C: Client,
    D: Dialer<Link = C::Link>,
{
    let tally = broker.tally(demand.class);
    let Some(_both) = broker.descriptors(CONNECTION) else {
        tally.ends(End::Rejected);
        return client.nack(None).await;
    };
    let until = broker.now().saturating_add(demand.left).saturating_sub(ANSWER_AHEAD);
    let link = loop {
        let tried = async {
            let execution = broker.execution(instance, until, &tally)?;
            dialer.execute(&execution).await.ok()
        };
        let came = tokio::select! {
            biased;
            came = tried => came,
            () = broker.until(until) => return client.fail(Failure::Deadline).await,
            gone = client.gone() => return part(gone, client).await,
        };
        match came {
            Some(link) => break link,
            None => broker.until(broker.now() + ADOPT_AGAIN).await,
        }
        if broker.now() >= until {
            return client.fail(Failure::Deadline).await;
        }
    };
    tally.ends(End::Completed);
    let mut command = broker.adopt(demand, team, instance);
    let ended = client.stand(link, &mut command).await;
    command.ended(ended);
}

async fn part<C: Client>(gone: Gone, client: &mut C) {
    if gone == Gone::OutOfTurn {
        client.fail(Failure::OutOfTurn).await
    }
}

/// Between two tries to take up a connection that stood before.
const ADOPT_AGAIN: Micros = 200_000;

#[derive(Default)]
struct State {
    core: Core,
    instances: Instances,
    commands: BTreeMap<CallId, UnboundedSender<Word>>,
    /// Standing connections, in the order in which they came.
    standing: VecDeque<CallId>,
}

/// The core of one balancer.
pub struct Broker {
    state: RefCell<State>,
    clock: Clock,
    deadlines: Rc<Deadlines>,
    names: Names,
    /// Whether instances tell how long messages take there.
    delays_told: bool,
    /// It is one of so many that it mostly has one connection at an instance.
    many: bool,
    /// The longest that a client waits.
    longest: Micros,
    class_deadlines: Vec<Micros>,
    /// When contracts are looked at next, and what says that it has become sooner.
    turn_at: Cell<Micros>,
    sooner: Notify,
    connect_timeout: Micros,
    must_ask_in: Option<Micros>,
    orders: UnboundedSender<Order>,
    descriptors: Cell<usize>,
    drain: RefCell<Drain>,
    figures: Rc<Figures>,
    /// Says that moves of a drain are to be looked at.
    drains: Notify,
    /// Says that discovery has told the list.
    told: Notify,
}

impl Broker {
    /// A core that knows no instance yet; `descriptors` is how many the connections may hold.
    pub fn new(
        settings: Settings,
        names: Names,
        seed: u64,
        descriptors: usize,
    ) -> Result<(Rc<Broker>, UnboundedReceiver<Order>), SettingsError> {
        let ((orders, ordered), classes) = (unbounded_channel(), settings.classes.len());
        let broker = Broker {
            delays_told: settings.delays_told,
            many: settings.peers_total > crate::brain::SPREAD.1,
            longest: settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
            turn_at: Cell::new(Micros::MAX),
            sooner: Notify::new(),
            class_deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
            connect_timeout: settings.connect_timeout,
            must_ask_in: settings.must_ask_in,
            state: RefCell::new(State { core: Core::new(settings, &names, seed)?, ..State::default() }),
            clock: Clock::new(),
            deadlines: Rc::default(),
            names,
            orders,
            descriptors: Cell::new(descriptors),
            drain: RefCell::default(),
            figures: Figures::new(classes),
            drains: Notify::new(),
            told: Notify::new(),
        };
        Ok((Rc::new(broker), ordered))
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Ends at that time.
    pub fn until(&self, at: Micros) -> Wait {
        self.deadlines.until(at)
    }

    /// Ends after that long.
    pub fn after(&self, span: Micros) -> Wait {
        self.until(self.now().saturating_add(span))
    }

    /// Names of classes, tenants and zones.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// How long the list may go unasked for.
    pub fn must_ask_in(&self) -> Micros {
        self.must_ask_in.unwrap_or(Micros::MAX)
    }

    /// How long a connection to an instance may take to come up.
    pub fn connect_timeout(&self) -> Micros {
        self.connect_timeout
    }

    /// How long a service client of a class waits.
    pub fn deadline(&self, class: usize) -> Micros {
        self.class_deadlines.get(class).copied().filter(|&d| d > 0).unwrap_or(self.longest.max(1_000_000))
    }

    /// The longest that any service client waits.
    pub fn longest(&self) -> Micros {
        self.longest
    }

    /// Takes descriptors out of the budget until the guard is dropped; none where too few are left.
    pub fn descriptors(self: &Rc<Self>, n: usize) -> Option<Descriptors> {
        self.descriptors.set(self.descriptors.get().checked_sub(n)?);
        Some(Descriptors(self.clone(), n))
    }

    /// Sweeps the deadlines for ever.
    pub async fn sweep(&self) {
        self.deadlines.sweep(self.clock, |token| self.tell(Event::Timer { token })).await
    }

    /// Discovery is at this address from now on.
    pub fn discovery_at(&self, address: SocketAddr) {
        // Cannot fail while the program runs: main holds the other end.
        let _ = self.orders.send(Order::Discovery(address));
    }

    /// Version of the list held.
    pub fn list_version(&self) -> u64 {
        self.state.borrow().instances.index
    }

    /// News of the list.
    pub fn listed(&self, kind: ListKind, listing: Listing) {
        if kind != ListKind::Cached {
            self.told.notify_one();
        }
        let hosts = self.state.borrow_mut().instances.news(kind, listing, &self.names);
        self.tell(Event::Members { kind, hosts });
    }

    /// The watch could not be had, or has ended.
    pub fn watch_ended(&self) {
        self.tell(Event::Members { kind: ListKind::Failed, hosts: Vec::new() });
    }

    /// How a probe went.
    pub fn probed(&self, host: HostId, outcome: Outcome, load: Option<f64>) {
        self.tell(Event::Probed { host, outcome, load });
    }

    /// The one way to the module.
    fn tell(&self, event: Event) {
        let (mut actions, state) = (Vec::new(), &mut *self.state.borrow_mut());
        tracing::debug!("told: {event:?}");
        state.core.tell(self.now(), event, &mut actions);
        self.carry_out(state, actions);
        self.look(state);
    }

    /// Has the core looked at when it next wants it.
    fn look(&self, state: &mut State) {
        let due = state.core.due(self.now()).unwrap_or(Micros::MAX);
        if due < self.turn_at.get() {
            self.turn_at.set(due);
            self.sooner.notify_one();
        }
    }

    /// Carries out what was decided.
    fn carry_out(&self, state: &State, actions: Vec<Action>) {
        if !actions.is_empty() {
            tracing::debug!("decided: {actions:?}");
        }
        for action in actions {
            let (call, word) = match action {
                Action::Send { call, host, patience } => (call, Word::Execute { instance: host, patience }),
                Action::Refuse { call, retry_after } => (call, Word::Nack(retry_after)),
                Action::Fail { call } => (call, Word::Fail),
                Action::Move { call } => (call, Word::Move),
                Action::Timer { at, token } => {
                    self.deadlines.remind(at, token);
                    continue;
                }
                Action::Probe { host } => {
                    if let Some(instance) = state.instances.get(host) {
                        // Cannot fail while the program runs: main holds the other end.
                        let _ = self.orders.send(Order::Probe(host, instance.address));
                    }
                    continue;
                }
                Action::Watch => {
                    let _ = self.orders.send(Order::Watch(state.instances.index));
                    continue;
                }
            };
            if let Some(command) = state.commands.get(&call) {
                // A command that has just ended needs no word.
                let _ = command.send(word);
            }
        }
    }

    fn register(self: &Rc<Self>, call: &CallId, left: Micros) -> Command {
        let (words, heard) = unbounded_channel();
        self.state.borrow_mut().commands.insert(call.clone(), words);
        let deadline = self.now().saturating_add(left);
        Command {
            broker: self.clone(),
            id: call.clone(),
            heard,
            deadline,
            late: false,
            out: None,
            executions: 0,
            loaded: false,
            stands: false,
            over: false,
            descriptors: None,
        }
    }

    /// Whether this id is in hand already.
    pub fn knows(&self, call: &str) -> bool {
        self.state.borrow().commands.contains_key(call)
    }

    /// Takes a command on, unless contracts refuse it.
    fn take(self: &Rc<Self>, mut demand: Demand, team: Option<&str>) -> Result<Command, Refused> {
        demand.left = demand.left.saturating_sub(ANSWER_AHEAD);
        // Contracts first: a flood that they refuse must not use up what the others' links need.
        let admitted = {
            let state = &mut *self.state.borrow_mut();
            let admitted = state.core.admit(self.now(), &mut demand, team);
            self.look(state);
            admitted
        };
        if let Err(no) = admitted {
            tracing::debug!(team, reason = no.reason.name(), "refused by contract");
            return Err(Refused(no.after));
        }
        // Counted before it is placed: one that cannot have its link must not fail at its instance.
        let Some(both) = self.descriptors(CONNECTION) else {
            tracing::warn!("the descriptors are used up: a command was turned away");
            self.state.borrow_mut().core.withdraw(self.now(), &demand.call);
            return Err(Refused(None));
        };
        // A little after the module's own deadline, which it counts from when it is told: else a time-out at
        // the deadline comes before it, and the module tries once more with no time left.
        let mut command = self.register(&demand.call, demand.left.saturating_add(1_000));
        command.descriptors = Some(both);
        self.tell(Event::Demand(demand));
        Ok(command)
    }

    fn adopt(self: &Rc<Self>, demand: Demand, team: Option<&str>, host: HostId) -> Command {
        let mut command = self.register(&demand.call, Micros::MAX);
        command.out = Some((host, self.now()));
        command.executions = 1;
        {
            let state = &mut *self.state.borrow_mut();
            let actions = state.core.adopt(self.now(), demand, team, host);
            self.carry_out(state, actions);
            self.look(state);
        }
        command.stand();
        command
    }

    /// Does what is due without an event, for ever.
    pub async fn keep_contracts(self: &Rc<Self>) -> ! {
        loop {
            {
                let (mut actions, state) = (Vec::new(), &mut *self.state.borrow_mut());
                state.core.turn(self.now(), &mut actions);
                for note in state.core.notes() {
                    match note {
                        Note::Begins(n, worst) => tracing::info!(n, worst, "rebalancing begins"),
                        Note::Rests(cause) => tracing::info!(cause, "rebalancing rests"),
                        Note::Ended(moved, worst) => tracing::info!(moved, worst, "rebalancing has ended"),
                    }
                }
                self.carry_out(state, actions);
                self.turn_at.set(state.core.due(self.now()).unwrap_or(Micros::MAX));
            }
            tokio::select! {
                () = self.until(self.turn_at.get().max(self.now() + TURN)) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Other contracts are in force from now on, or none: what changed. The terms must be valid.
    pub fn contract(&self, terms: Option<Terms>) -> Vec<Change> {
        let state = &mut *self.state.borrow_mut();
        let changes = state.core.contract(self.now(), terms);
        self.look(state);
        changes
    }

    /// Slow rebalancing by these terms from now on, or none.
    pub fn rebalance(&self, terms: Option<crate::rebalance::Terms>) {
        let state = &mut *self.state.borrow_mut();
        state.core.rebalance(self.now(), terms);
        self.look(state);
    }

    /// Shows the contracts, where there are any.
    pub fn contracts<T>(&self, show: impl FnOnce(&Contracts) -> T) -> Option<T> {
        self.state.borrow().core.contracts().map(show)
    }

    /// Books a command of a class until this is dropped: one that is given no end by then has failed.
    pub fn tally(&self, class: usize) -> Rc<Tally> {
        Rc::new(self.figures.taken(class))
    }

    fn members(&self) -> Members {
        let state = self.state.borrow();
        let (listed, takes) = (state.instances.len(), state.core.takes(self.now()));
        Members { listed, avoided: listed.saturating_sub(takes) }
    }

    fn execution(self: &Rc<Self>, instance: HostId, until: Micros, tally: &Rc<Tally>) -> Option<Execution> {
        let state = self.state.borrow();
        let (name, address) = state.instances.get(instance).map(|i| (i.name.clone(), i.address))?;
        Some(Execution { instance, name, address, until, tally: tally.clone(), broker: self.clone() })
    }

    /// Whether the front is told to send clients.
    pub fn invites(&self) -> bool {
        self.drain.borrow().invites()
    }

    /// What stands here, for the process after this one.
    pub fn stands(&self) -> Vec<Stand> {
        self.state.borrow().core.stands(self.now())
    }

    /// What stands at the process before this one.
    pub fn inherit(&self, stands: Vec<Stand>) {
        self.state.borrow_mut().core.inherit(self.now(), stands);
    }

    /// The process before this one has ended.
    pub fn alone(&self) {
        self.state.borrow_mut().core.alone(self.now());
    }

    /// Clients are taken from now on.
    pub fn begin(&self) {
        self.drain.borrow_mut().begin();
    }

    /// Whether the program is to end.
    pub fn leaving(&self) -> bool {
        self.drain.borrow().leaves()
    }

    /// Ends once discovery has told the list in this run.
    pub async fn told(&self) {
        self.told.notified().await;
    }

    /// The program is to end: every service client is asked to come again between these times.
    pub fn leave(&self, from: Micros, end: Micros) {
        self.drain.borrow_mut().leave(from, end);
        self.drains.notify_one();
    }

    /// Asks service clients to come again while this balancer drains or leaves, for ever. Rebalancing rests
    /// meanwhile: one cause of moves at a time.
    pub async fn keep_drain(&self) -> ! {
        loop {
            if !self.drain.borrow().empties() {
                self.drains.notified().await;
            }
            self.after(TURN).await;
            let state = &mut *self.state.borrow_mut();
            state.core.rests(self.now(), "the balancer drains");
            let moves = self.drain.borrow_mut().moves(self.now(), state.standing.len());
            for call in state.standing.drain(..moves) {
                if let Some(command) = state.commands.get(&call) {
                    let _ = command.send(Word::Move);
                }
            }
        }
    }

    /// How many commands are in hand or stand.
    pub fn in_hand(&self) -> usize {
        self.state.borrow().commands.len()
    }
}

/// Between two looks at what is done bit by bit.
const TURN: Micros = 20_000;

/// A part of the descriptor budget.
pub struct Descriptors(Rc<Broker>, usize);

impl Drop for Descriptors {
    fn drop(&mut self) {
        self.0.descriptors.set(self.0.descriptors.get() + self.1);
    }
}

/// One command in hand. Whatever becomes of it, its execution gives exactly one `Finished`, and the module
/// is told when it is over: at the latest when this is dropped.
pub struct Command {
    broker: Rc<Broker>,
    id: CallId,
    heard: UnboundedReceiver<Word>,
    deadline: Micros,
    late: bool,
    /// The execution that is out, and since when.
    out: Option<(HostId, Micros)>,
    executions: u32,
    /// Its load has been told.
    loaded: bool,
    stands: bool,
    over: bool,
    /// Its own and its link's.
    descriptors: Option<Descriptors>,
}

impl Command {
    /// The core.
    pub fn broker(&self) -> &Rc<Broker> {
        &self.broker
    }

    /// The next word; at the deadline, failed: the service client is owed an answer before it gives up.
    async fn word(&mut self) -> Word {
        let word = tokio::select! {
            biased;
            word = self.heard.recv() => word,
            () = self.broker.until(self.deadline) => {
                self.late = true;
                None
            }
        };
        match word {
            Some(word) => {
                self.over |= matches!(word, Word::Nack(_) | Word::Fail);
                word
            }
            None => {
                self.vanish();
                Word::Fail
            }
        }
    }

    fn failure(&self) -> Failure {
        if self.late {
            Failure::Deadline
        } else {
            Failure::GivenUp
        }
    }

    /// The execution that the module asked for; none where the instance has left the list meanwhile.
    fn begin(&mut self, instance: HostId, patience: Micros, tally: &Rc<Tally>) -> Option<Execution> {
        let now = self.broker.now();
        self.out = Some((instance, now));
        self.executions += 1;
        let until = now.saturating_add(patience).min(self.deadline);
        let execution = self.broker.execution(instance, until, tally);
        if execution.is_none() {
            self.finished(Outcome::Moot);
        }
        execution
    }

    fn finish(&mut self, outcome: Outcome, ended: bool) {
        let Some((host, since)) = self.out.take() else { return };
        let (call, attempt) = (self.id.clone(), self.executions - 1);
        let elapsed = self.broker.now().saturating_sub(since);
        self.broker.tell(Event::Finished { call, attempt, host, outcome, elapsed, ended });
    }

    fn finished(&mut self, outcome: Outcome) {
        self.finish(outcome, false);
    }

    fn opened(&mut self) {
        if let Some((host, since)) = self.out {
            let elapsed = self.broker.now().saturating_sub(since);
            self.broker.tell(Event::Opened { call: self.id.clone(), host, elapsed });
        }
        self.stand();
    }

    fn stand(&mut self) {
        self.stands = true;
        self.broker.state.borrow_mut().standing.push_back(self.id.clone());
    }

    fn ended(&mut self, how: Ended) {
        self.over = true;
        let outcome = match how {
            Ended::Served => Outcome::Ok,
            Ended::Broken => Outcome::Reset,
            Ended::Left => Outcome::Cancelled,
        };
        self.finish(outcome, true);
    }

    fn vanish(&mut self) {
        if !std::mem::replace(&mut self.over, true) {
            self.broker.tell(Event::Vanished { call: self.id.clone() });
        }
        self.finish(Outcome::Cancelled, true);
    }

    /// The attempt's end is told before the service client is: never two outstanding.
    async fn gone<C: Client>(mut self, gone: Gone, client: &mut C) {
        self.vanish();
        part(gone, client).await
    }

    /// Ends when the service client is to be asked to come again.
    pub async fn moved(&mut self) {
        loop {
            match self.heard.recv().await {
                Some(Word::Move) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// A figure that its instance tells on the connection: the load of this one, or, where the settings say so
    /// and it looks like one, how long messages take there. A load is told once when the connection opens.
    pub fn told(&mut self, figure: f64) {
        let Some((host, since)) = self.out else { return };
        let now = self.broker.now();
        // Among few balancers others tell of the instance too, and one idle connection must not speak for it.
        let (many, window) = (self.broker.many, if self.broker.many { OPENING } else { SLOW_EVERY });
        let opening = !std::mem::replace(&mut self.loaded, true) && now < since.saturating_add(window);
        let young = many && now < since.saturating_add(SLOW_EVERY);
        if self.broker.delays_told && !opening {
            let mut state = self.broker.state.borrow_mut();
            let delay = state.instances.get_mut(host).and_then(|i| i.pulse.delay(now, figure, young));
            drop(state);
            if let Some(delay) = delay {
                return self.broker.tell(Event::DelayNote { host, delay });
            }
        }
        self.broker.tell(Event::LoadNote { call: self.id.clone(), load: figure });
    }

    /// A message has been out for so long; whether its connection is to be ended for it. Unless others hear of
    /// the instance meanwhile, the module is told, once a second and instance.
    pub fn silent(&self, span: Micros) -> bool {
        let Some((host, _)) = self.out else { return true };
        let now = self.broker.now();
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return span >= SILENT };
            if instance.heard > now.saturating_sub(span) {
                // It works: what is wrong is with this connection, and no reason to leave the instance.
                return span >= ALONE;
            }
            if span < SLOW_EVERY || instance.slow.is_some_and(|told| now < told.saturating_add(SLOW_EVERY)) {
                return span >= SILENT;
            }
            instance.slow = Some(now);
        }
        self.broker.tell(Event::DelayNote { host, delay: span });
        span >= SILENT
    }

    /// A message came back after so long. The module hears of it where it has heard of silence. How long it
    /// took says nothing else: an instance returns it at once however much work is piled up there, and what we
    /// see are delays of our own.
    pub fn heard(&self, span: Micros) {
        let Some((host, _)) = self.out else { return };
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return };
            instance.heard = self.broker.now();
            if instance.slow.take().is_none() {
                return;
            }
        }
        self.broker.tell(Event::DelayNote { host, delay: span });
    }
}

impl Drop for Command {
    fn drop(&mut self) {
        // A connection that ends in no other way, even by a bug of ours, must not stay on the books.
        if self.out.is_some() || !self.over {
            self.vanish();
        }
        let mut state = self.broker.state.borrow_mut();
        state.commands.remove(&self.id);
        if self.stands {
            state.standing.retain(|id| *id != self.id);
        }
    }
}
