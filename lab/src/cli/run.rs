//! `oakdeal-lab run`: runs scenarios, in simulated time or live.

use super::{parse_seeds, table};
use crate::scenario::{library, Scenario};
use crate::score::record::{Entry, EntrySink, Writer};
use crate::score::service::{RunOutcome, Scorer};
use crate::virt;
use crate::virt::decider::DeciderChoice;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::path::{Path, PathBuf};

/// Runs scenarios, in simulated time unless --live is given
#[derive(Args, Debug)]
pub struct Run {
    /// Names or files of scenarios; `all` for every built-in one except `large`
    #[arg(required = true)]
    scenarios: Vec<String>,
    /// Seeds, as N or N..M
    #[arg(long, default_value = "1", value_name = "SEEDS", visible_alias = "seed")]
    seeds: String,
    /// Decider: own, random, least, or the path of an oakdeal-drill
    #[arg(long, default_value = "own", value_name = "DECIDER")]
    decider: String,
    /// Runs in real time, on loopback sockets, against real balancer processes
    #[arg(long)]
    live: bool,
    /// Program of the balancer for --live
    #[arg(long, value_name = "PROGRAM", default_value = "target/release/oakdeal")]
    balancer: PathBuf,
    /// Operator's file for all balancers, instead of the scenario's
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Writes the record of each run to this folder, as SCENARIO-SEED.jsonl.zst
    #[arg(long, value_name = "FOLDER")]
    record: Option<PathBuf>,
    /// Prints each outcome as a line of JSON instead of a table
    #[arg(long)]
    json: bool,
}

/// Loads the scenarios with these names or paths; `all` stands for every built-in one except `large`.
pub fn load_scenarios(names: &[String]) -> Result<Vec<(String, Scenario)>, String> {
    let mut all = Vec::new();
    for name in names {
        if name == "all" {
            let small = library::ALL.iter().filter(|(n, _)| *n != "large");
            for (n, _) in small {
                all.push((n.to_string(), library::find(n)?));
            }
        } else {
            let short =
                Path::new(name).file_stem().map_or(name.clone(), |s| s.to_string_lossy().into_owned());
            all.push((short, library::find(name)?));
        }
    }
    Ok(all)
}

/// Replaces the operator's file of the scenarios, if one is given.
pub fn override_operator(scenarios: &mut [(String, Scenario)], file: Option<&Path>) -> Result<(), String> {
    let Some(file) = file else { return Ok(()) };
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    crate::virt::decider::parse_operator(&text)?;
    for (_, scenario) in scenarios {
        scenario.operator = Some(toml::Spanned::new(0..0, text.clone()));
    }
    Ok(())
}

/// Passes the entries of a run to its score and to its record, if one is written.
struct ScoreAndRecord<'a>(&'a mut Scorer, Option<&'a mut Writer<std::fs::File>>);

impl EntrySink for ScoreAndRecord<'_> {
    fn accept(&mut self, entry: &Entry) {
        self.0.accept(entry);
        if let Some(writer) = &mut self.1 {
            writer.accept(entry);
        }
    }
}

/// Runs a scenario with one seed in simulated time.
pub fn run_simulated(
    name: &str,
    scenario: &Scenario,
    seed: u64,
    choice: &DeciderChoice,
    record: Option<&Path>,
) -> Result<RunOutcome, String> {
    let mut service = Scorer::default();
    let mut writer = create_record(record, name, seed)?;
    virt::simulate(scenario, name, seed, choice, &mut ScoreAndRecord(&mut service, writer.as_mut()))?;
    if let Some(writer) = writer {
        writer.finish().map_err(|e| format!("the record cannot be written: {e}"))?;
    }
    service.outcome()
}

/// Score and record that remain available after the run that owns the reader.
struct SharedScore(std::rc::Rc<std::cell::RefCell<(Scorer, Option<Writer<std::fs::File>>)>>);

impl EntrySink for SharedScore {
    fn accept(&mut self, entry: &Entry) {
        let (service, writer) = &mut *self.0.borrow_mut();
        ScoreAndRecord(service, writer.as_mut()).accept(entry);
    }
}

/// Runs a scenario with one seed in real time. Returns the outcome and whether the machine was fast enough for it to count.
pub fn run_live(
    name: &str,
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    record: Option<&Path>,
) -> Result<(RunOutcome, bool), String> {
    let shared =
        std::rc::Rc::new(std::cell::RefCell::new((Scorer::default(), create_record(record, name, seed)?)));
    let counts = crate::live::play(scenario, name, seed, program, Box::new(SharedScore(shared.clone())))?;
    let (service, writer) = &mut *shared.borrow_mut();
    if let Some(writer) = writer.take() {
        writer.finish().map_err(|e| format!("the record cannot be written: {e}"))?;
    }
    Ok((service.outcome()?, counts))
}

/// Creates the record file of a run, if a folder for records is given.
fn create_record(
    record: Option<&Path>,
    name: &str,
    seed: u64,
) -> Result<Option<Writer<std::fs::File>>, String> {
    let Some(folder) = record else { return Ok(None) };
    let path = folder.join(format!("{name}-{seed}.jsonl.zst"));
    let error = |e: std::io::Error| format!("cannot write {}: {e}", path.display());
    Ok(Some(std::fs::File::create(&path).and_then(Writer::new).map_err(error)?))
}

