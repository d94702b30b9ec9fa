//! Relays an established connection of the platform's protocol: whole lines in both directions, unchanged, with
//! backpressure when a receiver is slow. Lines are inspected for load, delay and the reason of the end, never altered.

use super::buffer::{strip_line_end, MAX_LINE_BYTES};
use super::idle::IdleConnections;
use super::links::Link;
use crate::api::Micros;
use crate::broker::{Broker, Command, ConnectionEnd, SilenceMonitor, SILENCE_TIMEOUT};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// Most bytes buffered in one direction before its sender is no longer read.
const MAX_BUFFERED_BYTES: usize = 4 * MAX_LINE_BYTES;
/// Longest wait for a client to take its last lines, in microseconds.
const FLUSH_TIMEOUT: Micros = 1_000_000;
/// Most bytes read and dropped from a client after its last line was written.
const MAX_DRAINED_BYTES: usize = 64 * MAX_LINE_BYTES;

/// One direction of a relay: from the buffer of one link to the stream of the other.
#[derive(Default)]
struct Direction {
    /// Number of buffered bytes that form whole lines and may be sent.
    sendable: usize,
    /// The sender has ended its stream.
    ended: bool,
    /// The end was passed on to the receiver.
    end_sent: bool,
}

impl Direction {
    fn wants_read(&self, from: &Link) -> bool {
        !self.ended && from.buffer.data().len() < MAX_BUFFERED_BYTES
    }

