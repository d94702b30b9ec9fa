//! Who decides at a balancer.

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

/// The decisions of one balancer. The answers stand in `out`; a contract's refusal comes back at once.
pub trait Decider {
    /// A request came; `Err` is a contract's refusal with the time of coming back.
    fn demand(
        &mut self,
        now: Micros,
        demand: Demand,
        team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>>;
    /// Something happened.
    fn tell(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
    /// When [`Decider::turn`] is wanted, if nothing happens before.
    fn due(&mut self, _now: Micros) -> Option<Micros> {
        None
    }
    /// Does what is due without an event.
    fn turn(&mut self, _now: Micros, _out: &mut Vec<Action>) {}
    /// Another operator's file is in force.
    fn operate(&mut self, _now: Micros, _operator: &Operator) {}
    /// The fleet's plan for zones is this.
    fn follow(&mut self, _now: Micros, _plan: Option<&Plan>, _out: &mut Vec<Action>) {}
    /// What is seen of the zones here, where a plan is made of it.
    fn digest(&mut self, _now: Micros, _out: &mut Vec<Action>) -> Option<Digest> {
        None
    }
}

/// Which decider a run uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This build's own.
    Own,
    /// Another build's drill.
    Drill(std::path::PathBuf),
    /// A server drawn by chance: a yardstick.
    Random,
    /// The server with the fewest connections of this balancer: a yardstick.
    Least,
}

impl Choice {
    /// Its name in results.
    pub fn name(&self) -> String {
        match self {
            Choice::Own => "own".into(),
            Choice::Drill(path) => {
                format!("drill {}", path.file_name().unwrap_or_default().to_string_lossy())
            }
            Choice::Random => "random".into(),
            Choice::Least => "least connections".into(),
        }
    }

    /// From its name on the command line.
    pub fn named(text: &str) -> Choice {
        match text {
            "own" => Choice::Own,
            "random" => Choice::Random,
            "least" => Choice::Least,
            path => Choice::Drill(path.into()),
        }
    }
}

/// The scenario's operator's file.
pub fn operator(text: &str) -> Result<Operator, String> {
    Operator::parse(Path::new("operator"), text).map_err(|e| e.to_string())
}

/// Makes the decider of a balancer.
pub fn decider(
    choice: &Choice,
    scenario: &Scenario,
    zone: usize,
    seed: u64,
) -> Result<Box<dyn Decider>, String> {
    let settings = scenario.balancer_settings(zone);
    Ok(match choice {
        Choice::Own => {
            let env: Env = serde_json::from_value(settings).map_err(|e| e.to_string())?;
            let (settings, names) = env.translate().map_err(|e| e.to_string())?;
            let place = BalancerContext {
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
                let operator = operator(text.get_ref())?;
                core.contract(0, operator.terms);
                core.rebalance(0, operator.rebalance);
                if let Some(terms) = operator.failover {
                    core.zones(terms, place);
                }
            }
            Box::new(Own(core))
        }
        Choice::Drill(path) => Box::new(super::drill::Drill::start(path, &settings, seed)?),
        Choice::Random | Choice::Least => Box::new(Yardstick {
            least: *choice == Choice::Least,
            rng: random_stream(seed, "yardstick"),
            most: scenario.fleet.attempts as usize,
            ..Yardstick::new(seed)
        }),
    })
}

/// An answer leaves this long before the client gives up, as the balancer's do.
pub const AHEAD: Micros = 15_000;

struct Own(Core);

impl Decider for Own {
    fn demand(
        &mut self,
        now: Micros,
        mut demand: Demand,
        team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>> {
        demand.left = demand.left.saturating_sub(AHEAD);
        self.0.admit(now, &mut demand, Some(team)).map_err(|no| no.after)?;
        self.0.tell(now, Event::Demand(demand), out);
        Ok(())
    }

    fn tell(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.0.tell(now, event, out);
    }

    fn due(&mut self, now: Micros) -> Option<Micros> {
        self.0.due(now)
    }

    fn turn(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.0.turn(now, out);
    }

    fn follow(&mut self, now: Micros, plan: Option<&Plan>, out: &mut Vec<Action>) {
        out.extend(self.0.follow(now, plan).0);
    }

    fn digest(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<Digest> {
        let (digest, probes) = self.0.digest(now)?;
        out.extend(probes.into_iter().map(|host| Action::Probe { host }));
        Some(digest)
    }

    fn operate(&mut self, now: Micros, operator: &Operator) {
        let terms: Option<Terms> = operator.terms.clone();
        self.0.contract(now, terms);
        self.0.rebalance(now, operator.rebalance.clone());
    }
}

/// A placement that knows nothing of load, health or warmth: what a plain balancer does.
struct Yardstick {
    least: bool,
    rng: rand_chacha::ChaCha8Rng,
    most: usize,
    ready: BTreeSet<HostId>,
    held: BTreeMap<HostId, u32>,
    calls: BTreeMap<CallId, (Vec<HostId>, Micros, Option<HostId>)>,
    asked: bool,
}

impl Yardstick {
    fn new(seed: u64) -> Yardstick {
        Yardstick {
            least: false,
            rng: random_stream(seed, "yardstick"),
            most: 4,
            ready: BTreeSet::new(),
            held: BTreeMap::new(),
            calls: BTreeMap::new(),
            asked: false,
        }
    }

    fn send(&mut self, now: Micros, call: CallId, out: &mut Vec<Action>) {
        let Some((tried, by, at)) = self.calls.get_mut(&call) else { return };
        let fresh: Vec<HostId> = self.ready.iter().copied().filter(|h| !tried.contains(h)).collect();
        if tried.len() >= self.most || fresh.is_empty() || now >= *by {
            self.calls.remove(&call);
            return out.push(Action::Refuse { call, retry_after: None });
        }
        let host = match self.least {
            true => *fresh.iter().min_by_key(|h| (self.held.get(h).copied().unwrap_or(0), **h)).expect("one"),
            false => fresh[self.rng.random_range(0..fresh.len())],
        };
        tried.push(host);
        *at = Some(host);
        *self.held.entry(host).or_default() += 1;
        out.push(Action::Send { call, host, patience: *by - now });
    }

    fn free(&mut self, call: &CallId) {
        if let Some(host) = self.calls.get_mut(call).and_then(|c| c.2.take()) {
            self.held.entry(host).and_modify(|n| *n -= 1);
        }
    }
}

impl Decider for Yardstick {
    fn demand(
        &mut self,
        now: Micros,
        demand: Demand,
        _team: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), Option<Micros>> {
        let by = now + demand.left.saturating_sub(AHEAD);
        self.calls.insert(demand.call.clone(), (Vec::new(), by, None));
        self.send(now, demand.call, out);
        Ok(())
    }

    fn tell(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
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
                    ListKind::Failed => out.push(Action::Timer { at: now + 500_000, token: 1 }),
                    _ => self.asked = true,
                }
            }
            Event::Timer { .. } => out.push(Action::Watch),
            Event::Finished { call, ended, outcome, .. } => {
                self.free(&call);
                if ended {
                    self.calls.remove(&call);
                } else if outcome != Outcome::Ok {
                    self.send(now, call, out);
                }
            }
            Event::Vanished { call } => {
                self.free(&call);
                self.calls.remove(&call);
            }
            _ => {}
        }
    }
}
