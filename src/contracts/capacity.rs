//! The number of connections that this balancer's part of the fleet can hold: stated by the operator, or learned
//! from requests for which no instance was found. It shrinks when instances fail.
//!
//! Stated: `connections / balancers x usable / whole`, where `usable` is the size of the instances that are ready
//! and not known to be down, and `whole` that of the stated number of instances, or the largest size that was ready
//! at one time. Learned: unbounded until a request that contracts admitted finds no instance; then the number held
//! at that moment, relative to the usable size at that moment, growing by a tenth each second that passes without
//! another. It scales with `usable` in the same way.

use crate::api::{HostId, Micros};
use std::collections::BTreeMap;

/// After this time (in microseconds) without another unplaced request, a learned capacity has grown by the factor e:
/// about a tenth a second.
const LEARNED_GROWTH_US: f64 = 10e6;
/// An instance counts as down after this number of consecutive attempts that could not connect or were not answered,
/// until one is served there or the list says that the instance was restarted.
const DOWN_AFTER_FAILURES: u32 = 3;
/// A learned capacity of this number of connections or more counts as unbounded.
const MAX_LEARNED_CONNECTIONS: f64 = 1e9;

#[derive(Clone, Copy, Debug)]
struct Instance {
    size: f64,
    ready_at: Micros,
    consecutive_failures: u32,
}

/// The capacity of this balancer's part of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    stated: Option<f64>,
    instances: Option<u32>,
    ready: BTreeMap<HostId, Instance>,
    /// The largest total size that was ready at one time.
    max_ready_size: f64,
    /// Connections for each unit of size, and when that was learned.
    learned: Option<(f64, Micros)>,
}

impl Capacity {
    /// Sets the capacity that was stated for this balancer, and for how many instances.
    pub fn set_stated(&mut self, stated: Option<f64>, instances: Option<u32>) {
        (self.stated, self.instances) = (stated, instances);
    }

    /// Sets the instances that the list names as ready: their sizes, and when they were started.
    pub fn set_ready(&mut self, ready: impl IntoIterator<Item = (HostId, f64, Micros)>) {
        let before = std::mem::take(&mut self.ready);
        for (host, size, ready_at) in ready {
            let same = before.get(&host).filter(|known| known.ready_at == ready_at);
            let consecutive_failures = same.map_or(0, |known| known.consecutive_failures);
            self.ready.insert(
                host,
                Instance { size: if size > 0.0 { size } else { 1.0 }, ready_at, consecutive_failures },
            );
        }
        self.max_ready_size = self.max_ready_size.max(self.ready.values().map(|i| i.size).sum());
    }

    /// Records that an attempt at an instance was served, or that it could not connect or was not answered. Returns
    /// whether the instance went down or came up.
    pub fn record_attempt(&mut self, host: HostId, served: bool) -> bool {
        let Some(instance) = self.ready.get_mut(&host) else { return false };
        let was_down = instance.consecutive_failures >= DOWN_AFTER_FAILURES;
        instance.consecutive_failures =
            if served { 0 } else { instance.consecutive_failures.saturating_add(1) };
        was_down != (instance.consecutive_failures >= DOWN_AFTER_FAILURES)
    }

    /// Returns the total size of the instances that are ready and not known to be down.
    fn usable_size(&self) -> f64 {
        self.ready.values().filter(|i| i.consecutive_failures < DOWN_AFTER_FAILURES).map(|i| i.size).sum()
    }

    /// Records that an admitted request found no instance while `held` connections were held.
    pub fn record_unplaced(&mut self, now: Micros, held: u32) {
        let usable = self.usable_size();
        if self.stated.is_none() && usable > 0.0 {
            self.learned = Some((f64::from(held.max(1)) / usable, now));
        }
    }

    /// Returns the number of connections that the fleet part can hold now; none where nothing bounds it.
    pub fn current(&self, now: Micros) -> Option<f64> {
        let usable = self.usable_size();
        match (self.stated, self.learned) {
            (Some(stated), _) => {
                // Sizes come from weights, which are known only for ready instances: their mean is used for the rest.
                let size: f64 = self.ready.values().map(|i| i.size).sum();
                let mean = size / (self.ready.len() as f64).max(1.0);
                let whole = self.instances.map_or(self.max_ready_size, |n| f64::from(n) * mean);
                Some(if whole > 0.0 { stated * (usable / whole).min(1.0) } else { stated })
            }
            (None, Some((per_size, at))) => {
                let grown = per_size * (now.saturating_sub(at) as f64 / LEARNED_GROWTH_US).exp();
                Some(grown * usable).filter(|c| c.is_finite() && *c < MAX_LEARNED_CONNECTIONS)
            }
            (None, None) => None,
        }
    }

    /// Returns whether the capacity changes as time passes.
    pub fn is_growing(&self) -> bool {
        self.stated.is_none() && self.learned.is_some()
    }
}
