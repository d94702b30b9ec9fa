//! Emulated discovery over HTTP/1.1: the list of servers, and watches that receive each change after a delay.

use super::site::Site;
use crate::scenario::plan::{random_stream, Workload};
use crate::scenario::Scenario;
use crate::score::record::RunEvent;
use crate::virt::engine::host_id;
use oakdeal::{HostState, Micros};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::spawn_local;

/// List entry of a server.
#[derive(Clone)]
struct ListEntry {
    address: SocketAddr,
    zone: String,
    size: f64,
    state: HostState,
    /// Unix time of the server's start; 0 if it has run since before the run.
    since_ms: u64,
}

/// One change for a watch: its line, the server and its state.
type Change = (String, usize, HostState);

/// Interval at which an idle watch receives an empty line.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// The discovery service.
pub struct Discovery {
    /// One listener per balancer, by which the caller is identified.
    listeners: RefCell<Vec<TcpListener>>,
    addresses: Vec<SocketAddr>,
    entries: RefCell<Vec<ListEntry>>,
    /// Index of the last change.
    index: Cell<u64>,
    down: Cell<bool>,
    /// Watches, each with the balancer that opened it. `None` ends a watch.
    watches: RefCell<Vec<(usize, UnboundedSender<Option<Change>>)>>,
    /// Minimum and maximum delay of a change.
    delay: (Micros, Micros),
    rng: RefCell<rand_chacha::ChaCha8Rng>,
}

impl Discovery {
    /// Binds one address per balancer.
    pub async fn bind(
        scenario: &Scenario,
        workload: &Workload,
        servers: &[SocketAddr],
        seed: u64,
    ) -> Result<Rc<Discovery>, String> {
        let mut listeners = Vec::new();
        for _ in &workload.balancers {
            listeners
                .push(TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("cannot listen: {e}"))?);
        }
        let addresses: Result<Vec<SocketAddr>, _> = listeners.iter().map(TcpListener::local_addr).collect();
        let entry = |(m, &address): (&crate::scenario::plan::Machine, &SocketAddr)| ListEntry {
            address,
            zone: scenario.zone[m.zone].name.clone(),
            size: m.cores * m.speed,
            state: HostState::Ready,
            since_ms: 0,
        };
        let (low, high) = scenario.fleet.told_after;
        Ok(Rc::new(Discovery {
            listeners: RefCell::new(listeners),
            addresses: addresses.map_err(|e| e.to_string())?,
            entries: RefCell::new(workload.servers.iter().zip(servers).map(entry).collect()),
            index: Cell::new(1),
            down: Cell::new(false),
            watches: RefCell::default(),
            delay: (low.0, high.0.max(low.0)),
            rng: RefCell::new(random_stream(seed, "lag")),
        }))
    }

    /// Returns the address of discovery for a balancer.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    /// Returns a server's entry in discovery's JSON format.
    fn entry(&self, s: usize) -> String {
        let e = &self.entries.borrow()[s];
        let status = match e.state {
            HostState::Ready => "ready",
            HostState::Draining => "draining",
            HostState::Gone => "gone",
        };
        format!(
            r#"{{"name":"s-{:08x}","address":"{}","zone":"{}","type":"m","group":0,"status":"{status}","weight":{},"since_ms":{}}}"#,
            host_id(s),
            e.address,
            e.zone,
            e.size,
            e.since_ms
        )
    }

    /// Returns the whole list in discovery's JSON format.
    pub fn list(&self) -> String {
        let listed = |s: &usize| self.entries.borrow()[*s].state != HostState::Gone;
        let n = self.entries.borrow().len();
        let all: Vec<String> = (0..n).filter(listed).map(|s| self.entry(s)).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index.get(), all.join(","))
    }

    /// Starts to answer calls.
    pub fn serve(self: &Rc<Self>, site: &Rc<Site>) {
        for (node, listener) in self.listeners.borrow_mut().drain(..).enumerate() {
            let (all, site) = (self.clone(), site.clone());
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (all, site) = (all.clone(), site.clone());
                    spawn_local(async move { drop(all.answer(&site, node, stream).await) });
                }
            });
        }
    }

    /// Answers one call, and keeps it open if it is a watch.
    async fn answer(&self, site: &Rc<Site>, node: usize, stream: TcpStream) -> std::io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let first = lines.next_line().await?.unwrap_or_default();
        while lines.next_line().await?.is_some_and(|line| !line.is_empty()) {}
        if self.down.get() {
            return write.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
        let list = self.list() + "\n";
        let record_told = |s: usize, state: HostState| {
            site.note(RunEvent::state_notified(node, s, state));
        };
        let states: Vec<HostState> = self.entries.borrow().iter().map(|e| e.state).collect();
        if !first.contains("watch=1") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                list.len()
            );
            write.write_all((head + &list).as_bytes()).await?;
            states.iter().enumerate().for_each(|(s, &state)| record_told(s, state));
            return Ok(());
        }
        let (sender, mut changes) = unbounded_channel();
        self.watches.borrow_mut().push((node, sender));
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
        write.write_all((head + &chunk(&list)).as_bytes()).await?;
        states.iter().enumerate().for_each(|(s, &state)| record_told(s, state));
        loop {
            let line = tokio::select! {
                change = changes.recv() => match change {
                    Some(Some((line, server, state))) => {
                        site.note(RunEvent::state_notified(node, server, state));
                        line
                    }
                    // Discovery goes down, which ends all watches.
                    _ => return Ok(()),
                },
                () = tokio::time::sleep(KEEP_ALIVE) => "\n".into(),
            };
            write.write_all(chunk(&line).as_bytes()).await?;
        }
    }

    /// Changes a server's state and reports it to each watch after a random delay. `started` also sets its start time.
    pub fn change(self: &Rc<Self>, site: &Rc<Site>, s: usize, state: HostState, started: Option<()>) {
        {
            let mut entries = self.entries.borrow_mut();
            entries[s].state = state;
            if started.is_some() {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                entries[s].since_ms = unix.as_millis() as u64;
            }
        }
        self.index.set(self.index.get() + 1);
        let line = format!(
            "{{\"index\":{},\"snapshot\":false,\"endpoints\":[{}]}}\n",
            self.index.get(),
            self.entry(s)
        );
        for (_, watch) in self.watches.borrow().iter() {
            let (watch, line, site) = (watch.clone(), line.clone(), site.clone());
            let at = site.now() + self.rng.borrow_mut().random_range(self.delay.0..=self.delay.1);
            spawn_local(async move {
                site.until(at).await;
                // Fails if the watch has ended, which needs no handling.
                let _ = watch.send(Some((line, s, state)));
            });
        }
    }

    /// Makes discovery unavailable, which ends all watches, or available again.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if down {
            self.watches.borrow_mut().drain(..).for_each(|(_, watch)| drop(watch.send(None)));
        }
    }
}
