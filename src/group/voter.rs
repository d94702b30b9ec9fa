//! A voter of the group: tikv's raft over the replicated record, as a driver without I/O. Messages, requests and the time go
//! in; messages, answers and storage updates come out.
//!
//! Guarantees: a raft message that depends on a write is sent only after the storage has persisted that write, and a client
//! is answered only after its command has been committed by a majority. A voter stops for good where its storage fails, where
//! its folder is older than what it has already announced from it ([`Beacon`]), or where another folder has replaced it in
//! the group. Not guaranteed: progress without a majority, and an answer to every request; clients ask again.

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

/// Interval between ticks of the raft node.
pub const TICK_INTERVAL: Micros = 100_000;
/// Ticks without a message from the leader after which a voter may start an election.
const ELECTION_TICKS: usize = 10;
/// Extra ticks before an election for each voter with a smaller id, so that no two start one at the same time.
const ELECTION_TICKS_PER_RANK: usize = 3;
/// Upper bound of the randomized election timeout of a voter that joins an existing group, which has no rank yet.
const MAX_ELECTION_TICKS: usize = 20;
/// Ticks between heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Number of messages that a leader may send to a voter before one of them is acknowledged.
const MAX_INFLIGHT_MESSAGES: usize = 16;
/// Number of ticks made up for after a pause of the process; older ones are dropped, so that they do not run all at once.
const MAX_CATCH_UP_TICKS: u64 = 3;
/// Number of applied entries after which the log is compacted into a snapshot.
const ENTRIES_PER_SNAPSHOT: u64 = 500;
/// Maximum size of the entries in one message, in bytes, so that a message fits into a datagram.
const MAX_ENTRY_BYTES_PER_MESSAGE: u64 = 700;
/// Maximum number of folders for which a voter remembers names, progress or confirmations.
const MAX_KNOWN_FOLDERS: usize = 64;
/// Maximum number of requests that wait for their entry to be committed; a client whose request is dropped asks again.
const MAX_WAITING_REQUESTS: usize = 256;

/// The log in memory, with the latest snapshot for voters that need entries from before the start of the log.
struct RaftLog {
    memory: MemStorage,
    latest_snapshot: Snapshot,
}

impl Storage for RaftLog {
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
        match self.latest_snapshot.get_metadata().index {
            0 => Err(raft::StorageError::SnapshotTemporarilyUnavailable.into()),
            index if index < from => Err(raft::StorageError::SnapshotTemporarilyUnavailable.into()),
            _ => Ok(self.latest_snapshot.clone()),
        }
    }
}

/// How far a voter's folder has progressed. Voters announce it to each other; where one has seen a later value for a folder
/// than the folder holds, the folder is an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FolderProgress {
    /// The latest term that the folder has stored.
    pub term: u64,
    /// The highest commit index that the folder has stored.
    #[serde(rename = "decided")]
    pub committed: u64,
}

/// Announcement of a voter's folder, sent to the other voters at its start and periodically after it. The receiver answers
/// with the progress that it has seen of that folder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// Name of the sending voter.
    pub name: String,
    /// Id of the sender's folder.
    pub id: u64,
    /// Progress of the sender's folder.
    #[serde(rename = "far")]
    pub progress: FolderProgress,
    /// In an answer: the id of the recipient's folder, and the latest progress that the sender has seen of it.
    pub heard: Option<(u64, FolderProgress)>,
    /// Name of the voter whose place the sender asks for; none once the sender is a member.
    #[serde(rename = "instead")]
    pub replaces: Option<String>,
}

/// What a voter sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// A beacon to another voter.
    Beacon {
        /// Name of the recipient.
        to: String,
        /// The beacon.
        beacon: Beacon,
    },
    /// A raft message to another voter.
    Message {
        /// Name of the recipient.
        to: String,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The answer to a request.
    Answer {
        /// Name of the client.
        to: String,
        /// The client's id of the request.
        id: u64,
        /// The outcome of the command.
        outcome: Outcome,
    },
}

