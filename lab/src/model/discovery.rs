//! Model of the discovery service: the instance list, and the time at which calls for it are answered. All balancers
//! share one service, which handles calls one at a time. While it is down it answers no call and sends no notification.

use oakdeal::{Entry, HostState, Micros};

/// Longest time a call waits in the queue, in microseconds; a call that would wait longer fails.
const MAX_QUEUE_WAIT: Micros = 2_000_000;
/// Time after which a call fails while the service is down, in microseconds.
const DOWN_RESPONSE_TIME: Micros = 1_000;

/// The instance list and the queue of the service that returns it.
#[derive(Clone, Debug)]
pub struct Discovery {
    entries: Vec<Entry>,
    /// Service time of one call; calls are handled one at a time.
    service_time: Micros,
    free_at: Micros,
    down_until: Micros,
}

impl Discovery {
    /// Returns a service with these entries and this service time for each call.
    pub fn new(entries: Vec<Entry>, service_time: Micros) -> Discovery {
        Discovery { entries, service_time, free_at: 0, down_until: 0 }
    }

    /// Makes the service unavailable until `until`.
    pub fn set_down_until(&mut self, until: Micros) {
        self.down_until = self.down_until.max(until);
    }

    /// Returns whether the service is unavailable.
    pub fn is_down(&self, now: Micros) -> bool {
        now < self.down_until
    }

    /// Returns the end of the latest outage, which may lie in the future; 0 if there was none.
    pub fn outage_end(&self) -> Micros {
        self.down_until
    }

    /// Returns the earliest time at which a change made at `now` can be notified: `now`, or the end of the outage.
    pub fn earliest_notification(&self, now: Micros) -> Micros {
        now.max(self.down_until)
    }

    /// Updates a server's entry and returns the new entry; `None` keeps its `ready_at`.
    pub fn update_entry(&mut self, server: usize, state: HostState, ready_at: Option<Micros>) -> Entry {
        let entry = &mut self.entries[server];
        entry.state = state;
        entry.ready_at = ready_at.unwrap_or(entry.ready_at);
        entry.clone()
    }

    /// Enqueues a call for the whole list. Returns the time of its answer, or as an error the time of its failure.
    pub fn enqueue_call(&mut self, now: Micros) -> Result<Micros, Micros> {
        if self.is_down(now) {
            return Err(now + DOWN_RESPONSE_TIME);
        }
        let start = self.free_at.max(now);
        // A call takes its service time even after its caller has timed out, so a fleet that calls too often starves
        // itself.
        self.free_at = start + self.service_time;
        if start - now > MAX_QUEUE_WAIT {
            return Err(now + MAX_QUEUE_WAIT);
        }
        Ok(self.free_at)
    }

    /// Returns the current list without the entries that are gone.
    pub fn list(&self) -> Vec<Entry> {
        self.entries.iter().filter(|e| e.state != HostState::Gone).cloned().collect()
    }

    /// Returns the entry of a server.
    pub fn entry(&self, server: usize) -> &Entry {
        &self.entries[server]
    }
}
