//! The platform's line protocol: a thin front.

use super::buffer::{trimmed, LINE};
use super::links::{self, Link};
use super::lobby::{Lobby, Over, FIRST};
use super::relay;
use crate::api::{Demand, Micros, Outcome};
use crate::broker::instances::instance_id;
use crate::broker::metrics::CommandResult;
use crate::broker::{
    resume_connection, run_command, Broker, Client, ClientGone, Command, ConnectionEnd, Dialer, Execution,
    Failure,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use winnow::ascii::float;
use winnow::combinator::{eof, opt, preceded, separated, terminated};
use winnow::token::take_till;
use winnow::{ModalResult, Parser};

/// One that has been answered `PONG` may be silent for so long: the front's checks come every few seconds.
const IDLE: u64 = 60_000_000;
/// A client that does not take its answer is waited for this long.
const LINGER: u64 = 1_000_000;
/// The longest wait that a client can mean, in milliseconds: a day. Those that stood before a start have no
/// deadline of their own, and name one that is very long.
const LONGEST: f64 = 86_400_000.0;

/// A first line.
#[derive(Debug, PartialEq)]
pub struct Open<'a> {
    id: &'a str,
    key: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

fn open<'a>(input: &mut &'a str) -> ModalResult<Open<'a>> {
    let word = |input: &mut &'a str| take_till(1.., [' ', '\t']).parse_next(input);
    let id = preceded("OPEN ", word).parse_next(input)?;
    let key = preceded(' ', word).parse_next(input)?;
    let field = (terminated(take_till(1.., ['=', ',', ' ']), '='), take_till(0.., [',', ' ']));
    let fields: Option<Vec<_>> = opt(preceded(' ', separated(1.., field, ','))).parse_next(input)?;
    eof.parse_next(input)?;
    Ok(Open { id, key, fields: fields.unwrap_or_default() })
}

fn number_of(text: &str) -> Option<f64> {
    let parsed: Result<f64, _> = float::<_, _, winnow::error::ContextError>.parse(text);
    parsed.ok().filter(|x| x.is_finite())
}

/// Milliseconds that a client will wait: a plain number, and one that somebody can mean. A huge or negative
/// one would be served as if it had been read.
fn wait_of(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    number_of(text).filter(|ms| plain && (0.0..=LONGEST).contains(ms))
}