/// Interval between beacons of an established voter.
const BEACON_INTERVAL: Micros = 1_000_000;
/// Interval between beacons of a voter that is not confirmed or not a member yet.
const JOINING_BEACON_INTERVAL: Micros = 200_000;
/// Time after which a snapshot that the recipient has not applied counts as lost and is sent again.
const SNAPSHOT_TIMEOUT: Micros = 2_000_000;

/// A write that the storage has not persisted yet, with what waits for it.
struct PendingWrite {
    /// Sequence number of the write.
    write_number: u64,
    /// Number of the raft `Ready` that the write belongs to.
    ready_number: u64,
    /// Messages that may be sent only once the write is persisted.
    messages: Vec<Message>,
    /// Index of the snapshot in the write, if there is one.
    snapshot_index: Option<u64>,
    /// Progress of the folder once the write is persisted.
    progress: Option<FolderProgress>,
}

/// A voter of the group.
pub struct Voter<K> {
    node: RawNode<RaftLog>,
    name: String,
    peers: Vec<String>,
    /// Names of voters by folder id, learned from beacons; those of members are in the record.
    known_folders: BTreeMap<u64, String>,
    storage: K,
    /// Number of writes that were handed to the storage.
    writes_issued: u64,
    /// Those that are not persisted yet, oldest first.
    pending_writes: VecDeque<PendingWrite>,
    /// The hard state that was handed to the storage last.
    issued_hard_state: HardState,
    /// Name of the voter whose place this folder was created to take.
    replaces: Option<String>,
    state: State,
    terms: LeaseTerms,
    /// Progress of this voter's folder.
    progress: FolderProgress,
    /// Latest progress announced by other folders, by folder id.
    reported_progress: BTreeMap<u64, FolderProgress>,
    /// Folders that have answered a beacon since the start; `None` once a majority has and the voter takes part.
    confirmed_by: Option<Vec<u64>>,
    beacon_sent_at: Micros,
    /// Since when each folder has been receiving a snapshot.
    snapshots_sent_at: BTreeMap<u64, Micros>,
    /// Why the voter must stop.
    fatal_error: Option<String>,
    /// Watches the leases while this voter leads and has applied all entries of earlier leaders.
    lease_monitor: Option<LeaseMonitor>,
    /// Client and request id of proposals that are not committed yet, by the number in the entry.
    waiting_requests: BTreeMap<u64, (String, u64)>,
    last_proposal: u64,
    ticked_at: Micros,
    expiry_checked_at: Micros,
    applied_index: u64,
    /// The leader's folder id and the term that were logged last.
    logged_leader: (u64, u64),
    outgoing: Vec<Outgoing>,
}

