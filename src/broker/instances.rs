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
    /// When messages there were last told to be out; none when they are not.
    pub slow_reported_at: Option<Micros>,
    /// When it last brought a message back, on any connection.
    pub last_message_at: Micros,
    /// How it tells of slow messages.
    pub load_line_classifier: LoadLineClassifier,
}

/// Tells apart the two figures that come as `LOAD X`: the load of the connection, in microseconds of work a
/// second, and the time that a message takes at the instance, in milliseconds. Nothing in the line does. But the
/// second comes at whole seconds after the one before, whatever its connection, for as long as the instance runs
/// (seen within 2 ms over whole days), and is told only while messages are slow.
#[derive(Debug, Default, Clone, Copy)]
pub struct LoadLineClassifier {
    /// The last value that came on the beat, and when.
    last_delay: Option<(Micros, f64)>,
    /// One that may have begun another previous.
    candidate: Option<Micros>,
}

/// So far from a whole second a value may come and be on the beat: we may be late ourselves.
const PHASE_TOLERANCE: Micros = 60_000;
/// A connection that asks for less work, in microseconds a second, is next to idle: most likely it is a time.
const MAX_NEARLY_IDLE_LOAD: f64 = 2_000.0;
/// Below this, the first such value of an instance is believed without another on its beat: overload at the start
/// must not wait, and hardly any load is so low.
const MAX_FIRST_DELAY_MS: f64 = 500.0;
/// The longest time, in milliseconds, that is told while an instance works: it drops what has to wait longer.
const MAX_QUEUED_DELAY_MS: f64 = 5_000.0;

impl LoadLineClassifier {
    /// The time that a message takes, if that is what this value means.
    pub fn message_delay(&mut self, now: Micros, value: f64) -> Option<Micros> {
        let in_phase = |at: Micros| {
            let (span, off) = (now.saturating_sub(at), now.saturating_sub(at) % 1_000_000);
            span > PHASE_TOLERANCE && off.min(1_000_000 - off) <= PHASE_TOLERANCE
        };
        let previous = match (self.last_delay, self.candidate) {
            (Some((at, _)), _) if in_phase(at) => self.last_delay,
            (_, Some(at)) if in_phase(at) && value < MAX_NEARLY_IDLE_LOAD => Some((at, value)),
            (None, None) if value < MAX_FIRST_DELAY_MS => None,
            _ => {
                if value < MAX_NEARLY_IDLE_LOAD {
                    self.candidate = Some(now);
                }
                return None;
            }
        };
        // One that has stopped working has it grow by a second each second.
        let grows_with_time = previous.is_some_and(|(_, last)| (value - last - 1000.0).abs() < 100.0);
        if value < MAX_QUEUED_DELAY_MS || grows_with_time {
            (self.last_delay, self.candidate) = (Some((now, value)), None);
            return Some((value * 1000.0) as Micros);
        }
        // Else it is a load that came then by chance, or the first after it stopped.
        self.last_delay = previous.map(|(at, _)| (at, value));
        None
    }
}

/// All instances.
#[derive(Default)]
pub struct Instances {
    by_id: BTreeMap<HostId, Instance>,
    /// Version of the list held.
    pub list_version: u64,
}

/// The number of an instance, made from its name alone: every balancer must come to the same one, since the
/// ring is built from it. The platform's names end in a number of eight hex digits; others are hashed.
pub fn instance_id(name: &str) -> HostId {
    let tail = name.rsplit('-').next().unwrap_or_default();
    match HostId::from_str_radix(tail, 16) {
        Ok(id) if tail.len() == 8 => id,
        _ => xxh64(name.as_bytes(), 0) as HostId,
    }
}

