//! The XMPP front (RFC 6120): reads a service client's header and SASL, places it through the core, replays
//! both to the chosen instance, and passes whole stanzas both ways. It is off unless a file says otherwise.

pub mod relay;
pub mod stream;

use super::links;
use super::lobby::{Lobby, Over, Seat, FIRST};
use crate::api::{Demand, Micros, Outcome};
use crate::broker::{
    run_command, Broker, Client, ClientGone, Command, ConnectionEnd, Dialer, Execution, Failure,
};
use crate::config::{Grouping, Service, Xmpp};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use stream::{error, escaped, Bounds, Cut, Element, Side, Unit, CLOSE, SASL, STREAMS, TLS};
use tokio::net::TcpStream;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;

/// How long a peer that was told of the end has for its own closing tag.
const LINGER: u64 = 1_000_000;

/// The front, ready to serve.
pub struct Front {
    broker: Rc<Broker>,
    file: Xmpp,
    tls: Option<TlsAcceptor>,
    served: Cell<u64>,
}

impl Front {
    /// Checks what the file says: its classes, and its certificate where it names one.
    pub fn new(broker: Rc<Broker>, file: Xmpp) -> Result<Front, String> {
        for service in &file.service {
            broker.names().class(&service.class).ok_or_else(|| {
                format!("service {}: class {} is not in the settings", service.domain, service.class)
            })?;
        }
        let tls = match (&file.certificate, &file.key) {
            (Some(certificate), Some(key)) => {
                let wrong = |e: &dyn std::fmt::Display| format!("certificate or key: {e}");
                let chain: Result<Vec<_>, _> =
                    CertificateDer::pem_file_iter(certificate).map_err(|e| wrong(&e))?.collect();
                let key = PrivateKeyDer::from_pem_file(key).map_err(|e| wrong(&e))?;
                let config = ServerConfig::builder().with_no_client_auth();
                let config = config.with_single_cert(chain.map_err(|e| wrong(&e))?, key);
                Some(TlsAcceptor::from(Arc::new(config.map_err(|e| wrong(&e))?)))
            }
            (None, None) => None,
            _ => return Err("a certificate needs a key, and a key a certificate".into()),
        };
        Ok(Front { broker, file, tls, served: Cell::new(0) })
    }

    fn bounds(&self) -> Bounds {
        Bounds { stanza: self.file.max_stanza, stall: self.file.stall.0 }
    }

    fn side(&self, stream: TcpStream) -> Side {
        Side::new(Box::new(stream), self.bounds(), &self.broker)
    }

    /// Our own opening of a stream.
    fn opening(&self, domain: &str, features: &str) -> String {
        self.served.set(self.served.get() + 1);
        let id = format!("{:x}-{:x}", self.broker.now(), self.served.get());
        let head = format!(
            "<?xml version='1.0'?><stream:stream xmlns='jabber:client' xmlns:stream='{STREAMS}' id='{id}' \
             from='{}' version='1.0' xml:lang='en'>",
            escaped(domain)
        );
        match features {
            "" => head,
            features => format!("{head}<stream:features>{features}</stream:features>"),
        }
    }
}

/// A service client that has said who it is.
struct Login<'a> {
    service: &'a Service,
    /// Its header and its `<auth/>`, as they came.
    header: Vec<u8>,
    auth: Vec<u8>,
    jid: String,
}

/// Serves one connection from its first byte to its end.
pub async fn serve(front: Rc<Front>, lobby: Rc<Lobby>, stream: TcpStream, from: SocketAddr) {
    let broker = front.broker.clone();
    let seat = lobby.seat();
    let by = broker.now() + front.file.login.0;
    let mut side = front.side(stream);
    let mut came = login(&front, &mut side, &seat, by).await;
    if matches!(came, Ok(Step::Tls)) {
        let Some(tls) = front.tls.clone() else { return };
        let accepted = tokio::select! {
            accepted = tls.accept(side.into_io()) => accepted,
            _ = seat.over(by) => return,
        };
        let io = match accepted {
            Ok(io) => io,
            Err(e) => return tracing::warn!("xmpp client {from}: TLS failed: {e}"),
        };
        side = Side::new(Box::new(io), front.bounds(), &broker);
        came = secure_login(&front, &mut side, &seat, by).await.map(Step::Login);
    }
    drop(seat);
    match came {
        Ok(Step::Login(login)) => place(&front, side, login).await,
        Ok(Step::Tls) => {}
        Err(parting) => part(&front, &lobby, &mut side, parting, from).await,
    }
}

