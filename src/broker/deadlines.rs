//! All deadlines of the process: one sorted map, processed by one task. Nothing else sleeps.

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

/// The clock of the decision module: Unix time at the start of the process, advanced by a monotonic clock. It can be
/// compared with the start times in the instance list, which are Unix times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Micros,
    started: Instant,
}

impl Clock {
    /// Returns a clock that starts at the current Unix time.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: unix.as_micros() as Micros, started: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.origin.saturating_add(self.started.elapsed().as_micros() as Micros)
    }

    fn instant(&self, at: Micros) -> Instant {
        // A deadline that the clock cannot represent is treated as one in a day: the task then checks again.
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
    /// The task that awaits a [`Sleep`].
    Task(Option<Waker>),
    /// Token of a timer that the decision module set.
    Timer(u64),
}

/// Deadlines in the order of time.
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

    /// Sets a timer: its token is passed to `on_timer` of [`Deadlines::run`] at this time.
    pub fn add_timer(&self, at: Micros, token: u64) {
        self.add(at, Waiter::Timer(token));
    }

    /// Returns a future that completes at this time.
    pub fn sleep_until(self: &Rc<Self>, at: Micros) -> Sleep {
        Sleep { key: self.add(at, Waiter::Task(None)), deadlines: self.clone(), expired: false }
    }

    /// Processes deadlines; does not return. All deadlines that are due are processed in one pass.
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

/// A future that completes at a deadline; dropping it removes the deadline.
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
                // Removed by `run`: it has expired.
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
