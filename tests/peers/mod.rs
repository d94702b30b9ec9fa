//! Test harness for the balancer process: scripted discovery servers and instances on loopback sockets, and the
//! process under test. Every wait is for an event; the timeouts only end a test that would otherwise hang.
#![allow(dead_code)]

pub mod xmpp;

use command_fds::{CommandFdExt, FdMapping};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit on each wait for an expected event; it only ends a test that would hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit on the wait for a metric: an event may be counted a moment after it happened.
const METRICS_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of the empty lines with which discovery keeps a watch alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Blocking TCP connection that is read line by line.
pub struct LineConnection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl LineConnection {
    pub fn new(stream: TcpStream) -> LineConnection {
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        LineConnection { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    pub fn connect(address: SocketAddr) -> LineConnection {
        LineConnection::new(TcpStream::connect(address).unwrap())
    }

    pub fn send_text(&mut self, text: &str) -> &mut LineConnection {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }

    /// Returns the next line without its line end, `END` at end of file, or `RESET` after a connection reset.
    pub fn receive_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "END".into(),
            Ok(_) => line.trim_end().into(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => "RESET".into(),
            Err(e) => panic!("no line received: {e}"),
        }
    }

    /// Reads up to and including `text` and returns all that was read.
    pub fn receive_until(&mut self, text: &str) -> String {
        let mut all = Vec::new();
        while !String::from_utf8_lossy(&all).contains(text) {
            let mut byte = [0];
            // `read_exact` retries interrupted reads; with a plain `read`, a signal or a suspended machine would fail
            // the test.
            match self.reader.read_exact(&mut byte) {
                Ok(()) => all.push(byte[0]),
                other => {
                    panic!("expected {text:?}, received {:?}, then {other:?}", String::from_utf8_lossy(&all))
                }
            }
        }
        String::from_utf8(all).unwrap()
    }

    /// Reads the header of an HTTP request and returns its first line.
    pub fn receive_http_request(&mut self) -> String {
        let request = self.receive_line();
        while !matches!(self.receive_line().as_str(), "" | "END" | "RESET") {}
        request
    }

    /// Returns all that is received until the connection ends.
    pub fn receive_rest(&mut self) -> String {
        let mut all = String::new();
        let _ = self.reader.read_to_string(&mut all);
        all
    }
}

/// Starts an instance that runs `script` for each connection, in a separate thread.
pub fn spawn_instance(script: impl Fn(LineConnection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || script(LineConnection::new(stream)));
        }
    });
    address
}

/// Starts an instance that reports each first line and answers `UP`, then echoes every line until `quit`.
pub fn echo_instance(name: &'static str, reports: Sender<(&'static str, String)>) -> SocketAddr {
    spawn_instance(move |mut peer| {
        let first = peer.receive_line();
        if first == "PING" {
            peer.send_text("PONG\r\n");
            return;
        }
        let _ = reports.send((name, first));
        peer.send_text("UP 1\r\n");
        loop {
            match peer.receive_line().as_str() {
                "END" | "RESET" => return,
                "quit" => {
                    peer.send_text("BYE\r\n");
                    return;
                }
                line => {
                    peer.send_text(&format!("{line}\r\n"));
                }
            }
        }
    })
}

/// Starts an instance that answers each `OPEN` with `ERR`: the command may have been executed, but its outcome is
/// unknown.
pub fn failing_instance(reports: Sender<String>) -> SocketAddr {
    spawn_instance(move |mut peer| {
        let first = peer.receive_line();
        if first.starts_with("OPEN") {
            let _ = reports.send(first);
            peer.send_text("ERR\r\n");
        }
        peer.receive_rest();
    })
}

