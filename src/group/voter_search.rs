//! Voters whose folders are lost, restored from a copy or interrupted in a write, and a search over pairs of faults during a
//! run of three voters and two lease clients. Both run the production code, not a model of it.

use super::super::folder::{StoredVoter, VoterFolder};
use super::super::lease::{LeaseClient, TokenFence};
use super::tests::{acquire, Memory, Net};
use super::*;
use redb::{Database, StorageBackend};
use std::sync::{Arc, Mutex};

/// Guards against a voter that votes twice after its folder was lost, and against a lost voter that cannot be replaced: a new
/// folder replaces it under an id of its own while a tenth of the messages is lost, and the old folder, restored, has no
/// vote.
#[test]
fn a_new_folder_replaces_a_lost_one_and_the_restored_old_one_has_no_vote() {
    let mut net = Net::new(3, 5);
    assert_eq!(net.commit(1, acquire("x")), Outcome::Granted(1));
    let lost = (net.leader().unwrap() + 1) % 3;
    let old_folder = net.storages[lost].0.borrow().0.clone();
    net.voters[lost] = None;
    assert_eq!(net.commit(2, Command::Renew { task: "t".into(), token: 1 }), Outcome::Granted(1));
    let name = net.names[lost].clone();
    let joiner = StoredVoter::for_replacement(&name, &name, 7);
    let id = joiner.id;
    net.storages[lost] = Memory::new(joiner);
    net.loss_percent = 10;
    net.start(lost);
    net.step_until("the replacement", |net| {
        let replaced = |i: usize| {
            net.voters[i]
                .as_ref()
                .is_some_and(|v| v.state().voters.contains_key(&id) && v.state().voters.len() == 3)
        };
        (0..3).all(replaced)
    });
    // Its vote counts: with another voter down, commands are still committed.
    let other = (0..3).find(|&i| i != lost && Some(i) != net.leader()).unwrap();
    net.voters[other] = None;
    assert!(matches!(net.commit(3, acquire("x")), Outcome::Granted(_)));
    net.start(other);
    // The old folder, started on another machine, learns from a record that it has been replaced, and never leads or answers.
    let latest_record = net.voters[net.leader().unwrap()].as_ref().unwrap().state().clone();
    let storage = Memory::new(old_folder.clone());
    let mut old_voter = Voter::new(net.now, &name, &net.names, net.terms, storage, old_folder).unwrap();
    assert!(
        old_voter.is_replaced(&latest_record)
            && !net.voters[lost].as_ref().unwrap().is_replaced(&latest_record)
    );
    for n in 0..200 {
        for outgoing in old_voter.poll(net.now + n * 100_000).unwrap_or_default() {
            assert!(!matches!(outgoing, Outgoing::Answer { .. }), "{outgoing:?}");
        }
        assert!(!old_voter.is_ready_leader());
    }
}

/// Guards against a voter that votes twice because it was restarted from an older copy of its folder. The progress that the
/// other voters have seen of the folder shows that it is older; a plain restart must pass.
#[test]
fn a_voter_started_from_an_older_copy_of_its_folder_stops() {
    for restore_copy in [true, false] {
        let mut net = Net::new(3, 9);
        net.commit(1, acquire("x"));
        let restarted = (net.leader().unwrap() + 1) % 3;
        let copy = net.storages[restarted].0.borrow().0.clone();
        for id in 2..12 {
            net.commit(id, Command::Renew { task: "t".into(), token: 1 });
        }
        (0..150).for_each(|_| net.step());
        net.voters[restarted] = None;
        if restore_copy {
            net.storages[restarted].0.borrow_mut().0 = copy;
        }
        net.start(restarted);
        (0..150).for_each(|_| net.step());
        match restore_copy {
            true => assert!(
                net.stopped.iter().any(|(i, why)| *i == restarted && why.contains("older copy")),
                "{:?}",
                net.stopped
            ),
            false => assert!(net.stopped.is_empty() && net.voters[restarted].is_some(), "{:?}", net.stopped),
        }
        assert!(matches!(net.commit(50, acquire("x")), Outcome::Granted(_)));
    }
}

