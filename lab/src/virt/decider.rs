//! Deciders: the implementations that take the decisions of a simulated balancer.

use crate::scenario::plan::random_stream;
use crate::scenario::Scenario;
use oakdeal::broker::core::Core;
use oakdeal::broker::zones::BalancerContext;
use oakdeal::contracts::Terms;
use oakdeal::failover::evidence::Digest;
use oakdeal::failover::plan::Plan;
use oakdeal::operator::Operator;
use oakdeal::wire::Env;
use oakdeal::{Action, CallId, Demand, Event, HostId, HostState, ListKind, Micros, Outcome};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Takes the decisions of one balancer. Actions are appended to `out`; a refusal by contract is returned directly.
pub trait Decider {
    /// Handles a request; `Err` is a refusal by contract, with the delay after which the client may retry.
    fn demand(
        &mut self,
        now: Micros,
        demand: Demand,
        team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>>;
    /// Handles any other event.
    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
    /// Returns when [`Decider::run_due`] is due if no event occurs before.
    fn next_due(&mut self, _now: Micros) -> Option<Micros> {
        None
    }
    /// Runs what is due without an event.
    fn run_due(&mut self, _now: Micros, _out: &mut Vec<Action>) {}
    /// Applies new operator settings.
    fn apply_operator(&mut self, _now: Micros, _operator: &Operator) {}
    /// Applies the fleet's zone plan.
    fn follow_plan(&mut self, _now: Micros, _plan: Option<&Plan>, _out: &mut Vec<Action>) {}
    /// Returns a digest of this balancer's zone observations if it takes part in zone planning.
    fn digest(&mut self, _now: Micros, _out: &mut Vec<Action>) -> Option<Digest> {
        None
    }
}

/// The decider that a run uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeciderChoice {
    /// This build's decision code.
    Own,
    /// Another build's `oakdeal-drill`, by its path.
    Drill(std::path::PathBuf),
    /// Baseline: a random server.
    Random,
    /// Baseline: the server with the fewest connections of this balancer.
    Least,
}

impl DeciderChoice {
    /// Returns the name that results show.
    pub fn name(&self) -> String {
        match self {
            DeciderChoice::Own => "own".into(),
            DeciderChoice::Drill(path) => {
                format!("drill {}", path.file_name().unwrap_or_default().to_string_lossy())
            }
            DeciderChoice::Random => "random".into(),
            DeciderChoice::Least => "least connections".into(),
        }
    }

    /// Parses a name from the command line; any unknown name is the path of an `oakdeal-drill`.
    pub fn from_name(text: &str) -> DeciderChoice {
        match text {
            "own" => DeciderChoice::Own,
            "random" => DeciderChoice::Random,
            "least" => DeciderChoice::Least,
            path => DeciderChoice::Drill(path.into()),
        }
    }
}

/// Parses the text of an operator file.
pub fn parse_operator(text: &str) -> Result<Operator, String> {
    Operator::parse(Path::new("operator"), text).map_err(|e| e.to_string())
}

/// Creates the decider of a balancer in a zone.
pub fn create_decider(
    choice: &DeciderChoice,
    scenario: &Scenario,
    zone: usize,
    seed: u64,
) -> Result<Box<dyn Decider>, String> {
    let settings = scenario.balancer_settings(zone);
    Ok(match choice {
        DeciderChoice::Own => {
            let env: Env = serde_json::from_value(settings).map_err(|e| e.to_string())?;
            let (settings, names) = env.translate().map_err(|e| e.to_string())?;
            let context = BalancerContext {
                name: format!("b{seed:x}"),
                started: 1,
                zone: scenario.zone[zone].name.clone(),
                zones: names.zones().to_vec(),
                classes: names.classes().to_vec(),
                warm_up: (settings.rules.cold_share, settings.rules.warmup_time),
                balancer_count: settings.peers_total,
                max_retry_after: settings.limits.max_retry_after,
            };
            let mut core = Core::new(settings, &names, seed).map_err(|e| e.to_string())?;
            if let Some(text) = &scenario.operator {
                let operator = parse_operator(text.get_ref())?;
                core.set_contracts(0, operator.terms);
                core.set_rebalance(0, operator.rebalance);
                if let Some(terms) = operator.failover {
                    core.enable_zones(terms, context);
                }
            }
            Box::new(OwnDecider(core))
        }
        DeciderChoice::Drill(path) => Box::new(super::drill::Drill::start(path, &settings, seed)?),
        DeciderChoice::Random | DeciderChoice::Least => Box::new(Baseline {
            least_connections: *choice == DeciderChoice::Least,
            // The label selects the random stream; another label would change the results of the baselines.
            rng: random_stream(seed, "yardstick"),
            max_attempts: scenario.fleet.attempts as usize,
            ..Baseline::new(seed)
        }),
    })
}

