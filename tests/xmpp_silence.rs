//! Silence of XMPP servers on standing connections: who is sent away from a server that answers nothing, and who stays.

mod peers;
use peers::xmpp::{accept_login, log_in_and_reopen, OPENING};
use peers::*;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that the server itself answers (XEP-0199).
const PING: &str = "<iq type='get' id='p'><ping xmlns='urn:xmpp:ping'/></iq>";
/// Longer than a working server may take to answer.
const LONGER_THAN_THE_LIMIT: Duration = Duration::from_secs(5);
/// Time within which a client of a server that answers nothing is sent away.
const SILENCE_BOUND: Duration = Duration::from_secs(7);

/// A server that logs clients in and reports each byte that it receives later; it answers only what the test sends.
struct ScriptedServer {
    address: SocketAddr,
    connections: Receiver<LineConnection>,
}

impl ScriptedServer {
    fn new() -> ScriptedServer {
        let (connection_sender, connections) = channel();
        let connection_sender: Arc<Mutex<Sender<LineConnection>>> = Arc::new(Mutex::new(connection_sender));
        let address = spawn_instance(move |mut peer| {
            accept_login(&mut peer);
            let _ = connection_sender.lock().unwrap().send(peer);
        });
        ScriptedServer { address, connections }
    }
}

/// A client that has opened its stream after the log-in, and the server's side of its connection.
struct Established {
    client: LineConnection,
    server: LineConnection,
}

impl Established {
    /// Logs in and sends the header of the new stream, which the server has received but not answered.
    fn with_unanswered_header(balancer: &Balancer, server: &ScriptedServer, user: &str) -> Established {
        let client = log_in_and_reopen(balancer, user);
        Established { client, server: server.connections.recv().unwrap() }
    }

    fn new(balancer: &Balancer, server: &ScriptedServer, user: &str) -> Established {
        let mut established = Established::with_unanswered_header(balancer, server, user);
        established.server.send_text(OPENING).send_text("<stream:features/>");
        established.client.receive_until("<stream:features/>");
        established
    }

    /// Sends a unit that the server receives.
    fn send(&mut self, unit: &str) {
        self.client.send_text(unit);
        self.server.receive_until(unit);
    }

    /// Asserts that the connection stands: a stanza of the server arrives, with nothing else before it.
    fn assert_stands(&mut self, unit: &str) {
        self.server.send_text("<message/>");
        assert_eq!(self.client.receive_until(">"), "<message/>", "after {unit:?}");
    }

    /// Asserts that the client is sent away with a stream error, and returns when.
    fn expect_sent_away(&mut self) -> Instant {
        let last = self.client.receive_until("</stream:stream>");
        assert!(last.contains("<stream:error><system-shutdown"), "{last}");
        Instant::now()
    }
}

fn launch(servers: &[(&str, &ScriptedServer)]) -> Balancer {
    let instances: String =
        servers.iter().map(|(name, s)| format!("\"{name}\" = \"{}\"\n", s.address)).collect();
    let operator = format!(
        "[xmpp]\nlisten = \"127.0.0.1:0\"\n[xmpp.instances]\n{instances}\n\
         [[xmpp.service]]\ndomain = \"desk.example\"\nclass = \"watch\"\ngroup = \"jid\"\n"
    );
    let list: Vec<String> =
        servers.iter().map(|(name, _)| list_entry(name, closed_address(), "ready")).collect();
    Balancer::start(&Discovery::without_updates(), &list, Some(&operator))
}

/// A server that answers nothing for 7 s is silent: clients that wait for its answer must be sent away, whatever they
/// wait for.
#[test]
fn clients_that_wait_for_a_silent_server_are_sent_away_within_seven_seconds() {
    let server = ScriptedServer::new();
    let balancer = launch(&[("s-00000001", &server)]);
    let requests = [
        PING,
        "<iq type='set' id='s' to='desk.example'><session/></iq>",
        "<r xmlns='urn:xmpp:sm:3'/>",
        // Half a stanza behind the request does not prolong the wait.
        "<iq type='get' id='q'><ping xmlns='urn:xmpp:ping'/></iq>",
    ];
    let mut clients: Vec<Established> = requests
        .iter()
        .enumerate()
        .map(|(i, _)| Established::new(&balancer, &server, &format!("u{i}")))
        .collect();
    clients.push(Established::with_unanswered_header(&balancer, &server, "new"));
    let sent_at = Instant::now();
    for (client, request) in clients.iter_mut().zip(requests) {
        client.send(request);
    }
    clients[3].client.send_text("<message><body>half");
    for client in &mut clients {
        let waited = client.expect_sent_away() - sent_at;
        assert!(waited < SILENCE_BOUND, "{waited:?}");
    }
}

/// A client that waits for nothing is not at a silent server, and one whose server is slow within the limit is not at a
/// hung one: both stay.
#[test]
fn clients_that_wait_for_nothing_or_whose_server_is_slow_stay() {
    let server = ScriptedServer::new();
    let balancer = launch(&[("s-00000001", &server)]);
    let units = [
        "<message to='other@desk.example'><body>hello</body></message>",
        "<presence/>",
        " ",
        "<iq type='get' id='r' to='other@remote.example'><query/></iq>",
        "<iq type='result' id='s'/>",
    ];
    let mut clients: Vec<Established> = units
        .iter()
        .enumerate()
        .map(|(i, _)| Established::new(&balancer, &server, &format!("u{i}")))
        .collect();
    let mut slow = Established::new(&balancer, &server, "slow");
    let mut answered = Established::new(&balancer, &server, "answered");
    for (client, unit) in clients.iter_mut().zip(units) {
        client.send(unit);
    }
    slow.send(PING);
    // The time limit of silence begins anew with each answer.
    let started = Instant::now();
    let mut slow_answered = false;
    while started.elapsed() < LONGER_THAN_THE_LIMIT {
        answered.send(PING);
        std::thread::sleep(Duration::from_millis(500));
        answered.server.send_text("<iq type='result' id='p'/>");
        answered.client.receive_until("<iq type='result' id='p'/>");
        if !slow_answered && started.elapsed() > Duration::from_millis(2_000) {
            slow_answered = true;
            slow.server.send_text(" ");
        }
    }
    for (client, unit) in clients.iter_mut().zip(units) {
        client.assert_stands(unit);
    }
    answered.assert_stands(PING);
    slow.server.send_text("<iq type='result' id='p'/>");
    slow.client.receive_until("<iq type='result' id='p'/>");
}
