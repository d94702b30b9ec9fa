//! The instances on the list of discovery: their addresses, states, and what is known of their message delays.

use crate::api::{Entry, HostId, HostState, ListKind, Micros};
use crate::wire::Names;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh64::xxh64;

/// An update of the instance list, in the format of discovery.
#[derive(Deserialize, Debug)]
pub struct Listing {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// One entry of the list.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    /// Name, the same at every balancer.
    pub name: String,
    /// Address for this balancer.
    pub address: String,
    /// Name of the zone.
    pub zone: Option<String>,
    /// Number of the cell.
    pub group: Option<u32>,
    /// `ready`, `draining` or `gone`.
    pub status: String,
    /// Size relative to other instances.
    pub weight: Option<f64>,
    /// Time of the last start, in Unix milliseconds; 0 for a start long ago.
    pub since_ms: Option<f64>,
}

/// A listed instance.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: Rc<str>,
    /// Address of the instance.
    pub address: SocketAddr,
    /// State in the latest update.
    pub state: HostState,
    /// Time at which unanswered messages were last reported to the decision module; `None` once a message has come
    /// back.
    pub slow_reported_at: Option<Micros>,
    /// Time at which the instance last returned a message on any connection.
    pub last_message_at: Micros,
    /// Classifier of its `LOAD` lines.
    pub load_line_classifier: LoadLineClassifier,
}

/// Distinguishes the two meanings of `LOAD X`: the load of the connection, in microseconds of work per second, and the
/// delay of a message at the instance, in milliseconds. The line itself does not say which. But a delay comes a whole
/// number of seconds after the previous delay, on whatever connection, for as long as the instance runs (within 2 ms
/// over whole days), and only while messages are slow.
#[derive(Debug, Default, Clone, Copy)]
pub struct LoadLineClassifier {
    /// Time and value of the last delay, or of the last value in phase with the delays.
    last_delay: Option<(Micros, f64)>,
    /// Time of a value that may be the first delay with a new phase.
    candidate: Option<Micros>,
}

/// Number of microseconds in a second.
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Largest distance from a whole second of a value in phase: this process may handle it late.
const PHASE_TOLERANCE: Micros = 60_000;
/// Load, in microseconds of work per second, below which a connection is nearly idle. A lower value is most likely a
/// delay.
const MAX_NEARLY_IDLE_LOAD: f64 = 2_000.0;
/// Limit in milliseconds below which the first low value of an instance is taken as a delay before a second one in
/// phase: overload at the start must be detected without waiting, and hardly any load is so low.
const MAX_FIRST_DELAY_MS: f64 = 500.0;
/// Growth of the delay per second, in milliseconds, at an instance that has stopped working.
const STOPPED_GROWTH_MS: f64 = 1000.0;
/// Tolerance of this growth, in milliseconds.
const STOPPED_GROWTH_TOLERANCE_MS: f64 = 100.0;
/// Longest delay, in milliseconds, that a working instance reports: it drops messages that have to wait longer.
const MAX_QUEUED_DELAY_MS: f64 = 5_000.0;

