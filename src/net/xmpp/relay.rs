//! Relays an established XMPP connection: whole stanzas in both directions, each with its own backpressure.

use super::stream::{stream_error_xml, Reader, StreamEnd, Unit, Writer, XmppConnection, CLOSE, STREAMS};
use super::{XmppFront, CLOSE_TIMEOUT};
use crate::broker::{Broker, Command, ConnectionEnd};
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

/// Relays stanzas until the connection ends, then closes both streams; returns how it ended.
pub async fn relay_stanzas(
    front: &XmppFront,
    client: &mut XmppConnection,
    instance: &mut XmppConnection,
    command: &mut Command,
) -> ConnectionEnd {
    let broker = command.broker().clone();
    let stanza_timeout = front.settings.finish.0;
    // A stream error is meaningful only inside a stream, so the client must have been sent the header of its new
    // stream.
    let (mut announced_end, mut header_sent) = (None, false);
    let (from_client, end) = {
        let up = relay_units(&mut client.reader, &mut instance.writer, |_| ());
        let down = relay_units(&mut instance.reader, &mut client.writer, |unit| match unit {
            Unit::Header(_) => header_sent = true,
            Unit::Stanza(element) if element.is(STREAMS, "error") => {
                announced_end =
                    Some(if element.is_redirect() { ConnectionEnd::Left } else { ConnectionEnd::Broken });
            }
            _ => {}
        });
        tokio::select! {
            biased;
            () = command.move_requested() => (false, None),
            end = up => (true, Some(end)),
            end = down => (false, Some(end)),
        }
    };
    let client_header = if header_sent { String::new() } else { front.stream_header("", "") };
    let Some(end) = end else {
        // At a drain partly sent stanzas are completed, within a time limit, and both sides are sent a stream error.
        let completed = async {
            tokio::join!(
                finish_partial_unit(&mut client.reader, &mut instance.writer),
                finish_partial_unit(&mut instance.reader, &mut client.writer)
            );
        };
        tokio::select! {
            () = completed => {}
            // Only whole stanzas are queued, but the write of one may be stuck: nothing may follow it.
            () = broker.sleep(stanza_timeout) => {}
        }
        let client_error = match &front.settings.other_host {
            Some(host) => {
                let ns = "urn:ietf:params:xml:ns:xmpp-streams";
                let host = super::escape_xml(host);
                format!("<stream:error><see-other-host xmlns='{ns}'>{host}</see-other-host></stream:error>{CLOSE}")
            }
            None => stream_error_xml("system-shutdown", "please come again"),
        };
        finish_both(
            &broker,
            client,
            &(client_header + &client_error),
            instance,
            &stream_error_xml("system-shutdown", ""),
        )
        .await;
        return ConnectionEnd::Left;
    };
    match (from_client, end) {
        // One side closed the stream; the other has some time to close it too.
        (true, DirectionEnd::Closed) => {
            let answered = relay_units(&mut instance.reader, &mut client.writer, |_| ());
            tokio::select! {
                _ = answered => {}
                () = broker.sleep(stanza_timeout) => {}
            }
            finish_both(&broker, client, "", instance, "").await;
            ConnectionEnd::Left
        }
        (false, DirectionEnd::Closed) => {
            let answered = relay_units(&mut client.reader, &mut instance.writer, |_| ());
            tokio::select! {
                _ = answered => {}
                () = broker.sleep(CLOSE_TIMEOUT) => {}
            }
            finish_both(&broker, client, "", instance, "").await;
            announced_end.unwrap_or(ConnectionEnd::Served)
        }
        (true, DirectionEnd::Sender(StreamEnd::Violation(condition))) => {
            tracing::warn!("xmpp client: {condition}; connection ended");
            finish_both(
                &broker,
                client,
                &(client_header + &stream_error_xml(condition, "")),
                instance,
                CLOSE,
            )
            .await;
            ConnectionEnd::Left
        }
        (true, DirectionEnd::Sender(StreamEnd::Disconnected)) | (false, DirectionEnd::Receiver) => {
            finish_both(&broker, client, "", instance, CLOSE).await;
            ConnectionEnd::Left
        }
        (from_client, end) => {
            let to_instance = match (from_client, end) {
                (false, DirectionEnd::Sender(StreamEnd::Violation(condition))) => {
                    tracing::warn!("xmpp instance: {condition}; connection ended");
                    stream_error_xml(condition, "")
                }
                _ => String::new(),
            };
            finish_both(
                &broker,
                client,
                &(client_header + &stream_error_xml("remote-connection-failed", "the server has left")),
                instance,
                &to_instance,
            )
            .await;
            announced_end.unwrap_or(ConnectionEnd::Broken)
        }
    }
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
