//! Network I/O of the balancer: the platform's line protocol, XMPP, the operators' protocol, discovery, and connections
//! to instances. It takes no placement decisions; those come from the broker.

pub mod admin;
pub mod buffer;
pub mod discovery;
pub mod idle;
pub mod links;
pub mod listener;
pub mod platform;
pub mod relay;
pub mod turn;
pub mod xmpp;

use crate::broker::{Broker, NetworkRequest};
use discovery::DiscoveryWatcher;
use listener::Listener;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, JoinHandle};

/// Carries out the broker's orders to the network, indefinitely.
pub async fn run_orders(
    broker: Rc<Broker>,
    mut orders: UnboundedReceiver<NetworkRequest>,
    discovery: SocketAddr,
) {
    let probes: RefCell<BTreeMap<u32, JoinHandle<()>>> = RefCell::default();
    let watcher = DiscoveryWatcher::new(broker.clone(), discovery);
    while let Some(order) = orders.recv().await {
        match order {
            NetworkRequest::Probe(host, address) => {
                // At most one probe per instance: a late answer must not count for the next probe.
                let probe = spawn_local(links::probe(broker.clone(), host, address));
                if let Some(previous) = probes.borrow_mut().insert(host, probe) {
                    previous.abort();
                }
            }
            NetworkRequest::Watch(version) => watcher.watch(version),
            NetworkRequest::SetDiscoveryAddress(address) => watcher.set_address(address),
        }
    }
}

/// Number of connections accepted before the task yields, so that a burst of new connections does not hold up the
/// open ones.
const ACCEPTS_PER_YIELD: usize = 16;

/// Pause after a failed accept, in microseconds.
const ACCEPT_RETRY_DELAY: u64 = 20_000;

/// Accepts connections indefinitely, serves each in a task of its own and counts those that are open. A shortage of
/// descriptors, of the process or of the system, does not end it: it is logged once each time it begins, and
/// accepting pauses until connections have ended.
pub async fn accept_connections<F, S>(
    broker: Rc<Broker>,
    listener: Listener,
    connections: ConnectionCounter,
    client_kind: &'static str,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr) -> S,
    S: Future<Output = ()> + 'static,
{
    let (mut failing, mut accepts) = (false, 0);
    loop {
        accepts += 1;
        if accepts % ACCEPTS_PER_YIELD == 0 {
            tokio::task::yield_now().await;
        }
        match listener.accept(&broker).await {
            Ok((stream, from)) => {
                failing = false;
                // Lines are short and must not wait to be batched.
                let _ = stream.set_nodelay(true);
                let (guard, serving) = (connections.register(), serve(stream, from));
                spawn_local(async move {
                    serving.await;
                    drop(guard);
                });
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::error!("{client_kind}: cannot accept connections: {e}; trying again");
                }
                broker.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts open connections, from accept to close.
#[derive(Clone, Default)]
pub struct ConnectionCounter(Rc<Cell<usize>>);

/// Counts one connection as open until dropped.
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionCounter {
    /// Counts one more connection until the returned guard is dropped.
    pub fn register(&self) -> ConnectionGuard {
        self.0.set(self.0.get() + 1);
        ConnectionGuard(self.0.clone())
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
