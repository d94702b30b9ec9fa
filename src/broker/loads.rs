//! What clients asked for when they were last here, by client key: a client that comes again after a move or a break
//! asks for about the same, but its instance may not tell that for seconds.
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

/// The memory.
#[derive(Debug, Default)]
pub struct Loads {
    known: BTreeMap<Arc<str>, (f64, Micros)>,
    /// In the order in which they were first told.
    order: VecDeque<Arc<str>>,
}

impl Loads {
    /// A client's load was told.
    pub fn told(&mut self, now: Micros, key: &Arc<str>, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        if let Some((known, at)) = self.known.get_mut(key) {
            let old = now.saturating_sub(*at) > KEPT;
            (*known, *at) = (if old { load } else { *known + NEW * (load - *known) }, now);
            return;
        }
        self.known.insert(key.clone(), (load, now));
        self.order.push_back(key.clone());
        if self.order.len() > MOST {
            self.order.pop_front().into_iter().for_each(|first| {
                self.known.remove(&first);
            });
        }
    }

    /// What a client is held to ask for.
    pub fn usual(&self, now: Micros, key: &str) -> Option<f64> {
        let (load, at) = self.known.get(key)?;
        (now.saturating_sub(*at) <= KEPT).then_some(*load)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with every client, and loads of long ago.
    #[test]
    fn the_latest_are_known_for_a_while() {
        let mut loads = Loads::default();
        let key = |i: usize| Arc::from(format!("{i}"));
        (0..MOST + 10).for_each(|i| loads.told(0, &key(i), 100.0));
        loads.told(0, &key(MOST), 200.0);
        loads.told(0, &key(MOST), f64::NAN);
        assert_eq!((loads.known.len(), loads.order.len()), (MOST, MOST));
        assert_eq!(loads.usual(0, "9"), None);
        assert_eq!(loads.usual(KEPT, "10"), Some(100.0));
        assert_eq!(loads.usual(KEPT, &key(MOST)), Some(150.0));
        assert_eq!(loads.usual(KEPT + 1, "10"), None);
        loads.told(KEPT + 1, &key(10), 7.0);
        assert_eq!(loads.usual(KEPT + 1, "10"), Some(7.0));
    }
}
