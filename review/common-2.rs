//! Small stand-ins for the second review: discovery, session servers, clients, and the start and end of balancers.
//! Standard library only. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is played: not with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, a line each with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }
    pub fn ms(&self) -> u64 {
        self.0 .0.elapsed().as_millis() as u64
    }
    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:>8} {}\n", self.ms(), text.as_ref());
        let _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the case with 2. Unwinds to [`run_case`], so that everything that was started is ended on the way.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::panic::resume_unwind(Box::new("cannot run"))
}

/// Plays a case with its record in the folder that the first argument names, and ends with its exit code.
pub fn run_case(play: fn(&Record) -> Vec<String>) -> ! {
    let code = std::panic::catch_unwind(|| {
        let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: case FOLDER"));
        let record = Record::new(&Path::new(&folder).join("record.txt"));
        let broken = play(&record);
        verdict(&record, &broken)
    });
    std::process::exit(code.unwrap_or(2))
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"fast-2c","group":0,"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.status, self.since_ms
        )
    }
}

pub fn listing(index: u64, whole: bool, entries: &[Entry]) -> String {
    let all: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, all.join(","))
}

/// Versions of the list: each is a set of changed entries; version 1 is the first list.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Vec<Vec<Entry>>>, Condvar)>,
}

impl Discovery {
    pub fn start(first: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(vec![first]), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || {
                    let _ = serve_discovery(stream, &state);
                });
            }
        });
        Discovery { address, state }
    }
    pub fn change(&self, changed: Vec<Entry>) {
        self.state.0.lock().unwrap().push(changed);
        self.state.1.notify_all();
    }
    pub fn whole(&self) -> String {
        let versions = self.state.0.lock().unwrap();
        listing(versions.len() as u64, true, &whole(&versions))
    }
}

fn whole(versions: &[Vec<Entry>]) -> Vec<Entry> {
    let mut all = BTreeMap::new();
    for entry in versions.iter().flatten() {
        all.insert(entry.name.clone(), entry.clone());
    }
    all.into_values().filter(|e| e.status != "gone").collect()
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn serve_discovery(mut stream: TcpStream, state: &(Mutex<Vec<Vec<Entry>>>, Condvar)) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut request = String::new();
    reader.read_line(&mut request)?;
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    if !request.contains("watch=1") {
        let versions = state.0.lock().unwrap().clone();
        let body = listing(versions.len() as u64, true, &whole(&versions)) + "\n";
        return stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    }
    let from: usize = request.split("from=").nth(1).and_then(|t| t.split([' ', '&']).next()).and_then(|n| n.parse().ok()).unwrap_or(0);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut seen = from;
    let mut first = true;
    loop {
        let versions = {
            let guard = state.0.lock().unwrap();
            let guard = if first || guard.len() > seen { guard } else { state.1.wait_timeout(guard, ms(2000)).unwrap().0 };
            guard.clone()
        };
        if versions.len() > seen {
            let text = match seen {
                0 => listing(versions.len() as u64, true, &whole(&versions)),
                _ => listing(versions.len() as u64, false, &versions[seen..].concat()),
            };
            seen = versions.len();
            chunk(&mut stream, &(text + "\n"))?;
        } else {
            chunk(&mut stream, "\n")?;
        }
        first = false;
    }
}

// ---------------------------------------------------------------- session servers

/// A session server of the line protocol. While it hangs it accepts and reads, and answers nothing.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub hangs: Arc<AtomicBool>,
    pub opened: Arc<AtomicU64>,
}

impl Server {
    pub fn start(name: &str, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let (hangs, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let server = Server { name: name.into(), address, hangs: hangs.clone(), opened: opened.clone() };
        let (name, record) = (name.to_string(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, hangs, opened) = (name.clone(), record.clone(), hangs.clone(), opened.clone());
                thread::spawn(move || {
                    let _ = serve_session(stream, &name, &record, &hangs, &opened);
                });
            }
        });
        server
    }
    pub fn entry(&self, zone: &str) -> Entry {
        Entry { name: self.name.clone(), address: self.address, zone: zone.into(), status: "ready", since_ms: 0 }
    }
}

fn serve_session(mut stream: TcpStream, name: &str, record: &Record, hangs: &AtomicBool, opened: &AtomicU64) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut lines = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    if lines.read_line(&mut line)? == 0 {
        return Ok(());
    }
    let first = line.trim_end().to_string();
    if first == "PING" {
        if !hangs.load(Ordering::SeqCst) {
            stream.write_all(b"PONG\r\n")?;
        }
    } else if first.starts_with("OPEN ") {
        let hung = hangs.load(Ordering::SeqCst);
        record.say(format!("server {name} got {first}{}", if hung { " (hangs)" } else { "" }));
        if !hung {
            let n = opened.fetch_add(1, Ordering::SeqCst);
            stream.write_all(format!("UP {name}.{n}\r\n").as_bytes())?;
        }
    } else {
        record.say(format!("server {name} got a line that is no request: {first}"));
        return stream.write_all(b"SYNTAX\r\n");
    }
    loop {
        line.clear();
        if lines.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if !hangs.load(Ordering::SeqCst) {
            stream.write_all(line.as_bytes())?;
        }
    }
}

