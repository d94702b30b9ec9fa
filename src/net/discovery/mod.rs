//! Watches the list of instances at the discovery service: HTTP/1.1, with one JSON object per line for as long as the
//! response lasts. A watch that ends because discovery closed it is not reopened here: the broker is notified and
//! decides.

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

/// Time limit for the response header of a request, in microseconds.
const RESPONSE_TIMEOUT: u64 = 3_000_000;
/// Longest silence of a watch before it counts as cut off though its connection is open, in microseconds. Discovery
/// sends at least an empty line every 2 s, and changes of the list count as notified a few seconds after they were
/// made.
const SILENCE_TIMEOUT: u64 = 4_200_000;
/// Error of a watch that exceeded [`SILENCE_TIMEOUT`].
const SILENCE_ERROR: &str = "it sent nothing within the time limit";
/// Longest list or line accepted, in bytes: enough for thousands of instances.
const MAX_LISTING_BYTES: usize = 4 << 20;

/// Keeps one watch open. After the address of discovery has changed, watches at earlier addresses stay open until the
/// new address has sent the whole list, so that no change is missed in between.
pub struct DiscoveryWatcher {
    broker: Rc<Broker>,
    address: Cell<SocketAddr>,
    /// Number of changes of the address.
    address_changes: Cell<u64>,
    /// Value of `address_changes` when discovery last sent the whole list.
    change_at_last_list: Cell<u64>,
    current: RefCell<Option<JoinHandle<()>>>,
    previous: RefCell<Vec<JoinHandle<()>>>,
}

impl DiscoveryWatcher {
    /// Returns a watcher without an open watch.
    pub fn new(broker: Rc<Broker>, address: SocketAddr) -> Rc<DiscoveryWatcher> {
        let (address_changes, change_at_last_list) = (Cell::new(0), Cell::new(0));
        let (current, previous) = (RefCell::default(), RefCell::default());
        Rc::new(DiscoveryWatcher {
            broker,
            address: Cell::new(address),
            address_changes,
            change_at_last_list,
            current,
            previous,
        })
    }

    fn is_watching(&self) -> bool {
        self.current.borrow().as_ref().is_some_and(|watch| !watch.is_finished())
    }

    /// Opens a watch from this version of the list on, unless one is open.
    pub fn watch(self: &Rc<Self>, from: u64) {
        if self.is_watching() {
            return;
        }
        let (watcher, address, change) = (self.clone(), self.address.get(), self.address_changes.get());
        let watch = spawn_local(async move {
            let mut from = from;
            // Versions are not comparable between discovery services: a new one has to send the whole list first.
            let list_received = || watcher.change_at_last_list.get() == change;
            while let Err(e) = watcher.run(address, Some(from).filter(|_| list_received())).await {
                tracing::warn!("discovery: the watch at {address} ended: {e}");
                // A discovery service that goes down closes its watches. A silent watch means that only this balancer's
                // link failed. It is reopened at once: the rest of the fleet does not reconnect at the same time, and
                // until the decision module would request a new watch, hosts may have been draining for long.
                if e != SILENCE_ERROR || change != watcher.address_changes.get() {
                    break;
                }
                from = watcher.broker.list_version();
            }
            // The end of a watch at an earlier address is reported only if no other watch is open.
            if change == watcher.address_changes.get() || !watcher.is_watching() {
                watcher.broker.watch_ended();
            }
        });
        *self.current.borrow_mut() = Some(watch);
    }

