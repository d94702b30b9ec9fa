//! Reads and writes one XMPP stream. Only whole units are read and queued for writing, so a stream that is ended at any
//! time is still well-formed.

use super::framer::{Framer, StreamEnd, Unit, CLOSE};
use crate::api::Micros;
use crate::broker::Broker;
use crate::net::buffer::Buffer;
use crate::net::turn::TurnBudget;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};

/// Memory that a writer with an empty queue keeps, in bytes: most connections are idle most of the time.
const IDLE_QUEUE_BYTES: usize = 4096;

/// A byte stream, plain or under TLS.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// Limits of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamLimits {
    /// Longest unit, in bytes.
    pub max_unit_bytes: usize,
    /// Time allowed from the first byte of a unit to its last, in microseconds.
    pub unit_timeout: u64,
}

/// Reads units from a stream.
pub struct Reader<R> {
    half: R,
    buffer: Buffer,
    framer: Framer,
    /// When the first byte of an incomplete unit arrived.
    unit_started: Option<u64>,
    limits: StreamLimits,
    broker: Rc<Broker>,
    /// When bytes were last received; 0 before that.
    last_received: Rc<Cell<Micros>>,
    /// Bounds the work of this connection before other tasks run.
    turn: TurnBudget,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Returns a reader that has read nothing.
    pub fn new(half: R, limits: StreamLimits, broker: &Rc<Broker>) -> Reader<R> {
        let (buffer, framer) = (Buffer::default(), Framer::new());
        let (broker, last_received) = (broker.clone(), Rc::default());
        Reader {
            half,
            buffer,
            framer,
            unit_started: None,
            limits,
            broker,
            last_received,
            turn: TurnBudget::default(),
        }
    }

    /// Returns when bytes were last received, kept up to date while the reader is in use elsewhere.
    pub fn last_received(&self) -> Rc<Cell<Micros>> {
        self.last_received.clone()
    }

    /// Returns the next unit and its bytes. Cancel-safe: no bytes are lost if the future is dropped.
    pub async fn read_unit(&mut self) -> Result<(Unit, Vec<u8>), StreamEnd> {
        loop {
            self.turn.take_step().await;
            if let Some((unit, n)) = self.framer.next_unit(self.buffer.data())? {
                let bytes = self.buffer.data()[..n].to_vec();
                self.buffer.consume(n);
                // The time limit of a unit that is partly buffered starts now.
                self.unit_started = (!self.buffer.data().is_empty()).then(|| self.broker.now());
                return Ok((unit, bytes));
            }
            let buffered = self.buffer.data().len();
            if buffered >= self.limits.max_unit_bytes {
                return Err(StreamEnd::Violation("policy-violation"));
            }
            let deadline = self
                .unit_started
                .map_or(u64::MAX, |started| started.saturating_add(self.limits.unit_timeout));
            tokio::select! {
                biased;
                read = self.buffer.read_from(&mut self.half, self.limits.max_unit_bytes) => match read {
                    Ok(n) if n > 0 => {
                        self.turn.record_bytes(n);
                        let now = self.broker.now();
                        self.last_received.set(now);
                        self.unit_started.get_or_insert(now);
                    }
                    _ => return Err(StreamEnd::Disconnected),
                },
                // A peer that stalls within a stanza must not hold its connection indefinitely.
                () = self.broker.sleep_until(deadline) => return Err(StreamEnd::Violation("connection-timeout")),
            }
        }
    }

    /// Returns whether a unit is incomplete.
    pub fn has_partial_unit(&self) -> bool {
        !self.buffer.data().is_empty()
    }

    /// Waits until the peer has closed, or has sent more than is kept: bytes received meanwhile are kept up to the limit of
    /// a unit. A peer that is not read could not be seen to close.
    pub async fn closed(&mut self) -> StreamEnd {
        while self.buffer.data().len() < self.limits.max_unit_bytes {
            self.turn.take_step().await;
            match self.buffer.read_from(&mut self.half, self.limits.max_unit_bytes).await {
                Ok(n) if n > 0 => self.turn.record_bytes(n),
                _ => return StreamEnd::Disconnected,
            }
        }
        StreamEnd::Violation("policy-violation")
    }

