//! The serving state of this balancer: starting, serving, draining on an operator's command, or shutting down.
//!
//! Guaranteed: while the balancer drains or shuts down, every established connection is selected for a move by the end
//! of the drain or shutdown, spread evenly over that time. Connections that are established after the end are selected
//! at once. During a shutdown, requests get their answers, and the waits of moved connections end, before the process may
//! be killed. Not guaranteed: that a client that is asked to move disconnects.
//!
//! | state | LEAVE | JOIN | SIGTERM |
//! | --- | --- | --- | --- |
//! | serving | draining | no change | shutting down |
//! | draining | no change, same schedule | serving; connections already asked to move still do, the others stay | shutting down; moves end no later than those of the drain |
//! | shutting down | no change | refused | no change |

use crate::api::Micros;

/// Time from the start of a drain to its first move: by then the client-facing load balancer has received the negative
/// health check and sends no moved client back.
const DRAIN_MOVE_DELAY: Micros = 400_000;
/// Time from the start of a drain to its last move. The platform counts connections that remain after 4 s as lost.
const DRAIN_DURATION: Micros = 3_000_000;

/// Time after the last move in which moved connections are closed. The process may be killed 0.7 s after the last move.
const CLOSE_GRACE: Micros = 600_000;
/// Part of [`CLOSE_GRACE`] that is kept for the last message to the client and the close, when data in flight or the
/// answer to a request is waited for.
const CLOSE_RESERVE: Micros = 300_000;
/// Time that a connection is given in any case.
const MIN_WAIT: Micros = 100_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Serving,
    Draining,
    /// Until the process ends; `was_draining` if it was draining before.
    ShuttingDown {
        was_draining: bool,
        /// Planned end of the shutdown. The process may be killed 0.7 s later.
        planned_end: Micros,
    },
}

/// The time in which connections are asked to move, and the progress.
#[derive(Clone, Copy, Debug, Default)]
struct MoveSchedule {
    from: Micros,
    end: Micros,
    /// Time up to which moves were counted, and the fraction of a move that is left over.
    counted_until: Micros,
    fraction: f64,
}

/// Error: the process is shutting down and does not return to serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShuttingDown;

/// State machine of serving, draining and shutting down.
#[derive(Debug, Default)]
pub struct Drain {
    /// Whether the process accepts clients yet.
    started: bool,
    state: State,
    schedule: MoveSchedule,
}

impl Drain {
    /// Records that the process accepts clients from now on.
    pub fn start_serving(&mut self) {
        self.started = true;
    }

