//! Checks the service rules against a record. All violations are counted; each is kept with its time, up to a limit
//! for each rule.

use super::record::{AttemptOutcome, Entry, EntrySink, RunEvent};
use oakdeal::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A service rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request gets exactly one final answer, before its client gives up.
    OneAnswer,
    /// A request never has two attempts in flight at once.
    OneAttempt,
    /// No new attempt goes to a server that drains or is gone, once the grace period is over.
    Drain,
    /// Balancers notified of a server's start do not overload it while it is cold: a failure violates the rule if they
    /// sent more than two thirds of the attempts that caused it.
    Cold,
    /// No protocol line is lost, delayed or duplicated.
    Lines,
    /// A balancer never admits more than its part of the contracts' capacity.
    Contract,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Time since the start of the run.
    pub t: Micros,
    /// The violated rule.
    pub rule: Rule,
    /// Description of the violation.
    pub text: String,
}

/// Number of violations of each rule that are kept; the others are only counted.
const MAX_KEPT_VIOLATIONS: usize = 20;
/// Time by which an answer may be late, in microseconds; the value of the operators' rules.
const ANSWER_TOLERANCE: Micros = 16_000;

/// A request that has not ended.
#[derive(Debug)]
struct RequestState {
    node: usize,
    deadline: Micros,
    /// Server of the attempt in flight.
    in_flight_at: Option<usize>,
    /// Whether an attempt was sent.
    tried: bool,
    established: bool,
}

/// A closing change that counts as notified although its notification was not seen to arrive.
#[derive(Clone, Copy, Debug)]
struct CountedChange {
    counted_since: Micros,
    changed_at: Micros,
}

/// Checks the entries of a record, in order of time.
#[derive(Default)]
pub struct Checker {
    calls: HashMap<String, RequestState>,
    /// Time since which a balancer must not send a server new attempts, by balancer and server.
    closed: BTreeMap<(usize, usize), Micros>,
    /// The same for changes that count as notified although no notification arrived, by balancer and server.
    counted_changes: BTreeMap<(usize, usize), CountedChange>,
    /// Time of the latest information that a balancer has from discovery, by balancer and server.
    informed_at: BTreeMap<(usize, usize), Micros>,
    balancers: usize,
    drain_grace: Micros,
    /// A server's last start, and the attempts sent to it within the overload window: the time of each, and whether
    /// its balancer was notified of the start.
    starts: BTreeMap<usize, (Micros, VecDeque<(Micros, bool)>)>,
    /// Time at which a balancer was last notified that a server is ready. A live run does not record notifications;
    /// there every balancer counts as notified.
    ready_notified_at: BTreeMap<(usize, usize), Micros>,
    fall_time: Micros,
    capacity: Option<u64>,
    /// Number of requests that each balancer has admitted and that have not ended.
    admitted: BTreeMap<usize, u64>,
    violations: Vec<Violation>,
    violation_counts: BTreeMap<Rule, u64>,
    /// Number of requests by end: established, refused, failed, left by the client, lost with their balancer.
    pub end_counts: [u64; 5],
    /// Number of requests.
    pub requests: u64,
}

