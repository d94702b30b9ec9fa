//! Voters in one thread, over a net that loses, doubles and cuts by a seed; folders that fail and are put back.

use super::super::folder::VoterFolder;
use super::super::lease::LeaseClient;
use super::super::writer::Write;
use super::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Writes that a slow storage has taken and not kept yet: a voter that is killed loses them.
#[derive(Default)]
pub struct Late {
    slow: bool,
    waits: std::collections::VecDeque<Write>,
    done: u64,
}

/// A folder in memory that outlives its voter, and fails when told to.
#[derive(Clone, Default)]
pub struct Memory(pub Rc<RefCell<(StoredVoter, bool)>>, pub Rc<RefCell<Late>>);

impl VoterStorage for Memory {
    fn save(&mut self, save: StorageUpdate) -> Result<(), String> {
        if self.1.borrow().slow {
            self.1.borrow_mut().waits.push_back(Write::of(&save));
            return Ok(());
        }
        self.write(save)
    }

    fn persisted(&mut self, saved: u64) -> Result<u64, String> {
        let late = self.1.borrow();
        Ok(if late.slow { late.done } else { saved })
    }
}

impl Memory {
    pub fn new(kept: StoredVoter) -> Memory {
        Memory(Rc::new(RefCell::new((kept, false))), Rc::default())
    }

    /// So many more writes are kept.
    fn finish(&mut self, writes: u64) {
        for _ in 0..writes {
            let Some(write) = self.1.borrow_mut().waits.pop_front() else { return };
            self.write(write.save()).unwrap();
            self.1.borrow_mut().done += 1;
        }
    }

    /// Its voter was killed.
    fn lose_late(&mut self) {
        let mut late = self.1.borrow_mut();
        late.waits.clear();
        late.done = 0;
    }

    fn write(&mut self, save: StorageUpdate) -> Result<(), String> {
        let StorageUpdate { entries, hard_state, snapshot, reset_log } = save;
        let (kept, full) = &mut *self.0.borrow_mut();
        if *full {
            return Err("no room left".into());
        }
        if reset_log {
            kept.entries.clear();
        }
        if let Some(entry) = entries.first() {
            kept.entries.retain(|e| e.index < entry.index);
            kept.entries.extend_from_slice(entries);
        }
        hard_state.into_iter().for_each(|hard_state| kept.hard_state = hard_state.clone());
        snapshot.into_iter().for_each(|snapshot| kept.snapshot = snapshot.clone());
        snapshot.into_iter().for_each(|s| kept.entries.retain(|e| e.index > s.get_metadata().index));
        Ok(())
    }
}

pub const TERMS: LeaseTerms = LeaseTerms { duration: 2_000_000, drift_ppm: 10_000 };

pub struct Net {
    pub now: Micros,
    pub names: Vec<String>,
    pub kept: Vec<Memory>,
    pub voters: Vec<Option<Voter<Memory>>>,
    pub answers: Vec<(String, u64, Outcome)>,
    drawn: u64,
    /// What the voters go by; in a planted error not what the holders do.
    pub terms: LeaseTerms,
    /// Messages of this step come so many steps later; those that do.
    pub late: usize,
    waits: Vec<(usize, usize, Vec<u8>)>,
    /// How a voter's clock runs, in hundredths.
    pub rates: Vec<u64>,
    /// Who went silent, and why.
    pub silenced: Vec<(usize, String)>,

    /// Of a hundred messages so many are lost, and as many come twice.
    pub lost: u64,
    pub cut: Vec<usize>,
}

