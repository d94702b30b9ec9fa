//! The site: what all parts share, the faults, and what each second was worth.

use super::balancers::Balancers;
use super::clients;
use super::discovery::Discovery;
use super::servers::Servers;
use super::wire::Speaks;
use crate::scenario::plan::Plan;
use crate::scenario::{Kind, Scenario};
use crate::score::record::{Entry, EntrySink, RunEvent};
use oakdeal::{HostState, Micros};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

/// What a live run can be at most: connections wanted at a time, servers, balancers, length.
const MOST: (f64, usize, usize, Micros) = (1_500.0, 100, 8, 600_000_000);
const TICK: Micros = 250_000;
/// A tick that comes later than this was late ...
const LATE: Micros = 100_000;
/// ... and with more than this part of them late the result does not count.
const TOO_MANY: f64 = 0.05;

/// What all parts of a live run share.
pub struct Site {
    /// The scenario.
    pub scenario: Scenario,
    /// The day.
    pub plan: Plan,
    begun: Instant,
    reader: RefCell<Box<dyn EntrySink>>,
    /// Clients that want a connection, by team and class.
    pub wants: RefCell<Vec<u32>>,
    /// The balancer that each client last asked.
    pub node_of: RefCell<Vec<usize>>,
    /// Counts for the penalties: first tries, sends, crossings, moves, probes, wasted and offered set-ups.
    pub counts: [Cell<u64>; 7],
    /// How often each balancer has died.
    pub deaths: RefCell<std::collections::BTreeMap<usize, u32>>,
    /// All clients are to end.
    pub over: Cell<bool>,
}

impl Site {
    /// The time, from the begin of the run.
    pub fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    /// Waits until then.
    pub async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.begun + Duration::from_micros(at)).await;
    }

    /// Notes what happens now.
    pub fn note(&self, what: RunEvent) {
        self.reader.borrow_mut().accept(&Entry { t: self.now(), what });
    }

    /// One more of a count.
    pub fn count(&self, which: usize) {
        self.counts[which].set(self.counts[which].get() + 1);
    }

    /// What a client speaks: the part of them that the scenario says speaks XMPP.
    pub fn speaks(&self, client: usize) -> Speaks {
        let draw = (self.plan.clients[client].seed >> 11) as f64 / (1u64 << 53) as f64;
        if draw < self.scenario.fleet.xmpp {
            Speaks::Xmpp
        } else {
            Speaks::Lines
        }
    }

    /// How often a balancer has died: what it held before is the clients' to repeat, and no rule's any more.
    pub fn deaths(&self, node: usize) -> u32 {
        self.deaths.borrow().get(&node).copied().unwrap_or(0)
    }

    /// The cell of a client in sums by team and class.
    pub fn cell(&self, client: usize) -> usize {
        let c = &self.plan.clients[client];
        c.team * self.scenario.class.len() + c.class
    }
}

/// Why a scenario cannot be played live, if it cannot.
pub fn too_large(scenario: &Scenario) -> Option<String> {
    let (standing, fleet) = (scenario.standing(), &scenario.fleet);
    let (connections, servers, balancers, length) = MOST;
    let most = |what: &str, n: f64, most: f64| {
        (n > most).then(|| format!("cannot be played live: {n:.0} {what}, {most:.0} are the most"))
    };
    most("connections at a time", standing, connections)
        .or_else(|| most("servers", fleet.servers as f64, servers as f64))
        .or_else(|| most("balancers", fleet.balancers as f64, balancers as f64))
        .or_else(|| most("seconds", scenario.span().1 as f64 / 1e6, length as f64 / 1e6))
}

/// Plays a day against processes of `program`; whether the machine was fast enough for the result to count.
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
    // Balancers run in a folder of their own.
    let program = program.canonicalize().map_err(|e| format!("cannot start {}: {e}", program.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, run(scenario, name, seed, &program, reader))
}

