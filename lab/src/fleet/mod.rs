//! The rig: many real processes of the program that decide together, a relay on every way of every link between them, faults by
//! script or by seed, and a checker of what those who were acted on saw.
//!
//! Promised: the same seed draws the same faults at the same times; real processes answer them in real time, so a record is not the
//! same byte for byte, and the verdict is on rules that must hold whatever the timing. Only processes that it started are touched.

pub mod checker;
pub mod link;
pub mod process;
pub mod scenario;
pub mod wire;
pub mod zones;

use checker::{check, Act};
use process::Fleet;
use rand::RngExt;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use scenario::{Fault, Kind, Scenario, Who};
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Nothing is wrong.
    pub good: bool,
    /// What is wrong.
    pub wrong: Vec<String>,
    /// Acts that witnesses saw.
    pub acts: usize,
    /// The highest token.
    pub tokens: u64,
    /// The longest time without an act of any holder.
    pub idle_ms: u64,
    /// From the healing of the last fault to the next act.
    pub back_ms: u64,
    /// From each fault that struck whoever acted to the first act under a later token, where that began before the fault was over
    /// or a span after.
    pub next_ms: Vec<u64>,
    /// What became of the zones, where there are some.
    pub zones: Option<zones::Seen>,
    /// New clients that were tried and served, at processes that no fault had stopped.
    pub clients: (u64, u64),
}

/// A fault that is drawn or written, with whom it strikes once it has begun.
struct Struck {
    fault: Fault,
    who: Vec<usize>,
    begun: bool,
    over: bool,
    /// When it struck, by the machine's clock.
    us: u64,
}

/// The machine's clock, as the witnesses write it.
fn boottime() -> u64 {
    let text = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = text.split(' ').next().and_then(|s| s.parse::<f64>().ok()).unwrap_or_default();
    (seconds * 1e6) as u64
}

