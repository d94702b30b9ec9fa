//! A standing XMPP connection: whole stanzas both ways, each way at its own pace.

use super::stream::{error, Cut, Reader, Side, Unit, Writer, CLOSE, STREAMS};
use super::{Front, LINGER};
use crate::broker::{Broker, Command, ConnectionEnd};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Why a direction has ended.
enum Stop {
    /// Its sender closed the stream, in order; the closing tag was passed on.
    Closed,
    /// Its sender ended or broke the rules.
    Sender(Cut),
    /// Its receiver takes nothing any more.
    Receiver,
}

/// Passes units on until one side ends; each is shown before it goes.
async fn pass<R, W>(from: &mut Reader<R>, to: &mut Writer<W>, mut seen: impl FnMut(&Unit)) -> Stop
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    loop {
        // First what a pass that was dropped had left.
        if to.flush().await.is_err() {
            return Stop::Receiver;
        }
        let (unit, bytes) = match from.unit().await {
            Ok(unit) => unit,
            Err(cut) => return Stop::Sender(cut),
        };
        seen(&unit);
        to.push(&bytes);
        if matches!(unit, Unit::Close) {
            return if to.flush().await.is_ok() { Stop::Closed } else { Stop::Receiver };
        }
    }
}

/// Lets the stanza that is under way, and what is queued, come to its end; whether the stream is whole then.
async fn settle<R, W>(from: &mut Reader<R>, to: &mut Writer<W>) -> bool
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    while from.under_way() {
        match from.unit().await {
            Ok((Unit::Close, _)) | Err(_) => break,
            Ok((_, bytes)) => to.push(&bytes),
        }
    }
    to.flush().await.is_ok()
}

/// Passes stanzas on until the connection ends, and ends both sides in defined ways.
pub async fn stanzas(
    front: &Front,
    client: &mut Side,
    instance: &mut Side,
    command: &mut Command,
) -> ConnectionEnd {
    let broker = command.broker().clone();
    let finish = front.file.finish.0;
    // Whether the client has been sent the header of its new stream: an error outside a stream says nothing.
    let (mut last, mut greeted) = (None, false);
    let (from_client, stop) = {
        let up = pass(&mut client.reader, &mut instance.writer, |_| ());
        let down = pass(&mut instance.reader, &mut client.writer, |unit| match unit {
            Unit::Header(_) => greeted = true,
            Unit::Stanza(element) if element.is(STREAMS, "error") => {
                let away = element.has("see-other-host") || element.has("system-shutdown");
                last = Some(if away { ConnectionEnd::Left } else { ConnectionEnd::Broken });
            }
            _ => {}
        });
        tokio::select! {
            biased;
            () = command.move_requested() => (false, None),
            stop = up => (true, Some(stop)),
            stop = down => (false, Some(stop)),
        }
    };
    let opening = if greeted { String::new() } else { front.opening("", "") };
    let Some(stop) = stop else {
        // A drain: what is half sent comes to its end, within a bound, and both sides are told.
        let both = async {
            tokio::join!(
                settle(&mut client.reader, &mut instance.writer),
                settle(&mut instance.reader, &mut client.writer)
            );
        };
        tokio::select! {
            () = both => {}
            // Only whole stanzas are ever written, but one may be stuck half way: nothing may follow it.
            () = broker.sleep(finish) => {}
        }
        let farewell = match &front.file.other_host {
            Some(host) => {
                let ns = "urn:ietf:params:xml:ns:xmpp-streams";
                let host = super::escaped(host);
                format!("<stream:error><see-other-host xmlns='{ns}'>{host}</see-other-host></stream:error>{CLOSE}")
            }
            None => error("system-shutdown", "please come again"),
        };
        end(&broker, client, &(opening + &farewell), instance, &error("system-shutdown", "")).await;
        return ConnectionEnd::Left;
    };
    match (from_client, stop) {
        // One side closed the stream: the other has a while to close it too.
        (true, Stop::Closed) => {
            let answered = pass(&mut instance.reader, &mut client.writer, |_| ());
            tokio::select! {
                _ = answered => {}
                () = broker.sleep(finish) => {}
            }
            end(&broker, client, "", instance, "").await;
            ConnectionEnd::Left
        }
        (false, Stop::Closed) => {
            let answered = pass(&mut client.reader, &mut instance.writer, |_| ());
            tokio::select! {
                _ = answered => {}
                () = broker.sleep(LINGER) => {}
            }
            end(&broker, client, "", instance, "").await;
            last.unwrap_or(ConnectionEnd::Served)
        }
        (true, Stop::Sender(Cut::Bad(condition))) => {
            tracing::warn!("xmpp client: {condition}; its connection is ended");
            end(&broker, client, &(opening + &error(condition, "")), instance, CLOSE).await;
            ConnectionEnd::Left
        }
        (true, Stop::Sender(Cut::Ended)) | (false, Stop::Receiver) => {
            end(&broker, client, "", instance, CLOSE).await;
            ConnectionEnd::Left
        }
        (from_client, stop) => {
            let words = match (from_client, stop) {
                (false, Stop::Sender(Cut::Bad(condition))) => {
                    tracing::warn!("xmpp instance: {condition}; its connection is ended");
                    error(condition, "")
                }
                _ => String::new(),
            };
            end(
                &broker,
                client,
                &(opening + &error("remote-connection-failed", "the server has left")),
                instance,
                &words,
            )
            .await;
            last.unwrap_or(ConnectionEnd::Broken)
        }
    }
}

/// Last words to both, and the end of both.
async fn end(
    broker: &Rc<Broker>,
    client: &mut Side,
    to_client: &str,
    instance: &mut Side,
    to_instance: &str,
) {
    tokio::join!(client.finish(broker, to_client, LINGER), instance.finish(broker, to_instance, LINGER));
}
