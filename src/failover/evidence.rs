//! What a balancer's own sockets show of each zone, summed into a digest of bounded size; and what many digests say together.
//!
//! A balancer has one voice for each zone, however much it sees. Those in one zone are asked about the way from there: a way
//! is bad when more than half of those who have something to say say so. One that sees every zone fail is cut off itself,
//! and has no voice. So a zone that is cut off from the others is bad from them and good from itself.

use super::{FailoverSettings, MAX_CLASSES, MAX_ZONES};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What one balancer saw of a zone lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneObservations {
    /// Executions that came up there.
    pub up: u32,
    /// Executions that nobody answered or that broke before they stood.
    pub failed: u32,
    /// Executions that were turned away.
    pub full: u32,
    /// Standing connections that broke or went silent.
    pub broken: u32,
    /// Probes that were answered, and that were not.
    pub probed: (u32, u32),
    /// Mean time until an execution came up, in milliseconds.
    #[serde(rename = "setup")]
    pub mean_setup_ms: u32,
    /// What stands there from here.
    #[serde(rename = "stands")]
    pub established: u32,
    /// Attempts that were sent there and are neither up nor over.
    pub in_flight: u32,
    /// What the zone's servers carry together as they are now, by this balancer's list.
    #[serde(rename = "room")]
    pub capacity: u32,
}

impl ZoneObservations {
    /// All that takes up capacity.
    pub fn held(&self) -> u32 {
        self.established.saturating_add(self.in_flight)
    }

    /// Whether there is something to be looked at.
    pub fn has_failures(&self) -> bool {
        self.failed + self.broken >= MIN_SAMPLES || self.probed.1 > 0
    }
}

/// What a balancer tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Who tells it.
    pub name: String,
    /// Its process, and a number that grows: an older digest is passed over.
    pub started: u64,
    /// See `started`.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Its zone.
    pub zone: String,
    /// The plan that it follows; none: its own judgement.
    pub follows: Option<u64>,
    /// Which renewal of that plan: the grants that bind it.
    pub renewal: Option<u64>,
    /// By zone.
    pub zones: BTreeMap<String, ZoneObservations>,
    /// By class: what stands here, and who was not served lately.
    #[serde(rename = "wants")]
    pub demand: BTreeMap<String, u32>,
}

impl Digest {
    /// Whether it is as small as a digest is.
    pub fn is_within_bounds(&self) -> bool {
        self.zones.len() <= MAX_ZONES && self.demand.len() <= MAX_CLASSES
    }
}

/// What happened at a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An execution came up after so long.
    Up(Micros),
    /// An execution failed.
    Failed,
    /// An execution was turned away.
    Full,
    /// A standing connection broke.
    Broken,
    /// A probe was answered, or was not.
    Probed(bool),
}

/// What is remembered counts for so long.
const OBSERVATION_LIFETIME: Micros = 3_000_000;
/// Clients that were not served, at most.
const MAX_UNSERVED_CLIENTS: usize = 4_096;
/// Events that are remembered, at most: the oldest goes.
const MAX_OBSERVATIONS: usize = 8_192;

/// One balancer's counts.
#[derive(Debug, Default)]
pub struct ObservationWindow {
    observations: VecDeque<(Micros, usize, Observation)>,
    /// Who was not served, by class and client, and when.
    unserved: BTreeMap<(usize, u64), Micros>,
}

impl ObservationWindow {
    /// Something happened at a zone.
    pub fn record(&mut self, now: Micros, zone: usize, observation: Observation) {
        self.observations.push_back((now, zone, observation));
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.drop_expired(now);
    }

    /// A client of this class was sent away, or is served again.
    pub fn record_client(&mut self, now: Micros, class: usize, client: u64, served: bool) {
        if served {
            self.unserved.remove(&(class, client));
        } else if self.unserved.len() < MAX_UNSERVED_CLIENTS {
            self.unserved.insert((class, client), now);
        }
    }

    fn drop_expired(&mut self, now: Micros) {
        while self.observations.front().is_some_and(|(at, ..)| at + OBSERVATION_LIFETIME < now) {
            self.observations.pop_front();
        }
    }

