//! Connections without a command, for both client protocols and for operators: they have not sent a whole request
//! yet, or have had their answer and have yet to close. Their number is bounded, and a new one evicts the oldest:
//! hundreds of connections that send nothing must take neither descriptors nor accepts from those that do.

use crate::api::Micros;
use crate::broker::Broker;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::yield_now;

/// Time allowed for a whole first line or stream header, in microseconds. A sender that trickles bytes does not extend
/// it.
pub const FIRST_LINE_TIMEOUT: Micros = 2_500_000;
/// Longest wait for a client to close after its last line was written, in microseconds.
const CLOSE_TIMEOUT: Micros = 1_000_000;

/// A bounded set of connections without a command.
pub struct IdleConnections {
    broker: Rc<Broker>,
    capacity: usize,
    /// Slots in use by number, thus oldest first: whether the connection may still send a request, and its eviction
    /// signal.
    slots: RefCell<BTreeMap<u64, (bool, Rc<Notify>)>>,
    next_number: Cell<u64>,
}

impl IdleConnections {
    /// Returns an empty set with room for `capacity` connections, at least one.
    pub fn new(broker: Rc<Broker>, capacity: usize) -> Rc<IdleConnections> {
        Rc::new(IdleConnections {
            broker,
            capacity: capacity.max(1),
            slots: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    /// Returns the broker that the connections belong to.
    pub fn broker(&self) -> &Rc<Broker> {
        &self.broker
    }

    /// Takes a slot for a new connection; when all are in use, the oldest connection is evicted.
    pub fn acquire_slot(self: &Rc<Self>) -> IdleSlot {
        self.insert(true)
    }

    fn insert(self: &Rc<Self>, awaits_request: bool) -> IdleSlot {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let evicted = Rc::new(Notify::new());
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= self.capacity {
            if let Some((_, (_, oldest))) = slots.pop_first() {
                oldest.notify_one();
            }
        }
        slots.insert(number, (awaits_request, evicted.clone()));
        IdleSlot { idle: self.clone(), number, evicted }
    }

    /// Evicts all connections that may still send a request: each is answered and closed gracefully.
    pub fn evict_waiting(&self) {
        self.slots
            .borrow()
            .values()
            .filter(|(awaits_request, _)| *awaits_request)
            .for_each(|(_, evicted)| evicted.notify_one());
    }

    /// Waits until `closed` completes, for a client that has had its last line; ends early on a timeout or when
    /// the slot is needed for another connection.
    pub async fn await_close(self: &Rc<Self>, closed: impl Future<Output = ()>) {
        let slot = self.insert(false);
        let _ = slot.receive(self.broker.now() + CLOSE_TIMEOUT, closed).await;
    }
}

/// Why a connection loses its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// Its time limit has passed.
    TimedOut,
    /// The slot is needed for another connection, or the process is ending.
    Evicted,
}

/// A slot in the set; released when dropped.
pub struct IdleSlot {
    idle: Rc<IdleConnections>,
    number: u64,
    evicted: Rc<Notify>,
}

impl IdleSlot {
    /// Waits for something from the peer until `at` or until the connection is evicted. What has arrived by then is still
    /// received: deadlines may be processed before the sockets are looked at, after the process was held up.
    pub async fn receive<T>(&self, at: Micros, received: impl Future<Output = T>) -> Result<T, SlotEnd> {
        let mut received = std::pin::pin!(received);
        let end = tokio::select! {
            biased;
            received = &mut received => return Ok(received),
            end = self.ended(at) => end,
        };
        // The runtime looks at all sockets before a task that has yielded runs again.
        yield_now().await;
        tokio::select! {
            biased;
            received = &mut received => Ok(received),
            () = std::future::ready(()) => Err(end),
        }
    }

    /// Waits until `at` or until the connection is evicted, and returns which came first.
    async fn ended(&self, at: Micros) -> SlotEnd {
        tokio::select! {
            () = self.idle.broker.sleep_until(at) => SlotEnd::TimedOut,
            () = self.evicted.notified() => SlotEnd::Evicted,
        }
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.idle.slots.borrow_mut().remove(&self.number);
    }
}