async fn run(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    program: &Path,
    reader: Box<dyn EntrySink>,
) -> Result<bool, String> {
    let plan = Plan::draw(scenario, seed);
    let cells = scenario.team.len() * scenario.class.len();
    // Everything is up before the clock starts.
    let servers = Servers::bind(scenario, &plan).await?;
    let discovery = Discovery::bind(scenario, &plan, &servers.addresses(), seed).await?;
    let balancers =
        Balancers::start(scenario, &plan, program, &discovery, &servers.xmpp_addresses(), seed).await?;
    let site = Rc::new(Site {
        scenario: scenario.clone(),
        wants: RefCell::new(vec![0; cells]),
        node_of: RefCell::new(vec![0; plan.clients.len()]),
        plan,
        begun: Instant::now(),
        reader: RefCell::new(reader),
        counts: Default::default(),
        deaths: RefCell::default(),
        over: Cell::new(false),
    });
    let (begin, end) = scenario.span();
    let terms =
        scenario.operator.as_ref().map(|t| crate::virt::decider::parse_operator(t.get_ref())).transpose()?;
    let capacity = terms.and_then(|o| o.terms).and_then(|t| t.capacity);
    site.note(RunEvent::Begin {
        scenario: name.into(),
        title: scenario.title.clone(),
        seed,
        how: format!("live, {}", program.file_name().unwrap_or_default().to_string_lossy()),
        classes: scenario.class.iter().map(|c| c.name.clone()).collect(),
        teams: scenario.team.iter().map(|t| t.get_ref().name.clone()).collect(),
        servers: site.plan.servers.iter().map(|m| m.cores * m.speed).collect(),
        balancers: balancers.len(),
        score_from: begin,
        end,
        // As the rules on sockets count it: 50 ms more.
        drain_grace: 550_000,
        fall_time: scenario.fleet.fall_time.0,
        capacity: capacity.map(|c| (c / balancers.len() as f64) as u64),
    });
    servers.serve(&site);
    discovery.serve(&site);
    let balancers = Rc::new(balancers);
    let mut tasks = Vec::new();
    for c in 0..site.plan.clients.len() {
        if site.plan.clients[c].at < end {
            tasks.push(spawn_local(clients::client(site.clone(), balancers.clone(), servers.clone(), c)));
        }
    }
    for i in 0..site.plan.strikes.len() {
        let (site, servers, discovery, balancers) =
            (site.clone(), servers.clone(), discovery.clone(), balancers.clone());
        tasks.push(spawn_local(async move { strike(&site, &servers, &discovery, &balancers, i).await }));
    }
    let late = seconds(&site, &servers, begin, end).await;
    site.over.set(true);
    for task in &tasks {
        task.abort();
    }
    // What is still under way when the clock stops is owed nothing.
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
    Ok(late <= TOO_MANY)
}

/// Counts each second until the end; the part of the looks that came late.
async fn seconds(site: &Rc<Site>, servers: &Servers, begin: Micros, end: Micros) -> f64 {
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
        servers.look(now, |cell, standing, within| {
            served[cell] += f64::from(standing) * site.scenario.class[cell % classes].worth * part * within;
        });
        if ticks.is_multiple_of(1_000_000 / TICK) {
            let (a, s) = (
                std::mem::replace(&mut asked, vec![0.0; cells]),
                std::mem::replace(&mut served, vec![0.0; cells]),
            );
            servers.tell_delays(site);
            if now <= begin {
                continue;
            }
            let (loads, held) = servers.loads(now);
            site.note(RunEvent::second(&a, &s, classes, loads, held));
        }
    }
}

/// One fault, from its begin to its end.
async fn strike(
    site: &Rc<Site>,
    servers: &Servers,
    discovery: &Rc<Discovery>,
    balancers: &Rc<Balancers>,
    i: usize,
) {
    let strike = site.plan.strikes[i].clone();
    site.until(strike.from).await;
    site.note(RunEvent::Fault { text: format!("{:?}", strike.fault.kind), until: strike.until });
    // On loopback a cut network cannot be told from silence: connections are taken by the system itself.
    let silent = |on: bool| strike.servers.iter().for_each(|&s| servers.silence(s, on));
    match strike.fault.kind {
        Kind::Death => {
            for &s in &strike.servers {
                servers.die(site, s);
                discovery.change(site, s, HostState::Gone, None);
            }
        }
        Kind::Drain => {
            for &s in &strike.servers {
                servers.drain(s);
                discovery.change(site, s, HostState::Draining, None);
            }
        }
        Kind::Silence | Kind::Cut => silent(true),
        Kind::FastErrors => strike.servers.iter().for_each(|&s| servers.errors(s, strike.fault.share)),
        Kind::Reconnect => servers.drop_clients(strike.fault.part),
        Kind::Discovery => discovery.down(true),
        Kind::Restart => {
            for n in 0..balancers.len() {
                balancers.restart(site, discovery, n, strike.fault.length.0).await;
                tokio::time::sleep(Duration::from_secs(3)).await;
            }
        }
        Kind::Kill => balancers.kill(site, discovery, 0, strike.fault.length.0).await,
        Kind::Contract => balancers.operate(strike.fault.operator.as_deref().unwrap_or_default()),
        Kind::Costly | Kind::Surge => {}
    }
    site.until(strike.until).await;
    match strike.fault.kind {
        Kind::Death | Kind::Drain => {
            for &s in &strike.servers {
                if strike.fault.kind == Kind::Drain {
                    servers.die(site, s);
                }
                if servers.back(site, s).await {
                    discovery.change(site, s, HostState::Ready, Some(()));
                }
            }
        }
        Kind::Silence | Kind::Cut => silent(false),
        Kind::FastErrors => strike.servers.iter().for_each(|&s| servers.errors(s, 0.0)),
        Kind::Discovery => discovery.down(false),
        _ => {}
    }
}
