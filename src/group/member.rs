//! One process in the group: its membership, its vote where it has one, and the tasks that it wants. No I/O.
//!
//! Promised: a task's act is begun only under a lease that is its own by its own clock, both when the act is decided and when it
//! leaves the [`Outbox`]; what it knows of the record is never older than what it knew before. A datagram that cannot be read is counted and changes nothing.

use super::account::{Book, Page};
use super::folder::VoterStorage;
use super::lease::{LeaseClient, LeaseTerms, TokenFence};
use super::outbox::{LeaseToken, Outbox};
use super::record::{Outcome, State};
use super::voter::{Outgoing, Voter};
use super::words::{Act, Answer, Parts, Question, Reply, Wish, Words};
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
    Peer(Note),
    /// It holds the task from now on.
    Taken(String, u64),
    /// It acts no longer under this token.
    Let(String, u64),
    /// An act of somebody's came; whether it is carried out.
    Act(Act, bool),
    /// Its folder failed: it votes no more.
    Silenced(String),
    /// A page of the fleet's account is to be written.
    Page(Page),
    /// A balancer's digest came to whoever makes the plan.
    Seen(Digest),
    /// Another plan is proposed.
    Planned(Plan),
}

/// Between two looks at the record that nobody's gossip gave cause for, and two questions for the same one.
const EVERY: Micros = 10_000_000;
const AGAIN: Micros = 300_000;
/// Between two tellings of an act to so many members at most; to more it is told less often.
const ACTS: Micros = 100_000;
const MANY: usize = 15;
/// The longest words in one datagram, and in each of several.
const ONE: usize = LONGEST - ADDED;
const PIECE: usize = ONE - 16;
/// What a question was for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Asked {
    /// A task's lease, by its number there.
    Lease(String, u64),
    /// A page of the account.
    Page(u64),
}

/// What a member does for the fleet, and how.
#[derive(Clone, Debug)]
pub struct Duties {
    /// The tasks that it wants.
    pub tasks: Vec<String>,
    /// It holds one for so long at most.
    pub turn: Micros,
    /// How often the account is written.
    pub account: Micros,
}

/// A member.
pub struct Member<K> {
    pub(super) peers: Peers,
    voters: Vec<String>,
    voter: Option<Voter<K>>,
    /// The record as last heard, where it does not vote itself.
    heard: State,
    terms: LeaseTerms,
    pub(super) duties: Duties,
    holders: BTreeMap<String, LeaseClient>,
    /// Under which token it acts, since when, and when it told of it last.
    acting: BTreeMap<String, (u64, Micros, Micros)>,
    gate: TokenFence,
    /// Whom to ask: the voter that led when last heard of, else one after the other.
    ask: usize,
    /// Questions that are out.
    asked: BTreeMap<u64, Asked>,
    questions: u64,
    /// Answers to questions of its own: there is no address of its own to send them to.
    own_answers: Vec<Answer>,
    looked: Micros,
    /// When a later record was last asked for.
    wanted: Micros,
    parts: Parts,
    marks: u64,
    pub(super) book: Book,
    pub(super) paged: Micros,
    /// Makes plans for zones, where this process can.
    pub(super) planner: Option<Planner>,
    messages: Outbox<(SocketAddr, Vec<u8>)>,
    events: Outbox<Event>,
    /// Datagrams that could not be read.
    pub junk: u64,
}

impl<K: VoterStorage> Member<K> {
    /// One with these duties.
    pub fn new(
        now: Micros,
        peers: Peers,
        voters: &[String],
        voter: Option<Voter<K>>,
        terms: LeaseTerms,
        duties: Duties,
    ) -> Member<K> {
        let mut voters = voters.to_vec();
        voters.sort();
        // A name may be taken over by a later process: what the older one holds is not the later one's.
        let me = format!("{}#{}", peers.me().name, peers.me().started);
        let holder = |task: &String| (task.clone(), LeaseClient::new(now, terms, task, &me));
        Member {
            voters,
            voter,
            heard: State::default(),
            terms,
            holders: duties.tasks.iter().map(holder).collect(),
            duties,
            acting: BTreeMap::new(),
            gate: TokenFence::default(),
            ask: peers.me().started as usize,
            asked: BTreeMap::new(),
            questions: 0,
            own_answers: Vec::new(),
            looked: now,
            wanted: 0,
            parts: Parts::default(),
            marks: peers.me().started.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            book: Book::default(),
            paged: now,
            planner: None,
            messages: Outbox::default(),
            events: Outbox::default(),
            junk: 0,
            peers,
        }
    }

    /// It can make plans for zones.
    pub fn plans(&mut self, planner: Planner) {
        self.planner = Some(planner);
    }

