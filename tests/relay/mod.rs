//! Runs a group of balancers as real processes, with a datagram relay for each direction between two of them. The
//! relays can drop, duplicate, delay and cut traffic.
#![allow(dead_code)]

#[path = "../../lab/src/fleet/checker.rs"]
pub mod checker;
#[path = "../../lab/src/fleet/link.rs"]
pub mod link;

pub use checker::{check, LoggedAction};
use link::{free_address, relay, LinkDirection};

use super::peers::{list_entry, watch_line, Discovery, LineConnection, SETTINGS};
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
    admin_address: Option<SocketAddr>,
    line_address: Option<SocketAddr>,
}

/// A running group of balancers. Dropping it kills the processes and deletes their files.
pub struct Group {
    dir: PathBuf,
    discovery: Discovery,
    instance: SocketAddr,
    links: Vec<Vec<Arc<LinkDirection>>>,
    stopped: Arc<AtomicBool>,
    processes: Vec<Process>,
    /// Log lines of all processes, each with the number of its process.
    log: Arc<Mutex<Vec<(usize, String)>>>,
    clock_rates: Vec<f64>,
    log_format: &'static str,
    /// Delay of each storage write of a voter, in milliseconds, for processes started from now on.
    pub write_delay_ms: u64,
}

/// Duration of a lease, in milliseconds.
pub const LEASE_SPAN_MS: u64 = 1_500;
/// Limit on each wait for an expected event; it only ends a test that would hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

impl Group {
    /// Starts `process_count` processes, the first three of which are voters.
    pub fn start(name: &str, process_count: usize, instance: SocketAddr, clock_rates: &[f64]) -> Group {
        Group::start_with(name, process_count, instance, clock_rates, "", "text")
    }

    /// Like `start`, with more text in the operator file and the given log format.
    pub fn start_with(
        name: &str,
        process_count: usize,
        instance: SocketAddr,
        clock_rates: &[f64],
        extra_operator_text: &str,
        log_format: &'static str,
    ) -> Group {
        let dir = std::env::temp_dir().join(format!("oakdeal-group-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let key = dir.join("key");
        std::fs::write(&key, "a key for tests, and nothing else\n").unwrap();
        std::fs::set_permissions(&key, PermissionsExt::from_mode(0o600)).unwrap();
        let addresses: Vec<SocketAddr> = (0..process_count).map(|_| free_address()).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let mut links = Vec::new();
        for i in 0..process_count {
            let (mut row, mut members) = (Vec::new(), String::new());
            for (j, to) in addresses.iter().enumerate() {
                let (socket, way) =
                    (UdpSocket::bind("127.0.0.1:0").unwrap(), Arc::new(LinkDirection::default()));
                members +=
                    &format!("n{j} = \"{}\"\n", if i == j { *to } else { socket.local_addr().unwrap() });
                row.push(way.clone());
                let (to, stopped) = (*to, stopped.clone());
                thread::spawn(move || relay(socket, to, way, stopped, (i * 64 + j) as u64));
            }
            links.push(row);
            let folder = dir.join(format!("folder-{i}"));
            let text = format!(
                "[group]\nlisten = \"{}\"\nkey = {key:?}\nzone = \"z{}\"\nregion = \"r\"\nvoters = [\"n0\", \"n1\", \"n2\"]\n\
                 folder = {folder:?}\nprobe = \"200ms\"\nspan = \"{LEASE_SPAN_MS}ms\"\ndrift = 0.02\nturn = \"60s\"\n[group.members]\n{members}{extra_operator_text}",
                addresses[i],
                i % 3
            );
            let operator_path = dir.join(format!("n{i}.toml"));
            std::fs::write(&operator_path, text).unwrap();
        }
        let processes = (0..process_count)
            .map(|_| Process { child: None, admin_address: None, line_address: None })
            .collect();
        let clock_rates = (0..process_count).map(|i| clock_rates.get(i).copied().unwrap_or(1.0)).collect();
        let (discovery, log) = (Discovery::without_updates(), Arc::default());
        let write_delay_ms = 0;
        let mut group = Group {
            dir,
            discovery,
            instance,
            links,
            stopped,
            processes,
            log,
            clock_rates,
            log_format,
            write_delay_ms,
        };
        (0..3).for_each(|i| group.create_voter_folder(i, None));
        (0..process_count).for_each(|i| group.start_process(i));
        group
    }

    /// Creates the folder of a voter of a new group, or of one that replaces another voter.
    pub fn create_voter_folder(&self, i: usize, replaced_voter: Option<usize>) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oakdeal"));
        command.args(["group", "found", "--name", &format!("n{i}"), "--operator"]);
        command.arg(self.dir.join(format!("n{i}.toml")));
        if let Some(other) = replaced_voter {
            command.args(["--instead", &format!("n{other}")]);
        }
        let output = command.output().unwrap();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }

    /// Returns the path of a voter's folder.
    pub fn voter_folder(&self, i: usize) -> PathBuf {
        self.dir.join(format!("folder-{i}"))
    }

    /// Returns the log lines of all processes, each with the number of its process.
    pub fn log(&self) -> Vec<(usize, String)> {
        self.log.lock().unwrap().clone()
    }

    /// Starts a process, or restarts it with its stored data, and waits until it serves.
    pub fn start_process(&mut self, i: usize) {
        let config = format!(
            r#"{{"name":"n{i}","listen":"127.0.0.1:0","discovery":"{}","seed":"{i}","limits":{{"sockets":512}},"known":{},"settings":{SETTINGS}}}"#,
            self.discovery.address,
            watch_line(1, &[list_entry("s-00000001", self.instance, "ready")]),
        );
        let path = self.dir.join(format!("n{i}.json"));
        std::fs::write(&path, config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_oakdeal"))
            .env("LB_CONFIG", path)
            .env("LB_ADMIN", "127.0.0.1:0")
            .env("OAKDEAL_OPERATOR", self.dir.join(format!("n{i}.toml")))
            .env("OAKDEAL_RIG_CLOCK_RATE", self.clock_rates[i].to_string())
            .env("OAKDEAL_RIG_WRITE_DELAY_MS", self.write_delay_ms.to_string())
            .env("RUST_LOG", "oakdeal=info,oakdeal::act=debug")
            .env("OAKDEAL_LOG_FORMAT", self.log_format)
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (log, stderr) = (self.log.clone(), BufReader::new(child.stderr.take().unwrap()));
        let log_start = self.log.lock().unwrap().len();
        thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| log.lock().unwrap().push((i, line)))
        });
        self.processes[i].child = Some(child);
        let address = |what: &str| {
            let line = self.wait_for_log(log_start, &|process, line| process == i && line.contains(what));
            let rest = line.split(what).nth(1).unwrap();
            rest.split(|c: char| !c.is_ascii_digit() && c != '.' && c != ':').next().unwrap().parse().unwrap()
        };
        let (admin_address, line_address) =
            (address(&format!("n{i} answers operators on ")), address(&format!("n{i} serves ")));
        (self.processes[i].admin_address, self.processes[i].line_address) =
            (Some(admin_address), Some(line_address));
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