    /// Returns whether this process is ready to serve.
    pub fn is_serving(&self) -> bool {
        self.started && self.state == State::Serving
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.state, State::ShuttingDown { .. })
    }

    /// Returns whether connections may have to be moved.
    pub fn is_moving_connections(&self) -> bool {
        self.state != State::Serving
    }

    /// Returns whether health checks of the client-facing load balancer get a positive answer. They do during a
    /// shutdown that did not start in a drain: the platform knows of the shutdown already, and where a successor shares
    /// the socket, a negative answer would be taken for the successor's.
    pub fn passes_health_checks(&self) -> bool {
        !matches!(self.state, State::Draining | State::ShuttingDown { was_draining: true, .. })
    }

    /// Handles LEAVE. Returns whether a drain has started.
    pub fn start_drain(&mut self, now: Micros) -> bool {
        let begins = self.state == State::Serving;
        if begins {
            self.state = State::Draining;
            self.schedule_moves(now.saturating_add(DRAIN_MOVE_DELAY), now.saturating_add(DRAIN_DURATION));
        }
        begins
    }

    /// Handles JOIN. Returns whether the state has changed.
    pub fn join(&mut self) -> Result<bool, ShuttingDown> {
        match self.state {
            State::ShuttingDown { .. } => Err(ShuttingDown),
            state => {
                self.state = State::Serving;
                Ok(state != State::Serving)
            }
        }
    }

    /// Handles SIGTERM: connections are asked to move between these times.
    pub fn shut_down(&mut self, from: Micros, end: Micros) {
        match self.state {
            State::Serving => {
                self.state = State::ShuttingDown { was_draining: false, planned_end: end };
                self.schedule_moves(from, end);
            }
            State::Draining => {
                self.state = State::ShuttingDown { was_draining: true, planned_end: end };
                self.schedule.end = self.schedule.end.min(end);
            }
            State::ShuttingDown { .. } => {}
        }
    }

    /// Returns the time by which every request must have its final answer; none unless the process is shutting down.
    pub fn answer_limit(&self) -> Option<Micros> {
        match self.state {
            State::ShuttingDown { planned_end, .. } => {
                Some(planned_end.saturating_add(CLOSE_GRACE - CLOSE_RESERVE))
            }
            State::Serving | State::Draining => None,
        }
    }

    /// Returns the time by which every connection must be closed; none unless the process is shutting down.
    pub fn close_limit(&self) -> Option<Micros> {
        match self.state {
            State::ShuttingDown { planned_end, .. } => Some(planned_end.saturating_add(CLOSE_GRACE)),
            State::Serving | State::Draining => None,
        }
    }

    /// Returns until when a connection that is being moved may wait for data in flight, up to `timeout`. All such waits
    /// share the time that is left until the process may be killed.
    pub fn end_of_data_wait(&self, now: Micros, timeout: Micros) -> Micros {
        self.end_of_wait(now, timeout, CLOSE_GRACE - CLOSE_RESERVE)
    }

    /// Returns until when a connection may wait for its peer to close, up to `timeout`.
    pub fn end_of_close_wait(&self, now: Micros, timeout: Micros) -> Micros {
        self.end_of_wait(now, timeout, CLOSE_GRACE)
    }

    fn end_of_wait(&self, now: Micros, timeout: Micros, grace: Micros) -> Micros {
        let full = now.saturating_add(timeout);
        let budget_end = self.schedule.end.saturating_add(grace);
        let is_bounded = match self.state {
            State::Serving => false,
            // Clients that come after the end of a drain are not in its schedule, and the process goes on.
            State::Draining => now <= self.schedule.end.saturating_add(CLOSE_GRACE),
            State::ShuttingDown { .. } => true,
        };
        if !is_bounded {
            return full;
        }
        full.min(budget_end.max(now.saturating_add(MIN_WAIT)))
    }

    fn schedule_moves(&mut self, from: Micros, end: Micros) {
        self.schedule = MoveSchedule { from, end, counted_until: from, fraction: 0.0 };
    }

    /// Returns the number of established connections to ask to move now.
    pub fn due_moves(&mut self, now: Micros, established: usize) -> usize {
        if !self.is_moving_connections() || now < self.schedule.from {
            return 0;
        }
        let schedule = &mut self.schedule;
        if now >= schedule.end {
            return established;
        }
        let elapsed_share = now.saturating_sub(schedule.counted_until) as f64
            / schedule.end.saturating_sub(schedule.counted_until).max(1) as f64;
        schedule.counted_until = now.max(schedule.counted_until);
        schedule.fraction =
            if established == 0 { 0.0 } else { schedule.fraction + elapsed_share * established as f64 };
        let moves = (schedule.fraction as usize).min(established);
        schedule.fraction -= moves as f64;
        moves
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Leave,
        Join,
        Term,
        /// This number of clients is established.
        Come(usize),
    }

    fn steps() -> impl Strategy<Value = Vec<(Micros, Step)>> {
        let step = prop_oneof![
            Just(Step::Leave),
            Just(Step::Join),
            Just(Step::Term),
            (0usize..300).prop_map(Step::Come),
        ];
        proptest::collection::vec((1_000u64..900_000, step), 1..40)
    }

    proptest! {
        /// Guards against a connection that is kept past the end of a drain or shutdown, one that is moved while the
        /// balancer serves, and a return to serving after SIGTERM.
        #[test]
        fn connections_are_moved_by_the_end_and_never_while_serving(steps in steps()) {
            let (mut drain, mut now, mut established) = (Drain::default(), 1_000_000_000, 100usize);
            prop_assert!(!drain.is_serving(), "before it accepts clients");
            drain.start_serving();
            // Start of the drain in progress, and time of SIGTERM.
            let (mut since, mut term): (Option<Micros>, Option<Micros>) = (None, None);
            for (gap, step) in steps {
                for _ in 0..gap / 20_000 {
                    now += 20_000;
                    let moves = drain.due_moves(now, established);
                    prop_assert!(moves <= established);
                    prop_assert!(moves == 0 || !drain.is_serving());
                    established -= moves;
                    let end = [since.map(|at| at + DRAIN_DURATION), term.map(|at| at + 2_500_000)];
                    if end.into_iter().flatten().min().is_some_and(|end| now >= end) {
                        prop_assert_eq!(established, 0);
                    }
                }
                match step {
                    Step::Come(n) => established += n,
                    Step::Leave => {
                        if drain.start_drain(now) {
                            prop_assert!(term.is_none());
                            since = Some(now);
                        }
                    }
                    Step::Join => match drain.join() {
                        Ok(_) => since = None,
                        Err(ShuttingDown) => prop_assert!(term.is_some()),
                    },
                    Step::Term => {
                        drain.shut_down(now + 1_000_000, now + 2_500_000);
                        term.get_or_insert(now);
                    }
                }
                prop_assert_eq!(drain.is_serving(), since.is_none() && term.is_none());
                prop_assert!(drain.passes_health_checks() || since.is_some());
            }
        }

        /// All waits of a shutdown or drain end before the kill, which comes 0.7 s after the last move, and none is longer
        /// than without one.
        #[test]
        fn waits_of_moved_connections_end_before_the_kill(
            moved_after in 0u64..3_000_000,
            timeout in 0u64..5_000_000,
            shuts_down: bool,
        ) {
            let mut drain = Drain::default();
            let (begun, end) = (1_000_000, 4_000_000);
            prop_assert_eq!(drain.end_of_data_wait(begun, timeout), begun + timeout);
            if shuts_down {
                drain.shut_down(begun, end);
            } else {
                drain.start_drain(begun);
            }
            let moved_at = begun + moved_after;
            let sent_at = drain.end_of_data_wait(moved_at, timeout);
            prop_assert!((moved_at..=moved_at + timeout).contains(&sent_at));
            let closed_at = drain.end_of_close_wait(sent_at, timeout);
            prop_assert!((sent_at..=sent_at + timeout).contains(&closed_at));
            prop_assert!(sent_at <= end + 300_000 && closed_at < end + 700_000, "{} {}", sent_at, closed_at);
            // Without a kill ahead, clients that come later wait as usual.
            let late = end + CLOSE_GRACE + 1;
            let waits_in_full = drain.end_of_data_wait(late, timeout) == late + timeout;
            prop_assert_eq!(waits_in_full, !shuts_down || timeout <= MIN_WAIT);
        }

        /// Requests have their answers and connections are closed before the kill, 0.7 s after the planned end, also where
        /// a drain was scheduled to end before the shutdown began.
        #[test]
        fn answers_and_closes_are_due_before_the_kill(drained_before in proptest::option::of(0u64..10_000_000)) {
            let (mut drain, begun, end) = (Drain::default(), 20_000_000, 23_000_000);
            if let Some(span) = drained_before {
                drain.start_drain(begun - span);
            }
            prop_assert_eq!((drain.answer_limit(), drain.close_limit()), (None, None));
            drain.shut_down(begun, end);
            let (answered, closed) = (drain.answer_limit().unwrap(), drain.close_limit().unwrap());
            prop_assert!(end <= answered && answered < closed && closed < end + 700_000);
        }

        /// Guards against a burst of moves: no step moves more than twice the even share while no client connects.
        #[test]
        fn moves_are_spread_evenly(established in 1usize..2_000) {
            let (mut drain, mut left) = (Drain::default(), established);
            drain.start_drain(0);
            for step in 0..150 {
                let now = step * 20_000;
                let moves = drain.due_moves(now, left);
                prop_assert!(moves == 0 || now > DRAIN_MOVE_DELAY);
                prop_assert!(moves <= 2 + 2 * established * 20_000 / (DRAIN_DURATION - DRAIN_MOVE_DELAY) as usize);
                left -= moves;
            }
            prop_assert_eq!(drain.due_moves(DRAIN_DURATION, left), left);
        }
    }
}
