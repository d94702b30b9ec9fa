//! One end of an XMPP stream: bytes in, whole units out. What leaves this module is always a whole stanza, so
//! that a stream can be ended at any moment and is well-formed still.

use crate::broker::Broker;
use crate::net::buffer::Buffer;
use rxml::error::EndOrError;
use rxml::{Error, Event, Parse, Parser};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};

/// Namespace of streams.
pub const STREAMS: &str = "http://etherx.jabber.org/streams";
/// Namespace of SASL.
pub const SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
/// Namespace of STARTTLS.
pub const TLS: &str = "urn:ietf:params:xml:ns:xmpp-tls";
/// End of a stream.
pub const CLOSE: &str = "</stream:stream>";

/// A byte stream, plain or under TLS.
pub trait Io: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// A top-level element as far as a front looks into it.
#[derive(Debug, Default, Clone)]
pub struct Element {
    /// Its namespace.
    pub namespace: String,
    /// Its name.
    pub name: String,
    /// Attributes without a namespace.
    pub attributes: Vec<(String, String)>,
    /// Names of the elements within, at any depth.
    pub within: Vec<String>,
    /// Its text and that of the elements within, in order.
    pub texts: Vec<String>,
}

impl Element {
    /// An attribute.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Whether this is it.
    pub fn is(&self, namespace: &str, name: &str) -> bool {
        self.namespace == namespace && self.name == name
    }

    /// Whether an element of this name is within.
    pub fn has(&self, name: &str) -> bool {
        self.within.iter().any(|n| n == name)
    }
}

/// What a stream is made of.
#[derive(Debug)]
pub enum Unit {
    /// The opening tag, with the declaration before it.
    Header(Element),
    /// A first-level element: a stanza, or what negotiates the stream.
    Stanza(Element),
    /// White space between stanzas, which keeps a connection alive.
    Space,
    /// The closing tag.
    Close,
}

/// Why no unit comes any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    /// The connection has ended, or broke.
    Ended,
    /// It broke the rules: the stream error that says so.
    Bad(&'static str),
}

/// Finds the units in what has come.
struct Framer {
    parser: Parser,
    /// How much of the buffer the parser has had, and how much its events account for.
    fed: usize,
    told: usize,
    depth: usize,
    element: Element,
}

impl Framer {
    fn new() -> Framer {
        let mut parser = Parser::new();
        // Else white space that keeps a connection alive is held until the next stanza, and looks like one
        // that stalls.
        parser.set_text_buffering(false);
        Framer { parser, fed: 0, told: 0, depth: 0, element: Element::default() }
    }

    fn next(&mut self, data: &[u8]) -> Result<Option<(Unit, usize)>, Cut> {
        loop {
            let mut rest = &data[self.fed..];
            let event = self.parser.parse(&mut rest, false);
            self.fed = data.len() - rest.len();
            let event = match event {
                Ok(Some(event)) => event,
                Ok(None) | Err(EndOrError::NeedMoreData) => return Ok(None),
                // No DTD, entity, comment or processing instruction (RFC 6120, 11.1).
                Err(EndOrError::Error(Error::RestrictedXml(_) | Error::UndeclaredEntity)) => {
                    return Err(Cut::Bad("restricted-xml"))
                }
                Err(EndOrError::Error(Error::InvalidUtf8Byte(_))) => {
                    return Err(Cut::Bad("unsupported-encoding"))
                }
                // The parser calls some of them a syntax error, by where they stand.
                Err(EndOrError::Error(_)) => {
                    let from = data[self.told..].trim_ascii_start();
                    let restricted = from.starts_with(b"<!") || from.starts_with(b"<?");
                    return Err(Cut::Bad(if restricted { "restricted-xml" } else { "not-well-formed" }));
                }
            };
            self.told += event.metrics().len();
            let unit = match event {
                Event::XmlDeclaration(..) => continue,
                Event::StartElement(_, (namespace, name), attributes) => {
                    self.depth += 1;
                    if self.depth > 2 {
                        self.element.within.push(name.to_string());
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
                        return Err(Cut::Bad("bad-format"));
                    }
                    Unit::Space
                }
                Event::Text(_, text) => {
                    self.element.texts.push(text);
                    continue;
                }
            };
            let n = self.told;
            self.fed -= n;
            self.told = 0;
            return Ok(Some((unit, n)));
        }
    }
}

/// Limits of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest unit, in bytes.
    pub stanza: usize,
    /// How long a unit may take from its first byte to its last.
    pub stall: u64,
}

/// The reading end.
pub struct Reader<R> {
    half: R,
    buffer: Buffer,
    framer: Framer,
    /// Since when a unit is under way.
    since: Option<u64>,
    bounds: Bounds,
    broker: Rc<Broker>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reading end that has read nothing.
    pub fn new(half: R, bounds: Bounds, broker: &Rc<Broker>) -> Reader<R> {
        let (buffer, framer) = (Buffer::default(), Framer::new());
        Reader { half, buffer, framer, since: None, bounds, broker: broker.clone() }
    }

