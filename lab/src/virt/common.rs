//! The fleet's zone plan in simulated time: collects the digests of all running balancers, runs the balancer's own
//! planner on them and gives the plan to the balancers. Replicating the plan is not simulated: a plan reaches all
//! balancers at the tick after the one that made it.

use super::decider::{parse_operator, DeciderChoice};
use super::engine::Simulation;
use crate::scenario::Scenario;
use oakdeal::failover::plan::{Plan, Planner};
use oakdeal::Micros;
use std::collections::BTreeMap;

/// The planner and the current plan, shared by the fleet.
pub(super) struct ZonePlanning {
    planner: Planner,
    plan: Option<Plan>,
    digest_interval: Micros,
    last_digests: Micros,
}

impl ZonePlanning {
    /// Returns `None` if the scenario's operator settings have no zone plan, or the deciders are not this build's own.
    pub fn new(scenario: &Scenario, choice: &DeciderChoice) -> Result<Option<ZonePlanning>, String> {
        let text = scenario.operator.as_ref().filter(|_| *choice == DeciderChoice::Own);
        let Some(terms) =
            text.map(|text| parse_operator(text.get_ref())).transpose()?.and_then(|o| o.failover)
        else {
            return Ok(None);
        };
        let mut classes: Vec<(f64, String)> =
            scenario.class.iter().map(|c| (c.worth, c.name.clone())).collect();
        classes.sort_by(|a, b| b.0.total_cmp(&a.0));
        let zones = scenario.zone.iter().map(|zone| zone.name.clone()).collect();
        let digest_interval = terms.digest_interval;
        let planner = Planner::new(terms, zones, classes.into_iter().map(|(_, name)| name).collect());
        Ok(Some(ZonePlanning { planner, plan: None, digest_interval, last_digests: 0 }))
    }
}

impl Simulation<'_> {
    /// Gives the current plan to all balancers, collects their digests when they are due, and runs the planner.
    pub(super) fn update_zone_plan(&mut self) {
        let Some(mut planning) = self.zone_planning.take() else { return };
        let digests_due = self.now >= planning.last_digests + planning.digest_interval;
        for node_id in (0..self.nodes.len()).filter(|&node_id| self.nodes[node_id].up).collect::<Vec<_>>() {
            let mut out = Vec::new();
            self.nodes[node_id].decider.follow_plan(self.now, planning.plan.as_ref(), &mut out);
            if digests_due {
                planning.last_digests = self.now;
                let digest = self.nodes[node_id].decider.digest(self.now, &mut out);
                digest.into_iter().for_each(|digest| planning.planner.receive_digest(self.now, digest));
            }
            self.perform_actions(node_id, out);
        }
        let (new_plan, _) = planning.planner.advance(self.now, planning.plan.as_ref(), &BTreeMap::new());
        planning.plan = new_plan.or(planning.plan);
        self.zone_planning = Some(planning);
    }
}
