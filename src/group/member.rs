//! One process in the group: its membership, its vote where it has one, and the tasks that it wants. No I/O.
//!
//! Promised: a task's act is begun only under a lease that is its own by its own clock, both when the act is decided and when it
//! leaves the [`Outbox`]; what it knows of the record is never older than what it knew before. A datagram that cannot be read is counted and changes nothing.

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
use crate::peers::seal::{ADDED, LONGEST};
use crate::peers::{self, Note, Peers};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// What a member has to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Somebody came or went.
    PeerChanged(Note),
    /// It holds the task from now on.
    LeaseAcquired(String, u64),
    /// It acts no longer under this token.
    LeaseEnded(String, u64),
    /// An act of somebody's came; whether it is carried out.
    Action(LeasedAction, bool),
    /// Its folder failed: it votes no more.
    VotingStopped(String),
    /// A page of the fleet's account is to be written.
    AccountPage(AccountPage),
    /// A balancer's digest came to whoever makes the plan.
    DigestReceived(Digest),
    /// Another plan is proposed.
    PlanProposed(Plan),
}

/// Between two looks at the record that nobody's gossip gave cause for, and two questions for the same one.
const RECORD_POLL_INTERVAL: Micros = 10_000_000;
const RECORD_REQUEST_INTERVAL: Micros = 300_000;
/// Between two tellings of an act to so many members at most; to more it is told less often.
const ACTION_INTERVAL: Micros = 100_000;
const MEMBERS_PER_ACTION_INTERVAL: usize = 15;
/// The longest words in one datagram, and in each of several.
const MAX_MESSAGE_BYTES: usize = LONGEST - ADDED;
const MAX_FRAGMENT_BYTES: usize = MAX_MESSAGE_BYTES - 16;
/// What a question was for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PendingRequest {
    /// A task's lease, by its number there.
    Lease(String, u64),
    /// A page of the account.
    Page(u64),
}

/// What a member does for the fleet, and how.
#[derive(Clone, Debug)]
pub struct TaskSettings {
    /// The tasks that it wants.
    pub tasks: Vec<String>,
    /// It holds one for so long at most.
    pub max_hold: Micros,
    /// How often the account is written.
    pub account_interval: Micros,
}

/// A member.
pub struct Member<K> {
    pub(super) peers: Peers,
    voters: Vec<String>,
    voter: Option<Voter<K>>,
    /// The record as last heard, where it does not vote itself.
    received_record: State,
    terms: LeaseTerms,
    pub(super) task_settings: TaskSettings,
    holders: BTreeMap<String, LeaseClient>,
    /// Under which token it acts, since when, and when it told of it last.
    acting: BTreeMap<String, (u64, Micros, Micros)>,
    gate: TokenFence,
    /// Whom to ask: the voter that led when last heard of, else one after the other.
    next_voter: usize,
    /// Questions that are out.
    pending_requests: BTreeMap<u64, PendingRequest>,
    last_request_id: u64,
    /// Answers to questions of its own: there is no address of its own to send them to.
    responses_to_self: Vec<Response>,
    last_record_poll: Micros,
    /// When a later record was last asked for.
    last_record_request: Micros,
    reassembly: Reassembly,
    last_message_id: u64,
    pub(super) account_book: AccountBook,
    pub(super) last_page: Micros,
    /// Makes plans for zones, where this process can.
    pub(super) planner: Option<Planner>,
    messages: Outbox<(SocketAddr, Vec<u8>)>,
    events: Outbox<Event>,
    /// Datagrams that could not be read.
    pub unreadable: u64,
}

