//! The XMPP front (RFC 6120): reads a service client's stream header and SASL log-in, places the client through the
//! broker, replays both to the chosen instance, and relays whole stanzas in both directions. Only SASL mechanisms that
//! need a single client message can be replayed. The front is off unless the operator's file configures it.

pub mod relay;
pub mod stream;

use super::idle::{IdleConnections, IdleSlot, SlotEnd, FIRST_LINE_TIMEOUT};
use super::links;
use crate::api::{Demand, Micros, Outcome};
use crate::broker::{
    run_command, Broker, Client, ClientGone, Command, ConnectionEnd, Dialer, Execution, Failure,
};
use crate::config::{Grouping, XmppService, XmppSettings};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use stream::{
    escape_xml, stream_error_xml, Element, StreamEnd, StreamLimits, Unit, XmppConnection, CLOSE, SASL,
    STREAMS, TLS,
};
use tokio::net::TcpStream;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;

/// Time allowed for a peer to close after its stream was closed, in microseconds.
const CLOSE_TIMEOUT: u64 = 1_000_000;

/// The XMPP front with its settings and certificate.
pub struct XmppFront {
    broker: Rc<Broker>,
    settings: XmppSettings,
    tls: Option<TlsAcceptor>,
    /// Number of stream and command ids assigned.
    ids_assigned: Cell<u64>,
}

impl XmppFront {
    /// Checks the classes that `settings` names and loads the certificate, if any.
    pub fn new(broker: Rc<Broker>, settings: XmppSettings) -> Result<XmppFront, String> {
        for service in &settings.service {
            broker.names().class_index(&service.class).ok_or_else(|| {
                format!("service {}: class {} is not in the settings", service.domain, service.class)
            })?;
        }
        let tls = match (&settings.certificate, &settings.key) {
            (Some(certificate), Some(key)) => {
                let message = |e: &dyn std::fmt::Display| format!("certificate or key: {e}");
                let chain: Result<Vec<_>, _> =
                    CertificateDer::pem_file_iter(certificate).map_err(|e| message(&e))?.collect();
                let key = PrivateKeyDer::from_pem_file(key).map_err(|e| message(&e))?;
                let config = ServerConfig::builder().with_no_client_auth();
                let config = config.with_single_cert(chain.map_err(|e| message(&e))?, key);
                Some(TlsAcceptor::from(Arc::new(config.map_err(|e| message(&e))?)))
            }
            (None, None) => None,
            _ => return Err("certificate and key are required together".into()),
        };
        Ok(XmppFront { broker, settings, tls, ids_assigned: Cell::new(0) })
    }

    fn limits(&self) -> StreamLimits {
        StreamLimits { max_unit_bytes: self.settings.max_stanza, unit_timeout: self.settings.stall.0 }
    }

    fn connection(&self, stream: TcpStream) -> XmppConnection {
        XmppConnection::new(Box::new(stream), self.limits(), &self.broker)
    }

    /// Returns the header of a stream from this balancer, with `features` if not empty.
    fn stream_header(&self, domain: &str, features: &str) -> String {
        self.ids_assigned.set(self.ids_assigned.get() + 1);
        let id = format!("{:x}-{:x}", self.broker.now(), self.ids_assigned.get());
        let header = format!(
            "<?xml version='1.0'?><stream:stream xmlns='jabber:client' xmlns:stream='{STREAMS}' id='{id}' \
             from='{}' version='1.0' xml:lang='en'>",
            escape_xml(domain)
        );
        match features {
            "" => header,
            features => format!("{header}<stream:features>{features}</stream:features>"),
        }
    }
}

/// A log-in request that is ready to be replayed.
struct Login<'a> {
    service: &'a XmppService,
    /// Stream header, as received.
    header: Vec<u8>,
    /// `<auth/>` element, as received.
    auth: Vec<u8>,
    /// Bare JID in lower case; empty where the mechanism does not reveal it.
    jid: String,
}

