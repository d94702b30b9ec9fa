//! A standing connection of the platform's protocol: whole lines both ways, unchanged, held back by a side
//! that does not take them; what passes is watched, but never altered.

use super::buffer::{trimmed, LINE};
use super::links::Link;
use super::lobby::Lobby;
use crate::api::Micros;
use crate::broker::{Broker, Command, ConnectionEnd, SILENCE_TIMEOUT};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// What one direction holds at most before its sender is made to wait.
const MOST: usize = 4 * LINE;
/// How long an end waits for a side that does not take its last lines, or does not close.
const LINGER: Micros = 1_000_000;
/// So much is read of a client that has had its last line.
const DRAINED: usize = 64 * LINE;
/// A message that is out for so long is told of, each time again.
const OUT: Micros = 1_000_000;
/// Client lines whose answer is waited for at once.
const ASKED: usize = 64;

/// One direction: from a link's buffer to the other's stream.
#[derive(Default)]
struct Way {
    /// How much of the buffer are whole lines, which may go.
    whole: usize,
    /// The sender has ended, and the end was passed on.
    ended: bool,
    passed: bool,
}

impl Way {
    fn reads(&self, from: &Link) -> bool {
        !self.ended && from.buffer.data().len() < MOST
    }

    /// Reads what there is and shows each line that has become whole; what follows the last at the end of the
    /// stream goes too.
    fn read(&mut self, from: &mut Link, mut seen: impl FnMut(&[u8])) -> io::Result<()> {
        while self.reads(from) {
            match from.buffer.fill(&from.stream, MOST) {
                Ok(0) => {
                    self.ended = true;
                    self.whole = from.buffer.data().len();
                }
                Ok(_) => self.scan(from, &mut seen)?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn scan(&mut self, from: &Link, seen: &mut impl FnMut(&[u8])) -> io::Result<()> {
        let data = from.buffer.data();
        while let Some(n) = data[self.whole..].iter().position(|&b| b == b'\n') {
            seen(trimmed(&data[self.whole..=self.whole + n]));
            self.whole += n + 1;
        }
        match data.len() - self.whole > LINE {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, "a line of over 4 KiB")),
            false => Ok(()),
        }
    }

    fn writes(&self) -> bool {
        self.whole > 0
    }

    /// Writes what the other side takes, then the end, if there is one.
    fn write(&mut self, from: &mut Link, to: &TcpStream) -> io::Result<()> {
        while self.whole > 0 {
            match to.try_write(&from.buffer.data()[..self.whole]) {
                Ok(n) => {
                    from.buffer.consume(n);
                    self.whole -= n;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if self.ended && !std::mem::replace(&mut self.passed, true) {
            // The other side may be gone already: then there is nobody to tell.
            let _ = socket2::SockRef::from(to).shutdown(std::net::Shutdown::Write);
        }
        Ok(())
    }
}

/// What the instance's lines told.
#[derive(Default)]
struct Watched {
    /// When the lines went up that nothing has come back for.
    asked: VecDeque<Micros>,
    last: Option<ConnectionEnd>,
}

impl Watched {
    fn line(&mut self, line: &[u8], now: Micros, command: &mut Command) {
        let mut words = line.split(|&b| b == b' ');
        match words.next().unwrap_or_default() {
            b"UP" => {}
            b"LOAD" => {
                let load =
                    words.next().and_then(|x| std::str::from_utf8(x).ok()).and_then(|x| x.parse().ok());
                if let Some(load) = load {
                    command.report_load(load);
                }
            }
            b"BYE" => self.last = Some(ConnectionEnd::Served),
            b"MOVE" => self.last = Some(ConnectionEnd::Left),
            _ => {
                if let Some(since) = self.asked.pop_front() {
                    command.report_returned_message(now.saturating_sub(since));
                }
            }
        }
    }
}

async fn ready(stream: &TcpStream, reads: bool, writes: bool) -> io::Result<Ready> {
    let interest = match (reads, writes) {
        (true, true) => Interest::READABLE | Interest::WRITABLE,
        (true, false) => Interest::READABLE,
        (false, true) => Interest::WRITABLE,
        (false, false) => std::future::pending().await,
    };
    stream.ready(interest).await
}

/// Ends a connection the hard way, as the other side of it has ended.
pub fn reset(link: &Link) {
    let _ = socket2::SockRef::from(&link.stream).set_linger(Some(Duration::ZERO));
}

/// Ends a connection the soft way: what was written arrives, then the end. A client that keeps writing is
/// read for a while, since bytes unread at the close would reset the connection and might lose the last line.
/// One that writes without end is left unread then: 60 MB must not cost what the others need.
pub async fn close(lobby: &Rc<Lobby>, link: &mut Link) {
    let _ = socket2::SockRef::from(&link.stream).shutdown(std::net::Shutdown::Write);
    let drained = async {
        let mut left = DRAINED;
        while left > 0 {
            let n = link.buffer.data().len();
            link.buffer.consume(n);
            match link.buffer.filled(&link.stream, LINE).await {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => return,
            }
        }
        std::future::pending().await
    };
    lobby.linger(drained).await
}

/// Passes lines on until the connection ends; the caller closes the client's side.
pub async fn lines(client: &mut Link, mut instance: Link, command: &mut Command) -> ConnectionEnd {
    let broker = command.broker().clone();
    let (mut up, mut down, mut watched) = (Way::default(), Way::default(), Watched::default());
    // The instance's `UP` stands in its buffer, and what the client wrote early in its own.
    let now = broker.now();
    if let Err(e) = down.scan(&instance, &mut |_| ()).and_then(|()| {
        let asked = &mut watched.asked;
        up.scan(client, &mut |_| asked.push_back(now))
    }) {
        tracing::warn!("a connection was ended: {e}");
        return ConnectionEnd::Left;
    }
    // When something last came, and when a message that is out was last looked at.
    let (mut moved, mut looked) = (now, now);
    loop {
        let sides = async {
            tokio::select! {
                r = ready(&client.stream, up.reads(client), down.writes()) => r,
                r = ready(&instance.stream, down.reads(&instance), up.writes()) => r,
            }
        };
        let oldest = watched.asked.front().copied();
        // While something is asked, each second; else only a client that has ended its sending is not waited
        // for without end: it may be gone, but as long as its instance sends it is served.
        let wait = match (oldest, up.ended) {
            (Some(since), _) => broker.sleep_until((looked.max(since) + OUT).min(since + SILENCE_TIMEOUT)),
            (None, true) => broker.sleep_until(moved + SILENCE_TIMEOUT),
            (None, false) => broker.sleep_until(Micros::MAX),
        };
        tokio::select! {
            biased;
            () = command.move_requested() => return farewell(&broker, client, &mut down, &mut instance).await,
            // An error shows again when the socket is used.
            _ = sides => {}
            () = wait => {
                looked = broker.now();
                match oldest {
                    Some(since) if command.report_silence(looked - since) => {
                        tracing::info!("a connection brought nothing back for {} ms: moved", (looked - since) / 1000);
                        return farewell(&broker, client, &mut down, &mut instance).await;
                    }
                    Some(_) => {}
                    None => return ConnectionEnd::Left,
                }
                continue;
            }
        }
        let now = broker.now();
        moved = now;
        let from_client = up.read(client, |_| {
            if watched.asked.len() < ASKED {
                watched.asked.push_back(now);
            }
        });
        if let Err(e) = from_client.and_then(|()| down.write(&mut instance, &client.stream)) {
            if e.kind() == io::ErrorKind::InvalidData {
                tracing::warn!("client: sent {e}; its connection is ended");
            }
            reset(&instance);
            return ConnectionEnd::Left;
        }
        let from_instance = down.read(&mut instance, |line| watched.line(line, now, command));
        let to_instance = up.write(client, &instance.stream);
        let sent = down.write(&mut instance, &client.stream);
        if let Err(e) = from_instance.and(to_instance) {
            if e.kind() == io::ErrorKind::InvalidData {
                tracing::warn!("instance: sent {e}; its connection is ended");
            }
            // Its last whole lines go to the client still, then the end, in the same way.
            flush(&broker, client, &mut down, &mut instance).await;
            reset(client);
            return if up.ended {
                ConnectionEnd::Left
            } else {
                watched.last.unwrap_or(ConnectionEnd::Broken)
            };
        }
        if sent.is_err() {
            reset(&instance);
            return ConnectionEnd::Left;
        }
        if down.passed {
            return if up.ended {
                ConnectionEnd::Left
            } else {
                watched.last.unwrap_or(ConnectionEnd::Broken)
            };
        }
    }
}

/// Writes the whole lines that are left, for as long as a client may take.
async fn flush(broker: &Rc<Broker>, client: &Link, down: &mut Way, instance: &mut Link) {
    let written = async {
        while down.writes() {
            if ready(&client.stream, false, true).await.is_err()
                || down.write(instance, &client.stream).is_err()
            {
                return;
            }
        }
    };
    tokio::select! {
        () = written => {}
        () = broker.sleep(LINGER) => {}
    }
}

/// Asks the client to come again, between two whole lines.
async fn farewell(broker: &Rc<Broker>, client: &Link, down: &mut Way, instance: &mut Link) -> ConnectionEnd {
    flush(broker, client, down, instance).await;
    if !down.writes() {
        tokio::select! {
            _ = client.write(b"MOVE\r\n") => {}
            () = broker.sleep(LINGER) => {}
        }
    }
    ConnectionEnd::Left
}
