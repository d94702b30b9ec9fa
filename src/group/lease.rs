//! Leases on tasks of the fleet: what a holder may do when, and when the leader may give a task to another.
//!
//! Assumed: clocks run within `drift` of true time, also while the machine sleeps. *To act* is to begin something under a
//! lease. Promised, by the clock alone: no two holders may begin to act at the same moment. A holder that is stopped between
//! its look at the clock and its act acts late whatever the clock says: against that whoever carries the act out asks the
//! [`TokenFence`], which refuses a token under the highest it has seen. A holder counts from before it asked; the leader frees
//! only after the span and the drift of both clocks, and a new leader counts from the moment when it leads.

use super::record::{Command, Outcome, State};
use crate::api::Micros;
use std::collections::BTreeMap;

/// How leases run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a holder may act after it asked.
    pub duration: Micros,
    /// How far a clock may run from true time, in millionths.
    pub drift_ppm: u64,
}

impl LeaseTerms {
    /// How long the leader waits, by its own clock: the holder's may be slow and its own fast.
    pub fn expiry_wait(&self) -> Micros {
        (self.duration * (1_000_000 + self.drift_ppm)).div_ceil(1_000_000 - self.drift_ppm)
    }
}

/// The side of somebody who wants a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    terms: LeaseTerms,
    task: String,
    me: String,
    /// What was asked and not yet answered, and when.
    asked: BTreeMap<u64, Micros>,
    last: u64,
    next: Micros,
    /// Its token, and until when it may act.
    held: Option<(u64, Micros)>,
}

/// Questions that are out at most; an answer to an older one is passed over.
const OUT: usize = 4;

impl LeaseClient {
    /// One that wants the task from now on.
    pub fn new(now: Micros, terms: LeaseTerms, task: &str, me: &str) -> LeaseClient {
        LeaseClient {
            terms,
            task: task.into(),
            me: me.into(),
            asked: BTreeMap::new(),
            last: 0,
            next: now,
            held: None,
        }
    }

    /// The token under which it may begin to act now.
    pub fn active_token(&self, now: Micros) -> Option<u64> {
        self.held.filter(|&(_, until)| now < until).map(|(token, _)| token)
    }

    /// How long it may act still.
    pub fn remaining(&self, now: Micros) -> Micros {
        self.held.map_or(0, |(_, until)| until.saturating_sub(now))
    }

    /// What to ask for now, with the question's number.
    pub fn next_request(&mut self, now: Micros) -> Option<(u64, Command)> {
        if self.held.is_some() && self.active_token(now).is_none() {
            self.held = None;
        }
        if now < self.next {
            return None;
        }
        self.next = now + self.terms.duration / 6;
        let task = self.task.clone();
        let command = match self.held {
            // In the first third of the span there is nothing to ask for.
            Some((_, until)) if until > now + self.terms.duration * 2 / 3 => return None,
            Some((token, _)) => Command::Renew { task, token },
            None => Command::Acquire { task, holder: self.me.clone() },
        };
        self.last += 1;
        self.asked.insert(self.last, now);
        if self.asked.len() > OUT {
            self.asked.pop_first();
        }
        Some((self.last, command))
    }

    /// The answer to a question.
    pub fn handle_outcome(&mut self, now: Micros, id: u64, outcome: &Outcome) {
        let Some(at) = self.asked.remove(&id) else { return };
        match outcome {
            Outcome::Granted(token) => {
                let until = at + self.terms.duration;
                let known = self.held.filter(|held| held.0 >= *token);
                let until =
                    known.map_or(until, |held| if held.0 == *token { held.1.max(until) } else { held.1 });
                let token = known.map_or(*token, |held| held.0);
                if now < until {
                    self.held = Some((token, until));
                }
            }
            Outcome::Held(_) => {}
            // The record has another holder or none: what it says now is younger than what is held here.
            Outcome::Stale => self.held = None,
            Outcome::Done => {}
        }
    }

    /// Stops acting at once, and gives the task back; it asks again after `rest`.
    pub fn release(&mut self, now: Micros, rest: Micros) -> Option<(u64, Command)> {
        let (token, _) = self.held.take()?;
        // Answers that are out must not make it a holder again.
        self.asked.clear();
        self.next = now + rest;
        self.last += 1;
        Some((self.last, Command::Return { task: self.task.clone(), token }))
    }
}

/// The leader's side: how long each lease has not been renewed, by its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseMonitor {
    seen: BTreeMap<String, (u64, u64, Micros)>,
}

impl LeaseMonitor {
    /// One that begins to lead now: whatever it knew before, holders may have been renewed until this moment.
    pub fn new(now: Micros, state: &State) -> LeaseMonitor {
        let held = state.leases.iter().filter(|(_, lease)| lease.holder.is_some());
        LeaseMonitor { seen: held.map(|(task, l)| (task.clone(), (l.token, l.renewals, now))).collect() }
    }

    /// What is to be freed now.
    pub fn expired(&mut self, now: Micros, terms: &LeaseTerms, state: &State) -> Vec<Command> {
        let mut over = Vec::new();
        self.seen.retain(|task, _| state.leases.get(task).is_some_and(|lease| lease.holder.is_some()));
        for (task, lease) in state.leases.iter().filter(|(_, lease)| lease.holder.is_some()) {
            let is = (lease.token, lease.renewals);
            let seen = self.seen.entry(task.clone()).or_insert((is.0, is.1, now));
            if (seen.0, seen.1) != is {
                *seen = (is.0, is.1, now);
            }
            if now >= seen.2 + terms.expiry_wait() {
                over.push(Command::Free { task: task.clone(), token: is.0, renewals: is.1 });
            }
        }
        over
    }
}

/// The side of whoever carries acts out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TokenFence {
    highest: BTreeMap<String, u64>,
}

impl TokenFence {
    /// Whether an act under this token is to be carried out.
    pub fn admits(&mut self, task: &str, token: u64) -> bool {
        let highest = self.highest.entry(task.into()).or_default();
        *highest = token.max(*highest);
        token == *highest
    }
}

#[cfg(test)]
#[path = "lease_model.rs"]
mod model;