    /// What was seen of a zone lately; what stands there and its room are not known here.
    pub fn zone_summary(&mut self, now: Micros, zone: usize) -> ZoneObservations {
        self.drop_expired(now);
        let (mut seen, mut setup) = (ZoneObservations::default(), 0);
        for (_, _, observation) in self.observations.iter().filter(|(_, z, _)| *z == zone) {
            match observation {
                Observation::Up(took) => {
                    seen.up += 1;
                    setup += took / 1_000;
                }
                Observation::Failed => seen.failed += 1,
                Observation::Full => seen.full += 1,
                Observation::Broken => seen.broken += 1,
                Observation::Probed(true) => seen.probed.0 += 1,
                Observation::Probed(false) => seen.probed.1 += 1,
            }
        }
        seen.mean_setup_ms =
            setup.checked_div(u64::from(seen.up)).unwrap_or_default().min(u64::from(u32::MAX)) as u32;
        seen
    }

    /// How many clients of a class were not served lately and have not been since.
    pub fn unserved_clients(&mut self, now: Micros, class: usize) -> u32 {
        self.unserved.retain(|_, at| *at + OBSERVATION_LIFETIME >= now);
        self.unserved.keys().filter(|(c, _)| *c == class).count() as u32
    }
}

/// What is said of a way from a zone to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It serves.
    Good,
    /// It does not.
    Bad,
    /// Nobody has anything to say.
    Unknown,
}

/// Executions or broken connections from which on a balancer has something to say.
const MIN_SAMPLES: u32 = 3;

/// One balancer's word on a zone, and whether it is about service: a probe that is answered shows only that the way is open.
fn balancer_verdict(seen: &ZoneObservations, settings: &FailoverSettings) -> Verdict {
    let (bad, all) = (seen.failed + seen.broken, seen.up + seen.failed + seen.broken);
    let slow = seen.up >= MIN_SAMPLES && u64::from(seen.mean_setup_ms) * 1_000 > settings.slow_setup;
    match seen.probed {
        _ if bad >= MIN_SAMPLES && 2 * bad > all || slow => Verdict::Bad,
        _ if seen.up > 0 && 4 * bad < all => Verdict::Good,
        (0, lost) if lost > 0 && seen.up == 0 => Verdict::Bad,
        // One that is there now and then is not there.
        (answered, 0) if answered > 0 && bad == 0 => Verdict::Good,
        _ => Verdict::Unknown,
    }
}

/// All digests that count, by who told them.
pub type Digests = BTreeMap<String, Digest>;

/// What the balancers of a zone say together of a way from there.
pub fn path_verdict(digests: &Digests, from: &str, to: &str, settings: &FailoverSettings) -> Verdict {
    let there = digests.values().filter(|digest| digest.zone == from);
    let voices = there.filter_map(|digest| {
        let words: Vec<Verdict> =
            digest.zones.values().map(|seen| balancer_verdict(seen, settings)).collect();
        let told = words.iter().filter(|word| **word != Verdict::Unknown).count();
        // It sees everything fail: that is its own link.
        let blind = told >= 2 && !words.contains(&Verdict::Good);
        digest.zones.get(to).filter(|_| !blind).map(|seen| balancer_verdict(seen, settings))
    });
    let (mut good, mut bad) = (0, 0);
    for voice in voices {
        match voice {
            Verdict::Good => good += 1,
            Verdict::Bad => bad += 1,
            Verdict::Unknown => {}
        }
    }
    match (good, bad) {
        (0, 0) => Verdict::Unknown,
        (good, bad) if bad > good => Verdict::Bad,
        _ => Verdict::Good,
    }
}

/// A zone's room: what the middle one of all who tell says, so that no minority can make it large or small.
pub fn zone_capacity(digests: &Digests, zone: &str) -> f64 {
    let mut told: Vec<u32> =
        digests.values().filter_map(|d| d.zones.get(zone)).map(|seen| seen.capacity).collect();
    told.sort_unstable();
    told.get(told.len() / 2).copied().map_or(0.0, f64::from)
}

/// What is held in a zone, by all who tell.
pub fn zone_occupancy(digests: &Digests, zone: &str) -> f64 {
    digests.values().filter_map(|d| d.zones.get(zone)).map(|seen| f64::from(seen.held())).sum()
}

