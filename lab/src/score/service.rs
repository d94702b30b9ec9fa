//! The score of a run as the operators' brief defines it. Service is the worth of the connection seconds served well
//! over the worth of all connection seconds asked for. The score weighs the service of the whole run with 70%, of the
//! worst 10 s with 10% and of the worst-served class with 20%, and subtracts the penalties. The set-up times that
//! clients saw are kept in HDR histograms.

use super::checker::{Checker, Rule, Violation};
use super::record::{AttemptOutcome, Entry, EntrySink, RunEvent};
use hdrhistogram::Histogram;
use oakdeal::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Weight of the whole run's service in the score (unitless).
const RUN_WEIGHT: f64 = 0.7;
/// Weight of the worst window's service in the score (unitless).
const WORST_WINDOW_WEIGHT: f64 = 0.1;
/// Weight of the worst class's service in the score (unitless).
const WORST_CLASS_WEIGHT: f64 = 0.2;
/// Length of the window whose worst service enters the score, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// Penalty in points of service for one unit of each of these ratios: wasted to offered work, and the numbers of zone
/// crossings, moves, probes and attempts for each client.
const PENALTY_PRICES: [f64; 5] = [0.05, 0.016, 0.008, 0.0026, 0.041];

/// Mean load of the started servers over that of the others at which they count as recovered (unitless).
const RECOVERED_LOAD_RATIO: f32 = 0.85;

/// Service statistics of a class or a team.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct ServiceStats {
    /// Name of the class or team.
    pub name: String,
    /// Worth asked for.
    pub asked: f64,
    /// Worth served.
    pub served: f64,
    /// Number of requests.
    pub requests: u64,
    /// Number of connections established.
    pub up: u64,
    /// Number of requests refused by a balancer.
    pub refused: u64,
    /// Number of those refused by contract.
    pub by_contract: u64,
    /// Number of requests that failed or that the client gave up.
    pub failed: u64,
    /// Median and 99th percentile of the time to `UP`, in milliseconds.
    pub to_up_ms: (f64, f64),
}

impl ServiceStats {
    /// Returns the worth served over the worth asked for; 1 where nothing was asked for.
    pub fn service(&self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }
}

/// Summary of a run. Its serialized form is identical for equal scenario, seed and build.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct RunOutcome {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Kind of the run, and the decider or program it ran.
    pub how: String,
    /// Weighted service less the penalties; 0 if a rule was violated.
    pub score: f64,
    /// Service of the whole run.
    pub service: f64,
    /// Service in the worst 10 s.
    pub worst: f64,
    /// Service of the worst-served class.
    pub worst_class: f64,
    /// Sum of the penalties.
    pub penalties: f64,
    /// Number of moves.
    pub moves: u64,
    /// Number of attempts that crossed zones.
    pub crossings: u64,
    /// Number of probes.
    pub probes: u64,
    /// Number of attempts.
    pub sends: u64,
    /// Number of requests.
    pub requests: u64,
    /// Number of refusals.
    pub refusals: u64,
    /// Number of connections that broke.
    pub broken: u64,
    /// Largest server load over the mean load, averaged over the last half of the run.
    pub imbalance: f64,
    /// Seconds from the last start of a server until the mean load of the started servers reaches 0.85 of that of the
    /// others; until the end of the run if it never does, and 0 if no server was started.
    pub back_s: f64,
    /// Statistics by class.
    pub classes: Vec<ServiceStats>,
    /// Statistics by team.
    pub teams: Vec<ServiceStats>,
    /// Number of violations by rule.
    pub breaks: BTreeMap<Rule, u64>,
    /// The first violations, up to the checker's limit for each rule.
    pub first_breaks: Vec<Violation>,
}

