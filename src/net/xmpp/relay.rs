//! Relays an established XMPP connection: whole stanzas in both directions, each with its own backpressure.

use super::framer::{StreamEnd, Unit, CLOSE, STREAMS, STREAM_MANAGEMENT};
use super::stream::{stream_error_xml, Reader, Writer, XmppConnection};
use super::{XmppFront, CLOSE_TIMEOUT};
use crate::api::Micros;
use crate::broker::{Broker, Command, ConnectionEnd, SilenceMonitor};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Why the relay of one direction has ended.
enum DirectionEnd {
    /// The sender closed its stream; the closing tag was passed on.
    Closed,
    /// The sender disconnected or violated the protocol.
    Sender(StreamEnd),
    /// The receiver cannot be written to.
    Receiver,
}

/// Relays units in one direction until one side ends, and calls `inspect` for each before it is sent.
async fn relay_units<R, W>(
    from: &mut Reader<R>,
    to: &mut Writer<W>,
    mut inspect: impl FnMut(&Unit),
) -> DirectionEnd
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    loop {
        // Units that a cancelled relay had queued go first.
        if to.flush().await.is_err() {
            return DirectionEnd::Receiver;
        }
        let (unit, bytes) = match from.read_unit().await {
            Ok(unit) => unit,
            Err(end) => return DirectionEnd::Sender(end),
        };
        inspect(&unit);
        to.push(&bytes);
        if matches!(unit, Unit::Close) {
            return if to.flush().await.is_ok() { DirectionEnd::Closed } else { DirectionEnd::Receiver };
        }
    }
}

/// Relays the rest of a partly received stanza and writes what is queued. Returns whether everything was written.
async fn finish_partial_unit<R, W>(from: &mut Reader<R>, to: &mut Writer<W>) -> bool
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    while from.has_partial_unit() {
        match from.read_unit().await {
            Ok((Unit::Close, _)) | Err(_) => break,
            Ok((_, bytes)) => to.push(&bytes),
        }
    }
    to.flush().await.is_ok()
}

/// Returns whether a working instance answers a client's unit at once: the header of a stream, and requests that it
/// handles itself (RFC 6120, 8.2.3; XEP-0198). Requests to other entities take as long as those need, and messages and
/// presence have no answer.
fn is_answered_at_once(unit: &Unit, domain: &str) -> bool {
    match unit {
        Unit::Header(_) => true,
        Unit::Stanza(element) if element.name == "iq" => {
            let is_request = matches!(element.attribute("type"), Some("get" | "set"));
            is_request && element.attribute("to").is_none_or(|to| to.eq_ignore_ascii_case(domain))
        }
        Unit::Stanza(element) => element.is(STREAM_MANAGEMENT, "r"),
        Unit::Space | Unit::Close => false,
    }
}

/// Why the relay has stopped.
enum RelayEnd {
    /// The client is to be moved.
    MoveRequested,
    /// The instance has been silent for too long.
    Silent,
    /// The direction from the client has ended.
    FromClient(DirectionEnd),
    /// The direction from the instance has ended.
    FromInstance(DirectionEnd),
}