/// Runs all scenarios with all seeds in simulated time, in parallel. Returns the outcomes in the order of scenario and seed.
pub fn run_all(
    scenarios: &[(String, Scenario)],
    seeds: std::ops::RangeInclusive<u64>,
    choice: &DeciderChoice,
    record: Option<&Path>,
) -> Result<Vec<RunOutcome>, String> {
    let runs: Vec<(&String, &Scenario, u64)> =
        scenarios.iter().flat_map(|(name, s)| seeds.clone().map(move |seed| (name, s, seed))).collect();
    let style =
        ProgressStyle::with_template("{bar:30} {pos}/{len} runs, {eta} left").map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(runs.len() as u64).with_style(style);
    let outcomes = runs.par_iter().map(|(name, scenario, seed)| {
        let outcome = run_simulated(name, scenario, *seed, choice, record);
        bar.inc(1);
        outcome
    });
    let outcomes = outcomes.collect();
    bar.finish_and_clear();
    outcomes
}

impl Run {
    /// Runs the command. Returns whether no rule was broken.
    pub fn run(&self) -> Result<bool, String> {
        let mut scenarios = load_scenarios(&self.scenarios)?;
        override_operator(&mut scenarios, self.operator.as_deref())?;
        let seeds = parse_seeds(&self.seeds)?;
        if let Some(folder) = &self.record {
            std::fs::create_dir_all(folder)
                .map_err(|e| format!("cannot create {}: {e}", folder.display()))?;
        }
        let choice = DeciderChoice::from_name(&self.decider);
        let outcomes = if self.live {
            self.run_all_live(&scenarios, seeds)?
        } else {
            run_all(&scenarios, seeds, &choice, self.record.as_deref())?
        };
        if self.json {
            for outcome in &outcomes {
                println!("{}", serde_json::to_string(outcome).map_err(|e| e.to_string())?);
            }
        } else {
            print_outcomes(&outcomes);
        }
        Ok(outcomes.iter().all(|o| o.breaks.is_empty()))
    }
}

impl Run {
    /// Runs all scenarios live, one after the other, because each needs the whole machine.
    fn run_all_live(
        &self,
        scenarios: &[(String, Scenario)],
        seeds: std::ops::RangeInclusive<u64>,
    ) -> Result<Vec<RunOutcome>, String> {
        let mut outcomes = Vec::new();
        for (name, scenario) in scenarios {
            if let Some(why) = crate::live::site::too_large(scenario) {
                return Err(format!("{name} {why}"));
            }
            for seed in seeds.clone() {
                let (outcome, counts) =
                    run_live(name, scenario, seed, &self.balancer, self.record.as_deref())?;
                if !counts {
                    eprintln!(
                        "oakdeal-lab: {name} seed {seed}: the machine was too slow; this result does not count"
                    );
                }
                outcomes.push(outcome);
            }
        }
        Ok(outcomes)
    }
}

/// Prints one row per scenario with the means over its seeds, and the first broken rules of each run.
fn print_outcomes(outcomes: &[RunOutcome]) {
    let mut out = table(&[
        "scenario",
        "seeds",
        "score",
        "service",
        "worst 10 s",
        "worst class",
        "UP 99% ms",
        "refused",
        "broken",
        "moves",
        "load most/mean",
        "back after s",
        "crossings",
        "probes",
        "rules broken",
    ]);
    let mut names: Vec<&str> = outcomes.iter().map(|o| o.scenario.as_str()).collect();
    names.dedup();
    for name in names {
        let runs: Vec<&RunOutcome> = outcomes.iter().filter(|o| o.scenario == name).collect();
        let n = runs.len() as f64;
        let mean = |of: &dyn Fn(&RunOutcome) -> f64| runs.iter().map(|o| of(o)).sum::<f64>() / n;
        let count = |of: &dyn Fn(&RunOutcome) -> u64| format!("{:.1}", mean(&|o| of(o) as f64));
        let breaks: u64 = runs.iter().flat_map(|o| o.breaks.values()).sum();
        let slowest = |o: &RunOutcome| o.classes.iter().map(|c| c.to_up_ms.1).fold(0.0, f64::max);
        out.add_row([
            name.to_string(),
            runs.len().to_string(),
            format!("{:.4}", mean(&|o| o.score)),
            format!("{:.4}", mean(&|o| o.service)),
            format!("{:.4}", mean(&|o| o.worst)),
            format!("{:.4}", mean(&|o| o.worst_class)),
            format!("{:.0}", mean(&slowest)),
            count(&|o| o.refusals),
            count(&|o| o.broken),
            count(&|o| o.moves),
            format!("{:.2}", mean(&|o| o.imbalance)),
            format!("{:.0}", mean(&|o| o.back_s)),
            count(&|o| o.crossings),
            count(&|o| o.probes),
            breaks.to_string(),
        ]);
    }
    println!("{out}");
    for o in outcomes.iter().filter(|o| !o.breaks.is_empty()) {
        for b in o.first_breaks.iter().take(3) {
            eprintln!("{} seed {}: {:?} at {} us: {}", o.scenario, o.seed, b.rule, b.t, b.text);
        }
    }
}
