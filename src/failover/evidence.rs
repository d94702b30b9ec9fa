//! Observations of each zone from a balancer's own sockets, summarized in a digest of bounded size, and the verdicts that many
//! digests give together.
//!
//! A balancer has one vote for each zone, however much traffic it sees. The balancers of a zone vote on the path from there: it is
//! bad when more than half of those with enough data find it bad. A balancer that sees every zone fail is cut off itself and
//! has no vote. A zone that is cut off from the others is therefore bad from them and good from itself.

use super::{FailoverSettings, MAX_CLASSES, MAX_ZONES};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Recent observations of a zone by one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneObservations {
    /// Number of executions that were established there.
    pub up: u32,
    /// Number of executions without an answer, or that broke before they were established.
    pub failed: u32,
    /// Number of executions that an instance rejected because it was full.
    pub full: u32,
    /// Number of established connections that broke or became silent.
    pub broken: u32,
    /// Number of probes that were answered, and number of those that were not.
    pub probed: (u32, u32),
    /// Mean time until an execution was established, in milliseconds.
    #[serde(rename = "setup")]
    pub mean_setup_ms: u32,
    /// Number of this balancer's established connections there.
    #[serde(rename = "stands")]
    pub established: u32,
    /// Number of attempts that were sent there and are neither established nor ended.
    pub in_flight: u32,
    /// Number of connections that the zone's servers can carry at present, by this balancer's list.
    #[serde(rename = "room")]
    pub capacity: u32,
}

impl ZoneObservations {
    /// Returns the number of connections that take up capacity.
    pub fn held(&self) -> u32 {
        self.established.saturating_add(self.in_flight)
    }

    /// Whether there are enough failures, or any unanswered probe, to watch the zone more closely.
    pub fn has_failures(&self) -> bool {
        self.failed + self.broken >= MIN_SAMPLES || self.probed.1 > 0
    }
}

/// Periodic report of a balancer to the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Name of the balancer.
    pub name: String,
    /// Start time of its process.
    pub started: u64,
    /// Grows with each digest of the process; older digests are ignored.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Zone of the balancer.
    pub zone: String,
    /// Serial of the plan that it follows; `None` if it follows none and decides by itself.
    pub follows: Option<u64>,
    /// Renewal of that plan, whose grants are in force at this balancer.
    pub renewal: Option<u64>,
    /// Observations by zone.
    pub zones: BTreeMap<String, ZoneObservations>,
    /// Demand by class: requests in hand and clients that were not served recently.
    #[serde(rename = "wants")]
    pub demand: BTreeMap<String, u32>,
}

impl Digest {
    /// Whether it keeps the bounds on the number of zones and classes.
    pub fn is_within_bounds(&self) -> bool {
        self.zones.len() <= MAX_ZONES && self.demand.len() <= MAX_CLASSES
    }
}

/// One event at a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An execution was established after this time.
    Up(Micros),
    /// An execution failed.
    Failed,
    /// An instance rejected an execution because it was full.
    Full,
    /// An established connection broke.
    Broken,
    /// A probe ended; `true` if it was answered.
    Probed(bool),
}

/// How long an observation and an unserved client count.
const OBSERVATION_LIFETIME: Micros = 3_000_000;
/// Maximum number of unserved clients that are remembered; limits memory use.
const MAX_UNSERVED_CLIENTS: usize = 4_096;
/// Maximum number of observations that are remembered; the oldest one is dropped. Limits memory use.
const MAX_OBSERVATIONS: usize = 8_192;

/// Recent observations and unserved clients of one balancer.
#[derive(Debug, Default)]
pub struct ObservationWindow {
    observations: VecDeque<(Micros, usize, Observation)>,
    /// When each client was last not served, by class and client hash.
    unserved: BTreeMap<(usize, u64), Micros>,
}

impl ObservationWindow {
    /// Records an event at a zone.
    pub fn record(&mut self, now: Micros, zone: usize, observation: Observation) {
        self.observations.push_back((now, zone, observation));
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.drop_expired(now);
    }

    /// Records that a client of this class was refused or is served again.
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

    /// Returns the recent observations of a zone, without the connections held there and without its capacity.
    pub fn zone_summary(&mut self, now: Micros, zone: usize) -> ZoneObservations {
        self.drop_expired(now);
        let (mut seen, mut total_setup_ms) = (ZoneObservations::default(), 0);
        for (_, _, observation) in self.observations.iter().filter(|(_, z, _)| *z == zone) {
            match observation {
                Observation::Up(took) => {
                    seen.up += 1;
                    total_setup_ms += took / 1_000;
                }
                Observation::Failed => seen.failed += 1,
                Observation::Full => seen.full += 1,
                Observation::Broken => seen.broken += 1,
                Observation::Probed(true) => seen.probed.0 += 1,
                Observation::Probed(false) => seen.probed.1 += 1,
            }
        }
        seen.mean_setup_ms =
            total_setup_ms.checked_div(u64::from(seen.up)).unwrap_or_default().min(u64::from(u32::MAX))
                as u32;
        seen
    }