/// Serves one client connection until it is closed.
pub async fn serve(front: Rc<XmppFront>, idle: Rc<IdleConnections>, stream: TcpStream, from: SocketAddr) {
    let broker = front.broker.clone();
    let slot = idle.acquire_slot();
    let deadline = broker.now() + front.settings.login.0;
    let mut connection = front.connection(stream);
    let mut result = login(&front, &mut connection, &slot, deadline).await;
    if matches!(result, Ok(LoginStep::StartTls)) {
        let Some(tls) = front.tls.clone() else { return };
        let accepted = tokio::select! {
            accepted = tls.accept(connection.into_io()) => accepted,
            _ = slot.ended(deadline) => return,
        };
        let io = match accepted {
            Ok(io) => io,
            Err(e) => return tracing::warn!("xmpp client {from}: TLS failed: {e}"),
        };
        connection = XmppConnection::new(Box::new(io), front.limits(), &broker);
        result = secure_login(&front, &mut connection, &slot, deadline).await.map(LoginStep::Login);
    }
    drop(slot);
    match result {
        Ok(LoginStep::Login(login)) => serve_login(&front, connection, login).await,
        Ok(LoginStep::StartTls) => {}
        Err(failure) => close_failed_login(&front, &idle, &mut connection, failure, from).await,
    }
}

/// Awaits `result`; fails when the time limit has passed or the connection is evicted.
async fn before_slot_end<T, E>(
    slot: &IdleSlot,
    at: Micros,
    result: impl std::future::Future<Output = Result<T, E>>,
) -> Result<T, LoginFailure>
where
    LoginFailure: From<E>,
{
    tokio::select! {
        biased;
        result = result => Ok(result?),
        end = slot.ended(at) => Err(match end {
            SlotEnd::TimedOut => LoginFailure::StreamError("connection-timeout", "log in sooner"),
            SlotEnd::Evicted => LoginFailure::StreamError("resource-constraint", "come again later"),
        }),
    }
}

/// Why a connection ends before it becomes a command.
enum LoginFailure {
    /// The client has closed its stream or connection.
    Closed,
    /// Ends with a stream error: condition and text.
    StreamError(&'static str, &'static str),
    /// Ends with a SASL failure: condition.
    SaslFailure(&'static str),
}

impl From<StreamEnd> for LoginFailure {
    fn from(end: StreamEnd) -> LoginFailure {
        match end {
            StreamEnd::Disconnected => LoginFailure::Closed,
            StreamEnd::Violation(condition) => LoginFailure::StreamError(condition, ""),
        }
    }
}

/// Result of the first stream on a connection.
enum LoginStep<'a> {
    /// The client has sent its credentials.
    Login(Login<'a>),
    /// The client was told to start TLS.
    StartTls,
}

async fn close_failed_login(
    front: &XmppFront,
    idle: &Rc<IdleConnections>,
    connection: &mut XmppConnection,
    failure: LoginFailure,
    from: SocketAddr,
) {
    let last_units = match failure {
        LoginFailure::Closed => CLOSE.to_string(),
        LoginFailure::StreamError(condition, text) => {
            tracing::warn!("xmpp client {from}: {condition} before placement");
            stream_error_xml(condition, text)
        }
        LoginFailure::SaslFailure(condition) => {
            tracing::warn!("xmpp client {from}: log-in refused: {condition}");
            format!("<failure xmlns='{SASL}'><{condition}/></failure>{CLOSE}")
        }
    };
    idle.await_close(connection.finish(&front.broker, &last_units, CLOSE_TIMEOUT)).await;
}

/// Reads the client's stream header, answers it, and returns the service that it names with the bytes of the header.
async fn open_stream<'a>(
    front: &'a XmppFront,
    connection: &mut XmppConnection,
    secure: bool,
    slot: &IdleSlot,
) -> Result<(&'a XmppService, Vec<u8>), LoginFailure> {
    // A stream error must follow a stream header of this connection, even if the client's header was invalid (RFC 6120,
    // 4.9.1.2).
    let (unit, header) =
        match before_slot_end(slot, front.broker.now() + FIRST_LINE_TIMEOUT, connection.reader.read_unit())
            .await
        {
            Ok(unit) => unit,
            Err(LoginFailure::Closed) => return Err(LoginFailure::Closed),
            Err(failure) => {
                connection.writer.push(front.stream_header("", "").as_bytes());
                return Err(failure);
            }
        };
    let Unit::Header(header_element) = unit else { return Err(LoginFailure::Closed) };
    let domain = header_element.attribute("to").unwrap_or_default().to_string();
    let service = front.settings.service.iter().find(|s| s.domain.eq_ignore_ascii_case(&domain));
    let condition = match service {
        _ if !header_element.is(STREAMS, "stream") => Some("invalid-namespace"),
        _ if !header_element.attribute("version").is_some_and(|v| v.starts_with("1.")) => {
            Some("unsupported-version")
        }
        None => Some("host-unknown"),
        Some(_) => None,
    };
    match (service, condition) {
        (Some(service), None) => {
            let features = if secure || front.tls.is_none() {
                let mechanisms = service.mechanisms.iter().map(|m| format!("<mechanism>{m}</mechanism>"));
                format!("<mechanisms xmlns='{SASL}'>{}</mechanisms>", mechanisms.collect::<String>())
            } else {
                format!("<starttls xmlns='{TLS}'><required/></starttls>")
            };
            connection.writer.write_all(front.stream_header(&service.domain, &features).as_bytes()).await?;
            Ok((service, header))
        }
        (_, condition) => {
            connection.writer.push(front.stream_header(&domain, "").as_bytes());
            Err(LoginFailure::StreamError(condition.unwrap_or("host-unknown"), ""))
        }
    }
}

