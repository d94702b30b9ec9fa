//! Voters in one thread over a simulated network that loses, duplicates and cuts off messages by a seed, with storage that
//! fails and is restored.

use super::super::folder::VoterFolder;
use super::super::lease::LeaseClient;
use super::super::writer::Write;
use super::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Writes that a slow storage has accepted and not persisted yet. A voter that is killed loses them.
#[derive(Default)]
pub struct DelayedWrites {
    slow: bool,
    queued: std::collections::VecDeque<Write>,
    persisted: u64,
}

/// Storage in memory that outlives its voter: the stored state with a flag that makes writes fail, and the delayed writes.
#[derive(Clone, Default)]
pub struct Memory(pub Rc<RefCell<(StoredVoter, bool)>>, pub Rc<RefCell<DelayedWrites>>);

impl VoterStorage for Memory {
    fn save(&mut self, update: StorageUpdate) -> Result<(), String> {
        if self.1.borrow().slow {
            self.1.borrow_mut().queued.push_back(Write::from_save(&update));
            return Ok(());
        }
        self.write(update)
    }

    fn persisted(&mut self, issued: u64) -> Result<u64, String> {
        let delayed = self.1.borrow();
        Ok(if delayed.slow { delayed.persisted } else { issued })
    }
}

impl Memory {
    pub fn new(stored: StoredVoter) -> Memory {
        Memory(Rc::new(RefCell::new((stored, false))), Rc::default())
    }

    /// Persists up to `writes` more of the delayed writes.
    fn persist_delayed(&mut self, writes: u64) {
        for _ in 0..writes {
            let Some(write) = self.1.borrow_mut().queued.pop_front() else { return };
            self.write(write.as_save()).unwrap();
            self.1.borrow_mut().persisted += 1;
        }
    }

    /// Drops the delayed writes, as a kill of the voter does.
    fn lose_delayed(&mut self) {
        let mut delayed = self.1.borrow_mut();
        delayed.queued.clear();
        delayed.persisted = 0;
    }

    fn write(&mut self, update: StorageUpdate) -> Result<(), String> {
        let StorageUpdate { entries, hard_state, snapshot, reset_log } = update;
        let (stored, full) = &mut *self.0.borrow_mut();
        if *full {
            return Err("no room left".into());
        }
        if reset_log {
            stored.entries.clear();
        }
        if let Some(entry) = entries.first() {
            stored.entries.retain(|e| e.index < entry.index);
            stored.entries.extend_from_slice(entries);
        }
        hard_state.into_iter().for_each(|hard_state| stored.hard_state = hard_state.clone());
        snapshot.into_iter().for_each(|snapshot| stored.snapshot = snapshot.clone());
        snapshot.into_iter().for_each(|s| stored.entries.retain(|e| e.index > s.get_metadata().index));
        Ok(())
    }
}

pub const TERMS: LeaseTerms = LeaseTerms { duration: 2_000_000, drift_ppm: 10_000 };

pub struct Net {
    pub now: Micros,
    pub names: Vec<String>,
    pub storages: Vec<Memory>,
    pub voters: Vec<Option<Voter<Memory>>>,
    pub answers: Vec<(String, u64, Outcome)>,
    /// Number of random draws, with the seed in the upper half.
    draws: u64,
    /// Lease terms of the voters; tests that plant an error give them others than the lease holders have.
    pub terms: LeaseTerms,
    /// Number of steps by which messages sent in this step are delayed; 0 delivers them at once.
    pub delay_steps: usize,
    /// Delayed messages: steps left, recipient, bytes.
    delayed: Vec<(usize, usize, Vec<u8>)>,
    /// Rate of each voter's clock, in percent of true time.
    pub clock_rates: Vec<u64>,
    /// Voters that have stopped with an error, and the error.
    pub stopped: Vec<(usize, String)>,

    /// Percentage of messages that are lost; as many are duplicated.
    pub loss_percent: u64,
    /// Voters that are cut off from the others.
    pub partitioned: Vec<usize>,
}

