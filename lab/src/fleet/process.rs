//! The balancer processes of a run: start, signals and logs, and the discovery and servers that they use.

use super::checker::LoggedAction;
use super::link::{free_address, relay, LinkDirection};
use super::scenario::{Scenario, Zones, ZONES};
use super::wire::{start_relay, StreamLink};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// All processes of one run.
pub struct Fleet {
    program: PathBuf,
    dir: PathBuf,
    /// Relay to discovery of each process.
    discovery: Vec<(SocketAddr, Arc<StreamLink>)>,
    /// Relays to the servers of each process.
    servers: Vec<Vec<(SocketAddr, Arc<StreamLink>)>>,
    /// State of the servers of each zone.
    pub server_states: Vec<Arc<ServerState>>,
    zones: Option<Zones>,
    /// Clock rate of each process.
    clocks: Vec<f64>,
    /// Datagram links, by sender and recipient.
    links: Vec<Vec<Arc<LinkDirection>>>,
    stopped: Arc<AtomicBool>,
    children: Vec<Option<Child>>,
    /// Admin address and client address of each process.
    addresses: Vec<Option<(SocketAddr, SocketAddr)>>,
    log: Log,
}

/// Log lines, each with the number of its process.
pub type Log = Arc<Mutex<Vec<(usize, String)>>>;

/// Adds a line of the test itself about a process, with a time stamp in the format of the processes' logs.
pub fn note(log: &Log, i: usize, what: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (s, us) = (now.as_secs() % 86_400, now.subsec_micros());
    let line = format!("rig T{:02}:{:02}:{:02}.{us:06}Z {what}", s / 3_600, s / 60 % 60, s % 60);
    let _ = log.lock().map(|mut log| log.push((i, line)));
}

/// State of the servers of a zone.
#[derive(Default)]
pub struct ServerState {
    /// Whether they fail all requests. They still answer probes.
    pub fails: AtomicBool,
    /// Whether they need `SLOW_SETUP` to establish a connection.
    pub slow: AtomicBool,
}

/// Set-up time of a connection at a slow server.
const SLOW_SETUP: Duration = Duration::from_secs(1);
/// Interval of the empty chunks that keep a watch of discovery open.
const DISCOVERY_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Starts a TCP service that runs the handler for each connection, and returns its address.
fn start_service(handler: impl Fn(TcpStream) + Clone + Send + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
    Ok(address)
}

/// Discovery that reports no changes to the list that each process starts with.
fn discovery(mut stream: TcpStream) {
    let mut head = BufReader::new(&stream).lines();
    while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    drop(head);
    if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok() {
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            thread::sleep(DISCOVERY_KEEP_ALIVE);
        }
    }
}

/// Session server that answers probes, establishes each connection and echoes every line.
fn server(stream: TcpStream, state: &ServerState) {
    let Ok(mut writer) = stream.try_clone() else { return };
    for (n, line) in BufReader::new(stream).lines().map_while(Result::ok).enumerate() {
        let answer = match (n, &*line) {
            (0, "PING") => "PONG".into(),
            (0, _) if state.fails.load(Relaxed) => return,
            (0, _) => {
                if state.slow.load(Relaxed) {
                    thread::sleep(SLOW_SETUP);
                }
                "UP 1".into()
            }
            _ => line,
        };
        if writer.write_all(format!("{answer}\r\n").as_bytes()).is_err() {
            return;
        }
    }
}

/// Time in which the admin endpoint of a process must answer.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a process must log its addresses after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which each step of a single client's connection must complete.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a process; `ZONE` and `PEERS` are replaced.
const SETTINGS: &str = r#"{"Areas":["a","b","c"],"MyZone":"ZONE","PeersTotal":PEERS,"RegistryMode":"subscribe",
  "Classes":[{"Name":"watch","AimMs":800,"DeadlineMs":2000,"Effect":"free","Group":"all","Worth":5},
    {"Name":"payout","AimMs":800,"DeadlineMs":2000,"Effect":"free","Group":"all","Worth":15}],
  "Guarantees":{"ColdShare":1.0,"DrainGraceMs":500,"MustAskInMs":10000},
  "PolicyLimits":{"SendCap":4,"Probes":true,"ConnectTimeoutMs":500,"RetryAfter":true,"MaxRetryAfterMs":2000}}"#;

