//! The lobby, of both fronts: connections that hold no command, since they have not asked yet or have had
//! their answer and are waited for to close. It has few seats, and whoever has sat longest leaves first: hundreds
//! of connections that say nothing must take neither descriptors nor accepts from those that ask.

use crate::api::Micros;
use crate::broker::Broker;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection without a whole first line is ended after this long, however slowly it drips.
pub const FIRST: Micros = 2_500_000;
/// How long a client that has had its last line is waited for to close.
const LINGER: Micros = 1_000_000;

/// The seats.
pub struct Lobby {
    broker: Rc<Broker>,
    seats: usize,
    /// Who sits there, in the order in which they came, and whether they may ask still.
    seated: RefCell<BTreeMap<u64, (bool, Rc<Notify>)>>,
    last: Cell<u64>,
}

impl Lobby {
    /// One with so many seats.
    pub fn new(broker: Rc<Broker>, seats: usize) -> Rc<Lobby> {
        Rc::new(Lobby { broker, seats: seats.max(1), seated: RefCell::default(), last: Cell::new(0) })
    }

    /// The core.
    pub fn broker(&self) -> &Rc<Broker> {
        &self.broker
    }

    /// A seat for a new connection; where there is none, the one that has sat longest is called away.
    pub fn seat(self: &Rc<Self>) -> Seat {
        self.sit(true)
    }

    fn sit(self: &Rc<Self>, asks: bool) -> Seat {
        let number = self.last.replace(self.last.get() + 1);
        let called = Rc::new(Notify::new());
        let mut seated = self.seated.borrow_mut();
        if seated.len() >= self.seats {
            if let Some((_, (_, oldest))) = seated.pop_first() {
                oldest.notify_one();
            }
        }
        seated.insert(number, (asks, called.clone()));
        Seat { lobby: self.clone(), number, called }
    }

    /// Calls away all who may ask still: each has its answer and a soft end.
    pub fn clear(&self) {
        self.seated.borrow().values().filter(|(asks, _)| *asks).for_each(|(_, called)| called.notify_one());
    }

    /// Waits for a client that has had its last line, in `closed`, and no longer than that is worth.
    pub async fn linger(self: &Rc<Self>, closed: impl std::future::Future<Output = ()>) {
        let seat = self.sit(false);
        tokio::select! {
            biased;
            () = closed => {}
            _ = seat.over(self.broker.now() + LINGER) => {}
        }
    }
}

/// Why a seat is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// Its time is up.
    Late,
    /// It is wanted for another.
    Wanted,
}

/// A seat; free again when this is dropped.
pub struct Seat {
    lobby: Rc<Lobby>,
    number: u64,
    called: Rc<Notify>,
}

impl Seat {
    /// Ends at that time, or when the seat is wanted.
    pub async fn over(&self, at: Micros) -> Over {
        tokio::select! {
            () = self.lobby.broker.sleep_until(at) => Over::Late,
            () = self.called.notified() => Over::Wanted,
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.lobby.seated.borrow_mut().remove(&self.number);
    }
}
