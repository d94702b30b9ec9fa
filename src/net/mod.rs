//! The network round the core: the platform's lines, XMPP, discovery, and the links to instances.

pub mod admin;
pub mod buffer;
pub mod discovery;
pub mod inherited;
pub mod links;
pub mod lobby;
pub mod platform;
pub mod relay;
pub mod xmpp;

use crate::broker::{Broker, NetworkRequest};
use discovery::Watcher;
use inherited::Listener;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, JoinHandle};

/// Does what the core asks of the network, for ever.
pub async fn orders(
    broker: Rc<Broker>,
    mut ordered: UnboundedReceiver<NetworkRequest>,
    discovery: SocketAddr,
) {
    let probes: RefCell<BTreeMap<u32, JoinHandle<()>>> = RefCell::default();
    let watcher = Watcher::new(broker.clone(), discovery);
    while let Some(order) = ordered.recv().await {
        match order {
            NetworkRequest::Probe(host, address) => {
                // One probe an instance: an answer that comes after its time must not count for the next.
                let probe = spawn_local(links::probe(broker.clone(), host, address));
                if let Some(old) = probes.borrow_mut().insert(host, probe) {
                    old.abort();
                }
            }
            NetworkRequest::Watch(from) => watcher.watch(from),
            NetworkRequest::SetDiscoveryAddress(address) => watcher.moved(address),
        }
    }
}

/// So many connections are accepted in a row before those that are there have their turn.
const ROW: usize = 16;

/// Accepts for ever, and counts what is open. A lack of descriptors, ours or the system's, is survived: it is logged once each time it
/// begins, and accepting pauses until connections have ended.
pub async fn accept<F, S>(
    broker: Rc<Broker>,
    listener: Listener,
    connections: Connections,
    what: &'static str,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr) -> S,
    S: Future<Output = ()> + 'static,
{
    let (mut failing, mut row) = (false, 0);
    loop {
        row += 1;
        if row % ROW == 0 {
            tokio::task::yield_now().await;
        }
        match listener.accept(&broker).await {
            Ok((stream, from)) => {
                failing = false;
                // Lines are short and wanted at once.
                let _ = stream.set_nodelay(true);
                let (connection, serving) = (connections.one(), serve(stream, from));
                spawn_local(async move {
                    serving.await;
                    drop(connection);
                });
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::error!("{what}: cannot accept connections: {e}; trying again");
                }
                broker.sleep(20_000).await;
            }
        }
    }
}

/// How many connections are open, from their acceptance to their end.
#[derive(Clone, Default)]
pub struct Connections(Rc<Cell<usize>>);

/// One of them, until it is dropped.
pub struct Connection(Rc<Cell<usize>>);

impl Connections {
    /// One more.
    pub fn one(&self) -> Connection {
        self.0.set(self.0.get() + 1);
        Connection(self.0.clone())
    }

    /// How many there are.
    pub fn open(&self) -> usize {
        self.0.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
