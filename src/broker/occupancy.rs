//! How many connections of this balancer each zone holds: established ones, and attempts that were sent and have not ended.
//!
//! Invariant: an attempt or connection is counted in exactly one zone from its send to its end, also where its server leaves
//! the list meanwhile.

/// What this balancer holds in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Connections that stand.
    pub established: u32,
    /// Attempts that were sent and are neither up nor over.
    pub in_flight: u32,
}

impl Occupancy {
    /// All that takes up capacity.
    pub fn total(self) -> u32 {
        self.established + self.in_flight
    }
}

/// The zone that a request occupies, and whether its connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    zone: usize,
    established: bool,
}

/// Occupancy by the index of the zone.
#[derive(Debug, Default)]
pub struct Occupancies(Vec<Occupancy>);

impl Occupancies {
    /// What is held in a zone.
    pub fn of(&self, zone: usize) -> Occupancy {
        self.0.get(zone).copied().unwrap_or_default()
    }

    fn entry(&mut self, zone: usize) -> &mut Occupancy {
        if self.0.len() <= zone {
            self.0.resize(zone + 1, Occupancy::default());
        }
        &mut self.0[zone]
    }

    /// An attempt is sent to a zone.
    pub fn send(&mut self, zone: usize) -> Slot {
        self.entry(zone).in_flight += 1;
        Slot { zone, established: false }
    }

    /// A connection that stands already is taken in.
    pub fn adopt(&mut self, zone: usize) -> Slot {
        self.entry(zone).established += 1;
        Slot { zone, established: true }
    }

    /// The attempt came up.
    pub fn establish(&mut self, slot: &mut Slot) {
        if !std::mem::replace(&mut slot.established, true) {
            let entry = self.entry(slot.zone);
            entry.in_flight -= 1;
            entry.established += 1;
        }
    }

    /// The attempt or the connection is over.
    pub fn release(&mut self, slot: Slot) {
        let entry = self.entry(slot.zone);
        match slot.established {
            true => entry.established -= 1,
            false => entry.in_flight -= 1,
        }
    }
}
