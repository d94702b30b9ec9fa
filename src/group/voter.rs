//! A voter: tikv's raft over the record, as a driver without I/O. Messages, questions and the time go in; messages, answers
//! and what is to be kept come out. A raft message is never sent before what it promises is kept.
//!
//! Promised: an answer is given only for what a majority has kept. Where its folder fails, is older than what it has promised
//! from it ([`Beacon`]), or another has its place, a voter says nothing more.

use super::folder::{StorageUpdate, StoredVoter, VoterStorage};
use super::lease::{LeaseMonitor, LeaseTerms};
use super::record::{Command, Outcome, State};
use crate::api::Micros;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, HardState, Message, Snapshot,
};
use raft::storage::MemStorage;
use raft::{
    Config, GetEntriesContext, ProgressState, RaftState, RawNode, SnapshotStatus, StateRole, Storage,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Between two ticks of the protocol; ten without a word, and another stands for election.
pub const TICK_INTERVAL: Micros = 100_000;
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

/// How far a voter's folder has come: told to the others, who say so when they have heard of more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FolderProgress {
    /// The latest term that it has kept.
    pub term: u64,
    /// The last that it has kept as decided.
    #[serde(rename = "decided")]
    pub committed: u64,
}

/// What a voter tells the others of its folder now and then, and asks them at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// Whose.
    pub name: String,
    /// The folder's number.
    pub id: u64,
    /// How far it has come.
    #[serde(rename = "far")]
    pub progress: FolderProgress,
    /// In an answer: what was heard of the folder with this number.
    pub heard: Option<(u64, FolderProgress)>,
    /// It wants to be let in, in this one's place.
    #[serde(rename = "instead")]
    pub replaces: Option<String>,
}

/// What a voter wants said.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// To another voter.
    Beacon {
        /// Its name.
        to: String,
        /// The words.
        beacon: Beacon,
    },
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

/// Between two beacons, and two of one that is not in yet.
const BEACON: Micros = 1_000_000;
const ASKING: Micros = 200_000;
/// A snapshot that was not taken by then was lost on its way.
const TAKEN: Micros = 2_000_000;

/// What waits until the storage has kept a write.
struct Unkept {
    /// The number of the write.
    write: u64,
    /// The number of the protocol's step that it is for.
    step: u64,
    /// Messages that promise what the write keeps.
    promises: Vec<Message>,
    /// Up to where a snapshot in it is applied.
    snapshot: Option<u64>,
    /// How far the storage has come with it.
    far: Option<FolderProgress>,
}

/// One voter.
pub struct Voter<K> {
    node: RawNode<Log>,
    me: String,
    others: Vec<String>,
    /// Numbers of folders whose names were told, beside those in the record.
    book: BTreeMap<u64, String>,
    keep: K,
    /// Writes that were handed to the storage, and what waits for them.
    saved: u64,
    unkept: VecDeque<Unkept>,
    /// Term and vote that were handed to it last.
    kept_hard: HardState,
    instead: Option<String>,
    state: State,
    terms: LeaseTerms,
    /// How far its folder has come, and how far the others say that theirs have.
    far: FolderProgress,
    heard: BTreeMap<u64, FolderProgress>,
    /// Others that have answered it since its start; none once it is in.
    answered: Option<Vec<u64>>,
    told: Micros,
    /// Who is being sent a snapshot, since when.
    sent: BTreeMap<u64, Micros>,
    /// Why it must not go on.
    wrong: Option<String>,
    /// What it looks after while it leads, and every command of the leaders before it is in the state.
    watch: Option<LeaseMonitor>,
    /// Who asked what was proposed here and is not decided, by the number in the entry.
    waits: BTreeMap<u64, (String, u64)>,
    proposed: u64,
    ticked: Micros,
    freed: Micros,
    applied: u64,
    /// The leader's folder and the term when they were logged last.
    known_leader: (u64, u64),
    said: Vec<Outgoing>,
}

