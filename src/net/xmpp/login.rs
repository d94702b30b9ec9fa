//! The log-in of a service client, from the first byte of its connection to its credentials.

use super::framer::{Element, StreamEnd, Unit, CLOSE, SASL, STREAMS, TLS};
use super::stream::{stream_error_xml, XmppConnection};
use super::{XmppFront, CLOSE_TIMEOUT};
use crate::api::Micros;
use crate::config::XmppService;
use crate::net::idle::{IdleConnections, IdleSlot, SlotEnd, FIRST_LINE_TIMEOUT};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::net::SocketAddr;
use std::rc::Rc;

/// A log-in request that is ready to be replayed.
pub struct Login<'a> {
    /// The service that the client asked for.
    pub service: &'a XmppService,
    /// Stream header, as received.
    pub header: Vec<u8>,
    /// `<auth/>` element, as received.
    pub auth: Vec<u8>,
    /// Bare JID in lower case; empty where the mechanism does not reveal it.
    pub jid: String,
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
    match slot.receive(at, result).await {
        Ok(result) => Ok(result?),
        Err(SlotEnd::TimedOut) => Err(LoginFailure::StreamError("connection-timeout", "log in sooner")),
        Err(SlotEnd::Evicted) => Err(LoginFailure::StreamError("resource-constraint", "come again later")),
    }
}

/// Why a connection ends before it becomes a command.
pub enum LoginFailure {
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
pub enum LoginStep<'a> {
    /// The client has sent its credentials.
    Login(Login<'a>),
    /// The client was told to start TLS.
    StartTls,
}

/// Answers a client whose log-in has failed, and closes its connection.
pub async fn close_failed_login(
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

/// Reads the next element of a stream that is being negotiated.
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

/// Reads the first stream on a connection, up to the credentials or the request for TLS, until `deadline`.
pub async fn login<'a>(
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

/// Reads the stream after the TLS handshake, up to the credentials, until `deadline`.
pub async fn secure_login<'a>(
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
    let decoded = match element.text.trim() {
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
