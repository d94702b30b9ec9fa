//! Links to instances: connecting within the time allowed, the first line, and probes.

use super::buffer::{trimmed, Buffer, LINE};
use crate::api::{HostId, Outcome};
use crate::broker::{Broker, Execution};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// A connection, read through its buffer.
pub struct Link {
    /// The socket.
    pub stream: TcpStream,
    /// What it brought and nobody took.
    pub buffer: Buffer,
}

impl Link {
    /// A link with nothing read yet.
    pub fn new(stream: TcpStream) -> Link {
        Link { stream, buffer: Buffer::default() }
    }

    /// Writes all of it.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads until a whole line is there, and tells its length. The end of the stream and a line that is too
    /// long are errors.
    pub async fn line(&mut self) -> io::Result<usize> {
        loop {
            match self.buffer.line() {
                Some(n) if n <= LINE => return Ok(n),
                None if self.buffer.data().len() < LINE => {}
                _ => return Err(io::Error::new(io::ErrorKind::InvalidData, "a line of over 4 KiB")),
            }
            if self.buffer.filled(&self.stream, LINE).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Connects to an instance. What does not come up in time never ran there.
pub async fn connect(broker: &Rc<Broker>, address: SocketAddr) -> Result<Link, Outcome> {
    let stream = tokio::select! {
        came = TcpStream::connect(address) => came.map_err(|_| Outcome::ConnectFailed)?,
        () = broker.sleep(broker.connect_timeout()) => return Err(Outcome::ConnectFailed),
    };
    let _ = stream.set_nodelay(true);
    Ok(Link::new(stream))
}

/// Sends an execution's first line and waits for the instance's: left in the link's buffer if it is `UP`.
pub async fn place(
    broker: &Rc<Broker>,
    execution: &Execution,
    address: SocketAddr,
    first: impl FnOnce() -> String,
) -> Result<Link, Outcome> {
    let mut link = connect(broker, address).await?;
    // Discovery may have spoken while the connection was made: nothing new to what drains.
    if !execution.may_send() {
        return Err(Outcome::Moot);
    }
    let line = first();
    // It breaks before the line's last byte is written: it never ran.
    link.write(line.as_bytes()).await.map_err(|_| Outcome::ConnectFailed)?;
    execution.record_sent();
    let n = match link.line().await {
        Ok(n) => n,
        Err(e) if e.kind() == io::ErrorKind::InvalidData => {
            tracing::warn!("instance {}: answered with {e}", execution.name);
            return Err(Outcome::Error);
        }
        Err(_) => return Err(Outcome::Reset),
    };
    let answer = trimmed(&link.buffer.data()[..n]);
    match answer.split(|&b| b == b' ').next().unwrap_or_default() {
        b"UP" => Ok(link),
        b"BUSY" => Err(Outcome::Full),
        b"BYE" => Err(Outcome::Ok),
        b"MOVE" => Err(Outcome::Cancelled),
        b"ERR" => Err(Outcome::Error),
        _ => {
            let answer = String::from_utf8_lossy(answer);
            tracing::warn!("instance {}: answered {answer:.40?}: taken for an error", execution.name);
            Err(Outcome::Error)
        }
    }
}

/// One probe, on a connection of its own.
pub async fn probe(broker: Rc<Broker>, host: HostId, address: SocketAddr) {
    let Some(_guard) = broker.reserve_descriptors(1) else { return };
    let asked = async {
        let mut link = connect(&broker, address).await?;
        link.write(b"PING\r\n").await.map_err(|_| Outcome::ConnectFailed)?;
        let n = link.line().await.map_err(|_| Outcome::Reset)?;
        match trimmed(&link.buffer.data()[..n]) {
            b"PONG" => Ok(()),
            _ => Err(Outcome::Error),
        }
    };
    // The module has a time of its own for probes; this one only ends those that nobody waits for.
    let came = tokio::select! {
        came = asked => came,
        () = broker.sleep(PROBE) => Err(Outcome::Timeout),
    };
    broker.record_probe(host, came.err().unwrap_or(Outcome::Ok), None);
}

/// After this nobody waits for a probe.
const PROBE: u64 = 2_000_000;
