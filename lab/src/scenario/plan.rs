//! The workload that a seed draws from a scenario: every client, every server, and the servers that each fault affects.
//!
//! The whole workload is drawn before the run starts, so no decision of a balancer can influence it and two builds are
//! compared on the same one. Each concern has its own random stream (ChaCha8, keyed by the seed and a label).

use super::{Fault, Kind, Scenario};
use oakdeal::Micros;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};

/// Exponent (unitless) of the Zipf distribution of group sizes: the k-th group's share is proportional to 1/k to this
/// power. The operators state 0.5 to 1.
const GROUP_SIZE_EXPONENT: f64 = 0.5;

/// First and maximum delay, in microseconds, before a refused or failed client retries. It doubles with each failure.
pub const RETRY_DELAY_US: (f64, f64) = (250_000.0, 4_000_000.0);
/// Range of the delay, in microseconds, after which a client whose connection broke reconnects, from the operators'
/// requirements.
pub const RECONNECT_AFTER_BREAK_US: (f64, f64) = (94_000.0, 640_000.0);
/// Range of the delay, in microseconds, after which a client whose connection was moved reconnects.
pub const RECONNECT_AFTER_MOVE_US: (f64, f64) = (20_000.0, 200_000.0);
/// Mean time, in microseconds, between two changes of a connection's load.
pub const MEAN_LOAD_CHANGE_INTERVAL_US: f64 = 12_000_000.0;
/// Range of a connection's changed load, as a multiple of its usual load (unitless).
pub const LOAD_CHANGE_FACTOR: (f64, f64) = (0.5, 1.5);

/// Advances a client's own random state and returns a uniform number from 0 to 1 (SplitMix64, Steele et al. 2014).
pub fn next_uniform(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}

/// Returns the delay before a client's next request after `failures` consecutive failures. `uniform` is a random number
/// from 0 to 1 that varies the delay from half to one and a half times its mean.
pub fn retry_delay(failures: u32, uniform: f64) -> Micros {
    let delay = (RETRY_DELAY_US.0 * 2f64.powi(failures.clamp(1, 10) as i32 - 1)).min(RETRY_DELAY_US.1);
    (delay * (0.5 + uniform)) as Micros
}

/// Returns the random stream of a seed for the concern that the label names.
pub fn random_stream(seed: u64, label: &str) -> ChaCha8Rng {
    let mut key = [0u8; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    let label = label.as_bytes();
    key[8..8 + label.len().min(24)].copy_from_slice(&label[..label.len().min(24)]);
    ChaCha8Rng::from_seed(key)
}

/// Draws a uniform number from a range.
pub fn uniform_in(rng: &mut impl Rng, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * rng.random::<f64>()
}

/// A client and the connection that it requests.
#[derive(Clone, Debug)]
pub struct Client {
    /// Time of its first request.
    pub arrival: Micros,
    /// How long it wants its connection, counted from its arrival.
    pub lifetime: Micros,
    /// Index of its team.
    pub team: usize,
    /// Index of its class.
    pub class: usize,
    /// Number of its group.
    pub group: u32,
    /// Index of its zone.
    pub zone: usize,
    /// Load of its connection, relative to a connection of load 1.
    pub load: f64,
    /// Multiplier of the usual set-up work.
    pub setup_factor: f64,
    /// Seed of the client's own random numbers.
    pub seed: u64,
}

/// Machine of a session server.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Index of its zone.
    pub zone: usize,
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core.
    pub speed: f64,
}

/// A fault with its times and the servers that it affects.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Start.
    pub from: Micros,
    /// End.
    pub until: Micros,
    /// The fault as the scenario describes it.
    pub fault: Fault,
    /// Indices of the affected servers, ascending.
    pub servers: Vec<usize>,
}

/// The workload of one run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Clients in the order of their arrival.
    pub clients: Vec<Client>,
    /// Machines of the servers.
    pub servers: Vec<Machine>,
    /// Index of each balancer's zone.
    pub balancers: Vec<usize>,
    /// Faults in the order of their start.
    pub faults: Vec<ScheduledFault>,
}

impl Workload {
    /// Draws the workload of a scenario and a seed.
    pub fn draw(scenario: &Scenario, seed: u64) -> Workload {
        let (begin, end) = scenario.scored_interval();
        let mut rng = random_stream(seed, "servers");
        let mut assign_zones = |n: usize, part: &dyn Fn(usize) -> f64| -> Vec<usize> {
            // Each zone gets its share rounded down; the remainder is assigned at random in proportion to the shares.
            let zones = scenario.zone.len();
            let mut all: Vec<usize> =
                (0..zones).flat_map(|z| vec![z; (part(z) * n as f64 + 1e-9) as usize]).collect();
            while all.len() < n {
                let mut at = rng.random::<f64>();
                all.push(
                    (0..zones)
                        .find(|&z| {
                            at -= part(z);
                            at < 0.0
                        })
                        .unwrap_or(0),
                );
            }
            all
        };
        let zones = assign_zones(scenario.fleet.servers, &|z| scenario.zone[z].servers);
        let balancers = assign_zones(scenario.fleet.balancers, &|z| scenario.zone[z].traffic);
        let servers = zones
            .into_iter()
            .map(|zone| {
                let mut at = rng.random::<f64>();
                let model = scenario.machine.iter().find(|m| {
                    at -= m.share;
                    at < 0.0
                });
                let model = model.unwrap_or(&scenario.machine[0]);
                Machine { zone, cores: model.cores, speed: uniform_in(&mut rng, model.speed) }
            })
            .collect::<Vec<_>>();
        let mut faults: Vec<ScheduledFault> = Vec::new();
        for (i, fault) in scenario.fault.iter().enumerate() {
            let fault = fault.get_ref();
            let mut rng = random_stream(seed, &format!("fault-{i}"));
            let zone =
                fault.zone.as_ref().and_then(|name| scenario.zone.iter().position(|z| z.name == *name));
            let mut affected: Vec<usize> =
                (0..servers.len()).filter(|&s| zone.is_none_or(|z| servers[s].zone == z)).collect();
            // A partial Fisher-Yates shuffle selects the first `n`.
            let n = ((fault.part * affected.len() as f64).round() as usize).clamp(1, affected.len().max(1));
            for k in 0..n.min(affected.len()) {
                let other = rng.random_range(k..affected.len());
                affected.swap(k, other);
            }
            affected.truncate(n);
            affected.sort_unstable();
            let from = begin + fault.at.0;
            faults.push(ScheduledFault {
                from,
                until: from + fault.length.0,
                fault: fault.clone(),
                servers: affected,
            });
        }
        faults.sort_by_key(|f| f.from);
        let clients = draw_clients(scenario, seed, &faults, begin, end);
        Workload { clients, servers, balancers, faults }
    }
}