    /// The record as it is known here.
    pub fn record(&self) -> &State {
        self.voter.as_ref().map_or(&self.heard, |voter| match voter.state().version >= self.heard.version {
            true => voter.state(),
            false => &self.heard,
        })
    }

    /// The token under which an act on this task may begin now.
    pub fn acts(&self, now: Micros, task: &str) -> Option<u64> {
        self.holders
            .get(task)?
            .active_token(now)
            .filter(|token| self.acting.get(task).is_some_and(|a| a.0 == *token))
    }

    /// For how long acts on this task may still begin, in microseconds; 0 where none may.
    pub fn lease_left(&self, now: Micros, task: &str) -> Micros {
        match self.acts(now, task) {
            Some(_) => self.holders.get(task).map_or(0, |holder| holder.remaining(now)),
            None => 0,
        }
    }

    /// A datagram's words.
    pub fn read(&mut self, now: Micros, words: &[u8]) {
        match Words::read(words) {
            Some(Words::Gossip { from, version, bytes }) => {
                self.junk += u64::from(self.peers.read(now, &bytes).is_err());
                self.later(now, &from, version);
            }
            Some(Words::Voters(bytes)) => {
                let read = self.voter.as_mut().map(|voter| voter.handle_message(&bytes));
                self.junk += u64::from(matches!(read, Some(Err(_))));
            }
            Some(Words::Beacon(beacon)) => {
                self.voter.iter_mut().for_each(|voter| voter.handle_beacon(&beacon))
            }
            Some(Words::Question(question)) => self.question(question),
            Some(Words::Answer(answer)) => self.answer(now, answer),
            Some(Words::Act(act)) => {
                let passes = self.gate.admits(&act.task, act.token);
                self.report(Event::Act(act, passes));
            }
            Some(Words::Report(report)) => self.book.take(now, report),
            Some(Words::Digest(digest)) => self.seen(now, digest),
            Some(Words::Part(part)) => {
                if let Some(whole) = self.parts.add(part) {
                    // Parts of parts are nobody's words.
                    match whole.first() {
                        Some(b'p') | None => self.junk += 1,
                        Some(_) => self.read(now, &whole),
                    }
                }
            }
            None => self.junk += 1,
        }
    }

    /// Somebody has a record of this version: it is asked for, of whoever has it.
    fn later(&mut self, now: Micros, from: &str, version: u64) {
        let mine = self.record().version;
        if version > mine && now >= self.wanted + AGAIN {
            self.wanted = now;
            self.ask_of(from, Wish::Later(mine), None);
        }
    }

    fn question(&mut self, question: Question) {
        let Question { id, from, what } = question;
        let reply = match what {
            Wish::Change(command) => {
                if self.voter.as_mut().is_some_and(|voter| voter.request(&from, id, &command)) {
                    return;
                }
                Reply::Elsewhere(self.voter.as_ref().and_then(|voter| voter.leader().0.map(Into::into)))
            }
            // Whatever is in anybody's record was decided.
            Wish::Later(version) if self.record().version > version => Reply::Record(self.record().clone()),
            Wish::Later(_) => Reply::Same,
        };
        self.reply(&from, Answer { id, what: reply });
    }

    fn reply(&mut self, to: &str, answer: Answer) {
        if to == self.peers.me().name {
            self.own_answers.push(answer);
        } else {
            self.say(to, &Words::Answer(answer));
        }
    }

    fn take_own_answers(&mut self, now: Micros) {
        for answer in std::mem::take(&mut self.own_answers) {
            self.answer(now, answer);
        }
    }

    fn answer(&mut self, now: Micros, answer: Answer) {
        let asked = self.asked.remove(&answer.id);
        tracing::trace!(id = answer.id, "group: is answered");
        match answer.what {
            Reply::Outcome(Outcome::Stale) if asked.is_none() => {
                tracing::debug!("group: a proposal was based on an older record, or its lease is over");
            }
            Reply::Outcome(outcome) => match asked {
                Some(Asked::Lease(task, id)) => {
                    self.holders.entry(task).and_modify(|holder| holder.handle_outcome(now, id, &outcome));
                }
                Some(Asked::Page(page)) if outcome == Outcome::Done => self.write(now, page),
                _ => {}
            },
            Reply::Elsewhere(leader) => {
                tracing::debug!(leader, "group: a question went to a voter that does not lead");
                let known = leader.and_then(|name| self.voters.iter().position(|voter| *voter == name));
                self.ask = known.unwrap_or(self.ask + 1);
            }
            Reply::Record(state) if state.version > self.heard.version => {
                // The voters are those of the record, whatever the file says.
                if !state.voters.is_empty() {
                    self.voters = state.voters.values().cloned().collect();
                }
                self.heard = state;
            }
            Reply::Record(_) | Reply::Same => {}
        }
    }

