//! What each second was worth, and how long messages take: looked at four times a second.

use super::engine::{host_id, Ev, World, SECOND, TICK};
use crate::score::record::What;
use oakdeal::{Event, Micros};

impl World<'_> {
    pub(super) fn tick(&mut self) {
        let (now, classes) = (self.now, self.scenario.class.len());
        self.ticks += 1;
        let part = TICK as f64 / 1e6;
        for (cell, &n) in self.wants.iter().enumerate() {
            self.asked[cell] += f64::from(n) * self.scenario.class[cell % classes].worth * part;
        }
        for h in &mut self.hosts {
            h.model.pass(now);
            if h.silent.is_some() || !h.up {
                continue;
            }
            for class in 0..classes {
                let within = h.model.within(now, self.scenario.class[class].message.0);
                for cell in (class..h.standing.len()).step_by(classes) {
                    let worth = self.scenario.class[class].worth * part;
                    self.served[cell] += f64::from(h.standing[cell]) * worth * within;
                }
            }
        }
        for server in 0..self.hosts.len() {
            self.look(server);
        }
        if self.ticks.is_multiple_of(SECOND / TICK) {
            self.second();
        }
        self.at(now + TICK, Ev::Tick);
    }

    pub(super) fn second(&mut self) {
        let (now, classes) = (self.now, self.scenario.class.len());
        let shortest = self.scenario.class.iter().map(|c| c.message.0).min().unwrap_or(0);
        for server in 0..self.hosts.len() {
            let message = self.hosts[server].model.message(now) as Micros;
            let silent = self.hosts[server].silent.map(|since| now - since);
            for n in 0..self.nodes.len() {
                let h = &mut self.hosts[server];
                if h.by_node[n] == 0 || !h.up || !self.nodes[n].up {
                    h.slow[n] = false;
                    continue;
                }
                let delay = match silent {
                    Some(span) if span >= SECOND => span,
                    Some(_) => continue,
                    None => message,
                };
                let slow = delay > shortest / 3;
                if slow || std::mem::replace(&mut h.slow[n], slow) {
                    h.slow[n] = slow;
                    self.tell(n, Event::DelayNote { host: host_id(server), delay });
                }
            }
        }
        let (begin, _) = self.scenario.scored_interval();
        let (asked, served) = (std::mem::take(&mut self.asked), std::mem::take(&mut self.served));
        (self.asked, self.served) = (vec![0.0; asked.len()], vec![0.0; asked.len()]);
        if now <= begin {
            return;
        }
        let loads = self.hosts.iter().map(|h| if h.up { h.model.load(now) as f32 } else { 0.0 }).collect();
        let held = self.hosts.iter().map(|h| h.model.held() as u32).collect();
        self.note(What::second(&asked, &served, classes, loads, held));
    }
}
