//! `oakdeal-lab fleet`.

use super::{seeds, table};
use crate::fleet::scenario::{find, ALL, FAILPOINTS, ZONED};
use crate::fleet::{play, Verdict};
use clap::{Args, Subcommand};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;

/// The rig of real processes.
#[derive(Subcommand, Debug)]
pub enum Fleet {
    /// Lists its scenarios
    List,
    /// Plays one
    Run(Run),
}

/// Plays a scenario.
#[derive(Args, Debug)]
pub struct Run {
    /// Names or files; `all` for every one without zones, `zones` for every one with them
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Seeds, as N or N..M
    #[arg(long, default_value = "1", value_name = "SEEDS", visible_alias = "seed")]
    seeds: String,
    /// The program
    #[arg(long, value_name = "PROGRAM", default_value = "target/release/oakdeal")]
    balancer: PathBuf,
    /// So many at a time
    #[arg(long, default_value_t = 1, value_name = "N")]
    jobs: usize,
    /// Writes each act as a line of JSON, as each witness saw it
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Prints each verdict as a line of JSON
    #[arg(long)]
    json: bool,
}

impl Fleet {
    /// Does it; whether all was good.
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
        let every = || ALL.iter().map(|(name, _)| name.to_string()).collect();
        let zoned = || ZONED.iter().map(|(name, _)| name.to_string()).collect();
        let names: Vec<String> = match &self.scenarios[..] {
            [all] if all == "all" => every(),
            [all] if all == "zones" => zoned(),
            named => named.to_vec(),
        };
        let mut days = Vec::new();
        for name in &names {
            let scenario = find(name)?;
            days.extend(seeds(&self.seeds)?.map(|seed| (name.clone(), scenario.clone(), seed)));
        }
        days.reverse();
        let (days, done) = (Mutex::new(days), Mutex::new(Vec::<Result<Verdict, String>>::new()));
        let record = self
            .record
            .as_ref()
            .map(std::fs::File::create)
            .transpose()
            .map_err(|e| format!("the record: {e}"))?;
        let record = Mutex::new(record);
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, 32) {
                scope.spawn(|| loop {
                    let Some((name, scenario, seed)) = days.lock().ok().and_then(|mut days| days.pop()) else { return };
                    let played = play(&self.balancer, &name, &scenario, seed);
                    // One that cannot be played must not take the others' verdicts with it.
                    let played = played.map_err(|e| format!("{name} seed {seed}: {e}"));
                    let played = played.map(|(verdict, acts)| {
                        if let Ok(Some(file)) = record.lock().as_deref_mut() {
                            for a in acts {
                                // One moment at each witness: it is when the act was carried out there.
                                let line = serde_json::json!({"scenario": name, "seed": seed, "task": a.task, "holder": a.holder,
                                    "token": a.token, "begin_us": a.us, "end_us": a.us, "witness": a.witness, "carried_out": a.passes});
                                let _ = writeln!(file, "{line}");
                            }
                        }
                        if self.json {
                            println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
                        }
                        verdict
                    });
                    let _ = done.lock().map(|mut done| done.push(played));
                });
            }
        });
        let done = done.into_inner().map_err(|e| e.to_string())?;
        let (done, unplayed): (Vec<_>, Vec<_>) = done.into_iter().partition(Result::is_ok);
        let done: Vec<Verdict> = done.into_iter().flatten().collect();
        let unplayed: Vec<String> = unplayed.into_iter().filter_map(Result::err).collect();
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
                let of = |figures: fn(&Verdict) -> Vec<u64>| {
                    let mut all: Vec<u64> = runs.iter().flat_map(|v| figures(v)).collect();
                    all.sort_unstable();
                    [all.get(all.len() / 2), all.last()].map(|n| n.map_or("-".into(), u64::to_string))
                };
                let ([idle, idle_worst], [back, back_worst]) =
                    (of(|v| vec![v.idle_ms]), of(|v| vec![v.back_ms]));
                let [next, next_worst] = of(|v| v.next_ms.clone());
                let sum =
                    |figure: fn(&Verdict) -> u64| runs.iter().map(|v| figure(v)).sum::<u64>().to_string();
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
        unplayed.iter().for_each(|e| eprintln!("not played: {e}"));
        Ok(unplayed.is_empty() && done.iter().all(|v| v.good))
    }
}
