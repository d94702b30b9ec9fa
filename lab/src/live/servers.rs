//! Emulated session servers of a live run: the platform's protocol over the server model.

use super::site::{Site, ATTEMPTS, CROSSINGS, OFFERED_SETUPS, PROBES, WASTED_SETUPS};
use super::wire::{Protocol, Wire};
use crate::model::server::{Arrival, Job, Server};
use crate::scenario::plan::{next_uniform, Workload, LOAD_CHANGE_FACTOR, MEAN_LOAD_CHANGE_INTERVAL_US};
use crate::scenario::Scenario;
use crate::score::record::{AttemptOutcome, RunEvent};
use oakdeal::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

/// Message to the task of a connection.
enum Notice {
    /// The connection has been set up.
    Up,
    /// The server's process has died.
    Died,
    /// The client must move to another server.
    Move,
    /// Current message delay of the server, in milliseconds.
    Delay(f64),
}

/// A connection at a server.
struct Connection {
    notices: UnboundedSender<Notice>,
    node: usize,
    cell: usize,
    client: usize,
    established: bool,
}

struct Host {
    model: Server,
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Address for XMPP. Its connections load the same model.
    xmpp_address: SocketAddr,
    xmpp_listener: Option<TcpListener>,
    accept_tasks: Vec<JoinHandle<()>>,
    up: bool,
    /// Whether it failed under overload. It does not come back from that.
    fallen: bool,
    draining: bool,
    silent: bool,
    /// Share of new requests that it fails.
    error_share: f64,
    connections: BTreeMap<Job, Connection>,
    /// Number of the last request that it accepted.
    last_request: u32,
    /// For each balancer, whether the last delay reported to it was long.
    slow: BTreeMap<usize, bool>,
    wake: Rc<Notify>,
}

/// All servers. Clones share their state.
#[derive(Clone)]
pub struct Servers {
    hosts: Rc<Vec<RefCell<Host>>>,
    /// Attempts without a known outcome, by call.
    pending: Rc<RefCell<BTreeMap<String, (usize, Job)>>>,
    /// Signals with which clients are made to disconnect, by client.
    drop_signals: Rc<RefCell<BTreeMap<usize, Rc<Notify>>>>,
    /// Target of the message delay, by class.
    message_targets: Rc<Vec<Micros>>,
}

/// Time that a request waits at most for the end of an earlier attempt of the same call, in milliseconds.
const MAX_WAIT_FOR_EARLIER_ATTEMPT_MS: u64 = 20;
/// Interval at which a silent connection looks whether the silence has ended.
const SILENCE_POLL: Duration = Duration::from_millis(100);
/// Number of attempts to bind a restarted server's addresses again, and the interval between them.
const BIND_ATTEMPTS: usize = 50;
/// See `BIND_ATTEMPTS`.
const BIND_RETRY: Duration = Duration::from_millis(20);

