//! Balancers of one group as real processes, with a relay on every link between two of them, one for each way: it drops,
//! doubles, delays and cuts.
#![allow(dead_code)]

#[path = "../../lab/src/fleet/checker.rs"]
pub mod checker;
#[path = "../../lab/src/fleet/link.rs"]
pub mod link;

pub use checker::{check, LoggedAction};
use link::{free_address, relay, LinkDirection};

use super::peers::{entry, listing, Discovery, Lines, SETTINGS};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Process {
    child: Option<Child>,
    admin: Option<SocketAddr>,
    lines: Option<SocketAddr>,
}

/// The group.
pub struct Group {
    dir: PathBuf,
    discovery: Discovery,
    instance: SocketAddr,
    ways: Vec<Vec<Arc<LinkDirection>>>,
    over: Arc<AtomicBool>,
    processes: Vec<Process>,
    /// All that all have logged: who, and what.
    log: Arc<Mutex<Vec<(usize, String)>>>,
    rates: Vec<f64>,
    format: &'static str,
    /// By how much each write of a voter is late, in milliseconds.
    pub write_delay: u64,
}

/// A lease's span, in milliseconds.
pub const SPAN: u64 = 1_500;
const HANG: Duration = Duration::from_secs(30);

impl Group {
    /// So many processes, the first three of which vote.
    pub fn start(name: &str, n: usize, instance: SocketAddr, rates: &[f64]) -> Group {
        Group::with(name, n, instance, rates, "", "text")
    }

    /// With more in the operator's file, and a log in this format.
    pub fn with(
        name: &str,
        n: usize,
        instance: SocketAddr,
        rates: &[f64],
        more: &str,
        format: &'static str,
    ) -> Group {
        let dir = std::env::temp_dir().join(format!("oakdeal-group-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let key = dir.join("key");
        std::fs::write(&key, "a key for tests, and nothing else\n").unwrap();
        std::fs::set_permissions(&key, PermissionsExt::from_mode(0o600)).unwrap();
        let at: Vec<SocketAddr> = (0..n).map(|_| free_address()).collect();
        let over = Arc::new(AtomicBool::new(false));
        let mut ways = Vec::new();
        for i in 0..n {
            let (mut row, mut members) = (Vec::new(), String::new());
            for (j, to) in at.iter().enumerate() {
                let (socket, way) =
                    (UdpSocket::bind("127.0.0.1:0").unwrap(), Arc::new(LinkDirection::default()));
                members +=
                    &format!("n{j} = \"{}\"\n", if i == j { *to } else { socket.local_addr().unwrap() });
                row.push(way.clone());
                let (to, over) = (*to, over.clone());
                thread::spawn(move || relay(socket, to, way, over, (i * 64 + j) as u64));
            }
            ways.push(row);
            let folder = dir.join(format!("folder-{i}"));
            let text = format!(
                "[group]\nlisten = \"{}\"\nkey = {key:?}\nzone = \"z{}\"\nregion = \"r\"\nvoters = [\"n0\", \"n1\", \"n2\"]\n\
                 folder = {folder:?}\nprobe = \"200ms\"\nspan = \"{SPAN}ms\"\ndrift = 0.02\nturn = \"60s\"\n[group.members]\n{members}{more}",
                at[i],
                i % 3
            );
            let file = dir.join(format!("n{i}.toml"));
            std::fs::write(&file, text).unwrap();
        }
        let processes = (0..n).map(|_| Process { child: None, admin: None, lines: None }).collect();
        let rates = (0..n).map(|i| rates.get(i).copied().unwrap_or(1.0)).collect();
        let (discovery, log) = (Discovery::quiet(), Arc::default());
        let write_delay = 0;
        let mut group =
            Group { dir, discovery, instance, ways, over, processes, log, rates, format, write_delay };
        (0..3).for_each(|i| group.found(i, None));
        (0..n).for_each(|i| group.run(i));
        group
    }

    /// Makes a voter's folder: of a new group, or of one that takes another's place.
    pub fn found(&self, i: usize, instead: Option<usize>) {
        let mut found = Command::new(env!("CARGO_BIN_EXE_oakdeal"));
        found.args(["group", "found", "--name", &format!("n{i}"), "--operator"]);
        found.arg(self.dir.join(format!("n{i}.toml")));
        if let Some(other) = instead {
            found.args(["--instead", &format!("n{other}")]);
        }
        let found = found.output().unwrap();
        assert!(found.status.success(), "{}", String::from_utf8_lossy(&found.stderr));
    }

    /// A voter's folder.
    pub fn folder(&self, i: usize) -> PathBuf {
        self.dir.join(format!("folder-{i}"))
    }

    /// All that was logged, by all.
    pub fn log(&self) -> Vec<(usize, String)> {
        self.log.lock().unwrap().clone()
    }

    /// Starts one, or starts it again with what it has kept.
    pub fn run(&mut self, i: usize) {
        let config = format!(
            r#"{{"name":"n{i}","listen":"127.0.0.1:0","discovery":"{}","seed":"{i}","limits":{{"sockets":512}},"known":{},"settings":{SETTINGS}}}"#,
            self.discovery.address,
            listing(1, &[entry("s-00000001", self.instance, "ready")]),
        );
        let path = self.dir.join(format!("n{i}.json"));
        std::fs::write(&path, config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_oakdeal"))
            .env("LB_CONFIG", path)
            .env("LB_ADMIN", "127.0.0.1:0")
            .env("OAKDEAL_OPERATOR", self.dir.join(format!("n{i}.toml")))
            .env("OAKDEAL_RIG_CLOCK_RATE", self.rates[i].to_string())
            .env("OAKDEAL_RIG_WRITE_DELAY_MS", self.write_delay.to_string())
            .env("RUST_LOG", "oakdeal=info,oakdeal::act=debug")
            .env("OAKDEAL_LOG_FORMAT", self.format)
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (log, stderr) = (self.log.clone(), BufReader::new(child.stderr.take().unwrap()));
        let from = self.log.lock().unwrap().len();
        thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| log.lock().unwrap().push((i, line)))
        });
        self.processes[i].child = Some(child);
        let address = |what: &str| {
            let line = self.logged(from, &|who, line| who == i && line.contains(what));
            let rest = line.split(what).nth(1).unwrap();
            rest.split(|c: char| !c.is_ascii_digit() && c != '.' && c != ':').next().unwrap().parse().unwrap()
        };
        let (admin, lines) =
            (address(&format!("n{i} answers operators on ")), address(&format!("n{i} serves ")));
        (self.processes[i].admin, self.processes[i].lines) = (Some(admin), Some(lines));
    }

