//! Voters whose folders are lost, put back or cut short, and every pair of faults at every moment of a story of three voters
//! and two askers: over the code that runs, not over a copy of it.

use super::super::folder::{StoredVoter, VoterFolder};
use super::super::lease::{LeaseClient, TokenFence};
use super::tests::{acquire, Memory, Net};
use super::*;
use redb::{Database, StorageBackend};
use std::sync::{Arc, Mutex};

/// Guards against a voter whose folder was lost and who votes again for its old self, and against a place that nobody can take:
/// a new folder takes it under a number of its own, over a net that loses a tenth, and the old one, put back, has no vote.
#[test]
fn a_new_folder_takes_the_place_of_a_lost_one_and_the_old_one_has_none() {
    let mut net = Net::new(3, 5);
    assert_eq!(net.decide(1, acquire("x")), Outcome::Granted(1));
    let lost = (net.leader().unwrap() + 1) % 3;
    let old = net.kept[lost].0.borrow().0.clone();
    net.voters[lost] = None;
    assert_eq!(net.decide(2, Command::Renew { task: "t".into(), token: 1 }), Outcome::Granted(1));
    let name = net.names[lost].clone();
    let joiner = StoredVoter::for_replacement(&name, &name, 7);
    let id = joiner.id;
    net.kept[lost] = Memory::new(joiner);
    net.lost = 10;
    net.start(lost);
    net.until("the place", |net| {
        let seats = |i: usize| {
            net.voters[i]
                .as_ref()
                .is_some_and(|v| v.state().voters.contains_key(&id) && v.state().voters.len() == 3)
        };
        (0..3).all(seats)
    });
    // Its vote counts: one of the others is gone for good.
    let other = (0..3).find(|&i| i != lost && Some(i) != net.leader()).unwrap();
    net.voters[other] = None;
    assert!(matches!(net.decide(3, acquire("x")), Outcome::Granted(_)));
    net.start(other);
    // The old folder on another machine: nobody asks it, and the record says that it has no place.
    let later = net.voters[net.leader().unwrap()].as_ref().unwrap().state().clone();
    let keep = Memory::new(old.clone());
    let mut ghost = Voter::new(net.now, &name, &net.names, net.terms, keep, old).unwrap();
    assert!(ghost.is_replaced(&later) && !net.voters[lost].as_ref().unwrap().is_replaced(&later));
    for n in 0..200 {
        for said in ghost.poll(net.now + n * 100_000).unwrap_or_default() {
            assert!(!matches!(said, Outgoing::Answer { .. }), "{said:?}");
        }
        assert!(!ghost.is_ready_leader());
    }
}

/// Guards against an older copy of a folder that votes a second time for what it has forgotten.
#[test]
fn an_older_copy_of_a_folder_is_noticed_by_what_the_others_have_heard() {
    for again in [true, false] {
        let mut net = Net::new(3, 9);
        net.decide(1, acquire("x"));
        let one = (net.leader().unwrap() + 1) % 3;
        let copy = net.kept[one].0.borrow().0.clone();
        for id in 2..12 {
            net.decide(id, Command::Renew { task: "t".into(), token: 1 });
        }
        (0..150).for_each(|_| net.step());
        net.voters[one] = None;
        if again {
            net.kept[one].0.borrow_mut().0 = copy;
        }
        net.start(one);
        (0..150).for_each(|_| net.step());
        match again {
            true => assert!(
                net.silenced.iter().any(|(i, why)| *i == one && why.contains("older copy")),
                "{:?}",
                net.silenced
            ),
            false => assert!(net.silenced.is_empty() && net.voters[one].is_some(), "{:?}", net.silenced),
        }
        assert!(matches!(net.decide(50, acquire("x")), Outcome::Granted(_)));
    }
}

/// What a disk is told, one after the other; after so many it does nothing any more.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Plate>>);

#[derive(Debug, Default)]
struct Plate {
    now: Vec<u8>,
    synced: Vec<u8>,
    acts: u64,
    stops: u64,
}

/// How a disk keeps what was not synced when it stopped: not at all, all of it, or half of the last write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Left {
    Synced,
    All,
    Half,
}

impl Disk {
    /// One with these bytes that stops at its n-th act.
    fn new(bytes: Vec<u8>, stops: u64) -> Disk {
        Disk(Arc::new(Mutex::new(Plate { now: bytes.clone(), synced: bytes, acts: 0, stops })))
    }

    fn act<T>(&self, change: impl FnOnce(&mut Vec<u8>, &mut Vec<u8>, bool) -> T) -> std::io::Result<T> {
        let mut disk = self.0.lock().unwrap();
        let Plate { now, synced, acts, stops } = &mut *disk;
        *acts += 1;
        if *acts > *stops {
            return Err(std::io::Error::other("the machine stopped"));
        }
        let last = acts == stops;
        let done = change(now, synced, last);
        // Whoever gave the last one never hears what came of it.
        if last {
            Err(std::io::Error::other("the machine stopped"))
        } else {
            Ok(done)
        }
    }

