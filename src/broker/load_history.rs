//! Loads of recent clients, by team and client key. A client that reconnects after a move or a failure has about the
//! same load as before, but its instance may not report it for seconds.
//!
//! Guaranteed: bounded memory, and no load older than two minutes (`RETENTION`).

use crate::api::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Time for which a load is kept: a load changes every few seconds, around a typical value of the client.
const RETENTION: Micros = 120_000_000;
/// Number of clients whose loads are kept; the earliest recorded is dropped first.
const MAX_CLIENTS: usize = 8_192;
/// Weight of a new value in the moving average of a client's load (unitless).
const NEW_VALUE_WEIGHT: f64 = 0.5;

/// Identity of a client: its team, if it named one, and its key, which is unique within the team.
pub type ClientId = (Option<Arc<str>>, Arc<str>);

/// Loads of recent clients.
#[derive(Debug, Default)]
pub struct LoadHistory {
    loads: BTreeMap<ClientId, (f64, Micros)>,
    /// Clients in the order of their first record.
    order: VecDeque<ClientId>,
}

impl LoadHistory {
    /// Records a load of a client.
    pub fn record(&mut self, now: Micros, client: &ClientId, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        if let Some((average, recorded_at)) = self.loads.get_mut(client) {
            let expired = now.saturating_sub(*recorded_at) > RETENTION;
            (*average, *recorded_at) =
                (if expired { load } else { *average + NEW_VALUE_WEIGHT * (load - *average) }, now);
            return;
        }
        self.loads.insert(client.clone(), (load, now));
        self.order.push_back(client.clone());
        if self.order.len() > MAX_CLIENTS {
            self.order.pop_front().into_iter().for_each(|first| {
                self.loads.remove(&first);
            });
        }
    }

    /// Returns the average of a client's recent loads.
    pub fn recent_load(&self, now: Micros, client: &ClientId) -> Option<f64> {
        let (load, recorded_at) = self.loads.get(client)?;
        (now.saturating_sub(*recorded_at) <= RETENTION).then_some(*load)
    }
}

#[cfg(test)]
#[path = "load_history_tests.rs"]
mod tests;
