//! Event counts of all balancers together, by second. Behaviour that is harmless in one balancer can be harmful in a
//! hundred.

use crate::score::record::{AttemptOutcome, Entry, RunEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Time after its start in which a server counts as cold, in microseconds, from the operators' requirements.
const WARMUP_US: u64 = 23_000_000;

/// Event counts by name and second of the scored part of a run.
#[derive(Default, Debug, PartialEq)]
pub struct Counts {
    score_from: u64,
    /// Time of the last start of each server.
    started: BTreeMap<usize, u64>,
    /// Calls with at least one attempt.
    attempted: BTreeSet<String>,
    by_name: BTreeMap<&'static str, Vec<u32>>,
}

impl Counts {
    fn count(&mut self, t: u64, name: &'static str) {
        let Some(second) = t.checked_sub(self.score_from).map(|us| (us / 1_000_000) as usize) else {
            return;
        };
        let seconds = self.by_name.entry(name).or_default();
        if seconds.len() <= second {
            seconds.resize(second + 1, 0);
        }
        seconds[second] += 1;
    }

    /// Counts one entry of a record. Entries must be passed in the order of time.
    pub fn read(&mut self, entry: &Entry) {
        let t = entry.t;
        match &entry.what {
            RunEvent::Begin { score_from, .. } => self.score_from = *score_from,
            RunEvent::Started { server } => drop(self.started.insert(*server, t)),
            RunEvent::DiscoveryCalled { answered: true, .. } => self.count(t, "calls of discovery"),
            RunEvent::DiscoveryCalled { .. } => self.count(t, "calls that fail"),
            RunEvent::StateNotified { .. } => self.count(t, "entries told"),
            RunEvent::Probed { .. } => self.count(t, "probes"),
            RunEvent::Sent { call, server, .. } => {
                self.count(t, "connects");
                if !self.attempted.insert(call.clone()) {
                    self.count(t, "retries");
                }
                if self.started.get(server).is_some_and(|&at| t < at + WARMUP_US) {
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

    /// Returns the sum of the named counts in each second.
    pub fn seconds(&self, names: &[&str]) -> Vec<f64> {
        let all: Vec<&Vec<u32>> = names.iter().filter_map(|name| self.by_name.get(name)).collect();
        let end = all.iter().map(|seconds| seconds.len()).max().unwrap_or(0);
        let at = |i: usize| all.iter().filter_map(|seconds| seconds.get(i)).map(|&n| f64::from(n)).sum();
        (0..end).map(at).collect()
    }

    /// Returns the sum of a count over all seconds.
    pub fn total(&self, name: &str) -> u64 {
        self.by_name.get(name).map_or(0, |seconds| seconds.iter().map(|&n| u64::from(n)).sum())
    }

    /// Returns an HTML table with the sum and the highest second of each count.
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