    /// Returns the number of clients of a class that were refused recently and not served since.
    pub fn unserved_clients(&mut self, now: Micros, class: usize) -> u32 {
        self.unserved.retain(|_, at| *at + OBSERVATION_LIFETIME >= now);
        self.unserved.keys().filter(|(c, _)| *c == class).count() as u32
    }
}

/// Health of a path from one zone to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The path serves connections.
    Good,
    /// The path fails.
    Bad,
    /// There is not enough data.
    Unknown,
}

/// Minimum number of failed executions and broken connections for a bad verdict, and of established executions for their mean
/// set-up time to count.
const MIN_SAMPLES: u32 = 3;

/// Returns one balancer's verdict on a zone. Observed service takes precedence over probes, since an answered probe shows only that
/// the path is open.
fn balancer_verdict(seen: &ZoneObservations, settings: &FailoverSettings) -> Verdict {
    let (bad, all) = (seen.failed + seen.broken, seen.up + seen.failed + seen.broken);
    let slow = seen.up >= MIN_SAMPLES && u64::from(seen.mean_setup_ms) * 1_000 > settings.slow_setup;
    match seen.probed {
        _ if bad >= MIN_SAMPLES && 2 * bad > all || slow => Verdict::Bad,
        _ if seen.up > 0 && 4 * bad < all => Verdict::Good,
        (0, lost) if lost > 0 && seen.up == 0 => Verdict::Bad,
        // A zone that answers only some probes does not count as reachable.
        (answered, 0) if answered > 0 && bad == 0 => Verdict::Good,
        _ => Verdict::Unknown,
    }
}

/// Current digests by the balancer's name.
pub type Digests = BTreeMap<String, Digest>;

/// Returns the majority verdict of a zone's balancers on a path from there.
pub fn path_verdict(digests: &Digests, from: &str, to: &str, settings: &FailoverSettings) -> Verdict {
    let local = digests.values().filter(|digest| digest.zone == from);
    let votes = local.filter_map(|digest| {
        let verdicts: Vec<Verdict> =
            digest.zones.values().map(|seen| balancer_verdict(seen, settings)).collect();
        let decided = verdicts.iter().filter(|verdict| **verdict != Verdict::Unknown).count();
        // A balancer that sees every zone fail has lost its own link.
        let is_cut_off = decided >= 2 && !verdicts.contains(&Verdict::Good);
        digest.zones.get(to).filter(|_| !is_cut_off).map(|seen| balancer_verdict(seen, settings))
    });
    let (mut good, mut bad) = (0, 0);
    for vote in votes {
        match vote {
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

/// Returns a zone's capacity: the median over all digests, so that no minority can inflate or reduce it.
pub fn zone_capacity(digests: &Digests, zone: &str) -> f64 {
    let mut reported: Vec<u32> =
        digests.values().filter_map(|d| d.zones.get(zone)).map(|seen| seen.capacity).collect();
    reported.sort_unstable();
    reported.get(reported.len() / 2).copied().map_or(0.0, f64::from)
}

/// Returns the number of connections held in a zone, summed over all digests.
pub fn zone_occupancy(digests: &Digests, zone: &str) -> f64 {
    digests.values().filter_map(|d| d.zones.get(zone)).map(|seen| f64::from(seen.held())).sum()
}

/// Returns the demand of one class at a zone's balancers.
pub fn zone_demand(digests: &Digests, zone: &str, class: &str) -> f64 {
    let local = digests.values().filter(|digest| digest.zone == zone);
    local.filter_map(|digest| digest.demand.get(class)).map(|n| f64::from(*n)).sum()
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
    const LITTLE_TRAFFIC: ZoneObservations = ZoneObservations {
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

    /// Guards against a minority that makes a zone unhealthy: of 60 balancers in three zones a fifth see little traffic, one in
    /// each zone reports the opposite of the truth, and one in each is cut off itself.
    #[test]
    fn minority_of_wrong_reports_does_not_change_verdicts_and_a_lost_zone_is_detected() {
        let settings = FailoverSettings::default();
        for lost in [false, true] {
            let truth = |zone: &str| if lost && zone == "b" { DOWN } else { UP };
            let mut digests = Digests::new();
            for i in 0..60 {
                let zone = ["a", "b", "c"][i % 3];
                let seen = |to: &str| match i / 3 {
                    0..4 => LITTLE_TRAFFIC,
                    // Reports the opposite of each zone's state.
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

    /// Guards against taking a zone for lost because the other zones cannot reach it, and against taking a zone for healthy that
    /// answers probes but fails connections or takes seconds to establish them.
    #[test]
    fn paths_are_judged_separately_and_answered_probes_do_not_hide_failures() {
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

    /// Guards against observations that never expire, and against memory use that grows with the number of clients.
    #[test]
    fn observations_expire_and_are_bounded() {
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
