//! The processes: their start, their signals and their logs; the stand-ins that they need.

use super::checker::Act;
use super::link::{free, relay, Way};
use super::scenario::{Scenario, Zones, ZONES};
use super::wire::{carry, Wire};
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
    /// Where each finds discovery and the servers, over a relay of its own.
    discovery: Vec<(SocketAddr, Arc<Wire>)>,
    servers: Vec<Vec<(SocketAddr, Arc<Wire>)>>,
    /// How the servers of each zone do.
    pub moods: Vec<Arc<Mood>>,
    zones: Option<Zones>,
    clocks: Vec<f64>,
    ways: Vec<Vec<Arc<Way>>>,
    over: Arc<AtomicBool>,
    children: Vec<Option<Child>>,
    doors: Vec<Option<(SocketAddr, SocketAddr)>>,
    log: Log,
}

/// Lines with the number of the process that each is of.
pub type Log = Arc<Mutex<Vec<(usize, String)>>>;

/// The rig's own line on a process, with the time as the processes write it.
pub fn note(log: &Log, i: usize, what: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (s, us) = (now.as_secs() % 86_400, now.subsec_micros());
    let line = format!("rig T{:02}:{:02}:{:02}.{us:06}Z {what}", s / 3_600, s / 60 % 60, s % 60);
    let _ = log.lock().map(|mut log| log.push((i, line)));
}

/// How the servers of a zone do.
#[derive(Default)]
pub struct Mood {
    /// They answer probes and end connections.
    pub fails: AtomicBool,
    /// They take a second to bring a connection up.
    pub slow: AtomicBool,
}

/// Discovery that has nothing to tell beyond the list that each starts with; a server that sends every line back.
fn stand_in(script: impl Fn(TcpStream) + Clone + Send + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || script(stream));
        }
    });
    Ok(address)
}

fn discovery(mut stream: TcpStream) {
    let mut head = BufReader::new(&stream).lines();
    while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    drop(head);
    if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok() {
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            thread::sleep(Duration::from_secs(2));
        }
    }
}

fn server(stream: TcpStream, mood: &Mood) {
    let Ok(mut back) = stream.try_clone() else { return };
    for (n, line) in BufReader::new(stream).lines().map_while(Result::ok).enumerate() {
        let answer = match (n, &*line) {
            (0, "PING") => "PONG".into(),
            (0, _) if mood.fails.load(Relaxed) => return,
            (0, _) => {
                if mood.slow.load(Relaxed) {
                    thread::sleep(Duration::from_secs(1));
                }
                "UP 1".into()
            }
            _ => line,
        };
        if back.write_all(format!("{answer}\r\n").as_bytes()).is_err() {
            return;
        }
    }
}

const SETTINGS: &str = r#"{"Areas":["a","b","c"],"MyZone":"ZONE","PeersTotal":PEERS,"RegistryMode":"subscribe",
  "Classes":[{"Name":"watch","AimMs":800,"DeadlineMs":2000,"Effect":"free","Group":"all","Worth":5},
    {"Name":"payout","AimMs":800,"DeadlineMs":2000,"Effect":"free","Group":"all","Worth":15}],
  "Guarantees":{"ColdShare":1.0,"DrainGraceMs":500,"MustAskInMs":10000},
  "PolicyLimits":{"SendCap":4,"Probes":true,"ConnectTimeoutMs":500,"RetryAfter":true,"MaxRetryAfterMs":2000}}"#;

fn failover(zones: &Zones) -> String {
    format!(
        "[failover]\nconnections = {}.0\nfill = 0.95\nregions = {{ a = \"north\", b = \"north\", c = \"south\" }}\ntell = \"250ms\"\n\
         confirm = \"600ms\"\nstay = \"6s\"\nstep = \"500ms\"\nover = \"300ms\"\nvalid = \"3s\"\nslow = \"600ms\"\nmoves = 120.0\n",
        zones.room
    )
}