impl Checker {
    fn report(&mut self, t: Micros, rule: Rule, text: String) {
        let count = self.violation_counts.entry(rule).or_default();
        *count += 1;
        if *count as usize <= MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation { t, rule, text });
        }
    }

    /// Returns the violations that were kept and the number of all violations by rule.
    pub fn violations(&self) -> (&[Violation], &BTreeMap<Rule, u64>) {
        (&self.violations, &self.violation_counts)
    }

    /// Forgets a request that has ended and frees its admission.
    fn release(&mut self, call: &str) {
        if let Some(request) = self.calls.remove(call) {
            if request.tried {
                *self.admitted.entry(request.node).or_default() -= 1;
            }
        }
    }

    /// Returns the time since which a balancer must not send a server new attempts.
    fn closed_since(&self, node: usize, server: usize) -> Option<Micros> {
        let notified = self.closed.get(&(node, server)).copied();
        let counted = self.counted_changes.get(&(node, server)).map(|counted| counted.counted_since);
        notified.into_iter().chain(counted).min()
    }

    /// Counts a change as notified at every balancer that has no later information on the server.
    fn count_as_notified(&mut self, t: Micros, server: usize, ready: bool, changed: Micros) {
        for node in 0..self.balancers {
            let key = (node, server);
            if self.informed_at.get(&key).is_some_and(|&informed| informed > changed) {
                continue;
            }
            if ready {
                self.counted_changes.remove(&key);
            } else {
                self.counted_changes
                    .entry(key)
                    .or_insert(CountedChange { counted_since: t, changed_at: changed });
            }
        }
    }

    /// Records that a balancer got information on a server at the time `learned`; earlier changes no longer count.
    fn record_state(&mut self, node: usize, server: usize, state: char, learned: Micros, t: Micros) {
        let key = (node, server);
        self.informed_at.insert(key, learned);
        if self.counted_changes.get(&key).is_some_and(|counted| counted.changed_at < learned) {
            self.counted_changes.remove(&key);
        }
        if state == 'r' {
            self.closed.remove(&key);
            self.ready_notified_at.insert(key, learned);
        } else {
            self.closed.entry(key).or_insert(t);
        }
    }

    /// Ends the run: reports requests whose answer is overdue.
    fn finish(&mut self, t: Micros) {
        let mut overdue: Vec<(String, Micros)> = self
            .calls
            .iter()
            .filter(|(_, request)| !request.established && request.deadline + ANSWER_TOLERANCE < t)
            .map(|(call, request)| (call.clone(), request.deadline))
            .collect();
        overdue.sort();
        for (call, by) in overdue {
            self.report(t, Rule::OneAnswer, format!("{call} was owed an answer by {by} and had none"));
        }
    }
}

