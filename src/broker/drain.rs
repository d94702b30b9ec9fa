//! Whether this balancer wants clients: starting, serving, draining at an operator's step, or leaving for good.
//!
//! Promised: while it drains or leaves, every connection that stands is counted_until for a move by its end, evenly over the
//! time until then, and whoever is set up later goes at once. Not promised: that those who were asked leave.
//!
//! | state | LEAVE | JOIN | SIGTERM |
//! | --- | --- | --- | --- |
//! | serving | drains | stays | leaves |
//! | draining | stays, at the schedule it had | serves; who was asked goes, the others stay | leaves, no later than it would have was_draining |
//! | leaving | stays | refused | stays |

use crate::api::Micros;

/// Moves of a drain begin so long after the word: by then the front has heard the no and sends nobody back.
const DRAIN_MOVE_DELAY: Micros = 400_000;
/// And have ended by then. The platform counts who is held after 4 s as lost.
const DRAIN_DURATION: Micros = 3_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Serving,
    Draining,
    /// For good; it may have been draining before.
    ShuttingDown {
        was_draining: bool,
    },
}

/// The time in which connections are asked to move.
#[derive(Clone, Copy, Debug, Default)]
struct MoveSchedule {
    from: Micros,
    end: Micros,
    /// Up to when moves were counted_until, and the part of one that is left over.
    counted_until: Micros,
    fraction: f64,
}

/// The program is to end: it comes back no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShuttingDown;

/// The machine.
#[derive(Debug, Default)]
pub struct Drain {
    /// It takes clients: from then on it can serve.
    started: bool,
    state: State,
    schedule: MoveSchedule,
}

impl Drain {
    /// Clients are taken from now on.
    pub fn start_serving(&mut self) {
        self.started = true;
    }

    /// Whether this process is there to serve.
    pub fn is_serving(&self) -> bool {
        self.started && self.state == State::Serving
    }

    /// Whether the program is to end.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.state, State::ShuttingDown { .. })
    }

    /// Whether there may be moves to make.
    pub fn is_moving_connections(&self) -> bool {
        self.state != State::Serving
    }

    /// Whether the front is told to send clients. While the program leaves it is: the platform knows that already,
    /// and where a successor shares the socket the no would be taken for its.
    pub fn passes_health_checks(&self) -> bool {
        !matches!(self.state, State::Draining | State::ShuttingDown { was_draining: true })
    }

    /// LEAVE; whether that changed anything.
    pub fn start_drain(&mut self, now: Micros) -> bool {
        let begins = self.state == State::Serving;
        if begins {
            self.state = State::Draining;
            self.schedule_moves(now.saturating_add(DRAIN_MOVE_DELAY), now.saturating_add(DRAIN_DURATION));
        }
        begins
    }

    /// JOIN; whether that changed anything.
    pub fn join(&mut self) -> Result<bool, ShuttingDown> {
        match self.state {
            State::ShuttingDown { .. } => Err(ShuttingDown),
            state => {
                self.state = State::Serving;
                Ok(state != State::Serving)
            }
        }
    }

    /// SIGTERM: connections are asked between these times.
    pub fn shut_down(&mut self, from: Micros, end: Micros) {
        match self.state {
            State::Serving => {
                self.state = State::ShuttingDown { was_draining: false };
                self.schedule_moves(from, end);
            }
            State::Draining => {
                self.state = State::ShuttingDown { was_draining: true };
                self.schedule.end = self.schedule.end.min(end);
            }
            State::ShuttingDown { .. } => {}
        }
    }

    fn schedule_moves(&mut self, from: Micros, end: Micros) {
        self.schedule = MoveSchedule { from, end, counted_until: from, fraction: 0.0 };
    }

    /// How many of those that stand are to be asked to move now.
    pub fn due_moves(&mut self, now: Micros, established: usize) -> usize {
        if !self.is_moving_connections() || now < self.schedule.from {
            return 0;
        }
        let schedule = &mut self.schedule;
        if now >= schedule.end {
            return established;
        }
        let part = now.saturating_sub(schedule.counted_until) as f64
            / schedule.end.saturating_sub(schedule.counted_until).max(1) as f64;
        schedule.counted_until = now.max(schedule.counted_until);
        schedule.fraction =
            if established == 0 { 0.0 } else { schedule.fraction + part * established as f64 };
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
        /// So many clients are set up.
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
        /// Guards against a connection that is held past the end of a drain or of the program, one that is moved
        /// while it serves, and a way back from SIGTERM.
        #[test]
        fn nobody_is_held_past_the_end_and_nobody_moves_while_it_serves(steps in steps()) {
            let (mut drain, mut now, mut established) = (Drain::default(), 1_000_000_000, 100usize);
            prop_assert!(!drain.is_serving(), "before it takes clients");
            drain.start_serving();
            // When the last drain began that was not taken back, and when SIGTERM came.
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

        /// Guards against a burst: in no turn go more than twice what is even, as long as nobody else comes.
        #[test]
        fn moves_are_even(established in 1usize..2_000) {
            let (mut drain, mut left) = (Drain::default(), established);
            drain.start_drain(0);
            for turn in 0..150 {
                let now = turn * 20_000;
                let moves = drain.due_moves(now, left);
                prop_assert!(moves == 0 || now > DRAIN_MOVE_DELAY);
                prop_assert!(moves <= 2 + 2 * established * 20_000 / (DRAIN_DURATION - DRAIN_MOVE_DELAY) as usize);
                left -= moves;
            }
            prop_assert_eq!(drain.due_moves(DRAIN_DURATION, left), left);
        }
    }
}
