//! The platform's line protocol: parses first lines, places commands through the broker, and passes the answers on.
//! It takes no placement decisions.

use super::buffer::{strip_line_end, MAX_LINE_BYTES};
use super::idle::{IdleConnections, SlotEnd, FIRST_LINE_TIMEOUT};
use super::links::{self, Link};
use super::relay;
use crate::api::{Demand, Micros, Outcome};
use crate::broker::instances::instance_id;
use crate::broker::metrics::CommandResult;
use crate::broker::{
    resume_connection, run_command, Broker, Client, ClientGone, Command, ConnectionEnd, Dialer, Execution,
    Failure, SilenceMonitor,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use winnow::ascii::float;
use winnow::combinator::{eof, opt, preceded, separated, terminated};
use winnow::token::take_till;
use winnow::{ModalResult, Parser};

/// Time that a connection answered with `PONG` or `NO` may be silent, in microseconds; the platform's health checks
/// come every few seconds.
const HEALTH_CHECK_IDLE_TIMEOUT: u64 = 60_000_000;
/// Time allowed for a client to take its last line, in microseconds.
const ANSWER_WRITE_TIMEOUT: u64 = 1_000_000;
/// Longest deadline that a client may state, in milliseconds: one day. Connections that were established before this
/// process started have no deadline of their own and state a very long one.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// A parsed first line: `OPEN ID KEY NAME=VALUE,...`.
#[derive(Debug, PartialEq)]
pub struct OpenLine<'a> {
    id: &'a str,
    key: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

fn open_line<'a>(input: &mut &'a str) -> ModalResult<OpenLine<'a>> {
    let word = |input: &mut &'a str| take_till(1.., [' ', '\t']).parse_next(input);
    let id = preceded("OPEN ", word).parse_next(input)?;
    let key = preceded(' ', word).parse_next(input)?;
    let field = (terminated(take_till(1.., ['=', ',', ' ']), '='), take_till(0.., [',', ' ']));
    let fields: Option<Vec<_>> = opt(preceded(' ', separated(1.., field, ','))).parse_next(input)?;
    eof.parse_next(input)?;
    Ok(OpenLine { id, key, fields: fields.unwrap_or_default() })
}

fn parse_finite(text: &str) -> Option<f64> {
    let parsed: Result<f64, _> = float::<_, _, winnow::error::ContextError>.parse(text);
    parsed.ok().filter(|x| x.is_finite())
}

/// Parses the time in milliseconds that a client will wait. Only plain decimal numbers up to [`MAX_DEADLINE_MS`] are
/// accepted: a huge or negative one is an error of the client and must not be served as a deadline.
fn parse_deadline_ms(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    parse_finite(text).filter(|ms| plain && (0.0..=MAX_DEADLINE_MS).contains(ms))
}