impl<K: VoterStorage> Voter<K> {
    /// The voter of this name, with what it has kept.
    /// `others`: who is asked at first.
    pub fn new(
        now: Micros,
        me: &str,
        others: &[String],
        terms: LeaseTerms,
        keep: K,
        kept: StoredVoter,
    ) -> Result<Voter<K>, String> {
        let told = |e: raft::Error| e.to_string();
        let memory = MemStorage::new();
        let (mut state, mut applied) = (State::default(), 0);
        {
            let mut log = memory.wl();
            if kept.snapshot.get_metadata().index > 0 {
                state = State::decode(&kept.snapshot.data)
                    .ok_or("its snapshot cannot be read: a newer program wrote it")?;
                applied = kept.snapshot.get_metadata().index;
                log.apply_snapshot(kept.snapshot.clone()).map_err(told)?;
            }
            let behind: Vec<Entry> = kept.entries.iter().filter(|e| e.index > applied).cloned().collect();
            log.append(&behind).map_err(told)?;
            if kept.hard_state.term > 0 {
                let mut hard = kept.hard_state.clone();
                hard.commit = hard.commit.max(applied);
                log.set_hardstate(hard);
            }
        }
        // Each stands for election at a time of its own, so that no two do at once; one that joins draws it.
        let rank = kept.snapshot.get_metadata().get_conf_state().voters.iter().filter(|id| **id < kept.id);
        let first = 10 + 3 * rank.count();
        let (min_election_tick, max_election_tick) =
            if kept.replaces.is_none() { (first, first + 1) } else { (10, 20) };
        let config = Config {
            id: kept.id,
            election_tick: 10,
            min_election_tick,
            max_election_tick,
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
        Ok(Voter {
            node,
            me: me.into(),
            others: others.iter().filter(|name| *name != me).cloned().collect(),
            book: BTreeMap::new(),
            keep,
            saved: 0,
            kept_hard: kept.hard_state.clone(),
            unkept: VecDeque::new(),
            instead: kept.replaces,
            state,
            terms,
            far: FolderProgress { term: kept.hard_state.term, committed: kept.hard_state.commit },
            heard: BTreeMap::new(),
            answered: Some(Vec::new()),
            told: 0,
            sent: BTreeMap::new(),
            wrong: None,
            watch: None,
            waits: BTreeMap::new(),
            proposed: 0,
            ticked: now,
            freed: now,
            applied,
            known_leader: (0, 0),
            said: Vec::new(),
        })
    }

    /// The record as this voter knows it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether it leads, and the record is whole here.
    pub fn is_ready_leader(&self) -> bool {
        self.watch.is_some()
    }

    fn name(&self, id: u64) -> Option<&str> {
        self.state.voters.get(&id).or_else(|| self.book.get(&id)).map(String::as_str)
    }

    /// Who leads, as far as it knows, and the term.
    pub fn leader(&self) -> (Option<&str>, u64) {
        (self.name(self.node.raft.leader_id), self.node.raft.term)
    }

    /// Another takes over, if one can.
    pub fn step_down(&mut self) -> bool {
        let me = self.node.raft.id;
        let all = self.state.voters.keys().copied();
        let matched = |id: &u64| self.node.raft.prs().get(*id).map_or(0, |progress| progress.matched);
        let (other, leads) = (all.filter(|&id| id != me).max_by_key(matched), self.is_ready_leader());
        other.filter(|_| leads).into_iter().for_each(|id| self.node.transfer_leader(id));
        leads
    }

    /// A message from another voter.
    pub fn handle_message(&mut self, bytes: &[u8]) -> Result<(), String> {
        let message = Message::parse_from_bytes(bytes).map_err(|e| e.to_string())?;
        if message.to != self.node.raft.id {
            return Err("is for another group".into());
        }
        // Nothing is promised before the others have said that this folder is not an older one.
        if self.answered.is_some() || self.wrong.is_some() {
            return Ok(());
        }
        self.node.step(message).map_err(|e| e.to_string())
    }

    /// Another voter told how far its folder has come; what it has heard of this one may stand beside.
    pub fn handle_beacon(&mut self, beacon: &Beacon) {
        if beacon.id == self.node.raft.id {
            return;
        }
        if self.book.len() < 64 {
            self.book.insert(beacon.id, beacon.name.clone());
        }
        if let Some((id, far)) = beacon.heard {
            if id == self.node.raft.id {
                if far > self.far {
                    self.wrong = Some(format!(
                        "its folder is an older copy: it has kept {:?}, {} has heard {far:?}",
                        self.far, beacon.name
                    ));
                }
                // Only those count who vote, as far as is known here.
                if let Some(answered) =
                    self.answered.as_mut().filter(|all| !all.contains(&beacon.id) && all.len() < 64)
                {
                    answered.push(beacon.id);
                }
            }
        }
        if self.heard.len() < 64 || self.heard.contains_key(&beacon.id) {
            let heard = self.heard.entry(beacon.id).or_default();
            *heard = beacon.progress.max(*heard);
            // An answer is not answered.
            if beacon.heard.is_none() {
                let heard = Some((beacon.id, *heard));
                let answer = Beacon { heard, ..self.own() };
                self.said.push(Outgoing::Beacon { to: beacon.name.clone(), beacon: answer });
            }
        }
        self.let_in(beacon);
    }

    fn own(&self) -> Beacon {
        let id = self.node.raft.id;
        let instead = self.instead.clone().filter(|_| !self.is_member());
        Beacon { name: self.me.clone(), id, progress: self.far, heard: None, replaces: instead }
    }

    /// Whoever wants a place takes it from the one that had it, in one step that both majorities keep.
    fn let_in(&mut self, beacon: &Beacon) {
        let Some(instead) = beacon.replaces.as_ref().filter(|_| self.is_ready_leader()) else { return };
        let had = |(_, name): &(&u64, &String)| *name == instead;
        let (seats, me) = (&self.state.voters, self.node.raft.id);
        let twice = seats.contains_key(&beacon.id)
            || instead != &beacon.name && seats.values().any(|name| *name == beacon.name);
        let Some(&old) = seats.iter().find(had).map(|(id, _)| id).filter(|&&id| id != me && !twice) else {
            return;
        };
        let change = |kind, id| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = id;
            change
        };
        let mut both = ConfChangeV2::default();
        both.set_changes(
            vec![change(ConfChangeType::AddNode, beacon.id), change(ConfChangeType::RemoveNode, old)].into(),
        );
        both.context = beacon.name.clone().into();
        // Refused while another change is under way: it is asked for again.
        let _ = self.node.propose_conf_change(Vec::new(), both);
    }

