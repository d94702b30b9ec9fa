//! Simulated clients of teams with contracts, and the instances and operator files that the tests need. The clients run
//! on loopback, in one thread, for a bounded time.
#![allow(dead_code)]

use crate::peers::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// Results seen by the clients of one team.
#[derive(Clone, Debug, Default)]
pub struct TeamCounts {
    pub asked: u64,
    pub up: u64,
    pub busy: u64,
    pub moved: u64,
    /// Connections that ended without `MOVE`, and answers other than `UP` and `BUSY`.
    pub unexpected_ends: u64,
    pub connected_seconds: f64,
    pub open_connections: usize,
    /// Highest number of open connections, and when it was reached.
    pub peak: (usize, Option<Instant>),
}

/// Counts by team, shared by all clients of a run.
pub type SharedCounts = Rc<RefCell<BTreeMap<&'static str, TeamCounts>>>;

/// Behavior of the clients of one team.
#[derive(Clone, Copy)]
pub struct ClientBehavior {
    pub team: &'static str,
    pub clients: usize,
    /// Time after which a client ends its connection and requests a new one.
    pub connection_lifetime: Duration,
    /// Limit on the time that a rejected client waits; below it, the delay in the `BUSY` answer applies.
    pub max_retry_wait: Duration,
}

/// Delay between the end of a connection and the client's next request: the shortest seen from real clients.
const RECONNECT_DELAY: Duration = Duration::from_millis(94);

/// Returns the default behavior: connections and waits of up to 60 s.
pub fn client_behavior(team: &'static str, clients: usize) -> ClientBehavior {
    ClientBehavior {
        team,
        clients,
        connection_lifetime: Duration::from_secs(60),
        max_retry_wait: Duration::from_secs(60),
    }
}

/// Runs one client, which keeps requesting connections until `stop_at`.
async fn run_client(
    address: SocketAddr,
    behavior: ClientBehavior,
    number: usize,
    counts: SharedCounts,
    stop_at: Instant,
) {
    let update =
        |change: &dyn Fn(&mut TeamCounts)| change(counts.borrow_mut().entry(behavior.team).or_default());
    for attempt in 0.. {
        if Instant::now() >= stop_at {
            return;
        }
        tokio::time::sleep(if attempt > 0 { RECONNECT_DELAY } else { Duration::from_millis(number as u64) })
            .await;
        let Ok(stream) = TcpStream::connect(address).await else { return };
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let (team, again_key) = (behavior.team, if attempt > 0 { ",again=1" } else { "" });
        let open = format!("OPEN {team}-{number}-{attempt} {number} c=watch,d=2000,t={team}{again_key}\r\n");
        update(&|s| s.asked += 1);
        let answer = match write.write_all(open.as_bytes()).await {
            Ok(()) => lines.next_line().await.ok().flatten().unwrap_or_default(),
            Err(_) => String::new(),
        };
        if answer.starts_with("UP") {
            let started = Instant::now();
            update(&|s| {
                (s.up, s.open_connections) = (s.up + 1, s.open_connections + 1);
                if s.open_connections > s.peak.0 {
                    s.peak = (s.open_connections, Some(started));
                }
            });
            let close_at = stop_at.min(started + behavior.connection_lifetime);
            let received = tokio::time::timeout_at(close_at.into(), lines.next_line()).await;
            update(&|s| {
                s.open_connections -= 1;
                s.connected_seconds += started.elapsed().as_secs_f64();
                match &received {
                    Err(_) => {}
                    Ok(Ok(Some(line))) if line == "MOVE" => s.moved += 1,
                    Ok(_) => s.unexpected_ends += 1,
                }
            });
        } else if let Some(ms) = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()) {
            update(&|s| s.busy += 1);
            tokio::time::sleep(Duration::from_millis(ms).min(behavior.max_retry_wait)).await;
        } else {
            update(&|s| s.unexpected_ends += 1);
            return;
        }
    }
}

/// Runs the clients of each team, starting after the team's delay in milliseconds, for `duration`. Calls `meanwhile`
/// every 10 ms with the elapsed time and the counts so far, and returns the final counts.
pub fn run_clients(
    address: SocketAddr,
    teams: &[(u64, ClientBehavior)],
    duration: Duration,
    mut meanwhile: impl FnMut(Duration, &SharedCounts),
) -> BTreeMap<&'static str, TeamCounts> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (counts, started) = (SharedCounts::default(), Instant::now());
    LocalSet::new().block_on(&runtime, async {
        let mut clients = Vec::new();
        for &(after, behavior) in teams {
            for number in 0..behavior.clients {
                let counts = counts.clone();
                clients.push(spawn_local(async move {
                    tokio::time::sleep(Duration::from_millis(after)).await;
                    run_client(address, behavior, number, counts, started + duration).await;
                }));
            }
        }
        while started.elapsed() < duration {
            meanwhile(started.elapsed(), &counts);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for client in clients {
            client.await.unwrap();
        }
    });
    counts.take()
}

/// Starts three echoing instances and returns their entries for the discovery list.
pub fn echo_instances() -> Vec<String> {
    let (reports, _) = channel();
    let names = ["s-00000001", "s-00000002", "s-00000003"];
    names.map(|name| list_entry(name, echo_instance(name, reports.clone()), "ready")).to_vec()
}

/// Returns an operator file with the capacity and, for each team, its name, connections and further keys.
pub fn contracts_file(capacity: usize, teams: &[(&str, usize, &str)]) -> String {
    let team = |(name, connections, more_keys): &(&str, usize, &str)| {
        format!("[[team]]\nname = \"{name}\"\nconnections = {connections}\n{more_keys}\n")
    };
    let teams: String = teams.iter().map(team).collect();
    format!("[capacity]\nconnections = {capacity}\n[account]\nevery = \"1s\"\n{teams}")
}
