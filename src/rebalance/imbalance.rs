//! Compares the load of each server with its share, and decides whether a move reduces the imbalance.

use crate::api::{HostId, HostView, Micros};
use std::collections::BTreeMap;

/// Warmth from which a home accepts moves, as a part of its full capacity (unitless). Below it, only new connections
/// add load to the home.
const MIN_HOME_WARMTH: f64 = 0.6;

/// Time after its start during which a home counts as back. A server that has run for longer is under its share because
/// bounded load and ceilings send connections elsewhere, and they would send a moved connection elsewhere again.
const RETURN_WINDOW_US: Micros = 600_000_000;

#[derive(Clone, Copy, Debug)]
struct ServerLoad {
    load: f64,
    size: f64,
    accepts_moves: bool,
}

/// The loads of the servers of one balancer, compared with their shares.
#[derive(Clone, Debug)]
pub struct LoadBalance {
    servers: BTreeMap<HostId, ServerLoad>,
    /// Total load divided by total size.
    mean_load_per_size: f64,
    dead_band: f64,
}

impl LoadBalance {
    /// Creates the comparison for these hosts. A size counts in proportion to the warmth of its server.
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

    /// Returns the largest ratio of a load to its share; 1 is even.
    pub fn max_load_ratio(&self) -> f64 {
        let over = self.servers.values().filter(|s| s.size > 0.0).map(|s| s.load / s.size);
        over.fold(0.0, f64::max) / self.mean_load_per_size.max(f64::MIN_POSITIVE)
    }

    /// Returns whether moving `load` from one server to the other reduces the imbalance: the target was started
    /// recently and is below its share by the dead band, the source is not below its own share, and after the move the
    /// source is still no lower than the target, relative to size.
    pub fn move_helps(&self, from: HostId, to: HostId, load: f64) -> bool {
        let (Some(source), Some(target)) = (self.servers.get(&from), self.servers.get(&to)) else {
            return false;
        };
        if from == to || !target.accepts_moves || target.size <= 0.0 || source.size <= 0.0 {
            return false;
        }
        let uneven = target.load / target.size < self.mean_load_per_size * (1.0 - self.dead_band)
            && source.load / source.size >= self.mean_load_per_size;
        uneven && (source.load - load) / source.size >= (target.load + load) / target.size
    }

    /// Applies a move to the loads.
    pub fn apply_move(&mut self, from: HostId, to: HostId, load: f64) {
        self.servers.entry(from).and_modify(|s| s.load -= load);
        self.servers.entry(to).and_modify(|s| s.load += load);
    }
}