impl<K: VoterStorage> Member<K> {
    /// One with these duties.
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
        // A name may be taken over by a later process: what the older one holds is not the later one's.
        let me = format!("{}#{}", peers.me().name, peers.me().started);
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
            next_voter: peers.me().started as usize,
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            responses_to_self: Vec::new(),
            last_record_poll: now,
            last_record_request: 0,
            reassembly: Reassembly::default(),
            last_message_id: peers.me().started.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            account_book: AccountBook::default(),
            last_page: now,
            planner: None,
            messages: Outbox::default(),
            events: Outbox::default(),
            unreadable: 0,
            peers,
        }
    }

    /// It can make plans for zones.
    pub fn set_planner(&mut self, planner: Planner) {
        self.planner = Some(planner);
    }

    /// The record as it is known here.
    pub fn record(&self) -> &State {
        self.voter.as_ref().map_or(&self.received_record, |voter| {
            match voter.state().version >= self.received_record.version {
                true => voter.state(),
                false => &self.received_record,
            }
        })
    }

    /// The token under which an act on this task may begin now.
    pub fn acting_token(&self, now: Micros, task: &str) -> Option<u64> {
        self.holders
            .get(task)?
            .active_token(now)
            .filter(|token| self.acting.get(task).is_some_and(|a| a.0 == *token))
    }

    /// For how long acts on this task may still begin, in microseconds; 0 where none may.
    pub fn lease_left(&self, now: Micros, task: &str) -> Micros {
        match self.acting_token(now, task) {
            Some(_) => self.holders.get(task).map_or(0, |holder| holder.remaining(now)),
            None => 0,
        }
    }

    /// A datagram's words.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Gossip { from, version, bytes }) => {
                self.unreadable += u64::from(self.peers.read(now, &bytes).is_err());
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
                    // Reassembly of parts are nobody's words.
                    match whole.first() {
                        Some(b'p') | None => self.unreadable += 1,
                        Some(_) => self.receive(now, &whole),
                    }
                }
            }
            None => self.unreadable += 1,
        }
    }

    /// Somebody has a record of this version: it is asked for, of whoever has it.
    fn request_newer_record(&mut self, now: Micros, from: &str, version: u64) {
        let mine = self.record().version;
        if version > mine && now >= self.last_record_request + RECORD_REQUEST_INTERVAL {
            self.last_record_request = now;
            self.request_from(from, RequestBody::RecordNewerThan(mine), None);
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
            // Whatever is in anybody's record was decided.
            RequestBody::RecordNewerThan(version) if self.record().version > version => {
                ResponseBody::Record(self.record().clone())
            }
            RequestBody::RecordNewerThan(_) => ResponseBody::NoNewerRecord,
        };
        self.respond(&from, Response { id, body });
    }

    fn respond(&mut self, to: &str, response: Response) {
        if to == self.peers.me().name {
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
        tracing::trace!(id = response.id, "group: is answered");
        match response.body {
            ResponseBody::Outcome(Outcome::Stale) if pending.is_none() => {
                tracing::debug!("group: a proposal was based on an older record, or its lease is over");
            }
            ResponseBody::Outcome(outcome) => match pending {
                Some(PendingRequest::Lease(task, id)) => {
                    self.holders.entry(task).and_modify(|holder| holder.handle_outcome(now, id, &outcome));
                }
                Some(PendingRequest::Page(page)) if outcome == Outcome::Done => self.write_page(now, page),
                _ => {}
            },
            ResponseBody::Redirect(leader) => {
                tracing::debug!(leader, "group: a question went to a voter that does not lead");
                let known = leader.and_then(|name| self.voters.iter().position(|voter| *voter == name));
                self.next_voter = known.unwrap_or(self.next_voter + 1);
            }
            ResponseBody::Record(state) if state.version > self.received_record.version => {
                // The voters are those of the record, whatever the file says.
                if !state.voters.is_empty() {
                    self.voters = state.voters.values().cloned().collect();
                }
                self.received_record = state;
            }
            ResponseBody::Record(_) | ResponseBody::NoNewerRecord => {}
        }
    }

    fn send_gossip(&mut self) {
        let (from, version) = (self.peers.me().name.clone(), self.record().version);
        for (to, bytes) in self.peers.sends() {
            let message = Message::Gossip { from: from.clone(), version, bytes };
            self.messages.push(None, (to, message.encode()));
        }
    }

    pub(super) fn send(&mut self, to: &str, message: &Message) {
        self.send_under_lease(None, to, message);
    }

    /// Queues a message; with a lease it is sent only while the lease lasts.
    fn send_under_lease(&mut self, lease: Option<&LeaseToken>, to: &str, message: &Message) {
        let Some(at) = self.peers.address(to) else { return };
        let bytes = message.encode();
        if bytes.len() <= MAX_MESSAGE_BYTES {
            return self.messages.push(lease.cloned(), (at, bytes));
        }
        self.last_message_id = self.last_message_id.wrapping_add(1);
        let Some(fragments) = Reassembly::split(self.last_message_id, &bytes, MAX_FRAGMENT_BYTES) else {
            return tracing::error!("group: {} bytes are too long for so many datagrams", bytes.len());
        };
        for fragment in fragments {
            self.messages.push(lease.cloned(), (at, fragment.encode()));
        }
    }

    /// Queues an event that needs no lease.
    fn push_event(&mut self, event: Event) {
        self.events.push(None, event);
    }

    /// Queues an event that is carried out only while the grant lasts under which it was decided.
    pub(super) fn push_event_under(&mut self, task: &str, token: u64, event: Event) {
        self.events.push(Some(LeaseToken { task: task.into(), token }), event);
    }

    /// Who is asked for a change. A voter knows who leads; only the leader can change the record, so a voter that asks anyone else
    /// loses the request. Others ask one voter after the other until one names the leader.
    pub(super) fn change_recipient(&self) -> Option<&str> {
        if let Some(voter) = &self.voter {
            let me = self.peers.me().name.as_str();
            let leader = if voter.is_ready_leader() { Some(me) } else { voter.leader().0 };
            if leader.is_some() {
                return leader;
            }
        }
        self.voters.get(self.next_voter % self.voters.len().max(1)).map(String::as_str)
    }

    pub(super) fn request(&mut self, body: RequestBody, pending: Option<PendingRequest>) {
        // The words go the same way to itself.
        let Some(to) = self.change_recipient().map(String::from) else { return };
        self.request_from(&to, body, pending);
    }

    fn request_from(&mut self, to: &str, body: RequestBody, pending: Option<PendingRequest>) {
        self.last_request_id += 1;
        let (id, from) = (self.last_request_id, self.peers.me().name.clone());
        if let Some(pending) = pending {
            self.pending_requests.insert(id, pending);
            while self.pending_requests.len() > 64 {
                self.pending_requests.pop_first();
            }
        }
        tracing::trace!(id, to, what = ?body, "group: asks");
        let request = Request { id, from: from.clone(), body };
        match to == from {
            true => self.handle_request(request),
            false => self.send(to, &Message::Request(request)),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        self.peers.turn(now);
        let notes = self.peers.notes();
        notes.into_iter().for_each(|note| self.push_event(Event::PeerChanged(note)));
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
        // Answers to itself may let the voter say more.
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
            // Whoever did not answer in a sixth of a span is not asked again at once.
            let unanswered =
                |pending: &PendingRequest| matches!(pending, PendingRequest::Lease(of, _) if of == task);
            if self.pending_requests.values().any(unanswered) {
                self.next_voter += 1;
                self.pending_requests.retain(|_, pending| match pending {
                    PendingRequest::Lease(of, n) => of != task || *n + 2 >= id,
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

    /// Acts on a task: tells all other members, and itself.
    fn announce_action(&mut self, task: &str, token: u64, members: &[peers::Member]) {
        let action = LeasedAction { task: task.into(), token, holder: self.peers.me().name.clone() };
        let lease = LeaseToken { task: task.into(), token };
        for member in members.iter().filter(|member| member.name != action.holder) {
            self.send_under_lease(Some(&lease), &member.name, &Message::Action(action.clone()));
        }
        let passes = self.gate.admits(task, token);
        self.events.push(Some(lease), Event::Action(action, passes));
    }

    /// Stops acting on a task, and lets another have it.
    pub fn release_task(&mut self, now: Micros, task: &str) {
        let (rest, Some(holder)) = (self.terms.duration / 2, self.holders.get_mut(task)) else { return };
        if let Some((id, command)) = holder.release(now, rest) {
            self.request(RequestBody::Change(command), Some(PendingRequest::Lease(task.into(), id)));
        }
        if let Some((token, _, _)) = self.acting.remove(task) {
            self.push_event(Event::LeaseEnded(task.into(), token));
        }
    }

    /// Gives back all that it holds.
    pub fn release_all_tasks(&mut self, now: Micros) {
        self.holders.keys().cloned().collect::<Vec<_>>().iter().for_each(|task| self.release_task(now, task));
    }

    /// Another voter leads, if this one does and another can.
    pub fn step_down(&mut self) -> bool {
        self.voter.as_mut().is_some_and(Voter::step_down)
    }

    /// It drains now, or no longer.
    pub fn set_draining(&mut self, now: Micros, drains: bool) {
        self.peers.drains(now, drains);
    }

    /// It goes.
    pub fn leave(&mut self, now: Micros) {
        self.release_all_tasks(now);
        self.holders.clear();
        self.peers.leave(now);
        self.send_gossip();
    }

    /// The next message to be sent, and where to. `now` is read anew for each: an act whose lease has ended since it was decided
    /// is dropped.
    pub fn next_message(&mut self, now: Micros) -> Option<(SocketAddr, Vec<u8>)> {
        let mut messages = std::mem::take(&mut self.messages);
        let message = messages.pop(|lease| self.lease_allows(now, lease));
        self.messages = messages;
        message
    }

    /// The next event to be carried out. `now` is read anew for each, and is the event's time: what was decided under a lease that
    /// has ended since is dropped.
    pub fn next_event(&mut self, now: Micros) -> Option<Event> {
        let mut events = std::mem::take(&mut self.events);
        let event = events.pop(|lease| self.lease_allows(now, lease));
        self.events = events;
        event
    }

    /// Whether an act under this grant may begin now.
    fn lease_allows(&self, now: Micros, lease: &LeaseToken) -> bool {
        self.acting_token(now, &lease.task) == Some(lease.token)
    }

    /// Whether something is decided under a lease and not yet done.
    #[cfg(feature = "failpoints")]
    pub fn has_pending_actions(&self) -> bool {
        self.messages.holds_lease_entries()
    }

    /// All that an operator wants to see, a line each.
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