    fn left(&self, how: Left) -> Vec<u8> {
        let disk = self.0.lock().unwrap();
        if how == Left::Synced {
            disk.synced.clone()
        } else {
            disk.now.clone()
        }
    }
}

/// A disk as the folder's crate wants it.
#[derive(Debug)]
struct Backend(Disk, Left);

impl StorageBackend for Backend {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0 .0.lock().unwrap().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let disk = self.0 .0.lock().unwrap();
        let from = offset as usize;
        let found = disk.now.get(from..from + out.len()).ok_or(std::io::Error::other("past the end"))?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.act(|now, _, _| now.resize(len as usize, 0))
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.0.act(|now, synced, last| {
            if !last || self.1 == Left::All {
                synced.clone_from(now);
            }
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.act(|now, _, last| {
            let whole = if last && self.1 == Left::Half { data.len() / 2 } else { data.len() };
            now[offset as usize..offset as usize + whole].copy_from_slice(&data[..whole]);
        })
    }
}

/// Guards against a folder that a stop of the machine in mid-write leaves with what was never kept, or without what was: each
/// write and each sync is the last one once, with what was not synced lost, left, or left by half.
#[test]
fn a_folder_that_is_cut_short_at_any_write_or_sync_has_all_that_it_returned_from() {
    let names = ["v0".to_string()];
    let made = Disk::new(Vec::new(), u64::MAX);
    let open = |disk: &Disk, how| Database::builder().create_with_backend(Backend(disk.clone(), how));
    drop(
        VoterFolder::initialize(
            open(&made, Left::All).unwrap(),
            "v0",
            &StoredVoter::for_new_group("v0", &names),
        )
        .unwrap(),
    );
    let bytes = made.left(Left::All);
    let entry = |index: u64| Entry { index, term: 1, data: vec![index as u8; 40].into(), ..Entry::default() };
    let (mut cuts, mut behind, mut refused) = (0, 0, 0);
    for how in [Left::Synced, Left::All, Left::Half] {
        for stops in 1.. {
            let disk = Disk::new(bytes.clone(), stops);
            let mut done = 1;
            if let Ok((mut folder, _)) =
                open(&disk, how).map_err(|e| e.to_string()).and_then(|base| VoterFolder::load(base, "v0"))
            {
                for index in 2..8 {
                    let hard_state =
                        raft::eraftpb::HardState { term: 1, commit: index, ..Default::default() };
                    if folder
                        .save(StorageUpdate {
                            entries: &[entry(index)],
                            hard_state: Some(&hard_state),
                            ..StorageUpdate::default()
                        })
                        .is_err()
                    {
                        break;
                    }
                    done = index;
                }
            }
            let over = disk.0.lock().unwrap().acts < stops;
            cuts += 1;
            let again = Disk::new(disk.left(how), u64::MAX);
            match open(&again, Left::All)
                .map_err(|e| e.to_string())
                .and_then(|base| VoterFolder::load(base, "v0"))
            {
                Ok((_, kept)) => {
                    let last = kept.entries.last().map_or(1, |e| e.index);
                    // What it returned from is there, and of the next one all or nothing.
                    assert!(last == done || last == done + 1, "{how:?}, act {stops}: {last} after {done}");
                    assert_eq!(kept.hard_state.commit, last, "{how:?}, act {stops}");
                    assert!(kept.entries.iter().all(|e| *e == entry(e.index)), "{how:?}, act {stops}");
                    behind += usize::from(last > done);
                }
                Err(_) => refused += 1,
            }
            if over {
                break;
            }
        }
    }
    println!("{cuts} cuts: all that was returned from is there, {behind} with the next write whole, {refused} refused");
    assert!(cuts > 100 && refused == 0);
}

/// A fault at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill(usize),
    Cut(usize),
    Late,
    Lost,
    Pause(usize),
    Hand,
}

const FAULTS: [Fault; 11] = [
    Fault::Kill(0),
    Fault::Kill(1),
    Fault::Kill(2),
    Fault::Cut(0),
    Fault::Cut(1),
    Fault::Cut(2),
    Fault::Late,
    Fault::Lost,
    Fault::Pause(0),
    Fault::Pause(1),
    Fault::Hand,
];
const STEP: Micros = 100_000;
/// A fault lasts so many steps, the last moment at which one begins, and all of a story.
const LASTS: usize = 24;
const MOMENTS: usize = 36;
const STORY: usize = 110;
/// How long a holder may act, and how far clocks run.
const STATED: LeaseTerms = LeaseTerms { duration: 1_600_000, drift_ppm: 200_000 };

