//! Zone failover in fleet tests: clients at every process during the whole run, the distribution of their connections over
//! the zones, and the plans that were made and followed.

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

/// Result of zone failover in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// Violations found.
    pub wrong: Vec<String>,
    /// Number of requests that clients sent.
    pub tries: u64,
    /// Number of requests that were served.
    pub served: u64,
    /// Number of requests that were refused with `BUSY`.
    pub busy: u64,
    /// Number of requests that failed with an answer or a closed connection.
    pub failed: u64,
    /// Number of requests without any answer.
    pub unanswered: u64,
    /// Number of plans that were made.
    pub plans: usize,
    /// State changes of zones, in order.
    pub states: Vec<String>,
    /// Time from a plan until the last running balancer follows it: median and maximum, in milliseconds.
    pub followed_ms: [u64; 2],
    /// Maximum number of connections in a zone at a time, as a percentage of its capacity.
    pub fullest: u64,
    /// Share of the connections before any fault that were outside their own zone, in hundredths of a percent.
    pub crossed: u64,
    /// Time from the end of the last fault until at most 2% of the connections are outside their own zone.
    pub near_ms: Option<u64>,
}

/// Counts of the clients' requests.
#[derive(Default)]
struct RequestCounts {
    tries: AtomicU64,
    served: AtomicU64,
    busy: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
}

/// The clients of a run and the measurements of their connections.
pub struct ZoneMonitor {
    zones: Zones,
    stopped: Arc<AtomicBool>,
    counts: Arc<RequestCounts>,
    /// Client address of each process; `None` while it is down.
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    clients: Vec<JoinHandle<()>>,
    fullest: AtomicU64,
    /// Sums over all samples before the first fault: connections, and those outside their own zone.
    crossed: Mutex<(u64, u64)>,
}

/// Mean lifetime of a client's connection.
const MEAN_LIFETIME: Duration = Duration::from_millis(4_000);
/// Deadline of a request; the `d=2000` of the `OPEN` line.
const ANSWER_DEADLINE: Duration = Duration::from_millis(2_000);
/// Time after the deadline from which a request counts as unanswered.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(1_500);
/// Time in which a connection to a process must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two lines that a client sends.
const LINE_INTERVAL: Duration = Duration::from_millis(400);
/// Time in which every balancer must follow a plan after the start.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after the last fault in which the connections must be back in their own zones.
const RETURN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last follower of a plan from which another follower counts as restarted, in milliseconds.
const RESTARTED_AFTER_MS: u64 = 3_000;

/// Outcome of one request.
enum Outcome {
    /// The connection was established and has ended.
    Served,
    /// Refused, with the time after which the client may retry.
    Busy(Duration),
    /// Any other answer.
    Failed,
    /// No answer in time.
    Unanswered,
    /// The connection was closed without an answer.
    Closed,
}

