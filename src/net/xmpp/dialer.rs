//! Replays a log-in to an instance, up to the instance's answer.

use super::framer::{Element, StreamEnd, Unit, SASL, STREAMS};
use super::login::Login;
use super::stream::XmppConnection;
use super::XmppFront;
use crate::api::Outcome;
use crate::broker::{Dialer, Execution};
use crate::net::links;
use std::rc::Rc;

/// Replays a log-in to instances.
pub struct LoginDialer<'a> {
    /// The front, with the addresses of instances.
    pub front: &'a Rc<XmppFront>,
    /// The log-in to replay.
    pub login: &'a Login<'a>,
}

/// A connection to an instance that has answered the log-in.
pub struct AnsweredLogin {
    /// The connection, at the start of its next stream if the credentials were accepted.
    pub connection: XmppConnection,
    /// The answer, to be passed on to the client.
    pub answer: Vec<u8>,
    /// Whether the instance accepted the credentials.
    pub accepted: bool,
}

/// Returns the outcome of an attempt whose stream ended before the instance's answer.
fn stream_end_outcome(end: StreamEnd) -> Outcome {
    match end {
        StreamEnd::Disconnected => Outcome::Reset,
        StreamEnd::Violation(_) => Outcome::Error,
    }
}

/// Returns the outcome of an attempt that the instance ended with a stream error before it was sent the credentials.
fn rejected_stream_outcome(element: &Element) -> Outcome {
    // With these conditions the instance rejects all clients.
    let rejects_all = element.is_redirect() || element.has_descendant("resource-constraint");
    if rejects_all {
        Outcome::Full
    } else {
        Outcome::Error
    }
}

/// Returns the outcome of an attempt that the instance ended with a stream error after it was sent the credentials. A
/// stream error is about the stream (RFC 6120, 4.9): it does not say whether the log-in has run, whatever its condition.
/// Only a SASL failure answers the log-in itself.
fn interrupted_login_outcome(element: &Element) -> Outcome {
    if element.is_redirect() {
        // A draining instance sends all its clients away, and is not blamed for it.
        Outcome::Cancelled
    } else {
        Outcome::Error
    }
}

impl LoginDialer<'_> {
    /// Opens a stream, up to the instance's features.
    async fn open_stream(
        &self,
        connection: &mut XmppConnection,
        execution: &Execution,
    ) -> Result<(), Outcome> {
        connection.writer.write_all(&self.login.header).await.map_err(|_| Outcome::ConnectFailed)?;
        loop {
            match connection.reader.read_unit().await.map_err(stream_end_outcome)? {
                (Unit::Stanza(element), _) if element.is(STREAMS, "features") => return Ok(()),
                (Unit::Stanza(element), _) if element.is(STREAMS, "error") => {
                    log_stream_error(execution, &element, "before");
                    return Err(rejected_stream_outcome(&element));
                }
                (Unit::Header(_) | Unit::Space, _) => {}
                _ => return Err(Outcome::Error),
            }
        }
    }

    /// Waits for the instance's answer to the credentials. Returns its bytes and whether they were accepted.
    async fn await_answer(
        &self,
        connection: &mut XmppConnection,
        execution: &Execution,
    ) -> Result<(Vec<u8>, bool), Outcome> {
        loop {
            let (unit, answer) = connection.reader.read_unit().await.map_err(stream_end_outcome)?;
            match unit {
                Unit::Stanza(element) if element.is(SASL, "success") => return Ok((answer, true)),
                // A nack of this instance: another one may accept the client.
                Unit::Stanza(element)
                    if element.is(SASL, "failure") && element.has_descendant("temporary-auth-failure") =>
                {
                    return Err(Outcome::Full)
                }
                // Rejected credentials are an answer and not a failure of the instance: it is passed to the client, and
                // no other instance is tried.
                Unit::Stanza(element) if element.is(SASL, "failure") => return Ok((answer, false)),
                Unit::Stanza(element) if element.is(STREAMS, "error") => {
                    log_stream_error(execution, &element, "after");
                    return Err(interrupted_login_outcome(&element));
                }
                Unit::Space => {}
                _ => return Err(Outcome::Error),
            }
        }
    }
}

/// Logs the stream error with which an instance ended a log-in, `when` it came in relation to the credentials.
fn log_stream_error(execution: &Execution, element: &Element, when: &str) {
    let condition = element.descendants.first().map_or("no condition", String::as_str);
    let (name, call) = (&execution.name, execution.call_id());
    tracing::info!("xmpp instance {name}: log-in {call} ended with {condition} {when} its credentials");
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
        self.open_stream(&mut connection, execution).await?;
        // The list may also have changed while the stream was opened; the credentials have not been sent yet.
        if !execution.may_send() {
            return Err(Outcome::Moot);
        }
        connection.writer.write_all(&self.login.auth).await.map_err(|_| Outcome::ConnectFailed)?;
        execution.record_sent();
        let (answer, accepted) = self.await_answer(&mut connection, execution).await?;
        if accepted {
            connection.reader.restart();
        }
        Ok(AnsweredLogin { connection, answer, accepted })
    }
}