impl Net {
    pub fn new(n: usize, seed: u64) -> Net {
        let names: Vec<String> = (0..n).map(|i| format!("v{i}")).collect();
        let kept = names.iter().map(|name| Memory::new(StoredVoter::for_new_group(name, &names))).collect();
        let (voters, answers, cut) = ((0..n).map(|_| None).collect(), Vec::new(), Vec::new());
        let mut net = Net {
            now: 0,
            names,
            kept,
            voters,
            answers,
            drawn: seed << 32,
            lost: 0,
            cut,
            terms: TERMS,
            late: 0,
            waits: Vec::new(),
            rates: vec![100; n],
            silenced: Vec::new(),
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    pub fn start(&mut self, i: usize) {
        self.kept[i].lose_late();
        let kept = self.kept[i].0.borrow().0.clone();
        let voter =
            Voter::new(self.clock(i), &self.names[i], &self.names, self.terms, self.kept[i].clone(), kept);
        self.voters[i] = Some(voter.unwrap());
    }

    fn draw(&mut self) -> u64 {
        self.drawn += 1;
        xxhash_rust::xxh64::xxh64(&self.drawn.to_le_bytes(), 1)
    }

    /// A voter's clock.
    fn clock(&self, i: usize) -> Micros {
        self.now * self.rates[i] / 100
    }

    pub fn step(&mut self) {
        self.after(20_000);
    }

    /// So much time passes, and all do what is due then.
    pub fn after(&mut self, span: Micros) {
        self.now += span;
        self.waits.iter_mut().for_each(|wait| wait.0 -= 1);
        for (_, j, bytes) in self.waits.extract_if(.., |wait| wait.0 == 0) {
            self.voters[j].iter_mut().for_each(|voter| drop(voter.handle_message(&bytes)));
        }
        for i in 0..self.voters.len() {
            let now = self.clock(i);
            let Some(voter) = &mut self.voters[i] else { continue };
            let said = match voter.poll(now) {
                Ok(said) => said,
                Err(why) => {
                    self.voters[i] = None;
                    self.silenced.push((i, why));
                    continue;
                }
            };
            for said in said {
                match said {
                    Outgoing::Answer { to, id, outcome } => self.answers.push((to, id, outcome)),
                    Outgoing::Beacon { to, beacon } => {
                        let j = self.names.iter().position(|name| *name == to).unwrap();
                        if self.cut.contains(&i) == self.cut.contains(&j) {
                            self.voters[j].iter_mut().for_each(|voter| voter.handle_beacon(&beacon));
                        }
                    }
                    Outgoing::Message { to, bytes } => {
                        assert!(bytes.len() < 1_300, "{} bytes", bytes.len());
                        let j = self.names.iter().position(|name| *name == to).unwrap();
                        let (draw, cut) = (self.draw() % 100, self.cut.contains(&i) != self.cut.contains(&j));
                        let times = if cut || draw < self.lost {
                            0
                        } else {
                            1 + usize::from(draw >= 100 - self.lost)
                        };
                        if times > 0 && self.late > 0 {
                            self.waits.push((self.late, j, bytes));
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

    pub fn until(&mut self, what: &str, mut done: impl FnMut(&mut Net) -> bool) {
        let end = self.now + 60_000_000;
        while !done(self) {
            assert!(self.now < end, "{what} did not come");
            self.step();
        }
    }

    /// Asks whoever leads until it is answered.
    pub fn decide(&mut self, id: u64, command: Command) -> Outcome {
        let mut asked = 0;
        self.until("an answer", |net| {
            if net.now >= asked {
                asked = net.now + 1_000_000;
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

/// Guards against decisions that a kill of all voters, a lost leader or a log that was cut takes back.
#[test]
fn what_was_decided_outlives_kills_of_every_voter_and_a_cut_log() {
    let mut net = Net::new(3, 1);
    assert_eq!(net.decide(1, acquire("x")), Outcome::Granted(1));
    assert_eq!(net.decide(2, acquire("y")), Outcome::Held("x".into()));
    let leader = net.leader().unwrap();
    net.voters[leader] = None;
    assert_eq!(net.decide(3, Command::Renew { task: "t".into(), token: 1 }), Outcome::Granted(1));
    (0..3).for_each(|i| net.voters[i] = None);
    (0..3).for_each(|i| net.start(i));
    assert_eq!(net.decide(4, Command::Return { task: "t".into(), token: 1 }), Outcome::Done);
    // One is away while the log is cut, and is told by a snapshot.
    let away = (net.leader().unwrap() + 1) % 3;
    net.voters[away] = None;
    for id in 10..10 + ENTRIES_PER_SNAPSHOT + 50 {
        let token = match net.decide(2 * id, acquire("z")) {
            Outcome::Granted(token) => token,
            other => panic!("{other:?}"),
        };
        net.decide(2 * id + 1, Command::Return { task: "t".into(), token });
        net.answers.clear();
    }
    assert!(net.kept[net.leader().unwrap()].0.borrow().0.entries.len() <= 2 * ENTRIES_PER_SNAPSHOT as usize);
    net.start(away);
    let whole = net.voters[net.leader().unwrap()].as_ref().unwrap().state().last_token;
    net.until("the snapshot", |net| net.voters[away].as_ref().unwrap().state().last_token == whole);
}

/// Guards against a voter that goes on after its folder failed, and against a minority that decides.
#[test]
fn a_full_folder_silences_its_voter_and_a_minority_decides_nothing() {
    let mut net = Net::new(3, 2);
    net.decide(1, acquire("x"));
    let leader = net.leader().unwrap();
    net.kept[leader].0.borrow_mut().1 = true;
    assert_eq!(net.decide(2, acquire("x")), Outcome::Granted(1));
    assert!(net.voters[leader].is_none(), "its folder was full");
    // One of the two that are left is cut off: nobody decides.
    net.cut = vec![net.leader().unwrap()];
    for _ in 0..500 {
        if let Some(leader) = net.leader() {
            net.voters[leader].as_mut().unwrap().request("me", 99, &acquire("y"));
        }
        net.step();
    }
    assert!(net.answers.iter().all(|a| a.1 != 99), "{:?}", net.answers);
    assert_eq!(net.leader(), None, "who hears no majority leads no more");
    net.cut.clear();
    net.kept[leader].0.borrow_mut().1 = false;
    net.start(leader);
    assert!(matches!(net.decide(100, acquire("y")), Outcome::Granted(2) | Outcome::Held(_)));
}

/// Guards against two holders under loss, doubling, cuts and kills: two ask without end, and all is drawn from a seed.
#[test]
fn two_holders_never_act_at_once_over_voters_that_fail_by_a_seed() {
    let grants = grants_over_failing_voters(100, false);
    assert!(grants > 100, "{grants} grants");
}

/// Guards against a vote that is given before it is kept: where two of three storages keep nothing nobody can be elected.
#[test]
fn a_voter_whose_storage_keeps_nothing_promises_nothing() {
    let mut net = Net::new(3, 7);
    (1..3).for_each(|i| net.kept[i].1.borrow_mut().slow = true);
    for _ in 0..1_000 {
        net.step();
        assert_eq!(net.leader(), None);
    }
    for _ in 0..500 {
        (1..3).for_each(|i| net.kept[i].finish(1));
        net.step();
    }
    assert!(net.leader().is_some());
}

/// The same where each write takes up to seconds, and a voter that is killed loses those that were not kept: what it had promised
/// by them would be lost with them, had it said so before.
#[test]
fn two_holders_never_act_at_once_over_voters_with_slow_storage() {
    let grants = grants_over_failing_voters(200, true);
    assert!(grants > 50, "{grants} grants");
}

/// Two who want a task, over three voters that are cut off, killed and started; how often it was granted.
fn grants_over_failing_voters(first_seed: u64, slow: bool) -> usize {
    let (mut grants, mut most) = (0, 0);
    for seed in 0..12 {
        let mut net = Net::new(3, first_seed + seed);
        net.lost = 15;
        net.kept.iter().for_each(|memory| memory.1.borrow_mut().slow = slow);
        let mut holders: Vec<LeaseClient> = ["a", "b"].map(|me| LeaseClient::new(0, TERMS, "t", me)).into();
        let mut asks: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
        let (mut n, mut last, mut idle) = (0, 0, 0);
        while net.now < 60_000_000 {
            match net.draw() % 400 {
                0 => net.cut = vec![(net.draw() % 3) as usize],
                1..=3 => net.cut.clear(),
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
                net.kept[i].finish(writes);
            }
            net.step();
            for (i, holder) in holders.iter_mut().enumerate() {
                // Now and then one stops for long.
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
                    asks.insert(n, (i, id));
                    net.leader().into_iter().for_each(|l| {
                        net.voters[l].as_mut().unwrap().request("h", n, &command);
                    });
                }
            }
            for (_, n, outcome) in std::mem::take(&mut net.answers) {
                if let Some((i, id)) = asks.remove(&n) {
                    let now = net.now;
                    holders[i].handle_outcome(now, id, &outcome);
                }
            }
            let acting: Vec<u64> = holders.iter().filter_map(|h| h.active_token(net.now)).collect();
            assert!(acting.len() < 2, "seed {seed}: {acting:?}");
            idle = if acting.is_empty() { idle + 1 } else { 0 };
            most = most.max(idle);
            if let Some(&token) = acting.first() {
                assert!(token >= last, "seed {seed}: {token} after {last}");
                grants += usize::from(token > last);
                last = token;
            }
        }
    }
    grants
}

/// Guards against a folder that another voter uses, one that is torn, and one made anew for a voter that had one.
#[test]
fn a_folder_is_whose_it_is_and_keeps_what_it_returned_from() {
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
        let (folder, kept) = VoterFolder::open(&at, "v0").unwrap();
        let mut voter = Voter::new(0, "v0", &names, TERMS, folder, kept).unwrap();
        let mut now = 0;
        while !voter.is_ready_leader() {
            now += TICK_INTERVAL;
            voter.poll(now).unwrap();
        }
        assert_eq!(voter.state().last_token, granted, "round {round}");
        assert!(voter.request("me", 1, &acquire("x")));
        voter.poll(now).unwrap();
        let Some(lease) = voter.state().leases.get("t").cloned() else { panic!("not decided") };
        granted = lease.token;
        voter.request("me", 2, &Command::Return { task: "t".into(), token: granted });
        voter.poll(now).unwrap();
    }
    assert_eq!(granted, 3);
    // Torn in mid-write: the file is cut short. It is good or refused, never wrong.
    let file = at.join("voter.redb");
    let whole = std::fs::read(&file).unwrap();
    for part in 1..16 {
        std::fs::write(&file, &whole[..whole.len() * part / 16]).unwrap();
        if let Ok((_, kept)) = VoterFolder::open(&at, "v0") {
            assert!(kept.hard_state.term >= 1, "cut to {part}/16: an empty memory is a wrong one");
        }
    }
    std::fs::remove_dir_all(&at).unwrap();
}
