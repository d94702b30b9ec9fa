//! A live run: the state that all parts share, the faults, and the value of each second.

use super::balancers::Balancers;
use super::clients;
use super::discovery::Discovery;
use super::servers::Servers;
use super::wire::Protocol;
use crate::scenario::plan::Workload;
use crate::scenario::{Kind, Scenario};
use crate::score::record::{Entry, EntrySink, RunEvent};
use oakdeal::{HostState, Micros};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

/// Maximum mean number of connections of a scenario that can be run live.
const MAX_CONNECTIONS: f64 = 1_500.0;
/// Maximum number of servers of a live run.
const MAX_SERVERS: usize = 100;
/// Maximum number of balancers of a live run.
const MAX_BALANCERS: usize = 8;
/// Maximum duration of a live run.
const MAX_DURATION: Micros = 600_000_000;
/// Interval at which the connections are sampled.
const TICK: Micros = 250_000;
/// Delay from which a sample counts as late.
const LATE: Micros = 100_000;
/// Share of late samples (unitless) above which the machine was too slow for the result to count.
const MAX_LATE_SHARE: f64 = 0.05;
/// Time between the restarts of two balancers in a `restart` fault.
const RESTART_INTERVAL: Duration = Duration::from_secs(3);
/// Time in which a balancer must learn that a server drains: the scenario's 500 ms, and 50 ms for real sockets.
const DRAIN_GRACE: Micros = 550_000;

/// Index in `Site::counts` of the clients that sent their first request.
pub const FIRST_REQUESTS: usize = 0;
/// Index in `Site::counts` of the attempts that reached a server.
pub const ATTEMPTS: usize = 1;
/// Index in `Site::counts` of the attempts at a server in another zone than the balancer's.
pub const CROSSINGS: usize = 2;
/// Index in `Site::counts` of the connections that were moved.
pub const MOVES: usize = 3;
/// Index in `Site::counts` of the probes.
pub const PROBES: usize = 4;
/// Index in `Site::counts` of the attempts that did not establish a connection.
pub const WASTED_SETUPS: usize = 5;
/// Index in `Site::counts` of the set-ups that servers were asked for.
pub const OFFERED_SETUPS: usize = 6;

/// State that all parts of a live run share.
pub struct Site {
    /// The scenario.
    pub scenario: Scenario,
    /// The workload drawn by the seed.
    pub workload: Workload,
    started: Instant,
    reader: RefCell<Box<dyn EntrySink>>,
    /// Number of clients that want a connection, by team and class.
    pub wants: RefCell<Vec<u32>>,
    /// The balancer to which each client sent its last request.
    pub node_of: RefCell<Vec<usize>>,
    /// Counts for the penalties, by the indices above.
    pub counts: [Cell<u64>; 7],
    /// Number of times that each balancer's process has ended.
    pub deaths: RefCell<std::collections::BTreeMap<usize, u32>>,
    /// Whether all clients must end.
    pub over: Cell<bool>,
}

impl Site {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Waits until a time of the run.
    pub async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.started + Duration::from_micros(at)).await;
    }

    /// Records an event with the current time.
    pub fn note(&self, what: RunEvent) {
        self.reader.borrow_mut().accept(&Entry { t: self.now(), what });
    }

    /// Increments a count, given by its index.
    pub fn count(&self, which: usize) {
        self.counts[which].set(self.counts[which].get() + 1);
    }

    /// Returns the protocol of a client. The scenario's fraction of clients speaks XMPP.
    pub fn protocol(&self, client: usize) -> Protocol {
        let uniform = (self.workload.clients[client].seed >> 11) as f64 / (1u64 << 53) as f64;
        if uniform < self.scenario.fleet.xmpp {
            Protocol::Xmpp
        } else {
            Protocol::Lines
        }
    }

    /// Returns the number of times that a balancer's process has ended. Requests from before its last end are repeated by
    /// the clients and are no longer subject to the rules.
    pub fn deaths(&self, node: usize) -> u32 {
        self.deaths.borrow().get(&node).copied().unwrap_or(0)
    }

    /// Returns the index of a client's team and class in sums by team and class.
    pub fn cell(&self, client: usize) -> usize {
        let c = &self.workload.clients[client];
        c.team * self.scenario.class.len() + c.class
    }
}