async fn next_stanza(connection: &mut XmppConnection) -> Result<(Element, Vec<u8>), LoginFailure> {
    loop {
        match connection.reader.read_unit().await? {
            (Unit::Stanza(element), bytes) => return Ok((element, bytes)),
            (Unit::Space, _) => {}
            (Unit::Close, _) => return Err(LoginFailure::Closed),
            (Unit::Header(_), _) => return Err(LoginFailure::StreamError("bad-format", "")),
        }
    }
}

async fn login<'a>(
    front: &'a XmppFront,
    connection: &mut XmppConnection,
    slot: &IdleSlot,
    deadline: Micros,
) -> Result<LoginStep<'a>, LoginFailure> {
    let secure = front.tls.is_none();
    let (service, header) = open_stream(front, connection, secure, slot).await?;
    let (element, bytes) = before_slot_end(slot, deadline, next_stanza(connection)).await?;
    if !secure {
        if !element.is(TLS, "starttls") {
            return Err(LoginFailure::StreamError("policy-violation", "STARTTLS is required"));
        }
        connection.writer.write_all(format!("<proceed xmlns='{TLS}'/>").as_bytes()).await?;
        return Ok(LoginStep::StartTls);
    }
    Ok(LoginStep::Login(parse_auth(service, header, element, bytes)?))
}

async fn secure_login<'a>(
    front: &'a XmppFront,
    connection: &mut XmppConnection,
    slot: &IdleSlot,
    deadline: Micros,
) -> Result<Login<'a>, LoginFailure> {
    let (service, header) = open_stream(front, connection, true, slot).await?;
    let (element, bytes) = before_slot_end(slot, deadline, next_stanza(connection)).await?;
    parse_auth(service, header, element, bytes)
}

