//! Checks the recorded actions of lease holders: at most one process acts on a task at a time, and tokens only grow.

use std::collections::BTreeMap;

/// One action under a lease, as one process logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedAction {
    /// Name of the task.
    pub task: String,
    /// Process that logged the action: the holder itself or a recipient.
    pub witness: usize,
    /// Process that acted.
    pub holder: usize,
    /// Token of the holder's lease.
    pub token: u64,
    /// Time of the action in microseconds since boot.
    pub us: u64,
    /// Whether the witness carried the action out.
    pub admitted: bool,
}

impl LoggedAction {
    /// Parses a line of a process's log; `None` if it does not report an action.
    pub fn parse(witness: usize, line: &str) -> Option<LoggedAction> {
        let (_, text) = line.split_once("oakdeal::act: ")?;
        let value = |name: &str| {
            let (_, rest) = text.split_once(&format!(" {name}="))?;
            Some(rest.split(' ').next()?.trim_matches('"').to_string())
        };
        let task = value("task")?;
        let holder = value("holder")?.strip_prefix('n')?.parse().ok()?;
        let (token, us) = (value("token")?.parse().ok()?, value("us")?.parse().ok()?);
        Some(LoggedAction { task, witness, holder, token, us, admitted: value("passes")? == "true" })
    }
}

/// Returns the violations found: two processes that act on a task at the same time, one token with two holders, and a
/// recipient that carries out an action with a lower token than before.
pub fn check(actions: &[LoggedAction]) -> Vec<String> {
    let mut violations = Vec::new();
    // Holder, first and last action of each task and token.
    let mut spans: BTreeMap<(&str, u64), (usize, u64, u64)> = Default::default();
    for action in actions.iter().filter(|action| action.witness == action.holder) {
        let span = spans.entry((&action.task, action.token)).or_insert((action.holder, action.us, action.us));
        if span.0 != action.holder {
            violations
                .push(format!("token {} is held by both n{} and n{}", action.token, span.0, action.holder));
        }
        (span.1, span.2) = (span.1.min(action.us), span.2.max(action.us));
    }
    let all: Vec<_> = spans.into_iter().collect();
    for pair in all.windows(2).filter(|pair| pair[0].0 .0 == pair[1].0 .0) {
        let (((task, token), (_, _, end)), ((_, next), (_, begin, _))) = (pair[0], pair[1]);
        if begin <= end {
            violations.push(format!(
                "{task}: token {next} acted at {begin} us while token {token} acted until {end} us"
            ));
        }
    }
    let mut highest: BTreeMap<(usize, &str), u64> = Default::default();
    for action in actions.iter().filter(|action| action.admitted) {
        let seen = highest.entry((action.witness, &action.task)).or_default();
        if action.token < *seen {
            violations.push(format!(
                "n{} carried out an action under token {} after one under token {seen}",
                action.witness, action.token
            ));
        }
        *seen = action.token.max(*seen);
    }
    violations
}
