//! Buffered connections of the line protocols; connecting to an instance, starting an execution there, and probes.

use super::buffer::{strip_line_end, Buffer, MAX_LINE_BYTES};
use super::turn::TurnBudget;
use crate::api::{HostId, Outcome};
use crate::broker::{Broker, Execution};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// A TCP connection with its read buffer.
pub struct Link {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read and not consumed.
    pub buffer: Buffer,
    /// Bounds the work of this connection before other tasks run.
    pub turn: TurnBudget,
}

impl Link {
    /// Returns a link on which nothing has been read.
    pub fn new(stream: TcpStream) -> Link {
        Link { stream, buffer: Buffer::default(), turn: TurnBudget::default() }
    }

    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.turn.take_step().await;
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Waits until bytes are available and reads them into the buffer, which holds fewer than `max_bytes`. Returns 0 at the
    /// end of the stream.
    pub async fn read(&mut self, max_bytes: usize) -> io::Result<usize> {
        loop {
            self.turn.take_step().await;
            self.stream.readable().await?;
            match self.try_read(max_bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    /// Reads the bytes that are available without waiting into the buffer, which holds fewer than `max_bytes`. Returns 0
    /// at the end of the stream.
    pub fn try_read(&mut self, max_bytes: usize) -> io::Result<usize> {
        let n = self.buffer.try_read(&self.stream, max_bytes)?;
        self.turn.record_bytes(n);
        Ok(n)
    }

    /// Reads until the buffer holds a whole line, and returns its length. The end of the stream and a line that is too
    /// long are errors.
    pub async fn read_line(&mut self) -> io::Result<usize> {
        loop {
            match self.buffer.first_line_len() {
                Some(n) if n <= MAX_LINE_BYTES => return Ok(n),
                None if self.buffer.data().len() < MAX_LINE_BYTES => {}
                _ => return Err(io::Error::new(io::ErrorKind::InvalidData, "a line of over 4 KiB")),
            }
            if self.read(MAX_LINE_BYTES).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Connects to an instance within the connect timeout. On an error nothing has run there.
pub async fn connect(broker: &Rc<Broker>, address: SocketAddr) -> Result<Link, Outcome> {
    let stream = tokio::select! {
        connected = TcpStream::connect(address) => connected.map_err(|_| Outcome::ConnectFailed)?,
        () = broker.sleep(broker.connect_timeout()) => return Err(Outcome::ConnectFailed),
    };
    let _ = stream.set_nodelay(true);
    Ok(Link::new(stream))
}

/// Sends the first line of an execution and waits for the instance's answer. `UP` is left in the link's buffer; any
/// other answer ends the execution.
pub async fn start_execution(
    broker: &Rc<Broker>,
    execution: &Execution,
    address: SocketAddr,
    first_line: impl FnOnce() -> String,
) -> Result<Link, Outcome> {
    let mut link = connect(broker, address).await?;
    // A list update may have arrived while the connection was made: a draining instance gets nothing new.
    if !execution.may_send() {
        return Err(Outcome::Moot);
    }
    let line = first_line();
    // The connection broke before the last byte of the line was written: the command never ran.
    link.write_all(line.as_bytes()).await.map_err(|_| Outcome::ConnectFailed)?;
    execution.record_sent();
    let n = match link.read_line().await {
        Ok(n) => n,
        Err(e) if e.kind() == io::ErrorKind::InvalidData => {
            tracing::warn!("instance {}: invalid answer: {e}", execution.name);
            return Err(Outcome::Error);
        }
        Err(_) => return Err(Outcome::Reset),
    };
    let answer = strip_line_end(&link.buffer.data()[..n]);
    match answer.split(|&b| b == b' ').next().unwrap_or_default() {
        b"UP" => Ok(link),
        b"BUSY" => Err(Outcome::Full),
        b"BYE" => Err(Outcome::Ok),
        b"MOVE" => Err(Outcome::Cancelled),
        b"ERR" => Err(Outcome::Error),
        _ => {
            let answer = String::from_utf8_lossy(answer);
            tracing::warn!("instance {}: unknown answer {answer:.40?}, treated as an error", execution.name);
            Err(Outcome::Error)
        }
    }
}

/// Probes an instance on a connection of its own and reports the outcome to the broker.
pub async fn probe(broker: Rc<Broker>, host: HostId, address: SocketAddr) {
    let Some(_guard) = broker.reserve_descriptors(1) else { return };
    let answered = async {
        let mut link = connect(&broker, address).await?;
        link.write_all(b"PING\r\n").await.map_err(|_| Outcome::ConnectFailed)?;
        let n = link.read_line().await.map_err(|_| Outcome::Reset)?;
        match strip_line_end(&link.buffer.data()[..n]) {
            b"PONG" => Ok(()),
            _ => Err(Outcome::Error),
        }
    };
    // The decision module has its own time limit for probes; this one only ends probes that it has given up.
    let result = tokio::select! {
        result = answered => result,
        () = broker.sleep(PROBE_TIMEOUT) => Err(Outcome::Timeout),
    };
    broker.record_probe(host, result.err().unwrap_or(Outcome::Ok), None);
}

/// Time limit of a probe, in microseconds; longer than the decision module waits for one.
const PROBE_TIMEOUT: u64 = 2_000_000;
