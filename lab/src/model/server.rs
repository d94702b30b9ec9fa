//! Model of a session server. Set-ups are jobs that share the processor. The messages of established connections
//! are a continuous load that takes precedence over set-ups, except for a tenth of the capacity. Work beyond the
//! capacity accumulates as a backlog and is worked off later.
//!
//! The response time of a message is exponentially distributed with the mean of an M/M/1 server at the current
//! load, behind the backlog. The share of messages within their target follows from that distribution; it is 0
//! while the backlog alone exceeds the target.

use super::setups::SharedProcessor;
use crate::scenario::plan::Machine;
use crate::scenario::Fleet;
use oakdeal::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Smallest share of the capacity that set-ups get, whatever load the messages are.
const MIN_SETUP_SHARE: f64 = 0.1;
/// Service time of a message on an idle core of speed 1, in microseconds.
const MESSAGE_SERVICE_TIME: f64 = 6_000.0;
/// Largest backlog of message work, in seconds of the server's whole capacity; the excess is dropped.
const MAX_BACKLOG_SECONDS: f64 = 2.0;
/// Loss of efficiency for each full load of connections beyond the first (unitless): the capacity is divided by one
/// plus this value times the excess.
const CROWDING_LOSS: f64 = 0.4;
/// Smallest free share of the capacity in the response-time formula, which diverges at full load (unitless).
const MIN_FREE_SHARE: f64 = 0.02;
/// Mean connections above the overload bound that random arrivals may bring; the budget of a cold server includes them.
const RANDOM_ARRIVAL_ALLOWANCE: f64 = 6.0;

/// Identifies an attempt at a server: the client's number and the serial number of its attempt.
pub type Job = (u32, u32);

/// What a server does with a request on its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request is being set up.
    Accepted,
    /// The server is full and rejected the request.
    Full,
    /// The request overloaded the cold server, which fails with everything on it.
    Overloaded,
}

/// An established connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    load: f64,
    group: u32,
}

/// State of a session server.
#[derive(Clone, Debug)]
pub struct Server {
    machine: Machine,
    fleet: Fleet,
    /// Work of a connection of load 1, in core-microseconds (at speed 1) per microsecond.
    work_per_load: f64,
    /// Rate of new mean connections that fills a core of speed 1 over the warm-up time, per microsecond. A cold
    /// server can take this rate for each core times its warmth.
    warm_up_rate: f64,
    started: Option<Micros>,
    setups: SharedProcessor<Job>,
    connections: BTreeMap<Job, Connection>,
    groups: BTreeMap<u32, u32>,
    /// Work of the connections without the cost of their groups, in core-microseconds per microsecond.
    connection_work: f64,
    work_backlog: f64,
    updated_at: Micros,
    recent_arrivals: VecDeque<(Micros, f64)>,
    recent_load: f64,
    setup_work_done: f64,
    setup_rate: f64,
}

impl Server {
    /// Returns a server that is warm and empty.
    pub fn new(machine: Machine, fleet: &Fleet, mean_load: f64) -> Server {
        // `per_core` connections of mean load fill one core.
        let work_per_load = 1.0 / (fleet.per_core * mean_load);
        Server {
            machine,
            fleet: fleet.clone(),
            work_per_load,
            warm_up_rate: fleet.per_core / fleet.warm.0.max(1) as f64,
            started: None,
            setups: SharedProcessor::new(0),
            connections: BTreeMap::new(),
            groups: BTreeMap::new(),
            connection_work: 0.0,
            work_backlog: 0.0,
            updated_at: 0,
            recent_arrivals: VecDeque::new(),
            recent_load: 0.0,
            setup_work_done: 0.0,
            setup_rate: 0.0,
        }
    }

    /// Starts the server's process, cold and empty.
    pub fn start(&mut self, now: Micros) {
        self.drop_all(now);
        self.started = Some(now);
    }

    /// Drops all state; returns the attempts that were being set up and the established connections.
    pub fn drop_all(&mut self, now: Micros) -> (Vec<Job>, Vec<Job>) {
        let setups = self.setups.clear(now);
        let connections = std::mem::take(&mut self.connections).into_keys().collect();
        self.groups.clear();
        (self.connection_work, self.work_backlog, self.updated_at) = (0.0, 0.0, now);
        self.recent_arrivals.clear();
        self.recent_load = 0.0;
        (setups, connections)
    }

