//! Leases on tasks of the fleet: when a lease holder may act, and when the leader may grant the task to another.
//!
//! To *act* is to begin an operation under a lease. Assumption: clocks run within `drift_ppm` of true time, also while the
//! machine sleeps. Guarantee, by the clocks alone: no two lease holders may begin to act at the same moment. A holder counts
//! its lease from before it sent the request; the leader frees a lease only after its duration extended by the drift of both
//! clocks, and a new leader counts from the moment it began to lead.
//!
//! Not guaranteed by the clocks: a holder that is paused between checking the clock and acting acts late. The receiver of an
//! act therefore checks its token with a [`TokenFence`], which rejects a token lower than the highest it has seen.

use super::record::{Command, Outcome, State};
use crate::api::Micros;
use std::collections::BTreeMap;

/// The number one in parts per million.
const ONE_IN_PPM: u64 = 1_000_000;

/// Terms that all leases of the group share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a holder may act, counted from its request.
    pub duration: Micros,
    /// Maximum drift of a clock from true time, in parts per million.
    pub drift_ppm: u64,
}

impl LeaseTerms {
    /// Returns how long the leader waits before it frees a lease, by its own clock, which may be fast while the holder's is
    /// slow.
    pub fn expiry_wait(&self) -> Micros {
        (self.duration * (ONE_IN_PPM + self.drift_ppm)).div_ceil(ONE_IN_PPM - self.drift_ppm)
    }
}

/// A client that wants the lease on a task, and holds it at times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    terms: LeaseTerms,
    task: String,
    name: String,
    /// Times of the requests that are not answered yet, by id.
    outstanding: BTreeMap<u64, Micros>,
    last_id: u64,
    next_request_at: Micros,
    /// The token of the lease held, and until when the client may act.
    grant: Option<(u64, Micros)>,
}

/// Number of requests that a client may send within the duration of a lease, so that lost ones are sent again in time.
const REQUESTS_PER_DURATION: Micros = 6;
/// Maximum number of outstanding requests; the answer to an older one is ignored.
const MAX_OUTSTANDING_REQUESTS: usize = 4;

impl LeaseClient {
    /// Creates a client that wants the task from now on.
    pub fn new(now: Micros, terms: LeaseTerms, task: &str, name: &str) -> LeaseClient {
        LeaseClient {
            terms,
            task: task.into(),
            name: name.into(),
            outstanding: BTreeMap::new(),
            last_id: 0,
            next_request_at: now,
            grant: None,
        }
    }

    /// Returns the token under which the client may begin to act now.
    pub fn active_token(&self, now: Micros) -> Option<u64> {
        self.grant.filter(|&(_, until)| now < until).map(|(token, _)| token)
    }

    /// Returns the time for which the client may still act.
    pub fn remaining(&self, now: Micros) -> Micros {
        self.grant.map_or(0, |(_, until)| until.saturating_sub(now))
    }

    /// Returns the command to send now, if one is due, with the id of the request.
    pub fn next_request(&mut self, now: Micros) -> Option<(u64, Command)> {
        if self.grant.is_some() && self.active_token(now).is_none() {
            self.grant = None;
        }
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + self.terms.duration / REQUESTS_PER_DURATION;
        let task = self.task.clone();
        let command = match self.grant {
            // Nothing is due in the first third of the lease.
            Some((_, until)) if until > now + self.terms.duration * 2 / 3 => return None,
            Some((token, _)) => Command::Renew { task, token },
            None => Command::Acquire { task, holder: self.name.clone() },
        };
        self.last_id += 1;
        self.outstanding.insert(self.last_id, now);
        if self.outstanding.len() > MAX_OUTSTANDING_REQUESTS {
            self.outstanding.pop_first();
        }
        Some((self.last_id, command))
    }

    /// Handles the outcome of the request with this id.
    pub fn handle_outcome(&mut self, now: Micros, id: u64, outcome: &Outcome) {
        let Some(requested_at) = self.outstanding.remove(&id) else { return };
        match outcome {
            Outcome::Granted(token) => {
                let until = requested_at + self.terms.duration;
                let known = self.grant.filter(|held| held.0 >= *token);
                let until =
                    known.map_or(until, |held| if held.0 == *token { held.1.max(until) } else { held.1 });
                let token = known.map_or(*token, |held| held.0);
                if now < until {
                    self.grant = Some((token, until));
                }
            }
            Outcome::Held(_) => {}
            // The record has another holder or none, and is newer than the grant known here.
            Outcome::Stale => self.grant = None,
            Outcome::Done => {}
        }
    }

    /// Stops acting at once and returns the command that releases the lease; the next request is due after `rest`.
    pub fn release(&mut self, now: Micros, rest: Micros) -> Option<(u64, Command)> {
        let (token, _) = self.grant.take()?;
        // An answer to an earlier request must not restore the grant.
        self.outstanding.clear();
        self.next_request_at = now + rest;
        self.last_id += 1;
        Some((self.last_id, Command::Return { task: self.task.clone(), token }))
    }
}

/// The leader's view of the leases: since when each has not been renewed, by the leader's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseMonitor {
    /// By task: token and renewals of the lease when it last changed, and the time at which that was seen.
    seen: BTreeMap<String, (u64, u64, Micros)>,
}

impl LeaseMonitor {
    /// Creates the monitor of a leader that begins to lead now. All leases count as renewed at this moment, because an
    /// earlier leader may have renewed them until then.
    pub fn new(now: Micros, state: &State) -> LeaseMonitor {
        let held = state.leases.iter().filter(|(_, lease)| lease.holder.is_some());
        LeaseMonitor { seen: held.map(|(task, l)| (task.clone(), (l.token, l.renewals, now))).collect() }
    }

    /// Notes the leases that have changed since the last call, and returns the commands that free those that have expired.
    pub fn expired(&mut self, now: Micros, terms: &LeaseTerms, state: &State) -> Vec<Command> {
        let mut expired = Vec::new();
        self.seen.retain(|task, _| state.leases.get(task).is_some_and(|lease| lease.holder.is_some()));
        for (task, lease) in state.leases.iter().filter(|(_, lease)| lease.holder.is_some()) {
            let current = (lease.token, lease.renewals);
            let seen = self.seen.entry(task.clone()).or_insert((current.0, current.1, now));
            if (seen.0, seen.1) != current {
                *seen = (current.0, current.1, now);
            }
            if now >= seen.2 + terms.expiry_wait() {
                expired.push(Command::Free { task: task.clone(), token: current.0, renewals: current.1 });
            }
        }
        expired
    }
}

/// Check by the receiver of acts against acts of an earlier lease holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TokenFence {
    /// Highest token seen, by task.
    highest: BTreeMap<String, u64>,
}

impl TokenFence {
    /// Whether an act under this token may be carried out; remembers the token if it is the highest so far.
    pub fn admits(&mut self, task: &str, token: u64) -> bool {
        let highest = self.highest.entry(task.into()).or_default();
        *highest = token.max(*highest);
        token == *highest
    }
}

#[cfg(test)]
#[path = "lease_model.rs"]
mod model;
