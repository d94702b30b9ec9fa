//! Queue of what a member has decided but not yet done: messages to send and events to carry out.
//!
//! Invariant: an entry that was decided under a lease leaves the queue only while that lease still allows it; afterwards it
//! is dropped. A process may be stopped for any time between a decision and its execution, so the lease is checked
//! again, by a new reading of the clock, for each entry. No clock closes the remaining gap between that check and the
//! system call: there the fencing token protects, which the receiver's [`super::lease::TokenFence`] checks.

use std::collections::VecDeque;

/// Identifies the lease under which an entry was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseToken {
    /// The task that is leased.
    pub task: String,
    /// The fencing token of the grant.
    pub token: u64,
}

struct Entry<T> {
    lease: Option<LeaseToken>,
    value: T,
}

/// A first-in, first-out queue of entries, some of which need a lease.
pub struct Outbox<T> {
    entries: VecDeque<Entry<T>>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Outbox<T> {
        Outbox { entries: VecDeque::new() }
    }
}

impl<T> Outbox<T> {
    /// Adds an entry, which requires this lease if one is given.
    pub fn push(&mut self, lease: Option<LeaseToken>, value: T) {
        self.entries.push_back(Entry { lease, value });
    }

    /// Removes and returns the next entry. Entries whose lease is no longer `allowed` are dropped and logged.
    pub fn pop(&mut self, allowed: impl Fn(&LeaseToken) -> bool) -> Option<T> {
        loop {
            let Entry { lease, value } = self.entries.pop_front()?;
            match lease {
                Some(lease) if !allowed(&lease) => self.drop_under(&lease),
                _ => return Some(value),
            }
        }
    }

    /// Drops all entries under a lease that has ended; a lease is never allowed again under the same token.
    fn drop_under(&mut self, ended: &LeaseToken) {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.lease.as_ref() != Some(ended));
        let (task, token, dropped) = (&ended.task, ended.token, 1 + before - self.entries.len());
        tracing::warn!(task, token, dropped, "group: entries were dropped because their lease had ended");
    }

    /// Returns whether an entry that requires a lease is queued.
    #[cfg(feature = "failpoints")]
    pub fn holds_lease_entries(&self) -> bool {
        self.entries.iter().any(|entry| entry.lease.is_some())
    }
}

#[cfg(test)]
#[path = "outbox_tests.rs"]
mod tests;