/// Computes the outcome of a run from its record.
#[derive(Default)]
pub struct Scorer {
    checker: Checker,
    begin: Option<Entry>,
    calls: HashMap<String, (usize, usize, Micros)>,
    classes: Vec<ServiceStats>,
    teams: Vec<ServiceStats>,
    set_up_times: Vec<Option<Histogram<u64>>>,
    seconds: Vec<(f64, f64)>,
    broken: u64,
    load_ratios: Vec<f64>,
    started_at: BTreeMap<usize, Micros>,
    recovered_at: Option<Micros>,
    ended_at: Micros,
    end: Option<RunEvent>,
}

impl Scorer {
    /// Returns the checker, which has read the same entries.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    fn update_stats(&mut self, call: &str, change: impl Fn(&mut ServiceStats)) {
        if let Some(&(team, class, _)) = self.calls.get(call) {
            change(&mut self.classes[class]);
            change(&mut self.teams[team]);
        }
    }

    /// Returns the worth asked for and served in each scored second.
    pub fn seconds(&self) -> &[(f64, f64)] {
        &self.seconds
    }

    /// Returns the percentiles 0 to 100 of a class's time to `UP`, in milliseconds.
    pub fn to_up_ms(&self, class: usize) -> Vec<f64> {
        let Some(Some(histogram)) = self.set_up_times.get(class) else { return Vec::new() };
        (0..=100).map(|q| histogram.value_at_quantile(f64::from(q) / 100.0) as f64 / 1000.0).collect()
    }

    /// Returns the outcome, or an error if the record lacks its begin or end entry.
    pub fn outcome(&self) -> Result<RunOutcome, String> {
        let Some(Entry { what: RunEvent::Begin { scenario, seed, how, .. }, .. }) = &self.begin else {
            return Err("the record has no begin entry".into());
        };
        let Some(RunEvent::End { first, sends, crossings, moves, probes, wasted, offered }) = &self.end
        else {
            return Err("the record has no end entry: the run was interrupted".into());
        };
        let ratio = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let sum = |w: &[(f64, f64)]| w.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
        let service = ratio(sum(&self.seconds));
        let worst =
            self.seconds.windows(WORST_WINDOW_SECONDS.min(self.seconds.len().max(1))).map(|w| ratio(sum(w)));
        let worst = worst.fold(1.0, f64::min);
        let worst_class = self.classes.iter().map(ServiceStats::service).fold(1.0, f64::min);
        let per_client = |n: u64| n as f64 / (*first).max(1) as f64;
        let wasted_share = wasted / offered.max(1e-9);
        let ratios = [
            wasted_share,
            per_client(*crossings),
            per_client(*moves),
            per_client(*probes),
            per_client(*sends),
        ];
        let penalties: f64 = ratios.iter().zip(PENALTY_PRICES).map(|(ratio, price)| ratio * price).sum();
        let (violations, counts) = self.checker.violations();
        let score =
            RUN_WEIGHT * service + WORST_WINDOW_WEIGHT * worst + WORST_CLASS_WEIGHT * worst_class - penalties;
        let second_half = &self.load_ratios[self.load_ratios.len() / 2..];
        let mut all_stats = [self.classes.clone(), self.teams.clone()];
        for (stats, times) in all_stats[0].iter_mut().zip(&self.set_up_times) {
            if let Some(histogram) = times {
                let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
                stats.to_up_ms = (ms(0.5), ms(0.99));
            }
        }
        let [classes, teams] = all_stats;
        Ok(RunOutcome {
            scenario: scenario.clone(),
            seed: *seed,
            how: how.clone(),
            score: if counts.is_empty() { score } else { 0.0 },
            service,
            worst,
            worst_class,
            penalties,
            moves: *moves,
            crossings: *crossings,
            probes: *probes,
            sends: *sends,
            requests: self.checker.requests,
            refusals: classes.iter().map(|c| c.refused).sum(),
            broken: self.broken,
            imbalance: second_half.iter().sum::<f64>() / second_half.len().max(1) as f64,
            back_s: self.started_at.values().max().map_or(0.0, |&last| {
                self.recovered_at.unwrap_or(self.ended_at).saturating_sub(last) as f64 / 1e6
            }),
            classes,
            teams,
            breaks: counts.clone(),
            first_breaks: violations.to_vec(),
        })
    }
}