impl Servers {
    /// Binds the addresses of all servers.
    pub async fn bind(scenario: &Scenario, workload: &Workload) -> Result<Servers, String> {
        let mut hosts = Vec::new();
        for machine in &workload.servers {
            let listener =
                TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("cannot listen: {e}"))?;
            let xmpp = TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("cannot listen: {e}"))?;
            hosts.push(RefCell::new(Host {
                xmpp_address: xmpp.local_addr().map_err(|e| e.to_string())?,
                xmpp_listener: Some(xmpp),
                model: Server::new(machine.clone(), &scenario.fleet, scenario.mean_load()),
                address: listener.local_addr().map_err(|e| e.to_string())?,
                listener: Some(listener),
                accept_tasks: Vec::new(),
                up: true,
                fallen: false,
                draining: false,
                silent: false,
                error_share: 0.0,
                connections: BTreeMap::new(),
                last_request: 0,
                slow: BTreeMap::new(),
                wake: Rc::default(),
            }));
        }
        let message_targets = scenario.class.iter().map(|c| c.message.0).collect();
        Ok(Servers {
            hosts: Rc::new(hosts),
            pending: Rc::default(),
            drop_signals: Rc::default(),
            message_targets: Rc::new(message_targets),
        })
    }

    /// Returns the addresses for the line protocol.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|h| h.borrow().address).collect()
    }

    /// Returns the addresses for XMPP.
    pub fn xmpp_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|h| h.borrow().xmpp_address).collect()
    }

    /// Starts the tasks of all servers.
    pub fn serve(&self, site: &Rc<Site>) {
        for s in 0..self.hosts.len() {
            self.accept(site, s);
            let (all, site) = (self.clone(), site.clone());
            spawn_local(async move { all.run_setups(&site, s).await });
        }
    }

    /// Accepts connections of both protocols.
    fn accept(&self, site: &Rc<Site>, s: usize) {
        let (lines, xmpp) = {
            let mut h = self.hosts[s].borrow_mut();
            (h.listener.take(), h.xmpp_listener.take())
        };
        for (listener, protocol) in
            lines.into_iter().map(|l| (l, Protocol::Lines)).chain(xmpp.map(|l| (l, Protocol::Xmpp)))
        {
            let (all, site) = (self.clone(), site.clone());
            let task = spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let (all, site) = (all.clone(), site.clone());
                    spawn_local(async move { all.connection(&site, s, Wire::new(stream, protocol)).await });
                }
            });
            self.hosts[s].borrow_mut().accept_tasks.push(task);
        }
    }

    /// Notifies connections when the model has completed their set-up.
    async fn run_setups(&self, site: &Rc<Site>, s: usize) {
        let wake = self.hosts[s].borrow().wake.clone();
        loop {
            let next = {
                let now = site.now();
                let mut h = self.hosts[s].borrow_mut();
                let ended = h.model.take_completed_setups(now);
                if !h.silent {
                    ended
                        .iter()
                        .filter_map(|job| h.connections.get(job))
                        .for_each(|c| drop(c.notices.send(Notice::Up)));
                }
                h.model.next_setup_completion()
            };
            tokio::select! {
                () = site.until(next.unwrap_or(site.now() + 1_000_000)) => {}
                () = wake.notified() => {}
            }
        }
    }

    /// Serves one connection until it ends.
    async fn connection(&self, site: &Rc<Site>, s: usize, mut wire: Wire) {
        let Some(first) = wire.read_first().await else { return };
        if first == "PING" {
            site.count(PROBES);
            if self.hosts[s].borrow().silent {
                return std::future::pending().await;
            }
            wire.send("PONG\r\n").await;
            return;
        }
        let Some((call, c)) = parse_call(&first) else {
            wire.send("SYNTAX\r\n").await;
            return;
        };
        let node = site.node_of.borrow()[c];
        let (from, to) = (site.workload.balancers[node], site.workload.servers[s].zone);
        site.count(ATTEMPTS);
        site.count(OFFERED_SETUPS);
        if from != to {
            site.count(CROSSINGS);
        }
        // The end of an earlier attempt of this call may not have reached its task yet.
        for _ in 0..MAX_WAIT_FOR_EARLIER_ATTEMPT_MS {
            if !self.pending.borrow().contains_key(&call) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        site.note(RunEvent::Sent { node, call: call.clone(), server: s, crosses: from != to });
        let (notices, mut received) = unbounded_channel();
        let (client, now) = (&site.workload.clients[c], site.now());
        let cell = site.cell(c);
        let (job, admission) = {
            let mut h = self.hosts[s].borrow_mut();
            h.last_request += 1;
            let job = (c as u32, h.last_request);
            let chance = (client.seed ^ u64::from(h.last_request).wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64
                / u64::MAX as f64;
            let admission = match () {
                () if h.silent => None,
                () if h.draining => Some(Err(AttemptOutcome::Full)),
                () if chance < h.error_share => Some(Err(AttemptOutcome::Error)),
                () => Some(match h.model.receive_request(now, job, client.load, client.setup_factor) {
                    Arrival::Accepted => Ok(()),
                    Arrival::Full => Err(AttemptOutcome::Full),
                    Arrival::Overloaded => {
                        h.fallen = true;
                        Err(AttemptOutcome::Reset)
                    }
                }),
            };
            if !matches!(admission, Some(Err(_))) {
                h.connections.insert(job, Connection { notices, node, cell, client: c, established: false });
            }
            h.wake.notify_one();
            (job, admission)
        };
        if let Some(Err(how)) = admission {
            site.count(WASTED_SETUPS);
            site.note(RunEvent::Done { node, call, how });
            if how == AttemptOutcome::Reset {
                site.note(RunEvent::Overloaded { server: s });
                return self.die(site, s);
            }
            wire.reject(how == AttemptOutcome::Full).await;
            return;
        }
        self.pending.borrow_mut().insert(call.clone(), (s, job));
        let up = loop {
            tokio::select! {
                biased;
                notice = received.recv() => match notice {
                    Some(Notice::Up) => break true,
                    Some(Notice::Died) | None => break false,
                    Some(_) => {}
                },
                // The balancer sends nothing before the answer, so this is the end of the connection.
                _ = wire.read_next() => break false,
            }
        };
        self.pending.borrow_mut().remove(&call);
        if !up {
            site.count(WASTED_SETUPS);
            site.note(RunEvent::Done { node, call, how: AttemptOutcome::GivenUp });
            return self.remove(site, s, job);
        }
        {
            let mut h = self.hosts[s].borrow_mut();
            h.model.establish(site.now(), job, client.load, client.group);
            if let Some(connection) = h.connections.get_mut(&job) {
                connection.established = true;
            }
        }
        site.note(RunEvent::Done { node, call: call.clone(), how: AttemptOutcome::Up });
        let reported = self.hosts[s].borrow().model.reported_load(client.load);
        let mut random_state = client.seed;
        let mut load_change = Box::pin(tokio::time::sleep(time_to_load_change(&mut random_state)));
        let mut ok = wire.send_up(&format!("{}-{s}", job.1)).await && wire.send_load(reported).await;
        while ok {
            let silent = self.hosts[s].borrow().silent;
            tokio::select! {
                biased;
                notice = received.recv() => match notice {
                    Some(Notice::Move) => {
                        wire.send_move().await;
                        break;
                    }
                    Some(Notice::Delay(ms)) => ok = wire.send_load(ms).await,
                    Some(Notice::Up) => {}
                    Some(Notice::Died) | None => break,
                },
                line = wire.read_next(), if !silent => match line {
                    Some(line) => ok = wire.echo(&line).await,
                    None => break,
                },
                () = &mut load_change => {
                    let load = client.load
                        * (LOAD_CHANGE_FACTOR.0
                            + (LOAD_CHANGE_FACTOR.1 - LOAD_CHANGE_FACTOR.0) * next_uniform(&mut random_state));
                    let reported = {
                        let mut h = self.hosts[s].borrow_mut();
                        h.model.set_load(site.now(), job, load);
                        h.model.reported_load(load)
                    };
                    if !silent {
                        ok = wire.send_load(reported).await;
                    }
                    load_change = Box::pin(tokio::time::sleep(time_to_load_change(&mut random_state)));
                }
                // Looks again whether the server is still silent.
                () = tokio::time::sleep(SILENCE_POLL), if silent => {}
            }
        }
        self.remove(site, s, job);
    }

    /// Removes a connection that has ended.
    fn remove(&self, site: &Site, s: usize, job: Job) {
        let mut h = self.hosts[s].borrow_mut();
        h.connections.remove(&job);
        h.model.remove(site.now(), job);
        h.wake.notify_one();
    }

    /// Ends a server's process: its connections end and its addresses refuse connections.
    pub fn die(&self, site: &Site, s: usize) {
        let mut h = self.hosts[s].borrow_mut();
        h.up = false;
        h.accept_tasks.drain(..).for_each(|task| task.abort());
        h.connections.values().for_each(|c| drop(c.notices.send(Notice::Died)));
        h.model.drop_all(site.now());
    }

    /// Restarts a server's process, cold, unless it failed under overload. Returns whether it runs again.
    pub async fn restart(&self, site: &Rc<Site>, s: usize) -> bool {
        let (address, xmpp_address, fallen) = {
            let h = self.hosts[s].borrow();
            (h.address, h.xmpp_address, h.fallen)
        };
        if fallen {
            return false;
        }
        // The system may keep the addresses in use for a moment.
        for _ in 0..BIND_ATTEMPTS {
            if let (Ok(listener), Ok(xmpp)) =
                (TcpListener::bind(address).await, TcpListener::bind(xmpp_address).await)
            {
                {
                    let mut h = self.hosts[s].borrow_mut();
                    (h.listener, h.xmpp_listener, h.up, h.draining) =
                        (Some(listener), Some(xmpp), true, false);
                    h.model.start(site.now());
                }
                site.note(RunEvent::Started { server: s });
                self.accept(site, s);
                return true;
            }
            tokio::time::sleep(BIND_RETRY).await;
        }
        false
    }

    /// Drains a server: it refuses new requests and moves its clients.
    pub fn drain(&self, s: usize) {
        let mut h = self.hosts[s].borrow_mut();
        h.draining = true;
        h.connections.values().filter(|c| c.established).for_each(|c| drop(c.notices.send(Notice::Move)));
    }

    /// Makes a server silent, or ends its silence.
    pub fn set_silent(&self, s: usize, on: bool) {
        self.hosts[s].borrow_mut().silent = on;
    }

    /// Makes a server fail this share of new requests.
    pub fn set_error_share(&self, s: usize, share: f64) {
        self.hosts[s].borrow_mut().error_share = share;
    }

    /// Signals a fraction of the clients with established connections to disconnect.
    pub fn drop_clients(&self, part: f64) {
        let mut all: Vec<usize> = Vec::new();
        for h in self.hosts.iter() {
            all.extend(h.borrow().connections.values().filter(|c| c.established).map(|c| c.client));
        }
        let n = (all.len() as f64 * part) as usize;
        // Spread evenly over all connections.
        for i in 0..n {
            let client = all[i * all.len() / n];
            self.drop_signals.borrow().get(&client).into_iter().for_each(|signal| signal.notify_one());
        }
    }

    /// Returns the signal that makes a client disconnect.
    pub fn drop_signal(&self, client: usize) -> Rc<Notify> {
        self.drop_signals.borrow_mut().entry(client).or_default().clone()
    }

    /// Calls `show`, for each working server and each cell with connections there, with the cell, the number of its
    /// connections and the share of their messages that meet the target of the message delay.
    pub fn sample(&self, now: Micros, mut show: impl FnMut(usize, u32, f64)) {
        for h in self.hosts.iter() {
            let mut h = h.borrow_mut();
            h.model.advance(now);
            if h.silent || !h.up {
                continue;
            }
            let mut cells: BTreeMap<usize, u32> = BTreeMap::new();
            h.connections
                .values()
                .filter(|c| c.established)
                .for_each(|c| *cells.entry(c.cell).or_default() += 1);
            for (cell, n) in cells {
                show(
                    cell,
                    n,
                    h.model.share_within(now, self.message_targets[cell % self.message_targets.len()]),
                );
            }
        }
    }

    /// Returns each server's load relative to its capacity, and its number of connections.
    pub fn loads(&self, now: Micros) -> (Vec<f32>, Vec<u32>) {
        let load = |h: &Host| if h.up { h.model.utilization(now) as f32 } else { 0.0 };
        self.hosts.iter().map(|h| (load(&h.borrow()), h.borrow().model.connection_count() as u32)).unzip()
    }

    /// Reports each slow server's message delay over one connection of each balancer, and once more when it is no longer
    /// slow. Called once a second.
    pub fn report_delays(&self, site: &Site) {
        let (now, shortest) =
            (site.now(), site.scenario.class.iter().map(|c| c.message.0).min().unwrap_or(0));
        for h in self.hosts.iter() {
            let mut h = h.borrow_mut();
            if h.silent || !h.up {
                continue;
            }
            let (delay, mut reported) = (h.model.mean_message_time(now), std::mem::take(&mut h.slow));
            let slow = delay > shortest as f64 / 3.0;
            let mut first: BTreeMap<usize, &Connection> = BTreeMap::new();
            h.connections.values().filter(|c| c.established).for_each(|c| {
                first.entry(c.node).or_insert(c);
            });
            for (node, connection) in first {
                if slow || reported.get(&node) == Some(&true) {
                    let _ = connection.notices.send(Notice::Delay(delay / 1000.0));
                }
                reported.insert(node, slow);
            }
            h.slow = reported;
        }
    }
}

/// Returns the call and the client's number from the first line of a request.
fn parse_call(first: &str) -> Option<(String, usize)> {
    let call = first.strip_prefix("OPEN ")?.split(' ').next()?;
    let c = call.strip_prefix('c')?.split_once('-')?.0.parse().ok()?;
    Some((call.to_string(), c))
}

/// Draws the time until a connection's next change of load.
fn time_to_load_change(random_state: &mut u64) -> Duration {
    Duration::from_micros((2.0 * MEAN_LOAD_CHANGE_INTERVAL_US * next_uniform(random_state)) as u64)
}
