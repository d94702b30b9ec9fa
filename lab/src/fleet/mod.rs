//! Fleet tests: real balancer processes that form a group, a relay in each direction of each link between them, faults from a
//! scenario or drawn by the seed, and a check of the actions that the processes logged.
//!
//! The same seed draws the same faults at the same times. The processes run in real time, so logs differ between runs; the
//! verdict only depends on rules that must hold for any timing. Only processes that the test itself started are affected.

pub mod checker;
pub mod link;
pub mod process;
pub mod scenario;
pub mod wire;
pub mod zones;

use checker::{check, LoggedAction};
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

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Whether no violation was found.
    pub good: bool,
    /// Violations found.
    pub wrong: Vec<String>,
    /// Number of actions logged by holders and recipients.
    pub acts: usize,
    /// Highest token used.
    pub tokens: u64,
    /// Longest time without an action of any holder.
    pub idle_ms: u64,
    /// Time from the end of the last fault to the next action.
    pub back_ms: u64,
    /// For each fault that silenced the current holder: time from its start to the first action under a higher token.
    pub next_ms: Vec<u64>,
    /// Result of zone failover, if the scenario has zones.
    pub zones: Option<zones::Seen>,
    /// Number of new clients tried at processes that no fault had stopped, and number of these that were served.
    pub clients: (u64, u64),
}

/// A fault of the run and the processes that it affects.
struct ActiveFault {
    fault: Fault,
    /// Affected processes; empty until the fault starts.
    processes: Vec<usize>,
    started: bool,
    ended: bool,
    /// Time of its start in microseconds since boot.
    started_us: u64,
}

/// Returns the time since boot in microseconds, the clock of the logged actions.
fn time_since_boot_us() -> u64 {
    let text = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = text.split(' ').next().and_then(|s| s.parse::<f64>().ok()).unwrap_or_default();
    (seconds * 1e6) as u64
}

