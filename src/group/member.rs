//! One process in the group: its membership, its vote where it has one, and the tasks that it wants. No I/O.
//!
//! Promised: a task's act is begun only under a lease that is its own by its own clock; what it knows of the record is never
//! older than what it knew before. A datagram that cannot be read is counted and changes nothing.

use super::folder::Keep;
use super::lease::{Gate, Holder, Terms};
use super::record::State;
use super::voter::{Said, Voter};
use super::words::{Act, Answer, Question, Reply, Wish, Words};
use crate::api::Micros;
use crate::peers::{Note, Peers};
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
}

/// Between two looks at the record, and two tellings of an act.
const EVERY: Micros = 1_000_000;
const ACTS: Micros = 100_000;

/// A member.
pub struct Member<K> {
    peers: Peers,
    voters: Vec<String>,
    voter: Option<Voter<K>>,
    /// The record as last heard, where it does not vote itself.
    heard: State,
    terms: Terms,
    turn: Micros,
    holders: BTreeMap<String, Holder>,
    /// Under which token it acts, since when, and when it told of it last.
    acting: BTreeMap<String, (u64, Micros, Micros)>,
    gate: Gate,
    /// Whom to ask: the voter that led when last heard of, else one after the other.
    ask: usize,
    /// Questions that are out: which task's they are, and their number there.
    asked: BTreeMap<u64, (String, u64)>,
    questions: u64,
    looked: Micros,
    out: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
    /// Datagrams that could not be read.
    pub junk: u64,
}

impl<K: Keep> Member<K> {
    /// One that wants these tasks, each for at most `turn` at a time.
    pub fn new(
        now: Micros,
        peers: Peers,
        voters: &[String],
        voter: Option<Voter<K>>,
        terms: Terms,
        tasks: (&[String], Micros),
    ) -> Member<K> {
        let mut voters = voters.to_vec();
        voters.sort();
        // A name may be taken over by a later process: what the older one holds is not the later one's.
        let me = format!("{}#{}", peers.me().name, peers.me().started);
        let holder = |task: &String| (task.clone(), Holder::new(now, terms, task, &me));
        Member {
            voters,
            voter,
            heard: State::default(),
            terms,
            turn: tasks.1,
            holders: tasks.0.iter().map(holder).collect(),
            acting: BTreeMap::new(),
            gate: Gate::default(),
            ask: peers.me().started as usize,
            asked: BTreeMap::new(),
            questions: 0,
            looked: now,
            out: Vec::new(),
            events: Vec::new(),
            junk: 0,
            peers,
        }
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
        self.holders.get(task)?.acts(now).filter(|token| self.acting.get(task).is_some_and(|a| a.0 == *token))
    }

    /// A datagram's words.
    pub fn read(&mut self, now: Micros, words: &[u8]) {
        match Words::read(words) {
            Some(Words::Gossip(bytes)) => self.junk += u64::from(self.peers.read(now, &bytes).is_err()),
            Some(Words::Voters(bytes)) => {
                let read = self.voter.as_mut().map(|voter| voter.read(&bytes));
                self.junk += u64::from(matches!(read, Some(Err(_))));
            }
            Some(Words::Question(question)) => self.question(question),
            Some(Words::Answer(answer)) => self.answer(now, answer),
            Some(Words::Act(act)) => {
                let passes = self.gate.passes(&act.task, act.token);
                self.events.push(Event::Act(act, passes));
            }
            None => self.junk += 1,
        }
    }

    fn question(&mut self, question: Question) {
        let Question { id, from, what } = question;
        let Some(voter) = &mut self.voter else { return };
        let reply = match what {
            Wish::Change(command) if voter.ask(&from, id, &command) => return,
            Wish::Change(_) => Reply::Elsewhere(voter.leader().0.map(Into::into)),
            Wish::Later(version) if voter.state().version > version => Reply::Record(voter.state().clone()),
            Wish::Later(_) => Reply::Same,
        };
        self.say(&from, &Words::Answer(Answer { id, what: reply }));
    }

    fn answer(&mut self, now: Micros, answer: Answer) {
        let asked = self.asked.remove(&answer.id);
        match answer.what {
            Reply::Outcome(outcome) => {
                if let Some((task, id)) = asked {
                    self.holders.entry(task).and_modify(|holder| holder.answer(now, id, &outcome));
                }
            }
            Reply::Elsewhere(leader) => {
                let known = leader.and_then(|name| self.voters.iter().position(|voter| *voter == name));
                self.ask = known.unwrap_or(self.ask + 1);
            }
            Reply::Record(state) if state.version > self.heard.version => self.heard = state,
            Reply::Record(_) | Reply::Same => {}
        }
    }

    fn gossip(&mut self) {
        let sends = self.peers.sends().into_iter();
        self.out.extend(sends.map(|(to, bytes)| (to, Words::Gossip(bytes).write())));
    }

    fn say(&mut self, to: &str, words: &Words) {
        if let Some(at) = self.peers.address(to) {
            self.out.push((at, words.write()));
        }
    }