/// Starts an instance that reports each `OPEN` line, answers it with the next text from the returned sender, and
/// then echoes and reports every line up to the end of the connection.
pub fn scripted_instance(reports: Sender<String>) -> (SocketAddr, Sender<&'static str>) {
    let (answer_sender, answers) = channel::<&'static str>();
    let answers: Arc<Mutex<Receiver<&'static str>>> = Arc::new(Mutex::new(answers));
    let address = spawn_instance(move |mut peer| {
        let first = peer.receive_line();
        if !first.starts_with("OPEN") {
            return;
        }
        let _ = reports.send(first);
        let Ok(answer) = answers.lock().unwrap().recv() else { return };
        let _ = peer.stream.write_all(answer.as_bytes());
        loop {
            let line = peer.receive_line();
            let ends = matches!(line.as_str(), "END" | "RESET");
            let _ = peer.stream.write_all(format!("{line}\r\n").as_bytes());
            let _ = reports.send(format!("then {line}"));
            if ends {
                return;
            }
        }
    });
    (address, answer_sender)
}

/// Listener whose accept queue is full, so that connections are not established until `accept_pending` is called.
pub struct FullListener {
    listener: TcpListener,
    queue_fillers: Vec<TcpStream>,
}

impl FullListener {
    pub fn new() -> FullListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let queue_fillers = vec![TcpStream::connect(listener.local_addr().unwrap()).unwrap()];
        FullListener { listener, queue_fillers }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits for a connection attempt: the kernel then lists a socket in state SYN_SENT (02) to this port.
    pub fn wait_for_dial(&self) {
        let port = format!(":{:04X} ", self.address().port());
        let is_dialing = |line: &str| line.split_whitespace().nth(3) == Some("02") && line.contains(&port);
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(is_dialing) {
            std::thread::yield_now();
        }
    }

    /// Accepts the connections that fill the queue, then the one that is being established: its next SYN is sent within
    /// a second or two.
    pub fn accept_pending(&self) -> LineConnection {
        for _ in &self.queue_fillers {
            self.listener.accept().unwrap();
        }
        LineConnection::new(self.listener.accept().unwrap().0)
    }
}

/// Returns an address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Returns one entry of the discovery list.
pub fn list_entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Returns a line of the discovery watch; the one with index 1 is the full list.
pub fn watch_line(index: u64, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{},\"endpoints\":[{}]}}\n", index == 1, entries.join(","))
}

/// Discovery server that answers each request with the next script (raw bytes), repeating the last one, and reports
/// each request line. `push` sends an update to the newest watch as an HTTP chunk.
pub struct Discovery {
    pub address: SocketAddr,
    pub requests: Receiver<String>,
    watch: Arc<Mutex<Option<TcpStream>>>,
}

/// Response of a discovery server that is down.
pub const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

pub const CHUNKED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Discovery {
    pub fn new(scripts: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (request_sender, requests) = channel();
        let watch: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let newest_watch = watch.clone();
        thread::spawn(move || {
            for (i, stream) in listener.incoming().flatten().enumerate() {
                let mut peer = LineConnection::new(stream);
                let request = peer.receive_http_request();
                let script = &scripts[i.min(scripts.len() - 1)];
                let _ = peer.stream.write_all(script.as_bytes());
                if script.starts_with(CHUNKED_RESPONSE) {
                    *newest_watch.lock().unwrap() = Some(peer.stream.try_clone().unwrap());
                }
                let _ = request_sender.send(request);
            }
        });
        Discovery { address, requests, watch }
    }

    /// Starts a server that sends no updates to the list with which the process starts.
    pub fn without_updates() -> Discovery {
        Discovery::new(vec![CHUNKED_RESPONSE.to_string() + &http_chunk("\n")])
    }

    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(HANG_TIMEOUT).expect("a request to discovery")
    }

    /// Sends empty lines on the newest watch as long as its connection is open.
    pub fn keep_watch_alive(&self) {
        let mut watch = self.watch.lock().unwrap().as_ref().unwrap().try_clone().unwrap();
        thread::spawn(move || {
            while watch.write_all(http_chunk("\n").as_bytes()).is_ok() {
                thread::sleep(KEEP_ALIVE_INTERVAL);
            }
        });
    }

    /// Closes the newest watch.
    pub fn close_watch(&self) {
        let watch = self.watch.lock().unwrap().take().unwrap();
        watch.shutdown(std::net::Shutdown::Both).unwrap();
    }

    pub fn push(&self, line: &str) {
        let mut watch = self.watch.lock().unwrap();
        watch.as_mut().unwrap().write_all(http_chunk(line).as_bytes()).unwrap();
    }
}

