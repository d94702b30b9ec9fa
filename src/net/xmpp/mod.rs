//! The XMPP front (RFC 6120): reads a service client's stream header and SASL log-in, places the client through the
//! broker, replays both to the chosen instance, and relays whole stanzas in both directions. Only SASL mechanisms that
//! need a single client message can be replayed. The front is off unless the operator's file configures it.

mod dialer;
mod framer;
mod login;
pub mod relay;
pub mod stream;

use super::idle::IdleConnections;
use crate::api::{Demand, Micros};
use crate::broker::{
    run_command, Broker, Client, ClientGone, Command, ConnectionEnd, Failure, SilenceMonitor,
};
use crate::config::{Grouping, XmppSettings};
use dialer::{AnsweredLogin, LoginDialer};
use framer::{StreamEnd, CLOSE, SASL, STREAMS};
use login::{close_failed_login, login, secure_login, Login, LoginStep};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use stream::{escape_xml, stream_error_xml, StreamLimits, XmppConnection};
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

/// Serves one client connection until it is closed.
pub async fn serve(front: Rc<XmppFront>, idle: Rc<IdleConnections>, stream: TcpStream, from: SocketAddr) {
    let broker = front.broker.clone();
    let slot = idle.acquire_slot();
    let deadline = broker.now() + front.settings.login.0;
    let mut connection = front.connection(stream);
    let mut result = login(&front, &mut connection, &slot, deadline).await;
    if matches!(result, Ok(LoginStep::StartTls)) {
        let Some(tls) = front.tls.clone() else { return };
        let io = match slot.receive(deadline, tls.accept(connection.into_io())).await {
            Ok(Ok(io)) => io,
            // No answer can be sent before the handshake is complete.
            Err(_) => return,
            Ok(Err(e)) => return tracing::warn!("xmpp client {from}: TLS failed: {e}"),
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
    let mut client = XmppClient { connection, front: front.clone(), domain: service.domain.clone() };
    let team = service.team.as_deref().unwrap_or(&service.domain);
    run_command(broker, demand, Some(team), &mut client, &dialer).await;
}

/// The connection to the service client.
struct XmppClient {
    connection: XmppConnection,
    front: Rc<XmppFront>,
    /// Domain of the service that the client has logged in to.
    domain: String,
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
        match self.connection.reader.closed().await {
            StreamEnd::Disconnected => ClientGone::Left,
            StreamEnd::Violation(_) => ClientGone::UnexpectedInput,
        }
    }

    async fn relay(
        &mut self,
        link: AnsweredLogin,
        command: &mut Command,
        silence: &SilenceMonitor,
    ) -> ConnectionEnd {
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
        let domain = &self.domain;
        relay::relay_stanzas(&self.front, domain, &mut self.connection, &mut instance, command, silence).await
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