/// Returns why a scenario is too large to be run live, if it is.
pub fn too_large(scenario: &Scenario) -> Option<String> {
    let (connections, fleet) = (scenario.steady_connections(), &scenario.fleet);
    let exceeds = |what: &str, n: f64, max: f64| {
        (n > max).then(|| format!("cannot be played live: {n:.0} {what}, the maximum is {max:.0}"))
    };
    exceeds("connections at a time", connections, MAX_CONNECTIONS)
        .or_else(|| exceeds("servers", fleet.servers as f64, MAX_SERVERS as f64))
        .or_else(|| exceeds("balancers", fleet.balancers as f64, MAX_BALANCERS as f64))
        .or_else(|| exceeds("seconds", scenario.scored_interval().1 as f64 / 1e6, MAX_DURATION as f64 / 1e6))
}

/// Runs a scenario in real time against processes of `program`. Returns whether the machine was fast enough for the result
/// to count.
pub fn play(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    program: &Path,
    reader: Box<dyn EntrySink>,
) -> Result<bool, String> {
    if let Some(why) = too_large(scenario) {
        return Err(why);
    }
    // The path must be absolute, because the balancers run in another folder.
    let program = program.canonicalize().map_err(|e| format!("cannot start {}: {e}", program.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(scenario, name, seed, &program, reader))
}

async fn run(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    program: &Path,
    reader: Box<dyn EntrySink>,
) -> Result<bool, String> {
    let workload = Workload::draw(scenario, seed);
    let cells = scenario.team.len() * scenario.class.len();
    // All parts run before the clock of the run starts.
    let servers = Servers::bind(scenario, &workload).await?;
    let discovery = Discovery::bind(scenario, &workload, &servers.addresses(), seed).await?;
    let balancers =
        Balancers::start(scenario, &workload, program, &discovery, &servers.xmpp_addresses(), seed).await?;
    let site = Rc::new(Site {
        scenario: scenario.clone(),
        wants: RefCell::new(vec![0; cells]),
        node_of: RefCell::new(vec![0; workload.clients.len()]),
        workload,
        started: Instant::now(),
        reader: RefCell::new(reader),
        counts: Default::default(),
        deaths: RefCell::default(),
        over: Cell::new(false),
    });
    let (begin, end) = scenario.scored_interval();
    let operator =
        scenario.operator.as_ref().map(|t| crate::virt::decider::parse_operator(t.get_ref())).transpose()?;
    let capacity = operator.and_then(|o| o.terms).and_then(|t| t.capacity);
    site.note(RunEvent::Begin {
        scenario: name.into(),
        title: scenario.title.clone(),
        seed,
        how: format!("live, {}", program.file_name().unwrap_or_default().to_string_lossy()),
        classes: scenario.class.iter().map(|c| c.name.clone()).collect(),
        teams: scenario.team.iter().map(|t| t.get_ref().name.clone()).collect(),
        servers: site.workload.servers.iter().map(|m| m.cores * m.speed).collect(),
        balancers: balancers.len(),
        score_from: begin,
        end,
        drain_grace: DRAIN_GRACE,
        fall_time: scenario.fleet.fall_time.0,
        capacity: capacity.map(|c| (c / balancers.len() as f64) as u64),
    });
    servers.serve(&site);
    discovery.serve(&site);
    let balancers = Rc::new(balancers);
    let mut tasks = Vec::new();
    for c in 0..site.workload.clients.len() {
        if site.workload.clients[c].arrival < end {
            tasks.push(spawn_local(clients::run_client(site.clone(), balancers.clone(), servers.clone(), c)));
        }
    }
    for i in 0..site.workload.faults.len() {
        let (site, servers, discovery, balancers) =
            (site.clone(), servers.clone(), discovery.clone(), balancers.clone());
        tasks.push(spawn_local(async move { run_fault(&site, &servers, &discovery, &balancers, i).await }));
    }
    let late_share = record_seconds(&site, &servers, begin, end).await;
    site.over.set(true);
    for task in &tasks {
        task.abort();
    }
    // Requests that are pending at the end of the run need no answer.
    let [first, sends, crossings, moves, probes, wasted, offered] = &site.counts;
    site.note(RunEvent::End {
        first: first.get(),
        sends: sends.get(),
        crossings: crossings.get(),
        moves: moves.get(),
        probes: probes.get(),
        wasted: wasted.get() as f64,
        offered: offered.get() as f64,
    });
    balancers.end().await;
    Ok(late_share <= MAX_LATE_SHARE)
}

/// Records the value asked for and served in each second until the end. Returns the share of samples that were late.
async fn record_seconds(site: &Rc<Site>, servers: &Servers, begin: Micros, end: Micros) -> f64 {
    let classes = site.scenario.class.len();
    let cells = site.wants.borrow().len();
    let (mut asked, mut served) = (vec![0.0; cells], vec![0.0; cells]);
    let (mut ticks, mut late, mut last) = (0u64, 0u64, site.now());
    loop {
        ticks += 1;
        let due = ticks * TICK;
        if due > end {
            return late as f64 / ticks as f64;
        }
        site.until(due).await;
        let now = site.now();
        late += u64::from(now > due + LATE);
        let part = (now - last) as f64 / 1e6;
        last = now;
        for (cell, &n) in site.wants.borrow().iter().enumerate() {
            asked[cell] += f64::from(n) * site.scenario.class[cell % classes].worth * part;
        }
        servers.sample(now, |cell, connections, in_time| {
            served[cell] +=
                f64::from(connections) * site.scenario.class[cell % classes].worth * part * in_time;
        });
        if ticks.is_multiple_of(1_000_000 / TICK) {
            let (a, s) = (
                std::mem::replace(&mut asked, vec![0.0; cells]),
                std::mem::replace(&mut served, vec![0.0; cells]),
            );
            servers.report_delays(site);
            if now <= begin {
                continue;
            }
            let (loads, held) = servers.loads(now);
            site.note(RunEvent::second(&a, &s, classes, loads, held));
        }
    }
}

/// Runs one fault from its start to its end.
async fn run_fault(
    site: &Rc<Site>,
    servers: &Servers,
    discovery: &Rc<Discovery>,
    balancers: &Rc<Balancers>,
    i: usize,
) {
    let scheduled = site.workload.faults[i].clone();
    site.until(scheduled.from).await;
    site.note(RunEvent::Fault { text: format!("{:?}", scheduled.fault.kind), until: scheduled.until });
    // A network outage is emulated by silence: on loopback the system itself still accepts connections.
    let silent = |on: bool| scheduled.servers.iter().for_each(|&s| servers.set_silent(s, on));
    match scheduled.fault.kind {
        Kind::Death => {
            for &s in &scheduled.servers {
                servers.die(site, s);
                discovery.change(site, s, HostState::Gone, None);
            }
        }
        Kind::Drain => {
            for &s in &scheduled.servers {
                servers.drain(s);
                discovery.change(site, s, HostState::Draining, None);
            }
        }
        Kind::Silence | Kind::Cut => silent(true),
        Kind::FastErrors => {
            scheduled.servers.iter().for_each(|&s| servers.set_error_share(s, scheduled.fault.share))
        }
        Kind::Reconnect => servers.drop_clients(scheduled.fault.part),
        Kind::Discovery => discovery.set_down(true),
        Kind::Restart => {
            for n in 0..balancers.len() {
                balancers.restart(site, discovery, n, scheduled.fault.length.0).await;
                tokio::time::sleep(RESTART_INTERVAL).await;
            }
        }
        Kind::Kill => balancers.kill(site, discovery, 0, scheduled.fault.length.0).await,
        Kind::Contract => balancers.reload_operator(scheduled.fault.operator.as_deref().unwrap_or_default()),
        // These change the workload, which already contains them.
        Kind::Costly | Kind::Surge => {}
    }
    site.until(scheduled.until).await;
    match scheduled.fault.kind {
        Kind::Death | Kind::Drain => {
            for &s in &scheduled.servers {
                if scheduled.fault.kind == Kind::Drain {
                    servers.die(site, s);
                }
                if servers.restart(site, s).await {
                    discovery.change(site, s, HostState::Ready, Some(()));
                }
            }
        }
        Kind::Silence | Kind::Cut => silent(false),
        Kind::FastErrors => scheduled.servers.iter().for_each(|&s| servers.set_error_share(s, 0.0)),
        Kind::Discovery => discovery.set_down(false),
        _ => {}
    }
}