/// Discovery server that passes each call to the test, which decides when and how it is answered.
pub struct HeldDiscovery {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A call to a [`HeldDiscovery`]. Dropping it closes the connection.
pub struct DiscoveryCall {
    /// Request line without the HTTP version.
    pub request: String,
    connection: LineConnection,
}

impl HeldDiscovery {
    pub fn new() -> HeldDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut connection = LineConnection::new(stream);
                let request = connection.receive_http_request().replace(" HTTP/1.1", "");
                if call_sender.send(DiscoveryCall { request, connection }).is_err() {
                    return;
                }
            }
        });
        HeldDiscovery { address, calls }
    }

    /// Waits for the next call, asserts what it requests and returns it.
    pub fn expect_call(&self, request: &str) -> DiscoveryCall {
        let call = self.calls.recv_timeout(HANG_TIMEOUT).expect("a call to discovery");
        assert_eq!(call.request, request);
        call
    }

    /// Asserts that no call has arrived that the test has not taken.
    pub fn expect_no_call(&self) {
        if let Ok(call) = self.calls.try_recv() {
            panic!("unexpected call: {}", call.request);
        }
    }
}

impl DiscoveryCall {
    /// Answers a call for the whole list.
    pub fn answer_list(mut self, index: u64, entries: &[String]) {
        let entries = entries.join(",");
        let list = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{entries}]}}");
        self.connection
            .send_text(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    }

    /// Answers 503, as discovery does when it is down.
    pub fn refuse(mut self) {
        self.connection.send_text(UNAVAILABLE_RESPONSE);
    }

    /// Answers a call for a watch, which is open from now on, and sends an empty line.
    pub fn open_watch(&mut self) {
        self.connection.send_text(&(CHUNKED_RESPONSE.to_string() + &http_chunk("\n")));
    }

    /// Sends a line on an open watch.
    pub fn push(&mut self, line: &str) {
        self.connection.send_text(&http_chunk(line));
    }

    /// Waits until the balancer has closed the connection.
    pub fn expect_closed(&mut self) {
        let end = self.connection.receive_line();
        assert!(matches!(end.as_str(), "END" | "RESET"), "{end}");
    }
}

/// A running balancer process. Dropping it kills the process and deletes its files.
pub struct Balancer {
    child: Child,
    pub line_address: SocketAddr,
    pub xmpp_address: Option<SocketAddr>,
    /// Address of the admin endpoint, where the process was started with one.
    pub admin_address: Option<SocketAddr>,
    log: Receiver<String>,
    dir: PathBuf,
}

/// Limit on file descriptors in the configuration of the process (`limits.sockets`).
pub const DESCRIPTOR_LIMIT: usize = 512;

/// Options with which a balancer process is started.
pub struct StartOptions<'a> {
    pub program: &'a Path,
    pub operator: Option<&'a str>,
    pub settings: &'a str,
    pub log_format: &'a str,
    pub with_admin: bool,
    pub inherited_socket: Option<&'a TcpListener>,
    /// Value of `TMPDIR`, the folder through which an older process hands over to a newer one.
    pub temp_folder: Option<&'a Path>,
}

impl Default for StartOptions<'_> {
    fn default() -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_oakdeal"));
        StartOptions {
            program,
            operator: None,
            settings: SETTINGS,
            log_format: "text",
            with_admin: false,
            inherited_socket: None,
            temp_folder: None,
        }
    }
}