    /// Expects a new stream on the same connection.
    pub fn restart(&mut self) {
        self.framer = Framer::new();
    }

    /// Reads and drops bytes until the peer closes.
    pub async fn drain(&mut self) {
        loop {
            let n = self.buffer.data().len();
            self.buffer.consume(n);
            self.turn.take_step().await;
            if !matches!(self.buffer.read_from(&mut self.half, self.limits.max_unit_bytes).await, Ok(n) if n > 0)
            {
                return;
            }
        }
    }
}

/// Writes whole units to a stream. Cancel-safe: a later write continues after the last byte sent.
pub struct Writer<W> {
    half: W,
    queue: Vec<u8>,
    sent: usize,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// Returns a writer with an empty queue.
    pub fn new(half: W) -> Writer<W> {
        Writer { half, queue: Vec::new(), sent: 0 }
    }

    /// Queues bytes without writing.
    pub fn push(&mut self, bytes: &[u8]) {
        self.queue.extend_from_slice(bytes);
    }

    /// Writes all queued bytes.
    pub async fn flush(&mut self) -> Result<(), StreamEnd> {
        while self.sent < self.queue.len() {
            match self.half.write(&self.queue[self.sent..]).await {
                Ok(n) if n > 0 => self.sent += n,
                _ => return Err(StreamEnd::Disconnected),
            }
        }
        self.queue.clear();
        self.queue.shrink_to(IDLE_QUEUE_BYTES);
        self.sent = 0;
        self.half.flush().await.map_err(|_| StreamEnd::Disconnected)
    }

    /// Queues bytes and writes the queue.
    pub async fn write_all(&mut self, bytes: &[u8]) -> Result<(), StreamEnd> {
        self.push(bytes);
        self.flush().await
    }

    /// Closes the writing side.
    pub async fn shutdown(&mut self) {
        // Fails where the peer has closed already, which needs no handling.
        let _ = self.half.shutdown().await;
    }
}

/// An XMPP connection, split for reading and writing.
pub struct XmppConnection {
    /// Reads from the peer.
    pub reader: Reader<ReadHalf<Box<dyn ByteStream>>>,
    /// Writes to the peer.
    pub writer: Writer<WriteHalf<Box<dyn ByteStream>>>,
}

impl XmppConnection {
    /// Returns a connection on which nothing has been read or written.
    pub fn new(io: Box<dyn ByteStream>, limits: StreamLimits, broker: &Rc<Broker>) -> XmppConnection {
        let (read, write) = tokio::io::split(io);
        XmppConnection { reader: Reader::new(read, limits, broker), writer: Writer::new(write) }
    }

    /// Returns the byte stream, for the TLS handshake. Bytes read beyond the last unit are dropped, as RFC 6120
    /// requires.
    pub fn into_io(self) -> Box<dyn ByteStream> {
        self.reader.half.unsplit(self.writer.half)
    }

    /// Writes `last_units`, closes the writing side and waits up to `timeout` microseconds for the peer to close: bytes
    /// unread at the close would reset the connection and lose what was written.
    pub async fn finish(&mut self, broker: &Rc<Broker>, last_units: &str, timeout: u64) {
        let finished = async {
            if self.writer.write_all(last_units.as_bytes()).await.is_ok() {
                self.writer.shutdown().await;
                self.reader.drain().await;
            }
        };
        tokio::select! {
            biased;
            () = finished => {}
            () = broker.close_wait(timeout) => {}
        }
    }
}

/// Returns the XML of a stream error followed by the closing tag.
pub fn stream_error_xml(condition: &str, text: &str) -> String {
    let ns = "urn:ietf:params:xml:ns:xmpp-streams";
    let text = match text {
        "" => String::new(),
        text => format!("<text xmlns='{ns}' xml:lang='en'>{}</text>", escape_xml(text)),
    };
    format!("<stream:error><{condition} xmlns='{ns}'/>{text}</stream:error>{CLOSE}")
}

/// Escapes a text for use in XML.
pub fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&apos;")
}
