//! How far each server is from its share, and whether a move helps.

use crate::api::{HostId, HostView, Micros};
use std::collections::BTreeMap;

/// A home takes moves from this part of its warmth on; until then new connections alone fill it.
const WARM: f64 = 0.6;

/// A home counts as back for so long after its start. Others are under their share for reasons that moves do not
/// mend: bounded load and ceilings send connections away from them, and would again.
const BACK: Micros = 600_000_000;

#[derive(Clone, Copy, Debug)]
struct Side {
    load: f64,
    size: f64,
    able: bool,
}

/// The loads of one balancer's servers beside their shares.
#[derive(Clone, Debug)]
pub struct Balance {
    sides: BTreeMap<HostId, Side>,
    /// Load for each unit of size, over all that are able.
    even: f64,
    band: f64,
}

impl Balance {
    /// Of these hosts. A size counts as much as its server is warm.
    pub fn new(now: Micros, hosts: &[HostView], band: f64) -> Balance {
        let back = |h: &HostView| h.ready_at > 0 && now < h.ready_at.saturating_add(BACK);
        let side = |h: &HostView| Side {
            load: h.load,
            size: h.size * h.warmth,
            able: h.accepts_connections && back(h) && h.warmth >= WARM,
        };
        let sides: BTreeMap<HostId, Side> = hosts.iter().map(|h| (h.host, side(h))).collect();
        let size: f64 = sides.values().map(|s| s.size).sum();
        let load: f64 = sides.values().map(|s| s.load).sum();
        Balance { sides, even: load / size.max(f64::MIN_POSITIVE), band }
    }

    /// The largest load over its share; 1 is even.
    pub fn worst(&self) -> f64 {
        let over = self.sides.values().filter(|s| s.size > 0.0).map(|s| s.load / s.size);
        over.fold(0.0, f64::max) / self.even.max(f64::MIN_POSITIVE)
    }

    /// Whether a move of so much load from one to the other is wanted: the second is back and under its share by the
    /// band, the first is not under its own, and would be no lower than the second afterwards.
    pub fn would(&self, from: HostId, to: HostId, load: f64) -> bool {
        let (Some(a), Some(b)) = (self.sides.get(&from), self.sides.get(&to)) else { return false };
        if from == to || !b.able || b.size <= 0.0 || a.size <= 0.0 {
            return false;
        }
        let under = b.load / b.size < self.even * (1.0 - self.band) && a.load / a.size >= self.even;
        under && (a.load - load) / a.size >= (b.load + load) / b.size
    }

    /// The move is made.
    pub fn shift(&mut self, from: HostId, to: HostId, load: f64) {
        self.sides.entry(from).and_modify(|s| s.load -= load);
        self.sides.entry(to).and_modify(|s| s.load += load);
    }
}
