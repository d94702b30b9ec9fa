//! `oakdeal-lab ledger`: accounts for the value of a run by cause.

use super::table;
use crate::ledger::read::ParsedLogs;
use crate::ledger::{build_ledger, column_shares, Columns, LedgerSettings};
use clap::Args;
use std::path::PathBuf;

/// Reports how the value of a run was served or lost, from the debug logs of all its balancers
#[derive(Args, Debug)]
pub struct Ledger {
    /// Logs, written with RUST_LOG=oakdeal=debug
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Length of one row of the table, in seconds
    #[arg(long, default_value_t = 5.0, value_name = "SECONDS")]
    row: f64,
}

impl Ledger {
    /// Runs the command.
    pub fn run(self) -> Result<bool, String> {
        let ledger = build_ledger(&ParsedLogs::from_files(&self.logs)?, &LedgerSettings::default());
        let all = column_shares(ledger.samples.iter().map(|(_, columns)| columns));
        let mut names: Vec<&String> = all.keys().collect();
        names.sort_by(|a, b| all[*b].total_cmp(&all[*a]));
        names.retain(|name| all[*name] >= 0.001);
        let mut head = vec!["share of worth"];
        head.extend(names.iter().map(|name| name.as_str()));
        let mut shown = table(&head);
        let mut row = |what: String, columns: Columns| {
            let cell = |name: &&String| format!("{:.1}%", 100.0 * columns.get(*name).unwrap_or(&0.0));
            shown.add_row([what].into_iter().chain(names.iter().map(cell)));
        };
        let last = ledger.samples.last().map_or(0.0, |look| look.0);
        for n in 0..(last / self.row.max(0.5)).ceil() as usize {
            let (from, to) = (n as f64 * self.row, (n + 1) as f64 * self.row);
            let looks = ledger.samples.iter().filter(|(t, _)| (from..to).contains(t));
            row(format!("from {from} s"), column_shares(looks.map(|(_, columns)| columns)));
        }
        ledger
            .classes
            .iter()
            .for_each(|(class, columns)| row(format!("class {class}"), column_shares([columns])));
        ledger.zones.iter().for_each(|(zone, columns)| row(format!("zone {zone}"), column_shares([columns])));
        row("all".into(), all.clone());
        println!("{shown}");
        let (first, end) = (ledger.servers_per_group.first(), ledger.servers_per_group.last());
        println!(
            "a group stands on {:.1} servers at first, {:.1} at the end",
            first.unwrap_or(&0.0),
            end.unwrap_or(&0.0)
        );
        Ok(true)
    }
}