impl<'a> OpenLine<'a> {
    /// Parses a first line. The error is the end of the text sent to the client.
    pub fn parse(line: &'a [u8]) -> Result<OpenLine<'a>, String> {
        let text = std::str::from_utf8(line).map_err(|_| "is not UTF-8")?;
        if text.chars().any(char::is_control) {
            return Err("has control characters".into());
        }
        let open = open_line.parse(text).map_err(|_| "is not OPEN ID KEY NAME=VALUE,...")?;
        // A repeated name is ambiguous: this balancer and the instance might each use another value.
        let names: BTreeSet<&str> = open.fields.iter().map(|(name, _)| *name).collect();
        match names.len() < open.fields.len() {
            true => Err("names something twice".into()),
            false => Ok(open),
        }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// Translates the line to a demand for the decision module. The error is the end of the text sent to the client.
    pub fn demand(&self, broker: &Broker) -> Result<Demand, String> {
        let names = broker.names();
        let class = self.get("c").ok_or("names no class")?;
        let class =
            names.class_index(class).ok_or_else(|| format!("names the unknown class {class:.40?}"))?;
        let left = self.get("d").ok_or("has no deadline")?;
        let left = parse_deadline_ms(left).ok_or_else(|| format!("has no deadline in {left:.40?}"))?;
        let hint = self.get("h").map(|h| parse_finite(h).ok_or_else(|| format!("has no load in {h:.40?}")));
        Ok(Demand {
            key: Some(self.key.into()),
            group: self.get("g").filter(|_| names.has_groups()).map(Into::into),
            hint: hint.transpose()?.map(|ms| ms * 1000.0),
            repeat: self.get("r") == Some("1"),
            returned: self.get("again") == Some("1"),
            ..Demand::new(self.id, class, (left * 1000.0) as u64)
        })
    }

    /// Returns the line for an instance: unchanged but for `d`, the time left.
    pub fn instance_line(&self, left_ms: u64) -> String {
        let mut line = format!("OPEN {} {}", self.id, self.key);
        for (i, (name, value)) in self.fields.iter().enumerate() {
            line.push(if i == 0 { ' ' } else { ',' });
            match *name {
                "d" => line.push_str(&format!("d={left_ms}")),
                _ => line.push_str(&format!("{name}={value}")),
            }
        }
        line.push_str("\r\n");
        line
    }
}

/// Result of waiting for the first line.
enum FirstLine {
    /// A whole line, with nothing after it.
    Line(Vec<u8>),
    /// An error, to be answered with this line.
    Invalid(String),
    /// Nothing came in time, or the slot is needed. The client may be sending a request at this moment, so it is refused.
    Idle,
    /// The client closed the connection without a request; no answer is due.
    NoRequest,
}

/// Answers health checks until the first other line arrives, and returns that line.
async fn read_first_line(client: &mut LineClient, idle: &Rc<IdleConnections>) -> FirstLine {
    let slot = idle.acquire_slot();
    let mut deadline = client.broker.now() + FIRST_LINE_TIMEOUT;
    loop {
        let received = slot.receive(deadline, client.link.read_line()).await;
        let n = match received {
            Ok(Ok(n)) => n,
            Err(SlotEnd::TimedOut) if !client.link.buffer.data().is_empty() => {
                return FirstLine::Invalid("ERR no whole line in time".into())
            }
            Err(SlotEnd::TimedOut | SlotEnd::Evicted) => return FirstLine::Idle,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
                return FirstLine::Invalid(format!("ERR {e}"))
            }
            // Closed without a request, as the platform's health checks do.
            Ok(Err(_)) if client.link.buffer.data().is_empty() => return FirstLine::NoRequest,
            Ok(Err(_)) => return FirstLine::Invalid("ERR half a line".into()),
        };
        let line = strip_line_end(&client.link.buffer.data()[..n]).to_vec();
        client.link.buffer.consume(n);
        if line != b"PING" {
            // A client that sends more before its answer cannot be served: the bytes would go to the instance.
            return match client.link.buffer.data() {
                [] => FirstLine::Line(line),
                _ => FirstLine::Invalid("ERR out of turn".into()),
            };
        }
        let answer: &[u8] = if client.broker.passes_health_checks() { b"PONG\r\n" } else { b"NO\r\n" };
        // A client that sends and does not read must not keep its slot, or its descriptor once it is evicted.
        let written = slot.receive(client.broker.now() + ANSWER_WRITE_TIMEOUT, client.link.write_all(answer));
        if !matches!(written.await, Ok(Ok(()))) {
            return FirstLine::NoRequest;
        }
        deadline = client.broker.now()
            + if client.link.buffer.data().is_empty() {
                HEALTH_CHECK_IDLE_TIMEOUT
            } else {
                FIRST_LINE_TIMEOUT
            };
    }
}

/// Serves one client connection until it is closed.
pub async fn serve(idle: Rc<IdleConnections>, stream: TcpStream, from: SocketAddr) {
    let mut client = LineClient { link: Link::new(stream), broker: idle.broker().clone() };
    match read_first_line(&mut client, &idle).await {
        FirstLine::NoRequest => return,
        FirstLine::Idle => client.answer("BUSY").await,
        FirstLine::Line(line) => {
            if let Err(answer) = handle_open(&mut client, &line).await {
                tracing::warn!("client {from}: {answer}");
                client.answer(&answer).await;
            }
        }
        FirstLine::Invalid(answer) => {
            tracing::warn!("client {from}: {answer}");
            client.answer(&answer).await;
        }
    }
    relay::close_gracefully(&idle, &mut client.link).await;
}

/// Runs the command that a first line requests, to its end. The error is the answer for a line that cannot be served.
async fn handle_open(client: &mut LineClient, line: &[u8]) -> Result<(), String> {
    let broker = client.broker.clone();
    let parsed = OpenLine::parse(line).and_then(|open| Ok((open.demand(&broker)?, open)));
    let (demand, open) = parsed.map_err(|why| format!("ERR first line {why}"))?;
    // The decision module identifies calls by id: a second call under the same id would be taken for the first.
    if broker.has_command(&demand.call.0) {
        broker.count_command(demand.class).record_result(CommandResult::Failed);
        return Err("ERR id in use".into());
    }
    let dialer = LineDialer { open: &open, broker: &broker };
    match open.get("at") {
        Some(at) => resume_connection(&broker, demand, open.get("t"), instance_id(at), client, &dialer).await,
        None => run_command(&broker, demand, open.get("t"), client, &dialer).await,
    }
    Ok(())
}

/// Executes commands at instances over the line protocol.
pub struct LineDialer<'a> {
    open: &'a OpenLine<'a>,
    broker: &'a Rc<Broker>,
}

impl Dialer for LineDialer<'_> {
    type Link = Link;

    async fn execute(&self, execution: &Execution) -> Result<Link, Outcome> {
        let line = || self.open.instance_line((execution.remaining() / 1000).max(1));
        links::start_execution(self.broker, execution, execution.address, line).await
    }
}

/// The connection to the service client.
struct LineClient {
    link: Link,
    broker: Rc<Broker>,
}

impl LineClient {
    /// Writes the last line; `serve` then closes the connection so that it arrives.
    async fn answer(&mut self, line: &str) {
        let line = format!("{line}\r\n");
        tokio::select! {
            _ = self.link.write_all(line.as_bytes()) => {}
            () = self.broker.sleep(ANSWER_WRITE_TIMEOUT) => {}
        }
    }
}

impl Client for LineClient {
    type Link = Link;

    async fn wait_gone(&mut self) -> ClientGone {
        match self.link.read(MAX_LINE_BYTES).await {
            Ok(n) if n > 0 => ClientGone::UnexpectedInput,
            _ => ClientGone::Left,
        }
    }

    async fn relay(&mut self, link: Link, command: &mut Command, silence: &SilenceMonitor) -> ConnectionEnd {
        relay::relay_lines(&mut self.link, link, command, silence).await
    }

    async fn nack(&mut self, retry_after: Option<Micros>) {
        match retry_after {
            Some(us) => self.answer(&format!("BUSY {}", us.div_ceil(1000))).await,
            None => self.answer("BUSY").await,
        }
    }

    async fn fail(&mut self, failure: Failure) {
        match failure {
            Failure::GivenUp => self.answer("ERR not served").await,
            Failure::Deadline => self.answer("ERR not served in time").await,
            Failure::UnexpectedInput => self.answer("ERR out of turn").await,
        }
    }
}
