//! What clients asked for when they were last here, by team and client key: a client that comes again after a move or a
//! break asks for about the same, but its instance may not tell that for seconds.
//!
//! Promised: bounded memory, and nothing older than [`KEPT`].

use crate::api::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// So long a load is remembered: it changes every few seconds, about a usual one.
const KEPT: Micros = 120_000_000;
/// So many clients are remembered, the latest.
const MOST: usize = 8_192;
/// How much of what is remembered a new figure replaces.
const NEW: f64 = 0.5;

/// Who a client is: its team, where it named one, and its key, which is that team's own.
pub type Client = (Option<Arc<str>>, Arc<str>);

/// The memory.
#[derive(Debug, Default)]
pub struct Loads {
    known: BTreeMap<Client, (f64, Micros)>,
    /// In the order in which they were first told.
    order: VecDeque<Client>,
}

impl Loads {
    /// A client's load was told.
    pub fn told(&mut self, now: Micros, client: &Client, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        if let Some((known, at)) = self.known.get_mut(client) {
            let old = now.saturating_sub(*at) > KEPT;
            (*known, *at) = (if old { load } else { *known + NEW * (load - *known) }, now);
            return;
        }
        self.known.insert(client.clone(), (load, now));
        self.order.push_back(client.clone());
        if self.order.len() > MOST {
            self.order.pop_front().into_iter().for_each(|first| {
                self.known.remove(&first);
            });
        }
    }

    /// What a client is held to ask for.
    pub fn usual(&self, now: Micros, client: &Client) -> Option<f64> {
        let (load, at) = self.known.get(client)?;
        (now.saturating_sub(*at) <= KEPT).then_some(*load)
    }
}

#[cfg(test)]
#[path = "loads_tests.rs"]
mod tests;
