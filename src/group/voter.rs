//! A voter: tikv's raft over the record, as a driver without I/O. Messages, questions and the time go in; messages, answers
//! and what is to be kept come out. A raft message is never sent before what it promises is kept.
//!
//! Promised: an answer is given only for what a majority has kept. Where its folder fails a voter says nothing more.

use super::folder::{Keep, Kept};
use super::lease::{Terms, Watch};
use super::record::{Command, Outcome, State};
use crate::api::Micros;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, Message, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage};
use std::collections::BTreeMap;

/// Between two ticks of the protocol; ten without a word, and another stands for election.
pub const TICK: Micros = 100_000;
/// After so many decided commands the log is cut and a snapshot takes its place.
const CUT: u64 = 500;
/// The most bytes of entries in one message, so that it fits a datagram.
const MESSAGE: u64 = 700;

/// The log in memory, with the latest snapshot for those who fell behind it.
struct Log {
    memory: MemStorage,
    latest: Snapshot,
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, from: u64, _: u64) -> raft::Result<Snapshot> {
        match self.latest.get_metadata().index {
            0 => Err(raft::StorageError::SnapshotTemporarilyUnavailable.into()),
            index if index < from => Err(raft::StorageError::SnapshotTemporarilyUnavailable.into()),
            _ => Ok(self.latest.clone()),
        }
    }
}

/// What a voter wants said.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// To another voter.
    Message {
        /// Its name.
        to: String,
        /// The message.
        bytes: Vec<u8>,
    },
    /// To whoever asked.
    Answer {
        /// Who.
        to: String,
        /// The number of the question.
        id: u64,
        /// What came of it.
        outcome: Outcome,
    },
}

/// One voter.
pub struct Voter<K> {
    node: RawNode<Log>,
    names: Vec<String>,
    keep: K,
    state: State,
    terms: Terms,
    /// What it looks after while it leads, and every command of the leaders before it is in the state.
    watch: Option<Watch>,
    /// Who asked what was proposed here and is not decided, by the number in the entry.
    waits: BTreeMap<u64, (String, u64)>,
    proposed: u64,
    ticked: Micros,
    freed: Micros,
    applied: u64,
    said: Vec<Said>,
}

impl<K: Keep> Voter<K> {
    /// The voter of this name, with what it has kept. The names are the same at all voters.
    pub fn new(
        now: Micros,
        me: &str,
        names: &[String],
        terms: Terms,
        keep: K,
        kept: Kept,
    ) -> Result<Voter<K>, String> {
        let mut names = names.to_vec();
        names.sort();
        let id = names.iter().position(|name| name == me).ok_or("is no voter")? as u64 + 1;
        let told = |e: raft::Error| e.to_string();
        let conf = ConfState::from((1..=names.len() as u64, Vec::<u64>::new()));
        let memory = MemStorage::new_with_conf_state(conf);
        let (mut state, mut applied) = (State::default(), 0);
        {
            let mut log = memory.wl();
            if kept.snapshot.get_metadata().index > 0 {
                state = State::read(&kept.snapshot.data)
                    .ok_or("its snapshot cannot be read: a newer program wrote it")?;
                applied = kept.snapshot.get_metadata().index;
                log.apply_snapshot(kept.snapshot.clone()).map_err(told)?;
            }
            let behind: Vec<Entry> = kept.entries.iter().filter(|e| e.index > applied).cloned().collect();
            log.append(&behind).map_err(told)?;
            if kept.hard.term > 0 {
                log.set_hardstate(kept.hard.clone());
            }
        }
        let config = Config {
            id,
            election_tick: 10,
            heartbeat_tick: 2,
            applied,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, Log { memory, latest: kept.snapshot }, &quiet).map_err(told)?;
        let (watch, waits, said) = (None, BTreeMap::new(), Vec::new());
        let (ticked, freed, proposed) = (now, now, 0);
        Ok(Voter { node, names, keep, state, terms, watch, waits, proposed, ticked, freed, applied, said })
    }

    /// The record as this voter knows it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether it leads, and the record is whole here.
    pub fn leads(&self) -> bool {
        self.watch.is_some()
    }

    /// Who leads, as far as it knows, and the term.
    pub fn leader(&self) -> (Option<&str>, u64) {
        let at = (self.node.raft.leader_id as usize).checked_sub(1);
        (at.and_then(|i| self.names.get(i)).map(String::as_str), self.node.raft.term)
    }

    /// Another takes over, if one can.
    pub fn step_down(&mut self) -> bool {
        let me = self.node.raft.id;
        let other = (1..=self.names.len() as u64)
            .filter(|&id| id != me)
            .max_by_key(|&id| self.node.raft.prs().get(id).map_or(0, |progress| progress.matched));
        let leads = self.leads();
        other.filter(|_| leads).into_iter().for_each(|id| self.node.transfer_leader(id));
        leads
    }