    /// Reads what is available and calls `inspect` for each line that is now whole. At the end of the stream an
    /// incomplete last line becomes sendable too.
    fn read(&mut self, from: &mut Link, mut inspect: impl FnMut(&[u8])) -> io::Result<()> {
        while self.wants_read(from) {
            match from.try_read(MAX_BUFFERED_BYTES) {
                Ok(0) => {
                    self.ended = true;
                    self.sendable = from.buffer.data().len();
                }
                Ok(_) => self.scan(from, &mut inspect)?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn scan(&mut self, from: &Link, inspect: &mut impl FnMut(&[u8])) -> io::Result<()> {
        let data = from.buffer.data();
        while let Some(n) = data[self.sendable..].iter().position(|&b| b == b'\n') {
            inspect(strip_line_end(&data[self.sendable..=self.sendable + n]));
            self.sendable += n + 1;
        }
        match data.len() - self.sendable > MAX_LINE_BYTES {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, "a line of over 4 KiB")),
            false => Ok(()),
        }
    }

    fn wants_write(&self) -> bool {
        self.sendable > 0
    }

    /// Writes what the receiver takes, then the end of the stream if the sender has ended.
    fn write(&mut self, from: &mut Link, to: &TcpStream) -> io::Result<()> {
        while self.sendable > 0 {
            match to.try_write(&from.buffer.data()[..self.sendable]) {
                Ok(n) => {
                    from.buffer.consume(n);
                    self.sendable -= n;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if self.ended && !std::mem::replace(&mut self.end_sent, true) {
            // Fails where the receiver has closed already, which needs no handling.
            let _ = socket2::SockRef::from(to).shutdown(std::net::Shutdown::Write);
        }
        Ok(())
    }
}

/// What was learned from the lines of a connection.
struct LineMonitor<'a> {
    silence: &'a SilenceMonitor,
    /// Reason of the end that the instance's last line announced.
    announced_end: Option<ConnectionEnd>,
}

impl LineMonitor<'_> {
    fn instance_line(&mut self, line: &[u8], now: Micros, command: &mut Command) {
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
            b"BYE" => self.announced_end = Some(ConnectionEnd::Served),
            b"MOVE" => self.announced_end = Some(ConnectionEnd::Left),
            _ => self.silence.record_answer(now),
        }
    }
}

async fn wait_ready(stream: &TcpStream, reads: bool, writes: bool) -> io::Result<Ready> {
    let interest = match (reads, writes) {
        (true, true) => Interest::READABLE | Interest::WRITABLE,
        (true, false) => Interest::READABLE,
        (false, true) => Interest::WRITABLE,
        (false, false) => std::future::pending().await,
    };
    stream.ready(interest).await
}

/// Makes the connection end with a reset when it is closed, as the other side of the relay did.
pub fn reset_on_close(link: &Link) {
    let _ = socket2::SockRef::from(&link.stream).set_linger(Some(Duration::ZERO));
}

/// Closes a connection gracefully: everything written arrives, followed by the end of the stream. Bytes that the client
/// still sends are read and dropped, since unread bytes at the close would reset the connection and might lose the last
/// line. After [`MAX_DRAINED_BYTES`] the client is read no more: one that sends 60 MB must not take the time of others.
pub async fn close_gracefully(idle: &Rc<IdleConnections>, link: &mut Link) {
    let _ = socket2::SockRef::from(&link.stream).shutdown(std::net::Shutdown::Write);
    let drained = async {
        let mut remaining = MAX_DRAINED_BYTES;
        while remaining > 0 {
            let n = link.buffer.data().len();
            link.buffer.consume(n);
            match link.read(MAX_LINE_BYTES).await {
                Ok(n) if n > 0 => remaining = remaining.saturating_sub(n),
                _ => return,
            }
        }
        std::future::pending().await
    };
    idle.await_close(drained).await
}

/// Relays lines until the connection ends; the caller closes the client's connection. In one step of a turn at most
/// [`MAX_BUFFERED_BYTES`] are read each way.
pub async fn relay_lines(
    client: &mut Link,
    mut instance: Link,
    command: &mut Command,
    silence: &SilenceMonitor,
) -> ConnectionEnd {
    let broker = command.broker().clone();
    let (mut up, mut down) = (Direction::default(), Direction::default());
    let mut monitor = LineMonitor { silence, announced_end: None };
    // The buffers may hold lines already: the instance's `UP`, and what the client sent early.
    let now = broker.now();
    let scanned = down.scan(&instance, &mut |_| ());
    if let Err(e) = scanned.and_then(|()| up.scan(client, &mut |_| silence.record_sent(now))) {
        tracing::warn!("connection ended: {e}");
        return ConnectionEnd::Left;
    }
    let mut last_traffic = now;
    loop {
        client.turn.take_step().await;
        instance.turn.take_step().await;
        let sides = async {
            tokio::select! {
                r = wait_ready(&client.stream, up.wants_read(client), down.wants_write()) => r,
                r = wait_ready(&instance.stream, down.wants_read(&instance), up.wants_write()) => r,
            }
        };
        // While a line is unanswered the silence is checked. Otherwise there is a time limit only for a client that has
        // ended its side: it may be gone, but is served for as long as its instance sends.
        let wait = match (silence.next_check(), up.ended) {
            (Some(check_at), _) => broker.sleep_until(check_at),
            (None, true) => broker.sleep_until(last_traffic + SILENCE_TIMEOUT),
            (None, false) => broker.sleep_until(Micros::MAX),
        };
        tokio::select! {
            biased;
            () = command.move_requested() => return send_move(&broker, client, &mut down, &mut instance).await,
            // An error recurs when the socket is used.
            _ = sides => {}
            () = wait => {
                if silence.next_check().is_none() {
                    return ConnectionEnd::Left;
                }
                if silence.check(broker.now()) {
                    return send_move(&broker, client, &mut down, &mut instance).await;
                }
                continue;
            }
        }
        let now = broker.now();
        last_traffic = now;
        let from_client = up.read(client, |_| silence.record_sent(now));
        if let Err(e) = from_client.and_then(|()| down.write(&mut instance, &client.stream)) {
            if e.kind() == io::ErrorKind::InvalidData {
                tracing::warn!("client: sent {e}; connection ended");
            }
            reset_on_close(&instance);
            return ConnectionEnd::Left;
        }
        let from_instance = down.read(&mut instance, |line| monitor.instance_line(line, now, command));
        let to_instance = up.write(client, &instance.stream);
        let sent = down.write(&mut instance, &client.stream);
        if let Err(e) = from_instance.and(to_instance) {
            if e.kind() == io::ErrorKind::InvalidData {
                tracing::warn!("instance: sent {e}; connection ended");
            }
            // The client still gets the last whole lines, and then a reset.
            flush(&broker, client, &mut down, &mut instance).await;
            reset_on_close(client);
            return if up.ended {
                ConnectionEnd::Left
            } else {
                monitor.announced_end.unwrap_or(ConnectionEnd::Broken)
            };
        }
        if sent.is_err() {
            reset_on_close(&instance);
            return ConnectionEnd::Left;
        }
        if down.end_sent {
            return if up.ended {
                ConnectionEnd::Left
            } else {
                monitor.announced_end.unwrap_or(ConnectionEnd::Broken)
            };
        }
    }
}

/// Writes the remaining whole lines to the client, within a time limit.
async fn flush(broker: &Rc<Broker>, client: &Link, down: &mut Direction, instance: &mut Link) {
    let written = async {
        while down.wants_write() {
            if wait_ready(&client.stream, false, true).await.is_err()
                || down.write(instance, &client.stream).is_err()
            {
                return;
            }
        }
    };
    tokio::select! {
        () = written => {}
        () = broker.close_wait(FLUSH_TIMEOUT) => {}
    }
}

/// Writes the remaining whole lines and `MOVE`, which asks the client to reconnect.
async fn send_move(
    broker: &Rc<Broker>,
    client: &Link,
    down: &mut Direction,
    instance: &mut Link,
) -> ConnectionEnd {
    flush(broker, client, down, instance).await;
    if !down.wants_write() {
        tokio::select! {
            _ = client.write_all(b"MOVE\r\n") => {}
            () = broker.close_wait(FLUSH_TIMEOUT) => {}
        }
    }
    ConnectionEnd::Left
}