    /// Somebody wants the record changed. `false`: this voter does not lead, ask another.
    pub fn request(&mut self, from: &str, id: u64, command: &Command) -> bool {
        self.is_ready_leader() && self.propose(command, Some((from.into(), id)))
    }

    fn propose(&mut self, command: &Command, from: Option<(String, u64)>) -> bool {
        self.proposed += 1;
        let mark = self.proposed.to_le_bytes().to_vec();
        let taken = self.node.propose(mark, command.encode()).is_ok();
        if let Some(from) = from.filter(|_| taken) {
            self.waits.insert(self.proposed, from);
            // Whoever has not been answered by then asks again.
            while self.waits.len() > 256 {
                self.waits.pop_first();
            }
        }
        taken
    }

    /// Tells the others how far this folder has come; whether this voter is in.
    fn tells(&mut self, now: Micros) -> bool {
        let every = if self.answered.is_some() || self.own().replaces.is_some() { ASKING } else { BEACON };
        if now >= self.told + every {
            self.told = now;
            let (me, beacon) = (self.node.raft.id, self.own());
            let known = self.state.voters.iter().chain(&self.book).filter(|(id, _)| **id != me);
            let names = known.map(|(_, name)| name).filter(|name| **name != self.me);
            let mut names: Vec<&String> = names.chain(&self.others).collect();
            names.sort();
            names.dedup();
            let said =
                names.into_iter().map(|to| Outgoing::Beacon { to: to.clone(), beacon: beacon.clone() });
            self.said.extend(said);
        }
        if let Some(answered) = &self.answered {
            // With itself these are a majority; one that has no place yet has promised nobody anything.
            let seats = &self.state.voters;
            let voters = answered.iter().filter(|id| seats.contains_key(id)).count();
            if seats.is_empty() || voters >= seats.len() / 2 {
                self.answered = None;
            }
        }
        self.answered.is_none()
    }