impl<K: VoterStorage> Voter<K> {
    /// Creates the voter with this name from its stored state. `peers` are the voters that its first beacons go to, beside
    /// those in the record.
    pub fn new(
        now: Micros,
        name: &str,
        peers: &[String],
        terms: LeaseTerms,
        storage: K,
        stored: StoredVoter,
    ) -> Result<Voter<K>, String> {
        let error_text = |e: raft::Error| e.to_string();
        let memory = MemStorage::new();
        let (mut state, mut applied) = (State::default(), 0);
        {
            let mut log = memory.wl();
            if stored.snapshot.get_metadata().index > 0 {
                state = State::decode(&stored.snapshot.data)
                    .ok_or("its snapshot cannot be decoded: it was written by a newer version")?;
                applied = stored.snapshot.get_metadata().index;
                log.apply_snapshot(stored.snapshot.clone()).map_err(error_text)?;
            }
            let entries: Vec<Entry> = stored.entries.iter().filter(|e| e.index > applied).cloned().collect();
            log.append(&entries).map_err(error_text)?;
            if stored.hard_state.term > 0 {
                let mut hard_state = stored.hard_state.clone();
                hard_state.commit = hard_state.commit.max(applied);
                log.set_hardstate(hard_state);
            }
        }
        // Election timeouts differ by rank, so that no two voters start an election at once; a joining voter has no rank and
        // draws a random timeout.
        let rank =
            stored.snapshot.get_metadata().get_conf_state().voters.iter().filter(|id| **id < stored.id);
        let first = ELECTION_TICKS + ELECTION_TICKS_PER_RANK * rank.count();
        let (min_election_tick, max_election_tick) =
            if stored.replaces.is_none() { (first, first + 1) } else { (ELECTION_TICKS, MAX_ELECTION_TICKS) };
        let config = Config {
            id: stored.id,
            election_tick: ELECTION_TICKS,
            min_election_tick,
            max_election_tick,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_ENTRY_BYTES_PER_MESSAGE,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let discard_logger = slog::Logger::root(slog::Discard, slog::o!());
        let node =
            RawNode::new(&config, RaftLog { memory, latest_snapshot: stored.snapshot }, &discard_logger)
                .map_err(error_text)?;
        Ok(Voter {
            node,
            name: name.into(),
            peers: peers.iter().filter(|other| *other != name).cloned().collect(),
            known_folders: BTreeMap::new(),
            storage,
            writes_issued: 0,
            issued_hard_state: stored.hard_state.clone(),
            pending_writes: VecDeque::new(),
            replaces: stored.replaces,
            state,
            terms,
            progress: FolderProgress { term: stored.hard_state.term, committed: stored.hard_state.commit },
            reported_progress: BTreeMap::new(),
            confirmed_by: Some(Vec::new()),
            beacon_sent_at: 0,
            snapshots_sent_at: BTreeMap::new(),
            fatal_error: None,
            lease_monitor: None,
            waiting_requests: BTreeMap::new(),
            last_proposal: 0,
            ticked_at: now,
            expiry_checked_at: now,
            applied_index: applied,
            logged_leader: (0, 0),
            outgoing: Vec::new(),
        })
    }

    /// Returns the record as far as this voter has applied it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this voter leads and has applied every entry of the leaders before it.
    pub fn is_ready_leader(&self) -> bool {
        self.lease_monitor.is_some()
    }

    fn folder_name(&self, id: u64) -> Option<&str> {
        self.state.voters.get(&id).or_else(|| self.known_folders.get(&id)).map(String::as_str)
    }

    /// Returns the name of the leader, as far as it is known, and the current term.
    pub fn leader(&self) -> (Option<&str>, u64) {
        (self.folder_name(self.node.raft.leader_id), self.node.raft.term)
    }

    /// Asks the most up-to-date other voter to take over the leadership. Returns whether this voter led.
    pub fn step_down(&mut self) -> bool {
        let me = self.node.raft.id;
        let all = self.state.voters.keys().copied();
        let matched = |id: &u64| self.node.raft.prs().get(*id).map_or(0, |progress| progress.matched);
        let (other, leads) = (all.filter(|&id| id != me).max_by_key(matched), self.is_ready_leader());
        other.filter(|_| leads).into_iter().for_each(|id| self.node.transfer_leader(id));
        leads
    }

    /// Handles a raft message from another voter.
    pub fn handle_message(&mut self, bytes: &[u8]) -> Result<(), String> {
        let message = Message::parse_from_bytes(bytes).map_err(|e| e.to_string())?;
        if message.to != self.node.raft.id {
            return Err("the raft message is addressed to another folder".into());
        }
        // A voter takes no part before a majority has confirmed that its folder is not an older copy.
        if self.confirmed_by.is_some() || self.fatal_error.is_some() {
            return Ok(());
        }
        self.node.step(message).map_err(|e| e.to_string())
    }

    /// Handles a beacon: notes the sender's progress, compares what it has seen of this folder with the folder, and answers.
    pub fn handle_beacon(&mut self, beacon: &Beacon) {
        if beacon.id == self.node.raft.id {
            return;
        }
        if self.known_folders.len() < MAX_KNOWN_FOLDERS {
            self.known_folders.insert(beacon.id, beacon.name.clone());
        }
        if let Some((id, progress)) = beacon.heard {
            if id == self.node.raft.id {
                if progress > self.progress {
                    self.fatal_error = Some(format!(
                        "its folder is an older copy: it has stored {:?}, {} has seen {progress:?}",
                        self.progress, beacon.name
                    ));
                }
                // All confirmations are noted; `exchange_beacons` counts only those of known voters.
                if let Some(confirmed_by) = self
                    .confirmed_by
                    .as_mut()
                    .filter(|all| !all.contains(&beacon.id) && all.len() < MAX_KNOWN_FOLDERS)
                {
                    confirmed_by.push(beacon.id);
                }
            }
        }
        if self.reported_progress.len() < MAX_KNOWN_FOLDERS || self.reported_progress.contains_key(&beacon.id)
        {
            let heard = self.reported_progress.entry(beacon.id).or_default();
            *heard = beacon.progress.max(*heard);
            // An answer gets no answer of its own.
            if beacon.heard.is_none() {
                let heard = Some((beacon.id, *heard));
                let answer = Beacon { heard, ..self.own_beacon() };
                self.outgoing.push(Outgoing::Beacon { to: beacon.name.clone(), beacon: answer });
            }
        }
        self.propose_replacement(beacon);
    }

    fn own_beacon(&self) -> Beacon {
        let id = self.node.raft.id;
        let replaces = self.replaces.clone().filter(|_| !self.is_member());
        Beacon { name: self.name.clone(), id, progress: self.progress, heard: None, replaces }
    }

    /// As leader, proposes the membership change that a beacon asks for: the new folder replaces that of the named voter, by
    /// joint consensus, so that the majorities of the old and of the new voters both have to agree.
    fn propose_replacement(&mut self, beacon: &Beacon) {
        let Some(replaces) = beacon.replaces.as_ref().filter(|_| self.is_ready_leader()) else { return };
        let named = |(_, name): &(&u64, &String)| *name == replaces;
        let (voters, me) = (&self.state.voters, self.node.raft.id);
        let conflicts = voters.contains_key(&beacon.id)
            || replaces != &beacon.name && voters.values().any(|name| *name == beacon.name);
        let Some(&old) = voters.iter().find(named).map(|(id, _)| id).filter(|&&id| id != me && !conflicts)
        else {
            return;
        };
        let change = |kind, id| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = id;
            change
        };
        let mut joint_change = ConfChangeV2::default();
        joint_change.set_changes(
            vec![change(ConfChangeType::AddNode, beacon.id), change(ConfChangeType::RemoveNode, old)].into(),
        );
        joint_change.context = beacon.name.clone().into();
        // Rejected while another change is in progress; the joining voter asks again with its next beacon.
        let _ = self.node.propose_conf_change(Vec::new(), joint_change);
    }

