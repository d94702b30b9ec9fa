//! One process in the group: its membership, its vote if it is a voter, and the tasks that it wants to hold. No I/O.
//!
//! Guarantees: an action on a task is begun only while this process holds the task's lease by its own clock, which is checked
//! when the action is decided and again when it leaves the [`Outbox`]; the version of the record known here never decreases.
//! A datagram that cannot be decoded is counted and has no other effect. Not guaranteed: that a request is answered. Requests
//! are not retransmitted as such; the lease, the account and the plan propose again.

use super::account::{AccountBook, AccountPage};
use super::folder::VoterStorage;
use super::lease::{LeaseClient, LeaseTerms, TokenFence};
use super::messages::{LeasedAction, Message, Reassembly, Request, RequestBody, Response, ResponseBody};
use super::outbox::{LeaseToken, Outbox};
use super::record::{Outcome, State};
use super::voter::{Outgoing, Voter};
use crate::api::Micros;
use crate::failover::evidence::Digest;
use crate::failover::plan::{Plan, Planner};
use crate::peers::seal::{MAX_DATAGRAM_BYTES, SEAL_OVERHEAD};
use crate::peers::{self, MemberEvent, Peers};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// What a member reports to the task that runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member joined, left or was declared down.
    PeerChanged(MemberEvent),
    /// This member holds the lease of the task from now on, under this token.
    LeaseAcquired(String, u64),
    /// This member has stopped acting on the task under this token.
    LeaseEnded(String, u64),
    /// An action under a lease, of this or another member, and whether the fencing check accepts it.
    Action(LeasedAction, bool),
    /// This member has stopped voting, for this reason: its storage failed, or another voter has its seat.
    VotingStopped(String),
    /// A page of the fleet's account to be written.
    AccountPage(AccountPage),
    /// A digest of the zones that was received for the plan made here.
    DigestReceived(Digest),
    /// A plan that differs from the one in the record has been proposed.
    PlanProposed(Plan),
}

/// Interval in microseconds at which a member that does not vote asks for the record although no gossip announced a newer one.
const RECORD_POLL_INTERVAL: Micros = 10_000_000;
/// Minimum interval in microseconds between two requests for a newer record: each gossip packet announces it until it arrives.
const RECORD_REQUEST_INTERVAL: Micros = 300_000;
/// Interval in microseconds between two announcements of an action, for each started [`MEMBERS_PER_ACTION_INTERVAL`] members.
const ACTION_INTERVAL: Micros = 100_000;
/// Number of members per [`ACTION_INTERVAL`]: larger groups announce less often, which bounds the datagrams a second.
const MEMBERS_PER_ACTION_INTERVAL: usize = 15;
/// Maximum length in bytes of an encoded message in one datagram.
const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_OVERHEAD;
/// Bytes reserved for the header of a fragment, which takes 11: kind, message id, index and count.
const FRAGMENT_HEADER_BYTES: usize = 16;
/// Maximum number of bytes of a message in one fragment.
const MAX_FRAGMENT_BYTES: usize = MAX_MESSAGE_BYTES - FRAGMENT_HEADER_BYTES;
/// Maximum number of requests whose responses are awaited; the oldest is forgotten, since responses may be lost.
const MAX_PENDING_REQUESTS: usize = 64;
/// Multiplier (2^64 divided by the golden ratio) that keeps the message ids of processes with close start times apart.
const MESSAGE_ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// What a request was made for, kept until its response arrives.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PendingRequest {
    /// The lease of a task, and the number of the lease's own request.
    Lease(String, u64),
    /// The number of a page of the fleet's account.
    Page(u64),
}

/// The tasks of a member and their intervals.
#[derive(Clone, Debug)]
pub struct TaskSettings {
    /// Tasks that the member tries to hold.
    pub tasks: Vec<String>,
    /// Maximum time that a task is held before it is released, so that other members get a turn.
    pub max_hold: Micros,
    /// Interval between two pages of the fleet's account.
    pub account_interval: Micros,
}

