//! Replays a log-in to an instance, up to the instance's answer.

use super::login::Login;
use super::stream::{Element, StreamEnd, Unit, XmppConnection, SASL, STREAMS};
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