fn draw_clients(
    scenario: &Scenario,
    seed: u64,
    faults: &[ScheduledFault],
    begin: Micros,
    end: Micros,
) -> Vec<Client> {
    let groups = (scenario.steady_connections() / scenario.fleet.group_size).ceil().max(1.0);
    let zipf = Zipf::new(groups, GROUP_SIZE_EXPONENT).expect("the number of groups is at least 1");
    let mut all = Vec::new();
    for (team, t) in scenario.team.iter().enumerate() {
        let t = t.get_ref();
        let mut rng = random_stream(seed, &format!("team-{team}"));
        let rate_factor = |at: Micros| {
            let at = at.saturating_sub(begin);
            let shape = match t.shape.iter().position(|p| p.at.0 > at) {
                None => t.shape.last().map_or(1.0, |p| p.times),
                Some(0) => t.shape[0].times,
                Some(i) => {
                    let (a, b) = (t.shape[i - 1], t.shape[i]);
                    let part = (at - a.at.0) as f64 / (b.at.0 - a.at.0).max(1) as f64;
                    a.times + (b.times - a.times) * part
                }
            };
            let surge =
                |f: &&ScheduledFault| f.fault.kind == Kind::Surge && f.fault.of.as_ref() == Some(&t.name);
            let active = |f: &&ScheduledFault| (f.from..f.until).contains(&(begin + at));
            faults.iter().filter(surge).filter(active).fold(shape, |shape, f| shape * f.fault.times)
        };
        let is_team_class = |c: &super::Class| t.classes.as_ref().is_none_or(|all| all.contains(&c.name));
        let shares: Vec<f64> =
            scenario.class.iter().map(|c| if is_team_class(c) { c.share } else { 0.0 }).collect();
        let sum: f64 = shares.iter().sum();
        let mut draw_client = |arrival: Micros| {
            let mut part = rng.random::<f64>() * sum;
            let class = shares
                .iter()
                .position(|s| {
                    part -= s;
                    part < 0.0
                })
                .unwrap_or(0);
            let c = &scenario.class[class];
            let mut part = rng.random::<f64>();
            let zone = scenario
                .zone
                .iter()
                .position(|z| {
                    part -= z.traffic;
                    part < 0.0
                })
                .unwrap_or(0);
            let lifetime: f64 = Exp1.sample(&mut rng);
            let lifetime = lifetime * scenario.fleet.life.0 as f64 * uniform_in(&mut rng, c.life);
            let costly =
                |f: &&ScheduledFault| f.fault.kind == Kind::Costly && f.fault.of.as_ref() == Some(&c.name);
            let chance = rng.random::<f64>();
            let active = faults.iter().filter(costly).find(|f| (f.from..f.until).contains(&arrival));
            let setup_factor = active.filter(|f| chance < f.fault.share).map_or(1.0, |f| f.fault.times);
            Client {
                arrival,
                lifetime: lifetime as Micros + 1,
                team,
                class,
                group: zipf.sample(&mut rng) as u32,
                zone,
                load: uniform_in(&mut rng, c.load),
                setup_factor,
                seed: rng.random(),
            }
        };
        // The connections of the steady state arrive in the first half of the lead. Lifetimes are exponential, so a
        // remaining lifetime is distributed like a whole one and is drawn like that of a new client.
        let initial = t.rate * rate_factor(0) * scenario.mean_lifetime() / 1e6;
        let fill = (scenario.lead.0 / 2).max(1);
        let mut rng = random_stream(seed, &format!("start-{team}"));
        for _ in 0..initial.round() as usize {
            all.push(draw_client(rng.random_range(0..fill)));
        }
        // All others arrive in an inhomogeneous Poisson process, drawn by thinning (Lewis and Shedler, 1979).
        let max_factor = t.shape.iter().map(|p| p.times).fold(1.0, f64::max)
            * faults
                .iter()
                .map(|f| if f.fault.kind == Kind::Surge { f.fault.times } else { 1.0 })
                .product::<f64>();
        let (mut at, rate) = (0.0, t.rate * max_factor / 1e6);
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / rate;
            // With a rate of 0 the next arrival is at infinity.
            if at >= end as f64 {
                break;
            }
            if rng.random::<f64>() * max_factor < rate_factor(at as Micros) {
                all.push(draw_client(at as Micros));
            }
        }
    }
    all.sort_by_key(|c| (c.arrival, c.seed));
    all
}
