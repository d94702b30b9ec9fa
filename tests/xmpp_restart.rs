//! Planned restarts with XMPP clients that are in the middle of a stanza: everyone is told to come again before the
//! process may be killed.

mod peers;
use peers::xmpp::{accept_login, establish, log_in, operator_file, FEATURES, OPENING};
use peers::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Clients of all balancers together; every third one has sent half a stanza.
const CLIENTS: usize = 100;
const BALANCERS: usize = 3;
/// Earliest time of SIGKILL after SIGTERM: the longest deadline, which counts as 3 s, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);

/// Starts a server that logs every client in and then reads all that comes.
fn server() -> std::net::SocketAddr {
    spawn_instance(|mut peer| {
        accept_login(&mut peer);
        peer.send_text(OPENING).send_text("<stream:features/>").receive_rest();
    })
}

/// Reads up to the stream error and the end of the connection. Returns when the stream had ended.
fn read_goodbye(mut client: LineConnection) -> (String, Instant) {
    let last = client.receive_rest();
    (last, Instant::now())
}

/// Restarts three balancers one after another. `OAKDEAL_RESTART_ROUNDS` sets how often, once by default.
#[test]
fn every_xmpp_client_is_told_to_come_again_before_the_kill() {
    let rounds: usize = std::env::var("OAKDEAL_RESTART_ROUNDS").map_or(1, |rounds| rounds.parse().unwrap());
    let server = server();
    let operator = operator_file(server);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let settings = SETTINGS.replace("\"DeadlineMs\":2000", "\"DeadlineMs\":4800");
    let discovery = Discovery::without_updates();
    let start = || Balancer::start_with(&discovery, &list, Some(&operator), &settings, "text");
    let mut balancers: Vec<Balancer> = (0..BALANCERS).map(|_| start()).collect();
    for _ in 0..rounds {
        for (number, balancer) in balancers.iter_mut().enumerate() {
            let (goodbye_sender, goodbyes) = channel();
            let users: Vec<usize> = (number..CLIENTS).step_by(BALANCERS).collect();
            for (i, user) in users.iter().enumerate() {
                let mut client = establish(balancer, &format!("u{user}"));
                if i % 3 == 0 {
                    client.send_text("<message to='other@desk.example'><body>half");
                }
                let goodbye_sender = goodbye_sender.clone();
                thread::spawn(move || goodbye_sender.send(read_goodbye(client)));
            }
            balancer.terminate();
            let terminated_at = Instant::now();
            for _ in users {
                let (last, at) = goodbyes.recv().unwrap();
                assert!(last.contains("<stream:error><system-shutdown"), "{last:?}");
                assert!(last.ends_with("</stream:stream>"), "{last:?}");
                let waited = at - terminated_at;
                assert!(waited < KILL_DELAY, "{waited:?}");
            }
            *balancer = start();
        }
    }
}

/// A log-in that was sent to a hanging server has its final answer before the process may be killed, also where its
/// deadline is later.
#[test]
fn a_login_at_a_hanging_server_is_answered_before_the_kill() {
    let (credentials_sender, credentials) = channel();
    let server = spawn_instance(move |mut peer| {
        peer.receive_until("version='1.0'");
        peer.send_text(OPENING).send_text(FEATURES).receive_until("</auth>");
        credentials_sender.send(()).unwrap();
        peer.receive_rest();
    });
    let operator = operator_file(server);
    let list = [list_entry("s-00000001", closed_address(), "ready")];
    let settings = SETTINGS
        .replace("\"DeadlineMs\":2000", "\"DeadlineMs\":4800")
        .replace("\"SendCap\":4", "\"SendCap\":1");
    let discovery = Discovery::without_updates();
    let balancer = Balancer::start_with(&discovery, &list, Some(&operator), &settings, "text");
    let client = log_in(&balancer, "u1");
    credentials.recv().unwrap();
    balancer.terminate();
    let terminated_at = Instant::now();
    let (answer, at) = read_goodbye(client);
    // The class may be repeated, so the log-in is refused.
    assert!(answer.starts_with("<failure") && answer.contains("<temporary-auth-failure/>"), "{answer:?}");
    assert!(answer.ends_with("</stream:stream>"), "{answer:?}");
    assert!(at - terminated_at < KILL_DELAY, "{:?}", at - terminated_at);
}
