//! The group's socket: datagrams under the key, the clock that goes on while the machine sleeps, and what a lease is for
//! here. Decides nothing: [`super::member`] does.

#[cfg(feature = "failpoints")]
use super::failpoint::StopBeforeAct;
use super::folder::VoterFolder;
use super::lease;
use super::member::{Event, Member, TaskSettings};
use super::record;
use super::voter::Voter;
use super::writer::Writer;
use super::{Settings, REBALANCE_TASK};
use crate::api::Micros;
use crate::broker::operations::Operations;
use crate::broker::Broker;
use crate::failover::plan::{OrderKind, Planner};
use crate::failover::FailoverSettings;
use crate::logging;
use crate::peers::seal::{Seal, ADDED, LONGEST};
use crate::peers::{self, Peers};
use rustix::time::{clock_gettime, ClockId};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;

/// Between two looks at what is due.
const TURN: Duration = Duration::from_millis(50);
/// Datagrams that are read before the next turn, at most: a flood of them does not hold up clients for more than milliseconds.
const BATCH: usize = 128;
/// What stands before the membership's own words in a datagram, at most.
const HEAD: usize = 2 + record::MAX_NAME_BYTES + 8;
/// The target of what the maker of plans was told; `oakdeal zones plan` reads it.
pub const EVIDENCE_TARGET: &str = "oakdeal::evidence";
/// Between two reports for the fleet's account, in microseconds.
const REPORT: Micros = 1_000_000;
/// A turn that comes later than it was due by so much is logged, in microseconds.
const LATE_TURN: Micros = 250_000;
/// What operators see is so old at most, in microseconds.
const SHOWN: Micros = 100_000;
/// A clock that runs at another rate, for the rig that tests drift: it is read from here, and from nowhere else.
const RIG: &str = "OAKDEAL_RIG_CLOCK_RATE";

/// What an operator may order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Something of a zone for so many milliseconds, or nothing any more.
    Zone(String, Option<OrderKind>, u64),
    /// Another voter is to lead.
    StepDown,
    /// All tasks held here are to be given back.
    ReleaseTasks,
    /// The program ends.
    LeaveGroup,
}

/// What the group shows, and where it takes orders.
pub struct StatusBoard {
    text: RefCell<String>,
    zones: RefCell<String>,
    orders: UnboundedSender<OperatorCommand>,
}

impl StatusBoard {
    /// What is to be seen, a line each.
    pub fn status(&self) -> String {
        self.text.borrow().clone()
    }

    /// The zones by the fleet's plan, a line each; none where no plan is made.
    pub fn zone_status(&self) -> Option<String> {
        Some(self.zones.borrow().clone()).filter(|text| !text.is_empty())
    }

    /// Gives an order.
    pub fn send(&self, command: OperatorCommand) {
        // Cannot fail while the program runs: the group's task holds the other end.
        let _ = self.orders.send(command);
    }
}

/// Time since the machine started, its sleep included.
struct Clock {
    begun: Micros,
    rate: f64,
}

/// One reading of the clock, in microseconds.
struct Reading {
    /// The machine's time, as it is logged.
    boottime: Micros,
    /// The same moment by this process's clock, which leases count by.
    now: Micros,
}

fn boottime() -> Micros {
    let at = clock_gettime(ClockId::Boottime);
    at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000
}

impl Clock {
    fn new() -> Clock {
        let rate = std::env::var(RIG).ok().and_then(|rate| rate.parse().ok()).unwrap_or(1.0);
        Clock { begun: boottime(), rate }
    }

    fn read(&self) -> Reading {
        let boottime = boottime();
        let now = self.begun + ((boottime - self.begun) as f64 * self.rate) as Micros;
        Reading { boottime, now }
    }

    fn now(&self) -> Micros {
        self.read().now
    }
}

/// The group's task; it has a socket from here on.
pub struct Group {
    member: Member<Writer>,
    /// Notified when the voter's storage has kept something.
    kept: Arc<Notify>,
    socket: UdpSocket,
    seal: Seal,
    clock: Clock,
    orders: UnboundedReceiver<OperatorCommand>,
    board: Rc<StatusBoard>,
    #[cfg(feature = "failpoints")]
    stop_before_act: StopBeforeAct,
    /// How often it tells what it sees of the zones, where the fleet has a plan for them.
    tells: Option<Micros>,
}

