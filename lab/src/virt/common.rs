//! The fleet's plan for zones in simulated time: digests of all balancers that are up, the planner that the program runs, and
//! what they follow. The record is taken for granted: a plan is known one look after it was made.

use super::decider::{operator, Choice};
use super::engine::World;
use crate::scenario::Scenario;
use oakdeal::failover::plan::{Plan, Planner};
use oakdeal::Micros;
use std::collections::BTreeMap;

/// What the fleet has in common.
pub(super) struct Common {
    planner: Planner,
    plan: Option<Plan>,
    tell: Micros,
    told: Micros,
}

impl Common {
    /// None where the scenario's operator wants no plan, or the deciders are another's.
    pub fn new(scenario: &Scenario, choice: &Choice) -> Result<Option<Common>, String> {
        let text = scenario.operator.as_ref().filter(|_| *choice == Choice::Own);
        let Some(terms) = text.map(|text| operator(text.get_ref())).transpose()?.and_then(|o| o.failover)
        else {
            return Ok(None);
        };
        let mut classes: Vec<(f64, String)> =
            scenario.class.iter().map(|c| (c.worth, c.name.clone())).collect();
        classes.sort_by(|a, b| b.0.total_cmp(&a.0));
        let zones = scenario.zone.iter().map(|zone| zone.name.clone()).collect();
        let tell = terms.digest_interval;
        let planner = Planner::new(terms, zones, classes.into_iter().map(|(_, name)| name).collect());
        Ok(Some(Common { planner, plan: None, tell, told: 0 }))
    }
}

impl World<'_> {
    /// All follow what there is, and tell what they see when it is time.
    pub(super) fn in_common(&mut self) {
        let Some(mut common) = self.common.take() else { return };
        let tells = self.now >= common.told + common.tell;
        for n in (0..self.nodes.len()).filter(|&n| self.nodes[n].up).collect::<Vec<_>>() {
            let mut out = Vec::new();
            self.nodes[n].decider.follow(self.now, common.plan.as_ref(), &mut out);
            if tells {
                common.told = self.now;
                let digest = self.nodes[n].decider.digest(self.now, &mut out);
                digest.into_iter().for_each(|digest| common.planner.receive_digest(self.now, digest));
            }
            self.act(n, out);
        }
        let (put, _) = common.planner.advance(self.now, common.plan.as_ref(), &BTreeMap::new());
        common.plan = put.or(common.plan);
        self.common = Some(common);
    }
}
