//! Reads and writes one XMPP stream. Bytes are split into whole units (headers, stanzas, white space), and only whole
//! units are queued for writing, so a stream that is ended at any time is still well-formed.

use crate::api::Micros;
use crate::broker::Broker;
use crate::net::buffer::Buffer;
use crate::net::turn::TurnBudget;
use rxml::error::EndOrError;
use rxml::{Error, Event, Parse, Parser};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};

/// XML namespace of streams.
pub const STREAMS: &str = "http://etherx.jabber.org/streams";
/// XML namespace of SASL.
pub const SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
/// XML namespace of stream management (XEP-0198).
pub const STREAM_MANAGEMENT: &str = "urn:xmpp:sm:3";
/// XML namespace of STARTTLS.
pub const TLS: &str = "urn:ietf:params:xml:ns:xmpp-tls";
/// Closing tag of a stream.
pub const CLOSE: &str = "</stream:stream>";

/// A byte stream, plain or under TLS.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// The parts of a top-level element that the XMPP front uses.
#[derive(Debug, Default, Clone)]
pub struct Element {
    /// Namespace of the element.
    pub namespace: String,
    /// Name of the element.
    pub name: String,
    /// Attributes without a namespace.
    pub attributes: Vec<(String, String)>,
    /// Names of its descendants, at any depth.
    pub descendants: Vec<String>,
    /// Its text and that of its descendants, in order.
    pub texts: Vec<String>,
}

impl Element {
    /// Returns the value of an attribute.
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns whether the element has this namespace and name.
    pub fn is(&self, namespace: &str, name: &str) -> bool {
        self.namespace == namespace && self.name == name
    }

    /// Returns whether a descendant has this name.
    pub fn has_descendant(&self, name: &str) -> bool {
        self.descendants.iter().any(|n| n == name)
    }

    /// Returns whether a stream error has a condition with which a server that leaves sends all its clients away.
    pub fn is_redirect(&self) -> bool {
        self.has_descendant("see-other-host") || self.has_descendant("system-shutdown")
    }
}

/// A part of a stream that is read and relayed as a whole.
#[derive(Debug)]
pub enum Unit {
    /// The opening tag, with the XML declaration before it.
    Header(Element),
    /// A first-level element: a stanza or an element of stream negotiation.
    Stanza(Element),
    /// White space between stanzas, which serves as a keep-alive.
    Space,
    /// The closing tag.
    Close,
}

/// Why a stream cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamEnd {
    /// The connection was closed or failed.
    Disconnected,
    /// The peer violated the protocol; holds the condition of the stream error to send.
    Violation(&'static str),
}

/// Splits received bytes into units.
struct Framer {
    parser: Parser,
    /// Number of buffered bytes given to the parser.
    parsed: usize,
    /// Number of buffered bytes that the events returned so far account for.
    reported: usize,
    depth: usize,
    element: Element,
}

impl Framer {
    fn new() -> Framer {
        let mut parser = Parser::new();
        // With buffering, keep-alive white space would be held back until the next stanza and look like a stalled one.
        parser.set_text_buffering(false);
        Framer { parser, parsed: 0, reported: 0, depth: 0, element: Element::default() }
    }

    fn next_unit(&mut self, data: &[u8]) -> Result<Option<(Unit, usize)>, StreamEnd> {
        loop {
            let mut rest = &data[self.parsed..];
            let event = self.parser.parse(&mut rest, false);
            self.parsed = data.len() - rest.len();
            let event = match event {
                Ok(Some(event)) => event,
                Ok(None) | Err(EndOrError::NeedMoreData) => return Ok(None),
                // DTDs, entities, comments and processing instructions are prohibited (RFC 6120, 11.1).
                Err(EndOrError::Error(Error::RestrictedXml(_) | Error::UndeclaredEntity)) => {
                    return Err(StreamEnd::Violation("restricted-xml"))
                }
                Err(EndOrError::Error(Error::InvalidUtf8Byte(_))) => {
                    return Err(StreamEnd::Violation("unsupported-encoding"))
                }
                // In some positions the parser reports them as a syntax error.
                Err(EndOrError::Error(_)) => {
                    let from = data[self.reported..].trim_ascii_start();
                    let restricted = from.starts_with(b"<!") || from.starts_with(b"<?");
                    return Err(StreamEnd::Violation(if restricted {
                        "restricted-xml"
                    } else {
                        "not-well-formed"
                    }));
                }
            };
            self.reported += event.metrics().len();
            let unit = match event {
                Event::XmlDeclaration(..) => continue,
                Event::StartElement(_, (namespace, name), attributes) => {
                    self.depth += 1;
                    if self.depth > 2 {
                        self.element.descendants.push(name.to_string());
                        continue;
                    }
                    let attributes = attributes.iter().filter(|((namespace, _), _)| namespace.is_empty());
                    self.element = Element {
                        namespace: namespace.to_string(),
                        name: name.to_string(),
                        attributes: attributes.map(|((_, n), v)| (n.to_string(), v.clone())).collect(),
                        ..Element::default()
                    };
                    match self.depth {
                        1 => Unit::Header(std::mem::take(&mut self.element)),
                        _ => continue,
                    }
                }
                Event::EndElement(_) => {
                    self.depth -= 1;
                    match self.depth {
                        0 => Unit::Close,
                        1 => Unit::Stanza(std::mem::take(&mut self.element)),
                        _ => continue,
                    }
                }
                Event::Text(_, text) if self.depth == 1 => {
                    if !text.trim().is_empty() {
                        return Err(StreamEnd::Violation("bad-format"));
                    }
                    Unit::Space
                }
                Event::Text(_, text) => {
                    self.element.texts.push(text);
                    continue;
                }
            };
            let n = self.reported;
            self.parsed -= n;
            self.reported = 0;
            return Ok(Some((unit, n)));
        }
    }
}

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

    /// Waits until the peer has closed. Bytes received meanwhile are kept; once they reach the limit it waits
    /// indefinitely.
    pub async fn closed(&mut self) {
        while self.buffer.data().len() < self.limits.max_unit_bytes {
            self.turn.take_step().await;
            match self.buffer.read_from(&mut self.half, self.limits.max_unit_bytes).await {
                Ok(n) if n > 0 => self.turn.record_bytes(n),
                _ => return,
            }
        }
        std::future::pending().await
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

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against keep-alive white space being taken for a stalled stanza.
    #[test]
    fn white_space_between_stanzas_is_a_unit_at_once_and_a_partial_stanza_is_none() {
        let mut framer = Framer::new();
        let mut data = format!("<stream:stream xmlns:stream='{STREAMS}'>").into_bytes();
        let Ok(Some((Unit::Header(_), n))) = framer.next_unit(&data) else { panic!("the header") };
        data.drain(..n);
        data.push(b' ');
        let Ok(Some((Unit::Space, 1))) = framer.next_unit(&data) else { panic!("the white space") };
        data.clear();
        data.extend(b"<a><b/>");
        assert!(matches!(framer.next_unit(&data), Ok(None)));
        data.extend(b"</a> ");
        assert!(matches!(framer.next_unit(&data), Ok(Some((Unit::Stanza(_), 11)))));
    }
}
