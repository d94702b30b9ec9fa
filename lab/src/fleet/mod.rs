//! The rig: many real processes of the program that decide together, a relay on every way of every link between them, faults by
//! script or by seed, and a checker of what those who were acted on saw.
//!
//! Promised: the same seed draws the same faults at the same times; real processes answer them in real time, so a record is not the
//! same byte for byte, and the verdict is on rules that must hold whatever the timing. Only processes that it started are touched.

pub mod checker;
pub mod link;
pub mod process;
pub mod scenario;

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
    /// New clients that were tried and served, at processes that no fault had stopped.
    pub clients: (u64, u64),
}

/// A fault that is drawn or written, with whom it strikes once it has begun.
struct Struck {
    fault: Fault,
    who: Vec<usize>,
    begun: bool,
    over: bool,
}

fn drawn(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Struck> {
    let kinds = [Kind::Kill, Kind::Stop, Kind::Cut, Kind::Mute, Kind::Deaf, Kind::Noise, Kind::Flap];
    let mut random = || {
        let who = if rng.random_range(0..3) == 0 { Who::Holder } else { Who::Any };
        let span = |us: u64| oakdeal::operator::spans::Span(us);
        let at = span(rng.random_range(500_000..scenario.length.0));
        let length = span(rng.random_range(200_000..4 * scenario.span.0));
        Fault { at, length, kind: kinds[rng.random_range(0..kinds.len())], who }
    };
    let more: Vec<Fault> = (0..scenario.random).map(|_| random()).collect();
    let all = scenario.fault.iter().cloned().chain(more);
    all.map(|fault| Struck { fault, who: Vec::new(), begun: false, over: false }).collect()
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
    let (span, begun) = (Duration::from_micros(scenario.span.0), Instant::now());
    let mut faults = drawn(scenario, &mut rng);
    // Nothing begins before somebody acts.
    let grace = 6 * span + Duration::from_secs(8);
    wait(&fleet, 0, begun + grace);
    let begun = Instant::now();
    let (mut healed, mut clients, mut looked) = (begun, (0, 0), Instant::now());
    while faults.iter().any(|f| !f.over) {
        let at = begun.elapsed().as_micros() as u64;
        for n in 0..faults.len() {
            let (from, to) = (faults[n].fault.at.0, faults[n].fault.at.0 + faults[n].fault.length.0);
            if !faults[n].begun && at >= from {
                faults[n].begun = true;
                faults[n].who = struck(&fleet, faults[n].fault.who, &mut rng);
                begin(&mut fleet, &faults[n]);
            }
            if faults[n].begun && !faults[n].over && at >= to {
                faults[n].over = true;
                end(&mut fleet, &faults, n)?;
                healed = Instant::now();
            }
        }
        let flaps = (at / 300_000).is_multiple_of(2);
        let all: Vec<usize> = (0..fleet.len()).collect();
        let cuts = |i: usize, kinds: &[Kind]| {
            let on = |f: &&Struck| f.begun && !f.over && f.who.contains(&i);
            faults
                .iter()
                .filter(on)
                .any(|f| kinds.contains(&f.fault.kind) || f.fault.kind == Kind::Flap && flaps)
        };
        for &i in &all {
            let mute = cuts(i, &[Kind::Cut, Kind::Mute]);
            for &j in all.iter().filter(|&&j| j != i) {
                let closed = mute || cuts(j, &[Kind::Cut, Kind::Deaf]);
                fleet.way(i, j).cut.store(closed, Relaxed);
            }
        }
        if looked.elapsed() > Duration::from_millis(250) {
            looked = Instant::now();
            let stopped = |i: usize| {
                let on = |f: &&Struck| f.begun && !f.over && matches!(f.fault.kind, Kind::Kill | Kind::Stop);
                faults.iter().filter(on).any(|f| f.who.contains(&i))
            };
            if let Some(&i) = all.iter().find(|&&i| !stopped(i)) {
                clients.0 += 1;
                clients.1 += u64::from(fleet.serves(i, clients.0));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let mark = fleet.mark();
    let back = wait(&fleet, mark, healed + grace);
    thread::sleep(span / 2);
    let acts = fleet.acts(0);
    let mut wrong = check(&acts);
    if back.is_none() {
        wrong.push(format!("nobody acts {} ms after the healing", grace.as_millis()));
    }
    if clients.0 != clients.1 {
        wrong.push(format!("{} of {} new clients were not served", clients.0 - clients.1, clients.0));
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
        clients,
    };
    Ok((verdict, acts))
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
    match who {
        Who::Any => vec![any],
        Who::Voters => vec![0, 1, 2],
        Who::All => (0..fleet.len()).collect(),
        Who::Holder => vec![fleet.acts(0).last().map_or(any, |act| act.holder)],
    }
}

fn begin(fleet: &mut Fleet, struck: &Struck) {
    for &i in &struck.who {
        match struck.fault.kind {
            Kind::Kill => fleet.kill(i),
            Kind::Stop => fleet.signal(i, "-STOP"),
            Kind::Noise => fleet.ways(&[i], true, true, |way| {
                way.lost.store(30, Relaxed);
                way.late.store(200, Relaxed);
            }),
            // The links are set anew in each turn, for all faults that last.
            Kind::Cut | Kind::Mute | Kind::Deaf | Kind::Flap => {}
        }
    }
}

fn end(fleet: &mut Fleet, faults: &[Struck], n: usize) -> Result<(), String> {
    let (kind, who) = (faults[n].fault.kind, &faults[n].who);
    let lasts = |i: usize| {
        let on = |f: &&Struck| f.begun && !f.over && f.fault.kind == kind;
        faults.iter().filter(on).any(|f| f.who.contains(&i))
    };
    for &i in who.iter().filter(|&&i| !lasts(i)) {
        match kind {
            Kind::Kill if !fleet.runs(i) => fleet.run(i)?,
            Kind::Stop => fleet.signal(i, "-CONT"),
            Kind::Noise => fleet.ways(&[i], true, true, |way| {
                way.lost.store(0, Relaxed);
                way.late.store(0, Relaxed);
            }),
            Kind::Kill | Kind::Cut | Kind::Mute | Kind::Deaf | Kind::Flap => {}
        }
    }
    Ok(())
}