impl Group {
    /// Reads key and folder and binds the socket. `name`: how the platform calls this process.
    pub async fn start(
        settings: Settings,
        name: &str,
        started: u64,
        seed: u64,
    ) -> Result<(Group, Rc<StatusBoard>), String> {
        let name = settings.name.as_deref().unwrap_or(name);
        let said = |what: String| format!("[group]: {what}");
        let seal = Seal::read(&settings.key).map_err(said)?;
        let clock = Clock::new();
        let terms = lease::LeaseTerms { duration: settings.lease_span, drift_ppm: settings.drift };
        let mut voter = None;
        let kept_notify = Arc::new(Notify::new());
        if settings.voters.iter().any(|voter| voter == name) {
            let folder =
                settings.folder.as_ref().ok_or_else(|| said(format!("{name} votes: give it a `folder`")))?;
            match VoterFolder::open(folder, name) {
                Ok((folder, kept)) => {
                    let others = &settings.voters;
                    let writer =
                        Writer::start(folder, kept_notify.clone()).map_err(|e| said(e.to_string()))?;
                    let made = Voter::new(clock.now(), name, others, terms, writer, kept);
                    voter = Some(made.map_err(|e| said(format!("{name} {e}")))?);
                }
                // It serves, and watches like any other: nobody's clients are to suffer for it.
                Err(e) => tracing::error!("group: {name} does not vote: {e}"),
            }
        }
        let me = peers::Member {
            name: name.into(),
            address: settings.listen,
            started,
            renewed: 0,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            settings: settings.fingerprint,
            drains: false,
        };
        let book = settings.members.iter().filter(|(other, _)| *other != name);
        let book = book.map(|(name, at)| (name.clone(), *at)).collect();
        let peers = Peers::new(me, book, settings.probe_interval, LONGEST - ADDED - HEAD, seed);
        let (tasks, max_hold, account_interval) =
            (settings.tasks, settings.max_hold, settings.account_interval);
        let task_settings = TaskSettings { tasks, max_hold, account_interval };
        let member = Member::new(clock.now(), peers, &settings.voters, voter, terms, task_settings);
        let socket = UdpSocket::bind(settings.listen).await;
        let socket = socket
            .map_err(|e| said(format!("listen {}: {e}; give an address that is free", settings.listen)))?;
        let (orders, heard) = unbounded_channel();
        let board = Rc::new(StatusBoard { text: RefCell::default(), zones: RefCell::default(), orders });
        tracing::info!("{name} is in the group at {}", settings.listen);
        let kept = kept_notify;
        let group = Group {
            member,
            kept,
            socket,
            seal,
            clock,
            orders: heard,
            board: board.clone(),
            #[cfg(feature = "failpoints")]
            stop_before_act: StopBeforeAct::from_env(),
            tells: None,
        };
        Ok((group, board))
    }

    /// Zones by a plan, made of these zones and classes, the worthiest first.
    pub fn enable_zone_plans(&mut self, terms: &FailoverSettings, zones: &[String], classes: Vec<String>) {
        self.tells = Some(terms.digest_interval);
        self.member.set_planner(Planner::new(terms.clone(), zones.to_vec(), classes));
    }