/// Ends with what came, or when the seat is over.
async fn within<T, E>(
    seat: &Seat,
    at: Micros,
    what: impl std::future::Future<Output = Result<T, E>>,
) -> Result<T, Parting>
where
    Parting: From<E>,
{
    tokio::select! {
        biased;
        came = what => Ok(came?),
        over = seat.over(at) => Err(match over {
            Over::Late => Parting::Error("connection-timeout", "log in sooner"),
            Over::Wanted => Parting::Error("resource-constraint", "come again later"),
        }),
    }
}

/// How a connection ends before it is a command.
enum Parting {
    /// The peer has left or closed.
    Gone,
    /// A stream error.
    Error(&'static str, &'static str),
    /// A SASL failure.
    Refused(&'static str),
}

impl From<Cut> for Parting {
    fn from(cut: Cut) -> Parting {
        match cut {
            Cut::Ended => Parting::Gone,
            Cut::Bad(condition) => Parting::Error(condition, ""),
        }
    }
}

enum Step<'a> {
    Login(Login<'a>),
    Tls,
}

async fn part(front: &Front, lobby: &Rc<Lobby>, side: &mut Side, parting: Parting, from: SocketAddr) {
    let words = match parting {
        Parting::Gone => CLOSE.to_string(),
        Parting::Error(condition, text) => {
            tracing::warn!("xmpp client {from}: {condition} before it was placed");
            error(condition, text)
        }
        Parting::Refused(condition) => {
            tracing::warn!("xmpp client {from}: its log-in was refused: {condition}");
            format!("<failure xmlns='{SASL}'><{condition}/></failure>{CLOSE}")
        }
    };
    lobby.linger(side.finish(&front.broker, &words, LINGER)).await;
}

/// Reads a header and answers it with our own, up to the service that it is for.
async fn open<'a>(
    front: &'a Front,
    side: &mut Side,
    secure: bool,
    seat: &Seat,
) -> Result<(&'a Service, Vec<u8>), Parting> {
    // The peer's header may come with the first error: our own must stand before any error (RFC 6120, 4.9.1.2).
    let (unit, header) = match within(seat, front.broker.now() + FIRST, side.reader.unit()).await {
        Ok(unit) => unit,
        Err(Parting::Gone) => return Err(Parting::Gone),
        Err(parting) => {
            side.writer.push(front.opening("", "").as_bytes());
            return Err(parting);
        }
    };
    let Unit::Header(head) = unit else { return Err(Parting::Gone) };
    let domain = head.get("to").unwrap_or_default().to_string();
    let service = front.file.service.iter().find(|s| s.domain.eq_ignore_ascii_case(&domain));
    let wrong = match service {
        _ if !head.is(STREAMS, "stream") => Some("invalid-namespace"),
        _ if !head.get("version").is_some_and(|v| v.starts_with("1.")) => Some("unsupported-version"),
        None => Some("host-unknown"),
        Some(_) => None,
    };
    match (service, wrong) {
        (Some(service), None) => {
            let features = if secure || front.tls.is_none() {
                let all = service.mechanisms.iter().map(|m| format!("<mechanism>{m}</mechanism>"));
                format!("<mechanisms xmlns='{SASL}'>{}</mechanisms>", all.collect::<String>())
            } else {
                format!("<starttls xmlns='{TLS}'><required/></starttls>")
            };
            side.writer.write(front.opening(&service.domain, &features).as_bytes()).await?;
            Ok((service, header))
        }
        (_, wrong) => {
            side.writer.push(front.opening(&domain, "").as_bytes());
            Err(Parting::Error(wrong.unwrap_or("host-unknown"), ""))
        }
    }
}

