//! What clients asked for when they were last here, by team and client key: a client that comes again after a move or a
//! break asks for about the same, but its instance may not tell that for seconds.
//!
//! Promised: bounded memory, and nothing older than [`RETENTION`].

use crate::api::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// So long a load is remembered: it changes every few seconds, about a usual one.
const RETENTION: Micros = 120_000_000;
/// So many clients are remembered, the latest.
const MAX_CLIENTS: usize = 8_192;
/// How much of what is remembered a new figure replaces.
const NEW_VALUE_WEIGHT: f64 = 0.5;

/// Who a client is: its team, where it named one, and its key, which is that team's own.
pub type ClientId = (Option<Arc<str>>, Arc<str>);

/// The memory.
#[derive(Debug, Default)]
pub struct LoadHistory {
    loads: BTreeMap<ClientId, (f64, Micros)>,
    /// In the order in which they were first told.
    order: VecDeque<ClientId>,
}

impl LoadHistory {
    /// A client's load was told.
    pub fn record(&mut self, now: Micros, client: &ClientId, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        if let Some((known, at)) = self.loads.get_mut(client) {
            let old = now.saturating_sub(*at) > RETENTION;
            (*known, *at) = (if old { load } else { *known + NEW_VALUE_WEIGHT * (load - *known) }, now);
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

    /// What a client is held to ask for.
    pub fn recent_load(&self, now: Micros, client: &ClientId) -> Option<f64> {
        let (load, at) = self.loads.get(client)?;
        (now.saturating_sub(*at) <= RETENTION).then_some(*load)
    }
}

#[cfg(test)]
#[path = "load_history_tests.rs"]
mod tests;
