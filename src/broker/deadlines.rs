//! All deadlines of the program: one sorted structure, swept by one task. Nothing else sleeps.

use crate::api::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The time as the module counts it: Unix time when the program started, and from there on a clock that only
/// goes forward. The list's start times are Unix times, so the two compare.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Micros,
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: unix.as_micros() as Micros, started: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.origin.saturating_add(self.started.elapsed().as_micros() as Micros)
    }

    fn instant(&self, at: Micros) -> Instant {
        // A deadline beyond any clock is as good as one in a day: the sweep then looks again.
        let span = Duration::from_micros(at.saturating_sub(self.origin));
        self.started + span.min(self.started.elapsed() + Duration::from_secs(86_400))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

type Key = (Micros, u64);

enum Waiter {
    /// A task waits in a [`Sleep`].
    Task(Option<Waker>),
    /// The module asked to be on_timer.
    Timer(u64),
}

/// The sorted structure.
#[derive(Default)]
pub struct Deadlines {
    waiters: RefCell<BTreeMap<Key, Waiter>>,
    last_id: Cell<u64>,
    first_changed: Notify,
}

impl Deadlines {
    fn add(&self, at: Micros, waiter: Waiter) -> Key {
        let key = (at, self.last_id.replace(self.last_id.get() + 1));
        let mut waiters = self.waiters.borrow_mut();
        let first = waiters.first_key_value().is_none_or(|(first, _)| key < *first);
        waiters.insert(key, waiter);
        if first {
            self.first_changed.notify_one();
        }
        key
    }

    /// Has `reminders` told of this token at that time.
    pub fn add_timer(&self, at: Micros, token: u64) {
        self.add(at, Waiter::Timer(token));
    }

    /// Ends at that time.
    pub fn sleep_until(self: &Rc<Self>, at: Micros) -> Sleep {
        Sleep { key: self.add(at, Waiter::Task(None)), deadlines: self.clone(), expired: false }
    }

    /// Sweeps for ever: everything that is due at the turn ends in it.
    pub async fn run(&self, clock: Clock, mut on_timer: impl FnMut(u64)) {
        loop {
            let first = self.waiters.borrow().first_key_value().map(|(&(at, _), _)| at);
            let now = clock.now();
            match first {
                Some(at) if at <= now => {}
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(clock.instant(at)) => {}
                        () = self.first_changed.notified() => continue,
                    }
                }
                None => {
                    self.first_changed.notified().await;
                    continue;
                }
            }
            let due = {
                let mut waiters = self.waiters.borrow_mut();
                let later = waiters.split_off(&(clock.now() + 1, 0));
                std::mem::replace(&mut *waiters, later)
            };
            for waiter in due.into_values() {
                match waiter {
                    Waiter::Task(waker) => waker.into_iter().for_each(Waker::wake),
                    Waiter::Timer(token) => on_timer(token),
                }
            }
            tokio::task::yield_now().await;
        }
    }
}

/// A future that ends at a deadline; dropping it takes the deadline back.
pub struct Sleep {
    key: Key,
    deadlines: Rc<Deadlines>,
    expired: bool,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if !self.expired {
            let is_waiting = match self.deadlines.waiters.borrow_mut().get_mut(&self.key) {
                Some(Waiter::Task(waker)) => {
                    *waker = Some(cx.waker().clone());
                    true
                }
                // Swept away: it is over.
                _ => false,
            };
            self.expired = !is_waiting;
        }
        if self.expired {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.deadlines.waiters.borrow_mut().remove(&self.key);
    }
}