    fn wish(&mut self, what: Wish, task: Option<(String, u64)>) {
        if self.voters.is_empty() {
            return;
        }
        self.questions += 1;
        let (id, from) = (self.questions, self.peers.me().name.clone());
        if let Some(task) = task {
            self.asked.insert(id, task);
            while self.asked.len() > 64 {
                self.asked.pop_first();
            }
        }
        // Itself, if it leads: the words go the same way.
        let to = match &self.voter {
            Some(voter) if voter.leads() => from.clone(),
            _ => self.voters[self.ask % self.voters.len()].clone(),
        };
        let question = Question { id, from: from.clone(), what };
        match to == from {
            true => self.question(question),
            false => self.say(&to, &Words::Question(question)),
        }
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Micros) {
        self.peers.turn(now);
        let notes = self.peers.notes();
        self.events.extend(notes.into_iter().map(Event::Peer));
        self.gossip();
        self.vote(now);
        for task in self.holders.keys().cloned().collect::<Vec<_>>() {
            self.task(now, &task);
        }
        if now >= self.looked + EVERY {
            self.looked = now;
            if self.voter.is_none() {
                self.ask += usize::from(self.holders.is_empty());
                self.wish(Wish::Later(self.heard.version), None);
            }
        }
    }

    fn vote(&mut self, now: Micros) {
        let me = self.peers.me().name.clone();
        // Answers to itself may let the voter say more.
        for _ in 0..2 {
            let Some(voter) = &mut self.voter else { return };
            match voter.turn(now) {
                Ok(said) => {
                    for said in said {
                        match said {
                            Said::Message { to, bytes } => self.say(&to, &Words::Voters(bytes)),
                            Said::Answer { to, id, outcome } => {
                                let answer = Answer { id, what: Reply::Outcome(outcome) };
                                match to == me {
                                    true => self.answer(now, answer),
                                    false => self.say(&to, &Words::Answer(answer)),
                                }
                            }
                        }
                    }
                }
                Err(e) => {
                    self.heard = voter.state().clone();
                    self.voter = None;
                    self.events.push(Event::Silenced(e));
                }
            }
        }
    }

    fn task(&mut self, now: Micros, task: &str) {
        let Some(holder) = self.holders.get_mut(task) else { return };
        let asks = holder.turn(now);
        let may = holder.acts(now);
        if let Some((id, command)) = asks {
            // Whoever did not answer in a sixth of a span is not asked again at once.
            if !self.asked.is_empty() && self.asked.values().any(|(t, _)| t == task) {
                self.ask += 1;
                self.asked.retain(|_, (t, n)| t != task || *n + 2 >= id);
            }
            self.wish(Wish::Change(command), Some((task.into(), id)));
        }
        let was = self.acting.get(task).copied();
        if let Some((token, _, _)) = was.filter(|was| may != Some(was.0)) {
            self.acting.remove(task);
            self.events.push(Event::Let(task.into(), token));
        }
        let Some(token) = may else { return };
        if was.is_none_or(|was| was.0 != token) {
            self.acting.insert(task.into(), (token, now, 0));
            self.events.push(Event::Taken(task.into(), token));
        }
        let Some(acting) = self.acting.get_mut(task) else { return };
        if now >= acting.1 + self.turn {
            return self.give_back(now, task);
        }
        if now >= acting.2 + ACTS {
            acting.2 = now;
            let act = Act { task: task.into(), token, holder: self.peers.me().name.clone() };
            for member in self.peers.members() {
                if member.name != act.holder {
                    self.say(&member.name, &Words::Act(act.clone()));
                }
            }
            let passes = self.gate.passes(task, token);
            self.events.push(Event::Act(act, passes));
        }
    }

    /// Stops acting on a task, and lets another have it.
    pub fn give_back(&mut self, now: Micros, task: &str) {
        let (rest, Some(holder)) = (self.terms.span / 2, self.holders.get_mut(task)) else { return };
        if let Some((id, command)) = holder.give_back(now, rest) {
            self.wish(Wish::Change(command), Some((task.into(), id)));
        }
        if let Some((token, _, _)) = self.acting.remove(task) {
            self.events.push(Event::Let(task.into(), token));
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

    /// What is to be sent, and where.
    pub fn sends(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What happened.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// All that an operator wants to see, a line each.
    pub fn show(&self, now: Micros) -> String {
        let mut text = String::new();
        for m in self.peers.members() {
            let (drains, voter) = (
                if m.drains { " drains" } else { "" },
                if self.voters.contains(&m.name) { " voter" } else { "" },
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
        }
        let record = self.record();
        let _ = write!(text, "record version={} tokens={}\r\n", record.version, record.tokens);
        for (task, lease) in &record.leases {
            let holder = lease.holder.as_deref().map_or("none", |h| h.split('#').next().unwrap_or(h));
            let left = self.holders.get(task).map_or(0, |h| h.left(now)) / 1_000;
            let left = if left > 0 { format!(" left={left}ms") } else { String::new() };
            let _ = write!(text, "lease {task} holder={holder} token={}{left}\r\n", lease.token);
        }
        let _ = write!(text, "unread {}\r\n", self.junk);
        text
    }
}