/// Builds the log-in from an `<auth/>` element. Only mechanisms with a single client message can be replayed.
fn parse_auth(
    service: &XmppService,
    header: Vec<u8>,
    element: Element,
    auth: Vec<u8>,
) -> Result<Login<'_>, LoginFailure> {
    if !element.is(SASL, "auth") {
        return Err(LoginFailure::StreamError("not-authorized", "log in first"));
    }
    let mechanism = element.attribute("mechanism").unwrap_or_default();
    if !service.mechanisms.iter().any(|m| m == mechanism) {
        return Err(LoginFailure::SaslFailure("invalid-mechanism"));
    }
    let text = element.texts.concat();
    let decoded = match text.trim() {
        "" | "=" => Vec::new(),
        text => STANDARD.decode(text).map_err(|_| LoginFailure::SaslFailure("incorrect-encoding"))?,
    };
    let decoded = String::from_utf8(decoded).map_err(|_| LoginFailure::SaslFailure("malformed-request"))?;
    let parts: Vec<&str> = decoded.split('\0').collect();
    let jid = match (mechanism, &parts[..]) {
        ("PLAIN", [authzid, authcid, _]) if !authcid.is_empty() => match authzid.split('/').next() {
            Some(bare) if !bare.is_empty() => bare.to_lowercase(),
            _ => format!("{authcid}@{}", service.domain).to_lowercase(),
        },
        ("PLAIN", _) => return Err(LoginFailure::SaslFailure("malformed-request")),
        // Other mechanisms do not reveal a user to the balancer: each connection is placed on its own, without a key.
        _ => String::new(),
    };
    Ok(Login { service, header, auth, jid })
}

/// Places a log-in through the broker and serves the connection to its end.
async fn serve_login(front: &Rc<XmppFront>, connection: XmppConnection, login: Login<'_>) {
    let broker = &front.broker;
    let service = login.service;
    front.ids_assigned.set(front.ids_assigned.get() + 1);
    let id = format!("xmpp-{:x}-{:x}", broker.now(), front.ids_assigned.get());
    let class = broker.names().class_index(&service.class).unwrap_or(usize::MAX);
    let left = service.deadline.map_or(broker.deadline(class), |d| d.0);
    let demand = Demand {
        key: (!login.jid.is_empty()).then(|| login.jid.as_str().into()),
        group: match service.group {
            Grouping::None => None,
            Grouping::Domain => Some(service.domain.as_str().into()),
            Grouping::Jid => Some(login.jid.as_str().into()),
        },
        ..Demand::new(&id, class, left)
    };
    let dialer = LoginDialer { front, login: &login };
    let mut client = XmppClient { connection, front: front.clone() };
    let team = service.team.as_deref().unwrap_or(&service.domain);
    run_command(broker, demand, Some(team), &mut client, &dialer).await;
}

/// Replays a log-in to instances.
struct LoginDialer<'a> {
    front: &'a Rc<XmppFront>,
    login: &'a Login<'a>,
}

/// A connection to an instance that has answered the log-in.
pub struct AnsweredLogin {
    connection: XmppConnection,
    /// The answer, to be passed on to the client.
    answer: Vec<u8>,
    /// Whether the instance accepted the credentials.
    accepted: bool,
}

/// Returns the outcome of an attempt whose stream ended before the instance's answer.
fn stream_end_outcome(end: StreamEnd) -> Outcome {
    match end {
        StreamEnd::Disconnected => Outcome::Reset,
        StreamEnd::Violation(_) => Outcome::Error,
    }
}

/// Returns the outcome of an attempt that the instance ended with a stream error.
fn stream_error_outcome(element: &Element) -> Outcome {
    // With these conditions the instance rejects all clients and has not processed this one.
    let rejects_all = ["resource-constraint", "system-shutdown", "see-other-host"];
    if rejects_all.iter().any(|name| element.has_descendant(name)) {
        Outcome::Full
    } else {
        Outcome::Error
    }
}

