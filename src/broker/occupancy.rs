//! Number of this balancer's connections in each zone: established ones, and attempts that were sent and have not
//! ended.
//!
//! Invariant: an attempt or connection is counted in exactly one zone from its send to its end, even if its server
//! leaves the list meanwhile.

/// Number of this balancer's attempts and connections in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Established connections.
    pub established: u32,
    /// Attempts that were sent and are neither established nor ended.
    pub in_flight: u32,
}

impl Occupancy {
    /// Returns the capacity in use.
    pub fn total(self) -> u32 {
        self.established + self.in_flight
    }
}

/// The zone whose capacity a request uses, and whether its connection is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    zone: usize,
    established: bool,
}

/// Occupancy by the index of the zone.
#[derive(Debug, Default)]
pub struct Occupancies(Vec<Occupancy>);

impl Occupancies {
    /// Returns the occupancy of a zone.
    pub fn of(&self, zone: usize) -> Occupancy {
        self.0.get(zone).copied().unwrap_or_default()
    }

    fn entry(&mut self, zone: usize) -> &mut Occupancy {
        if self.0.len() <= zone {
            self.0.resize(zone + 1, Occupancy::default());
        }
        &mut self.0[zone]
    }

    /// Counts an attempt that is sent to a zone.
    pub fn send(&mut self, zone: usize) -> Slot {
        self.entry(zone).in_flight += 1;
        Slot { zone, established: false }
    }

    /// Counts a connection that is already established.
    pub fn adopt(&mut self, zone: usize) -> Slot {
        self.entry(zone).established += 1;
        Slot { zone, established: true }
    }

    /// Marks the attempt as established.
    pub fn establish(&mut self, slot: &mut Slot) {
        if !std::mem::replace(&mut slot.established, true) {
            let entry = self.entry(slot.zone);
            entry.in_flight -= 1;
            entry.established += 1;
        }
    }

    /// Stops counting an attempt or connection that has ended.
    pub fn release(&mut self, slot: Slot) {
        let entry = self.entry(slot.zone);
        match slot.established {
            true => entry.established -= 1,
            false => entry.in_flight -= 1,
        }
    }
}
