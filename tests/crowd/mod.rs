//! Crowds of clients under contract, and the session servers and files that they need. All on loopback, in one
//! thread, for a bounded time.
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

/// What the clients of one team saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub asked: u64,
    pub up: u64,
    pub busy: u64,
    pub moved: u64,
    /// Ended without `MOVE`, or answered in another way.
    pub cut: u64,
    pub seconds: f64,
    pub held: usize,
    /// When it last held so many as never before.
    pub most: (usize, Option<Instant>),
}

pub type Book = Rc<RefCell<BTreeMap<&'static str, Seen>>>;

/// How a team's clients behave.
#[derive(Clone, Copy)]
pub struct Habit {
    pub team: &'static str,
    pub clients: usize,
    /// A connection is ended by its client after this long, and wanted again.
    pub life: Duration,
    /// Refused, a client waits as told, and no longer than this.
    pub patience: Duration,
}

/// Between a connection's end and the next that is wanted: the least that clients have been seen to take.
const AGAIN: Duration = Duration::from_millis(94);

pub fn habit(team: &'static str, clients: usize) -> Habit {
    Habit { team, clients, life: Duration::from_secs(60), patience: Duration::from_secs(60) }
}

/// One client: it wants a connection until the end.
async fn client(at: SocketAddr, habit: Habit, number: usize, book: Book, end: Instant) {
    let note = |change: &dyn Fn(&mut Seen)| change(book.borrow_mut().entry(habit.team).or_default());
    for again in 0.. {
        if Instant::now() >= end {
            return;
        }
        tokio::time::sleep(if again > 0 { AGAIN } else { Duration::from_millis(number as u64) }).await;
        let Ok(stream) = TcpStream::connect(at).await else { return };
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let (team, mark) = (habit.team, if again > 0 { ",again=1" } else { "" });
        let open = format!("OPEN {team}-{number}-{again} {number} c=watch,d=2000,t={team}{mark}\r\n");
        note(&|s| s.asked += 1);
        let answer = match write.write_all(open.as_bytes()).await {
            Ok(()) => lines.next_line().await.ok().flatten().unwrap_or_default(),
            Err(_) => String::new(),
        };
        if answer.starts_with("UP") {
            let begun = Instant::now();
            note(&|s| {
                (s.up, s.held) = (s.up + 1, s.held + 1);
                if s.held > s.most.0 {
                    s.most = (s.held, Some(begun));
                }
            });
            let over = end.min(begun + habit.life);
            let last = tokio::time::timeout_at(over.into(), lines.next_line()).await;
            note(&|s| {
                s.held -= 1;
                s.seconds += begun.elapsed().as_secs_f64();
                match &last {
                    Err(_) => {}
                    Ok(Ok(Some(line))) if line == "MOVE" => s.moved += 1,
                    Ok(_) => s.cut += 1,
                }
            });
        } else if let Some(ms) = answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()) {
            note(&|s| s.busy += 1);
            tokio::time::sleep(Duration::from_millis(ms).min(habit.patience)).await;
        } else {
            note(&|s| s.cut += 1);
            return;
        }
    }
}

/// Lets teams come, each after its time, until the end; what they saw. `meanwhile` runs beside them.
pub fn play(
    at: SocketAddr,
    teams: &[(u64, Habit)],
    span: Duration,
    mut meanwhile: impl FnMut(Duration, &Book),
) -> BTreeMap<&'static str, Seen> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (book, begun) = (Book::default(), Instant::now());
    LocalSet::new().block_on(&runtime, async {
        let mut clients = Vec::new();
        for &(after, habit) in teams {
            for number in 0..habit.clients {
                let book = book.clone();
                clients.push(spawn_local(async move {
                    tokio::time::sleep(Duration::from_millis(after)).await;
                    client(at, habit, number, book, begun + span).await;
                }));
            }
        }
        while begun.elapsed() < span {
            meanwhile(begun.elapsed(), &book);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for client in clients {
            client.await.unwrap();
        }
    });
    book.take()
}

pub fn servers() -> Vec<String> {
    let (told, _) = channel();
    let names = ["s-00000001", "s-00000002", "s-00000003"];
    names.map(|name| list_entry(name, echo_instance(name, told.clone()), "ready")).to_vec()
}

pub fn contracts(capacity: usize, teams: &[(&str, usize, &str)]) -> String {
    let team = |(name, n, more): &(&str, usize, &str)| {
        format!("[[team]]\nname = \"{name}\"\nconnections = {n}\n{more}\n")
    };
    let teams: String = teams.iter().map(team).collect();
    format!("[capacity]\nconnections = {capacity}\n[account]\nevery = \"1s\"\n{teams}")
}