    /// Goes on until the program ends.
    pub async fn run(mut self, broker: Rc<Broker>) {
        let operations = Operations::new(broker.clone());
        let mut buffer = [0; 2 * LONGEST];
        let (mut unsealed, mut shown, mut counted, mut told) = (0u64, 0, 0, 0);
        let mut turned = self.clock.now();
        loop {
            tokio::select! {
                biased;
                order = self.orders.recv() => {
                    let now = self.clock.now();
                    match order {
                        Some(OperatorCommand::StepDown) => drop(self.member.step_down()),
                        Some(OperatorCommand::ReleaseTasks) => self.member.release_all_tasks(now),
                        Some(OperatorCommand::Zone(zone, wish, lasts)) => self.member.order_zone(&zone, wish, lasts),
                        Some(OperatorCommand::LeaveGroup) => {
                            self.member.leave(now);
                            self.send_messages();
                            self.tell(&broker);
                            return;
                        }
                        None => return,
                    }
                }
                _ = self.socket.readable() => {
                    // All that has come: a voter hands its storage one write a turn, and clients wait for the turn.
                    for _ in 0..BATCH {
                        let n = match self.socket.try_recv_from(&mut buffer) {
                            Ok((n, _)) => n,
                            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                            // A word of the network on an earlier datagram, and nothing to us.
                            Err(_) => continue,
                        };
                        match self.seal.open(&buffer[..n]) {
                            Some(words) => self.member.receive(self.clock.now(), words),
                            None => {
                                unsealed += 1;
                                if unsealed.is_power_of_two() {
                                    tracing::warn!("group: {unsealed} datagrams were not under our key");
                                }
                            }
                        }
                    }
                }
                () = self.kept.notified() => {}
                () = tokio::time::sleep(TURN) => {}
            }
            let now = self.clock.now();
            let since_last_turn_us = now.saturating_sub(turned);
            if since_last_turn_us > LATE_TURN {
                tracing::warn!(since_last_turn_us, "group: a turn came late");
            }
            turned = now;
            self.member.set_draining(now, !operations.ready());
            if now >= counted + REPORT {
                counted = now;
                let rows =
                    broker.contracts(|contracts| contracts.account_rows(broker.now())).unwrap_or_default();
                self.member.report_usage(now, &rows);
            }
            if let Some(digest) = self.tells.filter(|every| now >= told + every).and_then(|_| broker.digest())
            {
                told = now;
                self.member.report_digest(now, digest);
            }
            self.member.tick(now);
            #[cfg(feature = "failpoints")]
            if self.member.has_pending_actions() {
                self.stop_before_act.reached();
            }
            self.send_messages();
            self.tell(&broker);
            if self.tells.is_some() {
                broker.follow(self.member.record().plan.as_ref());
            }
            if now >= shown + SHOWN {
                shown = now;
                *self.board.text.borrow_mut() = self.member.status_text(now);
                if self.tells.is_some() {
                    *self.board.zones.borrow_mut() = self.member.zone_status_text(now);
                }
            }
            // Else it would go on for as long as datagrams come, up to the runtime's own bound, before a client is looked at.
            tokio::task::yield_now().await;
        }
    }

    fn send_messages(&mut self) {
        while let Some((to, words)) = self.member.next_message(self.clock.now()) {
            if let Some(datagram) = self.seal.seal(&words) {
                // What finds no room is lost like any other datagram.
                let _ = self.socket.try_send_to(&datagram, to);
            } else {
                tracing::error!("group: {} bytes are too long for a datagram", words.len());
            }
        }
    }

    fn tell(&mut self, broker: &Broker) {
        loop {
            let Reading { boottime, now } = self.clock.read();
            let Some(event) = self.member.next_event(now) else { break };
            log_event(event, boottime);
        }
        self.extend_rebalancing(broker);
    }

    /// Has the broker rebalance for as long as the lease lasts, by the broker's clock. That clock is read first: what passes between
    /// the two readings shortens the time and never lengthens it.
    fn extend_rebalancing(&self, broker: &Broker) {
        let broker_now = broker.now();
        let left = self.member.lease_left(self.clock.now(), REBALANCE_TASK);
        broker.may_rebalance_until(broker_now.saturating_add(left));
    }
}

/// Logs an event; `us` is the reading of the clock by which it was allowed, in microseconds.
fn log_event(event: Event, us: Micros) {
    match event {
        Event::PeerChanged(peers::Note::Up(name)) => tracing::info!("group: {name} is there"),
        Event::PeerChanged(peers::Note::Down(name)) => tracing::info!("group: {name} is gone"),
        Event::LeaseAcquired(task, token) => tracing::info!(us, "group: {task} is ours under token {token}"),
        Event::LeaseEnded(task, token) => {
            tracing::info!(us, "group: {task} is no longer ours under token {token}")
        }
        Event::Action(action, passes) => {
            let (task, token, holder) = (action.task, action.token, action.holder);
            tracing::debug!(target: "oakdeal::act", task, holder, token, us, passes, "act");
            if !passes {
                tracing::warn!("group: an act of {holder} on {task} came late, under token {token}: refused");
            }
        }
        Event::VotingStopped(e) => tracing::error!("group: votes no more: {e}"),
        Event::DigestReceived(digest) => {
            let digest = serde_json::to_string(&digest).unwrap_or_default();
            tracing::debug!(target: EVIDENCE_TARGET, us, digest, "seen");
        }
        Event::PlanProposed(plan) => {
            for (name, zone) in &plan.zones {
                let (state, why, serial) = (zone.state.name(), &zone.reason, plan.serial);
                tracing::info!(serial, zone = name, state, why, "zones: planned");
            }
        }
        Event::AccountPage(page) => {
            let (number, token, missing) = (page.number, page.token, page.missing.join(" "));
            page.rows.iter().for_each(|(name, started, row)| logging::account(name, *started, row));
            let rows = page.rows.len();
            tracing::info!(target: "oakdeal::page", page = number, token, rows, missing, us, "page of the account");
        }
    }
}