    fn gossip(&mut self) {
        let (from, version) = (self.peers.me().name.clone(), self.record().version);
        for (to, bytes) in self.peers.sends() {
            let words = Words::Gossip { from: from.clone(), version, bytes };
            self.messages.push(None, (to, words.write()));
        }
    }

    pub(super) fn say(&mut self, to: &str, words: &Words) {
        self.send(None, to, words);
    }

    /// Queues a message; with a lease it is sent only while the lease lasts.
    fn send(&mut self, lease: Option<&LeaseToken>, to: &str, words: &Words) {
        let Some(at) = self.peers.address(to) else { return };
        let bytes = words.write();
        if bytes.len() <= ONE {
            return self.messages.push(lease.cloned(), (at, bytes));
        }
        self.marks = self.marks.wrapping_add(1);
        let Some(parts) = Parts::cut(self.marks, &bytes, PIECE) else {
            return tracing::error!("group: {} bytes are too long for so many datagrams", bytes.len());
        };
        for part in parts {
            self.messages.push(lease.cloned(), (at, part.write()));
        }
    }

    /// Queues an event that needs no lease.
    fn report(&mut self, event: Event) {
        self.events.push(None, event);
    }

    /// Queues an event that is carried out only while the grant lasts under which it was decided.
    pub(super) fn report_under(&mut self, task: &str, token: u64, event: Event) {
        self.events.push(Some(LeaseToken { task: task.into(), token }), event);
    }

    /// Who is asked for a change. A voter knows who leads; only the leader can change the record, so a voter that asks anyone else
    /// loses the request. Others ask one voter after the other until one names the leader.
    pub(super) fn asks(&self) -> Option<&str> {
        if let Some(voter) = &self.voter {
            let me = self.peers.me().name.as_str();
            let leader = if voter.is_ready_leader() { Some(me) } else { voter.leader().0 };
            if leader.is_some() {
                return leader;
            }
        }
        self.voters.get(self.ask % self.voters.len().max(1)).map(String::as_str)
    }

    pub(super) fn wish(&mut self, what: Wish, asked: Option<Asked>) {
        // The words go the same way to itself.
        let Some(to) = self.asks().map(String::from) else { return };
        self.ask_of(&to, what, asked);
    }

    fn ask_of(&mut self, to: &str, what: Wish, asked: Option<Asked>) {
        self.questions += 1;
        let (id, from) = (self.questions, self.peers.me().name.clone());
        if let Some(asked) = asked {
            self.asked.insert(id, asked);
            while self.asked.len() > 64 {
                self.asked.pop_first();
            }
        }
        tracing::trace!(id, to, ?what, "group: asks");
        let question = Question { id, from: from.clone(), what };
        match to == from {
            true => self.question(question),
            false => self.say(to, &Words::Question(question)),
        }
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Micros) {
        self.peers.turn(now);
        let notes = self.peers.notes();
        notes.into_iter().for_each(|note| self.report(Event::Peer(note)));
        self.gossip();
        self.vote(now);
        self.take_own_answers(now);
        for task in self.holders.keys().cloned().collect::<Vec<_>>() {
            self.task(now, &task);
        }
        self.page(now);
        self.plan(now);
        if now >= self.looked + EVERY {
            self.looked = now;
            self.ask += usize::from(self.holders.is_empty());
            if self.voter.is_none() {
                self.wish(Wish::Later(self.heard.version), None);
            }
        }
    }

    fn vote(&mut self, now: Micros) {
        if self.voter.as_ref().is_some_and(|voter| voter.is_replaced(&self.heard)) {
            self.voter = None;
            self.report(Event::Silenced("another has its place in the record".into()));
        }
        // Answers to itself may let the voter say more.
        for _ in 0..2 {
            let Some(voter) = &mut self.voter else { return };
            match voter.poll(now) {
                Ok(said) => {
                    for said in said {
                        match said {
                            Outgoing::Message { to, bytes } => self.say(&to, &Words::Voters(bytes)),
                            Outgoing::Beacon { to, beacon } => self.say(&to, &Words::Beacon(beacon)),
                            Outgoing::Answer { to, id, outcome } => {
                                self.reply(&to, Answer { id, what: Reply::Outcome(outcome) });
                            }
                        }
                    }
                }
                Err(e) => {
                    self.heard = voter.state().clone();
                    self.voter = None;
                    self.report(Event::Silenced(e));
                }
            }
        }
    }

