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
pub struct Seen {
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
    pub setup: u32,
    /// What stands there from here.
    pub stands: u32,
    /// Attempts that were sent there and are neither up nor over.
    pub in_flight: u32,
    /// What the zone's servers carry together as they are now, by this balancer's list.
    pub room: u32,
}

impl Seen {
    /// All that takes up capacity.
    pub fn held(&self) -> u32 {
        self.stands.saturating_add(self.in_flight)
    }

    /// Whether there is something to be looked at.
    pub fn wrong(&self) -> bool {
        self.failed + self.broken >= ENOUGH || self.probed.1 > 0
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
    pub number: u64,
    /// Its zone.
    pub zone: String,
    /// The plan that it follows; none: its own judgement.
    pub follows: Option<u64>,
    /// Which renewal of that plan: the grants that bind it.
    pub renewal: Option<u64>,
    /// By zone.
    pub zones: BTreeMap<String, Seen>,
    /// By class: what stands here, and who was not served lately.
    pub wants: BTreeMap<String, u32>,
}

impl Digest {
    /// Whether it is as small as a digest is.
    pub fn fits(&self) -> bool {
        self.zones.len() <= MAX_ZONES && self.wants.len() <= MAX_CLASSES
    }
}

/// What happened at a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
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
const WINDOW: Micros = 3_000_000;
/// Clients that were not served, at most.
const UNSERVED: usize = 4_096;
/// Events that are remembered, at most: the oldest goes.
const EVENTS: usize = 8_192;

/// One balancer's counts.
#[derive(Debug, Default)]
pub struct Meter {
    events: VecDeque<(Micros, usize, Event)>,
    /// Who was not served, by class and client, and when.
    unserved: BTreeMap<(usize, u64), Micros>,
}

impl Meter {
    /// Something happened at a zone.
    pub fn note(&mut self, now: Micros, zone: usize, event: Event) {
        self.events.push_back((now, zone, event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
        self.forget(now);
    }

    /// A client of this class was sent away, or is served again.
    pub fn served(&mut self, now: Micros, class: usize, client: u64, served: bool) {
        if served {
            self.unserved.remove(&(class, client));
        } else if self.unserved.len() < UNSERVED {
            self.unserved.insert((class, client), now);
        }
    }

    fn forget(&mut self, now: Micros) {
        while self.events.front().is_some_and(|(at, ..)| at + WINDOW < now) {
            self.events.pop_front();
        }
    }

    /// What was seen of a zone lately; what stands there and its room are not known here.
    pub fn seen(&mut self, now: Micros, zone: usize) -> Seen {
        self.forget(now);
        let (mut seen, mut setup) = (Seen::default(), 0);
        for (_, _, event) in self.events.iter().filter(|(_, z, _)| *z == zone) {
            match event {
                Event::Up(took) => {
                    seen.up += 1;
                    setup += took / 1_000;
                }
                Event::Failed => seen.failed += 1,
                Event::Full => seen.full += 1,
                Event::Broken => seen.broken += 1,
                Event::Probed(true) => seen.probed.0 += 1,
                Event::Probed(false) => seen.probed.1 += 1,
            }
        }
        seen.setup =
            setup.checked_div(u64::from(seen.up)).unwrap_or_default().min(u64::from(u32::MAX)) as u32;
        seen
    }

    /// How many clients of a class were not served lately and have not been since.
    pub fn unserved(&mut self, now: Micros, class: usize) -> u32 {
        self.unserved.retain(|_, at| *at + WINDOW >= now);
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
const ENOUGH: u32 = 3;

/// One balancer's word on a zone, and whether it is about service: a probe that is answered shows only that the way is open.
fn word(seen: &Seen, settings: &FailoverSettings) -> Verdict {
    let (bad, all) = (seen.failed + seen.broken, seen.up + seen.failed + seen.broken);
    let slow = seen.up >= ENOUGH && u64::from(seen.setup) * 1_000 > settings.slow_setup;
    match seen.probed {
        _ if bad >= ENOUGH && 2 * bad > all || slow => Verdict::Bad,
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
pub fn verdict(digests: &Digests, from: &str, to: &str, settings: &FailoverSettings) -> Verdict {
    let there = digests.values().filter(|digest| digest.zone == from);
    let voices = there.filter_map(|digest| {
        let words: Vec<Verdict> = digest.zones.values().map(|seen| word(seen, settings)).collect();
        let told = words.iter().filter(|word| **word != Verdict::Unknown).count();
        // It sees everything fail: that is its own link.
        let blind = told >= 2 && !words.contains(&Verdict::Good);
        digest.zones.get(to).filter(|_| !blind).map(|seen| word(seen, settings))
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
pub fn room(digests: &Digests, zone: &str) -> f64 {
    let mut told: Vec<u32> =
        digests.values().filter_map(|d| d.zones.get(zone)).map(|seen| seen.room).collect();
    told.sort_unstable();
    told.get(told.len() / 2).copied().map_or(0.0, f64::from)
}

/// What is held in a zone, by all who tell.
pub fn held(digests: &Digests, zone: &str) -> f64 {
    digests.values().filter_map(|d| d.zones.get(zone)).map(|seen| f64::from(seen.held())).sum()
}

/// What clients that come through a zone's balancers want, by class.
pub fn wants(digests: &Digests, zone: &str, class: &str) -> f64 {
    let there = digests.values().filter(|digest| digest.zone == zone);
    there.filter_map(|digest| digest.wants.get(class)).map(|n| f64::from(*n)).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest(name: &str, zone: &str, seen: &[(&str, Seen)]) -> (String, Digest) {
        let zones = seen.iter().map(|(zone, seen)| (zone.to_string(), *seen)).collect();
        (name.into(), Digest { name: name.into(), zone: zone.into(), zones, ..Digest::default() })
    }

    const UP: Seen = Seen {
        up: 20,
        failed: 0,
        full: 0,
        broken: 0,
        probed: (3, 0),
        setup: 20,
        stands: 9,
        in_flight: 0,
        room: 100,
    };
    const DOWN: Seen = Seen {
        up: 0,
        failed: 9,
        full: 0,
        broken: 4,
        probed: (0, 3),
        setup: 0,
        stands: 0,
        in_flight: 0,
        room: 100,
    };
    const LITTLE: Seen = Seen {
        up: 0,
        failed: 1,
        full: 0,
        broken: 0,
        probed: (0, 0),
        setup: 0,
        stands: 0,
        in_flight: 0,
        room: 100,
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
                    assert_eq!(verdict(&digests, from, to, &settings), wanted, "{lost}: {from} to {to}");
                }
            }
        }
    }

    /// Guards against a zone that is taken for lost because the others do not reach it, and against one that answers probes and
    /// fails connections, or takes seconds, and passes for sound.
    #[test]
    fn ways_are_told_apart_and_probes_alone_make_no_zone_good() {
        let settings = FailoverSettings::default();
        let cut = Seen { up: 0, failed: 0, broken: 0, probed: (0, 3), ..UP };
        let digests: Digests =
            [digest("n1", "a", &[("a", UP), ("b", cut)]), digest("n2", "b", &[("a", cut), ("b", UP)])].into();
        assert_eq!(verdict(&digests, "a", "b", &settings), Verdict::Bad);
        assert_eq!(verdict(&digests, "b", "b", &settings), Verdict::Good);
        let fails = Seen { probed: (3, 0), ..DOWN };
        let slow = Seen { setup: 1_500, ..UP };
        for seen in [fails, slow] {
            let digests: Digests = [digest("n1", "a", &[("a", seen), ("b", UP)])].into();
            assert_eq!(verdict(&digests, "a", "a", &settings), Verdict::Bad, "{seen:?}");
        }
        assert_eq!(verdict(&digests, "c", "a", &settings), Verdict::Unknown);
    }

    /// Guards against counts that never end, and memory that grows with clients.
    #[test]
    fn what_was_seen_is_forgotten_and_bounded() {
        let mut meter = Meter::default();
        for n in 0..20_000u64 {
            meter.note(n, 0, Event::Failed);
            meter.served(n, 0, n, false);
        }
        assert!(meter.events.len() <= EVENTS && meter.unserved.len() <= UNSERVED);
        assert!(meter.seen(20_000, 0).failed > 0 && meter.unserved(20_000, 0) > 0);
        meter.served(20_000, 0, 1, true);
        assert_eq!(meter.unserved(20_000, 0) as usize, UNSERVED - 1);
        let later = 20_001 + WINDOW;
        assert_eq!((meter.seen(later, 0), meter.unserved(later, 0)), (Seen::default(), 0));
    }
}
