//! Bounds the work that one connection does before other tasks run. All connections, deadlines and signals share one
//! thread, and a wait for a socket that is always ready never suspends its task. Every loop over a connection's socket
//! or its buffered units takes its steps from a [`TurnBudget`].

use std::cell::Cell;
use tokio::task::yield_now;

/// Bytes that a connection may move before its task yields.
const BYTES_PER_TURN: usize = 16 * 1024;
/// Bytes that a step counts for at least: a socket operation costs about as much as this many bytes.
const MIN_STEP_BYTES: usize = 1024;

/// Counts what a connection has moved since its task last yielded.
#[derive(Debug, Default)]
pub struct TurnBudget {
    spent_bytes: Cell<usize>,
}

impl TurnBudget {
    /// Begins one step, a socket operation or a unit of a stream, after a yield where the turn is used up. Cancel-safe: the
    /// turn stays used up until the task has yielded.
    pub async fn take_step(&self) {
        if self.spent_bytes.get() >= BYTES_PER_TURN {
            yield_now().await;
            self.spent_bytes.set(0);
        }
        self.record_bytes(MIN_STEP_BYTES);
    }

    /// Counts bytes that a step has moved.
    pub fn record_bytes(&self, bytes: usize) {
        self.spent_bytes.set(self.spent_bytes.get().saturating_add(bytes));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use std::task::{Context, Waker};

    fn is_ready(step: impl Future<Output = ()>) -> bool {
        Box::pin(step).as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// A connection whose socket is always ready yields after a bounded number of steps, also where each wait for its turn
    /// is cancelled by another event.
    #[test]
    fn a_task_yields_after_a_bounded_number_of_steps() {
        let budget = TurnBudget::default();
        assert!((0..BYTES_PER_TURN / MIN_STEP_BYTES).all(|_| is_ready(budget.take_step())));
        assert!((0..10).all(|_| !is_ready(budget.take_step())), "a cancelled wait does not renew the turn");
        let mut wait = Box::pin(budget.take_step());
        let mut poll = || wait.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready();
        assert_eq!((poll(), poll()), (false, true));
    }

    #[test]
    fn a_task_yields_after_a_bounded_number_of_bytes() {
        let budget = TurnBudget::default();
        assert!(is_ready(budget.take_step()));
        budget.record_bytes(BYTES_PER_TURN);
        assert!(!is_ready(budget.take_step()));
    }
}