impl Instances {
    /// Takes news in and hands on what the module is to be told of it. What an entry has wrong is logged and
    /// the entry passed over: the others stand.
    pub fn apply_update(&mut self, kind: ListKind, listing: Listing, names: &Names) -> Vec<Entry> {
        self.list_version = listing.index;
        let mut entries = Vec::new();
        for e in listing.endpoints {
            let state = match e.status.as_str() {
                "ready" => HostState::Ready,
                "draining" => HostState::Draining,
                "gone" => HostState::Gone,
                other => {
                    tracing::warn!(
                        "discovery: instance {} has the unknown status {other:?}: passed over",
                        e.name
                    );
                    continue;
                }
            };
            let id = instance_id(&e.name);
            let known = self.by_id.get(&id);
            // Two names with one number would be taken for one instance, and connections end up elsewhere.
            if known.is_some_and(|known| *known.name != *e.name) {
                tracing::warn!("discovery: instance {} has the number of another one: passed over", e.name);
                continue;
            }
            let address = e.address.parse().ok().or(known.map(|known| known.address));
            let Some(address) = address else {
                tracing::warn!(
                    "discovery: instance {} has no address in {:?}: passed over",
                    e.name,
                    e.address
                );
                continue;
            };
            if known.is_none_or(|known| known.state != state) {
                tracing::info!("discovery: instance {} at {address} is {}", e.name, e.status);
            }
            let (slow_reported_at, last_message_at, load_line_classifier) = known
                .map(|known| (known.slow_reported_at, known.last_message_at, known.load_line_classifier))
                .unwrap_or_default();
            let zone = e.zone.as_deref().and_then(|zone| names.zone(zone));
            let ready_at = (e.since_ms.unwrap_or(0.0).max(0.0) * 1000.0) as Micros;
            let (cell, weight) = (e.group.unwrap_or(0), e.weight.unwrap_or(1.0));
            entries.push(Entry { host: id, state, ready_at, zone, cell, weight });
            self.by_id.insert(
                id,
                Instance {
                    name: e.name.into(),
                    address,
                    state,
                    slow_reported_at,
                    last_message_at,
                    load_line_classifier,
                },
            );
        }
        if kind != ListKind::Changes {
            // What a whole list leaves out is gone.
            let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            for (_, left) in self.by_id.iter_mut().filter(|(id, _)| !named.contains(id)) {
                tracing::info!("discovery: instance {} is no longer listed", left.name);
                left.state = HostState::Gone;
            }
        }
        self.by_id.retain(|_, i| i.state != HostState::Gone);
        entries
    }

    /// How many the list names.
    pub fn listed_count(&self) -> usize {
        self.by_id.len()
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
    pub fn is_ready(&self, id: HostId) -> bool {
        self.get(id).is_some_and(|i| i.state == HostState::Ready)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against times taken for loads (an overloaded instance then looks idle) and loads for times.
    #[test]
    fn times_come_on_the_beat_and_loads_when_they_like() {
        let mut load_line_classifier = LoadLineClassifier::default();
        let mut read = |ms: u64, value: f64| {
            load_line_classifier.message_delay(77_000_000 + ms * 1000, value).map(|us| us / 1000)
        };
        assert_eq!(read(100, 70_576.8), None);
        // The first is believed at once if it is low; then only what comes a whole second later or several.
        assert_eq!(read(500, 1_380.4), None);
        assert_eq!(read(873, 345.9), None);
        assert_eq!(read(1_873, 845.9), Some(845));
        assert_eq!(read(2_240, 1_420.0), None, "a connection that is next to idle");
        assert_eq!(read(2_874, 2_682.0), Some(2_682));
        assert_eq!(read(2_900, 31_827.8), None);
        assert_eq!(read(4_874, 38.4), Some(38));
        assert_eq!(read(5_875, 31_827.8), None, "a load that comes on the beat by chance");
        // It stopped working: its time grows_with_time with the clock.
        assert_eq!(read(6_873, 60_802.4), None);
        assert_eq!(read(7_873, 61_802.4), Some(61_802));
        assert_eq!(read(8_873, 62_802.4), Some(62_802));
        // It started anew, and has another previous.
        assert_eq!(read(20_100, 66.1), None);
        assert_eq!(read(21_101, 72.3), Some(72));
        assert_eq!(read(22_100, 80.0), Some(80));
        assert_eq!(LoadLineClassifier::default().message_delay(0, 345.9), Some(345_900));
        // One connection in twenty-five asks for so little: read as a time, it moved its client off a sound instance.
        assert_eq!(LoadLineClassifier::default().message_delay(0, 3_297.4), None);
    }
}