async fn next_stanza(side: &mut Side) -> Result<(Element, Vec<u8>), Parting> {
    loop {
        match side.reader.unit().await? {
            (Unit::Stanza(element), bytes) => return Ok((element, bytes)),
            (Unit::Space, _) => {}
            (Unit::Close, _) => return Err(Parting::Gone),
            (Unit::Header(_), _) => return Err(Parting::Error("bad-format", "")),
        }
    }
}

async fn login<'a>(front: &'a Front, side: &mut Side, seat: &Seat, by: Micros) -> Result<Step<'a>, Parting> {
    let secure = front.tls.is_none();
    let (service, header) = open(front, side, secure, seat).await?;
    let (element, bytes) = within(seat, by, next_stanza(side)).await?;
    if !secure {
        if !element.is(TLS, "starttls") {
            return Err(Parting::Error("policy-violation", "STARTTLS is required"));
        }
        side.writer.write(format!("<proceed xmlns='{TLS}'/>").as_bytes()).await?;
        return Ok(Step::Tls);
    }
    Ok(Step::Login(auth(service, header, element, bytes)?))
}

async fn secure_login<'a>(
    front: &'a Front,
    side: &mut Side,
    seat: &Seat,
    by: Micros,
) -> Result<Login<'a>, Parting> {
    let (service, header) = open(front, side, true, seat).await?;
    let (element, bytes) = within(seat, by, next_stanza(side)).await?;
    auth(service, header, element, bytes)
}

/// Who it is, from a mechanism that says all in its first message: only such can be replayed.
fn auth(service: &Service, header: Vec<u8>, element: Element, auth: Vec<u8>) -> Result<Login<'_>, Parting> {
    if !element.is(SASL, "auth") {
        return Err(Parting::Error("not-authorized", "log in first"));
    }
    let mechanism = element.get("mechanism").unwrap_or_default();
    if !service.mechanisms.iter().any(|m| m == mechanism) {
        return Err(Parting::Refused("invalid-mechanism"));
    }
    let text = element.texts.concat();
    let said = match text.trim() {
        "" | "=" => Vec::new(),
        text => STANDARD.decode(text).map_err(|_| Parting::Refused("incorrect-encoding"))?,
    };
    let said = String::from_utf8(said).map_err(|_| Parting::Refused("malformed-request"))?;
    let parts: Vec<&str> = said.split('\0').collect();
    let jid = match (mechanism, &parts[..]) {
        ("PLAIN", [authzid, authcid, _]) if !authcid.is_empty() => match authzid.split('/').next() {
            Some(bare) if !bare.is_empty() => bare.to_lowercase(),
            _ => format!("{authcid}@{}", service.domain).to_lowercase(),
        },
        ("PLAIN", _) => return Err(Parting::Refused("malformed-request")),
        // Others name nobody that the balancer can read: each connection is its own key.
        _ => String::new(),
    };
    Ok(Login { service, header, auth, jid })
}

/// Places a log-in through the core and carries it to its end.
async fn place(front: &Rc<Front>, side: Side, login: Login<'_>) {
    let broker = &front.broker;
    let service = login.service;
    front.served.set(front.served.get() + 1);
    let id = format!("xmpp-{:x}-{:x}", broker.now(), front.served.get());
    let class = broker.names().class(&service.class).unwrap_or(usize::MAX);
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
    let replay = Replay { front, login: &login };
    let mut desk = Desk { side, front: front.clone() };
    let team = service.team.as_deref().unwrap_or(&service.domain);
    run_command(broker, demand, Some(team), &mut desk, &replay).await;
}

/// The side that faces instances.
struct Replay<'a> {
    front: &'a Rc<Front>,
    login: &'a Login<'a>,
}

/// A connection to an instance that has answered the log-in.
pub struct Answered {
    side: Side,
    /// Its answer, to be passed on.
    answer: Vec<u8>,
    /// It let the service client in.
    welcome: bool,
}

/// What an instance's words before its answer mean.
fn meaning(cut: Cut) -> Outcome {
    match cut {
        Cut::Ended => Outcome::Reset,
        Cut::Bad(_) => Outcome::Error,
    }
}