impl LoadLineClassifier {
    /// Returns the message delay if the value is classified as one.
    pub fn message_delay(&mut self, now: Micros, value: f64) -> Option<Micros> {
        let in_phase = |at: Micros| {
            let (span, offset) = (now.saturating_sub(at), now.saturating_sub(at) % MICROS_PER_SECOND);
            span > PHASE_TOLERANCE && offset.min(MICROS_PER_SECOND - offset) <= PHASE_TOLERANCE
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
        // The delay at an instance that has stopped working grows by one second each second.
        let grows_with_time = previous
            .is_some_and(|(_, last)| (value - last - STOPPED_GROWTH_MS).abs() < STOPPED_GROWTH_TOLERANCE_MS);
        if value < MAX_QUEUED_DELAY_MS || grows_with_time {
            (self.last_delay, self.candidate) = (Some((now, value)), None);
            return Some((value * 1000.0) as Micros);
        }
        // Otherwise it is a load in phase by chance, or the first delay after the instance has stopped.
        self.last_delay = previous.map(|(at, _)| (at, value));
        None
    }
}

/// The listed instances.
#[derive(Default)]
pub struct Instances {
    by_id: BTreeMap<HostId, Instance>,
    /// Version of the list in use.
    pub list_version: u64,
}

/// Returns the id of an instance, derived from its name alone: every balancer must derive the same one, since the ring
/// is built from it. The platform's names end in an id of eight hexadecimal digits; other names are hashed.
pub fn instance_id(name: &str) -> HostId {
    let tail = name.rsplit('-').next().unwrap_or_default();
    match HostId::from_str_radix(tail, 16) {
        Ok(id) if tail.len() == 8 => id,
        _ => xxh64(name.as_bytes(), 0) as HostId,
    }
}

impl Instances {
    /// Applies an update and returns its entries for the decision module. An invalid entry is logged and skipped; the
    /// others are applied.
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
                        "discovery: instance {} has the unknown status {other:?}: skipped",
                        e.name
                    );
                    continue;
                }
            };
            let id = instance_id(&e.name);
            let known = self.by_id.get(&id);
            // Two names with one id would be handled as one instance, and connections would go to the wrong one.
            if known.is_some_and(|known| *known.name != *e.name) {
                tracing::warn!("discovery: instance {} has the same id as another one: skipped", e.name);
                continue;
            }
            let address = e.address.parse().ok().or(known.map(|known| known.address));
            let Some(address) = address else {
                tracing::warn!(
                    "discovery: instance {} has an invalid address {:?}: skipped",
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
            let zone = e.zone.as_deref().and_then(|zone| names.zone_index(zone));
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
            // Instances that a complete list leaves out are gone.
            let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            for (_, left) in self.by_id.iter_mut().filter(|(id, _)| !named.contains(id)) {
                tracing::info!("discovery: instance {} is no longer listed", left.name);
                left.state = HostState::Gone;
            }
        }
        self.by_id.retain(|_, i| i.state != HostState::Gone);
        entries
    }

    /// Returns the number of listed instances.
    pub fn listed_count(&self) -> usize {
        self.by_id.len()
    }

    /// Returns an instance by its id.
    pub fn get(&self, id: HostId) -> Option<&Instance> {
        self.by_id.get(&id)
    }

    /// Returns an instance by its id, mutably.
    pub fn get_mut(&mut self, id: HostId) -> Option<&mut Instance> {
        self.by_id.get_mut(&id)
    }

    /// Returns whether an instance accepts new connections.
    pub fn is_ready(&self, id: HostId) -> bool {
        self.get(id).is_some_and(|i| i.state == HostState::Ready)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against delays taken for loads, which make an overloaded instance look idle, and loads taken for delays.
    #[test]
    fn values_in_phase_are_delays_and_values_at_other_times_are_loads() {
        let mut classifier = LoadLineClassifier::default();
        let mut delay_ms =
            |ms: u64, value: f64| classifier.message_delay(77_000_000 + ms * 1000, value).map(|us| us / 1000);
        assert_eq!(delay_ms(100, 70_576.8), None);
        // A low first value is a delay at once; later ones only a whole number of seconds after the last.
        assert_eq!(delay_ms(500, 1_380.4), None);
        assert_eq!(delay_ms(873, 345.9), None);
        assert_eq!(delay_ms(1_873, 845.9), Some(845));
        assert_eq!(delay_ms(2_240, 1_420.0), None, "the load of a nearly idle connection");
        assert_eq!(delay_ms(2_874, 2_682.0), Some(2_682));
        assert_eq!(delay_ms(2_900, 31_827.8), None);
        assert_eq!(delay_ms(4_874, 38.4), Some(38));
        assert_eq!(delay_ms(5_875, 31_827.8), None, "a load in phase by chance");
        // The instance has stopped working: its delay grows with time.
        assert_eq!(delay_ms(6_873, 60_802.4), None);
        assert_eq!(delay_ms(7_873, 61_802.4), Some(61_802));
        assert_eq!(delay_ms(8_873, 62_802.4), Some(62_802));
        // The instance has restarted, and its delays have a new phase.
        assert_eq!(delay_ms(20_100, 66.1), None);
        assert_eq!(delay_ms(21_101, 72.3), Some(72));
        assert_eq!(delay_ms(22_100, 80.0), Some(80));
        assert_eq!(LoadLineClassifier::default().message_delay(0, 345.9), Some(345_900));
        // One connection in twenty-five has such a low load; taken for a delay, it moved a client away from a healthy
        // instance.
        assert_eq!(LoadLineClassifier::default().message_delay(0, 3_297.4), None);
    }
}