pub const SETTINGS: &str = r#"{"Areas":["a"],"MyZone":"a","PeersTotal":1,"RegistryMode":"subscribe",
  "Classes":[{"Name":"watch","AimMs":800,"DeadlineMs":2000,"Effect":"free","Group":"all"}],
  "Guarantees":{"ColdShare":1.0,"DrainGraceMs":500,"MustAskInMs":10000},
  "PolicyLimits":{"SendCap":4,"ConnectTimeoutMs":500,"RetryAfter":true,"MaxRetryAfterMs":2000}}"#;

/// Settings of a large fleet whose lists are pushed.
pub fn settings_with_pushed_lists() -> String {
    SETTINGS.replace("\"subscribe\"", "\"push\"").replace("\"PeersTotal\":1", "\"PeersTotal\":300")
}

/// Settings whose connect timeout outlasts the retransmission of a SYN.
pub fn settings_with_long_connect_timeout() -> String {
    SETTINGS
        .replace("\"ConnectTimeoutMs\":500", "\"ConnectTimeoutMs\":8000")
        .replace("\"AimMs\":800", "\"AimMs\":9000")
}

impl Balancer {
    /// Starts a balancer with this list and optional operator file, and waits until it serves.
    pub fn start(discovery: &Discovery, known: &[String], operator: Option<&str>) -> Balancer {
        Balancer::start_with(discovery, known, operator, SETTINGS, "text")
    }

    pub fn start_with(
        discovery: &Discovery,
        known: &[String],
        operator: Option<&str>,
        settings: &str,
        log_format: &str,
    ) -> Balancer {
        Balancer::launch(
            discovery,
            known,
            StartOptions { operator, settings, log_format, ..StartOptions::default() },
        )
        .wait_until_serving()
    }

    /// Starts a balancer with an admin endpoint.
    pub fn start_with_admin(discovery: &Discovery, known: &[String], operator: Option<&str>) -> Balancer {
        Balancer::launch(
            discovery,
            known,
            StartOptions { operator, with_admin: true, ..StartOptions::default() },
        )
        .wait_until_serving()
    }

    /// Starts a balancer with an admin endpoint that accepts clients from an inherited listening socket. Does not wait
    /// until it serves.
    pub fn launch_with_socket(discovery: &Discovery, known: &[String], socket: &TcpListener) -> Balancer {
        Balancer::launch(
            discovery,
            known,
            StartOptions { with_admin: true, inherited_socket: Some(socket), ..StartOptions::default() },
        )
    }

    /// Sends a line to the admin endpoint and returns the whole answer.
    pub fn admin_command(&self, line: &str) -> String {
        LineConnection::connect(self.admin_address.unwrap()).send_text(line).receive_rest()
    }