    /// Sets the address of discovery and opens a watch there.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changes.set(self.address_changes.get() + 1);
            self.previous.borrow_mut().extend(self.current.take());
            self.watch(0);
        }
    }

    async fn run(&self, discovery: SocketAddr, from: Option<u64>) -> Result<(), String> {
        let broker = &self.broker;
        let from = match from {
            Some(from) => from,
            None => {
                let mut body = request(broker, discovery, "/catalog/members").await?;
                let mut body_bytes = Vec::new();
                while let Some(chunk) = next_chunk(broker, &mut body).await? {
                    body_bytes.extend_from_slice(&chunk);
                    check_size(&body_bytes)?;
                }
                let listing: Listing = serde_json::from_slice(&body_bytes).map_err(parse_error)?;
                let index = listing.index;
                self.change_at_last_list.set(self.address_changes.get());
                self.previous.borrow_mut().drain(..).for_each(|watch| watch.abort());
                broker.update_list(ListKind::Full, listing);
                broker.list_confirmed();
                index
            }
        };
        let requested_at = broker.now();
        tracing::debug!(from, "discovery: watch requested");
        let mut body = request(broker, discovery, &format!("/catalog/members?watch=1&from={from}")).await?;
        let waited_us = broker.now().saturating_sub(requested_at);
        tracing::debug!(from, waited_us, "discovery: watch open");
        let mut pending: Vec<u8> = Vec::new();
        while let Some(chunk) = next_chunk(broker, &mut body).await? {
            pending.extend_from_slice(&chunk);
            // The end of an object is the end of a line, but an object may span several lines.
            if chunk.contains(&b'\n') {
                let mut listings = serde_json::Deserializer::from_slice(&pending).into_iter::<Listing>();
                for listing in listings.by_ref() {
                    match listing {
                        Ok(listing) => self.apply_update(listing),
                        Err(e) if e.is_eof() => break,
                        Err(e) => return Err(parse_error(e)),
                    }
                }
                let parsed = listings.byte_offset();
                pending.drain(..parsed);
                // The first line holds all changes since the requested version; an empty line states that there are
                // none.
                if pending.iter().all(u8::is_ascii_whitespace) {
                    self.broker.list_confirmed();
                }
            }
            check_size(&pending)?;
        }
        Err("discovery closed the connection".into())
    }

    fn apply_update(&self, listing: Listing) {
        let (index, entries) = (listing.index, listing.endpoints.len());
        tracing::debug!(index, snapshot = listing.snapshot, entries, "discovery: update received");
        // Versions only grow: an older one, from a replica that lags behind, would reopen draining instances.
        let newest = self.broker.list_version();
        if listing.index < newest {
            let index = listing.index;
            return tracing::warn!("discovery: version {index} of the list came after {newest}: ignored");
        }
        let kind = if listing.snapshot { ListKind::Full } else { ListKind::Changes };
        self.broker.update_list(kind, listing);
    }
}

fn error_text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

fn parse_error(e: serde_json::Error) -> String {
    format!("not a valid list of instances: {e}")
}

fn check_size(pending: &[u8]) -> Result<(), String> {
    match pending.len() > MAX_LISTING_BYTES {
        true => Err("a list or line exceeds the size limit".into()),
        false => Ok(()),
    }
}

/// Sends a request and returns the body of its response.
async fn request(broker: &Rc<Broker>, discovery: SocketAddr, path: &str) -> Result<Incoming, String> {
    let response = async {
        let stream = TcpStream::connect(discovery).await.map_err(error_text)?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(error_text)?;
        // Errors of the connection also fail the response; the task ends with the connection.
        spawn_local(async { connection.await.unwrap_or_default() });
        let request = Request::get(path).header("host", discovery.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(error_text)?;
        sender.send_request(request).await.map_err(error_text)
    };
    let response = tokio::select! {
        response = response => response?,
        () = broker.sleep(RESPONSE_TIMEOUT.min(broker.max_poll_interval() / 2)) => {
            return Err("no response within the time limit".into())
        }
    };
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(format!("unexpected status {status}")),
    }
}

/// Returns the next part of a body; none at its end. Fails after [`SILENCE_TIMEOUT`] without data.
async fn next_chunk(broker: &Rc<Broker>, body: &mut Incoming) -> Result<Option<Bytes>, String> {
    let frame = tokio::select! {
        frame = body.frame() => frame,
        () = broker.sleep(SILENCE_TIMEOUT) => return Err(SILENCE_ERROR.into()),
    };
    match frame {
        Some(frame) => Ok(Some(frame.map_err(error_text)?.into_data().unwrap_or_default())),
        None => Ok(None),
    }
}