impl EntrySink for Scorer {
    fn accept(&mut self, entry: &Entry) {
        self.checker.accept(entry);
        match &entry.what {
            RunEvent::Begin { classes, teams, .. } => {
                let empty_stats = |names: &[String]| -> Vec<ServiceStats> {
                    names
                        .iter()
                        .map(|name| ServiceStats { name: name.clone(), ..ServiceStats::default() })
                        .collect()
                };
                (self.classes, self.teams) = (empty_stats(classes), empty_stats(teams));
                // 0.1 ms to 60 s with three significant digits.
                self.set_up_times =
                    classes.iter().map(|_| Histogram::new_with_bounds(100, 60_000_000, 3).ok()).collect();
                self.begin = Some(entry.clone());
            }
            RunEvent::Asked { call, team, class, .. } => {
                self.calls.insert(call.clone(), (*team, *class, entry.t));
                self.update_stats(call, |stats| stats.requests += 1);
            }
            RunEvent::Done { call, how: AttemptOutcome::Up, .. } => {
                self.update_stats(call, |stats| stats.up += 1);
                if let Some(&(_, class, since)) = self.calls.get(call) {
                    if let Some(histogram) = &mut self.set_up_times[class] {
                        histogram.saturating_record(entry.t.saturating_sub(since).max(100));
                    }
                }
            }
            RunEvent::Answer { call, refused, contract, .. } => {
                let (refused, contract) = (*refused, *contract);
                self.update_stats(call, |stats| {
                    stats.refused += u64::from(refused);
                    stats.by_contract += u64::from(contract);
                    stats.failed += u64::from(!refused);
                });
                self.calls.remove(call);
            }
            RunEvent::ClientLeft { call, .. } => {
                self.update_stats(call, |stats| stats.failed += 1);
                self.calls.remove(call);
            }
            RunEvent::ConnectionEnded { call, broken, .. } => {
                self.broken += u64::from(*broken);
                self.calls.remove(call);
            }
            RunEvent::Second { asked, served, teams, loads, .. } => {
                self.seconds.push((asked.iter().sum(), served.iter().sum()));
                for (stats, (a, s)) in self.classes.iter_mut().zip(asked.iter().zip(served)) {
                    (stats.asked, stats.served) = (stats.asked + a, stats.served + s);
                }
                for (stats, (a, s)) in self.teams.iter_mut().zip(teams) {
                    (stats.asked, stats.served) = (stats.asked + a, stats.served + s);
                }
                let mean_load = |started: bool| {
                    let selected = loads
                        .iter()
                        .enumerate()
                        .filter(|(s, l)| **l > 0.0 && self.started_at.contains_key(s) == started);
                    let (n, sum) = selected.fold((0, 0.0), |(n, sum), (_, l)| (n + 1, sum + l));
                    sum / n.max(1) as f32
                };
                if !self.started_at.is_empty()
                    && self.recovered_at.is_none()
                    && mean_load(true) >= RECOVERED_LOAD_RATIO * mean_load(false)
                {
                    self.recovered_at = Some(entry.t);
                }
                let up = loads.iter().filter(|l| **l > 0.0);
                let mean = up.clone().sum::<f32>() / up.clone().count().max(1) as f32;
                let highest = up.copied().fold(0.0, f32::max);
                self.load_ratios.push(if mean > 0.0 { f64::from(highest / mean) } else { 1.0 });
            }
            RunEvent::Started { server } => {
                self.started_at.insert(*server, entry.t);
                self.recovered_at = None;
            }
            RunEvent::End { .. } => (self.end, self.ended_at) = (Some(entry.what.clone()), entry.t),
            _ => {}
        }
    }
}