    /// Proposes a command for a client. Returns false where this voter is not a ready leader or raft rejects the proposal;
    /// the client should then ask another voter.
    pub fn request(&mut self, from: &str, id: u64, command: &Command) -> bool {
        self.is_ready_leader() && self.propose(command, Some((from.into(), id)))
    }

    fn propose(&mut self, command: &Command, from: Option<(String, u64)>) -> bool {
        self.last_proposal += 1;
        let proposal = self.last_proposal.to_le_bytes().to_vec();
        let accepted = self.node.propose(proposal, command.encode()).is_ok();
        if let Some(from) = from.filter(|_| accepted) {
            self.waiting_requests.insert(self.last_proposal, from);
            // Clients whose requests are dropped here ask again.
            while self.waiting_requests.len() > MAX_WAITING_REQUESTS {
                self.waiting_requests.pop_first();
            }
        }
        accepted
    }

    /// Sends beacons when they are due. Returns whether a majority has confirmed this folder, so that the voter may take
    /// part.
    fn exchange_beacons(&mut self, now: Micros) -> bool {
        let interval = if self.confirmed_by.is_some() || self.own_beacon().replaces.is_some() {
            JOINING_BEACON_INTERVAL
        } else {
            BEACON_INTERVAL
        };
        if now >= self.beacon_sent_at + interval {
            self.beacon_sent_at = now;
            let (me, beacon) = (self.node.raft.id, self.own_beacon());
            let known = self.state.voters.iter().chain(&self.known_folders).filter(|(id, _)| **id != me);
            let names = known.map(|(_, name)| name).filter(|name| **name != self.name);
            let mut names: Vec<&String> = names.chain(&self.peers).collect();
            names.sort();
            names.dedup();
            let beacons =
                names.into_iter().map(|to| Outgoing::Beacon { to: to.clone(), beacon: beacon.clone() });
            self.outgoing.extend(beacons);
        }
        if let Some(confirmed_by) = &self.confirmed_by {
            // With this voter itself these are a majority. A folder without a record has made no promise to anyone and needs
            // none.
            let voters = &self.state.voters;
            let confirmed = confirmed_by.iter().filter(|id| voters.contains_key(id)).count();
            if voters.is_empty() || confirmed >= voters.len() / 2 {
                self.confirmed_by = None;
            }
        }
        self.confirmed_by.is_none()
    }