fn stream_error(element: &Element) -> Outcome {
    // It turns everybody away, and has not looked at this one.
    let unseen = ["resource-constraint", "system-shutdown", "see-other-host"];
    if unseen.iter().any(|name| element.has(name)) {
        Outcome::Full
    } else {
        Outcome::Error
    }
}

impl Dialer for Replay<'_> {
    type Link = Answered;

    async fn execute(&self, execution: &Execution) -> Result<Answered, Outcome> {
        let address = self.front.file.address(&execution.name, execution.address);
        let link = links::connect(&self.front.broker, address).await?;
        // Discovery may have spoken while the connection was made: nothing new to what drains.
        if !execution.may_send() {
            return Err(Outcome::Moot);
        }
        let mut side = self.front.side(link.stream);
        side.writer.write(&self.login.header).await.map_err(|_| Outcome::ConnectFailed)?;
        loop {
            match side.reader.unit().await.map_err(meaning)? {
                (Unit::Stanza(element), _) if element.is(STREAMS, "features") => break,
                (Unit::Stanza(element), _) if element.is(STREAMS, "error") => {
                    return Err(stream_error(&element))
                }
                (Unit::Header(_) | Unit::Space, _) => {}
                _ => return Err(Outcome::Error),
            }
        }
        // And while its stream was opened: only with the log-in has it been sent anything.
        if !execution.may_send() {
            return Err(Outcome::Moot);
        }
        side.writer.write(&self.login.auth).await.map_err(|_| Outcome::Reset)?;
        execution.record_sent();
        loop {
            let (unit, answer) = side.reader.unit().await.map_err(meaning)?;
            match unit {
                Unit::Stanza(element) if element.is(SASL, "success") => {
                    side.reader.restart();
                    return Ok(Answered { side, answer, welcome: true });
                }
                // Its own nack: another instance may take the client.
                Unit::Stanza(element)
                    if element.is(SASL, "failure") && element.has("temporary-auth-failure") =>
                {
                    return Err(Outcome::Full)
                }
                // Refused credentials are its answer, not its failure: the client gets it, and nobody else is
                // asked.
                Unit::Stanza(element) if element.is(SASL, "failure") => {
                    return Ok(Answered { side, answer, welcome: false })
                }
                Unit::Stanza(element) if element.is(STREAMS, "error") => return Err(stream_error(&element)),
                Unit::Space => {}
                _ => return Err(Outcome::Error),
            }
        }
    }
}

/// The side that faces the service client.
struct Desk {
    side: Side,
    front: Rc<Front>,
}

/// A refusal, with the time after which to come again where there is one.
fn nacked(after: Option<Micros>) -> String {
    let text = after.map_or(String::new(), |us| {
        format!("<text xml:lang='en'>come again after {} ms</text>", us.div_ceil(1000))
    });
    format!("<failure xmlns='{SASL}'><temporary-auth-failure/>{text}</failure>{CLOSE}")
}

impl Client for Desk {
    type Link = Answered;

    async fn wait_gone(&mut self) -> ClientGone {
        self.side.reader.gone().await;
        ClientGone::Left
    }

    async fn relay(&mut self, link: Answered, command: &mut Command) -> ConnectionEnd {
        let Answered { side: mut instance, answer, welcome } = link;
        if !welcome {
            let words = String::from_utf8_lossy(&answer).into_owned() + CLOSE;
            let broker = &self.front.broker;
            instance.finish(broker, CLOSE, 0).await;
            self.side.finish(broker, &words, LINGER).await;
            return ConnectionEnd::Served;
        }
        self.side.reader.restart();
        self.side.writer.push(&answer);
        relay::stanzas(&self.front, &mut self.side, &mut instance, command).await
    }

    async fn nack(&mut self, after: Option<Micros>) {
        self.side.finish(&self.front.broker, &nacked(after), LINGER).await;
    }

    async fn fail(&mut self, why: Failure) {
        let text = match why {
            Failure::GivenUp => "no server could take this log-in",
            Failure::Deadline => "no server took this log-in in time",
            Failure::UnexpectedInput => "spoke out of turn",
        };
        self.side.finish(&self.front.broker, &error("remote-connection-failed", text), LINGER).await;
    }
}
