//! Watches the list of instances at the discovery service: HTTP/1.1, with one JSON object per line for as long as the
//! response lasts. A watch that ends because discovery closed it is not reopened here: the broker is notified and
//! decides.

mod http;

use crate::api::ListKind;
use crate::broker::instances::Listing;
use crate::broker::Broker;
use http::{check_size, next_chunk, request, DiscoveryError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{spawn_local, JoinHandle};

/// Path of the whole list.
const LIST_PATH: &str = "/catalog/members";

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
                if !matches!(e, DiscoveryError::Silent) || change != watcher.address_changes.get() {
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
        self.broker.watch_started();
    }

    /// Sets the address of discovery and opens a watch there.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changes.set(self.address_changes.get() + 1);
            self.previous.borrow_mut().extend(self.current.take());
            self.watch(0);
        }
    }

    async fn run(&self, discovery: SocketAddr, from: Option<u64>) -> Result<(), DiscoveryError> {
        let from = match from {
            Some(from) => from,
            None => {
                let listing = self.whole_list(discovery).await?;
                let index = listing.index;
                self.change_at_last_list.set(self.address_changes.get());
                self.previous.borrow_mut().drain(..).for_each(|watch| watch.abort());
                self.broker.update_list(ListKind::Full, listing);
                self.broker.list_confirmed();
                index
            }
        };
        self.follow_changes(discovery, from).await
    }

    /// Requests the whole list.
    async fn whole_list(&self, discovery: SocketAddr) -> Result<Listing, DiscoveryError> {
        let mut body = request(&self.broker, discovery, LIST_PATH).await?;
        let mut received = Vec::new();
        while let Some(chunk) = next_chunk(&self.broker, &mut body).await? {
            received.extend_from_slice(&chunk);
            check_size(received.len())?;
        }
        Ok(serde_json::from_slice(&received)?)
    }

    /// Opens a watch from this version of the list on and applies its updates until it ends.
    async fn follow_changes(&self, discovery: SocketAddr, from: u64) -> Result<(), DiscoveryError> {
        let broker = &self.broker;
        let requested_at = broker.now();
        tracing::debug!(from, "discovery: watch requested");
        let mut body = request(broker, discovery, &format!("{LIST_PATH}?watch=1&from={from}")).await?;
        let waited_us = broker.now().saturating_sub(requested_at);
        tracing::debug!(from, waited_us, "discovery: watch open");
        let mut pending: Vec<u8> = Vec::new();
        while let Some(chunk) = next_chunk(broker, &mut body).await? {
            pending.extend_from_slice(&chunk);
            // The end of an object is the end of a line, but an object may span several lines.
            if chunk.contains(&b'\n') {
                self.apply_complete_updates(&mut pending)?;
                // The first line holds all changes since the requested version; an empty line states that there are
                // none.
                if pending.iter().all(u8::is_ascii_whitespace) {
                    broker.list_confirmed();
                }
            }
            check_size(pending.len())?;
        }
        Err(DiscoveryError::Closed)
    }

    /// Applies the complete objects at the start of `pending` and removes them.
    fn apply_complete_updates(&self, pending: &mut Vec<u8>) -> Result<(), DiscoveryError> {
        let mut listings = serde_json::Deserializer::from_slice(pending).into_iter::<Listing>();
        for listing in listings.by_ref() {
            match listing {
                Ok(listing) => self.apply_update(listing),
                Err(e) if e.is_eof() => break,
                Err(e) => return Err(e.into()),
            }
        }
        let parsed = listings.byte_offset();
        pending.drain(..parsed);
        Ok(())
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