    /// A message from another voter.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), String> {
        let message = Message::parse_from_bytes(bytes).map_err(|e| e.to_string())?;
        let known = |id: u64| (1..=self.names.len() as u64).contains(&id);
        if message.to != self.node.raft.id || !known(message.from) {
            return Err("is for another group".into());
        }
        self.node.step(message).map_err(|e| e.to_string())
    }

    /// Somebody wants the record changed. `false`: this voter does not lead, ask another.
    pub fn ask(&mut self, from: &str, id: u64, command: &Command) -> bool {
        self.leads() && self.propose(command, Some((from.into(), id)))
    }

    fn propose(&mut self, command: &Command, from: Option<(String, u64)>) -> bool {
        self.proposed += 1;
        let mark = self.proposed.to_le_bytes().to_vec();
        let taken = self.node.propose(mark, command.write()).is_ok();
        if let Some(from) = from.filter(|_| taken) {
            self.waits.insert(self.proposed, from);
            // Whoever has not been answered by then asks again.
            while self.waits.len() > 256 {
                self.waits.pop_first();
            }
        }
        taken
    }

    /// Does what is due; what is to be said afterwards. An error is the folder's: this voter must be dropped.
    pub fn turn(&mut self, now: Micros) -> Result<Vec<Said>, String> {
        // One that was stopped does not make up for all of it at once.
        self.ticked = self.ticked.max(now.saturating_sub(3 * TICK));
        while now >= self.ticked + TICK {
            self.ticked += TICK;
            self.node.tick();
        }
        self.settle(now)?;
        if now >= self.freed + TICK {
            self.freed = now;
            let over = match &mut self.watch {
                Some(watch) => watch.turn(now, &self.terms, &self.state),
                None => Vec::new(),
            };
            for free in &over {
                self.propose(free, None);
            }
            self.settle(now)?;
        }
        Ok(std::mem::take(&mut self.said))
    }

    fn settle(&mut self, now: Micros) -> Result<(), String> {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.send(ready.take_messages());
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                self.state = State::read(&snapshot.data).ok_or("a snapshot came that cannot be read")?;
                self.applied = snapshot.get_metadata().index;
                let store = self.node.mut_store();
                store.memory.wl().apply_snapshot(snapshot.clone()).map_err(|e| e.to_string())?;
                store.latest = snapshot;
            }
            let decided = ready.take_committed_entries();
            let (entries, hard) = (ready.entries().clone(), ready.hs().cloned());
            let snapshot = Some(ready.snapshot()).filter(|s| !s.is_empty());
            if !entries.is_empty() || hard.is_some() || snapshot.is_some() {
                let first = snapshot.map(|s| s.get_metadata().index);
                self.keep.save(&entries, hard.as_ref(), snapshot, first)?;
                let mut log = self.node.store().memory.wl();
                log.append(&entries).map_err(|e| e.to_string())?;
                hard.into_iter().for_each(|hard| log.set_hardstate(hard));
            }
            self.send(ready.take_persisted_messages());
            self.apply(now, decided);
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.store().memory.wl().mut_hard_state().set_commit(commit);
            }
            self.send(light.take_messages());
            self.apply(now, light.take_committed_entries());
            self.node.advance_apply();
        }
        if self.node.raft.state != StateRole::Leader {
            self.watch = None;
            self.waits.clear();
        }
        self.cut()
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = self.names.get(message.to as usize - 1).cloned();
            if let Some((to, bytes)) = to.zip(message.write_to_bytes().ok()) {
                self.said.push(Said::Message { to, bytes });
            }
        }
    }

    fn apply(&mut self, now: Micros, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = entry.index;
            let leads = self.node.raft.state == StateRole::Leader && entry.term == self.node.raft.term;
            if let Some(command) = Command::read(&entry.data) {
                let outcome = self.state.apply(&command);
                let mark = <[u8; 8]>::try_from(&entry.context[..]).map(u64::from_le_bytes);
                if let Some((to, id)) = mark.ok().filter(|_| leads).and_then(|mark| self.waits.remove(&mark))
                {
                    self.said.push(Said::Answer { to, id, outcome });
                }
            }
            if leads && self.watch.is_none() {
                // All that leaders before this one decided is in the state: from now on it looks after leases.
                self.watch = Some(Watch::new(now, &self.state));
            }
        }
    }

    fn cut(&mut self) -> Result<(), String> {
        let from = self.node.store().latest.get_metadata().index;
        if self.applied < from + CUT {
            return Ok(());
        }
        let told = |e: raft::Error| e.to_string();
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied;
        snapshot.mut_metadata().term = self.node.store().term(self.applied).map_err(told)?;
        *snapshot.mut_metadata().mut_conf_state() = self.node.raft.prs().conf().to_conf_state();
        snapshot.data = self.state.write().into();
        self.keep.save(&[], None, Some(&snapshot), Some(self.applied))?;
        let store = self.node.mut_store();
        store.memory.wl().compact(self.applied).map_err(told)?;
        store.latest = snapshot;
        Ok(())
    }
}

#[cfg(test)]
#[path = "voter_tests.rs"]
mod tests;
