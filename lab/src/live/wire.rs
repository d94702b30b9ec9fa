//! The line protocol and XMPP behind one interface, for clients and for servers.
//!
//! XMPP follows RFC 6120, limited to authentication with PLAIN and stanzas without child elements.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// Maximum length of a line or stanza in bytes. A longer one counts as the end of the connection.
const MAX_LENGTH: usize = 64 * 1024;
const SASL_NAMESPACE: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
const STREAM_ERROR_NAMESPACE: &str = "urn:ietf:params:xml:ns:xmpp-streams";

/// Protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's line protocol.
    Lines,
    /// XMPP.
    Xmpp,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The connection is established.
    Up,
    /// Refused; the delay before a retry in milliseconds, if given.
    Busy(Option<u64>),
    /// Failed.
    Failed,
    /// The connection ended.
    Ended,
}

/// What a client receives on an established connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A message.
    Message(String),
    /// A load report or other data that is not for clients.
    Load,
    /// The request to reconnect to another server.
    Moved,
    /// The regular end of the connection.
    Bye,
    /// The connection ended without notice.
    Ended,
}

/// One end of a connection.
pub struct Wire {
    protocol: Protocol,
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    /// Bytes of the incomplete next line or stanza, kept so that a cancelled read loses no data.
    partial: Vec<u8>,
}

/// Returns the XML declaration and the opening tag of a stream.
fn stream_header(domain: &str) -> String {
    format!(
        "<?xml version='1.0'?><stream:stream to='{domain}' from='{domain}' version='1.0' xmlns='jabber:client' \
         xmlns:stream='http://etherx.jabber.org/streams'>"
    )
}

impl Wire {
    /// Wraps a TCP connection.
    pub fn new(stream: TcpStream, protocol: Protocol) -> Wire {
        let (read, write) = stream.into_split();
        Wire { protocol, read: BufReader::new(read), write, partial: Vec::new() }
    }

    /// Sends text and returns whether that succeeded.
    pub async fn send(&mut self, text: &str) -> bool {
        self.write.write_all(text.as_bytes()).await.is_ok()
    }

    /// Reads up to and including `end`; `None` if the connection ends before.
    async fn read_until(&mut self, end: &str) -> Option<String> {
        loop {
            let byte = self.read.read_u8().await.ok()?;
            self.partial.push(byte);
            if self.partial.ends_with(end.as_bytes()) {
                return String::from_utf8(std::mem::take(&mut self.partial)).ok();
            }
            if self.partial.len() > MAX_LENGTH {
                return None;
            }
        }
    }

    /// Server: reads the first line. For XMPP it authenticates the client and returns an equivalent line, in which the
    /// user name is the call.
    pub async fn read_first(&mut self) -> Option<String> {
        if self.protocol == Protocol::Lines {
            return self.read_next().await;
        }
        self.read_until("xmlns:stream='http://etherx.jabber.org/streams'>").await?;
        let features = format!(
            "{}<stream:features><mechanisms xmlns='{SASL_NAMESPACE}'><mechanism>PLAIN</mechanism></mechanisms></stream:features>",
            stream_header("lab")
        );
        self.send(&features).await;
        let auth = self.read_until("</auth>").await?;
        let credentials = STANDARD.decode(auth.strip_suffix("</auth>")?.rsplit('>').next()?).ok()?;
        let user = String::from_utf8(credentials).ok()?.split('\0').nth(1)?.to_string();
        Some(format!("OPEN {user} k"))
    }

    /// Server: reports that the connection is established.
    pub async fn send_up(&mut self, receipt: &str) -> bool {
        if self.protocol == Protocol::Lines {
            return self.send(&format!("UP {receipt}\r\n")).await;
        }
        self.send(&format!("<success xmlns='{SASL_NAMESPACE}'/>")).await
            && self.read_until("xmlns:stream='http://etherx.jabber.org/streams'>").await.is_some()
            && self.send(&format!("{}<stream:features/>", stream_header("lab"))).await
    }

    /// Server: rejects the request as busy, or with an error.
    pub async fn reject(&mut self, busy: bool) {
        match (self.protocol, busy) {
            (Protocol::Lines, true) => self.send("BUSY\r\n").await,
            (Protocol::Lines, false) => self.send("ERR\r\n").await,
            (Protocol::Xmpp, true) => {
                self.send(&format!(
                    "<failure xmlns='{SASL_NAMESPACE}'><temporary-auth-failure/></failure></stream:stream>"
                ))
                .await
            }
            (Protocol::Xmpp, false) => {
                let error = format!(
                    "<stream:error><internal-server-error xmlns='{STREAM_ERROR_NAMESPACE}'/></stream:error>"
                );
                self.send(&format!("{error}</stream:stream>")).await
            }
        };
    }