impl Net {
    pub fn new(n: usize, seed: u64) -> Net {
        let names: Vec<String> = (0..n).map(|i| format!("v{i}")).collect();
        let storages =
            names.iter().map(|name| Memory::new(StoredVoter::for_new_group(name, &names))).collect();
        let (voters, answers, partitioned) = ((0..n).map(|_| None).collect(), Vec::new(), Vec::new());
        let mut net = Net {
            now: 0,
            names,
            storages,
            voters,
            answers,
            draws: seed << 32,
            loss_percent: 0,
            partitioned,
            terms: TERMS,
            delay_steps: 0,
            delayed: Vec::new(),
            clock_rates: vec![100; n],
            stopped: Vec::new(),
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    pub fn start(&mut self, i: usize) {
        self.storages[i].lose_delayed();
        let stored = self.storages[i].0.borrow().0.clone();
        let voter = Voter::new(
            self.clock(i),
            &self.names[i],
            &self.names,
            self.terms,
            self.storages[i].clone(),
            stored,
        );
        self.voters[i] = Some(voter.unwrap());
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxhash_rust::xxh64::xxh64(&self.draws.to_le_bytes(), 1)
    }

    /// Returns the time on a voter's clock.
    fn clock(&self, i: usize) -> Micros {
        self.now * self.clock_rates[i] / 100
    }

    pub fn step(&mut self) {
        self.advance(20_000);
    }

    /// Advances the time, delivers what is due and polls every voter.
    pub fn advance(&mut self, duration: Micros) {
        self.now += duration;
        self.delayed.iter_mut().for_each(|message| message.0 -= 1);
        for (_, j, bytes) in self.delayed.extract_if(.., |message| message.0 == 0) {
            self.voters[j].iter_mut().for_each(|voter| drop(voter.handle_message(&bytes)));
        }
        for i in 0..self.voters.len() {
            let now = self.clock(i);
            let Some(voter) = &mut self.voters[i] else { continue };
            let sent = match voter.poll(now) {
                Ok(sent) => sent,
                Err(why) => {
                    self.voters[i] = None;
                    self.stopped.push((i, why));
                    continue;
                }
            };
            for outgoing in sent {
                match outgoing {
                    Outgoing::Answer { to, id, outcome } => self.answers.push((to, id, outcome)),
                    Outgoing::Beacon { to, beacon } => {
                        let j = self.names.iter().position(|name| *name == to).unwrap();
                        if self.partitioned.contains(&i) == self.partitioned.contains(&j) {
                            self.voters[j].iter_mut().for_each(|voter| voter.handle_beacon(&beacon));
                        }
                    }
                    Outgoing::Message { to, bytes } => {
                        assert!(bytes.len() < 1_300, "{} bytes", bytes.len());
                        let j = self.names.iter().position(|name| *name == to).unwrap();
                        let (draw, cut_off) = (
                            self.draw() % 100,
                            self.partitioned.contains(&i) != self.partitioned.contains(&j),
                        );
                        let times = if cut_off || draw < self.loss_percent {
                            0
                        } else {
                            1 + usize::from(draw >= 100 - self.loss_percent)
                        };
                        if times > 0 && self.delay_steps > 0 {
                            self.delayed.push((self.delay_steps, j, bytes));
                            continue;
                        }
                        (0..times).for_each(|_| {
                            self.voters[j].iter_mut().for_each(|voter| drop(voter.handle_message(&bytes)));
                        });
                    }
                }
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.voters[*i].as_ref().is_some_and(Voter::is_ready_leader);
        (0..self.voters.len()).filter(leads).max_by_key(|&i| self.voters[i].as_ref().unwrap().leader().1)
    }

    pub fn step_until(&mut self, what: &str, mut done: impl FnMut(&mut Net) -> bool) {
        let end = self.now + 60_000_000;
        while !done(self) {
            assert!(self.now < end, "timed out after a minute of waiting for {what}");
            self.step();
        }
    }

    /// Requests the command from the current leader until it is answered, and returns the outcome.
    pub fn commit(&mut self, id: u64, command: Command) -> Outcome {
        let mut next_request_at = 0;
        self.step_until("an answer", |net| {
            if net.now >= next_request_at {
                next_request_at = net.now + 1_000_000;
                if let Some(leader) = net.leader() {
                    net.voters[leader].as_mut().unwrap().request("me", id, &command);
                }
            }
            net.answers.iter().any(|a| a.1 == id)
        });
        self.answers.iter().find(|a| a.1 == id).unwrap().2.clone()
    }
}

pub fn acquire(holder: &str) -> Command {
    Command::Acquire { task: "t".into(), holder: holder.into() }
}

/// Guards against committed commands that are lost by a kill of all voters, a lost leader or a compacted log.
#[test]
fn committed_commands_survive_kills_of_every_voter_and_a_compacted_log() {
    let mut net = Net::new(3, 1);
    assert_eq!(net.commit(1, acquire("x")), Outcome::Granted(1));
    assert_eq!(net.commit(2, acquire("y")), Outcome::Held("x".into()));
    let leader = net.leader().unwrap();
    net.voters[leader] = None;
    assert_eq!(net.commit(3, Command::Renew { task: "t".into(), token: 1 }), Outcome::Granted(1));
    (0..3).for_each(|i| net.voters[i] = None);
    (0..3).for_each(|i| net.start(i));
    assert_eq!(net.commit(4, Command::Return { task: "t".into(), token: 1 }), Outcome::Done);
    // One voter is down while the log is compacted, and catches up by a snapshot.
    let down = (net.leader().unwrap() + 1) % 3;
    net.voters[down] = None;
    for id in 10..10 + ENTRIES_PER_SNAPSHOT + 50 {
        let token = match net.commit(2 * id, acquire("z")) {
            Outcome::Granted(token) => token,
            other => panic!("{other:?}"),
        };
        net.commit(2 * id + 1, Command::Return { task: "t".into(), token });
        net.answers.clear();
    }
    assert!(
        net.storages[net.leader().unwrap()].0.borrow().0.entries.len() <= 2 * ENTRIES_PER_SNAPSHOT as usize
    );
    net.start(down);
    let expected_token = net.voters[net.leader().unwrap()].as_ref().unwrap().state().last_token;
    net.step_until("the snapshot", |net| {
        net.voters[down].as_ref().unwrap().state().last_token == expected_token
    });
}

/// Guards against a voter that goes on after its storage has failed, and against a minority that commits commands.
#[test]
fn a_voter_whose_storage_fails_stops_and_a_minority_commits_nothing() {
    let mut net = Net::new(3, 2);
    net.commit(1, acquire("x"));
    let leader = net.leader().unwrap();
    net.storages[leader].0.borrow_mut().1 = true;
    assert_eq!(net.commit(2, acquire("x")), Outcome::Granted(1));
    assert!(net.voters[leader].is_none(), "the voter goes on although its storage is full");
    // One of the two remaining voters is cut off: no majority is left.
    net.partitioned = vec![net.leader().unwrap()];
    for _ in 0..500 {
        if let Some(leader) = net.leader() {
            net.voters[leader].as_mut().unwrap().request("me", 99, &acquire("y"));
        }
        net.step();
    }
    assert!(net.answers.iter().all(|a| a.1 != 99), "{:?}", net.answers);
    assert_eq!(net.leader(), None, "a voter that hears from no majority still leads");
    net.partitioned.clear();
    net.storages[leader].0.borrow_mut().1 = false;
    net.start(leader);
    assert!(matches!(net.commit(100, acquire("y")), Outcome::Granted(2) | Outcome::Held(_)));
}

/// Guards against two lease holders that act at once under message loss, duplication, partitions and kills. Two clients
/// request the lease throughout, and all faults are drawn from a seed.
#[test]
fn two_holders_never_act_at_once_while_voters_fail_at_random() {
    let grants = grants_over_failing_voters(100, false);
    assert!(grants > 100, "{grants} grants");
}

/// Guards against a vote that is sent before it is persisted: while two of three storages persist nothing, no leader can be
/// elected.
#[test]
fn a_voter_whose_storage_persists_nothing_does_not_vote() {
    let mut net = Net::new(3, 7);
    (1..3).for_each(|i| net.storages[i].1.borrow_mut().slow = true);
    for _ in 0..1_000 {
        net.step();
        assert_eq!(net.leader(), None);
    }
    for _ in 0..500 {
        (1..3).for_each(|i| net.storages[i].persist_delayed(1));
        net.step();
    }
    assert!(net.leader().is_some());
}

/// Guards against messages that are sent before the write they depend on is persisted: each write takes up to seconds, and a
/// voter that is killed loses those that were not persisted.
#[test]
fn two_holders_never_act_at_once_over_voters_with_slow_storage() {
    let grants = grants_over_failing_voters(200, true);
    assert!(grants > 50, "{grants} grants");
}

/// Runs two clients that want a task over three voters that are cut off, killed and restarted; returns how often it was
/// granted.
fn grants_over_failing_voters(first_seed: u64, slow: bool) -> usize {
    let (mut grants, mut longest_idle) = (0, 0);
    for seed in 0..12 {
        let mut net = Net::new(3, first_seed + seed);
        net.loss_percent = 15;
        net.storages.iter().for_each(|memory| memory.1.borrow_mut().slow = slow);
        let mut holders: Vec<LeaseClient> = ["a", "b"].map(|me| LeaseClient::new(0, TERMS, "t", me)).into();
        let mut requests: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
        let (mut n, mut last_token, mut idle) = (0, 0, 0);
        while net.now < 60_000_000 {
            match net.draw() % 400 {
                0 => net.partitioned = vec![(net.draw() % 3) as usize],
                1..=3 => net.partitioned.clear(),
                4 => {
                    let i = (net.draw() % 3) as usize;
                    net.voters[i] = None;
                }
                5..=12 => (0..3).for_each(|i| {
                    if net.voters[i].is_none() {
                        net.start(i);
                    }
                }),
                _ => {}
            }
            for i in 0..3 {
                let writes = if net.draw().is_multiple_of(4) { 1 + net.draw() % 3 } else { 0 };
                net.storages[i].persist_delayed(writes);
            }
            net.step();
            for (i, holder) in holders.iter_mut().enumerate() {
                // Now and then a client releases its lease.
                if net.draw() % 100 < 3 {
                    let at = net.now;
                    if let Some((_, give)) = holder.release(at, 500_000) {
                        net.leader().into_iter().for_each(|l| {
                            net.voters[l].as_mut().unwrap().request("h", 0, &give);
                        });
                    }
                }
                if let Some((id, command)) = holder.next_request(net.now) {
                    n += 1;
                    requests.insert(n, (i, id));
                    net.leader().into_iter().for_each(|l| {
                        net.voters[l].as_mut().unwrap().request("h", n, &command);
                    });
                }
            }
            for (_, n, outcome) in std::mem::take(&mut net.answers) {
                if let Some((i, id)) = requests.remove(&n) {
                    let now = net.now;
                    holders[i].handle_outcome(now, id, &outcome);
                }
            }
            let acting: Vec<u64> = holders.iter().filter_map(|h| h.active_token(net.now)).collect();
            assert!(acting.len() < 2, "seed {seed}: {acting:?}");
            idle = if acting.is_empty() { idle + 1 } else { 0 };
            longest_idle = longest_idle.max(idle);
            if let Some(&token) = acting.first() {
                assert!(token >= last_token, "seed {seed}: token {token} after {last_token}");
                grants += usize::from(token > last_token);
                last_token = token;
            }
        }
    }
    grants
}

/// Guards against a voter that opens the folder of another or a truncated one as if it were good, against a folder created
/// over an existing one, and against commands lost between restarts.
#[test]
fn a_folder_is_bound_to_its_voter_and_keeps_what_was_committed() {
    let at = std::env::temp_dir().join(format!("oakdeal-folder-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&at);
    assert!(VoterFolder::open(&at, "v0").err().unwrap().contains("group found"));
    let names = vec!["v0".to_string()];
    let first = StoredVoter::for_new_group("v0", &names);
    VoterFolder::create(&at, "v0", &first).unwrap();
    assert!(VoterFolder::create(&at, "v0", &first).unwrap_err().contains("already"));
    assert!(VoterFolder::open(&at, "v1").err().unwrap().contains("v0"));
    let mut granted = 0;
    for round in 0..3 {
        let (folder, stored) = VoterFolder::open(&at, "v0").unwrap();
        let mut voter = Voter::new(0, "v0", &names, TERMS, folder, stored).unwrap();
        let mut now = 0;
        while !voter.is_ready_leader() {
            now += TICK_INTERVAL;
            voter.poll(now).unwrap();
        }
        assert_eq!(voter.state().last_token, granted, "round {round}");
        assert!(voter.request("me", 1, &acquire("x")));
        voter.poll(now).unwrap();
        let Some(lease) = voter.state().leases.get("t").cloned() else { panic!("not committed") };
        granted = lease.token;
        voter.request("me", 2, &Command::Return { task: "t".into(), token: granted });
        voter.poll(now).unwrap();
    }
    assert_eq!(granted, 3);
    // A truncated file, as an interrupted write leaves it, is rejected or opens with the stored state, never as an empty one.
    let file = at.join("voter.redb");
    let whole = std::fs::read(&file).unwrap();
    for part in 1..16 {
        std::fs::write(&file, &whole[..whole.len() * part / 16]).unwrap();
        if let Ok((_, stored)) = VoterFolder::open(&at, "v0") {
            assert!(stored.hard_state.term >= 1, "truncated to {part}/16: opened as an empty folder");
        }
    }
    std::fs::remove_dir_all(&at).unwrap();
}
