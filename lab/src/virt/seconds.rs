//! Samples the service four times a second, and reports the worth of each second and the message delays.

use super::engine::{host_id, SimEvent, Simulation, SAMPLE_INTERVAL, SECOND};
use crate::score::record::RunEvent;
use oakdeal::{Event, Micros};

/// A message delay is reported as slow if it exceeds the shortest target of all classes divided by this (unitless).
const SLOW_DELAY_DIVISOR: Micros = 3;

impl Simulation<'_> {
    /// Adds the worth asked for and served since the last sample.
    pub(super) fn sample(&mut self) {
        let (now, classes) = (self.now, self.scenario.class.len());
        self.ticks += 1;
        let seconds = SAMPLE_INTERVAL as f64 / 1e6;
        for (cell, &count) in self.wanted.iter().enumerate() {
            self.asked_worth[cell] += f64::from(count) * self.scenario.class[cell % classes].worth * seconds;
        }
        for host in &mut self.hosts {
            host.model.advance(now);
            if host.silent_since.is_some() || !host.up {
                continue;
            }
            for class in 0..classes {
                let within = host.model.share_within(now, self.scenario.class[class].message.0);
                for cell in (class..host.established.len()).step_by(classes) {
                    let worth = self.scenario.class[class].worth * seconds;
                    self.served_worth[cell] += f64::from(host.established[cell]) * worth * within;
                }
            }
        }
        for server in 0..self.hosts.len() {
            self.reschedule_setup(server);
        }
        if self.ticks.is_multiple_of(SECOND / SAMPLE_INTERVAL) {
            self.finish_second();
        }
        self.schedule(now + SAMPLE_INTERVAL, SimEvent::Tick);
    }

    /// Reports message delays to the balancers and records the second that has ended.
    pub(super) fn finish_second(&mut self) {
        let (now, classes) = (self.now, self.scenario.class.len());
        let shortest_target = self.scenario.class.iter().map(|c| c.message.0).min().unwrap_or(0);
        for server in 0..self.hosts.len() {
            let message_time = self.hosts[server].model.mean_message_time(now) as Micros;
            let silent_span = self.hosts[server].silent_since.map(|since| now - since);
            for node_id in 0..self.nodes.len() {
                let host = &mut self.hosts[server];
                if host.connections_by_node[node_id] == 0 || !host.up || !self.nodes[node_id].up {
                    host.reported_slow[node_id] = false;
                    continue;
                }
                let delay = match silent_span {
                    Some(span) if span >= SECOND => span,
                    Some(_) => continue,
                    None => message_time,
                };
                let slow = delay > shortest_target / SLOW_DELAY_DIVISOR;
                if slow || std::mem::replace(&mut host.reported_slow[node_id], slow) {
                    host.reported_slow[node_id] = slow;
                    self.deliver_event(node_id, Event::DelayNote { host: host_id(server), delay });
                }
            }
        }
        let (begin, _) = self.scenario.scored_interval();
        let (asked, served) = (std::mem::take(&mut self.asked_worth), std::mem::take(&mut self.served_worth));
        (self.asked_worth, self.served_worth) = (vec![0.0; asked.len()], vec![0.0; asked.len()]);
        if now <= begin {
            return;
        }
        let loads = self
            .hosts
            .iter()
            .map(|host| if host.up { host.model.utilization(now) as f32 } else { 0.0 })
            .collect();
        let held = self.hosts.iter().map(|host| host.model.connection_count() as u32).collect();
        self.record(RunEvent::second(&asked, &served, classes, loads, held));
    }
}
