//! Runs a member of the group: its socket with authenticated datagrams, its clock, which also counts while the machine sleeps,
//! and the effects of its events on this process. All decisions are made by [`super::member`].

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
use crate::peers::seal::{GroupKey, MAX_DATAGRAM_BYTES, SEAL_OVERHEAD};
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

/// Maximum time between two calls of [`Member::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of datagrams read before the next tick, so that a flood of them delays clients by milliseconds at most.
const MAX_DATAGRAMS_PER_TICK: usize = 128;
/// Maximum length in bytes of what precedes the membership packet in a datagram: kind, name with its length, record version.
const MAX_GOSSIP_HEADER_BYTES: usize = 2 + record::MAX_NAME_BYTES + 8;
/// Log target of the digests that the maker of the plan receives; `oakdeal zones plan` reads them.
pub const EVIDENCE_TARGET: &str = "oakdeal::evidence";
/// Interval in microseconds between two usage reports for the fleet's account.
const USAGE_REPORT_INTERVAL: Micros = 1_000_000;
/// Time in microseconds since the last tick above which a late tick is logged.
const LATE_TICK_THRESHOLD: Micros = 250_000;
/// Minimum interval in microseconds between two updates of the [`StatusBoard`].
const STATUS_INTERVAL: Micros = 100_000;
/// Environment variable with the rate of the clock relative to true time, for tests of clock drift; the only source of that rate.
const CLOCK_RATE_VARIABLE: &str = "OAKDEAL_RIG_CLOCK_RATE";

/// A command of an operator to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// An order for a zone and its duration in milliseconds; without a wish the order that is in force ends.
    Zone(String, Option<OrderKind>, u64),
    /// Transfer leadership to another voter.
    StepDown,
    /// Release all tasks held by this process.
    ReleaseTasks,
    /// Leave the group, because the program ends.
    LeaveGroup,
}

/// Status of the group for operators, and the channel for their commands.
pub struct StatusBoard {
    text: RefCell<String>,
    zones: RefCell<String>,
    commands: UnboundedSender<OperatorCommand>,
}

impl StatusBoard {
    /// Returns the status of the group, one item a line.
    pub fn status(&self) -> String {
        self.text.borrow().clone()
    }

    /// Returns the zones by the fleet's plan, one item a line, or `None` if no plan is made.
    pub fn zone_status(&self) -> Option<String> {
        Some(self.zones.borrow().clone()).filter(|text| !text.is_empty())
    }

    /// Sends a command to the group.
    pub fn send(&self, command: OperatorCommand) {
        // Cannot fail while the group runs, which holds the receiver.
        let _ = self.commands.send(command);
    }
}

/// The process's clock: time since the machine started, including its sleep, at a rate that tests may set.
struct Clock {
    started_at: Micros,
    rate: f64,
}

/// One reading of the clock, in microseconds.
struct Reading {
    /// The machine's time, as logged.
    boottime: Micros,
    /// The same moment by this process's clock, which leases use.
    now: Micros,
}

fn boottime() -> Micros {
    let at = clock_gettime(ClockId::Boottime);
    at.tv_sec as u64 * 1_000_000 + at.tv_nsec as u64 / 1_000
}

impl Clock {
    fn new() -> Clock {
        let rate = std::env::var(CLOCK_RATE_VARIABLE).ok().and_then(|rate| rate.parse().ok()).unwrap_or(1.0);
        Clock { started_at: boottime(), rate }
    }

    fn read(&self) -> Reading {
        let boottime = boottime();
        let now = self.started_at + ((boottime - self.started_at) as f64 * self.rate) as Micros;
        Reading { boottime, now }
    }

    fn now(&self) -> Micros {
        self.read().now
    }
}

/// A member of the group with its socket and clock.
pub struct Group {
    member: Member<Writer>,
    /// Notified when writes of the voter's storage are durable.
    storage_progress: Arc<Notify>,
    socket: UdpSocket,
    key: GroupKey,
    clock: Clock,
    commands: UnboundedReceiver<OperatorCommand>,
    board: Rc<StatusBoard>,
    #[cfg(feature = "failpoints")]
    stop_before_act: StopBeforeAct,
    /// Interval at which the view of the zones is reported, if the fleet has a plan for them.
    digest_interval: Option<Micros>,
}