/// A simulated disk that stops at a given operation.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    /// Contents with all writes.
    current: Vec<u8>,
    /// Contents as of the last sync.
    synced: Vec<u8>,
    operations: u64,
    /// Number of the operation at which the disk stops.
    stops_at: u64,
}

/// What survives of the writes that were not synced when the disk stopped: nothing, all of them, or all with half of the
/// last.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Surviving {
    SyncedOnly,
    All,
    HalfOfLast,
}

impl Disk {
    /// Creates a disk with these contents that stops at its operation number `stops_at`.
    fn new(bytes: Vec<u8>, stops_at: u64) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            current: bytes.clone(),
            synced: bytes,
            operations: 0,
            stops_at,
        })))
    }

    fn operate<T>(&self, change: impl FnOnce(&mut Vec<u8>, &mut Vec<u8>, bool) -> T) -> std::io::Result<T> {
        let mut disk = self.0.lock().unwrap();
        let DiskState { current, synced, operations, stops_at } = &mut *disk;
        *operations += 1;
        if *operations > *stops_at {
            return Err(std::io::Error::other("the machine stopped"));
        }
        let last = operations == stops_at;
        let result = change(current, synced, last);
        // The caller of the last operation never learns its result.
        if last {
            Err(std::io::Error::other("the machine stopped"))
        } else {
            Ok(result)
        }
    }

    fn surviving_bytes(&self, surviving: Surviving) -> Vec<u8> {
        let disk = self.0.lock().unwrap();
        if surviving == Surviving::SyncedOnly {
            disk.synced.clone()
        } else {
            disk.current.clone()
        }
    }
}

/// A simulated disk as a storage backend of redb.
#[derive(Debug)]
struct Backend(Disk, Surviving);

impl StorageBackend for Backend {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0 .0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let disk = self.0 .0.lock().unwrap();
        let from = offset as usize;
        let found = disk.current.get(from..from + out.len()).ok_or(std::io::Error::other("past the end"))?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.operate(|current, _, _| current.resize(len as usize, 0))
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.0.operate(|current, synced, last| {
            if !last || self.1 == Surviving::All {
                synced.clone_from(current);
            }
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.operate(|current, _, last| {
            let written = if last && self.1 == Surviving::HalfOfLast { data.len() / 2 } else { data.len() };
            current[offset as usize..offset as usize + written].copy_from_slice(&data[..written]);
        })
    }
}

/// Guards against a folder that has lost a completed update, or has part of an interrupted one, after the machine stopped
/// during a write. Each write and each sync is the last operation once, with what was not synced lost, present, or half
/// present.
#[test]
fn a_folder_interrupted_at_any_write_or_sync_has_every_completed_update() {
    let names = ["v0".to_string()];
    let initial = Disk::new(Vec::new(), u64::MAX);
    let open =
        |disk: &Disk, surviving| Database::builder().create_with_backend(Backend(disk.clone(), surviving));
    drop(
        VoterFolder::initialize(
            open(&initial, Surviving::All).unwrap(),
            "v0",
            &StoredVoter::for_new_group("v0", &names),
        )
        .unwrap(),
    );
    let bytes = initial.surviving_bytes(Surviving::All);
    let entry = |index: u64| Entry { index, term: 1, data: vec![index as u8; 40].into(), ..Entry::default() };
    let (mut interruptions, mut with_next_update, mut rejected) = (0, 0, 0);
    for surviving in [Surviving::SyncedOnly, Surviving::All, Surviving::HalfOfLast] {
        for stops_at in 1.. {
            let disk = Disk::new(bytes.clone(), stops_at);
            let mut completed = 1;
            if let Ok((mut folder, _)) = open(&disk, surviving)
                .map_err(|e| e.to_string())
                .and_then(|database| VoterFolder::load(database, "v0"))
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
                    completed = index;
                }
            }
            let all_completed = disk.0.lock().unwrap().operations < stops_at;
            interruptions += 1;
            let restarted = Disk::new(disk.surviving_bytes(surviving), u64::MAX);
            match open(&restarted, Surviving::All)
                .map_err(|e| e.to_string())
                .and_then(|database| VoterFolder::load(database, "v0"))
            {
                Ok((_, stored)) => {
                    let last = stored.entries.last().map_or(1, |e| e.index);
                    // Every completed update is there, and the next one is there in full or not at all.
                    assert!(
                        last == completed || last == completed + 1,
                        "{surviving:?}, operation {stops_at}: entry {last} after {completed}"
                    );
                    assert_eq!(stored.hard_state.commit, last, "{surviving:?}, operation {stops_at}");
                    assert!(
                        stored.entries.iter().all(|e| *e == entry(e.index)),
                        "{surviving:?}, operation {stops_at}"
                    );
                    with_next_update += usize::from(last > completed);
                }
                Err(_) => rejected += 1,
            }
            if all_completed {
                break;
            }
        }
    }
    println!("{interruptions} interruptions: every completed update is there, {with_next_update} with the next one, {rejected} rejected");
    assert!(interruptions > 100 && rejected == 0);
}