// ---------------------------------------------------------------- balancers

/// A free port on loopback, at the moment of the call.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(tag: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("oakdeal-review-{tag}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Folder(path)
    }
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
    let line = text.lines().find(|l| l.starts_with("run = ")).unwrap_or_else(|| cannot_run("no run command"));
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("no run command")).to_string()
}

pub struct Balancer {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Balancer {
    pub fn start(name: &str, config: &Path, listen: SocketAddr, folder: &Folder, extra: &[(&str, String)]) -> Balancer {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.0.join(format!("{name}.log"))).unwrap();
        let tmp = folder.0.join(format!("tmp-{name}"));
        let _ = std::fs::create_dir_all(&tmp);
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).env("LB_CONFIG", config).env("LB_NAME", name).env("LB_LISTEN", listen.to_string());
        command.env("TMPDIR", tmp).env_remove("OAKDEAL_OPERATOR").env_remove("LB_ADMIN").env_remove("LB_FD");
        for (key, value) in extra {
            command.env(key, value);
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log).spawn();
        Balancer { child: child.unwrap_or_else(|e| cannot_run(&e.to_string())), listen }
    }
    pub fn signal(&self, name: &str) {
        let done = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        if !done.is_ok_and(|s| s.success()) && name != "KILL" && name != "CONT" {
            eprintln!("kill -{name} failed");
        }
    }
    /// Waits for PONG as the front does.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, ms(500)) {
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let mut answer = [0; 6];
                if stream.write_all(b"PING\r\n").is_ok() && stream.read_exact(&mut answer).is_ok() && &answer == b"PONG\r\n" {
                    return true;
                }
            }
            thread::sleep(ms(50));
        }
        false
    }
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------- clients

pub struct Client {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// What came when a line was waited for.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    Line(String),
    /// The connection ended: how.
    Ended(String),
    Nothing,
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, ms(2000))?;
        let _ = stream.set_nodelay(true);
        Ok(Client { stream, buffer: Vec::new() })
    }
    pub fn send(&mut self, line: &str) -> std::io::Result<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes())
    }
    pub fn line(&mut self, limit: Duration) -> Got {
        let until = Instant::now() + limit;
        loop {
            if let Some(n) = self.buffer.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=n).collect();
                return Got::Line(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Got::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(ms(1))));
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Got::Ended("end of stream".into()),
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
                Err(e) => return Got::Ended(e.kind().to_string()),
            }
        }
    }
}

/// An id of 16 hexadecimal digits, new with each call.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let seed = (std::process::id() as u64) << 32 | NEXT.fetch_add(1, Ordering::SeqCst);
    let mut z = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:016x}", z ^ (z >> 31))
}

/// The verdict: writes it and ends with 1 where the rule was broken, else 0.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.say(format!("BROKEN {line}"));
        println!("BROKEN {line}");
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.say(text);
    println!("{text}");
    i32::from(!broken.is_empty())
}

/// The settings of `claims-live-ph` as the page on the wire shows them, for `balancers` balancers.
pub fn claims_settings(balancers: usize, zone: &str) -> String {
    format!(
        r#"{{"Areas":["manila","cebu","davao"],"MyZone":"{zone}","MyNumber":0,"PeersTotal":{balancers},"RegistryMode":"subscribe","KindOfService":"conn",
"Classes":[{{"AimMs":800.0,"DeadlineMs":4800.0,"Effect":"free","Group":"all","LateShare":0.0,"Name":"claim-watch","Stream":true,"WindowMs":5000.0,"Worth":5.0}},
{{"AimMs":500.0,"DeadlineMs":2000.0,"Effect":"free","Group":"all","LateShare":0.0,"Name":"payout-watch","Stream":true,"WindowMs":5000.0,"Worth":15.0}}],
"Clients":{{"MarksRetry":true}},
"FamilyInfo":{{"Groups":true,"MessageAimMs":[150.0,250.0],"Mode":"proxy","ParkMs":0.0,"TellsDelay":true,"TellsLoad":true,"TenantQuotaConnections":[]}},
"Goal":{{"Whole":0.7,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.1}},
"Guarantees":{{"AnswerSlackMs":16.0,"ColdMs":23000.0,"ColdShare":0.13,"DrainGraceMs":500.0,"FallMs":1500.0,"MustAskInMs":10000.0,"OverloadFactor":2.5}},
"Models":["fast-2c","mid-2c","slow-2c"],"OverShareWorth":0.1,
"PolicyLimits":{{"Cancel":true,"ConnIdleMs":15000.0,"ConnectTimeoutMs":100.0,"MaxOpen":1000000,"MaxRetryAfterMs":2000.0,"ParallelTries":false,"Peers":false,"Probes":true,"RetryAfter":true,"SendCap":4,"StreamsPerConn":1048576}},
"Prices":{{"Connection":0.041,"CrossZone":0.016,"Handshake":0.041,"LateFail":0.03,"Moves":0.008,"Probe":0.0026,"Waste":0.05}},
"Projects":[],"Report":{{"How":"off","Names":[]}},"Stages":["session-servers"],"TickMs":4.0,"Tier":0,"Weights":"nominal","WorthBy":"request"}}"#
    )
}

/// The platform's configuration of one balancer.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":256,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}