/// Returns the faults of the scenario, followed by those drawn at random.
fn plan_faults(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<ActiveFault> {
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
    let random_faults: Vec<Fault> = (0..scenario.random).map(|_| random()).collect();
    let all = scenario.fault.iter().cloned().chain(random_faults);
    all.map(|fault| ActiveFault { fault, processes: Vec::new(), started: false, ended: false, started_us: 0 })
        .collect()
}

/// Writes the logs of all processes to the folder that `OAKDEAL_RIG_LOGS` names, if it is set.
fn save_logs(fleet: &Fleet, name: &str, seed: u64) -> Result<(), String> {
    let Some(folder) = std::env::var_os("OAKDEAL_RIG_LOGS") else { return Ok(()) };
    let lines: Vec<String> = fleet.log_lines(0).into_iter().map(|(i, line)| format!("n{i} {line}")).collect();
    let file = Path::new(&folder).join(format!("{name}-{seed}.log"));
    std::fs::write(&file, lines.join("\n")).map_err(|e| format!("{}: {e}", file.display()))
}

/// Interval at which the links of `flap` and `wobble` are blocked and restored, in microseconds.
const FLAP_INTERVAL_US: u64 = 300_000;
/// Interval at which the servers of `flicker` fail and recover, in microseconds.
const FLICKER_INTERVAL_US: u64 = 5_000_000;
/// Time in which a voter must refuse a folder that is out of date or cannot be written.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs a scenario and returns the verdict and the logged actions.
pub fn play(
    program: &Path,
    name: &str,
    scenario: &Scenario,
    seed: u64,
) -> Result<(Verdict, Vec<LoggedAction>), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(program, scenario, seed)?;
    let monitor = scenario.zones.as_ref().map(|zones| zones::ZoneMonitor::start(&fleet, zones));
    let (span, fleet_started) = (Duration::from_micros(scenario.span.0), Instant::now());
    let mut faults = plan_faults(scenario, &mut rng);
    // Faults only start once a lease holder has acted.
    let grace = 6 * span + Duration::from_secs(8);
    wait_for_action(&fleet, 0, fleet_started + grace);
    if let Some(monitor) = &monitor {
        monitor.settle(&fleet).or_else(|e| save_logs(&fleet, name, seed).and(Err(e)))?;
    }
    let begun = Instant::now();
    let (mut last_fault_ended, mut clients, mut last_check) = (begun, (0, 0), Instant::now());
    // Voters with a new folder that are not yet members of the group again.
    let mut unplaced: Vec<usize> = Vec::new();
    while faults.iter().any(|f| !f.ended) {
        let at = begun.elapsed().as_micros() as u64;
        for n in 0..faults.len() {
            let (from, to) = (faults[n].fault.at.0, faults[n].fault.at.0 + faults[n].fault.length.0);
            if !faults[n].started && at >= from {
                faults[n].started = true;
                faults[n].processes = affected_processes(&fleet, faults[n].fault.who, &mut rng);
                // A voter that another fault has killed is left out. Only one voter loses its folder at a time: without the
                // folders of two, a majority of the committed state would be lost, which no group can recover from.
                if faults[n].fault.kind.affects_folder() {
                    let lasts = |f: &ActiveFault| {
                        f.started && !f.ended && f.fault.kind.affects_folder() && !f.processes.is_empty()
                    };
                    let taken =
                        !unplaced.is_empty() || faults.iter().enumerate().any(|(m, f)| m != n && lasts(f));
                    faults[n].processes.retain(|&i| i < 3 && !taken && fleet.is_running(i));
                }
                faults[n].started_us = time_since_boot_us();
                begin_fault(&mut fleet, &faults[n])?;
            }
            if faults[n].started && !faults[n].ended && at >= to {
                faults[n].ended = true;
                unplaced.extend(end_fault(&mut fleet, &faults, n)?);
                last_fault_ended = Instant::now();
            }
        }
        let flap_blocked = (at / FLAP_INTERVAL_US).is_multiple_of(2);
        let all: Vec<usize> = (0..fleet.len()).collect();
        let is_affected = |i: usize, kinds: &[Kind]| {
            let on = |f: &&ActiveFault| f.started && !f.ended && f.processes.contains(&i);
            faults.iter().filter(on).any(|f| kinds.contains(&f.fault.kind))
        };
        let partitioned = |i: usize, j: usize| {
            let on = |f: &&ActiveFault| {
                f.started
                    && !f.ended
                    && (matches!(f.fault.kind, Kind::Part | Kind::Severed)
                        || f.fault.kind == Kind::Wobble && flap_blocked)
            };
            faults.iter().filter(on).any(|f| f.processes.contains(&i) != f.processes.contains(&j))
        };
        for &i in &all {
            let flapped = |i: usize| flap_blocked && is_affected(i, &[Kind::Flap]);
            let mute = is_affected(i, &[Kind::Cut, Kind::Mute]) || flapped(i);
            for &j in all.iter().filter(|&&j| j != i) {
                let blocked =
                    mute || is_affected(j, &[Kind::Cut, Kind::Deaf]) || flapped(j) || partitioned(i, j);
                fleet.link(i, j).blocked.store(blocked, Relaxed);
            }
            let zone_affected = |kind: Kind, zone: usize| {
                let on = |f: &&ActiveFault| f.started && !f.ended && f.fault.kind == kind;
                faults.iter().filter(on).any(|f| f.processes.iter().any(|&i| i % 3 == zone))
            };
            let flicker_broken = (at / FLICKER_INTERVAL_US).is_multiple_of(2);
            fleet.to_discovery(i).paused.store(is_affected(i, &[Kind::Blind]), Relaxed);
            for (zone, link) in fleet.to_servers(i) {
                let severed = zone != i % 3
                    && (zone_affected(Kind::Severed, zone) != zone_affected(Kind::Severed, i % 3));
                link.paused.store(
                    is_affected(i, &[Kind::Away]) || zone_affected(Kind::Dark, zone) || severed,
                    Relaxed,
                );
                link.broken.store(
                    zone_affected(Kind::Dead, zone) || flicker_broken && zone_affected(Kind::Flicker, zone),
                    Relaxed,
                );
                fleet.server_states[zone].fails.store(zone_affected(Kind::Fails, zone), Relaxed);
                fleet.server_states[zone].slow.store(zone_affected(Kind::Slow, zone), Relaxed);
            }
        }
        if last_check.elapsed() > Duration::from_millis(250) {
            last_check = Instant::now();
            monitor.iter().for_each(|monitor| monitor.sample(&fleet, faults.iter().any(|f| f.started)));
            unplaced.retain(|&i| !has_rejoined(&fleet, i));
            let stopped = |i: usize| {
                let on = |f: &&ActiveFault| f.started && !f.ended && f.fault.kind.prevents_service();
                faults.iter().filter(on).any(|f| f.processes.contains(&i))
            };
            if let Some(&i) = all.iter().find(|&&i| !stopped(i) && monitor.is_none()) {
                clients.0 += 1;
                clients.1 += u64::from(fleet.serves_client(i, clients.0));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let position = fleet.log_position();
    let next_action = wait_for_action(&fleet, position, last_fault_ended + grace);
    let until = Instant::now() + grace;
    while !unplaced.is_empty() && Instant::now() < until {
        unplaced.retain(|&i| !has_rejoined(&fleet, i));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(span / 2);
    let seen = monitor.map(|monitor| monitor.finish(&fleet, last_fault_ended)).transpose()?;
    let actions = fleet.actions(0);
    let mut violations = check(&actions);
    seen.iter().for_each(|seen| violations.extend(seen.wrong.clone()));
    violations.extend(
        unplaced.iter().map(|i| format!("n{i} started with a new folder and did not rejoin the voters")),
    );
    if next_action.is_none() {
        violations
            .push(format!("no process acted within {} ms after the end of the faults", grace.as_millis()));
    }
    if clients.0 != clients.1 {
        violations.push(format!("{} of {} new clients were not served", clients.0 - clients.1, clients.0));
    }
    if !violations.is_empty() || scenario.zones.is_some() {
        save_logs(&fleet, name, seed)?;
    }
    let mut own: Vec<u64> =
        actions.iter().filter(|action| action.witness == action.holder).map(|action| action.us).collect();
    own.sort_unstable();
    let verdict = Verdict {
        scenario: name.into(),
        seed,
        good: violations.is_empty(),
        wrong: violations,
        acts: actions.len(),
        tokens: actions.iter().map(|action| action.token).max().unwrap_or_default(),
        idle_ms: own.windows(2).map(|pair| (pair[1] - pair[0]) / 1_000).max().unwrap_or_default(),
        back_ms: next_action
            .map_or(0, |at| at.saturating_duration_since(last_fault_ended).as_millis() as u64),
        next_ms: takeover_times(&faults, &actions),
        zones: seen,
        clients,
    };
    Ok((verdict, actions))
}

/// Returns, for each fault that silenced the current holder, the time in milliseconds until another process acted.
fn takeover_times(faults: &[ActiveFault], actions: &[LoggedAction]) -> Vec<u64> {
    let own = || actions.iter().filter(|action| action.witness == action.holder);
    let silencing = faults.iter().filter(|f| f.fault.kind.silences());
    let times = silencing.filter_map(|f| {
        let before = own().filter(|action| action.us <= f.started_us).max_by_key(|action| action.us)?;
        let after = own()
            .filter(|action| action.us > f.started_us && action.token > before.token)
            .map(|action| action.us)
            .min()?;
        f.processes.contains(&before.holder).then_some((after - f.started_us) / 1_000)
    });
    times.collect()
}

/// Waits for an action logged after a position.
fn wait_for_action(fleet: &Fleet, from: usize, until: Instant) -> Option<Instant> {
    while Instant::now() < until {
        if !fleet.actions(from).is_empty() {
            return Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Returns the processes that a fault affects, given the current leader and lease holder.
fn affected_processes(fleet: &Fleet, who: Who, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let any = rng.random_range(0..fleet.len());
    let holder = fleet.actions(0).last().map_or(any, |action| action.holder);
    let leads = |i: usize| fleet.group_status(i).is_some_and(|text| text.contains(&format!("leader n{i} ")));
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

fn begin_fault(fleet: &mut Fleet, fault: &ActiveFault) -> Result<(), String> {
    let error = |e: std::io::Error| format!("cannot start fault {:?}: {e}", fault.fault.kind);
    for &i in &fault.processes {
        let (folder, copy) = fleet.folder(i);
        match fault.fault.kind {
            Kind::Lost => {
                fleet.kill(i);
                std::fs::remove_dir_all(folder).map_err(error)?;
            }
            // The process is killed first: a copy of files that are being written would be inconsistent.
            Kind::Old => {
                fleet.kill(i);
                std::fs::create_dir_all(&copy).map_err(error)?;
                for file in std::fs::read_dir(&folder).map_err(error)?.flatten() {
                    std::fs::copy(file.path(), copy.join(file.file_name())).map_err(error)?;
                }
                fleet.start_process(i)?;
            }
            Kind::Torn => {
                fleet.kill(i);
                for file in std::fs::read_dir(&folder).map_err(error)?.flatten() {
                    let bytes = std::fs::read(file.path()).map_err(error)?;
                    std::fs::write(file.path(), &bytes[..bytes.len() / 2]).map_err(error)?;
                }
                fleet.start_process(i)?;
            }
            Kind::Full => {
                fleet.kill(i);
                fleet.start_limited(i, Some(1))?;
            }
            Kind::Kill => fleet.kill(i),
            Kind::Stop => fleet.signal(i, "-STOP"),
            Kind::StopBeforeAct => std::fs::write(fleet.stop_trigger(i), b"").map_err(error)?,
            Kind::Noise => fleet.change_links(&[i], true, true, |link| {
                link.loss_percent.store(30, Relaxed);
                link.max_delay_ms.store(200, Relaxed);
            }),
            Kind::Narrow => fleet.change_links(&[i], true, true, |link| link.rate.store(4_000, Relaxed)),
            // The main loop sets the state of the links from all active faults.
            Kind::Cut | Kind::Mute | Kind::Deaf | Kind::Flap | Kind::Part | Kind::Wobble => {}
            Kind::Blind | Kind::Away => {}
            // The main loop also sets the state of the zones.
            Kind::Dead | Kind::Dark | Kind::Fails | Kind::Slow | Kind::Severed | Kind::Flicker => {}
        }
    }
    Ok(())
}

/// Starts a voter with a new folder, as the replacement of itself.
fn restart_with_new_folder(fleet: &mut Fleet, i: usize) -> Result<(), String> {
    fleet.kill(i);
    let _ = std::fs::remove_dir_all(fleet.folder(i).0);
    fleet.create_folder(i, Some(i))?;
    fleet.start_process(i)
}

/// Whether a voter reports that it is a member of the group again.
fn has_rejoined(fleet: &Fleet, i: usize) -> bool {
    fleet.group_status(i).is_some_and(|text| text.contains("place ours"))
}

/// Waits until a process logs, after a position, that it does not vote, for whatever reason.
fn wait_for_refusal(fleet: &Fleet, from: usize, i: usize) -> Result<(), String> {
    let until = Instant::now() + REFUSAL_TIMEOUT;
    let reports_refusal = |(who, line): &(usize, String)| {
        *who == i && (line.contains("votes no more") || line.contains("does not vote"))
    };
    while !fleet.log_lines(from).iter().any(reports_refusal) {
        if Instant::now() > until {
            return Err(format!("n{i} votes with a folder that it must refuse"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Ends a fault and returns the voters that were started with a new folder.
fn end_fault(fleet: &mut Fleet, faults: &[ActiveFault], n: usize) -> Result<Vec<usize>, String> {
    let mut with_new_folder = Vec::new();
    let (kind, processes) = (faults[n].fault.kind, &faults[n].processes);
    let still_affected = |i: usize| {
        let on = |f: &&ActiveFault| f.started && !f.ended && f.fault.kind == kind;
        faults.iter().filter(on).any(|f| f.processes.contains(&i))
    };
    for &i in processes.iter().filter(|&&i| !still_affected(i)) {
        match kind {
            Kind::Lost => {
                restart_with_new_folder(fleet, i)?;
                with_new_folder.push(i);
            }
            Kind::Old => {
                fleet.kill(i);
                let (folder, copy) = fleet.folder(i);
                let error = |e: std::io::Error| format!("cannot restore the old folder of n{i}: {e}");
                std::fs::remove_dir_all(&folder).map_err(error)?;
                std::fs::rename(copy, folder).map_err(error)?;
                let position = fleet.log_position();
                fleet.start_process(i)?;
                wait_for_refusal(fleet, position, i)?;
                restart_with_new_folder(fleet, i)?;
                with_new_folder.push(i);
            }
            // The voter need not have refused the folder: where only unused space was cut off, it is complete.
            Kind::Torn => {
                restart_with_new_folder(fleet, i)?;
                with_new_folder.push(i);
            }
            Kind::Full => {
                wait_for_refusal(fleet, 0, i)?;
                fleet.kill(i);
                fleet.start_process(i)?;
            }
            Kind::Kill if !fleet.is_running(i) => fleet.start_process(i)?,
            Kind::Stop => fleet.signal(i, "-CONT"),
            Kind::StopBeforeAct => {
                fleet.signal(i, "-CONT");
                if std::fs::remove_file(fleet.stop_trigger(i)).is_ok() {
                    return Err(format!(
                        "n{i} did not reach its failure point: it did not act, or its program was built without failure points"
                    ));
                }
            }
            Kind::Noise => fleet.change_links(&[i], true, true, |link| {
                link.loss_percent.store(0, Relaxed);
                link.max_delay_ms.store(0, Relaxed);
            }),
            Kind::Narrow => fleet.change_links(&[i], true, true, |link| link.rate.store(0, Relaxed)),
            _ => {}
        }
    }
    Ok(with_new_folder)
}
