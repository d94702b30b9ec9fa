//! One-way network delays between zones. Severed links are handled by the simulation, not here.

use crate::scenario::Fleet;
use oakdeal::Micros;

/// One-way delays of the fleet's network.
#[derive(Clone, Debug)]
pub struct Network {
    between_zones: Micros,
    within_zone: Micros,
}

impl Network {
    /// Returns the delays that the scenario's fleet states.
    pub fn new(fleet: &Fleet) -> Network {
        Network { between_zones: fleet.between.0, within_zone: fleet.within.0 }
    }

    /// Returns the one-way delay from one zone to another.
    pub fn one_way_delay(&self, from: usize, to: usize) -> Micros {
        if from == to {
            self.within_zone
        } else {
            self.between_zones
        }
    }
}