    /// Returns the available share of the full capacity, which rises linearly from the cold share to 1.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let elapsed_share = now.saturating_sub(started) as f64 / self.fleet.warm.0.max(1) as f64;
        (self.fleet.cold_share + (1.0 - self.fleet.cold_share) * elapsed_share).min(1.0)
    }

    /// Returns the current capacity, in core-microseconds (at speed 1) per microsecond.
    pub fn capacity(&self, now: Micros) -> f64 {
        let full_count = self.machine.cores * self.machine.speed * self.fleet.per_core;
        let excess = (self.connections.len() as f64 / full_count - 1.0).max(0.0);
        self.machine.cores * self.machine.speed * self.warmth(now) / (1.0 + CROWDING_LOSS * excess)
    }

    /// Returns the registered size, in cores of speed 1.
    pub fn size(&self) -> f64 {
        self.machine.cores * self.machine.speed
    }

    fn offered_message_work(&self) -> f64 {
        // `group_cost` is a number of mean connections, of which `per_core` fill a core.
        let group_work = self.fleet.group_cost / self.fleet.per_core;
        self.connection_work + group_work * self.groups.len() as f64
    }

    /// Advances the model to `now`: work is done, and the excess accumulates.
    pub fn advance(&mut self, now: Micros) {
        let span = now.saturating_sub(self.updated_at) as f64;
        if span > 0.0 {
            let capacity = self.capacity(now);
            let message_work = self.offered_message_work();
            self.setups.advance(now);
            let setup_work = self.setups.work_done() - self.setup_work_done;
            self.setup_work_done = self.setups.work_done();
            self.setup_rate = setup_work / span;
            let work_backlog = self.work_backlog + (message_work - capacity) * span + setup_work;
            self.work_backlog = work_backlog.clamp(0.0, MAX_BACKLOG_SECONDS * 1e6 * capacity);
            self.updated_at = now;
        }
        let capacity = self.capacity(now);
        let available_rate = (capacity - self.offered_message_work()).max(MIN_SETUP_SHARE * capacity);
        self.setups.set_rate(now, available_rate, self.machine.speed * self.warmth(now));
    }

    /// Handles the arrival of a request; `cost` multiplies the usual work of a set-up.
    pub fn receive_request(&mut self, now: Micros, job: Job, load: f64, cost: f64) -> Arrival {
        self.advance(now);
        let mean_connections = load * self.work_per_load * self.fleet.per_core;
        if self.warmth(now) < 1.0 {
            self.recent_arrivals.push_back((now, mean_connections));
            self.recent_load += mean_connections;
            while let Some(&(at, old)) = self.recent_arrivals.front() {
                if at + self.fleet.fall_time.0 > now {
                    break;
                }
                self.recent_load -= old;
                self.recent_arrivals.pop_front();
            }
            let budget = self.capacity(now) * self.warm_up_rate * self.fleet.fall_time.0 as f64;
            if self.recent_load > self.fleet.fall_factor * budget + RANDOM_ARRIVAL_ALLOWANCE {
                return Arrival::Overloaded;
            }
        }
        let max_connections = self.fleet.cap * self.machine.cores * self.machine.speed * self.fleet.per_core;
        if self.setups.len() >= self.fleet.backlog
            || (self.connections.len() + self.setups.len()) as f64 >= max_connections
        {
            return Arrival::Full;
        }
        self.setups.add(now, job, self.fleet.setup_work.0 as f64 * cost);
        Arrival::Accepted
    }

    /// Returns when the next set-up completes if nothing changes.
    pub fn next_setup_completion(&self) -> Option<Micros> {
        self.setups.next_completion()
    }

    /// Removes and returns the completed set-ups; the caller establishes their connections or drops them.
    pub fn take_completed_setups(&mut self, now: Micros) -> Vec<Job> {
        self.advance(now);
        self.setups.take_completed(now)
    }

    /// Establishes a connection.
    pub fn establish(&mut self, now: Micros, job: Job, load: f64, group: u32) {
        self.advance(now);
        self.connections.insert(job, Connection { load, group });
        *self.groups.entry(group).or_insert(0) += 1;
        self.connection_work += load * self.work_per_load;
    }

    /// Changes the load of a connection.
    pub fn set_load(&mut self, now: Micros, job: Job, load: f64) {
        self.advance(now);
        if let Some(connection) = self.connections.get_mut(&job) {
            self.connection_work += (load - connection.load) * self.work_per_load;
            connection.load = load;
        }
    }

    /// Removes an attempt that was given up or a connection that has ended.
    pub fn remove(&mut self, now: Micros, job: Job) {
        self.advance(now);
        self.setups.remove(now, &job);
        let Some(connection) = self.connections.remove(&job) else { return };
        self.connection_work = (self.connection_work - connection.load * self.work_per_load).max(0.0);
        if let Some(count) = self.groups.get_mut(&connection.group) {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&connection.group);
            }
        }
    }

    /// Returns the offered work over the capacity; more than 1 is overload.
    pub fn utilization(&self, now: Micros) -> f64 {
        (self.offered_message_work() + self.setup_rate) / self.capacity(now)
    }

    /// Returns the number of established connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns a connection's load as servers report it, in core-microseconds per second.
    pub fn reported_load(&self, load: f64) -> f64 {
        load * self.work_per_load * 1e6
    }

    /// Returns the current mean response time of a message, in microseconds.
    pub fn mean_message_time(&self, now: Micros) -> f64 {
        let free_share = (1.0 - self.utilization(now)).max(MIN_FREE_SHARE);
        MESSAGE_SERVICE_TIME / self.machine.speed / free_share + self.work_backlog / self.capacity(now)
    }

    /// Returns the share of messages answered within `target`.
    pub fn share_within(&self, now: Micros, target: Micros) -> f64 {
        let free_share = (1.0 - self.utilization(now)).max(MIN_FREE_SHARE);
        let remaining = target as f64 - self.work_backlog / self.capacity(now);
        if remaining <= 0.0 {
            return 0.0;
        }
        1.0 - (-remaining * free_share * self.machine.speed / MESSAGE_SERVICE_TIME).exp()
    }
}