    /// Server: reports a load. XMPP servers report none.
    pub async fn send_load(&mut self, load: f64) -> bool {
        self.protocol == Protocol::Xmpp || self.send(&format!("LOAD {load:.1}\r\n")).await
    }

    /// Server: asks the client to reconnect to another server.
    pub async fn send_move(&mut self) {
        let text = match self.protocol {
            Protocol::Lines => "MOVE\r\n".to_string(),
            Protocol::Xmpp => {
                format!("<stream:error><system-shutdown xmlns='{STREAM_ERROR_NAMESPACE}'/></stream:error></stream:stream>")
            }
        };
        self.send(&text).await;
    }

    /// Reads the next line or stanza; `None` at the end of the connection.
    pub async fn read_next(&mut self) -> Option<String> {
        match self.protocol {
            Protocol::Lines => self.read_until("\n").await.map(|line| line.trim_end().to_string()),
            Protocol::Xmpp => {
                self.read_until(">").await.filter(|stanza| !stanza.contains("</stream:stream>"))
            }
        }
    }

    /// Server: sends a received line or stanza back.
    pub async fn echo(&mut self, received: &str) -> bool {
        match self.protocol {
            Protocol::Lines => self.send(&format!("{received}\r\n")).await,
            Protocol::Xmpp => self.send(received).await,
        }
    }

    /// Client: sends a request, in the line protocol the line `open`, in XMPP with the call as the user name.
    pub async fn send_request(&mut self, open: &str, call: &str, domain: &str) -> bool {
        if self.protocol == Protocol::Lines {
            return self.send(open).await;
        }
        let credentials = STANDARD.encode(format!("\0{call}\0lab"));
        let auth = format!("<auth xmlns='{SASL_NAMESPACE}' mechanism='PLAIN'>{credentials}</auth>");
        self.send(&stream_header(domain)).await
            && self.read_until("</stream:features>").await.is_some()
            && self.send(&auth).await
    }

    /// Client: reads the answer to its request.
    pub async fn read_answer(&mut self, domain: &str) -> Answer {
        if self.protocol == Protocol::Lines {
            let Some(line) = self.read_next().await else { return Answer::Ended };
            return match line.strip_prefix("BUSY") {
                _ if line.starts_with("UP") => Answer::Up,
                Some(ms) => Answer::Busy(ms.trim().parse().ok()),
                None => Answer::Failed,
            };
        }
        let mut received = String::new();
        while let Some(part) = self.read_until(">").await {
            received += &part;
            if received.contains("<success") {
                let opened = self.send(&stream_header(domain)).await
                    && self.read_until("<stream:features/>").await.is_some();
                return if opened { Answer::Up } else { Answer::Ended };
            }
            if received.contains("</failure>") {
                let retry_after = received
                    .split("come again after ")
                    .nth(1)
                    .and_then(|t| t.split(' ').next()?.parse().ok());
                return if received.contains("temporary-auth-failure") {
                    Answer::Busy(retry_after)
                } else {
                    Answer::Failed
                };
            }
            if received.contains("</stream:error>") {
                return Answer::Failed;
            }
        }
        Answer::Ended
    }

    /// Client: sends a message.
    pub async fn send_message(&mut self, text: &str) -> bool {
        match self.protocol {
            Protocol::Lines => self.send(&format!("{text}\r\n")).await,
            Protocol::Xmpp => self.send(&format!("<message id='{text}'/>")).await,
        }
    }

    /// Client: reads the next line or stanza on its established connection.
    pub async fn receive(&mut self) -> Incoming {
        let Some(received) = self.read_next().await else { return Incoming::Ended };
        if self.protocol == Protocol::Xmpp {
            let id = received.strip_prefix("<message id='").and_then(|rest| rest.split('\'').next());
            return match id {
                Some(id) => Incoming::Message(id.to_string()),
                None if received.contains("system-shutdown") || received.contains("see-other-host") => {
                    Incoming::Moved
                }
                None => Incoming::Load,
            };
        }
        match received.as_str() {
            "MOVE" => Incoming::Moved,
            "BYE" => Incoming::Bye,
            line if line.starts_with("LOAD ") => Incoming::Load,
            line => Incoming::Message(line.to_string()),
        }
    }
}