impl Group {
    /// Reads the key and the voter's folder, and binds the socket. `name` is the platform's name of this process.
    pub async fn start(
        settings: Settings,
        name: &str,
        started: u64,
        seed: u64,
    ) -> Result<(Group, Rc<StatusBoard>), String> {
        let name = settings.name.as_deref().unwrap_or(name);
        let error = |what: String| format!("[group]: {what}");
        let key = GroupKey::read(&settings.key).map_err(error)?;
        let clock = Clock::new();
        let terms = lease::LeaseTerms { duration: settings.lease_span, drift_ppm: settings.drift };
        let mut voter = None;
        let storage_notify = Arc::new(Notify::new());
        if settings.voters.iter().any(|voter| voter == name) {
            let folder =
                settings.folder.as_ref().ok_or_else(|| error(format!("{name} votes: give it a `folder`")))?;
            match VoterFolder::open(folder, name) {
                Ok((folder, kept)) => {
                    let others = &settings.voters;
                    let writer =
                        Writer::start(folder, storage_notify.clone()).map_err(|e| error(e.to_string()))?;
                    let opened = Voter::new(clock.now(), name, others, terms, writer, kept);
                    voter = Some(opened.map_err(|e| error(format!("{name} {e}")))?);
                }
                // The process serves clients and follows the record without a vote: a damaged folder is no reason to refuse clients.
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
        let addresses = settings.members.iter().filter(|(other, _)| *other != name);
        let addresses = addresses.map(|(name, address)| (name.clone(), *address)).collect();
        let peers = Peers::new(
            me,
            addresses,
            settings.probe_interval,
            MAX_DATAGRAM_BYTES - SEAL_OVERHEAD - MAX_GOSSIP_HEADER_BYTES,
            seed,
        );
        let (tasks, max_hold, account_interval) =
            (settings.tasks, settings.max_hold, settings.account_interval);
        let task_settings = TaskSettings { tasks, max_hold, account_interval };
        let member = Member::new(clock.now(), peers, &settings.voters, voter, terms, task_settings);
        let socket = UdpSocket::bind(settings.listen).await;
        let socket = socket
            .map_err(|e| error(format!("listen {}: {e}; give an address that is free", settings.listen)))?;
        let (commands, command_receiver) = unbounded_channel();
        let board = Rc::new(StatusBoard { text: RefCell::default(), zones: RefCell::default(), commands });
        tracing::info!("{name} is in the group at {}", settings.listen);
        let storage_progress = storage_notify;
        let group = Group {
            member,
            storage_progress,
            socket,
            key,
            clock,
            commands: command_receiver,
            board: board.clone(),
            #[cfg(feature = "failpoints")]
            stop_before_act: StopBeforeAct::from_env(),
            digest_interval: None,
        };
        Ok((group, board))
    }

    /// Enables plans for these zones and classes, the classes in descending order of worth.
    pub fn enable_zone_plans(&mut self, terms: &FailoverSettings, zones: &[String], classes: Vec<String>) {
        self.digest_interval = Some(terms.digest_interval);
        self.member.set_planner(Planner::new(terms.clone(), zones.to_vec(), classes));
    }

    /// Runs until the member leaves the group.
    pub async fn run(mut self, broker: Rc<Broker>) {
        let operations = Operations::new(broker.clone());
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        let (mut rejected, mut last_status, mut last_report, mut last_digest) = (0u64, 0, 0, 0);
        let mut last_tick = self.clock.now();
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => {
                    let now = self.clock.now();
                    match command {
                        Some(OperatorCommand::StepDown) => drop(self.member.step_down()),
                        Some(OperatorCommand::ReleaseTasks) => self.member.release_all_tasks(now),
                        Some(OperatorCommand::Zone(zone, wish, lasts)) => self.member.order_zone(&zone, wish, lasts),
                        Some(OperatorCommand::LeaveGroup) => {
                            self.member.leave(now);
                            self.send_messages();
                            self.process_events(&broker);
                            return;
                        }
                        None => return,
                    }
                }
                _ = self.socket.readable() => {
                    // Reads all datagrams that have arrived: a voter submits one write a tick, so fewer ticks mean fewer writes.
                    for _ in 0..MAX_DATAGRAMS_PER_TICK {
                        let n = match self.socket.try_recv_from(&mut buffer) {
                            Ok((n, _)) => n,
                            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                            // An ICMP error for an earlier datagram: the loss is handled like any other.
                            Err(_) => continue,
                        };
                        match self.key.open(&buffer[..n]) {
                            Some(message) => self.member.receive(self.clock.now(), message),
                            None => {
                                rejected += 1;
                                if rejected.is_power_of_two() {
                                    tracing::warn!("group: {rejected} datagrams failed authentication under the group key");
                                }
                            }
                        }
                    }
                }
                () = self.storage_progress.notified() => {}
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
            let now = self.clock.now();
            let since_last_turn_us = now.saturating_sub(last_tick);
            if since_last_turn_us > LATE_TICK_THRESHOLD {
                tracing::warn!(since_last_turn_us, "group: a tick came late");
            }
            last_tick = now;
            self.member.set_draining(now, !operations.ready());
            if now >= last_report + USAGE_REPORT_INTERVAL {
                last_report = now;
                let rows =
                    broker.contracts(|contracts| contracts.account_rows(broker.now())).unwrap_or_default();
                self.member.report_usage(now, &rows);
            }
            if let Some(digest) =
                self.digest_interval.filter(|every| now >= last_digest + every).and_then(|_| broker.digest())
            {
                last_digest = now;
                self.member.report_digest(now, digest);
            }
            self.member.tick(now);
            #[cfg(feature = "failpoints")]
            if self.member.has_pending_actions() {
                self.stop_before_act.reached();
            }
            self.send_messages();
            self.process_events(&broker);
            if self.digest_interval.is_some() {
                broker.follow_plan(self.member.record().plan.as_ref());
            }
            if now >= last_status + STATUS_INTERVAL {
                last_status = now;
                *self.board.text.borrow_mut() = self.member.status_text(now);
                if self.digest_interval.is_some() {
                    *self.board.zones.borrow_mut() = self.member.zone_status_text(now);
                }
            }
            // Without this a stream of datagrams would delay clients until the runtime's own limit forces a yield.
            tokio::task::yield_now().await;
        }
    }

    fn send_messages(&mut self) {
        while let Some((to, message)) = self.member.next_message(self.clock.now()) {
            if let Some(datagram) = self.key.seal(&message) {
                // A datagram that the socket buffer cannot take is lost like any other.
                let _ = self.socket.try_send_to(&datagram, to);
            } else {
                tracing::error!("group: a message of {} bytes exceeds one datagram", message.len());
            }
        }
    }

    fn process_events(&mut self, broker: &Broker) {
        loop {
            let Reading { boottime, now } = self.clock.read();
            let Some(event) = self.member.next_event(now) else { break };
            log_event(event, boottime);
        }
        self.extend_rebalancing(broker);
    }

    /// Allows the broker to rebalance for as long as the lease lasts, by the broker's clock. That clock is read first, so that the
    /// time between the two readings shortens the allowance and never lengthens it.
    fn extend_rebalancing(&self, broker: &Broker) {
        let broker_now = broker.now();
        let left = self.member.lease_left(self.clock.now(), REBALANCE_TASK);
        broker.may_rebalance_until(broker_now.saturating_add(left));
    }
}

/// Logs an event; `us` is the machine's time in microseconds at which the event was allowed.
fn log_event(event: Event, us: Micros) {
    match event {
        Event::PeerChanged(peers::MemberEvent::Up(name)) => tracing::info!("group: member {name} is up"),
        Event::PeerChanged(peers::MemberEvent::Down(name)) => tracing::info!("group: member {name} is down"),
        Event::LeaseAcquired(task, token) => tracing::info!(us, "group: {task} is ours under token {token}"),
        Event::LeaseEnded(task, token) => {
            tracing::info!(us, "group: {task} is no longer ours under token {token}")
        }
        Event::Action(action, passes) => {
            let (task, token, holder) = (action.task, action.token, action.holder);
            tracing::debug!(target: "oakdeal::act", task, holder, token, us, passes, "act");
            if !passes {
                tracing::warn!(
                    "group: rejected an action of {holder} on {task}: token {token} is not the latest"
                );
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
                tracing::info!(serial, zone = name, state, why, "zones: plan proposed");
            }
        }
        Event::AccountPage(page) => {
            let (number, token, missing) = (page.number, page.token, page.missing.join(" "));
            page.rows.iter().for_each(|(name, started, row)| logging::write_account(name, *started, row));
            let rows = page.rows.len();
            tracing::info!(target: "oakdeal::page", page = number, token, rows, missing, us, "page of the account");
        }
    }
}
