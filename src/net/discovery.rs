//! The watch on discovery: HTTP/1.1, one JSON object a line for as long as it lasts.

use crate::api::ListKind;
use crate::broker::instances::Listing;
use crate::broker::Broker;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};

/// A call that has no answer by then has failed.
const CALL: u64 = 3_000_000;
/// A live watch brings at least an empty line every 2 s: one that brings nothing for longer is cut off,
/// though its connection stays open. What it had to tell counts as told a few seconds later.
const SILENT: u64 = 4_200_000;
/// What is said of it.
const SILENCE: &str = "it fell silent";
/// The longest line taken: room for thousands of instances.
const LINE: usize = 4 << 20;

/// The watches: one in use, and after discovery has moved the one before, until the new address has told the
/// whole list. In between both are heard, so that there is no gap in what is known.
pub struct Watcher {
    broker: Rc<Broker>,
    address: Cell<SocketAddr>,
    /// How often discovery has moved, and after which move it was last heard.
    moves: Cell<u64>,
    heard: Cell<u64>,
    current: RefCell<Option<JoinHandle<()>>>,
    older: RefCell<Vec<JoinHandle<()>>>,
}

impl Watcher {
    /// One that watches nothing yet.
    pub fn new(broker: Rc<Broker>, address: SocketAddr) -> Rc<Watcher> {
        let (moves, heard) = (Cell::new(0), Cell::new(0));
        let (current, older) = (RefCell::default(), RefCell::default());
        Rc::new(Watcher { broker, address: Cell::new(address), moves, heard, current, older })
    }

    fn watches(&self) -> bool {
        self.current.borrow().as_ref().is_some_and(|watch| !watch.is_finished())
    }

    /// Watches from this version of the list on, unless a watch is there already.
    pub fn watch(self: &Rc<Self>, from: u64) {
        if self.watches() {
            return;
        }
        let (watcher, address, moves) = (self.clone(), self.address.get(), self.moves.get());
        let watch = spawn_local(async move {
            let mut from = from;
            // Versions of one discovery mean nothing to the next: from that the whole list is wanted first.
            let known = || watcher.heard.get() == moves;
            while let Err(e) = watcher.run(address, Some(from).filter(|_| known())).await {
                tracing::warn!("discovery: the watch at {address} ended: {e}");
                // Discovery that goes down ends its watches. One that fell silent was cut off by a link of ours alone: the
                // fleet need not be spared, and by the time at which the module would ask, hosts may have drained for long.
                if e != SILENCE || moves != watcher.moves.get() {
                    break;
                }
                from = watcher.broker.list_version();
            }
            // Nobody waits for the end of one that was left, unless it was the last that told anything.
            if moves == watcher.moves.get() || !watcher.watches() {
                watcher.broker.watch_ended();
            }
        });
        *self.current.borrow_mut() = Some(watch);
    }

    /// Discovery is elsewhere from now on.
    pub fn moved(self: &Rc<Self>, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moves.set(self.moves.get() + 1);
            self.older.borrow_mut().extend(self.current.take());
            self.watch(0);
        }
    }

    async fn run(&self, discovery: SocketAddr, from: Option<u64>) -> Result<(), String> {
        let broker = &self.broker;
        let from = match from {
            Some(from) => from,
            None => {
                let mut body = call(broker, discovery, "/catalog/members").await?;
                let mut text = Vec::new();
                while let Some(more) = next(broker, &mut body).await? {
                    text.extend_from_slice(&more);
                    bounded(&text)?;
                }
                let listing: Listing = serde_json::from_slice(&text).map_err(unread)?;
                let index = listing.index;
                self.heard.set(self.moves.get());
                self.older.borrow_mut().drain(..).for_each(|old| old.abort());
                broker.update_list(ListKind::Full, listing);
                broker.list_confirmed();
                index
            }
        };
        let called_at = broker.now();
        tracing::debug!(from, "discovery: watch requested");
        let mut body = call(broker, discovery, &format!("/catalog/members?watch=1&from={from}")).await?;
        let waited_us = broker.now().saturating_sub(called_at);
        tracing::debug!(from, waited_us, "discovery: watch open");
        let mut held: Vec<u8> = Vec::new();
        while let Some(more) = next(broker, &mut body).await? {
            held.extend_from_slice(&more);
            // An object ends with its line, but may be indented over many.
            if more.contains(&b'\n') {
                let mut listings = serde_json::Deserializer::from_slice(&held).into_iter::<Listing>();
                for listing in listings.by_ref() {
                    match listing {
                        Ok(listing) => self.take(listing),
                        Err(e) if e.is_eof() => break,
                        Err(e) => return Err(unread(e)),
                    }
                }
                let whole = listings.byte_offset();
                held.drain(..whole);
                // The first line holds all that had changed; an empty one says that nothing has.
                if held.iter().all(u8::is_ascii_whitespace) {
                    self.broker.list_confirmed();
                }
            }
            bounded(&held)?;
        }
        Err("discovery closed it".into())
    }

    fn take(&self, listing: Listing) {
        let (index, entries) = (listing.index, listing.endpoints.len());
        tracing::debug!(index, snapshot = listing.snapshot, entries, "discovery: update received");
        // Versions only grow: an older one, of a copy that lags behind, would open what drains again.
        let newest = self.broker.list_version();
        if listing.index < newest {
            let index = listing.index;
            return tracing::warn!("discovery: version {index} of the list came after {newest}: passed over");
        }
        let kind = if listing.snapshot { ListKind::Full } else { ListKind::Changes };
        self.broker.update_list(kind, listing);
    }
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

fn unread(e: serde_json::Error) -> String {
    format!("what came is no list of instances: {e}")
}

fn bounded(held: &[u8]) -> Result<(), String> {
    match held.len() > LINE {
        true => Err("a line without an end".into()),
        false => Ok(()),
    }
}

/// One call; its answer's body.
async fn call(broker: &Rc<Broker>, discovery: SocketAddr, path: &str) -> Result<Incoming, String> {
    let call = async {
        let stream = TcpStream::connect(discovery).await.map_err(text)?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(text)?;
        // Its errors show in the answer; it ends with it.
        spawn_local(async { connection.await.unwrap_or_default() });
        let request = Request::get(path).header("host", discovery.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(text)?;
        sender.send_request(request).await.map_err(text)
    };
    let answer = tokio::select! {
        answer = call => answer?,
        () = broker.sleep(CALL.min(broker.max_poll_interval() / 2)) => return Err("no answer in time".into()),
    };
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(format!("answered {status}")),
    }
}

/// What comes next of a body; none at its end.
async fn next(broker: &Rc<Broker>, body: &mut Incoming) -> Result<Option<Bytes>, String> {
    let frame = tokio::select! {
        frame = body.frame() => frame,
        () = broker.sleep(SILENT) => return Err(SILENCE.into()),
    };
    match frame {
        Some(frame) => Ok(Some(frame.map_err(text)?.into_data().unwrap_or_default())),
        None => Ok(None),
    }
}