impl Dialer for LoginDialer<'_> {
    type Link = AnsweredLogin;

    async fn execute(&self, execution: &Execution) -> Result<AnsweredLogin, Outcome> {
        let address = self.front.settings.instance_address(&execution.name, execution.address);
        let link = links::connect(&self.front.broker, address).await?;
        // A list update may have arrived while the connection was made: a draining instance gets nothing new.
        if !execution.may_send() {
            return Err(Outcome::Moot);
        }
        let mut connection = self.front.connection(link.stream);
        connection.writer.write_all(&self.login.header).await.map_err(|_| Outcome::ConnectFailed)?;
        loop {
            match connection.reader.read_unit().await.map_err(stream_end_outcome)? {
                (Unit::Stanza(element), _) if element.is(STREAMS, "features") => break,
                (Unit::Stanza(element), _) if element.is(STREAMS, "error") => {
                    return Err(stream_error_outcome(&element))
                }
                (Unit::Header(_) | Unit::Space, _) => {}
                _ => return Err(Outcome::Error),
            }
        }
        // The list may also have changed while the stream was opened; the credentials have not been sent yet.
        if !execution.may_send() {
            return Err(Outcome::Moot);
        }
        connection.writer.write_all(&self.login.auth).await.map_err(|_| Outcome::Reset)?;
        execution.record_sent();
        loop {
            let (unit, answer) = connection.reader.read_unit().await.map_err(stream_end_outcome)?;
            match unit {
                Unit::Stanza(element) if element.is(SASL, "success") => {
                    connection.reader.restart();
                    return Ok(AnsweredLogin { connection, answer, accepted: true });
                }
                // A nack of this instance: another one may accept the client.
                Unit::Stanza(element)
                    if element.is(SASL, "failure") && element.has_descendant("temporary-auth-failure") =>
                {
                    return Err(Outcome::Full)
                }
                // Rejected credentials are an answer and not a failure of the instance: it is passed to the client, and
                // no other instance is tried.
                Unit::Stanza(element) if element.is(SASL, "failure") => {
                    return Ok(AnsweredLogin { connection, answer, accepted: false })
                }
                Unit::Stanza(element) if element.is(STREAMS, "error") => {
                    return Err(stream_error_outcome(&element))
                }
                Unit::Space => {}
                _ => return Err(Outcome::Error),
            }
        }
    }
}

/// The connection to the service client.
struct XmppClient {
    connection: XmppConnection,
    front: Rc<XmppFront>,
}

/// Returns the XML of a refusal, with the time after which to retry where there is one.
fn nack_xml(retry_after: Option<Micros>) -> String {
    let text = retry_after.map_or(String::new(), |us| {
        format!("<text xml:lang='en'>come again after {} ms</text>", us.div_ceil(1000))
    });
    format!("<failure xmlns='{SASL}'><temporary-auth-failure/>{text}</failure>{CLOSE}")
}

impl Client for XmppClient {
    type Link = AnsweredLogin;

    async fn wait_gone(&mut self) -> ClientGone {
        self.connection.reader.closed().await;
        ClientGone::Left
    }

    async fn relay(&mut self, link: AnsweredLogin, command: &mut Command) -> ConnectionEnd {
        let AnsweredLogin { connection: mut instance, answer, accepted } = link;
        if !accepted {
            let last_units = String::from_utf8_lossy(&answer).into_owned() + CLOSE;
            let broker = &self.front.broker;
            instance.finish(broker, CLOSE, 0).await;
            self.connection.finish(broker, &last_units, CLOSE_TIMEOUT).await;
            return ConnectionEnd::Served;
        }
        self.connection.reader.restart();
        self.connection.writer.push(&answer);
        relay::relay_stanzas(&self.front, &mut self.connection, &mut instance, command).await
    }

    async fn nack(&mut self, retry_after: Option<Micros>) {
        self.connection.finish(&self.front.broker, &nack_xml(retry_after), CLOSE_TIMEOUT).await;
    }

    async fn fail(&mut self, failure: Failure) {
        let text = match failure {
            Failure::GivenUp => "no server could take this log-in",
            Failure::Deadline => "no server took this log-in in time",
            Failure::UnexpectedInput => "spoke out of turn",
        };
        self.connection
            .finish(&self.front.broker, &stream_error_xml("remote-connection-failed", text), CLOSE_TIMEOUT)
            .await;
    }
}