/// A fault of a run; a number is that of the voter, or for `PauseClient` that of the client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill(usize),
    Partition(usize),
    Delay,
    Loss,
    PauseClient(usize),
    Handover,
}

const FAULTS: [Fault; 11] = [
    Fault::Kill(0),
    Fault::Kill(1),
    Fault::Kill(2),
    Fault::Partition(0),
    Fault::Partition(1),
    Fault::Partition(2),
    Fault::Delay,
    Fault::Loss,
    Fault::PauseClient(0),
    Fault::PauseClient(1),
    Fault::Handover,
];
/// Time between the steps of a run.
const STEP_INTERVAL: Micros = 100_000;
/// Number of steps that a fault lasts.
const FAULT_STEPS: usize = 24;
/// Number of the step before which every fault begins.
const FAULT_BEGIN_STEPS: usize = 36;
/// Number of steps of a run.
const RUN_STEPS: usize = 110;
/// Number of steps between the moments at which faults begin.
const FAULT_BEGIN_INTERVAL_STEPS: usize = 6;
/// Number of steps by which `Fault::Delay` delays messages.
const DELAY_STEPS: usize = 7;
/// Lease terms of the clients.
const CLIENT_TERMS: LeaseTerms = LeaseTerms { duration: 1_600_000, drift_ppm: 200_000 };

