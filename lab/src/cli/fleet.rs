//! `oakdeal-lab fleet`: runs the fleet tests with real balancer processes.

use super::{parse_seeds, table};
use crate::fleet::scenario::{find, ALL, FAILPOINTS, ZONED};
use crate::fleet::{play, Verdict};
use clap::{Args, Subcommand};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;

/// Runs fleet tests with real balancer processes
#[derive(Subcommand, Debug)]
pub enum Fleet {
    /// Lists the built-in scenarios
    List,
    /// Runs scenarios
    Run(Run),
}

/// Runs scenarios
#[derive(Args, Debug)]
pub struct Run {
    /// Names or files of scenarios; `all` for every built-in one without zones, `zones` for every one with zones
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Seeds, as N or N..M
    #[arg(long, default_value = "1", value_name = "SEEDS", visible_alias = "seed")]
    seeds: String,
    /// Program of the balancer
    #[arg(long, value_name = "PROGRAM", default_value = "target/release/oakdeal")]
    balancer: PathBuf,
    /// Number of runs in parallel
    #[arg(long, default_value_t = 1, value_name = "N")]
    jobs: usize,
    /// Writes each action that a process logged as a line of JSON to this file
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Prints each verdict as a line of JSON
    #[arg(long)]
    json: bool,
}

impl Fleet {
    /// Runs the command. Returns whether all verdicts are good.
    pub fn run(self) -> Result<bool, String> {
        match self {
            Fleet::List => {
                for (name, _) in ALL.iter().chain(&FAILPOINTS).chain(&ZONED) {
                    println!("{name:18} {}", find(name)?.title);
                }
                Ok(true)
            }
            Fleet::Run(run) => run.run(),
        }
    }
}

impl Run {
    fn run(self) -> Result<bool, String> {
        let without_zones = || ALL.iter().map(|(name, _)| name.to_string()).collect();
        let with_zones = || ZONED.iter().map(|(name, _)| name.to_string()).collect();
        let names: Vec<String> = match &self.scenarios[..] {
            [all] if all == "all" => without_zones(),
            [all] if all == "zones" => with_zones(),
            named => named.to_vec(),
        };
        let mut pending = Vec::new();
        for name in &names {
            let scenario = find(name)?;
            pending.extend(parse_seeds(&self.seeds)?.map(|seed| (name.clone(), scenario.clone(), seed)));
        }
        // The runs are taken from the end.
        pending.reverse();
        let (pending, done) = (Mutex::new(pending), Mutex::new(Vec::<Result<Verdict, String>>::new()));
        let record = self
            .record
            .as_ref()
            .map(std::fs::File::create)
            .transpose()
            .map_err(|e| format!("cannot create the record: {e}"))?;
        let record = Mutex::new(record);
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, 32) {
                scope.spawn(|| loop {
                    let Some((name, scenario, seed)) = pending.lock().ok().and_then(|mut pending| pending.pop()) else {
                        return;
                    };
                    let result = play(&self.balancer, &name, &scenario, seed);
                    // A run that fails must not discard the verdicts of the others.
                    let result = result.map_err(|e| format!("{name} seed {seed}: {e}"));
                    let result = result.map(|(verdict, actions)| {
                        if let Ok(Some(file)) = record.lock().as_deref_mut() {
                            for a in actions {
                                // An action has one time per witness, at which it was carried out there.
                                let line = serde_json::json!({"scenario": name, "seed": seed, "task": a.task, "holder": a.holder,
                                    "token": a.token, "begin_us": a.us, "end_us": a.us, "witness": a.witness, "carried_out": a.admitted});
                                let _ = writeln!(file, "{line}");
                            }
                        }
                        if self.json {
                            println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
                        }
                        verdict
                    });
                    let _ = done.lock().map(|mut done| done.push(result));
                });
            }
        });
        let done = done.into_inner().map_err(|e| e.to_string())?;
        let (done, failed): (Vec<_>, Vec<_>) = done.into_iter().partition(Result::is_ok);
        let done: Vec<Verdict> = done.into_iter().flatten().collect();
        let errors: Vec<String> = failed.into_iter().filter_map(Result::err).collect();
        if !self.json {
            let mut shown = table(&[
                "scenario",
                "runs",
                "good",
                "acts",
                "idle ms median",
                "worst",
                "back ms median",
                "worst",
                "next ms median",
                "worst",
                "clients",
                "served",
            ]);
            for name in &names {
                let runs: Vec<&Verdict> = done.iter().filter(|v| v.scenario == *name).collect();
                let median_and_max = |values: fn(&Verdict) -> Vec<u64>| {
                    let mut all: Vec<u64> = runs.iter().flat_map(|v| values(v)).collect();
                    all.sort_unstable();
                    [all.get(all.len() / 2), all.last()].map(|n| n.map_or("-".into(), u64::to_string))
                };
                let ([idle, idle_worst], [back, back_worst]) =
                    (median_and_max(|v| vec![v.idle_ms]), median_and_max(|v| vec![v.back_ms]));
                let [next, next_worst] = median_and_max(|v| v.next_ms.clone());
                let sum = |value: fn(&Verdict) -> u64| runs.iter().map(|v| value(v)).sum::<u64>().to_string();
                let good = runs.iter().filter(|v| v.good).count().to_string();
                let (acts, tried, served) =
                    (sum(|v| v.acts as u64), sum(|v| v.clients.0), sum(|v| v.clients.1));
                shown.add_row([
                    name.clone(),
                    runs.len().to_string(),
                    good,
                    acts,
                    idle,
                    idle_worst,
                    back,
                    back_worst,
                    next,
                    next_worst,
                    tried,
                    served,
                ]);
            }
            println!("{shown}");
        }
        for v in done.iter().filter(|v| !v.good) {
            eprintln!("{} seed {}: {}", v.scenario, v.seed, v.wrong.join("; "));
        }
        errors.iter().for_each(|e| eprintln!("not played: {e}"));
        Ok(errors.is_empty() && done.iter().all(|v| v.good))
    }
}