    /// The next unit and its bytes. May be dropped and called again at any time.
    pub async fn unit(&mut self) -> Result<(Unit, Vec<u8>), Cut> {
        loop {
            if let Some((unit, n)) = self.framer.next(self.buffer.data())? {
                let bytes = self.buffer.data()[..n].to_vec();
                self.buffer.consume(n);
                // What has come of the next one counts from now on.
                self.since = (!self.buffer.data().is_empty()).then(|| self.broker.now());
                return Ok((unit, bytes));
            }
            let held = self.buffer.data().len();
            if held >= self.bounds.stanza {
                return Err(Cut::Bad("policy-violation"));
            }
            let until = self.since.map_or(u64::MAX, |since| since.saturating_add(self.bounds.stall));
            tokio::select! {
                biased;
                read = self.buffer.read(&mut self.half, self.bounds.stanza) => match read {
                    Ok(n) if n > 0 => {
                        self.since.get_or_insert_with(|| self.broker.now());
                    }
                    _ => return Err(Cut::Ended),
                },
                // A peer that stalls within a stanza must not hold its place for ever.
                () = self.broker.sleep_until(until) => return Err(Cut::Bad("connection-timeout")),
            }
        }
    }

    /// Whether a unit has begun and not ended.
    pub fn under_way(&self) -> bool {
        !self.buffer.data().is_empty()
    }

    /// Ends when the peer has left; what it sends meanwhile is kept, up to the bound.
    pub async fn gone(&mut self) {
        while self.buffer.data().len() < self.bounds.stanza {
            match self.buffer.read(&mut self.half, self.bounds.stanza).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// A new stream begins on the same connection.
    pub fn restart(&mut self) {
        self.framer = Framer::new();
    }

    /// Reads and drops what comes until the peer closes.
    pub async fn drain(&mut self) {
        loop {
            let n = self.buffer.data().len();
            self.buffer.consume(n);
            if !matches!(self.buffer.read(&mut self.half, self.bounds.stanza).await, Ok(n) if n > 0) {
                return;
            }
        }
    }
}

/// The writing end: what is queued is whole units, and a write that was dropped goes on where it stopped.
pub struct Writer<W> {
    half: W,
    queue: Vec<u8>,
    sent: usize,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// A writing end with nothing queued.
    pub fn new(half: W) -> Writer<W> {
        Writer { half, queue: Vec::new(), sent: 0 }
    }

    /// Queues bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.queue.extend_from_slice(bytes);
    }

    /// Writes what is queued.
    pub async fn flush(&mut self) -> Result<(), Cut> {
        while self.sent < self.queue.len() {
            match self.half.write(&self.queue[self.sent..]).await {
                Ok(n) if n > 0 => self.sent += n,
                _ => return Err(Cut::Ended),
            }
        }
        self.queue.clear();
        self.sent = 0;
        self.half.flush().await.map_err(|_| Cut::Ended)
    }

    /// Writes bytes and what was queued before.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), Cut> {
        self.push(bytes);
        self.flush().await
    }

    /// Ends the writing side.
    pub async fn shutdown(&mut self) {
        // The peer may be gone: then there is nobody to tell.
        let _ = self.half.shutdown().await;
    }
}

/// Both ends of a connection.
pub struct Side {
    /// What comes.
    pub reader: Reader<ReadHalf<Box<dyn Io>>>,
    /// What goes.
    pub writer: Writer<WriteHalf<Box<dyn Io>>>,
}

impl Side {
    /// A connection on which nothing has passed.
    pub fn new(io: Box<dyn Io>, bounds: Bounds, broker: &Rc<Broker>) -> Side {
        let (read, write) = tokio::io::split(io);
        Side { reader: Reader::new(read, bounds, broker), writer: Writer::new(write) }
    }

    /// The byte stream itself, for TLS; what has been read beyond the last unit is dropped, as the RFC wants.
    pub fn into_io(self) -> Box<dyn Io> {
        self.reader.half.unsplit(self.writer.half)
    }

    /// Writes last words, ends the writing side and waits a while for the peer to close: bytes unread at the
    /// close would reset the connection and lose them.
    pub async fn finish(&mut self, broker: &Rc<Broker>, words: &str, within: u64) {
        let finished = async {
            if self.writer.write(words.as_bytes()).await.is_ok() {
                self.writer.shutdown().await;
                self.reader.drain().await;
            }
        };
        tokio::select! {
            () = finished => {}
            () = broker.sleep(within) => {}
        }
    }
}

/// A stream error and the end of the stream.
pub fn error(condition: &str, text: &str) -> String {
    let ns = "urn:ietf:params:xml:ns:xmpp-streams";
    let text = match text {
        "" => String::new(),
        text => format!("<text xmlns='{ns}' xml:lang='en'>{}</text>", escaped(text)),
    };
    format!("<stream:error><{condition} xmlns='{ns}'/>{text}</stream:error>{CLOSE}")
}

/// Text as it may stand in XML.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&apos;")
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against white space that keeps a connection alive being taken for a stanza that stalls.
    #[test]
    fn white_space_between_stanzas_is_a_unit_at_once_and_half_a_stanza_is_none() {
        let mut framer = Framer::new();
        let mut data = format!("<stream:stream xmlns:stream='{STREAMS}'>").into_bytes();
        let Ok(Some((Unit::Header(_), n))) = framer.next(&data) else { panic!("the header") };
        data.drain(..n);
        data.push(b' ');
        let Ok(Some((Unit::Space, 1))) = framer.next(&data) else { panic!("the white space") };
        data.clear();
        data.extend(b"<a><b/>");
        assert!(matches!(framer.next(&data), Ok(None)));
        data.extend(b"</a> ");
        assert!(matches!(framer.next(&data), Ok(Some((Unit::Stanza(_), 11)))));
    }
}