    pub fn signal(&self, i: usize, name: &str) {
        let id = self.processes[i].child.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    pub fn kill(&mut self, i: usize) {
        let mut child = self.processes[i].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Each way from one of these to one of those.
    pub fn ways(&self, from: &[usize], to: &[usize], change: impl Fn(&LinkDirection)) {
        from.iter().for_each(|&i| to.iter().for_each(|&j| change(&self.ways[i][j])));
    }

    pub fn client(&self, i: usize) -> Lines {
        Lines::to(self.processes[i].lines.unwrap())
    }

    pub fn show(&self, i: usize) -> String {
        Lines::to(self.processes[i].admin.unwrap()).say("GROUP\r\n").rest()
    }

    pub fn call(&self, i: usize, word: &str) -> String {
        Lines::to(self.processes[i].admin.unwrap()).say(&format!("{word}\r\n")).rest()
    }

    /// How many members this one sees.
    pub fn sees(&self, i: usize) -> usize {
        self.show(i).lines().filter(|line| line.starts_with("member ")).count()
    }

    /// How much has been logged.
    pub fn mark(&self) -> usize {
        self.log.lock().unwrap().len()
    }

    /// Waits for a line that was logged behind this mark.
    pub fn logged(&self, mark: usize, wanted: &dyn Fn(usize, &str) -> bool) -> String {
        let until = Instant::now() + HANG;
        loop {
            let found = self.log.lock().unwrap()[mark..].iter().find(|(i, line)| wanted(*i, line)).cloned();
            match found {
                Some((_, line)) => return line,
                None => assert!(Instant::now() < until, "not logged; last: {:#?}", self.tail()),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn tail(&self) -> Vec<(usize, String)> {
        let log = self.log.lock().unwrap();
        let lines: Vec<_> = log.iter().filter(|(_, line)| !line.contains("oakdeal::act")).cloned().collect();
        lines[lines.len().saturating_sub(40)..].to_vec()
    }

    pub fn until(&self, what: &str, done: impl Fn(&Group) -> bool) -> Duration {
        let begun = Instant::now();
        while !done(self) {
            assert!(begun.elapsed() < HANG, "{what} did not come: {:#?}", self.tail());
            thread::sleep(Duration::from_millis(10));
        }
        begun.elapsed()
    }

    /// Who takes the task next, behind this mark.
    pub fn taken(&self, mark: usize) -> (usize, Duration) {
        let begun = Instant::now();
        self.logged(mark, &|_, line| line.contains("rebalance is ours under token"));
        let log = self.log.lock().unwrap();
        let who =
            log[mark..].iter().find(|(_, line)| line.contains("rebalance is ours under token")).unwrap().0;
        (who, begun.elapsed())
    }

    /// All acts, as whoever acted and all who heard of it saw them.
    pub fn acts(&self) -> Vec<LoggedAction> {
        let log = self.log.lock().unwrap();
        log.iter().filter_map(|(witness, line)| LoggedAction::parse(*witness, line)).collect()
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        for child in self.processes.iter_mut().filter_map(|p| p.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