    /// Does what is due; what is to be said afterwards. After an error this voter must be dropped.
    pub fn poll(&mut self, now: Micros) -> Result<Vec<Outgoing>, String> {
        let inside = self.tells(now);
        if let Some(wrong) = self.wrong.take() {
            return Err(wrong);
        }
        if !inside {
            self.ticked = now;
            return Ok(std::mem::take(&mut self.said));
        }
        // One that was stopped does not make up for all of it at once.
        self.ticked = self.ticked.max(now.saturating_sub(3 * TICK_INTERVAL));
        while now >= self.ticked + TICK_INTERVAL {
            self.ticked += TICK_INTERVAL;
            self.node.tick();
        }
        self.settle(now)?;
        if now >= self.freed + TICK_INTERVAL {
            self.freed = now;
            let over = match &mut self.watch {
                Some(watch) => watch.expired(now, &self.terms, &self.state),
                None => Vec::new(),
            };
            for free in &over {
                self.propose(free, None);
            }
            self.resend(now);
            self.settle(now)?;
        }
        Ok(std::mem::take(&mut self.said))
    }

    /// Snapshots that were lost on their way are sent again.
    fn resend(&mut self, now: Micros) {
        let progress = self.node.raft.prs().iter();
        let taking = progress.filter(|(_, p)| p.state == ProgressState::Snapshot).map(|(id, _)| *id);
        let taking: Vec<u64> = taking.collect();
        self.sent.retain(|id, _| taking.contains(id));
        for id in taking {
            if now >= *self.sent.entry(id).or_insert(now) + TAKEN {
                self.sent.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    fn save(&mut self, save: StorageUpdate) -> Result<(), String> {
        self.keep.save(save)?;
        self.saved += 1;
        Ok(())
    }

    /// Goes on with what the storage has kept meanwhile: only now its promises are sent.
    fn take_kept(&mut self) -> Result<(), String> {
        let kept = self.keep.persisted(self.saved)?;
        while let Some(done) = self.unkept.pop_front_if(|unkept| unkept.write <= kept) {
            self.far = done.far.map_or(self.far, |far| self.far.max(far));
            self.node.on_persist_ready(done.step);
            if let Some(index) = done.snapshot {
                self.node.advance_apply_to(index);
            }
            self.send(done.promises);
        }
        Ok(())
    }

    fn settle(&mut self, now: Micros) -> Result<(), String> {
        self.take_kept()?;
        while self.node.has_ready() {
            self.step(now)?;
            self.take_kept()?;
        }
        self.note_leader();
        if self.node.raft.state != StateRole::Leader {
            self.watch = None;
            self.waits.clear();
        }
        let from = self.node.store().latest.get_metadata().index;
        if self.applied < from + CUT {
            return Ok(());
        }
        self.cut()
    }

    /// One step of the protocol: sends what promises nothing, hands what must be kept to the storage, and applies what is decided.
    fn step(&mut self, now: Micros) -> Result<(), String> {
        let mut ready = self.node.ready();
        self.send(ready.take_messages());
        let snapshot = Some(ready.snapshot().clone()).filter(|snapshot| !snapshot.is_empty());
        if let Some(snapshot) = &snapshot {
            self.take_snapshot(snapshot)?;
        }
        let (entries, hard) = (ready.entries().clone(), ready.hs().cloned());
        let written = self.keep_step(&entries, hard.as_ref(), snapshot.as_ref())?;
        {
            let mut log = self.node.store().memory.wl();
            log.append(&entries).map_err(|e| e.to_string())?;
            hard.iter().for_each(|hard| log.set_hardstate(hard.clone()));
        }
        self.unkept.push_back(Unkept {
            write: self.saved,
            step: ready.number(),
            promises: ready.take_persisted_messages(),
            snapshot: snapshot.map(|snapshot| snapshot.get_metadata().index),
            far: hard
                .filter(|_| written)
                .map(|hard| FolderProgress { term: hard.term, committed: hard.commit }),
        });
        let decided = ready.take_committed_entries();
        self.node.advance_append_async(ready);
        if let Some(last) = decided.last().map(|entry| entry.index) {
            self.apply(now, decided)?;
            self.node.advance_apply_to(last);
        }
        Ok(())
    }

    fn take_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), String> {
        self.state = State::decode(&snapshot.data).ok_or("a snapshot came that cannot be read")?;
        self.applied = snapshot.get_metadata().index;
        let store = self.node.mut_store();
        store.memory.wl().apply_snapshot(snapshot.clone()).map_err(|e| e.to_string())?;
        store.latest = snapshot.clone();
        Ok(())
    }

    /// Hands to the storage what must be kept of a step; whether there was any.
    fn keep_step(
        &mut self,
        entries: &[Entry],
        hard: Option<&HardState>,
        snapshot: Option<&Snapshot>,
    ) -> Result<bool, String> {
        // A leader's log says what it has decided: that alone is no cause to write.
        let leads = self.node.raft.state == StateRole::Leader;
        let kept = &self.kept_hard;
        let news = hard.is_some_and(|hard| !leads || (hard.term, hard.vote) != (kept.term, kept.vote));
        if entries.is_empty() && snapshot.is_none() && !news {
            return Ok(false);
        }
        if let Some(hard) = hard {
            self.kept_hard = hard.clone();
        }
        self.save(StorageUpdate { entries, hard_state: hard, snapshot, reset_log: snapshot.is_some() })?;
        Ok(true)
    }

    fn note_leader(&mut self) {
        let leader = (self.node.raft.leader_id, self.node.raft.term);
        if leader != self.known_leader {
            self.known_leader = leader;
            let (leader, term) = self.leader();
            tracing::info!(leader, term, "group: leader");
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = self.name(message.to).map(String::from);
            if let Some((to, bytes)) = to.zip(message.write_to_bytes().ok()) {
                self.said.push(Outgoing::Message { to, bytes });
            }
        }
    }

    fn apply(&mut self, now: Micros, entries: Vec<Entry>) -> Result<(), String> {
        for entry in entries {
            self.applied = entry.index;
            let leads = self.node.raft.state == StateRole::Leader && entry.term == self.node.raft.term;
            if entry.get_entry_type() == EntryType::EntryConfChangeV2 {
                self.reseat(&entry)?;
            } else if !entry.data.is_empty() {
                // To pass over what the others apply would be another record than theirs.
                let command = Command::decode(&entry.data);
                let command = command.ok_or("a newer program decided what this one cannot read")?;
                let outcome = self.state.apply(&command);
                let mark = <[u8; 8]>::try_from(&entry.context[..]).map(u64::from_le_bytes);
                if let Some((to, id)) = mark.ok().filter(|_| leads).and_then(|mark| self.waits.remove(&mark))
                {
                    self.said.push(Outgoing::Answer { to, id, outcome });
                }
            }
            if leads && self.watch.is_none() {
                // All that leaders before this one decided is in the state: from now on it looks after leases.
                self.watch = Some(LeaseMonitor::new(now, &self.state));
            }
        }
        Ok(())
    }

    /// The voters have changed, or both majorities have and one is enough from now on.
    fn reseat(&mut self, entry: &Entry) -> Result<(), String> {
        let change = ConfChangeV2::parse_from_bytes(&entry.data).map_err(|e| e.to_string())?;
        let conf = self.node.apply_conf_change(&change).map_err(|e| e.to_string())?;
        let new = change.get_changes().iter().find(|c| c.get_change_type() == ConfChangeType::AddNode);
        let name = String::from_utf8_lossy(&change.context).into_owned();
        let ids: Vec<u64> = conf.voters.iter().chain(&conf.voters_outgoing).copied().collect();
        self.state.set_voters(&ids, new.map(|new| (new.node_id, name)));
        self.node.store().memory.wl().set_conf_state(conf);
        // Whoever is new begins with a record that names it.
        self.cut()
    }

    /// Whether its folder is among the voters, and those of the change before it are needed no more.
    pub fn is_member(&self) -> bool {
        let over = self.node.raft.prs().conf().to_conf_state().voters_outgoing.is_empty();
        over && self.state.voters.contains_key(&self.node.raft.id)
    }

    /// Whether another has its place now, by a record that is as late as its own or later.
    pub fn is_replaced(&self, record: &State) -> bool {
        let had = self.instead.is_none() || self.is_member();
        had && record.version >= self.state.version && !record.voters.contains_key(&self.node.raft.id)
    }

    fn cut(&mut self) -> Result<(), String> {
        let told = |e: raft::Error| e.to_string();
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied;
        snapshot.mut_metadata().term = self.node.store().term(self.applied).map_err(told)?;
        *snapshot.mut_metadata().mut_conf_state() = self.node.raft.prs().conf().to_conf_state();
        snapshot.data = self.state.encode().into();
        self.save(StorageUpdate { snapshot: Some(&snapshot), ..StorageUpdate::default() })?;
        let store = self.node.mut_store();
        store.memory.wl().compact(self.applied).map_err(told)?;
        store.latest = snapshot;
        Ok(())
    }
}

#[cfg(test)]
#[path = "voter_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "voter_search.rs"]
mod search;