/// Relays stanzas until the connection ends, then closes both streams; returns how it ended.
pub async fn relay_stanzas(
    front: &XmppFront,
    domain: &str,
    client: &mut XmppConnection,
    instance: &mut XmppConnection,
    command: &mut Command,
    silence: &SilenceMonitor,
) -> ConnectionEnd {
    let broker = command.broker().clone();
    let stanza_timeout = front.settings.finish.0;
    // A stream error is meaningful only inside a stream, so the client must have been sent the header of its new
    // stream.
    let (mut announced_end, mut header_sent) = (None, false);
    let last_received = instance.reader.last_received();
    let end = {
        let up = relay_units(&mut client.reader, &mut instance.writer, |unit| {
            if is_answered_at_once(unit, domain) {
                silence.record_sent(broker.now());
            }
        });
        let down = relay_units(&mut instance.reader, &mut client.writer, |unit| {
            silence.record_activity(broker.now());
            match unit {
                Unit::Header(_) => header_sent = true,
                Unit::Stanza(element) if element.is(STREAMS, "error") => {
                    announced_end =
                        Some(if element.is_redirect() { ConnectionEnd::Left } else { ConnectionEnd::Broken });
                }
                _ => {}
            }
        });
        tokio::select! {
            biased;
            () = command.move_requested() => RelayEnd::MoveRequested,
            end = up => RelayEnd::FromClient(end),
            end = down => RelayEnd::FromInstance(end),
            () = silence.exceeded(|| last_received.get()) => RelayEnd::Silent,
        }
    };
    let client_header = if header_sent { String::new() } else { front.stream_header("", "") };
    match end {
        RelayEnd::MoveRequested => {
            finish_partial_units(&broker, client, instance, stanza_timeout).await;
            send_move(front, client, &client_header, instance).await;
            ConnectionEnd::Left
        }
        // A silent instance takes the rest of no stanza.
        RelayEnd::Silent => {
            send_move(front, client, &client_header, instance).await;
            ConnectionEnd::Left
        }
        // One side closed the stream; the other has some time to close it too.
        RelayEnd::FromClient(DirectionEnd::Closed) => {
            let answered = relay_units(&mut instance.reader, &mut client.writer, |_| ());
            tokio::select! {
                _ = answered => {}
                () = broker.close_wait(stanza_timeout) => {}
            }
            finish_both(&broker, client, "", instance, "").await;
            ConnectionEnd::Left
        }
        RelayEnd::FromInstance(DirectionEnd::Closed) => {
            let answered = relay_units(&mut client.reader, &mut instance.writer, |_| ());
            tokio::select! {
                _ = answered => {}
                () = broker.close_wait(CLOSE_TIMEOUT) => {}
            }
            finish_both(&broker, client, "", instance, "").await;
            announced_end.unwrap_or(ConnectionEnd::Served)
        }
        RelayEnd::FromClient(DirectionEnd::Sender(StreamEnd::Violation(condition))) => {
            tracing::warn!("xmpp client: {condition}; connection ended");
            let to_client = client_header + &stream_error_xml(condition, "");
            finish_both(&broker, client, &to_client, instance, CLOSE).await;
            ConnectionEnd::Left
        }
        RelayEnd::FromClient(DirectionEnd::Sender(StreamEnd::Disconnected))
        | RelayEnd::FromInstance(DirectionEnd::Receiver) => {
            finish_both(&broker, client, "", instance, CLOSE).await;
            ConnectionEnd::Left
        }
        RelayEnd::FromClient(DirectionEnd::Receiver) | RelayEnd::FromInstance(DirectionEnd::Sender(_)) => {
            let to_instance = match end {
                RelayEnd::FromInstance(DirectionEnd::Sender(StreamEnd::Violation(condition))) => {
                    tracing::warn!("xmpp instance: {condition}; connection ended");
                    stream_error_xml(condition, "")
                }
                _ => String::new(),
            };
            let to_client =
                client_header + &stream_error_xml("remote-connection-failed", "the server has left");
            finish_both(&broker, client, &to_client, instance, &to_instance).await;
            announced_end.unwrap_or(ConnectionEnd::Broken)
        }
    }
}

/// Relays the rest of partly received stanzas in both directions, within a time limit.
async fn finish_partial_units(
    broker: &Rc<Broker>,
    client: &mut XmppConnection,
    instance: &mut XmppConnection,
    timeout: Micros,
) {
    let completed = async {
        tokio::join!(
            finish_partial_unit(&mut client.reader, &mut instance.writer),
            finish_partial_unit(&mut instance.reader, &mut client.writer)
        );
    };
    tokio::select! {
        () = completed => {}
        // Only whole stanzas are queued, but the write of one may be stuck: nothing may follow it.
        () = broker.data_wait(timeout) => {}
    }
}

/// Sends both sides the stream error that asks the client to reconnect, and closes both connections.
async fn send_move(
    front: &XmppFront,
    client: &mut XmppConnection,
    client_header: &str,
    instance: &mut XmppConnection,
) {
    let client_error = match &front.settings.other_host {
        Some(host) => {
            let ns = "urn:ietf:params:xml:ns:xmpp-streams";
            let host = super::escape_xml(host);
            format!(
                "<stream:error><see-other-host xmlns='{ns}'>{host}</see-other-host></stream:error>{CLOSE}"
            )
        }
        None => stream_error_xml("system-shutdown", "please come again"),
    };
    let to_client = client_header.to_string() + &client_error;
    let to_instance = stream_error_xml("system-shutdown", "");
    finish_both(&front.broker, client, &to_client, instance, &to_instance).await;
}

/// Writes the last units to both sides and closes both connections.
async fn finish_both(
    broker: &Rc<Broker>,
    client: &mut XmppConnection,
    to_client: &str,
    instance: &mut XmppConnection,
    to_instance: &str,
) {
    tokio::join!(
        client.finish(broker, to_client, CLOSE_TIMEOUT),
        instance.finish(broker, to_instance, CLOSE_TIMEOUT)
    );
}
