//! Zones in the rig: clients at every process all the time, what stands where, which plans were made and followed.

use super::process::{note, Fleet};
use super::scenario::{Zones, ZONES};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What became of the zones in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// What is wrong.
    pub wrong: Vec<String>,
    /// Tries of clients: in all, served, turned away, failed, and those that were given no answer at all.
    pub tries: u64,
    /// See `tries`.
    pub served: u64,
    /// See `tries`.
    pub busy: u64,
    /// See `tries`.
    pub failed: u64,
    /// See `tries`.
    pub unanswered: u64,
    /// Plans that were made, and the states that zones went through, in order.
    pub plans: usize,
    /// See `plans`.
    pub states: Vec<String>,
    /// From each plan to the last living balancer that follows it: the median and the worst, in milliseconds.
    pub followed_ms: [u64; 2],
    /// The most that stood in a zone at a time, in hundredths of its room.
    pub fullest: u64,
    /// Of what stood before any fault, in hundredths of a percent, how much was not near.
    pub crossed: u64,
    /// From the last healing until no more than one in fifty is away from its zone.
    pub near_ms: Option<u64>,
}

#[derive(Default)]
struct Counts {
    tries: AtomicU64,
    served: AtomicU64,
    busy: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
}

/// Clients and counts while a run lasts.
pub struct Watch {
    zones: Zones,
    over: Arc<AtomicBool>,
    counts: Arc<Counts>,
    /// Where the processes take clients now; none while one is down.
    at: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    clients: Vec<JoinHandle<()>>,
    fullest: AtomicU64,
    crossed: Mutex<(u64, u64)>,
}

/// How long a client stays, and how long it waits for an answer.
const LIFE: Duration = Duration::from_millis(4_000);
const WAIT: Duration = Duration::from_millis(2_000);
/// An answer that comes later than the deadline by so much is none.
const LATE: Duration = Duration::from_millis(1_500);

/// What a try came to.
enum Came {
    Served,
    Busy(Duration),
    Failed,
    Nothing,
    Gone,
}

/// One try, and the stay that follows it.
fn visit(
    at: SocketAddr,
    open: &str,
    life: Duration,
    over: &AtomicBool,
    counts: &Counts,
) -> std::io::Result<Came> {
    let mut client = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    client.set_read_timeout(Some(WAIT + LATE))?;
    client.write_all(open.as_bytes())?;
    let mut lines = BufReader::new(client.try_clone()?);
    let mut answer = String::new();
    match lines.read_line(&mut answer) {
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            return Ok(Came::Nothing)
        }
        Err(_) | Ok(0) => return Ok(Came::Gone),
        Ok(_) => {}
    }
    if let Some(rest) = answer.strip_prefix("BUSY") {
        let ms = rest.trim().parse().unwrap_or(1_000);
        return Ok(Came::Busy(Duration::from_millis(ms)));
    }
    if !answer.starts_with("UP") {
        return Ok(Came::Failed);
    }
    counts.served.fetch_add(1, Relaxed);
    let until = Instant::now() + life;
    client.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut said = Instant::now();
    while Instant::now() < until && !over.load(Relaxed) {
        if said.elapsed() > Duration::from_millis(400) {
            said = Instant::now();
            client.write_all(b"here\r\n")?;
        }
        let mut line = String::new();
        match lines.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) if line.starts_with("MOVE") => break,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    Ok(Came::Served)
}

