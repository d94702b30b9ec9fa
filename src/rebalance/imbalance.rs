//! How far each server is from its share, and whether a move helps.

use crate::api::{HostId, HostView, Micros};
use std::collections::BTreeMap;

/// A home takes moves from this part of its warmth on; until then new connections alone fill it.
const MIN_HOME_WARMTH: f64 = 0.6;

/// A home counts as back for so long after its start. Others are under their share for reasons that moves do not
/// mend: bounded load and ceilings send connections away from them, and would again.
const RETURN_WINDOW_US: Micros = 600_000_000;

#[derive(Clone, Copy, Debug)]
struct ServerLoad {
    load: f64,
    size: f64,
    accepts_moves: bool,
}

/// The loads of one balancer's servers beside their shares.
#[derive(Clone, Debug)]
pub struct LoadBalance {
    servers: BTreeMap<HostId, ServerLoad>,
    /// Load for each unit of size, over all that are able.
    mean_load_per_size: f64,
    dead_band: f64,
}

impl LoadBalance {
    /// Of these hosts. A size counts as much as its server is warm.
    pub fn new(now: Micros, hosts: &[HostView], dead_band: f64) -> LoadBalance {
        let recently_started =
            |h: &HostView| h.ready_at > 0 && now < h.ready_at.saturating_add(RETURN_WINDOW_US);
        let server_load = |h: &HostView| ServerLoad {
            load: h.load,
            size: h.size * h.warmth,
            accepts_moves: h.accepts_connections && recently_started(h) && h.warmth >= MIN_HOME_WARMTH,
        };
        let servers: BTreeMap<HostId, ServerLoad> = hosts.iter().map(|h| (h.host, server_load(h))).collect();
        let size: f64 = servers.values().map(|s| s.size).sum();
        let load: f64 = servers.values().map(|s| s.load).sum();
        LoadBalance { servers, mean_load_per_size: load / size.max(f64::MIN_POSITIVE), dead_band }
    }

    /// The largest load over its share; 1 is even.
    pub fn max_load_ratio(&self) -> f64 {
        let over = self.servers.values().filter(|s| s.size > 0.0).map(|s| s.load / s.size);
        over.fold(0.0, f64::max) / self.mean_load_per_size.max(f64::MIN_POSITIVE)
    }

    /// Whether a move of so much load from one to the other is wanted: the second is back and under its share by the
    /// band, the first is not under its own, and would be no lower than the second afterwards.
    pub fn move_helps(&self, from: HostId, to: HostId, load: f64) -> bool {
        let (Some(a), Some(b)) = (self.servers.get(&from), self.servers.get(&to)) else { return false };
        if from == to || !b.accepts_moves || b.size <= 0.0 || a.size <= 0.0 {
            return false;
        }
        let uneven = b.load / b.size < self.mean_load_per_size * (1.0 - self.dead_band)
            && a.load / a.size >= self.mean_load_per_size;
        uneven && (a.load - load) / a.size >= (b.load + load) / b.size
    }

    /// The move is made.
    pub fn apply_move(&mut self, from: HostId, to: HostId, load: f64) {
        self.servers.entry(from).and_modify(|s| s.load -= load);
        self.servers.entry(to).and_modify(|s| s.load += load);
    }
}