/// What clients that come through a zone's balancers want, by class.
pub fn zone_demand(digests: &Digests, zone: &str, class: &str) -> f64 {
    let there = digests.values().filter(|digest| digest.zone == zone);
    there.filter_map(|digest| digest.demand.get(class)).map(|n| f64::from(*n)).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest(name: &str, zone: &str, seen: &[(&str, ZoneObservations)]) -> (String, Digest) {
        let zones = seen.iter().map(|(zone, seen)| (zone.to_string(), *seen)).collect();
        (name.into(), Digest { name: name.into(), zone: zone.into(), zones, ..Digest::default() })
    }

    const UP: ZoneObservations = ZoneObservations {
        up: 20,
        failed: 0,
        full: 0,
        broken: 0,
        probed: (3, 0),
        mean_setup_ms: 20,
        established: 9,
        in_flight: 0,
        capacity: 100,
    };
    const DOWN: ZoneObservations = ZoneObservations {
        up: 0,
        failed: 9,
        full: 0,
        broken: 4,
        probed: (0, 3),
        mean_setup_ms: 0,
        established: 0,
        in_flight: 0,
        capacity: 100,
    };
    const LITTLE: ZoneObservations = ZoneObservations {
        up: 0,
        failed: 1,
        full: 0,
        broken: 0,
        probed: (0, 0),
        mean_setup_ms: 0,
        established: 0,
        in_flight: 0,
        capacity: 100,
    };

    /// Guards against a zone that a minority condemns: of 60 balancers in three zones a fifth see little, one in each zone lies, and
    /// one in each is cut off itself.
    #[test]
    fn no_minority_condemns_a_zone_and_a_lost_one_is_found_all_the_same() {
        let settings = FailoverSettings::default();
        for lost in [false, true] {
            let truth = |zone: &str| if lost && zone == "b" { DOWN } else { UP };
            let mut digests = Digests::new();
            for i in 0..60 {
                let zone = ["a", "b", "c"][i % 3];
                let seen = |to: &str| match i / 3 {
                    0..4 => LITTLE,
                    // It says of each zone what is not so.
                    4 => {
                        if truth(to) == UP {
                            DOWN
                        } else {
                            UP
                        }
                    }
                    5 => DOWN,
                    _ => truth(to),
                };
                let all = ["a", "b", "c"].map(|to| (to, seen(to)));
                digests.extend([digest(&format!("n{i}"), zone, &all)]);
            }
            for from in ["a", "b", "c"] {
                for to in ["a", "b", "c"] {
                    let wanted = if lost && to == "b" { Verdict::Bad } else { Verdict::Good };
                    assert_eq!(path_verdict(&digests, from, to, &settings), wanted, "{lost}: {from} to {to}");
                }
            }
        }
    }

    /// Guards against a zone that is taken for lost because the others do not reach it, and against one that answers probes and
    /// fails connections, or takes seconds, and passes for sound.
    #[test]
    fn ways_are_told_apart_and_probes_alone_make_no_zone_good() {
        let settings = FailoverSettings::default();
        let cut = ZoneObservations { up: 0, failed: 0, broken: 0, probed: (0, 3), ..UP };
        let digests: Digests =
            [digest("n1", "a", &[("a", UP), ("b", cut)]), digest("n2", "b", &[("a", cut), ("b", UP)])].into();
        assert_eq!(path_verdict(&digests, "a", "b", &settings), Verdict::Bad);
        assert_eq!(path_verdict(&digests, "b", "b", &settings), Verdict::Good);
        let fails = ZoneObservations { probed: (3, 0), ..DOWN };
        let slow = ZoneObservations { mean_setup_ms: 1_500, ..UP };
        for seen in [fails, slow] {
            let digests: Digests = [digest("n1", "a", &[("a", seen), ("b", UP)])].into();
            assert_eq!(path_verdict(&digests, "a", "a", &settings), Verdict::Bad, "{seen:?}");
        }
        assert_eq!(path_verdict(&digests, "c", "a", &settings), Verdict::Unknown);
    }

    /// Guards against counts that never end, and memory that grows with clients.
    #[test]
    fn what_was_seen_is_forgotten_and_bounded() {
        let mut window = ObservationWindow::default();
        for n in 0..20_000u64 {
            window.record(n, 0, Observation::Failed);
            window.record_client(n, 0, n, false);
        }
        assert!(
            window.observations.len() <= MAX_OBSERVATIONS && window.unserved.len() <= MAX_UNSERVED_CLIENTS
        );
        assert!(window.zone_summary(20_000, 0).failed > 0 && window.unserved_clients(20_000, 0) > 0);
        window.record_client(20_000, 0, 1, true);
        assert_eq!(window.unserved_clients(20_000, 0) as usize, MAX_UNSERVED_CLIENTS - 1);
        let later = 20_001 + OBSERVATION_LIFETIME;
        assert_eq!(
            (window.zone_summary(later, 0), window.unserved_clients(later, 0)),
            (ZoneObservations::default(), 0)
        );
    }
}