/// A process in the group, as a state machine: datagrams and the time go in, datagrams and [`Event`]s come out.
pub struct Member<K> {
    pub(super) peers: Peers,
    voters: Vec<String>,
    voter: Option<Voter<K>>,
    /// The newest record received from another member; used where it is newer than the voter's, or where this member does not vote.
    received_record: State,
    terms: LeaseTerms,
    pub(super) task_settings: TaskSettings,
    holders: BTreeMap<String, LeaseClient>,
    /// By task: token under which this member acts, since when, and when it last announced an action.
    acting: BTreeMap<String, (u64, Micros, Micros)>,
    gate: TokenFence,
    /// Position among the voters of the next one to send a change to: the last known leader, else one after the other.
    next_voter: usize,
    /// Requests whose responses are awaited, by request number.
    pending_requests: BTreeMap<u64, PendingRequest>,
    last_request_id: u64,
    /// Responses to its own requests: a member has no address of its own to send them to.
    responses_to_self: Vec<Response>,
    /// When the record was last polled, see [`RECORD_POLL_INTERVAL`].
    last_record_poll: Micros,
    /// When a newer record was last requested after gossip had announced it.
    last_record_request: Micros,
    reassembly: Reassembly,
    /// Id of the last message that was sent as fragments.
    last_message_id: u64,
    pub(super) account_book: AccountBook,
    /// When a page of the account was last proposed.
    pub(super) last_page: Micros,
    /// Makes plans for zones, if this process is configured to.
    pub(super) planner: Option<Planner>,
    messages: Outbox<(SocketAddr, Vec<u8>)>,
    events: Outbox<Event>,
    /// Number of datagrams that could not be decoded.
    pub unreadable: u64,
}

impl<K: VoterStorage> Member<K> {
    /// Returns a member that tries to hold the tasks of `task_settings`.
    pub fn new(
        now: Micros,
        peers: Peers,
        voters: &[String],
        voter: Option<Voter<K>>,
        terms: LeaseTerms,
        task_settings: TaskSettings,
    ) -> Member<K> {
        let mut voters = voters.to_vec();
        voters.sort();
        // A restarted process has the same name: the start time keeps it from taking the leases of its predecessor for its own.
        let me = format!("{}#{}", peers.local_member().name, peers.local_member().started);
        let holder = |task: &String| (task.clone(), LeaseClient::new(now, terms, task, &me));
        Member {
            voters,
            voter,
            received_record: State::default(),
            terms,
            holders: task_settings.tasks.iter().map(holder).collect(),
            task_settings,
            acting: BTreeMap::new(),
            gate: TokenFence::default(),
            next_voter: peers.local_member().started as usize,
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            responses_to_self: Vec::new(),
            last_record_poll: now,
            last_record_request: 0,
            reassembly: Reassembly::default(),
            last_message_id: peers.local_member().started.wrapping_mul(MESSAGE_ID_MULTIPLIER),
            account_book: AccountBook::default(),
            last_page: now,
            planner: None,
            messages: Outbox::default(),
            events: Outbox::default(),
            unreadable: 0,
            peers,
        }
    }

    /// Lets this member make plans for zones.
    pub fn set_planner(&mut self, planner: Planner) {
        self.planner = Some(planner);
    }

    /// Returns the newest record known here.
    pub fn record(&self) -> &State {
        self.voter.as_ref().map_or(&self.received_record, |voter| {
            match voter.state().version >= self.received_record.version {
                true => voter.state(),
                false => &self.received_record,
            }
        })
    }

    /// Returns the token under which an action on this task may begin now.
    pub fn acting_token(&self, now: Micros, task: &str) -> Option<u64> {
        self.holders
            .get(task)?
            .active_token(now)
            .filter(|token| self.acting.get(task).is_some_and(|a| a.0 == *token))
    }

    /// Returns for how long actions on this task may still begin, in microseconds; 0 if none may.
    pub fn lease_left(&self, now: Micros, task: &str) -> Micros {
        match self.acting_token(now, task) {
            Some(_) => self.holders.get(task).map_or(0, |holder| holder.remaining(now)),
            None => 0,
        }
    }

