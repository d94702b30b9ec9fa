//! The balancer processes of a live run: configuration, start, restart and end.

use super::discovery::Discovery;
use super::site::Site;
use super::wire::Protocol;
use crate::scenario::plan::Workload;
use crate::scenario::Scenario;
use crate::score::record::RunEvent;
use crate::virt::engine::host_id;
use oakdeal::Micros;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// Time from SIGTERM to SIGKILL: the longest deadline, taken as 3 s, plus 0.7 s.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Time in which a balancer must answer after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after SIGTERM from which new clients are no longer sent to a balancer.
const CLOSE_DELAY: Duration = Duration::from_millis(300);

struct Balancer {
    child: RefCell<Option<Child>>,
    address: SocketAddr,
    /// Address for XMPP clients, if the scenario has any.
    xmpp: Option<SocketAddr>,
    zone: usize,
    /// Whether new clients are sent to it.
    accepts_clients: Cell<bool>,
    settings: String,
}

/// All balancers of a live run.
pub struct Balancers {
    program: PathBuf,
    folder: PathBuf,
    operator: bool,
    seed: u64,
    all: Vec<Balancer>,
}

impl Balancers {
    /// Starts all balancers and waits until they answer.
    pub async fn start(
        scenario: &Scenario,
        workload: &Workload,
        program: &Path,
        discovery: &Discovery,
        xmpp_servers: &[SocketAddr],
        seed: u64,
    ) -> Result<Balancers, String> {
        let folder = std::env::temp_dir().join(format!("oakdeal-lab-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("cannot create {}: {e}", folder.display()))?;
        let error = |e: std::io::Error| format!("cannot write a configuration: {e}");
        if let Some(text) = &scenario.operator {
            std::fs::write(folder.join("oakdeal.toml"), text.get_ref()).map_err(error)?;
        }
        let mut all = Vec::new();
        for &zone in &workload.balancers {
            // The addresses are free now, and nothing else binds loopback ports before the balancers do.
            let free_address = || {
                let address = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
                address.map_err(|e| format!("no free address: {e}"))
            };
            let xmpp = if scenario.fleet.xmpp > 0.0 { Some(free_address()?) } else { None };
            if let Some(at) = xmpp {
                let text = xmpp_operator_file(scenario, at, xmpp_servers);
                std::fs::write(folder.join(format!("n{}.toml", all.len())), text).map_err(error)?;
            }
            all.push(Balancer {
                child: RefCell::new(None),
                address: free_address()?,
                xmpp,
                zone,
                accepts_clients: Cell::new(true),
                settings: scenario.balancer_settings(zone).to_string(),
            });
        }
        let operator = scenario.operator.is_some();
        let balancers = Balancers { program: program.into(), folder, operator, seed, all };
        for n in 0..balancers.all.len() {
            balancers.start_process(n, discovery).await?;
        }
        Ok(balancers)
    }

    /// Returns the number of balancers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no balancers.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Starts a balancer's process and waits until it answers.
    async fn start_process(&self, n: usize, discovery: &Discovery) -> Result<(), String> {
        let b = &self.all[n];
        let config = format!(
            r#"{{"name":"n{n}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"sockets":1024}},"known":{},"settings":{}}}"#,
            b.address,
            discovery.address(n),
            self.seed ^ n as u64,
            discovery.list(),
            b.settings
        );
        let path = self.folder.join(format!("n{n}.json"));
        std::fs::write(&path, config).map_err(|e| format!("cannot write a configuration: {e}"))?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("n{n}.log")));
        let mut command = Command::new(&self.program);
        command.env("LB_CONFIG", path).env("RUST_LOG", "warn").current_dir(&self.folder).kill_on_drop(true);
        if b.xmpp.is_some() {
            command.env("OAKDEAL_OPERATOR", self.folder.join(format!("n{n}.toml")));
        }
        if self.operator {
            command.env("OAKDEAL_OPERATOR", self.folder.join("oakdeal.toml"));
        }
        command.stderr(log.map_err(|e| format!("cannot write a log: {e}"))?);
        let child = command.spawn().map_err(|e| format!("cannot start {}: {e}", self.program.display()))?;
        *b.child.borrow_mut() = Some(child);
        let answered = async {
            loop {
                if let Ok(mut stream) = TcpStream::connect(b.address).await {
                    let mut line = String::new();
                    if stream.write_all(b"PING\r\n").await.is_ok()
                        && BufReader::new(stream).read_line(&mut line).await.is_ok()
                        && line.trim() == "PONG"
                    {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let log = self.folder.join(format!("n{n}.log"));
        tokio::time::timeout(START_TIMEOUT, answered)
            .await
            .map_err(|_| format!("balancer {n} does not answer; see its log {}", log.display()))
    }

    /// Returns a balancer for a client of this zone: one in the zone if any accepts clients, else any other. `uniform` is a
    /// random number from 0 to 1.
    pub fn pick(&self, zone: usize, uniform: f64, protocol: Protocol) -> Option<(usize, SocketAddr)> {
        let accepting = |in_zone: bool| -> Vec<usize> {
            let all = self.all.iter().enumerate();
            all.filter(|(_, b)| b.accepts_clients.get() && (!in_zone || b.zone == zone))
                .map(|(n, _)| n)
                .collect()
        };
        let in_zone = accepting(true);
        let candidates = if in_zone.is_empty() { accepting(false) } else { in_zone };
        candidates.get((uniform * candidates.len() as f64) as usize).map(|&n| {
            let b = &self.all[n];
            (n, if protocol == Protocol::Xmpp { b.xmpp.unwrap_or(b.address) } else { b.address })
        })
    }

    fn signal(&self, n: usize, name: &str) {
        if let Some(id) = self.all[n].child.borrow().as_ref().and_then(Child::id) {
            let _ = std::process::Command::new("kill").args([name, &id.to_string()]).status();
        }
    }

    /// Restarts a balancer as in a release: SIGTERM, SIGKILL, and a new process after `down`.
    pub async fn restart(&self, site: &Rc<Site>, discovery: &Discovery, n: usize, down: Micros) {
        self.signal(n, "-TERM");
        tokio::time::sleep(CLOSE_DELAY).await;
        self.all[n].accepts_clients.set(false);
        tokio::time::sleep(TERMINATION_TIMEOUT - CLOSE_DELAY).await;
        self.kill(site, discovery, n, down).await;
    }

    /// Kills a balancer and starts a new process after `down`.
    pub async fn kill(&self, site: &Rc<Site>, discovery: &Discovery, n: usize, down: Micros) {
        site.note(RunEvent::Died { node: n });
        *site.deaths.borrow_mut().entry(n).or_default() += 1;
        let child = self.all[n].child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
        tokio::time::sleep(Duration::from_micros(down)).await;
        self.all[n].accepts_clients.set(false);
        match self.start_process(n, discovery).await {
            Ok(()) => self.all[n].accepts_clients.set(true),
            Err(e) => eprintln!("oakdeal-lab: {e}"),
        }
    }

    /// Replaces the operator's file and makes all balancers reload it.
    pub fn reload_operator(&self, text: &str) {
        if std::fs::write(self.folder.join("oakdeal.toml"), text).is_ok() {
            (0..self.all.len()).for_each(|n| self.signal(n, "-HUP"));
        }
    }

    /// Kills all balancers and deletes their files.
    pub async fn end(&self) {
        for b in &self.all {
            let child = b.child.borrow_mut().take();
            if let Some(mut child) = child {
                let _ = child.kill().await;
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns an operator's file with the `[xmpp]` section: one domain per class and the XMPP address of each server.
fn xmpp_operator_file(scenario: &Scenario, listen: SocketAddr, servers: &[SocketAddr]) -> String {
    let instances =
        servers.iter().enumerate().map(|(s, at)| format!("\"s-{:08x}\" = \"{at}\"\n", host_id(s)));
    let service = |c: &crate::scenario::Class| {
        format!("[[xmpp.service]]\ndomain = \"{0}.lab\"\nclass = \"{0}\"\n", c.name)
    };
    let services: String = scenario.class.iter().map(service).collect();
    format!("[xmpp]\nlisten = \"{listen}\"\n[xmpp.instances]\n{}{services}", instances.collect::<String>())
}