impl Watch {
    /// Clients come from now on.
    pub fn start(fleet: &Fleet, zones: &Zones) -> Watch {
        let (over, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
        let at = Arc::new(Mutex::new((0..fleet.len()).map(|i| fleet.lines_at(i)).collect::<Vec<_>>()));
        let mut clients = Vec::new();
        let log = fleet.log();
        for (i, k) in (0..fleet.len()).flat_map(|i| (0..zones.clients).map(move |k| (i, k))) {
            let (over, counts, at, log) = (over.clone(), counts.clone(), at.clone(), log.clone());
            clients.push(thread::spawn(move || {
                let class = if k % 4 == 0 { "payout" } else { "watch" };
                let mut n = 0u64;
                while !over.load(Relaxed) {
                    let Some(door) = at.lock().ok().and_then(|at| at[i]) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    n += 1;
                    let again = if n > 1 { ",again=1" } else { "" };
                    let open =
                        format!("OPEN z{i}-{k}-{n} key-{i}-{k} c={class},d=2000,g=g-{i}-{k}{again}\r\n");
                    let life = LIFE.mul_f64(0.5 + (k as f64 * 0.37 + n as f64 * 0.61).fract());
                    counts.tries.fetch_add(1, Relaxed);
                    let rest = match visit(door, &open, life, &over, &counts) {
                        Ok(Came::Served) => Duration::from_millis(20),
                        Ok(Came::Busy(after)) => {
                            counts.busy.fetch_add(1, Relaxed);
                            after
                        }
                        Ok(Came::Nothing) => {
                            counts.unanswered.fetch_add(1, Relaxed);
                            note(&log, i, &format!("no answer: {}", open.trim_end()));
                            Duration::from_millis(100)
                        }
                        // Its process was killed, or it was told of a failure: one final answer either way.
                        Ok(Came::Failed | Came::Gone) | Err(_) => {
                            counts.failed.fetch_add(1, Relaxed);
                            Duration::from_millis(100)
                        }
                    };
                    thread::sleep(rest.min(Duration::from_secs(2)));
                }
            }));
        }
        let (fullest, crossed) = (AtomicU64::new(0), Mutex::new((0, 0)));
        Watch { zones: zones.clone(), over, counts, at, clients, fullest, crossed }
    }

    /// Waits until every balancer follows a plan.
    pub fn settle(&self, fleet: &Fleet) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(25);
        let follows = |i: usize| {
            fleet.lines(0).iter().any(|(who, line)| *who == i && line.contains("another plan is followed"))
        };
        while !(0..fleet.len()).all(follows) {
            if Instant::now() > until {
                return Err("not every balancer follows a plan after 25 s".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// What stands in each zone, by the zone of the process it came through.
    fn stands(&self, fleet: &Fleet) -> [[u64; 3]; 3] {
        let mut all = [[0; 3]; 3];
        for i in 0..fleet.len() {
            fleet.to_servers(i).for_each(|(zone, wire)| all[i % 3][zone] += wire.open.load(Relaxed));
        }
        all
    }

    /// Looks at what stands where.
    pub fn look(&self, fleet: &Fleet, faulty: bool) {
        if let Ok(mut at) = self.at.lock() {
            *at = (0..fleet.len()).map(|i| fleet.lines_at(i)).collect();
        }
        let all = self.stands(fleet);
        let room = self.zones.room * self.zones.servers as u64;
        for to in 0..3 {
            let here: u64 = all.iter().map(|from| from[to]).sum();
            let part = 100 * here / room.max(1);
            if self.fullest.fetch_max(part, Relaxed) < part {
                note(&fleet.log(), 0, &format!("zone {} holds {here} of {room}: {all:?}", ZONES[to]));
            }
        }
        if let Ok(mut crossed) =
            self.crossed.lock().map_err(drop).and_then(|c| if faulty { Err(()) } else { Ok(c) })
        {
            let (sum, away) = away(&all);
            *crossed = (crossed.0 + sum, crossed.1 + away);
        }
    }

    /// The end: what became of it.
    pub fn end(self, fleet: &Fleet, healed: Instant) -> Result<Seen, String> {
        let mut seen = Seen::default();
        // Back to near: no more than one in fifty is away.
        let until = healed + Duration::from_secs(60);
        while Instant::now() < until {
            self.look(fleet, true);
            let (sum, away) = away(&self.stands(fleet));
            if sum > 0 && 50 * away <= sum {
                seen.near_ms = Some(healed.elapsed().as_millis() as u64);
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(1));
        self.over.store(true, Relaxed);
        let count = |of: &AtomicU64| of.load(Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        let c = &self.counts;
        (seen.tries, seen.served, seen.busy) = (count(&c.tries), count(&c.served), count(&c.busy));
        (seen.failed, seen.unanswered) = (count(&c.failed), count(&c.unanswered));
        seen.fullest = count(&self.fullest);
        let (sum, away) = *self.crossed.lock().map_err(|e| e.to_string())?;
        seen.crossed = 10_000 * away / sum.max(1);
        self::plans(fleet, &mut seen);
        let z = &self.zones;
        let mut wrong = Vec::new();
        let mut must = |good: bool, what: String| {
            if !good {
                wrong.push(what)
            }
        };
        must(seen.unanswered == 0, format!("{} tries had no answer", seen.unanswered));
        must(seen.near_ms.is_some(), "not back to near 60 s after the healing".into());
        must(seen.fullest <= 110, format!("a zone held {}% of its room", seen.fullest));
        must(seen.crossed <= 200, format!("{:.2}% crossed before any fault", seen.crossed as f64 / 100.0));
        must(
            seen.states.len() <= z.changes,
            format!("{} changes of state: {:?}", seen.states.len(), seen.states),
        );
        let part = 100.0 * seen.served as f64 / seen.tries.max(1) as f64;
        must(part >= z.served, format!("{part:.1}% of {} tries were served", seen.tries));
        for zone in ZONES {
            let left = seen.states.iter().any(|state| *state == format!("{zone} away"));
            let meant = z.left.iter().any(|name| name == zone);
            must(left == meant, format!("zone {zone} was {}left", if left { "" } else { "not " }));
        }
        seen.wrong = wrong;
        Ok(seen)
    }
}

/// All that stands, and what is away from its zone.
fn away(all: &[[u64; 3]; 3]) -> (u64, u64) {
    let sum: u64 = all.iter().flatten().sum();
    (sum, sum - (0..3).map(|zone| all[zone][zone]).sum::<u64>())
}

/// When a line was written, in milliseconds of the day.
fn stamp(line: &str) -> Option<u64> {
    let clock = line.split('T').nth(1)?.split('Z').next()?;
    let mut parts = clock.split(':');
    let (h, m) = (parts.next()?.parse::<u64>().ok()?, parts.next()?.parse::<u64>().ok()?);
    Some(((h * 60 + m) * 60_000) + (parts.next()?.parse::<f64>().ok()? * 1e3) as u64)
}

fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {key}="))?;
    rest.split(' ').next().map(|text| text.trim_matches('"'))
}

/// Plans, states and who followed when, by the logs.
fn plans(fleet: &Fleet, seen: &mut Seen) {
    let (mut made, mut last) = (BTreeMap::<u64, u64>::new(), BTreeMap::<u64, u64>::new());
    let mut states: BTreeMap<String, String> =
        ZONES.iter().map(|zone| (zone.to_string(), "near".to_string())).collect();
    for (_, line) in fleet.lines(0) {
        let Some((at, serial)) = stamp(&line).zip(value(&line, "serial").and_then(|n| n.parse::<u64>().ok()))
        else {
            continue;
        };
        if line.contains("another plan is followed") {
            let known = last.entry(serial).or_insert(at);
            // One that comes back later follows what there is then; it was not there to be late.
            *known = if at < *known + 3_000 { at.max(*known) } else { *known };
        } else if let Some((zone, state)) = value(&line, "zone").zip(value(&line, "state")) {
            made.entry(serial).or_insert(at);
            if states.insert(zone.into(), state.into()).as_deref() != Some(state) {
                seen.states.push(format!("{zone} {state}"));
            }
        }
    }
    seen.plans = made.len();
    let mut took: Vec<u64> =
        made.iter().filter_map(|(serial, at)| Some(last.get(serial)?.saturating_sub(*at))).collect();
    took.sort_unstable();
    seen.followed_ms = [took.get(took.len() / 2), took.last()].map(|ms| ms.copied().unwrap_or_default());
}
