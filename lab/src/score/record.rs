//! The record of a run: one entry for each event, in order of time, written as JSON lines compressed with zstd.

use oakdeal::{HostState, Micros};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};

/// Outcome of an attempt, in the categories of the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The connection is established.
    Up,
    /// The server answered with an error.
    Error,
    /// The server rejected it because it is full or drains.
    Full,
    /// The server did not answer in time.
    Timeout,
    /// The server could not be reached.
    Unconnected,
    /// The connection broke.
    Reset,
    /// The balancer gave it up.
    #[serde(rename = "given")]
    GivenUp,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum RunEvent {
    /// The run begins; carries the parameters that the checker and the report need.
    Begin {
        scenario: String,
        title: String,
        seed: u64,
        how: String,
        classes: Vec<String>,
        teams: Vec<String>,
        servers: Vec<f64>,
        balancers: usize,
        score_from: Micros,
        end: Micros,
        drain_grace: Micros,
        /// Window over which the load sent to a cold server is summed, in microseconds.
        fall_time: Micros,
        /// Each balancer's part of the capacity that the contracts state, if they state one.
        capacity: Option<u64>,
    },
    /// A request reached a balancer, which has to answer it by the time `by`.
    Asked { node: usize, call: String, team: usize, class: usize, by: Micros },
    /// An attempt was sent to a server.
    Sent { node: usize, call: String, server: usize, crosses: bool },
    /// An attempt ended.
    Done { node: usize, call: String, how: AttemptOutcome },
    /// The balancer gave a final answer: a refusal or a failure.
    Answer { node: usize, call: String, refused: bool, after: Option<Micros>, contract: bool },
    /// The client left before it had an answer.
    #[serde(rename = "gone")]
    ClientLeft { node: usize, call: String },
    /// The client of an established connection was asked to move.
    Moved { node: usize, call: String },
    /// An established connection ended.
    #[serde(rename = "over")]
    ConnectionEnded { node: usize, call: String, broken: bool },
    /// A balancer was notified of a server's state.
    #[serde(rename = "told")]
    StateNotified { node: usize, server: usize, state: char },
    /// A balancer started with this entry in its cached list, last updated at the time `learned`.
    #[serde(rename = "known")]
    StateCached { node: usize, server: usize, state: char, learned: Micros },
    /// A change of discovery's list counts as notified from now on, at every balancer without later information.
    Notified { server: usize, state: char, changed: Micros },
    /// A balancer called discovery; `answered` is whether the call will succeed.
    #[serde(rename = "called")]
    DiscoveryCalled { node: usize, answered: bool },
    /// A balancer probed a server.
    Probed { node: usize, server: usize },
    /// A balancer died; its clients have to repeat their requests.
    Died { node: usize },
    /// A server started.
    Started { server: usize },
    /// A cold server failed by overload.
    #[serde(rename = "fell")]
    Overloaded { server: usize },
    /// A protocol line was lost, delayed or duplicated.
    #[serde(rename = "line")]
    LineFault { node: usize, call: String, wrong: String },
    /// A fault began.
    Fault { text: String, until: Micros },
    /// Worth asked for and served in the last second, by class and by team, with the load over capacity and the
    /// number of connections of each server.
    Second { asked: Vec<f64>, served: Vec<f64>, teams: Vec<(f64, f64)>, loads: Vec<f32>, held: Vec<u32> },
    /// The run ended; carries the counts on which the penalties are based.
    End { first: u64, sends: u64, crossings: u64, moves: u64, probes: u64, wasted: f64, offered: f64 },
}

impl RunEvent {
    /// Returns the summary of a second from the worth asked for and served by cell (all classes of the first team, then
    /// those of the next).
    pub fn second(
        asked: &[f64],
        served: &[f64],
        classes: usize,
        loads: Vec<f32>,
        held: Vec<u32>,
    ) -> RunEvent {
        let class_sum = |cells: &[f64], class: usize| cells.iter().skip(class).step_by(classes).sum::<f64>();
        let team_sums = |(asked, served): (&[f64], &[f64])| (asked.iter().sum(), served.iter().sum());
        RunEvent::Second {
            asked: (0..classes).map(|class| class_sum(asked, class)).collect(),
            served: (0..classes).map(|class| class_sum(served, class)).collect(),
            teams: asked.chunks(classes).zip(served.chunks(classes)).map(team_sums).collect(),
            loads,
            held,
        }
    }

    /// Returns the event that notifies a balancer of a server's state.
    pub fn state_notified(node: usize, server: usize, state: HostState) -> RunEvent {
        RunEvent::StateNotified { node, server, state: state_letter(state) }
    }
}

/// Returns the letter of a server's state in a record.
pub fn state_letter(state: HostState) -> char {
    match state {
        HostState::Ready => 'r',
        HostState::Draining => 'd',
        HostState::Gone => 'g',
    }
}

/// An entry of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time in microseconds since the start of the run.
    pub t: Micros,
    /// The event.
    #[serde(flatten)]
    pub what: RunEvent,
}

/// Receives the entries of a run as they occur.
pub trait EntrySink {
    /// Handles the next entry.
    fn accept(&mut self, entry: &Entry);
}

/// Level of the zstd compression of records.
const COMPRESSION_LEVEL: i32 = 3;

/// Writes a record to a file or to memory. After the first error it drops all further entries.
pub struct Writer<W: Write> {
    encoder: zstd::stream::write::Encoder<'static, W>,
    error: Option<io::Error>,
}

impl<W: Write> Writer<W> {
    /// Returns a writer that compresses into `output`.
    pub fn new(output: W) -> io::Result<Writer<W>> {
        Ok(Writer { encoder: zstd::stream::write::Encoder::new(output, COMPRESSION_LEVEL)?, error: None })
    }

    /// Completes the record; returns the first error of any earlier write.
    pub fn finish(self) -> io::Result<W> {
        match self.error {
            Some(e) => Err(e),
            None => self.encoder.finish(),
        }
    }
}

impl<W: Write> EntrySink for Writer<W> {
    fn accept(&mut self, entry: &Entry) {
        if self.error.is_none() {
            let written = serde_json::to_writer(&mut self.encoder, entry).map_err(io::Error::from);
            self.error = written.and_then(|()| self.encoder.write_all(b"\n")).err();
        }
    }
}

/// Decodes a record and calls `handle` with each entry.
pub fn replay(input: impl Read, mut handle: impl FnMut(Entry)) -> Result<(), String> {
    let lines = zstd::stream::read::Decoder::new(input).map_err(|e| format!("not a record: {e}"))?;
    for (i, line) in BufReader::new(lines).lines().enumerate() {
        let line = line.map_err(|e| format!("cannot read the record: {e}"))?;
        handle(serde_json::from_str(&line).map_err(|e| format!("line {}: not an entry: {e}", i + 1))?);
    }
    Ok(())
}