    /// Applies `change` to the links from each of `from` to each of `to`.
    pub fn change_links(&self, from: &[usize], to: &[usize], change: impl Fn(&LinkDirection)) {
        from.iter().for_each(|&i| to.iter().for_each(|&j| change(&self.links[i][j])));
    }

    pub fn connect_client(&self, i: usize) -> LineConnection {
        LineConnection::connect(self.processes[i].line_address.unwrap())
    }

    pub fn group_status(&self, i: usize) -> String {
        LineConnection::connect(self.processes[i].admin_address.unwrap())
            .send_text("GROUP\r\n")
            .receive_rest()
    }

    pub fn admin_command(&self, i: usize, command: &str) -> String {
        LineConnection::connect(self.processes[i].admin_address.unwrap())
            .send_text(&format!("{command}\r\n"))
            .receive_rest()
    }

    /// Returns the number of members that process `i` sees.
    pub fn visible_members(&self, i: usize) -> usize {
        self.group_status(i).lines().filter(|line| line.starts_with("member ")).count()
    }

    /// Returns the number of lines logged so far by all processes.
    pub fn log_length(&self) -> usize {
        self.log.lock().unwrap().len()
    }

    /// Waits for a line at index `since` or later that `wanted` accepts, and returns it.
    pub fn wait_for_log(&self, since: usize, wanted: &dyn Fn(usize, &str) -> bool) -> String {
        let deadline = Instant::now() + HANG_TIMEOUT;
        loop {
            let found = self.log.lock().unwrap()[since..].iter().find(|(i, line)| wanted(*i, line)).cloned();
            match found {
                Some((_, line)) => return line,
                None => assert!(
                    Instant::now() < deadline,
                    "expected line was not logged; last lines: {:#?}",
                    self.last_log_lines()
                ),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the last 40 log lines, without those of acts.
    fn last_log_lines(&self) -> Vec<(usize, String)> {
        let log = self.log.lock().unwrap();
        let lines: Vec<_> = log.iter().filter(|(_, line)| !line.contains("oakdeal::act")).cloned().collect();
        lines[lines.len().saturating_sub(40)..].to_vec()
    }

    /// Waits until `done` holds and returns the waiting time.
    pub fn wait_until(&self, what: &str, done: impl Fn(&Group) -> bool) -> Duration {
        let started = Instant::now();
        while !done(self) {
            assert!(
                started.elapsed() < HANG_TIMEOUT,
                "timed out waiting for {what}; last log lines: {:#?}",
                self.last_log_lines()
            );
            thread::sleep(Duration::from_millis(10));
        }
        started.elapsed()
    }

    /// Waits for the first process to log, at index `since` or later, that it holds the lease of the rebalance task;
    /// returns the process and the waiting time.
    pub fn wait_for_lease_holder(&self, since: usize) -> (usize, Duration) {
        let started = Instant::now();
        self.wait_for_log(since, &|_, line| line.contains("rebalance is ours under token"));
        let log = self.log.lock().unwrap();
        let process =
            log[since..].iter().find(|(_, line)| line.contains("rebalance is ours under token")).unwrap().0;
        (process, started.elapsed())
    }

    /// Returns all acts, as logged by the process that acted and by each that received them.
    pub fn acts(&self) -> Vec<LoggedAction> {
        let log = self.log.lock().unwrap();
        log.iter().filter_map(|(witness, line)| LoggedAction::parse(*witness, line)).collect()
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
        for child in self.processes.iter_mut().filter_map(|p| p.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