    /// Starts a balancer without waiting until it serves clients; waits only for the addresses of the admin endpoint
    /// and of XMPP, where they are configured.
    pub fn launch(discovery: &Discovery, known: &[String], start: StartOptions) -> Balancer {
        let (mut command, dir) = Balancer::command(discovery, known, &start, None);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let (log_sender, log) = channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| log_sender.send(line))
        });
        let mut balancer = Balancer {
            child,
            line_address: closed_address(),
            xmpp_address: None,
            admin_address: None,
            log,
            dir,
        };
        if start.with_admin {
            balancer.admin_address = Some(balancer.logged_address("n0 answers operators on "));
        }
        if start.operator.is_some_and(|text| text.contains("[xmpp]")) {
            balancer.xmpp_address = Some(balancer.logged_address("n0 serves XMPP on "));
        }
        balancer
    }

    /// Starts a balancer with this value of `LB_FD` and `descriptor` as descriptor 5, asserts that it exits with status 1,
    /// and returns its standard error.
    pub fn start_failure(
        discovery: &Discovery,
        start: StartOptions,
        lb_fd: &str,
        descriptor: Option<OwnedFd>,
    ) -> String {
        let (mut command, dir) = Balancer::command(discovery, &[], &start, descriptor);
        let out = command.env("LB_FD", lb_fd).output().unwrap();
        std::fs::remove_dir_all(dir).unwrap();
        assert_eq!(out.status.code(), Some(1));
        String::from_utf8(out.stderr).unwrap()
    }

    fn command(
        discovery: &Discovery,
        known: &[String],
        start: &StartOptions,
        descriptor: Option<OwnedFd>,
    ) -> (Command, PathBuf) {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("oakdeal-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let listen = start.inherited_socket.map(|socket| socket.local_addr().unwrap().to_string());
        let listen = listen.unwrap_or("127.0.0.1:0".into());
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"1","limits":{{"sockets":{DESCRIPTOR_LIMIT}}},
                "known":{},"settings":{}}}"#,
            discovery.address,
            watch_line(1, known),
            start.settings
        );
        std::fs::write(dir.join("config.json"), config).unwrap();
        let mut command = Command::new(start.program);
        if let Some(text) = start.operator {
            std::fs::write(dir.join("oakdeal.toml"), text).unwrap();
            command.env("OAKDEAL_OPERATOR", dir.join("oakdeal.toml"));
        }
        let socket = start.inherited_socket.map(|socket| socket.try_clone().unwrap().into());
        if let Some(parent_fd) = descriptor.or(socket) {
            command.env("LB_FD", "5").fd_mappings(vec![FdMapping { parent_fd, child_fd: 5 }]).unwrap();
        }
        if start.with_admin {
            command.env("LB_ADMIN", "127.0.0.1:0");
        }
        command.env_remove("TMPDIR");
        if let Some(folder) = start.temp_folder {
            command.env("TMPDIR", folder);
        }
        command.env("LB_CONFIG", dir.join("config.json")).env("OAKDEAL_LOG_FORMAT", start.log_format);
        (command, dir)
    }

    /// Returns the process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the balancer accepts clients.
    pub fn wait_until_serving(mut self) -> Balancer {
        self.line_address = self.logged_address("n0 serves ");
        self
    }

    fn logged_address(&self, start: &str) -> SocketAddr {
        let line = self.wait_for_log(start);
        let (_, rest) = line.split_once(start).unwrap();
        rest.split(|c: char| !c.is_ascii_digit() && c != '.' && c != ':').next().unwrap().parse().unwrap()
    }

    /// Replaces the operator file and has it reloaded.
    pub fn reload_operator_file(&self, text: &str) {
        std::fs::write(self.dir.join("oakdeal.toml"), text).unwrap();
        self.signal("-HUP");
    }

    /// Terminates the process and returns the log lines that have not been read.
    pub fn terminate_and_read_log(mut self) -> Vec<String> {
        self.terminate();
        let _ = self.child.wait();
        self.log.iter().collect()
    }

    /// Waits for a log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + HANG_TIMEOUT;
        loop {
            let line = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("{text:?} was not logged"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the CPU time that the process has used, at the kernel's hundred ticks a second.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split(' ').collect();
        let ticks: u64 = fields[12..14].iter().map(|ticks| ticks.parse::<u64>().unwrap()).sum();
        Duration::from_millis(10 * ticks)
    }

    pub fn connect_client(&self) -> LineConnection {
        LineConnection::connect(self.line_address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }

    /// Changes the text of the configuration and has it reloaded.
    pub fn reload_config(&self, change: impl FnOnce(String) -> String) {
        let path = self.dir.join("config.json");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, change(text)).unwrap();
        self.signal("-HUP");
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Reads the metrics until they contain these lines.
pub fn await_metrics(balancer: &Balancer, wanted: &[&str]) {
    let deadline = Instant::now() + METRICS_TIMEOUT;
    loop {
        let text = balancer.admin_command("DUMP\r\n");
        assert!(text.starts_with("200 ") && text.ends_with("\r\nEOF\r\n"), "{text}");
        let missing = wanted.iter().find(|line| !text.lines().any(|l| l == **line));
        match missing {
            None => return,
            Some(line) => assert!(Instant::now() < deadline, "{line} is not in {text}"),
        }
    }
}
