//! What all balancers do together, counted by second: what is harmless in one can be harmful in a hundred.

use crate::score::record::{AttemptOutcome, Entry, RunEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// A server that started so lately counts as cold (the operators' figure).
const COLD: u64 = 23_000_000;

/// Counts by name and second of the score.
#[derive(Default, Debug, PartialEq)]
pub struct Counts {
    from: u64,
    started: BTreeMap<usize, u64>,
    tried: BTreeSet<String>,
    by_name: BTreeMap<&'static str, Vec<u32>>,
}

impl Counts {
    fn count(&mut self, t: u64, name: &'static str) {
        let Some(at) = t.checked_sub(self.from).map(|us| (us / 1_000_000) as usize) else { return };
        let seconds = self.by_name.entry(name).or_default();
        if seconds.len() <= at {
            seconds.resize(at + 1, 0);
        }
        seconds[at] += 1;
    }

    /// Takes in one entry of a record, in the order of time.
    pub fn read(&mut self, entry: &Entry) {
        let t = entry.t;
        match &entry.what {
            RunEvent::Begin { score_from, .. } => self.from = *score_from,
            RunEvent::Started { server } => drop(self.started.insert(*server, t)),
            RunEvent::DiscoveryCalled { answered: true, .. } => self.count(t, "calls of discovery"),
            RunEvent::DiscoveryCalled { .. } => self.count(t, "calls that fail"),
            RunEvent::StateNotified { .. } => self.count(t, "entries told"),
            RunEvent::Probed { .. } => self.count(t, "probes"),
            RunEvent::Sent { call, server, .. } => {
                self.count(t, "connects");
                if !self.tried.insert(call.clone()) {
                    self.count(t, "retries");
                }
                if self.started.get(server).is_some_and(|&at| t < at + COLD) {
                    self.count(t, "connects to cold servers");
                }
            }
            RunEvent::Done { how, .. } => match how {
                AttemptOutcome::Up | AttemptOutcome::GivenUp => {}
                AttemptOutcome::Error => self.count(t, "failed: error"),
                AttemptOutcome::Full => self.count(t, "failed: turned away"),
                AttemptOutcome::Timeout => self.count(t, "failed: no answer in time"),
                AttemptOutcome::Unconnected => self.count(t, "failed: not connected"),
                AttemptOutcome::Reset => self.count(t, "failed: reset"),
            },
            RunEvent::Answer { refused: true, contract: true, .. } => self.count(t, "refused by contract"),
            RunEvent::Answer { refused: true, .. } => self.count(t, "refused"),
            RunEvent::Answer { .. } => self.count(t, "answered as failed"),
            RunEvent::Moved { .. } => self.count(t, "moves"),
            RunEvent::ConnectionEnded { broken: true, .. } => self.count(t, "standing connections broken"),
            RunEvent::Overloaded { .. } => self.count(t, "cold servers pushed over"),
            _ => {}
        }
    }

    /// What all these came to, second by second.
    pub fn seconds(&self, names: &[&str]) -> Vec<f64> {
        let all: Vec<&Vec<u32>> = names.iter().filter_map(|name| self.by_name.get(name)).collect();
        let end = all.iter().map(|seconds| seconds.len()).max().unwrap_or(0);
        let at = |i: usize| all.iter().filter_map(|seconds| seconds.get(i)).map(|&n| f64::from(n)).sum();
        (0..end).map(at).collect()
    }

    /// The sum over all seconds.
    pub fn total(&self, name: &str) -> u64 {
        self.by_name.get(name).map_or(0, |seconds| seconds.iter().map(|&n| u64::from(n)).sum())
    }

    /// As a table: sums, and the worst second.
    pub fn html(&self) -> String {
        let mut html = String::from("<table><tr><th>all balancers<th>in all<th>worst second<th>at, s</tr>");
        for (name, seconds) in &self.by_name {
            let worst = seconds.iter().enumerate().max_by_key(|&(i, &n)| (n, std::cmp::Reverse(i)));
            let (at, most) = worst.map_or((0, 0), |(i, &n)| (i, n));
            let _ = write!(html, "<tr><td>{name}<td>{}<td>{most}<td>{at}</tr>", self.total(name));
        }
        html + "</table>"
    }
}