impl EntrySink for Checker {
    fn accept(&mut self, entry: &Entry) {
        let t = entry.t;
        match &entry.what {
            RunEvent::Begin { drain_grace, fall_time, capacity, balancers, .. } => {
                self.balancers = *balancers;
                (self.drain_grace, self.fall_time, self.capacity) = (*drain_grace, *fall_time, *capacity);
            }
            RunEvent::Asked { node, call, by, .. } => {
                self.requests += 1;
                let new = RequestState {
                    node: *node,
                    deadline: *by,
                    in_flight_at: None,
                    tried: false,
                    established: false,
                };
                if self.calls.insert(call.clone(), new).is_some() {
                    self.report(t, Rule::OneAnswer, format!("{call} came twice"));
                }
            }
            RunEvent::Sent { node, call, server, .. } => {
                if let Some((started, sent)) = self.starts.get_mut(server) {
                    let notified =
                        self.ready_notified_at.get(&(*node, *server)).is_none_or(|at| at >= started);
                    sent.push_back((t, notified));
                    while sent.front().is_some_and(|(at, _)| at + self.fall_time <= t) {
                        sent.pop_front();
                    }
                }
                let since = self.closed_since(*node, *server);
                if let Some(since) = since.filter(|&since| t > since.saturating_add(self.drain_grace)) {
                    let text = format!("{call} was sent to server {server}, closed for {} us", t - since);
                    self.report(t, Rule::Drain, text);
                }
                let Some(request) = self.calls.get_mut(call) else {
                    return self.report(t, Rule::OneAnswer, format!("{call} was sent after its answer"));
                };
                let (previous, tried) =
                    (request.in_flight_at.replace(*server), std::mem::replace(&mut request.tried, true));
                if let Some(other) = previous {
                    self.report(
                        t,
                        Rule::OneAttempt,
                        format!("{call} was out at servers {other} and {server}"),
                    );
                }
                if !tried {
                    let admitted = self.admitted.entry(*node).or_default();
                    *admitted += 1;
                    let (admitted, capacity) = (*admitted, self.capacity.unwrap_or(u64::MAX));
                    if admitted > capacity {
                        let text =
                            format!("{call} was let in as the {admitted}. of {capacity} at balancer {node}");
                        self.report(t, Rule::Contract, text);
                    }
                }
            }
            RunEvent::Done { call, how, .. } => {
                let mut late = None;
                if let Some(request) = self.calls.get_mut(call) {
                    request.in_flight_at = None;
                    if *how == AttemptOutcome::Up {
                        late = Some(request.deadline)
                            .filter(|by| t > by + ANSWER_TOLERANCE && !request.established);
                        request.established = true;
                        self.end_counts[0] += 1;
                    }
                }
                if let Some(by) = late {
                    self.report(t, Rule::OneAnswer, format!("{call} was up at {t}, owed by {by}"));
                }
            }
            RunEvent::Answer { call, refused, .. } => {
                match self.calls.get(call) {
                    None => self.report(t, Rule::OneAnswer, format!("{call} was answered twice")),
                    Some(request) if request.established => {
                        self.report(t, Rule::OneAnswer, format!("{call} was answered after it was up"))
                    }
                    Some(request) if request.in_flight_at.is_some() => {
                        self.report(t, Rule::OneAnswer, format!("{call} was answered with an attempt out"))
                    }
                    Some(request) if t > request.deadline + ANSWER_TOLERANCE => {
                        let by = request.deadline;
                        self.report(t, Rule::OneAnswer, format!("{call} was answered at {t}, owed by {by}"));
                    }
                    Some(_) => {}
                }
                self.end_counts[if *refused { 1 } else { 2 }] += 1;
                self.release(call);
            }
            RunEvent::ClientLeft { call, .. } => {
                let owed = self
                    .calls
                    .get(call)
                    .filter(|request| t > request.deadline + ANSWER_TOLERANCE)
                    .map(|request| request.deadline);
                if let Some(by) = owed {
                    self.report(t, Rule::OneAnswer, format!("{call} left at {t}, owed an answer by {by}"));
                }
                self.end_counts[3] += 1;
                self.release(call);
            }
            RunEvent::ConnectionEnded { call, .. } => {
                if !self.calls.get(call).is_some_and(|request| request.established) {
                    self.report(t, Rule::OneAnswer, format!("{call} is over and never stood"));
                }
                self.release(call);
            }
            RunEvent::Died { node } => {
                let lost: Vec<String> = self
                    .calls
                    .iter()
                    .filter(|(_, request)| request.node == *node)
                    .map(|(call, _)| call.clone())
                    .collect();
                for call in lost {
                    if !self.calls[&call].established {
                        self.end_counts[4] += 1;
                    }
                    self.release(&call);
                }
                self.closed.retain(|(n, _), _| n != node);
                self.ready_notified_at.retain(|(n, _), _| n != node);
                self.informed_at.retain(|(n, _), _| n != node);
            }
            RunEvent::StateNotified { node, server, state } => {
                self.record_state(*node, *server, *state, t, t)
            }
            RunEvent::StateCached { node, server, state, learned } => {
                self.record_state(*node, *server, *state, *learned, t)
            }
            RunEvent::Notified { server, state, changed } => {
                self.count_as_notified(t, *server, *state == 'r', *changed)
            }
            RunEvent::Overloaded { server } => {
                let (_, sent) = self.starts.remove(server).unwrap_or_default();
                let notified = sent.iter().filter(|(_, notified)| *notified).count();
                if 3 * notified > 2 * sent.len() || sent.is_empty() {
                    let of = sent.len();
                    let text =
                        format!("server {server} fell over while it was cold: {notified} of {of} were told");
                    self.report(t, Rule::Cold, text);
                }
            }
            RunEvent::Started { server } => drop(self.starts.insert(*server, (t, VecDeque::new()))),
            RunEvent::LineFault { call, wrong, .. } => {
                self.report(t, Rule::Lines, format!("{call}: {wrong}"));
            }
            RunEvent::End { .. } => self.finish(t),
            RunEvent::Moved { .. } | RunEvent::Fault { .. } | RunEvent::Second { .. } => {}
            RunEvent::DiscoveryCalled { .. } | RunEvent::Probed { .. } => {}
        }
    }
}