fn drawn(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Struck> {
    let kinds = [
        Kind::Kill,
        Kind::Stop,
        Kind::Cut,
        Kind::Mute,
        Kind::Deaf,
        Kind::Noise,
        Kind::Flap,
        Kind::Narrow,
        Kind::Lost,
        Kind::Blind,
    ];
    let mut random = || {
        let who = if rng.random_range(0..3) == 0 { Who::Holder } else { Who::Any };
        let span = |us: u64| oakdeal::operator::spans::Span(us);
        let at = span(rng.random_range(500_000..scenario.length.0));
        let length = span(rng.random_range(200_000..4 * scenario.span.0));
        Fault { at, length, kind: kinds[rng.random_range(0..kinds.len())], who }
    };
    let more: Vec<Fault> = (0..scenario.random).map(|_| random()).collect();
    let all = scenario.fault.iter().cloned().chain(more);
    all.map(|fault| Struck { fault, who: Vec::new(), begun: false, over: false, us: 0 }).collect()
}

/// Writes the logs of all processes into the folder that `OAKDEAL_RIG_LOGS` names, if it names one.
fn keep_logs(fleet: &Fleet, name: &str, seed: u64) -> Result<(), String> {
    let Some(folder) = std::env::var_os("OAKDEAL_RIG_LOGS") else { return Ok(()) };
    let lines: Vec<String> = fleet.lines(0).into_iter().map(|(i, line)| format!("n{i} {line}")).collect();
    let file = Path::new(&folder).join(format!("{name}-{seed}.log"));
    std::fs::write(&file, lines.join("\n")).map_err(|e| format!("{}: {e}", file.display()))
}

/// Plays a scenario; `record` is told each act.
pub fn play(
    program: &Path,
    name: &str,
    scenario: &Scenario,
    seed: u64,
) -> Result<(Verdict, Vec<Act>), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(program, scenario, seed)?;
    let watch = scenario.zones.as_ref().map(|zones| zones::Watch::start(&fleet, zones));
    let (span, begun) = (Duration::from_micros(scenario.span.0), Instant::now());
    let mut faults = drawn(scenario, &mut rng);
    // Nothing begins before somebody acts.
    let grace = 6 * span + Duration::from_secs(8);
    wait(&fleet, 0, begun + grace);
    if let Some(watch) = &watch {
        watch.settle(&fleet).or_else(|e| keep_logs(&fleet, name, seed).and(Err(e)))?;
    }
    let begun = Instant::now();
    let (mut healed, mut clients, mut looked) = (begun, (0, 0), Instant::now());
    // Voters with a new folder that have no place yet.
    let mut unplaced: Vec<usize> = Vec::new();
    while faults.iter().any(|f| !f.over) {
        let at = begun.elapsed().as_micros() as u64;
        for n in 0..faults.len() {
            let (from, to) = (faults[n].fault.at.0, faults[n].fault.at.0 + faults[n].fault.length.0);
            if !faults[n].begun && at >= from {
                faults[n].begun = true;
                faults[n].who = struck(&fleet, faults[n].fault.who, &mut rng);
                // One that was killed for another fault has no folder to lose meanwhile; and with two lost at once a majority of
                // all that was decided would be gone, which no group can mend.
                if faults[n].fault.kind.folder() {
                    let lasts = |f: &Struck| f.begun && !f.over && f.fault.kind.folder() && !f.who.is_empty();
                    let taken =
                        !unplaced.is_empty() || faults.iter().enumerate().any(|(m, f)| m != n && lasts(f));
                    faults[n].who.retain(|&i| i < 3 && !taken && fleet.runs(i));
                }
                faults[n].us = boottime();
                begin(&mut fleet, &faults[n])?;
            }
            if faults[n].begun && !faults[n].over && at >= to {
                faults[n].over = true;
                unplaced.extend(end(&mut fleet, &faults, n)?);
                healed = Instant::now();
            }
        }
        let flaps = (at / 300_000).is_multiple_of(2);
        let all: Vec<usize> = (0..fleet.len()).collect();
        let cuts = |i: usize, kinds: &[Kind]| {
            let on = |f: &&Struck| f.begun && !f.over && f.who.contains(&i);
            faults.iter().filter(on).any(|f| kinds.contains(&f.fault.kind))
        };
        let parts = |i: usize, j: usize| {
            let on = |f: &&Struck| {
                f.begun
                    && !f.over
                    && (matches!(f.fault.kind, Kind::Part | Kind::Severed)
                        || f.fault.kind == Kind::Wobble && flaps)
            };
            faults.iter().filter(on).any(|f| f.who.contains(&i) != f.who.contains(&j))
        };
        for &i in &all {
            let flapped = |i: usize| flaps && cuts(i, &[Kind::Flap]);
            let mute = cuts(i, &[Kind::Cut, Kind::Mute]) || flapped(i);
            for &j in all.iter().filter(|&&j| j != i) {
                let closed = mute || cuts(j, &[Kind::Cut, Kind::Deaf]) || flapped(j) || parts(i, j);
                fleet.way(i, j).cut.store(closed, Relaxed);
            }
            let lasts = |kind: Kind, zone: usize| {
                let on = |f: &&Struck| f.begun && !f.over && f.fault.kind == kind;
                faults.iter().filter(on).any(|f| f.who.iter().any(|&i| i % 3 == zone))
            };
            let flickers = (at / 5_000_000).is_multiple_of(2);
            fleet.to_discovery(i).cut.store(cuts(i, &[Kind::Blind]), Relaxed);
            for (zone, wire) in fleet.to_servers(i) {
                let severed = zone != i % 3 && (lasts(Kind::Severed, zone) != lasts(Kind::Severed, i % 3));
                wire.cut.store(cuts(i, &[Kind::Away]) || lasts(Kind::Dark, zone) || severed, Relaxed);
                wire.broken.store(lasts(Kind::Dead, zone) || flickers && lasts(Kind::Flicker, zone), Relaxed);
                fleet.moods[zone].fails.store(lasts(Kind::Fails, zone), Relaxed);
                fleet.moods[zone].slow.store(lasts(Kind::Slow, zone), Relaxed);
            }
        }
        if looked.elapsed() > Duration::from_millis(250) {
            looked = Instant::now();
            watch.iter().for_each(|watch| watch.look(&fleet, faults.iter().any(|f| f.begun)));
            unplaced.retain(|&i| !placed(&fleet, i));
            let stopped = |i: usize| {
                let on = |f: &&Struck| f.begun && !f.over && f.fault.kind.out();
                faults.iter().filter(on).any(|f| f.who.contains(&i))
            };
            if let Some(&i) = all.iter().find(|&&i| !stopped(i) && watch.is_none()) {
                clients.0 += 1;
                clients.1 += u64::from(fleet.serves(i, clients.0));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let mark = fleet.mark();
    let back = wait(&fleet, mark, healed + grace);
    let until = Instant::now() + grace;
    while !unplaced.is_empty() && Instant::now() < until {
        unplaced.retain(|&i| !placed(&fleet, i));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(span / 2);
    let seen = watch.map(|watch| watch.end(&fleet, healed)).transpose()?;
    let acts = fleet.acts(0);
    let mut wrong = check(&acts);
    seen.iter().for_each(|seen| wrong.extend(seen.wrong.clone()));
    wrong.extend(unplaced.iter().map(|i| format!("n{i} has no place, though its folder is new")));
    if back.is_none() {
        wrong.push(format!("nobody acts {} ms after the healing", grace.as_millis()));
    }
    if clients.0 != clients.1 {
        wrong.push(format!("{} of {} new clients were not served", clients.0 - clients.1, clients.0));
    }
    if !wrong.is_empty() || scenario.zones.is_some() {
        keep_logs(&fleet, name, seed)?;
    }
    let mut own: Vec<u64> = acts.iter().filter(|act| act.witness == act.holder).map(|act| act.us).collect();
    own.sort_unstable();
    let verdict = Verdict {
        scenario: name.into(),
        seed,
        good: wrong.is_empty(),
        wrong,
        acts: acts.len(),
        tokens: acts.iter().map(|act| act.token).max().unwrap_or_default(),
        idle_ms: own.windows(2).map(|pair| (pair[1] - pair[0]) / 1_000).max().unwrap_or_default(),
        back_ms: back.map_or(0, |at| at.saturating_duration_since(healed).as_millis() as u64),
        next_ms: next(&faults, &acts),
        zones: seen,
        clients,
    };
    Ok((verdict, acts))
}

/// How long it took until another acted, for each fault that struck whoever acted.
fn next(faults: &[Struck], acts: &[Act]) -> Vec<u64> {
    let own = || acts.iter().filter(|act| act.witness == act.holder);
    let struck = faults.iter().filter(|f| f.fault.kind.silences());
    let took = struck.filter_map(|f| {
        let before = own().filter(|act| act.us <= f.us).max_by_key(|act| act.us)?;
        let after = own().filter(|act| act.us > f.us && act.token > before.token).map(|act| act.us).min()?;
        f.who.contains(&before.holder).then_some((after - f.us) / 1_000)
    });
    took.collect()
}

/// Waits for an act behind a mark.
fn wait(fleet: &Fleet, mark: usize, until: Instant) -> Option<Instant> {
    while Instant::now() < until {
        if !fleet.acts(mark).is_empty() {
            return Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

fn struck(fleet: &Fleet, who: Who, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let any = rng.random_range(0..fleet.len());
    let holder = fleet.acts(0).last().map_or(any, |act| act.holder);
    let leads = |i: usize| fleet.show(i).is_some_and(|text| text.contains(&format!("leader n{i} ")));
    let leader = || (0..3).find(|&i| leads(i)).unwrap_or(any % 3);
    match who {
        Who::Any => vec![any],
        Who::Voters => vec![0, 1, 2],
        Who::All => (0..fleet.len()).collect(),
        Who::Holder => vec![holder],
        Who::Leader => vec![leader()],
        Who::Voter => {
            let leader = leader();
            (0..3).filter(|&i| i != leader && i != holder).take(1).collect()
        }
        Who::Heads => {
            let leader = leader();
            if leader == holder {
                vec![holder]
            } else {
                vec![leader, holder]
            }
        }
        Who::Zone => (0..fleet.len()).filter(|i| i % 3 == any % 3).collect(),
        Who::A => (0..fleet.len()).filter(|i| i % 3 == 0).collect(),
        Who::B => (0..fleet.len()).filter(|i| i % 3 == 1).collect(),
        Who::C => (0..fleet.len()).filter(|i| i % 3 == 2).collect(),
        Who::Region => (0..fleet.len()).filter(|i| i % 3 < 2).collect(),
    }
}

fn begin(fleet: &mut Fleet, struck: &Struck) -> Result<(), String> {
    let told = |e: std::io::Error| format!("the rig: {e}");
    for &i in &struck.who {
        let (folder, copy) = fleet.folder(i);
        match struck.fault.kind {
            Kind::Lost => {
                fleet.kill(i);
                std::fs::remove_dir_all(folder).map_err(told)?;
            }
            // The copy of a file that is written to has some state of its own: what the disk would have kept.
            Kind::Old => {
                fleet.kill(i);
                std::fs::create_dir_all(&copy).map_err(told)?;
                for file in std::fs::read_dir(&folder).map_err(told)?.flatten() {
                    std::fs::copy(file.path(), copy.join(file.file_name())).map_err(told)?;
                }
                fleet.run(i)?;
            }
            Kind::Torn => {
                fleet.kill(i);
                for file in std::fs::read_dir(&folder).map_err(told)?.flatten() {
                    let bytes = std::fs::read(file.path()).map_err(told)?;
                    std::fs::write(file.path(), &bytes[..bytes.len() / 2]).map_err(told)?;
                }
                fleet.run(i)?;
            }
            Kind::Full => {
                fleet.kill(i);
                fleet.launch(i, Some(1))?;
            }
            Kind::Kill => fleet.kill(i),
            Kind::Stop => fleet.signal(i, "-STOP"),
            Kind::StopBeforeAct => std::fs::write(fleet.stop_trigger(i), b"").map_err(told)?,
            Kind::Noise => fleet.ways(&[i], true, true, |way| {
                way.lost.store(30, Relaxed);
                way.late.store(200, Relaxed);
            }),
            Kind::Narrow => fleet.ways(&[i], true, true, |way| way.rate.store(4_000, Relaxed)),
            // The links are set anew in each turn, for all faults that last.
            Kind::Cut | Kind::Mute | Kind::Deaf | Kind::Flap | Kind::Part | Kind::Wobble => {}
            Kind::Blind | Kind::Away => {}
            // What becomes of zones is set anew in each turn too.
            Kind::Dead | Kind::Dark | Kind::Fails | Kind::Slow | Kind::Severed | Kind::Flicker => {}
        }
    }
    Ok(())
}

/// A voter whose folder is of no use comes back with a new one, and takes its place.
fn anew(fleet: &mut Fleet, i: usize) -> Result<(), String> {
    fleet.kill(i);
    let _ = std::fs::remove_dir_all(fleet.folder(i).0);
    fleet.found(i, Some(i))?;
    fleet.run(i)
}

fn placed(fleet: &Fleet, i: usize) -> bool {
    fleet.show(i).is_some_and(|text| text.contains("place ours"))
}

/// Waits until one says that it does not vote, whatever the reason.
fn refuses(fleet: &Fleet, mark: usize, i: usize) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    let says = |(who, line): &(usize, String)| {
        *who == i && (line.contains("votes no more") || line.contains("does not vote"))
    };
    while !fleet.lines(mark).iter().any(says) {
        if Instant::now() > until {
            return Err(format!("n{i} votes with a folder that it must refuse"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Ends a fault; which voters come back with a new folder.
fn end(fleet: &mut Fleet, faults: &[Struck], n: usize) -> Result<Vec<usize>, String> {
    let mut new = Vec::new();
    let (kind, who) = (faults[n].fault.kind, &faults[n].who);
    let lasts = |i: usize| {
        let on = |f: &&Struck| f.begun && !f.over && f.fault.kind == kind;
        faults.iter().filter(on).any(|f| f.who.contains(&i))
    };
    for &i in who.iter().filter(|&&i| !lasts(i)) {
        match kind {
            Kind::Lost => {
                anew(fleet, i)?;
                new.push(i);
            }
            Kind::Old => {
                fleet.kill(i);
                let (folder, copy) = fleet.folder(i);
                let told = |e: std::io::Error| format!("the rig: {e}");
                std::fs::remove_dir_all(&folder).map_err(told)?;
                std::fs::rename(copy, folder).map_err(told)?;
                let mark = fleet.mark();
                fleet.run(i)?;
                refuses(fleet, mark, i)?;
                anew(fleet, i)?;
                new.push(i);
            }
            // Half a file may be whole where its end was room: then it votes, and is no less right.
            Kind::Torn => {
                anew(fleet, i)?;
                new.push(i);
            }
            Kind::Full => {
                refuses(fleet, 0, i)?;
                fleet.kill(i);
                fleet.run(i)?;
            }
            Kind::Kill if !fleet.runs(i) => fleet.run(i)?,
            Kind::Stop => fleet.signal(i, "-CONT"),
            Kind::StopBeforeAct => {
                fleet.signal(i, "-CONT");
                if std::fs::remove_file(fleet.stop_trigger(i)).is_ok() {
                    return Err(format!("n{i} did not reach its failure point: it did not act, or has none"));
                }
            }
            Kind::Noise => fleet.ways(&[i], true, true, |way| {
                way.lost.store(0, Relaxed);
                way.late.store(0, Relaxed);
            }),
            Kind::Narrow => fleet.ways(&[i], true, true, |way| way.rate.store(0, Relaxed)),
            _ => {}
        }
    }
    Ok(new)
}