impl<'a> Open<'a> {
    /// Reads a first line; what is wrong with it is said in words.
    pub fn parse(line: &'a [u8]) -> Result<Open<'a>, String> {
        let text = std::str::from_utf8(line).map_err(|_| "is not UTF-8")?;
        if text.chars().any(char::is_control) {
            return Err("has control characters".into());
        }
        let open = open.parse(text).map_err(|_| "is not OPEN ID KEY NAME=VALUE,...")?;
        // Which of the two would count is anybody's guess, and the instance's may be another one.
        let again = |(i, (name, _)): (usize, &(&str, &str))| open.fields[..i].iter().any(|(n, _)| n == name);
        match open.fields.iter().enumerate().any(again) {
            true => Err("names something twice".into()),
            false => Ok(open),
        }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// The demand that it stands for.
    pub fn demand(&self, broker: &Broker) -> Result<Demand, String> {
        let names = broker.names();
        let class = self.get("c").ok_or("names no class")?;
        let class = names.class(class).ok_or_else(|| format!("names the unknown class {class:.40?}"))?;
        let left = self.get("d").ok_or("has no deadline")?;
        let left = wait_of(left).ok_or_else(|| format!("has no deadline in {left:.40?}"))?;
        let hint = self.get("h").map(|h| number_of(h).ok_or_else(|| format!("has no load in {h:.40?}")));
        Ok(Demand {
            key: Some(self.key.into()),
            group: self.get("g").filter(|_| names.grouped()).map(Into::into),
            hint: hint.transpose()?.map(|ms| ms * 1000.0),
            repeat: self.get("r") == Some("1"),
            returned: self.get("again") == Some("1"),
            ..Demand::new(self.id, class, (left * 1000.0) as u64)
        })
    }

    /// The line for an instance: unchanged, but for the time that is left.
    pub fn line(&self, left_ms: u64) -> String {
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

/// How a connection began.
enum First {
    /// With a whole line; nothing may follow before it is answered.
    Line(Vec<u8>),
    /// In a way that is owed this answer.
    Bad(String),
    /// In no way that is owed any.
    Nothing,
}

/// Reads up to the first line that is no check of the front.
async fn first_line(peer: &mut Peer, lobby: &Rc<Lobby>) -> First {
    let seat = lobby.seat();
    let mut until = peer.broker.now() + FIRST;
    loop {
        let line = tokio::select! {
            biased;
            line = peer.link.line() => line,
            over = seat.over(until) => return match over {
                Over::Wanted => First::Bad("BUSY".into()),
                Over::Late if peer.link.buffer.data().is_empty() => First::Nothing,
                Over::Late => First::Bad("ERR no whole line in time".into()),
            },
        };
        let n = match line {
            Ok(n) => n,
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => return First::Bad(format!("ERR {e}")),
            // Nothing was asked, so nothing is owed: the front's checks end like this.
            Err(_) if peer.link.buffer.data().is_empty() => return First::Nothing,
            Err(_) => return First::Bad("ERR half a line".into()),
        };
        let line = trimmed(&peer.link.buffer.data()[..n]).to_vec();
        peer.link.buffer.consume(n);
        if line != b"PING" {
            // Whoever has not waited for an answer cannot be served: what it sent would go to the instance.
            return match peer.link.buffer.data() {
                [] => First::Line(line),
                _ => First::Bad("ERR out of turn".into()),
            };
        }
        let answer: &[u8] = if peer.broker.passes_health_checks() { b"PONG\r\n" } else { b"NO\r\n" };
        if peer.link.write(answer).await.is_err() {
            return First::Nothing;
        }
        until = peer.broker.now() + if peer.link.buffer.data().is_empty() { IDLE } else { FIRST };
    }
}

/// Serves one connection from its first line to its end.
pub async fn serve(lobby: Rc<Lobby>, stream: TcpStream, from: SocketAddr) {
    let mut peer = Peer { link: Link::new(stream), broker: lobby.broker().clone() };
    match first_line(&mut peer, &lobby).await {
        First::Nothing => return,
        First::Line(line) => {
            if let Err(answer) = ask(&mut peer, &line).await {
                tracing::warn!("client {from}: {answer}");
                peer.answer(&answer).await;
            }
        }
        First::Bad(answer) => {
            tracing::warn!("client {from}: {answer}");
            peer.answer(&answer).await;
        }
    }
    relay::close(&lobby, &mut peer.link).await;
}

/// Carries the command that a first line asks for; what is wrong with it is the answer that it is owed.
async fn ask(peer: &mut Peer, line: &[u8]) -> Result<(), String> {
    let broker = peer.broker.clone();
    let read = Open::parse(line).and_then(|open| Ok((open.demand(&broker)?, open)));
    let (demand, open) = read.map_err(|why| format!("ERR first line {why}"))?;
    // The module books by id: a second one under the same would answer for the first.
    if broker.has_command(&demand.call.0) {
        broker.count_command(demand.class).record_result(CommandResult::Failed);
        return Err("ERR id in use".into());
    }
    let dialer = Lines { open: &open, broker: &broker };
    match open.get("at") {
        Some(at) => resume_connection(&broker, demand, open.get("t"), instance_id(at), peer, &dialer).await,
        None => run_command(&broker, demand, open.get("t"), peer, &dialer).await,
    }
    Ok(())
}

/// The side that faces instances.
pub struct Lines<'a> {
    open: &'a Open<'a>,
    broker: &'a Rc<Broker>,
}

impl Dialer for Lines<'_> {
    type Link = Link;

    async fn execute(&self, execution: &Execution) -> Result<Link, Outcome> {
        let line = || self.open.line((execution.remaining() / 1000).max(1));
        links::place(self.broker, execution, execution.address, line).await
    }
}

/// The side that faces the service client.
struct Peer {
    link: Link,
    broker: Rc<Broker>,
}

impl Peer {
    /// Writes a last line; `serve` then closes in such a way that it arrives.
    async fn answer(&mut self, line: &str) {
        let line = format!("{line}\r\n");
        tokio::select! {
            _ = self.link.write(line.as_bytes()) => {}
            () = self.broker.sleep(LINGER) => {}
        }
    }
}

impl Client for Peer {
    type Link = Link;

    async fn wait_gone(&mut self) -> ClientGone {
        match self.link.buffer.filled(&self.link.stream, LINE).await {
            Ok(n) if n > 0 => ClientGone::UnexpectedInput,
            _ => ClientGone::Left,
        }
    }

    async fn relay(&mut self, link: Link, command: &mut Command) -> ConnectionEnd {
        relay::lines(&mut self.link, link, command).await
    }

    async fn nack(&mut self, after: Option<Micros>) {
        match after {
            Some(us) => self.answer(&format!("BUSY {}", us.div_ceil(1000))).await,
            None => self.answer("BUSY").await,
        }
    }

    async fn fail(&mut self, why: Failure) {
        match why {
            Failure::GivenUp => self.answer("ERR not served").await,
            Failure::Deadline => self.answer("ERR not served in time").await,
            Failure::UnexpectedInput => self.answer("ERR out of turn").await,
        }
    }
}
