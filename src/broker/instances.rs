//! The instances that discovery has named: where they are and whether they take anything new.

use crate::api::{Entry, HostId, HostState, ListKind, Micros};
use crate::wire::Names;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh64::xxh64;

/// News of the list, in discovery's form.
#[derive(Deserialize, Debug)]
pub struct Listing {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// One entry of the list.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    /// Its name, the same at every balancer.
    pub name: String,
    /// Where it is reached from here.
    pub address: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Its cell.
    pub group: Option<u32>,
    /// `ready`, `draining` or `gone`.
    pub status: String,
    /// Its size beside others.
    pub weight: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub since_ms: Option<f64>,
}

/// An instance as the network sees it.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its state as last told.
    pub state: HostState,
    /// When messages there were last told to be slow; none when they are not.
    pub slow: Option<Micros>,
}

/// All instances.
#[derive(Default)]
pub struct Instances {
    by_id: BTreeMap<HostId, Instance>,
    /// Version of the list held.
    pub index: u64,
}

/// The number of an instance, made from its name alone: every balancer must come to the same one, since the
/// ring is built from it. The platform's names end in a number of eight hex digits; others are hashed.
pub fn number(name: &str) -> HostId {
    let tail = name.rsplit('-').next().unwrap_or_default();
    match HostId::from_str_radix(tail, 16) {
        Ok(id) if tail.len() == 8 => id,
        _ => xxh64(name.as_bytes(), 0) as HostId,
    }
}

impl Instances {
    /// Takes news in and hands on what the module is to be told of it. What an entry has wrong is logged and
    /// the entry passed over: the others stand.
    pub fn news(&mut self, kind: ListKind, listing: Listing, names: &Names) -> Vec<Entry> {
        self.index = listing.index;
        let mut entries = Vec::new();
        for e in listing.endpoints {
            let state = match e.status.as_str() {
                "ready" => HostState::Ready,
                "draining" => HostState::Draining,
                "gone" => HostState::Gone,
                other => {
                    log::warn!(
                        "discovery: instance {} has the unknown status {other:?}: passed over",
                        e.name
                    );
                    continue;
                }
            };
            let id = number(&e.name);
            let known = self.by_id.get(&id);
            // Two names with one number would be taken for one instance, and connections end up elsewhere.
            if known.is_some_and(|known| *known.name != *e.name) {
                log::warn!("discovery: instance {} has the number of another one: passed over", e.name);
                continue;
            }
            let address = e.address.parse().ok().or(known.map(|k| k.address));
            let Some(address) = address else {
                log::warn!("discovery: instance {} has no address in {:?}: passed over", e.name, e.address);
                continue;
            };
            if known.is_none_or(|known| known.state != state) {
                log::info!("discovery: instance {} at {address} is {}", e.name, e.status);
            }
            let slow = known.and_then(|known| known.slow);
            let zone = e.zone.as_deref().and_then(|zone| names.zone(zone));
            let ready_at = (e.since_ms.unwrap_or(0.0).max(0.0) * 1000.0) as Micros;
            let (cell, weight) = (e.group.unwrap_or(0), e.weight.unwrap_or(1.0));
            entries.push(Entry { host: id, state, ready_at, zone, cell, weight });
            self.by_id.insert(id, Instance { name: e.name.into(), address, state, slow });
        }
        if kind != ListKind::Changes {
            // What a whole list leaves out is gone.
            let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            for (_, left) in self.by_id.iter_mut().filter(|(id, _)| !named.contains(id)) {
                log::info!("discovery: instance {} is no longer listed", left.name);
                left.state = HostState::Gone;
            }
        }
        self.by_id.retain(|_, i| i.state != HostState::Gone);
        entries
    }

    /// One of them.
    pub fn get(&self, id: HostId) -> Option<&Instance> {
        self.by_id.get(&id)
    }

    /// One of them, to be changed.
    pub fn get_mut(&mut self, id: HostId) -> Option<&mut Instance> {
        self.by_id.get_mut(&id)
    }

    /// Whether something new may be sent there.
    pub fn takes(&self, id: HostId) -> bool {
        self.get(id).is_some_and(|i| i.state == HostState::Ready)
    }
}