/// Time before a client's deadline by which the balancer answers, in microseconds; the same as in the balancer.
pub const ANSWER_MARGIN: Micros = 15_000;

/// Interval at which a baseline repeats a failed call of discovery, in microseconds.
const LIST_RETRY_INTERVAL: Micros = 500_000;

/// The decision code of this build, in process.
struct OwnDecider(Core);

impl Decider for OwnDecider {
    fn demand(
        &mut self,
        now: Micros,
        mut demand: Demand,
        team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>> {
        demand.left = demand.left.saturating_sub(ANSWER_MARGIN);
        self.0.admit(now, &mut demand, Some(team)).map_err(|refusal| refusal.retry_after)?;
        self.0.handle_event(now, Event::Demand(demand), out);
        Ok(())
    }

    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.0.handle_event(now, event, out);
    }

    fn next_due(&mut self, now: Micros) -> Option<Micros> {
        self.0.next_due(now)
    }

    fn run_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.0.run_due(now, out);
    }

    fn follow_plan(&mut self, now: Micros, plan: Option<&Plan>, out: &mut Vec<Action>) {
        out.extend(self.0.follow_plan(now, plan).0);
    }

    fn digest(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<Digest> {
        let (digest, probes) = self.0.digest(now)?;
        out.extend(probes.into_iter().map(|host| Action::Probe { host }));
        Some(digest)
    }

    fn apply_operator(&mut self, now: Micros, operator: &Operator) {
        let terms: Option<Terms> = operator.terms.clone();
        self.0.set_contracts(now, terms);
        self.0.set_rebalance(now, operator.rebalance.clone());
    }
}

/// Baseline placement that ignores load, health and warm-up, as a simple load balancer does.
struct Baseline {
    least_connections: bool,
    rng: rand_chacha::ChaCha8Rng,
    max_attempts: usize,
    ready: BTreeSet<HostId>,
    connections: BTreeMap<HostId, u32>,
    /// Servers tried, deadline and current server of each open call.
    calls: BTreeMap<CallId, (Vec<HostId>, Micros, Option<HostId>)>,
    /// Whether discovery has sent the list.
    subscribed: bool,
}

impl Baseline {
    fn new(seed: u64) -> Baseline {
        Baseline {
            least_connections: false,
            rng: random_stream(seed, "yardstick"),
            max_attempts: 4,
            ready: BTreeSet::new(),
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            subscribed: false,
        }
    }

    fn send_attempt(&mut self, now: Micros, call: CallId, out: &mut Vec<Action>) {
        let Some((tried, deadline, current_host)) = self.calls.get_mut(&call) else { return };
        let untried: Vec<HostId> = self.ready.iter().copied().filter(|h| !tried.contains(h)).collect();
        if tried.len() >= self.max_attempts || untried.is_empty() || now >= *deadline {
            self.calls.remove(&call);
            return out.push(Action::Refuse { call, retry_after: None });
        }
        let host = match self.least_connections {
            true => *untried
                .iter()
                .min_by_key(|h| (self.connections.get(h).copied().unwrap_or(0), **h))
                .expect("an untried host exists"),
            false => untried[self.rng.random_range(0..untried.len())],
        };
        tried.push(host);
        *current_host = Some(host);
        *self.connections.entry(host).or_default() += 1;
        out.push(Action::Send { call, host, patience: *deadline - now });
    }

    fn release_host(&mut self, call: &CallId) {
        if let Some(host) = self.calls.get_mut(call).and_then(|c| c.2.take()) {
            self.connections.entry(host).and_modify(|n| *n -= 1);
        }
    }
}

impl Decider for Baseline {
    fn demand(
        &mut self,
        now: Micros,
        demand: Demand,
        _team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>> {
        let deadline = now + demand.left.saturating_sub(ANSWER_MARGIN);
        self.calls.insert(demand.call.clone(), (Vec::new(), deadline, None));
        self.send_attempt(now, demand.call, out);
        Ok(())
    }

    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, hosts } => {
                if matches!(kind, ListKind::Full | ListKind::Cached) {
                    self.ready.clear();
                }
                for entry in hosts {
                    match entry.state {
                        HostState::Ready => self.ready.insert(entry.host),
                        _ => self.ready.remove(&entry.host),
                    };
                }
                match kind {
                    ListKind::Cached => out.push(Action::Watch),
                    ListKind::Failed => out.push(Action::Timer { at: now + LIST_RETRY_INTERVAL, token: 1 }),
                    _ => self.subscribed = true,
                }
            }
            Event::Timer { .. } => out.push(Action::Watch),
            Event::Finished { call, ended, outcome, .. } => {
                self.release_host(&call);
                if ended {
                    self.calls.remove(&call);
                } else if outcome != Outcome::Ok {
                    self.send_attempt(now, call, out);
                }
            }
            Event::Vanished { call } => {
                self.release_host(&call);
                self.calls.remove(&call);
            }
            _ => {}
        }
    }
}
