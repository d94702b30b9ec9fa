//! What operators see of the watch at discovery. A watch that is closed with no call under way, one that is open and
//! silent, calls that fail again and again, and a list that does not change although discovery confirms it look alike to
//! clients; these metrics tell them apart.

use crate::api::Micros;
use std::cell::Cell;
use std::fmt::Write;

/// Number of microseconds in a millisecond.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Counters and gauges of the watch at the configured address of discovery.
#[derive(Default)]
pub struct DiscoveryMetrics {
    /// Whether a watch is open or being opened.
    watching: Cell<bool>,
    /// Number of watches, and of calls for one, that have ended.
    ended: Cell<u64>,
    /// Time at which discovery last confirmed the list; the start of the process before that.
    confirmed_at: Cell<Micros>,
}

impl DiscoveryMetrics {
    /// Records that a watch is being opened.
    pub fn record_started(&self) {
        self.watching.set(true);
    }

    /// Records that the watch has ended or could not be opened.
    pub fn record_ended(&self) {
        self.watching.set(false);
        self.ended.set(self.ended.get() + 1);
    }

    /// Records that discovery has sent all changes of the list up to this time.
    pub fn record_confirmed(&self, now: Micros) {
        self.confirmed_at.set(now);
    }

    /// Returns all metrics as text, one line each. `version` is the version of the list in use.
    pub fn lines(&self, now: Micros, version: u64) -> String {
        let age_ms = now.saturating_sub(self.confirmed_at.get()) / MICROS_PER_MILLISECOND;
        let mut text = format!("lb.discovery_watches_ended:{}|c\r\n", self.ended.get());
        for (gauge, value) in
            [("watching", u64::from(self.watching.get())), ("list_age_ms", age_ms), ("list_version", version)]
        {
            let _ = write!(text, "lb.discovery_{gauge}:{value}|g\r\n");
        }
        text
    }
}