    /// Handles the content of a datagram.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Gossip { from, version, bytes }) => {
                self.unreadable += u64::from(self.peers.receive(now, &bytes).is_err());
                self.request_newer_record(now, &from, version);
            }
            Some(Message::Consensus(bytes)) => {
                let read = self.voter.as_mut().map(|voter| voter.handle_message(&bytes));
                self.unreadable += u64::from(matches!(read, Some(Err(_))));
            }
            Some(Message::Beacon(beacon)) => {
                self.voter.iter_mut().for_each(|voter| voter.handle_beacon(&beacon))
            }
            Some(Message::Request(request)) => self.handle_request(request),
            Some(Message::Response(response)) => self.handle_response(now, response),
            Some(Message::Action(action)) => {
                let passes = self.gate.admits(&action.task, action.token);
                self.push_event(Event::Action(action, passes));
            }
            Some(Message::UsageReport(report)) => self.account_book.add_report(now, report),
            Some(Message::Digest(digest)) => self.receive_digest(now, digest),
            Some(Message::Fragment(fragment)) => {
                if let Some(whole) = self.reassembly.add(fragment) {
                    // No member sends fragments inside fragments.
                    match whole.first() {
                        Some(b'p') | None => self.unreadable += 1,
                        Some(_) => self.receive(now, &whole),
                    }
                }
            }
            None => self.unreadable += 1,
        }
    }

    /// Requests the record from a member that announced this version, if it is newer than the one known here.
    fn request_newer_record(&mut self, now: Micros, from: &str, version: u64) {
        let own_version = self.record().version;
        if version > own_version && now >= self.last_record_request + RECORD_REQUEST_INTERVAL {
            self.last_record_request = now;
            self.request_from(from, RequestBody::RecordNewerThan(own_version), None);
        }
    }

    fn handle_request(&mut self, request: Request) {
        let Request { id, from, body } = request;
        let body = match body {
            RequestBody::Change(command) => {
                if self.voter.as_mut().is_some_and(|voter| voter.request(&from, id, &command)) {
                    return;
                }
                ResponseBody::Redirect(self.voter.as_ref().and_then(|voter| voter.leader().0.map(Into::into)))
            }
            // Every record was decided by a majority, so any member may serve it.
            RequestBody::RecordNewerThan(version) if self.record().version > version => {
                ResponseBody::Record(self.record().clone())
            }
            RequestBody::RecordNewerThan(_) => ResponseBody::NoNewerRecord,
        };
        self.respond(&from, Response { id, body });
    }

    /// Sends a response, or keeps it for [`Member::handle_responses_to_self`].
    fn respond(&mut self, to: &str, response: Response) {
        if to == self.peers.local_member().name {
            self.responses_to_self.push(response);
        } else {
            self.send(to, &Message::Response(response));
        }
    }

    fn handle_responses_to_self(&mut self, now: Micros) {
        for response in std::mem::take(&mut self.responses_to_self) {
            self.handle_response(now, response);
        }
    }

    fn handle_response(&mut self, now: Micros, response: Response) {
        let pending = self.pending_requests.remove(&response.id);
        tracing::trace!(id = response.id, "group: response received");
        match response.body {
            ResponseBody::Outcome(Outcome::Stale) if pending.is_none() => {
                tracing::debug!("group: a proposal was based on an older record, or its lease has ended");
            }
            ResponseBody::Outcome(outcome) => match pending {
                Some(PendingRequest::Lease(task, id)) => {
                    self.holders.entry(task).and_modify(|holder| holder.handle_outcome(now, id, &outcome));
                }
                Some(PendingRequest::Page(page)) if outcome == Outcome::Done => self.write_page(now, page),
                _ => {}
            },
            ResponseBody::Redirect(leader) => {
                tracing::debug!(leader, "group: a request was sent to a voter that does not lead");
                let known = leader.and_then(|name| self.voters.iter().position(|voter| *voter == name));
                self.next_voter = known.unwrap_or(self.next_voter + 1);
            }
            ResponseBody::Record(state) if state.version > self.received_record.version => {
                // The record's voters replace those of the operator's file.
                if !state.voters.is_empty() {
                    self.voters = state.voters.values().cloned().collect();
                }
                self.received_record = state;
            }
            ResponseBody::Record(_) | ResponseBody::NoNewerRecord => {}
        }
    }

    fn send_gossip(&mut self) {
        let (from, version) = (self.peers.local_member().name.clone(), self.record().version);
        for (to, bytes) in self.peers.take_datagrams() {
            let message = Message::Gossip { from: from.clone(), version, bytes };
            self.messages.push(None, (to, message.encode()));
        }
    }

    pub(super) fn send(&mut self, to: &str, message: &Message) {
        self.send_under_lease(None, to, message);
    }

    /// Queues a message; with a lease it is sent only while that lease lasts.
    fn send_under_lease(&mut self, lease: Option<&LeaseToken>, to: &str, message: &Message) {
        let Some(at) = self.peers.address(to) else { return };
        let bytes = message.encode();
        if bytes.len() <= MAX_MESSAGE_BYTES {
            return self.messages.push(lease.cloned(), (at, bytes));
        }
        self.last_message_id = self.last_message_id.wrapping_add(1);
        let Some(fragments) = Reassembly::split(self.last_message_id, &bytes, MAX_FRAGMENT_BYTES) else {
            return tracing::error!(
                "group: a message of {} bytes exceeds the maximum number of fragments",
                bytes.len()
            );
        };
        for fragment in fragments {
            self.messages.push(lease.cloned(), (at, fragment.encode()));
        }
    }

    /// Queues an event that needs no lease.
    fn push_event(&mut self, event: Event) {
        self.events.push(None, event);
    }

    /// Queues an event that is carried out only while the lease of `task` under `token` lasts.
    pub(super) fn push_event_under(&mut self, task: &str, token: u64, event: Event) {
        self.events.push(Some(LeaseToken { task: task.into(), token }), event);
    }

    /// Returns the member to which changes are proposed. Only the leader can change the record, so a voter, which knows the
    /// leader, proposes to it; a request to any other member would be lost. Members that do not vote try one voter after the
    /// other until one names the leader.
    pub(super) fn change_recipient(&self) -> Option<&str> {
        if let Some(voter) = &self.voter {
            let me = self.peers.local_member().name.as_str();
            let leader = if voter.is_ready_leader() { Some(me) } else { voter.leader().0 };
            if leader.is_some() {
                return leader;
            }
        }
        self.voters.get(self.next_voter % self.voters.len().max(1)).map(String::as_str)
    }

    /// Sends a request to the member that takes changes, see [`Member::change_recipient`].
    pub(super) fn request(&mut self, body: RequestBody, pending: Option<PendingRequest>) {
        // The recipient may be this member itself.
        let Some(to) = self.change_recipient().map(String::from) else { return };
        self.request_from(&to, body, pending);
    }

    fn request_from(&mut self, to: &str, body: RequestBody, pending: Option<PendingRequest>) {
        self.last_request_id += 1;
        let (id, from) = (self.last_request_id, self.peers.local_member().name.clone());
        if let Some(pending) = pending {
            self.pending_requests.insert(id, pending);
            while self.pending_requests.len() > MAX_PENDING_REQUESTS {
                self.pending_requests.pop_first();
            }
        }
        tracing::trace!(id, to, what = ?body, "group: request sent");
        let request = Request { id, from: from.clone(), body };
        match to == from {
            true => self.handle_request(request),
            false => self.send(to, &Message::Request(request)),
        }
    }

    /// Does what is due by `now`. To be called every few tens of milliseconds, and after datagrams were received.
    pub fn tick(&mut self, now: Micros) {
        self.peers.tick(now);
        let events = self.peers.take_events();
        events.into_iter().for_each(|event| self.push_event(Event::PeerChanged(event)));
        self.send_gossip();
        self.run_voter(now);
        self.handle_responses_to_self(now);
        for task in self.holders.keys().cloned().collect::<Vec<_>>() {
            self.run_task(now, &task);
        }
        self.propose_page(now);
        self.propose_plan(now);
        if now >= self.last_record_poll + RECORD_POLL_INTERVAL {
            self.last_record_poll = now;
            self.next_voter += usize::from(self.holders.is_empty());
            if self.voter.is_none() {
                self.request(RequestBody::RecordNewerThan(self.received_record.version), None);
            }
        }
    }

    fn run_voter(&mut self, now: Micros) {
        if self.voter.as_ref().is_some_and(|voter| voter.is_replaced(&self.received_record)) {
            self.voter = None;
            self.push_event(Event::VotingStopped("another has its place in the record".into()));
        }
        // The voter's acknowledgement of its own writes may produce more output.
        for _ in 0..2 {
            let Some(voter) = &mut self.voter else { return };
            match voter.poll(now) {
                Ok(said) => {
                    for said in said {
                        match said {
                            Outgoing::Message { to, bytes } => self.send(&to, &Message::Consensus(bytes)),
                            Outgoing::Beacon { to, beacon } => self.send(&to, &Message::Beacon(beacon)),
                            Outgoing::Answer { to, id, outcome } => {
                                self.respond(&to, Response { id, body: ResponseBody::Outcome(outcome) });
                            }
                        }
                    }
                }
                Err(e) => {
                    self.received_record = voter.state().clone();
                    self.voter = None;
                    self.push_event(Event::VotingStopped(e));
                }
            }
        }
    }

    fn run_task(&mut self, now: Micros, task: &str) {
        let Some(holder) = self.holders.get_mut(task) else { return };
        let wanted = holder.next_request(now);
        let allowed = holder.active_token(now);
        if let Some((id, command)) = wanted {
            // The voter did not respond within a sixth of the lease span: the next one is tried.
            let unanswered = |pending: &PendingRequest| matches!(pending, PendingRequest::Lease(requested, _) if requested == task);
            if self.pending_requests.values().any(unanswered) {
                self.next_voter += 1;
                self.pending_requests.retain(|_, pending| match pending {
                    PendingRequest::Lease(requested, n) => requested != task || *n + 2 >= id,
                    PendingRequest::Page(_) => true,
                });
            }
            self.request(RequestBody::Change(command), Some(PendingRequest::Lease(task.into(), id)));
        }
        let previous = self.acting.get(task).copied();
        if let Some((token, _, _)) = previous.filter(|previous| allowed != Some(previous.0)) {
            self.acting.remove(task);
            self.push_event(Event::LeaseEnded(task.into(), token));
        }
        let Some(token) = allowed else { return };
        if previous.is_none_or(|previous| previous.0 != token) {
            self.acting.insert(task.into(), (token, now, 0));
            self.push_event(Event::LeaseAcquired(task.into(), token));
        }
        let Some(acting) = self.acting.get_mut(task) else { return };
        if now >= acting.1 + self.task_settings.max_hold {
            return self.release_task(now, task);
        }
        let members = self.peers.members();
        if now >= acting.2 + ACTION_INTERVAL * members.len().div_ceil(MEMBERS_PER_ACTION_INTERVAL) as Micros {
            acting.2 = now;
            self.announce_action(task, token, &members);
        }
    }

    /// Announces an action on a task to all other members, and reports it as an event.
    fn announce_action(&mut self, task: &str, token: u64, members: &[peers::Member]) {
        let action =
            LeasedAction { task: task.into(), token, holder: self.peers.local_member().name.clone() };
        let lease = LeaseToken { task: task.into(), token };
        for member in members.iter().filter(|member| member.name != action.holder) {
            self.send_under_lease(Some(&lease), &member.name, &Message::Action(action.clone()));
        }
        let passes = self.gate.admits(task, token);
        self.events.push(Some(lease), Event::Action(action, passes));
    }

    /// Stops acting on a task and returns its lease. This member does not request it again for half a lease span, so that another can.
    pub fn release_task(&mut self, now: Micros, task: &str) {
        let (rest, Some(holder)) = (self.terms.duration / 2, self.holders.get_mut(task)) else { return };
        if let Some((id, command)) = holder.release(now, rest) {
            self.request(RequestBody::Change(command), Some(PendingRequest::Lease(task.into(), id)));
        }
        if let Some((token, _, _)) = self.acting.remove(task) {
            self.push_event(Event::LeaseEnded(task.into(), token));
        }
    }

    /// Releases all tasks that this member holds.
    pub fn release_all_tasks(&mut self, now: Micros) {
        self.holders.keys().cloned().collect::<Vec<_>>().iter().for_each(|task| self.release_task(now, task));
    }

    /// Transfers leadership to another voter, if this member leads and another can take over.
    pub fn step_down(&mut self) -> bool {
        self.voter.as_mut().is_some_and(Voter::step_down)
    }

    /// Announces that this member drains, or no longer does.
    pub fn set_draining(&mut self, now: Micros, drains: bool) {
        self.peers.set_draining(now, drains);
    }

    /// Releases all tasks and announces that this member leaves the group.
    pub fn leave(&mut self, now: Micros) {
        self.release_all_tasks(now);
        self.holders.clear();
        self.peers.leave(now);
        self.send_gossip();
    }

    /// Returns the next message to send and its address. The caller reads the clock again for each call: a message whose lease
    /// has ended since it was queued is dropped.
    pub fn next_message(&mut self, now: Micros) -> Option<(SocketAddr, Vec<u8>)> {
        let mut messages = std::mem::take(&mut self.messages);
        let message = messages.pop(|lease| self.lease_allows(now, lease));
        self.messages = messages;
        message
    }

    /// Returns the next event to carry out. The caller reads the clock again for each call, and takes `now` for the time of the
    /// event: an event whose lease has ended since it was queued is dropped.
    pub fn next_event(&mut self, now: Micros) -> Option<Event> {
        let mut events = std::mem::take(&mut self.events);
        let event = events.pop(|lease| self.lease_allows(now, lease));
        self.events = events;
        event
    }

    /// Returns whether an action under this lease may begin now.
    fn lease_allows(&self, now: Micros, lease: &LeaseToken) -> bool {
        self.acting_token(now, &lease.task) == Some(lease.token)
    }

    /// Returns whether a message that needs a lease waits to be sent.
    #[cfg(feature = "failpoints")]
    pub fn has_pending_actions(&self) -> bool {
        self.messages.holds_lease_entries()
    }

    /// Returns the state of the group as shown to operators: members, leader, record and leases, one a line.
    pub fn status_text(&self, now: Micros) -> String {
        let mut text = String::new();
        for m in self.peers.members() {
            let (drains, voter) = (
                if m.drains { " drains" } else { "" },
                if self.record().voters.values().any(|name| *name == m.name) { " voter" } else { "" },
            );
            let _ = write!(
                text,
                "member {} zone={} region={} version={} settings={:08x}{voter}{drains}\r\n",
                m.name, m.zone, m.region, m.version, m.settings
            );
        }
        if let Some(voter) = &self.voter {
            let (leader, term) = voter.leader();
            let _ = write!(text, "leader {} term={term}\r\n", leader.unwrap_or("none"));
            let _ = write!(text, "place {}\r\n", if voter.is_member() { "ours" } else { "asked for" });
        }
        let record = self.record();
        let (version, tokens, pages) = (record.version, record.last_token, record.last_page);
        let _ = write!(text, "record version={version} tokens={tokens} pages={pages}\r\n");
        for (task, lease) in &record.leases {
            let holder = lease.holder.as_deref().map_or("none", |h| h.split('#').next().unwrap_or(h));
            let left = self.holders.get(task).map_or(0, |h| h.remaining(now)) / 1_000;
            let left = if left > 0 { format!(" left={left}ms") } else { String::new() };
            let _ = write!(text, "lease {task} holder={holder} token={}{left}\r\n", lease.token);
        }
        let _ = write!(text, "unread {}\r\n", self.unreadable);
        text
    }
}

#[cfg(test)]
#[path = "member_tests.rs"]
mod tests;