/// Returns the `[failover]` section of the operator's file.
fn failover_section(zones: &Zones) -> String {
    format!(
        "[failover]\nconnections = {}.0\nfill = 0.95\nregions = {{ a = \"north\", b = \"north\", c = \"south\" }}\ntell = \"250ms\"\n\
         confirm = \"600ms\"\nstay = \"6s\"\nstep = \"500ms\"\nover = \"300ms\"\nvalid = \"3s\"\nslow = \"600ms\"\nmoves = 120.0\n",
        zones.room
    )
}

impl Fleet {
    /// Starts all processes, with a relay in each direction of each link.
    pub fn start(program: &Path, scenario: &Scenario, seed: u64) -> Result<Fleet, String> {
        let error = |e: std::io::Error| format!("cannot start the fleet: {e}");
        let n = scenario.processes;
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Relaxed);
        let dir = std::env::temp_dir().join(format!("oakdeal-fleet-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).map_err(error)?;
        let key = dir.join("key");
        std::fs::write(&key, "a key of the rig, and nothing else\n").map_err(error)?;
        std::fs::set_permissions(&key, PermissionsExt::from_mode(0o600)).map_err(error)?;
        let bind = || UdpSocket::bind("127.0.0.1:0").and_then(|s| Ok((s.local_addr()?, s))).map_err(error);
        let group_addresses: Vec<SocketAddr> = (0..n).map(|_| free_address()).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let mut links = Vec::new();
        for i in 0..n {
            let (mut row, mut members) = (Vec::new(), String::new());
            for (j, &to) in group_addresses.iter().enumerate() {
                let ((via, socket), direction) = (bind()?, Arc::new(LinkDirection::default()));
                members += &format!("n{j} = \"{}\"\n", if i == j { to } else { via });
                row.push(direction.clone());
                let (stopped, random_state) = (stopped.clone(), seed << 16 | (i * 64 + j) as u64);
                if i != j {
                    thread::spawn(move || relay(socket, to, direction, stopped, random_state));
                }
            }
            links.push(row);
            let folder = dir.join(format!("folder-{i}"));
            let text = format!(
                "[group]\nlisten = \"{}\"\nkey = {key:?}\nzone = \"z{}\"\nregion = \"r\"\nvoters = [\"n0\", \"n1\", \"n2\"]\nfolder = {folder:?}\n\
                 probe = \"200ms\"\nspan = \"{}us\"\ndrift = 0.02\nturn = \"60s\"\n[group.members]\n{members}{}",
                group_addresses[i],
                i % 3,
                scenario.span.0,
                scenario.zones.as_ref().map_or(String::new(), failover_section)
            );
            std::fs::write(dir.join(format!("n{i}.toml")), text).map_err(error)?;
        }
        let clocks = (0..n).map(|i| scenario.clocks.get(i).copied().unwrap_or(1.0)).collect();
        let server_states: Vec<Arc<ServerState>> = ZONES.iter().map(|_| Arc::default()).collect();
        let start_server = |n: usize| {
            let state = server_states[n % 3].clone();
            start_service(move |stream| server(stream, &state)).map_err(error)
        };
        let count = scenario.zones.as_ref().map_or(1, |zones| 3 * zones.servers);
        let server_addresses = (0..count).map(start_server).collect::<Result<Vec<SocketAddr>, String>>()?;
        let discovery = start_service(discovery).map_err(error)?;
        let start_relays = |to: SocketAddr| -> Result<Vec<(SocketAddr, Arc<StreamLink>)>, String> {
            let states = (0..n).map(|_| Arc::<StreamLink>::default());
            states
                .map(|state| Ok((start_relay(to, state.clone(), stopped.clone()).map_err(error)?, state)))
                .collect()
        };
        let discovery = start_relays(discovery)?;
        let by_server =
            server_addresses.into_iter().map(&start_relays).collect::<Result<Vec<_>, String>>()?;
        let servers = (0..n).map(|i| by_server.iter().map(|server| server[i].clone()).collect()).collect();
        let (children, addresses) = ((0..n).map(|_| None).collect(), vec![None; n]);
        let program = program.into();
        let mut fleet = Fleet {
            program,
            dir,
            discovery,
            servers,
            server_states,
            zones: scenario.zones.clone(),
            clocks,
            links,
            stopped,
            children,
            addresses,
            log: Arc::default(),
        };
        (0..n.min(3)).try_for_each(|i| fleet.create_folder(i, None))?;
        (0..n).try_for_each(|i| fleet.start_process(i))?;
        Ok(fleet)
    }

    /// Creates a voter's folder, for a new group or as the replacement of another voter.
    pub fn create_folder(&self, i: usize, replaces: Option<usize>) -> Result<(), String> {
        let mut command = Command::new(&self.program);
        command.args(["group", "found", "--name", &format!("n{i}"), "--operator"]);
        command.arg(self.dir.join(format!("n{i}.toml")));
        if let Some(other) = replaces {
            command.args(["--instead", &format!("n{other}")]);
        }
        let out = command.output().map_err(|e| format!("{}: {e}", self.program.display()))?;
        match out.status.success() {
            true => Ok(()),
            false => Err(String::from_utf8_lossy(&out.stderr).into_owned()),
        }
    }

    /// Returns the paths of a voter's folder and of the copy that a fault can make of it.
    pub fn folder(&self, i: usize) -> (PathBuf, PathBuf) {
        (self.dir.join(format!("folder-{i}")), self.dir.join(format!("copy-{i}")))
    }

    /// Returns the link from a process to discovery.
    pub fn to_discovery(&self, i: usize) -> &StreamLink {
        &self.discovery[i].1
    }

    /// Returns the links from a process to the servers, each with the index of its server's zone.
    pub fn to_servers(&self, i: usize) -> impl Iterator<Item = (usize, &StreamLink)> {
        self.servers[i].iter().enumerate().map(|(n, (_, state))| (n % 3, &**state))
    }

    /// Returns the address at which a process accepts clients, if it runs.
    pub fn client_address(&self, i: usize) -> Option<SocketAddr> {
        self.addresses[i].filter(|_| self.is_running(i)).map(|addresses| addresses.1)
    }

    /// Returns the status of the group as a process reports it.
    pub fn group_status(&self, i: usize) -> Option<String> {
        let (admin, _) = self.addresses[i].filter(|_| self.is_running(i))?;
        let mut connection = TcpStream::connect_timeout(&admin, ADMIN_TIMEOUT).ok()?;
        connection.set_read_timeout(Some(ADMIN_TIMEOUT)).ok()?;
        connection.write_all(b"GROUP\r\n").ok()?;
        let mut text = String::new();
        connection.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// Starts a process. Its stored state, if any, is used.
    pub fn start_process(&mut self, i: usize) -> Result<(), String> {
        self.start_limited(i, None)
    }

    /// Starts a process with a limit on the size of its files, in blocks of 512 bytes.
    pub fn start_limited(&mut self, i: usize, max_blocks: Option<u64>) -> Result<(), String> {
        let entry = |(n, (at, _)): (usize, &(SocketAddr, Arc<StreamLink>))| {
            let zone = ZONES[n % 3];
            format!(
                r#"{{"name":"s-{:08x}","address":"{at}","zone":"{zone}","type":"m","group":0,"status":"ready","weight":1.0,"since_ms":0}}"#,
                n + 1
            )
        };
        let entries: Vec<String> = self.servers[i].iter().enumerate().map(entry).collect();
        let known = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        let peers = if self.zones.is_some() { self.len() } else { 1 };
        let zone = if self.zones.is_some() { ZONES[i % 3] } else { "a" };
        let settings = SETTINGS.replace("ZONE", zone).replace("PEERS", &peers.to_string());
        let config = format!(
            r#"{{"name":"n{i}","listen":"127.0.0.1:0","discovery":"{}","seed":"{i}","limits":{{"sockets":512}},"known":{known},"settings":{settings}}}"#,
            self.discovery[i].0
        );
        let path = self.dir.join(format!("n{i}.json"));
        let error = |e: std::io::Error| format!("n{i}: {e}");
        std::fs::write(&path, config).map_err(error)?;
        let mut command = match max_blocks {
            None => Command::new(&self.program),
            Some(blocks) => {
                let mut shell = Command::new("sh");
                let limited = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\"");
                shell.args(["-c", &limited]).arg(&self.program);
                shell
            }
        };
        let mut child = command
            .env("LB_CONFIG", path)
            .env("LB_ADMIN", "127.0.0.1:0")
            .env("OAKDEAL_OPERATOR", self.dir.join(format!("n{i}.toml")))
            .env("OAKDEAL_RIG_CLOCK_RATE", self.clocks[i].to_string())
            .env("OAKDEAL_STOP_BEFORE_ACT", self.stop_trigger(i))
            .env(
                "RUST_LOG",
                std::env::var("OAKDEAL_RIG_LOG").unwrap_or("oakdeal=info,oakdeal::act=debug".into()),
            )
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .map_err(error)?;
        let (log, from) = (self.log.clone(), self.log_position());
        let stderr = child.stderr.take().ok_or("the process has no standard error stream")?;
        thread::spawn(move || {
            let append = |line| log.lock().map(|mut log| log.push((i, line))).unwrap_or_default();
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(append);
        });
        self.children[i] = Some(child);
        let until = Instant::now() + START_TIMEOUT;
        let logged_address = |prefix: String| loop {
            let line =
                self.log_lines(from).into_iter().find(|(who, line)| *who == i && line.contains(&prefix));
            if let Some(at) = line.and_then(|(_, line)| line.split(&prefix).nth(1)?.trim().parse().ok()) {
                return Ok(at);
            }
            if Instant::now() > until {
                let logged: Vec<String> = self
                    .log_lines(from)
                    .into_iter()
                    .filter(|(who, _)| *who == i)
                    .map(|(_, line)| line)
                    .collect();
                return Err(format!("n{i} did not start; its log: {logged:?}"));
            }
            thread::sleep(Duration::from_millis(5));
        };
        let admin = logged_address(format!("n{i} answers operators on "))?;
        self.addresses[i] = Some((admin, logged_address(format!("n{i} serves "))?));
        Ok(())
    }

    /// Returns the path of the file whose existence makes a process stop itself before its next action.
    pub fn stop_trigger(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}.stop-before-act"))
    }