impl Fleet {
    /// Starts all of them, with a relay on each way of each link.
    pub fn start(program: &Path, scenario: &Scenario, seed: u64) -> Result<Fleet, String> {
        let told = |e: std::io::Error| format!("the rig: {e}");
        let n = scenario.processes;
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Relaxed);
        let dir = std::env::temp_dir().join(format!("oakdeal-fleet-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).map_err(told)?;
        let key = dir.join("key");
        std::fs::write(&key, "a key of the rig, and nothing else\n").map_err(told)?;
        std::fs::set_permissions(&key, PermissionsExt::from_mode(0o600)).map_err(told)?;
        let bind = || UdpSocket::bind("127.0.0.1:0").and_then(|s| Ok((s.local_addr()?, s))).map_err(told);
        let at: Vec<SocketAddr> = (0..n).map(|_| free()).collect();
        let over = Arc::new(AtomicBool::new(false));
        let mut ways = Vec::new();
        for i in 0..n {
            let (mut row, mut members) = (Vec::new(), String::new());
            for (j, &to) in at.iter().enumerate() {
                let ((via, socket), way) = (bind()?, Arc::new(Way::default()));
                members += &format!("n{j} = \"{}\"\n", if i == j { to } else { via });
                row.push(way.clone());
                let (over, drawn) = (over.clone(), seed << 16 | (i * 64 + j) as u64);
                if i != j {
                    thread::spawn(move || relay(socket, to, way, over, drawn));
                }
            }
            ways.push(row);
            let folder = dir.join(format!("folder-{i}"));
            let text = format!(
                "[group]\nlisten = \"{}\"\nkey = {key:?}\nzone = \"z{}\"\nregion = \"r\"\nvoters = [\"n0\", \"n1\", \"n2\"]\nfolder = {folder:?}\n\
                 probe = \"200ms\"\nspan = \"{}us\"\ndrift = 0.02\nturn = \"60s\"\n[group.members]\n{members}{}",
                at[i],
                i % 3,
                scenario.span.0,
                scenario.zones.as_ref().map_or(String::new(), failover)
            );
            std::fs::write(dir.join(format!("n{i}.toml")), text).map_err(told)?;
        }
        let clocks = (0..n).map(|i| scenario.clocks.get(i).copied().unwrap_or(1.0)).collect();
        let moods: Vec<Arc<Mood>> = ZONES.iter().map(|_| Arc::default()).collect();
        let of_zone = |n: usize| {
            let mood = moods[n % 3].clone();
            stand_in(move |stream| server(stream, &mood)).map_err(told)
        };
        let count = scenario.zones.as_ref().map_or(1, |zones| 3 * zones.servers);
        let all = (0..count).map(of_zone).collect::<Result<Vec<SocketAddr>, String>>()?;
        let discovery = stand_in(discovery).map_err(told)?;
        let wires = |to: SocketAddr| -> Result<Vec<(SocketAddr, Arc<Wire>)>, String> {
            let wires = (0..n).map(|_| Arc::<Wire>::default());
            wires.map(|wire| Ok((carry(to, wire.clone(), over.clone()).map_err(told)?, wire))).collect()
        };
        let discovery = wires(discovery)?;
        let each = all.into_iter().map(&wires).collect::<Result<Vec<_>, String>>()?;
        let servers = (0..n).map(|i| each.iter().map(|server| server[i].clone()).collect()).collect();
        let (children, doors) = ((0..n).map(|_| None).collect(), vec![None; n]);
        let program = program.into();
        let mut fleet = Fleet {
            program,
            dir,
            discovery,
            servers,
            moods,
            zones: scenario.zones.clone(),
            clocks,
            ways,
            over,
            children,
            doors,
            log: Arc::default(),
        };
        (0..n.min(3)).try_for_each(|i| fleet.found(i, None))?;
        (0..n).try_for_each(|i| fleet.run(i))?;
        Ok(fleet)
    }

    /// Makes a voter's folder: of a new group, or of one that takes the place of one that was lost.
    pub fn found(&self, i: usize, instead: Option<usize>) -> Result<(), String> {
        let mut found = Command::new(&self.program);
        found.args(["group", "found", "--name", &format!("n{i}"), "--operator"]);
        found.arg(self.dir.join(format!("n{i}.toml")));
        if let Some(other) = instead {
            found.args(["--instead", &format!("n{other}")]);
        }
        let out = found.output().map_err(|e| format!("{}: {e}", self.program.display()))?;
        match out.status.success() {
            true => Ok(()),
            false => Err(String::from_utf8_lossy(&out.stderr).into_owned()),
        }
    }

    /// A voter's folder, and where the rig puts a copy.
    pub fn folder(&self, i: usize) -> (PathBuf, PathBuf) {
        (self.dir.join(format!("folder-{i}")), self.dir.join(format!("copy-{i}")))
    }

    /// Its link to discovery.
    pub fn to_discovery(&self, i: usize) -> &Wire {
        &self.discovery[i].1
    }

    /// Its links to the servers, with the zone of each.
    pub fn to_servers(&self, i: usize) -> impl Iterator<Item = (usize, &Wire)> {
        self.servers[i].iter().enumerate().map(|(n, (_, wire))| (n % 3, &**wire))
    }

    /// Where it takes clients.
    pub fn lines_at(&self, i: usize) -> Option<SocketAddr> {
        self.doors[i].filter(|_| self.runs(i)).map(|doors| doors.1)
    }

    /// What it shows of the group, as it sees it.
    pub fn show(&self, i: usize) -> Option<String> {
        let (admin, _) = self.doors[i].filter(|_| self.runs(i))?;
        let mut door = TcpStream::connect_timeout(&admin, Duration::from_millis(300)).ok()?;
        door.set_read_timeout(Some(Duration::from_millis(300))).ok()?;
        door.write_all(b"GROUP\r\n").ok()?;
        let mut text = String::new();
        door.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// Starts one, or starts it again with what it has kept.
    pub fn run(&mut self, i: usize) -> Result<(), String> {
        self.launch(i, None)
    }

    /// Starts one whose files can grow to so many blocks of 512 bytes at most.
    pub fn launch(&mut self, i: usize, blocks: Option<u64>) -> Result<(), String> {
        let entry = |(n, (at, _)): (usize, &(SocketAddr, Arc<Wire>))| {
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
        let told = |e: std::io::Error| format!("n{i}: {e}");
        std::fs::write(&path, config).map_err(told)?;
        let mut command = match blocks {
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
            .map_err(told)?;
        let (log, from) = (self.log.clone(), self.mark());
        let stderr = child.stderr.take().ok_or("no log")?;
        thread::spawn(move || {
            let keep = |line| log.lock().map(|mut log| log.push((i, line))).unwrap_or_default();
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(keep);
        });
        self.children[i] = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        let address = |what: String| loop {
            let line = self.lines(from).into_iter().find(|(who, line)| *who == i && line.contains(&what));
            if let Some(at) = line.and_then(|(_, line)| line.split(&what).nth(1)?.trim().parse().ok()) {
                return Ok(at);
            }
            if Instant::now() > until {
                let said: Vec<String> =
                    self.lines(from).into_iter().filter(|(who, _)| *who == i).map(|(_, line)| line).collect();
                return Err(format!("n{i} did not start: {said:?}"));
            }
            thread::sleep(Duration::from_millis(5));
        };
        let admin = address(format!("n{i} answers operators on "))?;
        self.doors[i] = Some((admin, address(format!("n{i} serves "))?));
        Ok(())
    }

    /// The file that has one stop itself before its next act.
    pub fn stop_trigger(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}.stop-before-act"))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// None are not allowed.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Each way to and from one of these: out, and in.
    pub fn ways(&self, who: &[usize], out: bool, inn: bool, change: impl Fn(&Way)) {
        for (i, row) in self.ways.iter().enumerate() {
            for (j, way) in row.iter().enumerate() {
                if (out && who.contains(&i)) || (inn && who.contains(&j)) {
                    change(way);
                }
            }
        }
    }

    /// The way from one to another.
    pub fn way(&self, from: usize, to: usize) -> &Way {
        &self.ways[from][to]
    }

    /// Sends a signal.
    pub fn signal(&self, i: usize, name: &str) {
        if let Some(child) = &self.children[i] {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    /// Kills one, if it runs.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it runs.
    pub fn runs(&self, i: usize) -> bool {
        self.children[i].is_some()
    }

    /// Where the rig writes what it saw itself, beside what the processes log.
    pub fn log(&self) -> Log {
        self.log.clone()
    }

    /// How much has been logged.
    pub fn mark(&self) -> usize {
        self.log.lock().map_or(0, |log| log.len())
    }

    /// What was logged behind a mark.
    pub fn lines(&self, mark: usize) -> Vec<(usize, String)> {
        self.log.lock().map(|log| log[mark..].to_vec()).unwrap_or_default()
    }

    /// All acts seen behind a mark.
    pub fn acts(&self, mark: usize) -> Vec<Act> {
        self.lines(mark).iter().filter_map(|(witness, line)| Act::read(*witness, line)).collect()
    }

    /// Whether a new client of this one is served: it is brought up, and a line comes back.
    pub fn serves(&self, i: usize, id: u64) -> bool {
        let Some((_, lines)) = self.doors[i] else { return false };
        let tried = || -> std::io::Result<bool> {
            let mut client = TcpStream::connect_timeout(&lines, Duration::from_secs(2))?;
            client.set_read_timeout(Some(Duration::from_secs(2)))?;
            client.write_all(format!("OPEN rig-{i}-{id} 2 c=watch,d=2000\r\n").as_bytes())?;
            let (mut lines, mut came) = (BufReader::new(client.try_clone()?), String::new());
            lines.read_line(&mut came)?;
            if came != "UP 1\r\n" {
                return Err(std::io::Error::other(format!("{came:?}")));
            }
            client.write_all(b"here\r\n")?;
            came.clear();
            lines.read_line(&mut came)?;
            Ok(came == "here\r\n")
        };
        // What came instead stands among the logs.
        let came = tried();
        let served = matches!(came, Ok(true));
        if !served {
            note(&self.log, i, &format!("client {id} was not served: {came:?}"));
        }
        served
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        (0..self.len()).for_each(|i| self.kill(i));
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
