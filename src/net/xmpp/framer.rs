//! Splits the bytes of an XMPP stream into units that are relayed as a whole: headers, stanzas, white space between
//! stanzas, and the closing tag. Does no I/O.

use rxml::error::EndOrError;
use rxml::{Error, Event, Parse, Parser};

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

/// Attributes that the front uses, on any element.
const USED_ATTRIBUTES: [&str; 4] = ["to", "type", "version", "mechanism"];
/// Number of descendants of an element whose names are recorded.
const MAX_RECORDED_DESCENDANTS: usize = 32;
/// Longest tag that is accepted, in bytes: it holds two of the longest addresses (3,071 bytes; RFC 7622, 3.1) and more.
const MAX_TAG_BYTES: usize = 8 * 1024;

/// The parts of a top-level element that the XMPP front uses.
#[derive(Debug, Default, Clone)]
pub struct Element {
    /// Namespace of the element.
    pub namespace: String,
    /// Name of the element.
    pub name: String,
    /// Those of its attributes that the front uses.
    pub attributes: Vec<(String, String)>,
    /// Names of its first descendants, at any depth, if it is an element of stream negotiation.
    pub descendants: Vec<String>,
    /// Its text and that of its descendants, if it is an element of stream negotiation.
    pub text: String,
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

    /// Returns whether the front uses the content of the element: stanzas are relayed unread.
    fn has_used_content(&self) -> bool {
        self.namespace == STREAMS || self.namespace == SASL
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
pub struct Framer {
    parser: Parser,
    /// Number of buffered bytes that the parser has consumed.
    parsed: usize,
    /// Position in the buffered bytes after the last event.
    event_end: usize,
    depth: usize,
    element: Element,
}

impl Framer {
    /// Returns a framer of a stream of which nothing has been read.
    pub fn new() -> Framer {
        let mut parser = Parser::new();
        // With buffering, keep-alive white space would be held back until the next stanza and look like a stalled one.
        parser.set_text_buffering(false);
        Framer { parser, parsed: 0, event_end: 0, depth: 0, element: Element::default() }
    }

    /// Returns the position after an event that the parser has just returned. The lengths that events report are not summed
    /// up: they leave out bytes of letters that arrive in pieces and of CDATA sections.
    fn event_end(&self, data: &[u8], event: &Event) -> usize {
        // The parser ends a text when it has consumed the character that begins what follows it.
        let follows_text = matches!(data[..self.parsed].last(), Some(b'<' | b'&'));
        match event {
            Event::Text(..) if follows_text => self.parsed - 1,
            _ => self.parsed,
        }
    }

    /// Returns the next unit at the start of the buffered bytes and its length; none while it is incomplete. Between two
    /// units bytes are only appended, and those of a returned unit are removed.
    pub fn next_unit(&mut self, data: &[u8]) -> Result<Option<(Unit, usize)>, StreamEnd> {
        loop {
            // Only a tag is parsed without an event, and its attributes need many times its length in memory.
            let parse_end = data.len().min(self.event_end + MAX_TAG_BYTES);
            let mut rest = &data[self.parsed..parse_end];
            let event = self.parser.parse(&mut rest, false);
            self.parsed = parse_end - rest.len();
            let event = match event {
                Ok(Some(event)) => event,
                Ok(None) | Err(EndOrError::NeedMoreData) => {
                    return match parse_end < data.len() {
                        true => Err(StreamEnd::Violation("policy-violation")),
                        false => Ok(None),
                    };
                }
                // DTDs, entities, comments and processing instructions are prohibited (RFC 6120, 11.1).
                Err(EndOrError::Error(Error::RestrictedXml(_) | Error::UndeclaredEntity)) => {
                    return Err(StreamEnd::Violation("restricted-xml"))
                }
                Err(EndOrError::Error(Error::InvalidUtf8Byte(_))) => {
                    return Err(StreamEnd::Violation("unsupported-encoding"))
                }
                // In some positions the parser reports them as a syntax error.
                Err(EndOrError::Error(_)) => {
                    let from = data[self.event_end..].trim_ascii_start();
                    let restricted = from.starts_with(b"<!") || from.starts_with(b"<?");
                    return Err(StreamEnd::Violation(if restricted {
                        "restricted-xml"
                    } else {
                        "not-well-formed"
                    }));
                }
            };
            self.event_end = self.event_end(data, &event);
            let unit = match event {
                Event::XmlDeclaration(..) => continue,
                Event::StartElement(_, (namespace, name), attributes) => {
                    self.depth += 1;
                    if self.depth > 2 {
                        if self.element.has_used_content()
                            && self.element.descendants.len() < MAX_RECORDED_DESCENDANTS
                        {
                            self.element.descendants.push(name.to_string());
                        }
                        continue;
                    }
                    let attributes = attributes.iter().filter(|((namespace, name), _)| {
                        namespace.is_empty() && USED_ATTRIBUTES.contains(&name.as_str())
                    });
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
                    if self.element.has_used_content() {
                        self.element.text.push_str(&text);
                    }
                    continue;
                }
            };
            let n = self.event_end;
            self.parsed -= n;
            self.event_end = 0;
            return Ok(Some((unit, n)));
        }
    }
}

#[cfg(test)]
#[path = "framer_tests.rs"]
mod tests;