    /// Returns the number of processes.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether there are no processes.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Changes each link from one of the processes, if `outgoing`, and each link to one of them, if `incoming`.
    pub fn change_links(
        &self,
        processes: &[usize],
        outgoing: bool,
        incoming: bool,
        change: impl Fn(&LinkDirection),
    ) {
        for (i, row) in self.links.iter().enumerate() {
            for (j, direction) in row.iter().enumerate() {
                if (outgoing && processes.contains(&i)) || (incoming && processes.contains(&j)) {
                    change(direction);
                }
            }
        }
    }

    /// Returns the link from one process to another.
    pub fn link(&self, from: usize, to: usize) -> &LinkDirection {
        &self.links[from][to]
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, i: usize, name: &str) {
        if let Some(child) = &self.children[i] {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    /// Kills a process, if it runs.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process runs.
    pub fn is_running(&self, i: usize) -> bool {
        self.children[i].is_some()
    }

    /// Returns the log of the processes, to which the test adds its own lines.
    pub fn log(&self) -> Log {
        self.log.clone()
    }

    /// Returns the number of lines logged so far.
    pub fn log_position(&self) -> usize {
        self.log.lock().map_or(0, |log| log.len())
    }

    /// Returns the lines logged since a position.
    pub fn log_lines(&self, from: usize) -> Vec<(usize, String)> {
        self.log.lock().map(|log| log[from..].to_vec()).unwrap_or_default()
    }

    /// Returns the actions logged since a position.
    pub fn actions(&self, from: usize) -> Vec<LoggedAction> {
        self.log_lines(from)
            .iter()
            .filter_map(|(witness, line)| LoggedAction::parse(*witness, line))
            .collect()
    }

    /// Opens a connection at a process and returns whether it is established and a line is echoed.
    pub fn serves_client(&self, i: usize, id: u64) -> bool {
        let Some((_, address)) = self.addresses[i] else { return false };
        let try_client = || -> std::io::Result<bool> {
            let mut client = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT)?;
            client.set_read_timeout(Some(CLIENT_TIMEOUT))?;
            client.write_all(format!("OPEN rig-{i}-{id} 2 c=watch,d=2000\r\n").as_bytes())?;
            let (mut reader, mut line) = (BufReader::new(client.try_clone()?), String::new());
            reader.read_line(&mut line)?;
            if line != "UP 1\r\n" {
                return Err(std::io::Error::other(format!("{line:?}")));
            }
            client.write_all(b"here\r\n")?;
            line.clear();
            reader.read_line(&mut line)?;
            Ok(line == "here\r\n")
        };
        let result = try_client();
        let served = matches!(result, Ok(true));
        if !served {
            note(&self.log, i, &format!("client {id} was not served: {result:?}"));
        }
        served
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
        (0..self.len()).for_each(|i| self.kill(i));
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