/// Plays three voters and two askers with these faults at these moments; what was wrong. The voters go by terms of their own.
fn story(faults: &[(usize, Fault)], terms: LeaseTerms) -> Result<u64, String> {
    let mut net = Net::new(3, 1);
    net.terms = terms;
    // Voters' clocks run fast, the first asker's slow and the second's true.
    net.rates = vec![120; 3];
    (0..3).for_each(|i| net.start(i));
    let mut holders = ["a", "b"].map(|me| LeaseClient::new(0, STATED, "t", me));
    let clock = |i: usize, now: Micros| now * if i == 0 { 80 } else { 100 } / 100;
    let (mut gate, mut carried, mut about) = (TokenFence::default(), 0, [None; 2]);
    let (mut asks, mut n) = (BTreeMap::<u64, (usize, u64)>::new(), 0);
    while net.leader().is_none() {
        net.after(STEP);
    }
    for step in 0..STORY {
        let on = |fault: Fault| faults.iter().any(|(at, f)| *f == fault && (*at..at + LASTS).contains(&step));
        let begins = |fault: Fault| faults.contains(&(step, fault));
        for i in 0..3 {
            if on(Fault::Kill(i)) {
                net.voters[i] = None;
            } else if net.voters[i].is_none() {
                net.start(i);
            }
        }
        net.cut = (0..3).filter(|&i| on(Fault::Cut(i))).collect();
        net.late = if on(Fault::Late) { 7 } else { 0 };
        net.lost = if on(Fault::Lost) && step % 2 == 0 { 100 } else { 0 };
        if begins(Fault::Hand) {
            if let Some(i) = net.leader() {
                net.voters[i].as_mut().unwrap().step_down();
            }
        }
        net.after(STEP);
        for (i, holder) in holders.iter_mut().enumerate() {
            let now = clock(i, net.now);
            // One that is stopped has looked at its lease before.
            if begins(Fault::Pause(i)) {
                about[i] = holder.active_token(now);
            }
            if on(Fault::Pause(i)) {
                continue;
            }
            if let Some((id, command)) = holder.next_request(now) {
                n += 1;
                asks.insert(n, (i, id));
                if let Some(l) = net.leader() {
                    net.voters[l].as_mut().unwrap().request("h", n, &command);
                }
            }
            let acts = about[i].take().or(holder.active_token(now));
            if let Some(token) = acts.filter(|&token| gate.admits("t", token)) {
                if token < carried {
                    return Err(format!("token {token} carried out after {carried}"));
                }
                carried = token;
            }
        }
        let answers = std::mem::take(&mut net.answers);
        for (_, n, outcome) in answers {
            if let Some((i, id)) = asks.get(&n).copied().filter(|(i, _)| !on(Fault::Pause(*i))) {
                holders[i].handle_outcome(clock(i, net.now), id, &outcome);
            }
        }
        if let (Some(a), Some(b)) =
            (holders[0].active_token(clock(0, net.now)), holders[1].active_token(clock(1, net.now)))
        {
            return Err(format!("step {step}: both may act, under {a} and {b}"));
        }
    }
    // All that failed is over for long: somebody acts.
    let acting = (0..2).any(|i| holders[i].active_token(clock(i, net.now)).is_some());
    if acting {
        Ok(carried)
    } else {
        Err("nobody acts in the end".into())
    }
}

/// Every pair of faults at every sixth moment; how many stories, and the first that is wrong.
fn pairs(terms: LeaseTerms) -> (usize, Option<String>) {
    let moments = (0..MOMENTS).step_by(6);
    let all: Vec<(usize, Fault)> = moments.flat_map(|at| FAULTS.map(|fault| (at, fault))).collect();
    let mut stories = 0;
    for (n, &one) in all.iter().enumerate() {
        for &other in &all[n..] {
            stories += 1;
            if let Err(wrong) = story(&[one, other], terms) {
                return (stories, Some(format!("{one:?}, {other:?}: {wrong}")));
            }
        }
    }
    (stories, None)
}

/// Guards against two holders that act at once, a token that falls, and a task that nobody gets again, over voters that fail.
#[test]
fn no_pair_of_faults_at_any_moment_lets_two_act_or_leaves_nobody_acting() {
    let (stories, wrong) = pairs(STATED);
    println!("{stories} stories");
    assert_eq!(wrong, None);
    assert!(stories > 2_000);
}

/// Guards against a search that cannot find anything: voters that free too early are found.
#[test]
fn voters_that_free_too_early_are_found() {
    for (terms, name) in [
        (LeaseTerms { drift_ppm: 0, ..STATED }, "no bound for drift"),
        (LeaseTerms { duration: 0, ..STATED }, "no wait at all"),
    ] {
        let (stories, wrong) = pairs(terms);
        println!("{name}: after {stories} stories {wrong:?}");
        assert!(wrong.is_some_and(|wrong| wrong.contains("both may act")), "{name}");
    }
}
