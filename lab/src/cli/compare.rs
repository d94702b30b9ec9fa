//! `oakdeal-lab compare`: compares two deciders on the same seeds.

use super::run::{load_scenarios, override_operator, run_all};
use super::{parse_seeds, table};
use crate::scenario::plan::random_stream;
use crate::virt::decider::DeciderChoice;
use clap::Args;
use rand::RngExt;

/// Runs scenarios with two deciders and prints the differences
#[derive(Args, Debug)]
pub struct Compare {
    /// First decider: own, random, least, or the path of an oakdeal-drill
    a: String,
    /// Second decider
    b: String,
    /// Names or files of scenarios; `all` for every built-in one except `large`
    #[arg(long, default_value = "all", num_args = 1.., value_name = "SCENARIO")]
    scenarios: Vec<String>,
    /// Seeds, as N or N..M
    #[arg(long, default_value = "1..20", value_name = "SEEDS")]
    seeds: String,
    /// Operator's file for A, instead of the scenario's
    #[arg(long, value_name = "FILE")]
    a_operator: Option<std::path::PathBuf>,
    /// Operator's file for B, instead of the scenario's
    #[arg(long, value_name = "FILE")]
    b_operator: Option<std::path::PathBuf>,
}

/// Number of bootstrap samples.
const BOOTSTRAP_SAMPLES: usize = 2_000;

/// Returns the mean of paired differences and the bounds of its 95% confidence interval by the percentile bootstrap (Efron
/// and Tibshirani, 1993, 13.3).
pub fn confidence_interval(differences: &[f64]) -> (f64, f64, f64) {
    let n = differences.len();
    let mean = differences.iter().sum::<f64>() / n.max(1) as f64;
    if n < 2 {
        return (mean, f64::NEG_INFINITY, f64::INFINITY);
    }
    let mut rng = random_stream(n as u64, "bootstrap");
    let mut means: Vec<f64> = (0..BOOTSTRAP_SAMPLES)
        .map(|_| (0..n).map(|_| differences[rng.random_range(0..n)]).sum::<f64>() / n as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    (mean, means[BOOTSTRAP_SAMPLES * 25 / 1000], means[BOOTSTRAP_SAMPLES * 975 / 1000])
}

impl Compare {
    /// Runs the command. Returns whether neither decider broke a rule.
    pub fn run(&self) -> Result<bool, String> {
        let seeds = parse_seeds(&self.seeds)?;
        let (mut first, mut second) = (load_scenarios(&self.scenarios)?, load_scenarios(&self.scenarios)?);
        override_operator(&mut first, self.a_operator.as_deref())?;
        override_operator(&mut second, self.b_operator.as_deref())?;
        let a = run_all(&first, seeds.clone(), &DeciderChoice::from_name(&self.a), None)?;
        let b = run_all(&second, seeds, &DeciderChoice::from_name(&self.b), None)?;
        let mut out = table(&[
            "scenario",
            "A",
            "B",
            "B - A",
            "95% from",
            "to",
            "worst 10 s B - A",
            "A broke",
            "B broke",
        ]);
        let mut add_comparison = |name: &str,
                                  pairs: Vec<(
            &crate::score::service::RunOutcome,
            &crate::score::service::RunOutcome,
        )>| {
            let n = pairs.len() as f64;
            let score: Vec<f64> = pairs.iter().map(|(a, b)| b.score - a.score).collect();
            let (mean, from, to) = confidence_interval(&score);
            let worst = pairs.iter().map(|(a, b)| b.worst - a.worst).sum::<f64>() / n;
            let broke = |which: &dyn Fn(
                &(&crate::score::service::RunOutcome, &crate::score::service::RunOutcome),
            ) -> bool| { pairs.iter().filter(|p| which(p)).count().to_string() };
            out.add_row([
                name.to_string(),
                format!("{:.4}", pairs.iter().map(|p| p.0.score).sum::<f64>() / n),
                format!("{:.4}", pairs.iter().map(|p| p.1.score).sum::<f64>() / n),
                format!("{mean:+.4}"),
                format!("{from:+.4}"),
                format!("{to:+.4}"),
                format!("{worst:+.4}"),
                broke(&|p| !p.0.breaks.is_empty()),
                broke(&|p| !p.1.breaks.is_empty()),
            ]);
        };
        for (name, _) in &first {
            add_comparison(name, a.iter().zip(&b).filter(|(a, _)| a.scenario == *name).collect());
        }
        add_comparison("all", a.iter().zip(&b).collect());
        println!(
            "A: {}, B: {}\n{out}",
            DeciderChoice::from_name(&self.a).name(),
            DeciderChoice::from_name(&self.b).name()
        );
        Ok(a.iter().chain(&b).all(|o| o.breaks.is_empty()))
    }
}