    /// Does the work that is due and returns what is to be sent. After an error the voter must be dropped.
    pub fn poll(&mut self, now: Micros) -> Result<Vec<Outgoing>, String> {
        let established = self.exchange_beacons(now);
        if let Some(fatal_error) = self.fatal_error.take() {
            return Err(fatal_error);
        }
        if !established {
            self.ticked_at = now;
            return Ok(std::mem::take(&mut self.outgoing));
        }
        // After a pause only the last few ticks are made up for.
        self.ticked_at = self.ticked_at.max(now.saturating_sub(MAX_CATCH_UP_TICKS * TICK_INTERVAL));
        while now >= self.ticked_at + TICK_INTERVAL {
            self.ticked_at += TICK_INTERVAL;
            self.node.tick();
        }
        self.process_ready(now)?;
        if now >= self.expiry_checked_at + TICK_INTERVAL {
            self.expiry_checked_at = now;
            let expired = match &mut self.lease_monitor {
                Some(monitor) => monitor.expired(now, &self.terms, &self.state),
                None => Vec::new(),
            };
            for free in &expired {
                self.propose(free, None);
            }
            self.retry_snapshots(now);
            self.process_ready(now)?;
        }
        Ok(std::mem::take(&mut self.outgoing))
    }

    /// Reports snapshots that were not applied in time as failed, so that raft sends them again.
    fn retry_snapshots(&mut self, now: Micros) {
        let progress = self.node.raft.prs().iter();
        let receiving = progress.filter(|(_, p)| p.state == ProgressState::Snapshot).map(|(id, _)| *id);
        let receiving: Vec<u64> = receiving.collect();
        self.snapshots_sent_at.retain(|id, _| receiving.contains(id));
        for id in receiving {
            if now >= *self.snapshots_sent_at.entry(id).or_insert(now) + SNAPSHOT_TIMEOUT {
                self.snapshots_sent_at.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    fn save(&mut self, update: StorageUpdate) -> Result<(), String> {
        self.storage.save(update)?;
        self.writes_issued += 1;
        Ok(())
    }

    /// Completes the writes that the storage has persisted meanwhile and sends the messages that depend on them.
    fn complete_writes(&mut self) -> Result<(), String> {
        let persisted = self.storage.persisted(self.writes_issued)?;
        while let Some(done) = self.pending_writes.pop_front_if(|pending| pending.write_number <= persisted) {
            self.progress = done.progress.map_or(self.progress, |progress| self.progress.max(progress));
            self.node.on_persist_ready(done.ready_number);
            if let Some(index) = done.snapshot_index {
                self.node.advance_apply_to(index);
            }
            self.send(done.messages);
        }
        Ok(())
    }

    fn process_ready(&mut self, now: Micros) -> Result<(), String> {
        self.complete_writes()?;
        while self.node.has_ready() {
            self.process_one_ready(now)?;
            self.complete_writes()?;
        }
        self.log_leader_change();
        if self.node.raft.state != StateRole::Leader {
            self.lease_monitor = None;
            self.waiting_requests.clear();
        }
        let snapshot_index = self.node.store().latest_snapshot.get_metadata().index;
        if self.applied_index < snapshot_index + ENTRIES_PER_SNAPSHOT {
            return Ok(());
        }
        self.compact_log()
    }

    /// Processes one raft `Ready`: sends the messages that depend on no write, hands entries, hard state and snapshot to the
    /// storage, and applies committed entries.
    fn process_one_ready(&mut self, now: Micros) -> Result<(), String> {
        let mut ready = self.node.ready();
        self.send(ready.take_messages());
        let snapshot = Some(ready.snapshot().clone()).filter(|snapshot| !snapshot.is_empty());
        if let Some(snapshot) = &snapshot {
            self.install_snapshot(snapshot)?;
        }
        let (entries, hard_state) = (ready.entries().clone(), ready.hs().cloned());
        let written = self.issue_write(&entries, hard_state.as_ref(), snapshot.as_ref())?;
        {
            let mut log = self.node.store().memory.wl();
            log.append(&entries).map_err(|e| e.to_string())?;
            hard_state.iter().for_each(|hard_state| log.set_hardstate(hard_state.clone()));
        }
        self.pending_writes.push_back(PendingWrite {
            write_number: self.writes_issued,
            ready_number: ready.number(),
            messages: ready.take_persisted_messages(),
            snapshot_index: snapshot.map(|snapshot| snapshot.get_metadata().index),
            progress: hard_state
                .filter(|_| written)
                .map(|hard_state| FolderProgress { term: hard_state.term, committed: hard_state.commit }),
        });
        let committed = ready.take_committed_entries();
        self.node.advance_append_async(ready);
        if let Some(last) = committed.last().map(|entry| entry.index) {
            self.apply_entries(now, committed)?;
            self.node.advance_apply_to(last);
        }
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), String> {
        self.state = State::decode(&snapshot.data).ok_or("a received snapshot cannot be decoded")?;
        self.applied_index = snapshot.get_metadata().index;
        let store = self.node.mut_store();
        store.memory.wl().apply_snapshot(snapshot.clone()).map_err(|e| e.to_string())?;
        store.latest_snapshot = snapshot.clone();
        Ok(())
    }

    /// Hands what must be persisted of a `Ready` to the storage. Returns whether there was anything to write.
    fn issue_write(
        &mut self,
        entries: &[Entry],
        hard_state: Option<&HardState>,
        snapshot: Option<&Snapshot>,
    ) -> Result<bool, String> {
        // A leader recovers its commit index from the log of a majority: a change of it alone needs no write.
        let leads = self.node.raft.state == StateRole::Leader;
        let issued = &self.issued_hard_state;
        let must_write_hard_state =
            hard_state.is_some_and(|new| !leads || (new.term, new.vote) != (issued.term, issued.vote));
        if entries.is_empty() && snapshot.is_none() && !must_write_hard_state {
            return Ok(false);
        }
        if let Some(hard_state) = hard_state {
            self.issued_hard_state = hard_state.clone();
        }
        self.save(StorageUpdate { entries, hard_state, snapshot, reset_log: snapshot.is_some() })?;
        Ok(true)
    }

    fn log_leader_change(&mut self) {
        let leader = (self.node.raft.leader_id, self.node.raft.term);
        if leader != self.logged_leader {
            self.logged_leader = leader;
            let (leader, term) = self.leader();
            tracing::info!(leader, term, "group: the leader or the term changed");
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = self.folder_name(message.to).map(String::from);
            if let Some((to, bytes)) = to.zip(message.write_to_bytes().ok()) {
                self.outgoing.push(Outgoing::Message { to, bytes });
            }
        }
    }

    fn apply_entries(&mut self, now: Micros, entries: Vec<Entry>) -> Result<(), String> {
        for entry in entries {
            self.applied_index = entry.index;
            let leads = self.node.raft.state == StateRole::Leader && entry.term == self.node.raft.term;
            if entry.get_entry_type() == EntryType::EntryConfChangeV2 {
                self.apply_membership_change(&entry)?;
            } else if !entry.data.is_empty() {
                // Skipping a command that other voters apply would make this voter's record differ from theirs.
                let command = Command::decode(&entry.data);
                let command = command
                    .ok_or("a committed command cannot be decoded: it was proposed by a newer version")?;
                let outcome = self.state.apply(&command);
                let proposal = <[u8; 8]>::try_from(&entry.context[..]).map(u64::from_le_bytes);
                if let Some((to, id)) = proposal
                    .ok()
                    .filter(|_| leads)
                    .and_then(|proposal| self.waiting_requests.remove(&proposal))
                {
                    self.outgoing.push(Outgoing::Answer { to, id, outcome });
                }
            }
            if leads && self.lease_monitor.is_none() {
                // Every entry of earlier leaders is applied by now, so the state is complete and leases can be watched.
                self.lease_monitor = Some(LeaseMonitor::new(now, &self.state));
            }
        }
        Ok(())
    }

    /// Applies a membership change: the entry into joint consensus, or the return from it to one set of voters.
    fn apply_membership_change(&mut self, entry: &Entry) -> Result<(), String> {
        let change = ConfChangeV2::parse_from_bytes(&entry.data).map_err(|e| e.to_string())?;
        let conf = self.node.apply_conf_change(&change).map_err(|e| e.to_string())?;
        let new = change.get_changes().iter().find(|c| c.get_change_type() == ConfChangeType::AddNode);
        let name = String::from_utf8_lossy(&change.context).into_owned();
        let ids: Vec<u64> = conf.voters.iter().chain(&conf.voters_outgoing).copied().collect();
        self.state.set_voters(&ids, new.map(|new| (new.node_id, name)));
        self.node.store().memory.wl().set_conf_state(conf);
        // A new voter starts from a snapshot whose record contains it.
        self.compact_log()
    }

    /// Whether this folder is a voter and no membership change is in progress.
    pub fn is_member(&self) -> bool {
        let outside_joint_change = self.node.raft.prs().conf().to_conf_state().voters_outgoing.is_empty();
        outside_joint_change && self.state.voters.contains_key(&self.node.raft.id)
    }

    /// Whether another folder has replaced this one, by a record that is at least as recent as its own.
    pub fn is_replaced(&self, record: &State) -> bool {
        let was_member = self.replaces.is_none() || self.is_member();
        was_member && record.version >= self.state.version && !record.voters.contains_key(&self.node.raft.id)
    }

    fn compact_log(&mut self) -> Result<(), String> {
        let error_text = |e: raft::Error| e.to_string();
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied_index;
        snapshot.mut_metadata().term = self.node.store().term(self.applied_index).map_err(error_text)?;
        *snapshot.mut_metadata().mut_conf_state() = self.node.raft.prs().conf().to_conf_state();
        snapshot.data = self.state.encode().into();
        self.save(StorageUpdate { snapshot: Some(&snapshot), ..StorageUpdate::default() })?;
        let store = self.node.mut_store();
        store.memory.wl().compact(self.applied_index).map_err(error_text)?;
        store.latest_snapshot = snapshot;
        Ok(())
    }
}

#[cfg(test)]
#[path = "voter_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "voter_search.rs"]
mod search;