/// Runs three voters and two lease clients with faults that begin at the given steps, with `terms` for the voters. Returns
/// the highest token under which an act was carried out, or the error that was found.
fn run(faults: &[(usize, Fault)], terms: LeaseTerms) -> Result<u64, String> {
    let mut net = Net::new(3, 1);
    net.terms = terms;
    // The voters' clocks are fast, the first client's is slow and the second's is true.
    net.clock_rates = vec![120; 3];
    (0..3).for_each(|i| net.start(i));
    let mut holders = ["a", "b"].map(|me| LeaseClient::new(0, CLIENT_TERMS, "t", me));
    let clock = |i: usize, now: Micros| now * if i == 0 { 80 } else { 100 } / 100;
    let (mut fence, mut carried_out, mut about_to_act) = (TokenFence::default(), 0, [None; 2]);
    let (mut requests, mut n) = (BTreeMap::<u64, (usize, u64)>::new(), 0);
    while net.leader().is_none() {
        net.advance(STEP_INTERVAL);
    }
    for step in 0..RUN_STEPS {
        let active = |fault: Fault| {
            faults.iter().any(|(at, f)| *f == fault && (*at..at + FAULT_STEPS).contains(&step))
        };
        let begins = |fault: Fault| faults.contains(&(step, fault));
        for i in 0..3 {
            if active(Fault::Kill(i)) {
                net.voters[i] = None;
            } else if net.voters[i].is_none() {
                net.start(i);
            }
        }
        net.partitioned = (0..3).filter(|&i| active(Fault::Partition(i))).collect();
        net.delay_steps = if active(Fault::Delay) { DELAY_STEPS } else { 0 };
        net.loss_percent = if active(Fault::Loss) && step % 2 == 0 { 100 } else { 0 };
        if begins(Fault::Handover) {
            if let Some(i) = net.leader() {
                net.voters[i].as_mut().unwrap().step_down();
            }
        }
        net.advance(STEP_INTERVAL);
        for (i, holder) in holders.iter_mut().enumerate() {
            let now = clock(i, net.now);
            // A paused client has checked its lease just before the pause.
            if begins(Fault::PauseClient(i)) {
                about_to_act[i] = holder.active_token(now);
            }
            if active(Fault::PauseClient(i)) {
                continue;
            }
            if let Some((id, command)) = holder.next_request(now) {
                n += 1;
                requests.insert(n, (i, id));
                if let Some(l) = net.leader() {
                    net.voters[l].as_mut().unwrap().request("h", n, &command);
                }
            }
            let token = about_to_act[i].take().or(holder.active_token(now));
            if let Some(token) = token.filter(|&token| fence.admits("t", token)) {
                if token < carried_out {
                    return Err(format!("token {token} carried out after {carried_out}"));
                }
                carried_out = token;
            }
        }
        let answers = std::mem::take(&mut net.answers);
        for (_, n, outcome) in answers {
            if let Some((i, id)) = requests.get(&n).copied().filter(|(i, _)| !active(Fault::PauseClient(*i)))
            {
                holders[i].handle_outcome(clock(i, net.now), id, &outcome);
            }
        }
        if let (Some(a), Some(b)) =
            (holders[0].active_token(clock(0, net.now)), holders[1].active_token(clock(1, net.now)))
        {
            return Err(format!("step {step}: both may act, under {a} and {b}"));
        }
    }
    // All faults have been over for a long time: one client must hold the lease again.
    let acting = (0..2).any(|i| holders[i].active_token(clock(i, net.now)).is_some());
    if acting {
        Ok(carried_out)
    } else {
        Err("no client holds the lease at the end".into())
    }
}

/// Runs every pair of faults at every sixth step. Returns the number of runs and the first error.
fn run_all_pairs(terms: LeaseTerms) -> (usize, Option<String>) {
    let moments = (0..FAULT_BEGIN_STEPS).step_by(FAULT_BEGIN_INTERVAL_STEPS);
    let all: Vec<(usize, Fault)> = moments.flat_map(|at| FAULTS.map(|fault| (at, fault))).collect();
    let mut runs = 0;
    for (n, &one) in all.iter().enumerate() {
        for &other in &all[n..] {
            runs += 1;
            if let Err(error) = run(&[one, other], terms) {
                return (runs, Some(format!("{one:?}, {other:?}: {error}")));
            }
        }
    }
    (runs, None)
}

/// Guards against two lease holders that may act at once, a token that decreases, and a task that is never granted again,
/// while voters fail.
#[test]
fn no_pair_of_faults_lets_two_holders_act_or_leaves_the_task_without_a_holder() {
    let (runs, error) = run_all_pairs(CLIENT_TERMS);
    println!("{runs} runs");
    assert_eq!(error, None);
    assert!(runs > 2_000);
}

/// Guards against a search that finds no errors: voters that free leases too early must be found.
#[test]
fn the_search_finds_voters_that_free_leases_too_early() {
    for (terms, name) in [
        (LeaseTerms { drift_ppm: 0, ..CLIENT_TERMS }, "no bound for drift"),
        (LeaseTerms { duration: 0, ..CLIENT_TERMS }, "no wait at all"),
    ] {
        let (runs, error) = run_all_pairs(terms);
        println!("{name}: after {runs} runs {error:?}");
        assert!(error.is_some_and(|error| error.contains("both may act")), "{name}");
    }
}
