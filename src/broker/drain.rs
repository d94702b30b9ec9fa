//! Whether this balancer wants clients: starting, serving, draining at an operator's word, or leaving for good.
//!
//! Promised: while it drains or leaves, every connection that stands is named for a move by its end, evenly over the
//! time until then, and whoever is set up later goes at once. Not promised: that those who were asked leave.
//!
//! | state | LEAVE | JOIN | SIGTERM |
//! | --- | --- | --- | --- |
//! | serving | drains | stays | leaves |
//! | draining | stays, at the pace it had | serves; who was asked goes, the others stay | leaves, no later than it would have drained |
//! | leaving | stays | refused | stays |

use crate::api::Micros;

/// Moves of a drain begin so long after the word: by then the front has heard the no and sends nobody back.
const HEARD: Micros = 400_000;
/// And have ended by then. The platform counts who is held after 4 s as lost.
const DRAINED: Micros = 3_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Serving,
    Draining,
    /// For good; it may have been draining before.
    Leaving {
        drained: bool,
    },
}

/// The time in which connections are asked to move.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    from: Micros,
    end: Micros,
    /// Up to when moves were named, and the part of one that is left over.
    named: Micros,
    rest: f64,
}

/// The program is to end: it comes back no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// The machine.
#[derive(Debug, Default)]
pub struct Drain {
    /// It takes clients: from then on it can serve.
    begun: bool,
    state: State,
    pace: Pace,
}

impl Drain {
    /// Clients are taken from now on.
    pub fn begin(&mut self) {
        self.begun = true;
    }

    /// Whether this process is there to serve.
    pub fn serves(&self) -> bool {
        self.begun && self.state == State::Serving
    }

    /// Whether the program is to end.
    pub fn leaves(&self) -> bool {
        matches!(self.state, State::Leaving { .. })
    }

    /// Whether there may be moves to make.
    pub fn empties(&self) -> bool {
        self.state != State::Serving
    }

    /// Whether the front is told to send clients. While the program leaves it is: the platform knows that already,
    /// and where a successor shares the socket the no would be taken for its.
    pub fn invites(&self) -> bool {
        !matches!(self.state, State::Draining | State::Leaving { drained: true })
    }

    /// LEAVE; whether that changed anything.
    pub fn drain(&mut self, now: Micros) -> bool {
        let begins = self.state == State::Serving;
        if begins {
            self.state = State::Draining;
            self.start(now.saturating_add(HEARD), now.saturating_add(DRAINED));
        }
        begins
    }

    /// JOIN; whether that changed anything.
    pub fn join(&mut self) -> Result<bool, Leaving> {
        match self.state {
            State::Leaving { .. } => Err(Leaving),
            state => {
                self.state = State::Serving;
                Ok(state != State::Serving)
            }
        }
    }

    /// SIGTERM: connections are asked between these times.
    pub fn leave(&mut self, from: Micros, end: Micros) {
        match self.state {
            State::Serving => {
                self.state = State::Leaving { drained: false };
                self.start(from, end);
            }
            State::Draining => {
                self.state = State::Leaving { drained: true };
                self.pace.end = self.pace.end.min(end);
            }
            State::Leaving { .. } => {}
        }
    }

    fn start(&mut self, from: Micros, end: Micros) {
        self.pace = Pace { from, end, named: from, rest: 0.0 };
    }

    /// How many of those that stand are to be asked to move now.
    pub fn moves(&mut self, now: Micros, standing: usize) -> usize {
        if !self.empties() || now < self.pace.from {
            return 0;
        }
        let pace = &mut self.pace;
        if now >= pace.end {
            return standing;
        }
        let part = now.saturating_sub(pace.named) as f64 / pace.end.saturating_sub(pace.named).max(1) as f64;
        pace.named = now.max(pace.named);
        pace.rest = if standing == 0 { 0.0 } else { pace.rest + part * standing as f64 };
        let moves = (pace.rest as usize).min(standing);
        pace.rest -= moves as f64;
        moves
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Copy, Debug)]
    enum Word {
        Leave,
        Join,
        Term,
        /// So many clients are set up.
        Come(usize),
    }

    fn words() -> impl Strategy<Value = Vec<(Micros, Word)>> {
        let word = prop_oneof![
            Just(Word::Leave),
            Just(Word::Join),
            Just(Word::Term),
            (0usize..300).prop_map(Word::Come),
        ];
        proptest::collection::vec((1_000u64..900_000, word), 1..40)
    }

    proptest! {
        /// Guards against a connection that is held past the end of a drain or of the program, one that is moved
        /// while it serves, and a way back from SIGTERM.
        #[test]
        fn nobody_is_held_past_the_end_and_nobody_moves_while_it_serves(words in words()) {
            let (mut drain, mut now, mut standing) = (Drain::default(), 1_000_000_000, 100usize);
            prop_assert!(!drain.serves(), "before it takes clients");
            drain.begin();
            // When the last drain began that was not taken back, and when SIGTERM came.
            let (mut since, mut term): (Option<Micros>, Option<Micros>) = (None, None);
            for (gap, word) in words {
                for _ in 0..gap / 20_000 {
                    now += 20_000;
                    let moves = drain.moves(now, standing);
                    prop_assert!(moves <= standing);
                    prop_assert!(moves == 0 || !drain.serves());
                    standing -= moves;
                    let end = [since.map(|at| at + DRAINED), term.map(|at| at + 2_500_000)];
                    if end.into_iter().flatten().min().is_some_and(|end| now >= end) {
                        prop_assert_eq!(standing, 0);
                    }
                }
                match word {
                    Word::Come(n) => standing += n,
                    Word::Leave => {
                        if drain.drain(now) {
                            prop_assert!(term.is_none());
                            since = Some(now);
                        }
                    }
                    Word::Join => match drain.join() {
                        Ok(_) => since = None,
                        Err(Leaving) => prop_assert!(term.is_some()),
                    },
                    Word::Term => {
                        drain.leave(now + 1_000_000, now + 2_500_000);
                        term.get_or_insert(now);
                    }
                }
                prop_assert_eq!(drain.serves(), since.is_none() && term.is_none());
                prop_assert!(drain.invites() || since.is_some());
            }
        }

        /// Guards against a burst: in no turn go more than twice what is even, as long as nobody else comes.
        #[test]
        fn moves_are_even(standing in 1usize..2_000) {
            let (mut drain, mut left) = (Drain::default(), standing);
            drain.drain(0);
            for turn in 0..150 {
                let now = turn * 20_000;
                let moves = drain.moves(now, left);
                prop_assert!(moves == 0 || now > HEARD);
                prop_assert!(moves <= 2 + 2 * standing * 20_000 / (DRAINED - HEARD) as usize);
                left -= moves;
            }
            prop_assert_eq!(drain.moves(DRAINED, left), left);
        }
    }
}
