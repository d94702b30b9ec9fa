//! Watches the list of instances at the discovery service: HTTP/1.1, with one JSON object per line for as long as the
//! response lasts. A watch that ends because discovery closed it is not reopened here: the broker is notified and
//! decides.

mod http;
mod watches;

use crate::api::ListKind;
use crate::broker::instances::Listing;
use crate::broker::Broker;
use http::{check_size, next_chunk, request, DiscoveryError};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{spawn_local, JoinHandle};
use watches::{Generation, Watches};

/// Path of the whole list.
const LIST_PATH: &str = "/catalog/members";

/// Keeps a watch open at the configured address. Watches at earlier addresses stay open until a later address has sent
/// the whole list, so that no change is missed in between.
pub struct DiscoveryWatcher {
    broker: Rc<Broker>,
    address: Cell<SocketAddr>,
    watches: RefCell<Watches<Watch>>,
}

/// An open watch, or a call for one.
struct Watch {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl DiscoveryWatcher {
    /// Returns a watcher without an open watch.
    pub fn new(broker: Rc<Broker>, address: SocketAddr) -> Rc<DiscoveryWatcher> {
        let watches = RefCell::new(Watches::new());
        Rc::new(DiscoveryWatcher { broker, address: Cell::new(address), watches })
    }

    /// Opens a watch at the configured address from this version of the list on, unless one is open. Its end is
    /// reported to the broker once.
    pub fn watch(self: &Rc<Self>, from: u64) {
        let mut watches = self.watches.borrow_mut();
        if watches.newest_is_open() {
            return;
        }
        let (address, generation) = (self.address.get(), watches.newest());
        let task = spawn_local(self.clone().run(address, generation, from));
        watches.opened(Watch { address, task });
        self.broker.watch_started();
    }

    /// Sets the address of discovery and opens a watch there.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.watches.borrow_mut().change_address();
            self.watch(0);
        }
    }

    /// Watches an address until the watch ends, and records its end.
    async fn run(self: Rc<Self>, address: SocketAddr, generation: Generation, mut from: u64) {
        while let Err(e) = self.watch_once(address, generation, from).await {
            tracing::warn!("discovery: the watch at {address} ended: {e}");
            // A discovery service that goes down closes its watches. A silent watch means that only this balancer's
            // link failed. It is reopened at once: the rest of the fleet does not reconnect at the same time, and
            // until the decision module would request a new watch, hosts may have been draining for long.
            if !matches!(e, DiscoveryError::Silent) || generation != self.watches.borrow().newest() {
                break;
            }
            from = self.broker.list_version();
        }
        let is_newest = self.watches.borrow_mut().ended(generation);
        if is_newest {
            self.broker.watch_ended();
        }
    }

    /// Requests the whole list, unless the one in use is from this address, and follows its changes.
    async fn watch_once(
        &self,
        address: SocketAddr,
        generation: Generation,
        from: u64,
    ) -> Result<(), DiscoveryError> {
        let has_list = self.watches.borrow().has_list(generation);
        let from = if has_list { from } else { self.fetch_list(address, generation).await? };
        self.follow_changes(address, from).await
    }

    /// Requests the whole list, applies it, closes the watches that it supersedes and returns its version.
    async fn fetch_list(&self, address: SocketAddr, generation: Generation) -> Result<u64, DiscoveryError> {
        let listing = self.whole_list(address).await?;
        let index = listing.index;
        for superseded in self.watches.borrow_mut().list_received(generation) {
            let earlier = superseded.address;
            tracing::info!("discovery: the watch at {earlier} is closed: {address} has sent the whole list");
            superseded.task.abort();
        }
        self.broker.update_list(ListKind::Full, listing);
        self.broker.list_confirmed();
        Ok(index)
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