    fn task(&mut self, now: Micros, task: &str) {
        let Some(holder) = self.holders.get_mut(task) else { return };
        let asks = holder.next_request(now);
        let may = holder.active_token(now);
        if let Some((id, command)) = asks {
            // Whoever did not answer in a sixth of a span is not asked again at once.
            let out = |asked: &Asked| matches!(asked, Asked::Lease(of, _) if of == task);
            if self.asked.values().any(out) {
                self.ask += 1;
                self.asked.retain(|_, asked| match asked {
                    Asked::Lease(of, n) => of != task || *n + 2 >= id,
                    Asked::Page(_) => true,
                });
            }
            self.wish(Wish::Change(command), Some(Asked::Lease(task.into(), id)));
        }
        let was = self.acting.get(task).copied();
        if let Some((token, _, _)) = was.filter(|was| may != Some(was.0)) {
            self.acting.remove(task);
            self.report(Event::Let(task.into(), token));
        }
        let Some(token) = may else { return };
        if was.is_none_or(|was| was.0 != token) {
            self.acting.insert(task.into(), (token, now, 0));
            self.report(Event::Taken(task.into(), token));
        }
        let Some(acting) = self.acting.get_mut(task) else { return };
        if now >= acting.1 + self.duties.turn {
            return self.give_back(now, task);
        }
        let members = self.peers.members();
        if now >= acting.2 + ACTS * members.len().div_ceil(MANY) as Micros {
            acting.2 = now;
            self.act(task, token, &members);
        }
    }

    /// Acts on a task: tells all other members, and itself.
    fn act(&mut self, task: &str, token: u64, members: &[peers::Member]) {
        let act = Act { task: task.into(), token, holder: self.peers.me().name.clone() };
        let lease = LeaseToken { task: task.into(), token };
        for member in members.iter().filter(|member| member.name != act.holder) {
            self.send(Some(&lease), &member.name, &Words::Act(act.clone()));
        }
        let passes = self.gate.admits(task, token);
        self.events.push(Some(lease), Event::Act(act, passes));
    }

    /// Stops acting on a task, and lets another have it.
    pub fn give_back(&mut self, now: Micros, task: &str) {
        let (rest, Some(holder)) = (self.terms.duration / 2, self.holders.get_mut(task)) else { return };
        if let Some((id, command)) = holder.release(now, rest) {
            self.wish(Wish::Change(command), Some(Asked::Lease(task.into(), id)));
        }
        if let Some((token, _, _)) = self.acting.remove(task) {
            self.report(Event::Let(task.into(), token));
        }
    }

    /// Gives back all that it holds.
    pub fn give_up(&mut self, now: Micros) {
        self.holders.keys().cloned().collect::<Vec<_>>().iter().for_each(|task| self.give_back(now, task));
    }

    /// Another voter leads, if this one does and another can.
    pub fn step_down(&mut self) -> bool {
        self.voter.as_mut().is_some_and(Voter::step_down)
    }

    /// It drains now, or no longer.
    pub fn drains(&mut self, now: Micros, drains: bool) {
        self.peers.drains(now, drains);
    }

    /// It goes.
    pub fn leave(&mut self, now: Micros) {
        self.give_up(now);
        self.holders.clear();
        self.peers.leave(now);
        self.gossip();
    }

    /// The next message to be sent, and where to. `now` is read anew for each: an act whose lease has ended since it was decided
    /// is dropped.
    pub fn next_message(&mut self, now: Micros) -> Option<(SocketAddr, Vec<u8>)> {
        let mut messages = std::mem::take(&mut self.messages);
        let message = messages.pop(|lease| self.allows(now, lease));
        self.messages = messages;
        message
    }

    /// The next event to be carried out. `now` is read anew for each, and is the event's time: what was decided under a lease that
    /// has ended since is dropped.
    pub fn next_event(&mut self, now: Micros) -> Option<Event> {
        let mut events = std::mem::take(&mut self.events);
        let event = events.pop(|lease| self.allows(now, lease));
        self.events = events;
        event
    }

    /// Whether an act under this grant may begin now.
    fn allows(&self, now: Micros, lease: &LeaseToken) -> bool {
        self.acts(now, &lease.task) == Some(lease.token)
    }

    /// Whether something is decided under a lease and not yet done.
    #[cfg(feature = "failpoints")]
    pub fn has_undone_acts(&self) -> bool {
        self.messages.holds_lease_entries()
    }

    /// All that an operator wants to see, a line each.
    pub fn show(&self, now: Micros) -> String {
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
        let _ = write!(text, "unread {}\r\n", self.junk);
        text
    }
}

#[cfg(test)]
#[path = "member_tests.rs"]
mod tests;
