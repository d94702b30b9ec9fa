//! Discovery over HTTP/1.1: the list, and watches that are told of each change in their own time.

use super::site::Site;
use crate::scenario::plan::{stream, Plan};
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

#[derive(Clone)]
struct Listed {
    address: SocketAddr,
    zone: String,
    size: f64,
    state: HostState,
    since_ms: u64,
}

/// One change for a watch: its line, the server and its state.
type News = (String, usize, HostState);

/// The service.
pub struct Discovery {
    /// A listener for each balancer: so it is known who asks.
    listeners: RefCell<Vec<TcpListener>>,
    addresses: Vec<SocketAddr>,
    entries: RefCell<Vec<Listed>>,
    index: Cell<u64>,
    down: Cell<bool>,
    watches: RefCell<Vec<(usize, UnboundedSender<Option<News>>)>>,
    lag: (Micros, Micros),
    rng: RefCell<rand_chacha::ChaCha8Rng>,
}

impl Discovery {
    /// Listens.
    pub async fn bind(
        scenario: &Scenario,
        plan: &Plan,
        servers: &[SocketAddr],
        seed: u64,
    ) -> Result<Rc<Discovery>, String> {
        let mut listeners = Vec::new();
        for _ in &plan.balancers {
            listeners
                .push(TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("cannot listen: {e}"))?);
        }
        let addresses: Result<Vec<SocketAddr>, _> = listeners.iter().map(TcpListener::local_addr).collect();
        let listed = |(m, &address): (&crate::scenario::plan::Machine, &SocketAddr)| Listed {
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
            entries: RefCell::new(plan.servers.iter().zip(servers).map(listed).collect()),
            index: Cell::new(1),
            down: Cell::new(false),
            watches: RefCell::default(),
            lag: (low.0, high.0.max(low.0)),
            rng: RefCell::new(stream(seed, "lag")),
        }))
    }

    /// Where a balancer finds it.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

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

    /// The whole list in its own form.
    pub fn list(&self) -> String {
        let listed = |s: &usize| self.entries.borrow()[*s].state != HostState::Gone;
        let n = self.entries.borrow().len();
        let all: Vec<String> = (0..n).filter(listed).map(|s| self.entry(s)).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", self.index.get(), all.join(","))
    }

    /// Answers from now on.
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

    async fn answer(&self, site: &Rc<Site>, node: usize, stream: TcpStream) -> std::io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let first = lines.next_line().await?.unwrap_or_default();
        while lines.next_line().await?.is_some_and(|line| !line.is_empty()) {}
        if self.down.get() {
            return write.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
        let list = self.list() + "\n";
        let told = |s: usize, state: HostState| {
            site.note(RunEvent::state_notified(node, s, state));
        };
        let states: Vec<HostState> = self.entries.borrow().iter().map(|e| e.state).collect();
        if !first.contains("watch=1") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                list.len()
            );
            write.write_all((head + &list).as_bytes()).await?;
            states.iter().enumerate().for_each(|(s, &state)| told(s, state));
            return Ok(());
        }
        let (to, mut news) = unbounded_channel();
        self.watches.borrow_mut().push((node, to));
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
        write.write_all((head + &chunk(&list)).as_bytes()).await?;
        states.iter().enumerate().for_each(|(s, &state)| told(s, state));
        loop {
            let line = tokio::select! {
                news = news.recv() => match news {
                    Some(Some((line, server, state))) => {
                        site.note(RunEvent::state_notified(node, server, state));
                        line
                    }
                    // It goes down: watches end.
                    _ => return Ok(()),
                },
                () = tokio::time::sleep(Duration::from_secs(2)) => "\n".into(),
            };
            write.write_all(chunk(&line).as_bytes()).await?;
        }
    }

    /// A server's entry changes; each watch is told in its own time.
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
            let at = site.now() + self.rng.borrow_mut().random_range(self.lag.0..=self.lag.1);
            spawn_local(async move {
                site.until(at).await;
                // A watch that has ended is told nothing.
                let _ = watch.send(Some((line, s, state)));
            });
        }
    }

    /// It goes down, or is back.
    pub fn down(&self, down: bool) {
        self.down.set(down);
        if down {
            self.watches.borrow_mut().drain(..).for_each(|(_, watch)| drop(watch.send(None)));
        }
    }
}