/// Sends one request and, if it is served, keeps the connection for its lifetime.
fn run_request(
    address: SocketAddr,
    open: &str,
    lifetime: Duration,
    stopped: &AtomicBool,
    counts: &RequestCounts,
) -> std::io::Result<Outcome> {
    let mut client = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    client.set_read_timeout(Some(ANSWER_DEADLINE + ANSWER_TOLERANCE))?;
    client.write_all(open.as_bytes())?;
    let mut lines = BufReader::new(client.try_clone()?);
    let mut answer = String::new();
    match lines.read_line(&mut answer) {
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            return Ok(Outcome::Unanswered)
        }
        Err(_) | Ok(0) => return Ok(Outcome::Closed),
        Ok(_) => {}
    }
    if let Some(rest) = answer.strip_prefix("BUSY") {
        let ms = rest.trim().parse().unwrap_or(1_000);
        return Ok(Outcome::Busy(Duration::from_millis(ms)));
    }
    if !answer.starts_with("UP") {
        return Ok(Outcome::Failed);
    }
    counts.served.fetch_add(1, Relaxed);
    let until = Instant::now() + lifetime;
    client.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut last_line = Instant::now();
    while Instant::now() < until && !stopped.load(Relaxed) {
        if last_line.elapsed() > LINE_INTERVAL {
            last_line = Instant::now();
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
    Ok(Outcome::Served)
}

impl ZoneMonitor {
    /// Starts the clients of all processes.
    pub fn start(fleet: &Fleet, zones: &Zones) -> ZoneMonitor {
        let (stopped, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(RequestCounts::default()));
        let addresses =
            Arc::new(Mutex::new((0..fleet.len()).map(|i| fleet.client_address(i)).collect::<Vec<_>>()));
        let mut clients = Vec::new();
        let log = fleet.log();
        for (i, k) in (0..fleet.len()).flat_map(|i| (0..zones.clients).map(move |k| (i, k))) {
            let (stopped, counts, addresses, log) =
                (stopped.clone(), counts.clone(), addresses.clone(), log.clone());
            clients.push(thread::spawn(move || {
                let class = if k % 4 == 0 { "payout" } else { "watch" };
                let mut n = 0u64;
                while !stopped.load(Relaxed) {
                    let Some(address) = addresses.lock().ok().and_then(|addresses| addresses[i]) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    n += 1;
                    let again = if n > 1 { ",again=1" } else { "" };
                    let open =
                        format!("OPEN z{i}-{k}-{n} key-{i}-{k} c={class},d=2000,g=g-{i}-{k}{again}\r\n");
                    let lifetime = MEAN_LIFETIME.mul_f64(0.5 + (k as f64 * 0.37 + n as f64 * 0.61).fract());
                    counts.tries.fetch_add(1, Relaxed);
                    let delay = match run_request(address, &open, lifetime, &stopped, &counts) {
                        Ok(Outcome::Served) => Duration::from_millis(20),
                        Ok(Outcome::Busy(after)) => {
                            counts.busy.fetch_add(1, Relaxed);
                            after
                        }
                        Ok(Outcome::Unanswered) => {
                            counts.unanswered.fetch_add(1, Relaxed);
                            note(&log, i, &format!("no answer: {}", open.trim_end()));
                            Duration::from_millis(100)
                        }
                        // The process was killed or reported a failure. Both are final answers.
                        Ok(Outcome::Failed | Outcome::Closed) | Err(_) => {
                            counts.failed.fetch_add(1, Relaxed);
                            Duration::from_millis(100)
                        }
                    };
                    thread::sleep(delay.min(Duration::from_secs(2)));
                }
            }));
        }
        let (fullest, crossed) = (AtomicU64::new(0), Mutex::new((0, 0)));
        ZoneMonitor { zones: zones.clone(), stopped, counts, addresses, clients, fullest, crossed }
    }

    /// Waits until every balancer follows a plan.
    pub fn settle(&self, fleet: &Fleet) -> Result<(), String> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let follows_plan = |i: usize| {
            fleet
                .log_lines(0)
                .iter()
                .any(|(who, line)| *who == i && line.contains("another plan is followed"))
        };
        while !(0..fleet.len()).all(follows_plan) {
            if Instant::now() > until {
                return Err("not every balancer follows a plan 25 s after the start".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// Returns the number of connections by the zone of the process and the zone of the server.
    fn connections(&self, fleet: &Fleet) -> [[u64; 3]; 3] {
        let mut all = [[0; 3]; 3];
        for i in 0..fleet.len() {
            fleet.to_servers(i).for_each(|(zone, link)| all[i % 3][zone] += link.open_requests.load(Relaxed));
        }
        all
    }

    /// Samples the distribution of connections. `faults_started` excludes the sample from the share of crossings.
    pub fn sample(&self, fleet: &Fleet, faults_started: bool) {
        if let Ok(mut addresses) = self.addresses.lock() {
            *addresses = (0..fleet.len()).map(|i| fleet.client_address(i)).collect();
        }
        let all = self.connections(fleet);
        let capacity = self.zones.room * self.zones.servers as u64;
        for to in 0..3 {
            let in_zone: u64 = all.iter().map(|from| from[to]).sum();
            let percent = 100 * in_zone / capacity.max(1);
            if self.fullest.fetch_max(percent, Relaxed) < percent {
                note(
                    &fleet.log(),
                    0,
                    &format!("zone {} has {in_zone} of {capacity} connections: {all:?}", ZONES[to]),
                );
            }
        }
        if let Ok(mut crossed) =
            self.crossed.lock().map_err(drop).and_then(|c| if faults_started { Err(()) } else { Ok(c) })
        {
            let (sum, outside) = total_and_outside(&all);
            *crossed = (crossed.0 + sum, crossed.1 + outside);
        }
    }

    /// Waits until the connections are back in their own zones, stops the clients and returns the result.
    pub fn finish(self, fleet: &Fleet, last_fault_ended: Instant) -> Result<Seen, String> {
        let mut seen = Seen::default();
        let until = last_fault_ended + RETURN_TIMEOUT;
        while Instant::now() < until {
            self.sample(fleet, true);
            let (sum, outside) = total_and_outside(&self.connections(fleet));
            // At most 2% are outside their own zone.
            if sum > 0 && 50 * outside <= sum {
                seen.near_ms = Some(last_fault_ended.elapsed().as_millis() as u64);
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(1));
        self.stopped.store(true, Relaxed);
        let count = |of: &AtomicU64| of.load(Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        let c = &self.counts;
        (seen.tries, seen.served, seen.busy) = (count(&c.tries), count(&c.served), count(&c.busy));
        (seen.failed, seen.unanswered) = (count(&c.failed), count(&c.unanswered));
        seen.fullest = count(&self.fullest);
        let (sum, outside) = *self.crossed.lock().map_err(|e| e.to_string())?;
        seen.crossed = 10_000 * outside / sum.max(1);
        read_plans(fleet, &mut seen);
        let expected = &self.zones;
        let mut violations = Vec::new();
        let mut require = |good: bool, violation: String| {
            if !good {
                violations.push(violation)
            }
        };
        require(seen.unanswered == 0, format!("{} requests had no answer", seen.unanswered));
        require(
            seen.near_ms.is_some(),
            "60 s after the last fault, connections were still outside their own zones".into(),
        );
        require(seen.fullest <= 110, format!("a zone reached {}% of its capacity", seen.fullest));
        require(
            seen.crossed <= 200,
            format!(
                "{:.2}% of the connections were outside their own zone before any fault",
                seen.crossed as f64 / 100.0
            ),
        );
        require(
            seen.states.len() <= expected.changes,
            format!("{} changes of zone states: {:?}", seen.states.len(), seen.states),
        );
        let percent = 100.0 * seen.served as f64 / seen.tries.max(1) as f64;
        require(
            percent >= expected.served,
            format!("only {percent:.1}% of {} requests were served", seen.tries),
        );
        for zone in ZONES {
            let evacuated = seen.states.iter().any(|state| *state == format!("{zone} away"));
            let must_be_evacuated = expected.left.iter().any(|name| name == zone);
            require(
                evacuated == must_be_evacuated,
                format!("zone {zone} was {}evacuated", if evacuated { "" } else { "not " }),
            );
        }
        seen.wrong = violations;
        Ok(seen)
    }
}

/// Returns the number of connections and of those outside their own zone.
fn total_and_outside(all: &[[u64; 3]; 3]) -> (u64, u64) {
    let sum: u64 = all.iter().flatten().sum();
    (sum, sum - (0..3).map(|zone| all[zone][zone]).sum::<u64>())
}

/// Returns the time of a log line, in milliseconds since midnight.
fn line_time_ms(line: &str) -> Option<u64> {
    let clock = line.split('T').nth(1)?.split('Z').next()?;
    let mut parts = clock.split(':');
    let (h, m) = (parts.next()?.parse::<u64>().ok()?, parts.next()?.parse::<u64>().ok()?);
    Some(((h * 60 + m) * 60_000) + (parts.next()?.parse::<f64>().ok()? * 1e3) as u64)
}

/// Returns the value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {key}="))?;
    rest.split(' ').next().map(|text| text.trim_matches('"'))
}

/// Reads the plans, the zone states and the times at which balancers followed the plans from the logs.
fn read_plans(fleet: &Fleet, seen: &mut Seen) {
    // Times by serial number of the plan.
    let (mut made, mut last_followed) = (BTreeMap::<u64, u64>::new(), BTreeMap::<u64, u64>::new());
    let mut states: BTreeMap<String, String> =
        ZONES.iter().map(|zone| (zone.to_string(), "near".to_string())).collect();
    for (_, line) in fleet.log_lines(0) {
        let Some((at, serial)) =
            line_time_ms(&line).zip(value(&line, "serial").and_then(|n| n.parse::<u64>().ok()))
        else {
            continue;
        };
        if line.contains("another plan is followed") {
            let latest = last_followed.entry(serial).or_insert(at);
            // A balancer that follows the plan much later was down when the plan was made and is not counted.
            *latest = if at < *latest + RESTARTED_AFTER_MS { at.max(*latest) } else { *latest };
        } else if let Some((zone, state)) = value(&line, "zone").zip(value(&line, "state")) {
            made.entry(serial).or_insert(at);
            if states.insert(zone.into(), state.into()).as_deref() != Some(state) {
                seen.states.push(format!("{zone} {state}"));
            }
        }
    }
    seen.plans = made.len();
    let mut delays: Vec<u64> =
        made.iter().filter_map(|(serial, at)| Some(last_followed.get(serial)?.saturating_sub(*at))).collect();
    delays.sort_unstable();
    seen.followed_ms =
        [delays.get(delays.len() / 2), delays.last()].map(|ms| ms.copied().unwrap_or_default());
}
